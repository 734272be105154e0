package jobdaemon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// throttleLogInterval is the interval at which an agent logs the changed CPU limits
	// of its runs.
	throttleLogInterval = 5 * time.Second
	// maxThrottledRuns is how many runs such a line names.
	maxThrottledRuns = 8
)

// throttleLog sums up the changes of CPU limits since they were last logged.
type throttleLog struct {
	changes  int
	lowest   map[workload.RunID]int // lowest limit in percent
	maxRatio float64
	loggedAt time.Duration // 0: never
}

func (l *throttleLog) add(d hostagent.Decision) {
	if l.lowest == nil {
		l.lowest = map[workload.RunID]int{}
	}
	t := d.Throttle
	if lowest, ok := l.lowest[d.Run]; !ok || t.Percent < lowest {
		l.lowest[d.Run] = t.Percent
	}
	l.maxRatio = max(l.maxRatio, t.MaxRatio)
	l.changes++
}

// slowest returns the runs with the lowest limits and these, as text.
func (l *throttleLog) slowest() string {
	runs := slices.SortedFunc(maps.Keys(l.lowest), func(a, b workload.RunID) int {
		return cmp.Or(cmp.Compare(l.lowest[a], l.lowest[b]), strings.Compare(a.String(), b.String()))
	})
	list := make([]string, min(len(runs), maxThrottledRuns))
	for i := range list {
		list[i] = fmt.Sprintf("%s:%d", runs[i], l.lowest[runs[i]])
	}
	return strings.Join(list, ",")
}

// logThrottling logs the changes of CPU limits if there are any and that is due.
func (a *agent) logThrottling(now time.Duration) {
	l := &a.throttling
	if l.changes == 0 || l.loggedAt != 0 && now-l.loggedAt < throttleLogInterval {
		return
	}
	event.Log(a.log, event.AgentRunsThrottled, log.Fields{
		"epoch": a.core.Epoch(), "changes": l.changes, "runs": len(l.lowest), "pace": l.slowest(), "worst": fmt.Sprintf("%.2f", l.maxRatio),
	})
	*l = throttleLog{loggedAt: now}
}
