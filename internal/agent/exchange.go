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
	headTimeout   = 5 * time.Second       // for the first frame of a stream
	chunkBytes    = 32 << 10              // body bytes in one frame
	deadlineGrace = 50 * time.Millisecond // the entry's own timer should fire first
)

// exchange is the actor of one request stream: it owns the stream and the
// call to the backend server.
type exchange struct {
	stream    link.Stream
	slots     Address
	entry     model.EntryID
	transport http.RoundTripper
	head      *msg.RequestHead
	begun     time.Time
}

var (
	errCancelled = errors.New("the entry cancelled the request")
	errTruncated = errors.New("the request body is shorter than announced")
)

// run serves the stream to its end.
func (x *exchange) run(ctx context.Context) error {
	defer x.stream.Close()
	frame, err := x.first(ctx)
	if err != nil {
		return err
	}
	head, ok := frame.(*msg.RequestHead)
	if !ok {
		return errors.Newf("stream begins with %T instead of a request head", frame)
	}
	x.head = head
	ctx, cancel := context.WithTimeout(ctx, head.Deadline+deadlineGrace)
	defer cancel()
	g := actor.NewGroup(ctx, nil)
	defer g.Stop()
	defer x.stream.Close() // unblocks the reader before Stop waits for it
	body := newBody(ctx)
	actor.Go(g, "request body", func(ctx context.Context) error {
		err := x.readFrames(ctx, body)
		if err != nil { // a cancel, or the link is lost
			_ = x.slots.Send(ctx, cancelled{id: head.ID})
		}
		return err
	})
	return x.serve(ctx, cancel, body)
}

// first waits for the first frame for a bounded time.
func (x *exchange) first(ctx context.Context) (msg.Frame, error) {
	stop := context.AfterFunc(withTimeout(ctx, headTimeout), func() { x.stream.Close() })
	defer stop()
	return x.stream.Receive()
}

func withTimeout(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func (x *exchange) serve(ctx context.Context, cancel func(), body *body) error {
	reply := make(chan verdict, 1)
	// The slots actor must learn of the head even when its deadline has
	// passed: the entry has spent a credit on it.
	m := begin{head: x.head, entry: x.entry, reply: reply, cancel: cancel}
	if err := x.slots.Send(context.WithoutCancel(ctx), m); err != nil {
		return err
	}
	v, err := x.verdict(ctx, reply)
	if err != nil {
		return err
	}
	if !v.start {
		return x.stream.Send(&msg.Refused{Reason: v.refused})
	}
	x.begun = time.Now()
	reached := false
	resp, err := x.call(ctx, v.address, body, &reached)
	switch {
	case err != nil && !reached:
		x.end(ctx, ended{unreached: true})
		return x.stream.Send(&msg.Refused{Reason: msg.RefusedDown})
	case err != nil:
		return x.failed(ctx, err)
	}
	defer resp.Body.Close()
	if err := x.respond(resp); err != nil {
		resp.Body.Close()
		return x.failed(ctx, err)
	}
	x.end(ctx, ended{})
	return nil
}

// end gives the slot back, also when the request's context has ended.
func (x *exchange) end(ctx context.Context, m ended) {
	m.id, m.ran = x.head.ID, time.Since(x.begun)
	_ = x.slots.Send(context.WithoutCancel(ctx), m)
}

// failed reports an incomplete exchange. The entry may then repeat the request
// elsewhere, so the backend server first gets the time to notice that the
// connection was closed.
func (x *exchange) failed(ctx context.Context, err error) error {
	x.end(ctx, ended{early: true})
	actor.Sleep(ctx, settleTime)
	_ = x.stream.Send(&msg.Failed{Reason: err.Error()})
	return nil
}

// verdict waits for the decision of the slots actor. When the deadline comes
// first the request is cancelled, and the verdict tells whether it had started.
func (x *exchange) verdict(ctx context.Context, reply <-chan verdict) (verdict, error) {
	late := ctx.Done()
	for {
		select {
		case v := <-reply:
			return v, nil
		case <-late:
			late = nil
			if err := x.slots.Send(context.WithoutCancel(ctx), cancelled{id: x.head.ID}); err != nil {
				return verdict{}, err
			}
		case <-x.slots.Done():
			return verdict{}, actor.ErrStopped
		}
	}
}

// call sends the request to the backend server. reached is set before the
// first byte can be written.
func (x *exchange) call(ctx context.Context, address string, body *body, reached *bool) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !*reached {
			*reached = true
			_ = x.stream.Send(&msg.Started{}) // a lost stream ends the call by its context
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.head.Method,
		"http://"+address+x.head.URI, nil)
	if err != nil {
		return nil, err
	}
	// A body without GetBody keeps the transport from repeating the request
	// on its own: that would run it twice.
	req.Body, req.ContentLength = body, x.head.ContentLength
	req.Host = x.head.Host
	for _, f := range x.head.Header {
		req.Header.Add(f.Name, f.Value)
	}
	return x.transport.RoundTrip(req)
}

// respond copies the response to the stream.
func (x *exchange) respond(resp *http.Response) error {
	head := &msg.ResponseHead{Status: resp.StatusCode, Header: fields(resp.Header), ContentLength: resp.ContentLength}
	if err := x.stream.Send(head); err != nil {
		return err
	}
	var total int64
	buf := make([]byte, chunkBytes)
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

func fields(h http.Header) []msg.Field {
	list := make([]msg.Field, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			list = append(list, msg.Field{Name: name, Value: v})
		}
	}
	return list
}

// readFrames feeds the request body until the stream ends. It returns an
// error when the entry cancels, or the stream ends out of order.
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
