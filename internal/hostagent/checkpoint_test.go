package hostagent

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a checkpoint that makes a report, an inventory or a start exceed a
// message.
func TestCheckpointThatIsTooLongIsNotUsed(t *testing.T) {
	for length, used := range map[int]bool{0: true, maxCheckpointBytes - 1: true, maxCheckpointBytes: true, maxCheckpointBytes + 1: false} {
		h := newHarness(t)
		h.claim(ownerLink, 1)
		checkpoint, want := strings.Repeat("c", length), ""
		if used {
			want = checkpoint
		}
		h.beginWith(true, []msg.RunStatus{{Run: runID(1), Checkpoint: checkpoint}}, msg.RunEnd{Number: 1, Run: runID(2), Reason: workload.EndStopped, Checkpoint: checkpoint})
		sent := h.inventories()[0]
		require.Equal(t, want, sent.Runs[0].Checkpoint, "%d bytes", length)
		require.Equal(t, want, sent.Ended[0].Checkpoint, "%d bytes", length)
	}
}
