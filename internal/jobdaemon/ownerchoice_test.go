package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against jobs whose owner has a small processor share while the host of
// another entry has a large one, at the start and after the end of the owner: the
// announced shares reach the decision.
func TestEntryOnTheLargestHostOwnsTheJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190, 800, 400)
		defer s.stop()
		require.Equal(t, []string{"entry-1"}, s.owners())
		s.kill("entry-1")
		s.advance(time.Second)
		require.Equal(t, []string{"entry-2"}, s.owners())
	})
}

// Guards against jobs without an owner while entries of a former program, which
// announce no processor share, run beside those of this program.
func TestEntriesThatAnnounceNoShareOwnTheJobsToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 0, 0, 190)
		defer s.stop()
		require.Equal(t, []string{"entry-2"}, s.owners())
		s.kill("entry-2")
		s.advance(time.Second)
		require.Equal(t, []string{"entry-0"}, s.owners())
	})
}

// setStepCost sets how long each step of the loop of an entry takes while it plans
// the jobs.
func (s *ownerSite) setStepCost(name string, d time.Duration) { s.entries[name].stepCost.Set(&d) }

// storeTestJob stores testJob, as an entry that is not linked to the owner does.
func (s *ownerSite) storeTestJob() {
	value, err := wire.EncodeJob(&workload.Job{ID: testJob, Queue: "q", Service: "desk", MaxAttempts: 1, Steps: []workload.Step{
		{Count: 1, Need: workload.Resources{MilliCPU: 100, MemoryMB: 1}, Estimate: time.Second},
	}})
	require.NoError(s.t, err)
	_, err = s.store.Commit(s.t.Context(), table.Txn{Puts: []table.Put{{Key: jobKey(testJob), Value: value}}})
	require.NoError(s.t, err)
}

const slowStep = 400 * time.Millisecond // of the loop of an owner that is behind

// transferBound is the stated bound of the time from the first late step until a
// successor owns the jobs: half the lease of runs.
const transferBound = jobs.LeaseDuration / 2

// Guards against an overload that sustains itself: an owner on a small host that
// falls behind keeps the jobs, because its heartbeats go on, while an entry on a
// larger host has joined later. Its jobs must be known to the successor, and the
// jobs must not come back.
func TestOwnerThatIsBehindHandsOverToALargerHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190)
		defer s.stop()
		s.start("entry-1", 800)
		s.advance(10 * time.Second)
		require.Equal(t, []string{"entry-0"}, s.owners(), "a transfer without need only costs time")

		s.storeTestJob()
		s.advance(5 * time.Second)
		s.setStepCost("entry-0", slowStep)
		s.advance(transferBound)
		require.Equal(t, []string{"entry-1"}, s.owners())
		successor := s.entries["entry-1"].view.Get()
		require.True(t, successor.managesTestJob)
		require.False(t, successor.formerOwnerEnded, "the former owner is slow and does not end")
		require.True(t, successor.formerOwnersFenced, "jobs that are accepted after the claim start at once")
		handed := s.entries["entry-0"].logged(event.OwnerHandsOver.ID)
		require.Len(t, handed, 1)
		require.Equal(t, "entry-1", handed[0]["successor"])

		s.setStepCost("entry-1", slowStep)
		s.advance(time.Minute)
		require.Equal(t, []string{"entry-1"}, s.owners(), "no larger host is linked")
		require.EqualValues(t, 2, s.entries["entry-1"].view.Get().epoch)
	})
}

// Guards against a transfer of the jobs that completes only after the leases of
// runs have expired, or hardly before: the steps of an owner that did not keep up
// took 0.3 to 0.5 s.
func TestTransferLeavesTheSuccessorTimeBeforeLeasesExpire(t *testing.T) {
	for step, bound := range map[time.Duration]time.Duration{
		slowStep: transferBound, 500 * time.Millisecond: transferBound, 700 * time.Millisecond: transferBound, time.Second: jobs.LeaseDuration * 2 / 3,
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newOwnerSite(t, 190)
			defer s.stop()
			s.start("entry-1", 800)
			s.advance(5 * time.Second)
			s.setStepCost("entry-0", step)
			began := time.Now()
			for len(s.owners()) != 1 || s.owners()[0] != "entry-1" {
				s.advance(10 * time.Millisecond)
				require.Less(t, time.Since(began), bound, "steps of %v", step)
			}
			t.Logf("steps of %v: the successor owns the jobs after %v", step, time.Since(began))
		})
	}
}

// Guards against jobs whose owner is replaced because one step took long, as after
// a suspension of its process.
func TestOwnerWithOneLongStepKeepsTheJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190)
		defer s.stop()
		s.start("entry-1", 800)
		s.advance(5 * time.Second)
		s.setStepCost("entry-0", 5*time.Second)
		s.advance(100 * time.Millisecond)
		s.setStepCost("entry-0", 0)
		s.advance(time.Minute)
		require.Equal(t, []string{"entry-0"}, s.owners())
		require.EqualValues(t, 1, s.entries["entry-0"].view.Get().epoch)
	})
}

// Guards against jobs without an owner if the successor cannot claim them, and
// against an entry that claims them back before others could.
func TestJobsReturnIfNoOtherEntryClaimsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190)
		defer s.stop()
		s.start("entry-1", 800)
		s.advance(5 * time.Second)
		require.NoError(t, s.entries["entry-1"].controller.address.Send(t.Context(), &retireRequest{actor.NewReply[bool]()}))
		s.setStepCost("entry-0", slowStep)
		s.advance(transferBound)
		require.Empty(t, s.owners())
		s.setStepCost("entry-0", 0)
		s.advance(transferBound)
		require.Equal(t, []string{"entry-0"}, s.owners())
		require.EqualValues(t, 2, s.entries["entry-0"].view.Get().epoch)
	})
}

// Guards against an owner that plans no more because it waits for the table service
// to store the release: runs and starts go on while the service is down.
func TestOwnerPlansUntilTheTableServiceStoresTheRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 190)
		defer s.stop()
		s.start("entry-1", 800)
		s.advance(5 * time.Second)
		require.NoError(t, s.store.SetFaults(t.Context(), standin.StoreFaults{Outage: true}))
		s.setStepCost("entry-0", slowStep)
		s.advance(ownership.MajorityPermissionTime - slowStep - time.Second) // its last write may be a second old
		require.Equal(t, []string{"entry-0"}, s.owners())
		require.True(t, s.entries["entry-0"].view.Get().handingOver)
		require.True(t, s.entries["entry-0"].view.Get().plans)
		s.advance(10 * time.Second)
		require.Equal(t, []string{"entry-0"}, s.owners())
		require.True(t, s.entries["entry-0"].view.Get().handingOver)
		require.False(t, s.entries["entry-0"].view.Get().plans, "an entry that it does not know may have replaced it")

		require.NoError(t, s.store.SetFaults(t.Context(), standin.StoreFaults{WritesPerSecond: -1, ReadsPerSecond: -1}))
		s.advance(20 * time.Second) // the pauses of the repeated release, and late steps
		require.Equal(t, []string{"entry-1"}, s.owners())
	})
}

// Guards against bounds of lateness that leave a successor no time before leases
// expire, and against an owner whose links end before its lag counts.
func TestBoundsOfLatenessFitLeasesAndLinks(t *testing.T) {
	require.LessOrEqual(t, ownership.BehindTime, jobs.LeaseDuration/4)
	require.LessOrEqual(t, ownership.MaxLag, linkTiming.Silence/4)
	require.GreaterOrEqual(t, ownership.MaxLag, 4*controllerTick, "the ticks of a loop on time vary")
}

// Guards against jobs without an owner for the rest of the grace period, in which
// leases expire: an entry was stopped while it read the jobs, and its row named it
// until its links ended.
func TestJobsAreReleasedWhileTheyAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400)
		defer s.stop()
		require.Equal(t, []string{"entry-0"}, s.owners())
		c := s.entries["entry-0"].controller
		c.loading = true
		released := actor.NewReply[bool]()
		c.post(t.Context(), &retireRequest{released})
		s.advance(time.Second)
		require.Equal(t, []string{"entry-1"}, s.owners())
		answered, err := released.Get(t.Context())
		require.NoError(t, err)
		require.True(t, answered)
		row, err := s.store.Read(t.Context(), ownerKey)
		require.NoError(t, err)
		owner, err := wire.DecodeOwner(row.Value)
		require.NoError(t, err)
		require.Equal(t, "entry-1", owner.Name)
		require.False(t, owner.Unsettled, "nothing was running before the former owner")
	})
}

// Guards against a row that names a stopping entry until its links end, so that the
// jobs have no owner meanwhile: the entry was stopped while its claim was in flight.
func TestJobsAreReleasedIfTheClaimIsCommittedAfterTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 200)
		defer s.stop()
		const delay = 400 * time.Millisecond // of each call
		require.NoError(t, s.store.SetFaults(t.Context(), standin.StoreFaults{DelayMs: delay.Milliseconds(), WritesPerSecond: -1, ReadsPerSecond: -1}))
		s.kill("entry-0")
		s.advance(300*time.Millisecond + delay + delay/2) // the row is read, and the claim is in flight
		require.Empty(t, s.owners())
		c := s.entries["entry-1"].controller
		c.post(t.Context(), &retireRequest{actor.NewReply[bool]()})
		s.advance(3 * time.Second) // the release, the read and the claim of another entry
		require.Equal(t, []string{"entry-2"}, s.owners())
	})
}
