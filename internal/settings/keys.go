package settings

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/bambooscale/bambooscale/internal/model"
)

// anyRole marks a key that every role requires.
const anyRole Role = "*"

// key describes one key of the file. The checks and the reference derive from
// it.
type key struct {
	section, name string
	defaultText   string // default value as text; empty: none
	requiredBy    Role   // role that requires the key, or anyRole; empty: optional
	description   string
	value
}

// value parses and formats the value of a key and binds it to its field of
// Settings.
type value struct {
	typ     string // name of the type in the reference
	set     func(*Settings, string) error
	isEmpty func(*Settings) bool
	text    func(*Settings) string // the value for diagnostics
	secret  bool                   // diagnostics do not contain the value
}

// markSecret returns v marked as secret.
func markSecret(v value) value {
	v.secret = true
	return v
}

// Public returns the values that are set, as text for diagnostics, by
// "[section] key". Secrets and passwords in URLs are replaced.
func (s *Settings) Public() map[string]string {
	m := map[string]string{}
	for _, k := range keys {
		switch {
		case k.isEmpty(s):
		case k.secret:
			m[qualifiedKey(k.section, k.name)] = "(secret)"
		default:
			m[qualifiedKey(k.section, k.name)] = k.text(s)
		}
	}
	return m
}

// publicText formats a value without the password of a URL.
func publicText(v any) string {
	if u, ok := v.(*url.URL); ok && u != nil {
		return u.Redacted()
	}
	return fmt.Sprint(v)
}

// newValue returns the value of a key whose text parse converts. field returns
// the address of its field in Settings.
func newValue[T any](typ string, parse func(string) (T, error), isEmpty func(T) bool, field func(*Settings) *T) value {
	return value{
		typ: typ,
		set: func(s *Settings, text string) error {
			v, err := parse(text)
			if err == nil {
				*field(s) = v
			}
			return err
		},
		isEmpty: func(s *Settings) bool { return isEmpty(*field(s)) },
		text:    func(s *Settings) string { return publicText(*field(s)) },
	}
}

func isZero[T comparable](v T) bool { var z T; return v == z }

func text[T ~string](field func(*Settings) *T) value {
	return newValue("text", parseText[T], isZero[T], field)
}

func list[T ~string](field func(*Settings) *[]T) value {
	return newValue("comma-separated list", parseList[T], func(v []T) bool { return len(v) == 0 }, field)
}

func address(field func(*Settings) *string) value {
	return newValue("host:port", parseAddress, isZero[string], field)
}

func size(field func(*Settings) *model.Bytes) value {
	return newValue("size, such as 64KiB or 10MiB", ParseBytes, isZero[model.Bytes], field)
}

// keys holds every key of the file, in the order of the reference.
var keys = func() []key {
	table := append(daemonKeys(), entryKeys()...)
	return append(append(table, agentKeys()...), tlsKeys()...)
}()

func daemonKeys() []key {
	return []key{
		{"daemon", "role", "", anyRole, "What the process does: `entry` serves callers and operators, `agent` manages one worker.",
			newValue("entry or agent", parseRole, isZero[Role], func(s *Settings) *Role { return &s.Daemon.Role })},
		{"daemon", "id", "", anyRole, "Name of the process: the entry's id, or the worker's id for an agent. It is unique in the system.",
			text(func(s *Settings) *string { return &s.Daemon.ID })},
		{"daemon", "data-centre", "", anyRole, "Data centre of the host.",
			text(func(s *Settings) *model.DataCentre { return &s.Daemon.DataCentre })},
		{"daemon", "region", "default", "", "Region of the host. Agents connect to the entries of their region only.",
			text(func(s *Settings) *model.Region { return &s.Daemon.Region })},
		{"daemon", "log-level", "info", "", "Lowest level of the events that are logged.",
			newValue("debug, info, warn or error", parseLevel, func(l logLevel) bool { return false }, func(s *Settings) *logLevel { return &s.Daemon.LogLevel })},
		{"daemon", "table", "", RoleEntry, "Base URL of the table service.",
			newValue("URL", parseURL, isNil, func(s *Settings) *urlValue { return &s.Daemon.Table })},
		{"daemon", "objects", "", RoleEntry, "Base URL of the object store.",
			newValue("URL", parseURL, isNil, func(s *Settings) *urlValue { return &s.Daemon.Objects })},
	}
}

func entryKeys() []key {
	return []key{
		{"entry", "listen", "127.0.0.1:8080", RoleEntry, "Address on which callers are served.",
			address(func(s *Settings) *string { return &s.Entry.Listen })},
		{"entry", "agents-listen", "127.0.0.1:8083", RoleEntry, "Address on which agents connect.",
			address(func(s *Settings) *string { return &s.Entry.AgentsListen })},
		{"entry", "operator-listen", "127.0.0.1:8081", RoleEntry, "Address of the operators' API.",
			address(func(s *Settings) *string { return &s.Entry.OperatorListen })},
		{"entry", "operator-token", "", "", "Bearer token that the operators' API requires. Without it the API is open to everyone who can connect.",
			markSecret(text(func(s *Settings) *string { return &s.Entry.OperatorToken }))},
		{"entry", "cells", "", "", "Cells whose ownership this entry contends for.",
			list(func(s *Settings) *[]model.Cell { return &s.Entry.Cells })},
		{"entry", "default-cell", "", "", "Cell of jobs that are submitted without one; by default the first of `cells`.",
			text(func(s *Settings) *model.Cell { return &s.Entry.DefaultCell })},
		{"entry", "default-service", "", "", "Service of requests that name none; by default they are answered 404.",
			text(func(s *Settings) *model.Service { return &s.Entry.DefaultService })},
		{"entry", "max-body", "10MiB", "", "Largest body of a caller's request; larger ones are answered 413.",
			size(func(s *Settings) *model.Bytes { return &s.Entry.MaxBody })},
		{"entry", "max-header", "64KiB", "", "Largest header of a caller's request; larger ones are answered 431.",
			size(func(s *Settings) *model.Bytes { return &s.Entry.MaxHeader })},
		{"entry", "max-callers", "10000", "", "Largest number of callers' requests in progress at the same time, queued ones included; further ones are answered 503.",
			newValue("number", parseCount, isZero[int], func(s *Settings) *int { return &s.Entry.MaxCallers })},
		{"entry", "request-deadline", "30s", "", "Deadline of requests whose class has no `deadline-ms` label.",
			newValue("duration, such as 500ms or 30s", parseDuration, isZeroDuration, func(s *Settings) *durationValue { return &s.Entry.RequestDeadline })},
	}
}

func agentKeys() []key {
	return []key{
		{"agent", "entries", "", RoleAgent, "Addresses of entries to which the agent always connects; it reads the addresses of the others from the table.",
			newValue("list of host:port", parseAddresses, func(v []string) bool { return len(v) == 0 }, func(s *Settings) *[]string { return &s.Agent.Entries })},
		{"agent", "cell", "", RoleAgent, "Cell that schedules the worker.",
			text(func(s *Settings) *model.Cell { return &s.Agent.Cell })},
		{"agent", "rack", "", "", "Rack of the worker.",
			text(func(s *Settings) *model.Rack { return &s.Agent.Rack })},
		{"agent", "announce-listen", "127.0.0.1:8082", RoleAgent, "Address on which the backend server of the host announces itself.",
			address(func(s *Settings) *string { return &s.Agent.AnnounceListen })},
		{"agent", "worker", "", "", "Base URL of the host's worker; without it the host runs no tasks.",
			newValue("URL", parseURL, isNil, func(s *Settings) *urlValue { return &s.Agent.Worker })},
		{"agent", "processors", "", "", "Processors that tasks may use; by default what the worker reports.",
			newValue("cores, such as 32 or 500m", ParseCPU, isZero[model.MilliCPU], func(s *Settings) *model.MilliCPU { return &s.Agent.Capacity.CPU })},
		{"agent", "memory", "", "", "Memory that tasks may use; by default what the worker reports.",
			size(func(s *Settings) *model.Bytes { return &s.Agent.Capacity.Memory })},
		{"agent", "accelerators", "", "", "Accelerators that tasks may use; by default what the worker reports.",
			newValue("number", parseAccelerators, isZero[int64], func(s *Settings) *int64 { return &s.Agent.Capacity.Accelerators })},
		{"agent", "labels", "", "", "Labels that the worker announces; labels set by operators take precedence.",
			newValue("list of key=value", parseLabels, func(v labelsValue) bool { return len(v) == 0 }, func(s *Settings) *labelsValue { return &s.Agent.Labels })},
		{"agent", "config", "required", "", "`required`: no task starts before the agent has received a configuration. `optional`: tasks start without one.",
			newValue("required or optional", parseRequired, func(bool) bool { return false }, func(s *Settings) *bool { return &s.Agent.ConfigRequired })},
	}
}

func tlsKeys() []key {
	return []key{
		{"tls", "certificate", "", "", "File with the process's certificate in PEM; links between processes then use mutual TLS.",
			text(func(s *Settings) *string { return &s.TLS.Certificate })},
		{"tls", "key", "", "", "File with the certificate's private key in PEM.",
			text(func(s *Settings) *string { return &s.TLS.Key })},
		{"tls", "authority", "", "", "File with the certificates, in PEM, of the authorities that sign the peers' certificates.",
			text(func(s *Settings) *string { return &s.TLS.Authority })},
	}
}

// findKey returns the key with the name "[section] key", or nil.
func findKey(name string) *key {
	for i := range keys {
		if qualifiedKey(keys[i].section, keys[i].name) == name {
			return &keys[i]
		}
	}
	return nil
}

// nearestKey returns the known key, as "[section] key", with the smallest edit
// distance to name.
func nearestKey(name string) string {
	nearest, minDistance := "", len(name)+100 // above any distance: known keys are shorter than 100 bytes
	for _, k := range keys {
		known := qualifiedKey(k.section, k.name)
		if d := distance(name, known); d < minDistance {
			nearest, minDistance = known, d
		}
	}
	return nearest
}

// distance returns the Levenshtein distance of two ASCII strings. It keeps one
// row of the matrix.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

// Reference returns the settings reference in Markdown.
func Reference() string {
	var b strings.Builder
	section := ""
	for _, k := range keys {
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "\n### [%s]\n\n| key | type | default | meaning |\n| --- | --- | --- | --- |\n", section)
		}
		def := "none"
		switch {
		case k.defaultText != "":
			def = "`" + k.defaultText + "`"
		case k.requiredBy == anyRole:
			def = "must be set"
		case k.requiredBy != "":
			def = "must be set for role " + string(k.requiredBy)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.name, k.typ, def, k.description)
	}
	return strings.TrimPrefix(b.String(), "\n")
}
