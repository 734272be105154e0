package hostagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a task that waits at an agent whose calls are stuck, or behind many calls
// that are not answered, while polls are answered and extend the leases.
func TestStartWhoseCallDoesNotReturnIsRefused(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.start(ownerLink, 1, 0, 100)
	for range 30 {
		h.answerPoll(nil)
		h.grant()
		h.advance(100 * time.Millisecond)
		for _, m := range h.sends {
			if c, ok := m.(*msg.RunsChanged); ok && len(c.Refused) > 0 {
				require.GreaterOrEqual(t, h.now, maxStartWait, "the call may still be sent")
				h.answer(h.calls[0], h.clockMS(), runner.ErrNotSent) // is without effect
				require.Equal(t, []workload.RunID{runID(0)}, h.refused())
				return
			}
		}
	}
	require.Fail(t, "the start waits after 3 s")
}

// Guards against a start that reaches the next incarnation after its owner was told of the
// end of the present one, although its call has not returned.
func TestStartWhoseCallDoesNotReturnIsNotSettledByTheEndOfItsIncarnation(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	h.start(ownerLink, 1, 0, 100)
	for range maxConnectionRefusals {
		h.core.PollAnswered(h.core.NextPoll(), runner.PollResponse{}, runner.ErrNotListening)
	}
	h.advance(4 * time.Second)
	require.Equal(t, workload.HostReady, h.core.Host().State, "the next incarnation is asked first")
	h.pollAnswer(2, msg.RunStatus{Run: runID(0)})
	require.Len(t, h.lastInventory().Runs, 1)
}
