package jobdaemon

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/drain"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/httpserve"
)

// Drain prepares the end of the entry within its grace period, as
// charts/drain.scxml says: it releases the jobs to another entry, waits until
// the balancer sends no new callers, answers the requests in flight, and ends the
// links after the peers have received the last messages. It returns early if ctx
// ends.
func (e *Entry) Drain(ctx context.Context) {
	d := &drainRun{
		entry: e, core: drain.New(drain.NewPlan(*e.gracePeriod.Get())), released: actor.NewReply[bool](), unlinked: actor.NewReply[bool](),
		report: drainReport{server: e.callers, log: e.log, startedAt: time.Now(), before: e.callers.Counts()},
	}
	d.run(ctx)
	now := d.report.end(d.core.JobsReleased())
	event.Log(e.log, event.NodeStopping, log.Fields{"role": "entry", "jobs-given": d.core.JobsReleased(), "answered": now.InFlight == 0})
}

// StopTime returns the time from the signal to stop until the process has to end, also
// if the drain or the log has not ended.
func (e *Entry) StopTime() time.Duration { return drain.ExitBy(*e.gracePeriod.Get()) }

// drainRun is the state of the task that drains an entry. It performs the
// effects of the drain's chart and tells the chart what has happened.
type drainRun struct {
	entry    *Entry
	core     *drain.Core
	released actor.Reply[bool] // answered when the jobs are released
	unlinked actor.Reply[bool] // answered when the links have ended
	closing  bool              // connections are being closed
	report   drainReport
}

func (d *drainRun) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	d.core.Signal()
	for d.apply(); !d.core.Stopped(); d.apply() {
		timer.Reset(d.core.Due() - time.Since(d.report.startedAt))
		select {
		case <-timer.C:
		case <-d.released.C():
			d.core.Released()
		case <-d.unlinked.C():
			d.core.Unlinked()
		case <-d.entry.callers.Settled():
		case <-ctx.Done():
			return
		}
		d.core.Advance(time.Since(d.report.startedAt))
	}
}

// apply performs the effects of the chart until there are none, and logs the
// phases that it enters.
func (d *drainRun) apply() {
	for {
		if d.closing && d.entry.callers.Quiet() {
			d.core.Quiet()
		}
		if !d.core.Stopped() {
			d.report.phase(d.core.Phase())
		}
		effects := d.core.Effects()
		if len(effects) == 0 {
			return
		}
		for _, e := range effects {
			d.perform(e)
		}
	}
}

func (d *drainRun) perform(e drain.Effect) {
	switch e {
	case drain.LeaveRotation:
		retiring := true
		d.entry.controller.published.retiring.Set(&retiring)
		d.entry.callers.Leave()
	case drain.ReleaseJobs:
		c := d.entry.controller
		actor.Go(c.group, "release", func(ctx context.Context) error {
			c.post(ctx, &retireRequest{d.released})
			return nil
		})
	case drain.CloseIdle:
		d.closing = true
		d.entry.callers.EndIdle()
	case drain.CancelRequests:
		d.entry.callers.CancelRequests()
	case drain.EndLinks:
		actor.Go(d.entry.controller.group, "link end", func(context.Context) error {
			d.entry.links.Stop()
			d.unlinked.Put(true)
			return nil
		})
	}
}

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

// phase ends the current phase and begins another one, unless it is the current
// one.
func (r *drainReport) phase(name string) {
	if name == r.current {
		return
	}
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

// end logs the result of the drain and returns the numbers of requests.
func (r *drainReport) end(released bool) httpserve.Counts {
	r.endPhase()
	now := r.server.Counts()
	fields := log.Fields{
		"jobs-given": released, "in-flight-at-signal": r.before.InFlight, "answered": now.Answered - r.before.Answered,
		"cut": now.Cut - r.before.Cut, "gone": now.Gone - r.before.Gone, "discarded": now.Discarded - r.before.Discarded, "unanswered": now.InFlight,
	}
	maps.Copy(fields, r.durations)
	event.Log(r.log, event.DrainEnded, fields)
	return now
}
