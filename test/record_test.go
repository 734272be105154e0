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

// save keeps a history with the logs of the processes.
func (s *system) save(h history.History) error {
	for i := range h.Commits {
		h.Commits[i].Checks = nil
		var kept []storage.Put
		for _, p := range h.Commits[i].Puts {
			if strings.HasPrefix(p.Key, "job/") || strings.HasPrefix(p.Key, "config/") {
				kept = append(kept, p)
			}
		}
		h.Commits[i].Puts = kept
	}
	raw, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.dir, "history.json"), raw, 0o644)
}

// summary counts what a history holds, so that a run without findings can be
// told from one in which nothing happened.
func summary(h history.History) string {
	answers, attempts, resumed := map[string]int{}, 0, 0
	for _, c := range h.Calls {
		switch {
		case c.Error != "":
			answers["broken"]++
		default:
			answers[strings.TrimSpace(fmt.Sprintf("%d %s", c.Status, c.Outcome))]++
		}
	}
	for _, w := range h.Workers {
		attempts += len(w.Runs)
		for _, s := range w.Runs {
			if s.FromStep > 0 {
				resumed++
			}
		}
	}
	return fmt.Sprintf("calls %v; %d jobs accepted, %d runs of attempts, %d of them resumed; %d edits; %d transactions; %d faults",
		answers, len(h.Accepted), attempts, resumed, len(h.Edits), len(h.Commits), len(h.Faults))
}
