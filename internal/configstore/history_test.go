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

// trial is one run of racing editors on a faulty table.
type trial struct {
	w       *world
	rng     *rand.Rand
	results actor.Address[func()]
	fates   map[string]error // by edit id; owned by the results actor
	seen    map[string]model.ConfigVersion
}

// Guards against edits that are lost, written twice or reported with the wrong
// outcome, and against a daemon that reverts, when commits fail, vanish or
// arrive late while two entries race and an agent's link breaks.
func TestRandomFaults(t *testing.T) {
	for seed := range int64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) { runTrial(t, w, seed) })
		})
	}
}

func runTrial(t *testing.T, w *world, seed int64) {
	x := &trial{w: w, rng: rand.New(rand.NewSource(seed)), fates: map[string]error{}, seen: map[string]model.ConfigVersion{}}
	x.results = actor.Spawn(w.g, actor.Spec[func()]{Name: "results", Mailbox: 64, Run: func(ctx context.Context, in <-chan func()) error {
		for {
			select {
			case f := <-in:
				f()
			case <-ctx.Done():
				return nil
			}
		}
	}})
	stores := []*Store{w.store, w.newStore("entry-2")}
	agent := StartApplier(w.g, "w1", quiet)
	for name, h := range map[string]Handle{"entry-1": stores[0].Handle, "entry-2": stores[1].Handle, "w1": agent} {
		x.watch(t, name, h)
	}
	faulty := rand.New(rand.NewSource(seed + 1000))
	require.NoError(t, w.table.do(t.Context(), func(d *tableData) {
		d.draw = func() fault {
			return []fault{healthy, healthy, healthy, away, lostAfter, lostFirst, late}[faulty.Intn(7)]
		}
		d.drawn = func() fault { return []fault{healthy, healthy, healthy, healthy, away}[faulty.Intn(5)] }
	}))
	cut := w.join(stores[0], agent, "w1")
	for i := range 30 {
		x.launch(t, stores[i%2], fmt.Sprint("e", i), i)
		actor.Sleep(t.Context(), time.Duration(x.rng.Intn(400))*time.Millisecond)
		if i%10 == 5 {
			cut()
			cut = w.join(stores[x.rng.Intn(2)], agent, "w1")
		}
	}
	require.NoError(t, w.table.do(t.Context(), func(d *tableData) { d.draw, d.drawn = nil, nil }))
	actor.Sleep(t.Context(), time.Minute)
	x.judge(t, stores[0], agent)
}

// launch starts an edit on the version in force at its entry.
func (x *trial) launch(t *testing.T, s *Store, id string, i int) {
	u, err := s.Current(t.Context())
	require.NoError(t, err)
	e := set(id, u.Snapshot.Version(), fmt.Sprint("w", x.rng.Intn(4)), id)
	if i%7 == 3 {
		e.Changes[0].Item = nil
	}
	actor.Go(x.w.g, "client", func(ctx context.Context) error {
		_, err := s.Edit(ctx, e)
		return x.results.Send(ctx, func() { x.fates[id] = err })
	})
}

func (x *trial) watch(t *testing.T, name string, h Handle) {
	require.NoError(t, h.Subscribe(t.Context(), func(u Update) bool {
		v := u.Snapshot.Version()
		return x.results.TrySend(func() {
			if v < x.seen[name] {
				t.Errorf("%s reverted from version %d to %d", name, x.seen[name], v)
			}
			x.seen[name] = v
		})
	}))
}

// judge compares the log with what the clients were told.
func (x *trial) judge(t *testing.T, s *Store, agent Handle) {
	log, err := s.History(t.Context(), 0, 100)
	require.NoError(t, err)
	written := map[string]int{}
	want := map[model.ConfigKey]Item{}
	for i := len(log) - 1; i >= 0; i-- {
		written[log[i].Edit]++
		x.replay(want, log[i])
	}
	fates, err := actor.Ask(t.Context(), x.results, func(r actor.Reply[map[string]error]) func() { return func() { r.Put(x.fates) } })
	require.NoError(t, err)
	require.Len(t, fates, 30)
	accepted := 0
	for id, fate := range fates {
		switch {
		case fate == nil:
			accepted++
			require.Equal(t, 1, written[id], "accepted edit %s", id)
		case errors.Is(fate, storage.ErrOutcomeUnknown):
			require.LessOrEqual(t, written[id], 1, "unknown edit %s", id)
		default:
			require.Zero(t, written[id], "edit %s was refused: %v", id, fate)
		}
	}
	require.Positive(t, accepted)
	for _, h := range []Handle{s.Handle, agent} {
		got := x.w.expect(h, log[0].Version, "current")
		require.Equal(t, want, got.items)
	}
}

func (x *trial) replay(items map[model.ConfigKey]Item, e rows.ConfigLog) {
	for _, c := range e.Changes {
		if c.Item == nil {
			delete(items, c.Key)
			continue
		}
		items[c.Key] = Item{ConfigItem: *c.Item, Version: e.Version, Author: e.Author}
	}
}
