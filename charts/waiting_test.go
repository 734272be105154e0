package charts_test

import (
	"io/fs"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

// statesWithoutTimeout has the reason for each state of the job scheduler's charts that
// has no timeout: why it need not end, or what ends it.
var statesWithoutTimeout = map[string]string{
	"batchjob/queued":        "ends when a task starts or the job is cancelled; tasks are planned until they fit",
	"batchjob/running":       "ends when all tasks are done or one has used up its attempts; runs are bounded by their hosts",
	"configsync/current":     "at rest: no linked peer has a higher version",
	"configwatch/watching":   "at rest; each watch of the table service has a timeout",
	"configwatch/following":  "ends when the entry no longer follows a peer; links have a timeout of silence",
	"crashsuspect/trusted":   "at rest",
	"crashsuspect/suspect":   "ends with the next crash or when a run survives; its task is placed like others",
	"crashsuspect/unstored":  "ends when the batch is stored, which the owner repeats; a refused job fails",
	"crashsuspect/isolated":  "ends with the next crash or when a run survives; reservations are bounded by maxReservation",
	"drain/serving":          "at rest until a signal arrives",
	"heldrun/running":        "ends with an end, a stop, a poll that no longer lists it, or the end of the incarnation or of its leases",
	"incarnation/unknown":    "at rest until an announcement is confirmed",
	"incarnation/present":    "at rest; Core.Tick ends its runs when the leases expire without an answer",
	"incarnation/silent":     "at rest until the backend server announces itself and answers a poll, or ends",
	"incarnation/ended":      "at rest until an announcement is confirmed",
	"ownership/owner":        "ends when another entry claims the jobs; each batch checks the row",
	"ownership/handing-over": "ends when the release is stored or refused, which the writer repeats",
	"ownership/retired":      "the process is shutting down, which the drain bounds",
	"permission/lapsed":      "ends when the owner's row is rewritten, which the writer repeats, or when another entry claims the jobs",
	"refusal/combined":       "at rest: the table service has refused nothing lately",
	"run/ordered":            "ends with the agent's answer, its inventory, or the expiry of the lease after the link was lost; a link whose queue is full ends",
	"run/running":            "as run/ordered",
	"taskhost/away":          "at rest until the agent is linked",
}

// chartsWithoutReview are the charts of the request path and of the jobs of one task,
// whose states have not been examined yet.
var chartsWithoutReview = map[string]bool{
	"attempt": true, "backend": true, "cell": true, "config": true, "credit": true, "exchange": true, "hold": true, "job": true,
	"link": true, "peer": true, "poller": true, "request": true, "standin-backend": true, "standin-task": true, "worker": true, "writer": true,
}

// Guards against a state that waits for something that may never come: a start that
// was dropped left its run without an outcome for good. A new state without a timeout
// needs a reason here.
func TestStatesWithoutTimeoutHaveAReason(t *testing.T) {
	files, err := fs.Glob(charts.Files, "*.scxml")
	require.NoError(t, err)
	var found []string
	for _, file := range files {
		name := strings.TrimSuffix(file, ".scxml")
		if chartsWithoutReview[name] {
			continue
		}
		document, err := chart.Parse(charts.Files, name)
		require.NoError(t, err)
		for _, s := range document.States {
			if !s.Final && s.Timeout == nil {
				found = append(found, name+"/"+s.ID)
			}
		}
	}
	listed := make([]string, 0, len(statesWithoutTimeout))
	for state, reason := range statesWithoutTimeout {
		require.NotEmpty(t, reason, state)
		listed = append(listed, state)
	}
	sort.Strings(listed)
	sort.Strings(found)
	require.Equal(t, listed, found)
}
