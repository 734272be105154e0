package ownership

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

const (
	// MaxLag is the lag of a tick of the owner's loop above which the tick is late.
	// It is about a fifth of the silence (1.2 s) after which peers end a link.
	MaxLag = 250 * time.Millisecond
	// BehindTime is how much longer than it was on time the loop of an owner has to
	// be late before the owner hands over the jobs. It is a quarter of the lease of
	// runs, so that a successor can claim the hosts before leases expire.
	BehindTime = 1500 * time.Millisecond
	// maxStepTime is how much one step of the loop counts at most. A process that
	// was suspended is late because of one step, which must not suffice.
	maxStepTime = 500 * time.Millisecond
	// handOverInterval is the shortest time between two transfers by an entry.
	// It bounds how often the jobs change their owner if a successor ends again
	// and again.
	handOverInterval = 30 * time.Second
	// claimPause is how long an entry that has handed over the jobs does not claim
	// them. After it, the entry claims them if no other entry has.
	claimPause = 2 * time.Second
)

// A successor has at least successorNumerator/successorDenominator of the owner's
// processor share: a transfer to a host that is hardly larger only costs time.
const (
	successorNumerator   = 3
	successorDenominator = 2
)

// lateness measures for how long the loop of an owner has been late.
type lateness struct {
	steppedAt time.Duration // start of the present step
	steps     time.Duration // length of the steps of which it is not known whether they were late
	late      time.Duration // how much longer than on time the loop was late, up to BehindTime
}

// stepped records the start of a step.
func (l *lateness) stepped(now time.Duration) {
	l.steps += min(now-l.steppedAt, maxStepTime)
	l.steppedAt = now
}

// wereLate counts the steps until now as late. It reports whether the loop is
// persistently late.
func (l *lateness) wereLate() bool {
	l.late = min(BehindTime, l.late+l.steps)
	l.steps = 0
	return l.late == BehindTime
}

// wereOnTime counts the steps until now as on time.
func (l *lateness) wereOnTime() {
	l.late = max(0, l.late-l.steps)
	l.steps = 0
}

// Stepped records that the owner's loop begins a step that applies messages. lag is
// how late its next tick is already. An owner whose loop is persistently late
// hands over the jobs if an entry with clearly more processor share is linked.
func (c *Core) Stepped(lag, now time.Duration) {
	c.now = now
	c.lateness.stepped(now)
	if lag > MaxLag && c.lateness.wereLate() {
		c.step(evBehind)
	}
}

// Ticked is Stepped for a step that applies a tick, and the lag of that tick.
func (c *Core) Ticked(lag, now time.Duration) {
	c.Stepped(lag, now)
	if lag <= MaxLag {
		c.lateness.wereOnTime()
	}
}

// HandingOver reports whether the entry is releasing the jobs because its loop is
// behind. It remains the owner until Released.
func (c *Core) HandingOver() bool { return c.state == stHandingOver }

// Released records that the release of the jobs is stored.
func (c *Core) Released(now time.Duration) {
	c.now = now
	c.row.Name, c.ownerSeenAt = "", now
	c.step(evReleased)
}

// Successor returns the linked entry with the greatest processor share if that is
// clearly more than the share of this entry, and the share; else "". It returns
// none while the share of this entry is not known.
func (c *Core) Successor() (string, model.MilliCPU) {
	successor, greatest := "", model.MilliCPU(0)
	for name, share := range c.linked {
		if share > greatest || share == greatest && name < successor {
			successor, greatest = name, share
		}
	}
	if c.share <= 0 || greatest*successorDenominator < c.share*successorNumerator {
		return "", 0
	}
	return successor, greatest
}

// mayHandOver reports whether an owner that is behind has a successor and has not
// handed over the jobs lately.
func (c *Core) mayHandOver() bool {
	successor, _ := c.Successor()
	return successor != "" && (c.handedOverAt == 0 || c.now-c.handedOverAt >= handOverInterval)
}

func (c *Core) handOver() {
	c.handedOverAt = c.now
	c.emit(HandOver)
}
