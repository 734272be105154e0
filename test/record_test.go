package test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/bambooscale/bambooscale/internal/history"
	"github.com/bambooscale/bambooscale/internal/platform"
)

// save keeps a history with the logs of the processes.
func (s *system) save(h history.History) error {
	for i := range h.Commits {
		h.Commits[i].Checks = nil
		var kept []platform.Put
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
