package event

import "github.com/apex/log"

// Events of the configuration: 600 to 699.
var (
	ConfigInstalled    = define(600, log.InfoLevel, "config-installed", "a newer version of the configuration is in use", "nothing")
	ConfigStale        = define(601, log.WarnLevel, "config-stale", "the source of the configuration cannot be reached; the current version stays in use", "check the table service, or the links to the entries")
	ConfigGap          = define(602, log.InfoLevel, "config-gap", "changes between the current version of the configuration and those received are missing; they are requested", "nothing")
	ConfigEditAccepted = define(603, log.InfoLevel, "config-edit-accepted", "an edit of the configuration was accepted", "nothing")
	ConfigEditUnknown  = define(604, log.ErrorLevel, "config-edit-unknown", "it could not be determined whether an edit of the configuration was written", "look for the edit's id in the history when the table service answers, or send the same edit again")
	ConfigRowMalformed = define(605, log.ErrorLevel, "config-row-malformed", "a row of the configuration cannot be decoded and is ignored", "remove or set the item again")
	ConfigReceiverSlow = define(606, log.WarnLevel, "config-receiver-slow", "a receiver in this process did not accept a new version of the configuration; delivery is retried", "look for an overloaded host if it persists")
)
