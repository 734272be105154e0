package command

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/load"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/operator"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// testEntry is the operators' API of an entry on loopback. Its table is a
// stand-in for the table service, which it calls over HTTP.
type testEntry struct {
	t      *testing.T
	url    string
	store  *configstore.Store
	status []model.ServiceStatus
}

func newTestEntry(t *testing.T) *testEntry {
	g := actor.NewGroup(context.Background(), nil)
	discardLog := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	tableServer := httptest.NewServer(standin.NewTable(g, standin.StoreFaults{}).Handler())
	table := storage.NewHTTPTable(storage.HTTPConfig{URL: tableServer.URL})
	check := configstore.Validator{Labels: func(model.Labels) finding.List { return nil }, Selector: func(string) error { return nil }}
	s := &testEntry{t: t, store: configstore.StartStore(g, configstore.StoreConfig{ID: "entry-1", Table: table, Validator: check, Log: discardLog})}
	api := operator.New(g, operator.Config{Entry: "entry-1", Build: "test", DefaultCell: "dip-shed", Table: table, ConfigStore: s.store, Log: discardLog,
		ValidateLabels: check.Labels,
		ParseSelector:  func(string) (func(model.Labels) bool, error) { return func(model.Labels) bool { return true }, nil },
		Services:       func(context.Context) ([]model.ServiceStatus, error) { return s.status, nil },
		Explain: func(_ context.Context, kind, name string) (any, error) {
			return map[string]any{"reason": "fits " + kind + " " + name, "workers": []any{map[string]string{"worker": "w1", "reason": "quota", "text": "team at its quota"}}}, nil
		},
	})
	server := httptest.NewServer(api.Handler())
	s.url = server.URL
	t.Cleanup(func() { server.Close(); g.Stop(); table.Close(); tableServer.Close() })
	return s
}

// run executes a command line with an input, checks its exit code, and returns
// its output and its error output.
func (s *testEntry) run(code int, stdin string, args ...string) string {
	s.t.Helper()
	var out, errs bytes.Buffer
	got := Run(s.t.Context(), append(args, "--server", s.url), strings.NewReader(stdin), &out, &errs)
	require.Equal(s.t, code, got, "bambooctl %v\n%s\n%s", args, out.String(), errs.String())
	return out.String() + errs.String()
}

// Guards against a label command that removes other labels, and exit codes
// that hide a conflict, invalid input or a missing item from scripts.
func TestLabelsAndSelectors(t *testing.T) {
	s := newTestEntry(t)
	s.run(ExitOK, "", "label", "set", "team", "wicks", "quota-cpu=4000", "floor=2")
	s.run(ExitOK, "", "label", "set", "team", "wicks", "floor=3", "--author", "esra")
	require.Regexp(t, `team +wicks +floor=3,quota-cpu=4000 +2 +esra`, s.run(ExitOK, "", "label", "show", "team", "wicks"))
	require.Contains(t, s.run(ExitConflict, "", "label", "set", "team", "wicks", "floor=4", "--base", "1"), "changed by esra in version 2")
	require.Contains(t, s.run(ExitUsage, "", "label", "set", "team", "wicks", "quota-cpu=many"), "changes[0].item.labels.quota-cpu")
	s.run(ExitUsage, "", "label", "set", "team", "wicks", "nothing")
	s.run(ExitNotFound, "", "label", "show", "team", "none")
	s.run(ExitNotFound, "", "label", "remove", "team", "wicks", "none")
	s.run(ExitOK, "", "label", "remove", "team", "wicks", "floor", "--edit-id", "once")
	require.Contains(t, s.run(ExitOK, "", "selector", "set", "apart", "--kind", "must-stay-apart", "--subject", "class=priming", "--object", "class=stock", "-o", "json"), `"version": 4`)
	require.Contains(t, s.run(ExitOK, "", "selector", "show"), "must-stay-apart: class=priming | class=stock")
	s.run(ExitOK, "", "selector", "remove", "apart")
	s.run(ExitNotFound, "", "selector", "remove", "apart")
	require.Contains(t, s.run(ExitOK, "", "config", "history"), "(removed)")
	require.NotContains(t, s.run(ExitOK, "", "config", "show"), "apart")
	require.Contains(t, s.run(ExitOK, "", "config", "status", "--wait"), "version 5 is in effect at 1 of 1 daemons")
}

// Guards against a wait that succeeds before every daemon has the version, or
// does not name the lagging daemons.
func TestWaitNamesLaggards(t *testing.T) {
	s := newTestEntry(t)
	require.NoError(t, s.store.LinkUp(t.Context(), "w7", 0, actor.Address[msg.Control]{}))
	out := s.run(ExitFailure, "", "label", "set", "team", "wicks", "floor=2", "--wait", "--timeout", "10ms")
	require.Contains(t, out, "version 1 is accepted, but not in effect everywhere")
	out = s.run(ExitOK, "", "config", "status")
	require.Contains(t, out, "lagging: w7 (version 0)")
}

// Guards against a repeated submission that is not recognised, fields of a file
// or of flags that are lost, and exit codes that hide a conflict.
func TestJobs(t *testing.T) {
	s := newTestEntry(t)
	spec := `{"id":"j1","team":"wicks","class":"priming","resources":{"milliCpu":500,"memory":1000},"program":"prime"}`
	s.run(ExitOK, spec, "job", "submit", "-f", "-", "--memory", "2KiB", "--label", "line=3")
	s.run(ExitOK, spec, "job", "submit", "-f", "-", "--memory", "2KiB", "--label", "line=3")
	s.run(ExitConflict, spec, "job", "submit", "-f", "-")
	s.run(ExitUsage, "", "job", "submit", "--team", "wicks")
	s.run(ExitUsage, "", "job", "submit", "--cpu", "x")
	s.run(ExitOK, "", "job", "submit", "--cpu", "500m", "--memory", "64Mi", "--program", "sleep 1s")
	require.Regexp(t, `labels +line=3`, s.run(ExitOK, "", "job", "show", "j1"))
	require.Contains(t, s.run(ExitOK, "", "job", "list", "--limit", "1"), "continue with --after j1")
	require.Contains(t, s.run(ExitOK, "", "job", "cancel", "j1"), "cancel requested")
	s.run(ExitNotFound, "", "job", "show", "none")
	s.run(ExitNotFound, "", "job", "result", "j1")
}

// Guards against a change that is reported as not done although only its
// response was lost, or the server does not know its outcome.
func TestLostAnswers(t *testing.T) {
	disconnecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.Close()
		}
	}))
	defer disconnecting.Close()
	submit := []string{"job", "submit", "--id", "j", "--team", "t", "--class", "c", "--cpu", "1", "--memory", "1", "--program", "p"}
	s := &testEntry{t: t, url: disconnecting.URL}
	s.run(ExitOutcomeUnknown, "", submit...)
	s.run(ExitUnavailable, "", "job", "show", "j")
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	s.url = closed.URL
	s.run(ExitUnavailable, "", submit...)
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(503)
		fmt.Fprint(w, `{"error":"table is unavailable","outcome":"unknown"}`)
	}))
	defer unavailable.Close()
	s.url = unavailable.URL
	s.run(ExitOutcomeUnknown, "", submit...)
}

// Guards against a status or top longer than a screen, and a status that does
// not begin with the problems.
func TestStatusFitsAScreen(t *testing.T) {
	s := newTestEntry(t)
	for i := range 20 {
		s.status = append(s.status, model.ServiceStatus{Service: model.Service(fmt.Sprint("s", i)),
			Backends: []model.BackendStatus{{Backend: "b1", State: "down"}}, Recent: []model.RecentStatus{{Class: "c", Tenant: "t", P99: 3e6, Refused: 7}}})
	}
	out := s.run(ExitOK, "", "status")
	require.LessOrEqual(t, strings.Count(out, "\n"), 24)
	require.True(t, strings.HasPrefix(out, "! service s0 has no ready backend server"), out)
	require.Contains(t, out, "more; show them with --all")
	require.Contains(t, s.run(ExitOK, "", "backend", "list", "--service", "s3"), "down")
	out = s.run(ExitOK, "", "top", "--count", "1")
	require.Regexp(t, `s\d+ +c +t +0 +7 +- +3.0ms`, out)
	require.LessOrEqual(t, strings.Count(out, "\n"), 24)
	require.Regexp(t, `reason: fits job j1\nWORKER +REASON +TEXT\nw1 +quota +team at its quota`, s.run(ExitOK, "", "explain", "job", "j1"))
	s.run(ExitNotFound, "", "backend", "drain", "b1")
}

// Guards against a mistyped command or an invalid file that ends with the exit
// code of a success.
func TestUsage(t *testing.T) {
	s := &testEntry{t: t, url: "http://127.0.0.1:1"}
	for _, args := range [][]string{{"jbo"}, {"job", "sumbit"}, {"job"}, {"status", "--nope"}, {"job", "show"}, {"version", "-o", "xml"}, {"label", "set", "team"}} {
		s.run(ExitUsage, "", args...)
	}
	s.run(ExitOK, "", "version")
	require.Contains(t, s.run(ExitOK, "", "completion", "bash"), "bambooctl")
	require.Contains(t, s.run(ExitOK, "", "settings", "reference"), "`operator-listen`")
	require.Contains(t, s.run(ExitOK, "", "chart", "list"), "config")
	require.Contains(t, s.run(ExitOK, "", "chart", "draw", "config"), "[*] --> empty")
	s.run(ExitOK, "", "chart", "check")
	s.run(ExitNotFound, "", "chart", "draw", "none")
	s.run(ExitUsage, "", "chart", "draw")
	require.Contains(t, s.run(ExitOK, "", "chart", "draw", "--all"), "## writer")
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "x.scxml"), []byte(`<scxml name="x" initial="a"><state id="b"/></scxml>`), 0o600))
	require.Contains(t, s.run(ExitFailure, "", "chart", "check", "--dir", dir), `initial state "a" is not defined`)
	bad := filepath.Join(dir, "s.ini")
	require.NoError(t, os.WriteFile(bad, []byte("[daemon]\nrole = boss\n"), 0o600))
	require.Contains(t, s.run(ExitUsage, "", "settings", "check", bad), `s.ini:2: [daemon] role`)
}

// Guards against a wait for a job that ends early, or does not end, because it
// has the wrong final phases.
func TestFinalPhases(t *testing.T) {
	final, err := finalPhases(fstest.MapFS{"job.scxml": {Data: []byte(`<scxml name="job" initial="pending"><state id="pending"/><final id="done"/><final id="failed"/></scxml>`)}})
	require.NoError(t, err)
	require.Equal(t, map[model.Phase]bool{"done": true, "failed": true}, final)
}

// Guards against a command that docs/OPERATIONS.md does not describe.
func TestPageHasEveryCommand(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		for _, sub := range c.Commands() {
			walk(sub)
		}
		if !c.HasSubCommands() {
			require.Contains(t, string(page), "| `"+strings.TrimPrefix(c.CommandPath(), "bambooctl "))
		}
	}
	walk((&app{}).root())
}

// Guards against a load run that miscounts responses, and a report that needs
// the network or does not escape text of the plan.
func TestBenchLoadAndReport(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			w.Header().Set("Bambooscale-Outcome", "not-run")
			w.WriteHeader(503)
		}
	}))
	defer target.Close()
	s := &testEntry{t: t, url: "http://127.0.0.1:1"}
	plan := `{"target":"` + target.URL + `","requests":60,"classes":[
		{"name":"<b>reads","path":"/","phases":[{"seconds":0.3,"from":100}]},
		{"name":"refused","path":"/refused","phases":[{"seconds":0.3,"from":100}]}]}`
	out := s.run(ExitFailure, plan, "bench", "load", "-f", "-", "-o", "json")
	raw := out[:strings.LastIndex(out, "}")+1]
	var r load.Report
	require.NoError(t, json.Unmarshal([]byte(raw), &r))
	require.Equal(t, r.Classes[0].Sent, r.Classes[0].Statuses["200"])
	require.Equal(t, r.Classes[1].Sent, r.Classes[1].Refused)
	html := s.run(ExitOK, raw, "report", "-")
	require.Contains(t, html, "&lt;b&gt;reads")
	require.Equal(t, 6, strings.Count(html, "<svg"))
	require.NotRegexp(t, `(src|href)=|<script`, html)
	s.run(ExitUsage, "{}", "bench", "load", "-f", "-")
	s.run(ExitUsage, "", "bench", "load", "--rate", "-1")
}

// Guards against a bundle that is not written because one part cannot be read,
// and one that is reported as a success although no part can be read.
func TestDiagnose(t *testing.T) {
	s := newTestEntry(t) // serves no metrics
	file := filepath.Join(t.TempDir(), "b.tar.gz")
	require.Contains(t, s.run(ExitOK, "", "diagnose", "--out", file), "6 of 7 parts")
	f, err := os.Open(file)
	require.NoError(t, err)
	defer f.Close()
	gz, err := gzip.NewReader(f)
	require.NoError(t, err)
	var names []string
	for archive := tar.NewReader(gz); ; {
		header, err := archive.Next()
		if err == io.EOF {
			break
		}
		require.NoError(t, err)
		names = append(names, header.Name)
	}
	require.Contains(t, names, "bambooscale/goroutines.txt")
	require.Contains(t, names, "bambooscale/metrics.txt.error")
	s.url = "http://127.0.0.1:1"
	s.run(ExitUnavailable, "", "diagnose", "--out", file+"2")
}

// Guards against a file that is applied in part or removes other items, and one
// that is rejected with only the first of its findings.
func TestConfigApply(t *testing.T) {
	s := newTestEntry(t)
	s.run(ExitOK, "", "label", "set", "team", "wicks", "quota-cpu=4000")
	s.run(ExitOK, "", "label", "set", "team", "braids", "quota-cpu=1000")
	file := filepath.Join(t.TempDir(), "c.json")
	require.NoError(t, os.WriteFile(file, []byte(s.run(ExitOK, "", "config", "show", "-o", "json")), 0o600))
	require.Contains(t, s.run(ExitOK, "", "config", "apply", "-f", file), "0 items differ")
	wanted := `{"items": [
		{"key": {"kind": "team", "name": "wicks"}, "labels": {"quota-cpu": "8000"}},
		{"key": {"kind": "selector", "name": "apart"}, "selector": {"kind": "must-stay-apart", "subject": "class=a", "object": "class=b"}}]}`
	out := s.run(ExitOK, wanted, "config", "diff", "-f", "-", "--prune")
	require.Contains(t, out, "~ team/wicks quota-cpu=4000 -> quota-cpu=8000\n+ selector/apart")
	require.Contains(t, out, "- team/braids quota-cpu=1000")
	require.Contains(t, s.run(ExitOK, wanted, "config", "apply", "-f", "-", "--dry-run"), "2 items differ; nothing was changed")
	require.Contains(t, s.run(ExitOK, wanted, "config", "apply", "-f", "-"), "2 changes accepted as version 3")
	s.run(ExitOK, "", "label", "show", "team", "braids")
	s.run(ExitConflict, strings.Replace(wanted, "8000", "9000", 1), "config", "apply", "-f", "-", "--base", "1")
	out = s.run(ExitUsage, strings.NewReplacer("8000", "many", "class=b", "class in (", `"team"`, `"host"`).Replace(wanted), "config", "apply", "-f", "-")
	require.Contains(t, out, "-:2: host/wicks.key.kind")
	require.Contains(t, out, "-:3: selector/apart.selector.object")
	s.run(ExitUsage, "{", "config", "apply", "-f", "-")
}
