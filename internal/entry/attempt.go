package entry

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// openTimeout bounds the opening of a stream on an established link.
const openTimeout = 2 * time.Second

// attempt is one offer of a request to an agent.
type attempt struct {
	assignment    assignment
	stream        link.Stream
	group         *actor.Group
	frames        chan msg.Frame // from the reader, one at a time
	frameDone     chan struct{}  // signalled when the last frame has been handled
	readErr       chan error     // the error that ended the reader; buffers one
	contentLength int64          // declared length of the response in bytes, -1: unknown
	received      int64          // body bytes of the response
	flushChunks   bool           // the length is unknown: flush after each chunk
}

// open sends the head and starts the actors that send the body and receive
// the response. An error means that nothing was sent.
func (a *attempt) open(head *msg.RequestHead, body *requestBody) error {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	stream, err := a.assignment.conn.OpenStream(ctx)
	if err != nil {
		return err
	}
	a.stream = stream
	a.group = actor.NewGroup(context.Background(), nil)
	a.frames, a.frameDone, a.readErr = make(chan msg.Frame), make(chan struct{}, 1), make(chan error, 1)
	actor.Go(a.group, "request sender", func(ctx context.Context) error {
		// A failed send closes the stream, which the reader reports.
		if err := stream.Send(head); err != nil {
			stream.Close()
			return err
		}
		return body.sendTo(ctx, stream)
	})
	actor.Go(a.group, "response reader", a.read)
	return nil
}

// read passes the frames of the stream to the request's actor, one at a time.
func (a *attempt) read(ctx context.Context) error {
	for {
		f, err := a.stream.Receive()
		if err != nil {
			a.readErr <- err
			return err
		}
		select {
		case a.frames <- f:
		case <-ctx.Done():
			return nil
		}
		select { // chunk data is valid until the next Receive
		case <-a.frameDone:
		case <-ctx.Done():
			return nil
		}
	}
}

// proceed lets the reader receive the next frame.
func (a *attempt) proceed() {
	if a.frameDone == nil {
		return
	}
	select {
	case a.frameDone <- struct{}{}:
	default:
	}
}

// stop ends the stream, which cancels the exchange at the agent if it has not
// ended, and waits for the attempt's actors.
func (a *attempt) stop() {
	if a.stream == nil {
		return
	}
	a.stream.Close()
	a.group.Stop()
	a.frames, a.frameDone, a.readErr = nil, nil, nil
}

// stopAttempt stops the current attempt and records whether the body can be
// sent again.
func (c *call) stopAttempt() {
	if c.attempt != nil {
		c.attempt.stop()
		c.replayable = c.body.replayable()
	}
}

// endAttempt reports to the dispatcher that the credit is no longer used.
// failed means that the backend server or its agent did not serve the request.
func (c *call) endAttempt(failed bool) {
	if c.attempt == nil {
		return
	}
	c.stopAttempt()
	if c.attempt.stream == nil { // no stream was opened: the agent does not know of the assignment
		c.send(creditUnused{assignment: c.attempt.assignment, openFailed: true})
		c.attempt = nil
		return
	}
	f := requestFinished{assignment: c.attempt.assignment, service: c.route.service, class: c.route.class.Name, failed: failed || c.outcomeFailed()}
	if !c.startedAt.IsZero() {
		f.started, f.duration = true, time.Since(c.startedAt)
	}
	c.send(f)
	c.attempt, c.startedAt = nil, time.Time{}
}

// outcomeFailed reports whether the exchange failed at the backend server or
// its outcome is unknown.
func (c *call) outcomeFailed() bool {
	return c.state == stFailed || c.state == stUnknown || c.state == stAborted
}
