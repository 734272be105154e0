// Package logsink writes log entries without blocking the callers: entries are
// queued, and those that exceed the queue or the rate are dropped and counted.
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
	queueCapacity = 2048 // entries
	// maxPerSecond bounds the entries written per second. Entries of the level
	// warn and above are written beyond it; only the queue bounds them.
	maxPerSecond = 1000
	// flushDelay lets entries that arrive together share a write.
	flushDelay = 20 * time.Millisecond
)

// Sink is a log.Handler that passes entries to an actor. Any goroutine may use
// it. If a write to the output fails the actor ends, and later entries are
// discarded.
type Sink struct{ addr actor.Address[*log.Entry] }

// Start starts the actor of a sink in g. newHandler returns the handler that
// formats the entries; its argument is a buffered writer to w.
func Start(g *actor.Group, w io.Writer, newHandler func(io.Writer) log.Handler) *Sink {
	s := &logWriter{out: bufio.NewWriter(w)}
	s.handler = newHandler(s.out)
	overflow := make(chan struct{}, queueCapacity)
	s.overflow = overflow
	return &Sink{actor.Spawn(g, actor.Spec[*log.Entry]{Name: "log sink", Mailbox: queueCapacity, Run: s.run, Overflow: overflow})}
}

// HandleLog implements log.Handler.
func (s *Sink) HandleLog(e *log.Entry) error {
	s.addr.TrySend(e) // the actor counts dropped entries
	return nil
}

// logWriter is the state of the actor that writes the entries.
type logWriter struct {
	out             *bufio.Writer
	handler         log.Handler
	overflow        <-chan struct{} // receives a value for each entry that exceeded the queue
	currentSecond   int64           // Unix time of the newest entry, in seconds
	writtenInSecond int             // entries written in currentSecond
	dropped         int             // entries dropped and not reported yet
}

func (s *logWriter) run(ctx context.Context, in <-chan *log.Entry) error {
	flush := time.NewTimer(time.Hour)
	defer flush.Stop()
	flushScheduled := false
	for {
		select {
		case e := <-in:
			if err := s.write(e); err != nil {
				return err
			}
			if !flushScheduled {
				flushScheduled = true
				flush.Reset(flushDelay)
			}
		case <-s.overflow:
			s.dropped++
		case <-flush.C:
			flushScheduled = false
			if err := s.flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			return s.drain(in)
		}
	}
}

// drain writes the queued entries before the actor ends.
func (s *logWriter) drain(in <-chan *log.Entry) error {
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

// write formats an entry into the buffer, or drops it if it exceeds the rate.
func (s *logWriter) write(e *log.Entry) error {
	if now := e.Timestamp.Unix(); now != s.currentSecond {
		s.currentSecond, s.writtenInSecond = now, 0
	}
	if s.writtenInSecond >= maxPerSecond && e.Level < log.WarnLevel {
		s.dropped++
		return nil
	}
	s.writtenInSecond++
	return s.handler.HandleLog(e)
}

// flush logs the number of dropped entries, if any, and writes the buffer.
func (s *logWriter) flush() error {
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
