package test

import (
	"fmt"
	"time"

	"github.com/bambooscale/bambooscale/internal/history"
	"github.com/bambooscale/bambooscale/internal/model"
)

// labelEdit returns the body of an edit that sets one label.
func labelEdit(id string, base uint64, kind, name, key, value string) map[string]any {
	return map[string]any{"id": id, "author": "test", "base": base, "changes": []any{map[string]any{
		"key":  model.ConfigKey{Kind: model.ConfigKind(kind), Name: name},
		"item": model.ConfigItem{Labels: model.Labels{key: value}},
	}}}
}

// sendEdit sends an edit once. It does not modify the system, and any goroutine
// may call it.
func (s *system) sendEdit(entry string, edit map[string]any) (accepted history.Edit, err error) {
	var answer struct{ Version uint64 }
	err = callJSON(s.group.Context(), "http://"+s.addr("operator>"+entry)+"/v1/config", edit, &answer)
	return history.Edit{ID: edit["id"].(string), Version: answer.Version, At: time.Now().UnixNano()}, err
}

// edit sets a label and records the acceptance of the edit.
func (s *system) edit(entry, id, kind, name, key, value string) error {
	accepted, err := s.acceptEdit(entry, id, kind, name, key, value)
	if err == nil {
		s.history.Edits = append(s.history.Edits, accepted)
	}
	return err
}

// acceptEdit repeats an edit with the same ID and base until it is accepted,
// which is safe. It does not modify the system, and any goroutine may call it.
func (s *system) acceptEdit(entry, id, kind, name, key, value string) (accepted history.Edit, err error) {
	base, hasBase := uint64(0), false
	err = waitUntil("edit "+id+" is accepted", func() (bool, error) {
		var err error
		if !hasBase {
			base, err = s.configVersion(entry)
			hasBase = err == nil
		}
		if err == nil {
			accepted, err = s.sendEdit(entry, labelEdit(id, base, kind, name, key, value))
		}
		return err == nil, err
	})
	return accepted, err
}

// cmdRaceEdits sends an edit with the same base to each entry at the same time.
// It fails unless exactly one of them is accepted if they change the same key,
// and all of them if they change different keys.
func cmdRaceEdits(s *system, args []string) error {
	base, err := s.configVersion("entry-1")
	if err != nil {
		return err
	}
	type outcome struct {
		edit history.Edit
		err  error
	}
	results := make(chan outcome, entryCount)
	for n, entry := range processNames("entry", entryCount) {
		name := "raced"
		if args[0] == "different" {
			name += entry
		}
		go func() {
			id := fmt.Sprintf("race-%s-%d-%d", args[0], base, n)
			edit, err := s.sendEdit(entry, labelEdit(id, base, "team", name, "by", entry))
			results <- outcome{edit, err}
		}()
	}
	want, accepted := map[string]int{"same": 1, "different": entryCount}[args[0]], 0
	var lastErr error
	for range entryCount {
		if result := <-results; result.err != nil {
			lastErr = result.err
		} else {
			accepted++
			s.history.Edits = append(s.history.Edits, result.edit)
		}
	}
	if accepted != want {
		return fmt.Errorf("%d of %d concurrent edits were accepted, want %d (last error: %v)", accepted, entryCount, want, lastErr)
	}
	return nil
}
