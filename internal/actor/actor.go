// Package actor runs goroutines that own their state and their sockets and
// communicate by messages. It is the only package that synchronises
// goroutines; it does not know what the messages mean.
package actor

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStopped is returned when a message is sent to an actor that has ended.
var ErrStopped = errors.New("actor has stopped")

// Restart says what happens after an actor's Run failed.
type RestartPolicy uint8

// Restart policies.
const (
	Never     RestartPolicy = iota // the actor ends; OnExit tells its owner
	OnFailure                      // Run is called again after a backoff
)

const (
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 5 * time.Second
	// A Run that lasted this long is considered healthy and resets the backoff.
	healthyRun = 30 * time.Second
)

// Spec describes an actor that receives messages of type M.
type Spec[M any] struct {
	Name    string
	Mailbox int // capacity in messages
	// Run owns the actor's state. It returns nil to end the actor, and must
	// return when ctx is done.
	Run     func(ctx context.Context, in <-chan M) error
	Restart RestartPolicy
	OnExit  func(error) // called once, after the last Run; may be nil
	// Full gets a value when TrySend finds the mailbox full, if it has room;
	// may be nil.
	Overflow chan<- struct{}
}

// Address is a handle for sending messages to an actor. The zero Address
// refuses every message. Addresses may be copied and used by any goroutine.
type Address[M any] struct {
	in   chan M
	done chan struct{}
	full chan<- struct{}
}

// Send delivers m, waiting for room in the mailbox. It returns ErrStopped
// after the actor ended, or the context's error.
func (a Address[M]) Send(ctx context.Context, m M) error {
	if a.in == nil {
		return ErrStopped
	}
	select {
	case <-a.done:
		return ErrStopped
	default:
	}
	select {
	case a.in <- m:
		return nil
	case <-a.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TrySend delivers m if the mailbox has room, and reports whether it did.
func (a Address[M]) TrySend(m M) bool {
	if a.in == nil {
		return false
	}
	select {
	case <-a.done:
		return false
	default:
	}
	select {
	case a.in <- m:
		return true
	default:
	}
	select {
	case a.full <- struct{}{}:
	default: // told before, or nobody asked
	}
	return false
}

// Done is closed when the actor has ended.
func (a Address[M]) Done() <-chan struct{} { return a.done }

// Exit reports the end of one Run of an actor.
type Exit struct {
	Actor       string
	Err         error
	WillRestart bool // the actor will be started again
}

// Group is a set of actors with one context. Stop ends them all.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	wg      *sync.WaitGroup
	observe func(Exit)
}

// NewGroup returns an empty group. observe is called from the actors'
// goroutines at each failed Run; it must not block and may be nil.
func NewGroup(ctx context.Context, observe func(Exit)) *Group {
	ctx, cancel := context.WithCancel(ctx)
	if observe == nil {
		observe = func(Exit) {}
	}
	return &Group{ctx: ctx, cancel: cancel, wg: &sync.WaitGroup{}, observe: observe}
}

// Context ends when the group is stopped.
func (g *Group) Context() context.Context { return g.ctx }

// Sub returns a group whose context ends with g's or its own Stop.
func (g *Group) Sub() *Group { return NewGroup(g.ctx, g.observe) }

// Stop cancels the context of every actor in the group and waits for them.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}

// Cancel ends the group's context without waiting.
func (g *Group) Cancel() { g.cancel() }

// Wait waits until every actor of the group has ended.
func (g *Group) Wait() { g.wg.Wait() }

// Spawn starts an actor in g and returns its address.
func Spawn[M any](g *Group, s Spec[M]) Address[M] {
	a := Address[M]{in: make(chan M, s.Mailbox), done: make(chan struct{}), full: s.Overflow}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		err := supervise(g, s, a.in)
		close(a.done)
		if s.OnExit != nil {
			s.OnExit(err)
		}
	}()
	return a
}

// Go starts an actor without a mailbox, such as the reader of a socket.
func Go(g *Group, name string, run func(ctx context.Context) error) <-chan struct{} {
	a := Spawn(g, Spec[struct{}]{Name: name, Run: func(ctx context.Context, _ <-chan struct{}) error {
		return run(ctx)
	}})
	return a.Done()
}

func supervise[M any](g *Group, s Spec[M], in <-chan M) error {
	delay := minRestartDelay
	for {
		began := time.Now()
		err := runOnce(g.ctx, s, in)
		again := err != nil && s.Restart == OnFailure && g.ctx.Err() == nil
		if err != nil && g.ctx.Err() == nil {
			g.observe(Exit{Actor: s.Name, Err: err, WillRestart: again})
		}
		if !again {
			return err
		}
		if time.Since(began) > healthyRun {
			delay = minRestartDelay
		}
		if !Sleep(g.ctx, delay) {
			return err
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

func runOnce[M any](ctx context.Context, s Spec[M], in <-chan M) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("actor %s panicked: %v\n%s", s.Name, r, debug.Stack())
		}
	}()
	if err := s.Run(ctx, in); err != nil {
		return &failure{actor: s.Name, err: err}
	}
	return nil
}

// failure is the error of one Run. Its text is made only when it is read:
// actors that serve a request end with an error whenever a peer hangs up, and
// formatting an error with its stack takes longer than serving the request.
type failure struct {
	actor string
	err   error
}

func (f *failure) Error() string { return "actor " + f.actor + ": " + f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

// Sleep waits for d; it returns false when ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
