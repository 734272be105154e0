package jobdaemon

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
)

// linkTiming detects a silent process within a fraction of the owner's lease. It is
// that of links between entries, and between agents and the owner of the jobs.
var linkTiming = peer.Timing{Heartbeat: 300 * time.Millisecond, Silence: 1200 * time.Millisecond, Shutdown: peer.ShutdownTimeout}

// idleHeartbeat is the heartbeat interval between an agent and an entry that does
// not own the jobs. The number of such links grows with the product of agents and
// entries.
const idleHeartbeat = 1500 * time.Millisecond

const (
	dialTimeout       = 800 * time.Millisecond
	minRedialInterval = 50 * time.Millisecond
	maxRedialInterval = 250 * time.Millisecond
)

// linkID identifies a link within a process.
type linkID uint64

// linkUp, linkMessage, linkUnsent and linkDown report the events of a link to the actor that
// owns the state of the process.
type (
	linkUp struct {
		id    linkID
		hello *msg.PeerHello
		out   peer.Out
	}
	linkMessage struct {
		id      linkID
		message msg.Control
	}
	linkUnsent struct {
		id     linkID
		unsent peer.Unsent
	}
	linkDown struct {
		id  linkID
		err error
	}
)

// linkHandler implements peer.Handler: it sends the events of a link to an actor.
type linkHandler struct {
	ctx  context.Context
	id   linkID
	send func(context.Context, any) error
}

func (h *linkHandler) Up(hello msg.Control, out peer.Out) error {
	peerHello, ok := hello.(*msg.PeerHello)
	if !ok {
		return peer.ErrProtocol
	}
	return h.send(h.ctx, &linkUp{h.id, peerHello, out})
}

func (h *linkHandler) Receive(m msg.Control) {
	// Send fails only when the process ends.
	_ = h.send(h.ctx, &linkMessage{h.id, m})
}

func (h *linkHandler) Unsent(u peer.Unsent) { _ = h.send(h.ctx, &linkUnsent{h.id, u}) }

func (h *linkHandler) Down(err error) { _ = h.send(context.WithoutCancel(h.ctx), &linkDown{h.id, err}) }

// links serves the links of a process and assigns their numbers.
type links struct {
	group *actor.Group
	next  actor.Counter
	base  linkID // below the numbers of the links
	hello func() *msg.PeerHello
	// follow makes the links send heartbeats at the intervals of their peers.
	follow bool
	epochs *peer.Epochs // of an entry; nil: of an agent
	send   func(context.Context, any) error
}

func (l *links) run(ctx context.Context, conn link.Conn) error {
	handler := &linkHandler{ctx: ctx, id: l.base + linkID(l.next.Next()), send: l.send}
	timing := linkTiming
	timing.Follow, timing.Epochs = l.follow, l.epochs
	return peer.RunWithTiming(ctx, conn, l.hello(), handler, timing)
}

// accept serves the links that other processes open.
func (l *links) accept(ctx context.Context, listener link.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return err
		}
		actor.Go(l.group, "accepted link", func(ctx context.Context) error {
			_ = l.run(ctx, conn) // linkDown carries the reason
			return nil
		})
	}
}

// dialer maintains a link to one address.
type dialer struct {
	links   *links
	dial    link.Dialer
	address string
	linked  func(address string) bool // reports whether a link with the process is up
}

// run dials while the process at the address is not linked. The pause between
// attempts doubles up to maxRedialInterval.
func (d *dialer) run(ctx context.Context) error {
	pause := minRedialInterval
	for {
		started := time.Now()
		if !d.linked(d.address) {
			d.dialOnce(ctx)
		}
		if time.Since(started) > maxRedialInterval {
			pause = minRedialInterval
		}
		if !actor.Sleep(ctx, pause) {
			return nil
		}
		pause = min(2*pause, maxRedialInterval)
	}
}

func (d *dialer) dialOnce(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := d.dial.Dial(limited, d.address)
	cancel()
	if err != nil {
		return // the process is unavailable; run dials again
	}
	_ = d.links.run(ctx, conn) // linkDown carries the reason
}

func logLinkDown(l log.Interface, name string, err error) {
	reason := "closed"
	if err != nil {
		reason = err.Error()
	}
	event.Log(l, event.PeerLost, log.Fields{"peer": name, "reason": reason})
}
