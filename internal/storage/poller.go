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

// minPollInterval limits one poller to 5% of the 2,000 reads a second that the
// table service handles, and keeps a poller without an interval from scanning
// in a loop.
const minPollInterval = 10 * time.Millisecond

// Changes are the rows with a prefix that changed after a revision, including
// deletions, in the order of revisions. The rows of one transaction have the
// same revision and are adjacent.
type Changes struct {
	Rows  []Row
	After Revision // UpTo of the previous Changes
	UpTo  Revision // Rows is complete up to this revision
	First bool     // the first Changes of this poller; Rows may be empty
}

// PollerConfig holds the parameters of a Poller.
type PollerConfig struct {
	Table    Table
	Prefix   string
	Interval time.Duration  // between scans, with a jitter of 20%; at least minPollInterval
	After    Revision       // revision that the receiver already has; 0: none
	Log      log.Interface  // nil: no log
	Random   func() float64 // for jitter, in [0, 1); nil: math/rand/v2
}

// Poller is the address of an actor that polls the rows with a prefix. Any
// goroutine may use it.
type Poller struct{ to actor.Address[scanRequest] }

type scanRequest struct{}

// SpawnPoller starts a poller in g, which scans at once and then at the
// interval. It converts Changes to a message with build and sends it to the
// actor at to. While that actor's mailbox is full, it waits; it ends when the
// actor has ended. While the service is unavailable it sends nothing and backs
// off.
func SpawnPoller[M any](g *actor.Group, c PollerConfig, to actor.Address[M], build func(Changes) M) Poller {
	if c.Log == nil {
		c.Log = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
	c.Interval = max(c.Interval, minPollInterval)
	core := &pollerCore{prefix: c.Prefix, interval: c.Interval, backoff: NewBackoff(c.Random),
		state: pollerChart.Initial(), after: c.After}
	deliver := func(ctx context.Context, changes Changes) error { return to.Send(ctx, build(changes)) }
	return Poller{actor.Spawn(g, actor.Spec[scanRequest]{
		// A request that arrives during a scan is handled after it.
		Name: "poller " + c.Prefix, Mailbox: 1, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan scanRequest) error {
			return (&pollerLoop{config: c, core: core, deliver: deliver}).run(ctx, in)
		},
	})}
}

// ScanNow requests a scan before the end of the interval, for example after a
// write of the rows. It does not wait for the scan. While the service is
// unavailable it has no effect.
func (p Poller) ScanNow() { p.to.TrySend(scanRequest{}) }

// Done is closed when the poller has ended.
func (p Poller) Done() <-chan struct{} { return p.to.Done() }

// pollerLoop is the state of the poller's actor. It carries out the decisions
// of a pollerCore.
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
		for _, r := range l.core.logRecords {
			event.Log(l.config.Log, r.event, r.fields)
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

// wait returns after the delay, after a scan request that the chart accepts, or
// when ctx ends.
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
