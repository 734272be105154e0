package msg

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Command is the common part of all commands from a controller to an agent. An
// agent refuses a command whose epoch is lower than the highest it has seen
// for the cell.
type Command struct {
	Cell  model.Cell
	Epoch model.Epoch
}

// CellClaim announces a new owner of the cell. The agent adopts the epoch and
// replies with Inventory.
type CellClaim struct{ Command }

// LeaseRenew renews the leases of every attempt of the cell on the agent for
// TTL from its receipt.
type LeaseRenew struct {
	Command
	Sequence uint64
	TTL      time.Duration
	// LongRunningTTL is the TTL for long-running attempts, which are kept for
	// longer without a controller.
	LongRunningTTL time.Duration
}

// StartTask starts an attempt. If the agent knows the attempt already, it only
// repeats its TaskReport.
type StartTask struct {
	Command
	Attempt    model.AttemptID
	Spec       model.JobSpec
	Checkpoint string // object name to resume from; empty: from the beginning
	TTL        time.Duration
}

// StopTask stops an attempt. An unknown attempt is recorded as stopped and
// can no longer start. The agent replies with TaskReport.
type StopTask struct {
	Command
	Attempt model.AttemptID
}

// CheckpointTask asks for a checkpoint; the agent replies with TaskReport.
type CheckpointTask struct {
	Command
	Attempt model.AttemptID
}

// ThrottleTask limits an attempt to a share of its processor time.
type ThrottleTask struct {
	Command
	Attempt model.AttemptID
	Percent int // 100 removes the limit
}

// TaskAck acknowledges the final TaskReport of an attempt; the agent deletes
// its record of the attempt.
type TaskAck struct {
	Command
	Attempt model.AttemptID
}

// TaskReport is the state of one attempt. Final reports are repeated until
// acknowledged.
type TaskReport struct {
	Attempt    model.AttemptID
	Epoch      model.Epoch // highest epoch known to the agent
	State      model.TaskState
	Checkpoint string // newest checkpoint object of this attempt
	Result     string // result object; set when State is TaskDone
	Reason     string // why it failed or was stopped
	Usage      model.Usage
	RanFor     time.Duration
}

// Inventory lists every attempt of a cell that the agent knows. It answers
// CellClaim and precedes reports on a new link.
type Inventory struct {
	Cell     model.Cell
	Epoch    model.Epoch
	Attempts []TaskReport
}

// LeaseAck answers LeaseRenew.
type LeaseAck struct {
	Cell     model.Cell
	Epoch    model.Epoch
	Sequence uint64
}

// UsageReport carries the measured usage of a worker, either of its tasks or of
// its backend server: a report with Services has no other field but Worker. Age is
// how old the measurement was when it was sent.
type UsageReport struct {
	Worker   model.WorkerID
	Capacity model.Resources
	Used     model.Resources
	Age      time.Duration
	Tasks    []TaskReport
	Services []ServiceUsage // empty in reports about tasks
}

// UsageWindow is the time over which P99 and Busy of ServiceUsage are measured.
const UsageWindow = 10 * time.Second

// ServiceUsage is what an agent measured at its backend server for one class.
// Arrivals, Queued and Mean cover the last seconds only, so that they show a
// rise in load before P99 does.
type ServiceUsage struct {
	Service  model.Service
	Class    model.Class
	Slots    int
	Requests int           // in the window of P99
	P99      time.Duration // time at the backend server, over a window that has just ended; 0: no window has ended, or it had too few requests
	Busy     float64       // mean share of the slots that the class used in the window, 0 to 1
	Arrivals float64       // requests per second
	Queued   int           // requests of all classes that wait for this backend server, at the entries and at the agent
	Mean     time.Duration // time at the backend server
}

func (*CellClaim) isControl()      {}
func (*LeaseRenew) isControl()     {}
func (*StartTask) isControl()      {}
func (*StopTask) isControl()       {}
func (*CheckpointTask) isControl() {}
func (*ThrottleTask) isControl()   {}
func (*TaskAck) isControl()        {}
func (*TaskReport) isControl()     {}
func (*Inventory) isControl()      {}
func (*LeaseAck) isControl()       {}
func (*UsageReport) isControl()    {}
