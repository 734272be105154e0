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
	to        assignment
	stream    link.Stream
	group     *actor.Group
	frames    chan msg.Frame // from the reader, one at a time
	next      chan struct{}  // lets the reader receive the next frame
	broken    chan error     // has room for the reader's one error
	length    int64          // declared length of the response, -1: unknown
	received  int64          // body bytes of the response
	streaming bool           // flush after each chunk
}

// open sends the head and starts the actors that send the body and receive
// the response. An error means that nothing was sent.
func (a *attempt) open(head *msg.RequestHead, body *requestBody) error {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	stream, err := a.to.conn.OpenStream(ctx)
	if err != nil {
		return err
	}
	a.stream = stream
	a.group = actor.NewGroup(context.Background(), nil)
	a.frames, a.next, a.broken = make(chan msg.Frame), make(chan struct{}, 1), make(chan error, 1)
	actor.Go(a.group, "request sender", func(ctx context.Context) error {
		// A failed send shows as the end of the stream at the reader.
		if err := stream.Send(head); err != nil {
			stream.Close()
			return err
		}
		return body.sendTo(ctx, stream)
	})
	actor.Go(a.group, "response reader", a.read)
	return nil
}

func (a *attempt) read(ctx context.Context) error {
	for {
		f, err := a.stream.Receive()
		if err != nil {
			a.broken <- err
			return err
		}
		select {
		case a.frames <- f:
		case <-ctx.Done():
			return nil
		}
		select { // chunk data is valid until the next Receive
		case <-a.next:
		case <-ctx.Done():
			return nil
		}
	}
}

// proceed lets the reader receive the next frame.
func (a *attempt) proceed() {
	if a.next == nil {
		return
	}
	select {
	case a.next <- struct{}{}:
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
	a.frames, a.next, a.broken = nil, nil, nil
}

// stopAttempt stops the current attempt and learns whether the body can be
// sent again.
func (c *call) stopAttempt() {
	if c.attempt != nil {
		c.attempt.stop()
		c.replayable = c.body.replayable()
	}
}

// endAttempt tells the dispatcher that the credit is no longer used.
func (c *call) endAttempt(failed bool) {
	if c.attempt == nil {
		return
	}
	c.stopAttempt()
	if c.attempt.stream == nil { // the agent has heard nothing of the credit
		c.send(unused{to: c.attempt.to, failed: true})
		c.attempt = nil
		return
	}
	f := finished{to: c.attempt.to, service: c.rt.service, class: c.rt.class.Name, failed: failed || c.outcomeFailed()}
	if !c.started.IsZero() {
		f.started, f.ran = true, time.Since(c.started)
	}
	c.send(f)
	c.attempt, c.started = nil, time.Time{}
}

// outcomeFailed reports whether the exchange failed for a reason on the side
// of the backend server.
func (c *call) outcomeFailed() bool {
	return c.state == stFailed || c.state == stUnknown || c.state == stAborted
}
