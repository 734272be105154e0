package configsync

import (
	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

// requiredWatchers is the number of linked entries that watch the table service for
// one that does not. A copy of the configuration from the service is several times
// as large as its chunks, and is read in one piece: 1.1 MB take a connection of
// 10 Mbit/s for as long as a link may be silent. With three, two may fail at the
// same time as the configuration changes.
const requiredWatchers = 3

// stateFollowing is the number of the state following of charts/configwatch.scxml,
// in the order of WatchBinding.
const stateFollowing chart.State = 1

// Events of charts/configwatch.scxml, in the order of WatchBinding.
const (
	evRelieved chart.Event = iota
	evNeeded
)

var watchChart = chart.MustCompile(charts.Files, WatchBinding())

// WatchBinding binds charts/configwatch.scxml.
func WatchBinding() chart.Binding[Core] {
	return chart.Binding[Core]{
		Chart:   "configwatch",
		States:  []string{"watching", "following"},
		Events:  []string{"relieved", "needed"},
		Actions: map[string]func(*Core){"stopReading": (*Core).stopReading},
	}
}

// Follows reports whether the entry leaves the watch to others.
func (c *Core) Follows() bool { return c.watchState == stateFollowing }

// Watches reports whether the entry watches the table service and its newest call
// succeeded. It is announced to the linked entries.
func (c *Core) Watches() bool { return !c.Follows() && c.tableRead }

// chooseWatch decides whether the entry watches the table service: unless enough
// of the linked entries that precede it do.
func (c *Core) chooseWatch() {
	preceding := 0
	for name, p := range c.peers {
		if p.watches && c.precedes(name, p.linkRate) {
			preceding++
		}
	}
	if preceding >= requiredWatchers {
		watchChart.Step(c, &c.watchState, evRelieved)
	} else {
		watchChart.Step(c, &c.watchState, evNeeded)
	}
}

// precedes reports whether a peer watches rather than this entry: one with a
// faster connection, or with the lower name.
func (c *Core) precedes(name string, linkRate int64) bool {
	if linkRate != c.linkRate {
		return linkRate > c.linkRate
	}
	return name < c.self
}

// stopReading gives up what the entry's own watch was expected to deliver.
func (c *Core) stopReading() {
	c.tableRead, c.tableFailing = false, false
	c.step(evTableFailed)
}
