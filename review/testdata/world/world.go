package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cannotRun ends the program with the status for a case that could not run.
func (w *world) cannotRun(format string, args ...any) {
	w.record.add("error", format, args...)
	w.close()
	os.Exit(2)
}

// process is a process of the project.
type process struct {
	name, role, ip, settings string
	log                      *os.File
	cmd                      *exec.Cmd
}

// world is a small deployment: entries, agents with their backend servers, a store.
type world struct {
	record  *record
	program string
	folder  string // temporary
	network string // first two bytes of the loopback addresses
	store   *store
	address string // of the store
	entries []*process
	agents  []*process
	minions []*minion
	stop    chan struct{}
	next    int
	closing sync.Once
}

const (
	callersPort  = "8161"
	registerPort = "8166"
	readyPort    = "8167"
	backendPort  = "8400"
	linkPort     = "7720"
	service      = "desk"
	routeHost    = "desk.example"
)

func newWorld(r *record, program string) *world {
	w := &world{record: r, program: program, store: newStore(), stop: make(chan struct{})}
	w.network = fmt.Sprintf("127.%d.%d", 10+rand.Intn(200), rand.Intn(250))
	var err error
	if w.folder, err = os.MkdirTemp("", "case-"); err != nil {
		w.cannotRun("temporary folder: %v", err)
	}
	w.address = w.newIP() + ":8169"
	w.serve(w.address, w.store)
	return w
}

func (w *world) newIP() string {
	w.next++
	return fmt.Sprintf("%s.%d", w.network, w.next)
}

func (w *world) serve(address string, h http.Handler) *http.Server {
	l, err := net.Listen("tcp", address)
	if err != nil {
		w.cannotRun("listen: %v", err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }() // it ends with the program
	return srv
}

// configure writes a configuration with queues, each with its priority.
func (w *world) configure(version int, queues map[string]int) {
	var routes []map[string]any
	for name, priority := range queues {
		routes = append(routes, map[string]any{
			"name": name, "host": routeHost, "path-prefix": "/" + name + "/", "timeout-ms": 3000, "target-latency-ms": 1000, "priority": priority,
			"service": service, "max-attempts": 3, "stretch": 2.0,
		})
	}
	raw, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": service, "admission-check": false}}, "limits": map[string]any{"max-body-bytes": 262144},
	})
	w.store.put("op", "config", base64.StdEncoding.EncodeToString(raw))
}

// prepare writes the settings file of a process from the template of the deploy file.
func (w *world) prepare(role, name, backend, seeds string) *process {
	p := &process{name: name, role: role, ip: w.newIP()}
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		w.cannotRun("template of the settings: %v", err)
	}
	text := strings.NewReplacer(
		"{{node-name}}", name, "{{ip}}", p.ip, "{{zone}}", "z1", "{{internal-port-range.0}}", linkPort,
		"{{listen-addresses.frontend}}", p.ip+":"+callersPort, "{{listen-addresses.readiness}}", p.ip+":"+readyPort,
		"{{bounds.grace-period-s}}", "6", "{{limits.cpu-share}}", "0.4", "{{limits.cores}}", "1", "{{limits.link-mbps}}", "1000.0",
		"{{listen-addresses.control-plane}}", p.ip+":"+registerPort, "{{app}}", backend, "{{bounds.max-hold-ms}}", "6000",
		"{{seed-nodes}}", seeds, "{{platform.address}}", w.address,
	).Replace(string(template))
	p.settings = filepath.Join(w.folder, name+".ini")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		w.cannotRun("settings: %v", err)
	}
	if p.log, err = os.Create(filepath.Join(w.folder, name+".log")); err != nil {
		w.cannotRun("log: %v", err)
	}
	return p
}

func (w *world) start(p *process) {
	p.cmd = exec.Command(w.program, p.role)
	p.cmd.Env = append(os.Environ(), "BAMBOOSCALE_SETTINGS="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		w.cannotRun("start of %s: %v", p.name, err)
	}
	w.record.add("process", "%s is started", p.name)
}

func (w *world) signal(p *process, s syscall.Signal) {
	w.record.add("process", "%s gets signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// build prepares and starts entries, and agents with a backend server each. labels has
// the labels of each backend server.
func (w *world) build(entries int, labels ...[]string) {
	var seeds []string
	for i := range entries {
		// The seeds are the addresses of the entries, which come first.
		seeds = append(seeds, fmt.Sprintf("%s.%d:%s", w.network, w.next+1+i, registerPort))
	}
	list := strings.Join(seeds, ",")
	for i := range entries {
		w.entries = append(w.entries, w.prepare("entry", fmt.Sprintf("entry-%d", i+1), "", list))
	}
	for i, l := range labels {
		ip := w.newIP()
		backend := ip + ":" + backendPort
		agent := w.prepare("agent", fmt.Sprintf("agent-%d", i+1), backend, list)
		m := newMinion(w.record, fmt.Sprintf("minion-%d", i+1), service, agent.ip+":"+registerPort, l...)
		m.listen = backend
		w.agents, w.minions = append(w.agents, agent), append(w.minions, m)
		m.serve = func() *http.Server { return w.serve(backend, m) }
		m.server = m.serve()
	}
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		w.start(p)
	}
	for _, m := range w.minions {
		go m.beat(w.stop)
		go m.watchLease(w.stop)
	}
}

// kill ends a process without a warning and starts it again after a pause, as the
// platform does.
func (w *world) kill(p *process, pause time.Duration) {
	w.signal(p, syscall.SIGKILL)
	_ = p.cmd.Wait() // its status is that of the signal
	time.Sleep(pause)
	w.start(p)
}

// memoryLimit is limits.memory-mb of a frontend machine, in kB.
const memoryLimit = 284 << 10

// guardMemory kills entries that exceed memoryLimit, and starts them again, as the platform
// does, until the function that it returns is called, which returns the number of kills.
func (w *world) guardMemory() (end func() int) {
	stop, done := make(chan struct{}), make(chan struct{})
	kills := 0
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, p := range w.entries {
				if kb := p.memory(); kb > memoryLimit {
					kills++
					w.record.add("process", "%s has %d MB, above its limit of %d MB", p.name, kb>>10, memoryLimit>>10)
					w.kill(p, restart)
				}
			}
		}
	}()
	return func() int {
		close(stop)
		<-done
		return kills
	}
}

// memory returns the resident memory of a process in kB.
func (p *process) memory() int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(raw), "VmRSS:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb) // 0 if the process has ended
	return kb
}

// owner returns the entry that owns the jobs, by what the entries log, or nil.
func (w *world) owner() *process {
	var owner *process
	newest := ""
	for _, p := range w.entries {
		raw, _ := os.ReadFile(p.log.Name()) // an empty log names no owner
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, "this entry became the owner of the jobs") && line > newest {
				owner, newest = p, line
			}
		}
	}
	return owner
}

// awaitReady waits until every entry answers the readiness check.
func (w *world) awaitReady(limit time.Duration) {
	for _, p := range w.entries {
		for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
			resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + p.ip + ":" + readyPort + "/api/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				w.cannotRun("%s does not become ready", p.name)
			}
		}
	}
}

// call is one call of a client. It returns status 0 if there was no answer.
func (w *world) call(entry *process, method, path string, body any) (int, map[string]any) {
	raw, _ := json.Marshal(body)
	req, _ := http.NewRequest(method, "http://"+entry.ip+":"+callersPort+path, bytes.NewReader(raw))
	if body == nil {
		req, _ = http.NewRequest(method, "http://"+entry.ip+":"+callersPort+path, nil)
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Bambooscale-Deadline-Ms", "3000")
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		w.record.add("client", "%s %s at %s: no answer", method, path, entry.name)
		return 0, nil
	}
	defer resp.Body.Close()
	var answer map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&answer) // it may have no body
	w.record.add("client", "%s %s at %s: %d %v", method, path, entry.name, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// specification returns a specification of a number of bytes for tasks that work for ms.
func specification(ms, bytes int) string {
	text := fmt.Sprintf("%d ", ms)
	return text + strings.Repeat("x", max(0, bytes-len(text)))
}

// close ends all processes that were started.
func (w *world) close() {
	w.closing.Do(w.endAll)
}

func (w *world) endAll() {
	close(w.stop)
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}
