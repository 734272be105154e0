package storage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
)

const (
	defaultWriterQueue = 4096 // operations
	writerMailbox      = 256  // messages
	// callTimeout ends a call for which the client has no timeout of its own.
	callTimeout = 2 * DefaultTimeout
)

// WriterConfig holds the parameters of a Writer.
type WriterConfig struct {
	Table Table
	// Key is the key of the writer's row. Two running writers must not share
	// it; the successor of a stopped writer may use it.
	Key       string
	MaxQueued int            // operations in the queue; 0: 4096
	Log       log.Interface  // nil: no log
	Random    func() float64 // for jitter, in [0, 1); nil: math/rand/v2
}

// Writer writes to the table service with group commit: operations that arrive
// within 20 ms share a transaction. Operations on the same row take effect in
// the order in which they arrive. Any goroutine may use it.
type Writer struct{ to actor.Address[writerMessage] }

// writerMessage enqueues an operation or withdraws it.
type writerMessage struct {
	op       *pending
	withdraw bool
}

// callResult is the result of a call of the table service.
type callResult struct {
	read     bool // a read of the writer's row; otherwise a commit
	row      Row
	revision Revision
	err      error
}

// SpawnWriter starts a writer in g.
func SpawnWriter(g *actor.Group, c WriterConfig) Writer {
	if c.MaxQueued == 0 {
		c.MaxQueued = defaultWriterQueue
	}
	if c.Log == nil {
		c.Log = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
	return Writer{actor.Spawn(g, actor.Spec[writerMessage]{
		Name: "writer " + c.Key, Mailbox: writerMailbox, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan writerMessage) error {
			return newWriterLoop(g, c).run(ctx, in)
		},
	})}
}

// Write writes op and waits for the outcome. The error is a *ConflictError
// with the keys of op's checks that failed, ErrUnavailable (no effect),
// ErrRefused (no effect, op is invalid) or ErrOutcomeUnknown. If ctx ends
// first, it is ErrUnavailable if op was never sent to the service, otherwise
// ErrOutcomeUnknown, and matches the context's error as well. The slices in op
// must not be modified afterwards: a withdrawn operation may still be sent or
// repeated.
func (w Writer) Write(ctx context.Context, op Op) (Revision, error) {
	p, err := newPending(op)
	if err != nil {
		return 0, err
	}
	if err := w.to.Send(ctx, writerMessage{op: p}); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	select {
	case r := <-p.reply.C():
		return r.Revision, r.Err
	case <-w.to.Done():
		return p.outcomeAfterStop(ctx)
	case <-ctx.Done():
	}
	// The writer's actor does not block on calls, so it answers promptly.
	if w.to.Send(context.WithoutCancel(ctx), writerMessage{op: p, withdraw: true}) == nil {
		select {
		case r := <-p.reply.C():
			return r.Revision, withContext(ctx, r.Err)
		case <-w.to.Done():
		}
	}
	return p.outcomeAfterStop(ctx)
}

// outcomeAfterStop returns the outcome after the writer's actor has ended.
func (p *pending) outcomeAfterStop(ctx context.Context) (Revision, error) {
	select {
	case r := <-p.reply.C():
		return r.Revision, withContext(ctx, r.Err)
	default:
		return 0, withContext(ctx, errors.Wrap(ErrOutcomeUnknown, "the writer stopped"))
	}
}

// withContext adds the error of a context that has ended.
func withContext(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return fmt.Errorf("%w: %w", err, ctx.Err())
}

// WriteTo writes op without blocking the caller. It converts the outcome to a
// message with build and sends it to the actor at to.
func WriteTo[M any](g *actor.Group, w Writer, op Op, to actor.Address[M], build func(WriteResult) M) {
	actor.Go(g, "write", func(ctx context.Context) error {
		rev, err := w.Write(ctx, op)
		_ = to.Send(ctx, build(WriteResult{rev, err}))
		return nil
	})
}

// writerLoop is the state of the writer's actor. Its calls of the service run
// in goroutines of their own, one at a time.
type writerLoop struct {
	group   *actor.Group
	config  WriterConfig
	core    *writerCore
	results chan callResult
	timer   *time.Timer
}

func newWriterLoop(g *actor.Group, c WriterConfig) *writerLoop {
	// Operation ids must differ from those of earlier runs of the actor.
	prefix := fmt.Sprintf("%s/%016x", c.Key, rand.Uint64())
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &writerLoop{g, c, newWriterCore(c.Key, prefix, c.MaxQueued, NewBackoff(c.Random)), make(chan callResult, 1), timer}
}

func (l *writerLoop) run(ctx context.Context, in <-chan writerMessage) error {
	defer l.timer.Stop()
	defer l.abandon(ctx, in)
	for {
		select {
		case m := <-in:
			if m.withdraw {
				l.core.withdraw(m.op, time.Now())
			} else {
				l.core.enqueue(m.op, time.Now())
			}
		case r := <-l.results:
			if r.read {
				l.core.readReturned(r.row, r.err, time.Now())
			} else {
				l.core.commitReturned(r.revision, r.err, time.Now())
			}
		case <-l.timer.C:
			l.core.delayElapsed(time.Now())
		case <-ctx.Done():
			return nil
		}
		l.applyEffects(l.core.takeEffects())
	}
}

// applyEffects carries out the effects of the core and sets the timer.
func (l *writerLoop) applyEffects(e effects) {
	for _, r := range e.logRecords {
		event.Log(l.config.Log, r.event, r.fields)
	}
	for _, s := range e.settled {
		s.op.reply.Put(s.WriteResult)
	}
	switch {
	case e.commit != nil:
		txn := *e.commit
		l.startCall(callResult{}, func(ctx context.Context, r *callResult) {
			r.revision, r.err = l.config.Table.Commit(ctx, txn)
		})
	case e.read:
		l.startCall(callResult{read: true}, func(ctx context.Context, r *callResult) {
			r.row, r.err = l.config.Table.Read(ctx, l.config.Key)
		})
	}
	if l.core.wakeAt.IsZero() {
		l.timer.Stop()
	} else {
		l.timer.Reset(time.Until(l.core.wakeAt))
	}
}

// startCall runs f in a goroutine; f sets the fields of r. If f panics, the
// outcome is unknown.
func (l *writerLoop) startCall(r callResult, f func(context.Context, *callResult)) {
	results := l.results
	r.err = ErrOutcomeUnknown
	actor.Go(l.group, "table call", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		defer func() { results <- r }() // does not block: at most one call at a time
		f(ctx, &r)
		return nil
	})
}

// abandon settles every operation when a run of the actor ends. Unread messages
// are answered only if the actor is not restarted.
func (l *writerLoop) abandon(ctx context.Context, in <-chan writerMessage) {
	l.core.abandon()
	for _, s := range l.core.takeEffects().settled {
		s.op.reply.Put(s.WriteResult)
	}
	for ctx.Err() != nil {
		select {
		case m := <-in:
			m.op.reply.Put(WriteResult{Err: errors.Wrap(ErrUnavailable, "the writer stopped before it was sent")})
		default:
			return
		}
	}
}
