// Package ownership decides which entry owns the jobs. The owner is named by a row
// of the table service. An entry claims the row by compare-and-set with a higher
// epoch when the entry that it names is unlinked. The package does no input or
// output.
package ownership

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/ownership.scxml, in the order of Binding.
const (
	stReading chart.State = iota
	stStandby
	stClaiming
	stOwner
	stHandingOver
	stYielded
	stRetired
)

// Events of charts/ownership.scxml, in the order of Binding.
const (
	evTimeout chart.Event = iota
	evRead
	evClaimed
	evSuperseded
	evOutcomeUnknown
	evBehind
	evReleased
	evRetire
)

const (
	readRetry     = 300 * time.Millisecond
	checkInterval = 50 * time.Millisecond
	claimRetry    = time.Second
	// ownerTimeout is how long an owner may be unlinked before it is replaced.
	// A link that was reset is up again sooner.
	ownerTimeout = 250 * time.Millisecond
	// startOwnerTimeout replaces ownerTimeout after the start of an entry, until
	// its links have had time to come up.
	startOwnerTimeout = 900 * time.Millisecond
	// rankDelay is added to the timeout once for each linked entry that precedes
	// this one, so that entries do not claim at the same time.
	rankDelay = 200 * time.Millisecond
)

// Effect is an action that the entry has to perform.
type Effect uint8

// Kinds of effects. The entry passes the outcomes of ReadRow and ClaimRow to Read
// and Claimed.
const (
	ReadRow  Effect = iota // read the stored owner and call Read
	ClaimRow               // commit the row of Claim and call Claimed
	Begin                  // the entry became the owner
	End                    // the entry is no longer the owner
	Release                // store a row without an owner and notify the peers
	HandOver               // like Release, because the loop is behind; call Released when the row is stored
)

// Core is the state of the ownership as one entry sees it. It is not safe for
// concurrent use. Times are durations on the entry's monotonic clock.
type Core struct {
	self  string
	boot  uint64         // distinguishes the processes of an entry
	share model.MilliCPU // processor share of the host of this entry; 0: unknown
	now   time.Duration

	state       chart.State
	timeoutAt   time.Duration             // when the state's timeout expires; 0: none
	row         workload.Owner            // newest known owner
	rowVersion  table.Revision            // version of the row
	claimEpoch  uint64                    // of the last claim; 0: none
	maxEpoch    uint64                    // highest known epoch
	askedEpoch  uint64                    // highest known epoch when the row was last requested
	readEpoch   uint64                    // askedEpoch of the row
	linked      map[string]model.MilliCPU // processor shares of the linked entries, by name; 0: unknown
	unlinked    map[string]time.Duration  // known entries that are not linked, since when
	ownerSeenAt time.Duration             // start of the timeout after which the owner is replaced
	formerEnded bool                      // see FormerOwnerEnded
	fenced      bool                      // see FormerOwnersFenced
	takeovers   takeovers                 // recent changes of the owner
	claimSentAt time.Duration             // when the last claim was sent
	claimedRow  workload.Owner            // on which the last claim is conditional
	// ownerSince is when the answer to the claim of this owner arrived, which is not
	// before the claim was committed.
	ownerSince time.Duration
	former     workload.Owner // the row before the claim of this owner
	// formerStoppedAt is when the former owner was known to act no more; 0: never.
	formerStoppedAt time.Duration
	permission      permission // of this owner to act
	suspension      suspension
	echoes          echoes
	entries         entries
	// informed holds the entries that know this owner, and informedAt when they became
	// half of those that the former owner's row names; 0: they have not.
	informed   map[string]struct{}
	informedAt time.Duration

	lateness     lateness
	handedOverAt time.Duration // when the entry last handed over the jobs; 0: never

	effects []Effect
}

var ownershipChart *chart.Machine[Core]

func init() { ownershipChart = chart.MustCompile(charts.Files, Binding()) }

// Binding binds charts/ownership.scxml.
func Binding() chart.Binding[Core] {
	return chart.Binding[Core]{
		Chart:  "ownership",
		States: []string{"reading", "standby", "claiming", "owner", "handing-over", "yielded", "retired"},
		Events: []string{"late", "read", "claimed", "superseded", "unknown", "behind", "released", "retire"},
		Guards: map[string]func(*Core) bool{
			"mayClaim": (*Core).mayClaim, "ownerAbsent": (*Core).ownerAbsent, "mayHandOver": (*Core).mayHandOver,
		},
		Actions: map[string]func(*Core){
			"read":     (*Core).requestRow,
			"claim":    func(c *Core) { c.emit(ClaimRow) },
			"begin":    func(c *Core) { c.emit(Begin) },
			"end":      func(c *Core) { c.emit(End) },
			"release":  func(c *Core) { c.emit(Release) },
			"handOver": (*Core).handOver,
		},
		Delays: map[string]time.Duration{
			"readRetry": readRetry, "checkInterval": checkInterval, "claimRetry": claimRetry, "claimPause": claimPause,
		},
	}
}

// New returns the state of an entry of the name self that starts at now. share is
// the processor share of its host, 0 if it is not known.
func New(self string, boot uint64, share model.MilliCPU, now time.Duration) *Core {
	c := &Core{
		self: self, boot: boot, share: share, now: now, linked: map[string]model.MilliCPU{}, unlinked: map[string]time.Duration{},
		ownerSeenAt: now + startOwnerTimeout - ownerTimeout, echoes: echoes{},
	}
	c.permission = newPermission(now, c.linked, c.echoes)
	c.state = ownershipChart.Initial()
	c.timeoutAt = now + 1 // read at once; 0 means no timeout
	return c
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// Effects returns the effects since the last call.
func (c *Core) Effects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

// step applies an event to the chart and sets the timeout of the new state.
func (c *Core) step(e chart.Event) {
	ownershipChart.Step(c, &c.state, e)
	if d, _, ok := ownershipChart.Timeout(c.state); ok {
		c.timeoutAt = c.now + d
	} else {
		c.timeoutAt = 0
	}
}

// Tick applies the timeout of the state if it has expired.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	c.noticeGap(now)
	if c.Owns() {
		c.advancePermission()
		c.expireEntries()
	}
	if c.timeoutAt != 0 && now >= c.timeoutAt {
		c.step(evTimeout)
	}
}

// Owns reports whether the entry owns the jobs.
func (c *Core) Owns() bool { return c.state == stOwner || c.state == stHandingOver }

// FormerOwnerEnded reports, at an owner, whether the former owners had certainly
// ended before the claim: the last one released the jobs, or was a former process
// of this entry, and had settled the jobs itself. An owner that was replaced
// because it was unlinked may be active until it learns of the claim.
func (c *Core) FormerOwnerEnded() bool { return c.formerEnded }

// FormerOwnersFenced reports, at an owner, whether every former owner that may
// still be active starts no task of a job whose Epoch is higher than its own.
func (c *Core) FormerOwnersFenced() bool { return c.fenced }

// Epoch returns the highest epoch that the entry knows.
func (c *Core) Epoch() uint64 { return c.maxEpoch }

// Owner returns the name of the owner, or "" if it is not known or there is none.
func (c *Core) Owner() string {
	if !c.ownerKnown() {
		return ""
	}
	return c.row.Name
}

// ownerKnown reports whether the row is that of the highest known epoch, or was read
// since that epoch was observed. The name of an owner is only valid together with its
// epoch.
func (c *Core) ownerKnown() bool { return max(c.row.Epoch, c.readEpoch) >= c.maxEpoch }

// PeerUp records that an entry is linked, and the processor share that it
// announces: 0 if it announces none.
func (c *Core) PeerUp(name string, share model.MilliCPU) {
	c.linked[name] = share
	delete(c.unlinked, name)
	delete(c.suspension.linked, name)
	delete(c.entries.leaving, name)
	c.permission.entryPresent(name)
}

// PeerDown records that an entry is no longer linked.
func (c *Core) PeerDown(name string, now time.Duration) {
	c.now = now
	delete(c.linked, name)
	delete(c.echoes, name)
	if name == c.row.Name {
		c.ownerSeenAt = now
	}
	c.entryUnlinked(name)
}

// OwnerObserved applies an owner and its epoch that a peer or an agent reports.
// owner is "" if the owner of that epoch released the jobs. OwnerObserved reports
// whether this was not known.
func (c *Core) OwnerObserved(owner string, epoch uint64, now time.Duration) bool {
	c.now = now
	released := owner == "" && c.row.Name != ""
	if epoch < c.maxEpoch || epoch == c.maxEpoch && c.ownerKnown() && !released {
		return false
	}
	c.observeEpoch(epoch)
	c.row = workload.Owner{Name: owner, Epoch: epoch}
	c.rowVersion = 0
	c.ownerSeenAt = now
	if c.Owns() {
		c.step(evSuperseded)
	}
	return true
}

// EpochObserved applies an epoch whose owner is not known: a claim or the row names
// it later. EpochObserved reports whether the epoch was not known.
func (c *Core) EpochObserved(epoch uint64, now time.Duration) bool {
	c.now = now
	if epoch <= c.maxEpoch {
		return false
	}
	c.observeEpoch(epoch)
	c.ownerSeenAt = now
	if c.Owns() {
		c.step(evSuperseded)
	}
	return true
}

func (c *Core) requestRow() {
	c.askedEpoch = c.maxEpoch
	c.emit(ReadRow)
}

// Read applies the stored owner. Version 0 means that no row is stored.
func (c *Core) Read(o workload.Owner, version table.Revision, now time.Duration) {
	c.now = now
	if o.Name != "" && o.Name != c.row.Name && c.row.Name != "" {
		c.ownerSeenAt = now
	}
	c.row, c.rowVersion, c.readEpoch = o, version, c.askedEpoch
	c.observeEpoch(o.Epoch)
	c.step(evRead)
}

// Superseded records that a write of the owner was rejected because another entry
// has changed the row.
func (c *Core) Superseded(now time.Duration) {
	c.now = now
	c.ownerSeenAt = now
	c.step(evSuperseded)
}

// Retire makes the entry stop claiming the jobs, and release them if it owns
// them.
func (c *Core) Retire(now time.Duration) {
	c.now = now
	c.step(evRetire)
}
