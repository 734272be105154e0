package history

import (
	"fmt"
	"time"
)

// checks are the properties in the order in which they are reported.
var checks = []struct {
	property string
	find     func(*History, reportFunc)
}{
	{"capacity", capacity},
	{"one live attempt", oneLiveAttempt},
	{"effect once", effectOnce},
	{"committed checkpoint", committedCheckpoint},
	{"whole answers", wholeAnswers},
	{"not-run answers", notRun},
	{"at most once", atMostOnce},
	{"drain", drain},
	{"graceful shutdown", gracefulShutdown},
	{"configuration in force", configInForce},
	{"configuration versions", configVersions},
}

// report adds a violation.
type reportFunc func(format string, args ...any)

// Check returns every violation that the history shows, each with the name of
// the property.
func Check(h History) []string {
	var violations []string
	for _, c := range checks {
		c.find(&h, func(format string, args ...any) {
			violations = append(violations, c.property+": "+fmt.Sprintf(format, args...))
		})
	}
	return violations
}

// excused reports whether a fault was in force at some time between from and
// until, or ended less than after before from.
func (h *History) overlapsFault(from, until int64, recovery time.Duration) bool {
	for _, f := range h.Faults {
		if f.From <= until && (f.Until == 0 || f.Until+int64(recovery) >= from) {
			return true
		}
	}
	return false
}
