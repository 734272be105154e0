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

type systemKey struct{}

// system is the processes of one scenario and the links between them. It
// belongs to the goroutine of the scenario.
type system struct {
	dir      string
	group    *actor.Group
	procs    map[string]*process
	links    map[string]*faultproxy.Proxy // by "client>server"
	ports    map[string]string            // link to the address that its server printed
	pending  []*pendingCall
	past     []history.Call
	record   history.History // what is known before the logs are collected
	open     map[string]int  // fault in force to its index in record.Faults
	summary  string          // of the history, once it was checked
	watchers []chan chan []history.ConfigView
	marks    map[string]string
	failed   bool             // until the history has been checked
	drained  map[string]int64 // backend server to when its drain was accepted
	stop     context.CancelFunc
}

func number(kind string, n int) string { return fmt.Sprintf("%s-%d", kind, n) }

func names(kind string, count int) (list []string) {
	for n := 1; n <= count; n++ {
		list = append(list, number(kind, n))
	}
	return list
}

// start starts every process and waits until all agents are linked.
func (s *system) start(dir string) error {
	s.dir = dir
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.group = actor.NewGroup(ctx, func(actor.Exit) {})
	s.procs, s.links, s.ports, s.open = map[string]*process{}, map[string]*faultproxy.Proxy{}, map[string]string{}, map[string]int{}
	s.drained, s.marks = map[string]int64{}, map[string]string{}
	if err := s.join(); err != nil {
		return err
	}
	order := []string{"table", "objects"}
	for _, kind := range []string{"worker", "backend", "agent"} {
		order = append(order, names(kind, agentCount)...)
	}
	for _, name := range append(order, names("entry", entryCount)...) {
		if err := s.launch(name); err != nil {
			return err
		}
	}
	s.watchVersions()
	return s.waitLinked()
}

// join makes the proxies. Their upstreams are set when the servers start.
func (s *system) join() error {
	for _, e := range names("entry", entryCount) {
		for _, l := range [][2]string{{"caller>" + e, "callers"}, {"operator>" + e, "operators"}, {e + ">table", "address"}, {e + ">objects", "address"}} {
			if err := s.link(l[0], l[1]); err != nil {
				return err
			}
		}
		for _, a := range names("agent", agentCount) {
			if err := s.link(a+">"+e, "agents"); err != nil {
				return err
			}
		}
	}
	for n := 1; n <= agentCount; n++ {
		a, w, b := number("agent", n), number("worker", n), number("backend", n)
		for _, l := range [][2]string{{a + ">" + w, "address"}, {w + ">objects", "address"}, {b + ">" + a, "announce"}, {a + ">" + b, "address"}} {
			if err := s.link(l[0], l[1]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *system) link(name, port string) error {
	// Port 9 of the loopback interface refuses until the upstream is known.
	p, err := faultproxy.Start(s.group, "127.0.0.1:9")
	s.links[name], s.ports[name] = p, port
	return err
}

// launch starts a process, for the first time or again.
func (s *system) launch(name string) error {
	args, err := s.arguments(name)
	if err != nil {
		return err
	}
	p, err := startProcess(s.dir, name, args...)
	if err != nil {
		return err
	}
	s.procs[name] = p
	for l, port := range s.ports {
		if strings.HasSuffix(l, ">"+name) {
			s.links[l].SetUpstream(p.ready[port])
		}
	}
	return nil
}

func (s *system) arguments(name string) ([]string, error) {
	kind, n, _ := strings.Cut(name, "-")
	switch kind {
	case "worker":
		return []string{"standin", kind, "--id", name, "--cpu", "4", "--memory", "8GiB", "--objects", "http://" + s.addr(name+">objects")}, nil
	case "backend":
		return []string{"standin", kind, "--agent", "http://" + s.addr(name+">agent-"+n), "--advertise", s.addr("agent-" + n + ">" + name)}, nil
	case "entry", "agent":
		file := filepath.Join(s.dir, name+".ini")
		return []string{"run", "--settings", file}, os.WriteFile(file, []byte(s.settings(kind, name, n)), 0o644)
	}
	return []string{"standin", kind}, nil
}

// settings are those of an entry or agent. Agents have no access to the
// table, so that they do not find entries' addresses behind the proxies. They
// know the worker's capacity: an agent without it is not ready before its
// worker answers, which may be frozen.
func (s *system) settings(kind, name, n string) string {
	text := fmt.Sprintf("[daemon]\nrole = %s\nid = %s\ndata-centre = dc-1\n", kind, name)
	if kind == "entry" {
		return text + fmt.Sprintf("table = http://%s\nobjects = http://%s\n[entry]\nlisten = 127.0.0.1:0\n"+
			"agents-listen = 127.0.0.1:0\noperator-listen = 127.0.0.1:0\ncells = %s\ndefault-service = permit-desk\n",
			s.addr(name+">table"), s.addr(name+">objects"), cell)
	}
	var entries []string
	for _, e := range names("entry", entryCount) {
		entries = append(entries, s.addr(name+">"+e))
	}
	return text + fmt.Sprintf("[agent]\nentries = %s\ncell = %s\nrack = rack-%s\nannounce-listen = 127.0.0.1:0\nworker = http://%s\nprocessors = 4\nmemory = 8GiB\nconfig = optional\n",
		strings.Join(entries, ","), cell, n, s.addr(name+">worker-"+n))
}

func (s *system) addr(link string) string { return s.links[link].Addr() }

// finish ends exactly the processes that the scenario started.
func (s *system) finish() {
	if s.group == nil {
		return
	}
	s.stop()
	for _, p := range s.procs {
		p.kill()
	}
	s.group.Wait()
	for _, c := range s.pending {
		<-c.done
	}
}

// begin and end keep the times during which a fault is in force.
func (s *system) begin(fault string) {
	if _, ok := s.open[fault]; ok {
		return
	}
	s.open[fault] = len(s.record.Faults)
	s.record.Faults = append(s.record.Faults, history.FaultInterval{Fault: fault, From: time.Now().UnixNano()})
}

func (s *system) end(fault string) {
	if i, ok := s.open[fault]; ok {
		s.record.Faults[i].Until = time.Now().UnixNano()
		delete(s.open, fault)
	}
}
