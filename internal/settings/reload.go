package settings

import "sort"

// reloadable are the keys that a running process takes over.
var reloadable = map[string]bool{
	qualifiedKey("daemon", "log-level"):     true,
	qualifiedKey("entry", "operator-token"): true,
}

// NeedRestart lists the keys whose values differ from next and take effect
// only at a start, sorted.
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
