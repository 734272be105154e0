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

// repeatedWaits has, for each event that makes a state of the job scheduler's charts
// wait for its timeout once more, the reason why that does not go on without an end.
var repeatedWaits = map[string]string{
	"candidate/asking announced":    "a backend server that announces itself answers a poll or its address does; meanwhile its host gets no starts, and an owner gives its tasks to others",
	"configsync/asking askedLost":   "each loss removes a peer; without one that is ahead the entry is current",
	"configsync/asking chunk":       "each chunk is new, and their number is bounded by the size of a configuration",
	"configsync/asking late":        "another peer is asked each time; the timeout grows to 20 s at most",
	"configsync/reading advanced":   "a higher version has arrived, so the read delivers",
	"heldrun/doubtful late":         "ends with an answered poll, or with the leases when none is answered (Core.leasesExpiredInSilence)",
	"heldrun/doubtful replaced":     "run.step does not set the timeout anew",
	"heldrun/stopping late":         "ends with the run, which an answered stop ends, or with the leases when nothing is answered",
	"incarnation/closing late":      "leasesExpireAt is set once, when the process ends: 7.12 s after it",
	"ownership/reading late":        "ends when the table service answers; nothing can be claimed without it",
	"ownership/standby late":        "at rest while another entry owns the jobs",
	"permission/disputed confirmed": "nothing waits for its end: the owner acts in this state",
	"refusal/separate refused":      "each kind of content that is refused is held for refusedRetry, so other batches follow; nothing waits for the end of the state",
	"run/stopping late":             "ends with the agent's report; without its link the leases expire",
	"taskhost/claiming late":        "ends with the agent's inventory or its link; the runs are given up when their leases have ended, though the claim is repeated",
	"taskhost/claiming up":          "as taskhost/claiming late; each is a new link of the agent",
}

// Guards against a retry without an end: the owner asked for the inventory of a backend
// server that its agent had never heard of, again and again, and its tasks never
// started again. A timeout that leads back to its state, also through the timeouts of
// other states, and an event that sets it anew need a reason here.
func TestRepeatedWaitsHaveAReason(t *testing.T) {
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
		found = append(found, repeatsOf(name, document)...)
	}
	listed := make([]string, 0, len(repeatedWaits))
	for wait, reason := range repeatedWaits {
		require.NotEmpty(t, reason, wait)
		listed = append(listed, wait)
	}
	sort.Strings(listed)
	sort.Strings(found)
	require.Equal(t, listed, found)
}

// Guards against a check that no longer finds a repeated wait.
func TestRepeatedWaitsAreFound(t *testing.T) {
	node := func(id string, transitions ...chart.TransitionNode) chart.StateNode {
		return chart.StateNode{ID: id, Timeout: &chart.TimeoutNode{Event: "late"}, Transitions: transitions}
	}
	late := func(target, cond string) chart.TransitionNode {
		return chart.TransitionNode{Event: "late", Target: target, Cond: cond}
	}
	document := &chart.Document{States: []chart.StateNode{
		node("itself", late("itself", "")),
		node("there", late("back", "")),
		node("back", late("there", "")),
		node("stays", late("", "")),
		node("guarded", late("end", "ready")),
		node("restarted", late("end", ""), chart.TransitionNode{Event: "news", Target: "restarted"}),
		node("sound", late("end", ""), chart.TransitionNode{Event: "news"}),
		{ID: "end", Final: true},
	}}
	require.Equal(t, []string{"c/itself late", "c/there late", "c/back late", "c/stays late", "c/guarded late", "c/restarted news"}, repeatsOf("c", document))
}

// repeatsOf returns the states of a chart whose wait can be repeated, with the event
// that repeats it.
func repeatsOf(name string, document *chart.Document) []string {
	var found []string
	for _, s := range document.States {
		if s.Timeout == nil {
			continue
		}
		if timeoutMayStay(s) || onTimeoutCycle(document, s.ID) {
			found = append(found, name+"/"+s.ID+" "+s.Timeout.Event)
		}
		for _, tr := range s.Transitions {
			if tr.Target == s.ID && tr.Event != s.Timeout.Event {
				found = append(found, name+"/"+s.ID+" "+tr.Event)
			}
		}
	}
	return found
}

// timeoutMayStay reports whether the timeout of a state may leave it where it is: each
// transition has a condition, or one has no target.
func timeoutMayStay(s chart.StateNode) bool {
	for _, tr := range s.Transitions {
		if tr.Event != s.Timeout.Event {
			continue
		}
		if tr.Target == "" {
			return true
		}
		if tr.Cond == "" {
			return false
		}
	}
	return true
}

// onTimeoutCycle reports whether timeouts alone lead from a state back to it.
func onTimeoutCycle(document *chart.Document, start string) bool {
	reached := map[string]bool{}
	next := timeoutTargets(document, start)
	for len(next) > 0 {
		id := next[0]
		next = next[1:]
		if id == start {
			return true
		}
		if !reached[id] {
			reached[id] = true
			next = append(next, timeoutTargets(document, id)...)
		}
	}
	return false
}

// timeoutTargets returns the states that the timeout of a state leads to.
func timeoutTargets(document *chart.Document, id string) []string {
	var targets []string
	for _, s := range document.States {
		if s.ID != id || s.Timeout == nil {
			continue
		}
		for _, tr := range s.Transitions {
			if tr.Event == s.Timeout.Event && tr.Target != "" {
				targets = append(targets, tr.Target)
			}
		}
	}
	return targets
}
