package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold      = 6 * time.Second         // bounds.max-hold-ms
	beatInterval = 1500 * time.Millisecond // heartbeat-interval-ms
	maxListed    = 500                     // ends in one answer
	clockStart   = 1000                    // ms on the clock of a backend server at its start
)

// minion is a stand-in for a backend server. A task works for the number of ms with
// which its specification begins; 0 lasts.
type minion struct {
	name, id, service string
	cpu, memory       int64
	labels            []string
	registry          string        // address of its agent
	listen            string        // its own address
	stopTime          time.Duration // of a stop, at most bounds.stop-timeout-ms
	stopsAnswerAtEnd  bool          // the answer to a stop is sent when the run has ended
	record            *record

	mu       sync.Mutex
	born     time.Time
	sequence int
	token    uint64
	leaseEnd time.Time
	lapsed   bool // the lease has lapsed
	running  map[string]*running
	barred   map[string]uint64 // by task: highest run that may not start any more
	ended    []ended
	lastEnd  uint64
	changed  chan struct{}
	server   *http.Server
	serve    func() *http.Server // listens at its address
	down     bool                // its process does not run
	hangs    bool                // calls are neither carried out nor answered
	lives    int                 // crashes so far
}

type running struct {
	run     uint64
	timer   *time.Timer // nil: it lasts
	percent int         // of its work
	usage   int         // fifth column: tail latency in ms, or thousandths of a core
}

type ended struct {
	number    uint64
	task, how string
	run       uint64
}

type runRequest struct {
	Task          string `json:"task"`
	Run           uint64 `json:"run"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadline-ms"`
	Token         uint64 `json:"fencing-token"`
	Acknowledged  uint64 `json:"ack-cursor"`
	WaitMS        int64  `json:"wait-ms"`
}

func newMinion(r *record, name, service, registry string, labels ...string) *minion {
	return &minion{
		name: name, id: "i-" + name, service: service, cpu: 32000, memory: 128000, labels: labels, registry: registry, record: r, stopTime: 20 * time.Millisecond,
		born: time.Now(), running: map[string]*running{}, barred: map[string]uint64{}, changed: make(chan struct{}),
	}
}

func (m *minion) clock() int64 { return clockStart + time.Since(m.born).Milliseconds() }

// beat announces the backend server to its agent until stop is closed.
func (m *minion) beat(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": m.service, "address": m.listen, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"capacity": map[string]any{"cpu": m.cpu, "memory-request-mb": m.memory, "gpu": 0}, "labels": m.labels,
			"clock-ms": m.clock(), "sequence": m.sequence, "born": m.born.UnixMilli(),
		})
		m.mu.Unlock()
		pause := beatInterval
		resp, err := client.Post("http://"+m.registry+"/api/instances/"+m.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			pause = 100 * time.Millisecond // the agent does not listen yet
		} else {
			_ = resp.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func (m *minion) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var r runRequest
	if err := json.NewDecoder(req.Body).Decode(&r); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaitCaller(req)
	if m.down {
		panic(http.ErrAbortHandler) // its process has ended
	}
	if req.Header.Get("Bambooscale-Expected-Instance") != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Token < m.token {
		m.refuse(w, "fence")
		return
	}
	m.token = r.Token
	m.extend(r.DeadlineMS)
	switch strings.TrimPrefix(req.URL.Path, "/api/") {
	case "run-start":
		m.start(w, r)
	case "run-stop":
		m.stop(w, r)
	case "hold":
		m.hold(w, req, r)
	default:
		m.ok(w)
	}
}

// awaitCaller gives no answer while the backend server hangs: it waits until the caller
// gives up, or the process ends.
func (m *minion) awaitCaller(req *http.Request) {
	if !m.hangs {
		return
	}
	m.mu.Unlock()
	<-req.Context().Done()
	m.mu.Lock()
	panic(http.ErrAbortHandler)
}

func (m *minion) ok(w http.ResponseWriter) {
	reply(w, http.StatusOK, map[string]any{"clock-ms": m.clock()})
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock-ms": m.clock(), "reason": reason})
}

// extend extends the lease of all runs.
func (m *minion) extend(deadlineMS int64) {
	end := m.born.Add(time.Duration(deadlineMS-clockStart) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(m.leaseEnd) {
		m.leaseEnd, m.lapsed = end, !end.After(time.Now())
	}
}

// watchLease ends all runs when their lease has expired.
func (m *minion) watchLease(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		if time.Now().After(m.leaseEnd) {
			if !m.lapsed {
				m.lapsed = true
				m.record.leaseLapsed(m.name)
			}
			for task, r := range m.running {
				m.end(task, r.run, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) start(w http.ResponseWriter, r runRequest) {
	former := m.running[r.Task]
	switch {
	case former != nil && former.run == r.Run:
		m.ok(w)
		return
	case r.Run <= m.barred[r.Task], former != nil && r.Run < former.run:
		m.refuse(w, "old")
		return
	case r.DeadlineMS <= m.clock():
		m.refuse(w, "late")
		return
	}
	text, _, _ := strings.Cut(r.Specification, " ")
	ms, err := strconv.Atoi(text)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.record.runStarts(m.name, r.Task, r.Run)
	started := &running{run: r.Run, percent: 50, usage: 100}
	if ms == 0 {
		started.percent = 100
	}
	m.running[r.Task] = started
	if ms > 0 {
		started.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.end(r.Task, r.Run, "done")
		})
	}
	m.ok(w)
}

// end ends a run unless it has ended.
func (m *minion) end(task string, run uint64, how string) {
	r := m.running[task]
	if r == nil || r.run != run {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(m.running, task)
	m.barred[task] = max(m.barred[task], run)
	m.lastEnd++
	m.ended = append(m.ended, ended{number: m.lastEnd, task: task, how: how, run: run})
	m.record.runEnds(m.name, task, run, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) stop(w http.ResponseWriter, r runRequest) {
	m.barred[r.Task] = max(m.barred[r.Task], r.Run)
	if former := m.running[r.Task]; former == nil || former.run > r.Run {
		m.ok(w)
		return
	}
	finish := func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(r.Task, r.Run, "stopped")
	}
	if !m.stopsAnswerAtEnd {
		time.AfterFunc(m.stopTime, finish)
		m.ok(w)
		return
	}
	m.mu.Unlock()
	time.Sleep(m.stopTime)
	finish()
	m.mu.Lock()
	m.ok(w)
}

func (m *minion) hold(w http.ResponseWriter, req *http.Request, r runRequest) {
	for len(m.ended) > 0 && m.ended[0].number <= r.Acknowledged {
		m.record.runNoted(m.name, m.ended[0].task, m.ended[0].run)
		m.ended = m.ended[1:]
	}
	timeout := time.After(time.Duration(r.WaitMS) * time.Millisecond)
	for waits := r.WaitMS > 0; waits && len(m.ended) == 0; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waits = false
		}
		m.mu.Lock()
	}
	m.awaitCaller(req)
	runs, ends := [][]any{}, [][]any{}
	for task, r := range m.running {
		runs = append(runs, []any{task, r.run, "", r.percent, r.usage})
	}
	for _, e := range m.ended[:min(len(m.ended), maxListed)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock-ms": m.clock(), "born": m.born.UnixMilli(), "running": runs, "ended": ends})
}

// runs returns the number of runs whose task name begins with a prefix.
func (m *minion) runs(prefix string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for task := range m.running {
		if strings.HasPrefix(task, prefix) {
			n++
		}
	}
	return n
}

// hang begins to leave calls without an answer, until the process ends.
func (m *minion) hang() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hangs = true
	m.record.add("process", "%s hangs", m.name)
}

// exit ends the process of the backend server. Connections to it break.
func (m *minion) exit() {
	m.mu.Lock()
	m.record.add("process", "%s crashes", m.name)
	m.forget()
	m.mu.Unlock()
	_ = m.server.Close()
}

// goDark loses the backend server for good. No connection to it breaks or is refused, and
// nothing is answered.
func (m *minion) goDark() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record.add("process", "%s is lost for good, and silent", m.name)
	m.hangs = true
	m.forget()
}

// forget loses all that the process of the backend server knows.
func (m *minion) forget() {
	m.down = true
	for task, r := range m.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		m.record.runEnds(m.name, task, r.run, "gone")
	}
	m.running, m.barred, m.ended, m.lastEnd = map[string]*running{}, map[string]uint64{}, nil, 0
	m.token, m.leaseEnd, m.sequence = 0, time.Time{}, 0
}

// crash ends the process of the backend server, and begins another one at the same
// address after a pause.
func (m *minion) crash(down time.Duration) {
	m.exit()
	time.Sleep(down)
	m.mu.Lock()
	m.lives++
	m.id, m.born, m.down = fmt.Sprintf("i-%s-%d", m.name, m.lives), time.Now(), false
	m.hangs = false
	m.record.add("process", "%s starts again as %s", m.name, m.id)
	m.mu.Unlock()
	m.server = m.serve()
}

func (m *minion) String() string { return fmt.Sprintf("%s (%s)", m.name, strings.Join(m.labels, " ")) }
