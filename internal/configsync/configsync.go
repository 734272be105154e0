// Package configsync decides from which peer an entry requests a configuration
// that its own watch of the table service does not deliver. Entries announce
// only the number of the version that they use: a configuration of 203 KB that
// each of 16 entries sent to all others took 2.4 s of a connection of 10 Mbit/s
// for each version. A configuration is requested chunk by chunk, so that no
// timeout depends on its size, and a transfer that one peer does not finish
// continues at another. The package does no input or output.
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
	evChunk
	evComplete
)

// The sum of tablePatience, answerTimeout and its first repetition, which is
// twice as long, is below the 3 s within which a version has to be in force.
const (
	// installTimeout is the time for the installer to decode a configuration.
	installTimeout = 2 * time.Second
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
	// Version and Index name the chunk that is missing. Version 0 is the one in
	// use at the peer.
	Version uint64
	Index   int
}

// peer is a linked entry.
type peer struct {
	version  uint64 // in use there; 0: not known
	linkRate int64  // of its connection in bits per second; 0: not known
	watches  bool   // it says that it watches the table service
}

// Core is the state of one entry. It is not safe for concurrent use. Times are
// durations on the entry's monotonic clock.
type Core struct {
	self      string
	linkRate  int64 // of the entry's connection in bits per second; 0: not known
	now       time.Duration
	state     chart.State
	timeoutAt time.Duration // when the state's timeout expires; 0: none

	have         uint64          // version in use; 0: none
	peers        map[string]peer // linked entries by name
	watchState   chart.State
	tableRead    bool   // the newest call to the table service succeeded
	tableFailing bool   // the newest call to the table service failed
	unusable     uint64 // highest version that this entry cannot decode; 0: none
	asked        string // peer of the newest request
	requestCount int
	unanswered   int // requests in succession that were not answered in time
	requests     []Request
	transfer     transfer
}

var syncChart = chart.MustCompile(charts.Files, Binding())

// Binding binds charts/configsync.scxml.
func Binding() chart.Binding[Core] {
	return chart.Binding[Core]{
		Chart:   "configsync",
		States:  []string{"current", "reading", "gathering", "asking", "installing"},
		Events:  []string{"behind", "caughtUp", "advanced", "tableFailed", "askedLost", "late", "chunk", "complete"},
		Guards:  map[string]func(*Core) bool{"tableUnread": func(c *Core) bool { return c.tableFailing || c.Follows() }},
		Actions: map[string]func(*Core){"ask": (*Core).ask, "askNext": (*Core).askNext, "countUnanswered": func(c *Core) { c.unanswered++ }},
		Delays: map[string]time.Duration{
			"tablePatience": tablePatience, "gatherTime": gatherTime, "answerTimeout": answerTimeout, "installTimeout": installTimeout,
		},
	}
}

// New returns the state of an entry that has no configuration. linkRate is the
// rate of its connection in bits per second; 0: not known.
func New(self string, linkRate int64) *Core {
	return &Core{self: self, linkRate: linkRate, peers: map[string]peer{}, state: syncChart.Initial(), watchState: watchChart.Initial()}
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

// PeerUp records a linked entry and the rate of its connection in bits per second.
func (c *Core) PeerUp(name string, linkRate int64) {
	p := c.peers[name]
	p.linkRate = linkRate
	c.peers[name] = p
	c.chooseWatch()
}

// Announced applies the version in use at a linked peer that answers requests, and
// whether it watches the table service.
func (c *Core) Announced(name string, version uint64, watches bool, now time.Duration) {
	c.now = now
	p := c.peers[name]
	p.version, p.watches = max(p.version, version), watches
	c.peers[name] = p
	c.chooseWatch()
	if c.behind() {
		c.step(evBehind)
	}
}

// PeerDown records that a peer is no longer linked.
func (c *Core) PeerDown(name string, now time.Duration) {
	c.now = now
	delete(c.peers, name)
	c.chooseWatch()
	switch {
	case !c.behind():
		c.step(evCaughtUp)
	case name == c.asked:
		c.step(evAskedLost)
	}
}

// Installed applies the version that the entry uses.
func (c *Core) Installed(version uint64, now time.Duration) {
	c.now = now
	c.have = max(c.have, version)
	c.unanswered = 0
	c.transfer.drop(c.have)
	c.advance()
}

// advance leaves the request for a version that has arrived.
func (c *Core) advance() {
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
	if version <= c.unusable {
		return
	}
	c.unusable = version
	c.transfer.drop(c.unusable)
	c.advance()
}

// Received applies a chunk that a peer sent. It returns all chunks of the version
// when none is missing any more.
func (c *Core) Received(chunk Chunk, now time.Duration) [][]byte {
	c.now = now
	if chunk.Version <= max(c.have, c.unusable) || !c.transfer.add(chunk) {
		return nil
	}
	c.unanswered = 0
	if !c.transfer.complete() {
		c.step(evChunk)
		return nil
	}
	chunks := c.transfer.chunks
	c.transfer = transfer{}
	c.step(evComplete)
	return chunks
}

// TableAnswered applies the outcome of the newest call to the table service.
func (c *Core) TableAnswered(ok bool, now time.Duration) {
	c.now = now
	if c.Follows() {
		return // the answer of a call that was made before
	}
	c.tableRead, c.tableFailing = ok, !ok
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
	for _, p := range c.peers {
		highest = max(highest, p.version)
	}
	return highest
}

func (c *Core) behind() bool { return c.highest() > max(c.have, c.unusable) }

// ask requests the configuration from one of the peers with the highest version.
// Each entry starts at another peer, and each repetition asks the next.
func (c *Core) ask() {
	highest := c.highest()
	var peers []string
	for name, p := range c.peers {
		if p.version == highest {
			peers = append(peers, name)
		}
	}
	sort.Strings(peers)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(c.self))
	c.asked = peers[(int(hash.Sum32()%1024)+c.requestCount)%len(peers)]
	c.requestCount++
	c.askNext()
}

// askNext requests the next chunk from the peer that was asked last.
func (c *Core) askNext() {
	c.requests = append(c.requests, Request{Peer: c.asked, Have: c.have, Version: c.transfer.version, Index: len(c.transfer.chunks)})
}
