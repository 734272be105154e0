package configstore

import (
	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/rows"
)

// Messages of the poller and the editor.
type (
	// polled: the table is at this version; delta is nil when nothing is new.
	polled struct {
		version model.ConfigVersion
		delta   *msg.ConfigDelta
	}
	pollFailed struct{ err error }
	// sourceIs names the poller of an entry's node.
	sourceIs struct{ poller actor.Address[pollNow] }
	// logged carries edits that are known to be committed.
	logged struct{ entries []rows.ConfigLog }
)

func (m *linkUp) handle(n *node) {
	n.peers[m.peer] = &peer{to: m.to, version: m.version, held: m.version}
	n.ahead(m.version)
	if m.version == n.snapshot.version && !n.isEntry {
		n.confirm()
	}
	n.distribute()
}

// confirm notes that an authority has the version that is held. An entry at
// version 0 may only not have loaded the configuration yet, so it confirms
// nothing.
func (n *node) confirm() {
	if n.snapshot.version > 0 {
		n.life.authority = true
		n.step(evConfirmed)
	}
}

func (m *linkDown) handle(n *node) {
	p, ok := n.peers[m.peer]
	if !ok || p.to != m.to {
		return // a newer link of the same peer is up
	}
	delete(n.peers, m.peer)
	if !n.isEntry && len(n.peers) == 0 {
		n.step(evLost)
	}
}

func (m *fromPeer) handle(n *node) {
	p, ok := n.peers[m.peer]
	if !ok {
		return
	}
	switch c := m.m.(type) {
	case *msg.ConfigDelta:
		p.version = max(p.version, c.To)
		n.offer(c, !n.isEntry)
	case *msg.ConfigApplied:
		p.version = c.Version
		p.held = max(p.held, c.Version) // another entry may have been faster
		n.ahead(c.Version)
	case *msg.ConfigRequest:
		n.answer(p, c)
	}
}

// ahead notes that a peer has a version.
func (n *node) ahead(v model.ConfigVersion) {
	if v > n.snapshot.version {
		n.life.authority = !n.isEntry
		n.step(evAsk)
	}
}

// answer sends what the peer lacks; the same version is sent as an empty
// delta, which confirms it. Nothing is sent before a configuration is held.
func (n *node) answer(p *peer, c *msg.ConfigRequest) {
	if !n.life.held {
		return
	}
	if c.Have > n.snapshot.version {
		p.version = max(p.version, c.Have)
		n.ahead(c.Have)
		return
	}
	if !n.isEntry {
		p.to.TrySend(n.deltaFrom(c.Have)) // an entry that misses it asks again
		return
	}
	p.held = c.Have
	n.tell(p)
}

func (m *polled) handle(n *node) {
	n.life.authority = true
	if m.delta != nil {
		n.offer(m.delta, true)
	}
	switch {
	case m.version > n.snapshot.version:
		n.source.TrySend(pollNow{all: true})
	case n.life.state != stCurrent || !n.life.held:
		n.step(evConfirmed)
	}
}

func (m *pollFailed) handle(n *node) {
	n.pollError = m.err
	n.step(evLost)
}

func (m *sourceIs) handle(n *node) { n.source = m.poller }

func (m *logged) handle(n *node) { n.offer(deltaOf(m.entries), true) }

func (m *subscribe) handle(n *node) {
	n.receivers = append(n.receivers, &receiver{deliver: m.deliver, behind: true})
	n.publish()
}

func (m *askUpdate) handle(n *node) { m.answer.Put(n.update()) }

func (m *askStatus) handle(n *node) {
	s := Status{Daemon: n.name, Version: n.snapshot.version, State: n.life.name(),
		Daemons: []model.AppliedVersion{{Daemon: n.name, Version: n.snapshot.version}}}
	for name, p := range n.peers {
		s.Daemons = append(s.Daemons, model.AppliedVersion{Daemon: name, Version: p.version})
	}
	m.answer.Put(s)
}
