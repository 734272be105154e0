package operator

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Guards against a job that is accepted but not written, written twice, or
// rejected although it was written, when the table is unavailable or a request
// or response is lost.
func TestSubmit(t *testing.T) {
	cases := map[string]struct {
		commitResults []string
		readsFail     bool
		status        int
		outcome       string
	}{
		"written":                              {status: 201},
		"response lost":                        {commitResults: []string{"lost-after"}, status: 200},
		"request lost":                         {commitResults: []string{"lost-before"}, status: 201},
		"table unavailable":                    {commitResults: []string{"away"}, status: 503, outcome: "not-run"},
		"request lost, then table unavailable": {commitResults: []string{"lost-before", "away", "away", "away", "away", "away", "away", "away"}, status: 503, outcome: "unknown"},
		"response lost, reads fail":            {commitResults: []string{"lost-after"}, readsFail: true, status: 503, outcome: "unknown"},
		"request lost, reads fail":             {commitResults: []string{"lost-before"}, readsFail: true, status: 201}, // the commit is repeated
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFixture(t, "", func(f *fixture) {
				f.table.commitResults, f.table.readsFail = c.commitResults, c.readsFail
				status, header, body := f.call("POST", "/v1/jobs", jobJSON("j1", "prime"))
				require.Equal(f.t, c.status, status, body)
				require.Equal(f.t, c.outcome, header.Get(model.OutcomeHeader))
				f.table.commitResults, f.table.readsFail = nil, false
				again, _, _ := f.call("POST", "/v1/jobs", jobJSON("j1", "prime"))
				require.Contains(f.t, []int{200, 201}, again)
				status, _, body = f.call("POST", "/v1/jobs", jobJSON("j1", "other"))
				require.Equal(f.t, 409, status, body)
				require.Len(f.t, f.table.rows, 1)
				status, _, body = f.call("GET", "/v1/jobs/j1", "")
				require.Equal(f.t, 200, status)
				require.Equal(f.t, "pending", body["phase"])
				require.Equal(f.t, "dip-shed", body["cell"])
			})
		})
	}
}

// Guards against an invalid request that is rejected with only the first of
// its findings, or with a status other than the documented one.
func TestInvalidRequests(t *testing.T) {
	withFixture(t, "", func(f *fixture) {
		status, _, body := f.call("POST", "/v1/jobs", `{"id":"a/b","resources":{"memory":-1}}`)
		require.Equal(f.t, 400, status)
		require.Len(f.t, body["findings"], 6)
		for _, c := range []struct {
			method, path, body string
			status             int
		}{
			{"POST", "/v1/jobs", "{\n\"id\": 7}", 400}, {"POST", "/v1/jobs", `{"idd":"x"}`, 400}, {"POST", "/v1/jobs", `{} {}`, 400},
			{"POST", "/v1/jobs", `{"program":"` + strings.Repeat("x", maxBody) + `"}`, 413},
			{"GET", "/v1/jobs?limit=0", "", 400}, {"GET", "/v1/jobs?label=x", "", 400}, {"GET", "/v1/jobs/none", "", 404},
			{"DELETE", "/v1/jobs/none", "", 404}, {"PUT", "/v1/jobs", "", 405}, {"GET", "/v2", "", 404},
			{"GET", "/v1/explain/host/x", "", 404}, {"GET", "/v1/config/status?wait=10h", "", 400},
			{"POST", "/v1/backends/b1/drain", "", 404}, {"GET", "/v1/jobs?cell=a/b", "", 400},
		} {
			status, _, body := f.call(c.method, c.path, c.body)
			require.Equal(f.t, c.status, status, "%s %s: %v", c.method, c.path, body)
			require.NotEmpty(f.t, body["error"])
		}
		_, _, body = f.call("POST", "/v1/jobs", "{\n\"id\": 7}")
		require.EqualValues(f.t, 2, body["findings"].([]any)[0].(map[string]any)["line"])
	})
}

// Guards against a list that misses, repeats or reorders jobs between pages,
// or returns cached rows that have changed since.
func TestListPages(t *testing.T) {
	withFixture(t, "", func(f *fixture) {
		for i := range 7 {
			f.call("POST", "/v1/jobs", jobJSON(fmt.Sprint("j", i), "x"))
		}
		var ids []string
		after := ""
		for range 4 {
			_, _, body := f.call("GET", "/v1/jobs?limit=2&team=wicks&after="+after, "")
			for _, j := range body["jobs"].([]any) {
				ids = append(ids, j.(map[string]any)["spec"].(map[string]any)["id"].(string))
			}
			after, _ = body["next"].(string)
		}
		require.Equal(f.t, []string{"j0", "j1", "j2", "j3", "j4", "j5", "j6"}, ids)
		require.Empty(f.t, after)
		_, _, body := f.call("GET", "/v1/jobs?label=line=j3", "")
		require.Len(f.t, body["jobs"], 1)
		f.call("DELETE", "/v1/jobs/j3", "")
		_, _, body = f.call("GET", "/v1/jobs?label=line=j3", "")
		require.Equal(f.t, true, body["jobs"].([]any)[0].(map[string]any)["cancel"])
	})
}

// Guards against a cancellation that overwrites a newer row of the controller,
// or is reported as accepted although it was not written.
func TestCancel(t *testing.T) {
	withFixture(t, "", func(f *fixture) {
		f.call("POST", "/v1/jobs", jobJSON("j1", "x"))
		f.table.commitResults = []string{"lost-after"}
		status, _, _ := f.call("DELETE", "/v1/jobs/j1", "")
		require.Equal(f.t, 202, status)
		key := rows.JobKey("dip-shed", "j2")
		f.table.rows[key] = storage.Row{Key: key, Version: 9, Value: rows.Encode(model.JobRow{Spec: model.JobSpec{ID: "j2"}, Phase: "done", Result: "result/j2/1"})}
		status, _, body := f.call("DELETE", "/v1/jobs/j2", "")
		require.Equal(f.t, 200, status)
		require.Nil(f.t, body["cancel"], "the row of a finished job is not changed")
		_, _, body = f.call("GET", "/v1/jobs/j2/result", "")
		require.Equal(f.t, "result of result/j2/1", body["raw"])
		f.call("POST", "/v1/jobs", jobJSON("j3", "x"))
		f.table.commitResults = []string{"away"}
		status, header, _ := f.call("DELETE", "/v1/jobs/j3", "")
		require.Equal(f.t, 503, status)
		require.Equal(f.t, "not-run", header.Get(model.OutcomeHeader))
	})
}

// Guards against "not found" as the explanation of a job that has ended or
// whose cell another entry owns. Such a job is explained from its row.
func TestExplainJobByItsRow(t *testing.T) {
	withFixture(t, "", func(f *fixture) {
		f.api.Explain = func(context.Context, string, string) (any, error) { return nil, storage.ErrNotFound }
		f.api.Cells = func(context.Context) ([]model.CellStatus, error) {
			return []model.CellStatus{{Cell: "dip-shed", Owner: "entry-2"}}, nil
		}
		for phase, want := range map[model.Phase]string{"done": "the job has ended", "running": "entry entry-2 owns cell dip-shed"} {
			f.table.rows["job/dip-shed/j1"] = storage.Row{Key: "job/dip-shed/j1", Version: 1, Value: rows.Encode(model.JobRow{Phase: phase})}
			status, _, body := f.call("GET", "/v1/explain/job/j1", "")
			require.Equal(f.t, 200, status)
			require.Contains(f.t, body["reason"], want)
		}
		status, _, body := f.call("GET", "/v1/explain/job/none", "")
		require.Equal(f.t, 404, status)
		require.Contains(f.t, body["error"], "none")
	})
}
