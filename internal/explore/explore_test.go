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

var everyKind = []Kind{FreezeController, KillController, TableUnavailable, TableResponsesLost, FreezeAgent, KillAgent, WorkerResponsesLost,
	CutLink, DelayToAgent, DelayToController, Evict, Cancel}

// maxWait exceeds the time that a successor waits for the attempts of a lost
// agent before it starts them elsewhere.
const maxWait = 45 * time.Minute

func runModel(t *testing.T, m Model) Result {
	m.MaxWait = maxWait
	r := Run(m)
	t.Logf("%d states, %d schedules, complete: %v", r.States, r.Schedules, r.Complete)
	return r
}

// Guards against two live attempts of a job, and against a job that never
// ends, after a single fault that begins in any round.
func TestOneFault(t *testing.T) {
	r := runModel(t, Model{Jobs: 1, Work: 5 * time.Second, Faults: 1, Kinds: everyKind, Window: 10 * time.Second,
		Durations: []time.Duration{time.Second, 5 * time.Second, 60 * time.Second}})
	require.Empty(t, r.Violation, r.Trace)
	require.True(t, r.Complete)
}

// Guards against the same failures after a fault that lasts longer than
// lease.RenewalLimit, after which the owner lets the leases expire.
func TestFaultPastTheHoldBound(t *testing.T) {
	r := runModel(t, Model{Jobs: 1, Work: 12 * time.Minute, Faults: 1, Window: 2 * time.Second,
		Kinds:     []Kind{FreezeController, KillController, TableUnavailable, KillAgent, CutLink, DelayToAgent},
		Durations: []time.Duration{15 * time.Minute}})
	require.Empty(t, r.Violation, r.Trace)
	require.True(t, r.Complete)
}

// Guards against the same failures after two faults, of which the second
// begins during the first or during the recovery from it.
func TestTwoFaults(t *testing.T) {
	r := runModel(t, Model{Jobs: 1, Work: 3 * time.Second, Faults: 2, Window: 2 * time.Second,
		Kinds:     []Kind{FreezeController, TableResponsesLost, KillAgent, CutLink, DelayToAgent, Evict},
		Durations: []time.Duration{40 * time.Second}})
	require.Empty(t, r.Violation, r.Trace)
	require.True(t, r.Complete)
}

// Guards against the same failures, and against overcommitted workers, with
// many faults at once in a sample of the schedules.
func TestSampledSchedules(t *testing.T) {
	r := Sample(Model{Jobs: 5, Work: 20 * time.Second, Faults: 12, Kinds: everyKind, Window: 2 * time.Minute, MaxWait: maxWait,
		Durations: []time.Duration{time.Second, 3 * time.Second, 9 * time.Second, 30 * time.Second, 70 * time.Second}}, 1, 100)
	t.Logf("%d states, %d schedules", r.States, r.Schedules)
	require.Empty(t, r.Violation, r.Trace)
}

// Guards against checks that detect nothing. The planted faults are an agent
// that reports a stop before its worker confirmed it, an agent that never
// reports the end of a task, and a table that ignores preconditions.
func TestPlantedFaultsAreFound(t *testing.T) {
	base := Model{Jobs: 1, Work: 8 * time.Second, Faults: 1, Kinds: everyKind, Window: 15 * time.Second, Durations: []time.Duration{9 * time.Second}}
	earlyReport, noReport, noFence := base, base, base
	earlyReport.Charts = chartsWith(t, `<transition event="stop" target="stopping"><script>callStop</script></transition>`,
		`<transition event="stop" target="reporting"><script>recordStopped report</script></transition>`)
	const lostTransition = "\n    <transition event=\"lost\" target=\"reporting\"><script>recordLost report</script></transition>"
	noReport.Charts = chartsWith(t, `<transition event="ended" target="reporting"><script>record report</script></transition>`+lostTransition, lostTransition)
	noFence.NoFence = true
	for name, planted := range map[string]struct {
		model     Model
		violation string
	}{
		"early report": {earlyReport, "two live attempts"}, "no report": {noReport, "stuck"}, "no fence": {noFence, "written again"},
	} {
		t.Run(name, func(t *testing.T) {
			r := runModel(t, planted.model)
			require.Contains(t, r.Violation, planted.violation)
			require.Contains(t, r.Trace, "w1 starts j/1")
		})
	}
}

// chartsWith returns hold.scxml with oldText replaced by newText.
func chartsWith(t *testing.T, oldText, newText string) fs.FS {
	raw, err := fs.ReadFile(charts.Files, "hold.scxml")
	require.NoError(t, err)
	require.Contains(t, string(raw), oldText)
	return fstest.MapFS{"hold.scxml": {Data: bytes.ReplaceAll(raw, []byte(oldText), []byte(newText))}}
}
