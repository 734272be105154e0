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
	call := h.lastCall()
	for h.now < 3*time.Second && len(h.refused()) == 0 {
		h.grant()
		h.advance(100 * time.Millisecond)
		h.answerPoll(nil)
	}
	require.Equal(t, []workload.RunID{runID(0)}, h.refused())
	require.GreaterOrEqual(t, h.now, maxStartWait, "the call may still be sent")
	h.answer(call, h.clockMS(), runner.ErrNotSent)
	require.Len(t, h.refused(), 1, "it was reported already")
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
