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

// stuck is an output that takes nothing.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func format(w io.Writer) log.Handler { return logfmt.New(w) }

// Guards against a process that waits for its log output, and against lines
// that vanish without a trace.
func TestStuckOutputBlocksNobodyAndIsCounted(t *testing.T) {
	g := actor.NewGroup(context.Background(), nil)
	out := stuck{make(chan struct{})}
	l := &log.Logger{Handler: Start(g, out, format), Level: log.InfoLevel}
	for range 3 * queued {
		l.WithField("padding", strings.Repeat("x", 100)).Error("line")
	}
	close(out.release)
	g.Stop()
}

// Guards against a volume without bound: above the rate lines are dropped, and
// one line says how many. Warnings are kept.
func TestVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	s := &sink{handler: format(&out)}
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
