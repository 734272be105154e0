// Package settings reads and checks the INI files of bambooscaled and
// bamboojobd. For bambooscaled, the checks and the settings reference derive
// from one table of keys.
package settings

import (
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/apex/log"
	"gopkg.in/ini.v1"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
)

// Role is what a bambooscaled process does.
type Role string

// Roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Settings is a checked settings file.
type Settings struct {
	Daemon Daemon
	Entry  Entry
	Agent  Agent
	TLS    TLS
}

// Daemon is the [daemon] section, which every role reads. The table of keys
// documents the fields of this section and of the others.
type Daemon struct {
	Role       Role
	ID         string
	DataCentre model.DataCentre
	Region     model.Region
	LogLevel   log.Level
	Table      *url.URL // nil: not set
	Objects    *url.URL // nil: not set
}

// Entry is the [entry] section.
type Entry struct {
	Listen          string
	AgentsListen    string
	OperatorListen  string
	OperatorToken   string
	Cells           []model.Cell
	DefaultCell     model.Cell
	DefaultService  model.Service
	MaxBody         model.Bytes
	MaxHeader       model.Bytes
	MaxCallers      int
	RequestDeadline time.Duration
}

// Agent is the [agent] section.
type Agent struct {
	Entries        []string
	Cell           model.Cell
	Rack           model.Rack
	AnnounceListen string
	Worker         *url.URL // nil: the host runs no tasks
	Capacity       model.Resources
	Labels         model.Labels
	ConfigRequired bool
}

// TLS is the [tls] section. It holds file names: either all three or none are
// set.
type TLS struct{ Certificate, Key, Authority string }

// Enabled reports whether links between processes use mutual TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Load reads and checks a file. The error is a finding.List with every
// finding, unless the file cannot be read.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(filepath.Base(path), raw)
}

// Parse reads and checks the content of a settings file. source is the name of
// the file in findings. The error is a finding.List.
func Parse(source string, raw []byte) (*Settings, error) {
	r := reader{source: source, lines: map[string]int{}, invalid: map[string]bool{}}
	iniText := r.scan(string(raw))
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, IgnoreInlineComment: true}, []byte(iniText))
	if err != nil {
		r.findings.Add(source, 0, "", "not an INI file: %v", err)
		return nil, r.findings
	}
	s := r.parseValues(file)
	r.checkCombinations(s)
	if err := r.findings.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// reader reads one file and collects findings about it.
type reader struct {
	source   string
	findings finding.List
	lines    map[string]int  // "[section] key" to its line number
	invalid  map[string]bool // "[section] key" of values that do not parse
}

// qualifiedKey returns the name of a key with its section: "[section] key".
func qualifiedKey(section, key string) string { return "[" + section + "] " + key }

// add adds a finding about a key, as "[section] key", with its line.
func (r *reader) add(key, format string, args ...any) {
	r.findings.Add(r.source, r.lines[key], key, format, args...)
}

// scan records the line number of each key, because ini.v1 does not keep it, and
// reports lines that are neither section, key nor comment. It returns the text
// without these lines, because ini.v1 stops at the first of them.
func (r *reader) scan(text string) string {
	section, iniLines := "", make([]string, 0, 64)
	for i, line := range strings.Split(text, "\n") {
		line, n := strings.TrimSpace(line), i+1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			section = strings.TrimSpace(line[1 : len(line)-1])
		case line[0] == '[':
			r.findings.Add(r.source, n, line, "section is not closed with ]")
			continue
		case strings.IndexAny(line, "=:") <= 0:
			r.findings.Add(r.source, n, line, "expected key = value")
			continue
		default:
			r.scanKey(section, line, n)
		}
		iniLines = append(iniLines, line)
	}
	return strings.Join(iniLines, "\n")
}

// scanKey records line n, which sets a key, and reports repeated and unknown
// keys.
func (r *reader) scanKey(section, line string, n int) {
	end := strings.IndexAny(line, "=:")
	name := qualifiedKey(section, strings.TrimSpace(line[:end]))
	if first, duplicate := r.lines[name]; duplicate {
		r.findings.Add(r.source, n, name, "is set twice; first in line %d", first)
		return
	}
	r.lines[name] = n
	switch {
	case section == "":
		r.add(name, "is before the first section")
	case findKey(name) == nil:
		r.add(name, "unknown key; the nearest known key is %s", nearestKey(name))
	}
}

// parseValues parses the value or the default of every key.
func (r *reader) parseValues(file *ini.File) *Settings {
	s := &Settings{}
	for _, k := range keys {
		text := k.defaultText
		if file.Section(k.section).HasKey(k.name) {
			text = file.Section(k.section).Key(k.name).String()
		}
		if text == "" {
			continue
		}
		if err := k.set(s, text); err != nil {
			r.invalid[qualifiedKey(k.section, k.name)] = true
			r.add(qualifiedKey(k.section, k.name), "%v", err)
		}
	}
	return s
}

// checkCombinations checks the keys that the role requires and keys that depend
// on each other, and sets the default of default-cell.
func (r *reader) checkCombinations(s *Settings) {
	for _, k := range keys {
		name := qualifiedKey(k.section, k.name)
		required := k.requiredBy == anyRole || (k.requiredBy != "" && k.requiredBy == s.Daemon.Role)
		if required && k.isEmpty(s) && !r.invalid[name] {
			r.add(name, "must be set: %s", k.description)
		}
	}
	set := 0
	for _, f := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		r.add("[tls]", "set certificate, key and authority, or none of them")
	}
	if s.Daemon.Role == RoleEntry && s.Entry.DefaultCell == "" && len(s.Entry.Cells) > 0 {
		s.Entry.DefaultCell = s.Entry.Cells[0]
	}
}
