package event

import "github.com/apex/log"

// Events of the process as a whole: 100 to 199.
var (
	DaemonReady   = define(100, log.InfoLevel, "daemon-ready", "the daemon serves its listeners", "nothing")
	DaemonStops   = define(101, log.InfoLevel, "daemon-stops", "the daemon drains before it stops", "nothing")
	ActorFailed   = define(102, log.ErrorLevel, "actor-failed", "an actor failed", "report it with the stack in the log")
	PauseDetected = define(103, log.WarnLevel, "pause-detected", "the process was paused; its leases and credits count as expired until confirmed", "look for an overloaded or suspended host")
	KeysReloaded  = define(104, log.InfoLevel, "keys-reloaded", "the keys for links were read again", "nothing")
	KeysRejected  = define(105, log.ErrorLevel, "keys-rejected", "the new keys for links are invalid; the old ones stay in use", "correct the files and send SIGHUP again")
)
