package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against requests for a version that the entry's own read delivers in
// time: they would double the bytes of each version.
func TestNoRequestWhileTheTableServiceDelivers(t *testing.T) {
	c := New("e1", 0)
	now := time.Duration(0)
	for v := uint64(1); v < 20; v++ {
		c.Announced("e2", v, false, now)
		now += 400 * ms
		c.Tick(now)
		c.Installed(v, now)
	}
	// The entry lags behind, but each version arrives within the patience.
	c.Announced("e2", 100, false, now)
	for v := uint64(20); v < 40; v++ {
		now += 400 * ms
		c.Tick(now)
		c.Installed(v, now)
	}
	require.Empty(t, c.Requests())
}

// Guards against an entry that is cut off from the table service and waits for
// its own read, or for a peer that does not answer or is lost.
func TestRequestsGoToOnePeerAfterAnother(t *testing.T) {
	c := New("e1", 0)
	c.TableAnswered(false, 0)
	c.Announced("e2", 7, false, 0)
	c.Announced("e3", 7, false, 50*ms)
	c.Announced("e4", 6, false, 60*ms)
	c.Tick(99 * ms)
	require.Empty(t, c.Requests())
	c.Tick(100 * ms)
	first := c.Requests()
	require.Len(t, first, 1)
	c.Tick(900 * ms)
	second := c.Requests()
	require.Len(t, second, 1)
	require.ElementsMatch(t, []string{"e2", "e3"}, []string{first[0].Peer, second[0].Peer})
	c.PeerDown(second[0].Peer, 950*ms)
	third := c.Requests()
	require.Equal(t, []Request{{Peer: first[0].Peer}}, third)
	c.Installed(7, 1000*ms)
	c.Tick(5000 * ms)
	require.Empty(t, c.Requests())
}

// Guards against a request that waits for the patience although the read of the
// table service has failed.
func TestFailedReadLeadsToARequest(t *testing.T) {
	c := New("e1", 0)
	c.Announced("e2", 7, false, 0)
	c.TableAnswered(false, 100*ms)
	c.Tick(200 * ms)
	require.Len(t, c.Requests(), 1)
}

// Guards against all entries that are cut off requesting from the same peer.
func TestEntriesRequestFromDifferentPeers(t *testing.T) {
	asked := map[string]int{}
	const entries = 12
	for i := range entries {
		c := New(fmt.Sprintf("entry-%d", i), 0)
		for p := range 6 {
			c.Announced(fmt.Sprintf("peer-%d", p), 7, false, 0)
		}
		c.Tick(tablePatience)
		asked[c.Requests()[0].Peer]++
	}
	require.GreaterOrEqual(t, len(asked), 3)
}

// Guards against a lower version in use than before, against requests while no
// peer uses a higher version, and against an entry that stays behind a peer
// without a request for longer than the version may take.
func TestEntryIsNeverBehindWithoutARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New("e1", 0)
		now := time.Duration(0)
		quietSince := time.Duration(0) // begin of the period without an announcement, an installation or a request
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			peer := fmt.Sprintf("p%d", rapid.IntRange(0, 3).Draw(t, "peer"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				wasBehind := c.behind()
				c.Announced(peer, rapid.Uint64Range(1, 30).Draw(t, "version"), rapid.Bool().Draw(t, "watches"), now)
				if !wasBehind {
					quietSince = now
				}
			case 1:
				have := c.have
				c.Installed(rapid.Uint64Range(1, 30).Draw(t, "version"), now)
				require.GreaterOrEqual(t, c.have, have)
				quietSince = now
			case 2:
				c.PeerDown(peer, now)
			case 5:
				c.PeerUp(peer, rapid.Int64Range(0, 1).Draw(t, "rate"))
			case 3:
				c.TableAnswered(rapid.Bool().Draw(t, "ok"), now)
			case 4:
				now += 50 * ms
				c.Tick(now)
			}
			for _, r := range c.Requests() {
				require.Greater(t, c.peers[r.Peer].version, c.have)
				quietSince = now
			}
			if !c.behind() {
				quietSince = now
			}
			require.LessOrEqual(t, now-quietSince, c.answerTimeout()+gatherTime+50*ms)
		}
	})
}

// Guards against repeated requests that overload a slow connection: each answer
// is the whole configuration and shares the connection with the one before. The
// first repetition still comes in time for the bound of 3 s.
func TestUnansweredRequestsAreRepeatedEverMoreRarely(t *testing.T) {
	c := New("e1", 0)
	c.TableAnswered(false, 0)
	c.Announced("e2", 7, false, 0)
	var sent []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 50 * ms {
		c.Tick(now)
		for range c.Requests() {
			sent = append(sent, now)
		}
	}
	require.LessOrEqual(t, len(sent), 8)
	require.GreaterOrEqual(t, len(sent), 7)
	require.Less(t, tablePatience+answerTimeout+2*answerTimeout, 3*time.Second)
	c.Installed(7, time.Minute)
	c.Announced("e2", 8, false, time.Minute)
	c.Tick(time.Minute + gatherTime)
	c.Tick(time.Minute + gatherTime + answerTimeout)
	require.Len(t, c.Requests(), 2, "an answer ends the slow-down")
}

// Guards against an entry that requests a version without end that it cannot
// decode, for example one of a newer program.
func TestUndecodableVersionIsNotRequestedAgain(t *testing.T) {
	c := New("e1", 0)
	c.TableAnswered(false, 0)
	c.Announced("e2", 7, false, 0)
	c.Tick(gatherTime)
	require.Len(t, c.Requests(), 1)
	c.Undecodable(7, 200*ms)
	c.Tick(time.Minute)
	require.Empty(t, c.Requests())
	c.Announced("e2", 8, false, time.Minute)
	c.Tick(time.Minute + gatherTime)
	require.Len(t, c.Requests(), 1)
}
