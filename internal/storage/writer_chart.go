package storage

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

// linger is how long a transaction waits for more operations, from
// docs/design.md section 5.6.
const linger = 20 * time.Millisecond

// States of charts/writer.scxml.
const (
	wsIdle chart.State = iota
	wsGathering
	wsCommitting
	wsReading
	wsPausing
)

// Events of charts/writer.scxml.
const (
	weOffer chart.Event = iota
	weWithdraw
	weLinger
	weCommitted
	weConflict
	weFenced
	weRefused
	weUnavailable
	weUnknown
	weFound
	weUnchanged
	weMoved
	weResume
)

var writerChart = chart.MustCompile(charts.Files, WriterBinding())

// WriterBinding binds charts/writer.scxml. It is exported for the checks that
// explore the chart.
func WriterBinding() chart.Binding[writerCore] {
	return chart.Binding[writerCore]{
		Chart:  "writer",
		States: []string{"idle", "gathering", "committing", "reading", "pausing"},
		Events: []string{"offer", "withdraw", "linger", "committed", "conflict", "fenced", "refused",
			"unavailable", "unknown", "found", "unchanged", "moved", "resume"},
		Guards: map[string]func(*writerCore) bool{
			"queued":     func(w *writerCore) bool { return len(w.queue) > 0 },
			"full":       func(w *writerCore) bool { return w.queuedRows() >= MaxTxnRows-1 },
			"recovering": func(w *writerCore) bool { return w.wait > 0 },
			"inDoubt":    func(w *writerCore) bool { return len(w.doubt) > 0 },
			// Sent again at once only if the service did not just report that
			// the row had changed: its answers would contradict each other.
			"resendable": func(w *writerCore) bool { return len(w.doubt) > 0 && !w.fenced },
			"blamed":     func(w *writerCore) bool { return w.blamed() > 0 },
			// In doubt, a transaction without operations still decides whether
			// the earlier one took effect.
			"remains":   func(w *writerCore) bool { return w.blamed() < len(w.current.ops) || len(w.doubt) > 0 },
			"divisible": func(w *writerCore) bool { return len(w.current.ops) > 1 },
		},
		Actions: map[string]func(*writerCore){
			"assemble": (*writerCore).assemble, "commit": (*writerCore).commit, "readBack": (*writerCore).readBack,
			"settle": (*writerCore).settle, "failChecked": (*writerCore).failChecked,
			"failRefused": (*writerCore).failRefused, "divide": (*writerCore).divide,
			"postpone": (*writerCore).postpone, "doubt": (*writerCore).enterDoubt, "adopt": (*writerCore).adopt,
			"giveUp": (*writerCore).giveUp, "backOff": (*writerCore).backOff,
		},
		Delays: map[string]time.Duration{"linger": linger},
	}
}
