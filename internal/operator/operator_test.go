package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/platform"
	"github.com/bambooscale/bambooscale/internal/rows"
)

// scriptTable answers commits by a script, then normally. One goroutine uses
// it at a time.
type scriptTable struct {
	rev    platform.Revision
	rows   map[string]platform.Row
	script []string // "away", "lost-after", "lost-before"
	down   bool     // reads fail
}

func (t *scriptTable) Commit(_ context.Context, x platform.Txn) (platform.Revision, error) {
	step := ""
	if len(t.script) > 0 {
		step, t.script = t.script[0], t.script[1:]
	}
	if step == "away" {
		return 0, platform.ErrUnavailable
	} else if step == "lost-before" {
		return 0, platform.ErrUnknown
	}
	for _, c := range x.Checks {
		if t.rows[c.Key].Version != c.Version {
			return 0, &platform.ConflictError{Keys: []string{c.Key}}
		}
	}
	t.rev++
	for _, p := range x.Puts {
		t.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: t.rev}
	}
	if step == "lost-after" {
		return 0, platform.ErrUnknown
	}
	return t.rev, nil
}

func (t *scriptTable) Read(_ context.Context, key string) (platform.Row, error) {
	if t.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (t *scriptTable) Scan(_ context.Context, prefix string, after platform.Revision) ([]platform.Row, platform.Revision, error) {
	var out []platform.Row
	for k, row := range t.rows {
		if strings.HasPrefix(k, prefix) && row.Version > after {
			out = append(out, row)
		}
	}
	return out, t.rev, nil
}

func (t *scriptTable) Put(context.Context, string, []byte) error { return nil }
func (t *scriptTable) Get(_ context.Context, name string) ([]byte, error) {
	return []byte("result of " + name), nil
}
func (t *scriptTable) Delete(context.Context, string) error { return nil }

// fixedStore is a configuration whose answers are fixed.
type fixedStore struct {
	err    error
	status configstore.Status
}

func (s *fixedStore) Edit(context.Context, configstore.Edit) (configstore.Accepted, error) {
	return configstore.Accepted{Version: 4}, s.err
}
func (s *fixedStore) Current(context.Context) (configstore.Update, error) {
	return configstore.Update{State: "current", Snapshot: configstore.NewSnapshot(3, map[model.ConfigKey]model.ConfigItem{
		{Kind: model.KindTeam, Name: "wicks"}: {Labels: model.Labels{"quota-cpu": "4000"}}})}, s.err
}
func (s *fixedStore) Status(context.Context) (configstore.Status, error) { return s.status, s.err }
func (s *fixedStore) History(context.Context, model.ConfigVersion, int) ([]rows.ConfigLog, error) {
	return nil, s.err
}

type fixture struct {
	t     *testing.T
	g     *actor.Group
	table *scriptTable
	store *fixedStore
	api   *API
}

func inFixture(t *testing.T, token string, run func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, token)
		defer f.g.Stop()
		run(f)
	})
}

func newFixture(t *testing.T, token string) *fixture {
	f := &fixture{t: t, g: actor.NewGroup(t.Context(), nil), table: &scriptTable{rows: map[string]platform.Row{}}, store: &fixedStore{}}
	f.api = New(f.g, Config{
		Entry: "entry-1", Token: token, DefaultCell: "dip-shed", Table: f.table, Objects: f.table, Store: f.store,
		Log:    &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
		Labels: func(model.Labels) finding.List { return nil },
		Selector: func(s string) (func(model.Labels) bool, error) {
			k, v, ok := strings.Cut(s, "=")
			if !ok {
				return nil, errors.New("expected key=value")
			}
			return func(l model.Labels) bool { return l[k] == v }, nil
		},
		Final: func(p model.Phase) bool { return p == "done" },
	})
	return f
}

// call sends a request and decodes the answer's body.
func (f *fixture) call(method, path, body string, header ...string) (int, http.Header, map[string]any) {
	r := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(f.t.Context())
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.api.Handler().ServeHTTP(w, r)
	var out map[string]any
	if w.Header().Get("Content-Type") == "application/json" {
		require.NoError(f.t, json.Unmarshal(w.Body.Bytes(), &out))
	} else {
		out = map[string]any{"raw": w.Body.String()}
	}
	return w.Code, w.Header(), out
}

func job(id, program string) string {
	return fmt.Sprintf(`{"id":%q,"team":"wicks","class":"priming","labels":{"line":%q},"resources":{"milliCpu":500,"memory":1024},"program":%q}`, id, id, program)
}

// Guards against a job accepted that was not written, written twice, or
// refused although it was written.
func TestSubmit(t *testing.T) {
	cases := map[string]struct {
		script  []string
		down    bool
		status  int
		outcome string
	}{
		"written":                   {status: 201},
		"response lost":             {script: []string{"lost-after"}, status: 200},
		"request lost":              {script: []string{"lost-before"}, status: 201},
		"away":                      {script: []string{"away"}, status: 503, outcome: "not-run"},
		"lost, then away for long":  {script: []string{"lost-before", "away", "away", "away", "away", "away", "away", "away"}, status: 503, outcome: "unknown"},
		"response lost, reads away": {script: []string{"lost-after"}, down: true, status: 503, outcome: "unknown"},
		"request lost, reads away":  {script: []string{"lost-before"}, down: true, status: 201}, // the same commit again is safe
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inFixture(t, "", func(f *fixture) {
				f.table.script, f.table.down = c.script, c.down
				status, header, body := f.call("POST", "/v1/jobs", job("j1", "prime"))
				require.Equal(f.t, c.status, status, body)
				require.Equal(f.t, c.outcome, header.Get(model.OutcomeHeader))
				f.table.script, f.table.down = nil, false
				again, _, _ := f.call("POST", "/v1/jobs", job("j1", "prime"))
				require.Contains(f.t, []int{200, 201}, again)
				status, _, body = f.call("POST", "/v1/jobs", job("j1", "other"))
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

// Guards against a request that is refused with one finding of several, or
// with another status than documented.
func TestInvalidRequests(t *testing.T) {
	inFixture(t, "", func(f *fixture) {
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
// or shows rows as they were at the first list.
func TestListPages(t *testing.T) {
	inFixture(t, "", func(f *fixture) {
		for i := range 7 {
			f.call("POST", "/v1/jobs", job(fmt.Sprint("j", i), "x"))
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

// Guards against a cancellation that overwrites the controller's newer row,
// or is reported although it was not written.
func TestCancel(t *testing.T) {
	inFixture(t, "", func(f *fixture) {
		f.call("POST", "/v1/jobs", job("j1", "x"))
		f.table.script = []string{"lost-after"}
		status, _, _ := f.call("DELETE", "/v1/jobs/j1", "")
		require.Equal(f.t, 202, status)
		key := rows.JobKey("dip-shed", "j2")
		f.table.rows[key] = platform.Row{Key: key, Version: 9, Value: rows.Encode(model.JobRow{Spec: model.JobSpec{ID: "j2"}, Phase: "done", Result: "result/j2/1"})}
		status, _, body := f.call("DELETE", "/v1/jobs/j2", "")
		require.Equal(f.t, 200, status)
		require.Nil(f.t, body["cancel"], "a finished job is left as it is")
		_, _, body = f.call("GET", "/v1/jobs/j2/result", "")
		require.Equal(f.t, "result of result/j2/1", body["raw"])
		f.call("POST", "/v1/jobs", job("j3", "x"))
		f.table.script = []string{"away"}
		status, header, _ := f.call("DELETE", "/v1/jobs/j3", "")
		require.Equal(f.t, 503, status)
		require.Equal(f.t, "not-run", header.Get(model.OutcomeHeader))
	})
}

// Guards against an API open to clients without the token, and a health check
// that needs it.
func TestToken(t *testing.T) {
	inFixture(t, "secret", func(f *fixture) {
		for header, want := range map[string]int{"": 401, "Bearer wrong": 401, "secret": 401, "Bearer secret": 200} {
			status, _, _ := f.call("GET", "/v1/config", "", "Authorization", header)
			require.Equal(f.t, want, status, header)
		}
		status, _, _ := f.call("GET", "/healthz", "")
		require.Equal(f.t, 200, status)
	})
}

// Guards against configuration errors that lose their type on the way, and a
// wait that returns before every daemon has the version.
func TestConfig(t *testing.T) {
	inFixture(t, "", func(f *fixture) {
		f.store.err = &configstore.ConflictError{Author: "esra", Version: 7, Base: 5}
		status, _, body := f.call("POST", "/v1/config", `{"id":"e","base":5,"changes":[]}`)
		require.Equal(f.t, 409, status)
		require.Equal(f.t, "esra", body["conflict"].(map[string]any)["author"])
		f.store.err = errors.Wrap(platform.ErrUnknown, "edit e")
		status, header, _ := f.call("POST", "/v1/config", `{"id":"e","changes":[]}`)
		require.Equal(f.t, 503, status)
		require.Equal(f.t, "unknown", header.Get(model.OutcomeHeader))
		f.store.err = nil
		f.store.status = configstore.Status{Version: 3, Daemons: []model.AppliedVersion{{Daemon: "entry-1", Version: 3}, {Daemon: "w1", Version: 2}}}
		_, _, body = f.call("GET", "/v1/config/status?wait=5s", "")
		require.Equal(f.t, false, body["applied"])
		require.Equal(f.t, "w1", body["lagging"].([]any)[0].(map[string]any)["daemon"])
		_, _, body = f.call("GET", "/v1/config/status?version=2", "")
		require.Equal(f.t, true, body["applied"])
	})
}

// Guards against a wait that ends while a daemon of another entry lags, or an
// entry that does not answer counts as up to date.
func TestConfigStatusAsksOtherEntries(t *testing.T) {
	here, there := newFixture(t, "secret"), newFixture(t, "secret")
	defer here.g.Stop()
	defer there.g.Stop()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	there.api.Serve(there.g, ln)
	here.store.status = configstore.Status{Version: 3, Daemons: []model.AppliedVersion{{Daemon: "entry-1", Version: 3}, {Daemon: "w1", Version: 3}}}
	there.store.status = configstore.Status{Version: 3, Daemons: []model.AppliedVersion{{Daemon: "entry-2", Version: 3}, {Daemon: "w1", Version: 2}, {Daemon: "w2", Version: 1}}}
	peers := []Peer{{ID: "entry-2", Operator: ln.Addr().String()}}
	here.api.Peers = func(context.Context) ([]Peer, error) { return peers, nil }
	for _, path := range []string{"/v1/config/status", "/v1/config/status?wait=1ms"} {
		_, _, body := here.call("GET", path, "", "Authorization", "Bearer secret")
		require.Len(t, body["daemons"], 4)
		require.Equal(t, []any{map[string]any{"daemon": "w2", "version": 1.0}}, body["lagging"])
	}
	there.store.status.Daemons[2].Version = 3
	_, _, body := here.call("GET", "/v1/config/status?wait=1m", "", "Authorization", "Bearer secret")
	require.Equal(t, true, body["applied"])
	peers = append(peers, Peer{ID: "entry-3", Operator: "http://127.0.0.1:1"})
	_, _, body = here.call("GET", "/v1/config/status", "", "Authorization", "Bearer secret")
	require.Equal(t, []any{map[string]any{"daemon": "entry-3", "version": 0.0}}, body["lagging"])
	here.api.client.CloseIdleConnections()
}

// Guards against a status that hides what is wrong behind what is not.
func TestStatusNamesProblemsFirst(t *testing.T) {
	found := problems(Status{
		Config:   ConfigSummary{Version: 3, State: "stale"},
		Services: []model.ServiceStatus{{Service: "wick-orders", Queued: 4, Backends: []model.BackendStatus{{Backend: "b1", Worker: "w1", State: "down"}}}},
		Cells: []model.CellStatus{{Cell: "dip-shed", State: "holding", Phases: map[model.Phase]int{"parked": 2},
			Workers: []model.WorkerStatus{{Worker: "w1", State: "ready"}, {Worker: "w2", State: "quarantined", Reason: "5 failures"}}}},
	})
	require.Len(t, found, 6)
	require.Contains(t, found[0], "service wick-orders has no ready backend server")
	require.Contains(t, found[1], "cell dip-shed is holding")
	require.Contains(t, strings.Join(found, "\n"), "worker w2 is quarantined (5 failures)")
}

// Guards against a listener that accepts headers of any size, or outlives its
// group.
func TestServeBoundsHeaders(t *testing.T) {
	f := newFixture(t, "")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := f.api.Serve(f.g, ln)
	req, err := http.NewRequest("GET", "http://"+ln.Addr().String()+"/healthz", nil)
	require.NoError(t, err)
	req.Header.Set("X-Large", strings.Repeat("x", 2*maxHeader))
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	res.Body.Close()
	require.Equal(t, 431, res.StatusCode)
	http.DefaultClient.CloseIdleConnections()
	f.g.Stop()
	<-ended
}

// Guards against a path that the operations page does not describe.
func TestPageHasEveryPath(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations.md")
	require.NoError(t, err)
	for _, r := range (&API{}).routes() {
		require.Contains(t, string(page), r.method+" "+strings.ReplaceAll(r.path, "...", ""))
	}
}
