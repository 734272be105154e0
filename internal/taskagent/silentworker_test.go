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

// callSilent lets a time pass in which the worker answers nothing, while the controller
// renews its lease. It returns when the last renewal was sent to the worker.
func (ct *coreTest) callSilent(d time.Duration) (lastRenewal time.Duration) {
	silence := errors.New("no answer")
	for end := ct.now + d; ct.now < end; {
		ct.advance(lease.RenewInterval)
		for _, e := range ct.effects {
			switch e := e.(type) {
			case CallList:
				ct.step(ListResult{Err: silence})
			case CallRenew:
				lastRenewal = ct.now
				ct.step(CallResult{Attempt: e.Attempt, Call: RenewCall, Err: silence})
			case CallStop:
				ct.step(CallResult{Attempt: e.Attempt, Call: StopCall, Err: silence})
			}
		}
		ct.renew("a", 1)
	}
	return lastRenewal
}

// Guards against an attempt that is kept for ever because its worker answers nothing: its
// tasks have ended with the worker's leases, while the agent confirms each lease of the
// controller from memory, so the job never runs again.
func TestAttemptOfAWorkerThatAnswersNothingIsGivenUp(t *testing.T) {
	ct := newCoreTest(t)
	ct.renew("a", 1).startAttempt()
	ct.callSilent(5 * time.Minute)
	a := ct.core.attempts[attempt1]
	require.True(t, a == nil || a.report.state != model.TaskRunning, "the worker has answered nothing for 5 minutes; its leases last %v", lease.WorkerTTL)
}

// Guards against an attempt that is given up while its task may go on: a renewal that was
// not answered may have extended the worker's lease.
func TestAttemptOfASilentWorkerIsKeptUntilItsLeaseHasEnded(t *testing.T) {
	ct := newCoreTest(t)
	ct.renew("a", 1).startAttempt()
	began := ct.now
	last := ct.callSilent(lease.WorkerTTL + 2*lease.RenewInterval)
	require.Positive(t, last)
	require.Less(t, last-began, lease.WorkerTTL+lease.RenewInterval, "the lease is renewed no more")
	for ct.now < last+2*lease.WorkerTTL {
		require.Equal(t, model.TaskRunning, ct.core.attempts[attempt1].report.state, "%v after the last renewal", ct.now-last)
		ct.callSilent(lease.RenewInterval)
	}
}

// Guards against an attempt that is given up, or not renewed any more, although its worker
// answers again in time.
func TestAttemptIsKeptWhenItsWorkerAnswersAgain(t *testing.T) {
	ct := newCoreTest(t)
	ct.renew("a", 1).startAttempt()
	for range 5 {
		ct.callSilent(2 * lease.WorkerTTL)
		ct.step(ListResult{Tasks: []Task{{Attempt: attempt1, State: model.TaskRunning}}})
		require.Equal(t, model.TaskRunning, ct.core.attempts[attempt1].report.state)
		require.Positive(t, ct.callSilent(lease.RenewInterval), "the lease is renewed again")
		ct.step(ListResult{Tasks: []Task{{Attempt: attempt1, State: model.TaskRunning}}})
	}
}

// Guards against a start without an answer that counts as ended at once because the worker
// was not called for long before: it may have taken effect.
func TestUnansweredStartAfterAnIdleTimeIsNotGivenUpAtOnce(t *testing.T) {
	ct := newCoreTest(t)
	ct.step(ListResult{})
	for range 60 {
		ct.renew("a", 1).advance(lease.RenewInterval)
	}
	ct.receive("a", &msg.StartTask{Command: command(1), Attempt: attempt1})
	ct.step(CallResult{Attempt: attempt1, Call: StartCall, Err: errors.New("no answer")})
	require.Equal(t, stStopping, ct.core.attempts[attempt1].state)
	ct.callSilent(2 * lease.WorkerTTL)
	require.Equal(t, stStopping, ct.core.attempts[attempt1].state)
	ct.callSilent(2 * lease.WorkerTTL)
	require.NotEqual(t, stStopping, ct.core.attempts[attempt1].state)
}
