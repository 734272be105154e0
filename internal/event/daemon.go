package event

import "github.com/apex/log"

// Events of the process as a whole: 100 to 199.
var (
	DaemonReady      = define(100, log.InfoLevel, "daemon-ready", "the daemon serves its listeners", "nothing")
	DaemonStops      = define(101, log.InfoLevel, "daemon-stops", "the daemon is draining and then stops", "nothing")
	ActorFailed      = define(102, log.ErrorLevel, "actor-failed", "an actor ended with an error or a panic", "report it with the stack in the log")
	PauseDetected    = define(103, log.WarnLevel, "pause-detected", "the process was paused; its leases and credits count as expired until confirmed", "look for an overloaded or suspended host")
	KeysReloaded     = define(104, log.InfoLevel, "keys-reloaded", "the keys for links were reloaded", "nothing")
	SettingsReloaded = define(106, log.InfoLevel, "settings-reloaded", "the settings file was reloaded; the new log level and operator token are in use", "restart the process to apply the keys listed in the event")
	SettingsRejected = define(107, log.ErrorLevel, "settings-rejected", "the settings file is invalid; the previous settings stay in use", "correct every finding and send SIGHUP again")
	KeysRejected     = define(105, log.ErrorLevel, "keys-rejected", "the new keys for links are invalid; the previous ones stay in use", "correct the files and send SIGHUP again")
)
