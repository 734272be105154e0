package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against hosts for which the owner waits anew when the former owner, which acts
// no more for long, is linked: the time until which it may have acted became later.
func TestFormerOwnerThatIsLinkedLateDoesNotProlongTheWait(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	former, a := New("f", 7, 0, 0), New("a", 1, 0, 0)
	former.EntryKnown("a", now)
	former.EntryKnown("b", now)
	r.advance(&now, 2*time.Second, former)
	r.advance(&now, 3*time.Second, a)
	require.True(t, a.Owns())
	until := a.FormerOwnersActUntil()
	r.advance(&now, 30*time.Second, a)
	require.Greater(t, now, until)
	a.EntryLinked("f", 8, 0, now)
	require.LessOrEqual(t, a.FormerOwnersActUntil(), until, "it is linked at %v", now)
}
