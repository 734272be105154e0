package configstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/labels"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/storage"
)

var discardLog = &log.Logger{Handler: discard.New(), Level: log.DebugLevel}

var testValidator = Validator{
	Labels: labels.Validate,
	Selector: func(s string) error {
		_, err := labels.Parse(s)
		return err
	},
}

func setEdit(id string, base model.ConfigVersion, name, value string) Edit {
	return Edit{ID: id, Author: "author-of-" + id, Base: base, Changes: []Change{{
		Key: model.ConfigKey{Kind: model.KindWorker, Name: name}, Item: &model.ConfigItem{Labels: model.Labels{"v": value}}}}}
}

// fixture is a simulated table with one entry, in virtual time.
type fixture struct {
	t     *testing.T
	group *actor.Group
	table fakeTable
	store *Store
}

func withFixture(t *testing.T, run func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), func(e actor.Exit) { t.Error(e.Err) })
		f := &fixture{t: t, group: g, table: newFakeTable(g)}
		f.store = f.newStore("entry-1")
		defer g.Stop()
		run(t, f)
	})
}

func (f *fixture) newStore(id model.EntryID) *Store {
	return StartStore(f.group, StoreConfig{ID: id, Table: f.table, Validator: testValidator, Log: discardLog})
}

func (f *fixture) setFaults(reads fault, commits ...fault) {
	require.NoError(f.t, f.table.do(f.t.Context(), func(d *tableData) { d.readFault, d.commitFaults = reads, commits }))
}

func (f *fixture) edit(e Edit) EditResult {
	a, err := f.store.Edit(f.t.Context(), e)
	require.NoError(f.t, err)
	return a
}

// waitForVersion waits up to 10 s of virtual time until a daemon uses version v
// in the given state.
func (f *fixture) waitForVersion(h Handle, v model.ConfigVersion, state string) *Snapshot {
	var u Update
	for range 40 {
		var err error
		u, err = h.Current(f.t.Context())
		require.NoError(f.t, err)
		if u.Snapshot.Version() == v && u.State == state {
			return u.Snapshot
		}
		actor.Sleep(f.t.Context(), 250*time.Millisecond)
	}
	require.Failf(f.t, "configuration did not arrive", "at version %d %s, want %d %s", u.Snapshot.Version(), u.State, v, state)
	return nil
}

// link connects agent a, named worker, and the entry of s by mailboxes. unlink
// ends the link.
func (f *fixture) link(s *Store, a Handle, worker string) (unlink func()) {
	g := f.group.Sub()
	ctx := f.t.Context()
	pipe := func(to Handle, from string) actor.Address[msg.Control] {
		return actor.Spawn(g, actor.Spec[msg.Control]{Name: "link", Mailbox: 4, Run: func(ctx context.Context, in <-chan msg.Control) error {
			for {
				select {
				case m := <-in:
					_ = to.Deliver(ctx, from, m)
				case <-ctx.Done():
					return nil
				}
			}
		}})
	}
	toAgent, toEntry := pipe(a, "entry-1"), pipe(s.Handle, worker)
	agentUpdate, err := a.Current(ctx)
	require.NoError(f.t, err)
	entryUpdate, err := s.Current(ctx)
	require.NoError(f.t, err)
	require.NoError(f.t, a.LinkUp(ctx, "entry-1", entryUpdate.Snapshot.Version(), toEntry))
	require.NoError(f.t, s.LinkUp(ctx, worker, agentUpdate.Snapshot.Version(), toAgent))
	return func() {
		g.Stop()
		require.NoError(f.t, a.LinkDown(ctx, "entry-1", toEntry))
		require.NoError(f.t, s.LinkDown(ctx, worker, toAgent))
	}
}

// Guards against an edit that overwrites a concurrent edit of the same key, and
// against a conflict between edits of different keys.
func TestRacingEdits(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		require.EqualValues(t, 1, f.edit(setEdit("a", 0, "w1", "1")).Version)
		require.EqualValues(t, 2, f.edit(setEdit("b", 0, "w2", "1")).Version, "an edit of another key is accepted")
		_, err := f.store.Edit(t.Context(), setEdit("c", 0, "w1", "2"))
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "author-of-a", conflict.Author)
		require.EqualValues(t, 1, conflict.Version)
		// Another entry commits an edit.
		other := f.newStore("entry-2")
		_, err = other.Edit(t.Context(), Edit{ID: "d", Base: 1, Changes: []Change{{Key: model.ConfigKey{Kind: model.KindWorker, Name: "w1"}}}})
		require.NoError(t, err)
		_, err = f.store.Edit(t.Context(), setEdit("e", 2, "w1", "3"))
		require.ErrorAs(t, err, &conflict, "a removal conflicts too")
		_, err = f.store.Edit(t.Context(), setEdit("f", 99, "w1", "3"))
		var findings finding.List
		require.ErrorAs(t, err, &findings)
		s := f.waitForVersion(f.store.Handle, 3, "current")
		require.Nil(t, s.Labels(model.KindWorker, "w1"))
		require.Equal(t, model.Labels{"v": "1"}, s.Labels(model.KindWorker, "w2"))
		history, err := f.store.History(t.Context(), 0, 2)
		require.NoError(t, err)
		require.Equal(t, []string{"d", "b"}, []string{history[0].Edit, history[1].Edit})
	})
}

// Guards against an edit written twice, or reported as refused although it was
// written, when requests to the table or their responses are lost or delayed.
func TestLostResponses(t *testing.T) {
	cases := map[string]struct {
		commits []fault
		want    error
	}{
		"written, response lost":   {[]fault{responseLost}, nil},
		"request lost":             {[]fault{requestLost}, nil},
		"lost twice, then written": {[]fault{requestLost, responseLost}, nil},
		"unavailable":              {[]fault{unavailable}, storage.ErrUnavailable},
		"lost, then unavailable":   {[]fault{requestLost, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable}, storage.ErrOutcomeUnknown},
		"request delayed":          {[]fault{requestDelayed}, nil},
		"every request lost":       {[]fault{requestLost, requestLost, requestLost, requestLost, requestLost, requestLost, requestLost, requestLost, requestLost, requestLost, requestLost, requestLost}, storage.ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				f.setFaults(healthy, c.commits...)
				accepted, err := f.store.Edit(t.Context(), setEdit("a", 0, "w1", "1"))
				if c.want != nil {
					require.ErrorIs(t, err, c.want)
					f.setFaults(healthy)
					accepted = f.edit(setEdit("a", 0, "w1", "1"))
				} else {
					require.NoError(t, err)
				}
				require.EqualValues(t, 1, accepted.Version)
				require.Equal(t, EditResult{Version: 1, Repeated: true}, f.edit(setEdit("a", 0, "w1", "1")))
				f.waitForVersion(f.store.Handle, 1, "current")
			})
		})
	}
}

// Guards against an edit that is reported as accepted although its commit was
// lost and another entry's edit has its version.
func TestLostEditConflictsWithOtherEntry(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		other := f.newStore("entry-2")
		f.setFaults(healthy, requestLost)
		answer := actor.NewReply[error]()
		actor.Go(f.group, "editor", func(ctx context.Context) error {
			_, err := f.store.Edit(ctx, setEdit("a", 0, "w1", "1"))
			answer.Put(err)
			return nil
		})
		synctest.Wait() // the first commit is lost; the editor waits before it reads the log
		_, err := other.Edit(t.Context(), setEdit("b", 0, "w1", "2"))
		require.NoError(t, err)
		err, _ = answer.Get(t.Context())
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "author-of-b", conflict.Author)
	})
}

// Guards against an invalid edit that takes effect in part, and against a
// report that omits findings.
func TestInvalidEditReportsEveryFinding(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		_, err := f.store.Edit(t.Context(), Edit{ID: "has space", Changes: []Change{
			{Key: model.ConfigKey{Kind: "host", Name: "w1"}},
			{Key: model.ConfigKey{Kind: model.KindClass, Name: "c"}, Item: &model.ConfigItem{Labels: model.Labels{"deadline-ms": "-5", "long": "maybe"}}},
			{Key: model.ConfigKey{Kind: model.KindSelector, Name: "s"}, Item: &model.ConfigItem{Selector: &model.Selector{Kind: "near", Subject: "bad("}}},
			{Key: model.ConfigKey{Kind: model.KindSelector, Name: "s"}},
			{Key: model.ConfigKey{Kind: model.KindTeam, Name: "t"}, Item: &model.ConfigItem{Labels: model.Labels{"a b": "c"}}},
		}})
		var findings finding.List
		require.ErrorAs(t, err, &findings)
		for _, want := range []string{"edit: id:", "changes[0].key.kind:", "changes[1].item.labels.deadline-ms:", "changes[1].item.labels.long:",
			"changes[2].item.selector.kind:", "changes[2].item.selector.subject:", "changes[4].item.labels.a b: key \"a b\" contains", "changes[3].key: selector/s is also changed by changes[2]"} {
			require.ErrorContains(t, err, want)
		}
		f.waitForVersion(f.store.Handle, 0, "current")
		lists := model.Labels{"path-prefix": "/roster,/grades", "idempotent-methods": "GET,POST", "deadline-ms": "200"}
		f.edit(Edit{ID: "lists", Changes: []Change{{Key: model.ConfigKey{Kind: model.KindClass, Name: "c"}, Item: &model.ConfigItem{Labels: lists}}}})
	})
}
