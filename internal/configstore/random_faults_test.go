package configstore

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// randomRun is one run of concurrent edits through two entries on a faulty
// table.
type randomRun struct {
	fixture      *fixture
	rng          *rand.Rand
	results      actor.Address[func()]
	outcomes     map[string]error // by edit id; owned by the results actor
	seenVersions map[string]model.ConfigVersion
}

// Guards against edits that are lost, written twice or reported with the wrong
// outcome, and against a daemon that returns to an older version. Commits fail,
// are lost or are delayed while two entries commit concurrently and an agent's
// link is interrupted.
func TestRandomFaults(t *testing.T) {
	for seed := range int64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) { runRandomFaults(t, f, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, f *fixture, seed int64) {
	run := &randomRun{fixture: f, rng: rand.New(rand.NewSource(seed)), outcomes: map[string]error{}, seenVersions: map[string]model.ConfigVersion{}}
	run.results = actor.Spawn(f.group, actor.Spec[func()]{Name: "results", Mailbox: 64, Run: func(ctx context.Context, in <-chan func()) error {
		for {
			select {
			case f := <-in:
				f()
			case <-ctx.Done():
				return nil
			}
		}
	}})
	stores := []*Store{f.store, f.newStore("entry-2")}
	agent := StartApplier(f.group, "w1", discardLog)
	for name, h := range map[string]Handle{"entry-1": stores[0].Handle, "entry-2": stores[1].Handle, "w1": agent} {
		run.checkVersions(t, name, h)
	}
	faultRand := rand.New(rand.NewSource(seed + 1000))
	require.NoError(t, f.table.do(t.Context(), func(d *tableData) {
		d.drawCommitFault = func() fault {
			return []fault{healthy, healthy, healthy, unavailable, responseLost, requestLost, requestDelayed}[faultRand.Intn(7)]
		}
		d.drawReadFault = func() fault { return []fault{healthy, healthy, healthy, healthy, unavailable}[faultRand.Intn(5)] }
	}))
	unlink := f.link(stores[0], agent, "w1")
	for i := range 30 {
		run.startEdit(t, stores[i%2], fmt.Sprint("e", i), i)
		actor.Sleep(t.Context(), time.Duration(run.rng.Intn(400))*time.Millisecond)
		if i%10 == 5 {
			unlink()
			unlink = f.link(stores[run.rng.Intn(2)], agent, "w1")
		}
	}
	require.NoError(t, f.table.do(t.Context(), func(d *tableData) { d.drawCommitFault, d.drawReadFault = nil, nil }))
	actor.Sleep(t.Context(), time.Minute)
	run.verify(t, stores[0], agent)
}

// startEdit starts an edit that is based on the version in use at its entry.
func (r *randomRun) startEdit(t *testing.T, s *Store, id string, i int) {
	u, err := s.Current(t.Context())
	require.NoError(t, err)
	e := setEdit(id, u.Snapshot.Version(), fmt.Sprint("w", r.rng.Intn(4)), id)
	if i%7 == 3 {
		e.Changes[0].Item = nil
	}
	actor.Go(r.fixture.group, "client", func(ctx context.Context) error {
		_, err := s.Edit(ctx, e)
		return r.results.Send(ctx, func() { r.outcomes[id] = err })
	})
}

// checkVersions reports an error when the version of a daemon decreases.
func (r *randomRun) checkVersions(t *testing.T, name string, h Handle) {
	require.NoError(t, h.Subscribe(t.Context(), func(u Update) bool {
		v := u.Snapshot.Version()
		return r.results.TrySend(func() {
			if v < r.seenVersions[name] {
				t.Errorf("%s reverted from version %d to %d", name, r.seenVersions[name], v)
			}
			r.seenVersions[name] = v
		})
	}))
}

// verify compares the log and the daemons with the outcomes that the clients
// received.
func (r *randomRun) verify(t *testing.T, s *Store, agent Handle) {
	entries, err := s.History(t.Context(), 0, 100)
	require.NoError(t, err)
	written := map[string]int{}
	want := map[model.ConfigKey]Item{}
	for i := len(entries) - 1; i >= 0; i-- {
		written[entries[i].Edit]++
		r.replay(want, entries[i])
	}
	outcomes, err := actor.Ask(t.Context(), r.results, func(reply actor.Reply[map[string]error]) func() { return func() { reply.Put(r.outcomes) } })
	require.NoError(t, err)
	require.Len(t, outcomes, 30)
	accepted := 0
	for id, outcome := range outcomes {
		switch {
		case outcome == nil:
			accepted++
			require.Equal(t, 1, written[id], "accepted edit %s", id)
		case errors.Is(outcome, storage.ErrOutcomeUnknown):
			require.LessOrEqual(t, written[id], 1, "unknown edit %s", id)
		default:
			require.Zero(t, written[id], "edit %s was refused: %v", id, outcome)
		}
	}
	require.Positive(t, accepted)
	for _, h := range []Handle{s.Handle, agent} {
		got := r.fixture.waitForVersion(h, entries[0].Version, "current")
		require.Equal(t, want, got.items)
	}
}

// replay applies an edit of the log to items.
func (r *randomRun) replay(items map[model.ConfigKey]Item, e rows.ConfigLog) {
	for _, c := range e.Changes {
		if c.Item == nil {
			delete(items, c.Key)
			continue
		}
		items[c.Key] = Item{ConfigItem: *c.Item, Version: e.Version, Author: e.Author}
	}
}
