package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	heartbeatEvery = 300 * time.Millisecond
	silenceLimit   = 1200 * time.Millisecond
	storeTimeout   = 900 * time.Millisecond
	dividedStep    = 50 * time.Millisecond
	maxPause       = 10 * time.Second
	maxDelay       = 15 * time.Second
	maxLateWrite   = 6 * time.Second
)

// dividedSite consists of entries whose links, calls of the store and processes fail in
// any combination. The time is that of the site; each process has a clock of its own.
type dividedSite struct {
	random    *rand.Rand
	now       time.Duration
	row       workload.Owner
	version   table.Revision
	entries   map[string]*dividedEntry
	names     []string
	events    []dividedEvent
	delays    map[[2]string]time.Duration // of messages from one entry to another
	blocked   map[[2]string]bool          // messages wait
	noStore   map[string]bool
	lateStore bool // writes may take effect late
	// noStoreAfterClaim is an owner that does not reach the store from when another entry
	// has claimed the jobs, so that it does not learn of the claim there.
	noStoreAfterClaim string
	newest            uint64 // highest epoch of an owner that waits for former owners no more
	newestBy          string
	boot              uint64
	linkIDs           int
	takeovers         int
	divided           bool          // entries were replaced, and the division lasts: new owners may end soon
	unnamed           int           // takeovers by an entry that the former owner's row does not name
	acted             time.Duration // for how long an owner acted
	log               []string
}

// dividedEvent is an arrival of a message or an effect of a call.
type dividedEvent struct {
	at    time.Duration
	order int
	to    string // entry whose process has to run; "": the store
	apply func()
}

// dividedEntry is a process of an entry.
type dividedEntry struct {
	site        *dividedSite
	core        *Core
	name        string
	startedAt   time.Duration
	pausedUntil time.Duration
	highest     uint64
	known       bool
	links       map[int]*dividedLink
	committing  bool
	owner       workload.Owner // as written by this owner
	version     table.Revision
	members     []string
	dialledAt   map[string]time.Duration
	gone        bool
	settled     bool // as an owner: no former owner acts
	recovers    bool // as an owner: its recovery is complete when no former owner acts
}

// dividedLink is one side of a link.
type dividedLink struct {
	id       int
	peer     string
	heardAt  time.Duration // on the clock of this entry
	sentAt   time.Duration
	received time.Duration
	lastAt   time.Duration // arrival of the newest message to the peer, on the clock of the site
}

func newDividedSite(seed uint64, names []string) *dividedSite {
	s := &dividedSite{random: rand.New(rand.NewPCG(seed, 1)), entries: map[string]*dividedEntry{}, delays: map[[2]string]time.Duration{}, blocked: map[[2]string]bool{}, noStore: map[string]bool{}}
	for _, name := range names {
		s.start(name, true)
	}
	return s
}

func (s *dividedSite) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%8.2f  ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *dividedSite) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

// start starts a process of an entry. It knows the entries that are stored then, as
// the list of members has them, unless it is unaware of them.
func (s *dividedSite) start(name string, unaware bool) {
	if old := s.entries[name]; old != nil {
		old.gone = true
	} else {
		s.names = append(s.names, name)
	}
	s.boot++
	e := &dividedEntry{site: s, name: name, startedAt: s.now - time.Duration(s.boot)*time.Millisecond, links: map[int]*dividedLink{}, dialledAt: map[string]time.Duration{}}
	e.core = New(name, s.boot, 0, e.clock())
	s.entries[name] = e
	for _, other := range s.names {
		if !unaware {
			e.know(other)
		}
	}
	s.note("%s starts as %d", name, s.boot)
}

func (e *dividedEntry) clock() time.Duration { return e.site.now - e.startedAt }
func (e *dividedEntry) runs() bool           { return !e.gone && e.site.now >= e.pausedUntil }

func (s *dividedSite) after(d time.Duration, to string, f func()) {
	s.events = append(s.events, dividedEvent{s.now + d, len(s.events), to, f})
}

// send sends a message on a link. Messages of one side arrive in order.
func (e *dividedEntry) send(l *dividedLink, f func(*dividedEntry, *dividedLink)) {
	s := e.site
	delay := s.delays[[2]string{e.name, l.peer}]
	l.lastAt = max(l.lastAt, s.now+time.Millisecond+delay/2+s.upTo(delay/2))
	id, from, to := l.id, e.name, l.peer
	target := s.entries[to]
	var arrive func()
	arrive = func() {
		if s.blocked[[2]string{from, to}] {
			s.after(dividedStep, to, arrive)
			return
		}
		if far := target.links[id]; !target.gone && far != nil {
			far.heardAt = target.clock()
			f(target, far)
		}
	}
	s.after(l.lastAt-s.now, to, arrive)
}

// dial sets up a link if both directions are open.
func (s *dividedSite) dial(e *dividedEntry) {
	for _, name := range s.names {
		if name <= e.name || e.linkedWith(name) || e.clock()-e.dialledAt[name] < 250*time.Millisecond {
			continue
		}
		e.dialledAt[name] = e.clock()
		peer := s.entries[name]
		if s.blocked[[2]string{e.name, name}] || s.blocked[[2]string{name, e.name}] || !peer.runs() {
			continue
		}
		s.linkIDs++
		id := s.linkIDs
		e.up(id, peer)
		peer.up(id, e)
	}
}

func (e *dividedEntry) linkedWith(name string) bool {
	for _, l := range e.links {
		if l.peer == name {
			return true
		}
	}
	return false
}

func (e *dividedEntry) up(id int, peer *dividedEntry) {
	e.links[id] = &dividedLink{id: id, peer: peer.name, heardAt: e.clock(), sentAt: -heartbeatEvery}
	e.core.EpochObserved(peer.highest, e.clock())
	e.highest = max(e.highest, peer.highest)
	e.core.PeerUp(peer.name, 0)
	e.core.EntryEchoes(peer.name, true)
	for _, name := range peer.members {
		e.know(name)
	}
	e.know(peer.name)
	if e.core.Owns() {
		e.core.EntryLinked(peer.name, peer.core.boot, peer.core.Epoch(), e.clock())
	}
}

// know adds an entry to the list of members, and relays it.
func (e *dividedEntry) know(name string) {
	if name == e.name || slices.Contains(e.members, name) {
		return
	}
	e.members = append(e.members, name)
	e.core.EntryKnown(name, e.clock())
	for _, id := range sortedIDs(e.links) {
		e.send(e.links[id], func(far *dividedEntry, _ *dividedLink) { far.know(name) })
	}
}

func (e *dividedEntry) down(id int) {
	l := e.links[id]
	delete(e.links, id)
	if !e.linkedWith(l.peer) {
		e.core.PeerDown(l.peer, e.clock())
	}
}

// serveLinks ends silent links and sends heartbeats.
func (e *dividedEntry) serveLinks() {
	for _, id := range sortedIDs(e.links) {
		l := e.links[id]
		if e.clock()-l.heardAt >= silenceLimit {
			e.send(l, func(far *dividedEntry, l *dividedLink) { far.down(l.id) })
			e.down(id)
			continue
		}
		if e.clock()-l.sentAt < heartbeatEvery {
			continue
		}
		l.sentAt = e.clock()
		sentAt, epoch, echo := e.clock(), e.highest, time.Duration(0)
		if e.known {
			echo = l.received
		}
		e.send(l, func(far *dividedEntry, l *dividedLink) { far.heartbeat(l, sentAt, epoch, echo) })
	}
}

func (e *dividedEntry) heartbeat(l *dividedLink, sentAt time.Duration, epoch uint64, echo time.Duration) {
	e.highest = max(e.highest, epoch)
	l.received = max(l.received, sentAt)
	e.core.EpochObserved(epoch, e.clock())
	if echo != 0 {
		e.core.Echoed(l.peer, echo, e.clock())
	}
}

func sortedIDs(links map[int]*dividedLink) []int {
	var ids []int
	for id := range links {
		at := len(ids)
		for at > 0 && ids[at-1] > id {
			at--
		}
		ids = append(ids[:at], append([]int{id}, ids[at:]...)...)
	}
	return ids
}
