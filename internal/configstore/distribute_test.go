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

// Guards against an agent that misses an edit, an entry that does not know the
// version in use at the agent, and a subscriber that is not notified.
func TestEditReachesAgents(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		var seen []model.ConfigVersion
		agent := StartApplier(f.group, "w1", discardLog)
		require.NoError(t, agent.Subscribe(t.Context(), func(u Update) bool {
			if n := len(seen); n == 0 || seen[n-1] != u.Snapshot.Version() {
				seen = append(seen, u.Snapshot.Version())
			}
			return true
		}))
		f.waitForVersion(agent, 0, "empty")
		f.edit(setEdit("a", 0, "x", "1"))
		unlink := f.link(f.store, agent, "w1")
		f.waitForVersion(agent, 1, "current")
		for v := range 30 {
			f.edit(setEdit(fmt.Sprint("b", v), model.ConfigVersion(v+1), "x", "2"))
		}
		f.waitForVersion(agent, 31, "current")
		synctest.Wait()
		status, err := f.store.Status(t.Context())
		require.NoError(t, err)
		require.Contains(t, status.Daemons, model.AppliedVersion{Daemon: "w1", Version: 31})
		require.IsIncreasing(t, seen)
		unlink()
		f.waitForVersion(agent, 31, "stale")
		f.edit(setEdit("c", 31, "x", "3"))
		f.link(f.store, agent, "w1")
		require.Equal(t, "3", f.waitForVersion(agent, 32, "current").Labels(model.KindWorker, "x")["v"])
	})
}

// Guards against an entry that starts while the table is unavailable and runs
// without the configuration, or resets agents to the empty one.
func TestEntryStartsWhileTableUnavailable(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		agent := StartApplier(f.group, "w1", discardLog)
		f.edit(setEdit("a", 0, "x", "1"))
		unlink := f.link(f.store, agent, "w1")
		f.waitForVersion(agent, 1, "current")
		unlink()
		f.setFaults(unavailable)
		restarted := f.newStore("entry-2")
		f.waitForVersion(restarted.Handle, 0, "empty")
		f.link(restarted, agent, "w1")
		s := f.waitForVersion(restarted.Handle, 1, "stale")
		require.Equal(t, model.Labels{"v": "1"}, s.Labels(model.KindWorker, "x"))
		_, err := restarted.Edit(t.Context(), setEdit("b", 1, "x", "2"))
		require.ErrorIs(t, err, storage.ErrUnavailable)
		f.setFaults(healthy)
		f.waitForVersion(restarted.Handle, 1, "current")
	})
}

// Guards against an unbounded number of rows of old edits and removed items,
// and against an edit that is accepted although its item was removed after its
// base and the row of the removal has been pruned.
func TestOldEditsArePruned(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		store := StartStore(f.group, StoreConfig{ID: "entry-2", Table: f.table, Validator: testValidator, Log: discardLog, KeepVersions: 3})
		edit := func(id string, e Edit) {
			_, err := store.Edit(t.Context(), e)
			require.NoError(t, err, id)
		}
		edit("set", setEdit("v1", 0, "gone", "1"))
		edit("remove", Edit{ID: "v2", Base: 1, Changes: []Change{{Key: model.ConfigKey{Kind: model.KindWorker, Name: "gone"}}}})
		for v := 2; v < 8; v++ {
			edit("more", setEdit(fmt.Sprint("v", v+1), model.ConfigVersion(v), "kept", "1"))
		}
		synctest.Wait()
		require.NoError(t, f.table.do(t.Context(), func(d *tableData) {
			require.Zero(t, d.version("config/key/worker/gone"))
			require.NotZero(t, d.version("config/key/worker/kept"))
			require.Zero(t, d.version("config/log/00000000000000000005"))
			require.NotZero(t, d.version("config/log/00000000000000000006"))
		}))
		_, err := store.Edit(t.Context(), setEdit("late", 1, "gone", "2"))
		require.ErrorContains(t, err, "too old")
		restarted := f.newStore("entry-3")
		f.waitForVersion(restarted.Handle, 8, "current")
	})
}

// Guards against a delta that is applied although it is older than the
// configuration or starts after its version.
func TestOnlyHigherVersionsApply(t *testing.T) {
	change := func(v model.ConfigVersion, value string) model.ConfigChange {
		return model.ConfigChange{Version: v, Key: model.ConfigKey{Kind: model.KindTeam, Name: "t"}, Item: &model.ConfigItem{Labels: model.Labels{"quota-cpu": value}}}
	}
	s := (&Snapshot{}).apply(&msg.ConfigDelta{To: 2, Changes: []model.ConfigChange{change(1, "1"), change(2, "2")}})
	require.Equal(t, fitOlder, s.classify(&msg.ConfigDelta{To: 1, Full: true}))
	require.Equal(t, fitSame, s.classify(&msg.ConfigDelta{From: 1, To: 2}))
	require.Equal(t, fitGap, s.classify(&msg.ConfigDelta{From: 3, To: 4}))
	overlapping := &msg.ConfigDelta{From: 0, To: 3, Changes: []model.ConfigChange{change(1, "1"), change(2, "2"), change(3, "3")}}
	require.Equal(t, fitNewer, s.classify(overlapping))
	next := s.apply(overlapping)
	quota, ok := next.Quota("t")
	require.True(t, ok)
	require.EqualValues(t, 3, quota.CPU)
	old, _ := s.Quota("t")
	require.EqualValues(t, 2, old.CPU, "a snapshot is immutable")
}

// Guards against a request path that is assigned to a class with a shorter
// prefix, or to a class of another service.
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
