package command

import (
	"bytes"
	"context"
	"fmt"
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
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/operator"
	"github.com/bambooscale/bambooscale/internal/platform"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// system is an entry's operators' API on loopback, with a simulated table
// behind its HTTP client.
type system struct {
	t      *testing.T
	url    string
	store  *configstore.Store
	status []model.ServiceStatus
}

func newSystem(t *testing.T) *system {
	g := actor.NewGroup(context.Background(), nil)
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	tables := httptest.NewServer(standin.NewTable(g, standin.StoreFaults{}).Handler())
	table := platform.NewHTTPTable(platform.HTTPConfig{URL: tables.URL})
	check := configstore.Check{Labels: func(model.Labels) finding.List { return nil }, Selector: func(string) error { return nil }}
	s := &system{t: t, store: configstore.StartStore(g, configstore.StoreConfig{ID: "entry-1", Table: table, Check: check, Log: quiet})}
	api := operator.New(g, operator.Config{Entry: "entry-1", Build: "test", DefaultCell: "dip-shed", Table: table, Store: s.store, Log: quiet,
		Labels:   check.Labels,
		Selector: func(string) (func(model.Labels) bool, error) { return func(model.Labels) bool { return true }, nil },
		Services: func(context.Context) ([]model.ServiceStatus, error) { return s.status, nil },
		Explain: func(_ context.Context, kind, name string) (any, error) {
			return map[string]any{"reason": "fits " + kind + " " + name, "workers": []any{map[string]string{"worker": "w1", "reason": "quota", "text": "team at its quota"}}}, nil
		},
	})
	server := httptest.NewServer(api.Handler())
	s.url = server.URL
	t.Cleanup(func() { server.Close(); g.Stop(); table.Close(); tables.Close() })
	return s
}

// run executes a command line and checks its exit code.
func (s *system) run(code int, stdin string, args ...string) string {
	s.t.Helper()
	var out, errs bytes.Buffer
	got := Run(s.t.Context(), append(args, "--server", s.url), strings.NewReader(stdin), &out, &errs)
	require.Equal(s.t, code, got, "bambooctl %v\n%s\n%s", args, out.String(), errs.String())
	return out.String() + errs.String()
}

// Guards against a label command that loses other labels, or an exit code
// that tells a script the wrong thing.
func TestLabelsAndSelectors(t *testing.T) {
	s := newSystem(t)
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

// Guards against a wait that ends before every daemon has the version, or
// does not say which daemon lags.
func TestWaitNamesLaggards(t *testing.T) {
	s := newSystem(t)
	require.NoError(t, s.store.LinkUp(t.Context(), "w7", 0, actor.Address[msg.Control]{}))
	out := s.run(ExitFailure, "", "label", "set", "team", "wicks", "floor=2", "--wait", "--timeout", "10ms")
	require.Contains(t, out, "version 1 is accepted, but not in effect everywhere")
	out = s.run(ExitOK, "", "config", "status")
	require.Contains(t, out, "lagging: w7 (version 0)")
}

// Guards against a job submitted twice or with lost fields, and against exit
// codes that hide a conflict.
func TestJobs(t *testing.T) {
	s := newSystem(t)
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

// Guards against a change whose answer was lost that is reported as not done.
func TestLostAnswers(t *testing.T) {
	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.Close()
		}
	}))
	defer cut.Close()
	submit := []string{"job", "submit", "--id", "j", "--team", "t", "--class", "c", "--cpu", "1", "--memory", "1", "--program", "p"}
	s := &system{t: t, url: cut.URL}
	s.run(ExitUnknown, "", submit...)
	s.run(ExitUnavailable, "", "job", "show", "j")
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	s.url = gone.URL
	s.run(ExitUnavailable, "", submit...)
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(503)
		fmt.Fprint(w, `{"error":"table is away","outcome":"unknown"}`)
	}))
	defer busy.Close()
	s.url = busy.URL
	s.run(ExitUnknown, "", submit...)
}

// Guards against a status longer than a screen, or one that begins with what
// is not wrong.
func TestStatusFitsAScreen(t *testing.T) {
	s := newSystem(t)
	for i := range 20 {
		s.status = append(s.status, model.ServiceStatus{Service: model.Service(fmt.Sprint("s", i)),
			Backends: []model.BackendStatus{{Backend: "b1", State: "down"}}, Classes: []model.ClassStatus{{Class: "c", P99: 3e6}}})
	}
	out := s.run(ExitOK, "", "status")
	require.LessOrEqual(t, strings.Count(out, "\n"), 24)
	require.True(t, strings.HasPrefix(out, "! service s0 has no ready backend server"), out)
	require.Contains(t, out, "more; show them with --all")
	require.Contains(t, s.run(ExitOK, "", "backend", "list", "--service", "s3"), "down")
	require.Contains(t, s.run(ExitOK, "", "top", "--count", "1"), "3.0ms")
	require.Regexp(t, `reason: fits job j1\nWORKER +REASON +TEXT\nw1 +quota +team at its quota`, s.run(ExitOK, "", "explain", "job", "j1"))
	s.run(ExitNotFound, "", "backend", "drain", "b1")
}

// Guards against a mistyped command that a script takes for a success.
func TestUsage(t *testing.T) {
	s := &system{t: t, url: "http://127.0.0.1:1"}
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

// Guards against a wait for a job that ends early, or never.
func TestFinalPhases(t *testing.T) {
	final, err := finalPhases(fstest.MapFS{"job.scxml": {Data: []byte(`<scxml name="job" initial="pending"><state id="pending"/><final id="done"/><final id="failed"/></scxml>`)}})
	require.NoError(t, err)
	require.Equal(t, map[model.Phase]bool{"done": true, "failed": true}, final)
}

// Guards against a command that the operations page does not describe.
func TestPageHasEveryCommand(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations.md")
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
