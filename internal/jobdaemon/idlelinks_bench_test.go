package jobdaemon

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// benchDialer counts the messages of agents. If former is set, their hellos are
// those of the former program, so that all links have the fixed interval.
type benchDialer struct {
	link.Dialer
	former   bool
	messages *actor.Gauge
}

func (d *benchDialer) Dial(ctx context.Context, address string) (link.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &benchConn{countingConn{conn, d.messages, d.messages}, d.former}, nil
}

type benchConn struct {
	countingConn
	former bool
}

func (c *benchConn) Send(m msg.Control) error {
	if hello, ok := m.(*msg.PeerHello); ok && c.former {
		stripped := *hello
		stripped.FollowsHeartbeat = false
		m = &stripped
	}
	return c.countingConn.Send(m)
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkIdleLinks measures entries and agents that are linked over TCP on
// loopback and have no jobs, all in this process.
func benchmarkIdleLinks(b *testing.B, former bool) {
	const (
		entries, agents = 6, 50
		settle, measure = 5 * time.Second, 10 * time.Second
	)
	g := actor.NewGroup(b.Context(), nil)
	defer g.Stop()
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	store := watchedTable{standin.NewTable(g, standin.StoreFaults{WritesPerSecond: -1, ReadsPerSecond: -1})}
	var seeds []string
	for i := range entries {
		listener, err := link.Listen(g, "127.0.0.1:0", link.Config{})
		require.NoError(b, err)
		seeds = append(seeds, listener.Addr())
		cfg := EntryConfig{
			Name: fmt.Sprintf("entry-%d", i), Links: listener.Addr(), Seeds: seeds, Boot: uint64(i) + 1, Store: store,
			Config: ConfigSource{Key: "op//config", Prefix: "op//"}, Log: quiet,
		}
		c := newController(g, cfg, newEntryMetrics(metrics.Start(g)), &actor.Value[workload.Config]{})
		c.start(c.loop(), g.Sub(), cfg, listener, link.NewDialer(g, link.Config{}))
	}
	dial := &benchDialer{link.NewDialer(g, link.Config{}), former, &actor.Gauge{}}
	for i := range agents {
		name := workload.HostName(fmt.Sprintf("agent-%d", i))
		startAgentActors(g, AgentConfig{
			Core: hostagent.Config{Name: name, OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1},
			Boot: uint64(i) + 1, Seeds: seeds, Store: store, Log: quiet,
		}, dial)
	}
	time.Sleep(settle)
	for b.Loop() {
		cpu, messages := processorTime(b), dial.messages.Get()
		time.Sleep(measure)
		used, sent := processorTime(b)-cpu, dial.messages.Get()-messages
		b.ReportMetric(float64(used.Microseconds())/measure.Seconds(), "cpu-µs/s")
		b.ReportMetric(float64(sent)/measure.Seconds(), "messages/s")
	}
}

// Guard against an increase of the processor time of links without jobs: with the
// interval that follows the ownership, and with the fixed one.
func BenchmarkIdleLinks(b *testing.B)              { benchmarkIdleLinks(b, false) }
func BenchmarkIdleLinksFixedInterval(b *testing.B) { benchmarkIdleLinks(b, true) }
