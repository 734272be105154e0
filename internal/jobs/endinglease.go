package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// endingLeasesAfter is how long a host has not been granted a lease when the owner's
	// row names it. A link that was reset is up again sooner.
	endingLeasesAfter = time.Second
	// answerTime is how long a linked host may take to answer a claim before the row
	// names it.
	answerTime = 2 * claimRetry
	// endingLeasesStep is the change of a remaining time for which the row is rewritten.
	endingLeasesStep = time.Second
	// storeProvenTime is how long after a write the owner names hosts that its row does not
	// name. If the table service does not answer, the owner does not know whether its row
	// names them, and cannot take them back.
	storeProvenTime = 2 * time.Second
	// maxEndingLeasesBytes bounds the names and runs in the row, which is part of each
	// transaction. It has room for some 400 runs: those of a few hosts that are lost together.
	maxEndingLeasesBytes = 16 << 10
)

// endingLeases is what the owner's row says about hosts on which no owner extends leases
// until a later row omits them. A successor counts the time that remains there, and not
// the time since its own beginning. So the owner may extend leases on a host only while
// neither its row, nor a write whose outcome is not known, names the host.
type endingLeases struct {
	inherited  map[workload.HostName]inheritedLease // of the row that was claimed, and of InheritRuns
	listed     map[workload.JobID][]listedRun       // the runs in inherited
	stored     map[workload.HostName]time.Duration  // remaining times in the row
	sent       map[workload.HostName]struct{}       // names in writes whose outcome is not known
	unanswered map[*host]struct{}                   // hosts that are not linked or have not answered the claim
	due        bool                                 // the row should be rewritten
	urgent     bool                                 // a host waits for it
	row        string                               // the list in the row
	storedAt   time.Duration                        // when the row was stored
	unproven   bool                                 // the last batch omitted hosts because of storeProvenTime
	maxBytes   int                                  // maxEndingLeasesBytes, less in tests
	releasing  bool                                 // of Release
	tooLong    bool                                 // the last batch omitted hosts because of maxEndingLeasesBytes
}

func newEndingLeases() endingLeases {
	return endingLeases{
		maxBytes: maxEndingLeasesBytes, inherited: map[workload.HostName]inheritedLease{}, listed: map[workload.JobID][]listedRun{}, stored: map[workload.HostName]time.Duration{},
		sent: map[workload.HostName]struct{}{}, unanswered: map[*host]struct{}{},
	}
}

// named reports whether the owner's row may name the host.
func (e *endingLeases) named(name workload.HostName) bool {
	_, stored := e.stored[name]
	_, sent := e.sent[name]
	return stored || sent
}

// InheritEndingLeases sets the list in the row by which the owner has claimed the jobs.
// The caller calls it after the answer to the claim and before all other methods. Former
// owners cannot extend leases on these hosts: they would have to rewrite the row before.
func (c *Core) InheritEndingLeases(row string) {
	for _, l := range workload.ParseEndingLeases(row) {
		c.ending.inherit(l, c.now)
	}
	c.ending.row, c.ending.due = row, row != ""
}

// inheritedEnd returns when the leases of a host that has not answered this owner end by
// the row that was claimed, if that row names it.
func (h *host) inheritedEnd() (time.Duration, bool) {
	l, ok := h.inheritedLease()
	return l.end, ok
}

// leasesEnding reports whether the owner's row should name the host: it is in the stored
// list, has not been granted a lease for some time, and does not wait for one.
func (h *host) leasesEnding() bool {
	c := h.core
	if !h.stored || h.answered() {
		return false
	}
	if c.ending.releasing {
		return true
	}
	if h.state == hostClaiming && c.now-h.soughtAt < answerTime {
		return false
	}
	l, inherited := h.inheritedLease()
	return inherited && !l.released || h.vacated || c.now-h.lastGrantAt >= endingLeasesAfter
}

// remainingLease returns for how long leases of the host may last.
func (h *host) remainingLease() time.Duration {
	if h.vacated {
		return 0
	}
	return max(0, h.leaseEnd()-h.core.now)
}

// endingLeasesRow returns the list that the owner's row should have. The leases that end
// first come first: a host that does not fit waits for the whole time at a successor,
// which adds least to those that end last.
func (c *Core) endingLeasesRow() string {
	var list []workload.EndingLease
	c.ending.unproven = false
	proven := c.ending.releasing || c.now-c.notReplacedUntil < storeProvenTime
	for h := range c.ending.unanswered {
		c.visits++
		if !h.leasesEnding() {
			continue
		}
		if _, stored := c.ending.stored[h.info.Name]; !stored && !proven {
			c.ending.unproven = true
			continue
		}
		list = append(list, h.endingLease())
	}
	slices.SortFunc(list, func(a, b workload.EndingLease) int {
		return cmp.Or(cmp.Compare(a.Remaining, b.Remaining), cmp.Compare(a.Host, b.Host))
	})
	row := workload.FormatEndingLeases(list, c.ending.maxBytes)
	c.ending.tooLong = len(workload.ParseEndingLeases(row)) < len(list)
	return row
}

// rowCheckAt returns when the owner's row should change because of the host; 0: never.
// While the row is about to be rewritten it is 0: then it is determined again.
func (h *host) rowCheckAt() time.Duration {
	c := h.core
	if h.answered() || c.ending.due || c.pendingBatch != nil {
		return 0
	}
	stored, named := c.ending.stored[h.info.Name]
	switch {
	case !h.stored && !named:
		return 0
	case !h.leasesEnding() && named:
		return c.now
	case !h.leasesEnding() && h.state == hostClaiming:
		return max(h.lastGrantAt+endingLeasesAfter, h.soughtAt+answerTime)
	case !h.leasesEnding():
		return h.lastGrantAt + endingLeasesAfter
	case !named && c.ending.tooLong:
		return c.ending.storedAt + endingLeasesStep
	case !named:
		return c.now
	case stored == 0:
		return 0
	}
	return c.now + max(0, h.remainingLease()-max(0, stored-endingLeasesStep))
}

// checkRow lets the row be rewritten if it should change because of the host.
func (h *host) checkRow() {
	if at := h.rowCheckAt(); at != 0 && at <= h.core.now {
		h.core.ending.due = true
	}
}

// seekLease records that the agent of the host is ready for a lease. It reports whether
// the owner's row has to omit the host before; the host is claimed again after that.
func (h *host) seekLease() bool {
	h.soughtAt = h.core.now
	if !h.core.ending.named(h.info.Name) {
		return false
	}
	h.core.ending.urgent = true
	return true
}

// endingLeasesSent records the list of a batch, whose write may take effect.
func (c *Core) endingLeasesSent(row string) {
	c.ending.due, c.ending.urgent = false, false
	for _, l := range workload.ParseEndingLeases(row) {
		c.ending.sent[l.Host] = struct{}{}
	}
}

// endingLeasesStored records the list of a batch that was stored, and claims the hosts
// that it does not name any more.
func (c *Core) endingLeasesStored(row string) {
	e := &c.ending
	e.row, e.storedAt = row, c.now
	omitted := maps.Clone(e.sent)
	for name := range e.stored {
		omitted[name] = struct{}{}
	}
	clear(e.stored)
	clear(e.sent)
	for _, l := range workload.ParseEndingLeases(row) {
		e.stored[l.Host] = l.Remaining
		delete(omitted, l.Host)
	}
	for _, name := range slices.Sorted(maps.Keys(omitted)) {
		if h, ok := c.hosts[name]; ok && h.state == hostClaiming {
			h.step(evUp)
		}
	}
	c.scheduleRowChecks()
}

// endingLeasesFailed records that a batch with a list was not stored.
func (c *Core) endingLeasesFailed(row string) {
	c.ending.due = row != c.ending.row
	c.scheduleRowChecks()
}

func (c *Core) scheduleRowChecks() {
	for h := range c.ending.unanswered {
		h.schedule()
	}
}

// waitsAreStored reports whether the owner's row names each host that may have runs of a
// former owner and has not answered.
func (c *Core) waitsAreStored() bool {
	for h := range c.ending.unanswered {
		c.visits++
		_, named := c.ending.stored[h.info.Name]
		if h.delaysRecovery() && !named {
			return false
		}
	}
	return true
}
