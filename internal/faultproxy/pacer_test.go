package faultproxy

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// paced runs a pacer in virtual time. The test writes to read and reads from
// out what passes.
type paced struct {
	t    *testing.T
	read chan chunk
	out  chan chunk
	addr actor.Address[setFaults]
}

func inVirtualTime(t *testing.T, f Faults, test func(p paced)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := paced{t: t, read: make(chan chunk), out: make(chan chunk)}
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		run := &pacer{faults: f, read: p.read, paced: p.out}
		p.addr = actor.Spawn(g, actor.Spec[setFaults]{Name: "pacer", Mailbox: 1, Run: run.run})
		test(p)
	})
}

func (p paced) send(text string) { p.read <- chunk{data: []byte(text)} }

func (p paced) set(f Faults) {
	_, err := actor.Ask(p.t.Context(), p.addr, func(r actor.Reply[struct{}]) setFaults {
		return setFaults{faults: f, done: r}
	})
	require.NoError(p.t, err)
}

// requireSilence checks that nothing passes for an hour.
func (p paced) requireSilence() {
	p.t.Helper()
	select {
	case c := <-p.out:
		require.Fail(p.t, "passed", "%q", c.data)
	case <-time.After(time.Hour):
	}
}

// Guards against a delay that is not kept, or that reorders bytes.
func TestDelay(t *testing.T) {
	inVirtualTime(t, Faults{Delay: 40 * time.Millisecond}, func(p paced) {
		start := time.Now()
		p.send("a")
		<-time.After(10 * time.Millisecond) // virtual
		p.send("b")
		p.set(Faults{})
		p.send("c")
		var got strings.Builder
		for _, want := range []time.Duration{40, 50, 50} {
			got.Write((<-p.out).data)
			require.Equal(t, want*time.Millisecond, time.Since(start))
		}
		require.Equal(t, "abc", got.String())
	})
}

// Guards against a hole that lets bytes or the end of the stream through, or
// that loses what was sent.
func TestHole(t *testing.T) {
	inVirtualTime(t, Faults{}, func(p paced) {
		p.send("a")
		synctest.Wait()
		p.set(Faults{Blackhole: true})
		p.send("b")
		p.read <- chunk{end: endedInOrder}
		p.requireSilence()
		p.set(Faults{})
		require.Equal(t, "a", string((<-p.out).data))
		require.Equal(t, "b", string((<-p.out).data))
		require.Equal(t, chunk{end: endedInOrder}, withoutDue(<-p.out))
		<-p.addr.Done()
	})
}

// Guards against a hole that takes bytes without bound.
func TestHoleIsBounded(t *testing.T) {
	inVirtualTime(t, Faults{Blackhole: true}, func(p paced) {
		for range maxQueued {
			p.send("x")
		}
		select {
		case p.read <- chunk{}:
			require.Fail(t, "the pacer took a chunk above its bound")
		case <-time.After(time.Hour):
		}
	})
}

// Guards against a truncation at another byte than the one asked for.
func TestTruncationCountsBytes(t *testing.T) {
	inVirtualTime(t, Faults{}, func(p paced) {
		p.send("before")
		require.Equal(t, "before", string((<-p.out).data))
		p.set(Faults{Truncate: true, After: 5})
		p.send("abc")
		p.send("defg")
		require.Equal(t, "abc", string((<-p.out).data))
		require.Equal(t, "de", string((<-p.out).data))
		last := <-p.out
		require.Empty(t, last.data)
		require.Equal(t, endedTruncated, last.end)
		<-p.addr.Done()
	})
}

// Guards against a connection that stays open although nothing more may pass.
func TestTruncationAtOnce(t *testing.T) {
	inVirtualTime(t, Faults{Truncate: true}, func(p paced) {
		require.Equal(t, endedTruncated, (<-p.out).end)
	})
}

// Guards against a pacer that outlives its connection.
func TestPacerEndsWithItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(context.Background(), nil)
		p := &pacer{faults: Faults{Blackhole: true}, read: make(chan chunk), paced: make(chan chunk)}
		actor.Spawn(g, actor.Spec[setFaults]{Name: "pacer", Mailbox: 1, Run: p.run})
		g.Stop()
	})
}

func withoutDue(c chunk) chunk {
	c.due = time.Time{}
	return c
}
