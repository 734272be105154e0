package operator

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Guards against an API that accepts clients without the token, and a health
// check that requires it.
func TestToken(t *testing.T) {
	withFixture(t, "secret", func(f *fixture) {
		for header, want := range map[string]int{"": 401, "Bearer wrong": 401, "secret": 401, "Bearer secret": 200} {
			status, _, _ := f.call("GET", "/v1/config", "", "Authorization", header)
			require.Equal(f.t, want, status, header)
		}
		status, _, _ := f.call("GET", "/healthz", "")
		require.Equal(f.t, 200, status)
	})
}

// Guards against errors of the configuration store that are answered with a
// wrong status or without their details, and a wait that reports a version as
// applied before every daemon has it.
func TestConfig(t *testing.T) {
	withFixture(t, "", func(f *fixture) {
		f.store.err = &configstore.ConflictError{Author: "esra", Version: 7, Base: 5}
		status, _, body := f.call("POST", "/v1/config", `{"id":"e","base":5,"changes":[]}`)
		require.Equal(f.t, 409, status)
		require.Equal(f.t, "esra", body["conflict"].(map[string]any)["author"])
		f.store.err = errors.Wrap(storage.ErrOutcomeUnknown, "edit e")
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

// Guards against a wait that ends while a daemon of another entry lags, and an
// entry that does not answer but counts as up to date.
func TestConfigStatusAsksOtherEntries(t *testing.T) {
	here, there := newFixture(t, "secret"), newFixture(t, "secret")
	defer here.group.Stop()
	defer there.group.Stop()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	there.api.Serve(there.group, ln)
	here.store.status = configstore.Status{Version: 3, Daemons: []model.AppliedVersion{{Daemon: "entry-1", Version: 3}, {Daemon: "w1", Version: 3}}}
	there.store.status = configstore.Status{Version: 3, Daemons: []model.AppliedVersion{{Daemon: "entry-2", Version: 3}, {Daemon: "w1", Version: 2}, {Daemon: "w2", Version: 1}}}
	peers := []Peer{{ID: "entry-2", Address: ln.Addr().String()}}
	here.api.Peers = func(context.Context) ([]Peer, error) { return peers, nil }
	for _, path := range []string{"/v1/config/status", "/v1/config/status?wait=1ms"} {
		_, _, body := here.call("GET", path, "", "Authorization", "Bearer secret")
		require.Len(t, body["daemons"], 4)
		require.Equal(t, []any{map[string]any{"daemon": "w2", "version": 1.0}}, body["lagging"])
	}
	there.store.status.Daemons[2].Version = 3
	_, _, body := here.call("GET", "/v1/config/status?wait=1m", "", "Authorization", "Bearer secret")
	require.Equal(t, true, body["applied"])
	peers = append(peers, Peer{ID: "entry-3", Address: "http://127.0.0.1:1"})
	_, _, body = here.call("GET", "/v1/config/status", "", "Authorization", "Bearer secret")
	require.Equal(t, []any{map[string]any{"daemon": "entry-3", "version": 0.0}}, body["lagging"])
	here.api.client.CloseIdleConnections()
}

// Guards against a status that omits a problem, or lists minor problems before
// urgent ones.
func TestStatusNamesProblemsFirst(t *testing.T) {
	list := problems(Status{
		Config:   ConfigSummary{Version: 3, State: "stale"},
		Services: []model.ServiceStatus{{Service: "wick-orders", Queued: 4, Backends: []model.BackendStatus{{Backend: "b1", Worker: "w1", State: "down"}, {Backend: "b2", State: "left"}}}},
		Cells: []model.CellStatus{{Cell: "dip-shed", State: "holding", Phases: map[model.Phase]int{"parked": 2},
			Workers: []model.WorkerStatus{{Worker: "w1", State: "ready"}, {Worker: "w2", State: "quarantined", Reason: "5 failures"}}}},
	})
	require.Len(t, list, 7)
	require.Contains(t, list[0], "service wick-orders has no ready backend server")
	require.Contains(t, list[1], "cell dip-shed is holding")
	require.Contains(t, list[2], "cell dip-shed has no controller")
	require.Contains(t, strings.Join(list, "\n"), "worker w2 is quarantined (5 failures)")
}

// Guards against a listener that accepts headers of any size, or keeps running
// after its group has stopped.
func TestServeBoundsHeaders(t *testing.T) {
	f := newFixture(t, "")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := f.api.Serve(f.group, ln)
	req, err := http.NewRequest("GET", "http://"+ln.Addr().String()+"/healthz", nil)
	require.NoError(t, err)
	req.Header.Set("X-Large", strings.Repeat("x", 2*maxHeader))
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	res.Body.Close()
	require.Equal(t, 431, res.StatusCode)
	http.DefaultClient.CloseIdleConnections()
	f.group.Stop()
	<-ended
}

// Guards against a path of the API that docs/OPERATIONS.md does not describe.
func TestPageHasEveryPath(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, r := range (&API{}).routes() {
		require.Contains(t, string(page), r.method+" "+strings.ReplaceAll(r.path, "...", ""))
	}
}

// Guards against profiles or diagnostics that are served without the token, or
// to another host when no token is set.
func TestProfilesNeedTheToken(t *testing.T) {
	withFixture(t, "secret", func(f *fixture) {
		for _, path := range []string{"/debug/pprof/goroutine", "/v1/diagnose"} {
			status, _, _ := f.call("GET", path, "")
			require.Equal(f.t, 401, status, path)
			status, _, _ = f.call("GET", path, "", "Authorization", "Bearer secret")
			require.Equal(f.t, 200, status, path)
		}
	})
	withFixture(t, "", func(f *fixture) {
		status, _, body := f.call("GET", "/debug/pprof/goroutine", "") // from 192.0.2.1
		require.Equal(f.t, 403, status)
		require.Contains(f.t, body["error"], "operator-token")
	})
}

// Guards against a replaced token that stays valid, and a new one that is
// rejected.
func TestTokenIsReplaced(t *testing.T) {
	withFixture(t, "old", func(f *fixture) {
		f.api.SetToken("new")
		status, _, _ := f.call("GET", "/v1/status", "", "Authorization", "Bearer old")
		require.Equal(f.t, 401, status)
		status, _, _ = f.call("GET", "/v1/status", "", "Authorization", "Bearer new")
		require.Equal(f.t, 200, status)
	})
}
