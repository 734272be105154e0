package event

import "github.com/apex/log"

// Events of the scheduler of jobs with steps: 900 to 999.
var (
	JobAccepted             = define(900, log.InfoLevel, "job-accepted", "an entry stored a submitted job", "nothing")
	JobRefused              = define(901, log.WarnLevel, "job-refused", "an entry refused a submitted job", "see the reason; frequent refusals may mean that the table service is unavailable")
	JobAdmitted             = define(902, log.InfoLevel, "job-taken", "the owner of the jobs started to manage a job", "nothing")
	JobEnded                = define(903, log.InfoLevel, "job-over", "a job reached its final phase", "nothing")
	JobCancelStored         = define(904, log.InfoLevel, "job-cancel-stored", "an entry stored a cancellation", "nothing")
	RunOrdered              = define(910, log.InfoLevel, "run-ordered", "the owner requested the start of a run of a task on a host", "nothing")
	RunEnded                = define(911, log.InfoLevel, "run-over", "a run ended, was refused or was lost", "see the reason")
	RunStopped              = define(912, log.InfoLevel, "run-stopped", "the owner requested the stop of a run", "see the reason")
	TaskUnplaced            = define(913, log.InfoLevel, "task-waits", "no host can run a task at present", "the detail counts the hosts by reason")
	TaskHostChanged         = define(914, log.InfoLevel, "task-host-changed", "the state of a host, as known to the owner of the jobs, changed", "nothing")
	OwnershipStarted        = define(920, log.InfoLevel, "owner-began", "this entry became the owner of the jobs", "nothing")
	OwnershipEnded          = define(921, log.WarnLevel, "owner-ended", "this entry is no longer the owner of the jobs", "see the reason")
	OwnerStoreFailed        = define(922, log.WarnLevel, "owner-store-failed", "the owner of the jobs could not read the jobs or store their progress; it retries", "check the table service")
	OwnerBehind             = define(923, log.WarnLevel, "owner-behind", "the loop of the owner of the jobs is late, so leases and ends of runs are late too", "compare the metrics of planning passes; give the entry more processor time")
	AgentOwnerAdopted       = define(930, log.InfoLevel, "guard-owner", "the agent accepted a new owner of the jobs", "nothing")
	AgentOwnerRefused       = define(931, log.WarnLevel, "guard-owner-refused", "the agent refused a command of an owner that has been replaced", "nothing")
	AgentRunRefused         = define(932, log.WarnLevel, "guard-run-refused", "the agent or the backend server refused a run", "see the reason")
	AgentRunUnconfirmed     = define(933, log.WarnLevel, "guard-run-doubtful", "the backend server did not answer the request to start a run; the agent determines whether the run started", "check the backend server on this host")
	AgentIncarnationStarted = define(934, log.InfoLevel, "guard-life-began", "a backend server announced itself", "nothing")
	AgentIncarnationEnded   = define(935, log.WarnLevel, "guard-life-ended", "the agent treats every run on the backend server as ended", "see the reason")
	AgentRunThrottled       = define(936, log.InfoLevel, "guard-run-paced", "the share of processor time allowed to a best-effort run was changed", "nothing")
	NodeStarted             = define(940, log.InfoLevel, "node-started", "a process of the job scheduler started", "nothing")
	NodeStopping            = define(941, log.InfoLevel, "node-stopping", "a process of the job scheduler is stopping", "nothing")
	NodeReloaded            = define(942, log.InfoLevel, "node-reloaded", "the settings were reloaded", "nothing")
	PeerLinked              = define(943, log.InfoLevel, "peer-linked", "a link to another process is up", "nothing")
	PeerLost                = define(944, log.WarnLevel, "peer-lost", "a link to another process is lost", "see the reason")
	ConfigInForce           = define(945, log.InfoLevel, "config-in-force", "a new version of the operators' configuration is in use", "nothing")
	ConfigUnreadable        = define(946, log.ErrorLevel, "config-unreadable", "the operators' configuration cannot be decoded; the previous version stays in use", "correct the configuration")
	StoreUnreachable        = define(947, log.WarnLevel, "store-away", "this process cannot reach the table service; it writes through its peers", "check the table service and the network")
	StoreReachable          = define(948, log.InfoLevel, "store-back", "this process can reach the table service again", "nothing")
	AnnounceRefused         = define(949, log.WarnLevel, "announce-refused", "an announcement of a backend server was refused because it cannot be decoded", "check the sender of the announcement")
	RowUnreadable           = define(950, log.ErrorLevel, "row-unreadable", "a stored row cannot be encoded or decoded and is ignored", "report it")
	LogDropped              = define(951, log.WarnLevel, "log-dropped", "log lines were dropped because there were too many per second or standard output was too slow", "nothing")
	// The level warn exempts the two events of a drain from the rate limit of the
	// log: a busy entry lost them.
	DrainPhase = define(952, log.WarnLevel, "drain-phase", "a stopping entry began a phase of its drain", "if no drain-ended follows, the process was killed in this phase with this number of requests in flight, or more: check its grace period")
	DrainEnded = define(953, log.WarnLevel, "drain-ended", "a stopping entry ended its drain", "cut counts requests whose connection was closed by the entry without a whole answer and must be 0; unanswered ones were still in flight at the end; gone ones were given up by their callers")
)
