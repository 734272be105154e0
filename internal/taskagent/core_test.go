package taskagent

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
)

// coreTest steps a Core with a simulated clock and keeps the effects of the
// last call.
type coreTest struct {
	*testing.T
	core    *Core
	now     time.Duration
	effects []Effect
	seq     uint64
}

func newCoreTest(t *testing.T) *coreTest {
	ct := &coreTest{T: t, core: NewCore(model.Worker{ID: "w1"}, "c1")}
	ct.step(LinkUp{"a"})
	ct.step(LinkUp{"b"})
	ct.step(ListResult{})
	return ct
}

func (ct *coreTest) step(e Event) *coreTest { ct.effects = ct.core.Step(ct.now, e); return ct }

// advance moves the clock by d and runs the timers that become due.
func (ct *coreTest) advance(d time.Duration) *coreTest {
	var all []Effect
	for end := ct.now + d; ct.now < end; {
		ct.now = min(end, max(ct.core.NextTick(), ct.now+time.Millisecond))
		ct.step(Tick{})
		all = append(all, ct.effects...)
	}
	ct.effects = all
	return ct
}

func (ct *coreTest) receive(entry model.EntryID, m msg.Control) *coreTest {
	return ct.step(Received{entry, m})
}

func command(epoch model.Epoch) msg.Command { return msg.Command{Cell: "c1", Epoch: epoch} }

// renew gives the agent a valid lease. It takes two renewals: the lease of the
// second one counts from the receipt of the first.
func (ct *coreTest) renew(entry model.EntryID, epoch model.Epoch) *coreTest {
	for range 2 {
		ct.seq++
		ct.receive(entry, &msg.LeaseRenew{Command: command(epoch), Sequence: ct.seq, TTL: lease.TTL, LongRunningTTL: lease.TTL})
	}
	return ct
}

var attempt1 = model.AttemptID{Job: "j", Number: 1}

func startCommand(epoch model.Epoch) *msg.StartTask {
	return &msg.StartTask{Command: command(epoch), Attempt: attempt1, Spec: model.JobSpec{ID: "j"}, TTL: lease.TTL}
}

func lastEffect[E Effect](ct *coreTest) (found E, n int) {
	for _, effect := range ct.effects {
		if e, ok := effect.(E); ok {
			found = e
			n++
		}
	}
	return found, n
}

func (ct *coreTest) lastReport() (last *msg.TaskReport) {
	for _, effect := range ct.effects {
		if send, ok := effect.(Send); ok {
			if r, ok := send.Msg.(*msg.TaskReport); ok {
				last = r
			}
		}
	}
	return last
}

func (ct *coreTest) startAttempt() *coreTest {
	ct.renew("a", 1).receive("a", startCommand(1))
	_, n := lastEffect[CallStart](ct)
	require.Equal(ct, 1, n)
	return ct.step(CallResult{Call: StartCall, Attempt: attempt1})
}

// Guards against an attempt that runs after it was stopped, because the start
// command arrives after the stop command.
func TestStartAfterStopHasNoEffect(t *testing.T) {
	ct := newCoreTest(t).renew("a", 1)
	ct.receive("a", &msg.StopTask{Command: command(1), Attempt: attempt1})
	require.Equal(t, model.TaskStopped, ct.lastReport().State)
	ct.receive("a", &msg.TaskAck{Command: command(1), Attempt: attempt1}).receive("a", startCommand(1))
	_, n := lastEffect[CallStart](ct)
	require.Zero(t, n)
	require.Equal(t, model.TaskStopped, ct.lastReport().State)
}

// Guards against a start without a valid lease: after the first renewal of a
// controller the agent does not yet hold one.
func TestStartWithoutLeaseIsRefused(t *testing.T) {
	ct := newCoreTest(t).receive("a", &msg.LeaseRenew{Command: command(1), Sequence: 7, TTL: lease.TTL})
	ct.receive("a", startCommand(1))
	_, n := lastEffect[CallStart](ct)
	require.Zero(t, n)
	require.Equal(t, model.TaskStopped, ct.lastReport().State)
}

// Guards against an agent that still accepts commands and renewals of the
// earlier controller after another one has claimed the cell.
func TestCommandOfLowerEpochIsRejected(t *testing.T) {
	ct := newCoreTest(t).startAttempt()
	ct.receive("b", &msg.CellClaim{Command: command(2)})
	inv, ok := ct.effects[len(ct.effects)-1].(Send)
	require.True(t, ok)
	require.Equal(t, model.EntryID("b"), inv.Entry)
	require.Len(t, inv.Msg.(*msg.Inventory).Attempts, 1)
	ct.receive("a", &msg.StopTask{Command: command(1), Attempt: attempt1})
	_, n := lastEffect[CallStop](ct)
	require.Zero(t, n)
	ct.advance(lease.TTL) // the renewals of the older owner are refused, too
	ct.renew("a", 1)
	_, n = lastEffect[CallStop](ct)
	require.Zero(t, n)
}

// Guards against tasks that run after the agent's lease has ended, and against
// worker leases that end later than the agent's.
func TestLeaseExpiryStopsAttempts(t *testing.T) {
	ct := newCoreTest(t).startAttempt()
	until := ct.core.lease.Until(false)
	ct.advance(lease.TTL - time.Second)
	renewed, n := lastEffect[CallRenew](ct)
	require.Equal(t, 1, n, "an unanswered renewal is not followed by another")
	require.Equal(t, until, renewed.Until)
	ct.advance(time.Second)
	_, n = lastEffect[CallStop](ct)
	require.Equal(t, 1, n)
	ct.step(CallResult{Call: StopCall, Attempt: attempt1})
	require.Equal(t, model.TaskStopped, ct.lastReport().State)
	require.Equal(t, "lease expired", ct.lastReport().Reason)
}

// Guards against an agent that renews worker leases after a pause although its
// own lease may have ended meanwhile, and against one that stops every task
// because of a short pause.
func TestPauseSuspendsRenewalUntilConfirmed(t *testing.T) {
	ct := newCoreTest(t).startAttempt()
	ct.now += 3 * time.Second
	ct.step(Paused{})
	ct.advance(lease.RenewInterval)
	_, n := lastEffect[CallRenew](ct)
	require.Zero(t, n)
	_, n = lastEffect[CallStop](ct)
	require.Zero(t, n)
	ct.renew("a", 1).advance(lease.RenewInterval)
	_, n = lastEffect[CallRenew](ct)
	require.Equal(t, 1, n)
	ct.now += 3 * time.Second
	ct.step(Paused{})
	ct.advance(lease.WorkerTTL)
	_, n = lastEffect[CallStop](ct)
	require.Equal(t, 1, n, "not confirmed")
}

// Guards against a final report that is lost, or sent again after it was
// acknowledged.
func TestFinalReportIsRepeatedUntilAcknowledged(t *testing.T) {
	ct := newCoreTest(t).startAttempt()
	ct.step(ListResult{Tasks: []Task{{Attempt: attempt1, State: model.TaskDone, Result: "result/j/1"}}})
	require.Equal(t, "result/j/1", ct.lastReport().Result)
	require.Equal(t, "result/j/1", ct.advance(reportRetry).lastReport().Result)
	ct.receive("a", &msg.TaskAck{Command: command(1), Attempt: attempt1}).advance(keepFor - time.Second)
	require.Nil(t, ct.lastReport())
}

// Guards against a restarted agent that ignores the tasks that run already,
// starts them again or does not renew their leases.
func TestRestartedAgentAdoptsRunningTasks(t *testing.T) {
	ct := &coreTest{T: t, core: NewCore(model.Worker{ID: "w1"}, "c1")}
	ct.step(LinkUp{"a"}).receive("a", &msg.CellClaim{Command: command(4)}).receive("a", startCommand(4))
	_, n := lastEffect[CallStart](ct)
	require.Zero(t, n, "the worker's tasks are not known yet")
	ct.step(ListResult{Tasks: []Task{{Attempt: attempt1, State: model.TaskRunning}}})
	require.Equal(t, model.TaskRunning, ct.lastReport().State)
	ct.advance(2*time.Second).renew("a", 4)
	_, n = lastEffect[CallRenew](ct)
	require.Equal(t, 1, n)
}

// Guards against a task that goes on running although its attempt is reported
// as failed: its start call timed out after the worker had started it.
func TestStartWithUnknownOutcomeIsStopped(t *testing.T) {
	ct := newCoreTest(t).renew("a", 1).receive("a", startCommand(1))
	ct.step(CallResult{Call: StartCall, Attempt: attempt1, Err: errors.New("timeout")})
	require.Nil(t, ct.lastReport(), "the attempt may run")
	_, n := lastEffect[CallStop](ct)
	require.Equal(t, 1, n)
	ct.advance(stopRetry)
	_, n = lastEffect[CallStop](ct)
	require.Equal(t, 1, n)
	ct.step(CallResult{Call: StopCall, Attempt: attempt1, NoTask: true, Err: ErrNoTask})
	require.Equal(t, model.TaskFailed, ct.lastReport().State)
}

// Guards against a logged error for a call whose task had just ended, and
// against a failure of the worker that is not logged.
func TestCallToEndedTaskIsNotLogged(t *testing.T) {
	for _, call := range []Call{RenewCall, CheckpointCall, ThrottleCall} {
		ct := newCoreTest(t).startAttempt()
		_, n := lastEffect[Log](ct.step(CallResult{Call: call, Attempt: attempt1, Err: ErrRefused, Refused: true}))
		require.Zero(t, n, call.String())
		_, n = lastEffect[Log](ct.step(CallResult{Call: call, Attempt: attempt1, Err: errors.New("timeout")}))
		require.Equal(t, 1, n, call.String())
	}
}
