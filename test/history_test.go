package test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/bambooscale/bambooscale/internal/history"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// saveHistory writes a history next to the logs of the processes. It leaves out
// the checks of the commits and the rows other than jobs and configuration, and
// removes them from saved.
func (s *system) saveHistory(saved history.History) error {
	for i := range saved.Commits {
		saved.Commits[i].Checks = nil
		var kept []storage.Put
		for _, put := range saved.Commits[i].Puts {
			if strings.HasPrefix(put.Key, "job/") || strings.HasPrefix(put.Key, "config/") {
				kept = append(kept, put)
			}
		}
		saved.Commits[i].Puts = kept
	}
	raw, err := json.Marshal(saved)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.dir, "history.json"), raw, 0o644)
}

// summarize counts what a history contains, so that a run without violations can
// be distinguished from one in which nothing happened.
func summarize(recorded history.History) string {
	answers, attempts, resumed := map[string]int{}, 0, 0
	for _, call := range recorded.Calls {
		switch {
		case call.Error != "":
			answers["error"]++
		default:
			answers[strings.TrimSpace(fmt.Sprintf("%d %s", call.Status, call.Outcome))]++
		}
	}
	for _, worker := range recorded.Workers {
		attempts += len(worker.Runs)
		for _, run := range worker.Runs {
			if run.FromStep > 0 {
				resumed++
			}
		}
	}
	return fmt.Sprintf("calls %v; %d jobs accepted, %d runs of attempts, %d of them resumed; %d edits; %d transactions; %d faults",
		answers, len(recorded.Accepted), attempts, resumed, len(recorded.Edits), len(recorded.Commits), len(recorded.Faults))
}
