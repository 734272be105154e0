package main

import "time"

// submitAnywhere hands a job in, at each entry in turn until one accepts it.
func (w *world) submitAnywhere(queue, specification string, step map[string]any) string {
	path := "/" + queue + "/" + newID()
	body := map[string]any{"specification": specification, "steps": []map[string]any{step}}
	for i := range attempts {
		if status, _ := w.call(w.entries[i%len(w.entries)], "POST", path, body); status == 200 {
			return path
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.cannotRun("%s is not accepted", path)
	return ""
}

// idle reports whether a job that is not over has no run during idleTime, finishTime after
// the last job was handed in. The backend servers are idle otherwise.
func (w *world) idle(path string) bool {
	time.Sleep(finishTime)
	for end := time.Now().Add(idleTime + checkSlack); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if w.runsOf(path) > 0 {
			return false
		}
	}
	if state := w.stateAnywhere(path); state != "queued" && state != "running" {
		return false
	}
	w.record.add("BROKEN", "nothing of %s has run for %v, although its turn has come and the backend servers are idle", path, idleTime)
	return true
}

// manyTasks: ten jobs of the greatest number of tasks come, and then small ones.
func manyTasks(w *world, trouble bool) bool {
	w.begin([]string{"a", "r1"}, []string{"a", "r1"}, []string{"a", "r1"})
	count := 100000
	if !trouble {
		count = 1000
	}
	kills := w.guardMemory()
	for range 10 {
		w.submitAnywhere("batch", specification(1000, 100), map[string]any{
			"count": count, "cpu": 480, "memory-request-mb": 960, "estimated-ms": 1000,
		})
	}
	var small string
	for range 6 {
		small = w.submitAnywhere("desk", specification(300, 100), map[string]any{
			"count": 2, "cpu": 100, "memory-request-mb": 64, "estimated-ms": 300,
		})
		time.Sleep(2 * time.Second)
		w.stateAnywhere(small)
	}
	idle := w.idle(small)
	w.record.add("check", "%d processes were killed for their memory", kills())
	return !idle
}

// largeTask: a task that takes nearly all processors of a backend server.
func largeTask(w *world, trouble bool) bool {
	w.begin([]string{"a", "r1"}, []string{"a", "r1"}, []string{"a", "r1"})
	cpu := 31000
	if !trouble {
		cpu = 30000
	}
	return !w.idle(w.submit(0, "batch", specification(500, 200), map[string]any{
		"count": 1, "cpu": cpu, "memory-request-mb": 6400, "estimated-ms": 500,
	}))
}

// dyingRack: the backend servers of a rack hang, and crash one after another; a job comes
// whose task needs that rack.
func dyingRack(w *world, trouble bool) bool {
	var labels [][]string
	for i := range 22 {
		rack := "r2"
		if i < 3 {
			rack = "r1"
		}
		labels = append(labels, []string{"a", rack})
	}
	w.begin(labels...)
	rack := w.minions[:3]
	if trouble {
		for i, m := range rack {
			m.hang()
			time.AfterFunc(time.Duration(i+1)*400*time.Millisecond, func() { m.crash(crashTime) })
		}
	}
	path := w.submit(0, "desk", specification(500, 200), map[string]any{
		"count": 1, "cpu": 480, "memory-request-mb": 960, "estimated-ms": 500, "requirements": "r1",
	})
	time.Sleep(finishTime)
	if state := w.stateAnywhere(path); state != "completed" {
		w.record.add("BROKEN", "%s is shown as %s, and no backend server has begun a task of it", path, state)
		return false
	}
	return true
}

// manyStops: a job of many tasks is cancelled, and a stop takes three quarters of the
// time that it may take.
func manyStops(w *world, trouble bool) bool {
	w.begin([]string{"a", "r1"}, []string{"a", "r1"}, []string{"a", "r1"})
	for _, m := range w.minions {
		m.stopTime, m.stopsAnswerAtEnd = stopLimit*3/4, true
	}
	path := w.submit(0, "batch", specification(60000, 300), map[string]any{
		"count": 180, "cpu": 480, "memory-request-mb": 960, "estimated-ms": 60000,
	})
	time.Sleep(5 * time.Second)
	if !trouble {
		return true
	}
	if status, _ := w.call(w.entries[0], "DELETE", path, nil); status != 200 {
		w.cannotRun("%s is not cancelled", path)
	}
	time.Sleep(cancelTime + stopLimit + checkSlack)
	left := w.runsOf(path)
	if left > 0 {
		w.record.add("BROKEN", "%d tasks of %s run %v after its cancelling was acknowledged", left, path, cancelTime+stopLimit+checkSlack)
	}
	return left == 0
}
