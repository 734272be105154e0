package jobs

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

// States of charts/refusal.scxml, in the order of RefusalBinding.
const (
	batchCombined chart.State = iota
	batchSeparate
)

// Events of charts/refusal.scxml, in the order of RefusalBinding.
const (
	evBatchRefused chart.Event = iota
	evSeparateTimeout
)

const (
	// separateTime is how long batches have one kind of content after a refusal.
	separateTime = 5 * time.Second
	// refusedRetry is the time after which content that the store has refused is tried
	// again.
	refusedRetry = 3 * time.Second
)

var refusalChart *chart.Machine[refusal]

func init() { refusalChart = chart.MustCompile(charts.Files, RefusalBinding()) }

// RefusalBinding binds charts/refusal.scxml.
func RefusalBinding() chart.Binding[refusal] {
	return chart.Binding[refusal]{
		Chart:   "refusal",
		States:  []string{"combined", "separate"},
		Events:  []string{"refused", "late"},
		Guards:  map[string]func(*refusal) bool{"oneKind": func(r *refusal) bool { return r.batch.contents.count() == 1 }},
		Actions: map[string]func(*refusal){"blame": (*refusal).blame},
		Delays:  map[string]time.Duration{"separateTime": separateTime},
	}
}

// contentKind is a kind of content of a batch, beside the owner's row.
type contentKind uint8

const (
	jobContent contentKind = iota // rows of changed jobs
	removalContent
	hostContent
	endingLeaseContent // in the owner's row
	interferenceContent
	contentKinds
)

var contentNames = [contentKinds]string{"jobs", "removals", "hosts", "ending-leases", "interference"}

// contents is a set of kinds of content.
type contents [contentKinds]bool

func (s contents) count() int {
	n := 0
	for _, in := range s {
		if in {
			n++
		}
	}
	return n
}

// refusal is the state of charts/refusal.scxml.
type refusal struct {
	core      *Core
	state     chart.State
	timeoutAt time.Duration               // when the state's timeout expires; 0: none
	last      contentKind                 // of the last batch in the state separate
	heldUntil [contentKinds]time.Duration // when content that was refused is tried again
	batch     *Batch                      // set during the event refused only
}

// step applies an event to the chart and sets the timeout of its state.
func (r *refusal) step(e chart.Event) {
	refusalChart.Step(r, &r.state, e)
	r.timeoutAt = 0
	if d, _, ok := refusalChart.Timeout(r.state); ok {
		r.timeoutAt = r.core.now + d
	}
}

// tick applies the timeout of the state.
func (r *refusal) tick() {
	if r.timeoutAt != 0 && r.core.now >= r.timeoutAt {
		r.step(evSeparateTimeout)
	}
}

// refused applies the refusal of a batch.
func (r *refusal) refused(b *Batch) {
	r.batch = b
	r.step(evBatchRefused)
	r.batch = nil
}

// blame applies the refusal of a batch with one kind of content. A job is to blame only
// if there is no other in the batch.
func (r *refusal) blame() {
	kind := contentKind(0)
	for !r.batch.contents[kind] {
		kind++
	}
	c, writes := r.core, r.batch.Writes
	if kind != jobContent {
		r.heldUntil[kind] = c.now + refusedRetry
		c.addDecision(Decision{Kind: ContentRefused, Detail: contentNames[kind]})
		return
	}
	c.batchJobs = max(1, len(writes)/2)
	if j, ok := c.jobs[writes[0].Job]; ok && len(writes) == 1 {
		j.failUnstorable()
	}
}

// held reports whether content of a kind waits because the store has refused it.
func (r *refusal) held(kind contentKind) bool { return r.core.now < r.heldUntil[kind] }

// choose returns the kinds that the next batch may have, of those that wait.
func (r *refusal) choose(waiting contents) contents {
	for kind := range waiting {
		waiting[kind] = waiting[kind] && !r.held(contentKind(kind))
	}
	if r.state == batchCombined {
		return waiting
	}
	var chosen contents
	for range contentKinds {
		r.last = (r.last + 1) % contentKinds
		if waiting[r.last] {
			chosen[r.last] = true
			break
		}
	}
	return chosen
}
