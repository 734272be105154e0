package entry

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// Assumed round-trip times between an entry and an agent.
const (
	sameDataCentreRTT  = 200 * time.Microsecond
	otherDataCentreRTT = 3 * time.Millisecond
)

// slownessSmoothing is the weight of the newest sample of an instance's
// slowness.
const slownessSmoothing = 0.05

// openFailurePause is how long an instance is not chosen after a stream to its
// agent could not be opened. Its credits are returned at once, so without a
// pause one request used up its offers on a link that had just been lost.
const openFailurePause = 200 * time.Millisecond

// agentUp replaces the link to a worker's agent and ends the previous one, so
// that its agent connects again if it is running. The handshake of a killed
// agent may arrive after that of its successor, whose link would otherwise stay
// up without being used.
func (d *dispatcher) agentUp(m AgentUp) {
	if old := d.agents[m.Hello.Worker.ID]; old != nil {
		d.agentDown(m.Hello.Worker.ID, old.generation)
		if old.endLink != nil {
			old.endLink()
		}
	}
	a := &agent{worker: m.Hello.Worker, boot: m.Hello.Boot, generation: m.Generation, conn: m.Conn, out: m.Out, endLink: m.End}
	d.agents[a.worker.ID] = a
	for _, q := range d.outcomeQueries {
		if q.worker == a.worker.ID {
			d.queryOutcome(q)
		}
	}
}

// agentDown removes a link unless a newer one has replaced it.
func (d *dispatcher) agentDown(worker model.WorkerID, generation uint64) {
	a := d.agents[worker]
	if a == nil || a.generation != generation {
		return
	}
	delete(d.agents, worker)
	d.removeInstance(a)
}

// removeInstance removes the agent's backend server from its service.
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
	s.reserveForShort()
	a.backend = nil
}

// queryOutcome sends the query if the agent is linked. An agent that has
// restarted since has no record of the request, so the outcome is unknown.
func (d *dispatcher) queryOutcome(m outcomeQuery) {
	d.outcomeQueries[m.id] = m
	a := d.agents[m.worker]
	if a == nil {
		return // agentUp sends the query; the request's deadline bounds the wait
	}
	if a.boot != m.boot {
		delete(d.outcomeQueries, m.id)
		sendToCall(m.inbox, callMessage{kind: callOutcome, outcome: msg.ExchangeUnknown})
		return
	}
	a.out.TrySend(&msg.OutcomeQuery{ID: m.id})
}

// fromAgent handles a message from the agent at the other end of a link.
func (d *dispatcher) fromAgent(m FromAgent) {
	a := d.agents[m.Worker]
	if a == nil || a.generation != m.Generation {
		return // the link has been replaced or has ended
	}
	switch m := m.Msg.(type) {
	case *msg.BackendState:
		d.backendState(a, m)
	case *msg.CreditGrant:
		if i := a.backend; i != nil && i.Backend == m.Backend && m.Generation == a.generation {
			i.Credits += m.Count
			i.longPermits = m.MaxLong
			d.dispatch(i.service)
		}
	case *msg.CreditRecall:
		d.recall(a, m)
	case *msg.OutcomeReply:
		if q, ok := d.outcomeQueries[m.ID]; ok {
			delete(d.outcomeQueries, m.ID)
			sendToCall(q.inbox, callMessage{kind: callOutcome, outcome: m.State})
		}
	}
}

// backendState records the announced state and creates the instance of a new
// backend server.
func (d *dispatcher) backendState(a *agent, m *msg.BackendState) {
	if i := a.backend; i != nil && (i.Backend != m.Backend || i.service.name != m.Service) {
		d.removeInstance(a)
	}
	if a.backend == nil {
		s := d.service(m.Service)
		rtt := otherDataCentreRTT
		if a.worker.DataCentre == d.self.DataCentre {
			rtt = sameDataCentreRTT
		}
		a.backend = &instance{service: s, agent: a, slowness: 1,
			Candidate: dispatch.Candidate{Backend: m.Backend, RTT: rtt}}
		s.instances = append(s.instances, a.backend)
		s.reserveForShort()
		d.reportDemand(s)
	}
	a.backend.state, a.backend.Slots = m.State, m.Slots
}

// recall returns unspent credits to the agent. A smaller count than requested
// tells the agent that the others have been spent.
func (d *dispatcher) recall(a *agent, m *msg.CreditRecall) {
	n := 0
	if i := a.backend; i != nil && i.Backend == m.Backend {
		n = min(m.Count, i.Credits)
		i.Credits -= n
	}
	a.out.TrySend(&msg.CreditReturn{Backend: m.Backend, Generation: a.generation, Count: n})
}

// instanceOf returns the instance of an assignment, or nil when the link on
// which the credit was granted has ended.
func (d *dispatcher) instanceOf(assigned assignment) *instance {
	a := d.agents[assigned.worker]
	if a == nil || a.generation != assigned.generation || a.backend == nil || a.backend.Backend != assigned.backend {
		return nil
	}
	return a.backend
}

// returnCredit makes an unspent credit available again, and with it the permit
// for a long request. The agent does not know of the assignment and would not
// grant the permit again.
func (d *dispatcher) returnCredit(m creditUnused) {
	for _, s := range d.services {
		s.removeRunning(m.assignment.id)
	}
	if i := d.instanceOf(m.assignment); i != nil {
		i.Credits++
		i.Running--
		if m.assignment.long {
			i.longPermits++
		}
		if m.openFailed {
			i.Failures++
			i.avoidUntil = d.now.Add(openFailurePause)
		}
		d.dispatch(i.service)
	}
}

// started records that a backend server started a request.
func (d *dispatcher) started(m requestStarted) {
	s := d.service(m.service)
	if r, ok := s.running[m.id]; ok && r.startedAt.IsZero() {
		r.startedAt = d.now
		s.running[m.id] = r
		s.load.Started.Add(r.long, 1)
	}
}

// removeRunning removes a request from the running ones.
func (s *service) removeRunning(id model.RequestID) {
	if r, ok := s.running[id]; ok {
		s.load.Sent.Add(r.long, -1)
		if !r.startedAt.IsZero() {
			s.load.Started.Add(r.long, -1)
		}
	}
	delete(s.running, id)
}

// finished updates the estimates of the class and of the instance, and
// dispatches the next request.
func (d *dispatcher) finished(m requestFinished) {
	s := d.service(m.service)
	s.removeRunning(m.assignment.id)
	if m.started && !m.failed {
		s.classes.AddSample(m.class, m.duration)
	}
	i := d.instanceOf(m.assignment)
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
			i.slowness += (float64(m.duration)/float64(mean) - i.slowness) * slownessSmoothing
		}
	}
	d.dispatch(s)
}

// sampleLongRunning adds the ages of running requests that exceed the usual
// durations of their class as samples. Without these, a class of very long
// requests would count as short until the first of them has ended.
func (d *dispatcher) sampleLongRunning() {
	for _, s := range d.services {
		for id, r := range s.running {
			age := d.now.Sub(r.startedAt)
			if !r.startedAt.IsZero() && age > max(r.nextSampleAge, time.Second) && s.classes.CountsAsLong(r.class, age) {
				s.classes.AddSample(r.class, age)
				r.nextSampleAge = 2 * age
				s.running[id] = r
			}
		}
	}
}

// reportDemand sends the length of a service's queue to its agents if it has
// changed or is not zero.
func (d *dispatcher) reportDemand(s *service) {
	now := demand{queued: s.queue.Len(), short: s.queue.ShortLen()}
	if !s.anyLongAllowed() {
		now.queued = now.short // no instance accepts a long request, so a credit would not help
	}
	if now == s.lastDemand && now.queued == 0 {
		return
	}
	s.lastDemand, s.lastDemandAt = now, d.now
	m := &msg.Demand{Service: s.name, Queued: now.queued, Short: now.short}
	if at, ok := s.queue.EarliestDeadline(); ok {
		m.MinRemaining = max(at.Sub(d.now), time.Millisecond)
	}
	// Each agent receives an equal part of the queue's length. If each received
	// the whole length, every agent would grant credits for every request.
	if n := len(s.instances); n > 0 && m.Queued > 0 {
		m.Queued = (m.Queued + n - 1) / n
		m.Short = (m.Short + n - 1) / n
	}
	for _, i := range s.instances {
		i.agent.out.TrySend(m)
	}
}

// anyLongAllowed reports whether a long request may be sent to some instance.
func (s *service) anyLongAllowed() bool {
	for _, i := range s.instances {
		if s.longAllowed(i) {
			return true
		}
	}
	return false
}

// drain asks the agent of a backend server to drain it. It returns false when
// no such agent is linked or the message could not be queued.
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
