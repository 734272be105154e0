package ownership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// unknownEntryDelay is how much longer an entry that the owner may not know waits before
// it claims, so that one that the owner knows comes first.
const unknownEntryDelay = time.Second

// entries is what an owner has written about the entries that it knows, and its successor
// relies on. The owner counts each of them as missing while it is not linked, and has a
// majority only if it has one of them.
type entries struct {
	stored  []string   // of its row
	sent    [][]string // of the writes since, each of which may have taken effect
	leaving map[string]struct{}
}

func parseEntries(s string) []string { return strings.Fields(s) }

// Entries returns the names of the entries that the owner's row should have: those that
// it knows but for those that count as removed.
func (c *Core) Entries() string {
	names := []string{c.self}
	for name := range c.linked {
		names = append(names, name)
	}
	for name := range c.unlinked {
		if _, leaving := c.entries.leaving[name]; !leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// NextRow returns the owner's row that follows a given one. While owners before this one
// may act, the row has the entries and the time that hold for them too.
func (c *Core) NextRow(row workload.Owner) workload.Owner {
	row.Sequence++
	if c.formerEnded || c.now > c.FormerOwnersActUntil() {
		row.Entries, row.ActsFor = c.Entries(), MajorityPermissionTime
	}
	return row
}

// EntriesSent records that a write of the owner's row with these entries is sent.
func (c *Core) EntriesSent(list string) {
	names, e := parseEntries(list), &c.entries
	repeated := slices.ContainsFunc(e.sent, func(sent []string) bool { return slices.Equal(sent, names) })
	if !repeated && !slices.Equal(names, e.stored) {
		e.sent = append(e.sent, names)
	}
}

// EntriesStored records that the owner's row has these entries. Those that count as
// removed and are not named any more are missing no more.
func (c *Core) EntriesStored(list string) {
	c.entries.stored, c.entries.sent = parseEntries(list), nil
	for name := range maps.Clone(c.entries.leaving) {
		if slices.Contains(c.entries.stored, name) {
			continue
		}
		delete(c.entries.leaving, name)
		delete(c.unlinked, name)
		c.permission.entryPresent(name)
	}
}

// expireEntries marks entries that have been missing for missingRetention as removed,
// while the owner can write its row.
func (c *Core) expireEntries() {
	if c.now-c.permission.confirmedAt >= PermissionTime {
		return
	}
	for name, since := range c.permission.missing {
		if c.now-since < missingRetention {
			continue
		}
		_, linked := c.linked[name]
		_, echoes := c.echoes[name]
		switch {
		case !linked:
			c.entries.leaving[name] = struct{}{}
		case !echoes:
			c.permission.entryPresent(name) // the link outlived a suspension
		}
	}
}

// hasMajority reports whether the owner and the entries that are not missing are the
// majority of the entries that its row names, whichever write to it took effect last.
func (c *Core) hasMajority() bool {
	if len(c.entries.stored) == 0 {
		return c.permission.hasMajority()
	}
	for _, names := range c.entries.sent {
		if !c.isMajority(names) {
			return false
		}
	}
	return c.isMajority(c.entries.stored)
}

func (c *Core) isMajority(names []string) bool {
	present := 0
	for _, name := range names {
		_, linked := c.linked[name]
		_, missing := c.permission.missing[name]
		if name == c.self || linked && !missing {
			present++
		}
	}
	return 2*present > len(names)
}

// knownToOwners reports whether the row says that the owners which may be active know
// this entry. A row of a former program does not say it.
func (c *Core) knownToOwners(list string) bool {
	return list == "" || slices.Contains(parseEntries(list), c.self)
}
