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

// verb is a command of the scenarios.
type verb struct {
	usage string
	run   func(s *system, args []string) error
}

var verbs = func() map[string]func(*testscript.TestScript, bool, []string) {
	m := map[string]func(*testscript.TestScript, bool, []string){"system": startSystem}
	for _, v := range []verb{
		{"request KEY ENTRY METHOD PATH [BODY]", verbRequest},
		{"requests PREFIX COUNT ENTRY METHOD PATH", verbRequests},
		{"answer PREFIX STATUS [OUTCOME]", verbAnswer},
		{"ended PREFIX", verbEnded},
		{"job ENTRY ID PROGRAM", func(s *system, a []string) error { return s.submit(s.resolve(a[0]), a[1], a[2]) }},
		{"jobs ENTRY PREFIX COUNT PROGRAM", verbJobs},
		{"edit ENTRY ID KIND NAME KEY=VALUE", verbEdit},
		{"crash PROCESS...", verbCrash},
		{"restart PROCESS...", verbRestart},
		{"terminate PROCESS", func(s *system, a []string) error { return s.terminate(s.resolve(a[0])) }},
		{"mark ALIAS PROCESS", verbMark},
		{"wait-exit PROCESS", func(s *system, a []string) error { return s.waitExit(s.resolve(a[0])) }},
		{"freeze PROCESS", func(s *system, a []string) error { return s.freeze(s.resolve(a[0])) }},
		{"continue PROCESS", func(s *system, a []string) error { return s.resume(s.resolve(a[0])) }},
		{"cut LINK [to-server|to-client]", func(s *system, a []string) error { return s.cut(a[0], append(a, "")[1]) }},
		{"heal LINK", func(s *system, a []string) error { return s.heal(a[0]) }},
		{"reset LINK", func(s *system, a []string) error { return s.reset(a[0]) }},
		{"outage STORE", func(s *system, a []string) error { return s.storeFault(a[0], standin.StoreFaults{Outage: true}) }},
		{"lose-answers STORE", func(s *system, a []string) error { return s.storeFault(a[0], standin.StoreFaults{LoseAnswers: -1}) }},
		{"restore STORE", func(s *system, a []string) error { return s.storeFault(a[0], standin.StoreFaults{}) }},
		{"race-edits same|different", verbRaceEdits},
		{"drain BACKEND", func(s *system, a []string) error { return s.drain(a[0]) }},
		{"wait-for CONDITION [ARGUMENT...]", verbWaitFor},
		{"check-history", func(s *system, _ []string) error { return s.checkHistory(true) }},
	} {
		m[strings.Fields(v.usage)[0]] = v.command
	}
	return m
}()

func (v verb) command(ts *testscript.TestScript, neg bool, args []string) {
	need := 0
	for _, word := range strings.Fields(v.usage)[1:] {
		if !strings.HasPrefix(word, "[") {
			need++
		}
	}
	if neg || len(args) < need {
		ts.Fatalf("usage: %s", v.usage)
	}
	ts.Check(v.run(ts.Value(systemKey{}).(*system), args))
}

// startSystem starts the processes. $entry_1 and $entry_2 are the addresses
// of the operators' interface. The logs are kept if the scenario fails.
func startSystem(ts *testscript.TestScript, _ bool, _ []string) {
	s := ts.Value(systemKey{}).(*system)
	systems <- struct{}{}
	dir, err := os.MkdirTemp("", "bambooscale-"+ts.Name()+"-")
	ts.Check(err)
	s.failed = true
	ts.Defer(func() {
		s.finish()
		<-systems
		if s.failed || os.Getenv("BAMBOOSCALE_KEEP") != "" {
			ts.Logf("logs of the processes and history: %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	ts.Check(s.start(dir))
	for _, e := range names("entry", entryCount) {
		ts.Setenv(strings.ReplaceAll(e, "-", "_"), "http://"+s.addr("operator>"+e))
	}
}

// resolve replaces "owner" and "standby" by the entry that owns the cell and
// the other one, and "agent-of:JOB" by the agent of the job's last attempt.
func (s *system) resolve(name string) string {
	if job, ok := strings.CutPrefix(name, "agent-of:"); ok {
		row, _ := s.job(job)
		return string(row.Worker)
	}
	if marked, ok := s.marks[name]; ok {
		return marked
	}
	if name != "owner" && name != "standby" {
		return name
	}
	owner, _ := s.owner()
	for _, e := range names("entry", entryCount) {
		if (e == owner) == (name == "owner") {
			return e
		}
	}
	return name
}

func verbRequest(s *system, a []string) error {
	s.request(a[0], s.resolve(a[1]), a[2], a[3], strings.Join(a[4:], " "))
	return nil
}

// verbRequests sends requests with bodies of their own; KEY in the path is
// replaced by the request's key.
func verbRequests(s *system, a []string) error {
	count, err := strconv.Atoi(a[1])
	for n := range count {
		key := fmt.Sprintf("%s-%d", a[0], n)
		s.request(key, s.resolve(a[2]), a[3], strings.ReplaceAll(a[4], "KEY", key), "body of "+key)
	}
	return err
}

// verbAnswer demands that the requests have ended with a status, and whole if
// it is 200.
func verbAnswer(s *system, a []string) error {
	ended, err := s.await(a[0])
	for _, c := range ended {
		if strconv.Itoa(c.Status) != a[1] || c.Error != "" || (c.Status == 200 && c.Body != c.Want) || (len(a) > 2 && c.Outcome != a[2]) {
			return fmt.Errorf("not the expected answer: %+v", c)
		}
	}
	return err
}

func verbEnded(s *system, a []string) error {
	_, err := s.await(a[0])
	return err
}

func verbJobs(s *system, a []string) error {
	count, err := strconv.Atoi(a[2])
	for n := 0; n < count && err == nil; n++ {
		err = s.submit(s.resolve(a[0]), fmt.Sprintf("%s-%d", a[1], n), a[3])
	}
	return err
}

func verbEdit(s *system, a []string) error {
	key, value, _ := strings.Cut(a[4], "=")
	return s.edit(s.resolve(a[0]), a[1], a[2], a[3], key, value)
}

// verbMark keeps a process under a name of the scenario, because who is the
// owner of a cell or the agent of a job changes.
func verbMark(s *system, a []string) error {
	s.marks[a[0]] = s.resolve(a[1])
	return nil
}

// verbCrash kills the processes one right after the other.
func verbCrash(s *system, list []string) error {
	for i, name := range list {
		list[i] = s.resolve(name)
	}
	for _, name := range list {
		s.kill(name)
	}
	return nil
}

// verbRestart kills those of the processes that run and starts all of them.
func verbRestart(s *system, list []string) error {
	for _, name := range list {
		if s.procs[name].running() {
			s.kill(name)
		}
	}
	for _, name := range list {
		if err := s.launch(name); err != nil {
			return err
		}
		s.end("kill " + name)
	}
	return nil
}

// drain lets a backend server drain and waits until its agent has accepted it.
func (s *system) drain(name string) error {
	if err := s.control(name, "/control", standin.BackendControl{Drain: true}, nil); err != nil {
		return err
	}
	err := waitUntil(name+"'s drain is accepted", func() (bool, error) {
		var st standin.BackendState
		err := s.control(name, "/control", nil, &st)
		return st.State == "drained", err
	})
	s.drained[name] = time.Now().UnixNano()
	return err
}

// checkHistory reads every log and fails on each violation. Settled also
// demands that every accepted job has had its effect.
func (s *system) checkHistory(settled bool) error {
	h, err := s.collect()
	if err != nil {
		return err
	}
	h.Settled = settled
	if err := s.save(h); err != nil {
		return err
	}
	if found := history.Check(h); len(found) > 0 {
		return fmt.Errorf("%d violations:\n%s", len(found), strings.Join(found, "\n"))
	}
	s.failed = false
	return nil
}
