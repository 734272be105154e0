package agent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
)

// Message is a message to the slots actor.
type Message interface{ isMessage() }

// EntryUp says that a link to an entry is established.
type EntryUp struct {
	Hello msg.EntryHello
	Out   peer.Out
}

// EntryDown says that a link to an entry has ended.
type EntryDown struct {
	Entry      model.EntryID
	Generation uint64
}

// FromEntry carries a message of an entry.
type FromEntry struct {
	Entry      model.EntryID
	Generation uint64
	Msg        msg.Control
}

// Announce is one announcement of the backend server.
type Announce struct {
	Backend     model.BackendID
	Service     model.Service
	Address     string // host:port of its HTTP listener
	Slots       int
	Connections int
	Instance    string // distinguishes restarts of the backend server
}

// Drain starts the drain of the backend server.
type Drain struct{}

// StatusQuery asks for the state of the slots.
type StatusQuery struct{ Reply actor.Reply[Status] }

// Status is the state of the agent's slots.
type Status struct {
	Backend        model.BackendID
	Service        model.Service
	State          string
	Slots          int
	Running        int
	Waiting        int
	GrantedCredits int
	LongRunning    int
	Settling       int
	Drained        bool // nothing runs, and nothing new can start
}

// begin asks for a slot for a request that has arrived.
type begin struct {
	head   *msg.RequestHead
	entry  model.EntryID
	reply  chan<- verdict // has room for one verdict
	cancel func()         // ends the exchange's call to the backend server
}

// verdict is the decision on a begin.
type verdict struct {
	start   bool
	address string
	refused msg.RefusedReason
}

// cancelled says that the entry no longer wants the request.
type cancelled struct{ id model.RequestID }

// ended says that the exchange has ended.
type ended struct {
	id        model.RequestID
	unreached bool // no connection could be made
	early     bool // the connection was closed before the response ended
	ran       time.Duration
}

func (EntryUp) isMessage()     {}
func (EntryDown) isMessage()   {}
func (FromEntry) isMessage()   {}
func (Announce) isMessage()    {}
func (Drain) isMessage()       {}
func (StatusQuery) isMessage() {}
func (begin) isMessage()       {}
func (cancelled) isMessage()   {}
func (ended) isMessage()       {}
