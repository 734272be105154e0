package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// cancelBound is the time after the acknowledgement of a cancel from which on no task of
// the job starts.
const cancelBound = 3 * time.Second

// cancelSite is a site whose entry-0 owns a job that runs, and whose entry-1 is called to
// cancel it.
type cancelSite struct {
	*ownerSite
	backends []*memoryBackend
}

func newCancelSite(t *testing.T) *cancelSite {
	s := &cancelSite{ownerSite: newOwnerSite(t, 800, 400, 190)}
	s.backends = s.startBackends(1)
	s.submitLongRunning(1)
	require.Equal(t, []string{"entry-0"}, s.owners())
	require.Len(t, s.backends[0].running(), 1)
	return s
}

// cancelJob stores the cancellation of the job at entry-1, which passes it to the owner.
func (s *cancelSite) cancelJob() {
	c := s.entries["entry-1"].controller
	h := &jobHandler{controller: c, log: c.log, metrics: c.metrics}
	require.NoError(s.t, h.Cancel(s.t.Context(), workload.Queue{Name: "q"}, "00000000000000a1"))
}

// requireStopsWithin waits until no task of the job runs. It returns how long that took.
func (s *cancelSite) requireStopsWithin(bound time.Duration) time.Duration {
	began := time.Now()
	for len(s.backends[0].running()) > 0 {
		require.LessOrEqual(s.t, time.Since(began), bound, "a task of the cancelled job runs")
		s.advance(10 * time.Millisecond)
	}
	return time.Since(began)
}

// cutLink makes the link between the owner and entry-1 silent.
func (s *cancelSite) cutLink() { s.net.CutBoth("entry-0", "entry-1") }

// Guards against a cancel that the owner learns of too late from the table service: the
// entry that acknowledged it is gone at once, and the connection on which the owner has
// just asked for changes is silent. The wait of the watch and its timeout were longer
// together than cancelBound.
func TestCancelReachesTheOwnerFromTheTableInTime(t *testing.T) {
	const phases = 24
	longest := time.Duration(0)
	for phase := range phases {
		synctest.Test(t, func(t *testing.T) {
			s := newCancelSite(t)
			defer s.stop()
			s.cutLink()
			s.advance(time.Duration(phase) * (watchWait + watchPause) / phases)
			s.entries["entry-0"].store.silence()
			s.cancelJob()
			s.kill("entry-1")
			longest = max(longest, s.requireStopsWithin(cancelBound-margin))
		})
	}
	t.Logf("the task stops %v after the acknowledgement at the latest", longest)
}

// Guards against a cancel that is sent to an owner which ends: the next one reads the
// jobs from the table service, over connections that have just gone silent.
func TestCancelReachesTheOwnerThatFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCancelSite(t)
		defer s.stop()
		s.cancelJob()
		s.kill("entry-0")
		s.entries["entry-1"].store.silence()
		s.requireStopsWithin(cancelBound - margin)
	})
}

// Guards against a cancel that a slow table service delays beyond cancelBound: each answer
// to the owner takes almost as long as the timeout allows.
func TestCancelReachesTheOwnerFromASlowTableInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCancelSite(t)
		defer s.stop()
		s.cutLink()
		s.entries["entry-0"].store.slow.Set(new(directTimeout - 100*time.Millisecond))
		s.advance(5 * time.Second)
		s.cancelJob()
		s.kill("entry-1")
		s.requireStopsWithin(cancelBound - margin)
	})
}

// Guards against open connections that go silent a second time while the owner deals
// with the first: the time begins anew with the second silence, and no later.
func TestCancelReachesTheOwnerAfterASecondSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCancelSite(t)
		defer s.stop()
		s.cutLink()
		s.entries["entry-0"].store.silence()
		s.cancelJob()
		s.kill("entry-1")
		s.advance(watchWait + directTimeout + watchPause - 50*time.Millisecond)
		s.entries["entry-0"].store.silence()
		s.requireStopsWithin(cancelBound - margin)
	})
}
