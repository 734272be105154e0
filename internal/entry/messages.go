package entry

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// Message is a message to the dispatcher.
type Message interface{ isMessage() }

// AgentUp reports that a link to an agent is established.
type AgentUp struct {
	Hello      msg.AgentHello
	Generation uint64 // number of the link; increases
	Conn       link.Conn
	Out        peer.Out
	End        func() // ends the link; may be nil
}

// AgentDown reports that a link to an agent has ended.
type AgentDown struct {
	Worker     model.WorkerID
	Generation uint64
}

// FromAgent carries a message from an agent. Generation identifies the link.
type FromAgent struct {
	Worker     model.WorkerID
	Generation uint64
	Msg        msg.Control
}

// SetRouting replaces the configured services and classes.
type SetRouting struct{ Table *RoutingTable }

// StatusQuery requests the state of the services.
type StatusQuery struct {
	Reply actor.Reply[[]model.ServiceStatus]
}

// DrainQuery requests the drain of a backend server. The reply is false when no
// agent with that backend server is linked or the request could not be sent.
type DrainQuery struct {
	Backend model.BackendID
	Reply   actor.Reply[bool]
}

// admit queues a request, or refuses it.
type admit struct {
	service   model.Service
	request   dispatch.Request
	inbox     chan<- callMessage // buffers at least one assignment or refusal
	retry     bool               // it has been offered before
	ranBefore bool               // an earlier exchange ran, so the retry budget applies
}

// withdraw removes a request from the queue. If it was assigned meanwhile, the
// assignment is in the request's inbox when done is set, and the request
// returns the credit with creditUnused.
type withdraw struct {
	service model.Service
	key     dispatch.Key
	done    actor.Reply[struct{}]
}

// creditUnused returns a credit that was assigned but not spent.
type creditUnused struct {
	assignment assignment
	openFailed bool // no stream could be opened
}

// requestStarted reports that a backend server started the request.
type requestStarted struct {
	id      model.RequestID
	service model.Service
}

// requestFinished reports that an offered request no longer uses its credit.
type requestFinished struct {
	assignment assignment
	service    model.Service
	class      model.Class
	started    bool          // a backend server ran it
	duration   time.Duration // from the start to the end
	failed     bool          // the backend server or its agent did not serve it
}

// outcomeQuery requests the outcome of a request from its agent after the link
// was lost.
type outcomeQuery struct {
	id     model.RequestID
	worker model.WorkerID
	boot   model.Boot // of the agent to which the request was offered
	inbox  chan<- callMessage
}

// endOutcomeQuery cancels an outcomeQuery: a later reply is ignored.
type endOutcomeQuery struct{ id model.RequestID }

func (AgentUp) isMessage()         {}
func (AgentDown) isMessage()       {}
func (FromAgent) isMessage()       {}
func (SetRouting) isMessage()      {}
func (StatusQuery) isMessage()     {}
func (DrainQuery) isMessage()      {}
func (admit) isMessage()           {}
func (withdraw) isMessage()        {}
func (creditUnused) isMessage()    {}
func (requestStarted) isMessage()  {}
func (requestFinished) isMessage() {}
func (outcomeQuery) isMessage()    {}
func (endOutcomeQuery) isMessage() {}

// callMessage is a message from the dispatcher to the actor of a request.
type callMessage struct {
	assignment *assignment
	refusal    dispatch.Refusal
	outcome    msg.ExchangeState
	kind       callMessageKind
}

// callMessageKind states which field of a callMessage is set: assignment,
// refusal or outcome.
type callMessageKind uint8

const (
	callAssigned callMessageKind = iota
	callRefused
	callOutcome
)

// assignment is a credit of an agent that the dispatcher assigned to a request.
type assignment struct {
	id         model.RequestID
	worker     model.WorkerID
	boot       model.Boot // of the agent
	backend    model.BackendID
	generation uint64 // of the link on which the credit was granted
	conn       link.Conn
	long       bool // the request uses a permit for a long request
}
