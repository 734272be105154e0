package jobs

import (
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

func (h *host) sendClaim() {
	h.core.send(h, &msg.OwnerClaim{Epoch: h.core.epoch})
}

// Inventory applies an agent's answer to a claim. An inventory for another epoch
// is ignored. While leases are barred the host is claimed again from time to time,
// since accepting its inventory would extend its leases. While the owner's row may name
// the host, its leases are not extended either.
func (c *Core) Inventory(m *msg.HostInventory) {
	if m.Epoch != c.epoch {
		return
	}
	h := c.host(m.Host.Name)
	if m.Number < h.inventoryNumber {
		return // it lists no runs that have started since
	}
	h.inventoryNumber = m.Number
	if h.seekLease() {
		return
	}
	if c.leasesBarred {
		if h.answered() {
			h.step(evUp)
		}
		return
	}
	h.update(m.Host)
	h.inventory = m
	h.step(evInventory)
	h.inventory = nil
	c.endRecoveryIfComplete()
}

// adopt reconciles the runs that are charged to the host with the agent's
// inventory. While the agent has not listed all ends, a run that it does not list may
// have ended, and stays charged.
func (h *host) adopt() {
	m := h.inventory
	h.adopted, h.vacated, h.endsMissing = true, false, m.MoreEnds
	h.dropEarlyRuns()
	h.core.addDecision(Decision{Kind: HostChanged, Host: h.info.Name, Detail: "taken"})
	listed := map[workload.RunID]bool{}
	var sizes []msg.RunSize
	for _, s := range m.Runs {
		listed[s.Run] = true
		if r := h.adoptRun(s); r != nil {
			sizes = append(sizes, r.size())
		}
	}
	for _, e := range m.Ended {
		listed[e.Run] = true
	}
	if !m.MoreEnds {
		h.loseUnlisted(listed)
	}
	if len(m.Runs) == 0 {
		h.idleSince = h.core.now
	}
	h.applyEnds(m.Ended)
	h.core.send(h, &msg.InventoryAccepted{Epoch: h.core.epoch, Number: m.Number, ClockMS: m.ClockMS, Sizes: sizes})
	if len(m.Ended) > 0 && m.Ended[0].Number <= h.endsAcknowledged {
		h.acknowledgeEnds() // the former acknowledgement was lost
	}
	h.granted()
	if h.info.State != workload.HostUnavailable {
		h.inventoryStartedAtMS = h.info.StartedAtMS
	}
	h.improve()
	for _, r := range h.sortedRuns() {
		if r.state == runStopping {
			r.requestStop()
		}
	}
}

// loseUnlisted ends the runs that are not listed by the agent.
func (h *host) loseUnlisted(listed map[workload.RunID]bool) {
	for _, r := range h.sortedRuns() {
		if !listed[r.id] {
			r.lose(h.unlistedCause())
		}
	}
	h.endCause = ""
}

// adoptRun charges a run of an inventory to the host. If the run belongs to no
// known task, it stops the run and returns nil.
func (h *host) adoptRun(s msg.RunStatus) *run {
	r, charged := h.runs[s.Run]
	if charged && !r.inherited {
		if !s.Unconfirmed {
			r.step(evStarted)
		}
		return r
	}
	t := h.core.task(s.Run.Task)
	if t == nil {
		h.core.keepEarly(s.Run, earlyRun{host: h, status: s})
		h.queueStop(s.Run)
		return nil
	}
	if !charged {
		r = h.charge(t, s.Run)
	}
	r.status, r.statusAt, r.inherited = s, h.core.now, false
	// A number of this epoch must not be used for another run.
	if s.Run.Number&numberMask > t.starts && s.Run.Number>>epochShift == h.core.epoch-1 {
		t.starts = s.Run.Number & numberMask
	}
	h.core.unready(t)
	if t.isSuspect() {
		r.observe()
	}
	if !s.Unconfirmed {
		r.step(evStarted)
	}
	if t.done || t.step.job.phase().Final() || (t.confirmedRuns() > 1 && !t.step.spec.AllowConcurrentRuns) {
		r.stop("not-wanted")
	}
	return r
}
