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

// linkTiming notices a silent process in a fraction of the owner's lease.
var linkTiming = peer.Timing{Heartbeat: 300 * time.Millisecond, Silence: 1200 * time.Millisecond}

const (
	dialTimeout = 800 * time.Millisecond
	minRedial   = 50 * time.Millisecond
	maxRedial   = 250 * time.Millisecond
)

// linkID names a link within a process.
type linkID uint64

// linkUp, linkMessage and linkDown are what the owner of a process's state
// hears of its links.
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
	linkDown struct {
		id  linkID
		err error
	}
)

// linkSink delivers what happens on one link to an actor.
type linkSink struct {
	ctx  context.Context
	id   linkID
	send func(context.Context, any) error
}

func (s *linkSink) Up(hello msg.Control, out peer.Out) error {
	h, ok := hello.(*msg.PeerHello)
	if !ok {
		return peer.ErrProtocol
	}
	return s.send(s.ctx, &linkUp{s.id, h, out})
}

func (s *linkSink) Receive(m msg.Control) {
	// An error means that the process ends.
	_ = s.send(s.ctx, &linkMessage{s.id, m})
}

func (s *linkSink) Down(err error) { _ = s.send(context.WithoutCancel(s.ctx), &linkDown{s.id, err}) }

// links numbers and runs the links of a process.
type links struct {
	group *actor.Group
	next  actor.Counter
	hello func() *msg.PeerHello
	send  func(context.Context, any) error
}

func (l *links) run(ctx context.Context, conn link.Conn) error {
	sink := &linkSink{ctx: ctx, id: linkID(l.next.Next()), send: l.send}
	err := peer.RunWithTiming(ctx, conn, l.hello(), sink, linkTiming)
	return err
}

// accept serves the links that other processes open.
func (l *links) accept(ctx context.Context, listener link.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return err
		}
		actor.Go(l.group, "accepted link", func(ctx context.Context) error {
			_ = l.run(ctx, conn) // linkDown tells the reason
			return nil
		})
	}
}

// dialer keeps a link to one address.
type dialer struct {
	links   *links
	dial    link.Dialer
	address string
	linked  func(address string) bool // another link with the process is up
}

func (d *dialer) run(ctx context.Context) error {
	pause := minRedial
	for {
		began := time.Now()
		if !d.linked(d.address) {
			d.once(ctx)
		}
		if time.Since(began) > maxRedial {
			pause = minRedial
		}
		if !actor.Sleep(ctx, pause) {
			return nil
		}
		pause = min(2*pause, maxRedial)
	}
}

func (d *dialer) once(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := d.dial.Dial(limited, d.address)
	cancel()
	if err != nil {
		return // the process is away; the pause grows
	}
	_ = d.links.run(ctx, conn) // linkDown tells the reason
}

func logLinkDown(l log.Interface, name string, err error) {
	why := "closed"
	if err != nil {
		why = err.Error()
	}
	event.Log(l, event.PeerLost, log.Fields{"peer": name, "reason": why})
}
