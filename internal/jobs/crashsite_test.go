package jobs

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	siteTick    = 20 * time.Millisecond
	restartTime = 3 * time.Second // of a backend server that has crashed
	storeTime   = 20 * time.Millisecond
	reportEvery = 500 * time.Millisecond
)

// crashSite drives a Core as the entry does, beside backend servers on which some
// tasks crash.
type crashSite struct {
	t     testing.TB
	core  *Core
	now   time.Duration
	hosts []*crashHost
	specs map[workload.JobID]workload.Job
	rows  map[workload.JobID]workload.Progress // the stored progress
	// crashAfter is the time from the start of a task to the crash of its backend
	// server; 0: the task crashes none.
	crashAfter func(workload.TaskID) time.Duration

	storeDown   bool
	failBatches int           // number of the next batches that are not stored
	batch       *Batch        // being written
	batchDone   time.Duration // when it is stored

	starts  map[workload.TaskID]int
	crashes map[workload.TaskID]int // of backend servers under a task that crashes them
	lost    int                     // runs of other tasks that were lost with their host
	ended   int                     // runs of other tasks that ended as done
	phases  map[workload.JobID]workload.Phase
	// failures are the reasons that callers see.
	failures map[workload.JobID]string
	decided  []Decision
}

// crashHost is a host of a crashSite.
type crashHost struct {
	info    workload.Host
	runs    map[workload.RunID]*siteRun
	downAt  time.Duration // when it crashed; 0: it is up
	endings uint64        // number of the last reported end
}

type siteRun struct {
	endsAt, crashesAt time.Duration // 0: never
}

func newCrashSite(t testing.TB, hosts int, crashAfter func(workload.TaskID) time.Duration) *crashSite {
	s := &crashSite{
		t: t, core: New(1, 0), crashAfter: crashAfter, specs: map[workload.JobID]workload.Job{}, rows: map[workload.JobID]workload.Progress{},
		starts: map[workload.TaskID]int{}, crashes: map[workload.TaskID]int{}, phases: map[workload.JobID]workload.Phase{},
		failures: map[workload.JobID]string{},
	}
	s.core.Recover(FormerOwnersEnded)
	for i := range hosts {
		h := &crashHost{info: readyHost(fmt.Sprintf("h%02d", i), 32_000), runs: map[workload.RunID]*siteRun{}}
		h.info.Capacity.MemoryMB = 1 << 20
		s.hosts = append(s.hosts, h)
		s.core.Linked(h.info)
	}
	return s
}

func (s *crashSite) submit(spec workload.Job) {
	s.specs[spec.ID] = spec
	s.core.Submit(spec)
}

// run advances the time by d.
func (s *crashSite) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += siteTick
		s.core.Advance(s.now, s.now.Milliseconds())
		s.core.Tick()
		for _, h := range s.hosts {
			s.advanceHost(h)
		}
		s.store()
		s.exchange()
	}
}

// exchange plans, and answers the messages to the agents until there are none.
func (s *crashSite) exchange() {
	for {
		s.core.Plan()
		messages := s.core.Messages()
		for _, m := range messages {
			s.receive(m)
		}
		for _, p := range s.core.Phases() {
			s.phases[p.ID], s.failures[p.ID] = p.Phase, p.Failure
		}
		s.decided = append(s.decided, s.core.Decisions()...)
		if len(messages) == 0 {
			return
		}
	}
}

func (s *crashSite) host(name workload.HostName) *crashHost {
	for _, h := range s.hosts {
		if h.info.Name == name {
			return h
		}
	}
	return nil
}

// receive applies a message to an agent.
func (s *crashSite) receive(m HostMessage) {
	h := s.host(m.Host)
	switch m := m.Message.(type) {
	case *msg.OwnerClaim:
		s.sendInventory(h)
	case *msg.StartRuns:
		if h.downAt != 0 || m.StartedAtMS != h.info.StartedAtMS {
			return
		}
		var started []workload.RunID
		for _, r := range m.Starts {
			s.start(h, r.Size.Run)
			started = append(started, r.Size.Run)
		}
		s.report(h, &msg.RunsChanged{Started: started})
	case *msg.StopRuns:
		for _, id := range m.Runs {
			if _, ok := h.runs[id]; ok {
				s.end(h, id, workload.EndStopped)
			}
		}
	}
}

func (s *crashSite) start(h *crashHost, id workload.RunID) {
	s.starts[id.Task]++
	r := &siteRun{}
	spec := s.specs[id.Task.Job].Steps[id.Task.Step]
	if !spec.LongRunning {
		r.endsAt = s.now + spec.Estimate
	}
	if d := s.crashAfter(id.Task); d > 0 {
		r.crashesAt = s.now + d
	}
	h.runs[id] = r
}

func (s *crashSite) report(h *crashHost, m *msg.RunsChanged) {
	m.Epoch, m.Instance, m.StartedAtMS = s.core.Epoch(), h.info.Instance, h.info.StartedAtMS
	s.core.RunsChanged(h.info.Name, m)
}

func (s *crashSite) end(h *crashHost, id workload.RunID, reason workload.EndReason) {
	delete(h.runs, id)
	h.endings++
	s.report(h, &msg.RunsChanged{Ended: []msg.RunEnd{{Number: h.endings, Run: id, Reason: reason}}})
}

func (s *crashSite) sendInventory(h *crashHost) {
	m := &msg.HostInventory{Epoch: s.core.Epoch(), Host: h.info}
	for _, id := range h.sortedRuns() {
		m.Runs = append(m.Runs, msg.RunStatus{Run: id})
	}
	s.core.Inventory(m)
}

func (h *crashHost) sortedRuns() []workload.RunID {
	var ids []workload.RunID
	for id := range h.runs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return runIDLess(ids[i], ids[k]) })
	return ids
}

// advanceHost applies the ends, crashes and restarts that are due.
func (s *crashSite) advanceHost(h *crashHost) {
	if h.downAt != 0 {
		if s.now-h.downAt >= restartTime {
			h.downAt, h.endings = 0, 0
			h.info.StartedAtMS, h.info.State, h.info.Crashed = s.now.Milliseconds(), workload.HostReady, false
			s.core.Announced(h.info)
			s.sendInventory(h)
		}
		return
	}
	for _, id := range h.sortedRuns() {
		r := h.runs[id]
		switch {
		case r.crashesAt != 0 && s.now >= r.crashesAt:
			s.crashes[id.Task]++
			s.crash(h)
			return
		case r.endsAt != 0 && s.now >= r.endsAt:
			s.ended++
			s.end(h, id, workload.EndDone)
		}
	}
	if s.now%reportEvery == 0 {
		m := &msg.RunsProgress{Epoch: s.core.Epoch(), Instance: h.info.Instance, StartedAtMS: h.info.StartedAtMS}
		for _, id := range h.sortedRuns() {
			m.Runs = append(m.Runs, msg.RunStatus{Run: id, CPULimitPercent: 100})
		}
		s.core.RunsProgress(h.info.Name, m)
	}
}

// crash ends the backend server of a host with all its runs.
func (s *crashSite) crash(h *crashHost) {
	for id := range h.runs {
		if s.crashAfter(id.Task) == 0 {
			s.lost++
		}
	}
	clear(h.runs)
	h.downAt = s.now
	h.info.State, h.info.Crashed = workload.HostUnavailable, true
	s.core.Announced(h.info)
	s.sendInventory(h)
}

// store writes the batches of the core.
func (s *crashSite) store() {
	s.core.hostsStored(hostNames(s.hosts))
	if s.batch != nil {
		if s.now < s.batchDone {
			return
		}
		s.endBatch()
	}
	if pending, _ := s.core.Pending(); pending && !s.storeDown {
		s.batch, s.batchDone = s.core.NextBatch(), s.now+storeTime
	}
}

// endBatch stores the batch that is being written, unless it is to fail.
func (s *crashSite) endBatch() {
	batch := s.batch
	s.batch = nil
	if s.failBatches > 0 {
		s.failBatches--
		s.core.BatchFailed()
		return
	}
	for _, w := range batch.Writes {
		s.rows[w.Job] = w.Progress
	}
	s.core.BatchCommitted()
}

// hostOf returns the host on which a task runs.
func (s *crashSite) hostOf(id workload.TaskID) *crashHost {
	return s.host(s.core.task(id).runs[0].host.info.Name)
}

func hostNames(hosts []*crashHost) []workload.HostName {
	var names []workload.HostName
	for _, h := range hosts {
		names = append(names, h.info.Name)
	}
	return names
}

// replaceOwner starts a new owner, which knows what is stored and what the agents
// list. A batch that is being written is lost.
func (s *crashSite) replaceOwner() {
	s.batch = nil
	s.core = New(s.core.Epoch()+1, s.now)
	s.core.Advance(s.now, s.now.Milliseconds())
	for id, spec := range s.specs {
		var progress *workload.Progress
		if p, ok := s.rows[id]; ok {
			progress = &p
		}
		s.core.Restore(spec, progress)
	}
	for _, h := range s.hosts {
		s.core.Linked(h.info)
	}
	s.core.Recover(FormerOwnersEnded)
}

// shortJob returns a job of count tasks of a second each.
func shortJob(id string, count int) workload.Job {
	return newSpec(id, newStep(count, 1000))
}

// load submits jobs of short tasks that crash nothing, one in each interval, for d.
func (s *crashSite) load(d, interval time.Duration, tasks int) {
	for end := s.now + d; s.now < end; {
		s.submit(shortJob(fmt.Sprintf("short-%06d", s.now.Milliseconds()), tasks))
		s.run(interval)
	}
}

// requireShortJobsUnharmed checks that no job whose tasks crash nothing has failed.
func (s *crashSite) requireShortJobsUnharmed(bad ...string) {
	isBad := map[workload.JobID]bool{}
	for _, id := range bad {
		isBad[workload.JobID(id)] = true
	}
	for id, p := range s.phases {
		if !isBad[id] {
			require.NotEqual(s.t, workload.Failed, p, "job %s crashes nothing", id)
		}
	}
}
