package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a wait for former owners that begins anew whenever an entry is linked:
// the runs of a host that is lost long after the former owners have stopped were not
// given up while links between entries were set up.
func TestLinksOfEntriesPutOffNoLossOfAHost(t *testing.T) {
	h := newHarness(t, 2)
	h.core.Recover(FormerOwnersActive)
	h.core.FormerOwnersActUntil(h.now + 4*time.Second)
	h.link(readyHost("a", 4000))
	h.core.Submit(lastingSpec("lasting", 1000))
	h.advance(20 * time.Second)
	require.True(t, h.ordered("lasting"))
	h.startAll("lasting")
	h.link(readyHost("b", 4000))
	delete(h.linked, "a")
	h.core.Unlinked("a")
	lostAt := h.now
	for h.now < lostAt+5*LeaseExpiry {
		h.core.FormerOwnersActUntil(4 * time.Second) // as the entry does for each linked entry
		h.advance(2 * time.Second)
		if h.hostsOf("lasting")["b"] {
			break
		}
	}
	require.True(t, h.hostsOf("lasting")["b"], "the leases ended %v after the last grant", LeaseExpiry)
	require.Less(t, h.now-lostAt, LeaseExpiry+3*time.Second)
}

// hostsOf returns the hosts on which runs of the job were ordered.
func (h *harness) hostsOf(id workload.JobID) map[workload.HostName]bool {
	hosts := map[workload.HostName]bool{}
	for run, name := range h.started {
		if run.Task.Job == id {
			hosts[name] = true
		}
	}
	return hosts
}
