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

// Events of Core. An event that answers an effect occurs once for each effect.
type (
	// Tick runs the timers that are due and does nothing else.
	Tick struct{}
	// Paused reports that the process was paused.
	Paused struct{}
	// PeerUp reports a new link to the agent of a worker.
	PeerUp struct {
		Worker model.Worker
		Boot   model.Boot
	}
	// PeerDown reports that the link is lost.
	PeerDown struct{ Worker model.WorkerID }
	// Received carries a message from an agent.
	Received struct {
		Worker model.WorkerID
		Msg    msg.Control
	}
	// Configured replaces the configuration that placement uses.
	Configured struct{ Config Configuration }
	// EvictRequested requests the eviction of a job that has a task.
	EvictRequested struct {
		Job    model.JobID
		Reason string
	}
	// ScanRequested requests an immediate scan of the job rows.
	ScanRequested struct{}

	// Observed answers Observe.
	Observed struct {
		Err              error
		Epoch            rows.CellEpoch
		EpochVersion     storage.Revision // 0: the cell has never had an owner
		HeartbeatVersion storage.Revision
	}
	// Claimed answers Claim. Won is false if the epoch row had changed.
	Claimed struct {
		Won     bool
		Version storage.Revision // of the epoch row
	}
	// HeartbeatWritten answers WriteHeartbeat. OK is false if the write failed
	// or its outcome is unknown.
	HeartbeatWritten struct {
		Fence  storage.Revision // as in the effect
		Sent   time.Duration    // as in the effect
		OK     bool
		Fenced bool // the epoch row had changed
	}
	// Scanned answers Scan.
	Scanned struct {
		Fence   storage.Revision // as in the effect
		Err     error
		Rows    []JobRow
		Through storage.Revision // newest revision that the scan covered
	}
	// Committed answers Commit: every write took effect.
	Committed struct {
		Fence    storage.Revision // as in the effect
		Revision storage.Revision
	}
	// Rejected answers Commit: no write took effect. Rows are the current
	// rows of the failed keys.
	Rejected struct {
		Fence  storage.Revision // as in the effect
		Fenced bool             // the epoch row had changed
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

// Configuration is the part of the operators' configuration that placement
// uses. The labels of a team, class, job or worker are added to the labels of
// its jobs or of the worker.
type Configuration struct {
	Selectors []place.NamedSelector
	Quotas    map[model.Team]model.Resources
	Teams     map[model.Team]model.Labels
	Classes   map[model.Class]model.Labels
	Jobs      map[model.JobID]model.Labels
	Workers   map[model.WorkerID]model.Labels
	Services  map[model.Service]model.Labels
	Reserved  map[model.Service]model.Resources // capacity kept for a backend server on its worker
}

// Effect is an output of Core.
type Effect interface{ isEffect() }

// Effects of Core. At most one of each of Observe, Claim, WriteHeartbeat,
// Scan and Commit is unanswered.
type (
	// Send sends a message to the agent of a worker.
	Send struct {
		Worker model.WorkerID
		Msg    msg.Control
	}
	// Observe reads the epoch and heartbeat rows of the cell.
	Observe struct{}
	// Claim writes the epoch row if its version is still Version.
	Claim struct {
		Epoch   rows.CellEpoch
		Version storage.Revision
	}
	// WriteHeartbeat writes the heartbeat row, fenced by the version of the
	// epoch row.
	WriteHeartbeat struct {
		Heartbeat rows.CellHeartbeat
		Fence     storage.Revision
		Sent      time.Duration // time of the step; the answer repeats it
	}
	// Scan reads the job rows that changed after the revision After.
	Scan struct {
		Fence storage.Revision // version of the epoch row, to match the answer
		After storage.Revision
	}
	// Commit writes job rows in one transaction, fenced by the version of the
	// epoch row. The transaction is repeated until its outcome is known.
	Commit struct {
		Fence  storage.Revision
		Writes []JobRow // Version is the expected version; 0: no row
	}
	// Log writes a log entry.
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
