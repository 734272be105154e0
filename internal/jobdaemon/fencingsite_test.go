package jobdaemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// siteOwner is an owner of the jobs with the messages in transit between it and
// the hosts. Its link at each agent has the number of its epoch.
type siteOwner struct {
	*controller
	epoch   uint64
	former  bool // its program does not know the epochs of jobs
	toAgent map[*testHost][]msg.Control
	toOwner map[*testHost][]msg.Control
}

// site is the table service, two hosts, and owners that replace each other and
// need not learn of it. The entries that accept jobs are not kept: each acceptance
// has the knowledge that the test gives it.
type site struct {
	t       require.TestingT
	row     workload.Owner
	version table.Revision
	jobs    map[workload.JobID][]byte // rows
	owners  []*siteOwner              // by epoch, including those that have ended
	hosts   []*testHost
}

func newSite(t require.TestingT) *site {
	s := &site{t: t, jobs: map[workload.JobID][]byte{}}
	for i := range 2 {
		h := &testHost{name: workload.HostName(fmt.Sprintf("host-%d", i)), running: map[workload.RunID]bool{}}
		h.agent = hostagent.New(hostagent.Config{Name: h.name, OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1})
		s.hosts = append(s.hosts, h)
		h.announce()
	}
	return s
}

// replace lets a new entry claim the jobs. The former owner does not learn of it.
func (s *site) replace(former bool) *siteOwner {
	const unlinkedFor = 2 * time.Second // longer than any timeout of the ownership
	name := fmt.Sprintf("entry-%d", len(s.owners))
	o := &siteOwner{former: former, toAgent: map[*testHost][]msg.Control{}, toOwner: map[*testHost][]msg.Control{}}
	o.controller = &controller{
		self: msg.Member{Name: name}, log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, startedAt: time.Now(), phases: newPhaseCache(),
		owner: ownership.New(name, uint64(len(s.owners))+1, 0, 0), loading: true, published: &published{},
	}
	o.owner.Tick(time.Millisecond)
	o.owner.Read(s.row, s.version, unlinkedFor)
	require.Contains(s.t, o.owner.Effects(), ownership.ClaimRow)
	claim, version := o.owner.Claim()
	require.Equal(s.t, s.version, version)
	claim.Fenced = claim.Fenced && !former
	claim.Entries = "" // the entries of this site do not hear of each other
	s.row, s.version = claim, s.version+1
	o.owner.Claimed(claim, table.Committed, s.version, unlinkedFor)
	o.owner.Effects()
	o.epoch, o.writer = claim.Epoch, writer{owner: claim, version: s.version}
	o.jobs = jobs.New(claim.Epoch, 0)
	s.owners = append(s.owners, o)
	return o
}

// load lets the owner read the stored jobs and the names of the hosts.
func (s *site) load(o *siteOwner) {
	if o.jobs == nil || !o.loading {
		return
	}
	state := &storedState{progress: map[workload.JobID]*workload.Progress{}}
	for _, raw := range s.jobs {
		state.jobs = append(state.jobs, s.decode(o, raw))
	}
	for _, h := range s.hosts {
		state.hosts = append(state.hosts, h.name)
	}
	o.jobsLoaded(&jobsLoaded{epoch: o.epoch, state: state})
	s.collect(o)
}

// decode returns the job of a row as the program of the owner reads it.
func (s *site) decode(o *siteOwner, raw []byte) workload.Job {
	j, err := wire.DecodeJob(raw)
	require.NoError(s.t, err)
	if o.former {
		j.Epoch = 0
	}
	return j
}

// store lets the newest owner rewrite its row, as with each batch. An owner that
// releases the jobs ends.
func (s *site) store(o *siteOwner, release bool) {
	if o.jobs == nil || o.loading || o != s.owners[len(s.owners)-1] || s.row.Name == "" {
		return
	}
	s.row.Unsettled, s.row.Fenced = o.unsettled(), o.fenced() && !o.former
	s.version++
	if release {
		s.row.Name = ""
		o.jobs = nil
	}
}

// accept lets an entry that knows an epoch accept a job. It returns the message to
// the owner. An entry of a former program has no epoch.
func (s *site) accept(id workload.JobID, epoch uint64, tasks int) *msg.JobSubmitted {
	j := workload.Job{
		ID: id, Queue: "q", Service: "desk", MaxAttempts: 100, TargetSlowdown: 2, TargetLatency: time.Second, Epoch: epoch,
		Steps: []workload.Step{{Count: tasks, Need: workload.Resources{MilliCPU: 100, MemoryMB: 1}, Estimate: time.Second}},
	}
	raw, stored := s.jobs[id]
	if !stored {
		value, err := wire.EncodeJob(&j)
		require.NoError(s.t, err)
		s.jobs[id] = value
		return &msg.JobSubmitted{Job: j}
	}
	if epoch == 0 {
		return &msg.JobSubmitted{Job: j}
	}
	conflict := commitResult{outcome: table.Conflict, rows: []table.Row{{Key: jobKey(id), Version: 1, Value: raw}}}
	return &msg.JobSubmitted{Job: storedJob(j, conflict)}
}

// submit delivers the message of an entry to an owner.
func (s *site) submit(o *siteOwner, m *msg.JobSubmitted) {
	switch {
	case o.jobs == nil:
	case !o.former:
		o.applyToJobs(&peerLink{hello: &msg.PeerHello{}}, m)
	case !o.loading:
		j := m.Job
		j.Epoch = 0
		o.jobs.Submit(j)
	}
	s.collect(o)
}

// watch delivers the row of a job to an owner.
func (s *site) watch(o *siteOwner, id workload.JobID) {
	raw, stored := s.jobs[id]
	if o.jobs == nil || o.loading || !stored {
		return
	}
	j := s.decode(o, raw)
	value, err := wire.EncodeJob(&j)
	require.NoError(s.t, err)
	o.jobsWatched(&jobsWatched{epoch: o.epoch, rows: []table.Row{{Key: jobKey(id), Version: 1, Value: value}}})
	s.collect(o)
}

// learn lets an owner learn of the newest one.
func (s *site) learn(o *siteOwner) {
	o.owner.EpochObserved(s.row.Epoch, o.now())
	s.collect(o)
}

// collect applies the decisions of the ownership, plans, and puts the messages to
// the agents in transit.
func (s *site) collect(o *siteOwner) {
	for _, e := range o.owner.Effects() {
		if e == ownership.End {
			o.jobs = nil
		}
	}
	if o.jobs == nil || o.loading {
		return
	}
	o.jobs.Plan()
	for _, m := range o.jobs.Messages() {
		for _, h := range s.hosts {
			if h.name == m.Host {
				o.toAgent[h] = append(o.toAgent[h], m.Message)
			}
		}
	}
	o.jobs.Phases()
	o.jobs.Decisions()
}

// link tells an owner that an agent is linked. The owner claims the host.
func (s *site) link(o *siteOwner, h *testHost) {
	if o.jobs == nil || o.loading {
		return
	}
	if o.agents == nil {
		o.agents = map[workload.HostName]*agentView{}
	}
	o.agents[h.name] = &agentView{link: &peerLink{hello: &msg.PeerHello{Member: msg.Member{Name: string(h.name)}}}}
	o.jobs.Linked(h.agent.Host())
	s.collect(o)
}

// deliverToAgent delivers the oldest message of an owner to an agent.
func (s *site) deliverToAgent(o *siteOwner, h *testHost) {
	if len(o.toAgent[h]) == 0 {
		return
	}
	m := o.toAgent[h][0]
	o.toAgent[h] = o.toAgent[h][1:]
	h.agent.Received(hostagent.LinkID(o.epoch), m)
	s.route(h)
}

// route puts the messages of an agent in transit to the owners that they are for.
func (s *site) route(h *testHost) {
	h.collect()
	for _, m := range h.toOwner {
		for _, o := range s.owners {
			if epochOf(m) == o.epoch {
				o.toOwner[h] = append(o.toOwner[h], m)
			}
		}
	}
	h.toOwner = nil
}

// epochOf returns the epoch of the owner to which an agent sends a message, or 0
// if it is for all entries.
func epochOf(m msg.Control) uint64 {
	switch m := m.(type) {
	case *msg.HostInventory:
		return m.Epoch
	case *msg.RunsChanged:
		return m.Epoch
	case *msg.RunsProgress:
		return m.Epoch
	}
	return 0
}

// deliverToOwner delivers the oldest message of an agent to an owner.
func (s *site) deliverToOwner(o *siteOwner, h *testHost) {
	if len(o.toOwner[h]) == 0 {
		return
	}
	m := o.toOwner[h][0]
	o.toOwner[h] = o.toOwner[h][1:]
	if o.jobs != nil && !o.loading {
		o.applyToJobs(o.agents[h.name].link, m)
		s.collect(o)
	}
}

// exchange delivers all messages between an owner and an agent.
func (s *site) exchange(o *siteOwner, h *testHost) {
	for len(o.toAgent[h])+len(o.toOwner[h]) > 0 {
		s.deliverToAgent(o, h)
		s.deliverToOwner(o, h)
	}
}

func (s *site) exchangeAll() {
	for _, o := range s.owners {
		for _, h := range s.hosts {
			s.exchange(o, h)
		}
	}
}

func (s *site) runningTwice() (workload.TaskID, bool) {
	return (&handover{hosts: s.hosts}).runningTwice()
}

// replaceAtRandom lets a new entry claim the jobs. In most cases it has loaded
// them, and claims one host.
func (s *site) replaceAtRandom(t *rapid.T) {
	o := s.replace(rapid.IntRange(0, 3).Draw(t, "program") == 0)
	if rapid.IntRange(0, 3).Draw(t, "loads") == 0 {
		return
	}
	s.load(o)
	h := rapid.SampledFrom(s.hosts).Draw(t, "host")
	s.link(o, h)
	s.exchange(o, h)
}

// successorSite returns a site on which an owner was replaced without learning of
// it. The former owner has claimed the first host, and its successor the second.
func successorSite(t *testing.T) (s *site, former, owner *siteOwner) {
	s = newSite(t)
	former = s.replace(false)
	s.load(former)
	s.link(former, s.hosts[0])
	s.exchange(former, s.hosts[0])
	owner = s.replace(false)
	s.load(owner)
	s.link(owner, s.hosts[1])
	s.exchange(owner, s.hosts[1])
	return s, former, owner
}
