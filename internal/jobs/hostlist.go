package jobs

import (
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// forgetAfter is how long nothing must have run on a host before it leaves
// the stored list. A host that flaps stays in it.
const hostRetention = 8 * time.Second

// hostList is the stored list of the hosts on which something may run. A host
// is in it before the first start there, so a new owner waits for the hosts
// of the list and for no other.
type hostList struct {
	stored map[workload.HostName]bool
}

// mayRun reports whether something may run on the host, or soon will.
func (h *host) mayHaveRuns() bool {
	if len(h.runs) > 0 || h.state == hostSilent {
		return true
	}
	if h.info.Instance == "" || h.info.State == workload.HostUnavailable || h.state == hostUnavailable {
		return h.core.now-h.idleSince < hostRetention && h.core.hostList.stored[h.info.Name]
	}
	return true
}

// hostsToStore returns the list as it should be, and whether it differs from
// the stored one.
func (c *Core) hostsToStore() ([]workload.HostName, bool) {
	var names []workload.HostName
	for name, h := range c.hosts {
		if h.mayHaveRuns() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if len(names) != len(c.hostList.stored) {
		return names, true
	}
	for _, name := range names {
		if !c.hostList.stored[name] {
			return names, true
		}
	}
	return names, false
}

func (l *hostList) setStored(hosts []workload.HostName) {
	l.stored = make(map[workload.HostName]bool, len(hosts))
	for _, name := range hosts {
		l.stored[name] = true
	}
}

// ExpectHost names a host of the stored list, on which runs of a former owner may
// go on.
func (c *Core) ExpectHost(name workload.HostName) {
	_, known := c.hosts[name]
	h := c.host(name)
	h.expected = true
	c.hostList.stored[name] = true
	if !known {
		h.step(evExpect)
	}
}

// settleRecovery lets the tasks start whose runs under a former owner are
// unknown, once every expected host has answered or can run nothing.
func (c *Core) endRecoveryIfComplete() {
	if c.recoveryDeadline == 0 {
		return
	}
	for _, h := range c.hosts {
		if h.expected && (h.state == hostSilent || h.state == hostClaiming) {
			return
		}
	}
	c.recoveryDeadline = 0
	c.planNeeded = true
}
