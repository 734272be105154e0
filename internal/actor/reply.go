package actor

import "context"

// Reply carries one answer back to the sender of a message.
type Reply[T any] struct{ ch chan T }

// NewReply returns a Reply that buffers its answer, so that Put never blocks.
func NewReply[T any]() Reply[T] { return Reply[T]{ch: make(chan T, 1)} }

// Put stores the answer. Answers after the first are dropped, and so is an
// answer to a zero Reply.
func (r Reply[T]) Put(v T) {
	select {
	case r.ch <- v:
	default:
	}
}

// Get waits for the answer. It returns the context's error if ctx is done first.
func (r Reply[T]) Get(ctx context.Context) (T, error) {
	select {
	case v := <-r.ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel that receives the answer, for use in a select.
func (r Reply[T]) C() <-chan T { return r.ch }

// Ask sends the message that build creates from a new Reply and waits for the
// answer. It returns ErrStopped if the actor ends without an answer, or the context's
// error.
func Ask[M, T any](ctx context.Context, to Address[M], build func(Reply[T]) M) (T, error) {
	var zero T
	r := NewReply[T]()
	if err := to.Send(ctx, build(r)); err != nil {
		return zero, err
	}
	return r.await(ctx, to.done)
}

// await waits for the answer of an actor until the actor has ended.
func (r Reply[T]) await(ctx context.Context, ended <-chan struct{}) (T, error) {
	var zero T
	select {
	case v := <-r.ch:
		return v, nil
	case <-ended:
		return r.answerOfStopped()
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// answerOfStopped returns the answer of an actor that has ended. The actor may have
// answered before, so that both were ready when the asker looked.
func (r Reply[T]) answerOfStopped() (T, error) {
	select {
	case v := <-r.ch:
		return v, nil
	default:
		var zero T
		return zero, ErrStopped
	}
}
