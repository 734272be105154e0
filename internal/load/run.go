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
	answerTime      = 5 * time.Second
	defaultDeadline = 30 * time.Second
)

func (c Class) timeout() time.Duration {
	if c.DeadlineMs > 0 {
		return time.Duration(c.DeadlineMs)*time.Millisecond + answerTime
	}
	return defaultDeadline + answerTime
}

// Answer is what a connection got for a request.
type Answer struct {
	Status  int    // 0: none
	Outcome string // header Bambooscale-Outcome
	Failure string // kind of error, when there was no answer
}

// Connection sends one request at a time.
type Connection interface {
	Send(ctx context.Context) Answer
	Close()
}

// message is what the owner of a class receives.
type message interface{ isMessage() }

type (
	// begin gives the owner its own address.
	begin struct{ self actor.Address[message] }
	// ended is the end of a request on a connection.
	ended struct {
		connection int
		sample     sample
	}
)

func (begin) isMessage() {}
func (ended) isMessage() {}

// Run runs a checked plan with connections that dial makes, and returns when
// every class has ended. It also ends, with what was measured, when ctx does.
func Run(ctx context.Context, p Plan, dial func(Class) Connection) Report {
	g := actor.NewGroup(ctx, nil)
	defer g.Stop()
	began := time.Now()
	report := Report{Target: p.Target, Started: began, Seed: p.Seed}
	budget := &actor.Counter{}
	var replies []actor.Reply[ClassReport]
	for i, c := range p.Classes {
		reply := actor.NewReply[ClassReport]()
		replies = append(replies, reply)
		l := &loader{
			class: c, began: began, schedule: newSchedule(c, p.Seed, i), recorder: newRecorder(c),
			allow: func() bool { return budget.Next() <= uint64(p.Requests) },
		}
		l.start(g, dial, reply)
	}
	for _, r := range replies {
		// Loaders reply when ctx ends, too, so this always returns.
		c, _ := r.Get(context.WithoutCancel(ctx))
		report.Classes = append(report.Classes, c)
	}
	report.Seconds = time.Since(began).Seconds()
	return report
}

// loader is the state of the actor that owns a class: its schedule, its
// backlog and its measurements.
type loader struct {
	class       Class
	began       time.Time
	schedule    *schedule
	allow       func() bool // false: the run has sent all its requests
	recorder    *recorder
	connections []actor.Address[time.Duration]
	idle        []int
	backlog     []time.Duration // intended starts
	running     int
}

func (l *loader) start(g *actor.Group, dial func(Class) Connection, reply actor.Reply[ClassReport]) {
	owner := actor.Spawn(g, actor.Spec[message]{Name: "load class", Mailbox: l.class.Connections,
		Run: func(ctx context.Context, in <-chan message) error {
			defer func() { reply.Put(l.recorder.finish()) }()
			select {
			case m := <-in:
				for i := range l.class.Connections {
					l.spawn(g, m.(begin).self, dial(l.class), i)
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
func (l *loader) spawn(g *actor.Group, owner actor.Address[message], c Connection, i int) {
	began, timeout := l.began, l.class.timeout()
	l.connections = append(l.connections, actor.Spawn(g, actor.Spec[time.Duration]{Name: "load connection", Mailbox: 1,
		Run: func(ctx context.Context, in <-chan time.Duration) error {
			defer c.Close()
			for {
				select {
				case <-ctx.Done():
					return nil
				case intended := <-in:
					sending, cancel := context.WithTimeout(ctx, timeout)
					a := c.Send(sending)
					cancel()
					err := owner.Send(ctx, ended{i, sample{intended: intended, latency: time.Since(began) - intended,
						status: a.Status, outcome: a.Outcome, failure: a.Failure}})
					if err != nil {
						return nil // the class has ended
					}
				}
			}
		}}))
	l.idle = append(l.idle, i)
}

// run starts requests by the schedule until it ends, then waits for answers.
func (l *loader) run(ctx context.Context, in <-chan message) {
	defer func() { l.recorder.report.Unfinished = l.running + len(l.backlog) }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	next, more := l.schedule.next()
	last := false // the timer bounds the wait for answers
	for {
		now := time.Since(l.began)
		for more && next <= now {
			if more = l.allow(); more {
				l.arrive(next)
				next, more = l.schedule.next()
			}
		}
		switch {
		case more:
			timer.Reset(next - now)
		case l.running == 0:
			return
		case !last:
			last = true
			timer.Reset(l.class.timeout())
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			if last {
				return
			}
		case m := <-in:
			if e, ok := m.(ended); ok {
				l.onEnded(e)
			}
		}
	}
}

// arrive sends a request on an idle connection, or keeps it for the next one.
func (l *loader) arrive(intended time.Duration) {
	switch {
	case len(l.idle) > 0:
		i := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		l.send(i, intended)
	case len(l.backlog) < maxBacklog:
		l.backlog = append(l.backlog, intended)
	default:
		l.recorder.report.Unsent++
	}
}

func (l *loader) send(connection int, intended time.Duration) {
	l.running++
	l.recorder.report.Sent++
	// The connection is idle, so that its mailbox has room.
	l.connections[connection].TrySend(intended)
}

func (l *loader) onEnded(e ended) {
	l.running--
	l.recorder.add(e.sample)
	if len(l.backlog) == 0 {
		l.idle = append(l.idle, e.connection)
		return
	}
	intended := l.backlog[0]
	l.backlog = l.backlog[1:]
	l.send(e.connection, intended)
}
