package jobdaemon

import (
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/httpserve"
)

// drainReport logs the phases of a drain and what became of the callers'
// requests.
type drainReport struct {
	server    *httpserve.Server
	log       log.Interface
	startedAt time.Time
	before    httpserve.Counts // at the start of the drain
	current   string           // phase
	enteredAt time.Time        // start of the current phase
	durations log.Fields       // of the phases that ended, in milliseconds
}

// phase ends the current phase and begins another one.
func (r *drainReport) phase(name string) {
	r.endPhase()
	r.current, r.enteredAt = name, time.Now()
	event.Log(r.log, event.DrainPhase, log.Fields{
		"phase": name, "since-signal-ms": time.Since(r.startedAt).Milliseconds(), "in-flight": r.server.Counts().InFlight,
	})
}

func (r *drainReport) endPhase() {
	if r.durations == nil {
		r.durations = log.Fields{}
	}
	if r.current != "" {
		r.durations[r.current+"-ms"] = time.Since(r.enteredAt).Milliseconds()
	}
}

func (r *drainReport) end(released bool) {
	r.endPhase()
	now := r.server.Counts()
	fields := log.Fields{
		"jobs-given": released, "in-flight-at-signal": r.before.InFlight, "answered": now.Answered - r.before.Answered,
		"cut": now.Cut - r.before.Cut, "gone": now.Gone - r.before.Gone, "unanswered": now.InFlight,
	}
	maps.Copy(fields, r.durations)
	event.Log(r.log, event.DrainEnded, fields)
}
