package measure

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
)

// run is one run of a request as recorded by its backend server.
type run struct {
	key        string
	instance   int
	begin, end time.Duration // since the start of the recorder; end is when the backend server detects it
	complete   bool
}

// callerResult is the result of a request as its caller sees it.
type callerResult struct {
	key        string
	idempotent bool
	cancelled  bool // the caller closed the connection before the answer
	status     int  // 0: the connection was aborted
	body       string
	outcome    string
}

// history contains the observations of callers and backend servers, and nothing
// from the system under test.
type history struct {
	slots   int
	runs    []run
	results []callerResult
	drains  map[int]time.Duration // time of the drain of each drained instance; none returns to service
}

// responseBody returns the complete response body for the request with a key.
func responseBody(key string) string { return fmt.Sprintf("answer to %s: %s", key, key+key+key) }

// check returns every violation of guarantees G2 and G4 to G7 in h.
func (h history) check() []string {
	byKey := map[string][]run{}
	for _, r := range h.runs {
		byKey[r.key] = append(byKey[r.key], r)
	}
	var violations []string
	for _, result := range h.results {
		violations = append(violations, result.check(byKey[result.key])...)
	}
	for key, runs := range byKey {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.begin < b.end && b.begin < a.end {
					violations = append(violations, fmt.Sprintf("G2: %s has two concurrent runs", key))
				}
			}
		}
	}
	return append(append(violations, h.checkSlots()...), h.checkDrains()...)
}

// check returns the violations of G4 to G6 by one request; runs are its runs.
func (s callerResult) check(runs []run) (violations []string) {
	if !s.idempotent && len(runs) > 1 {
		violations = append(violations, fmt.Sprintf("G6: %s ran %d times", s.key, len(runs)))
	}
	switch {
	case s.status == 200 && s.body != responseBody(s.key):
		violations = append(violations, fmt.Sprintf("G4: %s was answered %q", s.key, s.body))
	case s.status == 200 && len(runs) == 0:
		violations = append(violations, fmt.Sprintf("G4: %s was answered but never ran", s.key))
	case s.outcome == model.OutcomeNotRun.String() && len(runs) > 0:
		violations = append(violations, fmt.Sprintf("G5: %s is reported as not run but ran", s.key))
	case s.outcome == model.OutcomeRun.String() && len(runs) == 0:
		violations = append(violations, fmt.Sprintf("G5: %s is reported as run but never ran", s.key))
	}
	return violations
}

// checkSlots returns a violation for each start of a run that exceeds the slots
// of its instance.
func (h history) checkSlots() (violations []string) {
	type edge struct {
		at       time.Duration
		instance int
		change   int
	}
	var edges []edge
	for _, r := range h.runs {
		edges = append(edges, edge{r.begin, r.instance, 1}, edge{r.end, r.instance, -1})
	}
	sort.Slice(edges, func(i, j int) bool {
		if edges[i].at != edges[j].at {
			return edges[i].at < edges[j].at
		}
		return edges[i].change < edges[j].change
	})
	running := map[int]int{}
	for _, e := range edges {
		running[e.instance] += e.change
		if e.change > 0 && running[e.instance] > h.slots {
			violations = append(violations, fmt.Sprintf("slots: %d concurrent runs on instance %d at %v", running[e.instance], e.instance, e.at))
		}
	}
	return violations
}

// checkDrains returns the violations of G7: runs that start more than 3 s after
// the drain of their instance.
func (h history) checkDrains() (violations []string) {
	for _, r := range h.runs {
		if at, ok := h.drains[r.instance]; ok && r.begin > at+3*time.Second {
			violations = append(violations, fmt.Sprintf("G7: %s starts on instance %d %v after its drain", r.key, r.instance, r.begin-at))
		}
	}
	return violations
}

// recorder is the actor that owns the history.
type recorder struct {
	actor.Address[func(*history)]
	start time.Time
}

func newRecorder(g *actor.Group, slots int) recorder {
	h := &history{slots: slots, drains: map[int]time.Duration{}}
	return recorder{start: time.Now(), Address: actor.Spawn(g, actor.Spec[func(*history)]{Name: "recorder", Mailbox: 64,
		Run: func(ctx context.Context, in <-chan func(*history)) error {
			for {
				select {
				case f := <-in:
					f(h)
				case <-ctx.Done():
					return nil
				}
			}
		}})}
}

// add applies a change to the history.
func (r recorder) add(f func(*history)) { _ = r.Send(context.Background(), f) }

// get returns a copy of the history so far.
func (r recorder) get() history {
	h, _ := actor.Ask(context.Background(), r.Address, func(reply actor.Reply[history]) func(*history) {
		return func(h *history) { reply.Put(*h) }
	})
	return h
}

// recordStart records the start of a run and returns its index in the history.
func (r recorder) recordStart(key string, instance int) int {
	at := time.Since(r.start)
	n, _ := actor.Ask(context.Background(), r.Address, func(reply actor.Reply[int]) func(*history) {
		return func(h *history) {
			h.runs = append(h.runs, run{key: key, instance: instance, begin: at, end: 1 << 62})
			reply.Put(len(h.runs) - 1)
		}
	})
	return n
}

// recordEnd records that the backend server detects the end of run n after lag.
func (r recorder) recordEnd(n int, complete bool, lag time.Duration) {
	at := time.Since(r.start) + lag
	r.add(func(h *history) { h.runs[n].end, h.runs[n].complete = at, complete })
}
