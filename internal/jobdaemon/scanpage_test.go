package jobdaemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against reads of the stored jobs that keep heartbeats from a new owner for
// longer than its links may be silent: its peers took it for lost and replaced it.
func TestPagesOfALoadLeaveTheConnectionToHeartbeats(t *testing.T) {
	const megabit = 1_000_000
	for _, rate := range []int64{2 * megabit, 10 * megabit, 20 * megabit, 200 * megabit, 1000 * megabit} {
		scans := 2 + len(jobParts)
		bits := float64(scans * ScanPageBytes(rate) * 8)
		wait := time.Duration(bits / float64(rate) * float64(time.Second))
		require.Less(t, wait+linkTiming.Heartbeat, linkTiming.Silence, "%d bits a second", rate)
	}
	require.Zero(t, ScanPageBytes(0))
}
