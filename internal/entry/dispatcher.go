package entry

import (
	"context"
	"maps"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// Address is the address of a dispatcher.
type Address = actor.Address[Message]

const (
	mailboxSize = 4096 // messages
	// demandInterval is the time between reports of demand.
	demandInterval = 20 * time.Millisecond
	// ageCheckInterval is the time between checks of the ages of running
	// requests.
	ageCheckInterval = 100 * time.Millisecond
)

// Self identifies the entry process.
type Self struct {
	Entry      model.EntryID
	Boot       model.Boot
	DataCentre model.DataCentre
}

// dispatcher is the state of the dispatcher actor: queues, credits and links.
type dispatcher struct {
	self           Self
	now            time.Time
	nextID         uint64 // sequence number of the last assignment
	services       map[model.Service]*service
	agents         map[model.WorkerID]*agent
	outcomeQueries map[model.RequestID]outcomeQuery
	configured     *RoutingTable              // from the configuration
	table          *actor.Value[RoutingTable] // published services
	demandPending  bool                       // a queue is not empty, or agents must be informed that it is empty
	hasRunning     bool                       // requests may be running
}

// agent is the state of an agent with a link.
type agent struct {
	worker     model.Worker
	boot       model.Boot
	generation uint64 // of the link
	conn       link.Conn
	out        peer.Out
	endLink    func()    // may be nil
	backend    *instance // nil until the agent reports a backend server
}

// SpawnDispatcher starts the actor that owns the queues and credits of an
// entry. It publishes to table the services that requests may address: those
// of the rules and those that a backend server has announced.
func SpawnDispatcher(g *actor.Group, self Self, rules *RoutingTable, table *actor.Value[RoutingTable]) Address {
	table.Set(rules)
	return actor.Spawn(g, actor.Spec[Message]{Name: "dispatcher", Mailbox: mailboxSize,
		Run: func(ctx context.Context, in <-chan Message) error {
			return newDispatcher(self, rules, table).run(ctx, in)
		}})
}

func newDispatcher(self Self, rules *RoutingTable, table *actor.Value[RoutingTable]) *dispatcher {
	return &dispatcher{
		self: self, configured: rules, table: table,
		services: map[model.Service]*service{}, agents: map[model.WorkerID]*agent{},
		outcomeQueries: map[model.RequestID]outcomeQuery{},
	}
}

func (d *dispatcher) run(ctx context.Context, in <-chan Message) error {
	report, age := newPausableTicker(demandInterval), newPausableTicker(ageCheckInterval)
	defer report.Stop()
	defer age.Stop()
	for {
		report.setRunning(d.demandPending)
		age.setRunning(d.hasRunning)
		select {
		case m := <-in:
			d.now = time.Now()
			d.handle(m)
		case d.now = <-report.C:
			d.now = time.Now()
			d.demandPending = false
			for _, s := range d.services {
				d.dispatch(s) // a pause after a failed open may have ended
				d.reportDemand(s)
				d.demandPending = d.demandPending || s.queue.Len() > 0 || s.lastDemand.queued > 0
			}
		case <-age.C:
			d.now = time.Now()
			d.hasRunning = false
			for _, s := range d.services {
				d.hasRunning = d.hasRunning || len(s.running) > 0
			}
			d.sampleLongRunning()
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *dispatcher) handle(m Message) {
	switch m := m.(type) {
	case admit:
		d.admit(m)
	case requestStarted:
		d.started(m)
	case requestFinished:
		d.finished(m)
	case FromAgent:
		d.fromAgent(m)
	case withdraw:
		if s := d.services[m.service]; s != nil && s.queue.Withdraw(m.key) {
			delete(s.queuedCalls, m.key)
		}
		m.done.Put(struct{}{})
	case creditUnused:
		d.returnCredit(m)
	case outcomeQuery:
		d.queryOutcome(m)
	case endOutcomeQuery:
		delete(d.outcomeQueries, m.id)
	case AgentUp:
		d.agentUp(m)
	case AgentDown:
		d.agentDown(m.Worker, m.Generation)
	case SetRouting:
		d.setRouting(m.Table)
	case StatusQuery:
		m.Reply.Put(d.status())
	case DrainQuery:
		m.Reply.Put(d.drain(m.Backend))
	}
}

// service returns the state of a service. It creates the state, and publishes
// the service, when it does not exist.
func (d *dispatcher) service(name model.Service) *service {
	if s, ok := d.services[name]; ok {
		return s
	}
	classes := dispatch.NewClassEstimates()
	s := &service{
		name: name, classes: classes, queue: dispatch.NewQueue(dispatch.Options{}, classes),
		queuedCalls: map[dispatch.Key]chan<- callMessage{}, running: map[model.RequestID]runningRequest{},
	}
	d.services[name] = s
	d.applyRule(s)
	d.publish()
	return s
}

// setRouting replaces the configured routing table.
func (d *dispatcher) setRouting(t *RoutingTable) {
	d.configured = t
	for _, s := range d.services {
		d.applyRule(s)
	}
	d.publish()
}

// publish sets the routing table to the configured services and those that
// only backend servers have announced.
func (d *dispatcher) publish() {
	all := *d.configured
	all.Services = make(map[model.Service]ServiceRule, len(d.configured.Services)+len(d.services))
	maps.Copy(all.Services, d.configured.Services)
	for name := range d.services {
		if _, ok := all.Services[name]; !ok {
			all.Services[name] = ServiceRule{Name: name, Classes: d.configured.SharedClasses}
		}
	}
	d.table.Set(&all)
}

// applyRule sets the classes that the configuration declares long or short.
func (d *dispatcher) applyRule(s *service) {
	rule, ok := d.configured.Services[s.name]
	if !ok {
		rule.Classes = d.configured.SharedClasses
	}
	for _, c := range rule.Classes {
		if c.Long != nil {
			s.classes.SetLong(c.Name, *c.Long)
		}
	}
}

// admit queues a request, or refuses it at once.
func (d *dispatcher) admit(m admit) {
	s := d.service(m.service)
	if m.retry {
		if m.ranBefore && !s.budget.TakeRetry() {
			s.refuse(m.inbox, dispatch.RefusedFull)
			return
		}
		s.queue.Requeue(d.now, m.request)
	} else {
		s.budget.AddRequest()
		if reason := s.queue.Admit(d.now, m.request, s.currentLoad(), s.hasIdleCredit()); reason != dispatch.Accepted {
			s.refuse(m.inbox, reason)
			return
		}
	}
	s.queuedCalls[m.request.Key] = m.inbox
	d.demandPending = true
	d.dispatch(s)
	if s.queue.Len() > 0 && d.now.Sub(s.lastDemandAt) >= demandInterval {
		d.reportDemand(s)
	}
}

// sendToCall sends to a request's actor without blocking. Its inbox has room for
// the replies to its messages.
func sendToCall(inbox chan<- callMessage, m callMessage) {
	select {
	case inbox <- m:
	default:
	}
}

// dispatch assigns free credits to queued requests.
func (d *dispatcher) dispatch(s *service) {
	for s.queue.Len() > 0 {
		i, longAllowed := s.choose(d.now)
		if i == nil {
			return
		}
		r, ok := s.queue.Next(d.now, longAllowed, func(r dispatch.Request, reason dispatch.Refusal) {
			s.refuse(s.queuedCalls[r.Key], reason)
			delete(s.queuedCalls, r.Key)
		})
		if !ok {
			return
		}
		inbox := s.queuedCalls[r.Key]
		delete(s.queuedCalls, r.Key)
		d.assign(s, i, r, inbox)
	}
}

// assign assigns a credit of i to a request and sends it to the request's actor.
func (d *dispatcher) assign(s *service, i *instance, r dispatch.Request, inbox chan<- callMessage) {
	d.nextID++
	i.Credits--
	i.Running++
	long := s.classes.IsLong(r.Class)
	if long {
		i.longPermits--
	}
	assigned := assignment{
		id:     model.RequestID{Entry: d.self.Entry, Boot: d.self.Boot, Seq: d.nextID},
		worker: i.agent.worker.ID, boot: i.agent.boot, backend: i.Backend,
		generation: i.agent.generation, conn: i.agent.conn, long: long,
	}
	running := runningRequest{class: r.Class, long: long}
	s.running[assigned.id] = running
	d.hasRunning = true
	s.load.Sent.Add(long, 1)
	sendToCall(inbox, callMessage{kind: callAssigned, assignment: &assigned})
}
