package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/interfere"
	"github.com/bambooscale/bambooscale/internal/policy/lease"
)

// States of charts/peer.scxml.
const (
	stUnlinked chart.State = iota
	stWaiting
	stPeerClaiming
	stReady
)

// Events of charts/peer.scxml.
const (
	evLinkUp chart.Event = iota
	evOwnershipConfirmed
	evLinkDown
	evRetry
	evInventory
	evOwnershipLost
)

const (
	claimRetryInterval = 2 * time.Second
	// peerRetention is the time after which an unlinked peer is removed. It is
	// longer than a command can remain in transit on a lost link.
	peerRetention = 10 * time.Minute
	// minAckedRenewals is the number of acknowledged renewals after which an
	// agent holds a valid lease: its lease counts from the acknowledgement of
	// the renewal before.
	minAckedRenewals = 2
	// backendStateLeft is the state of charts/backend.scxml after a drain.
	backendStateLeft = "left"
)

// peer is the controller's record of a worker and its agent.
type peer struct {
	worker          model.Worker
	boot            model.Boot
	state           chart.State
	deadline        time.Duration // of the state's timeout; 0 when it has none
	healthReason    string        // of the last change of its health state
	epochConfirmed  bool          // the agent rejects older epochs, or did before it restarted
	claimedBoot     model.Boot    // incarnation of the agent that was claimed while the cell was owned
	grants          lease.Grants
	chargedAttempts int           // attempts charged to the worker
	service         model.Service // of the backend server on the worker; empty: none
	serviceLoads    map[interfere.ServiceClass]serviceLoad
	draining        bool          // according to the labels of the worker
	unlinkedAt      time.Duration // when the link was lost
	ackedRenewals   int           // renewals acknowledged since the last inventory
	// abandoned holds attempts that were given up without a confirmed stop.
	// Each lease renewal is preceded by commands to stop them.
	abandoned map[model.AttemptID]bool

	core *Core // set during a step
}

// PeerBinding binds charts/peer.scxml to its guards, actions and timeouts.
func PeerBinding() chart.Binding[peer] {
	return chart.Binding[peer]{
		Chart:  "peer",
		States: []string{"unlinked", "waiting", "claiming", "ready"},
		Events: []string{"up", "ownershipConfirmed", "down", "retry", "inventory", "ownershipLost"},
		Guards: map[string]func(*peer) bool{"mayClaim": func(p *peer) bool { return p.core.mayClaim(p) }},
		Actions: map[string]func(*peer){
			"sendClaim":    func(p *peer) { p.core.send(p, &msg.CellClaim{Command: p.core.newCommand()}) },
			"confirmClaim": func(p *peer) { p.core.confirmClaim(p) },
		},
		Delays: map[string]time.Duration{"claimRetry": claimRetryInterval},
	}
}

// stepPeer feeds an event to the chart of a peer and reports whether the chart
// has a transition for it.
func (c *Core) stepPeer(p *peer, e chart.Event) bool {
	p.core = c
	if !peerChart.Step(p, &p.state, e) {
		return false
	}
	p.deadline = 0
	if d, _, ok := peerChart.Timeout(p.state); ok {
		p.deadline = c.now + d
	}
	c.updateWorkerState(p)
	return true
}

// mayClaim reports whether the agent may be claimed. While the owner holds,
// another entry may have claimed the cell. An agent that restarts then has no
// epoch by which it could reject this owner, so this owner must not renew its
// leases and claims only agents that it has claimed since their last restart.
func (c *Core) mayClaim(p *peer) bool {
	if !c.loaded {
		return false
	}
	if c.cell.state == stOwning {
		p.claimedBoot = p.boot
	}
	return c.isOwner() && p.claimedBoot == p.boot
}

func (c *Core) newCommand() msg.Command {
	return msg.Command{Cell: c.opts.Cell, Epoch: c.cell.owner.Epoch}
}

// send sends a message to an agent. The message is dropped if there is no link;
// every command is repeated until it is answered.
func (c *Core) send(p *peer, m msg.Control) {
	if p.state != stUnlinked {
		c.emit(Send{p.worker.ID, m})
	}
}

func (c *Core) onPeerUp(e PeerUp) {
	p := c.peer(e.Worker.ID)
	p.worker, p.boot, p.ackedRenewals = e.Worker, e.Boot, 0
	p.grants.Relink(c.now)
	c.trackLink(p, true)
	c.setWorker(p)
	c.updateDraining(p)
	c.stepPeer(p, evLinkUp)
}

func (c *Core) onPeerDown(id model.WorkerID) {
	if p := c.peers[id]; p != nil {
		c.trackLink(p, false)
		c.stepPeer(p, evLinkDown)
		p.unlinkedAt = c.now
	}
}

// peer returns the record of a worker. It creates the record if there is none.
func (c *Core) peer(id model.WorkerID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{worker: model.Worker{ID: id}, abandoned: map[model.AttemptID]bool{}}
		c.peers[id] = p
		c.setWorker(p)
	}
	return p
}

// setWorker updates the worker in the ledger after a change of its description,
// its service or the configuration.
func (c *Core) setWorker(p *peer) {
	w := p.worker
	w.Labels = mergeLabels(w.Labels, c.config.Workers[w.ID])
	c.ledger.SetWorker(w, c.config.Reserved[p.service], c.serviceLabels(p))
	c.updateWorkerState(p)
}

// serviceLabels returns the labels by which selectors match the service on a
// worker.
func (c *Core) serviceLabels(p *peer) []model.Labels {
	if p.service == "" {
		return nil
	}
	return []model.Labels{mergeLabels(c.config.Services[p.service], model.Labels{"service": string(p.service)})}
}

// onBackendState records the service of the backend server on a worker. A
// backend server that is down keeps its reserved capacity, since it may be
// ready again at any time.
func (c *Core) onBackendState(p *peer, m *msg.BackendState) {
	service := m.Service
	if m.State == backendStateLeft {
		service = ""
	}
	if service != p.service {
		p.service = service
		c.setWorker(p)
		c.planNeeded = true
	}
}

// resetClaim drops the state that depends on the claim of the agent.
func (p *peer) resetClaim() {
	p.epochConfirmed, p.claimedBoot, p.ackedRenewals, p.chargedAttempts, p.grants = false, 0, 0, 0, lease.Grants{}
	p.abandoned = map[model.AttemptID]bool{}
}

// confirmClaim records that the agent rejects older epochs from now on.
func (c *Core) confirmClaim(p *peer) {
	if p.epochConfirmed {
		p.grants.Extend(c.now, lease.TTL, lease.TTL)
	} else {
		p.grants.Reset(c.now)
	}
	p.epochConfirmed, p.ackedRenewals = true, 0
	c.renew(p)
}

// renew renews the lease of all attempts on an agent, after it has sent the stop
// commands for abandoned attempts.
func (c *Core) renew(p *peer) {
	if p.state != stReady {
		return
	}
	for _, id := range sortedAttempts(p.abandoned) {
		c.send(p, &msg.StopTask{Command: c.newCommand(), Attempt: id})
	}
	ttl, longRunningTTL := c.leaseTTL(false), c.leaseTTL(true)
	if longRunningTTL > 0 {
		seq, fresh := p.grants.Renew(c.now, ttl, longRunningTTL)
		if !fresh {
			p.ackedRenewals = 0 // an agent that does not answer gets no tasks
			c.updateWorkerState(p)
		}
		c.send(p, &msg.LeaseRenew{Command: c.newCommand(), Sequence: seq, TTL: ttl, LongRunningTTL: longRunningTTL})
	}
}

func (c *Core) onLeaseAck(p *peer, m *msg.LeaseAck) {
	if m.Epoch != c.cell.owner.Epoch || p.state != stReady || !p.grants.Ack(m.Sequence) {
		return
	}
	p.ackedRenewals++
	if p.ackedRenewals < minAckedRenewals {
		c.renew(p)
	}
	c.updateWorkerState(p)
}

func (c *Core) sortedPeers() []*peer {
	list := make([]*peer, 0, len(c.peers))
	for _, p := range c.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	return list
}

func sortedAttempts(set map[model.AttemptID]bool) []model.AttemptID {
	list := make([]model.AttemptID, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	slices.SortFunc(list, func(a, b model.AttemptID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
	return list
}
