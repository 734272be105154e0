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
	// maxQueued bounds the chunks that a delay or hole holds, 1 MiB in all.
	maxQueued = 64
)

// chunk is what a reader has read, or the end of the stream when data is nil.
type chunk struct {
	data []byte
	end  endReason
	due  time.Time
}

// pump starts the actors of one direction and returns the pacer. The one that
// finds the end of the direction reports it once on ended.
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

// readAll owns the read half of a socket. It ends with the chunk for the end
// of the stream.
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

func sendChunk(ctx context.Context, out chan<- chunk, c chunk) bool {
	select {
	case out <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeAll owns the write half of a socket.
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

// pacer is the state of the actor that applies the faults of one direction.
// It never waits on a socket, so that faults can be changed at any time.
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
			m.done.Put(struct{}{})
		case c := <-read:
			c.due = time.Now().Add(f.faults.Delay)
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

// next returns the chunk that may pass now and the channel for it. The channel
// is nil when none may; then the timer is set if one will be due.
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

// sent accounts for a chunk that the writer has taken, and reports whether it
// was the last.
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
