package standin

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/chart"
)

const (
	// Limits of a backend server in docs/design.md section 1.1.
	DefaultSlots       = 8
	DefaultConnections = 64

	announceInterval = 2 * time.Second
	// cancelGrace is how long a request that finds all slots in use waits for a
	// cancelled one to end: a backend server notices a closed connection later
	// than the client that closed it. Such an overlap is not a violation.
	cancelGrace = 50 * time.Millisecond
	// maxRecords bounds the request log; later requests are only counted.
	maxRecords = 1 << 20
)

// BackendConfig describes a simulated backend server.
type BackendConfig struct {
	Service     string
	Class       string
	Address     string // host:port at which the agent reaches it
	Agent       string // base URL to announce to; empty: no announcements
	Slots       int    // 0: DefaultSlots
	Connections int    // 0: DefaultConnections
}

// Announcement is the body of POST /v1/announce and POST /v1/drain.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Class       string `json:"class,omitempty"`
	Instance    string `json:"instance"` // random, differs after each restart
}

// Fault is a failure that a backend server simulates for a request. The
// request selects it with the query parameter fault, or else BackendControl
// does.
type Fault string

// Faults of a backend server.
const (
	FaultReset    Fault = "reset"    // the connection is reset in the middle of the response
	FaultTruncate Fault = "truncate" // the connection is closed without a reset before the declared length
	FaultHang     Fault = "hang"     // the request takes effect but is never answered
	FaultError    Fault = "error"    // status 500 after the request took effect
)

// BackendControl is the body of POST /control.
type BackendControl struct {
	Announce *bool `json:"announce,omitempty"` // start or stop the announcements; absent: no change
	Drain    bool  `json:"drain,omitempty"`    // ask the agent to drain this backend server
	Fault    Fault `json:"fault"`              // of the next Count requests
	Count    int   `json:"count"`              // -1: all
	DelayMs  int64 `json:"delayMs"`            // before each request runs
}

// BackendState is the answer to GET and POST /control.
type BackendState struct {
	State       string `json:"state"` // state name of charts/standin-backend.scxml
	Running     int    `json:"running"`
	Connections int    `json:"connections"`
	MaxRunning  int    `json:"maxRunning"`
	MaxConns    int    `json:"maxConnections"`
	Requests    int    `json:"requests"`
	// Requests above the slot limit, answered with status 503.
	SlotViolations int `json:"slotViolations"`
	// Connections above the limit, closed at once.
	ConnectionViolations int `json:"connectionViolations"`
	// Requests that started because one that did not complete ended within
	// cancelGrace.
	CancelOverlaps int `json:"cancelOverlaps"`
	// Connections above the limit that were accepted because another one
	// closed within cancelGrace.
	ConnectionOverlaps int `json:"connectionOverlaps"`
	// Requests that arrived after the agent accepted the drain.
	AfterDrain int `json:"afterDrain"`
}

// RequestRecord is a request as the backend server saw it, for a history
// checker. Times are in nanoseconds since the Unix epoch.
type RequestRecord struct {
	Key      string `json:"key"` // the request's header X-Request-Key
	Method   string `json:"method"`
	URI      string `json:"uri"`
	Started  int64  `json:"started"`       // when it took its slot, or arrived if it has none
	Finished int64  `json:"finished"`      // 0 while it runs
	End      string `json:"end,omitempty"` // complete, cancelled, failed or refused; empty while it runs
}

// States of charts/standin-backend.scxml.
const (
	backendSilent chart.State = iota
	backendAnnouncing
	backendDraining
	backendDrained
)

// Events of charts/standin-backend.scxml.
const (
	backendAnnounce chart.Event = iota
	backendDrain
	backendRepeat
	backendSilence
	backendAccepted
)

// backendChart is set in init because its actions refer to it: a package-level
// initializer would be an initialization cycle.
var backendChart *chart.Machine[backendState]

func init() { backendChart = chart.MustCompile(charts.Files, BackendBinding()) }

// BackendBinding binds charts/standin-backend.scxml. It is exported for the
// checks that explore the chart.
func BackendBinding() chart.Binding[backendState] {
	return chart.Binding[backendState]{
		Chart:  "standin-backend",
		States: []string{"silent", "announcing", "draining", "drained"},
		Events: []string{"announce", "drain", "repeat", "silence", "accepted"},
		Actions: map[string]func(*backendState){
			"sendAnnouncement": func(s *backendState) { s.post("/v1/announce", nil) },
			"sendDrain":        func(s *backendState) { s.post("/v1/drain", drainAcceptedMsg{}) },
		},
		Delays: map[string]time.Duration{"announceInterval": announceInterval},
	}
}

// Backend simulates a backend server with a fixed number of slots and
// connections. The limits are enforced and each violation is counted.
type Backend struct {
	to actor.Address[message[*backendState]]
}

// backendState is owned by the backend server's actor.
type backendState struct {
	BackendConfig
	group      *actor.Group
	self       actor.Address[message[*backendState]]
	timers     *callTimers
	clock      clock
	announcer  announcer
	state      chart.State
	chartTimer uint64
	control    BackendControl
	counts     BackendState
	values     map[string]int64 // counters of /count, by key
	records    []RequestRecord
	running    map[uint64]*slotRequest
	waiting    []*slotRequest // found all slots in use; each waits at most cancelGrace
	lastID     uint64

	pendingConn      *backendReply[bool] // reply to a connection above the limit that waits for another to close; nil: none
	pendingConnTimer uint64
}

// NewBackend starts a backend server in g. If the configuration names an agent,
// the backend server announces itself to it at once.
func NewBackend(g *actor.Group, c BackendConfig) *Backend {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	s := &backendState{BackendConfig: c, group: g, timers: newCallTimers(), clock: newClock(), announcer: newAnnouncer(c),
		state: backendChart.Initial(), values: map[string]int64{}, running: map[uint64]*slotRequest{}}
	to := spawn(g, "backend server "+c.Address, s.timers, s)
	_ = to.Send(g.Context(), backendSelfMsg{to})
	return &Backend{to}
}

// backendSelfMsg is the first message; it gives the actor its own address.
type backendSelfMsg struct {
	to actor.Address[message[*backendState]]
}

func (m backendSelfMsg) handle(s *backendState) {
	s.self = m.to
	if s.Agent != "" {
		s.step(backendAnnounce)
	}
}

// step applies an event to the chart and replaces the timer by the timeout of
// the state that the chart enters. An event without a transition has no effect.
func (s *backendState) step(e chart.Event) {
	if !backendChart.Step(s, &s.state, e) {
		return
	}
	s.timers.cancel(s.chartTimer)
	if d, event, ok := backendChart.Timeout(s.state); ok {
		s.chartTimer = s.timers.afterFunc(d, func() { s.step(event) })
	}
}

// drainAcceptedMsg reports that the agent accepted the drain.
type drainAcceptedMsg struct{}

func (drainAcceptedMsg) handle(s *backendState) { s.step(backendAccepted) }
