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

// childPlanVariable is the environment variable with the plan of a child process.
// Each role runs in a process of its own, so that its memory and processor time
// are measured without those of its peers.
const childPlanVariable = "BAMBOOSCALE_CAPACITY_CHILD"

const (
	cellName = "cairo-nasr-1"
	region   = "cairo"
	loopback = "127.0.0.1:0"

	// queuedRequestDeadline is longer than a run, in which a queued request waits.
	queuedRequestDeadline = 10 * time.Minute
)

// childPlan states what a child process runs.
type childPlan struct {
	Entries  int      // entry role: number of entries
	Items    int      // entry role: configuration items
	Jobs     int      // entry role: job rows at the start
	Agents   int      // agent role: number of agents; 0 is the entry role
	Connect  []string // agent role: addresses of entries
	FirstJob int      // entry role: number of the first job row
}

// sample is a measurement that a child process reports of itself.
type sample struct {
	CPU           float64 // seconds of processor time, user and system
	Live          float64 // bytes of heap and stacks after a garbage collection; 0 if not requested
	Held          float64 // bytes that the runtime has obtained from the operating system and not returned; 0 if not requested
	Goroutines    int
	Reads, Writes int      // entries: operations of the table since the start
	Running       int      // agents: running tasks
	Agents        []string // entries: addresses for agents
	Operator      []string // entries: addresses of the operator interface
	Callers       []string // entries: addresses for callers
	Announce      []string // agents: addresses for announcements of backend servers
}

// TestMain runs the tests, or a role if the process is a child.
func TestMain(m *testing.M) {
	raw, ok := os.LookupEnv(childPlanVariable)
	if !ok {
		os.Exit(m.Run())
	}
	var p childPlan
	if err := json.Unmarshal([]byte(raw), &p); err != nil {
		panic(err)
	}
	g := daemon.NewGroup(context.Background(), discardLog())
	run := startEntries
	if p.Agents > 0 {
		run = startAgents
	}
	serveSamples(run(g, p))
}

func discardLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

// serveSamples writes a sample to the standard output for each line on the standard
// input until that ends. After the line "memory" it collects garbage and measures
// the memory; fill adds the figures of the role.
func serveSamples(fill func(*sample)) {
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		var s sample
		var usage syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
		s.CPU = float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
		if in.Text() == "memory" {
			runtime.GC()
			runtime.GC() // the first collection only moves pooled objects to the victim cache
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			s.Live, s.Held = float64(stats.HeapAlloc+stats.StackInuse), float64(stats.Sys-stats.HeapReleased)
		}
		s.Goroutines = runtime.NumGoroutine()
		fill(&s)
		raw, _ := json.Marshal(s)
		fmt.Println(string(raw))
	}
}

// startEntries starts the entries of a plan, which share one table. The first entry
// owns the cell. The returned function fills in the entries' part of a sample.
func startEntries(g *actor.Group, p childPlan) func(*sample) {
	table := standin.NewTable(g, standin.StoreFaults{WritesPerSecond: -1, ReadsPerSecond: -1, DropHistory: true})
	seedTable(g.Context(), table, p)
	before, _ := table.State(g.Context())
	var agents, operators, callers []string
	for i := range p.Entries {
		links, err := link.Listen(g, loopback, link.Config{})
		if err != nil {
			panic(err)
		}
		operator, caller := listenLoopback(), listenLoopback()
		s := &settings.Settings{}
		s.Daemon.ID, s.Daemon.DataCentre, s.Daemon.Region = fmt.Sprintf("entry-%d", i+1), "cairo-nasr", region
		s.Entry.Cells, s.Entry.DefaultCell, s.Entry.DefaultService = []model.Cell{cellName}, cellName, "permit-desk"
		s.Entry.MaxBody, s.Entry.MaxHeader, s.Entry.MaxCallers = 64<<20, 64<<10, 65536
		s.Entry.RequestDeadline = queuedRequestDeadline
		daemon.StartEntry(g, daemon.EntryConfig{Settings: s, Build: "capacity", Table: table,
			Objects: standin.NewObjects(g, standin.StoreFaults{}), Callers: caller, Agents: links, Operator: operator, Log: discardLog()})
		agents = append(agents, links.Addr())
		operators, callers = append(operators, operator.Addr().String()), append(callers, caller.Addr().String())
	}
	return func(s *sample) {
		now, _ := table.State(g.Context())
		s.Reads, s.Writes = now.Counters.Reads-before.Counters.Reads, now.Counters.Writes-before.Counters.Writes
		s.Agents, s.Operator, s.Callers = agents, operators, callers
	}
}

// listenLoopback listens on a free port.
func listenLoopback() net.Listener {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		panic(err)
	}
	return l
}

// startAgents starts the agents of a plan. The returned function fills in the
// agents' part of a sample.
func startAgents(g *actor.Group, p childPlan) func(*sample) {
	var workers []*fakeWorker
	var announce []string
	for i := range p.Agents {
		worker, l := newFakeWorker(), listenLoopback()
		workers, announce = append(workers, worker), append(announce, l.Addr().String())
		daemon.StartAgent(g, daemon.AgentConfig{
			Worker: testWorker(i), Cell: cellName, Region: region, Entries: p.Connect,
			Announce: l, Dialer: link.NewDialer(g, link.Config{}), WorkerClient: worker, Log: discardLog(),
		})
	}
	return func(s *sample) {
		s.Announce = announce
		for _, worker := range workers {
			s.Running += worker.running()
		}
	}
}

// testWorker returns a worker; 20 workers share a rack.
func testWorker(i int) model.Worker {
	return model.Worker{ID: model.WorkerID(fmt.Sprintf("worker-%05d", i)), DataCentre: "cairo-nasr",
		Rack:     model.Rack(fmt.Sprintf("rack-%03d", i/20)),
		Capacity: model.Resources{CPU: 32_000, Memory: 125 << 30, Accelerators: 2},
		Labels:   model.Labels{"generation": "g3", "disk": "none", "zone": "a"}}
}
