package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
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
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// scriptedTable is a table in memory whose first commits end as commitResults
// says, one result a commit; later ones succeed. It is not safe for concurrent
// use.
type scriptedTable struct {
	rev           storage.Revision
	rows          map[string]storage.Row
	commitResults []string // "away": table unavailable; "lost-before", "lost-after": outcome unknown, not committed or committed
	readsFail     bool     // Read returns storage.ErrUnavailable
}

func (t *scriptedTable) Commit(_ context.Context, txn storage.Txn) (storage.Revision, error) {
	step := ""
	if len(t.commitResults) > 0 {
		step, t.commitResults = t.commitResults[0], t.commitResults[1:]
	}
	if step == "away" {
		return 0, storage.ErrUnavailable
	} else if step == "lost-before" {
		return 0, storage.ErrOutcomeUnknown
	}
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return 0, &storage.ConflictError{Keys: []string{c.Key}}
		}
	}
	t.rev++
	for _, p := range txn.Puts {
		t.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: t.rev}
	}
	if step == "lost-after" {
		return 0, storage.ErrOutcomeUnknown
	}
	return t.rev, nil
}

func (t *scriptedTable) Read(_ context.Context, key string) (storage.Row, error) {
	if t.readsFail {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return row, storage.ErrNotFound
	}
	return row, nil
}

func (t *scriptedTable) Scan(_ context.Context, prefix string, after storage.Revision) ([]storage.Row, storage.Revision, error) {
	var out []storage.Row
	for k, row := range t.rows {
		if strings.HasPrefix(k, prefix) && row.Version > after {
			out = append(out, row)
		}
	}
	return out, t.rev, nil
}

func (t *scriptedTable) Put(context.Context, string, []byte) error { return nil }
func (t *scriptedTable) Get(_ context.Context, name string) ([]byte, error) {
	return []byte("result of " + name), nil
}
func (t *scriptedTable) Delete(context.Context, string) error { return nil }

// fixedStore is a configuration store with fixed results.
type fixedStore struct {
	err    error
	status configstore.Status
}

func (s *fixedStore) Edit(context.Context, configstore.Edit) (configstore.EditResult, error) {
	return configstore.EditResult{Version: 4}, s.err
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
	group *actor.Group
	table *scriptedTable
	store *fixedStore
	api   *API
}

func withFixture(t *testing.T, token string, run func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, token)
		defer f.group.Stop()
		run(f)
	})
}

func newFixture(t *testing.T, token string) *fixture {
	f := &fixture{t: t, group: actor.NewGroup(t.Context(), nil), table: &scriptedTable{rows: map[string]storage.Row{}}, store: &fixedStore{}}
	f.api = New(f.group, Config{
		Entry: "entry-1", Token: token, DefaultCell: "dip-shed", Table: f.table, Objects: f.table, ConfigStore: f.store,
		Log:            &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
		ValidateLabels: func(model.Labels) finding.List { return nil },
		ParseSelector: func(s string) (func(model.Labels) bool, error) {
			k, v, ok := strings.Cut(s, "=")
			if !ok {
				return nil, errors.New("expected key=value")
			}
			return func(l model.Labels) bool { return l[k] == v }, nil
		},
		IsFinal: func(p model.Phase) bool { return p == "done" },
	})
	return f
}

// call sends a request with headers (name, value, ...), and returns the status,
// the headers and the decoded JSON body of the response. A body of another
// content type is returned under the key "raw".
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

func jobJSON(id, program string) string {
	return fmt.Sprintf(`{"id":%q,"team":"wicks","class":"priming","labels":{"line":%q},"resources":{"milliCpu":500,"memory":1024},"program":%q}`, id, id, program)
}
