package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against an entry that replaces an owner which has not heard of it, and waits for
// less time than that owner acts, because it misses nobody, or for more.
func TestEntryThatTheOwnerDoesNotKnowWaitsForAsLongAsItActs(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	former := New("f", 7, 0, now)
	former.EntryKnown("k", now)
	r.advance(&now, 2*time.Second, former)
	require.Equal(t, "f k", r.owner.Entries)
	a, known := New("a", 1, 0, now), New("k", 1, 0, now)
	link(a, known)
	r.advance(&now, 3*time.Second, a, known)
	require.True(t, known.Owns(), "an entry that the owner knows claims first")
	require.Equal(t, "f k", r.owner.Entries, "the former owner may be active")
	require.Equal(t, known.ownerSince+PermissionTime, known.FormerOwnersActUntil(), "the former owner has one of two entries")
	require.Contains(t, known.unlinked, "f")

	a.PeerDown("k", now)
	known.PeerUp("f", 0) // and again, so that it misses nobody
	lastWrite := now
	known.Confirmed(lastWrite, now)
	r.advance(&now, 3*time.Second, a)
	require.True(t, a.Owns())
	require.Equal(t, a.ownerSince+4*time.Second, a.FormerOwnersActUntil())
	known.tickUntil(lastWrite, lastWrite+MajorityPermissionTime)
	require.False(t, known.MayAct(lastWrite+MajorityPermissionTime))
	require.Equal(t, "f k", r.owner.Entries)
	require.Contains(t, a.permission.missing, "f")
}

// Guards against two majorities without an entry in common: the owner counts the entries
// that its row names, and those of a write that is in flight.
func TestMajorityIsOfTheEntriesThatTheRowNames(t *testing.T) {
	a, now := newLinkedOwner(t)
	a.EntriesStored("a b c")
	for _, joined := range []string{"d", "e", "g"} {
		a.PeerUp(joined, 0)
	}
	a.PeerDown("b", now)
	require.True(t, a.hasMajority())
	a.PeerDown("c", now)
	require.False(t, a.hasMajority(), "the others may join a successor's majority of a, b and c")
	a.EntriesSent("a b c d e g")
	require.False(t, a.hasMajority())
	a.EntriesStored("a b c d e g")
	require.True(t, a.hasMajority())
	a.EntriesSent("a b c h i")
	a.EntriesSent("a b c d e g")
	require.False(t, a.hasMajority(), "either write may have taken effect")
}

// Guards against an owner that acts for longer than its successor waits because it took
// over from an owner of a former program, whose row names no entries: its own row names
// none either until the recovery is complete.
func TestOwnerWhoseRowNamesNoEntriesActsForAsLongAsItsSuccessorWaits(t *testing.T) {
	r, now := &ownerRow{owner: workload.Owner{Name: "f", Boot: 9, Epoch: 3}, version: 1}, time.Duration(0)
	a, unknown := New("a", 1, 0, now), New("u", 2, 0, now)
	a.PeerUp("b", 0)
	r.advance(&now, 3*time.Second, a)
	require.True(t, a.Owns())
	require.Empty(t, r.owner.Entries)
	a.PeerUp("f", 0)
	require.True(t, a.MayAct(now))

	for !unknown.Owns() || now <= unknown.FormerOwnersActUntil() {
		a.Tick(now) // cut off from the table service
		r.advance(&now, 50*time.Millisecond, unknown)
	}
	require.False(t, a.MayAct(now))
}
