package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// formerReportTime is for how long a report of an agent may have been on its way that the
// owner receives: one that arrives later than that after former owners act no more was sent
// by an agent that obeyed this owner then.
const formerReportTime = 2 * time.Second

// lateReport is by how much the last report of a host is older than that of another before
// a release takes it for unlinked. Agents report every 500 ms.
const lateReport = 700 * time.Millisecond

// inheritedLease is what the row that was claimed, or the owner that released the jobs, says
// of a host.
type inheritedLease struct {
	workload.EndingLease
	end      time.Duration // of the leases
	released bool          // the host was linked when the jobs were released; the row does not name it
}

// listedRun is a run of an inheritedLease.
type listedRun struct {
	host workload.HostName
	run  workload.RunID
}

// inherit records what the row says of a host.
func (e *endingLeases) inherit(l workload.EndingLease, now time.Duration) {
	e.stored[l.Host] = l.Remaining
	if l.Remaining == 0 {
		l.Listed, l.Runs = true, nil
	}
	e.inherited[l.Host] = inheritedLease{EndingLease: l, end: now + l.Remaining}
	e.list(l)
}

// list records the runs of a host that are listed.
func (e *endingLeases) list(l workload.EndingLease) {
	for _, id := range l.Runs {
		e.listed[id.Task.Job] = append(e.listed[id.Task.Job], listedRun{l.Host, id})
	}
}

// inheritedLease returns what the row that was claimed says of the host, if it names the
// host and the host has not answered this owner.
func (h *host) inheritedLease() (inheritedLease, bool) {
	if h.adopted {
		return inheritedLease{}, false
	}
	l, ok := h.core.ending.inherited[h.info.Name]
	return l, ok
}

// endingLease returns what the owner's row should say of the host. The runs of a host that
// a former owner has named do not change until it answers.
func (h *host) endingLease() workload.EndingLease {
	l := workload.EndingLease{Host: h.info.Name, Remaining: h.remainingLease()}
	inherited, ok := h.inheritedLease()
	switch {
	case l.Remaining == 0:
	case ok:
		l.Listed, l.Runs = inherited.Listed, inherited.Runs
	case h.allRunsKnown():
		l.Listed = true
		for _, r := range h.sortedRuns() {
			l.Runs = append(l.Runs, r.id)
		}
	}
	return l
}

// Release says that the next batches release the jobs. The owner extends no leases after
// that on hosts that are not ready, so its row names each of them. So are hosts from now on
// whose report is late, compared with the newest: their loss may not have been noticed yet.
func (c *Core) Release() {
	c.ending.releasing = true
	var newest time.Duration
	for _, h := range c.hostsByName {
		if h.answered() {
			newest = max(newest, h.lastGrantAt)
		}
	}
	for _, h := range c.hostsByName {
		if h.answered() && newest-h.lastGrantAt >= lateReport {
			c.addDecision(Decision{Kind: HostChanged, Host: h.info.Name, Detail: "silent", Age: c.now - h.lastGrantAt})
			h.step(evDown)
		}
	}
}

// ReleasedRuns returns the runs of the hosts that have answered, if they are certainly all.
// The caller calls it after the batch that releases the jobs is stored. The owner's row
// lists those of the other hosts.
func (c *Core) ReleasedRuns() []msg.HostRuns {
	var list []msg.HostRuns
	for _, h := range c.hostsByName {
		if h.state != hostReady || !h.allRunsKnown() {
			continue
		}
		runs := msg.HostRuns{Host: h.info.Name}
		for _, r := range h.sortedRuns() {
			runs.Runs = append(runs.Runs, r.id)
		}
		list = append(list, runs)
	}
	return list
}

// InheritRuns applies what ReleasedRuns of the owner right before this one has returned. As
// with the runs that the row lists, exactly their tasks wait for a host that has not
// answered. It may be called before Recover or during the recovery.
func (c *Core) InheritRuns(list []msg.HostRuns) {
	for _, runs := range list {
		h, known := c.hosts[runs.Host]
		if _, named := c.ending.inherited[runs.Host]; named || known && h.adopted {
			continue
		}
		l := workload.EndingLease{Host: runs.Host, Remaining: LeaseExpiry, Listed: true, Runs: runs.Runs}
		c.ending.inherited[l.Host] = inheritedLease{EndingLease: l, end: c.now + LeaseExpiry, released: true}
		c.ending.list(l)
	}
	c.chargeListedRuns()
	c.endRecoveryIfComplete()
}

// allRunsKnown reports whether the runs that are charged to the host are all that may go on
// there: it has answered with all ends, no former owner can have started one since, none belongs to a job
// that is not known, and the ends that were applied are stored.
func (h *host) allRunsKnown() bool {
	c := h.core
	if !h.adopted || h.endsMissing || h.endsAcknowledged < h.endsApplied {
		return false
	}
	if c.formerOwners != FormerOwnersEnded && h.lastGrantAt < c.formerOwnersActUntil+formerReportTime {
		return false
	}
	for _, e := range c.early {
		if e.host == h {
			return false
		}
	}
	return true
}

// chargeListedRuns charges the runs that the row lists to their hosts.
func (c *Core) chargeListedRuns() {
	for _, id := range slices.Sorted(maps.Keys(c.ending.listed)) {
		if j, known := c.jobs[id]; known {
			j.chargeListedRuns()
		}
	}
}

// chargeListedRuns charges the runs of the job that the row lists to their hosts, so that
// their tasks wait for these hosts. It has no effect before the hosts are expected.
func (j *job) chargeListedRuns() {
	c := j.core
	for _, l := range c.ending.listed[j.spec.ID] {
		h, t := c.hosts[l.host], j.task(l.run.Task)
		if h == nil || !h.expected || h.adopted || h.vacated || t == nil || t.done || j.phase().Final() || h.runs[l.run] != nil {
			continue
		}
		h.charge(t, l.run).inherited = true
		c.unready(t)
	}
}

// confirmedRuns returns the number of runs of the task whose hosts have answered.
func (t *task) confirmedRuns() int {
	n := 0
	for _, r := range t.runs {
		if !r.inherited {
			n++
		}
	}
	return n
}
