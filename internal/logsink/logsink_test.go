package logsink

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
)

// blockedOutput is a writer that blocks until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func newHandler(w io.Writer) log.Handler { return logfmt.New(w) }

// Guards against a process that blocks when its log output blocks.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	g := actor.NewGroup(context.Background(), nil)
	out := blockedOutput{make(chan struct{})}
	l := &log.Logger{Handler: Start(g, out, newHandler), Level: log.InfoLevel}
	for range 3 * queueCapacity {
		l.WithField("padding", strings.Repeat("x", 100)).Error("line")
	}
	close(out.release)
	g.Stop()
}

// Guards against an unbounded log volume, against warnings dropped because of
// the rate, and against dropped lines that are not counted.
func TestVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	s := &logWriter{handler: newHandler(&out)}
	l := &log.Logger{Level: log.InfoLevel}
	entry := func(level log.Level) *log.Entry {
		e := log.NewEntry(l)
		e.Level, e.Message = level, "line"
		return e
	}
	for range maxPerSecond + 10 {
		require.NoError(t, s.write(entry(log.InfoLevel)))
	}
	require.Equal(t, 10, s.dropped)
	require.NoError(t, s.write(entry(log.WarnLevel)))
	require.Equal(t, maxPerSecond+1, strings.Count(out.String(), "message=line"))
	require.Contains(t, event.LogDropped.Text, "dropped")
}
