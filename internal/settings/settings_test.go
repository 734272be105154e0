package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
)

const goodEntry = `; an entry
[daemon]
role = entry
id = entry-1
data-centre = dip-shed
table = http://127.0.0.1:9001
objects = http://127.0.0.1:9002
[entry]
listen = 10.0.0.1:8080
cells = dip-shed, braid-hall
max-body = 2MiB
request-deadline = 750ms
`

// Guards against a key whose value is stored in the wrong field, and against a
// default that is not applied.
func TestParseFillsFieldsAndDefaults(t *testing.T) {
	s, err := Parse("settings.ini", []byte(goodEntry))
	require.NoError(t, err)
	require.Equal(t, RoleEntry, s.Daemon.Role)
	require.Equal(t, model.DataCentre("dip-shed"), s.Daemon.DataCentre)
	require.Equal(t, "127.0.0.1:9001", s.Daemon.Table.Host)
	require.Equal(t, "10.0.0.1:8080", s.Entry.Listen)
	require.Equal(t, "127.0.0.1:8081", s.Entry.OperatorListen)
	require.Equal(t, []model.Cell{"dip-shed", "braid-hall"}, s.Entry.Cells)
	require.Equal(t, model.Cell("dip-shed"), s.Entry.DefaultCell)
	require.Equal(t, model.Bytes(2<<20), s.Entry.MaxBody)
	require.Equal(t, 750*time.Millisecond, s.Entry.RequestDeadline)
	require.False(t, s.TLS.Enabled())
}

// Guards against a check that reports only the first finding, reports it without
// its line, or suggests no key for a misspelt one.
func TestParseReportsEveryFinding(t *testing.T) {
	_, err := Parse("settings.ini", []byte(`[daemon]
role = entry
rubbish
[entry]
listen = 10.0.0.1
lissten = 10.0.0.1:1
max-callers = -3
max-callers = 4
[agent]
processors = many
memory = 60XB
[tls
`))
	require.Error(t, err)
	for _, want := range []string{
		"settings.ini:3: rubbish: expected key = value",
		"settings.ini:5: [entry] listen: missing port",
		"settings.ini:6: [entry] lissten: unknown key; the nearest known key is [entry] listen",
		"settings.ini:8: [entry] max-callers: is set twice; first in line 7",
		"settings.ini:10: [agent] processors: ",
		"settings.ini:11: [agent] memory: ",
		"settings.ini:12: [tls: section is not closed with ]",
		"settings.ini: [daemon] id: must be set",
	} {
		require.Contains(t, err.Error(), want)
	}
}

// Guards against a daemon that starts with a file in which required keys are
// missing.
func TestParseRequiresWhatTheRoleNeeds(t *testing.T) {
	_, err := Parse("a.ini", []byte("[daemon]\nrole = agent\n[tls]\nkey = k\n"))
	require.Error(t, err)
	for _, want := range []string{"[daemon] id: must be set", "[agent] entries: must be set", "[agent] cell: must be set", "[tls]: set certificate, key and authority"} {
		require.Contains(t, err.Error(), want)
	}
	require.NotContains(t, err.Error(), "[daemon] table")
}

// Guards against a key that is checked but not documented.
func TestReferenceListsEveryKey(t *testing.T) {
	ref := Reference()
	for _, k := range keys {
		require.Equal(t, 1, strings.Count(ref, "| `"+k.name+"` | "+k.typ+" |"), k.name)
		require.NotEmpty(t, k.description)
	}
}

// Guards against an operations page with an outdated settings reference.
func TestPageHasTheReference(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	const begin, end = "<!-- settings reference: begin -->\n", "<!-- settings reference: end -->"
	_, after, ok := strings.Cut(string(page), begin)
	require.True(t, ok)
	got, _, ok := strings.Cut(after, end)
	require.True(t, ok)
	require.Equal(t, Reference(), got, "replace it by the output of: bambooctl settings reference")
}

// Guards against a token or a password in the settings of a diagnostics bundle.
func TestPublicHidesSecrets(t *testing.T) {
	s, err := Parse("s.ini", []byte("[daemon]\nrole = entry\nid = e\ndata-centre = d\ntable = http://u:pass-word@h:1\nobjects = http://h:2\n[entry]\noperator-token = to-ken\n"))
	require.NoError(t, err)
	text := fmt.Sprint(s.Public())
	require.Contains(t, text, "h:1")
	require.NotContains(t, text, "pass-word")
	require.NotContains(t, text, "to-ken")
}

// Guards against a changed key that takes effect only after a restart and is not
// reported.
func TestNeedRestart(t *testing.T) {
	parse := func(extra string) *Settings {
		s, err := Parse("s.ini", []byte("[daemon]\nrole = entry\nid = e\ndata-centre = d\ntable = http://h:1\nobjects = http://h:2\n"+extra))
		require.NoError(t, err)
		return s
	}
	require.Empty(t, parse("").NeedRestart(parse("log-level = warn\n[entry]\noperator-token = t\n")))
	require.Equal(t, []string{"[daemon] region", "[entry] max-callers"}, parse("").NeedRestart(parse("region = x\n[entry]\nmax-callers = 7\n")))
}
