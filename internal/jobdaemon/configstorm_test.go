package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against configurations that use up the network connections of small
// entries: each entry sent each version whole to all others, links were counted
// as silent, and an entry refused a request with 404 that a version from 4.2 s
// before allowed (nilegate-permits-grown, scale-2).
func TestLargeConfigurationsInAStormAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newConfigSite(t)
		defer s.stop()
		before := s.peerBytes()
		start := time.Now()
		longest := s.storm()
		t.Logf("longest time until a version was in force everywhere: %v", longest)
		require.LessOrEqual(t, longest, inForceTimeout)
		for i, n := range s.peerBytes() {
			require.LessOrEqual(t, float64(n-before[i]), time.Since(start).Seconds()*controlRate, "bytes that %s received from peers", s.entries[i].controller.self.Name)
		}
		require.True(t, s.allLinked())
	})
}

// Guards against reading a large configuration again and again while it does not
// change: with a read every 3 s it took 90 KB/s.
func TestUnchangedConfigurationIsReadWithinTheControlRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newConfigSite(t)
		defer s.stop()
		s.table.put(2)
		time.Sleep(30 * time.Second) // the first reads come sooner, as few entries are linked
		before := s.tableBytes()
		const duration = 2 * time.Minute
		time.Sleep(duration)
		for i, n := range s.tableBytes() {
			require.LessOrEqual(t, float64(n-before[i]), duration.Seconds()*controlRate, s.entries[i].controller.self.Name)
		}
	})
}

// Guards against entries that all request a version from the only one that has
// it, again and again while its connection is full of the first answers.
func TestOneEntryThatReadsTheTableServiceServesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newConfigSite(t)
		defer s.stop()
		for _, e := range s.entries[:len(s.entries)-1] {
			e.client.cut.Set(new(true))
		}
		time.Sleep(2 * time.Second) // the watches in progress fail
		before := s.peerBytes()
		start := time.Now()
		s.table.put(2)
		for !s.inForce(2) && time.Since(start) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("time until the version was in force everywhere: %v", time.Since(start))
		require.LessOrEqual(t, time.Since(start), inForceTimeout)
		time.Sleep(5 * time.Second) // repeated answers that are still on the way
		total := 0
		for i, n := range s.peerBytes() {
			total += n - before[i]
		}
		t.Logf("configurations sent: %.1f", float64(total)/configBytes)
		require.Less(t, total, 2*len(s.entries)*configBytes)
	})
}

// Guards against entries that do not receive a new version while they are cut
// off from the table service, and against peers that send each version to them
// more than once.
func TestEntriesCutOffFromTheTableServiceReceiveConfigurationsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newConfigSite(t)
		defer s.stop()
		const cut = 5 // about a third of the entries, all of them with small links
		for _, e := range s.entries[len(s.entries)-cut:] {
			e.client.cut.Set(new(true))
		}
		time.Sleep(2 * time.Second) // the watches in progress fail
		before := s.peerBytes()
		longest := s.storm()
		t.Logf("longest time until a version was in force everywhere: %v", longest)
		require.LessOrEqual(t, longest, inForceTimeout)
		for i, n := range s.peerBytes() {
			received := n - before[i]
			if i < len(s.entries)-cut {
				require.Less(t, received, configBytes)
			} else {
				require.Less(t, received, (stormVersions+1)*configBytes)
			}
		}
	})
}
