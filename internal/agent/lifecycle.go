// Package agent controls access to the backend server on its host: its slots and
// connections, its announcements and its drain. It does not depend on placement.
package agent

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

// States and events of charts/exchange.scxml.
const (
	exNew chart.State = iota
	exAccepted
	exStarted
	exRefused
	exFinished
)

const (
	exBegin chart.Event = iota
	exStart
	exCancel
	exQuery
	exExpire
	exWithdraw
	exConnectFailed
	exEnded
)

const (
	// acceptedBound is how long an accepted request waits for a slot. Only
	// requests of the look-ahead wait, so a longer wait means that the backend
	// server is stuck, and the entry offers the request to another one.
	acceptedBound = 2 * time.Second
	// announceInterval is the time between announcements of a backend server.
	announceInterval = 2 * time.Second
	suspectAfter     = 3 * announceInterval // since the last announcement
	downAfter        = 7 * announceInterval // after suspectAfter: 10 missing announcements in all
	// startBound is how long requests may start after a drain. Guarantee G7
	// allows 3 s; the difference is for the message and the connection.
	startBound = 2500 * time.Millisecond
	// settleTime is the time for the backend server to notice a closed
	// connection. It is on the same host and needs much less.
	settleTime = 20 * time.Millisecond
)

var exchangeChart = chart.MustCompile(charts.Files, chart.Binding[exchangeRecord]{
	Chart:  "exchange",
	States: []string{"new", "accepted", "started", "refused", "finished"},
	Events: []string{"begin", "start", "cancel", "query", "expire", "withdraw", "connectFailed", "ended"},
	Guards: map[string]func(*exchangeRecord) bool{
		"allowed": func(r *exchangeRecord) bool { return r.refusal == 0 },
	},
	Actions: map[string]func(*exchangeRecord){
		"start":  func(r *exchangeRecord) { r.sendDecision(decision{start: true}) },
		"refuse": func(r *exchangeRecord) { r.sendDecision(decision{refused: r.refusal}) },
	},
	Delays: map[string]time.Duration{"acceptedBound": acceptedBound},
})

// States and events of charts/credit.scxml.
const (
	crFree chart.State = iota
	crGranted
	crRecalled
	crSpent
	crSettling
)

const (
	crGrant chart.Event = iota
	crSpend
	crRecall
	crReturn
	crKeep
	crVoid
	crRelease
	crSettle
	crSettled
)

var creditChart = chart.MustCompile(charts.Files, chart.Binding[credit]{
	Chart:  "credit",
	States: []string{"free", "granted", "recalled", "spent", "settling"},
	Events: []string{"grant", "spend", "recall", "return", "keep", "void", "release", "settle", "settled"},
	Delays: map[string]time.Duration{"settleTime": settleTime},
})

// States and events of charts/backend.scxml.
const (
	beAbsent chart.State = iota
	beReady
	beSuspect
	beDown
	beDraining
	beFinishing
	beLeft
)

const (
	beAnnounce chart.Event = iota
	beReplaced
	beDrain
	beSilence
	beIdle
)

var backendChart = chart.MustCompile(charts.Files, chart.Binding[backend]{
	Chart:  "backend",
	States: []string{"absent", "ready", "suspect", "down", "draining", "finishing", "left"},
	Events: []string{"announce", "replaced", "drain", "silence", "idle"},
	Actions: map[string]func(*backend){
		"rearm":         func(b *backend) { b.rearm = true },
		"open":          func(b *backend) { b.open = true },
		"close":         func(b *backend) { b.open = false },
		"refuseWaiting": func(b *backend) { b.refuseWaiting = true },
	},
	Delays: map[string]time.Duration{
		"suspectAfter": suspectAfter, "downAfter": downAfter, "startBound": startBound,
	},
})
