package storage

import (
	"cmp"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/event"
)

// pollJitter is the fraction of the interval by which a wait may be longer or
// shorter, so that the pollers of many processes do not scan at the same time.
const pollJitter = 0.2

// States of charts/poller.scxml.
const (
	psScanning chart.State = iota
	psDelivering
	psWaiting
	psClosed
)

// Events of charts/poller.scxml.
const (
	peScanned chart.Event = iota
	peScanFailed
	peDelivered       // the receiver's mailbox accepted the changes
	peReceiverStopped // the receiver has ended
	peDelayElapsed
	peScanRequested // ScanNow was called
)

var pollerChart = chart.MustCompile(charts.Files, PollerBinding())

// PollerBinding binds charts/poller.scxml. It is exported for the checks that
// explore the chart.
func PollerBinding() chart.Binding[pollerCore] {
	return chart.Binding[pollerCore]{
		Chart:  "poller",
		States: []string{"scanning", "delivering", "waiting", "closed"},
		Events: []string{"scanned", "scanFailed", "delivered", "receiverStopped", "delayElapsed", "scanRequested"},
		Guards: map[string]func(*pollerCore) bool{
			"regressed": func(p *pollerCore) bool { return p.scanned.UpTo < p.after },
			"changed":   func(p *pollerCore) bool { return p.scanned.First || len(p.scanned.Rows) > 0 },
			"healthy":   func(p *pollerCore) bool { return p.backoff.Healthy() },
		},
		Actions: map[string]func(*pollerCore){
			"accept": (*pollerCore).accept, "schedule": (*pollerCore).schedule,
			"backOff": (*pollerCore).backOff, "reportRegression": (*pollerCore).reportRegression,
		},
	}
}

// pollerCore makes the decisions of a poller. It is pure: the caller passes
// the events and the time.
type pollerCore struct {
	prefix      string
	interval    time.Duration
	backoff     *Backoff
	state       chart.State
	after       Revision      // all changes up to it were delivered
	scannedOnce bool          // a scan has succeeded
	wait        time.Duration // until the next scan
	logRecords  []logRecord

	// Inputs of the event that is being handled.
	now     time.Time
	scanned Changes // result of the latest successful scan
	cause   error   // of the latest failed scan; nil: the revision has decreased
}

func (p *pollerCore) step(e chart.Event, now time.Time) {
	p.now = now
	pollerChart.Step(p, &p.state, e)
}

// handleScan handles the result of a scan.
func (p *pollerCore) handleScan(rows []Row, upTo Revision, err error, now time.Time) {
	if err != nil {
		p.cause = err
		p.step(peScanFailed, now)
		return
	}
	p.scanned = Changes{Rows: inOrder(rows, p.after, upTo), After: p.after, UpTo: upTo, First: !p.scannedOnce}
	p.step(peScanned, now)
}

// inOrder returns the rows with revisions above after and up to upTo, in the
// order of revisions. A row that changed while the service scanned has a higher
// revision and is part of the next scan.
func inOrder(rows []Row, after, upTo Revision) []Row {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Version <= after || r.Version > upTo })
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

// accept records the scan's revision and the success of the scan.
func (p *pollerCore) accept() {
	wasUnhealthy := !p.backoff.Healthy()
	p.wait = p.backoff.Success(p.now)
	if wasUnhealthy && p.backoff.Healthy() {
		p.logEvent(event.StoreRecovered, log.Fields{})
	}
	p.after, p.scannedOnce = p.scanned.UpTo, true
}

// schedule sets the wait to the interval with jitter, or longer while the
// service recovers.
func (p *pollerCore) schedule() {
	share := 1 - pollJitter + 2*pollJitter*p.backoff.random()
	p.wait = max(p.wait, time.Duration(share*float64(p.interval)))
}

// backOff sets the wait after a failed scan.
func (p *pollerCore) backOff() {
	if p.backoff.Healthy() && p.cause != nil {
		p.logEvent(event.StoreUnavailable, log.Fields{"error": p.cause.Error()})
	}
	p.wait = p.backoff.Failure(p.now)
	p.schedule()
}

// reportRegression logs that the revision of the table service has decreased. It
// clears cause so that backOff does not also log the service as unavailable.
func (p *pollerCore) reportRegression() {
	p.logEvent(event.PollRegressed, log.Fields{"revision": p.scanned.UpTo, "known": p.after})
	p.cause = nil
}

func (p *pollerCore) logEvent(e event.Event, f log.Fields) {
	f["prefix"] = p.prefix
	p.logRecords = append(p.logRecords, logRecord{e, f})
}
