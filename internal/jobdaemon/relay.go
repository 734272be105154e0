package jobdaemon

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/table"
)

// relayRequest asks the controller to have a peer commit a transaction.
type relayRequest struct {
	txn   table.Txn
	reply actor.Reply[result]
}

// relays holds the transactions that peers commit for this entry.
type relays struct {
	next    uint64
	pending map[uint64]*relayed
}

type relayed struct {
	peer  string
	until time.Duration
	reply actor.Reply[result]
}

// relayRequest sends the transaction to one peer. Which one does not matter:
// a peer that is cut off as well answers so, and the caller tries again.
func (c *controller) relayRequest(m *relayRequest) {
	peers := c.entryLinks()
	if len(peers) == 0 {
		m.reply.Put(result{outcome: table.Unavailable})
		return
	}
	c.relays.next++
	l := peers[c.relays.next%uint64(len(peers))]
	c.relays.pending[c.relays.next] = &relayed{l.hello.Member.Name, c.now() + relayTimeout, m.reply}
	c.send(l, &msg.StoreCall{ID: c.relays.next, Txn: m.txn})
}

func (c *controller) entryLinks() []*entryLink {
	byName := map[string]*entryLink{}
	for _, l := range c.links {
		if !l.hello.Agent {
			byName[l.hello.Member.Name] = l
		}
	}
	list := make([]*entryLink, 0, len(byName))
	for _, m := range c.memberList() {
		if l := byName[m.Name]; l != nil {
			list = append(list, l)
		}
	}
	return list
}

func (r *relays) answered(m *msg.StoreResult) {
	if p, ok := r.pending[m.ID]; ok {
		delete(r.pending, m.ID)
		p.reply.Put(result{m.Outcome, m.Revision, m.Rows})
	}
}

// lost ends the transactions of a peer whose link ended.
func (r *relays) lost(peer string) {
	for id, p := range r.pending {
		if p.peer == peer {
			delete(r.pending, id)
			p.reply.Put(result{outcome: table.Unknown})
		}
	}
}

func (r *relays) expire(now time.Duration) {
	for id, p := range r.pending {
		if now >= p.until {
			delete(r.pending, id)
			p.reply.Put(result{outcome: table.Unknown})
		}
	}
}

// storeCall commits a transaction for a peer.
func (c *controller) storeCall(l *entryLink, m *msg.StoreCall) {
	actor.Go(c.group, "relayed call", func(ctx context.Context) error {
		r := c.gateway.direct(ctx, m.Txn)
		l.out.TrySend(&msg.StoreResult{ID: m.ID, Outcome: r.outcome, Revision: r.revision, Rows: r.rows})
		return nil
	})
}

// viaPeer is the gateway's way to a peer.
func (c *controller) viaPeer(ctx context.Context, t table.Txn) result {
	limited, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	r, err := actor.Ask(limited, c.address, func(rep actor.Reply[result]) any { return &relayRequest{t, rep} })
	if err != nil {
		return result{outcome: table.Unknown}
	}
	return r
}
