package configstore

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Update is sent to subscribers when a newer version is in use or the state of
// the configuration has changed.
type Update struct {
	Snapshot *Snapshot
	State    string // state name of charts/config.scxml
}

// Status is the distribution of the configuration as known to one daemon.
type Status struct {
	Daemon  string                 `json:"daemon"`
	Version model.ConfigVersion    `json:"version"`
	State   string                 `json:"state"`
	Daemons []model.AppliedVersion `json:"daemons"` // itself and its linked peers
}

// message is a message to a node, which its actor handles by calling handle.
type message interface{ handle(n *node) }

type (
	// linkUp announces a link to a peer that uses this version.
	linkUp struct {
		peer    string
		version model.ConfigVersion
		to      actor.Address[msg.Control]
	}
	// linkDown announces the end of the link with the address to.
	linkDown struct {
		peer string
		to   actor.Address[msg.Control]
	}
	// fromPeer carries a message from a linked peer.
	fromPeer struct {
		peer string
		m    msg.Control
	}
	subscribe struct{ deliver func(Update) bool }
	getUpdate struct{ answer actor.Reply[Update] }
	getStatus struct{ answer actor.Reply[Status] }
)

// retryInterval is how often deliveries to full mailboxes are repeated.
const retryInterval = 250 * time.Millisecond

// node is the actor that owns a daemon's configuration. On an entry its
// source is the table, and it distributes the configuration to agents; on an
// agent its sources are the entries, to which it reports the version in use.
type node struct {
	name    string
	log     log.Interface
	now     func() time.Time
	source  actor.Address[pollRequest] // zero on agents
	isEntry bool

	lifecycle lifecycle
	deadline  time.Time // of the state's timeout; zero: none
	snapshot  *Snapshot
	journal   journal
	incoming  *msg.ConfigDelta // delta that the current step may install
	peers     map[string]*peer
	receivers []*receiver
	deltas    map[model.ConfigVersion]*msg.ConfigDelta // to the current version, by the version that they start from
	fullDelta *msg.ConfigDelta                         // the whole current version; nil: not built
	pollError error                                    // error of the latest poll that failed
}

// peer is a linked daemon.
type peer struct {
	to          actor.Address[msg.Control]
	version     model.ConfigVersion // in use at the peer, according to its last report
	deltaBase   model.ConfigVersion // entry: version from which the next delta to the agent starts
	sentVersion model.ConfigVersion // entry: newest delta sent; agent: newest report sent
	sentAny     bool                // sentVersion is set
}

// receiver is a subscriber in this process.
type receiver struct {
	deliver func(Update) bool
	behind  bool // has not received the newest update
	slow    bool // logged as slow since the last update that it received
}

func newNode(name string, isEntry bool, l log.Interface) *node {
	return &node{name: name, isEntry: isEntry, log: l, now: time.Now, snapshot: &Snapshot{},
		peers: map[string]*peer{}, deltas: map[model.ConfigVersion]*msg.ConfigDelta{}}
}

func (n *node) run(ctx context.Context, in <-chan message) error {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-in:
			m.handle(n)
		case <-tick.C:
			n.expire()
			n.distribute()
			n.publish()
		}
	}
}

// expire processes the state's timeout event when the deadline has passed. It
// is called every retryInterval.
func (n *node) expire() {
	if _, e, ok := configChart.Timeout(n.lifecycle.state); ok && !n.deadline.IsZero() && !n.now().Before(n.deadline) {
		n.step(e)
	}
}

// step passes an event to the lifecycle and carries out the effects.
func (n *node) step(e chart.Event) {
	oldState, wasLoaded := n.lifecycle.state, n.lifecycle.loaded
	n.lifecycle.peerAhead = n.anyPeerAhead()
	requested, installed := false, false
	for _, effect := range n.lifecycle.step(e) {
		switch effect {
		case effInstall:
			n.install()
			installed = true
		case effRequest:
			n.request()
			requested = true
		}
	}
	if n.lifecycle.state != oldState || requested {
		n.resetDeadline()
	}
	if n.lifecycle.state == stStale && oldState == stCurrent {
		event.Log(n.log, event.ConfigStale, log.Fields{"version": uint64(n.snapshot.version), "error": fmt.Sprint(n.pollError)})
	}
	if installed || n.lifecycle.state != oldState || n.lifecycle.loaded != wasLoaded {
		n.notifyAll()
	}
}

// resetDeadline sets the deadline for the timeout of the state, if it has one.
func (n *node) resetDeadline() {
	n.deadline = time.Time{}
	if d, _, ok := configChart.Timeout(n.lifecycle.state); ok {
		n.deadline = n.now().Add(d)
	}
}

// install applies the incoming delta to the snapshot.
func (n *node) install() {
	d := n.incoming
	oldVersion := n.snapshot.version
	n.snapshot = n.snapshot.apply(d)
	n.journal.record(oldVersion, d)
	clear(n.deltas)
	n.fullDelta = nil
	event.Log(n.log, event.ConfigInstalled, log.Fields{"version": uint64(n.snapshot.version), "changes": len(d.Changes)})
}

// request asks the table, and every peer with a higher version, for changes.
func (n *node) request() {
	n.source.TrySend(pollRequest{})
	for _, p := range n.peers {
		if p.version > n.snapshot.version {
			p.to.TrySend(&msg.ConfigRequest{Have: n.snapshot.version})
		}
	}
}

// anyPeerAhead reports whether a linked peer uses a higher version.
func (n *node) anyPeerAhead() bool {
	for _, p := range n.peers {
		if p.version > n.snapshot.version {
			return true
		}
	}
	return false
}

// applyDelta handles a received delta. Only a higher version is installed.
// authority means that the sender knows the newest version: the table or, on an
// agent, an entry.
func (n *node) applyDelta(d *msg.ConfigDelta, authority bool) {
	n.lifecycle.fromAuthority, n.incoming = authority, d
	switch n.snapshot.classify(d) {
	case fitNewer:
		n.step(evNewerDelta)
	case fitGap:
		event.Log(n.log, event.ConfigGap, log.Fields{"held": uint64(n.snapshot.version), "from": uint64(d.From)})
		n.step(evMissingChanges)
	case fitSame:
		if authority {
			n.step(evConfirmed)
		}
	}
}

// notifyAll sends the new version and state to subscribers and peers.
func (n *node) notifyAll() {
	for _, r := range n.receivers {
		r.behind = true
	}
	n.publish()
	n.distribute()
}

// publish delivers the current update to the subscribers that have not received
// it. A delivery that fails is repeated at the next tick.
func (n *node) publish() {
	if !n.lifecycle.loaded {
		return
	}
	u := n.update()
	for _, r := range n.receivers {
		if !r.behind {
			continue
		}
		if r.deliver(u) {
			r.behind, r.slow = false, false
		} else if !r.slow {
			r.slow = true
			event.Log(n.log, event.ConfigReceiverSlow, log.Fields{"version": uint64(n.snapshot.version)})
		}
	}
}

func (n *node) update() Update { return Update{Snapshot: n.snapshot, State: n.lifecycle.stateName()} }

// distribute sends the current version to each peer to which it has not been
// sent. If the mailbox of a peer is full, it tries again at the next tick.
func (n *node) distribute() {
	if !n.lifecycle.loaded {
		return
	}
	for _, p := range n.peers {
		if !p.sentAny || p.sentVersion < n.snapshot.version {
			n.sendVersion(p)
		}
	}
}

// sendVersion sends an agent the changes that it does not have, or reports the
// version in use to an entry. An agent that received the version from another
// entry is sent an empty delta, which confirms that the version is the newest.
func (n *node) sendVersion(p *peer) {
	var m msg.Control = &msg.ConfigApplied{Version: n.snapshot.version}
	if n.isEntry {
		if p.deltaBase > n.snapshot.version {
			return
		}
		m = n.deltaFrom(p.deltaBase)
	}
	if p.to.TrySend(m) {
		p.deltaBase, p.sentVersion, p.sentAny = n.snapshot.version, n.snapshot.version, true
	}
}

// deltaFrom returns the changes after a version, or the whole configuration
// if the journal no longer has them. Peers at the same version share one
// delta.
func (n *node) deltaFrom(version model.ConfigVersion) *msg.ConfigDelta {
	if d, ok := n.deltas[version]; ok {
		return d
	}
	if changes, ok := n.journal.since(version); ok {
		d := &msg.ConfigDelta{From: version, To: n.snapshot.version, Changes: changes}
		n.deltas[version] = d
		return d
	}
	if n.fullDelta == nil {
		n.fullDelta = n.snapshot.full()
	}
	return n.fullDelta
}
