package settings

import "sort"

// reloadable are the keys that a running process takes over.
var reloadable = map[string]bool{
	place("daemon", "log-level"):     true,
	place("entry", "operator-token"): true,
}

// NeedRestart lists the keys whose values differ from next and take effect
// only at a start, sorted.
func (s *Settings) NeedRestart(next *Settings) []string {
	var list []string
	old, now := s.Public(), next.Public()
	for _, k := range keys {
		if where := place(k.section, k.name); !reloadable[where] && old[where] != now[where] {
			list = append(list, where)
		}
	}
	sort.Strings(list)
	return list
}
