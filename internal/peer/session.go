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
	parts    *parts
	joiner   joiner
	handler  Handler
	out      Out
	overflow <-chan struct{} // signalled when a message for the peer was dropped
	timing   Timing
	echo     *echo
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
	s.echo.hello(s.current)
	if h, ok := s.current.(*msg.PeerHello); ok {
		s.parts.joins.Set(h.JoinsParts)
	}
	if s.err = s.handler.Up(s.current, s.out); s.err == nil {
		s.wasUp = true
	}
}

// receive applies a heartbeat and delivers a message to the handler.
func (s *session) receive() {
	if h, ok := s.current.(*msg.Heartbeat); ok {
		s.heartbeat(h)
		s.echo.heartbeat(h)
	}
	if m := s.joiner.join(s.current); m != nil {
		s.handler.Receive(m)
	}
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
			if ctx.Err() != nil {
				s.err = ctx.Err() // it has ended in order
				return s.err
			}
			s.deliverRest(in, readFailed)
			s.err, event = link.ErrClosed, evFailed
		case s.ownInterval = <-s.announced:
			event = evInterval
		case u := <-s.parts.unsent:
			s.handler.Unsent(u)
			continue
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
