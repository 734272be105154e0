package msg

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Member is an entry that agents and other entries connect to.
type Member struct {
	Name    string
	Address string
}

// PeerHello is the first message of either side on a link of the job
// scheduler.
type PeerHello struct {
	Member     Member
	Agent      bool // the sender is an agent; Member has no address
	Boot       uint64
	DataCentre workload.DataCentre
	Epoch      uint64 // highest epoch of an owner that the sender knows
	// RequestsConfig says that the sender answers ConfigRequest, and requests
	// configurations that are announced to it by their version.
	RequestsConfig bool
	// ProcessorShare is that of the host of an entry. It is 0 if it is not known
	// or the sender is an agent.
	ProcessorShare model.MilliCPU
	// LinkRate is that of the network connection of an entry's host, in bits per
	// second. It is 0 if it is not known or the sender is an agent.
	LinkRate int64
	Phases   PhaseMark // phases that the sender has; of an entry
	// ConfigChunks says that the sender, an entry, answers ConfigChunkRequest.
	ConfigChunks bool
	// FollowsHeartbeat says that the sender, an agent, sends its heartbeats at the
	// interval that the peer announces, and expects those of the peer at it.
	FollowsHeartbeat bool
	// EchoesHeartbeat says that the sender, an entry, returns the send times of
	// heartbeats in its own.
	EchoesHeartbeat bool
	// JoinsParts says that the sender joins the parts of messages that it may not apply
	// one by one.
	JoinsParts bool
	// InheritsRuns says that the sender, an entry, accepts RunsReleased.
	InheritsRuns bool
}

// Members lists the entries that the sender knows.
type Members struct{ Entries []Member }

// HostAnnounced reports the current state of an agent's host to an entry.
type HostAnnounced struct{ Host workload.Host }

// OwnerClaim announces the owner of the jobs and its epoch: the sender if Owner
// is empty, and otherwise the entry of that name. An agent answers a claim by
// the sender itself with HostInventory.
type OwnerClaim struct {
	Epoch uint64
	Owner string
}

// HostRuns are all runs that may go on at a host.
type HostRuns struct {
	Host workload.HostName
	Runs []workload.RunID
}

// RunsReleased tells the entries which runs the owner of an epoch knew when it released the
// jobs. A host that is not named may have others.
type RunsReleased struct {
	Epoch uint64
	Hosts []HostRuns
}

// RunStatus is the state of a run at an agent.
type RunStatus struct {
	Run             workload.RunID
	Checkpoint      string
	ProgressPercent int   // share of the task's work that is done
	Usage           int64 // of a serving task: tail latency in milliseconds; else processor use in thousandths of a core
	CPULimitPercent int   // share of its processor time that it may use; 100: no limit
	Unconfirmed     bool  // the backend server has not confirmed the start
}

// RunEnd reports the end of a run. Number increases with each end at one
// incarnation of a backend server.
type RunEnd struct {
	Number     uint64
	Run        workload.RunID
	Reason     workload.EndReason
	Checkpoint string
}

// HostInventory answers OwnerClaim with the state of the agent's host and all
// its runs. The backend server lists a limited number of ends in an answer, and the next
// ones after the first are acknowledged. While the agent has not seen the last ones
// MoreEnds is set: a run that the inventory does not list may have ended, and a complete
// inventory follows.
type HostInventory struct {
	Epoch   uint64
	Number  uint64 // of the inventory, rising across processes of the agent; 0: the agent does not number them
	Host    workload.Host
	ClockMS int64 // clock of the backend server when the message was sent
	Runs    []RunStatus
	Ended   []RunEnd

	MoreEnds bool
	More     bool // of a part: the next one has further runs and ends
}

// RunSize describes the resources of a run, for the agent that runs it.
type RunSize struct {
	Run           workload.RunID
	Charge        workload.Resources
	TargetLatency time.Duration // of a serving task; 0: none
	BestEffort    bool
	Image         string
	MilliCPU      int64 // declared in the job; Charge has none for best-effort tasks
}

// Interference is the measured effect of best-effort tasks of one image on
// serving tasks of another. Coefficient is the pressure on the serving tasks
// if the best-effort task had a whole host (policy/contention).
type Interference struct {
	ServingImage, BestEffortImage string
	Coefficient                   float64
}

// InventoryAccepted acknowledges HostInventory and grants a lease from the
// ClockMS of the inventory. The agent starts no runs before its newest
// inventory has been accepted.
type InventoryAccepted struct {
	Epoch   uint64
	Number  uint64 // of the inventory; 0: the owner does not know the number
	ClockMS int64
	Sizes   []RunSize // of the runs in the inventory that the owner keeps
	More    bool      // of a part: the next one has further sizes
}

// RunStart is the request to start one run.
type RunStart struct {
	Size          RunSize
	Specification string
	Checkpoint    string
}

// StartRuns asks an agent to start runs on one incarnation of its backend
// server.
type StartRuns struct {
	Epoch       uint64
	Instance    workload.Instance
	StartedAtMS int64
	Starts      []RunStart
}

// StopRuns asks an agent to stop runs.
type StopRuns struct {
	Epoch uint64
	Runs  []workload.RunID
}

// RunsChanged reports runs that started or ended at an agent. The runs in
// Refused did not start and never will, or are no longer at the backend server.
// Those in Unconfirmed may have started: the backend server did not answer.
type RunsChanged struct {
	Epoch       uint64
	Instance    workload.Instance
	StartedAtMS int64
	Started     []workload.RunID
	Refused     []workload.RunID
	Unconfirmed []workload.RunID
	Ended       []RunEnd
}

// RunsProgress reports the runs of a backend server. The owner answers with
// LeaseGrant.
type RunsProgress struct {
	Epoch       uint64
	Instance    workload.Instance
	StartedAtMS int64
	ClockMS     int64 // clock of the backend server when the message was sent
	Runs        []RunStatus
	More        bool // of a part: the next one has further runs
}

// LeaseGrant extends the lease of all runs on a backend server: it lasts for the
// agent's configured owner lease, counted from the ClockMS of RunsProgress.
type LeaseGrant struct {
	Epoch        uint64
	StartedAtMS  int64
	ClockMS      int64
	Interference []Interference // for the images that serve on the host; empty if it has no serving or no best-effort runs
}

// EndsAcknowledged tells an agent that the ends of runs up to LastNumber are
// stored.
type EndsAcknowledged struct {
	Epoch       uint64
	Instance    workload.Instance
	StartedAtMS int64
	LastNumber  uint64
}

// JobSubmitted forwards a job, which is already stored, to the owner. The epoch of
// the job is that of its row, or 0 if the sender does not know it.
type JobSubmitted struct{ Job workload.Job }

// JobCancelled forwards a cancellation, which is already stored, to the owner.
type JobCancelled struct{ ID workload.JobID }

// JobPhase is the phase of one job.
type JobPhase struct {
	ID    workload.JobID
	Queue workload.QueueName
	Phase workload.Phase
	// Failure says why the job has failed, if not by its failed runs.
	Failure string
	Tasks   int // of the job; 0: an owner of a former program does not tell
}

// PhaseMark says which changes of the jobs' phases an entry has applied: those
// of the owner with an epoch up to a number, which counts the owner's changes.
// The zero PhaseMark says nothing.
type PhaseMark struct {
	Epoch uint64
	UpTo  uint64
}

// JobPhases reports phases of jobs from the owner to the entries. If UpTo is not
// 0, the receiver has all changes of that epoch up to this number once it has
// applied the message.
type JobPhases struct {
	Epoch uint64
	UpTo  uint64
	Jobs  []JobPhase
}

// ConfigAnnounced sends the version of the operators' configuration in use from
// one entry to another. Raw is empty if the receiver can request it with
// ConfigRequest.
type ConfigAnnounced struct {
	Version uint64 // 0: none
	Raw     []byte // in the encoding of the store
	// Watches says that the sender watches the table service for the configuration
	// and that its newest call succeeded.
	Watches bool
}

// ConfigChunkRequest asks an entry for a chunk of a version of the operators'
// configuration. An entry that does not have the version any more answers with
// the first chunk of the version that it uses, if it is higher than Have.
type ConfigChunkRequest struct {
	Have    uint64 // version in use at the sender; 0: none
	Version uint64 // 0: the one in use at the receiver
	Index   int    // of the chunk, from 0
}

// ConfigChunk is one of the chunks of a version of the operators' configuration
// (package configchunk).
type ConfigChunk struct {
	Version      uint64
	Index, Count int
	Data         []byte
}

// StoreCall asks a peer to commit a transaction, because the sender cannot reach
// the table service.
type StoreCall struct {
	ID  uint64
	Txn table.Txn
}

// StoreResult answers a StoreCall.
type StoreResult struct {
	ID       uint64
	Outcome  table.Outcome
	Revision table.Revision
	Rows     []table.Row // after a conflict: the rows of the failed checks
}

func (*PeerHello) isControl()          {}
func (*Members) isControl()            {}
func (*HostAnnounced) isControl()      {}
func (*OwnerClaim) isControl()         {}
func (*HostInventory) isControl()      {}
func (*RunsReleased) isControl()       {}
func (*InventoryAccepted) isControl()  {}
func (*StartRuns) isControl()          {}
func (*StopRuns) isControl()           {}
func (*RunsChanged) isControl()        {}
func (*RunsProgress) isControl()       {}
func (*LeaseGrant) isControl()         {}
func (*EndsAcknowledged) isControl()   {}
func (*JobSubmitted) isControl()       {}
func (*JobCancelled) isControl()       {}
func (*JobPhases) isControl()          {}
func (*ConfigAnnounced) isControl()    {}
func (*ConfigChunkRequest) isControl() {}
func (*ConfigChunk) isControl()        {}
func (*StoreCall) isControl()          {}
func (*StoreResult) isControl()        {}
