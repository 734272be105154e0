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
	pollSucceeded struct {
		version model.ConfigVersion
		delta   *msg.ConfigDelta
	}
	pollFailed struct{ err error }
	// sourceIs names the poller of an entry's node.
	setSource struct{ poller actor.Address[pollRequest] }
	// logged carries edits that are known to be committed.
	committedEdits struct{ entries []rows.ConfigLog }
)

func (m *linkUp) handle(n *node) {
	n.peers[m.peer] = &peer{to: m.to, version: m.version, deltaBase: m.version}
	n.observePeerVersion(m.version)
	if m.version == n.snapshot.version && !n.isEntry {
		n.confirmVersion()
	}
	n.distribute()
}

// confirm notes that an authority has the version that is held. An entry at
// version 0 may only not have loaded the configuration yet, so it confirms
// nothing.
func (n *node) confirmVersion() {
	if n.snapshot.version > 0 {
		n.lifecycle.fromAuthority = true
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
		n.step(evSourceLost)
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
		n.applyDelta(c, !n.isEntry)
	case *msg.ConfigApplied:
		p.version = c.Version
		p.deltaBase = max(p.deltaBase, c.Version) // another entry may have been faster
		n.observePeerVersion(c.Version)
	case *msg.ConfigRequest:
		n.answerRequest(p, c)
	}
}

// ahead notes that a peer has a version.
func (n *node) observePeerVersion(v model.ConfigVersion) {
	if v > n.snapshot.version {
		n.lifecycle.fromAuthority = !n.isEntry
		n.step(evUpdateAvailable)
	}
}

// answer sends what the peer lacks; the same version is sent as an empty
// delta, which confirms it. Nothing is sent before a configuration is held.
func (n *node) answerRequest(p *peer, c *msg.ConfigRequest) {
	if !n.lifecycle.loaded {
		return
	}
	if c.Have > n.snapshot.version {
		p.version = max(p.version, c.Have)
		n.observePeerVersion(c.Have)
		return
	}
	if !n.isEntry {
		p.to.TrySend(n.deltaFrom(c.Have)) // an entry that misses it asks again
		return
	}
	p.deltaBase = c.Have
	n.sendVersion(p)
}

func (m *pollSucceeded) handle(n *node) {
	n.lifecycle.fromAuthority = true
	if m.delta != nil {
		n.applyDelta(m.delta, true)
	}
	switch {
	case m.version > n.snapshot.version:
		n.source.TrySend(pollRequest{reload: true})
	case n.lifecycle.state != stCurrent || !n.lifecycle.loaded:
		n.step(evConfirmed)
	}
}

func (m *pollFailed) handle(n *node) {
	n.pollError = m.err
	n.step(evSourceLost)
}

func (m *setSource) handle(n *node) { n.source = m.poller }

func (m *committedEdits) handle(n *node) { n.applyDelta(deltaOf(m.entries), true) }

func (m *subscribe) handle(n *node) {
	n.receivers = append(n.receivers, &receiver{deliver: m.deliver, behind: true})
	n.publish()
}

func (m *getUpdate) handle(n *node) { m.answer.Put(n.update()) }

func (m *getStatus) handle(n *node) {
	s := Status{Daemon: n.name, Version: n.snapshot.version, State: n.lifecycle.stateName(),
		Daemons: []model.AppliedVersion{{Daemon: n.name, Version: n.snapshot.version}}}
	for name, p := range n.peers {
		s.Daemons = append(s.Daemons, model.AppliedVersion{Daemon: name, Version: p.version})
	}
	m.answer.Put(s)
}
