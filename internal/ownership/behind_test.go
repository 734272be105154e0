package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	slowStep = 400 * time.Millisecond // of the loop of an owner that is behind
	tick     = 50 * time.Millisecond  // of a loop that is on time
	// successorTime is how long a successor takes to read and to claim the row if
	// both calls take their time limit of 0.9 s.
	successorTime = 1800 * time.Millisecond
	// ownerlessBound is the stated bound of the time without an owner after a
	// transfer that no entry completes.
	ownerlessBound = 2500 * time.Millisecond
	// transferInterval is the stated bound of the time between two transfers by an
	// entry.
	transferInterval = 30 * time.Second
)

// ticks applies ticks of a loop whose steps take this long each.
func ticks(c *Core, now *time.Duration, step, d time.Duration) {
	for end := *now + d; *now < end; {
		*now += step
		c.Ticked(step-tick, *now)
	}
}

// newOwner returns an entry that owns the jobs.
func newOwner(share model.MilliCPU, now *time.Duration) *Core {
	r, c := &ownerRow{}, New("a", 1, share, 0)
	r.advance(now, 2*time.Second, c)
	c.Effects()
	return c
}

// Guards against an owner that falls behind and keeps the jobs, although an entry
// with much more processor share is linked: heartbeats go on, so no entry replaced
// it.
func TestOwnerThatIsBehindHandsOver(t *testing.T) {
	now := time.Duration(0)
	c := newOwner(190, &now)
	c.PeerUp("b", 800)
	ticks(c, &now, slowStep, BehindTime+slowStep)
	require.Equal(t, []Effect{HandOver}, c.Effects(), "once")
	require.True(t, c.HandingOver())
	require.True(t, c.Owns(), "until the release is stored")
	c.Released(now)
	require.False(t, c.Owns())
	require.Empty(t, c.Owner())
}

// Guards against a transfer, which costs time, that helps nobody: no entry has
// clearly more processor share, or the shares are not known.
func TestOwnerThatIsBehindStaysWithoutALargerEntry(t *testing.T) {
	for _, v := range []struct{ own, peer model.MilliCPU }{{400, 0}, {400, 400}, {400, 599}, {0, 800}, {800, 190}} {
		now := time.Duration(0)
		c := newOwner(v.own, &now)
		c.PeerUp("b", v.peer)
		ticks(c, &now, slowStep, time.Minute)
		require.Empty(t, c.Effects(), "%+v", v)
		require.True(t, c.Owns())
	}
	now := time.Duration(0)
	c := newOwner(400, &now)
	c.PeerUp("b", 800)
	c.PeerDown("b", now)
	ticks(c, &now, slowStep, time.Minute)
	require.Empty(t, c.Effects(), "the larger entry is not linked any more")
	c.PeerUp("b", 600)
	ticks(c, &now, slowStep, slowStep)
	require.Equal(t, []Effect{HandOver}, c.Effects(), "at once when a larger one is linked")
}

// Guards against a transfer because of a single late tick, as after a suspension
// of the process, because of a burst of work, and because of a loop that is on
// time for most of the time.
func TestOwnerThatIsLateForAShortTimeStays(t *testing.T) {
	for name, late := range map[string]func(c *Core, now *time.Duration){
		"suspended":              func(c *Core, now *time.Duration) { ticks(c, now, 20*time.Second, time.Second) },
		"burst":                  func(c *Core, now *time.Duration) { ticks(c, now, slowStep, time.Second) },
		"late, but not by much":  func(c *Core, now *time.Duration) { ticks(c, now, MaxLag+tick, 10*time.Second) },
		"suspended now and then": func(c *Core, now *time.Duration) { ticks(c, now, 2*time.Second, time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			c := newOwner(190, &now)
			c.PeerUp("b", 800)
			for range 20 {
				late(c, &now)
				ticks(c, &now, tick, 1500*time.Millisecond)
			}
			require.Empty(t, c.Effects())
			require.True(t, c.Owns())
		})
	}
}

// Guards against lateness of an earlier ownership that counts in the present one.
func TestLatenessIsThatOfThePresentOwnership(t *testing.T) {
	now := time.Duration(0)
	c := newOwner(190, &now)
	ticks(c, &now, slowStep, time.Minute)
	c.Superseded(now)
	r := &ownerRow{owner: workload.Owner{Name: "a", Epoch: 7}, version: 3}
	r.advance(&now, time.Second, c)
	require.True(t, c.Owns())
	c.Effects()
	c.PeerUp("b", 800)
	ticks(c, &now, slowStep, slowStep)
	require.Empty(t, c.Effects())
}

// Guards against an owner that was replaced or is told to stop while it hands
// over, and goes on.
func TestHandOverEndsWhenTheOwnerIsReplacedOrStops(t *testing.T) {
	handingOver := func() (*Core, time.Duration) {
		now := time.Duration(0)
		c := newOwner(190, &now)
		c.PeerUp("b", 800)
		ticks(c, &now, slowStep, BehindTime+slowStep)
		require.Equal(t, []Effect{HandOver}, c.Effects())
		return c, now
	}
	c, now := handingOver()
	c.OwnerObserved("b", c.Epoch()+1, now)
	require.Equal(t, []Effect{End}, c.Effects())
	require.False(t, c.Owns())

	c, now = handingOver()
	c.Superseded(now)
	require.Equal(t, []Effect{End}, c.Effects())

	c, now = handingOver()
	c.Retire(now)
	c.Released(now)
	ticks(c, &now, tick, time.Minute)
	require.Empty(t, c.Effects())
}

// Guards against an entry that claims the jobs back at once, before the successor
// does, and against jobs without an owner if the successor does not claim them.
func TestEntryClaimsBackOnlyIfNoOtherEntryHasClaimed(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		r, now := &ownerRow{}, time.Duration(0)
		c := New("a", 1, 190, 0)
		r.advance(&now, 2*time.Second, c)
		c.PeerUp("b", 800)
		ticks(c, &now, slowStep, BehindTime+slowStep)
		r.owner, r.version = workload.Owner{Epoch: 1}, r.version+1
		c.Effects()
		c.Released(now)
		r.advance(&now, successorTime, c)
		require.False(t, c.Owns())
		if claimed {
			r.owner, r.version = workload.Owner{Name: "b", Epoch: 2}, r.version+1
			c.OwnerObserved("b", 2, now)
		}
		r.advance(&now, ownerlessBound-successorTime, c)
		require.Equal(t, !claimed, c.Owns())
	}
}

// Guards against jobs that go back and forth with an entry on a large host that
// ends and starts again and again: in between, the entry on the small host keeps
// them although it is behind.
func TestEntryHandsOverOnceInAnInterval(t *testing.T) {
	const total = 5 * time.Minute
	now := time.Duration(0)
	c := newOwner(190, &now)
	transfers, epoch := 0, c.Epoch()
	for start := now; now-start < total; {
		c.PeerUp("b", 800)
		ticks(c, &now, slowStep, BehindTime+slowStep)
		if c.HandingOver() {
			transfers++
			c.Released(now)
			epoch++
			c.OwnerObserved("b", epoch, now)
		}
		c.PeerDown("b", now)
		c.Effects()
		r := &ownerRow{owner: workload.Owner{Name: "b", Epoch: epoch}, version: table.Revision(epoch)}
		r.advance(&now, claimPause+time.Second, c)
		require.True(t, c.Owns())
		epoch = c.Epoch()
	}
	require.Greater(t, transfers, 1)
	require.LessOrEqual(t, transfers, int(total/transferInterval)+1)
}

// site consists of entries that use one row and notify each other of owners.
type site struct {
	row      ownerRow
	now      time.Duration
	entries  []*Core // nil: the process does not run
	shares   []model.MilliCPU
	behind   []bool          // the loop of the entry would be late if it owned the jobs
	handOver []time.Duration // when the entry last handed over; 0: never
	claims   int
	boot     uint64
}

func (s *site) name(i int) string { return string(rune('a' + i)) }

func (s *site) start(i int) {
	s.boot++
	s.entries[i] = New(s.name(i), s.boot, s.shares[i], s.now)
	s.handOver[i] = 0
	s.entries[i].Tick(s.now)
	for j, c := range s.entries {
		if c != nil && j != i {
			s.entries[i].PeerUp(s.name(j), s.shares[j])
			c.PeerUp(s.name(i), s.shares[i])
		}
	}
}

func (s *site) kill(i int) {
	s.entries[i] = nil
	for _, c := range s.entries {
		if c != nil {
			c.PeerDown(s.name(i), s.now)
		}
	}
}

func (s *site) notify(from *Core, owner string, epoch uint64) {
	for _, c := range s.entries {
		if c != nil && c != from {
			c.OwnerObserved(owner, epoch, s.now)
		}
	}
}

// tick advances the time by one tick.
func (s *site) tick(t *rapid.T) {
	s.now += tick
	for i, c := range s.entries {
		if c == nil {
			continue
		}
		c.Tick(s.now)
		if c.state == stOwner && s.behind[i] && s.now%slowStep == 0 {
			c.Ticked(slowStep-tick, s.now)
		}
		s.perform(t, i, c)
	}
}

func (s *site) perform(t *rapid.T, i int, c *Core) {
	for effects := c.Effects(); len(effects) > 0; effects = c.Effects() {
		for _, e := range effects {
			switch e {
			case ReadRow:
				c.Read(s.row.owner, s.row.version, s.now)
			case ClaimRow:
				s.claim(c)
			case HandOver:
				s.release(t, i, c)
			}
		}
	}
}

func (s *site) claim(c *Core) {
	owner, version := c.Claim()
	if version != s.row.version {
		c.Claimed(owner, table.Conflict, 0, s.now)
		return
	}
	s.claims++
	s.row.owner, s.row.version = owner, s.row.version+1
	c.Claimed(owner, table.Committed, s.row.version, s.now)
	s.notify(c, owner.Name, owner.Epoch)
}

// release checks the bound of transfers, and stores the release.
func (s *site) release(t *rapid.T, i int, c *Core) {
	if last := s.handOver[i]; last != 0 && s.now-last < transferInterval {
		t.Fatalf("%s handed over %v after the last time", s.name(i), s.now-last)
	}
	if successor, share := c.Successor(); share*successorDenominator < s.shares[i]*successorNumerator {
		t.Fatalf("%s with %d handed over to %q with %d", s.name(i), s.shares[i], successor, share)
	}
	s.handOver[i] = s.now
	epoch := s.row.owner.Epoch
	s.row.owner, s.row.version = workload.Owner{Epoch: epoch}, s.row.version+1
	c.Released(s.now)
	s.notify(c, "", epoch)
}

func (s *site) owners() int {
	n := 0
	for _, c := range s.entries {
		if c != nil && c.Owns() {
			n++
		}
	}
	return n
}

// Guards against jobs that change their owner again and again, and against jobs
// without an owner: entries are behind, end and start in any order. While no
// process ends or starts, each entry hands over at most once, since only an entry
// with more share claims first after it.
func TestOwnershipDoesNotGoBackAndForth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "entries")
		s := &site{entries: make([]*Core, n), shares: make([]model.MilliCPU, n), behind: make([]bool, n), handOver: make([]time.Duration, n)}
		for i := range n {
			s.shares[i] = rapid.SampledFrom([]model.MilliCPU{0, 190, 250, 400, 800}).Draw(t, "share")
			s.behind[i] = rapid.Bool().Draw(t, "behind")
			s.start(i)
		}
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			i := rapid.IntRange(0, n-1).Draw(t, "entry")
			switch {
			case s.entries[i] == nil:
				s.start(i)
			case rapid.Bool().Draw(t, "kill"):
				s.kill(i)
			default:
				s.behind[i] = !s.behind[i]
			}
			for range rapid.IntRange(1, 100).Draw(t, "ticks") {
				s.tick(t)
			}
		}
		if s.entries[0] == nil {
			s.start(0)
		}
		s.settle(t)
	})
}

// settle checks that the jobs have one owner within the time that a transfer and
// the replacement of a killed owner take, and few changes after that.
func (s *site) settle(t *rapid.T) {
	without := time.Duration(0)
	before := s.claims
	for end := s.now + 2*time.Minute; s.now < end; {
		s.tick(t)
		switch s.owners() {
		case 0:
			without += tick
		case 1:
			without = 0
		default:
			t.Fatalf("%d owners", s.owners())
		}
		if without > ownerlessBound+2*time.Second {
			t.Fatalf("no owner for %v", without)
		}
	}
	if changes := s.claims - before; changes > len(s.entries) {
		t.Fatalf("%d changes of the owner among %d entries", changes, len(s.entries))
	}
}
