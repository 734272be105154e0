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

// Subscriber gets the messages of links that do not concern requests, such as
// commands for tasks and configuration. Methods are called by the links'
// goroutines and must not block for long.
type Subscriber interface {
	EntryUp(hello msg.EntryHello, out peer.Out)
	EntryDown(entry model.EntryID, out peer.Out)
	FromEntry(entry model.EntryID, m msg.Control)
}

// Links is what the entry links of an agent share. It is not changed after
// the first Connect.
type Links struct {
	Dialer      link.Dialer
	Hello       func() *msg.AgentHello // called for each new link
	Slots       Address
	Transport   http.RoundTripper // to the backend server
	Subscribers []Subscriber
	Log         log.Interface
}

const (
	minRedial = 100 * time.Millisecond
	maxRedial = 5 * time.Second
)

// Connect keeps a link to the entry at address until ctx ends.
func (l *Links) Connect(ctx context.Context, address string) error {
	delay := minRedial
	for ctx.Err() == nil {
		began := time.Now()
		if err := l.once(ctx, address); err != nil && ctx.Err() == nil {
			event.Log(l.Log, event.LinkLost, log.Fields{"entry": address, "error": err.Error()})
		}
		if time.Since(began) > maxRedial {
			delay = minRedial
		}
		// Jitter keeps the agents of a restarted entry from dialling together.
		if !actor.Sleep(ctx, delay/2+rand.N(delay)) {
			break
		}
		delay = min(2*delay, maxRedial)
	}
	return nil
}

func (l *Links) once(ctx context.Context, address string) error {
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
	ctx     context.Context
	address string
	hello   msg.EntryHello
	out     peer.Out
	group   *actor.Group
}

// Up implements peer.Handler.
func (h *entryHandler) Up(hello msg.Control, out peer.Out) error {
	e, ok := hello.(*msg.EntryHello)
	if !ok {
		return errors.Newf("the peer at %s greets as %T, not as an entry", h.address, hello)
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

// Down implements peer.Handler.
func (h *entryHandler) Down(error) {
	h.conn.Close()
	_ = h.links.Slots.Send(h.ctx, EntryDown{Entry: h.hello.Entry, Generation: h.hello.Generation})
	for _, s := range h.links.Subscribers {
		s.EntryDown(h.hello.Entry, h.out)
	}
	// Exchanges end by their streams' errors; they are not waited for here.
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

// NewTransport returns the HTTP client side towards a backend server with the
// given number of connections.
func NewTransport(connections int) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:       connections,
		MaxIdleConnsPerHost:   connections,
		IdleConnTimeout:       30 * time.Second,
		DisableCompression:    true, // responses pass through unchanged
		ResponseHeaderTimeout: 0,    // the request's deadline bounds it
	}
}
