package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/labels"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
)

// configFile is a file of labels and selectors in the format of config show
// --output json. The version and author of an item are ignored.
type configFile struct {
	Version json.RawMessage   `json:"version"`
	State   json.RawMessage   `json:"state"`
	Items   []json.RawMessage `json:"items"`
}

// fileValidator checks items as the entry does.
var fileValidator = configstore.Validator{
	Labels: labels.Validate,
	Selector: func(text string) error {
		_, err := labels.Parse(text)
		return err
	},
}

// readAll reads a file, or standard input for "-".
func readAll(file string, stdin io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}

// readConfigFile returns the items of a file as changes. If the content is
// invalid the error is a finding.List with every finding and its line.
func readConfigFile(file string, stdin io.Reader) ([]configstore.Change, error) {
	raw, err := readAll(file, stdin)
	if err != nil {
		return nil, err
	}
	var findings finding.List
	var content configFile
	if err := decodeStrictly(raw, &content); err != nil {
		findings.Add(file, 0, "", "%v", err)
		return nil, findings
	}
	var changes []configstore.Change
	lines := map[model.ConfigKey]int{}
	offset := 0
	for i, item := range content.Items {
		offset += bytes.Index(raw[offset:], item)
		line := 1 + bytes.Count(raw[:offset], []byte("\n"))
		offset += len(item)
		var view operator.ItemView
		if err := decodeStrictly(item, &view); err != nil {
			findings.Add(file, line, fmt.Sprintf("items[%d]", i), "%v", err)
			continue
		}
		change := configstore.Change{Key: view.Key, Item: &view.ConfigItem}
		if firstLine, duplicate := lines[view.Key]; duplicate {
			findings.Add(file, line, view.Key.String(), "is also set in line %d", firstLine)
		}
		lines[view.Key] = line
		findings = append(findings, checkItem(file, line, change)...)
		changes = append(changes, change)
	}
	return changes, findings.Err()
}

// decodeStrictly decodes a JSON value and rejects unknown fields.
func decodeStrictly(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// checkItem returns the findings for an item of a file, with its line.
func checkItem(file string, line int, change configstore.Change) finding.List {
	list := fileValidator.Validate(configstore.Edit{ID: "check", Changes: []configstore.Change{change}})
	for i, f := range list {
		element := strings.TrimPrefix(strings.TrimPrefix(f.Element, "changes[0]"), ".item")
		list[i].Source, list[i].Line, list[i].Element = file, line, change.Key.String()+element
	}
	return list
}

// difference is an item that an edit would change: added if Old is nil,
// removed if New is nil.
type difference struct {
	Key model.ConfigKey   `json:"key"`
	Old *model.ConfigItem `json:"old,omitempty"`
	New *model.ConfigItem `json:"new,omitempty"`
}

// differences compares the configuration of the entry with the wanted items.
// Items that are not wanted are removed only if prune is set.
func differences(view operator.ConfigView, wanted []configstore.Change, prune bool) []difference {
	old := map[model.ConfigKey]*model.ConfigItem{}
	for i := range view.Items {
		old[view.Items[i].Key] = &view.Items[i].ConfigItem
	}
	list := []difference{}
	isWanted := map[model.ConfigKey]bool{}
	for _, w := range wanted {
		isWanted[w.Key] = true
		if previous := old[w.Key]; previous == nil || itemText(*previous) != itemText(*w.Item) {
			list = append(list, difference{w.Key, previous, w.Item})
		}
	}
	for _, item := range view.Items {
		if prune && !isWanted[item.Key] {
			list = append(list, difference{item.Key, old[item.Key], nil})
		}
	}
	return list
}

// printDifferences writes a line for each item: + added, - removed, ~ changed.
func printDifferences(t *table, list []difference) {
	for _, d := range list {
		switch {
		case d.Old == nil:
			t.line("+ %s %s", d.Key, itemText(*d.New))
		case d.New == nil:
			t.line("- %s %s", d.Key, itemText(*d.Old))
		default:
			t.line("~ %s %s -> %s", d.Key, itemText(*d.Old), itemText(*d.New))
		}
	}
}
