package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longWaits returns the long waits that are logged within a time.
func (h *harness) longWaits(d time.Duration) []Decision {
	var list []Decision
	for end := h.now + d; h.now < end; {
		h.advance(time.Second)
		list = append(list, h.decisions(HostWaits, h.core.LogLongWaits)...)
	}
	return list
}

// Guards against waits of the owner for an agent that leave no line in the log, and
// against logs that the same wait fills. The owner does not know whether it was replaced,
// so it cannot give the runs up.
func TestLongWaitsAreLoggedOnce(t *testing.T) {
	h := withRun(t)
	h.advanceReporting(2 * time.Second)
	h.core.NotReplacedUntil(h.now)
	require.Empty(t, h.longWaits(6*time.Second))
	require.Equal(t, []Decision{{Kind: HostWaits, Host: "a", Detail: "grant", Reason: "ready", Age: 7 * time.Second, Runs: 1}}, h.longWaits(20*time.Second))
	h.advanceReporting(2 * time.Second)
	require.Empty(t, h.longWaits(time.Second))
	h.core.Unlinked("a")
	h.core.Linked(readyHost("a", 4000))
	require.Equal(t, []Decision{{Kind: HostWaits, Host: "a", Detail: "inventory", Reason: "claiming", Age: 4 * time.Second, Runs: 1}}, h.longWaits(20*time.Second))
}
