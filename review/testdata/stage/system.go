package main

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// event is something that a minion has done.
type event struct {
	at     time.Duration
	what   string // start, done, failed, stopped, lapsed, gone, crash
	minion string
	task   string
	run    uint64
}

// events is the list of what the minions have done.
type events struct {
	mu   sync.Mutex
	rec  *record
	list []event
}

func (e *events) add(v event) {
	v.at = e.rec.now()
	e.mu.Lock()
	e.list = append(e.list, v)
	e.mu.Unlock()
	e.rec.logf("minion %s: %s %s run %d", v.minion, v.what, v.task, v.run)
}

// of returns the events of the tasks of a job.
func (e *events) of(job string) []event {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []event
	for _, v := range e.list {
		if strings.HasPrefix(v.task, job+".") {
			list = append(list, v)
		}
	}
	return list
}

// process is a program of the project, which is started again when it ends.
type process struct {
	name, role string
	root       string // of the repository
	settings   string // path
	rec        *record
	log        string

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	done     chan struct{}
}

const restartPause = 500 * time.Millisecond

func (p *process) run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			p.rec.logf("process %s: %v", p.name, err)
			return
		}
		cmd := exec.Command(filepath.Join(p.root, "target/bamboojobd"), p.role)
		cmd.Dir, cmd.Stdout, cmd.Stderr = p.root, out, out
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "BAMBOOSCALE_SETTINGS=" + p.settings}
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		p.mu.Lock()
		if p.stopping {
			p.mu.Unlock()
			_ = out.Close()
			return
		}
		err = cmd.Start()
		p.cmd = cmd
		p.mu.Unlock()
		if err != nil {
			p.rec.logf("process %s did not start: %v", p.name, err)
			_ = out.Close()
			return
		}
		p.rec.logf("process %s started", p.name)
		err = cmd.Wait()
		_ = out.Close()
		p.rec.logf("process %s ended: %v", p.name, err)
		select {
		case <-time.After(restartPause):
		case <-ctx.Done():
		}
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		p.rec.logf("process %s gets signal %v", p.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.mu.Lock()
	p.stopping = true
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
	}
	p.mu.Unlock()
}

// system is a deployment with its stand-ins.
type system struct {
	rec     *record
	events  *events
	store   *store
	entries []*process
	agents  []*process
	minions []*minion
	callers []string // addresses of the entries
	ready   []string
	dir     string
	cancel  context.CancelFunc
	client  *http.Client

	storeConns *silencer
	machines   []*machineConns // of the entries, if their connections can go silent
}

// loopback returns a random loopback address that nobody uses at present.
func loopback(ports ...string) string {
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.Intn(200), 1+rand.Intn(250), 1+rand.Intn(250))
		free := true
		for _, port := range append(ports, "9464") {
			l, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip
		}
	}
}

// The ports are the same on all machines. A run draws its own.
var (
	firstPort    = 20000 + 5*rand.Intn(2000)
	frontendPort = strconv.Itoa(firstPort)
	readyPort    = strconv.Itoa(firstPort + 1)
	controlPort  = strconv.Itoa(firstPort + 2)
	linkPort     = strconv.Itoa(firstPort + 3)
	minionPort   = strconv.Itoa(firstPort + 4)
)

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// settings fills in the template of the deploy file.
func settings(template string, facts map[string]string) string {
	return placeholder.ReplaceAllStringFunc(template, func(s string) string { return facts[strings.Trim(s, "{}")] })
}

const config = `{"version":7,"routes":[` +
	`{"name":"r-1","host":"nony24.example","path-prefix":"/lohu930/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":250,"priority":0,"service":"permit-desk","max-attempts":2,"stretch":1.5},` +
	`{"name":"r-2","host":"ficu95.example","path-prefix":"/pufi791/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":1000,"priority":2,"service":"permit-desk","max-attempts":3,"stretch":2.0},` +
	`{"name":"r-3","host":"nony24.example","path-prefix":"/pule252/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":2500,"priority":0,"service":"permit-desk","max-attempts":2,"stretch":2.2}],` +
	`"services":[{"name":"permit-desk","health-check-path":"/health","max-connections":64,"protocol":"h1","tls":false,"admission-check":false,"spare":false}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// queue is a route of the configuration.
type queue struct{ host, prefix string }

var (
	urgentQueue  = queue{"nony24.example", "/lohu930/"} // priority 0
	batchQueue   = queue{"ficu95.example", "/pufi791/"} // priority 2
	lastingQueue = queue{"nony24.example", "/pule252/"} // priority 0
)

// startSystem starts the entries, the agents and their minions. The connections of each
// entry can go silent if they are proxied.
func startSystem(root, dir string, rec *record, entries, hosts int, capacity int64, proxied bool) (*system, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{rec: rec, store: newStore(), dir: dir, cancel: cancel, client: &http.Client{Timeout: 3500 * time.Millisecond}}
	s.events = &events{rec: rec}
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.ini"))
	if err != nil {
		return s, err
	}
	storeListener, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return s, err
	}
	s.storeConns = &silencer{Listener: storeListener}
	go func() { _ = (&http.Server{Handler: s.store}).Serve(s.storeConns) }()
	s.store.put("op", "config", encode(config))
	var ips []string
	for range entries {
		ips = append(ips, loopback(frontendPort, readyPort, controlPort, linkPort))
	}
	w, err := s.wire(ips, storeListener.Addr().String(), proxied)
	if err != nil {
		return s, err
	}
	common := func(name, ip string, seeds []string, storeAddress string) map[string]string {
		return map[string]string{
			"node-name": name, "ip": ip, "zone": "z1", "internal-port-range.0": linkPort, "bounds.grace-period-s": "6", "limits.cpu-share": "0.4",
			"limits.cores": "1", "limits.link-mbps": "1000.0", "bounds.max-hold-ms": "6000", "seed-nodes": strings.Join(seeds, ","), "platform.address": storeAddress,
		}
	}
	start := func(name, role string, facts map[string]string) (*process, error) {
		path := filepath.Join(dir, name+".ini")
		if err := os.WriteFile(path, []byte(settings(string(template), facts)), 0o644); err != nil {
			return nil, err
		}
		p := &process{name: name, role: role, root: root, settings: path, rec: rec, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
		go p.run(ctx)
		return p, nil
	}
	for i, ip := range ips {
		name := fmt.Sprintf("frontend-%d", i+1)
		facts := common(name, ip, w.seeds[i], w.stores[i])
		facts["listen-addresses.frontend"], facts["listen-addresses.readiness"], facts["listen-addresses.control-plane"] = ip+":"+frontendPort, ip+":"+readyPort, ip+":"+controlPort
		p, err := start(name, "entry", facts)
		if err != nil {
			return s, err
		}
		s.entries, s.callers, s.ready = append(s.entries, p), append(s.callers, ip+":"+frontendPort), append(s.ready, ip+":"+readyPort)
	}
	for i := range hosts {
		name := fmt.Sprintf("side-%d", i+1)
		ip := loopback(controlPort, linkPort, minionPort)
		m := newMinion(name, ip+":"+minionPort, ip+":"+controlPort, capacity, rec, s.events, int64(i+1))
		if err := m.begin(); err != nil {
			return s, err
		}
		facts := common(name, ip, w.agentSeeds, storeListener.Addr().String())
		facts["listen-addresses.control-plane"], facts["app"] = ip+":"+controlPort, ip+":"+minionPort
		p, err := start(name, "agent", facts)
		if err != nil {
			return s, err
		}
		s.minions, s.agents = append(s.minions, m), append(s.agents, p)
		go m.beat(ctx)
		go m.work(ctx)
	}
	return s, nil
}

// stop ends all processes that were started.
func (s *system) stop() {
	s.cancel()
	all := append(append([]*process{}, s.entries...), s.agents...)
	for _, p := range all {
		p.kill()
	}
	for _, p := range all {
		<-p.done
	}
}
