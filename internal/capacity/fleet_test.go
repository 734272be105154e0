package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	settleTime        = 12 * time.Second // two rounds of lease renewals
	measurementWindow = 30 * time.Second // a multiple of every period of the protocol
)

// child is a child process that runs the daemons of one role.
type child struct {
	b   *testing.B
	in  io.WriteCloser
	out *bufio.Reader
}

// startChild starts a child process. It ends with the benchmark.
func startChild(b *testing.B, p childPlan) *child {
	raw, err := json.Marshal(p)
	require.NoError(b, err)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childPlanVariable+"="+string(raw))
	command.Stderr = os.Stderr
	in, err := command.StdinPipe()
	require.NoError(b, err)
	out, err := command.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, command.Start())
	b.Cleanup(func() { _ = in.Close(); _ = command.Wait() }) // the child ends when its standard input does
	return &child{b, in, bufio.NewReader(out)}
}

// requestSample requests a sample; kind "memory" includes the memory, "cpu" does
// not.
func (c *child) requestSample(kind string) (s sample) {
	_, err := fmt.Fprintln(c.in, kind)
	require.NoError(c.b, err)
	line, err := c.out.ReadBytes('\n')
	require.NoError(c.b, err)
	require.NoError(c.b, json.Unmarshal(line, &s))
	return s
}

// setup describes a run: agents that are linked through counting proxies to
// entries, of which the first owns the cell.
type setup struct {
	agents, entries, tasks, items int                       // tasks for each agent
	edits                         float64                   // per second
	begin                         func(entry, agent sample) // optional; called when all tasks run
}

// result has the figures of a run over its measurement window.
type result struct {
	entry, agent                     sample  // at the end of the window
	entryCPU, agentCPU               float64 // cores
	reads, writes                    float64 // per second, at the table
	toEntry, toAgent                 float64 // bytes/s, all links
	segmentsToEntry, segmentsToAgent float64 // per second, all links
}

// measureRun starts the processes of a run, waits until they are in a steady state
// and measures them.
func measureRun(b *testing.B, s setup) result {
	entry := startChild(b, childPlan{Entries: s.entries, Items: s.items, Jobs: s.agents * s.tasks})
	first := entry.requestSample("cpu")
	var proxies []*countingProxy
	var addresses []string
	for _, target := range first.Agents {
		p := newCountingProxy(target)
		b.Cleanup(func() { _ = p.listener.Close() })
		proxies, addresses = append(proxies, p), append(addresses, p.listener.Addr().String())
	}
	agent := startChild(b, childPlan{Agents: s.agents, Connect: addresses})
	for agent.requestSample("cpu").Running < s.agents*s.tasks {
		letRun(200 * time.Millisecond)
	}
	if s.begin != nil {
		s.begin(first, agent.requestSample("cpu"))
	}
	letRun(settleTime)
	for _, p := range proxies {
		require.Equal(b, int64(s.agents), p.accepted.Load(), "links")
	}
	return measureWindow(b, s, entry, agent, proxies)
}

// letRun waits while the processes run. Figures are rates over this time.
func letRun(d time.Duration) { <-time.After(d) }

// measureWindow measures the processes during the measurement window.
func measureWindow(b *testing.B, s setup, entry, agent *child, proxies []*countingProxy) result {
	entry.requestSample("memory")
	agent.requestSample("memory")
	entryBefore, agentBefore, countsBefore := entry.requestSample("cpu"), agent.requestSample("cpu"), totalCounts(proxies)
	began := time.Now()
	if s.edits > 0 {
		sendEdits(b, entryBefore.Operator[0], s.edits)
	} else {
		letRun(measurementWindow)
	}
	entryAfter, agentAfter, countsAfter := entry.requestSample("cpu"), agent.requestSample("cpu"), totalCounts(proxies)
	seconds := time.Since(began).Seconds()
	measured := result{entryCPU: (entryAfter.CPU - entryBefore.CPU) / seconds, agentCPU: (agentAfter.CPU - agentBefore.CPU) / seconds,
		reads: float64(entryAfter.Reads-entryBefore.Reads) / seconds, writes: float64(entryAfter.Writes-entryBefore.Writes) / seconds,
		toEntry: (countsAfter.bytes[0] - countsBefore.bytes[0]) / seconds, toAgent: (countsAfter.bytes[1] - countsBefore.bytes[1]) / seconds,
		segmentsToEntry: (countsAfter.segments[0] - countsBefore.segments[0]) / seconds, segmentsToAgent: (countsAfter.segments[1] - countsBefore.segments[1]) / seconds}
	measured.entry, measured.agent = entry.requestSample("memory"), agent.requestSample("memory")
	return measured
}

// totalCounts returns the sum of the counts of all proxies.
func totalCounts(proxies []*countingProxy) (sum proxyCounts) {
	for _, p := range proxies {
		c := p.count()
		for i := range 2 {
			sum.bytes[i] += c.bytes[i]
			sum.segments[i] += c.segments[i]
		}
	}
	return sum
}

// sendEdits sends edits of one item each, rate a second, during the measurement
// window.
func sendEdits(b *testing.B, operator string, rate float64) {
	interval := time.Duration(float64(time.Second) / rate)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := range int(measurementWindow / interval) {
		<-tick.C
		body := fmt.Sprintf(`{"id":"edit-%d","author":"inspector","base":%d,"changes":[{"key":{"kind":"worker","name":"worker-%05d"},`+
			`"item":{"labels":{"pool":"permits","maintenance":"week-%02d"}}}]}`, i, i, i, i%52)
		response, err := http.Post("http://"+operator+"/v1/config", "application/json", strings.NewReader(body))
		require.NoError(b, err)
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		require.Equal(b, http.StatusOK, response.StatusCode, string(text))
	}
}
