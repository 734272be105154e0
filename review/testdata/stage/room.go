package main

import "time"

const (
	contactTimeout = 3 * time.Second  // contact-timeout-ms
	finishTime     = 14 * time.Second // finish_s
	idleTime       = 3 * time.Second  // for which a job may have nothing running
	shrunkCapacity = 16000
)

// playRoom lets the capacity of all minions shrink to half, and hands in a job whose
// tasks need a whole minion as it is then.
func playRoom(s *system, trouble bool) int {
	if trouble {
		for _, m := range s.minions {
			m.setCapacity(shrunkCapacity)
		}
	}
	time.Sleep(contactTimeout + 2*beatInterval)
	probe, id := newID(), newID()
	if !s.submit(batchQueue, probe, jobBody(taskSpec{WorkMS: 500, CPU: 4000}, step{Count: 8, CPU: 4000, MemoryMB: 1000, Estimated: 500})) {
		return couldNot
	}
	if state := s.waitState(batchQueue, probe, 10*time.Second, "completed"); state != "completed" {
		s.rec.show("the probe on the same queue is %q", state)
		return couldNot
	}
	accepted := s.submit(batchQueue, id, jobBody(taskSpec{WorkMS: 1000, CPU: shrunkCapacity}, step{Count: 2, CPU: shrunkCapacity, MemoryMB: 1000, Estimated: 1000}))
	if !accepted {
		s.rec.show("the job was not accepted")
		return couldNot
	}
	state := s.waitState(batchQueue, id, finishTime, "completed", "failed")
	s.rec.show("job %s is %q %v after the end of the traffic, %d starts", id, state, finishTime, starts(s.events.of(id)))
	idle := s.idleFor(id, shrunkCapacity, 2)
	state = s.waitState(batchQueue, id, time.Second, "completed", "failed")
	s.rec.show("nothing of it ran for %v while its turn had come and there was capacity for it twice over; it is %q", idle.Round(time.Millisecond), state)
	switch {
	case idle >= idleTime && (state == "queued" || state == "running"):
		return broken
	case state == "completed":
		return held
	}
	return couldNot
}

// idleFor returns for how long, up to idleTime, nothing of a job of some tasks runs while
// there is capacity for it twice over, and under half of all capacity is in use.
func (s *system) idleFor(id string, cpu int64, tasks int) time.Duration {
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		idle := time.Since(began)
		if idle >= idleTime || !s.idleWithRoom(id, cpu, tasks) {
			return idle
		}
	}
}

// idleWithRoom reports whether nothing of the job runs, there is room for its tasks
// twice over, and under half of the capacity of all is in use.
func (s *system) idleWithRoom(id string, cpu int64, tasks int) bool {
	if active(s.events.of(id)) > 0 {
		return false
	}
	var used, capacity int64
	room := 0
	for _, m := range s.minions {
		u, c, up := m.used()
		if !up {
			continue
		}
		used, capacity = used+u, capacity+c
		room += int((c - u) / cpu)
	}
	s.rec.logf("check: there is room for %d tasks, %d of %d thousandths of a core are in use", room, used, capacity)
	return room >= 2*tasks && 2*used < capacity
}

func starts(list []event) int {
	n := 0
	for _, e := range list {
		if e.what == "start" {
			n++
		}
	}
	return n
}

// active returns the number of runs that have not ended.
func active(list []event) int {
	n := 0
	for _, e := range list {
		switch e.what {
		case "start":
			n++
		case "crash", "noted": // the event gone follows the first
		default:
			n--
		}
	}
	return n
}
