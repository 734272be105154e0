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
	end  ending
	due  time.Time
}

// pump starts the actors of one direction and returns the pacer. The one that
// finds the end of the direction reports it once on ended.
func pump(g *actor.Group, from, to *net.TCPConn, f Faults, ended chan<- ending) actor.Address[setFaults] {
	read, paced := make(chan chunk), make(chan chunk)
	actor.Go(g, "fault-proxy-reader", func(ctx context.Context) error {
		readAll(ctx, from, read)
		return nil
	})
	actor.Go(g, "fault-proxy-writer", func(ctx context.Context) error {
		ended <- writeAll(ctx, to, paced)
		return nil
	})
	p := &pacer{faults: f, read: read, paced: paced}
	return actor.Spawn(g, actor.Spec[setFaults]{Name: "fault-proxy-pacer", Mailbox: 4, Run: p.run})
}

// readAll owns the read half of a socket. It ends with the chunk for the end
// of the stream.
func readAll(ctx context.Context, from *net.TCPConn, out chan<- chunk) {
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		if n > 0 && !pass(ctx, out, chunk{data: buf[:n]}) {
			return
		}
		if err != nil {
			end := endedReset
			if errors.Is(err, io.EOF) {
				end = endedInOrder
			}
			pass(ctx, out, chunk{end: end})
			return
		}
	}
}

func pass(ctx context.Context, out chan<- chunk, c chunk) bool {
	select {
	case out <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeAll owns the write half of a socket.
func writeAll(ctx context.Context, to *net.TCPConn, in <-chan chunk) ending {
	for {
		select {
		case c := <-in:
			if c.data == nil {
				if c.end == endedInOrder {
					_ = to.CloseWrite()
				}
				return c.end
			}
			if _, err := to.Write(c.data); err != nil {
				return endedReset
			}
		case <-ctx.Done():
			return endedInOrder
		}
	}
}

// pacer is the state of the actor that applies the faults of one direction.
// It never waits on a socket, so that faults can be changed at any time.
type pacer struct {
	faults Faults
	read   <-chan chunk
	paced  chan<- chunk
	queue  []chunk
}

func (p *pacer) run(ctx context.Context, in <-chan setFaults) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		read := p.read
		if len(p.queue) >= maxQueued {
			read = nil
		}
		paced, next := p.next(timer)
		select {
		case m := <-in:
			p.faults = m.faults
			m.done.Put(struct{}{})
		case c := <-read:
			c.due = time.Now().Add(p.faults.Delay)
			p.queue = append(p.queue, c)
		case paced <- next:
			if p.sent(next) {
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
func (p *pacer) next(timer *time.Timer) (chan<- chunk, chunk) {
	timer.Stop()
	if p.faults.Blackhole {
		return nil, chunk{}
	}
	if p.faults.Truncate && p.faults.After <= 0 {
		return p.paced, chunk{end: endedTruncated}
	}
	if len(p.queue) == 0 {
		return nil, chunk{}
	}
	c := p.queue[0]
	if wait := time.Until(c.due); wait > 0 {
		timer.Reset(wait)
		return nil, chunk{}
	}
	if p.faults.Truncate && int64(len(c.data)) > p.faults.After {
		c.data = c.data[:p.faults.After]
	}
	return p.paced, c
}

// sent accounts for a chunk that the writer has taken, and reports whether it
// was the last.
func (p *pacer) sent(c chunk) bool {
	if c.data == nil {
		return true
	}
	p.faults.After -= int64(len(c.data))
	if rest := p.queue[0].data[len(c.data):]; len(rest) > 0 {
		p.queue[0].data = rest
		return false
	}
	p.queue[0] = chunk{}
	p.queue = p.queue[1:]
	return false
}
