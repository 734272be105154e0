package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	lastingTasks  = 6
	mayMiss       = 1
	settleTime    = 4 * time.Second // after the last task has begun its work
	observeTime   = 8 * time.Second
	otherService  = "dormant-desk" // no configuration names it
	otherSequence = 900_000        // of the other writer
)

// otherHeartbeat sends a heartbeat of another writer for the id of the minion. It has the
// fields of the minion's own heartbeats, but a service that is not named anywhere.
func (m *minion) otherHeartbeat() {
	m.mu.Lock()
	id := m.id
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":"draining","cold-remaining-ms":0,"capacity":{"cpu":%d,"memory-request-mb":125000,"gpu":0},"labels":["a","r1-1"],"clock-ms":%d,"sequence":%d,"born":%d}`,
		otherService, m.address, m.capacity, m.clock(), otherSequence, m.born.UnixMilli())
	m.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+m.registry+"/api/instances/"+id+"/heartbeat", "application/json", strings.NewReader(body))
	if err != nil {
		m.rec.logf("other writer: heartbeat for %s: %v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	m.rec.logf("other writer: heartbeat for %s with service %q: %d", id, otherService, resp.StatusCode)
}

// playWriter lets another writer send one heartbeat for each minion while the tasks of a
// lasting job are at work.
func playWriter(s *system, trouble bool) int {
	id := newID()
	spec := taskSpec{CPU: 6400, Lasts: true}
	if !s.submit(lastingQueue, id, jobBody(spec, step{Count: lastingTasks, CPU: 6400, MemoryMB: 13000, Estimated: 340, Lasts: true, MayMiss: mayMiss})) {
		return couldNot
	}
	for end := time.Now().Add(10 * time.Second); active(s.events.of(id)) < lastingTasks; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.rec.show("the tasks did not start")
			return couldNot
		}
	}
	time.Sleep(settleTime)
	before := len(s.events.of(id))
	if trouble {
		for _, m := range s.minions {
			m.otherHeartbeat()
		}
	}
	time.Sleep(observeTime)
	away, most, stopped := 0, 0, 0
	for _, e := range s.events.of(id)[before:] {
		switch e.what {
		case "stopped":
			if away >= mayMiss {
				stopped++
			}
			away++
			most = max(most, away)
		case "start":
			away--
		}
	}
	s.rec.show("of %d tasks at work on sound minions that do not drain, up to %d were stopped at the same time; %d of them while %d or more others of the step were away (may-miss is %d)", lastingTasks, most, stopped, mayMiss, mayMiss)
	if stopped > 0 {
		return broken
	}
	return held
}
