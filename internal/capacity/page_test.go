package capacity

import (
	"flag"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

const pageFile = "../../docs/CAPACITY.md"

var writePage = flag.Bool("write", false, "write the tables into docs/CAPACITY.md")

// generatedTable matches a generated table of the page.
var generatedTable = regexp.MustCompile(`(?s)<!-- table (\w+) -->\n.*?<!-- end -->\n`)

// Guards against a page that lacks a table, or whose tables differ from those
// computed from the recorded slopes, as after an edit by hand or a new measurement.
func TestPageFollowsFromSlopes(t *testing.T) {
	raw, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	s := loadSlopes(t)
	seen := map[string]bool{}
	var stale []string
	want := generatedTable.ReplaceAllStringFunc(string(raw), func(part string) string {
		name := generatedTable.FindStringSubmatch(part)[1]
		require.Contains(t, tables, name)
		seen[name] = true
		recomputed := "<!-- table " + name + " -->\n\n" + tables[name](s) + "\n<!-- end -->\n"
		if recomputed != part {
			stale = append(stale, name)
		}
		return recomputed
	})
	require.Len(t, seen, len(tables))
	if *writePage {
		require.NoError(t, os.WriteFile(pageFile, []byte(want), 0o644))
		return
	}
	require.Empty(t, stale, "tables differ from those computed from the slopes; run: go test -run TestPageFollowsFromSlopes ./internal/capacity -write")
}

// Guards against a calculation with a quantity that is not recorded: a missing one
// would count as zero.
func TestEveryQuantityOfThePageIsMeasured(t *testing.T) {
	s := loadSlopes(t)
	used := regexp.MustCompile(`s\["([a-zA-Z0-9.]+)"\]`)
	for _, file := range []string{"target_test.go", "tables_test.go"} {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, m := range used.FindAllStringSubmatch(string(raw), -1) {
			require.Contains(t, s, m[1])
		}
	}
}
