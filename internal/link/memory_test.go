package link

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// inVirtualTime runs a test in virtual time on an in-memory link from "agent" to
// "entry".
func inVirtualTime(t *testing.T, seed uint64, test func(t *testing.T, m *Memory, p linkPair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(t.Context(), seed)
		defer m.Close()
		l, err := m.Listen("entry")
		require.NoError(t, err)
		test(t, m, connect(t, m.Dialer("agent"), l))
	})
}

func creditGrant(count int) *msg.CreditGrant { return &msg.CreditGrant{Count: count} }

// Guards against a delay that is applied to the wrong direction or not at all.
func TestMemoryDelaysEachDirection(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, m *Memory, p linkPair) {
		m.SetDelay("agent", "entry", 30*time.Millisecond, 0)
		m.SetDelay(Any, Any, 5*time.Millisecond, 0)
		start := time.Now()
		require.NoError(t, p.agent.Send(creditGrant(1)))
		_, err := p.entry.Receive()
		require.NoError(t, err)
		require.Equal(t, 30*time.Millisecond, time.Since(start))
		require.NoError(t, p.entry.Send(creditGrant(2)))
		_, err = p.agent.Receive()
		require.NoError(t, err)
		require.Equal(t, 35*time.Millisecond, time.Since(start))
	})
}

// Guards against jitter that reorders messages of a link, and against delays
// that differ between runs with the same seed.
func TestMemoryJitterRepeatsAndKeepsOrder(t *testing.T) {
	arrivals := func(seed uint64) (at []time.Duration) {
		inVirtualTime(t, seed, func(t *testing.T, m *Memory, p linkPair) {
			m.SetDelay("agent", Any, 10*time.Millisecond, 20*time.Millisecond)
			start := time.Now()
			for i := range 50 {
				require.NoError(t, p.agent.Send(creditGrant(i)))
			}
			for i := range 50 {
				got, err := p.entry.Receive()
				require.NoError(t, err)
				require.Equal(t, creditGrant(i), got)
				at = append(at, time.Since(start))
			}
		})
		return at
	}
	first := arrivals(7)
	require.Equal(t, first, arrivals(7))
	require.NotEqual(t, first, arrivals(8))
	require.GreaterOrEqual(t, first[0], 10*time.Millisecond)
	require.LessOrEqual(t, first[49], 30*time.Millisecond)
}

// Guards against a one-way cut that delivers messages, affects the other
// direction, loses messages, or makes Send or Receive fail on either side.
func TestMemoryCutOfOneDirection(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, m *Memory, p linkPair) {
		m.SetDelay(Any, Any, time.Millisecond, 0)
		require.NoError(t, p.agent.Send(creditGrant(1))) // in transit when the path is cut
		m.Cut("agent", "entry")
		got := make(chan msg.Control, 2)
		go func() {
			for range 2 {
				c, err := p.entry.Receive()
				if err != nil {
					return
				}
				got <- c
			}
		}()
		require.NoError(t, p.agent.Send(creditGrant(2)))
		require.NoError(t, p.entry.Send(creditGrant(3)))
		c, err := p.agent.Receive()
		require.NoError(t, err)
		require.Equal(t, creditGrant(3), c)
		<-time.After(time.Hour) // virtual
		require.Empty(t, got)
		m.Heal("agent", "entry")
		require.Equal(t, creditGrant(1), <-got)
		require.Equal(t, creditGrant(2), <-got)
	})
}

// Guards against a Close that the peer observes although the path is cut.
func TestMemoryCloseDoesNotCrossACut(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, m *Memory, p linkPair) {
		m.CutBoth("agent", "entry")
		require.NoError(t, p.agent.Close())
		ended := make(chan error, 1)
		go func() {
			_, err := p.entry.Receive()
			ended <- err
		}()
		<-time.After(time.Hour) // virtual
		require.Empty(t, ended)
		require.NoError(t, p.entry.Send(creditGrant(1)), "a sender cannot know that its peer has closed the link")
		m.HealBoth("agent", "entry")
		require.ErrorIs(t, <-ended, ErrClosed)
	})
}

// Guards against a Dial that succeeds although the path from the listener is
// cut.
func TestMemoryDialWaitsForACut(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, m *Memory, p linkPair) {
		m.Cut("entry", Any)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := m.Dialer("agent").Dial(ctx, "entry")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = m.Dialer("agent").Dial(t.Context(), "nowhere")
		require.ErrorIs(t, err, ErrRefused)
	})
}

// Guards against a Send that buffers without bound while the path is cut.
func TestMemoryBuffersAreBounded(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, m *Memory, p linkPair) {
		entry, agent := openStream(t, p)
		m.CutBoth("agent", "entry")
		sent := make(chan int, 1)
		go func() {
			n := 0
			for entry.Send(&msg.BodyChunk{Data: []byte("x")}) == nil {
				n++
			}
			sent <- n
		}()
		synctest.Wait()
		require.Empty(t, sent, "the sender waits")
		m.Reset("entry", "agent")
		require.Equal(t, memWindow, <-sent)
		_, err := agent.Receive()
		require.ErrorIs(t, err, ErrClosed)
	})
}

// Guards against a reset that only one side observes, or that ends other links
// of the process.
func TestMemoryReset(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, m *Memory, p linkPair) {
		l, err := m.Listen("other")
		require.NoError(t, err)
		other := connect(t, m.Dialer("agent"), l)
		m.Reset("agent", "entry")
		_, err = p.agent.Receive()
		require.ErrorIs(t, err, ErrClosed)
		_, err = p.entry.Receive()
		require.ErrorIs(t, err, ErrClosed)
		require.NoError(t, other.agent.Send(creditGrant(1)))
		_, err = other.entry.Receive()
		require.NoError(t, err)
		m.Reset(Any, "agent")
		_, err = other.entry.Receive()
		require.ErrorIs(t, err, ErrClosed)
	})
}
