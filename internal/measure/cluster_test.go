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

// deployment is the size of a deployment of docs/design.md section 1, as the
// measurements of requests need it.
type deployment struct {
	service         model.Service
	dataCentres     []string
	dataCentreDelay time.Duration // one-way delay between data centres
	clientDelay     time.Duration // one-way delay to clients
	instances       int
	slots           int
	connections     int
	entries         int
	classes         []entry.ClassRule
}

var nilegate = deployment{
	service: "permit-desk", dataCentres: []string{"cairo-nasr", "cairo-maadi", "cairo-giza"},
	dataCentreDelay: 1500 * time.Microsecond, clientDelay: 3 * time.Millisecond,
	instances: 11, slots: 8, connections: 64, entries: 2,
	classes: []entry.ClassRule{
		{Name: "read", PathPrefixes: []string{"/slips"}, Deadline: 300 * time.Millisecond},
		{Name: "consent", PathPrefixes: []string{"/consent"}, Deadline: 500 * time.Millisecond},
		{Name: "roster", PathPrefixes: []string{"/roster"}, Deadline: 3 * time.Second},
	},
}

var wickramasinghe = deployment{
	service: "wick-orders", dataCentres: []string{"dip-shed", "braid-hall", "dye-yard"},
	dataCentreDelay: time.Millisecond, clientDelay: 3 * time.Millisecond,
	instances: 11, slots: 8, connections: 64, entries: 2,
	classes: []entry.ClassRule{
		{Name: "stock", PathPrefixes: []string{"/stock"}, Deadline: time.Second},
		{Name: "watch", PathPrefixes: []string{"/watch"}, Deadline: time.Hour},
	},
}

// cluster runs entries and agents that are connected by in-memory links.
type cluster struct {
	t          *testing.T
	deployment deployment
	group      *actor.Group
	network    *link.Memory
	entries    []*actor.Value[entry.Frontend] // an entry replaces its value when it restarts
	backends   []*fakeBackend
	// transport returns the backend server of agent i; nil: a fakeBackend.
	transport func(i int) http.RoundTripper
	lastBoot  model.Boot // boot number of the process started last
	processes map[string]*process
}

// process is one entry or agent process, which may be killed and started again.
type process struct {
	group    *actor.Group
	listener link.Listener // entries only
	slots    agent.Address // agents only
}

func discardLog() log.Interface { return &log.Logger{Handler: discard.Default, Level: log.FatalLevel} }

// newCluster starts a cluster and waits until its links are up. It must be
// called inside a synctest bubble.
func newCluster(t *testing.T, d deployment, seed uint64) *cluster {
	return newClusterWith(t, d, seed, nil)
}

func newClusterWith(t *testing.T, d deployment, seed uint64, transport func(i int) http.RoundTripper) *cluster {
	c := &cluster{t: t, deployment: d, group: actor.NewGroup(t.Context(), func(e actor.Exit) { t.Log(e.Actor, e.Err) }),
		transport: transport, processes: map[string]*process{}}
	c.network = link.NewMemory(c.group.Context(), seed)
	c.network.SetDelay(link.Any, link.Any, 50*time.Microsecond, 0)
	for i := range d.entries {
		c.entries = append(c.entries, &actor.Value[entry.Frontend]{})
		c.startEntry(i)
	}
	for i := range d.instances {
		c.startAgent(i)
	}
	time.Sleep(time.Second) // until the links are up
	return c
}

// newProcess registers a process with an actor group of its own and a new boot
// number.
func (c *cluster) newProcess(name string) *process {
	p := &process{group: c.group.Sub()}
	c.processes[name] = p
	c.lastBoot++
	return p
}

// kill stops a process and resets its connections.
func (c *cluster) kill(name string) {
	p := c.processes[name]
	p.group.Cancel()
	if p.listener != nil {
		p.listener.Close()
	}
	for other := range c.processes {
		c.network.Reset(name, other)
	}
	p.group.Wait()
}

func (c *cluster) dataCentre(i int) model.DataCentre {
	return model.DataCentre(c.deployment.dataCentres[i%len(c.deployment.dataCentres)])
}

func entryName(i int) string { return "entry-" + string(rune('a'+i)) }
func agentName(i int) string { return "worker-" + string(rune('a'+i)) }

func (c *cluster) startEntry(i int) {
	p := c.newProcess(entryName(i))
	self := entry.Self{Entry: model.EntryID(entryName(i)), Boot: c.lastBoot, DataCentre: c.dataCentre(i)}
	rules := &entry.RoutingTable{DefaultService: c.deployment.service, Services: map[model.Service]entry.ServiceRule{
		c.deployment.service: {Name: c.deployment.service, Classes: c.deployment.classes}}}
	table := &actor.Value[entry.RoutingTable]{}
	dispatcher := entry.SpawnDispatcher(p.group, self, rules, table)
	l, err := c.network.Listen(entryName(i))
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
	p := c.newProcess(agentName(i))
	slots, boot := agent.SpawnSlots(p.group, worker), c.lastBoot
	p.slots = slots
	links := &agent.Links{Dialer: c.network.Dialer(agentName(i)), Slots: slots, Transport: c.backend(i), Log: discardLog(),
		Hello: func() *msg.AgentHello { return &msg.AgentHello{Worker: worker, Boot: boot} }}
	for e := range c.deployment.entries {
		if c.dataCentre(e) != worker.DataCentre {
			c.network.SetDelay(entryName(e), agentName(i), c.deployment.dataCentreDelay, 0)
			c.network.SetDelay(agentName(i), entryName(e), c.deployment.dataCentreDelay, 0)
		}
		actor.Go(p.group, "entry link", func(ctx context.Context) error { return links.Connect(ctx, entryName(e)) })
	}
	actor.Go(p.group, "backend server", func(ctx context.Context) error {
		for slots.Send(ctx, c.announcement(i, 0)) == nil && actor.Sleep(ctx, 2*time.Second) {
		}
		return nil
	})
}

// announcement returns the announcement of an instance of agent i's backend
// server.
func (c *cluster) announcement(i, instance int) agent.Announce {
	return agent.Announce{Backend: model.BackendID(string(c.deployment.service) + "@" + agentName(i)), Service: c.deployment.service,
		Address: "192.0.2.1:80", Slots: c.deployment.slots, Connections: c.deployment.connections, Instance: fmt.Sprint(instance)}
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
	c.network.Close()
	c.group.Wait()
}

// maxRunning returns the highest number of requests that ran at once on one
// backend server.
func (c *cluster) maxRunning() int64 {
	n := int64(0)
	for _, b := range c.backends {
		n = max(n, b.maxRunning.Load())
	}
	return n
}

// fakeBackend is a backend server that runs each request for the time given in
// serviceHeader.
type fakeBackend struct {
	running, maxRunning, started, longStarted atomic.Int64
}

const serviceHeader = "X-Service-Time"

func (b *fakeBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	n := b.running.Add(1)
	defer b.running.Add(-1)
	for old := b.maxRunning.Load(); n > old && !b.maxRunning.CompareAndSwap(old, n); old = b.maxRunning.Load() {
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil, err
	}
	d, err := time.ParseDuration(r.Header.Get(serviceHeader))
	if err != nil {
		return nil, err
	}
	b.started.Add(1)
	if d > time.Minute {
		b.longStarted.Add(1)
	}
	if !actor.Sleep(r.Context(), d) {
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: 2,
		Body: io.NopCloser(bytes.NewReader([]byte("ok")))}, nil
}

// arrival is one request of a load.
type arrival struct {
	at      time.Duration // since the start of the load
	method  string
	path    string
	tenant  string
	service time.Duration // time that the backend server needs
}

// answer is the answer to a request as its caller sees it.
type answer struct {
	arrival
	latency time.Duration // with the delays to and from the client
	inEntry time.Duration // without these delays
	status  int
	outcome string
}

// runLoad sends the load in an open loop and returns the answers in order of
// arrival.
func (c *cluster) runLoad(load []arrival) []answer {
	answers, g := c.startLoad(load)
	g.Wait()
	return answers
}

// runLoadFor is runLoad for a load with requests that do not end. It cancels the
// remaining requests after length.
func (c *cluster) runLoadFor(load []arrival, length time.Duration) []answer {
	begin := time.Now()
	answers, g := c.startLoad(load)
	time.Sleep(length - time.Since(begin))
	g.Stop()
	return answers
}

func (c *cluster) startLoad(load []arrival) ([]answer, *actor.Group) {
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
	time.Sleep(c.deployment.clientDelay)
	r := httptest.NewRequestWithContext(ctx, a.method, "http://"+string(c.deployment.service)+".example"+a.path, nil)
	r.Header.Set(serviceHeader, a.service.String())
	if a.tenant != "" {
		r.Header.Set("Bambooscale-Tenant", a.tenant)
	}
	w := httptest.NewRecorder()
	arrived := time.Now()
	e.ServeHTTP(w, r)
	inEntry := time.Since(arrived)
	return answer{arrival: a, latency: inEntry + 2*c.deployment.clientDelay, inEntry: inEntry, status: w.Code,
		outcome: w.Header().Get(model.OutcomeHeader)}
}
