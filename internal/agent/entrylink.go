package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
)

// Subscriber receives the events of the links to entries and the messages that
// do not concern requests, such as commands for tasks and configuration. Its
// methods are called by the links' goroutines and must not block for long.
type Subscriber interface {
	EntryUp(hello msg.EntryHello, out peer.Out)
	EntryDown(entry model.EntryID, out peer.Out)
	FromEntry(entry model.EntryID, m msg.Control)
}

// Links connects an agent to entries. Its fields must not change after the first
// call of Connect.
type Links struct {
	Dialer      link.Dialer
	Hello       func() *msg.AgentHello // returns the handshake message; called for each new link
	Slots       Address
	Transport   http.RoundTripper // to the backend server
	Subscribers []Subscriber
	Log         log.Interface
}

const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second
)

// Connect keeps a link to the entry at address until ctx ends. After a failure
// it dials again with exponential backoff, which starts anew after a link that
// lasted longer than maxRedialDelay.
func (l *Links) Connect(ctx context.Context, address string) error {
	delay := minRedialDelay
	for ctx.Err() == nil {
		startedAt := time.Now()
		if err := l.connectOnce(ctx, address); err != nil && ctx.Err() == nil {
			event.Log(l.Log, event.LinkLost, log.Fields{"entry": address, "error": err.Error()})
		}
		if time.Since(startedAt) > maxRedialDelay {
			delay = minRedialDelay
		}
		// Jitter keeps the agents of a restarted entry from dialling at the same time.
		if !actor.Sleep(ctx, delay/2+rand.N(delay)) {
			break
		}
		delay = min(2*delay, maxRedialDelay)
	}
	return nil
}

// connectOnce dials the entry and serves the link until it ends.
func (l *Links) connectOnce(ctx context.Context, address string) error {
	conn, err := l.Dialer.Dial(ctx, address)
	if err != nil {
		return err
	}
	h := &entryHandler{links: l, conn: conn, ctx: ctx, address: address}
	return peer.Run(ctx, conn, l.Hello(), h)
}

// entryHandler serves one link; its methods run in the link's goroutine.
type entryHandler struct {
	links   *Links
	conn    link.Conn
	ctx     context.Context // of Connect
	address string
	hello   msg.EntryHello
	out     peer.Out
	group   *actor.Group
}

// Up implements peer.Handler.
func (h *entryHandler) Up(hello msg.Control, out peer.Out) error {
	e, ok := hello.(*msg.EntryHello)
	if !ok {
		return errors.Newf("the peer at %s sent %T in the handshake instead of EntryHello", h.address, hello)
	}
	h.hello, h.out = *e, out
	h.group = actor.NewGroup(h.ctx, nil)
	event.Log(h.links.Log, event.LinkUp, log.Fields{"entry": string(e.Entry), "address": h.address})
	if err := h.links.Slots.Send(h.ctx, EntryUp{Hello: *e, Out: out}); err != nil {
		return err
	}
	for _, s := range h.links.Subscribers {
		s.EntryUp(*e, out)
	}
	actor.Go(h.group, "stream acceptor", h.accept)
	return nil
}

// Receive implements peer.Handler.
func (h *entryHandler) Receive(m msg.Control) {
	switch m.(type) {
	case *msg.Heartbeat:
	case *msg.Demand, *msg.CreditReturn, *msg.OutcomeQuery, *msg.DrainBackend:
		_ = h.links.Slots.Send(h.ctx, FromEntry{Entry: h.hello.Entry, Generation: h.hello.Generation, Msg: m})
	default:
		for _, s := range h.links.Subscribers {
			s.FromEntry(h.hello.Entry, m)
		}
	}
}

// Unsent implements peer.Handler.
func (h *entryHandler) Unsent(u peer.Unsent) {
	event.Log(h.links.Log, event.MessageTooLarge, u.Fields(string(h.hello.Entry)))
}

// Down implements peer.Handler.
func (h *entryHandler) Down(error) {
	h.conn.Close()
	_ = h.links.Slots.Send(h.ctx, EntryDown{Entry: h.hello.Entry, Generation: h.hello.Generation})
	for _, s := range h.links.Subscribers {
		s.EntryDown(h.hello.Entry, h.out)
	}
	// The exchanges end when their streams return errors. Down does not wait
	// for them.
}

// accept serves each stream of the link with an actor of its own.
func (h *entryHandler) accept(ctx context.Context) error {
	for {
		stream, err := h.conn.AcceptStream(ctx)
		if err != nil {
			return err
		}
		x := &exchange{stream: stream, slots: h.links.Slots, entry: h.hello.Entry, transport: h.links.Transport}
		actor.Go(h.group, "exchange", x.run)
	}
}

// NewTransport returns an HTTP client transport to a backend server that uses at
// most the given number of connections.
func NewTransport(connections int) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:       connections,
		MaxIdleConnsPerHost:   connections,
		IdleConnTimeout:       30 * time.Second,
		DisableCompression:    true, // responses are forwarded unchanged
		ResponseHeaderTimeout: 0,    // no limit: the request's deadline bounds it
	}
}
