package explore

import (
	"bytes"
	"io/fs"
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/charts"
)

var everyKind = []Kind{FreezeController, KillController, TableAway, TableLossy, FreezeAgent, KillAgent, WorkerLossy,
	CutLink, HoldToAgent, HoldToController, Evict, Cancel}

const patience = 45 * time.Minute // longer than the wait of a successor for a lost agent's attempts

func check(t *testing.T, m Model) Result {
	m.Patience = patience
	r := Run(m)
	t.Logf("%d states, %d schedules, complete: %v", r.States, r.Schedules, r.Complete)
	return r
}

// Guards against a schedule with one fault, begun at any round, that gives a
// job two live attempts or none for ever.
func TestOneFault(t *testing.T) {
	r := check(t, Model{Jobs: 1, Work: 5 * time.Second, Faults: 1, Kinds: everyKind, Window: 10 * time.Second,
		Durations: []time.Duration{time.Second, 5 * time.Second, 60 * time.Second}})
	require.Empty(t, r.Violation, r.Trace)
	require.True(t, r.Complete)
}

// Guards against the same with a fault that outlasts the hold bound.
func TestFaultPastTheHoldBound(t *testing.T) {
	r := check(t, Model{Jobs: 1, Work: 12 * time.Minute, Faults: 1, Window: 2 * time.Second,
		Kinds:     []Kind{FreezeController, KillController, TableAway, KillAgent, CutLink, HoldToAgent},
		Durations: []time.Duration{15 * time.Minute}})
	require.Empty(t, r.Violation, r.Trace)
	require.True(t, r.Complete)
}

// Guards against pairs of faults, of which the second begins while the first
// lasts or its consequences do.
func TestTwoFaults(t *testing.T) {
	r := check(t, Model{Jobs: 1, Work: 3 * time.Second, Faults: 2, Window: 2 * time.Second,
		Kinds:     []Kind{FreezeController, TableLossy, KillAgent, CutLink, HoldToAgent, Evict},
		Durations: []time.Duration{40 * time.Second}})
	require.Empty(t, r.Violation, r.Trace)
	require.True(t, r.Complete)
}

// Guards against many faults at once, among them overcommitted workers, on a
// sample of the schedules.
func TestSampledSchedules(t *testing.T) {
	r := Sample(Model{Jobs: 5, Work: 20 * time.Second, Faults: 12, Kinds: everyKind, Window: 2 * time.Minute, Patience: patience,
		Durations: []time.Duration{time.Second, 3 * time.Second, 9 * time.Second, 30 * time.Second, 70 * time.Second}}, 1, 100)
	t.Logf("%d states, %d schedules", r.States, r.Schedules)
	require.Empty(t, r.Violation, r.Trace)
}

// Guards against a checker that finds nothing: an agent that reports a stop
// before its worker confirmed it, one that never reports the end of a task,
// and a table that ignores preconditions.
func TestPlantedFaultsAreFound(t *testing.T) {
	m := Model{Jobs: 1, Work: 8 * time.Second, Faults: 1, Kinds: everyKind, Window: 15 * time.Second, Durations: []time.Duration{9 * time.Second}}
	early, silent, open := m, m, m
	early.Charts = changed(t, `<transition event="stop" target="stopping"><script>callStop</script></transition>`,
		`<transition event="stop" target="reporting"><script>recordStopped report</script></transition>`)
	const lost = "\n    <transition event=\"lost\" target=\"reporting\"><script>recordLost report</script></transition>"
	silent.Charts = changed(t, `<transition event="ended" target="reporting"><script>record report</script></transition>`+lost, lost)
	open.NoFence = true
	for name, c := range map[string]struct {
		m    Model
		want string
	}{
		"early report": {early, "two live attempts"}, "no report": {silent, "stuck"}, "no fence": {open, "written again"},
	} {
		t.Run(name, func(t *testing.T) {
			r := check(t, c.m)
			require.Contains(t, r.Violation, c.want)
			require.Contains(t, r.Trace, "w1 starts j/1")
		})
	}
}

// changed returns the charts with a replacement in agentattempt.scxml.
func changed(t *testing.T, old, new string) fs.FS {
	raw, err := fs.ReadFile(charts.Files, "agentattempt.scxml")
	require.NoError(t, err)
	require.Contains(t, string(raw), old)
	return fstest.MapFS{"agentattempt.scxml": {Data: bytes.ReplaceAll(raw, []byte(old), []byte(new))}}
}
