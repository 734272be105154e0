package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bambooscale/bambooscale/internal/history"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// command is a command of the scripts. Arguments in brackets in its usage are
// optional.
type command struct {
	usage string
	run   func(s *system, args []string) error
}

// commands are the commands of the scripts, by name.
var commands = func() map[string]func(*testscript.TestScript, bool, []string) {
	m := map[string]func(*testscript.TestScript, bool, []string){"system": startSystem}
	for _, c := range []command{
		{"request KEY ENTRY METHOD PATH [BODY]", cmdRequest},
		{"requests PREFIX COUNT ENTRY METHOD PATH", cmdRequests},
		{"answer PREFIX STATUS [OUTCOME]", cmdAnswer},
		{"await PREFIX", cmdAwait},
		{"job ENTRY ID PROGRAM", func(s *system, a []string) error { return s.submit(s.resolve(a[0]), a[1], a[2]) }},
		{"jobs ENTRY PREFIX COUNT PROGRAM", cmdJobs},
		{"edit ENTRY ID KIND NAME KEY=VALUE", cmdEdit},
		{"crash PROCESS...", cmdCrash},
		{"restart PROCESS...", cmdRestart},
		{"terminate PROCESS", func(s *system, a []string) error { return s.terminate(s.resolve(a[0])) }},
		{"alias ALIAS PROCESS", cmdAlias},
		{"wait-exit PROCESS", func(s *system, a []string) error { return s.waitExit(s.resolve(a[0])) }},
		{"freeze PROCESS", func(s *system, a []string) error { return s.freeze(s.resolve(a[0])) }},
		{"resume PROCESS", func(s *system, a []string) error { return s.resume(s.resolve(a[0])) }},
		{"cut LINK [to-server|to-client]", func(s *system, a []string) error { return s.cut(a[0], append(a, "")[1]) }},
		{"heal LINK", func(s *system, a []string) error { return s.heal(a[0]) }},
		{"reset LINK", func(s *system, a []string) error { return s.reset(a[0]) }},
		{"outage STORE", func(s *system, a []string) error { return s.storeFault(a[0], standin.StoreFaults{Outage: true}) }},
		{"lose-answers STORE", func(s *system, a []string) error { return s.storeFault(a[0], standin.StoreFaults{LoseAnswers: -1}) }},
		{"restore STORE", func(s *system, a []string) error { return s.storeFault(a[0], standin.StoreFaults{}) }},
		{"race-edits same|different", cmdRaceEdits},
		{"drain BACKEND", func(s *system, a []string) error { return s.drain(a[0]) }},
		{"wait-for CONDITION [ARGUMENT...]", cmdWaitFor},
		{"check-history", func(s *system, _ []string) error { return s.checkHistory(true) }},
	} {
		m[strings.Fields(c.usage)[0]] = c.execute
	}
	return m
}()

// execute checks the number of the arguments and runs the command.
func (c command) execute(ts *testscript.TestScript, neg bool, args []string) {
	required := 0
	for _, word := range strings.Fields(c.usage)[1:] {
		if !strings.HasPrefix(word, "[") {
			required++
		}
	}
	if neg || len(args) < required {
		ts.Fatalf("usage: %s", c.usage)
	}
	ts.Check(c.run(ts.Value(systemKey{}).(*system), args))
}

// startSystem starts the processes and sets $entry_1 and $entry_2 to the URLs of
// the entries' operator interface. The logs are kept if the scenario fails or
// BAMBOOSCALE_KEEP is set.
func startSystem(ts *testscript.TestScript, _ bool, _ []string) {
	s := ts.Value(systemKey{}).(*system)
	systemSlots <- struct{}{}
	dir, err := os.MkdirTemp("", "bambooscale-"+ts.Name()+"-")
	ts.Check(err)
	s.failed = true
	ts.Defer(func() {
		s.finish()
		<-systemSlots
		if s.failed || os.Getenv("BAMBOOSCALE_KEEP") != "" {
			ts.Logf("logs of the processes and history: %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	ts.Check(s.start(dir))
	for _, entry := range processNames("entry", entryCount) {
		ts.Setenv(strings.ReplaceAll(entry, "-", "_"), "http://"+s.addr("operator>"+entry))
	}
}

// resolve returns the process that a script means: "owner" is the entry that
// owns the cell, "standby" the other entry, "agent-of:JOB" the agent of the
// job's last attempt. Aliases of the script are replaced, other names are
// returned unchanged.
func (s *system) resolve(name string) string {
	if job, ok := strings.CutPrefix(name, "agent-of:"); ok {
		row, _ := s.jobRow(job)
		return string(row.Worker)
	}
	if aliased, ok := s.aliases[name]; ok {
		return aliased
	}
	if name != "owner" && name != "standby" {
		return name
	}
	owner, _ := s.owner()
	for _, entry := range processNames("entry", entryCount) {
		if (entry == owner) == (name == "owner") {
			return entry
		}
	}
	return name
}

func cmdRequest(s *system, args []string) error {
	s.request(args[0], s.resolve(args[1]), args[2], args[3], strings.Join(args[4:], " "))
	return nil
}

// cmdRequests sends requests, each with its own body. KEY in the path is replaced
// by the request's key.
func cmdRequests(s *system, args []string) error {
	count, err := strconv.Atoi(args[1])
	for n := range count {
		key := fmt.Sprintf("%s-%d", args[0], n)
		s.request(key, s.resolve(args[2]), args[3], strings.ReplaceAll(args[4], "KEY", key), "body of "+key)
	}
	return err
}

// cmdAnswer waits for the requests and fails unless each of them ended with the
// status and, if given, the outcome. A response with status 200 must also be
// complete.
func cmdAnswer(s *system, args []string) error {
	calls, err := s.awaitCalls(args[0])
	for _, call := range calls {
		if strconv.Itoa(call.Status) != args[1] || call.Error != "" || (call.Status == 200 && call.Body != call.Want) || (len(args) > 2 && call.Outcome != args[2]) {
			return fmt.Errorf("unexpected response, want status %s: %+v", args[1], call)
		}
	}
	return err
}

// cmdAwait waits until the requests have ended, whatever their result.
func cmdAwait(s *system, args []string) error {
	_, err := s.awaitCalls(args[0])
	return err
}

func cmdJobs(s *system, args []string) error {
	count, err := strconv.Atoi(args[2])
	for n := 0; n < count && err == nil; n++ {
		err = s.submit(s.resolve(args[0]), fmt.Sprintf("%s-%d", args[1], n), args[3])
	}
	return err
}

func cmdEdit(s *system, args []string) error {
	key, value, _ := strings.Cut(args[4], "=")
	return s.edit(s.resolve(args[0]), args[1], args[2], args[3], key, value)
}

// cmdAlias gives a process an alias. A script needs it because the owner of a
// cell and the agent of a job change.
func cmdAlias(s *system, args []string) error {
	s.aliases[args[0]] = s.resolve(args[1])
	return nil
}

// cmdCrash kills the processes in immediate succession. It resolves all names
// first, because the first kill may change the owner. (The command kill belongs
// to testscript.)
func cmdCrash(s *system, processes []string) error {
	for i, name := range processes {
		processes[i] = s.resolve(name)
	}
	for _, name := range processes {
		s.kill(name)
	}
	return nil
}

// cmdRestart kills the processes that are running, then starts all of them.
func cmdRestart(s *system, processes []string) error {
	for _, name := range processes {
		if s.processes[name].running() {
			s.kill(name)
		}
	}
	for _, name := range processes {
		if err := s.launch(name); err != nil {
			return err
		}
		s.endFault("kill " + name)
	}
	return nil
}

// drain makes a backend server announce a drain and waits until its agent has
// accepted it.
func (s *system) drain(name string) error {
	if err := s.callSimulator(name, "/control", standin.BackendControl{Drain: true}, nil); err != nil {
		return err
	}
	err := waitUntil(name+"'s drain is accepted", func() (bool, error) {
		var state standin.BackendState
		err := s.callSimulator(name, "/control", nil, &state)
		return state.State == "drained", err
	})
	s.drainAcceptedAt[name] = time.Now().UnixNano()
	return err
}

// checkHistory collects and saves the history and returns an error that lists
// every violation. If settled is set, every accepted job must have had its
// effect.
func (s *system) checkHistory(settled bool) error {
	collected, err := s.collectHistory()
	if err != nil {
		return err
	}
	collected.Settled = settled
	s.summary = summarize(collected)
	if err := s.saveHistory(collected); err != nil {
		return err
	}
	if violations := history.Check(collected); len(violations) > 0 {
		return fmt.Errorf("%d violations:\n%s", len(violations), strings.Join(violations, "\n"))
	}
	s.failed = false
	return nil
}
