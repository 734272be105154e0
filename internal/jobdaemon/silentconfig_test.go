package jobdaemon

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/table"
)

// storeConfig stores a version of the configuration.
func (s *ownerSite) storeConfig(version int) {
	put := table.Put{Key: testConfigKey, Value: []byte(strconv.Itoa(version))}
	_, err := s.store.Commit(s.t.Context(), table.Txn{Puts: []table.Put{put}})
	require.NoError(s.t, err)
}

// configInUse reports whether all entries use a version of the configuration.
func (s *ownerSite) configInUse(version uint64) bool {
	for _, e := range s.entries {
		if c := e.config.Get(); c == nil || c.Version != version {
			return false
		}
	}
	return true
}

// Guards against entries that all use a former configuration for too long, because the
// connections to the table service on which they wait for changes have gone silent at the
// same time, and the next ones as well.
func TestSilentEntriesUseANewConfigurationInTime(t *testing.T) {
	const phases = 8
	longest := time.Duration(0)
	for phase := range phases {
		synctest.Test(t, func(t *testing.T) {
			s := newOwnerSite(t, 800, 400, 190)
			defer s.stop()
			s.storeConfig(1)
			s.advance(5*time.Second + time.Duration(phase)*configWait/phases)
			require.True(t, s.configInUse(1))
			silence := func() {
				for _, e := range s.entries {
					e.store.silence()
				}
			}
			silence()
			s.advance(configWait + configTimeout + configRetryInterval - 10*time.Millisecond)
			silence() // a second time, while the first is dealt with
			s.storeConfig(2)
			began := time.Now()
			for !s.configInUse(2) {
				require.LessOrEqual(t, time.Since(began), configApplyBound-margin)
				s.advance(10 * time.Millisecond)
			}
			longest = max(longest, time.Since(began))
		})
	}
	t.Logf("the configuration is in use after %v at the latest", longest)
}
