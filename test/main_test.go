// Package test checks the guarantees with real processes: two entries, three
// agents and the simulators of the platform, connected only through
// fault-injecting proxies. The scripts of the scenarios are in testdata.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	buildFlags  []string // of the programs under test
	programsDir string   // directory of the programs under test
)

// systemSlots bounds the systems that run at once: each has 13 processes,
// which with the race detector take about 0.7 GiB.
var systemSlots = make(chan struct{}, 3)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs into a temporary directory, runs the tests
// and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bambooscale-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programsDir = dir
	args := append(append([]string{"build"}, buildFlags...), "-o", dir+string(filepath.Separator), "../cmd/...")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Guards against a violation of one of the guarantees G1 to G9 towards a
// caller, a job or an edit when one process, link or store fails.
func TestScenarios(t *testing.T) {
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", programsDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Values[systemKey{}] = &system{}
			return nil
		},
		Cmds: commands,
	})
}
