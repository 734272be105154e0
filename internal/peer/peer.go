// Package peer serves a link to another daemon from the established connection
// to its end: it exchanges the hello messages, sends heartbeats, detects a
// silent peer, and delivers control messages. It does not know what the
// messages mean.
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
	handshakeTimeout  = 4 * time.Second
	// outboundMessages is the number of messages that may wait for the socket.
	// A link whose queue overflows is ended, because dropping single messages
	// would leave the two sides with different views. The queue holds the 200
	// reports of demand that fall due until a peer counts as silent. 1024 used
	// 16 KiB on each side of a link, a fifth of an entry's memory.
	outboundMessages = 256
	// silenceIntervals is the number of announced heartbeat intervals without a
	// received message after which the link ends.
	silenceIntervals = 4
	// maxHeartbeatInterval bounds the interval that a peer may announce, so that
	// a silent peer is noticed at the latest after 40 s.
	maxHeartbeatInterval = 10 * time.Second
	// ShutdownTimeout bounds the orderly end of a link, which takes a round trip
	// and the time of the queued messages.
	ShutdownTimeout = 250 * time.Millisecond
)

// Errors that end a link.
var (
	ErrSilent   = errors.New("peer is silent")
	ErrProtocol = errors.New("peer violated the protocol")
	ErrOverflow = errors.New("peer reads too slowly: outbound queue overflowed")
)

// Out is the actor address that accepts a link's outbound messages. A
// msg.Heartbeat with an interval is sent at once, and sets the interval of the
// heartbeats that follow it. The peer must be one that follows it.
type Out = actor.Address[msg.Control]

// Handler receives the events of a link. One goroutine calls its methods: Up
// once, Receive for each message, and Down once if Up succeeded.
type Handler interface {
	// Up is called with the peer's hello. An error ends the link.
	Up(hello msg.Control, out Out) error
	// Receive is called with each later message, heartbeats included.
	Receive(m msg.Control)
	// Down is called with the error that ended the link.
	Down(err error)
}

// Timing determines how soon a silent peer is detected.
type Timing struct {
	Heartbeat time.Duration // maximum interval between two messages that are sent
	Silence   time.Duration // time without a received message after which the link ends
	Shutdown  time.Duration // maximum time of the orderly end when the context ends
	// Follow makes the link send its heartbeats at the interval that the peer
	// announces.
	Follow bool
}

// DefaultTiming is for entries with many links.
var DefaultTiming = Timing{Heartbeat: heartbeatInterval, Silence: silenceTimeout, Shutdown: ShutdownTimeout}

// Run sends hello and serves the link with DefaultTiming until the link fails
// or ctx ends. It closes conn and returns the reason. When ctx ends, the messages
// that Out has accepted are sent first, and the peer has ShutdownTimeout to
// receive them.
func Run(ctx context.Context, conn link.Conn, hello msg.Control, h Handler) error {
	return RunWithTiming(ctx, conn, hello, h, DefaultTiming)
}

// RunWithTiming is like Run with the given timing.
func RunWithTiming(ctx context.Context, conn link.Conn, hello msg.Control, h Handler, timing Timing) error {
	group := actor.NewGroup(ctx, nil)
	defer group.Stop()
	defer conn.Close()
	overflow := make(chan struct{}, 1)
	w := &writer{conn: conn, interval: timing.Heartbeat, announced: make(chan time.Duration, 1)}
	out := actor.Spawn(group, actor.Spec[msg.Control]{Name: "link writer", Mailbox: outboundMessages, Overflow: overflow,
		Run: func(ctx context.Context, in <-chan msg.Control) error {
			return w.write(ctx, hello, in)
		}})
	in := make(chan msg.Control, 16)
	readFailed := actor.NewReply[error]()
	actor.Go(group, "link reader", func(ctx context.Context) error {
		readFailed.Put(read(ctx, conn, in))
		return nil
	})
	s := &session{conn: conn, handler: h, out: out, overflow: overflow, announced: w.announced, timing: timing}
	err := s.serve(ctx, in, readFailed, out.Done())
	if ctx.Err() != nil {
		shutdown(ctx, conn, out.Done(), timing.Shutdown)
	}
	return err
}

// shutdown ends a connection in an orderly way after its writer has ended.
func shutdown(ctx context.Context, conn link.Conn, written <-chan struct{}, limit time.Duration) {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	select {
	case <-written:
		_ = conn.Shutdown(limited) // conn is closed in any case
	case <-limited.Done():
	}
}

// writer is the state of the actor that sends the messages of a link.
type writer struct {
	conn     link.Conn
	interval time.Duration // maximum interval between two messages that are sent
	// announced receives each interval that is announced to the peer. It holds
	// the newest.
	announced chan time.Duration
	own       time.Duration // last interval that was announced; 0: none
}

// write sends hello, and then messages and heartbeats until ctx ends. It sends
// the messages that are queued then.
func (w *writer) write(ctx context.Context, hello msg.Control, in <-chan msg.Control) error {
	if err := w.conn.Send(hello); err != nil {
		return err
	}
	idle := time.NewTimer(w.interval)
	defer idle.Stop()
	for {
		var m msg.Control
		select {
		case m = <-in:
			w.announce(m)
		case <-idle.C:
			m = &msg.Heartbeat{Interval: w.own}
		case <-ctx.Done():
			return flush(w.conn, in)
		}
		if err := w.conn.Send(m); err != nil {
			return err
		}
		idle.Reset(w.interval)
	}
}

// announce takes the interval of a heartbeat that is about to be sent.
func (w *writer) announce(m msg.Control) {
	h, ok := m.(*msg.Heartbeat)
	if !ok || h.Interval == 0 {
		return
	}
	w.interval, w.own = h.Interval, h.Interval
	select {
	case <-w.announced: // not read yet, and replaced
	default:
	}
	w.announced <- h.Interval // has capacity: this is the only sender
}

// flush sends the queued messages.
func flush(conn link.Conn, in <-chan msg.Control) error {
	for len(in) > 0 {
		if err := conn.Send(<-in); err != nil {
			return err
		}
	}
	return nil
}

// read passes received messages to in until the connection fails. After the end
// of ctx it discards them, so that it finds the end of a peer that ends at the
// same time.
func read(ctx context.Context, conn link.Conn, in chan<- msg.Control) error {
	for {
		m, err := conn.Receive()
		if err != nil {
			return err
		}
		select {
		case in <- m:
		case <-ctx.Done():
		}
	}
}

// Events of charts/link.scxml.
const (
	evHello chart.Event = iota
	evMessage
	evSilence
	evFailed
	evInterval
	evOutdated
)

var linkChart = chart.MustCompile(charts.Files, chart.Binding[session]{
	Chart:  "link",
	States: []string{"handshake", "up", "closed"},
	Events: []string{"hello", "message", "silence", "failed", "interval", "outdated"},
	Actions: map[string]func(*session){
		"announceUp":     (*session).announceUp,
		"deliver":        (*session).receive,
		"reportProtocol": func(s *session) { s.err = errors.Wrapf(ErrProtocol, "unexpected %T", s.current) },
		"reportSilent":   func(s *session) { s.err = ErrSilent },
		"reportFailed":   func(*session) {}, // serve has set err
	},
	Delays: map[string]time.Duration{"handshakeTimeout": handshakeTimeout, "silenceTimeout": silenceTimeout},
})

// session is the state of a link. It belongs to the goroutine of Run.
type session struct {
	conn     link.Conn
	handler  Handler
	out      Out
	overflow <-chan struct{} // signalled when a message for the peer was dropped
	timing   Timing
	// Heartbeat intervals that were announced; 0: none, so timing applies.
	announced    <-chan time.Duration // intervals that the writer announces
	ownInterval  time.Duration        // the last of them
	peerInterval time.Duration        // announced by the peer
	followed     time.Duration        // last one that was passed to the writer because of Timing.Follow

	state   chart.State
	current msg.Control // message that is applied at present
	wasUp   bool        // Up succeeded
	err     error       // that ends the link
}

// announceUp calls the handler with the peer's hello.
func (s *session) announceUp() {
	if s.err = s.handler.Up(s.current, s.out); s.err == nil {
		s.wasUp = true
	}
}

// receive applies a heartbeat and delivers a message to the handler.
func (s *session) receive() {
	if h, ok := s.current.(*msg.Heartbeat); ok {
		s.heartbeat(h)
	}
	s.handler.Receive(s.current)
}

// heartbeat records the interval that the peer announces. A link that follows its
// peer announces the same interval at once, without waiting for the handler.
func (s *session) heartbeat(h *msg.Heartbeat) {
	s.peerInterval = s.timing.bounded(h.Interval)
	if !s.timing.Follow || s.peerInterval == s.followed {
		return
	}
	s.followed = s.peerInterval
	s.out.TrySend(&msg.Heartbeat{Interval: s.peerInterval})
}

// bounded returns the interval of a peer that announces d: 0 if it announces none.
func (t Timing) bounded(d time.Duration) time.Duration {
	if d == 0 {
		return 0
	}
	return min(max(d, t.Heartbeat), maxHeartbeatInterval)
}

// silenceLimit returns how long an established link may be without a received
// message. The peer may announce a longer interval before it receives a shorter
// one of this side, which it then follows, so the shorter one counts.
func (s *session) silenceLimit() time.Duration {
	interval := s.peerInterval
	if s.ownInterval != 0 {
		interval = min(interval, s.ownInterval)
	}
	return max(s.timing.Silence, silenceIntervals*interval)
}

// outdated reports whether a heartbeat was sent by a peer that has not received
// the interval that this side announced.
func (s *session) outdated(h *msg.Heartbeat) bool {
	return !s.timing.Follow && s.ownInterval != 0 && s.timing.bounded(h.Interval) > s.ownInterval
}

// serve handles messages, time-outs and failures until the link ends, and returns
// the reason.
func (s *session) serve(ctx context.Context, in <-chan msg.Control, readFailed actor.Reply[error], writerDone <-chan struct{}) error {
	s.state = linkChart.Initial()
	defer func() {
		if s.wasUp {
			s.handler.Down(s.err)
		}
	}()
	d, _, _ := linkChart.Timeout(s.state)
	timer := time.NewTimer(d) // of the handshake, then of the silence
	defer timer.Stop()
	for !linkChart.Final(s.state) && s.err == nil {
		event := evMessage
		select {
		case s.current = <-in:
			event = s.eventOf(s.current)
		case err := <-readFailed.C():
			s.deliverQueued(in)
			s.err, event = err, evFailed
		case <-writerDone:
			s.deliverRest(in, readFailed)
			s.err, event = link.ErrClosed, evFailed
		case s.ownInterval = <-s.announced:
			event = evInterval
		case <-s.overflow:
			s.err, event = ErrOverflow, evFailed
		case <-timer.C:
			event = evSilence
		case <-ctx.Done():
			s.err = ctx.Err()
			return s.err
		}
		linkChart.Step(s, &s.state, event)
		if d, _, ok := linkChart.Timeout(s.state); ok && event != evOutdated {
			if s.wasUp {
				d = s.silenceLimit()
			}
			timer.Reset(d)
		}
	}
	return s.err
}

// deliverRest closes the connection and delivers what was received before, until
// the reader has ended. The peer may have ended the link in an orderly way, which
// makes writes fail before everything has been read.
func (s *session) deliverRest(in <-chan msg.Control, readFailed actor.Reply[error]) {
	_ = s.conn.Close()
	for s.open() {
		select {
		case m := <-in:
			s.deliver(m)
		case <-readFailed.C():
			s.deliverQueued(in)
			return
		}
	}
}

// deliverQueued delivers the messages in the queue of a reader that has ended.
func (s *session) deliverQueued(in <-chan msg.Control) {
	for len(in) > 0 && s.open() {
		s.deliver(<-in)
	}
}

func (s *session) open() bool { return !linkChart.Final(s.state) && s.err == nil }

func (s *session) deliver(m msg.Control) {
	s.current = m
	linkChart.Step(s, &s.state, s.eventOf(m))
}

// eventOf returns the event of a received message.
func (s *session) eventOf(m msg.Control) chart.Event {
	switch m := m.(type) {
	case *msg.AgentHello, *msg.EntryHello, *msg.PeerHello:
		return evHello
	case *msg.Heartbeat:
		if s.outdated(m) {
			return evOutdated
		}
	}
	return evMessage
}
