package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const owner LinkID = 1

// world drives a guard and plays its owner and its backend server.
type world struct {
	t     *testing.T
	guard *Core
	now   time.Duration
	sends []msg.Control
	calls []Call
}

func newWorld(t *testing.T) *world {
	return &world{t: t, guard: New(Config{Name: "a", OwnerLease: 6 * time.Second, RunLease: 5 * time.Second, Token: 100})}
}

func (w *world) settle() {
	for _, s := range w.guard.Sends() {
		w.sends = append(w.sends, s.Message)
	}
	w.calls = append(w.calls, w.guard.Calls()...)
	w.guard.Decisions()
}

func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 50 * time.Millisecond
		w.guard.Advance(w.now)
		w.guard.Tick()
		w.settle()
	}
}

// clockMS is the backend server's clock, which runs at full speed.
func (w *world) clockMS() int64 { return 1000 + w.now.Milliseconds() }

func (w *world) announce(born int64, state workload.HostState, sequence uint64) {
	w.guard.Announced(runner.Announcement{
		Host: workload.Host{
			Instance: "i", StartedAtMS: born, Service: "desk", State: state, Capacity: workload.Resources{MilliCPU: 2000, MemoryMB: 100},
		},
		Sequence: sequence, ClockMS: w.clockMS(),
	})
	w.settle()
}

// list answers a watch call.
func (w *world) list(runs []msg.RunStatus, ends ...msg.RunEnd) {
	watch := w.guard.Watch()
	w.guard.HoldAnswered(watch.Target, watch.StartedAtMS, runner.PollResponse{ClockMS: w.clockMS(), StartedAtMS: watch.StartedAtMS, Runs: runs, Ended: ends}, nil)
	w.settle()
}

// ready brings the guard to where it takes starts of epoch 1.
func (w *world) ready() {
	w.announce(1, workload.HostReady, 1)
	w.claim(owner, 1)
	w.list(nil)
	w.take(owner, 1)
}

func (w *world) claim(from LinkID, epoch uint64) {
	w.guard.Received(from, &msg.OwnerClaim{Epoch: epoch})
	w.settle()
}

func (w *world) take(from LinkID, epoch uint64) {
	w.guard.Received(from, &msg.InventoryAccepted{Epoch: epoch, ClockMS: w.clockMS()})
	w.settle()
}

func run(index int) workload.RunID {
	return workload.RunID{Task: workload.TaskID{Job: "j", Index: index}, Number: 1}
}

func (w *world) start(from LinkID, epoch uint64, index int, cpu int64) {
	w.guard.Received(from, &msg.StartRuns{Epoch: epoch, Instance: "i", StartedAtMS: w.guard.Host().StartedAtMS, Starts: []msg.RunStart{{
		Size: msg.RunSize{Run: run(index), Charge: workload.Resources{MilliCPU: cpu}},
	}}})
	w.settle()
}

func (w *world) starts() int {
	n := 0
	for _, c := range w.calls {
		if c.Start != nil {
			n++
		}
	}
	return n
}

func (w *world) answer(c Call, clockMS int64, err error) {
	w.guard.Answered(Answer{Call: c, ClockMS: clockMS, Err: err})
	w.settle()
}

func (w *world) last() Call { return w.calls[len(w.calls)-1] }

// refused returns the runs that were reported as not started.
func (w *world) refused() []workload.RunID {
	var list []workload.RunID
	for _, m := range w.sends {
		if c, ok := m.(*msg.RunsChanged); ok {
			list = append(list, c.Refused...)
		}
	}
	return list
}

// Guards against a host that gets more than it holds from an owner whose view
// is wrong, and against an owner that was replaced.
func TestGuardRefusesWhatDoesNotFitAndReplacedOwners(t *testing.T) {
	w := newWorld(t)
	w.ready()
	w.start(owner, 1, 0, 1500)
	w.start(owner, 1, 1, 1000)
	require.Equal(t, 1, w.starts())
	require.Equal(t, []workload.RunID{run(1)}, w.refused())

	const next LinkID = 2
	w.claim(next, 2)
	w.start(owner, 1, 2, 100)
	require.Equal(t, 1, w.starts(), "the owner of epoch 1 was replaced")
	w.start(next, 2, 2, 100)
	require.Equal(t, 1, w.starts(), "the new owner has not taken the inventory")
	w.take(next, 2)
	w.start(next, 2, 3, 100)
	require.Equal(t, 2, w.starts())
}

// Guards against a second run elsewhere while an order without an answer is
// still carried out: it counts as running until a later token was answered.
func TestDoubtfulStartIsSettledByALaterToken(t *testing.T) {
	w := newWorld(t)
	w.ready()
	w.start(owner, 1, 0, 1500)
	first := w.last()
	w.answer(first, 0, runner.ErrOutcomeUnknown)
	look := w.last()
	require.NotNil(t, look.Look)
	require.Greater(t, look.Target.Token, first.Target.Token)

	// A watch call with the old token does not settle it.
	w.guard.HoldAnswered(first.Target, 1, runner.PollResponse{ClockMS: w.clockMS() + 1, StartedAtMS: 1}, nil)
	w.settle()
	require.Empty(t, w.refused())
	w.guard.Answered(Answer{Call: look, ClockMS: w.clockMS() + 2, Listing: runner.PollResponse{ClockMS: w.clockMS() + 2, StartedAtMS: 1}})
	w.settle()
	require.Equal(t, []workload.RunID{run(0)}, w.refused())
}

// Guards against a lost run: an unanswered start that was carried out is kept.
func TestDoubtfulStartThatRunsIsReported(t *testing.T) {
	w := newWorld(t)
	w.ready()
	w.start(owner, 1, 0, 1500)
	w.answer(w.last(), 0, runner.ErrOutcomeUnknown)
	w.list([]msg.RunStatus{{Run: run(0)}})
	changed := w.sends[len(w.sends)-1].(*msg.RunsChanged)
	require.Equal(t, []workload.RunID{run(0)}, changed.Started)
}

// Guards against an agent that calls in a loop: the backend server answers at
// once while it lists ends that are not taken (trouble-2 of nilegate-permits
// took 450 s of processor time).
func TestWatchIsSpacedWhileEndsWait(t *testing.T) {
	w := newWorld(t)
	w.ready()
	require.Zero(t, w.guard.Watch().Pause)
	w.list(nil, msg.RunEnd{Number: 1, Run: run(7)})
	require.Equal(t, untakenPause, w.guard.Watch().Pause)
	w.guard.Received(owner, &msg.EndsAcknowledged{Epoch: 1, Instance: "i", StartedAtMS: 1, LastNumber: 1})
	require.Zero(t, w.guard.Watch().Pause)
	require.EqualValues(t, 1, w.guard.Watch().Hold.Acknowledged)
}

// Guards against runs that outlive the owner's word: without a new grant the
// lease of the calls never goes beyond the last one.
func TestLeaseEndsWithTheOwnersGrant(t *testing.T) {
	w := newWorld(t)
	w.ready()
	granted := w.clockMS() + 6000
	w.advance(3 * time.Second)
	require.LessOrEqual(t, w.guard.Watch().Hold.LeaseMS, granted)
	w.guard.Received(owner, &msg.LeaseGrant{Epoch: 1, StartedAtMS: 1, ClockMS: w.clockMS()})
	require.Greater(t, w.guard.Watch().Hold.LeaseMS, granted)
	w.guard.Unlinked(owner)
	w.advance(8 * time.Second)
	require.Zero(t, w.guard.Watch().Hold.LeaseMS, "no lease is left to give")
}

// Guards against tasks of a dead backend server that are never given back, and
// against giving them back before their leases have lapsed.
func TestSilentBackendServerEndsWhenItsLeasesHaveLapsed(t *testing.T) {
	w := newWorld(t)
	w.ready()
	w.guard.Watch() // carries a lease of 5 s
	w.advance(4900 * time.Millisecond)
	require.Equal(t, workload.HostReady, w.guard.Host().State)
	w.advance(500 * time.Millisecond)
	require.Equal(t, workload.HostUnavailable, w.guard.Host().State)
	inventory := w.sends[len(w.sends)-1].(*msg.HostInventory)
	require.Empty(t, inventory.Runs)
}

// Guards against the announcement of a former life that arrives late.
func TestLateAnnouncementOfAFormerLifeIsIgnored(t *testing.T) {
	w := newWorld(t)
	w.announce(2, workload.HostReady, 1)
	w.announce(1, workload.HostReady, 9)
	require.EqualValues(t, 2, w.guard.Host().StartedAtMS)
	w.announce(2, workload.HostDraining, 3)
	w.announce(2, workload.HostReady, 2)
	require.Equal(t, workload.HostDraining, w.guard.Host().State)
}

// Guards against starts on a backend server that leaves.
func TestNothingStartsOnADrainingBackendServer(t *testing.T) {
	w := newWorld(t)
	w.ready()
	w.announce(1, workload.HostDraining, 2)
	w.start(owner, 1, 0, 100)
	require.Zero(t, w.starts())
	require.Equal(t, []workload.RunID{run(0)}, w.refused())
}

// Guards against a stop that overtakes the start which it is meant for.
func TestStopOfAStartUnderWayFollowsIt(t *testing.T) {
	w := newWorld(t)
	w.ready()
	w.start(owner, 1, 0, 100)
	order := w.last()
	w.guard.Received(owner, &msg.StopRuns{Epoch: 1, Runs: []workload.RunID{run(0)}})
	w.settle()
	require.Nil(t, w.last().Stop)
	w.answer(order, w.clockMS(), nil)
	require.NotNil(t, w.last().Stop)
}

// Guards against a filler that stands still for ever: an agent that has just
// started does not know the pace that a former one set, and a call that failed
// set none (scale-1 of wwb-braidline: fillers at 0% that the agent took for 100%).
func TestPaceThatIsNotKnownIsSetAgain(t *testing.T) {
	w := newWorld(t)
	w.announce(1, workload.HostReady, 1)
	w.claim(owner, 1)
	listed := []msg.RunStatus{{Run: run(0)}}
	w.list(listed)
	w.guard.Received(owner, &msg.InventoryAccepted{Epoch: 1, ClockMS: w.clockMS(), Sizes: []msg.RunSize{{Run: run(0), BestEffort: true, Image: "m"}}})
	w.advance(time.Second)
	w.list(listed)
	call := w.last()
	require.NotNil(t, call.Pace)
	require.Equal(t, fullPace, call.Pace.Percent)
	paces := len(w.calls)
	w.answer(call, 0, runner.ErrOutcomeUnknown)
	w.list(listed)
	require.Len(t, w.calls, paces+1, "a call that failed is repeated")
	w.answer(w.last(), w.clockMS(), nil)
	w.list(listed)
	require.Len(t, w.calls, paces+1)
}
