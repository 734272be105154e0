// Package ownership decides which entry owns the jobs. The owner is a row of
// the table service; it is claimed by compare-and-set with a higher epoch when
// the entry that it names is away. The package does no input or output.
package ownership

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/ownership.scxml.
const (
	stReading chart.State = iota
	stStandby
	stClaiming
	stOwner
	stRetired
)

// Events of charts/ownership.scxml.
const (
	evTimeout chart.Event = iota
	evRead
	evClaimed
	evSuperseded
	evUnknown
	evRetire
)

const (
	readRetry     = 300 * time.Millisecond
	checkInterval = 50 * time.Millisecond
	claimRetry    = time.Second
	// absence is how long an owner may be without a link before it is
	// replaced. A link that was reset is up again sooner.
	ownerTimeout = 250 * time.Millisecond
	// startAbsence replaces absence until links had time to come up.
	startOwnerTimeout = 900 * time.Millisecond
	// turn keeps entries from claiming at the same time.
	rankDelay = 200 * time.Millisecond
)

// Effect is what the entry has to do.
type Effect uint8

// Effects.
const (
	ReadRow  Effect = iota // answer with Read
	ClaimRow               // commit Claim, answer with Claimed
	Begin                  // it is the owner
	End                    // it is no longer the owner
	Release                // commit Released and tell the peers
)

// Core is the state of an entry's ownership. It belongs to one goroutine.
type Core struct {
	self string
	boot uint64
	now  time.Duration

	state       chart.State
	timeoutAt   time.Duration
	row         workload.Owner // newest known
	rowVersion  table.Revision // version of the row
	maxEpoch    uint64         // highest known
	linked      map[string]bool
	ownerSeenAt time.Duration // when the owner was last seen, or this entry began

	effects []Effect
}

var ownershipChart *chart.Machine[Core]

func init() { ownershipChart = chart.MustCompile(charts.Files, Binding()) }

// Binding binds charts/ownership.scxml.
func Binding() chart.Binding[Core] {
	return chart.Binding[Core]{
		Chart:  "ownership",
		States: []string{"reading", "standby", "claiming", "owner", "retired"},
		Events: []string{"late", "read", "claimed", "superseded", "unknown", "retire"},
		Guards: map[string]func(*Core) bool{"mayClaim": (*Core).mayClaim, "ownerAbsent": (*Core).ownerAbsent},
		Actions: map[string]func(*Core){
			"read":    func(c *Core) { c.emit(ReadRow) },
			"claim":   func(c *Core) { c.emit(ClaimRow) },
			"begin":   func(c *Core) { c.emit(Begin) },
			"end":     func(c *Core) { c.emit(End) },
			"release": func(c *Core) { c.emit(Release) },
		},
		Delays: map[string]time.Duration{"readRetry": readRetry, "checkInterval": checkInterval, "claimRetry": claimRetry},
	}
}

// New returns the ownership of an entry that starts at now.
func New(self string, boot uint64, now time.Duration) *Core {
	c := &Core{self: self, boot: boot, now: now, linked: map[string]bool{}, ownerSeenAt: now + startOwnerTimeout - ownerTimeout}
	c.state = ownershipChart.Initial()
	c.timeoutAt = now + 1 // read at once; 0 means no timeout
	return c
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// Effects returns what to do since the last call.
func (c *Core) Effects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) step(e chart.Event) {
	ownershipChart.Step(c, &c.state, e)
	if d, _, ok := ownershipChart.Timeout(c.state); ok {
		c.timeoutAt = c.now + d
	} else {
		c.timeoutAt = 0
	}
}

// Tick applies a due timeout.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.timeoutAt != 0 && now >= c.timeoutAt {
		c.step(evTimeout)
	}
}

// Owns reports whether the entry owns the jobs.
func (c *Core) Owns() bool { return c.state == stOwner }

// Epoch returns the highest epoch that the entry knows.
func (c *Core) Epoch() uint64 { return c.maxEpoch }

// Owner returns the name of the owner, or nothing.
func (c *Core) Owner() string { return c.row.Name }

// PeerUp and PeerDown say which entries are linked.
func (c *Core) PeerUp(name string) { c.linked[name] = true }

// PeerDown says that an entry is no longer linked.
func (c *Core) PeerDown(name string, now time.Duration) {
	c.now = now
	delete(c.linked, name)
	if name == c.row.Name {
		c.ownerSeenAt = now
	}
}

// OwnerObserved takes an owner and its epoch from a peer or an agent.
func (c *Core) OwnerObserved(owner string, epoch uint64, now time.Duration) {
	c.now = now
	if epoch < c.maxEpoch || epoch == c.maxEpoch && owner != "" {
		return
	}
	c.maxEpoch = epoch
	c.row = workload.Owner{Name: owner, Epoch: epoch}
	c.rowVersion = 0
	c.ownerSeenAt = now
	if c.state == stOwner {
		c.step(evSuperseded)
	}
}

// EpochObserved takes an epoch of which the owner is not known.
func (c *Core) EpochObserved(epoch uint64, now time.Duration) {
	c.now = now
	if epoch <= c.maxEpoch {
		return
	}
	c.maxEpoch = epoch
	c.ownerSeenAt = now
	if c.state == stOwner {
		c.step(evSuperseded)
	}
}

// Read takes the stored owner; version 0 means that there is none.
func (c *Core) Read(o workload.Owner, version table.Revision, now time.Duration) {
	c.now = now
	if o.Name != "" && o.Name != c.row.Name && c.row.Name != "" {
		c.ownerSeenAt = now
	}
	c.row, c.rowVersion = o, version
	c.maxEpoch = max(c.maxEpoch, o.Epoch)
	c.step(evRead)
}

// Claim returns the row that claims the jobs, and the version to check.
func (c *Core) Claim() (workload.Owner, table.Revision) {
	return workload.Owner{Name: c.self, Boot: c.boot, Epoch: c.maxEpoch + 1}, c.rowVersion
}

// Claimed takes the outcome of a claim.
func (c *Core) Claimed(o workload.Owner, outcome table.Outcome, version table.Revision, now time.Duration) {
	c.now = now
	switch outcome {
	case table.Committed:
		c.row, c.rowVersion, c.maxEpoch = o, version, o.Epoch
		c.step(evClaimed)
	case table.Conflict:
		c.step(evSuperseded)
	default:
		c.step(evUnknown)
	}
}

// Superseded says that a write showed another owner.
func (c *Core) Superseded(now time.Duration) {
	c.now = now
	c.ownerSeenAt = now
	c.step(evSuperseded)
}

// Retire ends the entry's part: it releases the jobs if it owns them.
func (c *Core) Retire(now time.Duration) {
	c.now = now
	c.step(evRetire)
}

// mine reports whether the row names this process.
func (c *Core) namesSelf() bool { return c.row.Name == c.self }

func (c *Core) mayClaim() bool { return c.namesSelf() || c.ownerAbsent() }

// ownerAbsent reports whether it is this entry's turn to replace the owner.
func (c *Core) ownerAbsent() bool {
	if c.namesSelf() {
		return true
	}
	if c.linked[c.row.Name] {
		return false
	}
	timeout := ownerTimeout + time.Duration(c.rank())*rankDelay
	if c.row.Name == "" && c.maxEpoch > 0 {
		timeout -= ownerTimeout // it was given up
	}
	return c.now-c.ownerSeenAt >= timeout
}

// rank is the number of linked entries that come before this one.
func (c *Core) rank() int {
	n := 0
	for name := range c.linked {
		if name < c.self {
			n++
		}
	}
	return n
}
