package model

import "time"

// ServiceStatus is the status of a service at one entry.
type ServiceStatus struct {
	Service  Service         `json:"service"`
	Queued   int             `json:"queued"`
	Running  int             `json:"running"`
	Credits  int             `json:"credits"` // idle
	Refused  int64           `json:"refused"` // since the entry started
	Backends []BackendStatus `json:"backends"`
	Classes  []ClassStatus   `json:"classes,omitempty"`
	Recent   []RecentStatus  `json:"recent,omitempty"`
}

// RecentStatus summarises the responses of one entry to callers of a class and
// tenant in the last 15 to 30 s.
type RecentStatus struct {
	Class    Class         `json:"class"`
	Tenant   Tenant        `json:"tenant"`
	Requests int64         `json:"requests"`
	Refused  int64         `json:"refused"`
	P50      time.Duration `json:"p50Ns"`
	P99      time.Duration `json:"p99Ns"`
	P999     time.Duration `json:"p999Ns"`
}

// ClassStatus holds the measurements of one entry for a class of requests.
type ClassStatus struct {
	Class  Class         `json:"class"`
	Tenant Tenant        `json:"tenant,omitempty"`
	Queued int           `json:"queued"`
	Long   bool          `json:"long"`
	P50    time.Duration `json:"p50Ns"`
	P99    time.Duration `json:"p99Ns"`
	P999   time.Duration `json:"p999Ns"`
}

// BackendStatus is the status of a backend server at one entry.
type BackendStatus struct {
	Backend    BackendID  `json:"backend"`
	Worker     WorkerID   `json:"worker"`
	DataCentre DataCentre `json:"dataCentre"`
	State      string     `json:"state"` // state name of charts/backend.scxml
	Slots      int        `json:"slots"`
	Credits    int        `json:"credits"` // idle at this entry
	Running    int        `json:"running"` // sent by this entry
}

// CellStatus is the status of a cell, reported by its controller or a standby.
type CellStatus struct {
	Cell    Cell           `json:"cell"`
	State   string         `json:"state"` // state name of charts/cell.scxml
	Epoch   Epoch          `json:"epoch"`
	Owner   EntryID        `json:"owner"`
	Phases  map[Phase]int  `json:"phases,omitempty"` // number of jobs by phase
	Workers []WorkerStatus `json:"workers,omitempty"`
	// Evictions since the controller claimed the cell, in descending order of
	// Count.
	Evictions []EvictionStatus `json:"evictions,omitempty"`
}

// EvictionStatus counts evictions of a team's jobs of a class.
type EvictionStatus struct {
	Team  Team  `json:"team"`
	Class Class `json:"class"`
	Count int   `json:"count"`
}

// WorkerStatus is the status of a worker at its controller.
type WorkerStatus struct {
	Worker   WorkerID  `json:"worker"`
	State    string    `json:"state"` // state name of charts/worker.scxml
	Reason   string    `json:"reason,omitempty"`
	Capacity Resources `json:"capacity"`
	Charged  Resources `json:"charged"`
	Tasks    int       `json:"tasks"`
}

// AppliedVersion is the configuration version in use at a daemon.
type AppliedVersion struct {
	Daemon  string        `json:"daemon"`
	Version ConfigVersion `json:"version"`
}
