package jobdaemon

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/table"
)

// peerCommitRequest asks the controller to send a transaction to a peer, which
// commits it.
type peerCommitRequest struct {
	txn   table.Txn
	reply actor.Reply[commitResult]
}

// peerCommits holds the transactions that were sent to peers and not answered.
type peerCommits struct {
	lastID  uint64
	pending map[uint64]*pendingCommit
}

type pendingCommit struct {
	peer      string // name of the entry
	expiresAt time.Duration
	reply     actor.Reply[commitResult]
}

// requestPeerCommit sends the transaction to one peer, in turn. If that peer
// cannot reach the table service either, it answers so, and the caller tries
// again.
func (c *controller) requestPeerCommit(m *peerCommitRequest) {
	peers := c.entryLinks()
	if len(peers) == 0 {
		m.reply.Put(commitResult{outcome: table.Unavailable})
		return
	}
	c.peerCommits.lastID++
	l := peers[c.peerCommits.lastID%uint64(len(peers))]
	c.peerCommits.pending[c.peerCommits.lastID] = &pendingCommit{l.hello.Member.Name, c.now() + peerCommitTimeout, m.reply}
	c.send(l, &msg.StoreCall{ID: c.peerCommits.lastID, Txn: m.txn})
}

// entryLinks returns one link to each linked entry.
func (c *controller) entryLinks() []*peerLink {
	byName := map[string]*peerLink{}
	for _, l := range c.links {
		if !l.hello.Agent {
			byName[l.hello.Member.Name] = l
		}
	}
	list := make([]*peerLink, 0, len(byName))
	for _, m := range c.memberList() {
		if l := byName[m.Name]; l != nil {
			list = append(list, l)
		}
	}
	return list
}

func (p *peerCommits) answered(m *msg.StoreResult) {
	if commit, ok := p.pending[m.ID]; ok {
		delete(p.pending, m.ID)
		commit.reply.Put(commitResult{m.Outcome, m.Revision, m.Rows})
	}
}

// linkDown answers the transactions of a peer whose link ended: their outcome is
// unknown.
func (p *peerCommits) linkDown(peer string) {
	for id, commit := range p.pending {
		if commit.peer == peer {
			delete(p.pending, id)
			commit.reply.Put(commitResult{outcome: table.Unknown})
		}
	}
}

func (p *peerCommits) expire(now time.Duration) {
	for id, commit := range p.pending {
		if now >= commit.expiresAt {
			delete(p.pending, id)
			commit.reply.Put(commitResult{outcome: table.Unknown})
		}
	}
}

// commitForPeer commits a transaction for a peer and sends it the result.
func (c *controller) commitForPeer(l *peerLink, m *msg.StoreCall) {
	actor.Go(c.group, "relayed call", func(ctx context.Context) error {
		r := c.storeProxy.direct(ctx, m.Txn)
		l.out.TrySend(&msg.StoreResult{ID: m.ID, Outcome: r.outcome, Revision: r.revision, Rows: r.rows})
		return nil
	})
}

// commitViaPeer has a peer commit a transaction. It waits for the controller, so
// the controller itself must not call it.
func (c *controller) commitViaPeer(ctx context.Context, t table.Txn) commitResult {
	limited, cancel := context.WithTimeout(ctx, peerCommitTimeout)
	defer cancel()
	r, err := actor.Ask(limited, c.address, func(rep actor.Reply[commitResult]) any { return &peerCommitRequest{t, rep} })
	if err != nil {
		return commitResult{outcome: table.Unknown}
	}
	return r
}
