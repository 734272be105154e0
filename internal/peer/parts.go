package peer

import (
	"fmt"
	"strings"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// maxPartBytes bounds the lists of a message. Over 10 Mbit/s such a message takes 50 ms, so
// that the peer is not taken for silent meanwhile.
const maxPartBytes = 64 << 10

// parts sends messages, those with long lists in parts.
type parts struct {
	conn  link.Conn
	joins actor.Flag // the peer joins the parts of messages that it may not apply one by one
	// unsent receives the messages that cannot be sent. The link goes on.
	unsent chan Unsent
	ended  <-chan struct{} // closed when nobody receives unsent any more
}

// Unsent is a message that exceeds the limit of a link and cannot be divided.
type Unsent struct {
	Message msg.Control
	Err     error // has the size and the limit
}

// Fields describes the message for the log.
func (u Unsent) Fields(peer string) log.Fields {
	return log.Fields{"peer": peer, "kind": strings.TrimPrefix(fmt.Sprintf("%T", u.Message), "*msg."), "error": u.Err.Error()}
}

// send sends a message. It returns the error that ends the link.
func (p *parts) send(m msg.Control) error {
	if d, ok := p.divisible(m); ok && d.Size() > maxPartBytes {
		return p.sendDivided(d)
	}
	err := p.conn.Send(m)
	if !errors.Is(err, link.ErrTooLarge) {
		return err
	}
	if d, ok := p.divisible(m); ok {
		return p.sendDivided(d)
	}
	select {
	case p.unsent <- Unsent{m, err}:
	case <-p.ended:
	}
	return nil
}

func (p *parts) sendDivided(d msg.Divisible) error {
	first, second := d.Divide()
	if err := p.send(first); err != nil {
		return err
	}
	return p.send(second)
}

// divisible returns the message if it may be sent in parts.
func (p *parts) divisible(m msg.Control) (msg.Divisible, bool) {
	d, ok := m.(msg.Divisible)
	if !ok || d.Items() < 2 {
		return nil, false
	}
	_, joinable := m.(msg.Joinable)
	return d, !joinable || p.joins.Get()
}

// joiner joins the parts of received messages.
type joiner struct {
	held msg.Joinable // parts of a message that goes on; nil: none
}

// join returns the message that is complete with m, or nil if it goes on.
func (j *joiner) join(m msg.Control) msg.Control {
	part, ok := m.(msg.Joinable)
	if !ok {
		return m
	}
	if j.held != nil {
		if joined, ok := j.held.Join(part); ok {
			part = joined.(msg.Joinable)
		}
		j.held = nil
	}
	if part.Continued() {
		j.held = part
		return nil
	}
	return part
}
