// Command stage plays one case of the review: it starts the programs of the project as
// separate processes on loopback addresses, with stand-ins for the platform's store, the
// back ends, the operator and the clients, and checks one rule. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scenario plays a case in a running deployment and returns the exit code.
type scenario struct {
	entries, hosts int
	capacity       int64
	proxied        bool // the connections of each entry can go silent
	play           func(s *system, trouble bool) int
}

var scenarios = map[string]scenario{
	"room":   {3, 11, 32000, false, playRoom},
	"crash":  {3, 11, 32000, false, playCrash},
	"silent": {3, 11, 32000, false, playSilent},
	"twice":  {3, 11, 32000, false, playTwice},
	"token":  {3, 11, 32000, false, playToken},
	"cancel": {3, 11, 32000, true, playCancel},
	"writer": {3, 11, 32000, false, playWriter},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stage SCENARIO ROOT FOLDER")
		return couldNot
	}
	sc, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", os.Args[1])
		return couldNot
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return couldNot
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "stage-")
	if err != nil {
		return couldNot
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.show("scenario %s, disruption: %v", os.Args[1], trouble)
	s, err := startSystem(root, dir, rec, sc.entries, sc.hosts, sc.capacity, sc.proxied)
	defer s.stop()
	if err != nil {
		rec.show("could not start: %v", err)
		return couldNot
	}
	result := make(chan int, 1)
	go func() { result <- play(s, sc, rec, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	code := couldNot
	select {
	case code = <-result:
	case <-time.After(timeLimit):
		rec.show("the time is up")
	case sig := <-signals:
		rec.show("stopped by signal %v", sig)
	}
	rec.show("exit code %d", code)
	return code
}

// timeLimit leaves time to end the processes within the 120 s of a script.
const timeLimit = 112 * time.Second

// play waits until the deployment works, and plays the case.
func play(s *system, sc scenario, rec *record, trouble bool) int {
	if !s.warmUp() {
		rec.show("the deployment did not run a job")
		return couldNot
	}
	if rest := trafficStart - rec.now(); rest > 0 {
		time.Sleep(rest)
	}
	return sc.play(s, trouble)
}

// trafficStart is when traffic starts after the machines.
const trafficStart = 10 * time.Second
