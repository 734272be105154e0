// Package workload holds the types of jobs that consist of steps with many
// tasks, of the hosts that run them, and of the configuration that routes
// them. It decides nothing and knows no encoding.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Names that the types of this package use as keys.
type (
	JobID      string
	QueueName  string
	Service    string
	DataCentre string
	HostName   string // the agent's name; stays with the host across restarts
	Instance   string // one life of a backend server
)

// Resources is an amount of room on a host.
type Resources struct {
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Step is a group of tasks of a job.
type Step struct {
	Count               int
	Need                Resources // of each task
	Estimate            time.Duration
	After               []int // earlier steps that must be done first
	Checkpointing       bool
	Gang                bool
	SameRack            bool
	Label               string // the host must have it; empty: any host
	DataRack            string // rack on which the tasks run fastest; empty: any
	MaxPerHost          int    // 0: no bound
	AllowConcurrentRuns bool   // several runs of a task may overlap
	LongRunning         bool   // runs until the job is cancelled
	Image               string
	TargetLatency       time.Duration // of the users of a long-running task; 0: none
	BestEffort          bool          // uses processor time that other tasks leave unused
	MaxUnavailable      int           // tasks that may be away at once by the scheduler's doing
}

// Charge returns the room that a run of the step takes on a host.
func (s *Step) Charge() Resources {
	r := s.Need
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

// Serves reports whether the step's tasks serve users of their own.
func (s *Step) Serves() bool { return s.LongRunning && s.TargetLatency > 0 }

// Job is a submitted job with the attributes of its queue at that time.
type Job struct {
	ID             JobID
	Queue          QueueName
	Service        Service
	Priority       int // 0 comes first
	MaxAttempts    int // failed runs of a task that fail the job
	TargetSlowdown float64
	TargetLatency  time.Duration
	Specification  string
	Steps          []Step
	Repetitions    int   // 0: the steps run once
	FirstRunMS     int64 // Unix time in milliseconds
	IntervalMS     int64
}

// LongRunning reports whether the job has a step that never ends by itself.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Phase is the state of a job as callers see it.
type Phase uint8

// Phases of a job.
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// Over reports whether p is final.
func (p Phase) Final() bool { return p >= Completed }

func (p Phase) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[p]
}

// TaskID names a task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID reads what TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q does not have four parts", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %q is not a number", s, p)
		}
		n[i] = v
	}
	return TaskID{Job: JobID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// RunID names one start of a task. Numbers of later starts are higher.
type RunID struct {
	Task   TaskID
	Number uint64
}

func (r RunID) String() string { return r.Task.String() + "#" + strconv.FormatUint(r.Number, 10) }

// HostState is the state of a backend server as it announces itself.
type HostState uint8

// States of a backend server.
const (
	HostUnavailable HostState = iota // none is announced, or it has left
	HostReady
	HostDraining
)

func (s HostState) String() string { return [...]string{"away", "ready", "draining"}[s] }

// Host is what an agent knows of its backend server.
type Host struct {
	Name           HostName
	Instance       Instance
	StartedAtMS    int64 // Unix milliseconds; tells apart lives with one Instance
	Service        Service
	DataCentre     DataCentre
	State          HostState
	Remaining      time.Duration // while draining: the least time that is left
	Capacity       Resources
	Labels         []string
	AdmissionCheck bool // the backend server itself rejects what does not fit
}

// HasLabel reports whether l is one of h's labels.
func (h *Host) HasLabel(l string) bool {
	for _, have := range h.Labels {
		if have == l {
			return true
		}
	}
	return false
}

// EndReason says how a run ended.
type EndReason uint8

// Reasons of the end of a run.
const (
	EndDone EndReason = iota
	EndFailed
	EndStopped
	EndLeaseExpired
	EndBroken
	EndAlone
	EndLost // the backend server ended or never started the run
)

func (e EndReason) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}[e]
}

// Queue routes submitted jobs to a service.
type Queue struct {
	Name           QueueName
	Host           string
	PathPrefix     string
	Service        Service
	Priority       int
	MaxAttempts    int
	TargetSlowdown float64
	TargetLatency  time.Duration
	Timeout        time.Duration
}

// ServiceConfig is what the configuration says of a service.
type ServiceConfig struct {
	Name           Service
	AdmissionCheck bool // its backend servers reject what does not fit
	PoweredOff     bool // its hosts are switched off
}

// Config is one version of the operators' configuration.
type Config struct {
	Version      uint64
	Queues       []Queue
	Services     []ServiceConfig
	MaxBodyBytes int64 // bytes of a submitted job
}

// Match returns the queue with the host and the longest prefix of path.
func (c *Config) Match(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best, best != nil
}

// Progress is what is stored of a job that has begun.
type Progress struct {
	Phase     Phase
	Done      []byte // one bit for each task, in the order of the steps
	Attempts  []TaskAttempts
	EndedAtMS int64 // Unix time in milliseconds at which the phase became final; 0 before
}

// TaskAttempts is what is stored of a task with failed runs or a checkpoint.
type TaskAttempts struct {
	Step, Index int
	Failed      int    // failed runs
	LastFailed  uint64 // number of the last failed run that is counted
	Checkpoint  string
}

// Owner is the stored owner of the jobs. Epoch rises with each change of
// owner, Sequence with each batch that the owner stores.
type Owner struct {
	Name     string // empty: it was given up
	Boot     uint64
	Epoch    uint64
	Sequence uint64
}
