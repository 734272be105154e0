package settings

import "sort"

// reloadable holds the keys whose changes take effect when a running process
// reloads its settings.
var reloadable = map[string]bool{
	qualifiedKey("daemon", "log-level"):     true,
	qualifiedKey("entry", "operator-token"): true,
}

// NeedRestart returns the keys, sorted, whose values differ from those of next
// and take effect only at a start of the process.
func (s *Settings) NeedRestart(next *Settings) []string {
	var list []string
	old, changed := s.Public(), next.Public()
	for _, k := range keys {
		if name := qualifiedKey(k.section, k.name); !reloadable[name] && old[name] != changed[name] {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	return list
}
