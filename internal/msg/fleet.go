package msg

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Member is an entry that agents and other entries may dial.
type Member struct {
	Name    string
	Address string
}

// PeerHello is the first message of either side on a link of the job
// scheduler.
type PeerHello struct {
	Member     Member
	Agent      bool // an agent sends it; its Member has no address
	Boot       uint64
	DataCentre workload.DataCentre
	Epoch      uint64 // highest epoch of an owner that the sender knows
}

// Members lists the entries that the sender knows.
type Members struct{ Entries []Member }

// HostAnnounced tells an entry the newest state of an agent's backend server.
type HostAnnounced struct{ Host workload.Host }

// OwnerClaim says that the sender, or Owner, owns the jobs with this epoch.
// An agent that is claimed by the sender answers with a HostInventory.
type OwnerClaim struct {
	Epoch uint64
	Owner string
}

// RunStatus is a run that an agent's backend server lists.
type RunStatus struct {
	Run             workload.RunID
	Checkpoint      string
	ProgressPercent int   // of the task's work
	Usage           int64 // tail latency in milliseconds of a task that serves, else processor use in thousandths of a core
	CPULimitPercent int   // percent at which it may work
	Unconfirmed     bool  // its start has no answer yet
}

// RunEnd is the end of a run. Number rises within one life of a backend server.
type RunEnd struct {
	Number     uint64
	Run        workload.RunID
	Reason     workload.EndReason
	Checkpoint string
}

// HostInventory answers an OwnerClaim with everything that the agent knows.
type HostInventory struct {
	Epoch   uint64
	Host    workload.Host
	ClockMS int64 // of the backend server when the message was sent
	Runs    []RunStatus
	Ended   []RunEnd
}

// RunSize gives an agent the size of a run that it adopted.
type RunSize struct {
	Run           workload.RunID
	Charge        workload.Resources
	TargetLatency time.Duration // of a task that serves
	BestEffort    bool
	Image         string
	MilliCPU      int64 // declared thousandths of a core, of fillers too
}

// Harm is what a filler of one image is known to do to serving tasks of
// another: the pressure on them if it had a whole host (policy/contention).
type Interference struct {
	ServingImage, BestEffortImage string // images
	Coefficient                   float64
}

// InventoryAccepted tells an agent that the owner has its inventory, and grants
// the lease from ClockMS of the inventory. The agent starts nothing before it.
type InventoryAccepted struct {
	Epoch   uint64
	ClockMS int64
	Sizes   []RunSize
}

// RunStart orders a start.
type RunStart struct {
	Size          RunSize
	Specification string
	Checkpoint    string
}

// StartRuns orders starts on one life of a backend server.
type StartRuns struct {
	Epoch       uint64
	Instance    workload.Instance
	StartedAtMS int64
	Starts      []RunStart
}

// StopRuns orders stops.
type StopRuns struct {
	Epoch uint64
	Runs  []workload.RunID
}

// RunsChanged reports runs that started or ended at an agent, and starts that
// did not happen and never will.
type RunsChanged struct {
	Epoch       uint64
	Instance    workload.Instance
	StartedAtMS int64
	Started     []workload.RunID
	Refused     []workload.RunID
	Ended       []RunEnd
}

// RunsProgress reports the runs of a backend server and asks for a lease.
type RunsProgress struct {
	Epoch       uint64
	Instance    workload.Instance
	StartedAtMS int64
	ClockMS     int64 // of the backend server when the message was sent
	Runs        []RunStatus
}

// LeaseGrant extends the lease of everything on a backend server: it lasts for
// the longest lease from ClockMS of the request.
type LeaseGrant struct {
	Epoch        uint64
	StartedAtMS  int64
	ClockMS      int64
	Interference []Interference
}

// EndsAcknowledged acknowledges the ends up to Upto. They are stored.
type EndsAcknowledged struct {
	Epoch       uint64
	Instance    workload.Instance
	StartedAtMS int64
	LastNumber  uint64
}

// JobSubmitted passes a stored job to the owner.
type JobSubmitted struct{ Job workload.Job }

// JobCancelled passes a stored cancellation to the owner.
type JobCancelled struct{ ID workload.JobID }

// JobPhase is the phase of one job.
type JobPhase struct {
	ID    workload.JobID
	Queue workload.QueueName
	Phase workload.Phase
}

// JobPhases tells the entries what the owner knows. With All, jobs that are
// not listed are unknown to the owner.
type JobPhases struct {
	Epoch uint64
	Full  bool
	Jobs  []JobPhase
}

// ConfigAnnounced passes the operators' configuration between entries.
type ConfigAnnounced struct {
	Version uint64
	Raw     []byte // as it lies in the store
}

// StoreCall asks a peer for a transaction at the table service, which the
// sender cannot reach.
type StoreCall struct {
	ID  uint64
	Txn table.Txn
}

// StoreResult answers a StoreCall.
type StoreResult struct {
	ID       uint64
	Outcome  table.Outcome
	Revision table.Revision
	Rows     []table.Row // of a conflict: the rows of the failed checks
}

func (*PeerHello) isControl()         {}
func (*Members) isControl()           {}
func (*HostAnnounced) isControl()     {}
func (*OwnerClaim) isControl()        {}
func (*HostInventory) isControl()     {}
func (*InventoryAccepted) isControl() {}
func (*StartRuns) isControl()         {}
func (*StopRuns) isControl()          {}
func (*RunsChanged) isControl()       {}
func (*RunsProgress) isControl()      {}
func (*LeaseGrant) isControl()        {}
func (*EndsAcknowledged) isControl()  {}
func (*JobSubmitted) isControl()      {}
func (*JobCancelled) isControl()      {}
func (*JobPhases) isControl()         {}
func (*ConfigAnnounced) isControl()   {}
func (*StoreCall) isControl()         {}
func (*StoreResult) isControl()       {}
