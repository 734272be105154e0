package peer

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// writer is the state of the actor that sends the messages of a link.
type writer struct {
	parts    *parts
	interval time.Duration // maximum interval between two messages that are sent
	// announced receives each interval that is announced to the peer. It holds
	// the newest.
	announced chan time.Duration
	own       time.Duration // last interval that was announced; 0: none
	echo      *echo
}

// write sends hello, and then messages and heartbeats until ctx ends. It sends
// the messages that are queued then. Other messages replace a heartbeat unless the peer
// echoes it.
func (w *writer) write(ctx context.Context, hello msg.Control, in <-chan msg.Control) error {
	if err := w.parts.conn.Send(hello); err != nil {
		return err
	}
	idle := time.NewTimer(w.interval)
	defer idle.Stop()
	for {
		var m msg.Control
		select {
		case m = <-in:
			w.announce(m)
		case <-idle.C:
			m = &msg.Heartbeat{Interval: w.own}
		case <-ctx.Done():
			return flush(w.parts, in)
		}
		h, heartbeat := m.(*msg.Heartbeat)
		if heartbeat {
			m = w.echo.stamp(*h)
		}
		if err := w.parts.send(m); err != nil {
			return err
		}
		if heartbeat || !w.echo.enabled.Get() {
			idle.Reset(w.interval)
		}
	}
}

// announce takes the interval of a heartbeat that is about to be sent.
func (w *writer) announce(m msg.Control) {
	h, ok := m.(*msg.Heartbeat)
	if !ok || h.Interval == 0 {
		return
	}
	w.interval, w.own = h.Interval, h.Interval
	select {
	case <-w.announced: // not read yet, and replaced
	default:
	}
	w.announced <- h.Interval // has capacity: this is the only sender
}

// flush sends the queued messages.
func flush(p *parts, in <-chan msg.Control) error {
	for len(in) > 0 {
		if err := p.send(<-in); err != nil {
			return err
		}
	}
	return nil
}
