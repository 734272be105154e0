package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/health"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// cellAtTarget returns the owner of a cell of the target size, a tenth of the
// system: 690 workers with 11,000 running tasks.
func cellAtTarget(b *testing.B) (c *Core, now time.Duration) {
	c = NewCore(Options{Cell: "c", Entry: "e", Boot: 1, Planner: place.New(place.Options{}), Health: health.New()})
	c.Step(0, Observed{})
	c.Step(0, Claimed{Won: true, Version: 1})
	var rows []JobRow
	for i := range 11000 {
		id := model.JobID(fmt.Sprintf("j%d", i))
		rows = append(rows, JobRow{ID: id, Version: 1, Row: model.JobRow{Phase: "running", Attempt: 1,
			Worker: model.WorkerID(fmt.Sprintf("w%d", i%690)),
			Spec:   model.JobSpec{ID: id, Team: "t", Class: "b", Resources: model.Resources{CPU: 1000}}}})
	}
	c.Step(0, Scanned{Fence: 1, Rows: rows, Through: 1})
	for i := range 690 {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		c.Step(0, PeerUp{Worker: model.Worker{ID: id, Capacity: model.Resources{CPU: 32000}}, Boot: 1})
		inv := &msg.Inventory{Epoch: 1}
		for j := i; j < 11000; j += 690 {
			inv.Attempts = append(inv.Attempts, msg.TaskReport{State: model.TaskRunning,
				Attempt: model.AttemptID{Job: model.JobID(fmt.Sprintf("j%d", j)), Number: 1}})
		}
		c.Step(0, Received{id, inv})
	}
	return c, 0
}

// BenchmarkSecond measures one second of a controller at the target size
// without new work: timers, acknowledgements and scans.
func BenchmarkSecond(b *testing.B) {
	c, now := cellAtTarget(b)
	b.ReportAllocs()
	for b.Loop() {
		for end := now + time.Second; now < end; {
			now = min(end, max(c.NextTick(), now+time.Millisecond))
			for _, effect := range c.Step(now, Tick{}) {
				applyAnswer(c, now, effect)
			}
		}
	}
}

// applyAnswer steps the core with the answer of the table service or an agent to
// an effect, and does the same for the effects of that step.
func applyAnswer(c *Core, now time.Duration, effect Effect) {
	var effects []Effect
	switch effect := effect.(type) {
	case WriteHeartbeat:
		effects = c.Step(now, HeartbeatWritten{Fence: effect.Fence, Sent: effect.Sent, OK: true})
	case Scan:
		effects = c.Step(now, Scanned{Fence: effect.Fence, Through: effect.After})
	case Commit:
		effects = c.Step(now, Committed{Fence: effect.Fence, Revision: 2})
	case Send:
		if m, ok := effect.Msg.(*msg.LeaseRenew); ok {
			effects = c.Step(now, Received{effect.Worker, &msg.LeaseAck{Epoch: m.Epoch, Sequence: m.Sequence}})
		}
	}
	for _, next := range append([]Effect(nil), effects...) {
		applyAnswer(c, now, next)
	}
}

// BenchmarkPlacement measures the placement of a job at the target size, from the
// scan of its row to the commit.
func BenchmarkPlacement(b *testing.B) {
	c, now := cellAtTarget(b)
	for range 20 {
		now += 500 * time.Millisecond
		for _, effect := range c.Step(now, Tick{}) {
			applyAnswer(c, now, effect)
		}
	}
	n := 0
	for b.Loop() {
		now += planInterval
		n++
		id := model.JobID(fmt.Sprintf("n%d", n))
		c.scanning = true
		for _, effect := range c.Step(now, Scanned{Fence: 1, Through: 2, Rows: []JobRow{{ID: id, Version: 2, Row: model.JobRow{
			Spec: model.JobSpec{ID: id, Team: "t", Class: "b", Resources: model.Resources{CPU: 1}}}}}}) {
			applyAnswer(c, now, effect)
		}
	}
}
