package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

func encode(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step is a step of a job, as clients send it.
type step struct {
	Count     int   `json:"count"`
	CPU       int64 `json:"cpu"`
	MemoryMB  int64 `json:"memory-request-mb"`
	Estimated int64 `json:"estimated-ms"`
	After     []int `json:"after,omitempty"`
	Lasts     bool  `json:"long-running,omitempty"`
	MayMiss   int   `json:"may-miss,omitempty"`
}

func jobBody(spec taskSpec, steps ...step) string {
	text, _ := json.Marshal(spec)
	raw, _ := json.Marshal(map[string]any{"specification": string(text), "steps": steps})
	return string(raw)
}

// call sends one request of a client to an entry. Status 0 means no answer.
func (s *system) call(entry int, method string, q queue, id, body string) (status int, state string) {
	req, err := http.NewRequest(method, "http://"+s.callers[entry%len(s.callers)]+q.prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = q.host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Bambooscale-Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		s.rec.logf("client: %s %s%s at entry %d: no answer (%v)", method, q.prefix, id, entry%len(s.callers)+1, err)
		return 0, ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	var a struct{ State string }
	_ = json.Unmarshal(raw, &a)
	s.rec.logf("client: %s %s%s at entry %d: %d %s", method, q.prefix, id, entry%len(s.callers)+1, resp.StatusCode, strings.TrimSpace(string(raw)))
	return resp.StatusCode, a.State
}

// submit hands a job in, with the same id at the next entry after no answer or a
// refusal, and reports whether it was accepted.
func (s *system) submit(q queue, id, body string) bool {
	first := rand.Intn(len(s.callers))
	for try := range 5 {
		if status, _ := s.call(first+try, http.MethodPost, q, id, body); status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// waitState asks for the state of a job until it is one of the given ones or the time
// is up, and returns the last state.
func (s *system) waitState(q queue, id string, limit time.Duration, states ...string) string {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if status, state := s.call(rand.Intn(len(s.callers)), http.MethodGet, q, id, ""); status == http.StatusOK {
			last = state
		}
		for _, want := range states {
			if last == want {
				return last
			}
		}
	}
	return last
}

// warmUp waits until the deployment runs a job, and reports whether it does.
func (s *system) warmUp() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		ready := 0
		for _, address := range s.ready {
			resp, err := s.client.Get("http://" + address + "/api/readiness")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready < len(s.ready) {
			continue
		}
		id := newID()
		if s.submit(urgentQueue, id, jobBody(taskSpec{WorkMS: 200, CPU: 100}, step{Count: 2 * len(s.minions), CPU: 100, MemoryMB: 10, Estimated: 200})) {
			return s.waitState(urgentQueue, id, 15*time.Second, "completed") == "completed"
		}
	}
	return false
}
