package main

import (
	"math/rand"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	lateShare    = 0.5 // of the orders: the share that the bench's list of kinds gives
	lateTime     = 5 * time.Second
	latePause    = time.Second
	lastLate     = 12 * time.Second // after which late orders have been carried out
	jobInterval  = 140 * time.Millisecond
	batchOneIn   = 7 // jobs
	twiceWindows = 4
	// killPause keeps the agents that are away at one: one is started again after
	// restartPause.
	killPause = time.Second
	// tokenMinute is by how much a fencing token of an agent rises in a minute.
	tokenMinute = 60_000 << 9
	// An agent is killed when its minion has rejected so many of its calls for their
	// token.
	minFences = 62
	maxFences = 95
)

// playTwice lets all minions leave half of their orders unanswered and carry them out
// late, and kills agents, each once, while a start is unanswered.
func playTwice(s *system, trouble bool) int {
	var mu sync.Mutex
	var lastKill time.Time
	kills := 0
	for i, m := range s.minions {
		agent := s.agents[i]
		killed := false
		m.choose = func(m *minion, o order) bool {
			if !trouble || killed || m.fences < minFences || m.fences > maxFences || o.Token < m.token+tokenMinute {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			if time.Since(lastKill) < killPause {
				return false
			}
			killed, m.calm, lastKill = true, true, time.Now()
			kills++
			agent.signal(syscall.SIGKILL)
			return true
		}
	}
	for range twiceWindows {
		s.setLate(trouble)
		s.traffic(lateTime)
		s.setLate(false)
		time.Sleep(latePause)
	}
	time.Sleep(lastLate + 2*time.Second)
	jobs, bad := s.runTwice()
	mu.Lock()
	defer mu.Unlock()
	s.rec.show("%d agents were killed; of %d jobs %d tasks were started beside another run, or after an end as done that had been taken note of", kills, jobs, bad)
	switch {
	case bad > 0:
		return broken
	case trouble && kills == 0:
		return couldNot
	}
	return held
}

// runTwice returns the number of jobs, and of the starts of tasks that break the rule.
func (s *system) runTwice() (jobs, bad int) {
	type task struct {
		active map[string]bool // runs, by minion and number
		noted  time.Duration   // when such an end was taken note of; 0: not
	}
	tasks, ids := map[string]*task{}, map[string]bool{}
	s.events.mu.Lock()
	defer s.events.mu.Unlock()
	for _, e := range s.events.list {
		t := tasks[e.task]
		if t == nil {
			t = &task{active: map[string]bool{}}
			tasks[e.task] = t
		}
		id, _, _ := strings.Cut(e.task, ".")
		ids[id] = true
		key := e.minion + " " + strconv.FormatUint(e.run, 10)
		switch e.what {
		case "start":
			if len(t.active) > 0 || t.noted > 0 {
				bad++
				s.rec.show("task %s: run %d starts on %s at %.3f; %d other runs go on; an end as done was taken note of at %.3f", e.task, e.run, e.minion, e.at.Seconds(), len(t.active), t.noted.Seconds())
			}
			t.active[key] = true
		case "noted":
			t.noted = e.at
		case "crash":
		default:
			delete(t.active, key)
		}
	}
	return len(ids), bad
}

func (s *system) setLate(late bool) {
	for _, m := range s.minions {
		if late {
			m.setLate(lateShare)
		} else {
			m.setLate(0)
		}
	}
}

// traffic hands in jobs of the two kinds of the site for a time.
func (s *system) traffic(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(jobInterval) {
		if rand.Intn(batchOneIn) == 0 {
			batch := step{Count: 8, CPU: 3500, MemoryMB: 1000, Estimated: 1900}
			second := batch
			second.After = []int{0}
			go s.submit(batchQueue, newID(), jobBody(taskSpec{WorkMS: 1900, CPU: 3500}, batch, second))
		} else {
			go s.submit(urgentQueue, newID(), jobBody(taskSpec{WorkMS: 540, CPU: 480}, step{Count: 10, CPU: 480, MemoryMB: 100, Estimated: 540}))
		}
	}
}
