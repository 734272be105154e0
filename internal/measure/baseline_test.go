package measure

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// baseline is a policy of which an event model replays a load: each request
// is sent to an instance on arrival and waits there, first come first served,
// without refusal. Callers give up at the deadline; the server runs on.
type baseline struct {
	name   string
	choose func(m *eventModel, r *rand.Rand) int
}

// eventModel has the free time of each slot of each instance, and for a central
// queue one instance with all slots.
type eventModel struct {
	now  time.Duration
	free []slotHeap
	// outstanding counts requests by instance as one of several entries sees
	// them: its own only.
	outstanding [][]int
	done        []endHeap
	next        int
}

type slotHeap []time.Duration

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *slotHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *slotHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type end struct {
	at       time.Duration
	instance int
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

var (
	randomChoice = baseline{"random", func(m *eventModel, r *rand.Rand) int { return r.IntN(len(m.free)) }}
	roundRobin   = baseline{"round robin", func(m *eventModel, _ *rand.Rand) int {
		m.next++
		return m.next % len(m.free)
	}}
	leastOutstanding = baseline{"least outstanding", func(m *eventModel, _ *rand.Rand) int {
		best, own := 0, m.outstanding[m.next%2]
		for i := range own {
			if own[i] < own[best] {
				best = i
			}
		}
		return best
	}}
	central = baseline{"central queue", func(*eventModel, *rand.Rand) int { return 0 }}
)

// replay returns the answers of a load under a baseline. delay is the time
// between an entry and an instance, one way.
func (b baseline) replay(d deployment, load []arrival, seed uint64, delay time.Duration) []answer {
	instances, slots := d.instances, d.slots
	if b.name == central.name {
		instances, slots, delay = 1, instances*slots, 0
	}
	m := &eventModel{free: make([]slotHeap, instances), outstanding: make([][]int, d.entries), done: make([]endHeap, d.entries)}
	for i := range m.free {
		m.free[i] = make(slotHeap, slots)
	}
	for e := range m.outstanding {
		m.outstanding[e] = make([]int, instances)
	}
	r := rand.New(rand.NewPCG(seed, 2))
	answers := make([]answer, len(load))
	for k, a := range load {
		m.now, m.next = a.at+d.client, max(m.next, 0)
		entry := k % d.entries
		if b.name == leastOutstanding.name {
			m.next = entry
		}
		m.expire(entry)
		answers[k] = m.send(d, a, entry, b.choose(m, r), delay)
	}
	return answers
}

// expire counts the requests of an entry that have ended.
func (m *eventModel) expire(entry int) {
	h := &m.done[entry]
	for len(*h) > 0 && (*h)[0].at <= m.now {
		m.outstanding[entry][heap.Pop(h).(end).instance]--
	}
}

func (m *eventModel) send(d deployment, a arrival, entry, i int, delay time.Duration) answer {
	begin := max(m.free[i][0], m.now+delay)
	finish := begin + a.service
	m.free[i][0] = finish
	heap.Fix(&m.free[i], 0)
	m.outstanding[entry][i]++
	heap.Push(&m.done[entry], end{finish + delay, i})
	got := answer{arrival: a, status: 200, took: finish + delay + d.client - a.at}
	got.inEntry = got.took - 2*d.client
	for _, c := range d.classes {
		if len(a.path) >= len(c.PathPrefixes[0]) && a.path[:len(c.PathPrefixes[0])] == c.PathPrefixes[0] && got.inEntry > c.Deadline {
			got.status = 504
		}
	}
	return got
}
