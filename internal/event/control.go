package event

import "github.com/apex/log"

// Events of the controllers of cells: 300 to 399.
var (
	CellClaimed         = define(300, log.InfoLevel, "cell-claimed", "this entry became the owner of a cell", "nothing")
	CellHolding         = define(301, log.WarnLevel, "cell-holding", "the owner of a cell cannot write its heartbeat; it places no jobs and keeps its running tasks", "check the table service")
	CellResumed         = define(302, log.InfoLevel, "cell-resumed", "the owner of a cell writes its heartbeat again", "nothing")
	CellLost            = define(303, log.WarnLevel, "cell-lost", "this entry is no longer the owner of a cell", "nothing if another entry has claimed it")
	AttemptLost         = define(304, log.WarnLevel, "attempt-lost", "the lease of a task attempt has certainly expired; the job is placed again", "check the worker and its agent")
	JobParked           = define(305, log.WarnLevel, "job-parked", "a job failed on several healthy workers, or too often, and is parked", "see the job's reason")
	ControlPaused       = define(306, log.WarnLevel, "control-paused", "the process of a cell's owner was paused; it places no jobs until its heartbeat is written", "look for an overloaded or suspended host")
	ControlStoreError   = define(307, log.WarnLevel, "control-store-error", "an operation on the table service failed and is retried", "check the table service")
	WorkerHealth        = define(309, log.InfoLevel, "worker-health", "the state of a worker changed", "look at the worker if it is quarantined")
	Preempted           = define(310, log.InfoLevel, "preempted", "tasks are evicted for an urgent job", "nothing; raise capacity or quotas if it is frequent")
	TaskEvicted         = define(311, log.InfoLevel, "task-evicted", "a task is evicted because a service on its worker misses its target although tasks are throttled", "raise the target, or separate the service and the task with a must-stay-apart selector, if it is frequent")
	ControlRowMalformed = define(308, log.ErrorLevel, "control-row-malformed", "a stored row cannot be decoded and is ignored", "correct or delete the row")
)
