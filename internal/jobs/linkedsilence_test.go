package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// newLongRunningJob returns a job of one task that lasts.
func newLongRunningJob(id string) workload.Job {
	step := newStep(1, 1000)
	step.LongRunning = true
	return newSpec(id, step)
}

// Guards against a task that lasts and never runs again: its host is linked and has
// answered the claim, but the owner grants it no lease any more, because its agent sends
// no reports, or reports of an incarnation that the owner does not know.
func TestRunsOfALinkedHostWithoutGrantsStartElsewhere(t *testing.T) {
	for name, silence := range map[string]func(h *harness, info workload.Host){
		"no reports": func(h *harness, info workload.Host) { h.noReports[info.Name] = true },
		"other incarnation": func(h *harness, info workload.Host) {
			info.StartedAtMS++
			h.core.Announced(info)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			info := readyHost("a", 4000)
			h.link(info)
			h.core.Submit(newLongRunningJob("j"))
			h.process()
			require.Equal(t, workload.HostName("a"), h.started[runID("j", 0, 0, 1)])
			h.link(readyHost("b", 4000))
			h.advance(2 * LeaseExpiry)
			require.Len(t, h.started, 1, "the host reports its run")
			silence(h, info)
			h.advance(LeaseExpiry - 500*time.Millisecond)
			require.Len(t, h.started, 1, "the lease may not have ended")
			h.advance(time.Second)
			require.Equal(t, workload.HostName("b"), h.started[runID("j", 0, 0, 2)])
			require.IsType(t, &msg.OwnerClaim{}, h.sent["a"][len(h.sent["a"])-1], "the host is claimed anew")
		})
	}
}

// Guards against an owner that gives up the runs of its hosts when it may not grant
// leases, although another entry may have replaced it and extends them.
func TestOwnerWithoutPermissionGivesUpNoRunsOfLinkedHosts(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.core.Submit(newLongRunningJob("j"))
	h.process()
	h.link(readyHost("b", 4000))
	h.core.PermitLeases(false)
	h.core.NotReplacedUntil(h.now)
	h.advance(3 * LeaseExpiry)
	require.Len(t, h.started, 1)
	require.True(t, h.core.ConfirmationAwaited())
}

// Guards against hosts without runs that are claimed again and again because they have
// nothing to report.
func TestLinkedHostWithoutRunsIsNotClaimedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.link(readyHost("a", 4000))
	h.noReports["a"] = true
	sent := len(h.sent["a"])
	h.advance(5 * LeaseExpiry)
	require.Len(t, h.sent["a"], sent)
}
