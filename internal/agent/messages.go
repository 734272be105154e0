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

// EntryUp reports that a link to an entry is established.
type EntryUp struct {
	Hello msg.EntryHello
	Out   peer.Out
}

// EntryDown reports that a link to an entry has ended.
type EntryDown struct {
	Entry      model.EntryID
	Generation uint64
}

// FromEntry carries a message from an entry. Generation identifies the link.
type FromEntry struct {
	Entry      model.EntryID
	Generation uint64
	Msg        msg.Control
}

// Announce is an announcement of the backend server.
type Announce struct {
	Backend     model.BackendID
	Service     model.Service
	Address     string // host:port of its HTTP listener
	Slots       int
	Connections int
	Instance    string // name that changes when the backend server restarts
}

// Drain starts the drain of the backend server.
type Drain struct{}

// StatusQuery requests the state of the slots.
type StatusQuery struct{ Reply actor.Reply[Status] }

// Status is the state of the backend server and its slots. The numbers count
// requests, except Slots and GrantedCredits; Settling counts slots.
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
	Drained        bool // no request runs, and none can start
}

// requestArrived requests a slot for a request that has arrived.
type requestArrived struct {
	head   *msg.RequestHead
	entry  model.EntryID
	reply  chan<- decision // buffers one decision
	cancel func()          // cancels the HTTP request to the backend server
}

// decision is the reply to requestArrived.
type decision struct {
	start   bool
	address string            // of the backend server, host:port
	refused msg.RefusedReason // if start is false
}

// requestCancelled reports that the entry has cancelled the request or that its
// link or deadline has ended.
type requestCancelled struct{ id model.RequestID }

// exchangeEnded reports that an exchange that was started has ended.
type exchangeEnded struct {
	id            model.RequestID
	connectFailed bool          // no connection could be made
	closedEarly   bool          // the connection was closed before the response ended
	duration      time.Duration // since the start
}

func (EntryUp) isMessage()          {}
func (EntryDown) isMessage()        {}
func (FromEntry) isMessage()        {}
func (Announce) isMessage()         {}
func (Drain) isMessage()            {}
func (StatusQuery) isMessage()      {}
func (requestArrived) isMessage()   {}
func (requestCancelled) isMessage() {}
func (exchangeEnded) isMessage()    {}
