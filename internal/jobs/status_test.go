package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// withRun returns the harness of an owner with a run on the host "a".
func withRun(t *testing.T) *harness {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.noReports["a"] = true // but in advanceReporting
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	h.process()
	h.core.RunsChanged("a", &msg.RunsChanged{Epoch: 1, Instance: "i-a", StartedAtMS: 1, Started: []workload.RunID{runID("j", 0, 0, 1)}})
	return h
}

// advanceReporting advances the time while the agent of "a" reports its runs.
func (h *harness) advanceReporting(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.advance(500 * time.Millisecond)
		h.core.RunsProgress("a", &msg.RunsProgress{Epoch: 1, Instance: "i-a", StartedAtMS: 1, Runs: []msg.RunStatus{{Run: runID("j", 0, 0, 1)}}})
	}
}

// Guards against metrics from which a host whose agent does not answer the claim cannot
// be told from one whose runs go on.
func TestStatusShowsAClaimWithoutAnInventory(t *testing.T) {
	h := withRun(t)
	h.advanceReporting(10 * time.Second)
	require.Equal(t, Status{Hosts: HostStates{Ready: 1}, Runs: RunStates{Running: 1}}, h.core.Status())
	h.core.Unlinked("a")
	h.core.Linked(readyHost("a", 4000))
	h.advance(6 * time.Second)
	require.Equal(t, Status{
		Hosts: HostStates{Claiming: 1}, Runs: RunStates{Running: 1}, OldestClaim: 6 * time.Second, OldestGrant: 6 * time.Second,
	}, h.core.Status())
	h.advance(2 * time.Second)
	require.Equal(t, Status{Hosts: HostStates{Claiming: 1}, OldestClaim: 8 * time.Second}, h.core.Status(), "the leases have ended")
}

// Guards against metrics from which an owner that takes runs for active, since their
// agent reports them, cannot be told from one that waits.
func TestStatusShowsThatReportsExtendTheLeases(t *testing.T) {
	h := withRun(t)
	h.advanceReporting(30 * time.Second)
	h.advance(400 * time.Millisecond)
	require.Equal(t, Status{Hosts: HostStates{Ready: 1}, Runs: RunStates{Running: 1}, OldestGrant: 400 * time.Millisecond}, h.core.Status())
}

// Guards against metrics from which an owner that counts the time of former owners and of
// silent hosts from its own beginning cannot be told from one that waits for an agent.
func TestStatusShowsTheTimeOfFormerOwners(t *testing.T) {
	h := newHarness(t, 2)
	h.core.Restore(newSpec("j", newStep(1, 1000), newStep(1, 1000)), nil)
	h.core.Restore(newSpec("k", newStep(1, 1000)), nil)
	h.core.ExpectHost("b")
	h.core.Recover(FormerOwnersActive)
	h.core.FormerOwnersActUntil(h.now + 10*time.Second)
	h.link(readyHost("a", 4000))
	h.advance(4 * time.Second)
	require.Equal(t, Status{
		Hosts: HostStates{Ready: 1, Silent: 1}, FormerOwners: 6 * time.Second, Recovery: 6*time.Second + maxRecovery, RecoveryWaiting: 2,
	}, h.core.Status())
	h.advance(6*time.Second + maxRecovery)
	s := h.core.Status()
	require.Equal(t, HostStates{Ready: 1, Away: 1}, s.Hosts)
	require.Zero(t, s.Recovery+s.FormerOwners)
	require.Zero(t, s.RecoveryWaiting)
	require.Equal(t, RunStates{Ordered: 3}, s.Runs)
}
