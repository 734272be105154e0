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
	backend    *instance
}

// instance is a backend server behind a linked agent.
type instance struct {
	dispatch.Candidate
	service  *service
	agent    *agent
	state    string
	longFree int
	reserved bool      // kept free of long requests
	slowness float64   // smoothed ratio of its slot times to the class means
	avoid    time.Time // a stream could not be opened: not used before this
}

// service is a service with its queue.
type service struct {
	name      model.Service
	queue     *dispatch.Queue
	classes   *dispatch.Classes
	budget    dispatch.RetryBudget
	calls     map[dispatch.Key]chan<- callMessage // of the queued requests
	instances []*instance
	flat      []dispatch.Candidate // scratch
	running   map[model.RequestID]runningRequest
	load      dispatch.Load // number of the running ones
	refused   int64
	demanded  demand // last report
	reported  time.Time
}

type runningRequest struct {
	long  bool
	class model.Class
	since time.Time     // when it was started; zero before
	aged  time.Duration // age at which it is counted again
}

type demand struct {
	queued, short int
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
	case Routing:
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
	classes := dispatch.NewClasses()
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
			all.Services[name] = ServiceRule{Name: name, Classes: d.rules.Shared}
		}
	}
	d.table.Set(&all)
}

func (d *dispatcher) applyRule(s *service) {
	rule, ok := d.rules.Services[s.name]
	if !ok {
		rule.Classes = d.rules.Shared
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
		if m.ran && !s.budget.Take() {
			s.refuse(m.call, dispatch.RefusedFull)
			return
		}
		s.queue.Requeue(d.now, m.req)
	} else {
		s.budget.Request()
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

func (s *service) refuse(call chan<- callMessage, why dispatch.Refusal) {
	s.refused++
	tell(call, callMessage{kind: callRefused, refusal: why})
}

func (s *service) inProgress() dispatch.Load {
	load := s.load
	load.Instances, load.Slots = len(s.instances), s.readySlots()
	return load
}

// idle reports whether a credit is free and nobody waits for it.
func (s *service) idle() bool {
	if s.queue.Len() > 0 {
		return false
	}
	for _, i := range s.instances {
		if i.Credits > 0 {
			return true
		}
	}
	return false
}

func (s *service) readySlots() int {
	n := 0
	for _, i := range s.instances {
		if i.state == "ready" {
			n += i.Slots
		}
	}
	return n
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

// choose picks the instance for the next request. An instance whose agent
// still allows a long request is preferred while long ones wait.
func (s *service) choose(now time.Time) (*instance, bool) {
	long := s.queue.Len() > s.queue.Short()
	s.flat = s.flat[:0]
	mayLong := false
	for _, i := range s.instances {
		c := i.Candidate
		c.Slowness = i.slowness
		if now.Before(i.avoid) {
			c.Credits = 0
		}
		if long && i.Credits > 0 && s.longAllowed(i) {
			mayLong = true
		}
		s.flat = append(s.flat, c)
	}
	if mayLong && s.queue.Short() == 0 {
		for k, i := range s.instances {
			if !s.longAllowed(i) {
				s.flat[k].Credits = 0
			}
		}
	}
	k := dispatch.Choose(s.flat, s.meanOfAll())
	if k < 0 {
		return nil, false
	}
	return s.instances[k], s.longAllowed(s.instances[k])
}

func (s *service) meanOfAll() time.Duration {
	names := s.classes.Names()
	if len(names) == 0 {
		return 0
	}
	var sum time.Duration
	for _, n := range names {
		sum += s.classes.Mean(n)
	}
	return sum / time.Duration(len(names))
}

// longAllowed reports whether a long request may be sent to i.
func (s *service) longAllowed(i *instance) bool { return i.longFree > 0 && !i.reserved }

// reserve keeps one instance of each data centre that has several free of
// long requests, so that short ones always find a place nearby. It is called
// when the instances change: a search for each request cost the square of
// their number.
func (s *service) reserve() {
	first := map[model.DataCentre]*instance{}
	several := map[model.DataCentre]bool{}
	for _, i := range s.instances {
		dc := i.agent.worker.DataCentre
		i.reserved = false
		if f := first[dc]; f != nil {
			several[dc] = true
			if f.Backend < i.Backend {
				continue
			}
		}
		first[dc] = i
	}
	for dc, i := range first {
		i.reserved = several[dc]
	}
}

func (d *dispatcher) assign(s *service, i *instance, r dispatch.Request, call chan<- callMessage) {
	d.nextID++
	i.Credits--
	i.Running++
	long := s.classes.Long(r.Class)
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
