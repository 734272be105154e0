package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// hostRetention is how long an unavailable host must have had no runs before it
// is removed from the stored list. A host whose availability flaps therefore
// stays in the list.
const hostRetention = 8 * time.Second

// hostList is the stored list of the hosts that may have runs. A host is stored
// before its first run starts, so a new owner waits for the hosts of the list
// only.
type hostList struct {
	stored    map[workload.HostName]bool
	differing int // hosts for which mayHaveRuns and the stored list differ
}

// mayHaveRuns reports whether the host belongs into the stored list: it may have
// runs, or may get some.
func (h *host) mayHaveRuns() bool {
	return !h.mayLeaveList() || h.stored && h.core.now-h.idleSince < hostRetention
}

// mayLeaveList reports whether the host has no runs and gets none at present. Those of a
// former owner are known once the host has answered.
func (h *host) mayLeaveList() bool {
	if len(h.runs) > 0 || h.state == hostSilent || h.endsMissing || !h.vacated && !h.adopted {
		return false
	}
	return h.info.Instance == "" || h.info.State == workload.HostUnavailable || h.state == hostUnavailable
}

// listedUntil returns when the host leaves the stored list if it stays as it is;
// 0: it stays in the list or need not be in it.
func (h *host) listedUntil() time.Duration {
	if h.mayLeaveList() && h.mayHaveRuns() {
		return h.idleSince + hostRetention
	}
	return 0
}

// checkListed records whether the host is in the stored list as it should be.
func (h *host) checkListed() {
	differs := h.mayHaveRuns() != h.stored
	switch {
	case differs && !h.listDiffers:
		h.core.hostList.differing++
	case !differs && h.listDiffers:
		h.core.hostList.differing--
	}
	h.listDiffers = differs
}

// hostsToStore returns the names that the stored list should have if they differ
// from the present ones, and whether they do.
func (c *Core) hostsToStore() ([]workload.HostName, bool) {
	if c.hostList.differing == 0 {
		return nil, false
	}
	var names []workload.HostName
	for _, h := range c.hostsByName {
		c.visits++
		if h.mayHaveRuns() {
			names = append(names, h.info.Name)
		}
	}
	return names, true
}

// hostsStored records the list that was stored.
func (c *Core) hostsStored(hosts []workload.HostName) {
	c.hostList.stored = make(map[workload.HostName]bool, len(hosts))
	for _, name := range hosts {
		c.hostList.stored[name] = true
	}
	for _, h := range c.hostsByName {
		before := h.stored
		if h.stored = c.hostList.stored[h.info.Name]; h.stored && !before {
			h.improve()
		}
		h.schedule()
	}
	c.planNeeded = true
}

// ExpectHost adds a host of the stored list, on which runs of an earlier owner
// may go on. The caller calls it before Recover.
func (c *Core) ExpectHost(name workload.HostName) {
	_, known := c.hosts[name]
	h := c.host(name)
	h.expected, h.stored, h.vacated = true, true, false
	c.hostList.stored[name] = true
	if !known {
		h.unlinkedAt = c.now
		h.step(evExpect)
	}
	h.updateTimeout()
	h.schedule()
}

// delaysRecovery reports whether runs of a former owner that are not known may go on at
// the host, or have ended there. Those that the row lists are known.
func (h *host) delaysRecovery() bool {
	if l, ok := h.inheritedLease(); ok && l.Listed {
		return false
	}
	return h.expected && !h.vacated && (h.endsMissing || h.state == hostSilent || h.state == hostClaiming)
}

// endRecoveryInTime lets all tasks start when the leases of former owners have ended. A
// host whose leases this owner extends before it has listed all ends delays the recovery
// further: its agent lists them, or the leases end there too.
func (c *Core) endRecoveryInTime() {
	if c.recoveryDeadline == 0 || !c.certainlyPassed(c.recoveryDeadline) {
		return
	}
	for _, h := range c.hostsByName {
		if h.endsMissing && h.delaysRecovery() {
			return
		}
	}
	c.recoveryDeadline = 0
	c.planNeeded = true
}

// endRecoveryIfComplete lets all tasks start once no expected host delays the recovery.
func (c *Core) endRecoveryIfComplete() {
	if c.recoveryDeadline == 0 {
		return
	}
	for _, h := range c.hosts {
		if h.delaysRecovery() {
			return
		}
	}
	c.recoveryDeadline = 0
	c.planNeeded = true
}
