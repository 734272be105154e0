// Package peer serves a link to another daemon from the established connection
// to its end: it exchanges the hello messages, sends heartbeats, detects a
// silent peer, and delivers control messages. It does not know what the
// messages mean.
package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
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
// once, Receive for each message, Unsent, and Down once if Up succeeded.
type Handler interface {
	// Up is called with the peer's hello. An error ends the link.
	Up(hello msg.Control, out Out) error
	// Receive is called with each later message, heartbeats included.
	Receive(m msg.Control)
	// Unsent is called for a message that could not be sent because of its size. The
	// link goes on.
	Unsent(u Unsent)
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
	// Epochs makes the heartbeats carry epochs, and echo those of peers that do so too.
	// nil: they do not.
	Epochs *Epochs
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
	e := &echo{epochs: timing.Epochs}
	p := &parts{conn: conn, unsent: make(chan Unsent), ended: group.Context().Done()}
	w := &writer{parts: p, interval: timing.Heartbeat, announced: make(chan time.Duration, 1), echo: e}
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
	s := &session{conn: conn, parts: p, handler: h, out: out, overflow: overflow, announced: w.announced, timing: timing, echo: e}
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
