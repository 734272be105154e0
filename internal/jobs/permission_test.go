package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against a task that runs twice at a time because the owner gives up a run whose
// lease a successor extends: a lease has expired only if the owner was not replaced
// before its end.
func TestRunsOfASilentHostAreNotLostBeforeTheOwnerIsConfirmed(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	require.Contains(t, h.started, runID("j", 0, 0, 1))
	h.core.Unlinked("a")
	h.link(readyHost("b", 4000))
	h.core.NotReplacedUntil(h.now + LeaseExpiry - time.Millisecond)
	require.False(t, h.core.ConfirmationAwaited())
	h.advance(2 * LeaseExpiry)
	require.Len(t, h.started, 1)
	require.True(t, h.core.ConfirmationAwaited())
	h.core.NotReplacedUntil(h.now)
	h.advance(200 * time.Millisecond)
	require.Contains(t, h.started, runID("j", 0, 0, 2))
}

// Guards against tasks that start beside those of a host that is linked and does not
// send its inventory, while a successor may extend its leases.
func TestRecoveryEndsWhenTheOwnerIsConfirmed(t *testing.T) {
	h := newHarness(t, 2)
	h.core.Restore(newSpec("j", newStep(1, 1000)), nil)
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersEnded)
	h.core.Linked(readyHost("b", 4000))
	h.link(readyHost("a", 4000))
	h.core.NotReplacedUntil(h.now + LeaseExpiry - time.Millisecond)
	h.advance(2 * maxRecovery)
	require.Empty(t, h.started)
	h.core.NotReplacedUntil(h.now)
	h.advance(200 * time.Millisecond)
	require.Len(t, h.started, 1)
}

// Guards against a task that runs twice at a time because the agent of a host that has
// answered the owner is started again: the new process knows no epoch, and obeys a former
// owner that does not know of this one yet.
func TestRunsOfAnAdoptedHostAreNotLostWhileFormerOwnersMayAct(t *testing.T) {
	h := newHarness(t, 2)
	h.core.Restore(newSpec("j", newStep(1, 1000)), nil)
	h.core.ExpectHost("a")
	h.core.Recover(FormerOwnersActive)
	former := h.now + 10*time.Second
	h.core.FormerOwnersActUntil(former)
	h.link(readyHost("a", 4000), msg.RunStatus{Run: runID("j", 0, 0, 1)})
	h.link(readyHost("b", 4000))
	h.core.Unlinked("a")
	for h.now < former+LeaseExpiry-time.Second {
		h.advance(200 * time.Millisecond)
		require.Empty(t, h.started, "%v before the former owners' leases end", former+LeaseExpiry-h.now)
	}
}
