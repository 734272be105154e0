package faultproxy

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
)

const (
	chunkSize = 16 << 10 // bytes
	// maxQueued bounds the chunks that are queued because of a delay or a
	// blackhole, to 1 MiB.
	maxQueued = 64
)

// chunk is a piece of the stream, or its end when data is nil.
type chunk struct {
	data []byte
	end  endReason // used when data is nil
	due  time.Time // time from which the chunk may pass
}

// pump starts the actors of one direction and returns the fault injector. The
// writer sends the reason for the end of the direction to ended once.
func pump(g *actor.Group, from, to *net.TCPConn, f Faults, ended chan<- endReason) actor.Address[setFaults] {
	read, out := make(chan chunk), make(chan chunk)
	actor.Go(g, "fault-proxy-reader", func(ctx context.Context) error {
		readAll(ctx, from, read)
		return nil
	})
	actor.Go(g, "fault-proxy-writer", func(ctx context.Context) error {
		ended <- writeAll(ctx, to, out)
		return nil
	})
	injector := &faultInjector{faults: f, read: read, out: out}
	return actor.Spawn(g, actor.Spec[setFaults]{Name: "fault-proxy-pacer", Mailbox: 4, Run: injector.run})
}

// readAll reads from until the end of the stream and sends a chunk for the end
// last. It owns the read half of the socket.
func readAll(ctx context.Context, from *net.TCPConn, out chan<- chunk) {
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		if n > 0 && !sendChunk(ctx, out, chunk{data: buf[:n]}) {
			return
		}
		if err != nil {
			end := endedByReset
			if errors.Is(err, io.EOF) {
				end = endedByEOF
			}
			sendChunk(ctx, out, chunk{end: end})
			return
		}
	}
}

// sendChunk reports false when ctx ends before the receiver accepts the chunk.
func sendChunk(ctx context.Context, out chan<- chunk, c chunk) bool {
	select {
	case out <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeAll writes the chunks of in and returns the reason for the end of the
// direction. It owns the write half of the socket.
func writeAll(ctx context.Context, to *net.TCPConn, in <-chan chunk) endReason {
	for {
		select {
		case c := <-in:
			if c.data == nil {
				if c.end == endedByEOF {
					_ = to.CloseWrite()
				}
				return c.end
			}
			if _, err := to.Write(c.data); err != nil {
				return endedByReset
			}
		case <-ctx.Done():
			return endedByEOF
		}
	}
}

// faultInjector is the state of the actor that applies the faults of one
// direction. It never waits for a socket, so that faults can change at any time.
type faultInjector struct {
	faults Faults
	read   <-chan chunk
	out    chan<- chunk
	queue  []chunk
}

func (f *faultInjector) run(ctx context.Context, in <-chan setFaults) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		read := f.read
		if len(f.queue) >= maxQueued {
			read = nil
		}
		out, next := f.nextChunk(timer)
		select {
		case m := <-in:
			f.faults = m.faults
			m.reply.Put(struct{}{})
		case c := <-read:
			c.due = time.Now().Add(f.faults.Delay)
			if f.faults.Blackhole && c.data == nil && c.end == endedByReset {
				f.queue = nil // a sender that resets the connection transmits nothing again
			}
			f.queue = append(f.queue, c)
		case out <- next:
			if f.handleSent(next) {
				return nil
			}
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// nextChunk returns the chunk that may pass now and the channel for it. When no
// chunk may pass, the channel is nil, and the timer is set to the time at which
// the first queued chunk is due, if a delay is the only reason.
func (f *faultInjector) nextChunk(timer *time.Timer) (chan<- chunk, chunk) {
	timer.Stop()
	if f.faults.Blackhole {
		return nil, chunk{}
	}
	if f.faults.Truncate && f.faults.After <= 0 {
		return f.out, chunk{end: endedByTruncation}
	}
	if len(f.queue) == 0 {
		return nil, chunk{}
	}
	c := f.queue[0]
	if wait := time.Until(c.due); wait > 0 {
		timer.Reset(wait)
		return nil, chunk{}
	}
	if f.faults.Truncate && int64(len(c.data)) > f.faults.After {
		c.data = c.data[:f.faults.After]
	}
	return f.out, c
}

// handleSent removes a chunk that the writer has received from the queue. It
// reports whether the chunk was the last one.
func (f *faultInjector) handleSent(c chunk) bool {
	if c.data == nil {
		return true
	}
	f.faults.After -= int64(len(c.data))
	if rest := f.queue[0].data[len(c.data):]; len(rest) > 0 {
		f.queue[0].data = rest
		return false
	}
	f.queue[0] = chunk{}
	f.queue = f.queue[1:]
	return false
}
