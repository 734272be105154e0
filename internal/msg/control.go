// Package msg defines the typed messages between the processes of the system.
// It does not know how they are encoded.
package msg

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Control is a message on the control stream of a link.
type Control interface{ isControl() }

// AgentHello is the first message of an agent on a link.
type AgentHello struct {
	Worker  model.Worker
	Boot    model.Boot
	Cell    model.Cell
	Region  model.Region
	Version model.ConfigVersion // configuration in use at the agent
}

// EntryHello is the first message of an entry on a link.
type EntryHello struct {
	Entry      model.EntryID
	Boot       model.Boot
	DataCentre model.DataCentre
	Version    model.ConfigVersion
	Generation uint64 // number of the link, chosen by the entry; higher after each reconnect
}

// Heartbeat is sent when nothing else was sent for a heartbeat interval, and between
// entries of the job scheduler at each interval.
type Heartbeat struct {
	// Interval is that of the sender from this message on. 0: the fixed one of
	// the kind of link.
	Interval time.Duration
	// Epoch is the highest epoch of an owner of the jobs that the sender, an entry,
	// knows.
	Epoch uint64
	// SentAt is when the heartbeat was sent, on the sender's clock. It is 0 unless the
	// receiver echoes heartbeats.
	SentAt time.Duration
	// Echo is the newest SentAt that the sender has received on this link. 0: none.
	// The sender read Epoch after it.
	Echo time.Duration
}

// BackendState announces a backend server and each change of its state. An
// agent reports it to each entry when a link comes up and on every change.
type BackendState struct {
	Backend     model.BackendID
	Service     model.Service
	State       string // state name of charts/backend.scxml
	Slots       int
	Connections int
}

// CreditGrant grants credits to an entry. Count is zero if only MaxLong changed.
type CreditGrant struct {
	Backend    model.BackendID
	Generation uint64
	Count      int
	MaxLong    int // maximum number of the entry's credits in use for long classes; replaces the previous value
}

// CreditRecall asks an entry to return idle credits.
type CreditRecall struct {
	Backend    model.BackendID
	Generation uint64
	Count      int
}

// CreditReturn returns idle credits to the agent.
type CreditReturn struct {
	Backend    model.BackendID
	Generation uint64
	Count      int
}

// Demand reports the queue of one service at an entry. Each report replaces the
// one before.
type Demand struct {
	Service      model.Service
	Queued       int
	Short        int           // queued requests of short classes
	MinRemaining time.Duration // time left until the earliest deadline of a queued request; 0: none is queued
}

// OutcomeQuery asks for the state of a request that was sent over a link that
// has since been lost.
type OutcomeQuery struct{ ID model.RequestID }

// OutcomeReply answers OutcomeQuery. Before replying ExchangeNotStarted the
// agent records a tombstone, so the request can no longer start.
type OutcomeReply struct {
	ID    model.RequestID
	State ExchangeState
}

// ExchangeState is what an agent knows of a request.
type ExchangeState uint8

// States of an exchange, as reported by OutcomeReply.
const (
	ExchangeUnknown    ExchangeState = iota // the agent has no record: it may or may not have run
	ExchangeNotStarted                      // it did not start and never will
	ExchangeStarted                         // it is running at the backend server
	ExchangeFinished                        // it was started and has ended
)

// DrainBackend asks an agent to drain its backend server.
type DrainBackend struct{ Backend model.BackendID }

// ConfigDelta carries configuration changes in version order. It applies to the
// version From; a receiver at another version sends ConfigRequest.
type ConfigDelta struct {
	From, To model.ConfigVersion
	Full     bool // Changes is the complete configuration at To
	Changes  []model.ConfigChange
}

// ConfigRequest asks the peer for the changes after the version Have. Either
// side may send it.
type ConfigRequest struct{ Have model.ConfigVersion }

// ConfigApplied reports the configuration version in use at the sender.
type ConfigApplied struct{ Version model.ConfigVersion }

func (*AgentHello) isControl()    {}
func (*EntryHello) isControl()    {}
func (*Heartbeat) isControl()     {}
func (*BackendState) isControl()  {}
func (*CreditGrant) isControl()   {}
func (*CreditRecall) isControl()  {}
func (*CreditReturn) isControl()  {}
func (*Demand) isControl()        {}
func (*OutcomeQuery) isControl()  {}
func (*OutcomeReply) isControl()  {}
func (*DrainBackend) isControl()  {}
func (*ConfigDelta) isControl()   {}
func (*ConfigRequest) isControl() {}
func (*ConfigApplied) isControl() {}
