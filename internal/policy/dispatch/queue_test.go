package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/model"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newEstimates returns estimates in which the given classes are known.
func newEstimates(means map[model.Class]time.Duration) *ClassEstimates {
	c := NewClassEstimates()
	for name, d := range means {
		for range minSamples {
			c.AddSample(name, d)
		}
	}
	return c
}

func request(key Key, tenant model.Tenant, deadline time.Duration) Request {
	return Request{Key: key, Class: "read", Tenant: tenant, Arrived: startTime, Deadline: startTime.Add(deadline)}
}

func failOnDrop(t require.TestingT) func(Request, Refusal) {
	return func(r Request, refusal Refusal) { assert.Fail(t, "dropped", "%v: %v", r, refusal) }
}

// Guards against requests that are lost, dispatched twice, dispatched after
// they were withdrawn, or dispatched out of deadline order within a tenant and
// class.
func TestQueueDispatchesOnceInDeadlineOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Options{}, newEstimates(map[model.Class]time.Duration{"read": 10 * time.Millisecond}))
		queued := map[Key]Request{}
		next := Key(0)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				next++
				tenant := model.Tenant(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"))
				r := request(next, tenant, time.Duration(rapid.IntRange(1, 600).Draw(t, "deadline"))*time.Second)
				if q.Admit(startTime, r, Load{}, true) == Accepted {
					queued[r.Key] = r
				}
			},
			"withdraw": func(t *rapid.T) {
				k := Key(rapid.Uint64Range(1, uint64(next)+1).Draw(t, "key"))
				_, want := queued[k]
				assert.Equal(t, want, q.Withdraw(k))
				delete(queued, k)
			},
			"next": func(t *rapid.T) {
				r, ok := q.Next(startTime, true, failOnDrop(t))
				assert.Equal(t, len(queued) > 0, ok)
				if !ok {
					return
				}
				assert.Contains(t, queued, r.Key)
				delete(queued, r.Key)
				for _, other := range queued {
					assert.False(t, other.Tenant == r.Tenant && other.Deadline.Before(r.Deadline), "%v before %v", r, other)
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
				assert.True(t, at.Equal(first), "earliest deadline %v, want %v", at, first)
			},
		})
	})
}

// Guards against a tenant with many requests that gets more slot time than one
// with few: while both have queued requests, their slot times differ by at most
// one request of each.
func TestTenantsShareSlotTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		means := map[model.Class]time.Duration{"read": 10 * time.Millisecond, "roster": 100 * time.Millisecond}
		classes := newEstimates(means)
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
				require.Equal(t, Accepted, q.Admit(startTime, r, Load{}, true))
				left[tenant]++
			}
		}
		used := map[model.Tenant]time.Duration{}
		for left["heavy"] > 0 && left["light"] > 0 {
			r, ok := q.Next(startTime, true, failOnDrop(t))
			require.True(t, ok)
			left[r.Tenant]--
			used[r.Tenant] += means[r.Class]
			gap := used["heavy"] - used["light"]
			assert.LessOrEqual(t, gap.Abs(), 2*means["roster"])
		}
	})
}

// Guards against a tenant that is charged for requests that were dropped
// without running, and so gets less slot time than another tenant afterwards.
func TestDroppedRequestsAreNotCharged(t *testing.T) {
	q := NewQueue(Options{}, newEstimates(map[model.Class]time.Duration{"read": 10 * time.Millisecond}))
	for k := range Key(50) {
		require.Equal(t, Accepted, q.Admit(startTime, request(k, "late", 20*time.Millisecond), Load{}, true))
	}
	for k := range Key(20) {
		require.Equal(t, Accepted, q.Admit(startTime, request(100+k, "late", time.Hour), Load{}, true))
		require.Equal(t, Accepted, q.Admit(startTime, request(200+k, "other", time.Hour), Load{}, true))
	}
	served := map[model.Tenant]int{}
	dropped := 0
	for range 20 {
		r, ok := q.Next(startTime.Add(time.Second), true, func(Request, Refusal) { dropped++ })
		require.True(t, ok)
		served[r.Tenant]++
	}
	assert.Equal(t, 50, dropped)
	assert.InDelta(t, served["late"], served["other"], 1)
}

// Guards against the admission of more requests than can meet their deadlines,
// and against the refusal of requests for which there is capacity.
func TestAdmissionIsFeasible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const mean = 10 * time.Millisecond
		slots := rapid.IntRange(2, 64).Draw(t, "slots")
		q := NewQueue(Options{}, newEstimates(map[model.Class]time.Duration{"read": mean}))
		load := Load{Sent: Count{Short: slots}, Started: Count{Short: slots}}
		wait := time.Duration(rapid.IntRange(100, 2000).Draw(t, "wait")) * time.Millisecond
		admitted, refused := 0, 0
		for k := range Key(4 * int(wait/mean) * slots) {
			if q.Admit(startTime, request(k, "a", wait), load, false) == Accepted {
				admitted++
			} else {
				refused++
			}
			if refused > 10 {
				break
			}
		}
		// Each slot serves wait/mean requests until the deadline.
		capacity := float64(slots) * float64(wait) / float64(mean)
		assert.LessOrEqual(t, float64(admitted), min(capacity, defaultMaxQueued)+1)
		assert.GreaterOrEqual(t, float64(admitted), min(0.3*capacity, defaultMaxQueued)-float64(8*slots)-1)
	})
}

// Guards against the admission of a request that can no longer meet its
// deadline, and against a queue without a bound.
func TestAdmissionBounds(t *testing.T) {
	q := NewQueue(Options{MaxQueued: 3}, newEstimates(map[model.Class]time.Duration{"read": 100 * time.Millisecond}))
	assert.Equal(t, RefusedLate, q.Admit(startTime, request(1, "a", 50*time.Millisecond), Load{}, false))
	busy := Load{Sent: Count{Short: 8}, Started: Count{Short: 8}}
	for k := range Key(3) {
		assert.Equal(t, Accepted, q.Admit(startTime, request(10+k, "a", time.Hour), busy, false))
	}
	assert.Equal(t, RefusedFull, q.Admit(startTime, request(20, "a", time.Hour), busy, false))
}

// Guards against an entry that refuses a burst because no request is in
// progress yet, although the agents would grant it credits.
func TestIdleEntryAdmitsBurst(t *testing.T) {
	q := NewQueue(Options{}, NewClassEstimates())
	for k := range Key(28) {
		assert.Equal(t, Accepted, q.Admit(startTime, request(k, "a", 10*time.Second), Load{Instances: 3}, false))
	}
	for range 28 {
		q.Next(startTime, true, failOnDrop(t))
	}
	for k := range Key(28) {
		assert.Equal(t, Accepted, q.Admit(startTime.Add(time.Minute), request(k, "a", 70*time.Second), Load{Instances: 3}, false))
	}
}

// Guards against short requests that are delayed by long ones, and against long
// ones that never run while more short ones arrive.
func TestShortAndLongClassesShareSlots(t *testing.T) {
	q := NewQueue(Options{}, newEstimates(map[model.Class]time.Duration{"read": 10 * time.Millisecond, "watch": time.Second}))
	for k := range Key(500) {
		require.Equal(t, Accepted, q.Admit(startTime, request(k, "a", time.Hour), Load{}, true))
	}
	for k := range Key(10) {
		r := request(1000+k, "a", time.Hour)
		r.Class = "watch"
		require.Equal(t, Accepted, q.Admit(startTime, r, Load{}, true))
	}
	long := 0
	for range 450 {
		r, ok := q.Next(startTime, true, failOnDrop(t))
		require.True(t, ok)
		if r.Class == "watch" {
			long++
		}
	}
	assert.InDelta(t, 2, long, 1, "one second of long work for four of short work")
	for r, ok := q.Next(startTime, false, failOnDrop(t)); ok; r, ok = q.Next(startTime, false, failOnDrop(t)) {
		assert.Equal(t, model.Class("read"), r.Class)
	}
	assert.Positive(t, q.Len(), "long requests stay queued while no slot allows them")
}

// Guards against a profile that still counts the work of a removed request, or
// subtracts it twice: the error would accumulate in all later admissions.
func TestProfileMatchesQueuedWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			due  int64
			cost time.Duration
		}
		var p profile
		var entries []entry
		now := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 300).Draw(t, "passed"))
			p.advance(now)
			if len(entries) > 0 && rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "which")
				p.remove(entries[i].due, entries[i].cost)
				entries = append(entries[:i], entries[i+1:]...)
			} else {
				e := entry{cost: time.Duration(rapid.IntRange(1, 1000).Draw(t, "cost"))}
				e.due = p.add(now+int64(rapid.IntRange(-5, 400).Draw(t, "latest")), e.cost)
				entries = append(entries, e)
			}
			var want, sum time.Duration
			for _, e := range entries {
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
