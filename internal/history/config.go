package history

import (
	"sort"
	"strings"

	"github.com/bambooscale/bambooscale/internal/rows"
)

// configInUse finds processes that do not use the version of an accepted edit
// within configBound. It judges a process only at the times at which a version
// was reported for it. If a fault is active within the bound, the process has
// recoveryTime and another configBound from the end of the fault.
func configInUse(h *History, report reportFunc) {
	for process, views := range h.viewsByProcess() {
		for _, e := range h.Edits {
			deadline := h.configDeadline(e.At)
			if deadline == 0 {
				continue // a fault is active until the end of the run
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

// configDeadline returns the time by which all processes must use an edit that
// was accepted at the given time, or 0 if a fault prevents any such bound.
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

// reportedElsewhere reports whether, no later than v, a process other than v.Via
// reported version or a newer one. Then v is an outdated report, such as that of
// an entry that has lost its link.
func reportedElsewhere(views []ConfigView, v ConfigView, version uint64) bool {
	for _, other := range views {
		if other.Via != v.Via && other.At <= v.At && other.Version >= version {
			return true
		}
	}
	return false
}

// viewsByProcess groups the views by process, in the order of their times.
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

// configVersions finds versions that decreased, in a process or in the table, and
// accepted edits that the table does not log under their version.
func configVersions(h *History, report reportFunc) {
	for process, views := range h.viewsByProcess() {
		newest := map[string]uint64{}
		for _, v := range views {
			// Version 0: the process has started and has no configuration yet.
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
				report("the table's version went from %d to %d (decoding error: %v)", head, row.Version, err)
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
