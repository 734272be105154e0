package measure

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// baseline is a load balancing policy for comparison. It sends each request to
// an instance on arrival, where it waits first come, first served, and is never
// refused. Callers give up at the deadline, but the backend server still runs
// the request.
type baseline struct {
	name string
	// choose returns the instance for a request.
	choose func(m *eventModel, r *rand.Rand) int
}

// eventModel is a discrete event model of a deployment under a baseline. The
// central queue is modelled as one instance with all slots.
type eventModel struct {
	now  time.Duration
	free []slotHeap // by instance: when each slot becomes free
	// outstanding counts requests by entry and instance; an entry knows only its
	// own requests.
	outstanding [][]int
	pendingEnds []endHeap // by entry
	// position is the last instance chosen by roundRobin, and the index of the
	// current entry for leastOutstanding.
	position int
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
		m.position++
		return m.position % len(m.free)
	}}
	leastOutstanding = baseline{"least outstanding", func(m *eventModel, _ *rand.Rand) int {
		best, own := 0, m.outstanding[m.position%2]
		for i := range own {
			if own[i] < own[best] {
				best = i
			}
		}
		return best
	}}
	central = baseline{"central queue", func(*eventModel, *rand.Rand) int { return 0 }}
)

// replay returns the answers to a load under the baseline. delay is the one-way
// delay between an entry and an instance.
func (b baseline) replay(d deployment, load []arrival, seed uint64, delay time.Duration) []answer {
	instances, slots := d.instances, d.slots
	if b.name == central.name {
		instances, slots, delay = 1, instances*slots, 0
	}
	model := &eventModel{free: make([]slotHeap, instances), outstanding: make([][]int, d.entries), pendingEnds: make([]endHeap, d.entries)}
	for i := range model.free {
		model.free[i] = make(slotHeap, slots)
	}
	for e := range model.outstanding {
		model.outstanding[e] = make([]int, instances)
	}
	r := rand.New(rand.NewPCG(seed, 2))
	answers := make([]answer, len(load))
	for index, a := range load {
		model.now, model.position = a.at+d.clientDelay, max(model.position, 0)
		entry := index % d.entries
		if b.name == leastOutstanding.name {
			model.position = entry
		}
		model.expire(entry)
		answers[index] = model.send(d, a, entry, b.choose(model, r), delay)
	}
	return answers
}

// expire removes the requests of an entry that have ended from outstanding.
func (m *eventModel) expire(entry int) {
	h := &m.pendingEnds[entry]
	for len(*h) > 0 && (*h)[0].at <= m.now {
		m.outstanding[entry][heap.Pop(h).(end).instance]--
	}
}

// send runs a request on instance i and returns its answer.
func (m *eventModel) send(d deployment, a arrival, entry, i int, delay time.Duration) answer {
	start := max(m.free[i][0], m.now+delay)
	finish := start + a.service
	m.free[i][0] = finish
	heap.Fix(&m.free[i], 0)
	m.outstanding[entry][i]++
	heap.Push(&m.pendingEnds[entry], end{finish + delay, i})
	result := answer{arrival: a, status: 200, latency: finish + delay + d.clientDelay - a.at}
	result.inEntry = result.latency - 2*d.clientDelay
	for _, c := range d.classes {
		if len(a.path) >= len(c.PathPrefixes[0]) && a.path[:len(c.PathPrefixes[0])] == c.PathPrefixes[0] && result.inEntry > c.Deadline {
			result.status = 504
		}
	}
	return result
}
