package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against runs that end because the table service is down for all processes, for
// up to 7 s from any moment between two writes of the owner, whether all entries are
// linked or one of three was lost.
func TestRunsOutliveAnOutageOfTheTableService(t *testing.T) {
	for outage := 4600 * time.Millisecond; outage <= 7*time.Second; outage += 1200 * time.Millisecond {
		for phase := time.Duration(0); phase < 1200*time.Millisecond; phase += 200 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) { playOutage(t, outage, phase, "") })
			synctest.Test(t, func(t *testing.T) { playOutage(t, outage, phase, "entry-2") })
		}
	}
}

// playOutage checks that no run ends in an outage of the table service, before which an
// entry may be lost.
func playOutage(t *testing.T, outage, phase time.Duration, lost string) {
	s := newOwnerSite(t, 800, 400, 190)
	defer s.stop()
	backends := s.startBackends(3)
	s.submitLongRunning(2)
	if lost != "" {
		s.kill(lost)
	}
	s.advance(2*time.Second + phase)
	s.setOutage(true)
	s.advance(outage)
	s.setOutage(false)
	s.advance(10 * time.Second) // leases that were not extended have expired
	running := 0
	for _, b := range backends {
		running += len(b.running())
		require.Zero(t, b.lastEnd, "outage of %v, phase %v, lost: %q", outage, phase, lost)
	}
	require.Equal(t, 2, running)
}

// setOutage cuts all entries off from the table service, whose calls get no answer.
func (s *ownerSite) setOutage(down bool) {
	for _, e := range s.entries {
		e.store.cut.Set(new(down))
	}
}
