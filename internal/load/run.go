package load

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
)

const (
	// maxBacklog bounds the requests of a class that wait for a connection.
	maxBacklog = 100_000
	// answerTime is how long a request may take beyond its deadline before its
	// connection gives it up, and how long the run waits after the last start.
	responseGrace   = 5 * time.Second
	defaultDeadline = 30 * time.Second
)

func (c Class) timeout() time.Duration {
	if c.DeadlineMs > 0 {
		return time.Duration(c.DeadlineMs)*time.Millisecond + responseGrace
	}
	return defaultDeadline + responseGrace
}

// Answer is what a connection got for a request.
type Response struct {
	Status  int    // 0: none
	Outcome string // header Bambooscale-Outcome
	Failure string // kind of error, when there was no answer
}

// Connection sends one request at a time.
type Connection interface {
	Send(ctx context.Context) Response
	Close()
}

// message is what the owner of a class receives.
type message interface{ isMessage() }

type (
	// begin gives the owner its own address.
	begin struct{ self actor.Address[message] }
	// ended is the end of a request on a connection.
	requestEnded struct {
		connection int
		sample     sample
	}
)

func (begin) isMessage()        {}
func (requestEnded) isMessage() {}

// Run runs a checked plan with connections that dial makes, and returns when
// every class has ended. It also ends, with what was measured, when ctx does.
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
		// Loaders reply when ctx ends, too, so this always returns.
		c, _ := r.Get(context.WithoutCancel(ctx))
		report.Classes = append(report.Classes, c)
	}
	report.Seconds = time.Since(startedAt).Seconds()
	return report
}

// loader is the state of the actor that owns a class: its schedule, its
// backlog and its measurements.
type loader struct {
	class           Class
	startedAt       time.Time
	schedule        *schedule
	mayStart        func() bool // false: the run has sent all its requests
	recorder        *recorder
	connections     []actor.Address[time.Duration]
	idleConnections []int
	backlog         []time.Duration // intended starts
	inFlight        int
}

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
	// The mailbox is empty, so that the message always has room.
	owner.TrySend(begin{owner})
}

// spawn starts a connection, which owns its socket and receives the intended
// starts of the requests that it sends.
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

// run starts requests by the schedule until it ends, then waits for answers.
func (l *loader) run(ctx context.Context, in <-chan message) {
	defer func() { l.recorder.report.Unfinished = l.inFlight + len(l.backlog) }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	nextStart, more := l.schedule.next()
	draining := false // the timer bounds the wait for answers
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

// arrive sends a request on an idle connection, or keeps it for the next one.
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
	// The connection is idle, so that its mailbox has room.
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
