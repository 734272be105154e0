package jobs

import "time"

// Status is the state of the owner of the jobs, for its metrics. Durations are zero
// if there is nothing that waits.
type Status struct {
	Hosts           HostStates
	OldestClaim     time.Duration // age of the oldest claim without an inventory
	OldestGrant     time.Duration // longest time since the last grant to a host that has runs
	FormerOwners    time.Duration // for which former owners may still act
	Recovery        time.Duration // until the recovery ends at the latest; 0: none
	RecoveryWaiting int           // jobs with ready tasks that wait for the end of the recovery
	Runs            RunStates
}

// HostStates is the number of hosts by state.
type HostStates struct{ Ready, Listing, Claiming, Silent, Away int }

// RunStates is the number of runs by state.
type RunStates struct{ Ordered, Running, Stopping int }

// Status returns the state of the owner.
func (c *Core) Status() Status {
	s := Status{
		FormerOwners: max(0, c.formerOwnersActUntil-c.now), RecoveryWaiting: c.recoveryWaiting(), Runs: c.runStates,
	}
	if c.recoveryDeadline != 0 {
		s.Recovery = max(0, c.recoveryDeadline-c.now)
	}
	for _, h := range c.hostsByName {
		s.Hosts.add(h)
		if h.state == hostClaiming {
			s.OldestClaim = max(s.OldestClaim, c.now-h.stateSince)
		}
		if len(h.runs) > 0 {
			s.OldestGrant = max(s.OldestGrant, c.now-h.lastGrantAt)
		}
	}
	return s
}

func (s *HostStates) add(h *host) {
	switch h.state {
	case hostReady:
		s.Ready++
	case hostListing:
		s.Listing++
	case hostClaiming:
		s.Claiming++
	case hostSilent:
		s.Silent++
	case hostUnavailable:
		s.Away++
	}
}

// recoveryWaiting returns the number of jobs with ready tasks that wait for the end of
// the recovery.
func (c *Core) recoveryWaiting() int {
	if c.recoveryDeadline == 0 {
		return 0
	}
	waiting := map[*job]struct{}{}
	for _, g := range c.waiting.order {
		if !g.mayHaveStarted() {
			continue
		}
		for _, s := range g.steps {
			waiting[s.job] = struct{}{}
		}
	}
	return len(waiting)
}

// count counts a run that is charged to its host by its state.
func (r *run) count() {
	r.uncount()
	states := &r.core().runStates
	switch r.state {
	case runOrdered:
		r.countedAs = &states.Ordered
	case runRunning:
		r.countedAs = &states.Running
	case runStopping:
		r.countedAs = &states.Stopping
	default:
		return
	}
	*r.countedAs++
}

// uncount reverts count.
func (r *run) uncount() {
	if r.countedAs != nil {
		*r.countedAs--
		r.countedAs = nil
	}
}
