package history

import (
	"sort"
	"strings"

	"github.com/bambooscale/bambooscale/internal/rows"
)

// configInForce finds processes that do not have an accepted edit in force
// within the bound. A process counts as live at a moment if it is seen with
// some version; while a fault is in force, the bound starts at its end.
func configInForce(h *History, report reportFunc) {
	for process, views := range h.viewsByProcess() {
		for _, e := range h.Edits {
			deadline := h.configDeadline(e.At)
			if deadline == 0 {
				continue // a fault lasts until the end
			}
			for _, v := range views {
				if v.At > deadline && v.Version < e.Version && !reportedElsewhere(views, v, e.Version) {
					report("%s has version %d at %s more than %v after edit %s made version %d", process, v.Version, v.Via, configBound, e.ID, e.Version)
					break
				}
			}
		}
	}
}

// due is the moment by which an edit accepted at a time is in force
// everywhere; 0: never.
func (h *History) configDeadline(at int64) int64 {
	deadline := at + int64(configBound)
	faults := append([]FaultInterval{}, h.Faults...)
	sort.Slice(faults, func(i, j int) bool { return faults[i].From < faults[j].From })
	for _, f := range faults {
		if f.From > deadline {
			break
		}
		if f.Until == 0 {
			return 0
		}
		deadline = max(deadline, f.Until+int64(recoveryTime+configBound))
	}
	return deadline
}

// newerElsewhere reports whether another process had seen the version in force
// before: a report can be late, as that of an entry without a link.
func reportedElsewhere(views []ConfigView, v ConfigView, version uint64) bool {
	for _, o := range views {
		if o.Via != v.Via && o.At <= v.At && o.Version >= version {
			return true
		}
	}
	return false
}

func (h *History) viewsByProcess() map[string][]ConfigView {
	m := map[string][]ConfigView{}
	for _, v := range h.Views {
		m[v.Process] = append(m[v.Process], v)
	}
	for _, views := range m {
		sort.SliceStable(views, func(i, j int) bool { return views[i].At < views[j].At })
	}
	return m
}

// configVersions finds versions that went back, at a process or in the table,
// and accepted edits that are not in the table's log or share a version.
func configVersions(h *History, report reportFunc) {
	for process, views := range h.viewsByProcess() {
		newest := map[string]uint64{}
		for _, v := range views {
			// Version 0 is a process that has started and holds none yet.
			if v.Version != 0 && v.Version < newest[v.Via] {
				report("%s went from version %d back to %d at %s", process, newest[v.Via], v.Version, v.Via)
			}
			newest[v.Via] = max(newest[v.Via], v.Version)
		}
	}
	head, logged := uint64(0), map[uint64]string{}
	for _, c := range h.Commits {
		for _, p := range c.Puts {
			if v, ok := rows.ParseConfigLogKey(p.Key); ok {
				logged[uint64(v)] += string(p.Value)
			}
			if p.Key != rows.ConfigHeadKey {
				continue
			}
			row, err := rows.Decode[rows.ConfigHead](p.Value)
			if err != nil || uint64(row.Version) < head {
				report("the table's version went from %d to %d (%v)", head, row.Version, err)
			}
			head = uint64(row.Version)
		}
	}
	for _, e := range h.Edits {
		if !strings.Contains(logged[e.Version], `"`+e.ID+`"`) {
			report("edit %s was accepted as version %d, which the table logs as %q", e.ID, e.Version, logged[e.Version])
		}
	}
}
