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
	settle = 12 * time.Second // two rounds of lease renewals
	window = 30 * time.Second // a multiple of every period of the protocol
)

// child is a process that runs one role.
type child struct {
	b   *testing.B
	in  io.WriteCloser
	out *bufio.Reader
}

func start(b *testing.B, p plan) *child {
	raw, err := json.Marshal(p)
	require.NoError(b, err)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childVariable+"="+string(raw))
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	require.NoError(b, err)
	out, err := c.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, c.Start())
	b.Cleanup(func() { _ = in.Close(); _ = c.Wait() }) // the child ends with its input
	return &child{b, in, bufio.NewReader(out)}
}

func (c *child) ask(what string) (s sample) {
	_, err := fmt.Fprintln(c.in, what)
	require.NoError(c.b, err)
	line, err := c.out.ReadBytes('\n')
	require.NoError(c.b, err)
	require.NoError(c.b, json.Unmarshal(line, &s))
	return s
}

// setup is one run: agents linked through counting proxies to entries, of
// which the first owns the cell.
type setup struct {
	agents, entries, tasks, items int
	edits                         float64 // for each second
	begin                         func(entry, agent sample)
}

// result is what a run measured over its window.
type result struct {
	entry, agent           sample  // at the end of the window
	entryCPU, agentCPU     float64 // share of a core
	reads, writes          float64 // for each second
	toEntry, toAgent       float64 // bytes/s, all links
	upSegments, dnSegments float64 // for each second, all links
}

func measure(b *testing.B, s setup) result {
	entry := start(b, plan{Entries: s.entries, Items: s.items, Jobs: s.agents * s.tasks})
	first := entry.ask("cpu")
	var proxies []*proxy
	var addresses []string
	for _, target := range first.Agents {
		p := newProxy(target)
		b.Cleanup(func() { _ = p.listener.Close() })
		proxies, addresses = append(proxies, p), append(addresses, p.listener.Addr().String())
	}
	agent := start(b, plan{Agents: s.agents, Connect: addresses})
	for agent.ask("cpu").Running < s.agents*s.tasks {
		pass(200 * time.Millisecond)
	}
	if s.begin != nil {
		s.begin(first, agent.ask("cpu"))
	}
	pass(settle)
	for _, p := range proxies {
		require.Equal(b, int64(s.agents), p.accepted.Load(), "links")
	}
	return observe(b, s, entry, agent, proxies)
}

// pass lets the processes run. The figures are rates over this time.
func pass(d time.Duration) { <-time.After(d) }

func observe(b *testing.B, s setup, entry, agent *child, proxies []*proxy) result {
	entry.ask("memory")
	agent.ask("memory")
	e0, a0, c0 := entry.ask("cpu"), agent.ask("cpu"), total(proxies)
	began := time.Now()
	if s.edits > 0 {
		edit(b, e0.Operator[0], s.edits)
	} else {
		pass(window)
	}
	e1, a1, c1 := entry.ask("cpu"), agent.ask("cpu"), total(proxies)
	d := time.Since(began).Seconds()
	r := result{entryCPU: (e1.CPU - e0.CPU) / d, agentCPU: (a1.CPU - a0.CPU) / d,
		reads: float64(e1.Reads-e0.Reads) / d, writes: float64(e1.Writes-e0.Writes) / d,
		toEntry: (c1.bytes[0] - c0.bytes[0]) / d, toAgent: (c1.bytes[1] - c0.bytes[1]) / d,
		upSegments: (c1.segments[0] - c0.segments[0]) / d, dnSegments: (c1.segments[1] - c0.segments[1]) / d}
	r.entry, r.agent = entry.ask("memory"), agent.ask("memory")
	return r
}

func total(proxies []*proxy) (sum counted) {
	for _, p := range proxies {
		c := p.count()
		for i := range 2 {
			sum.bytes[i] += c.bytes[i]
			sum.segments[i] += c.segments[i]
		}
	}
	return sum
}

// edit makes edits of one item each at a rate during the window.
func edit(b *testing.B, operator string, rate float64) {
	every := time.Duration(float64(time.Second) / rate)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for i := range int(window / every) {
		<-tick.C
		body := fmt.Sprintf(`{"id":"edit-%d","author":"inspector","base":%d,"changes":[{"key":{"kind":"worker","name":"worker-%05d"},`+
			`"item":{"labels":{"pool":"permits","maintenance":"week-%02d"}}}]}`, i, i, i, i%52)
		r, err := http.Post("http://"+operator+"/v1/config", "application/json", strings.NewReader(body))
		require.NoError(b, err)
		text, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		require.Equal(b, http.StatusOK, r.StatusCode, string(text))
	}
}
