package jobdaemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/ownership"
)

const (
	// configApplyBound is the time after the acknowledgement of a configuration from
	// which on no entry uses a former one.
	configApplyBound = 2 * time.Second
	// contactBound is the time after a fault of the network from which on all promises
	// hold again.
	contactBound = 3 * time.Second
)

// chain is the longest way from an event to its effect, with one timeout spent on a
// connection that has gone silent.
type chain struct {
	promise string
	bound   time.Duration
	parts   []time.Duration
}

// margin is left in each chain for what has no bound of its own: new connections, answers
// of a sound table service, and the work of the processes.
const margin = 500 * time.Millisecond

var chains = []chain{
	{"an acknowledged cancel reaches the owner from the table service", cancelBound,
		[]time.Duration{watchWait, directTimeout, watchPause}},
	{"an acknowledged cancel reaches the owner over a link that comes up again", cancelBound,
		[]time.Duration{linkTiming.Silence, dialTimeout, maxRedialInterval}},
	{"an acknowledged configuration reaches an entry that watches the table service", configApplyBound,
		[]time.Duration{configWait, configTimeout, configRetryInterval}},
	{"an agent has a link to the owner again", contactBound,
		[]time.Duration{linkTiming.Silence, dialTimeout, maxRedialInterval}},
	{"the owner rewrites its row before its permission ends", ownership.MajorityPermissionTime,
		[]time.Duration{ownership.UndisputedConfirmInterval, directTimeout, peerCommitTimeout}},
	{"a new owner has read the jobs", contactBound,
		[]time.Duration{2 * directTimeout, loadRetryInterval}},
}

// Guards against a timeout that is raised without regard to the promises that contain it:
// the wait of the owner's watch and its timeout were longer together than cancelBound.
func TestTimeoutsKeepTheirPromises(t *testing.T) {
	for _, c := range chains {
		sum := time.Duration(0)
		for _, p := range c.parts {
			sum += p
		}
		t.Logf("%s: %v of %v", c.promise, sum, c.bound)
		require.LessOrEqual(t, sum+margin, c.bound, c.promise)
	}
}
