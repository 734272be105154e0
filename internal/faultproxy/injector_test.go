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

// injectorFixture runs a fault injector in virtual time. The test sends chunks to
// read and receives from out the chunks that pass.
type injectorFixture struct {
	t       *testing.T
	read    chan chunk
	out     chan chunk
	address actor.Address[setFaults]
}

// inVirtualTime runs test with a fault injector that starts with the given
// faults.
func inVirtualTime(t *testing.T, faults Faults, test func(f injectorFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := injectorFixture{t: t, read: make(chan chunk), out: make(chan chunk)}
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		injector := &faultInjector{faults: faults, read: f.read, out: f.out}
		f.address = actor.Spawn(g, actor.Spec[setFaults]{Name: "pacer", Mailbox: 1, Run: injector.run})
		test(f)
	})
}

func (f injectorFixture) send(text string) { f.read <- chunk{data: []byte(text)} }

func (f injectorFixture) set(faults Faults) {
	_, err := actor.Ask(f.t.Context(), f.address, func(r actor.Reply[struct{}]) setFaults {
		return setFaults{faults: faults, reply: r}
	})
	require.NoError(f.t, err)
}

// requireNothingPasses checks that no chunk passes within an hour of virtual
// time.
func (f injectorFixture) requireNothingPasses() {
	f.t.Helper()
	select {
	case c := <-f.out:
		require.Fail(f.t, "a chunk passed the fault injector", "%q", c.data)
	case <-time.After(time.Hour):
	}
}

// Guards against chunks that pass before their delay is over, and against a
// change of the delay that reorders bytes.
func TestDelay(t *testing.T) {
	inVirtualTime(t, Faults{Delay: 40 * time.Millisecond}, func(f injectorFixture) {
		start := time.Now()
		f.send("a")
		<-time.After(10 * time.Millisecond) // virtual
		f.send("b")
		f.set(Faults{})
		f.send("c")
		var got strings.Builder
		for _, want := range []time.Duration{40, 50, 50} {
			got.Write((<-f.out).data)
			require.Equal(t, want*time.Millisecond, time.Since(start))
		}
		require.Equal(t, "abc", got.String())
	})
}

// Guards against a blackhole that passes bytes or the end of the stream, and
// against bytes that are lost after the fault is removed.
func TestBlackhole(t *testing.T) {
	inVirtualTime(t, Faults{}, func(f injectorFixture) {
		f.send("a")
		synctest.Wait()
		f.set(Faults{Blackhole: true})
		f.send("b")
		f.read <- chunk{end: endedByEOF}
		f.requireNothingPasses()
		f.set(Faults{})
		require.Equal(t, "a", string((<-f.out).data))
		require.Equal(t, "b", string((<-f.out).data))
		require.Equal(t, chunk{end: endedByEOF}, withoutDue(<-f.out))
		<-f.address.Done()
	})
}

// Guards against bytes that pass although their sender reset the connection behind a
// blackhole.
func TestResetBehindBlackholeDiscardsBytes(t *testing.T) {
	inVirtualTime(t, Faults{Blackhole: true}, func(f injectorFixture) {
		f.send("a")
		f.read <- chunk{end: endedByReset}
		synctest.Wait()
		f.set(Faults{})
		require.Equal(t, chunk{end: endedByReset}, withoutDue(<-f.out))
		<-f.address.Done()
	})
}

// Guards against a blackhole that queues bytes without bound.
func TestBlackholeIsBounded(t *testing.T) {
	inVirtualTime(t, Faults{Blackhole: true}, func(f injectorFixture) {
		for range maxQueued {
			f.send("x")
		}
		select {
		case f.read <- chunk{}:
			require.Fail(t, "the fault injector accepted more than maxQueued chunks")
		case <-time.After(time.Hour):
		}
	})
}

// Guards against a truncation after a wrong number of bytes.
func TestTruncationCountsBytes(t *testing.T) {
	inVirtualTime(t, Faults{}, func(f injectorFixture) {
		f.send("before")
		require.Equal(t, "before", string((<-f.out).data))
		f.set(Faults{Truncate: true, After: 5})
		f.send("abc")
		f.send("defg")
		require.Equal(t, "abc", string((<-f.out).data))
		require.Equal(t, "de", string((<-f.out).data))
		last := <-f.out
		require.Empty(t, last.data)
		require.Equal(t, endedByTruncation, last.end)
		<-f.address.Done()
	})
}

// Guards against a connection that stays open when the truncation allows no more
// bytes.
func TestTruncationAtOnce(t *testing.T) {
	inVirtualTime(t, Faults{Truncate: true}, func(f injectorFixture) {
		require.Equal(t, endedByTruncation, (<-f.out).end)
	})
}

// Guards against a fault injector that does not end with its connection.
func TestInjectorEndsWithItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(context.Background(), nil)
		injector := &faultInjector{faults: Faults{Blackhole: true}, read: make(chan chunk), out: make(chan chunk)}
		actor.Spawn(g, actor.Spec[setFaults]{Name: "pacer", Mailbox: 1, Run: injector.run})
		g.Stop()
	})
}

// withoutDue returns the chunk without its time, for comparisons.
func withoutDue(c chunk) chunk {
	c.due = time.Time{}
	return c
}
