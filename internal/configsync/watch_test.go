package configsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against entries that all leave the watch to each other, against more
// watches of small connections than needed, and against an entry that goes on
// relying on one that has failed: whatever the rates, and whichever entries the
// table service turns away, the first three of the others watch in the end.
func TestTheFirstHealthyEntriesWatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "entries")
		cores := map[string]*Core{}
		var names []string
		for i := range n {
			name := fmt.Sprintf("e%d", i)
			names = append(names, name)
			cores[name] = New(name, int64(rapid.IntRange(0, 2).Draw(t, "rate")))
		}
		for _, c := range cores {
			for name, peer := range cores {
				if peer != c {
					c.PeerUp(name, peer.linkRate)
				}
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			healthy := map[string]bool{}
			for _, name := range names {
				healthy[name] = rapid.Bool().Draw(t, "healthy")
			}
			exchangeUntilStable(cores, healthy)
			for name, c := range cores {
				preceding := 0
				for other := range cores {
					if other != name && healthy[other] && c.precedes(other, cores[other].linkRate) {
						preceding++
					}
				}
				require.Equal(t, preceding >= requiredWatchers, c.Follows(), name)
				require.Equal(t, preceding < requiredWatchers && healthy[name], c.Watches(), name)
			}
		}
	})
}

// exchangeUntilStable gives each entry that watches an answer of the table service,
// and announces it to the others, more often than there are entries.
func exchangeUntilStable(cores map[string]*Core, healthy map[string]bool) {
	for range 2*len(cores) + 2 {
		for name, c := range cores {
			c.TableAnswered(healthy[name], 0)
		}
		for name, c := range cores {
			for _, peer := range cores {
				if peer != c {
					peer.Announced(name, 1, c.Watches(), 0)
				}
			}
		}
	}
}

// Guards against an entry that does not read the table service and waits for its
// own read.
func TestFollowerRequestsWithoutWaitingForItsOwnRead(t *testing.T) {
	c := New("e9", 10)
	for i := range requiredWatchers {
		name := fmt.Sprintf("e%d", i)
		c.PeerUp(name, 200)
		c.Announced(name, 1, true, 0)
	}
	c.Installed(1, 0)
	require.True(t, c.Follows())
	c.Announced("e0", 2, true, 0)
	c.Tick(gatherTime)
	require.Len(t, c.Requests(), 1)
	c.PeerDown("e1", gatherTime)
	require.False(t, c.Follows())
	require.False(t, c.Watches(), "it has not read the table service yet")
}
