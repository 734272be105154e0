package main

import (
	"crypto/sha256"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	startTime  = 4 * time.Second         // until the agents know their backend servers
	finishTime = 14 * time.Second        // bounds.finish_s
	idleTime   = 3 * time.Second         // of the rule LOST
	cancelTime = 3 * time.Second         // bounds.cancel_ms
	stopLimit  = 200 * time.Millisecond  // bounds.stop-timeout-ms
	checkSlack = 300 * time.Millisecond  // for the scheduling of this program
	restart    = 500 * time.Millisecond  // pause before the platform starts a killed process
	crashTime  = 4500 * time.Millisecond // srv_crash: for_s of the site
)

// begin starts three entries, and a backend server for each list of labels.
func (w *world) begin(labels ...[]string) {
	w.configure(1, map[string]int{"desk": 0, "batch": 2})
	w.build(3, labels...)
	w.awaitReady(10 * time.Second)
	time.Sleep(startTime)
}

// submit hands a job in, and returns its path. A job that is not accepted makes the case
// impossible.
func (w *world) submit(entry int, queue, specification string, steps ...map[string]any) string {
	path := "/" + queue + "/" + newID()
	body := map[string]any{"specification": specification, "steps": steps}
	if status, _ := w.call(w.entries[entry%len(w.entries)], "POST", path, body); status != 200 {
		w.cannotRun("%s is not accepted", path)
	}
	return path
}

func jobID(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

// runsOf returns how many runs of a job go on.
func (w *world) runsOf(path string) int {
	n := 0
	for _, m := range w.minions {
		n += m.runs(jobID(path) + ".")
	}
	return n
}

// lost reports whether a job is lost: it is not over, a task of it is not done, and nothing
// of it runs for idleTime, while all backend servers are idle. All jobs have one step, so
// that the turn of each task has come. It is called finishTime after the traffic.
func (w *world) lost(jobs []string, count int) bool {
	shown := map[string]string{}
	for _, path := range jobs {
		if state := w.stateAnywhere(path); state == "queued" || state == "running" {
			shown[path] = state
		}
	}
	for end := time.Now().Add(idleTime + checkSlack); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for path := range shown {
			if w.runsOf(path) > 0 {
				delete(shown, path)
			}
		}
	}
	busy := 0
	for _, m := range w.minions {
		busy += m.runs("")
	}
	found := 0
	for path, state := range shown {
		if done := w.record.done(jobID(path) + "."); done < count && busy == 0 {
			found++
			w.record.add("BROKEN", "LOST: %s is shown as %s with %d of %d tasks done; nothing of it has run for %v, and all backend servers are idle", path, state, done, count, idleTime)
		}
	}
	w.record.add("check", "%d of %d jobs are lost; %d tasks run", found, len(jobs), busy)
	return found > 0
}

// attempts is how often a client asks before it gives up.
const attempts = 12

// stateAnywhere asks each entry in turn for the state of a job until one answers.
func (w *world) stateAnywhere(path string) string {
	for i := range attempts {
		if status, answer := w.call(w.entries[i%len(w.entries)], "GET", path, nil); status == 200 {
			state, _ := answer["state"].(string)
			return state
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// traffic hands in a small job each 100 ms, at all entries in turn, until it is ended.
// The function that it returns ends it and returns the accepted jobs.
func (w *world) traffic() (end func() []string) {
	stop, accepted := make(chan struct{}), make(chan []string)
	go func() {
		var jobs []string
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
				path := "/desk/" + newID()
				body := map[string]any{"specification": specification(900, 100), "steps": []map[string]any{
					{"count": trafficTasks, "cpu": 400, "memory-request-mb": 64, "estimated-ms": 900},
				}}
				if status, _ := w.call(w.entries[n%len(w.entries)], "POST", path, body); status == 200 {
					jobs = append(jobs, path)
				}
			case <-stop:
				accepted <- jobs
				return
			}
		}
	}()
	return func() []string {
		close(stop)
		jobs := <-accepted
		w.record.add("check", "%d jobs of the traffic were accepted", len(jobs))
		return jobs
	}
}

const (
	trafficTasks = 4                // of each job of the traffic
	lostBefore   = 4 * time.Second  // of traffic, until a backend server is lost
	lostAfter    = 16 * time.Second // of traffic after that
)

// sameLabels returns the labels of a number of backend servers of one rack.
func sameLabels(n int) [][]string {
	var labels [][]string
	for range n {
		labels = append(labels, []string{"a", "r1"})
	}
	return labels
}

// manyEnds: an agent is killed, and is away while many tasks end on its backend server,
// the only one with a label.
func manyEnds(w *world, trouble bool) bool {
	const (
		tasks      = 800
		beforeKill = 2200 * time.Millisecond // the tasks end after 2500 ms
	)
	w.begin(append(sameLabels(3), []string{"b", "r1"})...)
	agent, m := w.agents[3], w.minions[3]
	path := w.submit(0, "desk", specification(2500, 100), map[string]any{
		"count": tasks, "cpu": 36, "memory-request-mb": 64, "estimated-ms": 2500, "requirements": "b",
	})
	for m.runs("") < 650 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(beforeKill)
	if trouble {
		w.kill(agent, restart)
	}
	for end := time.Now().Add(40 * time.Second); w.stateAnywhere(path) != "completed" && time.Now().Before(end); {
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2 * time.Second) // the last ends are taken note of
	return !w.twice()
}

// twice reports whether TWICE is broken.
func (w *world) twice() bool {
	found := w.record.twice()
	for _, text := range found {
		w.record.add("BROKEN", "TWICE: %s", text)
	}
	w.record.add("check", "%d breaks of TWICE", len(found))
	return len(found) > 0
}

// imageName returns the name of an image with its registry and digest. With NAMES=short in
// the environment it is short.
func imageName(kind string, n int) string {
	name := fmt.Sprintf("%s-%02d", kind, n)
	if os.Getenv("NAMES") == "short" {
		return name
	}
	return fmt.Sprintf("registry.nilegate.example/permits/%s@sha256:%x", name, sha256.Sum256([]byte(name)))
}

// images: tasks of many images run side by side, and small jobs. When these are over, the
// owner of the jobs is killed.
func images(w *world, trouble bool) bool {
	const servers, serving, filling = 8, 16, 30
	w.begin(sameLabels(servers)...)
	for n := range serving {
		w.submit(n, "desk", specification(0, 100), map[string]any{
			"count": servers, "cpu": 400, "memory-request-mb": 64, "max-per-server": 1, "long-running": true, "target-ms": 500,
			"image": imageName("serving", n),
		})
	}
	for n := range filling {
		w.submit(n, "batch", specification(100000, 100), map[string]any{
			"count": servers, "cpu": 400, "memory-request-mb": 64, "estimated-ms": 100000, "fills": true, "image": imageName("batch", n),
		})
	}
	end := w.traffic()
	time.Sleep(40 * time.Second)
	jobs := end()
	time.Sleep(6 * time.Second) // twice contact-timeout-ms
	for _, path := range jobs {
		if state := w.stateAnywhere(path); state != "completed" {
			w.record.add("check", "%s is shown as %s with %d tasks done", path, state, w.record.done(jobID(path)+"."))
		}
	}
	if owner := w.owner(); owner == nil {
		w.cannotRun("no entry owns the jobs")
	} else if trouble {
		w.kill(owner, restart)
	}
	time.Sleep(finishTime)
	return !w.twice()
}

// dark: one of eight backend servers is lost for good, and answers nothing.
func dark(w *world, trouble bool) bool {
	w.begin(sameLabels(8)...)
	end := w.traffic()
	time.Sleep(lostBefore)
	if trouble {
		w.minions[0].goDark()
	}
	time.Sleep(lostAfter)
	jobs := end()
	time.Sleep(finishTime)
	return !w.lost(jobs, trafficTasks)
}

// gone: an agent is stopped in order and starts again; meanwhile its backend server, one of
// 17, is lost for good.
func gone(w *world, trouble bool) bool {
	w.begin(sameLabels(17)...)
	end := w.traffic()
	time.Sleep(lostBefore)
	agent := w.agents[0]
	w.signal(agent, syscall.SIGTERM)
	_ = agent.cmd.Wait() // the agent ends in order
	if trouble {
		w.minions[0].exit()
	}
	time.Sleep(restart)
	w.start(agent)
	time.Sleep(lostAfter)
	jobs := end()
	time.Sleep(finishTime)
	return !w.lost(jobs, trafficTasks)
}

// largeStep: jobs of small tasks come for the one backend server that has a label, which
// crashes and is back.
func largeStep(w *world, trouble bool) bool {
	w.begin(append([][]string{{"b", "r1"}}, sameLabels(7)...)...)
	if trouble {
		go w.minions[0].crash(crashTime)
		time.Sleep(200 * time.Millisecond)
	}
	const tasks = 30 // of each job
	var jobs []string
	for i := range 36 {
		jobs = append(jobs, w.submit(i, "desk", specification(500, 4000), map[string]any{
			"count": tasks, "cpu": 20, "memory-request-mb": 32, "estimated-ms": 500, "requirements": "b",
		}))
		time.Sleep(110 * time.Millisecond)
	}
	time.Sleep(finishTime)
	return !w.lost(jobs, tasks)
}
