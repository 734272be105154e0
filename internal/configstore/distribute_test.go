package configstore

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Guards against an agent that misses an edit, an entry that does not know
// what is in force there, and a subscriber that is not told.
func TestEditReachesAgents(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		var seen []model.ConfigVersion
		agent := StartApplier(w.g, "w1", quiet)
		require.NoError(t, agent.Subscribe(t.Context(), func(u Update) bool {
			if n := len(seen); n == 0 || seen[n-1] != u.Snapshot.Version() {
				seen = append(seen, u.Snapshot.Version())
			}
			return true
		}))
		w.expect(agent, 0, "empty")
		w.edit(set("a", 0, "x", "1"))
		cut := w.join(w.store, agent, "w1")
		w.expect(agent, 1, "current")
		for v := range 30 {
			w.edit(set(fmt.Sprint("b", v), model.ConfigVersion(v+1), "x", "2"))
		}
		w.expect(agent, 31, "current")
		synctest.Wait()
		status, err := w.store.Status(t.Context())
		require.NoError(t, err)
		require.Contains(t, status.Daemons, model.AppliedVersion{Daemon: "w1", Version: 31})
		require.IsIncreasing(t, seen)
		cut()
		w.expect(agent, 31, "stale")
		w.edit(set("c", 31, "x", "3"))
		w.join(w.store, agent, "w1")
		require.Equal(t, "3", w.expect(agent, 32, "current").Labels(model.KindWorker, "x")["v"])
	})
}

// Guards against a restarted entry that works without the configuration, or
// reverts agents to the empty one, while the table is away.
func TestEntryStartsWhileTheTableIsAway(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		agent := StartApplier(w.g, "w1", quiet)
		w.edit(set("a", 0, "x", "1"))
		cut := w.join(w.store, agent, "w1")
		w.expect(agent, 1, "current")
		cut()
		w.faults(away)
		restarted := w.newStore("entry-2")
		w.expect(restarted.Handle, 0, "empty")
		w.join(restarted, agent, "w1")
		s := w.expect(restarted.Handle, 1, "stale")
		require.Equal(t, model.Labels{"v": "1"}, s.Labels(model.KindWorker, "x"))
		_, err := restarted.Edit(t.Context(), set("b", 1, "x", "2"))
		require.ErrorIs(t, err, storage.ErrUnavailable)
		w.faults(healthy)
		w.expect(restarted.Handle, 1, "current")
	})
}

// Guards against rows of old edits and removed items that grow without bound,
// and against an edit that misses the removal of its item in a pruned row.
func TestOldEditsArePruned(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		store := StartStore(w.g, StoreConfig{ID: "entry-2", Table: w.table, Validator: check, Log: quiet, KeepVersions: 3})
		edit := func(id string, e Edit) {
			_, err := store.Edit(t.Context(), e)
			require.NoError(t, err, id)
		}
		edit("set", set("v1", 0, "gone", "1"))
		edit("remove", Edit{ID: "v2", Base: 1, Changes: []Change{{Key: model.ConfigKey{Kind: model.KindWorker, Name: "gone"}}}})
		for v := 2; v < 8; v++ {
			edit("more", set(fmt.Sprint("v", v+1), model.ConfigVersion(v), "kept", "1"))
		}
		synctest.Wait()
		require.NoError(t, w.table.do(t.Context(), func(d *tableData) {
			require.Zero(t, d.version("config/key/worker/gone"))
			require.NotZero(t, d.version("config/key/worker/kept"))
			require.Zero(t, d.version("config/log/00000000000000000005"))
			require.NotZero(t, d.version("config/log/00000000000000000006"))
		}))
		_, err := store.Edit(t.Context(), set("late", 1, "gone", "2"))
		require.ErrorContains(t, err, "too old")
		restarted := w.newStore("entry-3")
		w.expect(restarted.Handle, 8, "current")
	})
}

// Guards against an older or incomplete delta that is applied.
func TestOnlyHigherVersionsApply(t *testing.T) {
	change := func(v model.ConfigVersion, value string) model.ConfigChange {
		return model.ConfigChange{Version: v, Key: model.ConfigKey{Kind: model.KindTeam, Name: "t"}, Item: &model.ConfigItem{Labels: model.Labels{"quota-cpu": value}}}
	}
	s := (&Snapshot{}).apply(&msg.ConfigDelta{To: 2, Changes: []model.ConfigChange{change(1, "1"), change(2, "2")}})
	require.Equal(t, fitOlder, s.fit(&msg.ConfigDelta{To: 1, Full: true}))
	require.Equal(t, fitSame, s.fit(&msg.ConfigDelta{From: 1, To: 2}))
	require.Equal(t, fitGap, s.fit(&msg.ConfigDelta{From: 3, To: 4}))
	overlapping := &msg.ConfigDelta{From: 0, To: 3, Changes: []model.ConfigChange{change(1, "1"), change(2, "2"), change(3, "3")}}
	require.Equal(t, fitNewer, s.fit(overlapping))
	next := s.apply(overlapping)
	quota, ok := next.Quota("t")
	require.True(t, ok)
	require.EqualValues(t, 3, quota.CPU)
	old, _ := s.Quota("t")
	require.EqualValues(t, 2, old.CPU, "a snapshot is immutable")
}

// Guards against a request path matched to a less specific class, or to a
// class of another service.
func TestClassOfPath(t *testing.T) {
	class := func(name string) model.ConfigKey { return model.ConfigKey{Kind: model.KindClass, Name: name} }
	s := NewSnapshot(1, map[model.ConfigKey]model.ConfigItem{
		class("read"):   {Labels: model.Labels{"path-prefix": "/", "deadline-ms": "200"}},
		class("roster"): {Labels: model.Labels{"path-prefix": "/roster,/grades", "long": "true", "service": "permit-desk", "target-p99-ms": "50", "idempotent-methods": "GET,POST"}},
		class("other"):  {Labels: model.Labels{"path-prefix": "/roster/x", "service": "wick-orders"}},
	})
	classes := s.Classes("permit-desk")
	require.Len(t, classes, 2)
	c, ok := ClassOf(classes, "/roster/x")
	require.True(t, ok)
	require.Equal(t, model.Class("roster"), c.Class)
	require.True(t, c.Long)
	require.Equal(t, []string{"GET", "POST"}, c.IdempotentMethods)
	c, _ = ClassOf(classes, "/slip")
	require.Equal(t, 200*time.Millisecond, c.Deadline)
}
