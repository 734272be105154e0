package configstore

import (
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

// States of charts/config.scxml.
const (
	stEmpty chart.State = iota
	stSyncing
	stCurrent
	stStale
)

// Events of charts/config.scxml.
const (
	evUpdateAvailable chart.Event = iota // a peer has a higher version
	evNewerDelta                         // a delta that can be applied was received
	evConfirmed                          // an authority has the same version
	evMissingChanges                     // a delta starts after the current version
	evTimeout                            // no answer within syncTimeout
	evSourceLost                         // a poll failed, or the last link to an entry ended
)

// syncTimeout is how long the node waits for the answer to a request before
// it repeats the request, or leaves state syncing. The transfer of a full
// configuration within a region takes well under a second.
const syncTimeout = 2 * time.Second

// effect is an operation that the node carries out after a step.
type effect uint8

const (
	effInstall effect = iota
	effRequest
)

// lifecycle is the state of a daemon's configuration. Its methods are pure.
type lifecycle struct {
	state         chart.State
	fromAuthority bool // the event comes from the table or, on an agent, from an entry
	loaded        bool // a configuration is in use
	peerAhead     bool // a linked peer has a higher version
	effects       [2]effect
	numEffects    int
}

// step processes an event and returns the effects to carry out. The slice is
// valid until the next step.
func (l *lifecycle) step(e chart.Event) []effect {
	l.numEffects = 0
	configChart.Step(l, &l.state, e)
	return l.effects[:l.numEffects]
}

func (l *lifecycle) emit(e effect) {
	l.effects[l.numEffects] = e
	l.numEffects++
}

func (l *lifecycle) stateName() string { return configChart.StateName(l.state) }

var configChart = chart.MustCompile(charts.Files, ConfigBinding())

// ConfigBinding binds charts/config.scxml. It is exported for the checks that
// explore the chart.
func ConfigBinding() chart.Binding[lifecycle] {
	return chart.Binding[lifecycle]{
		Chart:  "config",
		States: []string{"empty", "syncing", "current", "stale"},
		Events: []string{"updateAvailable", "newerDelta", "confirmed", "missingChanges", "timeout", "sourceLost"},
		Guards: map[string]func(*lifecycle) bool{
			"fromAuthority": func(l *lifecycle) bool { return l.fromAuthority },
			"loaded":        func(l *lifecycle) bool { return l.loaded },
			"peerAhead":     func(l *lifecycle) bool { return l.peerAhead },
		},
		Actions: map[string]func(*lifecycle){
			"install":    func(l *lifecycle) { l.loaded = true; l.emit(effInstall) },
			"markLoaded": func(l *lifecycle) { l.loaded = true },
			"request":    func(l *lifecycle) { l.emit(effRequest) },
		},
		Delays: map[string]time.Duration{"syncTimeout": syncTimeout},
	}
}
