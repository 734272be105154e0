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

var quiet = &log.Logger{Handler: discard.New(), Level: log.DebugLevel}

var check = Validator{
	Labels: labels.Validate,
	Selector: func(s string) error {
		_, err := labels.Parse(s)
		return err
	},
}

func set(id string, base model.ConfigVersion, name, value string) Edit {
	return Edit{ID: id, Author: "author-of-" + id, Base: base, Changes: []Change{{
		Key: model.ConfigKey{Kind: model.KindWorker, Name: name}, Item: &model.ConfigItem{Labels: model.Labels{"v": value}}}}}
}

// world is a table with one entry, in virtual time.
type world struct {
	t     *testing.T
	g     *actor.Group
	table fakeTable
	store *Store
}

func inWorld(t *testing.T, run func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), func(e actor.Exit) { t.Error(e.Err) })
		w := &world{t: t, g: g, table: newFakeTable(g)}
		w.store = w.newStore("entry-1")
		defer g.Stop()
		run(t, w)
	})
}

func (w *world) newStore(id model.EntryID) *Store {
	return StartStore(w.g, StoreConfig{ID: id, Table: w.table, Validator: check, Log: quiet})
}

func (w *world) faults(reads fault, commits ...fault) {
	require.NoError(w.t, w.table.do(w.t.Context(), func(d *tableData) { d.reads, d.commits = reads, commits }))
}

func (w *world) edit(e Edit) EditResult {
	a, err := w.store.Edit(w.t.Context(), e)
	require.NoError(w.t, err)
	return a
}

// expect waits in virtual time until a daemon has a version in a state.
func (w *world) expect(h Handle, v model.ConfigVersion, state string) *Snapshot {
	var u Update
	for range 40 {
		var err error
		u, err = h.Current(w.t.Context())
		require.NoError(w.t, err)
		if u.Snapshot.Version() == v && u.State == state {
			return u.Snapshot
		}
		actor.Sleep(w.t.Context(), 250*time.Millisecond)
	}
	require.Failf(w.t, "configuration did not arrive", "at version %d %s, want %d %s", u.Snapshot.Version(), u.State, v, state)
	return nil
}

// join connects an agent and an entry by mailboxes and returns the unlinking.
func (w *world) join(s *Store, a Handle, worker string) (cut func()) {
	g := w.g.Sub()
	ctx := w.t.Context()
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
	have, err := a.Current(ctx)
	require.NoError(w.t, err)
	ours, err := s.Current(ctx)
	require.NoError(w.t, err)
	require.NoError(w.t, a.LinkUp(ctx, "entry-1", ours.Snapshot.Version(), toEntry))
	require.NoError(w.t, s.LinkUp(ctx, worker, have.Snapshot.Version(), toAgent))
	return func() {
		g.Stop()
		require.NoError(w.t, a.LinkDown(ctx, "entry-1", toEntry))
		require.NoError(w.t, s.LinkDown(ctx, worker, toAgent))
	}
}

// Guards against an edit that merges over, or is lost to, another one.
func TestRacingEdits(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		require.EqualValues(t, 1, w.edit(set("a", 0, "w1", "1")).Version)
		require.EqualValues(t, 2, w.edit(set("b", 0, "w2", "1")).Version, "another key merges")
		_, err := w.store.Edit(t.Context(), set("c", 0, "w1", "2"))
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "author-of-a", conflict.Author)
		require.EqualValues(t, 1, conflict.Version)
		// Another entry commits between this entry's read and its commit.
		other := w.newStore("entry-2")
		_, err = other.Edit(t.Context(), Edit{ID: "d", Base: 1, Changes: []Change{{Key: model.ConfigKey{Kind: model.KindWorker, Name: "w1"}}}})
		require.NoError(t, err)
		_, err = w.store.Edit(t.Context(), set("e", 2, "w1", "3"))
		require.ErrorAs(t, err, &conflict, "a removal conflicts too")
		_, err = w.store.Edit(t.Context(), set("f", 99, "w1", "3"))
		var found finding.List
		require.ErrorAs(t, err, &found)
		s := w.expect(w.store.Handle, 3, "current")
		require.Nil(t, s.Labels(model.KindWorker, "w1"))
		require.Equal(t, model.Labels{"v": "1"}, s.Labels(model.KindWorker, "w2"))
		history, err := w.store.History(t.Context(), 0, 2)
		require.NoError(t, err)
		require.Equal(t, []string{"d", "b"}, []string{history[0].Edit, history[1].Edit})
	})
}

// Guards against an edit written twice, or reported as refused although it
// was written, when responses of the table are lost.
func TestLostResponses(t *testing.T) {
	cases := map[string]struct {
		commits []fault
		want    error
	}{
		"written, response lost":       {[]fault{lostAfter}, nil},
		"request lost":                 {[]fault{lostFirst}, nil},
		"lost twice, then written":     {[]fault{lostFirst, lostAfter}, nil},
		"away":                         {[]fault{away}, storage.ErrUnavailable},
		"lost, then away for long":     {[]fault{lostFirst, away, away, away, away, away, away, away, away, away, away, away}, storage.ErrOutcomeUnknown},
		"request delayed":              {[]fault{late}, nil},
		"every response lost for long": {[]fault{lostFirst, lostFirst, lostFirst, lostFirst, lostFirst, lostFirst, lostFirst, lostFirst, lostFirst, lostFirst, lostFirst, lostFirst}, storage.ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.faults(healthy, c.commits...)
				accepted, err := w.store.Edit(t.Context(), set("a", 0, "w1", "1"))
				if c.want != nil {
					require.ErrorIs(t, err, c.want)
					w.faults(healthy)
					accepted = w.edit(set("a", 0, "w1", "1"))
				} else {
					require.NoError(t, err)
				}
				require.EqualValues(t, 1, accepted.Version)
				require.Equal(t, EditResult{Version: 1, Repeated: true}, w.edit(set("a", 0, "w1", "1")))
				w.expect(w.store.Handle, 1, "current")
			})
		})
	}
}

// Guards against "unknown" resolved to the wrong side when another entry's
// edit took the version of a lost one.
func TestLostEditIsOvertaken(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		other := w.newStore("entry-2")
		w.faults(healthy, lostFirst)
		answer := actor.NewReply[error]()
		actor.Go(w.g, "editor", func(ctx context.Context) error {
			_, err := w.store.Edit(ctx, set("a", 0, "w1", "1"))
			answer.Put(err)
			return nil
		})
		synctest.Wait() // the first commit is lost, the editor waits before it reads back
		_, err := other.Edit(t.Context(), set("b", 0, "w1", "2"))
		require.NoError(t, err)
		err, _ = answer.Get(t.Context())
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "author-of-b", conflict.Author)
	})
}

// Guards against an invalid edit accepted in part, or reported in part.
func TestInvalidEditReportsEveryFinding(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		_, err := w.store.Edit(t.Context(), Edit{ID: "has space", Changes: []Change{
			{Key: model.ConfigKey{Kind: "host", Name: "w1"}},
			{Key: model.ConfigKey{Kind: model.KindClass, Name: "c"}, Item: &model.ConfigItem{Labels: model.Labels{"deadline-ms": "-5", "long": "maybe"}}},
			{Key: model.ConfigKey{Kind: model.KindSelector, Name: "s"}, Item: &model.ConfigItem{Selector: &model.Selector{Kind: "near", Subject: "bad("}}},
			{Key: model.ConfigKey{Kind: model.KindSelector, Name: "s"}},
			{Key: model.ConfigKey{Kind: model.KindTeam, Name: "t"}, Item: &model.ConfigItem{Labels: model.Labels{"a b": "c"}}},
		}})
		var found finding.List
		require.ErrorAs(t, err, &found)
		for _, want := range []string{"edit: id:", "changes[0].key.kind:", "changes[1].item.labels.deadline-ms:", "changes[1].item.labels.long:",
			"changes[2].item.selector.kind:", "changes[2].item.selector.subject:", "changes[4].item.labels.a b: key \"a b\" contains", "changes[3].key: selector/s is also changed by changes[2]"} {
			require.ErrorContains(t, err, want)
		}
		w.expect(w.store.Handle, 0, "current")
		lists := model.Labels{"path-prefix": "/roster,/grades", "idempotent-methods": "GET,POST", "deadline-ms": "200"}
		w.edit(Edit{ID: "lists", Changes: []Change{{Key: model.ConfigKey{Kind: model.KindClass, Name: "c"}, Item: &model.ConfigItem{Labels: lists}}}})
	})
}
