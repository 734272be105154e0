package load

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
)

const (
	// maxBacklog bounds the requests of a class that wait for a connection.
	maxBacklog = 100_000
	// responseGrace is the time after the deadline of a request at which its
	// connection aborts it.
	responseGrace = 5 * time.Second
	// defaultDeadline is assumed for requests of classes without a deadline.
	defaultDeadline = 30 * time.Second
)

// timeout is how long a connection waits for a response, and how long the run
// waits for responses after the last request has started.
func (c Class) timeout() time.Duration {
	if c.DeadlineMs > 0 {
		return time.Duration(c.DeadlineMs)*time.Millisecond + responseGrace
	}
	return defaultDeadline + responseGrace
}

// Response is the result of a request on a connection.
type Response struct {
	Status  int    // HTTP status; 0: no response
	Outcome string // header Bambooscale-Outcome
	Failure string // kind of error if there was no response
}

// Connection sends requests, one at a time. One actor owns it.
type Connection interface {
	Send(ctx context.Context) Response
	Close()
}

// message is a message to the actor that owns a class.
type message interface{ isMessage() }

type (
	// begin starts the actor and contains its own address.
	begin struct{ self actor.Address[message] }
	// requestEnded reports the result of a request on a connection.
	requestEnded struct {
		connection int
		sample     sample
	}
)

func (begin) isMessage()        {}
func (requestEnded) isMessage() {}

// Run runs a checked plan with connections that dial creates, and returns when
// every class has ended. When ctx ends it returns the results up to then.
func Run(ctx context.Context, p Plan, dial func(Class) Connection) Report {
	g := actor.NewGroup(ctx, nil)
	defer g.Stop()
	startedAt := time.Now()
	report := Report{Target: p.Target, Started: startedAt, Seed: p.Seed}
	requestCount := &actor.Counter{}
	var replies []actor.Reply[ClassReport]
	for i, c := range p.Classes {
		reply := actor.NewReply[ClassReport]()
		replies = append(replies, reply)
		l := &loader{
			class: c, startedAt: startedAt, schedule: newSchedule(c, p.Seed, i), recorder: newRecorder(c),
			mayStart: func() bool { return requestCount.Next() <= uint64(p.Requests) },
		}
		l.start(g, dial, reply)
	}
	for _, r := range replies {
		// Loaders also reply when ctx ends, so Get always returns.
		c, _ := r.Get(context.WithoutCancel(ctx))
		report.Classes = append(report.Classes, c)
	}
	report.Seconds = time.Since(startedAt).Seconds()
	return report
}

// loader is the state of the actor that owns a class: its schedule, its backlog
// and its results.
type loader struct {
	class           Class
	startedAt       time.Time
	schedule        *schedule
	mayStart        func() bool // false: the run has started all the requests of the plan
	recorder        *recorder
	connections     []actor.Address[time.Duration]
	idleConnections []int
	backlog         []time.Duration // intended starts of requests that wait for a connection
	inFlight        int
}

// start starts the actor. It puts the report of the class into reply when the
// class or the context of g ends.
func (l *loader) start(g *actor.Group, dial func(Class) Connection, reply actor.Reply[ClassReport]) {
	owner := actor.Spawn(g, actor.Spec[message]{Name: "load class", Mailbox: l.class.Connections,
		Run: func(ctx context.Context, in <-chan message) error {
			defer func() { reply.Put(l.recorder.finish()) }()
			select {
			case m := <-in:
				for i := range l.class.Connections {
					l.spawnConnection(g, m.(begin).self, dial(l.class), i)
				}
				l.run(ctx, in)
			case <-ctx.Done():
			}
			return nil
		}})
	// TrySend cannot fail because the mailbox is empty.
	owner.TrySend(begin{owner})
}

// spawnConnection starts the actor of a connection. It owns the connection and
// receives the intended starts of the requests that it sends.
func (l *loader) spawnConnection(g *actor.Group, owner actor.Address[message], c Connection, i int) {
	startedAt, timeout := l.startedAt, l.class.timeout()
	l.connections = append(l.connections, actor.Spawn(g, actor.Spec[time.Duration]{Name: "load connection", Mailbox: 1,
		Run: func(ctx context.Context, in <-chan time.Duration) error {
			defer c.Close()
			for {
				select {
				case <-ctx.Done():
					return nil
				case intended := <-in:
					requestCtx, cancel := context.WithTimeout(ctx, timeout)
					response := c.Send(requestCtx)
					cancel()
					err := owner.Send(ctx, requestEnded{i, sample{intended: intended, latency: time.Since(startedAt) - intended,
						status: response.Status, outcome: response.Outcome, failure: response.Failure}})
					if err != nil {
						return nil // the class has ended
					}
				}
			}
		}}))
	l.idleConnections = append(l.idleConnections, i)
}

// run starts requests on the schedule until it ends, and then waits for the
// responses.
func (l *loader) run(ctx context.Context, in <-chan message) {
	defer func() { l.recorder.report.Unfinished = l.inFlight + len(l.backlog) }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	nextStart, more := l.schedule.next()
	draining := false // all requests have started; the timer bounds the wait for responses
	for {
		now := time.Since(l.startedAt)
		for more && nextStart <= now {
			if more = l.mayStart(); more {
				l.sendOrQueue(nextStart)
				nextStart, more = l.schedule.next()
			}
		}
		switch {
		case more:
			timer.Reset(nextStart - now)
		case l.inFlight == 0:
			return
		case !draining:
			draining = true
			timer.Reset(l.class.timeout())
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			if draining {
				return
			}
		case m := <-in:
			if e, ok := m.(requestEnded); ok {
				l.handleEnded(e)
			}
		}
	}
}

// sendOrQueue sends a request on an idle connection, or queues it. A request that
// exceeds the backlog counts as unsent.
func (l *loader) sendOrQueue(intended time.Duration) {
	switch {
	case len(l.idleConnections) > 0:
		i := l.idleConnections[len(l.idleConnections)-1]
		l.idleConnections = l.idleConnections[:len(l.idleConnections)-1]
		l.send(i, intended)
	case len(l.backlog) < maxBacklog:
		l.backlog = append(l.backlog, intended)
	default:
		l.recorder.report.Unsent++
	}
}

func (l *loader) send(connection int, intended time.Duration) {
	l.inFlight++
	l.recorder.report.Sent++
	// TrySend cannot fail because an idle connection has an empty mailbox.
	l.connections[connection].TrySend(intended)
}

func (l *loader) handleEnded(e requestEnded) {
	l.inFlight--
	l.recorder.add(e.sample)
	if len(l.backlog) == 0 {
		l.idleConnections = append(l.idleConnections, e.connection)
		return
	}
	intended := l.backlog[0]
	l.backlog = l.backlog[1:]
	l.send(e.connection, intended)
}
