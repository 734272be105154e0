package event

import "github.com/apex/log"

// Events of agents about task attempts: 400 to 499.
var (
	TaskEpochAdopted = define(400, log.InfoLevel, "task-epoch-adopted", "the agent adopted a new owner of its cell", "nothing")
	TaskStaleCommand = define(401, log.WarnLevel, "task-stale-command", "a command of an owner that has been replaced was refused", "nothing; frequent ones point to a partitioned entry")
	TaskLeaseExpired = define(402, log.WarnLevel, "task-lease-expired", "the lease of task attempts expired; they are stopped", "check the links between the agent and the cell's owner")
	TaskAdopted      = define(403, log.InfoLevel, "task-adopted", "a restarted agent found a running task on its worker", "nothing")
	TaskWorkerError  = define(404, log.WarnLevel, "task-worker-error", "a call to the worker failed", "check the worker on this host")
	TaskWorkerSilent = define(406, log.WarnLevel, "task-worker-silent", "the worker has answered nothing for so long that its tasks have ended; their attempts are given up", "check the worker on this host")
	TaskAgentPaused  = define(405, log.WarnLevel, "task-agent-paused", "the agent was paused; its leases count as expired until confirmed", "look for an overloaded or suspended host")
)
