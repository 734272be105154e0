package capacity

import (
	"runtime"
	"testing"
)

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Measures what a waiting job and a running attempt cost a controller.
func BenchmarkControllerMemory(b *testing.B) {
	s := newSeries("job", "BenchmarkControllerMemory")
	for _, n := range []int{1000, 5000, 10000, 20000} {
		before := liveHeap()
		c := newController(0)
		c.submit(0, n, false)
		c.advance(claimDuration)
		s.add("jobs.waitingLive", bytesUnit, float64(n), liveHeap()-before)
		runtime.KeepAlive(c)
	}
	for _, workers := range []int{50, 100, 200, 400} {
		before := liveHeap()
		c := newController(workers)
		c.fillWorkers(workers, tasksPerWorker)
		s.add("jobs.runningLive", bytesUnit, float64(workers*tasksPerWorker), liveHeap()-before)
		runtime.KeepAlive(c)
	}
	s.finish(b)
}

// Measures the processor time of a takeover: the rows of a cell are read and
// every agent reports its inventory.
func BenchmarkTakeover(b *testing.B) {
	s := newSeries("worker of a cell", "BenchmarkTakeover")
	for _, workers := range []int{50, 200, 400, 690} {
		c := newController(workers)
		c.fillWorkers(workers, tasksPerWorker)
		s.add("takeover.controllerCPU", "core seconds", float64(workers), c.takeover(workers))
	}
	s.finish(b)
}

// takeover makes a new controller own the running tasks and returns the
// processor time that it used.
func (c *controller) takeover(workers int) float64 {
	next := unlinkedController()
	next.runningTasks, next.revision = c.runningTasks, c.revision
	for _, row := range c.committedRows {
		next.unreadRows = append(next.unreadRows, row)
	}
	began := processorSeconds()
	next.linkWorkers(workers)
	return processorSeconds() - began
}
