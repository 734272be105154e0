package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/table"
)

// newEchoingOwner returns an owner a whose links with b and c echo heartbeats, and the
// time.
func newEchoingOwner(t *testing.T) (*Core, time.Duration) {
	a, now := newLinkedOwner(t)
	for _, peer := range []string{"b", "c"} {
		a.EntryEchoes(peer, true)
		a.Echoed(peer, now, now)
	}
	require.True(t, a.MayAct(now))
	return a, now
}

// Guards against an owner that acts because heartbeats of an entry arrive late: that
// entry has ended the link, and claimed the jobs, long before.
func TestEntryWithoutAFreshEchoCountsAsMissing(t *testing.T) {
	a, now := newEchoingOwner(t)
	a.Confirmed(now, now)
	confirmedAt := now
	for end := now + 10*time.Second; now < end; now += 300 * time.Millisecond {
		a.Tick(now)
		a.Echoed("b", now, now)
		a.Echoed("c", now, now)
		require.True(t, a.MayAct(now))
		require.Equal(t, now-confirmedAt >= UndisputedConfirmInterval, a.ConfirmationDue(), "an owner that all entries see writes no more than it must")
		if a.ConfirmationDue() {
			a.Confirmed(now, now)
			confirmedAt = now
		}
	}
	last := a.echoes["c"]
	require.Less(t, last+echoTime, a.permission.confirmedAt+MajorityPermissionTime)
	for ; now < last+echoTime; now += 300 * time.Millisecond {
		a.Tick(now)
		a.Echoed("b", last-time.Second, now)
		a.Echoed("c", last-time.Second, now)
		require.True(t, a.MayAct(now))
		require.Empty(t, a.permission.missing)
	}
	require.False(t, a.MayAct(last+echoTime), "the last write is old, and the majority is missing")
	require.True(t, a.ConfirmationDue())
	a.Confirmed(now, now)
	require.True(t, a.MayAct(now))
	a.Echoed("b", now, now)
	a.Echoed("c", now, now)
	require.True(t, a.MayAct(now))
	require.Equal(t, permissionUndisputed, a.permission.state)
}

// Guards against an owner that stops for a moment when an entry is lost: it confirms its
// row while the echoes grow old.
func TestOwnerConfirmsItsRowBeforeAnEntryCountsAsMissing(t *testing.T) {
	a, now := newEchoingOwner(t)
	start := now
	for ; now < start+10*time.Second; now += 50 * time.Millisecond {
		a.Tick(now)
		a.Echoed("b", now, now)
		require.True(t, a.MayAct(now))
		if a.ConfirmationDue() {
			a.Confirmed(now, now)
		}
	}
}

// Guards against an owner that lets the wait for the former one end early: an entry
// counts once it has echoed a heartbeat that was sent after the claim, and half of the
// entries that the former row names have to.
func TestHalfOfTheEntriesKnowTheSuccessorOnceTheyHaveEchoed(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	former, a := New("f", 7, 0, 0), New("a", 1, 0, 0)
	for _, name := range []string{"a", "b", "c", "d"} {
		former.EntryKnown(name, now)
	}
	r.advance(&now, 2*time.Second, former)
	for _, peer := range []string{"b", "c", "d"} {
		a.PeerUp(peer, 0)
	}
	a.EntryEchoes("b", true)
	a.EntryEchoes("c", true)
	a.EntryKnown("f", now)
	a.Tick(now)
	claim := r.takeClaim(t, a, &now)
	sentAt := now
	now += 800 * time.Millisecond
	require.True(t, a.Claimed(claim, table.Committed, 9, now))
	long := now + MajorityPermissionTime
	require.False(t, a.Echoed("b", sentAt, now))
	require.False(t, a.Echoed("c", now-time.Millisecond, now))
	require.False(t, a.Echoed("d", now, now), "of a former program")
	require.Equal(t, long, a.FormerOwnersActUntil())
	require.False(t, a.Echoed("b", now, now+time.Millisecond), "two of five")
	require.Equal(t, long, a.FormerOwnersActUntil())
	now += 300 * time.Millisecond
	require.True(t, a.Echoed("c", now-time.Millisecond, now))
	require.Equal(t, now+PermissionTime, a.FormerOwnersActUntil())
}
