package shape

import (
	"os"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"
)

// Guards against a change that breaks a structural rule of the design page.
func TestRepositoryKeepsTheRules(t *testing.T) {
	findings, err := Check(os.DirFS("../.."))
	require.NoError(t, err)
	require.NoError(t, findings.Err())
}

// Guards against a rule that no longer detects its violation.
func TestPlantedViolationsAreFound(t *testing.T) {
	cases := map[string]struct{ file, source, want string }{
		"mutex outside actor": {"internal/entry/a.go", "package entry\nimport \"sync\"\nvar mu sync.Mutex\n", "only through internal/actor"},
		"atomic":              {"internal/agent/a.go", "package agent\nimport \"sync/atomic\"\nvar n atomic.Int64\n", "only through internal/actor"},
		"net in policy":       {"internal/policy/place/a.go", "package place\nimport \"net/http\"\nvar c http.Client\n", "no input or output"},
		"protobuf in policy":  {"internal/policy/place/a.go", "package place\nimport _ \"google.golang.org/protobuf/proto\"\n", "belongs to internal/wire"},
		"upward import":       {"internal/msg/a.go", "package msg\nimport _ \"" + Module + "internal/entry\"\n", "only lower layers"},
		"unknown layer":       {"internal/misc/a.go", "package misc\nimport _ \"" + Module + "internal/model\"\n", "has no layer"},
		"sleep":               {"internal/entry/a.go", "package entry\nimport \"time\"\nfunc f() { time.Sleep(1) }\n", "wait on a timer"},
		"platform term":       {"internal/entry/a.go", "package entry\n\n// f asks the minion.\nfunc f() {}\n", "users' platform"},
		"bubble on all CPUs":  {"internal/entry/a_test.go", "package entry\nimport \"testing/synctest\"\nvar f = synctest.Test\n", "must import internal/singlecpu"},
		"code on one CPU":     {"internal/entry/a.go", "package entry\nimport _ \"" + Module + "internal/singlecpu\"\n", "only tests run on one CPU"},
		"unbound chart":       {"charts/x.scxml", "<scxml/>", "no code interprets"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			findings, err := Check(fstest.MapFS{c.file: {Data: []byte(c.source)}})
			require.NoError(t, err)
			require.Len(t, findings, 1)
			require.Contains(t, findings[0].Text, c.want)
		})
	}
}
