package msg

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Frame is a message on the stream of one request. The entry sends
// RequestHead, BodyChunk and BodyEnd, and Cancel at any time; the agent sends
// Started or Refused, then ResponseHead, BodyChunk and BodyEnd, or Failed.
type Frame interface{ isFrame() }

// Field is one header or trailer field.
type Field struct{ Name, Value string }

// RequestHead opens a request stream and spends one credit of Generation.
type RequestHead struct {
	ID            model.RequestID
	Generation    uint64
	Service       model.Service
	Class         model.Class
	Tenant        model.Tenant
	Method        string
	URI           string // request target, path and query
	Host          string
	Header        []Field
	ContentLength int64         // -1: unknown
	Deadline      time.Duration // time left when the frame was sent
	LongClass     bool          // Class is one of the long classes
}

// BodyChunk carries body bytes of a request or response. Data is valid until
// the next Receive on the stream.
type BodyChunk struct{ Data []byte }

// BodyEnd ends a body. Total is the number of body bytes sent, so that a
// truncated body is detected.
type BodyEnd struct {
	Total   int64
	Trailer []Field
}

// Cancel ends the exchange early, for the reason given.
type Cancel struct{ Reason string }

// Started reports that the agent is sending the request to the backend server.
type Started struct{}

// Refused reports that the request was not started and never will be.
type Refused struct{ Reason RefusedReason }

// RefusedReason says why an agent did not start a request.
type RefusedReason uint8

// Reasons for Refused.
const (
	RefusedNoCredit  RefusedReason = iota + 1 // the credit belongs to an older generation, or the entry has none left
	RefusedDraining                           // the backend server is draining
	RefusedDown                               // the backend server is down, or the connection to it failed
	RefusedDeadline                           // the deadline passed before a slot was free
	RefusedCancelled                          // it was cancelled, or its outcome was queried, before it started; or its ID is a duplicate or too old for the agent's records
)

// ResponseHead starts a response.
type ResponseHead struct {
	Status        int
	Header        []Field
	ContentLength int64 // -1: unknown
}

// Failed ends an exchange whose response cannot be completed. The request may
// have taken effect at the backend server.
type Failed struct{ Reason string }

func (*RequestHead) isFrame()  {}
func (*BodyChunk) isFrame()    {}
func (*BodyEnd) isFrame()      {}
func (*Cancel) isFrame()       {}
func (*Started) isFrame()      {}
func (*Refused) isFrame()      {}
func (*ResponseHead) isFrame() {}
func (*Failed) isFrame()       {}
