package entry

import (
	"context"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
)

// Subscriber receives the events and messages of agents' links that do not
// concern requests only, such as reports of tasks and configuration. Its
// methods are called by the links' goroutines and must not block for long.
type Subscriber interface {
	AgentUp(hello msg.AgentHello, out peer.Out)
	AgentDown(hello msg.AgentHello, out peer.Out)
	FromAgent(hello msg.AgentHello, m msg.Control)
}

// Links accepts the links of agents. Its fields must not change after Accept
// is called.
type Links struct {
	Self        Self
	Version     func() model.ConfigVersion // in use; sent in the handshake
	Dispatcher  Address
	Subscribers []Subscriber
	Log         log.Interface
}

// Accept serves the links that the listener accepts until ctx ends. It returns
// an error when the listener fails.
func (l *Links) Accept(ctx context.Context, listener link.Listener) error {
	g := actor.NewGroup(ctx, nil)
	defer g.Stop()
	generation := uint64(0)
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		generation++
		h := &agentHandler{links: l, conn: conn, ctx: ctx, generation: generation}
		actor.Go(g, "agent link", h.serve)
	}
}

// agentHandler serves one link; its methods run in the link's goroutine.
type agentHandler struct {
	links      *Links
	conn       link.Conn
	ctx        context.Context // of Accept
	generation uint64          // number of the link; increases
	hello      msg.AgentHello  // zero until the handshake is complete
	out        peer.Out
	endLink    func()
}

// serve runs the link until it ends, and logs the error that ended it.
func (h *agentHandler) serve(ctx context.Context) error {
	linkCtx, endLink := context.WithCancel(ctx)
	defer endLink()
	h.endLink = endLink
	hello := &msg.EntryHello{
		Entry: h.links.Self.Entry, Boot: h.links.Self.Boot, DataCentre: h.links.Self.DataCentre,
		Version: h.links.Version(), Generation: h.generation,
	}
	err := peer.Run(linkCtx, h.conn, hello, h)
	if err != nil && ctx.Err() == nil {
		event.Log(h.links.Log, linkEvent(err), log.Fields{"peer": h.conn.RemoteAddr(),
			"worker": string(h.hello.Worker.ID), "error": err.Error()})
	}
	return err
}

// linkEvent returns the log event for the error that ended a link.
func linkEvent(err error) event.Event {
	switch {
	case errors.Is(err, link.ErrMalformed):
		return event.LinkMalformed
	case errors.Is(err, link.ErrVersion):
		return event.LinkVersion
	case errors.Is(err, peer.ErrSilent):
		return event.LinkSilent
	}
	return event.LinkLost
}

// Up implements peer.Handler.
func (h *agentHandler) Up(hello msg.Control, out peer.Out) error {
	a, ok := hello.(*msg.AgentHello)
	if !ok {
		return errors.Newf("the peer sent %T in the handshake instead of AgentHello", hello)
	}
	h.hello, h.out = *a, out
	event.Log(h.links.Log, event.LinkUp, log.Fields{"worker": string(a.Worker.ID), "peer": h.conn.RemoteAddr()})
	up := AgentUp{Hello: *a, Generation: h.generation, Conn: h.conn, Out: out, End: h.endLink}
	if err := h.links.Dispatcher.Send(h.ctx, up); err != nil {
		return err
	}
	for _, s := range h.links.Subscribers {
		s.AgentUp(*a, out)
	}
	return nil
}

// Receive implements peer.Handler.
func (h *agentHandler) Receive(m msg.Control) {
	switch m.(type) {
	case *msg.Heartbeat:
		return
	case *msg.BackendState: // used by the dispatcher and by the subscribers
		h.dispatch(m)
	case *msg.CreditGrant, *msg.CreditRecall, *msg.OutcomeReply:
		h.dispatch(m)
		return
	}
	for _, s := range h.links.Subscribers {
		s.FromAgent(h.hello, m)
	}
}

func (h *agentHandler) dispatch(m msg.Control) {
	_ = h.links.Dispatcher.Send(h.ctx, FromAgent{Worker: h.hello.Worker.ID, Generation: h.generation, Msg: m})
}

// Unsent implements peer.Handler.
func (h *agentHandler) Unsent(u peer.Unsent) {
	event.Log(h.links.Log, event.MessageTooLarge, u.Fields(string(h.hello.Worker.ID)))
}

// Down implements peer.Handler.
func (h *agentHandler) Down(error) {
	_ = h.links.Dispatcher.Send(h.ctx, AgentDown{Worker: h.hello.Worker.ID, Generation: h.generation})
	for _, s := range h.links.Subscribers {
		s.AgentDown(h.hello, h.out)
	}
}
