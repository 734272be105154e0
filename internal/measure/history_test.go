package measure

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
)

// run is one run of a request as a backend server saw it.
type run struct {
	key        string
	instance   int
	begin, end time.Duration // since the start; end is when the server noticed
	complete   bool
}

// seen is what a caller saw of its request.
type seen struct {
	key        string
	idempotent bool
	left       bool // the caller left before the answer
	status     int  // 0: the connection was aborted
	body       string
	outcome    string
}

// history is what callers and backend servers saw. Nothing in it comes from
// the system under test.
type history struct {
	slots  int
	runs   []run
	seen   []seen
	drains map[int]time.Duration // first drain of an instance, without a return
}

// responseBody is the whole answer to the request with a key.
func responseBody(key string) string { return fmt.Sprintf("answer to %s: %s", key, key+key+key) }

// check returns every violation of guarantees G2 and G4 to G7 in h.
func (h history) check() []string {
	byKey := map[string][]run{}
	for _, r := range h.runs {
		byKey[r.key] = append(byKey[r.key], r)
	}
	var found []string
	for _, s := range h.seen {
		found = append(found, s.check(byKey[s.key])...)
	}
	for key, runs := range byKey {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.begin < b.end && b.begin < a.end {
					found = append(found, fmt.Sprintf("G2: %s runs twice at once", key))
				}
			}
		}
	}
	return append(append(found, h.checkSlots()...), h.checkDrains()...)
}

func (s seen) check(runs []run) (found []string) {
	if !s.idempotent && len(runs) > 1 {
		found = append(found, fmt.Sprintf("G6: %s ran %d times", s.key, len(runs)))
	}
	switch {
	case s.status == 200 && s.body != responseBody(s.key):
		found = append(found, fmt.Sprintf("G4: %s was answered %q", s.key, s.body))
	case s.status == 200 && len(runs) == 0:
		found = append(found, fmt.Sprintf("G4: %s was answered but never ran", s.key))
	case s.outcome == model.OutcomeNotRun.String() && len(runs) > 0:
		found = append(found, fmt.Sprintf("G5: %s is reported as not run and ran", s.key))
	case s.outcome == model.OutcomeRun.String() && len(runs) == 0:
		found = append(found, fmt.Sprintf("G5: %s is reported as run and did not", s.key))
	}
	return found
}

// checkSlots counts the runs at once on each instance.
func (h history) checkSlots() (found []string) {
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
			found = append(found, fmt.Sprintf("slots: %d runs at once on instance %d at %v", running[e.instance], e.instance, e.at))
		}
	}
	return found
}

func (h history) checkDrains() (found []string) {
	for _, r := range h.runs {
		if at, ok := h.drains[r.instance]; ok && r.begin > at+3*time.Second {
			found = append(found, fmt.Sprintf("G7: %s starts on instance %d %v after its drain", r.key, r.instance, r.begin-at))
		}
	}
	return found
}

// recorder is the actor that collects the runs and the answers.
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

func (r recorder) add(f func(*history)) { _ = r.Send(context.Background(), f) }

// get returns a copy of the history so far.
func (r recorder) get() history {
	h, _ := actor.Ask(context.Background(), r.Address, func(reply actor.Reply[history]) func(*history) {
		return func(h *history) { reply.Put(*h) }
	})
	return h
}

// began records the begin of a run and returns its number.
func (r recorder) began(key string, instance int) int {
	at := time.Since(r.start)
	n, _ := actor.Ask(context.Background(), r.Address, func(reply actor.Reply[int]) func(*history) {
		return func(h *history) {
			h.runs = append(h.runs, run{key: key, instance: instance, begin: at, end: 1 << 62})
			reply.Put(len(h.runs) - 1)
		}
	})
	return n
}

// ended records that a server noticed the end of a run, now or after a lag.
func (r recorder) ended(n int, complete bool, lag time.Duration) {
	at := time.Since(r.start) + lag
	r.add(func(h *history) { h.runs[n].end, h.runs[n].complete = at, complete })
}
