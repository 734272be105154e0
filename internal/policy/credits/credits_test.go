package credits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func drawHolders(t *rapid.T) []Holder {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Holder {
		holder := Holder{
			SameDataCentre: rapid.Bool().Draw(t, "near"), Idle: rapid.IntRange(0, 6).Draw(t, "idle"), Running: rapid.IntRange(0, 6).Draw(t, "running"),
			Queued: rapid.IntRange(0, 40).Draw(t, "queued"), RecentRequests: rapid.Float64Range(0, 1000).Draw(t, "recent"),
			MinRemaining: time.Duration(rapid.IntRange(0, 500).Draw(t, "tightest")) * time.Millisecond,
		}
		holder.Recalled = rapid.IntRange(0, holder.Idle).Draw(t, "recalled")
		holder.GrantedSinceReport = rapid.IntRange(0, 8).Draw(t, "granted")
		return holder
	}), 0, 5).Draw(t, "holders")
}

// Guards against more credits than slots and look-ahead, against recalls of
// more credits than an entry can return, and against slots for which no credit
// is granted.
func TestPlanBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Slots{Total: rapid.IntRange(-4, 16).Draw(t, "total"), LookAhead: rapid.IntRange(0, 8).Draw(t, "look-ahead"),
			Open: rapid.Bool().Draw(t, "open")}
		before := drawHolders(t)
		after := append([]Holder(nil), before...)
		queued := anyUnmetNeed(before)
		granted := 0
		for _, g := range Plan(s, after, nil) {
			b := before[g.Holder]
			if g.Count > 0 {
				granted += g.Count
				assert.True(t, s.Open)
			} else {
				assert.LessOrEqual(t, b.Recalled-g.Count, b.Idle, "more credits are recalled than are idle")
				assert.True(t, !s.Open || b.Queued == 0, "a credit is recalled from an entry that needs it")
			}
		}
		limit := s.Total
		if queued {
			limit += s.LookAhead
		}
		assert.LessOrEqual(t, granted, max(0, limit-outstanding(before)))
		if s.Open && len(before) > 0 && (!queued || !anyUnmetNeed(after)) {
			assert.GreaterOrEqual(t, outstanding(after), min(s.Total, outstanding(before)+granted))
		}
		if s.Open && len(before) > 0 && !queued {
			assert.GreaterOrEqual(t, outstanding(after), s.Total, "credits for free slots are granted in advance")
		}
		if !s.Open {
			for _, b := range after {
				assert.Equal(t, b.Idle, b.Recalled)
			}
		}
	})
}

// Guards against an entry that keeps idle credits while requests queue at
// another one.
func TestRecallIdleCredits(t *testing.T) {
	holders := []Holder{{Idle: 8}, {Queued: 3}}
	assert.Equal(t, []Grant{{Holder: 0, Count: -3}}, Plan(Slots{Total: 8, Open: true}, holders, nil))
	assert.Empty(t, Plan(Slots{Total: 8, Open: true}, holders, nil), "credits are recalled once")
}

// Guards against shares of the credits that are not in proportion to the
// queues.
func TestSharesFollowQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := []Holder{{Queued: rapid.IntRange(20, 200).Draw(t, "a")}, {Queued: rapid.IntRange(20, 200).Draw(t, "b")}}
		want := 16 * float64(holders[0].Queued) / float64(holders[0].Queued+holders[1].Queued)
		Plan(Slots{Total: 8, LookAhead: 8, Open: true}, holders, nil)
		assert.InDelta(t, want, holders[0].Idle, 2)
		assert.Equal(t, 16, holders[0].Idle+holders[1].Idle)
	})
}

// Guards against credits that move between entries although nothing changes.
// The first plan serves the queues, the second one distributes the recalled
// credits, and the third one grants the remaining credits in advance.
func TestPlanIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Slots{Total: rapid.IntRange(1, 16).Draw(t, "total"), LookAhead: rapid.IntRange(0, 8).Draw(t, "look-ahead"), Open: true}
		holders := drawHolders(t)
		for range 3 {
			Plan(s, holders, nil)
			for i := range holders { // the recalled credits are returned
				holders[i].Idle -= holders[i].Recalled
				holders[i].Recalled = 0
			}
		}
		assert.Empty(t, Plan(s, holders, nil))
	})
}

// Guards against shares of equally loaded entries that oscillate: over many
// rounds, a new credit is granted for each slot that becomes free.
func TestEqualQueuesKeepEqualShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := []Holder{{Queued: 50}, {Queued: 50}}
		s := Slots{Total: 8, LookAhead: 4, Open: true}
		for range 200 {
			Plan(s, holders, nil)
			for i := range holders {
				assert.InDelta(t, 6, holders[i].Idle+holders[i].Running, 1)
				holders[i].Running += holders[i].Idle
				holders[i].Idle = 0
			}
			if rapid.Bool().Draw(t, "report") {
				for i := range holders {
					holders[i].GrantedSinceReport = 0
				}
			}
			if i := rapid.IntRange(0, 1).Draw(t, "ends"); holders[i].Running > 0 {
				holders[i].Running--
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
	holders := make([]Holder, entries)
	for i := range holders {
		holders[i] = Holder{Queued: 10 + i, Running: 1, Idle: i % 2, MinRemaining: time.Duration(i) * time.Millisecond}
	}
	return holders, make([]Holder, entries)
}

// Guards against memory allocation in Plan, which runs for each message that
// the agent's slots actor handles.
func TestPlanAllocatesNothing(t *testing.T) {
	holders, scratch := planInput(8)
	out := make([]Grant, 0, len(holders))
	assert.Zero(t, testing.AllocsPerRun(1000, func() {
		copy(scratch, holders)
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
