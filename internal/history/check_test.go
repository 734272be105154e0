package history

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// recordedHistory returns a history of the scenario test/testdata/mixed.txt.
func recordedHistory(t *testing.T) History {
	raw, err := os.ReadFile("testdata/recorded.json")
	require.NoError(t, err)
	var h History
	require.NoError(t, json.Unmarshal(raw, &h))
	return h
}

// Guards against a checker that reports violations in a correct run.
func TestRecordedHistoryHasNoViolations(t *testing.T) { require.Empty(t, Check(recordedHistory(t))) }

// run returns the first run of a task, or nil.
func (h *History) run(task string) *standin.TaskRun {
	for i := range h.Workers {
		for k := range h.Workers[i].Runs {
			if h.Workers[i].Runs[k].Task == task {
				return &h.Workers[i].Runs[k]
			}
		}
	}
	return nil
}

// call returns the first call whose key has the prefix, or nil.
func (h *History) call(prefix string) *Call {
	for i := range h.Calls {
		if strings.HasPrefix(h.Calls[i].Key, prefix) {
			return &h.Calls[i]
		}
	}
	return nil
}

// addRun adds a copy of the run of task "steps/1", changed by edit.
func (h *History) addRun(edit func(*standin.TaskRun)) {
	run := *h.run("steps/1")
	edit(&run)
	w := &h.Workers[0]
	w.Runs = append(w.Runs, run)
}

// addJobRow adds a commit of a copy of the job's last row, changed by edit.
func (h *History) addJobRow(job string, edit func(*model.JobRow)) {
	jobRows := h.jobRows()[job]
	row := jobRows[len(jobRows)-1]
	edit(&row)
	commit := standin.Committed{Revision: h.Commits[len(h.Commits)-1].Revision + 1}
	commit.Puts = []storage.Put{{Key: rows.JobKey("cell-1", row.Spec.ID), Value: rows.Encode(row)}}
	h.Commits = append(h.Commits, commit)
}

// record returns the record of a request and its backend server, or nil.
func (h *History) record(key string) (*Backend, standin.RequestRecord) {
	for i := range h.Backends {
		for _, r := range h.Backends[i].Records {
			if r.Key == key {
				return &h.Backends[i], r
			}
		}
	}
	return nil, standin.RequestRecord{}
}

// addRecord adds a copy of the record of a request, changed by edit.
func (h *History) addRecord(key string, edit func(*standin.RequestRecord)) {
	b, r := h.record(key)
	edit(&r)
	b.Records = append(b.Records, r)
}

// violationCases add a violation of each property to a correct history.
var violationCases = []struct {
	property, name string
	inject         func(*History)
}{
	{"capacity", "a worker smaller than its tasks", func(h *History) {
		for i := range h.Workers {
			h.Workers[i].Capacity.CPU = 500
		}
	}},
	{"capacity", "tasks that together exceed a worker's capacity", func(h *History) {
		h.addRun(func(s *standin.TaskRun) { s.Task, s.Declared.CPU = "other/1", 4000 })
		h.addRun(func(s *standin.TaskRun) { s.Task, s.Started = "more/1", s.Started+1 })
	}},
	{"one active attempt", "a second attempt during the first", func(h *History) {
		h.addRun(func(s *standin.TaskRun) { s.Task, s.Started = "steps/2", s.Ended-1 })
	}},
	{"one active attempt", "an attempt that runs again later", func(h *History) {
		h.addRun(func(s *standin.TaskRun) { s.Started, s.Ended = s.Ended+1, s.Ended+2 })
	}},
	{"one result per job", "a second result", func(h *History) {
		h.addJobRow("steps", func(r *model.JobRow) { r.Result = "result/steps/2" })
	}},
	{"one result per job", "a done job that runs again", func(h *History) {
		h.addJobRow("steps", func(r *model.JobRow) { r.Phase = "pending" })
	}},
	{"one result per job", "a result that no run wrote", func(h *History) { h.run("steps/1").State = model.TaskFailed }},
	{"one result per job", "an accepted job that is lost", func(h *History) { h.Accepted = append(h.Accepted, "lost") }},
	{"one result per job", "an accepted job that never ends", func(h *History) {
		h.addJobRow("steps", func(r *model.JobRow) { r.Spec.ID, r.Phase = "stuck", "pending" })
		h.Accepted = append(h.Accepted, "stuck")
	}},
	{"committed checkpoint", "a start at a step without a checkpoint", func(h *History) { h.run("steps/1").FromStep = 3 }},
	{"committed checkpoint", "a start before the committed checkpoint", func(h *History) {
		h.addJobRow("steps", func(r *model.JobRow) { r.Attempt = 2 })
		h.addRun(func(s *standin.TaskRun) { s.Task, s.Started, s.Ended = "steps/2", s.Ended+1, s.Ended+2 })
	}},
	{"committed checkpoint", "an attempt that was not committed", func(h *History) {
		h.addRun(func(s *standin.TaskRun) { s.Task, s.Started, s.Ended = "steps/9", s.Ended+1, s.Ended+2 })
	}},
	{"complete responses", "a truncated response", func(h *History) { h.call("running").Body = "slept" }},
	{"complete responses", "the response to another request", func(h *History) { h.call("counted").Body = h.call("running").Body }},
	{"complete responses", "a response to a request that did not run", func(h *History) { h.call("counted").Key = "invented" }},
	{"not-run responses", "a request that ran", func(h *History) {
		c := h.call("counted")
		c.Status, c.Outcome = 503, "not-run"
	}},
	{"at most once", "a POST that ran twice", func(h *History) {
		h.addRecord("counted-0", func(r *standin.RequestRecord) { r.Started, r.Finished = r.Finished+1e9, r.Finished+2e9 })
	}},
	{"at most once", "a GET that ran in two places", func(h *History) {
		h.addRecord("last-0", func(r *standin.RequestRecord) { r.Started++ })
	}},
	{"drain", "a request after the drain", func(h *History) {
		b := &h.Backends[2]
		b.Records = append(b.Records, standin.RequestRecord{Key: "late", Started: b.Drained + int64(drainBound+time.Millisecond), End: "complete"})
	}},
	{"graceful shutdown", "an entry that interrupts a request", func(h *History) {
		c := h.call("running")
		c.Sent, c.Ended, c.Error = h.Shutdowns[0].At-2e9, h.Shutdowns[0].At+1, "reset"
	}},
	{"graceful shutdown", "an agent that interrupts a request", func(h *History) {
		b, r := h.record("running-0")
		h.Shutdowns = append(h.Shutdowns, Shutdown{Process: b.Agent, At: r.Started + 1, Ended: r.Finished})
		h.call("running-0").Status = 502
	}},
	{"configuration in use", "a process that keeps an old version", func(h *History) {
		h.Faults = nil
		h.Views = append(h.Views, ConfigView{"agent-9", "entry-2", h.Edits[0].At + int64(configBound+time.Second), 0})
	}},
	{"configuration versions", "a process whose version decreases", func(h *History) {
		h.Views = append(h.Views, ConfigView{"agent-9", "entry-1", 1, 7}, ConfigView{"agent-9", "entry-1", 2, 6})
	}},
	{"configuration versions", "a table whose version decreases", func(h *History) {
		for v := range model.ConfigVersion(2) {
			c := standin.Committed{}
			c.Puts = []storage.Put{{Key: rows.ConfigHeadKey, Value: rows.Encode(rows.ConfigHead{Version: 9 - v})}}
			h.Commits = append(h.Commits, c)
		}
	}},
	{"configuration versions", "an accepted edit that the table does not have", func(h *History) {
		h.Edits = append(h.Edits, Edit{ID: "lost", Version: 5, At: h.Edits[0].At})
	}},
}

// Guards against a checker that does not find a violation of one of the
// properties. It requires a case for each property.
func TestInjectedViolationsAreFound(t *testing.T) {
	covered := map[string]bool{}
	for _, p := range violationCases {
		t.Run(p.property+"/"+p.name, func(t *testing.T) {
			h := recordedHistory(t)
			p.inject(&h)
			found := Check(h)
			require.True(t, len(found) > 0 && strings.Contains(strings.Join(found, "\n"), p.property+": "), "found: %v", found)
		})
		covered[p.property] = true
	}
	for _, c := range checks {
		require.True(t, covered[c.property], "no case violates %q", c.property)
	}
}
