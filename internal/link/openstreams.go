package link

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// streamChange tells the link's actor that a stream was opened or closed.
type streamChange struct {
	raw    *yamux.Stream
	closed bool
}

// streamChanges is the number of changes that may wait for the link's actor.
const streamChanges = 8

// trackStreams returns the open streams when the link has ended. The link ends
// with the error of a failed read unless it has ended before.
func (c *muxConn) trackStreams(readFailed <-chan error) map[*yamux.Stream]bool {
	streams := map[*yamux.Stream]bool{c.control: true}
	apply := func(s streamChange) {
		if s.closed {
			delete(streams, s.raw)
		} else {
			streams[s.raw] = true
		}
	}
	for c.ctx.Err() == nil {
		select {
		case s := <-c.streams:
			apply(s)
		case err := <-readFailed:
			_ = c.fail(err)
		case <-c.mux.CloseChan():
			_ = c.fail(io.EOF)
		case <-c.ctx.Done():
		}
	}
	for len(c.streams) > 0 {
		apply(<-c.streams)
	}
	return streams
}

// opened tells the link's actor of a new stream. If the link has ended, the
// actor may not receive the change.
func (c *muxConn) opened(raw *yamux.Stream) {
	select {
	case c.streams <- streamChange{raw: raw}:
	case <-c.ctx.Done():
	}
	if c.ctx.Err() != nil {
		endWaits(raw)
	}
}

// closed tells the link's actor of a closed stream.
func (c *muxConn) closed(raw *yamux.Stream) {
	select {
	case c.streams <- streamChange{raw: raw, closed: true}:
	case <-c.ctx.Done():
	}
}

// endWaits makes a blocked Read or Write of a stream, and later ones that have to
// wait, return yamux.ErrTimeout.
func endWaits(raw *yamux.Stream) { _ = raw.SetDeadline(time.Unix(1, 0)) }
