package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/daemon"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/settings"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// childVariable holds the plan of a child process, so that a role's memory and
// processor time are measured without those of its peers.
const childVariable = "BAMBOOSCALE_CAPACITY_CHILD"

const (
	cellName = "cairo-nasr-1"
	region   = "cairo"
	loopback = "127.0.0.1:0"

	queueDeadline = 10 * time.Minute
)

// plan is what a child process runs.
type plan struct {
	Entries  int      // entry role: number of entries
	Items    int      // entry role: configuration items
	Jobs     int      // entry role: job rows at the start
	Agents   int      // agent role: number of agents; 0 is the entry role
	Connect  []string // agent role: addresses of entries
	FirstJob int
}

// sample is what a child reports of itself.
type sample struct {
	CPU           float64 // seconds of processor time, user and system
	Live          float64 // bytes of heap and stacks after a collection
	Held          float64 // bytes that the runtime holds of the system
	Goroutines    int
	Reads, Writes int // entry: operations at the table
	Running       int // agents: tasks
	Agents        []string
	Operator      []string
	Callers       []string
	Announce      []string
}

func TestMain(m *testing.M) {
	raw, ok := os.LookupEnv(childVariable)
	if !ok {
		os.Exit(m.Run())
	}
	var p plan
	if err := json.Unmarshal([]byte(raw), &p); err != nil {
		panic(err)
	}
	g := daemon.NewGroup(context.Background(), silent())
	run := entries
	if p.Agents > 0 {
		run = agents
	}
	answer(run(g, p))
}

func silent() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

// answer writes a sample for each line on the standard input until its end.
func answer(fill func(*sample)) {
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		var s sample
		var used syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
		s.CPU = float64(used.Utime.Nano()+used.Stime.Nano()) / 1e9
		if in.Text() == "memory" {
			runtime.GC()
			runtime.GC() // the first moves pooled objects to the victim cache
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			s.Live, s.Held = float64(m.HeapAlloc+m.StackInuse), float64(m.Sys-m.HeapReleased)
		}
		s.Goroutines = runtime.NumGoroutine()
		fill(&s)
		raw, _ := json.Marshal(s)
		fmt.Println(string(raw))
	}
}

func entries(g *actor.Group, p plan) func(*sample) {
	table := standin.NewTable(g, standin.StoreFaults{WritesPerSecond: -1, ReadsPerSecond: -1, DropHistory: true})
	seed(g.Context(), table, p)
	before, _ := table.State(g.Context())
	var agents, operators, callers []string
	for i := range p.Entries {
		links, err := link.Listen(g, loopback, link.Config{})
		if err != nil {
			panic(err)
		}
		operator, caller := listen(), listen()
		s := &settings.Settings{}
		s.Daemon.ID, s.Daemon.DataCentre, s.Daemon.Region = fmt.Sprintf("entry-%d", i+1), "cairo-nasr", region
		s.Entry.Cells, s.Entry.DefaultCell, s.Entry.DefaultService = []model.Cell{cellName}, cellName, "permit-desk"
		s.Entry.MaxBody, s.Entry.MaxHeader, s.Entry.MaxCallers = 64<<20, 64<<10, 65536
		s.Entry.RequestDeadline = queueDeadline // a queued request waits for the whole run
		daemon.StartEntry(g, daemon.EntryConfig{Settings: s, Build: "capacity", Table: table,
			Objects: standin.NewObjects(g, standin.StoreFaults{}), Callers: caller, Agents: links, Operator: operator, Log: silent()})
		agents = append(agents, links.Addr())
		operators, callers = append(operators, operator.Addr().String()), append(callers, caller.Addr().String())
	}
	return func(s *sample) {
		now, _ := table.State(g.Context())
		s.Reads, s.Writes = now.Counters.Reads-before.Counters.Reads, now.Counters.Writes-before.Counters.Writes
		s.Agents, s.Operator, s.Callers = agents, operators, callers
	}
}

func listen() net.Listener {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		panic(err)
	}
	return l
}

func agents(g *actor.Group, p plan) func(*sample) {
	var hosts []*host
	var announce []string
	for i := range p.Agents {
		h, l := newHost(), listen()
		hosts, announce = append(hosts, h), append(announce, l.Addr().String())
		daemon.StartAgent(g, daemon.AgentConfig{
			Worker: worker(i), Cell: cellName, Region: region, Entries: p.Connect,
			Announce: l, Dialer: link.NewDialer(g, link.Config{}), WorkerClient: h, Log: silent(),
		})
	}
	return func(s *sample) {
		s.Announce = announce
		for _, h := range hosts {
			s.Running += h.running()
		}
	}
}

func worker(i int) model.Worker {
	return model.Worker{ID: model.WorkerID(fmt.Sprintf("worker-%05d", i)), DataCentre: "cairo-nasr",
		Rack:     model.Rack(fmt.Sprintf("rack-%03d", i/20)),
		Capacity: model.Resources{CPU: 32_000, Memory: 125 << 30, Accelerators: 2},
		Labels:   model.Labels{"generation": "g3", "disk": "none", "zone": "a"}}
}
