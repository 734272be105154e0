package ownership

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Claim returns the row that claims the jobs, and the version on which its commit
// is conditional.
func (c *Core) Claim() (workload.Owner, table.Revision) {
	owner := workload.Owner{
		Name: c.self, Boot: c.boot, Epoch: c.maxEpoch + 1,
		Unsettled: !c.priorOwnersEnded(), Fenced: c.priorOwnersFenced(), Entries: c.row.Entries,
		EndingLeases: c.row.EndingLeases,
	}
	if c.row.ActsFor != 0 {
		owner.ActsFor = max(c.row.ActsFor, MajorityPermissionTime)
	}
	if !owner.Unsettled {
		owner.Entries, owner.ActsFor = c.Entries(), MajorityPermissionTime
	}
	c.claimEpoch, c.claimSentAt, c.claimedRow = owner.Epoch, c.now, c.row
	return owner, c.rowVersion
}

// priorOwnersEnded reports whether the owner of the row, and those before it, had
// certainly ended when the row was written or read. A row of this process is an
// earlier claim of it whose outcome was not known.
func (c *Core) priorOwnersEnded() bool {
	switch {
	case c.row.Unsettled:
		return false
	case c.row.Name == "":
		return true
	}
	return c.namesSelf()
}

// priorOwnersFenced reports whether the owner of the row, and those before it,
// start no task of a job whose Epoch is higher than their own.
func (c *Core) priorOwnersFenced() bool { return c.row.Fenced || c.priorOwnersEnded() }

// Claimed applies the outcome of the commit of a claim, and reports whether the row
// names the entry by it. version is that of the committed row. A late answer to an
// earlier claim is ignored: the entry has read the row since. A claim of a lower
// epoch than a known one was replaced before its answer arrived. An entry that was
// stopped while its claim was in flight releases the jobs.
func (c *Core) Claimed(o workload.Owner, outcome table.Outcome, version table.Revision, now time.Duration) bool {
	c.now = now
	c.noticeGap(now)
	if c.state != stClaiming && c.state != stRetired || o.Epoch != c.claimEpoch {
		return false
	}
	current := outcome == table.Committed && o.Epoch >= c.maxEpoch
	switch {
	case current:
		c.formerEnded, c.fenced, c.lateness = !o.Unsettled, o.Fenced, lateness{steppedAt: now}
		c.former, c.row, c.rowVersion, c.ownerSince = c.claimedRow, o, version, now
		c.observeEpoch(o.Epoch)
		c.step(evClaimed)
		c.beginPermission()
	case outcome == table.Committed, outcome == table.Conflict:
		c.step(evSuperseded)
	default:
		c.step(evOutcomeUnknown)
	}
	return current
}

// namesSelf reports whether the row names this entry.
func (c *Core) namesSelf() bool { return c.row.Name == c.self }

// mayClaim reports whether the entry may claim the jobs: the row names this
// entry, whose former process owned them, or the owner is absent. A row of a lower
// epoch than a known one is outdated.
func (c *Core) mayClaim() bool { return c.ownerKnown() && (c.namesSelf() || c.ownerAbsent()) }

// ownerAbsent reports whether the owner has been unlinked for so long that this
// entry replaces it, or has not been known for ownerTimeout, so that the row has to be
// read. An owner that released the jobs is replaced without the timeout. Entries that precede it replace the owner earlier. An owner with the name of
// this entry is a former process of it, and is always absent.
func (c *Core) ownerAbsent() bool {
	switch {
	case !c.ownerKnown():
		return c.now-c.ownerSeenAt >= ownerTimeout
	case c.namesSelf():
		return true
	}
	if _, linked := c.linked[c.row.Name]; linked {
		return false
	}
	timeout := time.Duration(c.rank()) * rankDelay
	if !c.knownToOwners(c.row.Entries) {
		timeout += unknownEntryDelay
	}
	if released := c.row.Name == "" && c.maxEpoch > 0; !released {
		timeout += c.absenceTimeout()
	}
	return c.now-c.ownerSeenAt >= timeout
}

// rank returns the number of linked entries that precede this one.
func (c *Core) rank() int {
	n := 0
	for name, share := range c.linked {
		if c.precededBy(name, share) {
			n++
		}
	}
	return n
}

// precededBy reports whether an entry comes before this one in claiming the jobs:
// the one with the greater processor share, or the lower name if they are equal.
// An unknown share counts as 0, so an entry that announces none comes last. During
// a restart with a new program, entries of the former one rank by name alone; two
// entries may then claim at the same time, and the table service accepts one.
func (c *Core) precededBy(name string, share model.MilliCPU) bool {
	if share != c.share {
		return share > c.share
	}
	return name < c.self
}
