package storage

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

// linger is the time for which operations are collected for a transaction,
// from docs/design.md section 5.6.
const linger = 20 * time.Millisecond

// States of charts/writer.scxml.
const (
	wsIdle chart.State = iota
	wsBatching
	wsCommitting
	wsReading
	wsPausing
)

// Events of charts/writer.scxml.
const (
	weEnqueued     chart.Event = iota
	weWithdrawn                // a queued operation was withdrawn
	weLinger                   // linger has elapsed
	weCommitted                // the commit succeeded
	weConflict                 // checks of operations failed
	weFenced                   // the check of the writer's row failed
	weRefused                  // the service refused the transaction
	weUnavailable              // the call had no effect, or a read failed
	weUnknown                  // the outcome of the commit is unknown
	weCommitFound              // the writer's row names an unconfirmed transaction
	weRowUnchanged             // the writer's row has the known version
	weRowChanged               // another writer has written the writer's row
	weResume                   // the pause has elapsed
)

var writerChart = chart.MustCompile(charts.Files, WriterBinding())

// WriterBinding binds charts/writer.scxml. It is exported for the checks that
// explore the chart.
func WriterBinding() chart.Binding[writerCore] {
	return chart.Binding[writerCore]{
		Chart:  "writer",
		States: []string{"idle", "batching", "committing", "reading", "pausing"},
		Events: []string{"enqueued", "withdrawn", "linger", "committed", "conflict", "fenced", "refused",
			"unavailable", "unknown", "commitFound", "rowUnchanged", "rowChanged", "resume"},
		Guards: map[string]func(*writerCore) bool{
			"queued":      func(w *writerCore) bool { return len(w.queue) > 0 },
			"full":        func(w *writerCore) bool { return w.queuedRows() >= MaxTxnRows-1 },
			"recovering":  func(w *writerCore) bool { return w.wait > 0 },
			"unconfirmed": func(w *writerCore) bool { return len(w.unconfirmed) > 0 },
			// Not sent again at once if the service has just reported that the
			// row changed: its answers contradict each other.
			"resendable":  func(w *writerCore) bool { return len(w.unconfirmed) > 0 && !w.fenced },
			"checkFailed": func(w *writerCore) bool { return w.countFailedOps() > 0 },
			// While an earlier version is unconfirmed, a transaction without
			// operations still determines whether it took effect.
			"opsRemain":  func(w *writerCore) bool { return w.countFailedOps() < len(w.current.ops) || len(w.unconfirmed) > 0 },
			"splittable": func(w *writerCore) bool { return len(w.current.ops) > 1 },
		},
		Actions: map[string]func(*writerCore){
			"assemble": (*writerCore).assemble, "commit": (*writerCore).commit, "readBack": (*writerCore).readBack,
			"settle": (*writerCore).settle, "failConflicting": (*writerCore).failConflicting,
			"failRefused": (*writerCore).failRefused, "split": (*writerCore).split,
			"requeueUnlessUnconfirmed": (*writerCore).requeueUnlessUnconfirmed,
			"markUnconfirmed":          (*writerCore).markUnconfirmed, "adoptVersion": (*writerCore).adoptVersion,
			"settleRefusedAsUnknown": (*writerCore).settleRefusedAsUnknown, "backOff": (*writerCore).backOff,
		},
		Delays: map[string]time.Duration{"linger": linger},
	}
}
