package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/wire"
)

const (
	changeInterval = 4 * time.Second // between two changes of the owner, less than a lease
	entryDown      = 500 * time.Millisecond
)

// stopInOrder lets an entry release the jobs, and ends it.
func (s *ownerSite) stopInOrder(name string) {
	released := actor.NewReply[bool]()
	require.NoError(s.t, s.entries[name].controller.address.Send(s.t.Context(), &retireRequest{released}))
	_, err := released.Get(s.t.Context())
	require.NoError(s.t, err)
	s.advance(100 * time.Millisecond) // its peers receive the last messages
	s.kill(name)
}

// replaceOwners ends the owner of the jobs at each changeInterval, and starts its entry
// again, until one of the backend servers runs a task. It returns how long that took, and
// for how long no entry owned the jobs meanwhile.
func (s *ownerSite) replaceOwners(stop func(name string), backends []*memoryBackend, bound time.Duration) (took, gaps time.Duration) {
	const step = 20 * time.Millisecond
	shares := map[string]model.MilliCPU{"entry-0": 800, "entry-1": 400, "entry-2": 190}
	began := time.Now()
	due, down, downSince := changeInterval, "", time.Duration(0)
	for len(backends[0].running())+len(backends[1].running()) == 0 {
		took = time.Since(began)
		require.Less(s.t, took, bound+gaps, "the task does not run again; no entry owned the jobs for %v", gaps)
		owners := s.owners()
		switch {
		case down != "" && took-downSince >= entryDown:
			s.start(down, shares[down])
			down = ""
		case took >= due && len(owners) == 1:
			due, down, downSince = due+changeInterval, owners[0], took
			stop(down)
		}
		if len(owners) == 0 {
			gaps += step
		}
		s.advance(step)
	}
	return time.Since(began), gaps
}

// Guards against owners that follow one another and each count the leases of a silent host
// from their own beginning, so that its tasks start only some time after the last change.
func TestTasksOfARemovedHostDoNotWaitForTheLastChangeOfTheOwner(t *testing.T) {
	for name, stop := range map[string]func(*ownerSite) func(string){
		"planned": func(s *ownerSite) func(string) { return s.stopInOrder },
		"killed":  func(s *ownerSite) func(string) { return s.kill },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newOwnerSite(t, 800, 400, 190)
				defer s.stop()
				backends, agents := s.newRestartableBackends(3)
				s.submitLongRunning(1)
				require.Len(t, backends[0].running(), 1)
				agents[0].Cancel()
				took, gaps := s.replaceOwners(stop(s), backends[1:], restartBound)
				t.Logf("the task runs again after %v, of which %v without an owner", took, gaps)
			})
		})
	}
}

// awaitAdoption lets the time pass until the owner has accepted an inventory of agent-0.
func (s *ownerSite) awaitAdoption(owner string, backends []*memoryBackend) {
	for {
		s.requireSingleRuns(backends, 5*time.Millisecond)
		for _, e := range s.entries[owner].logged(event.TaskHostChanged.ID) {
			if e["host"] == "agent-0" && e["detail"] == "taken" {
				return
			}
		}
	}
}

// newReturnedHost starts the agent of a host again that has been away for so long that the
// owner's row names it, and waits until the owner has accepted its inventory. Writes of the
// owner take a while.
func newReturnedHost(t *testing.T) (*ownerSite, []*memoryBackend, *actor.Group) {
	s := newOwnerSite(t, 800, 400, 190)
	backends, agents := s.newRestartableBackends(3)
	s.submitLongRunning(1)
	require.Len(t, backends[0].running(), 1)
	agents[0].Cancel()
	s.requireSingleRuns(backends, 3*time.Second)
	s.entries["entry-0"].store.late.Set(new(300 * time.Millisecond))
	s.entries["entry-0"].logged(0)
	agent := s.startAgent(0, backends[0])
	s.awaitAdoption("entry-0", backends)
	return s, backends, agent
}

// Guards against a second run of a task whose host comes back while the owner's row says
// that no owner extends leases there, also if the owner ends right after it has accepted
// the inventory.
func TestRunOfAHostThatComesBackIsAdopted(t *testing.T) {
	for _, killed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, backends, agent := newReturnedHost(t)
			defer s.stop()
			if killed {
				s.kill("entry-0")
				agent.Cancel()
				s.requireSingleRuns(backends, time.Second)
				s.startAgent(0, backends[0])
			}
			s.requireSingleRuns(backends, 30*time.Second)
			require.Len(t, backends[0].running(), 1)
			require.Zero(t, backends[0].lastEnd, "the run goes on")
		})
	}
}

// Guards against a task that runs twice at a time because an owner extended the leases of a
// host whose earlier end its row had, and ended before the row was rewritten.
func TestSuccessorKnowsOfLeasesThatWereExtendedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, backends, _ := newReturnedHost(t)
		defer s.stop()
		s.kill("entry-0")
		s.net.CutBoth("agent-0", "entry-1")
		s.net.CutBoth("agent-0", "entry-2")
		s.requireSingleRuns(backends, 20*time.Second)
		require.Len(t, append(backends[1].running(), backends[2].running()...), 1)
	})
}

// survivedOutage is the longest outage of the table service that runs outlive.
const survivedOutage = 7 * time.Second

// Guards against runs that end in an outage of the table service because a host was silent
// for a short time meanwhile: the owner can't take back what a write in flight says.
func TestRunOfAHostThatIsSilentDuringAnOutageGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends, _ := s.newRestartableBackends(2)
		s.submitLongRunning(1)
		require.Len(t, backends[0].running(), 1)
		s.advance(10 * time.Second) // the owner writes nothing
		entries := []string{"entry-0", "entry-1", "entry-2"}
		for _, e := range s.entries {
			e.store.cut.Set(new(true))
		}
		for _, e := range entries {
			s.net.CutBoth("agent-0", e)
		}
		s.requireSingleRuns(backends, 3*time.Second)
		for _, e := range entries {
			s.net.HealBoth("agent-0", e)
		}
		s.requireSingleRuns(backends, survivedOutage-3*time.Second)
		for _, e := range s.entries {
			e.store.cut.Set(new(false))
		}
		s.requireSingleRuns(backends, 30*time.Second)
		require.Len(t, backends[0].running(), 1)
		require.Zero(t, backends[0].lastEnd, "the run goes on")
	})
}

// Guards against an entry that is stopped while it reads the jobs and releases them without
// what its predecessor has stored about silent hosts.
func TestReleaseOfUnreadJobsKeepsTheTimesOfSilentHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800)
		defer s.stop()
		c := s.entries["entry-0"].controller
		c.loading = true
		c.writer.owner.EndingLeases = "agent-0:4000"
		s.stopInOrder("entry-0")
		row, err := s.store.Read(t.Context(), ownerKey)
		require.NoError(t, err)
		owner, err := wire.DecodeOwner(row.Value)
		require.NoError(t, err)
		require.Empty(t, owner.Name)
		require.Equal(t, "agent-0:4000", owner.EndingLeases)
	})
}
