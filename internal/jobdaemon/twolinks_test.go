package jobdaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against a host that the owner takes for unlinked for good: its agent has two
// links, since the address of a seed is not the one that the entry announces, and the
// newer ends. The agent does not dial while one is up.
func TestOwnerClaimsAHostOnTheLinkThatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800)
		defer s.stop()
		require.Equal(t, []string{"entry-0"}, s.owners())
		c := s.entries["entry-0"].controller
		const older, newer linkID = 1 << 40, 1<<40 + 1
		claims := map[linkID]*actor.Counter{older: {}, newer: {}}
		for _, id := range []linkID{older, newer} {
			out := actor.Spawn(s.group, actor.Spec[msg.Control]{Name: "link", Mailbox: 64, Run: func(ctx context.Context, in <-chan msg.Control) error {
				for {
					select {
					case m := <-in:
						if _, ok := m.(*msg.OwnerClaim); ok {
							claims[id].Next()
						}
					case <-ctx.Done():
						return nil
					}
				}
			}})
			c.post(t.Context(), &linkUp{id, &msg.PeerHello{Member: msg.Member{Name: "agent"}, Agent: true, Boot: 1}, out})
			s.advance(200 * time.Millisecond)
		}
		before := claims[older].Next()
		c.post(t.Context(), &linkDown{newer, nil})
		s.advance(2 * time.Second)
		require.Greater(t, claims[older].Next(), before+1, "the host is claimed on the older link")
	})
}
