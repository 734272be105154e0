package capacity

import (
	"runtime"
	"testing"
)

// liveHeap returns the bytes of heap that are in use after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Measures the memory of a controller for each waiting job and running attempt.
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

// Measures the processor time of a controller that takes over a cell: it reads the
// rows of the cell and receives the inventory of every agent.
func BenchmarkTakeover(b *testing.B) {
	s := newSeries("worker of a cell", "BenchmarkTakeover")
	for _, workers := range []int{50, 200, 400, 690} {
		c := newController(workers)
		c.fillWorkers(workers, tasksPerWorker)
		s.add("takeover.controllerCPU", "core seconds", float64(workers), c.takeover(workers))
	}
	s.finish(b)
}

// takeover starts another controller that takes over the cell with its running
// tasks. It returns the processor time of that in seconds.
func (c *controller) takeover(workers int) float64 {
	next := unlinkedController()
	next.runningTasks, next.revision = c.runningTasks, c.revision
	for _, row := range c.committedRows {
		next.unreadRows = append(next.unreadRows, row)
	}
	secondsBefore := processorSeconds()
	next.linkWorkers(workers)
	return processorSeconds() - secondsBefore
}
