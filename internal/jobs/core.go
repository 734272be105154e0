// Package jobs holds the decisions of the owner of the jobs: which task starts
// on which host, how the end of a run changes its job, and which rows are
// stored. It does no input or output. Its caller passes events in, and collects
// messages to agents, phases for callers, rows to store and log lines. The
// states of jobs, runs and hosts are those of charts.
package jobs

import (
	"container/list"
	"time"

	"github.com/bambooscale/bambooscale/internal/duetime"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/contention"
	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// LeaseDuration is how long the runs of a host may go on after the owner's last
// grant. After LeaseExpiry they have certainly ended, also if the host's clock
// is 2% slow.
const (
	LeaseDuration = 6 * time.Second
	LeaseExpiry   = LeaseDuration + LeaseDuration/50 + 300*time.Millisecond
)

// HostMessage is a message for the agent of a host.
type HostMessage struct {
	Host    workload.HostName
	Message msg.Control
}

// Decision is a decision that the caller logs and counts. Fields that do not
// apply to its kind are zero.
type Decision struct {
	Kind   DecisionKind
	Job    workload.JobID
	Run    workload.RunID
	Host   workload.HostName
	Detail string
	Reason string        // why a job has failed, if not by its failed runs
	Age    time.Duration // of the job, run, waiting task or lease grant that it is about
	Cause  LossCause     // of a run that ended as lost

	Unlinked time.Duration // how long the host has been unlinked; 0: it is linked
	Runs     int           // number of runs on the host
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	JobAdmitted DecisionKind = iota // the owner started to manage the job
	JobEnded
	RunOrdered
	RunEnded
	RunStopped
	HostChanged  // Detail is the state of its backend server, or what changed
	TaskUnplaced // no host can run the task at present
	// TaskSuspected: whether the task may be the cause of crashes of backend
	// servers changed. Detail has the state and the counts.
	TaskSuspected
	JobUnstorable // the store refuses the progress of the job
	// ContentRefused: the store refuses a batch that has nothing but the content in Detail,
	// and the owner's row. It is tried again.
	ContentRefused
	// LeasesExpired: the runs of a host that is unlinked, or sends no inventory, were given
	// up because their leases have expired. Age is the time since the last grant. Detail says whether this owner
	// granted it, or it is the latest that former owners may have granted.
	LeasesExpired
	// HostWaits: the owner waits for long for an agent. Detail says for what, Age for how
	// long, Runs is the number of runs on the host, and Reason its state.
	HostWaits
)

// Core is the state of the owner of the jobs. It is not safe for concurrent use.
// Times are durations on the caller's monotonic clock unless stated otherwise.
type Core struct {
	epoch  uint64
	now    time.Duration
	wallMS int64 // Unix milliseconds, for rows

	hosts          map[workload.HostName]*host
	jobs           map[workload.JobID]*job
	runStates      RunStates
	cancelled      map[workload.JobID]struct{} // jobs that were cancelled and are not known yet
	early          map[workload.RunID]earlyRun // of jobs that are not known yet
	heldEnds       map[*task][]heldEnd         // ends that are not acknowledged yet
	due            duetime.Queue[timed]
	waiting        waiting       // tasks that may start
	suspects       suspects      // tasks that may start apart from others
	nextSuspect    *task         // with which the next pass begins, if the last one left it out
	reserved       []*host       // for isolated tasks that wait
	roomHosts      []*host       // kept free for overdue long-running tasks
	roomSearchedAt time.Duration // when hosts to keep free were searched last
	roomCursor     int           // of the first long-running task for which a host is searched next
	overdueFirst   bool          // the next pass places overdue tasks first
	planNeeded     bool          // something changed that may let a task start
	pass           PassStats     // of the last planning pass
	viewLimit      int           // views of the pass at which placements end
	orders         orderRate

	hostsByName  []*host    // ordered by name, so that equal inputs give equal plans
	improved     *list.List // of *host, the last improved first
	improvements uint64     // number of the last improvement of a host

	throttled       map[*run]struct{} // throttled runs that may move
	movesDue        bool              // the next pass looks for moves
	movesExaminedAt time.Duration

	contention           *contention.Model
	interferenceStoredAt time.Duration // when the coefficients were last put into a batch

	hostList             hostList
	dirty                map[*job]struct{} // jobs whose row has to be written
	round                storeRound
	unstoredEnds         map[*host]struct{} // hosts with ends that may be acknowledged after a batch
	expired              []workload.JobID   // dropped jobs whose rows are to be deleted
	removals             []workload.JobID   // jobs whose progress rows are to be deleted
	batchJobs            int                // most jobs in a batch
	refusal              refusal
	partRemovals         []PartRow // rows of attempts to be deleted, before those of their jobs
	expiredParts         map[workload.JobID]int
	dropped              map[workload.JobID]time.Duration // dropped jobs that a load may still read, and when their rows were deleted
	pendingBatch         *Batch                           // the batch that is being written, or nil
	recoveryDeadline     time.Duration                    // when the recovery ends at the latest; 0: no recovery
	formerOwners         FormerOwners                     // of Recover
	formerOwnersActUntil time.Duration                    // of FormerOwnersActUntil
	leasesBarred         bool                             // of PermitLeases
	notReplacedUntil     time.Duration                    // of NotReplacedUntil
	confirmAfter         time.Duration                    // newest end of leases that certainlyPassed was asked for
	storedJobsReadAt     time.Duration                    // of StoredJobsRead
	ending               endingLeases

	unsent       map[*host]struct{} // hosts with queued requests for their agents
	messages     []HostMessage
	phases       []msg.JobPhase
	phaseChanges uint64 // number of the newest change of a visible phase
	decisions    []Decision
	visits       int // hosts, runs, jobs and steps that loops have examined; for the tests of the cost
	pairVisits   int // pairs of images whose coefficients were read; for the tests of the cost
}

// FormerOwners says which tasks the former owners may still start.
type FormerOwners uint8

// Kinds of former owners.
const (
	// FormerOwnersActive may start tasks of any job until they learn of this
	// owner.
	FormerOwnersActive FormerOwners = iota
	// FormerOwnersFenced are like FormerOwnersActive, but start no task of a job
	// whose Epoch is higher than their own.
	FormerOwnersFenced
	// FormerOwnersEnded start no tasks.
	FormerOwnersEnded
)

// New returns the core of an owner that has just claimed the jobs with an epoch.
func New(epoch uint64, now time.Duration) *Core {
	c := &Core{
		epoch: epoch, now: now, notReplacedUntil: neverReplaced, storedJobsReadAt: storedJobsRead, hosts: map[workload.HostName]*host{}, jobs: map[workload.JobID]*job{},
		cancelled: map[workload.JobID]struct{}{}, early: map[workload.RunID]earlyRun{}, heldEnds: map[*task][]heldEnd{}, expiredParts: map[workload.JobID]int{}, dropped: map[workload.JobID]time.Duration{}, batchJobs: maxBatchRows, improved: list.New(), throttled: map[*run]struct{}{},
		contention: contention.NewModel(), hostList: hostList{stored: map[workload.HostName]bool{}}, ending: newEndingLeases(), dirty: map[*job]struct{}{},
		unstoredEnds: map[*host]struct{}{}, unsent: map[*host]struct{}{}, waiting: waiting{groups: map[requirement]*group{}},
	}
	c.round.jobs = map[*job]struct{}{}
	c.refusal = refusal{core: c, state: refusalChart.Initial()}
	return c
}

// Epoch returns the owner's epoch.
func (c *Core) Epoch() uint64 { return c.epoch }

// Advance sets the time. The caller calls it before each event.
func (c *Core) Advance(now time.Duration, wallMS int64) { c.now, c.wallMS = now, wallMS }

// Messages returns the messages for agents since the last call.
func (c *Core) Messages() []HostMessage {
	out := c.messages
	c.messages = nil
	return out
}

// Decisions returns the decisions since the last call.
func (c *Core) Decisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}

func (c *Core) send(h *host, m msg.Control) {
	c.messages = append(c.messages, HostMessage{h.info.Name, m})
}

func (c *Core) addDecision(d Decision) { c.decisions = append(c.decisions, d) }

// tickInterval is the interval at which timeouts are checked.
const tickInterval = 100 * time.Millisecond

// NextTick returns the time at which Tick should be called next.
func (c *Core) NextTick() time.Duration { return c.now + tickInterval }

// Tick applies the timeouts that have expired.
func (c *Core) Tick() {
	c.expireDue()
	c.contention.DropIdleGroups(c.now)
	c.endRecoveryInTime()
	c.refusal.tick()
	if c.orders.refill(c.now) {
		c.planNeeded = true
	}
	c.scheduleTimedPlans()
}

// scheduleTimedPlans makes the next pass look at what changes with time: the
// speed that a waiting best-effort task accepts, and runs that are throttled for
// long. Once every waiting best-effort task accepts any speed, time changes nothing
// for it.
func (c *Core) scheduleTimedPlans() {
	if len(c.throttled) > 0 && c.now-c.movesExaminedAt >= minMoveInterval {
		c.movesDue, c.planNeeded = true, true
	}
	if len(c.reserved) > 0 || c.waiting.lastingTasks > 0 || len(c.roomHosts) > 0 {
		c.planNeeded = true
	}
	if c.waiting.speedMatters {
		c.waiting.speedMatters = c.now-c.waiting.bestEffortReadyAt < hostselect.MaxWait
		c.planNeeded = true
	}
}

// expireDue applies the timeouts that have expired. A timeout that is set again to
// a time that has passed is left to the next tick.
func (c *Core) expireDue() {
	for range c.due.Len() {
		item, ok := c.due.Next(c.now)
		if !ok {
			return
		}
		c.visits++
		item.expire()
	}
}

// timed is an item with a timeout: a host, a run, a job or a cancellation.
type timed interface {
	// expire applies the timeout.
	expire()
}

// cancellation identifies a cancellation that arrived before its job.
type cancellation struct {
	core *Core
	job  workload.JobID
}

func (c cancellation) expire() { delete(c.core.cancelled, c.job) }

// cancellationRetention is how long a cancellation is kept that arrived before
// its job.
const cancellationRetention = time.Minute
