package peer

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Epochs is what the heartbeats of all links of an entry carry. The links of a process
// share it.
type Epochs struct {
	StartedAt time.Time // zero of the clock of SentAt
	// Highest is the highest epoch that the process knows. A link raises it before it
	// echoes the heartbeat that carried the epoch.
	Highest actor.Maximum
	// Known is set when the process has read the stored epoch. It echoes nothing before:
	// a former process of the entry may have known a higher epoch.
	Known actor.Flag
}

// echo is the part of the state of a link that its reader and its writer share.
type echo struct {
	epochs   *Epochs       // nil: heartbeats carry an interval only
	enabled  actor.Flag    // the peer echoes heartbeats
	received actor.Maximum // newest SentAt of the peer, in ns
}

// stamp returns a heartbeat with what the process knows. Highest is read last: a peer
// that receives an echo without an epoch was then up to date when this process did not
// know that epoch.
func (e *echo) stamp(h msg.Heartbeat) *msg.Heartbeat {
	if e.epochs == nil {
		return &h
	}
	if e.enabled.Get() {
		h.SentAt = time.Since(e.epochs.StartedAt)
		if e.epochs.Known.Get() {
			h.Echo = time.Duration(e.received.Get())
		}
	}
	h.Epoch = e.epochs.Highest.Get()
	return &h
}

// hello records whether the peer echoes heartbeats.
func (e *echo) hello(m msg.Control) {
	if h, ok := m.(*msg.PeerHello); ok && e.epochs != nil {
		e.enabled.Set(h.EchoesHeartbeat)
	}
}

// heartbeat records a heartbeat of the peer.
func (e *echo) heartbeat(h *msg.Heartbeat) {
	if !e.enabled.Get() {
		return
	}
	e.epochs.Highest.Raise(h.Epoch)
	if h.SentAt > 0 {
		e.received.Raise(uint64(h.SentAt))
	}
}
