package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// relinkWithoutInventory links the agent of a host whose new process has never heard of its
// backend server, so that it answers no claim.
func (h *harness) relinkWithoutInventory(name workload.HostName) {
	h.core.Linked(workload.Host{Name: name})
	h.process()
}

// Guards against tasks that never start again because the agent of their host was started
// again after its backend server was lost, and so answers no claim.
func TestRunsOfAHostThatAnswersNoClaimAreLost(t *testing.T) {
	for _, silence := range []time.Duration{0, 2500 * time.Millisecond, LeaseExpiry - 50*time.Millisecond} {
		h := newHarness(t, 1)
		h.link(readyHost("a", 4000))
		h.core.Submit(newSpec("j", newStep(1, 1000)))
		h.process()
		require.Contains(t, h.started, runID("j", 0, 0, 1))
		h.link(readyHost("b", 4000))
		h.core.Unlinked("a")
		h.advance(silence)
		h.relinkWithoutInventory("a")
		h.advance(LeaseExpiry - 200*time.Millisecond - h.now)
		require.Len(t, h.started, 1, "silent for %v", silence)
		h.advance(400 * time.Millisecond)
		require.Contains(t, h.started, runID("j", 0, 0, 2), "silent for %v", silence)
	}
}

// Guards against runs that are given up while a successor may extend their leases, and
// against claims that are repeated in each check of that.
func TestRunsOfAHostThatAnswersNoClaimAreNotLostBeforeTheOwnerIsConfirmed(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	h.link(readyHost("b", 4000))
	h.relinkWithoutInventory("a")
	h.core.NotReplacedUntil(h.now + LeaseExpiry - time.Millisecond)
	h.sent = map[workload.HostName][]msg.Control{}
	h.advance(2 * LeaseExpiry)
	require.Len(t, h.started, 1)
	require.True(t, h.core.ConfirmationAwaited())
	require.LessOrEqual(t, len(h.sent["a"]), int(2*LeaseExpiry/claimRetry)+1)
	h.core.NotReplacedUntil(h.now)
	h.advance(200 * time.Millisecond)
	require.Contains(t, h.started, runID("j", 0, 0, 2))
}

// Guards against a log that shows a host as unlinked since the start of the owner although
// its agent is linked and sends no inventory.
func TestLogOfExpiredLeasesSaysWhetherTheHostWasLinked(t *testing.T) {
	for _, linked := range []bool{false, true} {
		h := newHarness(t, 1)
		h.link(readyHost("a", 4000))
		h.advance(time.Second)
		h.core.Unlinked("a")
		h.advance(time.Second)
		if linked {
			h.relinkWithoutInventory("a")
		}
		h.now += LeaseExpiry
		h.core.Advance(h.now, h.now.Milliseconds())
		h.core.Tick()
		decisions := h.core.Decisions()
		require.Equal(t, LeasesExpired, decisions[0].Kind)
		if linked {
			require.Zero(t, decisions[0].Unlinked)
		} else {
			require.Equal(t, h.now-time.Second, decisions[0].Unlinked)
		}
	}
}

// Guards against a recovery that lasts on because an expected host answers no claim, and
// against one that does not wait for the leases there.
func TestRecoveryEndsWithTheLeasesOfAHostThatAnswersNoClaim(t *testing.T) {
	h := newHarness(t, 2)
	h.core.Restore(newSpec("j", newStep(1, 1000)), nil)
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersActive)
	h.core.FormerOwnersActUntil(2 * time.Second)
	h.link(readyHost("a", 4000))
	h.relinkWithoutInventory("b")
	h.advance(2*time.Second + LeaseExpiry - 200*time.Millisecond)
	require.Empty(t, h.started)
	h.advance(400 * time.Millisecond)
	require.Len(t, h.started, 1)
}

// Guards against a task that runs twice under a third owner: the second one took a host
// for empty whose agent does not know its backend server, and removed it from the stored
// list while runs of the first owner went on there.
func TestHostThatAnswersNoClaimStaysListedWhileRunsMayGoOn(t *testing.T) {
	h := newHarness(t, 2)
	former := 10 * time.Second
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersActive)
	h.core.FormerOwnersActUntil(former)
	h.relinkWithoutInventory("b")
	for h.now < former+LeaseExpiry-200*time.Millisecond {
		h.advance(200 * time.Millisecond)
		_, changed := h.core.hostsToStore()
		require.False(t, changed, "after %v", h.now)
	}
	h.advance(400*time.Millisecond + hostRetention)
	hosts, changed := h.core.hostsToStore()
	require.True(t, changed)
	require.Empty(t, hosts)
}

// Guards against starts on a host whose runs were given up in the state claiming, and
// against one that takes part no more once its agent knows its backend server.
func TestHostThatAnswersAClaimLateIsUsed(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	h.relinkWithoutInventory("a")
	h.advance(LeaseExpiry + claimRetry)
	require.Len(t, h.started, 1)
	require.IsType(t, &msg.OwnerClaim{}, h.sent["a"][len(h.sent["a"])-1])
	h.link(readyHost("a", 4000))
	require.Contains(t, h.started, runID("j", 0, 0, 2))
}
