package measure

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/agent"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// startPath starts a backend server, an agent and an entry in this process and
// connects them by TCP over loopback. It returns the URL of the backend server
// and the URL of the entry.
func startPath(b *testing.B) (direct, through string) {
	g := actor.NewGroup(context.Background(), nil)
	backendServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("ok"))
	}))
	table := &actor.Value[entry.RoutingTable]{}
	dispatcher := entry.SpawnDispatcher(g, entry.Self{Entry: "a", Boot: 1, DataCentre: "x"}, &entry.RoutingTable{DefaultService: "svc",
		Services: map[model.Service]entry.ServiceRule{"svc": {Name: "svc"}}}, table)
	listener, err := link.Listen(g, "127.0.0.1:0", link.Config{})
	require.NoError(b, err)
	entryLinks := &entry.Links{Self: entry.Self{Entry: "a", Boot: 1, DataCentre: "x"}, Dispatcher: dispatcher, Log: discardLog(),
		Version: func() model.ConfigVersion { return 0 }}
	actor.Go(g, "agents listener", func(ctx context.Context) error { return entryLinks.Accept(ctx, listener) })
	slots := agent.SpawnSlots(g, model.Worker{DataCentre: "x"})
	announce := agent.Announce{Backend: "svc@w", Service: "svc", Address: backendServer.Listener.Addr().String(), Slots: 8, Connections: 64}
	// The announcement is repeated: after 6 s without one the entry suspects the
	// backend server and sends it no more requests.
	actor.Go(g, "announcements", func(ctx context.Context) error {
		for slots.Send(ctx, announce) == nil && actor.Sleep(ctx, 2*time.Second) {
		}
		return nil
	})
	agentLinks := &agent.Links{Dialer: link.NewDialer(g, link.Config{}), Slots: slots, Transport: agent.NewTransport(64), Log: discardLog(),
		Hello: func() *msg.AgentHello {
			return &msg.AgentHello{Worker: model.Worker{ID: "w", DataCentre: "x"}, Boot: 2}
		}}
	actor.Go(g, "entry link", func(ctx context.Context) error { return agentLinks.Connect(ctx, listener.Addr()) })
	entryServer := httptest.NewServer(&entry.Frontend{Dispatcher: dispatcher, Table: table.Get, MaxBody: 1 << 20, Semaphore: make(chan struct{}, 1024)})
	b.Cleanup(func() {
		entryServer.Close()
		g.Stop()
		backendServer.Close()
	})
	return backendServer.URL, entryServer.URL
}

func get(b *testing.B, client *http.Client, url string) {
	resp, err := client.Get(url)
	require.NoError(b, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, resp.StatusCode)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPath measures the time of a request, and the processor time of
// client, entry, agent and backend server together, directly to the backend
// server and through entry and agent.
func BenchmarkPath(b *testing.B) {
	direct, through := startPath(b)
	for _, callers := range []int{1, 8} {
		for _, target := range []struct{ name, url string }{{"direct", direct}, {"through", through}} {
			b.Run(target.name+"/callers="+string(rune('0'+callers)), func(b *testing.B) {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: callers}}
				defer client.CloseIdleConnections()
				get(b, client, target.url)
				b.ReportAllocs()
				begin := cpuTime()
				b.ResetTimer()
				g := actor.NewGroup(context.Background(), nil)
				for c := range callers {
					actor.Go(g, "caller", func(context.Context) error {
						for i := c; i < b.N; i += callers {
							get(b, client, target.url)
						}
						return nil
					})
				}
				g.Wait()
				b.ReportMetric(float64(cpuTime()-begin)/float64(b.N)/1000, "cpu-us/op")
			})
		}
	}
}
