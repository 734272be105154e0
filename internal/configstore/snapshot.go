// Package configstore holds the versioned labels and selectors: it accepts
// edits, distributes them to daemons and applies them there.
package configstore

import (
	"maps"
	"sort"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Item is a configuration item and the edit that set it.
type Item struct {
	model.ConfigItem
	Version model.ConfigVersion `json:"version"`
	Author  string              `json:"author,omitempty"`
}

// Snapshot is the whole configuration at one version. It is immutable: maps
// and slices that its methods return are shared and must not be modified. The
// zero Snapshot is the empty configuration, version 0.
type Snapshot struct {
	version model.ConfigVersion
	items   map[model.ConfigKey]Item
}

// NewSnapshot returns a snapshot of the given items. It is meant for the empty
// snapshot and for tests of other packages; daemons receive their snapshots as
// updates.
func NewSnapshot(version model.ConfigVersion, items map[model.ConfigKey]model.ConfigItem) *Snapshot {
	s := &Snapshot{version: version, items: make(map[model.ConfigKey]Item, len(items))}
	for k, item := range items {
		s.items[k] = Item{ConfigItem: item, Version: version}
	}
	return s
}

// Version returns the version of the newest edit in s.
func (s *Snapshot) Version() model.ConfigVersion { return s.version }

// Len returns the number of items.
func (s *Snapshot) Len() int { return len(s.items) }

// Item returns the item of a key.
func (s *Snapshot) Item(k model.ConfigKey) (Item, bool) {
	item, ok := s.items[k]
	return item, ok
}

// Labels returns the labels of the item of a kind and name, or nil.
func (s *Snapshot) Labels(kind model.ConfigKind, name string) model.Labels {
	return s.items[model.ConfigKey{Kind: kind, Name: name}].Labels
}

// Keys returns the keys of a kind, or of every kind when kind is empty, sorted.
func (s *Snapshot) Keys(kind model.ConfigKind) []model.ConfigKey {
	var keys []model.ConfigKey
	for k := range s.items {
		if kind == "" || k.Kind == kind {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

// deltaFit is the relation of a delta to a snapshot.
type deltaFit uint8

const (
	fitOlder deltaFit = iota // the sender has a lower version
	fitSame                  // the sender has the same version
	fitNewer                 // can be applied
	fitGap                   // changes before it are missing
)

// classify returns the relation of d to s.
func (s *Snapshot) classify(d *msg.ConfigDelta) deltaFit {
	switch {
	case d.To < s.version:
		return fitOlder
	case d.To == s.version:
		return fitSame
	case !d.Full && d.From > s.version:
		return fitGap
	}
	return fitNewer
}

// apply returns the snapshot after a delta classified as fitNewer. It copies
// the map, which takes 0.8 ms for 10,000 items: 3 s a day at 3,300 edits.
func (s *Snapshot) apply(d *msg.ConfigDelta) *Snapshot {
	next := &Snapshot{version: d.To}
	if d.Full || s.items == nil {
		next.items = make(map[model.ConfigKey]Item, len(d.Changes))
	} else {
		next.items = maps.Clone(s.items)
	}
	for _, c := range d.Changes {
		if !d.Full && c.Version <= s.version {
			continue // s already includes the change
		}
		if c.Item == nil {
			delete(next.items, c.Key)
			continue
		}
		next.items[c.Key] = Item{ConfigItem: *c.Item, Version: c.Version, Author: c.Author}
	}
	return next
}

// full returns the whole snapshot as one delta.
func (s *Snapshot) full() *msg.ConfigDelta {
	d := &msg.ConfigDelta{To: s.version, Full: true, Changes: make([]model.ConfigChange, 0, len(s.items))}
	for k, item := range s.items {
		value := item.ConfigItem
		d.Changes = append(d.Changes, model.ConfigChange{Version: item.Version, Key: k, Item: &value, Author: item.Author})
	}
	sort.Slice(d.Changes, func(i, j int) bool {
		a, b := d.Changes[i], d.Changes[j]
		return a.Version < b.Version || (a.Version == b.Version && a.Key.String() < b.Key.String())
	})
	return d
}

// maxJournalEdits bounds the journal: 1,000 edits are seven hours at the
// target of 3,300 a day. A daemon that was unlinked for longer receives the
// whole configuration.
const maxJournalEdits = 1000

// journal holds the newest changes, so that daemons are sent only the changes
// that they do not have.
type journal struct {
	base    model.ConfigVersion // changes after this version are all kept
	version model.ConfigVersion // of the newest change
	edits   []editChanges
}

// editChanges are the changes of one version.
type editChanges struct {
	version model.ConfigVersion
	changes []model.ConfigChange
}

// record adds a delta that was applied to a snapshot at oldVersion.
func (j *journal) record(oldVersion model.ConfigVersion, d *msg.ConfigDelta) {
	if d.Full || oldVersion != j.version {
		*j = journal{base: d.To, version: d.To}
		return
	}
	for _, c := range d.Changes {
		if c.Version <= oldVersion {
			continue
		}
		if last := len(j.edits) - 1; last >= 0 && j.edits[last].version == c.Version {
			j.edits[last].changes = append(j.edits[last].changes, c)
			continue
		}
		j.edits = append(j.edits, editChanges{version: c.Version, changes: []model.ConfigChange{c}})
	}
	j.version = d.To
	if extra := len(j.edits) - maxJournalEdits; extra > 0 {
		j.base = j.edits[extra-1].version
		j.edits = append([]editChanges(nil), j.edits[extra:]...)
	}
}

// since returns the changes after a version; ok is false when some of them
// are no longer kept.
func (j *journal) since(version model.ConfigVersion) (changes []model.ConfigChange, ok bool) {
	if version < j.base || version > j.version {
		return nil, false
	}
	i := sort.Search(len(j.edits), func(i int) bool { return j.edits[i].version > version })
	for _, e := range j.edits[i:] {
		changes = append(changes, e.changes...)
	}
	return changes, true
}
