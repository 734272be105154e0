// Package peer runs a link to another daemon from the established connection
// to its end: greeting, heartbeats, detection of silence, and delivery of
// control messages. It does not know what the messages mean.
package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	heartbeatInterval = time.Second
	silenceTimeout    = 4 * time.Second
	greetingTimeout   = 4 * time.Second
	// outboundMessages is the room for messages that wait for the socket. A
	// link whose peer reads slower than that is ended, because dropping single
	// messages would leave the two sides with different views. It holds the 200
	// reports of demand that fall due until a peer counts as silent; 1024 took
	// 16 KiB of each link at both sides, a fifth of an entry's memory.
	outboundMessages = 256
)

// Errors that end a link.
var (
	ErrSilent   = errors.New("peer is silent")
	ErrProtocol = errors.New("peer broke the protocol")
	ErrOverflow = errors.New("peer reads too slowly: a message for it was dropped")
)

// Out is the address of a link's outbound messages.
type Out = actor.Address[msg.Control]

// Handler receives what happens on a link. Its methods are called by one
// goroutine, in order: Up once, Receive, and Down once after Up.
type Handler interface {
	// Up is called with the peer's hello. An error refuses the link.
	Up(hello msg.Control, out Out) error
	Receive(m msg.Control)
	Down(err error)
}

// Timing says how soon a silent peer is noticed.
type Timing struct {
	Heartbeat time.Duration // a message is sent at least that often
	Silence   time.Duration // after which the link is ended
}

// DefaultTiming suits links of which there are many at an entry.
var DefaultTiming = Timing{Heartbeat: heartbeatInterval, Silence: silenceTimeout}

// Run greets the peer and serves the link with DefaultTiming until it fails or
// ctx ends. It closes conn.
func Run(ctx context.Context, conn link.Conn, hello msg.Control, h Handler) error {
	return RunTimed(ctx, conn, hello, h, DefaultTiming)
}

// RunTimed is Run with a timing.
func RunTimed(ctx context.Context, conn link.Conn, hello msg.Control, h Handler, timing Timing) error {
	g := actor.NewGroup(ctx, nil)
	defer g.Stop()
	defer conn.Close()
	full := make(chan struct{}, 1)
	out := actor.Spawn(g, actor.Spec[msg.Control]{Name: "link writer", Mailbox: outboundMessages, Overflow: full,
		Run: func(ctx context.Context, in <-chan msg.Control) error {
			return write(ctx, conn, hello, in, timing.Heartbeat)
		}})
	in := make(chan msg.Control, 16)
	failed := actor.NewReply[error]()
	actor.Go(g, "link reader", func(ctx context.Context) error {
		failed.Put(read(ctx, conn, in))
		return nil
	})
	l := &session{handler: h, out: out, full: full, silence: timing.Silence}
	return l.serve(ctx, in, failed, out.Done())
}

func write(ctx context.Context, conn link.Conn, hello msg.Control, in <-chan msg.Control, heartbeat time.Duration) error {
	if err := conn.Send(hello); err != nil {
		return err
	}
	idle := time.NewTimer(heartbeat)
	defer idle.Stop()
	for {
		var m msg.Control
		select {
		case m = <-in:
		case <-idle.C:
			m = &msg.Heartbeat{}
		case <-ctx.Done():
			return nil
		}
		if err := conn.Send(m); err != nil {
			return err
		}
		idle.Reset(heartbeat)
	}
}

func read(ctx context.Context, conn link.Conn, in chan<- msg.Control) error {
	for {
		m, err := conn.Receive()
		if err != nil {
			return err
		}
		select {
		case in <- m:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Events of charts/link.scxml.
const (
	evHello chart.Event = iota
	evMessage
	evSilence
	evFailed
)

var linkChart = chart.MustCompile(charts.Files, chart.Binding[session]{
	Chart:  "link",
	States: []string{"greeting", "up", "closed"},
	Events: []string{"hello", "message", "silence", "failed"},
	Actions: map[string]func(*session){
		"announceUp":     (*session).announceUp,
		"deliver":        func(s *session) { s.handler.Receive(s.current) },
		"reportProtocol": func(s *session) { s.err = errors.Wrapf(ErrProtocol, "unexpected %T", s.current) },
		"reportSilent":   func(s *session) { s.err = ErrSilent },
		"reportFailed":   func(*session) {},
	},
	Delays: map[string]time.Duration{"greetingTimeout": greetingTimeout, "silenceTimeout": silenceTimeout},
})

// session is the state of a link; it belongs to the goroutine of Run.
type session struct {
	handler Handler
	out     Out
	full    <-chan struct{} // a message for the peer was dropped
	silence time.Duration   // of an established link
	state   chart.State
	current msg.Control // message that is being delivered
	wasUp   bool
	err     error
}

func (s *session) announceUp() {
	if s.err = s.handler.Up(s.current, s.out); s.err == nil {
		s.wasUp = true
	}
}

func (s *session) serve(ctx context.Context, in <-chan msg.Control, failed actor.Reply[error], writerDone <-chan struct{}) error {
	s.state = linkChart.Initial()
	defer func() {
		if s.wasUp {
			s.handler.Down(s.err)
		}
	}()
	d, _, _ := linkChart.Timeout(s.state)
	silence := time.NewTimer(d)
	defer silence.Stop()
	for !linkChart.Final(s.state) && s.err == nil {
		event := evMessage
		select {
		case s.current = <-in:
			event = kindOf(s.current)
		case err := <-failed.C():
			s.err, event = err, evFailed
		case <-writerDone:
			s.err, event = link.ErrClosed, evFailed
		case <-s.full:
			s.err, event = ErrOverflow, evFailed
		case <-silence.C:
			event = evSilence
		case <-ctx.Done():
			s.err = ctx.Err()
			return s.err
		}
		linkChart.Step(s, &s.state, event)
		if d, _, ok := linkChart.Timeout(s.state); ok {
			if s.wasUp {
				d = s.silence
			}
			silence.Reset(d)
		}
	}
	return s.err
}

func kindOf(m msg.Control) chart.Event {
	switch m.(type) {
	case *msg.AgentHello, *msg.EntryHello, *msg.PeerHello:
		return evHello
	}
	return evMessage
}
