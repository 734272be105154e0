package event

import "github.com/apex/log"

// Events of the operators' API: 700 to 799.
var (
	OperatorServes        = define(700, log.InfoLevel, "operator-serves", "the operators' API is served", "nothing")
	OperatorTokenRefused  = define(701, log.WarnLevel, "operator-token-refused", "a request to the operators' API had no valid token", "check who sent it")
	OperatorJobAccepted   = define(702, log.InfoLevel, "operator-job-accepted", "a job was submitted", "nothing")
	OperatorJobUnknown    = define(703, log.ErrorLevel, "operator-job-unknown", "it could not be determined whether a job's row was written", "submit the same job again when the table service answers")
	OperatorCancelAsked   = define(704, log.InfoLevel, "operator-cancel-asked", "the cancellation of a job was requested", "nothing")
	OperatorDrainAsked    = define(705, log.InfoLevel, "operator-drain-asked", "the drain of a backend server was requested", "nothing")
	OperatorRequestFailed = define(706, log.ErrorLevel, "operator-request-failed", "a request to the operators' API failed for a reason that is not the client's", "report it with the error in the log")
	OperatorPeerSilent    = define(707, log.WarnLevel, "operator-peer-silent", "another entry did not report its configuration", "check the entry and the network")
)
