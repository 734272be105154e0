// Package workload holds the types of jobs that consist of steps with many
// tasks, of the hosts that run them, and of the configuration that routes
// them. It contains no decisions and no encoding.
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
	HostName   string // name of the host's agent; stays the same across restarts
	Instance   string // id that a backend server chooses; see Host.StartedAtMS
)

// Resources is an amount of the resources of a host.
type Resources struct {
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether no resource of r exceeds the same resource of free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Step is a group of tasks of a job that have the same attributes.
type Step struct {
	Count               int
	Need                Resources     // resources of each task
	Estimate            time.Duration // estimated run time of a task
	After               []int         // indices of earlier steps that must be completed first
	Checkpointing       bool          // a later run can resume from a checkpoint
	Gang                bool          // all tasks run at the same time; not supported
	SameRack            bool          // stored; has no effect on the choice of hosts
	Label               string        // label that the host must have; empty: any host
	DataRack            string        // rack with the tasks' data, on which they run fastest; empty: any
	MaxPerHost          int           // 0: no limit
	AllowConcurrentRuns bool          // several runs of one task may run at the same time
	LongRunning         bool          // runs until the job is cancelled
	Image               string        // program that the tasks run
	TargetLatency       time.Duration // tail latency for the users of a long-running task; 0: none
	BestEffort          bool          // uses processor time that other tasks leave unused
	// MaxUnavailable is how many tasks may be unavailable at once through the
	// scheduler's actions. It is stored, and not enforced.
	MaxUnavailable int
}

// Charge returns the resources that a run of the step is charged with on its
// host. Best-effort tasks are not charged with processor time.
func (s *Step) Charge() Resources {
	r := s.Need
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

// Serves reports whether the step's tasks are serving tasks: long-running tasks
// with a target latency for their users.
func (s *Step) Serves() bool { return s.LongRunning && s.TargetLatency > 0 }

// Job is a submitted job with the attributes that its queue had when it was
// submitted.
type Job struct {
	ID          JobID
	Queue       QueueName
	Service     Service
	Priority    int // 0 is the highest
	MaxAttempts int // number of failed runs of one task after which the job fails; 0: no limit
	// A job should be completed within TargetSlowdown times its critical path,
	// by the estimates of its steps, plus TargetLatency.
	TargetSlowdown float64
	TargetLatency  time.Duration
	Specification  string
	Steps          []Step
	Repetitions    int   // 0: the steps run once
	FirstRunMS     int64 // Unix time in milliseconds
	IntervalMS     int64 // between repetitions
	// Epoch is the highest epoch of an owner that the entry knew when it accepted
	// the job; 0: none, or the entry's program did not record it. An owner with a
	// lower epoch has been replaced and does not start the job's tasks.
	Epoch uint64
}

// LongRunning reports whether the job has a step that runs until the job is
// cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Phase is the state of a job that is reported to callers.
type Phase uint8

// Phases of a job.
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether p is final: the phase no longer changes.
func (p Phase) Final() bool { return p >= Completed }

func (p Phase) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[p]
}

// TaskID names a task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int // number of the repetition of the job; 0 is the first
	Step       int
	Index      int
}

func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID is the inverse of TaskID.String.
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

// RunID identifies one run of a task. Later runs have higher numbers.
type RunID struct {
	Task   TaskID
	Number uint64
}

func (r RunID) String() string { return r.Task.String() + "#" + strconv.FormatUint(r.Number, 10) }

// HostState is the state of the backend server on a host.
type HostState uint8

// States of the backend server on a host.
const (
	HostUnavailable HostState = iota // no backend server has announced itself, or it has ended
	HostReady
	HostDraining
)

func (s HostState) String() string { return [...]string{"away", "ready", "draining"}[s] }

// Host describes a host and its backend server, as its agent knows them. An
// incarnation of the backend server is identified by Instance and StartedAtMS.
type Host struct {
	Name        HostName
	Instance    Instance
	StartedAtMS int64 // Unix time in milliseconds; a restarted backend server may keep its Instance
	Service     Service
	DataCentre  DataCentre
	State       HostState
	Remaining   time.Duration // while draining: minimum time until the backend server ends
	Capacity    Resources
	Labels      []string
	// Crashed means that the backend server is unavailable because it has ended
	// without having announced it.
	Crashed        bool
	AdmissionCheck bool // the backend server itself rejects runs that exceed its capacity
}

// HasLabel reports whether h has the label l.
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

// Reasons for the end of a run.
const (
	EndDone EndReason = iota
	EndFailed
	EndStopped
	EndLeaseExpired
	EndBroken // reported by the backend server as "broken"
	EndAlone  // reported by the backend server as "alone"
	EndLost   // the backend server ended or never started the run
)

func (e EndReason) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}[e]
}

// Queue holds the route of submitted jobs to a service, and the attributes that
// they take from the queue.
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

// ServiceConfig is the configuration of a service.
type ServiceConfig struct {
	Name           Service
	AdmissionCheck bool // its backend servers reject runs that exceed their capacity; informational
	PoweredOff     bool // its hosts are switched off; informational
}

// Config is one version of the operators' configuration.
type Config struct {
	Version      uint64
	Queues       []Queue
	Services     []ServiceConfig
	MaxBodyBytes int64 // of the request that submits a job
}

// Match returns the queue for host whose PathPrefix is the longest prefix of
// path.
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

// JobStatus is what a caller may see of a job.
type JobStatus struct {
	Phase   Phase
	Failure string // why the job has failed, if not by its failed runs
}

// Progress is the stored progress of a job of which a task has started.
type Progress struct {
	Phase     Phase
	Failure   string // why the job has failed, if not by its failed runs
	Done      []byte // one bit per task, in the order of the steps; 1: completed
	Attempts  []TaskAttempts
	EndedAtMS int64 // Unix time in milliseconds at which the phase became final; 0: it is not final
}

// TaskAttempts is the stored state of a task that has failed runs or a
// checkpoint.
type TaskAttempts struct {
	Step, Index int
	Failed      int      // failed runs
	LastFailed  uint64   // RunID.Number of the last failed run that Failed includes
	FailedRuns  []uint64 // ascending RunID.Number of the newest runs that Failed includes
	Checkpoint  string
	// Crashes counts the crashes of backend servers of which the task may be the
	// cause, CrashesAlone those of which no other task can be. CrashAge is the
	// greatest age of a run of the task at one of them.
	Crashes, CrashesAlone int
	CrashAge              time.Duration
}

// Owner is the stored owner of the jobs. Epoch increases with each change of
// owner, Sequence with each batch that the owner stores.
type Owner struct {
	Name     string // empty: the last owner has released the jobs
	Boot     uint64 // distinguishes the processes of an entry
	Epoch    uint64
	Sequence uint64
	// Unsettled means that an owner before this one may still have been active
	// when the row was written.
	Unsettled bool
	// Fenced means that this owner, and every owner before it that may still have
	// been active when the row was written, starts no task of a job whose Epoch is
	// higher than its own. The rows of former programs do not say so.
	Fenced bool
	// Entries are the names, in order and separated by spaces, of entries that this
	// owner, and every owner before it that may still be active, counts as missing while
	// they are not linked. It is empty if a former program wrote the row.
	Entries string
	// EndingLeases names hosts on which no owner extends leases before a later row omits
	// them, as FormatEndingLeases does.
	EndingLeases string
	// ActsFor is the longest time for which this owner, and every owner before it that
	// may still be active, acts after its last write to the row. It is 0 if one of them
	// is of a former program.
	ActsFor time.Duration
}
