package hostagent

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// BenchmarkPoll measures the answer to a poll and a tick of an agent by the number
// of its runs, of which a tenth each serve and are best-effort.
func BenchmarkPoll(b *testing.B) {
	for _, runs := range []int{19, 190} {
		c, statuses := newLoaded(b, runs)
		now := time.Second
		b.Run(fmt.Sprintf("runs=%d/poll", runs), func(b *testing.B) {
			i := 0
			for b.Loop() {
				i++
				now += time.Millisecond
				c.Advance(now)
				for k := range statuses {
					statuses[k].Usage = int64(60 + (i+k)%20)
				}
				poll := c.NextPoll()
				c.PollAnswered(poll, runner.PollResponse{ClockMS: 1000 + now.Milliseconds(), StartedAtMS: 1, Runs: statuses}, nil)
				c.Sends()
				c.Calls()
				c.Decisions()
			}
		})
		b.Run(fmt.Sprintf("runs=%d/tick", runs), func(b *testing.B) {
			for b.Loop() {
				c.Tick()
				c.Sends()
			}
		})
	}
}

// newLoaded returns an agent with runs, and their statuses.
func newLoaded(b *testing.B, runs int) (*Core, []msg.RunStatus) {
	c := New(Config{Name: "a", OwnerLease: 6 * time.Second, RunLease: 5 * time.Second, Token: 100})
	c.Advance(time.Second)
	c.Announced(runner.Announcement{
		Host:     workload.Host{Instance: "i", StartedAtMS: 1, Service: "desk", State: workload.HostReady, Capacity: workload.Resources{MilliCPU: 1_000_000, MemoryMB: 1_000_000}},
		Sequence: 1, ClockMS: 2000,
	})
	var list []msg.RunStatus
	for i := range runs {
		size := msg.RunSize{Run: workload.RunID{Task: workload.TaskID{Job: workload.JobID(fmt.Sprintf("j%d", i)), Index: i}, Number: 1}, MilliCPU: 1000, Image: fmt.Sprintf("i%d", i%10)}
		switch i % 10 {
		case 0:
			size.TargetLatency = 100 * time.Millisecond
		case 1:
			size.BestEffort = true
		}
		r := c.addRun(size)
		r.state = runRunning
		list = append(list, msg.RunStatus{Run: size.Run, Usage: 80})
	}
	return c, list
}
