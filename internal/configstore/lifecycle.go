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
	evUpdateAvailable chart.Event = iota // a source that may be ahead can be asked
	evNewerDelta
	evConfirmed
	evMissingChanges
	evTimeout
	evSourceLost
)

// syncTimeout is how long an answer may take before the request is repeated
// or given up. A full configuration crosses a region in well under a second.
const syncTimeout = 2 * time.Second

// effect is what a step asks its owner to do.
type effect uint8

const (
	effInstall effect = iota
	effRequest
)

// lifecycle is the state of a daemon's configuration. Steps are pure.
type lifecycle struct {
	state         chart.State
	fromAuthority bool // the event comes from a source that knows the newest version
	loaded        bool // a configuration is in force
	peerAhead     bool // a linked peer has a higher version
	effects       [2]effect
	numEffects    int
}

// step feeds an event and returns the effects to carry out; the slice is
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

// name returns the state's name in the chart.
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
