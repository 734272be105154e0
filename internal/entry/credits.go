package entry

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// Assumed round trips between an entry and an agent until they are measured.
const (
	nearRTT = 200 * time.Microsecond
	farRTT  = 3 * time.Millisecond
)

const slownessSmoothing = 0.05

// avoidTime is how long an instance is left out after a stream to its agent
// could not be opened. Its credits come back at once, so without a pause one
// request used up its offers on a link that had just been lost.
const avoidTime = 200 * time.Millisecond

// agentUp replaces the link to a worker's agent. The replaced one is ended, so
// that its agent connects again if it lives: the greeting of an agent that has
// been killed may arrive after that of its successor, whose link would
// otherwise stay up without being used.
func (d *dispatcher) agentUp(m AgentUp) {
	if old := d.agents[m.Hello.Worker.ID]; old != nil {
		d.agentDown(m.Hello.Worker.ID, old.generation)
		if old.end != nil {
			old.end()
		}
	}
	a := &agent{worker: m.Hello.Worker, boot: m.Hello.Boot, generation: m.Generation, conn: m.Conn, out: m.Out, end: m.End}
	d.agents[a.worker.ID] = a
	for _, q := range d.asking {
		if q.worker == a.worker.ID {
			d.askOutcome(q)
		}
	}
}

func (d *dispatcher) agentDown(worker model.WorkerID, generation uint64) {
	a := d.agents[worker]
	if a == nil || a.generation != generation {
		return
	}
	delete(d.agents, worker)
	d.removeInstance(a)
}

func (d *dispatcher) removeInstance(a *agent) {
	if a.backend == nil {
		return
	}
	s := a.backend.service
	for k, i := range s.instances {
		if i == a.backend {
			s.instances = append(s.instances[:k], s.instances[k+1:]...)
			break
		}
	}
	s.reserve()
	a.backend = nil
}

// askOutcome sends the question if the agent is linked. A restarted agent has
// no record; its silence about the request says nothing.
func (d *dispatcher) askOutcome(m askOutcome) {
	d.asking[m.id] = m
	a := d.agents[m.worker]
	if a == nil {
		return // asked again when the link is back; the request's deadline bounds it
	}
	if a.boot != m.boot {
		delete(d.asking, m.id)
		tell(m.call, callMessage{kind: callOutcome, outcome: msg.ExchangeUnknown})
		return
	}
	a.out.TrySend(&msg.OutcomeQuery{ID: m.id})
}

func (d *dispatcher) fromAgent(m FromAgent) {
	a := d.agents[m.Worker]
	if a == nil || a.generation != m.Generation {
		return // of a link that has ended
	}
	switch m := m.Msg.(type) {
	case *msg.BackendState:
		d.backendState(a, m)
	case *msg.CreditGrant:
		if i := a.backend; i != nil && i.Backend == m.Backend && m.Generation == a.generation {
			i.Credits += m.Count
			i.longFree = m.MaxLong
			d.dispatch(i.service)
		}
	case *msg.CreditRecall:
		d.recall(a, m)
	case *msg.OutcomeReply:
		if q, ok := d.asking[m.ID]; ok {
			delete(d.asking, m.ID)
			tell(q.call, callMessage{kind: callOutcome, outcome: m.State})
		}
	}
}

func (d *dispatcher) backendState(a *agent, m *msg.BackendState) {
	if i := a.backend; i != nil && (i.Backend != m.Backend || i.service.name != m.Service) {
		d.removeInstance(a)
	}
	if a.backend == nil {
		s := d.service(m.Service)
		rtt := farRTT
		if a.worker.DataCentre == d.self.DataCentre {
			rtt = nearRTT
		}
		a.backend = &instance{service: s, agent: a, slowness: 1,
			Candidate: dispatch.Candidate{Backend: m.Backend, RTT: rtt}}
		s.instances = append(s.instances, a.backend)
		s.reserve()
		d.reportDemand(s)
	}
	a.backend.state, a.backend.Slots = m.State, m.Slots
}

// recall returns idle credits. Fewer than asked for means that the others
// were spent meanwhile.
func (d *dispatcher) recall(a *agent, m *msg.CreditRecall) {
	n := 0
	if i := a.backend; i != nil && i.Backend == m.Backend {
		n = min(m.Count, i.Credits)
		i.Credits -= n
	}
	a.out.TrySend(&msg.CreditReturn{Backend: m.Backend, Generation: a.generation, Count: n})
}

// instanceOf returns the instance of an assignment while the link by which it
// was assigned lasts.
func (d *dispatcher) instanceOf(to assignment) *instance {
	a := d.agents[to.worker]
	if a == nil || a.generation != to.generation || a.backend == nil || a.backend.Backend != to.backend {
		return nil
	}
	return a.backend
}

// giveBack takes back a credit that was not spent, and with it the permit for
// a long request: the agent, which knows nothing of the assignment, would not
// report it again.
func (d *dispatcher) giveBack(m unused) {
	for _, s := range d.services {
		s.leave(m.to.id)
	}
	if i := d.instanceOf(m.to); i != nil {
		i.Credits++
		i.Running--
		if m.to.long {
			i.longFree++
		}
		if m.failed {
			i.Failures++
			i.avoid = d.now.Add(avoidTime)
		}
		d.dispatch(i.service)
	}
}

func (d *dispatcher) started(m started) {
	s := d.service(m.service)
	if r, ok := s.running[m.id]; ok && r.since.IsZero() {
		r.since = d.now
		s.running[m.id] = r
		s.load.Started.Add(r.long, 1)
	}
}

// leave ends the use of a slot.
func (s *service) leave(id model.RequestID) {
	if r, ok := s.running[id]; ok {
		s.load.Sent.Add(r.long, -1)
		if !r.since.IsZero() {
			s.load.Started.Add(r.long, -1)
		}
	}
	delete(s.running, id)
}

func (d *dispatcher) finished(m finished) {
	s := d.service(m.service)
	s.leave(m.to.id)
	if m.started && !m.failed {
		s.classes.AddSample(m.class, m.ran)
	}
	i := d.instanceOf(m.to)
	if i == nil {
		return
	}
	i.Running--
	switch {
	case m.failed:
		i.Failures++
	case m.started:
		i.Failures = 0
		if mean := s.classes.Mean(m.class); mean > 0 {
			i.slowness += (float64(m.ran)/float64(mean) - i.slowness) * slownessSmoothing
		}
	}
	d.dispatch(s)
}

// age counts running requests that have outlived their class as samples of
// it: otherwise a class of very long requests would look short for as long as
// none of them has ended.
func (d *dispatcher) age() {
	for _, s := range d.services {
		for id, r := range s.running {
			ran := d.now.Sub(r.since)
			if !r.since.IsZero() && ran > max(r.aged, time.Second) && s.classes.CountsAsLong(r.class, ran) {
				s.classes.AddSample(r.class, ran)
				r.aged = 2 * ran
				s.running[id] = r
			}
		}
	}
}

// reportDemand tells the agents of a service how long the queue is, when that
// has changed.
func (d *dispatcher) reportDemand(s *service) {
	now := demand{queued: s.queue.Len(), short: s.queue.ShortLen()}
	if !s.anyLongAllowed() {
		now.queued = now.short // a credit would not help the long ones
	}
	if now == s.demanded && now.queued == 0 {
		return
	}
	s.demanded, s.reported = now, d.now
	m := &msg.Demand{Service: s.name, Queued: now.queued, Short: now.short}
	if at, ok := s.queue.EarliestDeadline(); ok {
		m.MinRemaining = max(at.Sub(d.now), time.Millisecond)
	}
	// Each agent sees an equal part of the queue: the whole of it at every
	// agent would draw as many credits as there are agents.
	if n := len(s.instances); n > 0 && m.Queued > 0 {
		m.Queued = (m.Queued + n - 1) / n
		m.Short = (m.Short + n - 1) / n
	}
	for _, i := range s.instances {
		i.agent.out.TrySend(m)
	}
}

func (s *service) anyLongAllowed() bool {
	for _, i := range s.instances {
		if s.longAllowed(i) {
			return true
		}
	}
	return false
}

func (d *dispatcher) drain(backend model.BackendID) bool {
	for _, a := range d.agents {
		if a.backend != nil && a.backend.Backend == backend {
			return a.out.TrySend(&msg.DrainBackend{Backend: backend})
		}
	}
	return false
}

func (d *dispatcher) status() []model.ServiceStatus {
	list := make([]model.ServiceStatus, 0, len(d.services))
	for _, s := range d.services {
		st := model.ServiceStatus{Service: s.name, Queued: s.queue.Len(), Refused: s.refused}
		for _, i := range s.instances {
			st.Running += i.Running
			st.Credits += i.Credits
			st.Backends = append(st.Backends, model.BackendStatus{
				Backend: i.Backend, Worker: i.agent.worker.ID, DataCentre: i.agent.worker.DataCentre,
				State: i.state, Slots: i.Slots, Credits: i.Credits, Running: i.Running,
			})
		}
		for _, c := range s.classes.Names() {
			st.Classes = append(st.Classes, model.ClassStatus{
				Class: c, Long: s.classes.IsLong(c), P50: s.classes.Quantile(c, 0.5),
				P99: s.classes.Quantile(c, 0.99), P999: s.classes.Quantile(c, 0.999),
			})
		}
		list = append(list, st)
	}
	return list
}
