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

// AgentUp says that a link to an agent is established.
type AgentUp struct {
	Hello      msg.AgentHello
	Generation uint64
	Conn       link.Conn
	Out        peer.Out
	End        func() // ends the link; may be nil
}

// AgentDown says that a link to an agent has ended.
type AgentDown struct {
	Worker     model.WorkerID
	Generation uint64
}

// FromAgent carries a message of an agent.
type FromAgent struct {
	Worker     model.WorkerID
	Generation uint64
	Msg        msg.Control
}

// SetRouting replaces the services and classes that the dispatcher knows.
type SetRouting struct{ Table *RoutingTable }

// StatusQuery asks for what the entry knows of its services.
type StatusQuery struct {
	Reply actor.Reply[[]model.ServiceStatus]
}

// DrainQuery asks for the drain of a backend server. The reply is false when
// no agent with that backend server is linked.
type DrainQuery struct {
	Backend model.BackendID
	Reply   actor.Reply[bool]
}

// admit queues a request.
type admit struct {
	service model.Service
	req     dispatch.Request
	call    chan<- callMessage // has room for one assignment or refusal
	retry   bool               // offered before
	ran     bool               // an earlier exchange ran, so the retry budget applies
}

// withdraw takes a request out of the queue. If it was assigned meanwhile, the
// assignment is in the request's inbox when done is set, and the request gives
// the credit back with unused.
type withdraw struct {
	service model.Service
	key     dispatch.Key
	done    actor.Reply[struct{}]
}

// unused gives back a credit that was assigned but not spent.
type unused struct {
	to     assignment
	failed bool // no stream could be opened
}

// started says that a backend server was given the request.
type started struct {
	id      model.RequestID
	service model.Service
}

// finished says that the use of a credit has ended.
type finished struct {
	to      assignment
	service model.Service
	class   model.Class
	started bool          // a backend server ran it
	ran     time.Duration // from started to the end
	failed  bool
}

// askOutcome asks the agent of a lost link what became of a request.
type askOutcome struct {
	id     model.RequestID
	worker model.WorkerID
	boot   model.Boot
	call   chan<- callMessage
}

// forget ends the interest in an outcome.
type forget struct{ id model.RequestID }

func (AgentUp) isMessage()     {}
func (AgentDown) isMessage()   {}
func (FromAgent) isMessage()   {}
func (SetRouting) isMessage()  {}
func (StatusQuery) isMessage() {}
func (DrainQuery) isMessage()  {}
func (admit) isMessage()       {}
func (withdraw) isMessage()    {}
func (unused) isMessage()      {}
func (started) isMessage()     {}
func (finished) isMessage()    {}
func (askOutcome) isMessage()  {}
func (forget) isMessage()      {}

// callMessage is a message from the dispatcher to the actor of a request.
type callMessage struct {
	assigned *assignment
	refusal  dispatch.Refusal
	outcome  msg.ExchangeState
	kind     callKind
}

type callKind uint8

const (
	callAssigned callKind = iota
	callRefused
	callOutcome
)

// assignment is a credit given to a request.
type assignment struct {
	id         model.RequestID
	worker     model.WorkerID
	boot       model.Boot // of the agent
	backend    model.BackendID
	generation uint64
	conn       link.Conn
	long       bool
}
