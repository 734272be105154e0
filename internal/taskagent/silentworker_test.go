package taskagent

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
)

// Guards against an attempt that is kept for ever because its worker answers nothing: its
// tasks have ended with the worker's leases, while the agent confirms each lease of the
// controller from memory, so the job never runs again.
func TestAttemptOfAWorkerThatAnswersNothingIsGivenUp(t *testing.T) {
	ct := newCoreTest(t)
	ct.renew("a", 1).startAttempt()
	silence := errors.New("no answer")
	for end := ct.now + 5*time.Minute; ct.now < end; {
		ct.advance(lease.RenewInterval)
		for _, e := range ct.effects {
			switch e := e.(type) {
			case CallList:
				ct.step(ListResult{Err: silence})
			case CallRenew:
				ct.step(CallResult{Attempt: e.Attempt, Call: RenewCall, Err: silence})
			case CallStop:
				ct.step(CallResult{Attempt: e.Attempt, Call: StopCall, Err: silence})
			}
		}
		ct.renew("a", 1)
	}
	a := ct.core.attempts[attempt1]
	require.True(t, a == nil || a.report.state != model.TaskRunning, "the worker has answered nothing for 5 minutes; its leases last %v", lease.WorkerTTL)
}
