package configstore

import (
	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/rows"
)

// Messages of the poller and the editor.
type (
	// pollSucceeded reports the version of the table; delta is nil when the
	// version has not changed.
	pollSucceeded struct {
		version model.ConfigVersion
		delta   *msg.ConfigDelta
	}
	// pollFailed reports that the table could not be read.
	pollFailed struct{ err error }
	// setSource passes the address of the poller to an entry's node.
	setSource struct{ poller actor.Address[pollRequest] }
	// committedEdits carries edits that the editor committed.
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

// confirmVersion records that an authority has the same version. Version 0 is
// not confirmed: a linked entry reports it also before it has loaded the
// configuration.
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
		p.deltaBase = max(p.deltaBase, c.Version) // another entry may have sent a newer version
		n.observePeerVersion(c.Version)
	case *msg.ConfigRequest:
		n.answerRequest(p, c)
	}
}

// observePeerVersion handles the version reported by a peer: a higher one is
// requested.
func (n *node) observePeerVersion(v model.ConfigVersion) {
	if v > n.snapshot.version {
		n.lifecycle.fromAuthority = !n.isEntry
		n.step(evUpdateAvailable)
	}
}

// answerRequest sends the changes that the peer does not have. A peer at the
// same version receives an empty delta, which confirms the version. Nothing is
// sent before a configuration is loaded.
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
		p.to.TrySend(n.deltaFrom(c.Have)) // if it is dropped, the entry repeats the request
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
