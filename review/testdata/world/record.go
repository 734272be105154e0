package main

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"
)

// record is the record of what was sent, answered and run, and the history of all runs.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
	tasks map[string][]*taskRun // by name, in the order of their starts
}

// taskRun is a run of a task as the backend servers see it.
type taskRun struct {
	number       uint64
	minion       string
	start, ended time.Duration // ended is 0 while the run goes on
	how          string
	noted        bool // the acknowledgement of ends reached it
	lapsed       bool // a lease of the backend server lapsed between its end and that
}

func newRecord(out io.Writer) *record {
	return &record{began: time.Now(), out: out, tasks: map[string][]*taskRun{}}
}

func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(kind, format, args...)
}

func (r *record) line(kind, format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f %-7s %s\n", time.Since(r.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

func (r *record) runStarts(minion, task string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("run", "%s starts %s run %d", minion, task, number)
	r.tasks[task] = append(r.tasks[task], &taskRun{number: number, minion: minion, start: time.Since(r.began)})
}

func (r *record) runEnds(minion, task string, number uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("run", "%s ends %s run %d: %s", minion, task, number, how)
	if run := r.run(minion, task, number); run != nil {
		run.ended, run.how = time.Since(r.began), how
	}
}

// runNoted records that the end of a run is taken note of.
func (r *record) runNoted(minion, task string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.run(minion, task, number); run != nil {
		run.noted = true
	}
}

// leaseLapsed records that the lease of a backend server has lapsed.
func (r *record) leaseLapsed(minion string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range r.tasks {
		for _, run := range runs {
			if run.minion == minion && !run.noted {
				run.lapsed = true
			}
		}
	}
}

// run returns the last run with a number on a backend server.
func (r *record) run(minion, task string, number uint64) *taskRun {
	runs := r.tasks[task]
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].minion == minion && runs[i].number == number {
			return runs[i]
		}
	}
	return nil
}

// done returns how many tasks whose names begin with a prefix have ended done.
func (r *record) done(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task, runs := range r.tasks {
		if strings.HasPrefix(task, prefix) && anyDone(runs) {
			n++
		}
	}
	return n
}

func anyDone(runs []*taskRun) bool {
	for _, run := range runs {
		if run.how == "done" {
			return true
		}
	}
	return false
}

// twice returns the breaks of TWICE: two runs of a task at the same time, or a start after a
// run has ended done whose end was taken note of with no lapse of the lease before.
func (r *record) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for task, runs := range r.tasks {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				switch {
				case a.how == "" || a.ended > b.start:
					found = append(found, fmt.Sprintf("%s: run %d on %s goes on at %.3f s, when run %d starts on %s", task, a.number, a.minion, b.start.Seconds(), b.number, b.minion))
				case a.how == "done" && a.noted && !a.lapsed:
					found = append(found, fmt.Sprintf("%s: run %d ended done on %s at %.3f s, which was taken note of, and run %d starts on %s at %.3f s",
						task, a.number, a.minion, a.ended.Seconds(), b.number, b.minion, b.start.Seconds()))
				}
			}
		}
	}
	sort.Strings(found)
	return found
}
