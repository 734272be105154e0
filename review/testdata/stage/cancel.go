package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	cancelTime     = 3 * time.Second       // cancel_ms
	cancelAfter    = 50 * time.Millisecond // from the silence to the cancel
	cancelledTasks = 3000
)

// playCancel cancels a job right after the open connections of the first entry, which owns
// the jobs, have gone silent.
func playCancel(s *system, trouble bool) int {
	var clients sync.WaitGroup
	for range clientsAtOnce {
		clients.Go(func() {
			s.call(0, http.MethodPost, urgentQueue, newID(), jobBody(taskSpec{WorkMS: 540, CPU: 480}, step{Count: 6, CPU: 480, MemoryMB: 100, Estimated: 540}))
		})
	}
	clients.Wait()
	id := newID()
	if !s.submit(urgentQueue, id, jobBody(taskSpec{WorkMS: 500, CPU: 8000}, step{Count: cancelledTasks, CPU: 8000, MemoryMB: 100, Estimated: 500})) {
		return couldNot
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.rec.show("%d open connections of the first entry go silent", s.machines[0].silence())
	}
	silentAt := s.rec.now()
	time.Sleep(cancelAfter)
	status, _ := s.call(1, http.MethodDelete, urgentQueue, id, "")
	acked := s.rec.now()
	s.rec.show("the cancel at another entry is answered %d, %v after the silence", status, (acked - silentAt).Round(time.Millisecond))
	time.Sleep(12 * time.Second)
	late, last := 0, time.Duration(0)
	for _, e := range s.events.of(id) {
		if e.what == "start" && e.at > acked+cancelTime && e.at > silentAt+contactTimeout {
			late++
			last = e.at - acked
		}
	}
	s.rec.show("%d tasks of the cancelled job were started later than %v after the acknowledgement, the last one %v after it", late, cancelTime, last.Round(time.Millisecond))
	switch {
	case late > 0:
		return broken
	case status != http.StatusOK:
		return couldNot
	}
	return held
}
