package credits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func drawBorrowers(t *rapid.T) []Holder {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Holder {
		b := Holder{
			SameDataCentre: rapid.Bool().Draw(t, "near"), Idle: rapid.IntRange(0, 6).Draw(t, "idle"), Running: rapid.IntRange(0, 6).Draw(t, "running"),
			Queued: rapid.IntRange(0, 40).Draw(t, "queued"), RecentRequests: rapid.Float64Range(0, 1000).Draw(t, "recent"),
			MinRemaining: time.Duration(rapid.IntRange(0, 500).Draw(t, "tightest")) * time.Millisecond,
		}
		b.Recalled = rapid.IntRange(0, b.Idle).Draw(t, "recalled")
		b.GrantedSinceReport = rapid.IntRange(0, 8).Draw(t, "granted")
		return b
	}), 0, 5).Draw(t, "borrowers")
}

// Guards against credits beyond the slots and the look-ahead, against recalls
// of more than an entry can return, and against slots that stay free.
func TestPlanBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Slots{Total: rapid.IntRange(-4, 16).Draw(t, "total"), LookAhead: rapid.IntRange(0, 8).Draw(t, "look-ahead"),
			Open: rapid.Bool().Draw(t, "open")}
		before := drawBorrowers(t)
		after := append([]Holder(nil), before...)
		queued := anyNeed(before)
		granted := 0
		for _, g := range Plan(s, after, nil) {
			b := before[g.Holder]
			if g.Count > 0 {
				granted += g.Count
				assert.True(t, s.Open)
			} else {
				assert.LessOrEqual(t, b.Recalled-g.Count, b.Idle, "more is asked back than is idle")
				assert.True(t, !s.Open || b.Queued == 0, "a credit is taken from an entry that needs it")
			}
		}
		limit := s.Total
		if queued {
			limit += s.LookAhead
		}
		assert.LessOrEqual(t, granted, max(0, limit-lent(before)))
		if s.Open && len(before) > 0 && (!queued || !anyNeed(after)) {
			assert.GreaterOrEqual(t, lent(after), min(s.Total, lent(before)+granted))
		}
		if s.Open && len(before) > 0 && !queued {
			assert.GreaterOrEqual(t, lent(after), s.Total, "free slots are lent in advance")
		}
		if !s.Open {
			for _, b := range after {
				assert.Equal(t, b.Idle, b.Recalled)
			}
		}
	})
}

// Guards against an entry that keeps idle credits while another one waits.
func TestRecallForWaiting(t *testing.T) {
	b := []Holder{{Idle: 8}, {Queued: 3}}
	assert.Equal(t, []Grant{{Holder: 0, Count: -3}}, Plan(Slots{Total: 8, Open: true}, b, nil))
	assert.Empty(t, Plan(Slots{Total: 8, Open: true}, b, nil), "asked back once")
}

// Guards against shares that differ from the queues' proportions.
func TestSharesFollowQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := []Holder{{Queued: rapid.IntRange(20, 200).Draw(t, "a")}, {Queued: rapid.IntRange(20, 200).Draw(t, "b")}}
		want := 16 * float64(b[0].Queued) / float64(b[0].Queued+b[1].Queued)
		Plan(Slots{Total: 8, LookAhead: 8, Open: true}, b, nil)
		assert.InDelta(t, want, b[0].Idle, 2)
		assert.Equal(t, 16, b[0].Idle+b[1].Idle)
	})
}

// Guards against credits that move between entries although nothing changes.
// One plan serves the queues, the next one gets what was asked back, and a
// third one lends in advance what the queues left over.
func TestPlanIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Slots{Total: rapid.IntRange(1, 16).Draw(t, "total"), LookAhead: rapid.IntRange(0, 8).Draw(t, "look-ahead"), Open: true}
		b := drawBorrowers(t)
		for range 3 {
			Plan(s, b, nil)
			for i := range b { // the recalled credits come back
				b[i].Idle -= b[i].Recalled
				b[i].Recalled = 0
			}
		}
		assert.Empty(t, Plan(s, b, nil))
	})
}

// Guards against shares of equally loaded entries that swing: each slot that
// becomes free is lent again, over many rounds.
func TestEqualQueuesKeepEqualShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := []Holder{{Queued: 50}, {Queued: 50}}
		s := Slots{Total: 8, LookAhead: 4, Open: true}
		for range 200 {
			Plan(s, b, nil)
			for i := range b {
				assert.InDelta(t, 6, b[i].Idle+b[i].Running, 1)
				b[i].Running += b[i].Idle
				b[i].Idle = 0
			}
			if rapid.Bool().Draw(t, "report") {
				for i := range b {
					b[i].GrantedSinceReport = 0
				}
			}
			if i := rapid.IntRange(0, 1).Draw(t, "ends"); b[i].Running > 0 {
				b[i].Running--
			}
		}
	})
}

// Guards against a look-ahead that is larger than the slots or that leaves
// slots idle for a round trip.
func TestLookAhead(t *testing.T) {
	assert.Equal(t, 0, LookAhead(8, 3*time.Millisecond, 0))
	assert.Equal(t, 8, LookAhead(8, 3*time.Millisecond, time.Millisecond))
	assert.Equal(t, 3, LookAhead(8, 3*time.Millisecond, 20*time.Millisecond))
	assert.Equal(t, 1, LookAhead(8, 3*time.Millisecond, time.Minute))
}

func planInput(entries int) ([]Holder, []Holder) {
	b := make([]Holder, entries)
	for i := range b {
		b[i] = Holder{Queued: 10 + i, Running: 1, Idle: i % 2, MinRemaining: time.Duration(i) * time.Millisecond}
	}
	return b, make([]Holder, entries)
}

// Guards against garbage for each message that the slots actor handles.
func TestPlanAllocatesNothing(t *testing.T) {
	b, scratch := planInput(8)
	out := make([]Grant, 0, len(b))
	assert.Zero(t, testing.AllocsPerRun(1000, func() {
		copy(scratch, b)
		out = Plan(Slots{Total: 16, LookAhead: 8, Open: true}, scratch, out[:0])
	}))
}

// BenchmarkPlan measures one plan for two and for 20 entries.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{2, 20} {
		b.Run(map[int]string{2: "entries=2", 20: "entries=20"}[n], func(b *testing.B) {
			in, scratch := planInput(n)
			out := make([]Grant, 0, n)
			b.ReportAllocs()
			for b.Loop() {
				copy(scratch, in)
				out = Plan(Slots{Total: 8 + n, LookAhead: 8, Open: true}, scratch, out[:0])
			}
		})
	}
}
