package control

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Event is an input of Core.
type Event interface{ isEvent() }

// Events of Core. Those that answer an effect come once for each effect.
type (
	// Tick only runs the timers that are due.
	Tick struct{}
	// Paused reports that the process was paused.
	Paused struct{}
	// PeerUp reports a link to the agent of a worker.
	PeerUp struct {
		Worker model.Worker
		Boot   model.Boot
	}
	// PeerDown reports that the link is lost.
	PeerDown struct{ Worker model.WorkerID }
	// Received is a message of an agent.
	Received struct {
		Worker model.WorkerID
		Msg    msg.Control
	}
	// Configured replaces the configuration that placement uses.
	Configured struct{ Config Configuration }
	// EvictRequested asks to evict a running job.
	EvictRequested struct {
		Job    model.JobID
		Reason string
	}
	// ScanRequested asks to read the job rows at once.
	ScanRequested struct{}

	// Observed answers Observe.
	Observed struct {
		Err              error
		Epoch            rows.CellEpoch
		EpochVersion     storage.Revision // 0: the cell has never had an owner
		HeartbeatVersion storage.Revision
	}
	// Claimed answers Claim. Without Won, another entry was faster.
	Claimed struct {
		Won     bool
		Version storage.Revision // of the epoch row
	}
	// HeartbeatWritten answers WriteHeartbeat.
	HeartbeatWritten struct {
		Fence  storage.Revision // as in the effect
		Sent   time.Duration
		OK     bool
		Fenced bool
	}
	// Scanned answers Scan.
	Scanned struct {
		Fence   storage.Revision // as in the effect
		Err     error
		Rows    []JobRow
		Through storage.Revision
	}
	// Committed answers Commit: every write took effect.
	Committed struct {
		Fence    storage.Revision // as in the effect
		Revision storage.Revision
	}
	// Rejected answers Commit: no write took effect. Rows are the present
	// rows of the failed keys.
	Rejected struct {
		Fence  storage.Revision // as in the effect
		Fenced bool
		Rows   []JobRow
	}
)

// JobRow is a row of a job with its version.
type JobRow struct {
	ID      model.JobID
	Row     model.JobRow
	Version storage.Revision
	Deleted bool
}

// Configuration is what placement uses of the operators' configuration.
// Labels of an item are added to those of its jobs and workers.
type Configuration struct {
	Selectors []place.NamedSelector
	Quotas    map[model.Team]model.Resources
	Teams     map[model.Team]model.Labels
	Classes   map[model.Class]model.Labels
	Jobs      map[model.JobID]model.Labels
	Workers   map[model.WorkerID]model.Labels
	Services  map[model.Service]model.Labels
	Reserved  map[model.Service]model.Resources // kept for a backend server on its worker
}

// Effect is an output of Core.
type Effect interface{ isEffect() }

// Effects of Core. At most one of each of Observe, Claim, WriteHeartbeat,
// Scan and Commit is unanswered.
type (
	Send struct {
		Worker model.WorkerID
		Msg    msg.Control
	}
	// Observe reads the epoch and heartbeat rows of the cell.
	Observe struct{}
	// Claim writes the epoch row if it still has the version.
	Claim struct {
		Epoch   rows.CellEpoch
		Version storage.Revision
	}
	// WriteHeartbeat writes the heartbeat row, fenced by the version of the epoch row.
	WriteHeartbeat struct {
		Heartbeat rows.CellHeartbeat
		Fence     storage.Revision
		Sent      time.Duration
	}
	// Scan reads the job rows that changed after a revision.
	Scan struct {
		Fence storage.Revision // version of the epoch row, to match the answer
		After storage.Revision
	}
	// Commit writes job rows in one transaction, fenced by the version of the
	// epoch row. It is repeated until its outcome is known.
	Commit struct {
		Fence  storage.Revision
		Writes []JobRow // Version is the one expected
	}
	Log struct {
		Event  event.Event
		Fields map[string]any
	}
)

func (Tick) isEvent()             {}
func (Paused) isEvent()           {}
func (PeerUp) isEvent()           {}
func (PeerDown) isEvent()         {}
func (Received) isEvent()         {}
func (Configured) isEvent()       {}
func (EvictRequested) isEvent()   {}
func (ScanRequested) isEvent()    {}
func (Observed) isEvent()         {}
func (Claimed) isEvent()          {}
func (HeartbeatWritten) isEvent() {}
func (Scanned) isEvent()          {}
func (Committed) isEvent()        {}
func (Rejected) isEvent()         {}

func (Send) isEffect()           {}
func (Observe) isEffect()        {}
func (Claim) isEffect()          {}
func (WriteHeartbeat) isEffect() {}
func (Scan) isEffect()           {}
func (Commit) isEffect()         {}
func (Log) isEffect()            {}
