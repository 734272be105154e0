package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// grownConfigBytes are the sizes of a configuration that grows by 1,400 queues
// four times. The last one is larger than the 1 MB that the table service returns
// in one call if there is more than one row.
var grownConfigBytes = []int{317_769, 587_970, 858_170, 1_128_612}

// inForceAfter puts a version and returns the time until it is in force at every
// entry, at most limit.
func (s *configSite) inForceAfter(version uint64, content []byte, limit time.Duration) time.Duration {
	s.table.putContent(version, content)
	start := time.Now()
	for !s.inForce(version) && time.Since(start) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against time limits that a larger configuration passes: reads of 1.1 MB
// over 10 Mbit/s ended by their limit and started again from the first byte, beside
// whole copies from peers. Small entries never got the version, and their links
// ended as silent.
func TestConfigurationsOfAnySizeAreInForceInTimeOverSmallConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newConfigSite(t)
		defer s.stop()
		lost := s.lostLinks.Get()
		for i, size := range grownConfigBytes {
			// The phase of the watches differs between the versions.
			time.Sleep(8*time.Second + time.Duration(i)*170*time.Millisecond)
			took := s.inForceAfter(uint64(10+i), queueList(size), 4*inForceTimeout)
			t.Logf("%d bytes in force everywhere after %v", size, took)
			require.LessOrEqual(t, took, inForceTimeout, "%d bytes", size)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, lost, s.lostLinks.Get(), "links that ended")
	})
}

// Guards against copies of a whole version on small connections, from the table
// service or from peers: one of 1.1 MB kept heartbeats away for a second.
func TestSmallConnectionsReceiveOnlyCompressedConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newConfigSite(t)
		defer s.stop()
		content := queueList(858_170)
		time.Sleep(2 * time.Second)
		peers, tables := s.peerBytes(), s.tableBytes()
		for version := uint64(10); version < 15; version++ {
			require.LessOrEqual(t, s.inForceAfter(version, content, inForceTimeout), inForceTimeout)
			time.Sleep(2 * time.Second)
		}
		largest := 0
		newPeers, newTables := s.peerBytes(), s.tableBytes()
		for i := range s.entries[fastEntries:] {
			n := fastEntries + i
			largest = max(largest, newPeers[n]-peers[n]+newTables[n]-tables[n])
		}
		t.Logf("bytes received for a version: %d", largest/5)
		require.Less(t, largest/5, len(content)/2)
	})
}

// Guards against entries that rely on others to watch the table service after it
// has turned these away: a version that is written at this moment is in force in
// time.
func TestEntriesWatchTheTableServiceWhenItTurnsTheWatchersAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newConfigSite(t)
		defer s.stop()
		for i := range 5 {
			time.Sleep(5*time.Second + time.Duration(i)*170*time.Millisecond)
			for _, e := range s.entries[:fastEntries] {
				e.client.cut.Set(new(true))
			}
			took := s.inForceAfter(uint64(10+i), queueList(587_970), 4*inForceTimeout)
			t.Logf("in force everywhere after %v", took)
			require.LessOrEqual(t, took, inForceTimeout)
			for _, e := range s.entries[:fastEntries] {
				e.client.cut.Set(new(false))
			}
		}
	})
}
