package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	headTimeout = 5 * time.Second // until the first frame of a stream
	chunkBytes  = 32 << 10        // maximum body bytes in one frame
	// deadlineGrace delays the agent's timer so that the entry's timer for the
	// same deadline expires first.
	deadlineGrace = 50 * time.Millisecond
)

// exchange is the actor of one request stream. It owns the stream and the HTTP
// request to the backend server.
type exchange struct {
	stream    link.Stream
	slots     Address
	entry     model.EntryID
	transport http.RoundTripper // to the backend server
	head      *msg.RequestHead
	arrivedAt time.Time // when the head was received
	startedAt time.Time // when the decision to start was received
}

var (
	errCancelled = errors.New("the entry cancelled the request")
	errTruncated = errors.New("the request body is shorter than announced")
)

// run serves the stream to its end.
func (x *exchange) run(ctx context.Context) error {
	defer x.stream.Close()
	frame, err := x.receiveFirst()
	if err != nil {
		return err
	}
	head, ok := frame.(*msg.RequestHead)
	if !ok {
		return errors.Newf("stream begins with %T instead of a request head", frame)
	}
	x.head, x.arrivedAt = head, time.Now()
	ctx, cancel := context.WithTimeout(ctx, head.Deadline+deadlineGrace)
	defer cancel()
	g := actor.NewGroup(ctx, nil)
	defer g.Stop()
	defer x.stream.Close() // unblocks the reader before Stop waits for it
	body := newBody(ctx)
	actor.Go(g, "request body", func(ctx context.Context) error {
		err := x.readFrames(ctx, body)
		if err != nil { // cancelled, or the link was lost
			_ = x.slots.Send(ctx, requestCancelled{id: head.ID})
		}
		return err
	})
	return x.runRequest(ctx, cancel, body)
}

// receiveFirst receives the first frame. It closes the stream after headTimeout;
// the end of the link ends the wait as well.
func (x *exchange) receiveFirst() (msg.Frame, error) {
	timer := time.AfterFunc(headTimeout, func() { x.stream.Close() })
	defer timer.Stop()
	return x.stream.Receive()
}

// runRequest waits for a slot and forwards the request and its response.
func (x *exchange) runRequest(ctx context.Context, cancel func(), body *body) error {
	reply := make(chan decision, 1)
	// The slots actor must receive the head even when its deadline has passed,
	// because the entry has spent a credit on it.
	m := requestArrived{head: x.head, entry: x.entry, reply: reply, cancel: cancel}
	if err := x.slots.Send(context.WithoutCancel(ctx), m); err != nil {
		return err
	}
	d, err := x.awaitDecision(ctx, reply)
	if err != nil {
		return err
	}
	if !d.start {
		return x.stream.Send(&msg.Refused{Reason: d.refused})
	}
	x.startedAt = time.Now()
	connected := false
	resp, err := x.sendRequest(ctx, d.address, body, &connected)
	switch {
	case err != nil && !connected:
		x.sendEnded(ctx, exchangeEnded{connectFailed: true})
		return x.stream.Send(&msg.Refused{Reason: msg.RefusedDown})
	case err != nil:
		x.closeUnusedConnections()
		return x.reportFailure(ctx, err)
	}
	defer resp.Body.Close()
	if err := x.forwardResponse(resp); err != nil {
		resp.Body.Close()
		x.closeUnusedConnections()
		return x.reportFailure(ctx, err)
	}
	x.sendEnded(ctx, exchangeEnded{})
	return nil
}

// sendEnded reports the end of the exchange to the slots actor, which frees its
// slot. It does so even when the request's context has ended.
func (x *exchange) sendEnded(ctx context.Context, m exchangeEnded) {
	m.id, m.duration = x.head.ID, time.Since(x.startedAt)
	_ = x.slots.Send(context.WithoutCancel(ctx), m)
}

// reportFailure reports an incomplete exchange to the entry. The entry may then
// run the request on another backend server, so reportFailure first gives this
// one settleTime to notice that the connection was closed.
func (x *exchange) reportFailure(ctx context.Context, err error) error {
	x.sendEnded(ctx, exchangeEnded{closedEarly: true})
	actor.Sleep(ctx, settleTime)
	_ = x.stream.Send(&msg.Failed{Reason: err.Error()})
	return nil
}

// awaitDecision waits for the decision of the slots actor. If the deadline
// passes first it cancels the request; the decision then tells whether the
// request had started.
func (x *exchange) awaitDecision(ctx context.Context, reply <-chan decision) (decision, error) {
	expired := ctx.Done()
	for {
		select {
		case d := <-reply:
			return d, nil
		case <-expired:
			expired = nil
			if err := x.slots.Send(context.WithoutCancel(ctx), requestCancelled{id: x.head.ID}); err != nil {
				return decision{}, err
			}
		case <-x.slots.Done():
			return decision{}, actor.ErrStopped
		}
	}
}

// sendRequest sends the request to the backend server. When it has a connection,
// and before the first byte can be written, it sets connected and sends Started
// to the entry.
func (x *exchange) sendRequest(ctx context.Context, address string, body *body, connected *bool) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !*connected {
			*connected = true
			_ = x.stream.Send(&msg.Started{}) // on an error the lost stream cancels ctx
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.head.Method,
		"http://"+address+x.head.URI, nil)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot repeat the request by itself, which
	// would run it twice.
	req.Body, req.ContentLength = body, x.head.ContentLength
	req.Host = x.head.Host
	for _, f := range x.head.Header {
		req.Header.Add(f.Name, f.Value)
	}
	return x.transport.RoundTrip(req)
}

// closeUnusedConnections closes the unused connections to the backend server if the request was
// held until its deadline. Open connections may have gone silent together, and the next
// request could not be repeated on another one. A backend server that is only slow has
// few unused connections.
func (x *exchange) closeUnusedConnections() {
	// The cancellation by the entry at the deadline may arrive a little earlier here.
	if time.Since(x.arrivedAt) >= x.head.Deadline-deadlineGrace {
		(&http.Client{Transport: x.transport}).CloseIdleConnections()
	}
}

// forwardResponse copies the response to the stream.
func (x *exchange) forwardResponse(resp *http.Response) error {
	head := &msg.ResponseHead{Status: resp.StatusCode, Header: fields(resp.Header), ContentLength: resp.ContentLength}
	if err := x.stream.Send(head); err != nil {
		return err
	}
	var total int64
	size := int64(chunkBytes)
	if resp.ContentLength >= 0 {
		size = min(size, resp.ContentLength+1) // one byte more lets one read reach the end
	}
	buf := make([]byte, size)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			total += int64(n)
			if err := x.stream.Send(&msg.BodyChunk{Data: buf[:n]}); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return x.stream.Send(&msg.BodyEnd{Total: total, Trailer: fields(resp.Trailer)})
		}
		if err != nil {
			return err
		}
	}
}

// fields returns the header as a list of fields.
func fields(h http.Header) []msg.Field {
	list := make([]msg.Field, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			list = append(list, msg.Field{Name: name, Value: v})
		}
	}
	return list
}

// readFrames passes the frames of the request body to b until the stream ends.
// It returns an error when the entry cancels the request, the body is
// incomplete or the stream ends.
func (x *exchange) readFrames(ctx context.Context, b *body) error {
	var total int64
	for {
		f, err := x.stream.Receive()
		if err != nil {
			b.fail(err)
			return err
		}
		switch f := f.(type) {
		case *msg.BodyChunk:
			total += int64(len(f.Data))
			if err := b.push(ctx, f.Data); err != nil {
				return err
			}
		case *msg.BodyEnd:
			if f.Total != total {
				b.fail(errTruncated)
				return errTruncated
			}
			b.finish()
		case *msg.Cancel:
			b.fail(errCancelled)
			return errCancelled
		}
	}
}
