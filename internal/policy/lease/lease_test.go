package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a holder whose lease is still valid when the granter considers it
// expired. Renewals and acknowledgements take any length of time, and the
// holder's clock is 1% slow.
func TestHolderLeaseEndsBeforeGranterRecord(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second, 20 * time.Second, time.Minute, time.Hour} {
		for _, back := range []time.Duration{0, 3 * time.Second, 40 * time.Second} {
			var g Grants
			var h Holder
			rate := func(at time.Duration) time.Duration { return at - at/100 } // the holder's clock is slow
			now := time.Duration(0)
			for range 5 {
				seq, _ := g.Renew(now, TTL, TTL)
				sent := now
				h.Receive(rate(now+delay), seq, TTL, TTL)
				end := h.Until(false)
				require.LessOrEqual(t, end, rate(g.Until(false)), "delay %v back %v sent %v", delay, back, sent)
				now += delay + back + RenewInterval
				g.Ack(seq)
			}
		}
	}
}

// Guards against a renewal that was buffered while the holder was paused, and
// would confirm a lease that the granter considers expired.
func TestBufferedRenewalDoesNotConfirmTheLease(t *testing.T) {
	var h Holder
	h.Receive(1*time.Second, 1, TTL, TTL)
	require.False(t, h.Valid(1*time.Second, false))
	h.Receive(6*time.Second, 2, TTL, 2*TTL)
	require.Equal(t, 31*time.Second, h.Until(false))
	require.Equal(t, 61*time.Second, h.Until(true))
	h.Invalidate()
	h.Receive(20*time.Second, 3, TTL, TTL)
	require.False(t, h.Valid(20*time.Second, false), "3 may have been sent before the pause")
	h.Receive(21*time.Second, 3, TTL, TTL)
	require.False(t, h.Valid(21*time.Second, false), "a repetition does not confirm the lease")
	h.Receive(22*time.Second, 4, TTL, TTL)
	require.Equal(t, 50*time.Second, h.Until(false))
}

// Guards against a granter that increments the sequence number without an
// acknowledgement: the holder would count its lease from an acknowledgement that
// precedes an earlier renewal.
func TestSequenceWaitsForAck(t *testing.T) {
	var g Grants
	renew := func(now, ttl, long time.Duration, want uint64, fresh bool) {
		seq, f := g.Renew(now, ttl, long)
		require.Equal(t, want, seq)
		require.Equal(t, fresh, f)
	}
	renew(0, TTL, TTL, 1, true)
	renew(RenewInterval, TTL, TTL, 1, false)
	require.True(t, g.Ack(1))
	require.False(t, g.Ack(1))
	renew(2*RenewInterval, 0, TTL, 2, true)
	require.Equal(t, AttemptEnd(TTL), g.Until(false), "a repetition extends nothing")
	require.Equal(t, 2*RenewInterval+AttemptEnd(TTL), g.Until(true))
}
