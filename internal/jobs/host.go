package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// States of charts/host.scxml.
const (
	hostAway chart.State = iota
	hostClaiming
	hostReady
	hostSilent
)

// Events of charts/host.scxml.
const (
	evUp chart.Event = iota
	evDown
	evInventory
	evLapse
	evClaimLate
	evExpect
)

// claimRetry is how long an agent may take to answer a claim.
const claimRetry = time.Second

var hostChart *chart.Machine[host]

func init() { hostChart = chart.MustCompile(charts.Files, HostBinding()) }

// HostBinding binds charts/host.scxml.
func HostBinding() chart.Binding[host] {
	return chart.Binding[host]{
		Chart:  "host",
		States: []string{"away", "claiming", "ready", "silent"},
		Events: []string{"up", "down", "inventory", "lapse", "late", "expect"},
		Actions: map[string]func(*host){
			"sendClaim": (*host).sendClaim,
			"adopt":     (*host).adopt,
			"loseRuns":  (*host).loseRuns,
		},
		Delays: map[string]time.Duration{"claimRetry": claimRetry, "lapseTime": Lapse},
	}
}

// host is a host and the runs that are charged to it.
type host struct {
	core  *Core
	info  workload.Host
	state chart.State
	due   time.Duration // of the state's timeout; 0: none

	lastGrant time.Duration
	runs      map[workload.RunID]*run
	used      workload.Resources
	fillerCPU int64
	serving   int
	endsSeen  uint64 // ends up to this number are applied
	endsTaken uint64 // ends up to this number are stored and acknowledged
	health    health
	takenBorn int64         // life whose inventory was taken
	expected  bool          // runs of a former owner may go on there
	movedTo   time.Duration // when a filler was last moved there
	idleSince time.Duration // when everything there had surely ended

	starts    []msg.RunStart
	stops     []workload.RunID
	inventory *msg.HostInventory // during the event inventory
}

func (c *Core) host(name workload.HostName) *host {
	h, ok := c.hosts[name]
	if !ok {
		h = &host{core: c, info: workload.Host{Name: name}, runs: map[workload.RunID]*run{}, lastGrant: c.now, idleSince: c.now}
		c.hosts[name] = h
	}
	return h
}

func (h *host) step(e chart.Event) {
	before := h.state
	hostChart.Step(h, &h.state, e)
	if h.state == before && e != evClaimLate && e != evUp {
		return
	}
	h.due = 0
	if h.state == hostSilent {
		h.due = h.lastGrant + Lapse
	} else if d, _, ok := hostChart.Timeout(h.state); ok {
		h.due = h.core.now + d
	}
	h.core.plan = true
}

func (h *host) tick() {
	if h.due != 0 && h.core.now >= h.due {
		_, e, _ := hostChart.Timeout(h.state)
		h.step(map[string]chart.Event{"lapse": evLapse, "late": evClaimLate}[hostChart.EventName(e)])
	}
	for _, r := range h.runs {
		r.tick()
	}
}

// Linked says that the agent of a host is linked.
func (c *Core) Linked(info workload.Host) {
	h := c.host(info.Name)
	h.meet(info)
	h.step(evUp)
}

// Unlinked says that the agent of a host is no longer linked.
func (c *Core) Unlinked(name workload.HostName) {
	if h, ok := c.hosts[name]; ok {
		c.note(Decision{Kind: HostChanged, Host: name, Detail: "silent", Age: c.now - h.lastGrant})
		h.step(evDown)
	}
}

// Announced takes the newest state of a host.
func (c *Core) Announced(info workload.Host) {
	c.host(info.Name).meet(info)
	c.plan = true
}

// meet takes what an agent says of its backend server. Another life of it
// runs nothing of the former one.
func (h *host) meet(info workload.Host) {
	old := h.info
	reborn := old.Instance != "" && (old.Instance != info.Instance || old.StartedAtMS != info.StartedAtMS)
	if info.Instance == "" {
		return // the agent has not heard of its backend server yet
	}
	if reborn || info.State == workload.HostUnavailable && old.State != workload.HostUnavailable {
		h.core.note(Decision{Kind: HostChanged, Host: h.info.Name, Detail: "ended"})
		h.loseRuns()
		h.takenBorn = 0
	}
	if reborn {
		h.endsSeen, h.endsTaken = 0, 0
		h.health = health{}
	}
	if info.State != old.State {
		h.core.note(Decision{Kind: HostChanged, Host: info.Name, Detail: info.State.String()})
	}
	h.info = info
	if info.State == workload.HostDraining && old.State != workload.HostDraining {
		h.evacuate()
	}
}

// evacuate stops the runs that would not end before the host leaves.
func (h *host) evacuate() {
	for _, r := range h.sortedRuns() {
		if r.task.step.spec.LongRunning || r.remaining() > h.info.Remaining {
			r.stop("host-drains")
		}
	}
}

func (h *host) sendClaim() {
	h.core.send(h, &msg.OwnerClaim{Epoch: h.core.epoch})
}

// Inventory takes the answer of an agent to a claim.
func (c *Core) Inventory(m *msg.HostInventory) {
	if m.Epoch != c.epoch {
		return
	}
	h := c.host(m.Host.Name)
	h.meet(m.Host)
	h.inventory = m
	h.step(evInventory)
	h.inventory = nil
	c.settleRecovery()
}

// adopt compares what the agent lists with what is charged to the host.
func (h *host) adopt() {
	m := h.inventory
	h.core.note(Decision{Kind: HostChanged, Host: h.info.Name, Detail: "taken"})
	listed := map[workload.RunID]bool{}
	var sizes []msg.RunSize
	for _, s := range m.Runs {
		listed[s.Run] = true
		if r := h.adoptRun(s); r != nil {
			sizes = append(sizes, r.size())
		}
	}
	for _, e := range m.Ended {
		listed[e.Run] = true
	}
	for _, r := range h.sortedRuns() {
		if !listed[r.id] {
			r.step(evLost)
		}
	}
	h.applyEnds(m.Ended)
	h.core.send(h, &msg.InventoryAccepted{Epoch: h.core.epoch, ClockMS: m.ClockMS, Sizes: sizes})
	h.lastGrant, h.takenBorn = h.core.now, h.info.StartedAtMS
	for _, r := range h.sortedRuns() {
		if r.state == runStopping {
			r.orderStop()
		}
	}
}

func (h *host) adoptRun(s msg.RunStatus) *run {
	if r, ok := h.runs[s.Run]; ok {
		if !s.Unconfirmed {
			r.step(evStarted)
		}
		return r
	}
	t := h.core.task(s.Run.Task)
	if t == nil {
		h.stops = append(h.stops, s.Run) // no job of ours
		h.core.plan = true
		return nil
	}
	r := h.charge(t, s.Run)
	r.status, r.statusAt = s, h.core.now
	if s.Run.Number&numberMask > t.starts && s.Run.Number>>epochShift == h.core.epoch-1 {
		t.starts = s.Run.Number & numberMask
	}
	if !s.Unconfirmed {
		r.step(evStarted)
	}
	delete(h.core.ready, t)
	if t.done || t.step.job.phase().Final() || (len(t.live) > 1 && !t.step.spec.AllowConcurrentRuns) {
		r.stop("not-wanted")
	}
	return r
}

// charge adds a run to the host and its task.
func (h *host) charge(t *task, id workload.RunID) *run {
	r := &run{id: id, task: t, host: h, state: runChart.Initial(), ordered: h.core.now}
	h.runs[id] = r
	t.live = append(t.live, r)
	h.account(t.step.spec, 1)
	return r
}

func (h *host) drop(r *run) {
	if _, ok := h.runs[r.id]; !ok {
		return
	}
	delete(h.runs, r.id)
	h.account(r.task.step.spec, -1)
}

func (h *host) account(s *workload.Step, sign int64) {
	c := s.Charge()
	h.used.MilliCPU += sign * c.MilliCPU
	h.used.MemoryMB += sign * c.MemoryMB
	h.used.Accelerators += sign * c.Accelerators
	if s.BestEffort {
		h.fillerCPU += sign * s.Need.MilliCPU
	}
	if s.Serves() {
		h.serving += int(sign)
	}
}

func (r *run) size() msg.RunSize {
	s := r.task.step.spec
	return msg.RunSize{Run: r.id, Charge: s.Charge(), TargetLatency: s.TargetLatency, BestEffort: s.BestEffort, Image: s.Image, MilliCPU: s.Need.MilliCPU}
}

func (h *host) loseRuns() {
	h.idleSince = h.core.now
	for _, r := range h.sortedRuns() {
		r.step(evLost)
	}
	h.core.settleRecovery()
}

// RunsChanged takes what an agent reports of its runs.
func (c *Core) RunsChanged(name workload.HostName, m *msg.RunsChanged) {
	h, ok := c.hosts[name]
	if !ok || m.Epoch != c.epoch || h.state != hostReady || m.Instance != h.info.Instance || m.StartedAtMS != h.info.StartedAtMS {
		return
	}
	for _, id := range m.Started {
		if r, ok := h.runs[id]; ok {
			r.step(evStarted)
		}
	}
	for _, id := range m.Refused {
		if r, ok := h.runs[id]; ok {
			r.step(evRefused)
		}
	}
	h.applyEnds(m.Ended)
}

func (h *host) applyEnds(ends []msg.RunEnd) {
	for _, e := range ends {
		if e.Number <= h.endsSeen {
			continue
		}
		h.endsSeen = e.Number
		if r, ok := h.runs[e.Run]; ok {
			r.end = e
			r.step(evEnded)
		} else if t := h.core.task(e.Run.Task); t != nil {
			t.applyEnd(e, h)
		}
	}
}

// RunsProgress takes the report of an agent's runs and grants their lease.
func (c *Core) RunsProgress(name workload.HostName, m *msg.RunsProgress) {
	h, ok := c.hosts[name]
	if !ok || m.Epoch != c.epoch || h.state != hostReady || m.Instance != h.info.Instance || m.StartedAtMS != h.info.StartedAtMS {
		return
	}
	h.lastGrant = c.now
	c.send(h, &msg.LeaseGrant{Epoch: c.epoch, StartedAtMS: m.StartedAtMS, ClockMS: m.ClockMS, Interference: h.harms()})
	h.learn(m)
	for _, s := range m.Runs {
		if r, ok := h.runs[s.Run]; ok {
			r.progress(s)
		}
	}
}

func (r *run) progress(s msg.RunStatus) {
	r.status, r.statusAt = s, r.core().now
	r.noteHeld(s)
	if s.Checkpoint != "" {
		r.task.checkpoint = s.Checkpoint
	}
}

// remaining estimates how long the run still takes.
func (r *run) remaining() time.Duration {
	const trustworthy = 5 // percent
	ran := r.core().now - r.ordered
	if p := r.status.ProgressPercent; p >= trustworthy {
		return time.Duration(float64(ran) * float64(100-p) / float64(p))
	}
	return max(0, r.task.step.spec.Estimate-ran)
}
