// Package configsync decides from which peer an entry requests a configuration
// that its own watch of the table service does not deliver. Entries announce
// only the number of the version that they use: a configuration of 203 KB that
// each of 16 entries sent to all others took 2.4 s of a connection of 10 Mbit/s
// for each version. The package does no input or output.
package configsync

import (
	"hash/fnv"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/charts"
	"github.com/bambooscale/bambooscale/internal/chart"
)

// stateAsking is the number of the state asking of charts/configsync.scxml, in the
// order of Binding.
const stateAsking chart.State = 3

// Events of charts/configsync.scxml, in the order of Binding.
const (
	evBehind chart.Event = iota
	evCaughtUp
	evAdvanced
	evTableFailed
	evAskedLost
	evLate
)

// The sum of tablePatience, answerTimeout and its first repetition, which is
// twice as long, is below the 3 s within which a version has to be in force.
const (
	// tablePatience is the time for the entry's own read: 270 KB, a large
	// configuration in base64, take 0.2 s of a connection of 10 Mbit/s.
	tablePatience = 500 * time.Millisecond
	gatherTime    = 100 * time.Millisecond
	answerTimeout = 700 * time.Millisecond
	// maxAnswerTimeout bounds the timeout, which doubles with each request that
	// was not answered in time: the answers to repeated requests share a slow
	// connection with the one that is still arriving.
	maxAnswerTimeout = 20 * time.Second
)

// Request names a peer from which the entry requests the configuration.
type Request struct {
	Peer string
	Have uint64 // version in use at this entry; 0: none
}

// Core is the state of one entry. It is not safe for concurrent use. Times are
// durations on the entry's monotonic clock.
type Core struct {
	self      string
	now       time.Duration
	state     chart.State
	timeoutAt time.Duration // when the state's timeout expires; 0: none

	have         uint64            // version in use; 0: none
	announced    map[string]uint64 // versions in use at the linked peers, by name
	tableFailing bool              // the newest call to the table service failed
	unusable     uint64            // highest version that this entry cannot decode; 0: none
	asked        string            // peer of the newest request
	requestCount int
	unanswered   int // requests in succession that were not answered in time
	requests     []Request
}

var syncChart = chart.MustCompile(charts.Files, Binding())

// Binding binds charts/configsync.scxml.
func Binding() chart.Binding[Core] {
	return chart.Binding[Core]{
		Chart:   "configsync",
		States:  []string{"current", "reading", "gathering", "asking"},
		Events:  []string{"behind", "caughtUp", "advanced", "tableFailed", "askedLost", "late"},
		Guards:  map[string]func(*Core) bool{"tableFailing": func(c *Core) bool { return c.tableFailing }},
		Actions: map[string]func(*Core){"ask": (*Core).ask, "countUnanswered": func(c *Core) { c.unanswered++ }},
		Delays:  map[string]time.Duration{"tablePatience": tablePatience, "gatherTime": gatherTime, "answerTimeout": answerTimeout},
	}
}

// New returns the state of an entry that has no configuration.
func New(self string) *Core {
	return &Core{self: self, announced: map[string]uint64{}, state: syncChart.Initial()}
}

// step applies an event. A transition restarts the timeout of the state.
func (c *Core) step(e chart.Event) {
	if !syncChart.Step(c, &c.state, e) {
		return
	}
	c.timeoutAt = 0
	if d, _, ok := syncChart.Timeout(c.state); ok {
		if c.state == stateAsking {
			d = c.answerTimeout()
		}
		c.timeoutAt = c.now + d
	}
}

// answerTimeout returns the time to wait for the answer to the newest request.
func (c *Core) answerTimeout() time.Duration {
	d := answerTimeout
	for range c.unanswered {
		d = min(2*d, maxAnswerTimeout)
	}
	return d
}

// Announced applies the version in use at a linked peer that answers requests.
func (c *Core) Announced(peer string, version uint64, now time.Duration) {
	c.now = now
	c.announced[peer] = max(c.announced[peer], version)
	if c.behind() {
		c.step(evBehind)
	}
}

// PeerDown records that a peer is no longer linked.
func (c *Core) PeerDown(peer string, now time.Duration) {
	c.now = now
	delete(c.announced, peer)
	switch {
	case !c.behind():
		c.step(evCaughtUp)
	case peer == c.asked:
		c.step(evAskedLost)
	}
}

// Installed applies the version that the entry uses.
func (c *Core) Installed(version uint64, now time.Duration) {
	c.now = now
	c.have = max(c.have, version)
	c.unanswered = 0
	if c.behind() {
		c.step(evAdvanced)
	} else {
		c.step(evCaughtUp)
	}
}

// Undecodable applies a version that the entry has received and cannot decode. It
// waits for a higher one.
func (c *Core) Undecodable(version uint64, now time.Duration) {
	c.now = now
	c.unusable = max(c.unusable, version)
	if !c.behind() {
		c.step(evCaughtUp)
	}
}

// TableAnswered applies the outcome of the newest call to the table service.
func (c *Core) TableAnswered(ok bool, now time.Duration) {
	c.now = now
	c.tableFailing = !ok
	if !ok {
		c.step(evTableFailed)
	}
}

// Tick applies the timeout of the state if it has expired.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.timeoutAt != 0 && now >= c.timeoutAt {
		c.step(evLate)
	}
}

// Requests returns the requests since the last call.
func (c *Core) Requests() []Request {
	out := c.requests
	c.requests = nil
	return out
}

// highest returns the highest version in use at a linked peer.
func (c *Core) highest() uint64 {
	var highest uint64
	for _, v := range c.announced {
		highest = max(highest, v)
	}
	return highest
}

func (c *Core) behind() bool { return c.highest() > max(c.have, c.unusable) }

// ask requests the configuration from one of the peers with the highest version.
// Each entry starts at another peer, and each repetition asks the next.
func (c *Core) ask() {
	highest := c.highest()
	var peers []string
	for name, v := range c.announced {
		if v == highest {
			peers = append(peers, name)
		}
	}
	sort.Strings(peers)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(c.self))
	c.asked = peers[(int(hash.Sum32()%1024)+c.requestCount)%len(peers)]
	c.requestCount++
	c.requests = append(c.requests, Request{c.asked, c.have})
}
