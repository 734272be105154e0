package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/model"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// learned returns classes with known lengths.
func learned(means map[model.Class]time.Duration) *ClassEstimates {
	c := NewClassEstimates()
	for name, d := range means {
		for range minSamples {
			c.AddSample(name, d)
		}
	}
	return c
}

func request(key Key, tenant model.Tenant, deadline time.Duration) Request {
	return Request{Key: key, Class: "read", Tenant: tenant, Arrived: epoch, Deadline: epoch.Add(deadline)}
}

func noDrop(t require.TestingT) func(Request, Refusal) {
	return func(r Request, why Refusal) { assert.Fail(t, "dropped", "%v: %v", r, why) }
}

// Guards against requests that are lost, served twice, served after their
// withdrawal, or served out of deadline order within a tenant and class.
func TestQueueServesEachOnceInDeadlineOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Options{}, learned(map[model.Class]time.Duration{"read": 10 * time.Millisecond}))
		queued := map[Key]Request{}
		next := Key(0)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				next++
				tenant := model.Tenant(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"))
				r := request(next, tenant, time.Duration(rapid.IntRange(1, 600).Draw(t, "deadline"))*time.Second)
				if q.Admit(epoch, r, Load{}, true) == Accepted {
					queued[r.Key] = r
				}
			},
			"withdraw": func(t *rapid.T) {
				k := Key(rapid.Uint64Range(1, uint64(next)+1).Draw(t, "key"))
				_, there := queued[k]
				assert.Equal(t, there, q.Withdraw(k))
				delete(queued, k)
			},
			"next": func(t *rapid.T) {
				r, ok := q.Next(epoch, true, noDrop(t))
				assert.Equal(t, len(queued) > 0, ok)
				if !ok {
					return
				}
				assert.Contains(t, queued, r.Key)
				delete(queued, r.Key)
				for _, o := range queued {
					assert.False(t, o.Tenant == r.Tenant && o.Deadline.Before(r.Deadline), "%v before %v", r, o)
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, len(queued), q.Len())
				var first time.Time
				for _, r := range queued {
					if first.IsZero() || r.Deadline.Before(first) {
						first = r.Deadline
					}
				}
				at, ok := q.EarliestDeadline()
				assert.Equal(t, len(queued) > 0, ok)
				assert.True(t, at.Equal(first), "tightest %v, want %v", at, first)
			},
		})
	})
}

// Guards against a heavy tenant that crowds out a light one: while both wait,
// their slot times differ by no more than one request of each.
func TestTenantsShareSlotTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		means := map[model.Class]time.Duration{"read": 10 * time.Millisecond, "roster": 100 * time.Millisecond}
		classes := learned(means)
		classes.SetLong("roster", false)
		q := NewQueue(Options{}, classes)
		key := Key(0)
		left := map[model.Tenant]int{}
		for _, tenant := range []model.Tenant{"heavy", "light"} {
			n := rapid.IntRange(5, 60).Draw(t, string(tenant))
			for range n {
				key++
				r := request(key, tenant, time.Hour)
				r.Class = rapid.SampledFrom([]model.Class{"read", "roster"}).Draw(t, "class")
				require.Equal(t, Accepted, q.Admit(epoch, r, Load{}, true))
				left[tenant]++
			}
		}
		used := map[model.Tenant]time.Duration{}
		for left["heavy"] > 0 && left["light"] > 0 {
			r, ok := q.Next(epoch, true, noDrop(t))
			require.True(t, ok)
			left[r.Tenant]--
			used[r.Tenant] += means[r.Class]
			gap := used["heavy"] - used["light"]
			assert.LessOrEqual(t, gap.Abs(), 2*means["roster"])
		}
	})
}

// Guards against a tenant that pays with its share for requests that were
// dropped unserved, and so gets less than another one afterwards.
func TestDroppedRequestsAreNotCharged(t *testing.T) {
	q := NewQueue(Options{}, learned(map[model.Class]time.Duration{"read": 10 * time.Millisecond}))
	for k := range Key(50) {
		require.Equal(t, Accepted, q.Admit(epoch, request(k, "late", 20*time.Millisecond), Load{}, true))
	}
	for k := range Key(20) {
		require.Equal(t, Accepted, q.Admit(epoch, request(100+k, "late", time.Hour), Load{}, true))
		require.Equal(t, Accepted, q.Admit(epoch, request(200+k, "other", time.Hour), Load{}, true))
	}
	served := map[model.Tenant]int{}
	dropped := 0
	for range 20 {
		r, ok := q.Next(epoch.Add(time.Second), true, func(Request, Refusal) { dropped++ })
		require.True(t, ok)
		served[r.Tenant]++
	}
	assert.Equal(t, 50, dropped)
	assert.InDelta(t, served["late"], served["other"], 1)
}

// Guards against admission of more work than can start in time, and against
// refusal of work for which there is room.
func TestAdmissionIsFeasible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const mean = 10 * time.Millisecond
		slots := rapid.IntRange(2, 64).Draw(t, "slots")
		q := NewQueue(Options{}, learned(map[model.Class]time.Duration{"read": mean}))
		load := Load{Sent: Count{Short: slots}, Started: Count{Short: slots}}
		wait := time.Duration(rapid.IntRange(100, 2000).Draw(t, "wait")) * time.Millisecond
		admitted, refused := 0, 0
		for k := range Key(4 * int(wait/mean) * slots) {
			if q.Admit(epoch, request(k, "a", wait), load, false) == Accepted {
				admitted++
			} else {
				refused++
			}
			if refused > 10 {
				break
			}
		}
		// Each slot serves wait/mean requests until the deadline.
		room := float64(slots) * float64(wait) / float64(mean)
		assert.LessOrEqual(t, float64(admitted), min(room, defaultMaxQueued)+1)
		assert.GreaterOrEqual(t, float64(admitted), min(0.3*room, defaultMaxQueued)-float64(8*slots)-1)
	})
}

// Guards against a request that is admitted although its deadline leaves no
// time to run it, and against a queue without a bound.
func TestAdmissionBounds(t *testing.T) {
	q := NewQueue(Options{MaxQueued: 3}, learned(map[model.Class]time.Duration{"read": 100 * time.Millisecond}))
	assert.Equal(t, RefusedLate, q.Admit(epoch, request(1, "a", 50*time.Millisecond), Load{}, false))
	busy := Load{Sent: Count{Short: 8}, Started: Count{Short: 8}}
	for k := range Key(3) {
		assert.Equal(t, Accepted, q.Admit(epoch, request(10+k, "a", time.Hour), busy, false))
	}
	assert.Equal(t, RefusedFull, q.Admit(epoch, request(20, "a", time.Hour), busy, false))
}

// Guards against an entry that refuses a burst because it has nothing in
// progress yet, although the backend servers would lend it slots.
func TestColdEntryAdmitsABurst(t *testing.T) {
	q := NewQueue(Options{}, NewClassEstimates())
	for k := range Key(28) {
		assert.Equal(t, Accepted, q.Admit(epoch, request(k, "a", 10*time.Second), Load{Instances: 3}, false))
	}
	for range 28 {
		q.Next(epoch, true, noDrop(t))
	}
	for k := range Key(28) {
		assert.Equal(t, Accepted, q.Admit(epoch.Add(time.Minute), request(k, "a", 70*time.Second), Load{Instances: 3}, false))
	}
}

// Guards against short requests that wait behind long ones, and against long
// ones that never run while short ones keep coming.
func TestBandsShareAndMayLong(t *testing.T) {
	q := NewQueue(Options{}, learned(map[model.Class]time.Duration{"read": 10 * time.Millisecond, "watch": time.Second}))
	for k := range Key(500) {
		require.Equal(t, Accepted, q.Admit(epoch, request(k, "a", time.Hour), Load{}, true))
	}
	for k := range Key(10) {
		r := request(1000+k, "a", time.Hour)
		r.Class = "watch"
		require.Equal(t, Accepted, q.Admit(epoch, r, Load{}, true))
	}
	long := 0
	for range 450 {
		r, ok := q.Next(epoch, true, noDrop(t))
		require.True(t, ok)
		if r.Class == "watch" {
			long++
		}
	}
	assert.InDelta(t, 2, long, 1, "one second of long work for four of short work")
	for r, ok := q.Next(epoch, false, noDrop(t)); ok; r, ok = q.Next(epoch, false, noDrop(t)) {
		assert.Equal(t, model.Class("read"), r.Class)
	}
	assert.Positive(t, q.Len(), "long requests stay queued while no slot allows them")
}

// Guards against work that stays in the admission profile after its request
// has left, or leaves it twice: admission would drift for ever.
func TestProfileBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			due  int64
			cost time.Duration
		}
		var p profile
		var held []entry
		now := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 300).Draw(t, "passed"))
			p.advance(now)
			if len(held) > 0 && rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				p.remove(held[i].due, held[i].cost)
				held = append(held[:i], held[i+1:]...)
			} else {
				e := entry{cost: time.Duration(rapid.IntRange(1, 1000).Draw(t, "cost"))}
				e.due = p.add(now+int64(rapid.IntRange(-5, 400).Draw(t, "latest")), e.cost)
				held = append(held, e)
			}
			var want, sum time.Duration
			for _, e := range held {
				want += e.cost
			}
			for _, w := range p.work {
				assert.GreaterOrEqual(t, w, time.Duration(0))
				sum += w
			}
			assert.Equal(t, want, sum)
			assert.Equal(t, want, p.total)
		}
	})
}
