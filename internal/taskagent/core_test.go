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

// script steps a Core by hand and keeps the effects of the last step.
type script struct {
	*testing.T
	core    *Core
	now     time.Duration
	effects []Effect
	seq     uint64
}

func newScript(t *testing.T) *script {
	s := &script{T: t, core: NewCore(model.Worker{ID: "w1"}, "c1")}
	s.do(LinkUp{"a"})
	s.do(LinkUp{"b"})
	s.do(ListResult{})
	return s
}

func (s *script) do(e Event) *script { s.effects = s.core.Step(s.now, e); return s }

// wait runs the timers for d.
func (s *script) wait(d time.Duration) *script {
	var all []Effect
	for end := s.now + d; s.now < end; {
		s.now = min(end, max(s.core.NextTick(), s.now+time.Millisecond))
		s.do(Tick{})
		all = append(all, s.effects...)
	}
	s.effects = all
	return s
}

func (s *script) from(entry model.EntryID, m msg.Control) *script { return s.do(Received{entry, m}) }

func cmd(epoch model.Epoch) msg.Command { return msg.Command{Cell: "c1", Epoch: epoch} }

// renew gives the agent a valid lease: the second renewal counts from the first.
func (s *script) renew(entry model.EntryID, epoch model.Epoch) *script {
	for range 2 {
		s.seq++
		s.from(entry, &msg.LeaseRenew{Command: cmd(epoch), Sequence: s.seq, TTL: lease.TTL, LongRunningTTL: lease.TTL})
	}
	return s
}

var one = model.AttemptID{Job: "j", Number: 1}

func start(epoch model.Epoch) *msg.StartTask {
	return &msg.StartTask{Command: cmd(epoch), Attempt: one, Spec: model.JobSpec{ID: "j"}, TTL: lease.TTL}
}

func effect[E Effect](s *script) (found E, n int) {
	for _, f := range s.effects {
		if e, ok := f.(E); ok {
			found = e
			n++
		}
	}
	return found, n
}

func (s *script) reported() (last *msg.TaskReport) {
	for _, f := range s.effects {
		if send, ok := f.(Send); ok {
			if r, ok := send.Msg.(*msg.TaskReport); ok {
				last = r
			}
		}
	}
	return last
}

func (s *script) running() *script {
	s.renew("a", 1).from("a", start(1))
	_, n := effect[CallStart](s)
	require.Equal(s, 1, n)
	return s.do(CallResult{Call: StartCall, Attempt: one})
}

// Guards against a start command that arrives after the stop of its attempt.
func TestStopBeforeStart(t *testing.T) {
	s := newScript(t).renew("a", 1)
	s.from("a", &msg.StopTask{Command: cmd(1), Attempt: one})
	require.Equal(t, model.TaskStopped, s.reported().State)
	s.from("a", &msg.TaskAck{Command: cmd(1), Attempt: one}).from("a", start(1))
	_, n := effect[CallStart](s)
	require.Zero(t, n)
	require.Equal(t, model.TaskStopped, s.reported().State)
}

// Guards against a start without a lease that the granter counts on.
func TestStartNeedsALease(t *testing.T) {
	s := newScript(t).from("a", &msg.LeaseRenew{Command: cmd(1), Sequence: 7, TTL: lease.TTL})
	s.from("a", start(1))
	_, n := effect[CallStart](s)
	require.Zero(t, n)
	require.Equal(t, model.TaskStopped, s.reported().State)
}

// Guards against an older controller that still commands the agent.
func TestOlderEpochIsRefused(t *testing.T) {
	s := newScript(t).running()
	s.from("b", &msg.CellClaim{Command: cmd(2)})
	inv, ok := s.effects[len(s.effects)-1].(Send)
	require.True(t, ok)
	require.Equal(t, model.EntryID("b"), inv.Entry)
	require.Len(t, inv.Msg.(*msg.Inventory).Attempts, 1)
	s.from("a", &msg.StopTask{Command: cmd(1), Attempt: one})
	_, n := effect[CallStop](s)
	require.Zero(t, n)
	s.wait(lease.TTL) // the renewals of the older owner are refused, too
	s.renew("a", 1)
	_, n = effect[CallStop](s)
	require.Zero(t, n)
}

// Guards against tasks that outlive the agent's lease, and against worker
// leases that end after it.
func TestLeaseExpiryStopsAttempts(t *testing.T) {
	s := newScript(t).running()
	until := s.core.lease.Until(false)
	s.wait(lease.TTL - time.Second)
	renewed, n := effect[CallRenew](s)
	require.Equal(t, 1, n, "an unanswered renewal is not followed by another")
	require.Equal(t, until, renewed.Until)
	s.wait(time.Second)
	_, n = effect[CallStop](s)
	require.Equal(t, 1, n)
	s.do(CallResult{Call: StopCall, Attempt: one})
	require.Equal(t, model.TaskStopped, s.reported().State)
	require.Equal(t, "lease expired", s.reported().Reason)
}

// Guards against an agent that renews workers' leases after a pause on the
// strength of a lease that may have ended, and against stopping every task
// for a short pause.
func TestPauseSuspendsRenewalUntilConfirmed(t *testing.T) {
	s := newScript(t).running()
	s.now += 3 * time.Second
	s.do(Paused{})
	s.wait(lease.RenewInterval)
	_, n := effect[CallRenew](s)
	require.Zero(t, n)
	_, n = effect[CallStop](s)
	require.Zero(t, n)
	s.renew("a", 1).wait(lease.RenewInterval)
	_, n = effect[CallRenew](s)
	require.Equal(t, 1, n)
	s.now += 3 * time.Second
	s.do(Paused{})
	s.wait(lease.WorkerTTL)
	_, n = effect[CallStop](s)
	require.Equal(t, 1, n, "not confirmed")
}

// Guards against a lost or a doubled final report.
func TestFinalReportIsRepeatedUntilAcknowledged(t *testing.T) {
	s := newScript(t).running()
	s.do(ListResult{Tasks: []Task{{Attempt: one, State: model.TaskDone, Result: "result/j/1"}}})
	require.Equal(t, "result/j/1", s.reported().Result)
	require.Equal(t, "result/j/1", s.wait(reportRetry).reported().Result)
	s.from("a", &msg.TaskAck{Command: cmd(1), Attempt: one}).wait(keepFor - time.Second)
	require.Nil(t, s.reported())
}

// Guards against a restarted agent that abandons running tasks, starts them
// again or never renews their leases.
func TestRestartedAgentAdopts(t *testing.T) {
	s := &script{T: t, core: NewCore(model.Worker{ID: "w1"}, "c1")}
	s.do(LinkUp{"a"}).from("a", &msg.CellClaim{Command: cmd(4)}).from("a", start(4))
	_, n := effect[CallStart](s)
	require.Zero(t, n, "the worker's tasks are not known yet")
	s.do(ListResult{Tasks: []Task{{Attempt: one, State: model.TaskRunning}}})
	require.Equal(t, model.TaskRunning, s.reported().State)
	s.wait(2*time.Second).renew("a", 4)
	_, n = effect[CallRenew](s)
	require.Equal(t, 1, n)
}

// Guards against a task whose start call timed out and which runs nevertheless.
func TestUnknownStartIsStopped(t *testing.T) {
	s := newScript(t).renew("a", 1).from("a", start(1))
	s.do(CallResult{Call: StartCall, Attempt: one, Err: errors.New("timeout")})
	require.Nil(t, s.reported(), "the attempt may run")
	_, n := effect[CallStop](s)
	require.Equal(t, 1, n)
	s.wait(stopRetry)
	_, n = effect[CallStop](s)
	require.Equal(t, 1, n)
	s.do(CallResult{Call: StopCall, Attempt: one, NoTask: true, Err: ErrNoTask})
	require.Equal(t, model.TaskFailed, s.reported().State)
}

// Guards against a warning for a call whose task had just ended, and against
// silence when the worker fails.
func TestEndedTaskIsNoWorkerError(t *testing.T) {
	for _, call := range []Call{RenewCall, CheckpointCall, ThrottleCall} {
		s := newScript(t).running()
		_, n := effect[Log](s.do(CallResult{Call: call, Attempt: one, Err: ErrRefused, Refused: true}))
		require.Zero(t, n, call.String())
		_, n = effect[Log](s.do(CallResult{Call: call, Attempt: one, Err: errors.New("timeout")}))
		require.Equal(t, 1, n, call.String())
	}
}
