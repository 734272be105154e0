package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = 6 * time.Second // max-hold-ms
	beatInterval  = 1500 * time.Millisecond
	restartTime   = 3 * time.Second // of a minion that has crashed
	maxListedEnds = 500
	maxWait       = 2 * time.Second

	// An order that gets no answer is carried out after minLate to maxLate.
	minLate    = 2 * time.Second
	maxLate    = 12 * time.Second
	chosenLate = 11500 * time.Millisecond
)

type order struct {
	Task          string `json:"task"`
	Run           uint64 `json:"run"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline-ms"`
	Token         uint64 `json:"fencing-token"`
	Checkpoint    string `json:"checkpoint"`
	Ack           uint64 `json:"ack-cursor"`
	Wait          int64  `json:"wait-ms"`
	Percent       int    `json:"percent"`
}

// taskSpec is the specification of a task in these cases.
type taskSpec struct {
	WorkMS  int64 `json:"work-ms"`
	CrashMS int64 `json:"crash-ms"` // after so long the task crashes the minion; 0: never
	CPU     int64 `json:"cpu"`
	Lasts   bool  `json:"lasts"`
}

type activeRun struct {
	run     uint64
	spec    taskSpec
	started time.Time
}

type endedRun struct {
	number uint64
	task   string
	run    uint64
	how    string
	lapses int // of the minion's lease before the end
}

// minion is a stand-in for a back end that runs tasks. It guards no capacity.
type minion struct {
	name     string
	address  string // of its calls
	registry string // of the daemon on its machine
	rec      *record
	events   *events

	mu       sync.Mutex
	life     int
	up       bool
	id       string
	born     time.Time
	sequence int
	capacity int64 // thousandths of a core
	token    uint64
	leaseEnd int64 // on the clock
	running  map[string]activeRun
	barred   map[string]uint64
	ended    []endedRun
	lastEnd  uint64
	lapses   int // times that the lease has lapsed
	changed  chan struct{}
	server   *http.Server

	late     float64    // share of the orders that get no answer and are carried out late
	lateRand *rand.Rand // decides which
	calm     bool       // it answers all orders from now on
	// choose, if it is set, chooses a start that gets no answer. It is called with the
	// lock held.
	choose func(*minion, order) bool
	orders int
	lates  int
	fences int
}

func newMinion(name, address, registry string, capacity int64, rec *record, ev *events, seed int64) *minion {
	return &minion{
		name: name, address: address, registry: registry, capacity: capacity, rec: rec, events: ev,
		changed: make(chan struct{}), lateRand: rand.New(rand.NewSource(seed)),
	}
}

// begin starts a life of the minion, which knows nothing of the former one.
func (m *minion) begin() error {
	l, err := net.Listen("tcp", m.address)
	for try := 0; err != nil && try < 20; try++ { // a process that is being started may still hold the port
		time.Sleep(50 * time.Millisecond)
		l, err = net.Listen("tcp", m.address)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.life++
	m.up, m.id, m.born, m.sequence = true, fmt.Sprintf("i-%s-%d", m.name, m.life), time.Now(), 0
	m.token, m.leaseEnd, m.lastEnd, m.ended = 0, 0, 0, nil
	m.running, m.barred = map[string]activeRun{}, map[string]uint64{}
	m.server = &http.Server{Handler: m}
	server := m.server
	go func() { _ = server.Serve(l) }()
	m.rec.logf("minion %s begins as %s", m.name, m.id)
	return nil
}

// crash ends the life of the minion at once. It is back after restartTime.
func (m *minion) crash(why string) {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up = false
	server := m.server
	for task, r := range m.running {
		m.events.add(event{what: "gone", minion: m.name, task: task, run: r.run})
	}
	m.running, m.ended = map[string]activeRun{}, nil
	m.notify()
	m.mu.Unlock()
	m.rec.logf("minion %s crashes: %s", m.name, why)
	_ = server.Close()
	time.AfterFunc(restartTime, func() {
		if err := m.begin(); err != nil {
			m.rec.logf("minion %s did not begin: %v", m.name, err)
		}
	})
}

func (m *minion) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) clock() int64 { return 1000 + time.Since(m.born).Milliseconds() }

func (m *minion) setCapacity(milli int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity = milli
	m.rec.logf("minion %s: capacity is %d", m.name, milli)
}

func (m *minion) setLate(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late = share
	if m.calm {
		m.late = 0
	}
}

func (m *minion) counts() (orders, lates, fences int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orders, m.lates, m.fences
}

// used returns the processors of what runs, and whether the minion is up.
func (m *minion) used() (used, capacity int64, up bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		used += r.spec.CPU
	}
	return used, m.capacity, m.up
}

// beat sends heartbeats until ctx ends.
func (m *minion) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		m.mu.Lock()
		up, id := m.up, m.id
		m.sequence++
		body := fmt.Sprintf(`{"service":"permit-desk","address":%q,"zone":"z1","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"capacity":{"cpu":%d,"memory-request-mb":125000,"gpu":0},"labels":["a","r1-1"],"clock-ms":%d,"sequence":%d,"born":%d}`,
			m.address, m.capacity, m.clock(), m.sequence, m.born.UnixMilli())
		m.mu.Unlock()
		if up {
			resp, err := client.Post("http://"+m.registry+"/api/instances/"+id+"/heartbeat", "application/json", strings.NewReader(body))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}
		select {
		case <-time.After(beatInterval):
		case <-ctx.Done():
		}
	}
}

// work ends runs whose time or lease has ended, until ctx ends.
func (m *minion) work(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		crash := ""
		if m.up {
			crash = m.expire()
		}
		m.mu.Unlock()
		if crash != "" {
			m.crash("task " + crash)
		}
	}
}

// expire ends runs, and returns the task that crashes the minion.
func (m *minion) expire() (crash string) {
	lapsed := m.clock() >= m.leaseEnd
	for task, r := range m.running {
		age := time.Since(r.started).Milliseconds()
		switch {
		case lapsed:
			m.end(task, "lapsed")
		case r.spec.CrashMS > 0 && age >= r.spec.CrashMS:
			m.events.add(event{what: "crash", minion: m.name, task: task, run: r.run})
			return task
		case !r.spec.Lasts && age >= r.spec.WorkMS:
			m.end(task, "done")
		}
	}
	return ""
}

func (m *minion) end(task, how string) {
	r := m.running[task]
	delete(m.running, task)
	m.barred[task] = max(m.barred[task], r.run)
	m.lastEnd++
	m.ended = append(m.ended, endedRun{m.lastEnd, task, r.run, how, m.lapses})
	m.events.add(event{what: how, minion: m.name, task: task, run: r.run})
	m.notify()
}

func (m *minion) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	var o order
	if err != nil || json.Unmarshal(raw, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	verb := strings.TrimPrefix(req.URL.Path, "/api/")
	m.mu.Lock()
	if !m.up || req.Header.Get("Bambooscale-Expected-Instance") != m.id {
		m.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	life := m.life
	if verb != "hold" {
		m.orders++
		chosen := m.choose != nil && verb == "run-start" && m.choose(m, o)
		if m.calm {
			m.late = 0
		}
		if chosen || m.late > 0 && m.lateRand.Float64() < m.late {
			m.lates++
			after := minLate + time.Duration(m.lateRand.Int63n(int64(maxLate-minLate)))
			if chosen {
				after = chosenLate
			}
			m.mu.Unlock()
			m.rec.logf("minion %s leaves %s %s run %d unanswered and carries it out in %v", m.name, verb, o.Task, o.Run, after.Round(time.Millisecond))
			time.AfterFunc(after, func() { m.carryOutLate(life, verb, o) })
			<-req.Context().Done() // the caller gives up
			panic(http.ErrAbortHandler)
		}
	}
	if o.Token < m.token {
		m.fences++
		body := map[string]any{"clock-ms": m.clock(), "reason": "fence", "born": m.born.UnixMilli()}
		m.mu.Unlock()
		writeAnswer(w, http.StatusConflict, body)
		return
	}
	if verb == "hold" {
		m.hold(w, req, o, life)
		return
	}
	status, body := m.carryOut(verb, o)
	m.mu.Unlock()
	writeAnswer(w, status, body)
}

func (m *minion) carryOutLate(life int, verb string, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up && m.life == life && o.Token >= m.token {
		m.rec.logf("minion %s carries out late: %s %s run %d", m.name, verb, o.Task, o.Run)
		_, _ = m.carryOut(verb, o)
	}
}

// carryOut carries out an order whose token is not too low.
func (m *minion) carryOut(verb string, o order) (int, any) {
	m.token = o.Token
	m.extend(o.Deadline)
	ok := map[string]any{"clock-ms": m.clock()}
	refuse := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clock-ms": m.clock(), "reason": reason}
	}
	switch verb {
	case "run-start":
		if r, there := m.running[o.Task]; there && r.run == o.Run {
			return http.StatusOK, ok
		}
		if o.Run <= m.barred[o.Task] {
			return refuse("old")
		}
		if m.clock() >= m.leaseEnd {
			return refuse("late")
		}
		var spec taskSpec
		if json.NewDecoder(bytes.NewReader([]byte(o.Specification))).Decode(&spec) != nil {
			return http.StatusBadRequest, ok
		}
		m.running[o.Task] = activeRun{o.Run, spec, time.Now()}
		m.events.add(event{what: "start", minion: m.name, task: o.Task, run: o.Run})
	case "run-stop":
		m.barred[o.Task] = max(m.barred[o.Task], o.Run)
		if r, there := m.running[o.Task]; there && r.run <= o.Run {
			m.end(o.Task, "stopped")
		}
	}
	return http.StatusOK, ok
}

// acknowledge forgets the ends up to a number. An end as done counts as taken note of
// unless the lease has lapsed since.
func (m *minion) acknowledge(number uint64) {
	for len(m.ended) > 0 && m.ended[0].number <= number {
		if e := m.ended[0]; e.how == "done" && e.lapses == m.lapses {
			m.events.add(event{what: "noted", minion: m.name, task: e.task, run: e.run})
		}
		m.ended = m.ended[1:]
	}
}

func (m *minion) extend(deadline int64) {
	if m.clock() >= m.leaseEnd {
		m.lapses++
	}
	m.leaseEnd = max(m.leaseEnd, min(deadline, m.clock()+maxHold.Milliseconds()))
}

// hold answers with both lists, at the latest after the wait. It is called with the
// lock held and releases it.
func (m *minion) hold(w http.ResponseWriter, req *http.Request, o order, life int) {
	m.token = o.Token
	m.extend(o.Deadline)
	m.acknowledge(o.Ack)
	timeout := time.After(min(time.Duration(o.Wait)*time.Millisecond, maxWait))
	for waiting := o.Wait > 0; waiting && len(m.ended) == 0; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		m.mu.Lock()
		if !m.up || m.life != life {
			m.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range m.running {
		percent := int64(50)
		if r.spec.Lasts {
			percent = 100
		} else if r.spec.WorkMS > 0 {
			percent = min(99, time.Since(r.started).Milliseconds()*100/r.spec.WorkMS)
		}
		running = append(running, []any{task, r.run, "", percent, r.spec.CPU})
	}
	for _, e := range m.ended[:min(len(m.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock-ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ended}
	m.mu.Unlock()
	writeAnswer(w, http.StatusOK, body)
}
