// Package logsink writes log entries without blocking those who log: entries
// wait in a bounded queue, further ones are dropped and counted.
package logsink

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
)

const (
	queued = 2048 // entries
	// maxPerSecond bounds the volume under load. Entries of the level warn and
	// above may exceed it up to the queue's size.
	maxPerSecond = 1000
	// flushDelay lets entries of one moment share a write.
	flushDelay = 20 * time.Millisecond
)

// Sink is a log.Handler. Any goroutine may use it.
type Sink struct{ to actor.Address[*log.Entry] }

// Start starts a sink that formats entries with a handler made for its writer.
func Start(g *actor.Group, w io.Writer, handler func(io.Writer) log.Handler) *Sink {
	s := &sink{out: bufio.NewWriter(w)}
	s.handler = handler(s.out)
	full := make(chan struct{}, queued)
	s.full = full
	return &Sink{actor.Spawn(g, actor.Spec[*log.Entry]{Name: "log sink", Mailbox: queued, Run: s.run, Overflow: full})}
}

// HandleLog implements log.Handler.
func (s *Sink) HandleLog(e *log.Entry) error {
	s.to.TrySend(e) // a full queue is counted by the actor
	return nil
}

// sink is the state of the writing actor.
type sink struct {
	out     *bufio.Writer
	handler log.Handler
	full    <-chan struct{}
	second  int64
	written int // in this second
	dropped int
}

func (s *sink) run(ctx context.Context, in <-chan *log.Entry) error {
	flush := time.NewTimer(time.Hour)
	defer flush.Stop()
	waiting := false
	for {
		select {
		case e := <-in:
			if err := s.write(e); err != nil {
				return err
			}
			if !waiting {
				waiting = true
				flush.Reset(flushDelay)
			}
		case <-s.full:
			s.dropped++
		case <-flush.C:
			waiting = false
			if err := s.flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			return s.drain(in)
		}
	}
}

// drain writes what was logged before the end.
func (s *sink) drain(in <-chan *log.Entry) error {
	for {
		select {
		case e := <-in:
			if err := s.write(e); err != nil {
				return err
			}
		default:
			return s.flush()
		}
	}
}

func (s *sink) write(e *log.Entry) error {
	if now := e.Timestamp.Unix(); now != s.second {
		s.second, s.written = now, 0
	}
	if s.written >= maxPerSecond && e.Level < log.WarnLevel {
		s.dropped++
		return nil
	}
	s.written++
	return s.handler.HandleLog(e)
}

func (s *sink) flush() error {
	if s.dropped > 0 {
		e := log.NewEntry(log.Log.(*log.Logger)).WithFields(log.Fields{"event": event.LogDropped.ID, "dropped": s.dropped})
		e.Timestamp, e.Level, e.Message = time.Now(), log.WarnLevel, event.LogDropped.Text
		s.dropped = 0
		if err := s.handler.HandleLog(e); err != nil {
			return err
		}
	}
	return s.out.Flush()
}
