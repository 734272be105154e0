package capacity

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	bytesUnit      = "bytes"
	bytesPerSecond = "bytes/s"
	coresUnit      = "cores"
	perSecond      = "1/s"
)

// Measures the cost of an idle linked agent to an entry that owns its cell, and the
// cost of the agent itself.
func BenchmarkLinkedAgents(b *testing.B) {
	s := newSeries("linked agent", "BenchmarkLinkedAgents")
	for _, n := range []int{50, 100, 200, 400} {
		measured, x := measureRun(b, setup{agents: n, entries: 1}), float64(n)
		s.add("agents.entryLive", bytesUnit, x, measured.entry.Live)
		s.add("agents.entryHeld", bytesUnit, x, measured.entry.Held)
		s.add("agents.entryGoroutines", "goroutines", x, float64(measured.entry.Goroutines))
		s.add("agents.entryCPU", coresUnit, x, measured.entryCPU)
		s.add("agents.agentLive", bytesUnit, x, measured.agent.Live)
		s.add("agents.agentCPU", coresUnit, x, measured.agentCPU)
		s.add("agents.toEntry", bytesPerSecond, x, measured.toEntry)
		s.add("agents.toAgent", bytesPerSecond, x, measured.toAgent)
		s.add("agents.segmentsToEntry", perSecond, x, measured.segmentsToEntry)
		s.add("agents.segmentsToAgent", perSecond, x, measured.segmentsToAgent)
		s.add("agents.reads", perSecond, x, measured.reads)
		s.add("agents.writes", perSecond, x, measured.writes)
	}
	s.finish(b)
}

// Measures the cost of each further link to an agent, and of each further entry to
// the table.
func BenchmarkLinksOfAnAgent(b *testing.B) {
	const agents = 50
	s := newSeries("link of an agent", "BenchmarkLinksOfAnAgent")
	for _, n := range []int{1, 2, 4, 6} {
		measured, x := measureRun(b, setup{agents: agents, entries: n}), float64(n)
		s.add("links.agentLive", bytesUnit, x, measured.agent.Live/agents)
		s.add("links.agentCPU", coresUnit, x, measured.agentCPU/agents)
		s.add("links.toEntry", bytesPerSecond, x, measured.toEntry/agents)
		s.add("links.toAgent", bytesPerSecond, x, measured.toAgent/agents)
		s.add("links.segmentsToEntry", perSecond, x, measured.segmentsToEntry/agents)
		s.add("links.segmentsToAgent", perSecond, x, measured.segmentsToAgent/agents)
		s.add("links.reads", perSecond, x, measured.reads)
		s.add("links.writes", perSecond, x, measured.writes)
	}
	s.finish(b)
}

// Measures the cost of each running task to its agent, its controller and the link.
func BenchmarkRunningTasks(b *testing.B) {
	const agents = 50
	s := newSeries("running task of an agent", "BenchmarkRunningTasks")
	for _, n := range []int{0, 6, 12, 20} {
		measured, x := measureRun(b, setup{agents: agents, entries: 1, tasks: n}), float64(n)
		s.add("tasks.entryLive", bytesUnit, x, measured.entry.Live/agents)
		s.add("tasks.entryCPU", coresUnit, x, measured.entryCPU/agents)
		s.add("tasks.agentLive", bytesUnit, x, measured.agent.Live/agents)
		s.add("tasks.agentCPU", coresUnit, x, measured.agentCPU/agents)
		s.add("tasks.toEntry", bytesPerSecond, x, measured.toEntry/agents)
		s.add("tasks.toAgent", bytesPerSecond, x, measured.toAgent/agents)
		s.add("tasks.writes", perSecond, x, measured.writes/agents)
	}
	s.finish(b)
}

// Measures the memory of each daemon for each configuration item.
func BenchmarkConfigurationItems(b *testing.B) {
	const agents = 20
	s := newSeries("configuration item", "BenchmarkConfigurationItems")
	for _, n := range []int{0, 1000, 2000, 4000} {
		measured, x := measureRun(b, setup{agents: agents, entries: 1, items: n}), float64(n)
		s.add("items.entryLive", bytesUnit, x, measured.entry.Live)
		s.add("items.agentLive", bytesUnit, x, measured.agent.Live/agents)
	}
	s.finish(b)
}

// Measures the cost of each edit to each daemon and the table.
func BenchmarkEdits(b *testing.B) {
	const agents = 50
	s := newSeries("edit/s", "BenchmarkEdits")
	for _, n := range []float64{0, 1, 2, 4} {
		measured := measureRun(b, setup{agents: agents, entries: 1, edits: n})
		s.add("edits.entryCPU", coresUnit, n, measured.entryCPU)
		s.add("edits.agentCPU", coresUnit, n, measured.agentCPU/agents)
		s.add("edits.toEntry", bytesPerSecond, n, measured.toEntry/agents)
		s.add("edits.toAgent", bytesPerSecond, n, measured.toAgent/agents)
		s.add("edits.reads", perSecond, n, measured.reads)
		s.add("edits.writes", perSecond, n, measured.writes)
	}
	s.finish(b)
}

// Measures the cost of each queued request to an entry: the connection of its
// caller, its goroutines and its element of the queue.
func BenchmarkQueuedRequests(b *testing.B) {
	s := newSeries("queued request", "BenchmarkQueuedRequests")
	hang := serveHanging(b)
	for _, n := range []int{0, 250, 500, 1000} {
		const running = 8
		measured := measureRun(b, setup{agents: 1, entries: 1, begin: func(entry, agent sample) {
			body := fmt.Sprintf(`{"service":"permit-desk","address":%q,"slots":8,"connections":64,"instance":"1"}`, hang)
			reply, err := http.Post("http://"+agent.Announce[0]+"/v1/announce", "application/json", strings.NewReader(body))
			require.NoError(b, err)
			require.Less(b, reply.StatusCode, 300)
			_ = reply.Body.Close()
			letRun(time.Second)
			sendQueued(b, entry.Callers[0], running+n)
		}})
		s.add("queue.entryLive", bytesUnit, float64(n), measured.entry.Live)
		s.add("queue.entryCPU", coresUnit, float64(n), measured.entryCPU)
	}
	s.finish(b)
}

// serveHanging starts a backend server that never answers, and returns its address.
func serveHanging(b *testing.B) string {
	listener := listenLoopback()
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// sendQueued sends n requests, which wait until the benchmark ends.
func sendQueued(b *testing.B, callers string, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{}}
	b.Cleanup(func() { cancel(); client.CloseIdleConnections() })
	for range n {
		go func() {
			r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+callers+"/sleep", nil)
			if reply, err := client.Do(r); err == nil {
				b.Errorf("request was answered with status %d; it should have waited until the end", reply.StatusCode)
				_ = reply.Body.Close()
			}
		}()
	}
}
