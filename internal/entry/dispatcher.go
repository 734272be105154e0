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
	mailbox = 4096
	// Demand is reported at most this often while it changes.
	demandInterval = 20 * time.Millisecond
	// Running requests are checked for age this often.
	ageInterval = 100 * time.Millisecond
)

// Self describes the entry.
type Self struct {
	Entry      model.EntryID
	Boot       model.Boot
	DataCentre model.DataCentre
}

// dispatcher is the state of the dispatcher actor: queues, credits and links.
type dispatcher struct {
	self     Self
	now      time.Time
	nextID   uint64
	services map[model.Service]*service
	agents   map[model.WorkerID]*agent
	asking   map[model.RequestID]askOutcome
	rules    *RoutingTable // by configuration
	table    *actor.Value[RoutingTable]
	queued   bool // a queue, or a report of one, may have to be reported
	busy     bool // a running request may have to be checked for age
}

// agent is a linked agent.
type agent struct {
	worker     model.Worker
	boot       model.Boot
	generation uint64
	conn       link.Conn
	out        peer.Out
	end        func()
	backend    *instance
}

// SpawnDispatcher starts the actor that owns the queues and credits of an
// entry. It publishes to table the services that requests may address: those
// of the rules and those that a backend server has announced.
func SpawnDispatcher(g *actor.Group, self Self, rules *RoutingTable, table *actor.Value[RoutingTable]) Address {
	table.Set(rules)
	return actor.Spawn(g, actor.Spec[Message]{Name: "dispatcher", Mailbox: mailbox,
		Run: func(ctx context.Context, in <-chan Message) error {
			return newDispatcher(self, rules, table).run(ctx, in)
		}})
}

func newDispatcher(self Self, rules *RoutingTable, table *actor.Value[RoutingTable]) *dispatcher {
	return &dispatcher{
		self: self, rules: rules, table: table,
		services: map[model.Service]*service{}, agents: map[model.WorkerID]*agent{},
		asking: map[model.RequestID]askOutcome{},
	}
}

func (d *dispatcher) run(ctx context.Context, in <-chan Message) error {
	report, age := newAlarm(demandInterval), newAlarm(ageInterval)
	defer report.Stop()
	defer age.Stop()
	for {
		report.run(d.queued)
		age.run(d.busy)
		select {
		case m := <-in:
			d.now = time.Now()
			d.handle(m)
		case d.now = <-report.C:
			d.now = time.Now()
			d.queued = false
			for _, s := range d.services {
				d.dispatch(s) // an instance may be used again
				d.reportDemand(s)
				d.queued = d.queued || s.queue.Len() > 0 || s.demanded.queued > 0
			}
		case <-age.C:
			d.now = time.Now()
			d.busy = false
			for _, s := range d.services {
				d.busy = d.busy || len(s.running) > 0
			}
			d.age()
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *dispatcher) handle(m Message) {
	switch m := m.(type) {
	case admit:
		d.admit(m)
	case started:
		d.started(m)
	case finished:
		d.finished(m)
	case FromAgent:
		d.fromAgent(m)
	case withdraw:
		if s := d.services[m.service]; s != nil && s.queue.Withdraw(m.key) {
			delete(s.calls, m.key)
		}
		m.done.Put(struct{}{})
	case unused:
		d.giveBack(m)
	case askOutcome:
		d.askOutcome(m)
	case forget:
		delete(d.asking, m.id)
	case AgentUp:
		d.agentUp(m)
	case AgentDown:
		d.agentDown(m.Worker, m.Generation)
	case SetRouting:
		d.route(m.Table)
	case StatusQuery:
		m.Reply.Put(d.status())
	case DrainQuery:
		m.Reply.Put(d.drain(m.Backend))
	}
}

func (d *dispatcher) service(name model.Service) *service {
	if s, ok := d.services[name]; ok {
		return s
	}
	classes := dispatch.NewClassEstimates()
	s := &service{
		name: name, classes: classes, queue: dispatch.NewQueue(dispatch.Options{}, classes),
		calls: map[dispatch.Key]chan<- callMessage{}, running: map[model.RequestID]runningRequest{},
	}
	d.services[name] = s
	d.applyRule(s)
	d.publish()
	return s
}

func (d *dispatcher) route(t *RoutingTable) {
	d.rules = t
	for _, s := range d.services {
		d.applyRule(s)
	}
	d.publish()
}

// publish adds the services that only announcements name to the configured
// ones.
func (d *dispatcher) publish() {
	all := *d.rules
	all.Services = make(map[model.Service]ServiceRule, len(d.rules.Services)+len(d.services))
	maps.Copy(all.Services, d.rules.Services)
	for name := range d.services {
		if _, ok := all.Services[name]; !ok {
			all.Services[name] = ServiceRule{Name: name, Classes: d.rules.SharedClasses}
		}
	}
	d.table.Set(&all)
}

func (d *dispatcher) applyRule(s *service) {
	rule, ok := d.rules.Services[s.name]
	if !ok {
		rule.Classes = d.rules.SharedClasses
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
		if m.ran && !s.budget.TakeRetry() {
			s.refuse(m.call, dispatch.RefusedFull)
			return
		}
		s.queue.Requeue(d.now, m.req)
	} else {
		s.budget.AddRequest()
		if why := s.queue.Admit(d.now, m.req, s.inProgress(), s.idle()); why != dispatch.Accepted {
			s.refuse(m.call, why)
			return
		}
	}
	s.calls[m.req.Key] = m.call
	d.queued = true
	d.dispatch(s)
	if s.queue.Len() > 0 && d.now.Sub(s.reported) >= demandInterval {
		d.reportDemand(s)
	}
}

// tell sends to a request's actor, which has room for what it asked for.
func tell(call chan<- callMessage, m callMessage) {
	select {
	case call <- m:
	default:
	}
}

// dispatch gives free credits to queued requests.
func (d *dispatcher) dispatch(s *service) {
	for s.queue.Len() > 0 {
		i, mayLong := s.choose(d.now)
		if i == nil {
			return
		}
		r, ok := s.queue.Next(d.now, mayLong, func(r dispatch.Request, why dispatch.Refusal) {
			s.refuse(s.calls[r.Key], why)
			delete(s.calls, r.Key)
		})
		if !ok {
			return
		}
		call := s.calls[r.Key]
		delete(s.calls, r.Key)
		d.assign(s, i, r, call)
	}
}

func (d *dispatcher) assign(s *service, i *instance, r dispatch.Request, call chan<- callMessage) {
	d.nextID++
	i.Credits--
	i.Running++
	long := s.classes.IsLong(r.Class)
	if long {
		i.longFree--
	}
	to := assignment{
		id:     model.RequestID{Entry: d.self.Entry, Boot: d.self.Boot, Seq: d.nextID},
		worker: i.agent.worker.ID, boot: i.agent.boot, backend: i.Backend,
		generation: i.agent.generation, conn: i.agent.conn, long: long,
	}
	run := runningRequest{class: r.Class, long: long}
	s.running[to.id] = run
	d.busy = true
	s.load.Sent.Add(long, 1)
	tell(call, callMessage{kind: callAssigned, assigned: &to})
}
