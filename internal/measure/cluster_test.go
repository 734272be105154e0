package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/agent"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// deployment is the size of a user of design section 1.
type deployment struct {
	service     model.Service
	dataCentres []string
	between     time.Duration // one way between data centres
	client      time.Duration // one way to clients
	instances   int
	slots       int
	connections int
	entries     int
	classes     []entry.ClassRule
}

var nilegate = deployment{
	service: "permit-desk", dataCentres: []string{"cairo-nasr", "cairo-maadi", "cairo-giza"},
	between: 1500 * time.Microsecond, client: 3 * time.Millisecond,
	instances: 11, slots: 8, connections: 64, entries: 2,
	classes: []entry.ClassRule{
		{Name: "read", PathPrefixes: []string{"/slips"}, Deadline: 300 * time.Millisecond},
		{Name: "consent", PathPrefixes: []string{"/consent"}, Deadline: 500 * time.Millisecond},
		{Name: "roster", PathPrefixes: []string{"/roster"}, Deadline: 3 * time.Second},
	},
}

var wickramasinghe = deployment{
	service: "wick-orders", dataCentres: []string{"dip-shed", "braid-hall", "dye-yard"},
	between: time.Millisecond, client: 3 * time.Millisecond,
	instances: 11, slots: 8, connections: 64, entries: 2,
	classes: []entry.ClassRule{
		{Name: "stock", PathPrefixes: []string{"/stock"}, Deadline: time.Second},
		{Name: "watch", PathPrefixes: []string{"/watch"}, Deadline: time.Hour},
	},
}

// cluster is an assembly of entries and agents over links in memory.
type cluster struct {
	t        *testing.T
	d        deployment
	group    *actor.Group
	net      *link.Memory
	entries  []*actor.Value[entry.Frontend] // replaced at a restart
	backends []*fakeBackend
	// transport makes the backend server of an agent; nil: a fakeBackend.
	transport func(i int) http.RoundTripper
	boots     model.Boot // drawn so far
	processes map[string]*process
}

// process is one entry or agent process, which may be killed and started again.
type process struct {
	group    *actor.Group
	listener link.Listener // of an entry
	slots    agent.Address // of an agent
}

func discardLog() log.Interface { return &log.Logger{Handler: discard.Default, Level: log.FatalLevel} }

// newCluster must be called inside a synctest bubble.
func newCluster(t *testing.T, d deployment, seed uint64) *cluster {
	return newClusterWith(t, d, seed, nil)
}

func newClusterWith(t *testing.T, d deployment, seed uint64, transport func(i int) http.RoundTripper) *cluster {
	c := &cluster{t: t, d: d, group: actor.NewGroup(t.Context(), func(e actor.Exit) { t.Log(e.Actor, e.Err) }),
		transport: transport, processes: map[string]*process{}}
	c.net = link.NewMemory(c.group.Context(), seed)
	c.net.SetDelay(link.Any, link.Any, 50*time.Microsecond, 0)
	for i := range d.entries {
		c.entries = append(c.entries, &actor.Value[entry.Frontend]{})
		c.startEntry(i)
	}
	for i := range d.instances {
		c.startAgent(i)
	}
	time.Sleep(time.Second) // links come up
	return c
}

// process begins a process in a group of its own.
func (c *cluster) process(name string) *process {
	p := &process{group: c.group.Sub()}
	c.processes[name] = p
	c.boots++
	return p
}

// kill ends a process and its connections at once.
func (c *cluster) kill(name string) {
	p := c.processes[name]
	p.group.Cancel()
	if p.listener != nil {
		p.listener.Close()
	}
	for other := range c.processes {
		c.net.Reset(name, other)
	}
	p.group.Wait()
}

func (c *cluster) dataCentre(i int) model.DataCentre {
	return model.DataCentre(c.d.dataCentres[i%len(c.d.dataCentres)])
}

func entryName(i int) string { return "entry-" + string(rune('a'+i)) }
func agentName(i int) string { return "worker-" + string(rune('a'+i)) }

func (c *cluster) startEntry(i int) {
	p := c.process(entryName(i))
	self := entry.Self{Entry: model.EntryID(entryName(i)), Boot: c.boots, DataCentre: c.dataCentre(i)}
	rules := &entry.RoutingTable{DefaultService: c.d.service, Services: map[model.Service]entry.ServiceRule{
		c.d.service: {Name: c.d.service, Classes: c.d.classes}}}
	table := &actor.Value[entry.RoutingTable]{}
	dispatcher := entry.SpawnDispatcher(p.group, self, rules, table)
	l, err := c.net.Listen(entryName(i))
	require.NoError(c.t, err)
	p.listener = l
	links := &entry.Links{Self: self, Dispatcher: dispatcher, Log: discardLog(),
		Version: func() model.ConfigVersion { return 0 }}
	actor.Go(p.group, "agents listener", func(ctx context.Context) error { return links.Accept(ctx, l) })
	c.entries[i].Set(&entry.Frontend{Dispatcher: dispatcher, Table: table.Get, MaxBody: 1 << 20,
		Semaphore: make(chan struct{}, 1<<20)})
}

func (c *cluster) startAgent(i int) {
	worker := model.Worker{ID: model.WorkerID(agentName(i)), DataCentre: c.dataCentre(i)}
	p := c.process(agentName(i))
	slots, boot := agent.SpawnSlots(p.group, worker), c.boots
	p.slots = slots
	links := &agent.Links{Dialer: c.net.Dialer(agentName(i)), Slots: slots, Transport: c.backend(i), Log: discardLog(),
		Hello: func() *msg.AgentHello { return &msg.AgentHello{Worker: worker, Boot: boot} }}
	for e := range c.d.entries {
		if c.dataCentre(e) != worker.DataCentre {
			c.net.SetDelay(entryName(e), agentName(i), c.d.between, 0)
			c.net.SetDelay(agentName(i), entryName(e), c.d.between, 0)
		}
		actor.Go(p.group, "entry link", func(ctx context.Context) error { return links.Connect(ctx, entryName(e)) })
	}
	actor.Go(p.group, "backend server", func(ctx context.Context) error {
		for slots.Send(ctx, c.announcement(i, 0)) == nil && actor.Sleep(ctx, 2*time.Second) {
		}
		return nil
	})
}

// announcement is that of an instance of the backend server beside an agent.
func (c *cluster) announcement(i, instance int) agent.Announce {
	return agent.Announce{Backend: model.BackendID(string(c.d.service) + "@" + agentName(i)), Service: c.d.service,
		Address: "192.0.2.1:80", Slots: c.d.slots, Connections: c.d.connections, Instance: fmt.Sprint(instance)}
}

func (c *cluster) backend(i int) http.RoundTripper {
	if c.transport != nil {
		return c.transport(i)
	}
	b := &fakeBackend{}
	c.backends = append(c.backends, b)
	return b
}

func (c *cluster) stop() {
	c.group.Cancel()
	c.net.Close()
	c.group.Wait()
}

// most returns the highest number of requests that ran at once on any
// backend server.
func (c *cluster) most() int64 {
	n := int64(0)
	for _, b := range c.backends {
		n = max(n, b.most.Load())
	}
	return n
}

// fakeBackend runs a request for the time that its header says.
type fakeBackend struct {
	running, most, ran, longRunning atomic.Int64
}

const serviceHeader = "X-Service-Time"

func (b *fakeBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	n := b.running.Add(1)
	defer b.running.Add(-1)
	for old := b.most.Load(); n > old && !b.most.CompareAndSwap(old, n); old = b.most.Load() {
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil, err
	}
	d, err := time.ParseDuration(r.Header.Get(serviceHeader))
	if err != nil {
		return nil, err
	}
	b.ran.Add(1)
	if d > time.Minute {
		b.longRunning.Add(1)
	}
	if !actor.Sleep(r.Context(), d) {
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: 2,
		Body: io.NopCloser(bytes.NewReader([]byte("ok")))}, nil
}

// arrival is one request of a load.
type arrival struct {
	at      time.Duration
	method  string
	path    string
	tenant  string
	service time.Duration
}

// answer is what a caller saw.
type answer struct {
	arrival
	took    time.Duration // as the caller sees it
	inEntry time.Duration
	status  int
	outcome string
}

// run sends the load open loop and returns the answers in order of arrival.
func (c *cluster) run(load []arrival) []answer {
	answers, g := c.start(load)
	g.Wait()
	return answers
}

// runUntil is run for a load whose long requests do not end: it gives them up
// after the time given.
func (c *cluster) runUntil(load []arrival, length time.Duration) []answer {
	begin := time.Now()
	answers, g := c.start(load)
	time.Sleep(length - time.Since(begin))
	g.Stop()
	return answers
}

func (c *cluster) start(load []arrival) ([]answer, *actor.Group) {
	answers := make([]answer, len(load))
	start := time.Now()
	g := actor.NewGroup(c.t.Context(), nil)
	for i, a := range load {
		if wait := a.at - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		actor.Go(g, "caller", func(ctx context.Context) error {
			answers[i] = c.request(ctx, c.entries[i%len(c.entries)].Get(), a)
			return nil
		})
	}
	return answers, g
}

func (c *cluster) request(ctx context.Context, e *entry.Frontend, a arrival) answer {
	time.Sleep(c.d.client)
	r := httptest.NewRequestWithContext(ctx, a.method, "http://"+string(c.d.service)+".example"+a.path, nil)
	r.Header.Set(serviceHeader, a.service.String())
	if a.tenant != "" {
		r.Header.Set("Bambooscale-Tenant", a.tenant)
	}
	w := httptest.NewRecorder()
	arrived := time.Now()
	e.ServeHTTP(w, r)
	inEntry := time.Since(arrived)
	return answer{arrival: a, took: inEntry + 2*c.d.client, inEntry: inEntry, status: w.Code,
		outcome: w.Header().Get(model.OutcomeHeader)}
}
