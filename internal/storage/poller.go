package storage

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
)

// minPollInterval keeps one poller below 5% of the 2,000 reads a second that
// the table service handles, and one without an interval from spinning.
const minPollInterval = 10 * time.Millisecond

// Changes are the rows with a prefix that changed after a revision, deletions
// included, in the order of revisions. Rows of one transaction are together.
type Changes struct {
	Rows  []Row
	After Revision // the revision of the Changes before
	UpTo  Revision // no other row with the prefix changed in between
	First bool     // the first Changes of this poller; its rows may be empty
}

// PollerConfig describes a Poller.
type PollerConfig struct {
	Table    Table
	Prefix   string
	Interval time.Duration  // between scans, with a jitter of 20%; at least minPollInterval
	After    Revision       // revision that the receiver already has; 0: none
	Log      log.Interface  // nil: no log
	Random   func() float64 // for jitter, in [0, 1); nil: math/rand/v2
}

// Poller follows the rows with a prefix. Any goroutine may use it.
type Poller struct{ to actor.Address[scanRequest] }

type scanRequest struct{}

// SpawnPoller starts a poller in g, which scans at once and then at the
// interval. It sends the message that build makes from Changes to an actor,
// waiting for room in its mailbox, and ends when that actor has ended. In an
// outage it sends nothing and backs off.
func SpawnPoller[M any](g *actor.Group, c PollerConfig, to actor.Address[M], build func(Changes) M) Poller {
	if c.Log == nil {
		c.Log = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
	c.Interval = max(c.Interval, minPollInterval)
	core := &pollerCore{prefix: c.Prefix, interval: c.Interval, backoff: NewBackoff(c.Random),
		state: pollerChart.Initial(), after: c.After}
	deliver := func(ctx context.Context, changes Changes) error { return to.Send(ctx, build(changes)) }
	return Poller{actor.Spawn(g, actor.Spec[scanRequest]{
		// A poke that arrives during a scan waits until after it.
		Name: "poller " + c.Prefix, Mailbox: 1, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan scanRequest) error {
			return (&pollerLoop{config: c, core: core, deliver: deliver}).run(ctx, in)
		},
	})}
}

// Poke makes the poller scan soon, for example after a write of its rows. It
// does not wait. While the service is unavailable it has no effect.
func (p Poller) ScanNow() { p.to.TrySend(scanRequest{}) }

// Done is closed when the poller has ended.
func (p Poller) Done() <-chan struct{} { return p.to.Done() }

// pollerLoop carries out what a pollerCore decides.
type pollerLoop struct {
	config  PollerConfig
	core    *pollerCore
	deliver func(context.Context, Changes) error
}

func (l *pollerLoop) run(ctx context.Context, in <-chan scanRequest) error {
	for ctx.Err() == nil && !pollerChart.Final(l.core.state) {
		switch l.core.state {
		case psScanning:
			l.scan(ctx)
		case psDelivering:
			if err := l.deliver(ctx, l.core.scanned); errors.Is(err, actor.ErrStopped) {
				l.core.step(peReceiverStopped, time.Now())
			} else if err == nil {
				l.core.step(peDelivered, time.Now())
			}
		case psWaiting:
			l.wait(ctx, in)
		}
		for _, n := range l.core.logRecords {
			event.Log(l.config.Log, n.event, n.fields)
		}
		l.core.logRecords = nil
	}
	return nil
}

func (l *pollerLoop) scan(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, upTo, err := l.config.Table.Scan(callCtx, l.config.Prefix, l.core.after)
	l.core.handleScan(rows, upTo, err, time.Now())
}

// wait ends with the delay, a poke that the chart accepts, or ctx.
func (l *pollerLoop) wait(ctx context.Context, in <-chan scanRequest) {
	timer := time.NewTimer(l.core.wait)
	defer timer.Stop()
	for l.core.state == psWaiting {
		select {
		case <-timer.C:
			l.core.step(peDelayElapsed, time.Now())
		case <-in:
			l.core.step(peScanRequested, time.Now())
		case <-ctx.Done():
			return
		}
	}
}
