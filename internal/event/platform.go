package event

import "github.com/apex/log"

// Events of the clients of the platform's services: 500 to 599.
var (
	StoreUnavailable = define(500, log.WarnLevel, "store-unavailable", "the table service does not answer; it is retried with a growing delay", "check the table service if it does not recover")
	StoreRecovered   = define(501, log.InfoLevel, "store-recovered", "the table service answers again", "nothing")
	WriterRowMoved   = define(502, log.ErrorLevel, "writer-row-moved", "a writer's row was changed by another process; operations without an answer are reported as unknown", "check that no two processes use the same writer id")
	WriteRefused     = define(503, log.ErrorLevel, "write-refused", "the table service refused a transaction as invalid", "report it")
	PollRegressed    = define(504, log.ErrorLevel, "poll-regressed", "the table service returned an older revision than before; the changes are ignored", "check whether the table was replaced")
)
