package main

import (
	"syscall"
	"time"
)

const latePeriods = 7

// playToken lets all minions leave half of their orders unanswered and carry them out
// late, several times, and then kills the agents once, when all is calm again.
func playToken(s *system, trouble bool) int {
	for range latePeriods {
		s.setLate(trouble)
		s.traffic(lateTime)
		s.setLate(false)
		time.Sleep(latePause)
	}
	time.Sleep(lastLate)
	for _, m := range s.minions {
		orders, lates, fences := m.counts()
		s.rec.show("minion %s: %d orders, %d of them late, %d calls with a token that was too low", m.name, orders, lates, fences)
	}
	if trouble {
		for _, p := range s.agents {
			p.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(time.Second)
	id, began := newID(), time.Now()
	if !s.submit(urgentQueue, id, jobBody(taskSpec{WorkMS: 540, CPU: 480}, step{Count: 6, CPU: 480, MemoryMB: 100, Estimated: 540})) {
		return couldNot
	}
	state := s.waitState(urgentQueue, id, finishTime, "completed", "failed")
	idle := s.idleFor(id, 480, 6)
	s.rec.show("%v after the end of the traffic job %s is %q; then nothing of it ran for %v while there was capacity for it twice over", finishTime, id, state, idle.Round(time.Millisecond))
	switch {
	case idle >= idleTime && state != "completed":
		state = s.waitState(urgentQueue, id, 25*time.Second, "completed", "failed")
		s.rec.show("job %s is %q %v after it was handed in", id, state, time.Since(began).Round(100*time.Millisecond))
		return broken
	case state != "completed":
		return couldNot
	}
	return held
}
