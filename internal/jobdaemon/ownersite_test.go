package jobdaemon

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// watchedTable is a simulated table service with watches and the rows of failed
// checks.
type watchedTable struct{ *standin.Table }

func (s watchedTable) Commit(ctx context.Context, t table.Txn) (table.Revision, error) {
	revision, err := s.Table.Commit(ctx, t)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		for _, key := range conflict.Keys {
			if row, err := s.Read(ctx, key); err == nil {
				conflict.Rows = append(conflict.Rows, row)
			}
		}
	}
	return revision, err
}

const watchInterval = 20 * time.Millisecond // of the simulated table service

func (s watchedTable) Watch(ctx context.Context, prefix string, after table.Revision, wait time.Duration) ([]table.Row, table.Revision, error) {
	for end := time.Now().Add(wait); ; {
		rows, revision, err := s.Scan(ctx, prefix, after)
		if err != nil || len(rows) > 0 || time.Now().After(end) {
			return rows, revision, err
		}
		if !actor.Sleep(ctx, watchInterval) {
			return nil, 0, ctx.Err()
		}
	}
}

// ownerSite consists of linked entries that use one table service and may own the
// jobs.
type ownerSite struct {
	t       *testing.T
	group   *actor.Group
	net     *link.Memory
	store   watchedTable
	entries map[string]*ownerSiteEntry
	boots   uint64   // entries that were started
	seeds   []string // of the entries that are started
}

type ownerSiteEntry struct {
	controller *controller // only its address may be used outside its loop
	group      *actor.Group
	store      *cuttableStore
	listener   link.Listener
	view       actor.Value[ownerView]
	events     chan *log.Entry
	stepCost   actor.Value[time.Duration] // of a step of the loop while the entry plans the jobs; nil: 0
}

// ownerView is the state of an entry after a step of its loop.
type ownerView struct {
	owns, handingOver, plans, formerOwnerEnded, formerOwnersFenced bool
	epoch                                                          uint64
	managesTestJob                                                 bool // the entry owns the jobs, and testJob is one of them
}

const testJob workload.JobID = "job-0"

// publishView copies the state of the controller for the test.
func (e *ownerSiteEntry) publishView() {
	c := e.controller
	v := ownerView{
		owns: c.jobs != nil, handingOver: c.owner.HandingOver(), plans: c.plans(), formerOwnerEnded: c.owner.FormerOwnerEnded(),
		formerOwnersFenced: c.owner.FormerOwnersFenced(), epoch: c.owner.Epoch(),
	}
	if v.owns {
		_, v.managesTestJob = c.jobs.Phase(testJob)
	}
	e.view.Set(&v)
}

// HandleLog implements log.Handler.
func (e *ownerSiteEntry) HandleLog(entry *log.Entry) error {
	e.events <- entry
	return nil
}

// logged returns the fields of the entries of an event since the last call, and
// discards all others.
func (e *ownerSiteEntry) logged(event int) []log.Fields {
	var list []log.Fields
	for len(e.events) > 0 {
		if entry := <-e.events; entry.Fields["event"] == event {
			list = append(list, entry.Fields)
		}
	}
	return list
}

// newOwnerSite starts one entry for each share, with the names entry-0, entry-1
// and so on, and waits until one of them owns the jobs.
func newOwnerSite(t *testing.T, shares ...model.MilliCPU) *ownerSite {
	s := &ownerSite{t: t, group: actor.NewGroup(t.Context(), nil), net: link.NewMemory(t.Context(), 1), entries: map[string]*ownerSiteEntry{}, seeds: []string{"entry-0"}}
	s.store = watchedTable{standin.NewTable(s.group, standin.StoreFaults{WritesPerSecond: -1, ReadsPerSecond: -1})}
	s.net.SetDelay(link.Any, link.Any, time.Millisecond, 0)
	for i, share := range shares {
		s.start(fmt.Sprintf("entry-%d", i), share)
	}
	s.advance(5 * time.Second)
	return s
}

func (s *ownerSite) stop() {
	for _, e := range s.entries {
		e.group.Stop()
	}
	s.net.Close()
	s.group.Stop()
}

// start starts an entry.
func (s *ownerSite) start(name string, share model.MilliCPU) {
	s.boots++
	e := &ownerSiteEntry{group: actor.NewGroup(s.t.Context(), nil), store: &cuttableStore{Store: s.store, group: s.group}, events: make(chan *log.Entry, 10_000)}
	s.entries[name] = e
	cfg := EntryConfig{
		Name: name, Links: name, Seeds: s.seeds, Boot: s.boots, ProcessorShare: share, Store: e.store,
		Config: ConfigSource{Key: "op//config", Prefix: "op//"},
		Log:    &log.Logger{Handler: e, Level: log.DebugLevel},
	}
	e.controller = newController(e.group, cfg, newEntryMetrics(metrics.Start(e.group)), &actor.Value[workload.Config]{})
	listener, err := s.net.Listen(name)
	require.NoError(s.t, err)
	e.listener = listener
	loop := e.controller.loop()
	flush := loop.Flush
	loop.Flush = func() {
		flush()
		e.publishView()
		if cost := e.stepCost.Get(); cost != nil && e.controller.plans() {
			time.Sleep(*cost)
		}
	}
	e.controller.start(loop, e.group.Sub(), cfg, listener, s.net.Dialer(name))
}

// advance lets the time pass.
func (s *ownerSite) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// owners returns the names of the entries that own the jobs.
func (s *ownerSite) owners() []string {
	var list []string
	for name, e := range s.entries {
		if e.view.Get().owns {
			list = append(list, name)
		}
	}
	return list
}

// kill ends an entry without a release of the jobs.
func (s *ownerSite) kill(name string) {
	s.entries[name].group.Stop()
	require.NoError(s.t, s.entries[name].listener.Close())
	delete(s.entries, name)
}

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
