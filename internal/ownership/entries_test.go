package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that replaces an owner which has not heard of it: that owner
// misses nobody, and acts without a write for as long as it may.
func TestEntryThatTheOwnerDoesNotKnowWaitsLonger(t *testing.T) {
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
	require.Equal(t, known.ownerSince+MajorityPermissionTime, known.FormerOwnersActUntil())
	require.Contains(t, known.unlinked, "f")

	a.PeerDown("k", now)
	r.advance(&now, 3*time.Second, a)
	require.True(t, a.Owns())
	require.Equal(t, a.ownerSince+UndisputedTime, a.FormerOwnersActUntil())
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
