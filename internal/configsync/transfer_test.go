package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testChunk(version uint64, index, count int) Chunk {
	return Chunk{version, index, count, fmt.Appendf(nil, "%d/%d", version, index)}
}

// behindTwoPeers returns an entry that does not read the table service and has
// requested version 7 of e2 or e3, and the peer that it asked.
func behindTwoPeers(t require.TestingT) (*Core, string) {
	c := New("e1", 0)
	c.TableAnswered(false, 0)
	c.Announced("e2", 7, false, 0)
	c.Announced("e3", 7, false, 0)
	c.Tick(gatherTime)
	requests := c.Requests()
	require.Len(t, requests, 1)
	return c, requests[0].Peer
}

// Guards against a transfer that starts again from its first byte when the link to
// its peer ends: with many ends of links a large version never arrived.
func TestTransferContinuesAtAnotherPeer(t *testing.T) {
	c, first := behindTwoPeers(t)
	require.Nil(t, c.Received(testChunk(7, 0, 3), 200*ms))
	require.Equal(t, []Request{{Peer: first, Version: 7, Index: 1}}, c.Requests())
	c.PeerDown(first, 300*ms)
	next := c.Requests()
	require.Len(t, next, 1)
	require.NotEqual(t, first, next[0].Peer)
	require.Equal(t, Request{Peer: next[0].Peer, Version: 7, Index: 1}, next[0])
	require.Nil(t, c.Received(testChunk(7, 1, 3), 400*ms))
	require.Len(t, c.Received(testChunk(7, 2, 3), 500*ms), 3)
	c.Requests()
	c.Tick(600 * ms)
	require.Empty(t, c.Requests(), "the installer has the configuration")
}

// Guards against a timeout that a larger configuration passes, however slowly its
// chunks follow each other, and against repeated requests beside a transfer.
func TestTimeoutOfATransferDoesNotDependOnItsSize(t *testing.T) {
	c, peer := behindTwoPeers(t)
	now := gatherTime
	const count = 60
	for i := range count {
		now += answerTimeout - ms
		c.Tick(now)
		require.Empty(t, c.Requests())
		chunks := c.Received(testChunk(7, i, count), now)
		if i == count-1 {
			require.Len(t, chunks, count)
			return
		}
		require.Equal(t, []Request{{Peer: peer, Version: 7, Index: i + 1}}, c.Requests())
	}
}

// Guards against a peer that stops in the middle of a transfer: the rest is
// requested from the other one within the timeout of one chunk.
func TestSilentPeerInATransferIsReplaced(t *testing.T) {
	c, first := behindTwoPeers(t)
	c.Received(testChunk(7, 0, 2), 200*ms)
	c.Requests()
	c.Tick(200*ms + answerTimeout)
	next := c.Requests()
	require.Len(t, next, 1)
	require.NotEqual(t, first, next[0].Peer)
	require.Equal(t, 1, next[0].Index)
}

// Guards against a configuration that is made of chunks of different versions, or
// that lacks one, when answers are lost, late, repeated or invalid and peers
// replace their version.
func TestTransferredConfigurationsAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, _ := behindTwoPeers(t)
		counts := map[uint64]int{7: 3, 8: 1, 9: 4}
		now := gatherTime
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += 50 * ms
			if rapid.IntRange(0, 3).Draw(t, "event") == 0 {
				c.Tick(now)
				continue
			}
			version := rapid.Uint64Range(7, 9).Draw(t, "version")
			count := counts[version]
			chunk := testChunk(version, rapid.IntRange(-1, count).Draw(t, "index"), count)
			if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
				chunk.Count = rapid.SampledFrom([]int{-1, 0, 1 << 30}).Draw(t, "count")
			}
			chunks := c.Received(chunk, now)
			if chunks == nil {
				continue
			}
			require.Len(t, chunks, count)
			for i := range chunks {
				require.Equal(t, testChunk(version, i, count).Data, chunks[i])
			}
			c.Installed(version, now)
		}
	})
}

// Guards against an entry that waits for an installer that has not accepted the
// configuration.
func TestConfigurationThatIsNotInstalledIsRequestedAgain(t *testing.T) {
	c, _ := behindTwoPeers(t)
	require.Len(t, c.Received(testChunk(7, 0, 1), 200*ms), 1)
	c.Requests()
	c.Tick(200*ms + installTimeout - time.Millisecond)
	require.Empty(t, c.Requests())
	c.Tick(200*ms + installTimeout)
	require.Len(t, c.Requests(), 1)
}
