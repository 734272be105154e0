package configstore

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// maxChanges is the maximum number of changes of an edit. Each change writes
// one row, and a transaction of the table has at most 128 rows.
const maxChanges = 100

// maxNameBytes is the maximum length of names, authors and edit ids.
const maxNameBytes = 253

// Edit is a set of changes of the configuration that is accepted or refused
// as a whole. Base is the version that its author read. ID is chosen by the
// author; sending the same edit again with the same ID has no further effect.
type Edit struct {
	ID      string              `json:"id"`
	Author  string              `json:"author,omitempty"`
	Base    model.ConfigVersion `json:"base"`
	Changes []Change            `json:"changes"`
}

// Change sets or removes the item of one key.
type Change struct {
	Key  model.ConfigKey   `json:"key"`
	Item *model.ConfigItem `json:"item,omitempty"` // nil removes the item
}

// EditResult is the result of a committed edit.
type EditResult struct {
	Version  model.ConfigVersion `json:"version"`
	Repeated bool                `json:"repeated,omitempty"` // an earlier request had already committed the edit
}

// ConflictError reports that a key of an edit was changed after the version
// that its author read. No change of the edit took effect.
type ConflictError struct {
	Key     model.ConfigKey     `json:"key"`
	Base    model.ConfigVersion `json:"base"`    // version that the author read
	Version model.ConfigVersion `json:"version"` // of the other change
	Author  string              `json:"author"`  // of the other change
}

func (e *ConflictError) Error() string {
	by := e.Author
	if by == "" {
		by = "an unnamed author"
	}
	return fmt.Sprintf("%s was changed by %s in version %d, after version %d on which the edit is based; read it again and repeat the edit",
		e.Key, by, e.Version, e.Base)
}

// Validator checks edits, with the given syntax checks of labels and
// selectors.
type Validator struct {
	Labels   func(model.Labels) finding.List
	Selector func(string) error
}

// Validate returns all findings of an edit. The element of a finding is the
// path of a field, for example changes[0].key.kind.
func (c Validator) Validate(e Edit) finding.List {
	var findings finding.List
	add := func(element, format string, args ...any) { findings.Add("edit", 0, element, format, args...) }
	if e.ID == "" || !isValidName(e.ID) {
		add("id", "must be 1 to %d printable characters without spaces", maxNameBytes)
	}
	if e.Author != "" && !isValidName(e.Author) {
		add("author", "must be at most %d printable characters without spaces", maxNameBytes)
	}
	if len(e.Changes) == 0 || len(e.Changes) > maxChanges {
		add("changes", "has %d changes; 1 to %d are allowed", len(e.Changes), maxChanges)
	}
	seen := map[model.ConfigKey]int{}
	for i, change := range e.Changes {
		element := fmt.Sprintf("changes[%d]", i)
		if first, duplicate := seen[change.Key]; duplicate {
			add(element+".key", "%s is also changed by changes[%d]", change.Key, first)
		}
		seen[change.Key] = i
		findings = append(findings, c.validateChange(element, change)...)
	}
	return findings
}

// validateChange returns the findings of the change at element.
func (c Validator) validateChange(element string, change Change) finding.List {
	var findings finding.List
	add := func(field, format string, args ...any) { findings.Add("edit", 0, element+field, format, args...) }
	if !knownKind(change.Key.Kind) {
		add(".key.kind", "unknown kind %q; use service, class, team, worker, backend, job or selector", change.Key.Kind)
	}
	if change.Key.Name == "" || !isValidName(change.Key.Name) {
		add(".key.name", "must be 1 to %d printable characters without spaces", maxNameBytes)
	}
	if change.Item == nil {
		return findings
	}
	if change.Key.Kind == model.KindSelector {
		return append(findings, c.validateSelector(element+".item", *change.Item)...)
	}
	if change.Item.Selector != nil {
		add(".item.selector", "only items of kind selector have a selector")
	}
	for _, f := range c.Labels(withoutLists(change.Key.Kind, change.Item.Labels)) {
		add(strings.TrimSuffix(".item.labels."+f.Element, "."), "%s", f.Text)
	}
	for label, value := range change.Item.Labels {
		if err := checkValue(change.Key.Kind, label, value); err != nil {
			add(".item.labels."+label, "%v", err)
		}
	}
	return findings
}

// validateSelector returns the findings of the selector item at element.
func (c Validator) validateSelector(element string, item model.ConfigItem) finding.List {
	var findings finding.List
	add := func(field, format string, args ...any) { findings.Add("edit", 0, element+field, format, args...) }
	if len(item.Labels) > 0 {
		add(".labels", "a selector has no labels")
	}
	s := item.Selector
	if s == nil {
		add(".selector", "is missing")
		return findings
	}
	checkSyntax := func(field, text string) {
		if text == "" {
			add(field, "is missing")
		} else if err := c.Selector(text); err != nil {
			add(field, "%v", err)
		}
	}
	checkSyntax(".selector.subject", s.Subject)
	switch s.Kind {
	case model.MayShare, model.MustStayApart:
		checkSyntax(".selector.object", s.Object)
	case model.YieldsFirst:
		if s.Object != "" {
			add(".selector.object", "is unused by %s; remove it", s.Kind)
		}
	default:
		add(".selector.kind", "unknown kind %q; use %s, %s or %s", s.Kind, model.MayShare, model.MustStayApart, model.YieldsFirst)
	}
	return findings
}

// knownKind reports whether k is a kind of configuration items.
func knownKind(k model.ConfigKind) bool {
	switch k {
	case model.KindService, model.KindClass, model.KindTeam, model.KindWorker, model.KindBackend, model.KindJob, model.KindSelector:
		return true
	}
	return false
}

// isValidName reports whether s has at most maxNameBytes and neither spaces nor
// control characters.
func isValidName(s string) bool {
	for _, r := range s {
		if r <= ' ' || r == 0x7f {
			return false
		}
	}
	return len(s) <= maxNameBytes
}

// tableState holds the rows that an edit is checked against: the head and the
// rows of the edit's keys.
type tableState struct {
	head         model.ConfigVersion
	headRevision storage.Revision // 0: absent
	keys         []keyState       // in the order of the edit's changes
}

// keyState is the row of one key, which holds its newest change.
type keyState struct {
	revision storage.Revision   // 0: absent
	change   model.ConfigChange // zero if the row is absent
}

// defaultKeepVersions is the number of versions for which the log and the
// rows of removed items are kept: three days at the target of 3,300 edits a
// day.
const defaultKeepVersions = 10_000

// errBaseTooNew reports that an edit's base is newer than the configuration.
var errBaseTooNew = errors.New("the edit is based on a version that does not exist")

// errBaseTooOld reports an edit of a key without a row whose base is older
// than the versions kept: the row of a removal after the base may have been
// pruned.
var errBaseTooOld = errors.New("the edit is based on a version that is too old; read the configuration again")

// planEdit returns the transaction and the log entry of an edit. The error is
// a *ConflictError, errBaseTooNew or errBaseTooOld. It is pure.
func planEdit(e Edit, state tableState, keepVersions model.ConfigVersion) (storage.Txn, rows.ConfigLog, error) {
	if e.Base > state.head {
		return storage.Txn{}, rows.ConfigLog{}, fmt.Errorf("%w: base %d, newest version %d", errBaseTooNew, e.Base, state.head)
	}
	for i, k := range state.keys {
		if k.revision == 0 && state.head-e.Base > keepVersions {
			return storage.Txn{}, rows.ConfigLog{}, fmt.Errorf("%w: base %d, newest version %d", errBaseTooOld, e.Base, state.head)
		}
		if k.change.Version > e.Base {
			return storage.Txn{}, rows.ConfigLog{}, &ConflictError{Key: e.Changes[i].Key, Base: e.Base,
				Version: k.change.Version, Author: k.change.Author}
		}
	}
	next := state.head + 1
	log := rows.ConfigLog{Version: next, Edit: e.ID, Author: e.Author}
	t := storage.Txn{
		Operation: fmt.Sprintf("config/%s/%d", e.ID, next),
		Checks:    []storage.Check{{Key: rows.ConfigHeadKey, Version: state.headRevision}},
		Puts:      []storage.Put{{Key: rows.ConfigHeadKey, Value: rows.Encode(rows.ConfigHead{Version: next})}},
	}
	for i, c := range e.Changes {
		change := model.ConfigChange{Version: next, Key: c.Key, Item: c.Item, Author: e.Author}
		key := rows.ConfigKey(c.Key)
		t.Checks = append(t.Checks, storage.Check{Key: key, Version: state.keys[i].revision})
		// The row of a removed item stays, so that a later edit that is based
		// on a version before the removal conflicts with it.
		t.Puts = append(t.Puts, storage.Put{Key: key, Value: rows.Encode(change)})
		log.Changes = append(log.Changes, change)
	}
	t.Puts = append(t.Puts, storage.Put{Key: rows.ConfigLogKey(next), Value: rows.Encode(log)})
	return t, log, nil
}

// editFinding returns err as the only finding, for one field of an edit.
func editFinding(element string, err error) finding.List {
	var findings finding.List
	findings.Add("edit", 0, element, "%v", err)
	return findings
}
