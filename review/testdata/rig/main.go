// Command rig plays one scenario of the review: it starts the project's programs
// as processes on loopback addresses, with stand-ins of the store, the backend
// servers and the callers, and checks one rule from what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// limit ends a scenario that takes too long.
const limit = 115 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var scenarios = map[string]func(*system, bool) ([]string, error){
	"reborn":   rebornScenario,
	"misroute": misrouteScenario,
	"deadly":   deadlyScenario,
	"mute":     muteScenario,
	"odd":      oddScenario,
	"wide":     wideScenario,
	"rack":     rackScenario,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("scenario", "", "name of the scenario")
	out := flag.String("out", "", "folder of record.txt")
	program := flag.String("program", "target/bamboojobd", "program under test")
	flag.Parse()
	runtime.LockOSThread() // the processes end with the thread that starts them
	trouble := os.Getenv("TROUBLE") != "0"
	scenario := scenarios[*name]
	if scenario == nil || *out == "" {
		fmt.Fprintln(os.Stderr, "rig: -scenario and -out are required")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(*out, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	if kept := os.Getenv("RIG_LOGS"); kept != "" { // keeps the logs of the processes
		_ = os.MkdirAll(kept, 0o755)
		dir = kept
	}
	time.AfterFunc(limit, func() {
		rec.add("NOT RUN: the time is up")
		rec.close()
		os.Exit(exitNotRun)
	})
	s := &system{record: rec, dir: dir, program: *program}
	defer s.stop()
	broken, err := scenario(s, trouble)
	switch {
	case err != nil:
		rec.add("NOT RUN: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.add("BROKEN %s", b)
		}
		fmt.Printf("broken: %d, the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	rec.add("HELD")
	fmt.Println("held")
	return exitHeld
}
