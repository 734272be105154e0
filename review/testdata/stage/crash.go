package main

import "time"

const (
	crashAge  = 1200 * time.Millisecond // of the run at which the task crashes its minion
	crashTime = 60 * time.Second        // for which the job is observed
	// After three crashes of its minions a task may be started twice more.
	crashesBefore  = 3
	startsAllowed  = 2
	crashTaskWork  = 3 * time.Second
	crashTaskCores = 480
)

// playCrash hands in a job with a task that crashes each minion that starts it.
func playCrash(s *system, trouble bool) int {
	spec := taskSpec{WorkMS: crashTaskWork.Milliseconds(), CPU: crashTaskCores}
	if trouble {
		spec.CrashMS = crashAge.Milliseconds()
	}
	id := newID()
	if !s.submit(urgentQueue, id, jobBody(spec, step{Count: 1, CPU: crashTaskCores, MemoryMB: 100, Estimated: crashTaskWork.Milliseconds()})) {
		return couldNot
	}
	state := s.waitState(urgentQueue, id, crashTime, "completed", "failed")
	crashes, after := 0, 0
	for _, e := range s.events.of(id) {
		switch {
		case e.what == "crash":
			crashes++
		case e.what == "start" && crashes >= crashesBefore:
			after++
		}
	}
	s.rec.show("job %s is %q; %d minions have crashed under its task; it was started %d times more after the third crash", id, state, crashes, after)
	switch {
	case after > startsAllowed:
		return broken
	case trouble && crashes < crashesBefore, !trouble && state != "completed":
		return couldNot
	}
	return held
}
