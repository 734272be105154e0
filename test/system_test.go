package test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/faultproxy"
	"github.com/bambooscale/bambooscale/internal/history"
)

const (
	entryCount = 2
	agentCount = 3
	cell       = "cell-1"
)

// systemKey is the key of the *system in the values of a script.
type systemKey struct{}

// system holds the processes of one scenario and the links between them. Only
// the goroutine of the scenario may use it, except where a method says
// otherwise.
type system struct {
	dir             string // settings, logs and the history
	group           *actor.Group
	processes       map[string]*process
	links           map[string]*faultproxy.Proxy     // by "client>server"
	addressKeys     map[string]string                // by link: key of the address in the ready line of its server
	pendingCalls    []*pendingCall                   // not yet awaited
	endedCalls      []history.Call                   // awaited
	history         history.History                  // what the test itself did and observed; collectHistory adds the logs
	openFaults      map[string]int                   // by active fault: index in history.Faults
	summary         string                           // of the history; set by checkHistory
	versionWatchers []chan chan []history.ConfigView // one for each entry; a watcher answers with what it has observed
	aliases         map[string]string                // by alias of the script: process
	failed          bool                             // from the start until a check of the history passes; keeps dir
	drainAcceptedAt map[string]int64                 // by backend server: Unix time in nanoseconds
	cancel          context.CancelFunc
}

// processName returns the name of a process; index counts from 1.
func processName(kind string, index int) string { return fmt.Sprintf("%s-%d", kind, index) }

// processNames returns the names of the first count processes of a kind.
func processNames(kind string, count int) (names []string) {
	for n := 1; n <= count; n++ {
		names = append(names, processName(kind, n))
	}
	return names
}

// start starts every process and waits until every entry has ready backend
// servers and the cell's owner knows every worker.
func (s *system) start(dir string) error {
	s.dir = dir
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group = actor.NewGroup(ctx, func(actor.Exit) {})
	s.processes, s.links, s.addressKeys, s.openFaults = map[string]*process{}, map[string]*faultproxy.Proxy{}, map[string]string{}, map[string]int{}
	s.drainAcceptedAt, s.aliases = map[string]int64{}, map[string]string{}
	if err := s.startProxies(); err != nil {
		return err
	}
	order := []string{"table", "objects"}
	for _, kind := range []string{"worker", "backend", "agent"} {
		order = append(order, processNames(kind, agentCount)...)
	}
	for _, name := range append(order, processNames("entry", entryCount)...) {
		if err := s.launch(name); err != nil {
			return err
		}
	}
	s.watchVersions()
	return s.waitLinked()
}

// startProxies starts a proxy for each link. launch sets the upstreams when the
// servers start.
func (s *system) startProxies() error {
	for _, entry := range processNames("entry", entryCount) {
		for _, link := range [][2]string{{"caller>" + entry, "callers"}, {"operator>" + entry, "operators"}, {entry + ">table", "address"}, {entry + ">objects", "address"}} {
			if err := s.startProxy(link[0], link[1]); err != nil {
				return err
			}
		}
		for _, agent := range processNames("agent", agentCount) {
			if err := s.startProxy(agent+">"+entry, "agents"); err != nil {
				return err
			}
		}
	}
	for n := 1; n <= agentCount; n++ {
		agent, worker, backend := processName("agent", n), processName("worker", n), processName("backend", n)
		for _, link := range [][2]string{{agent + ">" + worker, "address"}, {worker + ">objects", "address"}, {backend + ">" + agent, "announce"}, {agent + ">" + backend, "address"}} {
			if err := s.startProxy(link[0], link[1]); err != nil {
				return err
			}
		}
	}
	return nil
}

// startProxy starts the proxy of a link to the server address with the key.
func (s *system) startProxy(name, addressKey string) error {
	// Port 9 of the loopback interface refuses connections until launch sets
	// the upstream.
	proxy, err := faultproxy.Start(s.group, "127.0.0.1:9")
	s.links[name], s.addressKeys[name] = proxy, addressKey
	return err
}

// launch starts or restarts a process and points the links to it at its new
// addresses.
func (s *system) launch(name string) error {
	args, err := s.arguments(name)
	if err != nil {
		return err
	}
	p, err := startProcess(s.dir, name, args...)
	if err != nil {
		return err
	}
	s.processes[name] = p
	for link, addressKey := range s.addressKeys {
		if strings.HasSuffix(link, ">"+name) {
			s.links[link].SetUpstream(p.addresses[addressKey])
		}
	}
	return nil
}

// arguments returns the command line of a process. It writes the settings file
// of an entry or agent.
func (s *system) arguments(name string) ([]string, error) {
	kind, index, _ := strings.Cut(name, "-")
	switch kind {
	case "worker":
		return []string{"standin", kind, "--id", name, "--cpu", "4", "--memory", "8GiB", "--objects", "http://" + s.addr(name+">objects")}, nil
	case "backend":
		return []string{"standin", kind, "--agent", "http://" + s.addr(name+">agent-"+index), "--advertise", s.addr("agent-" + index + ">" + name)}, nil
	case "entry", "agent":
		file := filepath.Join(s.dir, name+".ini")
		return []string{"run", "--settings", file}, os.WriteFile(file, []byte(s.settings(kind, name, index)), 0o644)
	}
	return []string{"standin", kind}, nil
}

// settings returns the settings of an entry or agent. Agents have no access to
// the table, because its directory would give them addresses of entries that
// bypass the proxies. Their settings state the worker's capacity: without it an
// agent is not ready before its worker answers, and the worker may be frozen.
func (s *system) settings(kind, name, index string) string {
	common := fmt.Sprintf("[daemon]\nrole = %s\nid = %s\ndata-centre = dc-1\n", kind, name)
	if kind == "entry" {
		return common + fmt.Sprintf("table = http://%s\nobjects = http://%s\n[entry]\nlisten = 127.0.0.1:0\n"+
			"agents-listen = 127.0.0.1:0\noperator-listen = 127.0.0.1:0\ncells = %s\ndefault-service = permit-desk\n",
			s.addr(name+">table"), s.addr(name+">objects"), cell)
	}
	var entries []string
	for _, entry := range processNames("entry", entryCount) {
		entries = append(entries, s.addr(name+">"+entry))
	}
	return common + fmt.Sprintf("[agent]\nentries = %s\ncell = %s\nrack = rack-%s\nannounce-listen = 127.0.0.1:0\nworker = http://%s\nprocessors = 4\nmemory = 8GiB\nconfig = optional\n",
		strings.Join(entries, ","), cell, index, s.addr(name+">worker-"+index))
}

// addr returns the address at which the proxy of a link listens.
func (s *system) addr(link string) string { return s.links[link].Addr() }

// finish kills the processes that the scenario started, and no others, and waits
// for their end.
func (s *system) finish() {
	if s.group == nil {
		return
	}
	s.cancel()
	for _, p := range s.processes {
		p.kill()
	}
	s.group.Wait()
	for _, c := range s.pendingCalls {
		<-c.done
	}
}

// beginFault records that a fault is active from now on. It does nothing if
// the fault already is.
func (s *system) beginFault(fault string) {
	if _, ok := s.openFaults[fault]; ok {
		return
	}
	s.openFaults[fault] = len(s.history.Faults)
	s.history.Faults = append(s.history.Faults, history.FaultInterval{Fault: fault, From: time.Now().UnixNano()})
}

// endFault records the end of a fault. It does nothing if the fault is not
// active.
func (s *system) endFault(fault string) {
	if i, ok := s.openFaults[fault]; ok {
		s.history.Faults[i].Until = time.Now().UnixNano()
		delete(s.openFaults, fault)
	}
}
