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

// RestartPolicy says what happens after an actor's Run has failed.
type RestartPolicy uint8

// Restart policies.
const (
	Never     RestartPolicy = iota // the actor ends, and OnExit is called with the error
	OnFailure                      // Run is called again after a backoff
)

const (
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 5 * time.Second
	// minHealthyRun is the duration of a Run that resets the backoff.
	minHealthyRun = 30 * time.Second
)

// Spec describes an actor that receives messages of type M.
type Spec[M any] struct {
	Name    string
	Mailbox int // capacity of the mailbox in messages
	// Run owns the actor's state. It returns nil to end the actor, and must
	// return when ctx is done.
	Run     func(ctx context.Context, in <-chan M) error
	Restart RestartPolicy
	OnExit  func(error) // called once, after the last Run; may be nil
	// Overflow receives a value each time TrySend drops a message because the
	// mailbox is full. The value is dropped too when Overflow has no free
	// capacity. May be nil.
	Overflow chan<- struct{}
}

// Address is a handle for sending messages to an actor. The zero Address
// refuses every message. Addresses may be copied and used by any goroutine.
type Address[M any] struct {
	in       chan M
	done     chan struct{}
	overflow chan<- struct{}
}

// Send delivers m and waits while the mailbox is full. It returns ErrStopped
// after the actor has ended, or the context's error.
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

// TrySend delivers m unless the mailbox is full or the actor has ended, and
// reports whether it did. It does not block.
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
	case a.overflow <- struct{}{}:
	default: // no Overflow channel, or it is full
	}
	return false
}

// Done returns a channel that is closed when the actor has ended. It is nil for
// the zero Address.
func (a Address[M]) Done() <-chan struct{} { return a.done }

// Exit reports the end of one Run of an actor.
type Exit struct {
	Actor       string
	Err         error
	WillRestart bool // Run will be called again
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

// Context returns the context of the group's actors. It is done when the
// group is stopped.
func (g *Group) Context() context.Context { return g.ctx }

// Sub returns a group whose context is done when g or the new group is stopped.
func (g *Group) Sub() *Group { return NewGroup(g.ctx, g.observe) }

// Stop cancels the context of every actor in the group and waits for them.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}

// Cancel cancels the group's context without waiting for the actors.
func (g *Group) Cancel() { g.cancel() }

// Wait waits until every actor of the group has ended.
func (g *Group) Wait() { g.wg.Wait() }

// Spawn starts an actor in g and returns its address.
func Spawn[M any](g *Group, s Spec[M]) Address[M] {
	a := Address[M]{in: make(chan M, s.Mailbox), done: make(chan struct{}), overflow: s.Overflow}
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

// Go starts an actor without a mailbox, such as the reader of a socket. The
// channel that it returns is closed when the actor has ended.
func Go(g *Group, name string, run func(ctx context.Context) error) <-chan struct{} {
	a := Spawn(g, Spec[struct{}]{Name: name, Run: func(ctx context.Context, _ <-chan struct{}) error {
		return run(ctx)
	}})
	return a.Done()
}

// GoUntilDone is like Go for an actor that others wait for: after an error or a panic it
// runs again, after a delay that grows with each failure, until run returns nil.
func GoUntilDone(g *Group, name string, run func(ctx context.Context) error) {
	Spawn(g, Spec[struct{}]{Name: name, Restart: OnFailure, Run: func(ctx context.Context, _ <-chan struct{}) error {
		return run(ctx)
	}})
}

func supervise[M any](g *Group, s Spec[M], in <-chan M) error {
	delay := minRestartDelay
	for {
		start := time.Now()
		err := runOnce(g.ctx, s, in)
		restart := err != nil && s.Restart == OnFailure && g.ctx.Err() == nil
		if err != nil && g.ctx.Err() == nil {
			g.observe(Exit{Actor: s.Name, Err: err, WillRestart: restart})
		}
		if !restart {
			return err
		}
		if time.Since(start) > minHealthyRun {
			delay = minRestartDelay
		}
		if !Sleep(g.ctx, delay) {
			return err
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

func stack() []byte { return debug.Stack() }

func runOnce[M any](ctx context.Context, s Spec[M], in <-chan M) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("actor %s panicked: %v\n%s", s.Name, r, stack())
		}
	}()
	if err := s.Run(ctx, in); err != nil {
		return &runError{actor: s.Name, err: err}
	}
	return nil
}

// runError is the error of one Run. Its text is formatted only when it is
// read: actors that serve a request end with an error whenever a peer closes
// the connection, and formatting an error with its stack takes longer than
// serving the request.
type runError struct {
	actor string
	err   error
}

func (f *runError) Error() string { return "actor " + f.actor + ": " + f.err.Error() }
func (f *runError) Unwrap() error { return f.err }

// Sleep waits for d. It returns false if ctx is done first.
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
