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

// recorded is a history of the scenario test/testdata/mixed.txt.
func recordedHistory(t *testing.T) History {
	raw, err := os.ReadFile("testdata/recorded.json")
	require.NoError(t, err)
	var h History
	require.NoError(t, json.Unmarshal(raw, &h))
	return h
}

// Guards against a checker that finds fault with a correct run.
func TestRecordedHistoryHasNoViolations(t *testing.T) { require.Empty(t, Check(recordedHistory(t))) }

// span returns the run of a task.
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

func (h *History) call(prefix string) *Call {
	for i := range h.Calls {
		if strings.HasPrefix(h.Calls[i].Key, prefix) {
			return &h.Calls[i]
		}
	}
	return nil
}

// rerun plants another run of the task of job "steps", changed by edit.
func (h *History) addRun(edit func(*standin.TaskRun)) {
	s := *h.run("steps/1")
	edit(&s)
	w := &h.Workers[0]
	w.Runs = append(w.Runs, s)
}

// put plants a commit of a job's row, made from its last one.
func (h *History) addJobRow(job string, edit func(*model.JobRow)) {
	list := h.jobRows()[job]
	row := list[len(list)-1]
	edit(&row)
	c := standin.Committed{Revision: h.Commits[len(h.Commits)-1].Revision + 1}
	c.Puts = []storage.Put{{Key: rows.JobKey("cell-1", row.Spec.ID), Value: rows.Encode(row)}}
	h.Commits = append(h.Commits, c)
}

// record returns the run of a call at its backend server.
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

func (h *History) addRecord(key string, edit func(*standin.RequestRecord)) {
	b, r := h.record(key)
	edit(&r)
	b.Records = append(b.Records, r)
}

var violationCases = []struct {
	property, name string
	plant          func(*History)
}{
	{"capacity", "a worker smaller than its tasks", func(h *History) {
		for i := range h.Workers {
			h.Workers[i].Capacity.CPU = 500
		}
	}},
	{"capacity", "one task too many at a time", func(h *History) {
		h.addRun(func(s *standin.TaskRun) { s.Task, s.Declared.CPU = "other/1", 4000 })
		h.addRun(func(s *standin.TaskRun) { s.Task, s.Started = "more/1", s.Started+1 })
	}},
	{"one live attempt", "a second attempt during the first", func(h *History) {
		h.addRun(func(s *standin.TaskRun) { s.Task, s.Started = "steps/2", s.Ended-1 })
	}},
	{"one live attempt", "an attempt that runs again later", func(h *History) {
		h.addRun(func(s *standin.TaskRun) { s.Started, s.Ended = s.Ended+1, s.Ended+2 })
	}},
	{"effect once", "a second result", func(h *History) {
		h.addJobRow("steps", func(r *model.JobRow) { r.Result = "result/steps/2" })
	}},
	{"effect once", "a done job that runs again", func(h *History) {
		h.addJobRow("steps", func(r *model.JobRow) { r.Phase = "pending" })
	}},
	{"effect once", "a result that no run wrote", func(h *History) { h.run("steps/1").State = model.TaskFailed }},
	{"effect once", "an accepted job that is lost", func(h *History) { h.Accepted = append(h.Accepted, "lost") }},
	{"effect once", "an accepted job that never ends", func(h *History) {
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
	{"whole answers", "a cut answer", func(h *History) { h.call("running").Body = "slept" }},
	{"whole answers", "another request's answer", func(h *History) { h.call("counted").Body = h.call("running").Body }},
	{"whole answers", "an answer without a run", func(h *History) { h.call("counted").Key = "invented" }},
	{"not-run answers", "a request that ran", func(h *History) {
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
	{"graceful shutdown", "an entry that cuts a request", func(h *History) {
		c := h.call("running")
		c.Sent, c.Ended, c.Error = h.Shutdowns[0].At-2e9, h.Shutdowns[0].At+1, "reset"
	}},
	{"graceful shutdown", "an agent that cuts a request", func(h *History) {
		b, r := h.record("running-0")
		h.Shutdowns = append(h.Shutdowns, Shutdown{Process: b.Agent, At: r.Started + 1, Ended: r.Finished})
		h.call("running-0").Status = 502
	}},
	{"configuration in force", "a process that keeps an old version", func(h *History) {
		h.Faults = nil
		h.Views = append(h.Views, ConfigView{"agent-9", "entry-2", h.Edits[0].At + int64(configBound+time.Second), 0})
	}},
	{"configuration versions", "a process that goes back", func(h *History) {
		h.Views = append(h.Views, ConfigView{"agent-9", "entry-1", 1, 7}, ConfigView{"agent-9", "entry-1", 2, 6})
	}},
	{"configuration versions", "a table that goes back", func(h *History) {
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

// Guards against a checker that no longer finds a violation.
func TestInjectedViolationsAreFound(t *testing.T) {
	covered := map[string]bool{}
	for _, p := range violationCases {
		t.Run(p.property+"/"+p.name, func(t *testing.T) {
			h := recordedHistory(t)
			p.plant(&h)
			found := Check(h)
			require.True(t, len(found) > 0 && strings.Contains(strings.Join(found, "\n"), p.property+": "), "found: %v", found)
		})
		covered[p.property] = true
	}
	for _, c := range checks {
		require.True(t, covered[c.property], "no violation of %q is planted", c.property)
	}
}
