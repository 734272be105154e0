package jobdaemon

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a task that runs twice at the same time because a former owner
// that does not know that it was replaced starts tasks of a new job beside its
// successor, for any order of acceptances by entries with different knowledge,
// repeated submissions, claims, releases, deliveries, and owners and entries of a
// former program.
func TestTaskDoesNotRunTwiceBesideAnActiveFormerOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t)
		s.replaceAtRandom(t)
		owner := func(t *rapid.T) *siteOwner { return rapid.SampledFrom(s.owners).Draw(t, "owner") }
		host := func(t *rapid.T) *testHost { return rapid.SampledFrom(s.hosts).Draw(t, "host") }
		job := func(t *rapid.T) workload.JobID {
			return rapid.SampledFrom([]workload.JobID{"j0", "j1"}).Draw(t, "job")
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				known := rapid.Uint64Range(0, s.row.Epoch).Draw(t, "known epoch")
				s.submit(owner(t), s.accept(job(t), known, 1))
			},
			"replace": func(t *rapid.T) {
				if len(s.owners) == 4 {
					t.Skip("enough owners")
				}
				s.replaceAtRandom(t)
			},
			"store": func(t *rapid.T) {
				s.store(s.owners[len(s.owners)-1], rapid.IntRange(0, 3).Draw(t, "release") == 0)
			},
			"load":             func(t *rapid.T) { s.load(owner(t)) },
			"watch":            func(t *rapid.T) { s.watch(owner(t), job(t)) },
			"learn":            func(t *rapid.T) { s.learn(owner(t)) },
			"link":             func(t *rapid.T) { s.link(owner(t), host(t)) },
			"exchange":         func(t *rapid.T) { s.exchange(owner(t), host(t)) },
			"deliver to agent": func(t *rapid.T) { s.deliverToAgent(owner(t), host(t)) },
			"deliver to owner": func(t *rapid.T) { s.deliverToOwner(owner(t), host(t)) },
			"": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "prompt") {
					s.exchangeAll()
				}
				if task, twice := s.runningTwice(); twice {
					t.Fatalf("task %+v runs twice", task)
				}
			},
		})
	})
}

// newJobWait returns how long a job waits that is accepted right after its owner
// was replaced, while one of two hosts is silent and the former owner may be
// active. epoch is what the entry knew.
func newJobWait(t *testing.T, formerProgram bool, epoch uint64) time.Duration {
	const step = 50 * time.Millisecond
	s := newSite(t)
	s.load(s.replace(formerProgram))
	o := s.replace(false)
	s.load(o)
	h := s.hosts[0] // the other one is silent
	s.link(o, h)
	s.exchange(o, h)
	s.submit(o, s.accept("j1", epoch, 1))
	for now := time.Duration(0); ; now += step {
		s.exchange(o, h)
		if len(h.running) > 0 {
			return now
		}
		require.Less(t, now, ownership.MajorityPermissionTime+2*jobs.LeaseExpiry, "the job was not started")
		o.jobs.Advance(now+step, 0)
		o.jobs.Tick()
		s.collect(o)
	}
}

// Guards against new jobs that wait for a silent host after a change of owner,
// although no former owner starts them. The stated target for urgent work is
// 1.4 s. Jobs that a former owner may have started wait for the leases.
func TestNewJobsStartAtOnceWhileAHostIsSilent(t *testing.T) {
	const urgentStart = 1400 * time.Millisecond
	const claimed, former = 2, 1 // epochs
	accepted := newJobWait(t, false, claimed)
	t.Logf("accepted under the owner: %v; under the former owner: %v", accepted, newJobWait(t, false, former))
	require.Less(t, accepted, urgentStart)
	require.GreaterOrEqual(t, newJobWait(t, false, former), jobs.LeaseDuration)
	require.GreaterOrEqual(t, newJobWait(t, true, claimed), jobs.LeaseDuration, "a former program does not look at epochs")
}

// Guards against a former owner that starts a job of its successor, in whichever
// way it learns of the job, and against one that goes on although the job's epoch
// shows that it was replaced.
func TestFormerOwnerStartsNoJobOfItsSuccessor(t *testing.T) {
	const current, outdated, unknown = 2, 1, 0 // epochs that the entry knows
	for name, c := range map[string]struct {
		deliver func(s *site, former *siteOwner)
		goesOn  bool
	}{
		"submission":                               {func(s *site, o *siteOwner) { s.submit(o, s.accept("j1", current, 1)) }, false},
		"repeated at an entry that knows less":     {func(s *site, o *siteOwner) { s.submit(o, s.accept("j1", outdated, 1)) }, false},
		"repeated at an entry of a former program": {func(s *site, o *siteOwner) { s.submit(o, s.accept("j1", unknown, 1)) }, true},
		"watch": {func(s *site, o *siteOwner) { s.watch(o, "j1") }, false},
		"load": {func(s *site, o *siteOwner) {
			o.loading = true
			s.load(o)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, former, owner := successorSite(t)
			s.submit(owner, s.accept("j1", current, 1))
			c.deliver(s, former)
			s.exchangeAll()
			require.Len(t, s.hosts[1].running, 1, "the owner starts the job at once")
			require.Empty(t, s.hosts[0].running)
			require.Equal(t, c.goesOn, former.jobs != nil)
		})
	}
}

// Guards against new jobs that wait for a silent host because they were accepted
// before their owner had read the stored jobs.
func TestJobsAcceptedBeforeTheLoadStartAtOnce(t *testing.T) {
	s, _, _ := successorSite(t)
	owner := s.replace(false)
	s.accept("j1", owner.epoch, 1)
	s.accept("j2", owner.epoch-1, 1)
	s.load(owner)
	s.link(owner, s.hosts[1])
	s.exchange(owner, s.hosts[1])
	require.Len(t, s.hosts[1].running, 1)
	for r := range s.hosts[1].running {
		require.Equal(t, workload.JobID("j1"), r.Task.Job, "the former owners may have started the other one")
	}
}

// Guards against an owner whose row says that no former owner starts its jobs
// while one of a former program may be active, and against one whose row does not
// say so later.
func TestOwnersRowSaysWhenFormerOwnersAreFenced(t *testing.T) {
	s := newSite(t)
	s.load(s.replace(true))
	o := s.replace(false)
	s.load(o)
	s.store(o, false)
	require.False(t, s.row.Fenced)
	require.True(t, s.row.Unsettled)
	for _, h := range s.hosts {
		s.link(o, h)
		s.exchange(o, h)
	}
	s.store(o, false)
	require.True(t, s.row.Unsettled, "an agent that is started again may obey a former owner")
	o.jobs.Advance(o.owner.FormerOwnersActUntil(), 0)
	s.store(o, false)
	require.True(t, s.row.Fenced)
	require.False(t, s.row.Unsettled)
}

// rowTable is a table service that holds the rows of jobs.
type rowTable struct {
	Store
	rows map[string]table.Row
}

func (r *rowTable) Commit(_ context.Context, txn table.Txn) (table.Revision, error) {
	key := txn.Puts[0].Key
	if row, exists := r.rows[key]; exists {
		return 0, &table.ConflictError{Keys: []string{key}, Rows: []table.Row{row}}
	}
	r.rows[key] = table.Row{Key: key, Version: 1, Value: txn.Puts[0].Value}
	return 1, nil
}

// Guards against rows without the epoch that the accepting entry knew, and against
// a repeated submission whose message has another epoch than the row: the former
// owner would start a job that its successor starts as well.
func TestMessageOfASubmissionHasTheEpochOfTheRow(t *testing.T) {
	const id = "00000000000000a1"
	g := actor.NewGroup(t.Context(), nil)
	defer g.Stop()
	var forwarded []workload.Job
	controllerStub := actor.Spawn(g, actor.Spec[any]{Name: "controller", Mailbox: 1, Run: func(ctx context.Context, in <-chan any) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case m := <-in:
				switch m := m.(type) {
				case *admissionRequest:
					m.reply.Put(admitted)
				case *jobStored:
					forwarded = append(forwarded, m.job)
					m.applied.Put(true)
				}
			}
		}
	}})
	store := &rowTable{rows: map[string]table.Row{}}
	submit := func(known uint64) {
		h := newTestHandler(nil, noPeer)
		h.metrics = newEntryMetrics(metrics.Start(g))
		h.controller.storeProxy.store = store
		h.controller.address, h.controller.published = controllerStub, &published{}
		h.controller.published.epoch.Set(&known)
		j := workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCPU: 100, MemoryMB: 1}, Estimate: time.Second}}}
		require.NoError(t, h.Submit(t.Context(), workload.Queue{Name: "q", Service: "desk", TargetSlowdown: 2}, j))
	}
	submit(7)
	row, err := wire.DecodeJob(store.rows[jobKey(id)].Value)
	require.NoError(t, err)
	require.EqualValues(t, 7, row.Epoch)
	submit(6)
	submit(8)
	store.rows[jobKey(id)] = table.Row{Key: jobKey(id), Version: 1, Value: []byte{0xff}}
	submit(8)
	var epochs []uint64
	for _, j := range forwarded {
		epochs = append(epochs, j.Epoch)
	}
	require.Equal(t, []uint64{7, 7, 7, 0}, epochs)
}
