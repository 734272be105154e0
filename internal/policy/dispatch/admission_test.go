package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that has just started, or whose credits were granted
// to other entries, and that refuses every request of a tenant except the
// first, although agents grant it credits once they receive its demand.
func TestAdmitBeforeFirstCredit(t *testing.T) {
	q, now := NewQueue(Options{}, NewClassEstimates()), time.Now()
	for n := range 40 {
		r := Request{Key: Key(n), Tenant: "tenant", Arrived: now, Deadline: now.Add(30 * time.Second)}
		require.Equal(t, Accepted, q.Admit(now, r, Load{}, false), "request %d", n)
	}
}

// Guards against an entry that refuses every request after a time of high load:
// when no request is in progress any more, the estimate must not conclude that
// there are no slots.
func TestAdmitAfterHighLoad(t *testing.T) {
	q, now := NewQueue(Options{}, NewClassEstimates()), time.Now()
	busy := Load{Sent: Count{Short: 24}, Started: Count{Short: 24}, Slots: 24}
	admit := func(n int, load Load) {
		r := Request{Key: Key(n), Tenant: "tenant", Arrived: now, Deadline: now.Add(30 * time.Second)}
		require.Equal(t, Accepted, q.Admit(now, r, load, false), "request %d", n)
	}
	admit(0, busy)
	now = now.Add(10 * time.Second)
	admit(1, Load{Slots: 24})
}

// Guards against an entry without credits that refuses requests with slot times
// of seconds, although the backend servers have enough free slots.
func TestAdmitWithFreeSlots(t *testing.T) {
	classes := NewClassEstimates()
	for range minSamples {
		classes.AddSample("", time.Second)
	}
	q, now := NewQueue(Options{}, classes), time.Now()
	for n := range 24 {
		r := Request{Key: Key(n), Tenant: "tenant", Arrived: now, Deadline: now.Add(30 * time.Second)}
		require.Equal(t, Accepted, q.Admit(now, r, Load{Slots: 24}, false), "request %d", n)
	}
}

// Guards against an entry that refuses a burst after a time of high load
// because it takes the few requests in progress for the number of slots,
// although most slots are free.
func TestAdmitWithFewInProgress(t *testing.T) {
	classes := NewClassEstimates()
	for range minSamples {
		classes.AddSample("", 5*time.Second)
	}
	q, now := NewQueue(Options{}, classes), time.Now()
	admit := func(n int, load Load) {
		r := Request{Key: Key(n), Tenant: "tenant", Arrived: now, Deadline: now.Add(30 * time.Second)}
		require.Equal(t, Accepted, q.Admit(now, r, load, false), "request %d", n)
	}
	busy := Count{Short: 16}
	admit(0, Load{Sent: busy, Started: busy, Slots: 16})
	require.True(t, q.Withdraw(0))
	now = now.Add(10 * time.Second)
	for n := range 8 {
		admit(n+1, Load{Sent: Count{Short: 2}, Slots: 16})
		now = now.Add(time.Millisecond)
	}
}
