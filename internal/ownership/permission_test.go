package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/table"
)

// newLinkedOwner returns an owner a that is linked with b and c, and the time.
func newLinkedOwner(t *testing.T) (*Core, time.Duration) {
	r, now := &ownerRow{}, time.Duration(0)
	a := New("a", 1, 0, 0)
	a.PeerUp("b", 0)
	a.PeerUp("c", 0)
	r.advance(&now, 3*time.Second, a)
	require.True(t, a.Owns())
	require.True(t, a.MayAct(now))
	return a, now
}

// tickUntil ticks without a gap from one time to another.
func (c *Core) tickUntil(from, to time.Duration) {
	for at := from; at < to; at += maxGap / 2 {
		c.Tick(at)
	}
	c.Tick(to)
}

// Guards against an owner that acts for longer than its successor allows for: an entry
// that is not linked may have claimed the jobs.
func TestOwnerActsForABoundedTimeAfterItLostAnEntry(t *testing.T) {
	a, now := newLinkedOwner(t)
	a.Confirmed(now, now)
	a.PeerDown("b", now)
	a.PeerDown("c", now)
	a.tickUntil(now, now+PermissionTime-time.Millisecond)
	require.True(t, a.MayAct(now+PermissionTime-time.Millisecond))
	now += PermissionTime
	require.False(t, a.MayAct(now), "asked before the next tick")
	a.Tick(now)
	require.True(t, a.ConfirmationDue())

	sentAt := now + 10*time.Second
	a.tickUntil(now, sentAt+time.Second)
	a.Confirmed(sentAt, sentAt+time.Second)
	require.True(t, a.MayAct(sentAt+time.Second))
	a.tickUntil(sentAt+time.Second, sentAt+PermissionTime)
	require.False(t, a.MayAct(sentAt+PermissionTime), "the time runs from when the write was sent")
	now = sentAt + time.Second + PermissionTime
	a.tickUntil(sentAt+PermissionTime, now)
	a.Confirmed(sentAt+time.Second, now)
	require.False(t, a.MayAct(now), "the answer arrived too late")
}

// Guards against an owner that writes more often than needed while all entries are linked,
// against one that acts for longer then, and against runs that end although no entry can
// have replaced the owner: the one that was lost is linked again.
func TestOwnerThatMissesNobodyWritesSeldomAndActsForALimitedTime(t *testing.T) {
	a, now := newLinkedOwner(t)
	a.Confirmed(now, now)
	a.tickUntil(now, now+UndisputedConfirmInterval-time.Millisecond)
	require.False(t, a.ConfirmationDue())
	a.tickUntil(now, now+UndisputedConfirmInterval)
	require.True(t, a.ConfirmationDue())
	last := now + MajorityPermissionTime - time.Millisecond
	a.tickUntil(now+UndisputedConfirmInterval, last)
	require.True(t, a.MayAct(last))
	require.False(t, a.MayAct(last+time.Millisecond), "an entry that the owner has not heard of may have claimed the jobs")
	later := last + time.Millisecond
	a.Confirmed(later, later)
	require.True(t, a.MayAct(later))
	a.PeerDown("b", later)
	a.PeerDown("c", later)
	later += PermissionTime
	a.tickUntil(later-PermissionTime, later)
	require.False(t, a.MayAct(later), "the last write is old")
	a.PeerUp("b", 0)
	a.PeerUp("c", 0)
	require.True(t, a.MayAct(later))

	a.PeerDown("b", later)
	now = later + missingRetention
	a.tickUntil(later, now)
	require.False(t, a.MayAct(now), "an owner that cannot write its row may be the one that is cut off")
	a.Confirmed(now, now)
	a.Tick(now)
	require.Equal(t, "a c", a.Entries())
	a.tickUntil(now, now+MajorityPermissionTime)
	require.False(t, a.MayAct(now+MajorityPermissionTime), "a successor may find the entry named in the row")
	a.EntriesStored(a.Entries())
	now += MajorityPermissionTime
	a.Confirmed(now, now)
	a.tickUntil(now, now+MajorityPermissionTime-time.Millisecond)
	require.True(t, a.MayAct(now+MajorityPermissionTime-time.Millisecond), "an entry that does not come back was removed")
	require.Equal(t, permissionUndisputed, a.permission.state)
}

// Guards against runs that end in an outage of the table service because one of three
// entries is lost meanwhile.
func TestOwnerWithTheMajorityActsForLongerAfterItLostAnEntry(t *testing.T) {
	a, now := newLinkedOwner(t)
	a.Confirmed(now, now)
	a.PeerDown("b", now)
	last := now + MajorityPermissionTime - time.Millisecond
	a.tickUntil(now, last)
	require.True(t, a.MayAct(last))
	a.PeerDown("c", last)
	require.False(t, a.MayAct(last))
}

// Guards against an owner that acts on a permission which ran out while its host was
// suspended, so that its monotonic clock did not go on, or while its process was
// stopped: it acts after a write, or when each entry was linked anew.
func TestOwnerThatWasSuspendedConfirmsItsRowBeforeItActs(t *testing.T) {
	for name, suspend := range map[string]func(*Core, *time.Duration){
		"host":    func(a *Core, now *time.Duration) { a.Suspended(time.Second, *now) },
		"process": func(a *Core, now *time.Duration) { *now += 3 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			a, now := newLinkedOwner(t)
			a.Confirmed(now, now)
			suspend(a, &now)
			require.False(t, a.MayAct(now), "asked before the first tick")
			a.Confirmed(now-time.Millisecond, now)
			require.False(t, a.MayAct(now), "the write was sent before the suspension")
			a.PeerUp("b", 0)
			require.False(t, a.MayAct(now))
			a.PeerUp("c", 0)
			require.True(t, a.MayAct(now), "nobody has replaced it")

			suspend(a, &now)
			require.False(t, a.MayAct(now))
			require.True(t, a.ConfirmationDue() || name == "host")
			a.Confirmed(now, now+time.Millisecond)
			require.True(t, a.MayAct(now))
		})
	}
}

// Guards against an entry that begins as an owner and acts although another one has
// replaced it: its process or its host did not run while its claim was in flight, or
// right before, so it has not found yet that its links have ended.
func TestEntryThatWasSuspendedBeforeItsClaimWasAnsweredConfirmsItsRow(t *testing.T) {
	for name, suspend := range map[string]func(*Core, *time.Duration){
		"host":    func(a *Core, now *time.Duration) { a.Suspended(time.Second, *now) },
		"process": func(a *Core, now *time.Duration) { *now += 5 * time.Second },
	} {
		for _, inFlight := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				r, now := &ownerRow{}, time.Duration(0)
				a := New("a", 1, 0, 0)
				a.PeerUp("b", 0)
				a.PeerUp("c", 0)
				a.Tick(now + time.Millisecond)
				now += 500 * time.Millisecond
				if !inFlight {
					suspend(a, &now)
				}
				claim := r.takeClaim(t, a, &now)
				if inFlight {
					suspend(a, &now)
				}
				require.True(t, a.Claimed(claim, table.Committed, 1, now))
				require.False(t, a.MayAct(now))
				require.True(t, a.ConfirmationDue() || now-a.claimSentAt < confirmInterval)
				a.Confirmed(now, now+time.Millisecond)
				require.True(t, a.MayAct(now+time.Millisecond))
			})
		}
	}
}

// Guards against an owner that rewrites its row without need because its process did
// not run for a while, long before it claimed the jobs.
func TestSuspensionLongBeforeTheClaimIsForgotten(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	a := New("a", 1, 0, 0)
	a.PeerUp("b", 0)
	a.Tick(now + time.Millisecond)
	now += 5 * time.Second
	a.Tick(now)
	a.tickUntil(now, now+3*time.Second)
	now += 3 * time.Second
	r.advance(&now, time.Second, a)
	require.True(t, a.Owns())
	require.False(t, a.ConfirmationDue())
}

// Guards against hosts that wait for a former owner which has ended or knows its
// successor, and against ones that do not wait for one that may be active.
func TestFormerOwnersActUntilTheyStop(t *testing.T) {
	for name, c := range map[string]struct {
		entry       string
		boot, epoch uint64 // epoch: 0 is that of the former owner
		unsettled   bool
		stopped     bool
	}{
		"unaware":             {"f", 7, 1, false, false},
		"another entry":       {"b", 8, 2, false, false},
		"aware":               {"f", 7, 2, false, true},
		"another process":     {"f", 8, 0, false, true},
		"an owner before too": {"f", 8, 0, true, false},
	} {
		r, now := &ownerRow{}, time.Duration(0)
		former, a := New("f", 7, 0, 0), New("a", 1, 0, 0)
		former.EntryKnown("a", now)
		former.EntryKnown("b", now)
		r.advance(&now, 2*time.Second, former)
		r.advance(&now, 3*time.Second, a)
		require.True(t, a.Owns())
		require.Equal(t, a.ownerSince+MajorityPermissionTime, a.FormerOwnersActUntil())
		a.PeerUp("b", 0)
		require.Equal(t, a.ownerSince+MajorityPermissionTime, a.FormerOwnersActUntil(), "b may be linked with the former owner too")
		a.former.Unsettled = c.unsettled
		a.EntryLinked(c.entry, c.boot, c.epoch, now)
		require.Equal(t, c.stopped, a.FormerOwnersActUntil() == now, name)
	}
}

// Guards against a successor that waits for too short a time because the store carries
// out its claim late: the former owner confirms its row after the claim was sent, and
// acts on that. It repeats a write that got no answer, and the answer shows that its row
// is unchanged, so the version that the claim depends on stays.
func TestSuccessorWaitsFromTheCommitOfItsClaim(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	former, a := New("f", 7, 0, 0), New("a", 1, 0, 0)
	a.PeerUp("b", 0)
	r.advance(&now, 2*time.Second, former)
	require.True(t, former.Owns())
	former.EntryKnown("a", now)
	claim := r.takeClaim(t, a, &now)
	sentAt := now

	committedAt := sentAt + 900*time.Millisecond
	former.tickUntil(sentAt, committedAt-time.Millisecond)
	former.Confirmed(committedAt-time.Millisecond, committedAt-time.Millisecond)
	former.tickUntil(committedAt, committedAt+PermissionTime-2*time.Millisecond)
	last := committedAt + PermissionTime - 2*time.Millisecond
	require.True(t, former.MayAct(last))

	r.owner, r.version = claim, r.version+1
	require.True(t, a.Claimed(claim, table.Committed, r.version, committedAt))
	require.GreaterOrEqual(t, a.FormerOwnersActUntil(), last)
	require.Equal(t, sentAt, a.permission.confirmedAt, "its own permission runs from the sending of the claim")
}

// Guards against two owners that act at the same time when the division of the entries
// is not transitive: b is linked with the owner a and with its successor c, so both have
// a majority, and a acts on it for longer than c waited.
func TestSuccessorWaitsForAnOwnerThatSharesItsMajority(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	a, b, c := New("a", 1, 0, 0), New("b", 2, 0, 0), New("c", 3, 0, 0)
	link(a, b, c)
	r.advance(&now, 2*time.Second, a, b, c)
	require.True(t, a.Owns())
	c.OwnerObserved("a", a.Epoch(), now)
	a.Confirmed(now, now)
	a.PeerDown("c", now)
	c.PeerDown("a", now)
	for end := now + 30*time.Second; now < end; now += 50 * time.Millisecond {
		a.Tick(now) // cut off from the table service too
		c.Tick(now)
		r.apply(c, now)
		if c.Owns() && now > c.FormerOwnersActUntil() {
			require.False(t, a.MayAct(now))
		}
	}
	require.True(t, c.Owns())
}

// Guards against two owners that act at the same time after the entries have been cut
// into two groups, in any way: the time that the former one acts after its claim was
// replaced is at most the time for which the successor waits.
func TestSuccessorWaitsForAsLongAsItsPredecessorActs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 9).Draw(t, "entries")
		withOwner := rapid.IntRange(1, entries-1).Draw(t, "entries on the owner's side")
		r, now := &ownerRow{}, time.Duration(0)
		var cores []*Core
		for i := range entries {
			cores = append(cores, New(string(rune('a'+i)), uint64(i)+1, 0, 0))
		}
		link(cores...)
		r.advance(&now, 2*time.Second, cores...)
		require.True(t, cores[0].Owns())
		for _, c := range cores[1:] {
			c.OwnerObserved("a", cores[0].Epoch(), now)
		}
		cores[0].Confirmed(now, now)
		cut := now
		side := func(i int) bool { return i < withOwner }
		noticed := rapid.IntRange(0, 24).Draw(t, "delay until links end")
		for step := range 40 * 20 {
			if step == noticed {
				for i, c := range cores {
					for k, peer := range cores {
						if side(i) != side(k) {
							c.PeerDown(peer.self, now)
						}
					}
				}
			}
			for i, c := range cores {
				c.Tick(now)
				if !side(i) {
					r.apply(c, now)
				}
				if c.Owns() && i > 0 {
					for k, peer := range cores {
						if !side(k) && peer != c {
							peer.OwnerObserved(c.self, c.Epoch(), now)
						}
					}
				}
			}
			for _, c := range cores[withOwner:] {
				if c.Owns() && now > c.FormerOwnersActUntil() {
					require.False(t, cores[0].MayAct(now), "%v after the cut", now-cut)
				}
			}
			now += 50 * time.Millisecond
		}
	})
}

// Guards against an owner that acts beside its successor because its host was suspended
// for longer than an entry that it does not know waits: its clock does not show for how
// long, and each entry that it knows is linked anew.
func TestOwnerWhoseHostWasSuspendedForLongActsOnlyAfterAWrite(t *testing.T) {
	a, now := newLinkedOwner(t)
	a.Suspended(10*time.Minute, now)
	a.PeerDown("b", now)
	a.PeerDown("c", now)
	a.PeerUp("b", 0)
	a.PeerUp("c", 0)
	require.False(t, a.MayAct(now+time.Millisecond))
	a.Confirmed(now+time.Millisecond, now+2*time.Millisecond)
	require.True(t, a.MayAct(now+2*time.Millisecond))
}
