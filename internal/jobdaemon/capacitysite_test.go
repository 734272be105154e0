package jobdaemon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	capacityTick     = 10 * time.Millisecond
	announceInterval = 1500 * time.Millisecond
	// capacityGrace is how long a start may still follow the former capacity of a
	// backend server that has shrunk: the time to be in touch and one announcement.
	capacityGrace = 3*time.Second + announceInterval
	// startTransit is the longest time of a start on its way to the backend server.
	startTransit = 300 * time.Millisecond
)

// capacitySite is an owner of the jobs and the agents of hosts whose backend
// servers change their capacity while they run.
type capacitySite struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	core    *jobs.Core
	link    hostagent.LinkID
	specs   []workload.Job
	rows    map[workload.JobID]workload.Progress
	servers []*capacityServer

	started  map[workload.JobID]time.Duration // when its first task began
	overfull []string                         // starts beyond the capacity after the grace
	refused  int                              // starts that agents refused
}

// capacityServer is a backend server that starts what it is told, and its agent.
type capacityServer struct {
	site     *capacitySite
	agent    *hostagent.Core
	host     workload.Host
	sequence uint64
	shrunkAt time.Duration
	runs     map[workload.RunID]time.Duration // when they end
	ends     []msg.RunEnd
	number   uint64
	calls    []delayedCall
}

type delayedCall struct {
	hostagent.Call
	at time.Duration
}

const capacityTaskCPU = 1000

func newCapacitySite(t *testing.T, seed uint64, hosts int) *capacitySite {
	s := &capacitySite{t: t, random: rand.New(rand.NewPCG(seed, 1)), link: 1, rows: map[workload.JobID]workload.Progress{}, started: map[workload.JobID]time.Duration{}}
	for i := range hosts {
		b := &capacityServer{site: s, runs: map[workload.RunID]time.Duration{}, host: workload.Host{
			Name: workload.HostName(fmt.Sprintf("host-%d", i)), Instance: "i", StartedAtMS: 1, Service: "desk", State: workload.HostReady,
			Capacity: workload.Resources{MilliCPU: 8 * capacityTaskCPU, MemoryMB: 1 << 20},
		}}
		b.agent = hostagent.New(hostagent.Config{Name: b.host.Name, OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1})
		s.servers = append(s.servers, b)
	}
	s.replaceOwner()
	return s
}

// replaceOwner lets a new owner claim the jobs, which knows what is stored.
func (s *capacitySite) replaceOwner() {
	s.link++
	s.core = jobs.New(uint64(s.link), s.now)
	s.core.Advance(s.now, s.now.Milliseconds())
	for _, spec := range s.specs {
		var progress *workload.Progress
		if p, ok := s.rows[spec.ID]; ok {
			progress = &p
		}
		s.core.Restore(spec, progress)
	}
	for _, b := range s.servers {
		s.core.Linked(b.agent.Host())
		s.core.ExpectHost(b.host.Name)
	}
	s.core.Recover(jobs.FormerOwnersEnded)
}

func (s *capacitySite) submit(id string, tasks int) {
	spec := workload.Job{
		ID: workload.JobID(id), Queue: "q", Service: "desk", MaxAttempts: 3, TargetSlowdown: 2, TargetLatency: time.Second,
		Steps: []workload.Step{{Count: tasks, Need: workload.Resources{MilliCPU: capacityTaskCPU, MemoryMB: 1}, Estimate: time.Second}},
	}
	s.specs = append(s.specs, spec)
	s.core.Submit(spec)
}

// run submits a job of one task every interval, and advances the time by d.
func (s *capacitySite) run(d, interval time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += capacityTick
		if interval > 0 && s.now%interval == 0 {
			s.submit(fmt.Sprintf("job-%06d", s.now.Milliseconds()), 1)
		}
		s.core.Advance(s.now, s.now.Milliseconds())
		s.core.Tick()
		for _, b := range s.servers {
			b.advance()
		}
		s.plan()
	}
}

// plan plans, delivers the orders to the agents, and stores what is to be stored.
func (s *capacitySite) plan() {
	s.core.Plan()
	for _, m := range s.core.Messages() {
		i := slices.IndexFunc(s.servers, func(b *capacityServer) bool { return b.host.Name == m.Host })
		s.servers[i].agent.Received(s.link, m.Message)
		s.servers[i].collect()
	}
	if pending, _ := s.core.Pending(); pending {
		for _, w := range s.core.NextBatch().Writes {
			s.rows[w.Job] = w.Progress
		}
		s.core.BatchCommitted()
	}
	s.core.Phases()
	s.core.Decisions()
}

// setCapacity changes the processors of a backend server. Its next announcement
// shows it.
func (b *capacityServer) setCapacity(milliCPU int64) {
	if milliCPU < b.host.Capacity.MilliCPU {
		b.shrunkAt = b.site.now
	}
	b.host.Capacity.MilliCPU = milliCPU
}

func (b *capacityServer) clockMS() int64 { return 1000 + b.site.now.Milliseconds() }

// advance announces the backend server, ends runs, executes the calls that have
// arrived, and answers a poll.
func (b *capacityServer) advance() {
	now := b.site.now
	b.agent.Advance(now)
	if now%announceInterval == capacityTick*time.Duration(1+b.sequenceOffset()) {
		b.sequence++
		b.agent.Announced(runner.Announcement{Host: b.host, Sequence: b.sequence, ClockMS: b.clockMS()})
	}
	for id, end := range b.runs {
		if now >= end {
			b.end(id, workload.EndDone)
		}
	}
	b.execute()
	if now%(50*time.Millisecond) == 0 && b.agent.CanCall() {
		poll := b.agent.NextPoll()
		b.ends = slices.DeleteFunc(b.ends, func(e msg.RunEnd) bool { return e.Number <= poll.Request.Acknowledged })
		b.agent.PollAnswered(poll, b.response(), nil)
	}
	b.agent.Tick()
	b.collect()
}

// sequenceOffset spreads the announcements of the backend servers.
func (b *capacityServer) sequenceOffset() int { return int(b.host.Name[len(b.host.Name)-1] - '0') }

func (b *capacityServer) end(id workload.RunID, reason workload.EndReason) {
	delete(b.runs, id)
	b.number++
	b.ends = append(b.ends, msg.RunEnd{Number: b.number, Run: id, Reason: reason})
}

func (b *capacityServer) response() runner.PollResponse {
	r := runner.PollResponse{ClockMS: b.clockMS(), StartedAtMS: 1, Ended: slices.Clone(b.ends)}
	for id := range b.runs {
		r.Runs = append(r.Runs, msg.RunStatus{Run: id, CPULimitPercent: 100})
	}
	return r
}

// execute executes the calls that have arrived.
func (b *capacityServer) execute() {
	var waiting []delayedCall
	calls := b.calls
	b.calls = nil
	for _, c := range calls {
		if b.site.now < c.at {
			waiting = append(waiting, c)
			continue
		}
		switch {
		case c.Start != nil:
			b.start(c.Start.Run)
		case c.Stop != nil:
			if _, ok := b.runs[*c.Stop]; ok {
				b.end(*c.Stop, workload.EndStopped)
			}
		}
		b.agent.Answered(hostagent.Answer{Call: c.Call, ClockMS: b.clockMS(), Response: b.response()})
	}
	b.calls = append(waiting, b.calls...)
}

// start begins a run, whether it fits or not.
func (b *capacityServer) start(id workload.RunID) {
	s := b.site
	b.runs[id] = s.now + time.Second
	if _, known := s.started[id.Task.Job]; !known {
		s.started[id.Task.Job] = s.now
	}
	if used := int64(len(b.runs)) * capacityTaskCPU; used > b.host.Capacity.MilliCPU && s.now-b.shrunkAt > capacityGrace {
		s.overfull = append(s.overfull, fmt.Sprintf("%v at %v: %d of %d, shrunk at %v", b.host.Name, s.now, used, b.host.Capacity.MilliCPU, b.shrunkAt))
	}
}

// collect delivers the messages of the agent and puts its calls on their way.
func (b *capacityServer) collect() {
	for _, c := range b.agent.Calls() {
		b.calls = append(b.calls, delayedCall{c, b.site.now + time.Duration(b.site.random.Int64N(int64(startTransit)))})
	}
	for _, m := range b.agent.Sends() {
		switch m := m.Message.(type) {
		case *msg.HostAnnounced:
			b.site.core.Announced(m.Host)
		case *msg.HostInventory:
			b.site.core.Inventory(m)
		case *msg.RunsChanged:
			b.site.refused += len(m.Refused)
			b.site.core.RunsChanged(b.host.Name, m)
		case *msg.RunsProgress:
			b.site.core.RunsProgress(b.host.Name, m)
		}
	}
	b.agent.Decisions()
}

// longestWait returns the longest time from the submission of a job at or after a
// time to its first start.
func (s *capacitySite) longestWait(from time.Duration) time.Duration {
	var longest time.Duration
	for _, spec := range s.specs {
		var ms int64
		if _, err := fmt.Sscanf(string(spec.ID), "job-%d", &ms); err != nil {
			continue
		}
		submitted := time.Duration(ms) * time.Millisecond
		if submitted < from {
			continue
		}
		at, ok := s.started[spec.ID]
		if !ok {
			at = s.now
		}
		longest = max(longest, at-submitted)
	}
	return longest
}

// Guards against starts beyond the capacity of a backend server that has shrunk,
// against an owner that goes on ordering them in vain while other hosts have room,
// and against room that is not used after it has grown again; also if the owner
// changes, and with starts on their way at each change.
func TestCapacityThatShrinksAndGrowsIsFollowed(t *testing.T) {
	for seed := range uint64(12) {
		for _, change := range []string{"no change", "at the shrink", "while shrunk", "at the growth"} {
			t.Run(fmt.Sprintf("owner: %s, seed %d", change, seed), func(t *testing.T) {
				s := newCapacitySite(t, seed, 4)
				replaceIf := func(when string) {
					if when == change {
						s.replaceOwner()
					}
				}
				const interval = 70 * time.Millisecond // 14 tasks of a second on 32 cores
				s.run(4*time.Second+time.Duration(s.random.IntN(1500))*time.Millisecond/capacityTick*capacityTick, interval)
				small := s.servers[int(seed)%len(s.servers)]
				small.setCapacity(2 * capacityTaskCPU) // below what runs
				replaceIf("at the shrink")
				s.run(capacityGrace, interval)
				refusedBefore, settled := s.refused, s.now
				s.run(4*time.Second, interval)
				replaceIf("while shrunk")
				s.run(8*time.Second, interval)
				require.Empty(t, s.overfull)
				if change != "while shrunk" {
					require.LessOrEqual(t, s.refused-refusedBefore, 2, "starts that the agent refused after the grace")
					require.LessOrEqual(t, s.longestWait(settled), time.Second)
				}
				small.setCapacity(8 * capacityTaskCPU)
				replaceIf("at the growth")
				s.run(capacityGrace+jobs.LeaseExpiry, interval)
				s.submit("wide", 28) // with those that run, more than fits without the host
				s.run(700*time.Millisecond, 0)
				require.Greater(t, len(small.runs), 2, "runs on the host that has grown")
				require.Empty(t, s.overfull)
			})
		}
	}
}
