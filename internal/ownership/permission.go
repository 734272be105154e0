package ownership

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
)

// States of charts/permission.scxml, in the order of PermissionBinding.
const (
	permissionUndisputed chart.State = iota
	permissionDisputed
	permissionLapsed
)

// Events of charts/permission.scxml, in the order of PermissionBinding.
const (
	evMissing chart.Event = iota
	evComplete
	evConfirmed
	evPermissionLate
	evSuspended
)

const (
	// PermissionTime is how long an owner that another entry may have replaced goes on
	// extending leases and starting tasks after its last write to its row was sent. A
	// successor that cannot reach a host waits for as long before the leases there run
	// out.
	PermissionTime = 2 * time.Second
	// MajorityPermissionTime replaces PermissionTime for an owner that is linked with
	// the majority of the entries. A successor waits for as long until it knows that the
	// former owner has stopped, or has no majority any more. With the leases of 6 s it
	// lets runs outlive an outage of the table service of 7 s; the longest that is
	// expected lasts 5.8 s.
	MajorityPermissionTime = 4 * time.Second
	// confirmInterval is how old the last confirmation may become before an owner that
	// another entry may have replaced rewrites its row.
	confirmInterval = 500 * time.Millisecond
	// UndisputedConfirmInterval is the same for an owner that misses no entry. It is the
	// part of MajorityPermissionTime that may have passed when an outage begins.
	UndisputedConfirmInterval = time.Second
	// formerProgramTime and formerProgramMajorityTime are how long an owner of a former
	// program acts after its last write if it misses no entry, and if it is linked with
	// the majority. Its row has no time.
	formerProgramTime         = 5 * time.Minute
	formerProgramMajorityTime = 10 * time.Second
	// missingRetention is how long an entry counts as missing while the owner can write
	// its row. One that does not come back was removed, and would end all runs in the
	// next outage of the table service.
	missingRetention = time.Minute
)

var permissionChart *chart.Machine[permission]

func init() { permissionChart = chart.MustCompile(charts.Files, PermissionBinding()) }

// PermissionBinding binds charts/permission.scxml.
func PermissionBinding() chart.Binding[permission] {
	return chart.Binding[permission]{
		Chart:  "permission",
		States: []string{"undisputed", "disputed", "lapsed"},
		Events: []string{"missing", "complete", "confirmed", "late", "suspended"},
		Delays: map[string]time.Duration{"majorityPermissionTime": MajorityPermissionTime, "permissionTime": PermissionTime}, // the latter only without a majority
	}
}

// permission says whether the owner may act. It may for a time after each write to its
// row, which fails once another entry has claimed the jobs.
type permission struct {
	state       chart.State
	linked      map[string]model.MilliCPU // of the Core; entries with a link, some of which may be missing
	echoes      echoes                    // of the Core
	confirmedAt time.Duration             // when the last write to the row that succeeded was sent
	suspendedAt time.Duration             // when the process was last found to have been suspended
	missing     map[string]time.Duration  // entries that are not known to be linked, since when
}

// newPermission returns the permission of an owner whose claim was sent at claimSentAt.
func newPermission(claimSentAt time.Duration, linked map[string]model.MilliCPU, e echoes) permission {
	return permission{state: permissionChart.Initial(), linked: linked, echoes: e, confirmedAt: claimSentAt, missing: map[string]time.Duration{}}
}

// limit returns how long the owner may act after a write to its row.
func (c *Core) limit() time.Duration {
	if c.hasMajority() {
		return MajorityPermissionTime
	}
	return PermissionTime
}

// hasMajority reports whether the owner and the entries that are not missing are more
// than the missing ones.
func (p *permission) hasMajority() bool {
	present := 1
	for name := range p.linked {
		if _, missing := p.missing[name]; !missing {
			present++
		}
	}
	return present > len(p.missing)
}

func (p *permission) step(e chart.Event) { permissionChart.Step(p, &p.state, e) }

func (p *permission) complete() bool { return len(p.missing) == 0 }

func (p *permission) mayAct() bool {
	return p.state == permissionUndisputed || p.state == permissionDisputed
}

// entryMissing records that an entry is not linked, which the next call of advance
// takes into account.
func (p *permission) entryMissing(name string, now time.Duration) {
	p.missing[name] = now
	p.step(evMissing)
}

// entryPresent records that an entry is linked, or counts as removed.
func (p *permission) entryPresent(name string) {
	delete(p.missing, name)
	if p.complete() {
		p.step(evComplete)
	}
}

// advance applies the time.
func (p *permission) advance(now, limit time.Duration) {
	if _, _, ok := permissionChart.Timeout(p.state); ok && now-p.confirmedAt >= limit {
		p.step(evPermissionLate)
	}
}

// confirmed records a write to the row that succeeded, and was sent at sentAt.
func (p *permission) confirmed(sentAt, now, limit time.Duration) {
	if sentAt < p.suspendedAt || sentAt < p.confirmedAt {
		return
	}
	p.confirmedAt = sentAt
	if now-sentAt < limit {
		p.step(evConfirmed)
	}
	if p.complete() {
		p.step(evComplete)
	}
}

// suspended records that the process did not run until a given time. Its links may have
// ended meanwhile, so each entry that was linked then is missing until it is linked anew.
func (p *permission) suspended(until time.Duration, linked map[string]struct{}) {
	p.suspendedAt = until
	for name := range linked {
		p.missing[name] = until
	}
	if !p.complete() {
		p.step(evSuspended)
	}
}

// MayAct reports whether the entry owns the jobs at a time and no other entry can have
// replaced it for so long that leases which it extends, or tasks that it starts, may run
// beside those of its successor. The caller asks right before it acts.
func (c *Core) MayAct(now time.Duration) bool {
	if !c.Owns() {
		return false
	}
	c.now = now
	c.noticeGap(now)
	c.advancePermission()
	return c.permission.mayAct()
}

// Undisputed reports whether the owner acts, and each known entry has shown shortly
// before that it does not own the jobs.
func (c *Core) Undisputed() bool { return c.Owns() && c.permission.state == permissionUndisputed }

// NotReplacedUntil returns the newest time at which no other entry had replaced this
// owner: when its last write was sent. Echoes do not show it, since an entry that this
// owner does not know may have claimed the jobs. A successor extends the leases of hosts
// that this owner does not reach.
func (c *Core) NotReplacedUntil() time.Duration { return c.permission.confirmedAt }

// advancePermission applies the time, and the echoes, to the permission.
func (c *Core) advancePermission() {
	c.permission.applyEchoes(c.now)
	c.permission.advance(c.now, c.limit())
}

// ConfirmationDue reports whether the owner has to rewrite its row to act on.
func (c *Core) ConfirmationDue() bool {
	age := c.now - c.permission.confirmedAt
	if !c.Owns() || age < confirmInterval {
		return false
	}
	return age >= UndisputedConfirmInterval || c.permission.state != permissionUndisputed || c.echoes.oldest(c.now) >= echoWarning
}

// Confirmed records that the owner's row was rewritten by a transaction which was sent
// at sentAt.
func (c *Core) Confirmed(sentAt, now time.Duration) {
	c.now = now
	c.permission.confirmed(sentAt, now, c.limit())
}

// EntryKnown records an entry that need not be linked yet.
func (c *Core) EntryKnown(name string, now time.Duration) {
	c.now = now
	if _, linked := c.linked[name]; !linked {
		c.entryUnlinked(name)
	}
}

// entryUnlinked records that an entry is not linked.
func (c *Core) entryUnlinked(name string) {
	c.unlinked[name] = c.now
	if c.Owns() {
		c.permission.entryMissing(name, c.now)
	}
}

// beginPermission sets the permission of an owner that has just claimed the jobs. The
// former owner counts as missing unless it is linked, since it may claim them again.
func (c *Core) beginPermission() {
	c.permission = newPermission(c.claimSentAt, c.linked, c.echoes)
	c.formerStoppedAt = 0
	c.informed, c.informedAt = map[string]struct{}{}, 0
	if c.halfInformed() {
		c.informedAt = c.ownerSince
	}
	if name := c.former.Name; name != "" && name != c.self {
		c.EntryKnown(name, c.now)
	}
	c.entries = entries{stored: parseEntries(c.row.Entries), leaving: map[string]struct{}{}}
	for _, name := range c.entries.stored {
		if name != c.self {
			c.EntryKnown(name, c.now)
		}
	}
	for name, since := range c.unlinked {
		c.permission.entryMissing(name, since)
	}
	if s := &c.suspension; s.concerns(c.claimSentAt) {
		c.permission.suspended(s.until, s.linked)
	}
	c.advancePermission()
}

// EntryLinked records what the hello of an entry shows: its boot number and the highest
// epoch that it knows. If it is the former owner, and its process has ended or knows of
// this owner, no owner before this one acts any more.
func (c *Core) EntryLinked(name string, boot, epoch uint64, now time.Duration) {
	c.now = now
	if !c.Owns() || c.formerStoppedAt != 0 || c.former.Unsettled || name != c.former.Name {
		return
	}
	if boot != c.former.Boot || epoch >= c.maxEpoch {
		c.formerStoppedAt = now
	}
}

// FormerOwnersActUntil returns until when former owners that do not know of this one
// may extend leases. It counts from the answer to the claim: the last write of a former
// owner may have been sent after the claim, if the store committed the claim late.
func (c *Core) FormerOwnersActUntil() time.Duration {
	until := c.ownerSince + c.formerOwnersActFor()
	if c.informedAt != 0 {
		until = min(until, c.informedAt+PermissionTime)
	}
	if c.formerStoppedAt != 0 {
		until = min(until, c.formerStoppedAt)
	}
	return until
}

// formerOwnersActFor returns how long former owners act at most after their last writes.
// One of a former program that misses no entry acts for longer, and misses those that its
// row names.
func (c *Core) formerOwnersActFor() time.Duration {
	switch {
	case c.former.ActsFor != 0:
		return c.former.ActsFor
	case c.knownToOwners(c.former.Entries):
		return formerProgramMajorityTime
	}
	return formerProgramTime
}
