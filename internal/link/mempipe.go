package link

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// packetKind determines what a pipe does when it delivers a packet to its far
// end.
type packetKind uint8

const (
	packetData        packetKind = iota // adds data to the inbox of direction
	packetEnd                           // closes the inbox of direction
	packetOpen                          // adds stream to the accept queue of the far end
	packetConnect                       // offers the far end to listener
	packetEstablished                   // the far end's dial has succeeded
	packetHangup                        // ends the far end
)

// packet is a message on a path. Its kind determines which fields are set.
type packet struct {
	kind      packetKind
	direction *direction
	data      []byte
	stream    *memStream
	listener  *memListener
}

// pipeMessage is a packet to deliver or, if state is not nil, a new state of
// the path.
type pipeMessage struct {
	packet  packet
	state   *pathState
	applied actor.Reply[struct{}]
}

// pipe is the actor of one direction of a link: it delivers packets in order,
// each at its due time. The windows of the streams and of the accept queue
// bound its queue; therefore no delivery blocks.
type pipe struct {
	dst     *memConn
	state   pathState
	rand    *rand.Rand
	queue   []duePacket
	lastDue time.Time // due time of the newest packet
}

// duePacket is a packet and the time at which it is delivered.
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

// handle applies a new state, or queues a packet. Packets that are queued already
// keep their due times.
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

// flush delivers the packets that are due, unless the path is cut.
func (p *pipe) flush() {
	now := time.Now()
	for len(p.queue) > 0 && !p.state.cut && !p.queue[0].due.After(now) {
		next := p.queue[0].packet
		p.queue[0] = duePacket{}
		p.queue = p.queue[1:]
		p.deliver(next)
	}
}

func (p *pipe) deliver(arrived packet) {
	switch arrived.kind {
	case packetData:
		if !arrived.direction.ended {
			arrived.direction.inbox <- arrived.data
		}
	case packetEnd:
		if !arrived.direction.ended {
			arrived.direction.ended = true
			close(arrived.direction.inbox)
		}
	case packetOpen:
		p.dst.accept <- arrived.stream
	case packetConnect:
		arrived.listener.offer(p.dst)
	case packetEstablished:
		close(p.dst.established)
	case packetHangup:
		p.dst.end("closed by the peer")
	}
}

// direction is one direction of a stream or of the control messages. window is
// a semaphore: the sender acquires a slot for each message, and the receiver
// releases it. The pipe to the receiver owns ended and is the only sender on
// inbox.
type direction struct {
	inbox  chan []byte
	window chan struct{}
	ended  bool
}

func newDirection(window int) *direction {
	return &direction{inbox: make(chan []byte, window), window: make(chan struct{}, window)}
}
