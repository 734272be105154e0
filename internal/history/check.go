package history

import (
	"fmt"
	"time"
)

// checks are the guarantees in the order in which violations are reported.
var checks = []struct {
	property string
	find     func(*History, reportFunc)
}{
	{"capacity", capacity},
	{"one active attempt", oneActiveAttempt},
	{"one result per job", oneResult},
	{"committed checkpoint", committedCheckpoint},
	{"complete responses", completeResponses},
	{"not-run responses", notRunResponses},
	{"at most once", atMostOnce},
	{"drain", drain},
	{"graceful shutdown", gracefulShutdown},
	{"configuration in use", configInUse},
	{"configuration versions", configVersions},
}

// reportFunc adds a violation of the property that is being checked.
type reportFunc func(format string, args ...any)

// Check returns all violations in the history, each preceded by the name of the
// violated property. The result is empty if there are none.
func Check(h History) []string {
	var violations []string
	for _, c := range checks {
		c.find(&h, func(format string, args ...any) {
			violations = append(violations, c.property+": "+fmt.Sprintf(format, args...))
		})
	}
	return violations
}

// overlapsFault reports whether a fault was active at some time between from and
// until, or ended no longer than recovery before from.
func (h *History) overlapsFault(from, until int64, recovery time.Duration) bool {
	for _, f := range h.Faults {
		if f.From <= until && (f.Until == 0 || f.Until+int64(recovery) >= from) {
			return true
		}
	}
	return false
}
