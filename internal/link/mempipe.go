package link

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// packetKind says what a pipe does with a packet at its far end.
type packetKind uint8

const (
	packetData        packetKind = iota // adds data to the inbox of half
	packetEnd                           // ends half
	packetOpen                          // offers stream to the far end
	packetConnect                       // offers the far end to listener
	packetEstablished                   // the far end's dial has succeeded
	packetHangup                        // ends the far end
)

type packet struct {
	kind      packetKind
	direction *direction
	data      []byte
	stream    *memStream
	listener  *memListener
}

// pipeMessage is a packet to deliver, or a change of quality.
type pipeMessage struct {
	packet  packet
	state   *pathState
	applied actor.Reply[struct{}]
}

// pipe is the actor of one direction of a link: it delivers packets in order,
// each when it is due. The windows of the halves and of the accept queue
// bound what it holds, and no delivery waits.
type pipe struct {
	dst     *memConn
	state   pathState
	rand    *rand.Rand
	queue   []duePacket
	lastDue time.Time // due time of the newest packet
}

type duePacket struct {
	packet
	due time.Time
}

func (p *pipe) run(ctx context.Context, in <-chan pipeMessage) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for p.dst.ctx.Err() == nil {
		timer.Stop()
		if len(p.queue) > 0 && !p.state.cut {
			timer.Reset(time.Until(p.queue[0].due))
		}
		select {
		case m := <-in:
			p.handle(m)
		case <-timer.C:
		case <-p.dst.ctx.Done():
		case <-ctx.Done():
			return nil
		}
		p.flush()
	}
	return nil
}

func (p *pipe) handle(m pipeMessage) {
	if m.state != nil {
		p.state = *m.state
		m.applied.Put(struct{}{})
		return
	}
	due := time.Now().Add(p.state.fixed)
	if jitter := p.state.jitter; jitter > 0 {
		due = due.Add(time.Duration(p.rand.Int64N(int64(jitter) + 1)))
	}
	if due.Before(p.lastDue) {
		due = p.lastDue
	}
	p.lastDue = due
	p.queue = append(p.queue, duePacket{m.packet, due})
}

func (p *pipe) flush() {
	now := time.Now()
	for len(p.queue) > 0 && !p.state.cut && !p.queue[0].due.After(now) {
		next := p.queue[0].packet
		p.queue[0] = duePacket{}
		p.queue = p.queue[1:]
		p.deliver(next)
	}
}

func (p *pipe) deliver(next packet) {
	switch next.kind {
	case packetData:
		if !next.direction.ended {
			next.direction.inbox <- next.data
		}
	case packetEnd:
		if !next.direction.ended {
			next.direction.ended = true
			close(next.direction.inbox)
		}
	case packetOpen:
		p.dst.accept <- next.stream
	case packetConnect:
		next.listener.offer(p.dst)
	case packetEstablished:
		close(p.dst.established)
	case packetHangup:
		p.dst.end("closed by the peer")
	}
}

// half is one direction of a stream, or of the control messages. A sender
// takes room in window before it sends; the receiver returns it. The pipe
// that leads to the receiver owns ended and is the only one to write to inbox.
type direction struct {
	inbox  chan []byte
	window chan struct{}
	ended  bool
}

func newDirection(window int) *direction {
	return &direction{inbox: make(chan []byte, window), window: make(chan struct{}, window)}
}
