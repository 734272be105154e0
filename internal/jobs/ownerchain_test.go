package jobs

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	chainTick = 50 * time.Millisecond
	// chainPermission is how long an owner acts after a write was sent, and a successor
	// counts on after the answer to its claim.
	chainPermission = 2 * time.Second
	chainLoadTime   = 100 * time.Millisecond
)

// ownerChain is a table service, hosts with their agents, and owners that follow one
// another, of which former ones may be active.
type ownerChain struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	events  []chainEvent // ordered by time
	row     chainRow
	list    []workload.HostName // the stored list of hosts
	hosts   []*chainHost
	owners  []*chainOwner
	job     workload.Job
	expired int // hosts that an owner gave up
	omitted int // times that a host came back while the row named it
}

type chainEvent struct {
	at time.Duration
	do func()
}

type chainRow struct {
	version      int
	epoch        uint64
	released     bool
	unsettled    bool
	endingLeases string
}

type chainHost struct {
	info     workload.Host
	epoch    uint64
	owner    *chainOwner
	accepted bool
	number   uint64
	leaseEnd time.Duration
	runs     map[workload.RunID]bool
	removed  bool
}

type chainOwner struct {
	chain       *ownerChain
	core        *Core
	epoch       uint64
	ended       bool // it did not release the jobs, or was replaced
	formerEnded bool
	loaded      bool
	releasing   bool
	version     int // of the row
	writing     bool
	confirmedAt time.Duration
	cut         map[*chainHost]bool
	links       map[*chainHost]*chainLink
}

// chainLink delivers messages in order. Those in transit are lost when it ends.
type chainLink struct {
	ended           bool
	toHost, toOwner time.Duration // when the last message arrives
}

// deliver calls do when a message arrives that is sent now and after the last one.
func (l *chainLink) deliver(s *ownerChain, last *time.Duration, do func()) {
	*last = max(*last, s.now+s.upTo(20*time.Millisecond))
	s.after(*last-s.now, func() {
		if !l.ended {
			do()
		}
	})
}

func newOwnerChain(t *testing.T, seed uint64, hosts int) *ownerChain {
	s := &ownerChain{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), row: chainRow{released: true}}
	s.job = newSpec("j", newStep(hosts-1, 3000))
	s.job.MaxAttempts = 1000
	s.job.Steps[0].LongRunning = true
	for i := range hosts {
		s.hosts = append(s.hosts, &chainHost{info: readyHost(fmt.Sprintf("host-%d", i), 4000), runs: map[workload.RunID]bool{}})
	}
	s.claim()
	for s.running() < hosts-1 {
		s.run(chainTick)
		require.Less(t, s.now, time.Minute, "seed %d", seed)
	}
	return s
}

func (s *ownerChain) after(d time.Duration, do func()) {
	at := s.now + d
	i, _ := slices.BinarySearchFunc(s.events, at, func(e chainEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	s.events = slices.Insert(s.events, i, chainEvent{at, do})
}

// upTo returns a random time.
func (s *ownerChain) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// run lets d pass.
func (s *ownerChain) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		next := s.now + chainTick
		for len(s.events) > 0 && s.events[0].at <= next {
			e := s.events[0]
			s.events = s.events[1:]
			s.now = max(s.now, e.at)
			e.do()
		}
		s.now = next
		for _, o := range s.owners {
			o.tick()
		}
		for _, h := range s.hosts {
			h.expire(s)
		}
		s.requireSingleRuns()
	}
}

func (s *ownerChain) requireSingleRuns() {
	seen := map[workload.TaskID]*chainHost{}
	for _, h := range s.hosts {
		for id := range h.runs {
			if other := seen[id.Task]; other != nil {
				require.FailNow(s.t, "a task runs twice", "seed %d, %v: %v on %s and %s", s.seed, s.now, id, other.info.Name, h.info.Name)
			}
			seen[id.Task] = h
		}
	}
}

func (s *ownerChain) running() int {
	n := 0
	for _, h := range s.hosts {
		n += len(h.runs)
	}
	return n
}

// claim lets an entry claim the jobs. A claim that meets another write is repeated.
func (s *ownerChain) claim() {
	read, sentAt := s.row, s.now
	s.after(s.upTo(50*time.Millisecond), func() {
		if s.row.version != read.version {
			s.claim()
			return
		}
		o := &chainOwner{
			chain: s, epoch: read.epoch + 1, version: read.version + 1, confirmedAt: sentAt,
			formerEnded: read.released && !read.unsettled, cut: map[*chainHost]bool{}, links: map[*chainHost]*chainLink{},
		}
		s.row = chainRow{version: o.version, epoch: o.epoch, unsettled: !o.formerEnded, endingLeases: read.endingLeases}
		for _, h := range s.hosts {
			o.cut[h], o.links[h] = h.removed, &chainLink{}
		}
		s.after(s.upTo(50*time.Millisecond), func() { s.claimed(o, read.endingLeases) })
	})
}

func (s *ownerChain) claimed(o *chainOwner, endingLeases string) {
	o.core = New(o.epoch, s.now)
	o.core.InheritEndingLeases(endingLeases)
	s.owners = append(s.owners, o)
	answeredAt := s.now
	s.after(chainLoadTime, func() {
		if o.ended {
			return
		}
		o.advance()
		o.loaded = true
		o.core.Restore(s.job, nil)
		for _, h := range s.hosts {
			if !o.cut[h] {
				o.core.Linked(h.info)
			}
		}
		for _, name := range s.list {
			o.core.ExpectHost(name)
		}
		former := FormerOwnersActive
		if o.formerEnded {
			former = FormerOwnersEnded
		}
		o.core.Recover(former)
		o.core.FormerOwnersActUntil(answeredAt + chainPermission)
		o.flush()
	})
}

func (o *chainOwner) mayAct() bool { return o.chain.now-o.confirmedAt < chainPermission }

func (o *chainOwner) advance() {
	o.core.Advance(o.chain.now, o.chain.now.Milliseconds())
	o.core.PermitLeases(o.mayAct())
	o.core.NotReplacedUntil(o.confirmedAt)
}

// input applies an input to the owner, unless it has ended.
func (o *chainOwner) input(do func(c *Core)) {
	if o.ended || !o.loaded {
		return
	}
	o.advance()
	do(o.core)
	o.flush()
}

func (o *chainOwner) tick() { o.input((*Core).Tick) }

// flush plans, sends the messages, and starts a write.
func (o *chainOwner) flush() {
	s := o.chain
	if o.mayAct() {
		o.core.Plan()
	}
	for _, m := range o.core.Messages() {
		h := s.hosts[slices.IndexFunc(s.hosts, func(h *chainHost) bool { return h.info.Name == m.Host })]
		if !o.cut[h] {
			l := o.links[h]
			l.deliver(s, &l.toHost, func() { h.receive(o, m.Message) })
		}
	}
	o.core.Phases()
	for _, d := range o.core.Decisions() {
		if d.Kind == LeasesExpired {
			s.expired++
			h := s.hosts[slices.IndexFunc(s.hosts, func(h *chainHost) bool { return h.info.Name == d.Host })]
			h.expire(s)
			require.Empty(s.t, h.runs, "seed %d, %v: epoch %d gives %s up, whose lease ends at %v", s.seed, s.now, o.epoch, d.Host, h.leaseEnd)
		}
	}
	pending, _ := o.core.Pending()
	if !o.writing && (pending || o.releasing || o.core.ConfirmationAwaited() || s.now-o.confirmedAt >= 500*time.Millisecond) {
		o.write()
	}
}

// write writes the next batch. Some writes are slow, and the answers of some are lost.
func (o *chainOwner) write() {
	s := o.chain
	o.writing = true
	batch := o.core.NextBatch()
	row := chainRow{version: o.version + 1, epoch: o.epoch, released: o.releasing, unsettled: !o.formerEnded && !o.core.Settled(), endingLeases: batch.EndingLeases}
	var attempt func()
	attempt = func() {
		sentAt := s.now
		s.after(s.storeDelay(), func() {
			if s.row.version == o.version {
				s.row = row
				if batch.Hosts != nil {
					s.list = batch.Hosts
				}
			}
			mine := s.row == row
			if s.random.IntN(20) == 0 {
				s.after(300*time.Millisecond, attempt)
				return
			}
			s.after(s.upTo(50*time.Millisecond), func() { o.stored(mine, row, sentAt) })
		})
	}
	attempt()
}

func (s *ownerChain) storeDelay() time.Duration {
	if s.random.IntN(15) == 0 {
		return s.upTo(3 * time.Second)
	}
	return s.upTo(60 * time.Millisecond)
}

func (o *chainOwner) stored(mine bool, row chainRow, sentAt time.Duration) {
	if o.ended {
		return
	}
	o.advance()
	if !mine || row.released {
		o.end()
		return
	}
	o.writing, o.version, o.confirmedAt = false, row.version, sentAt
	o.core.BatchCommitted()
	o.advance()
	o.flush()
}

// end ends the process of the owner. A write in flight may take effect.
func (o *chainOwner) end() {
	o.ended = true
	for _, h := range o.chain.hosts {
		if h.owner == o {
			h.owner, h.accepted = nil, false
		}
	}
}

// disconnect ends the link of an agent. The owner notices it after a delay.
func (o *chainOwner) disconnect(h *chainHost, notice time.Duration) {
	if o.cut[h] {
		return
	}
	o.cut[h], o.links[h].ended = true, true
	if h.owner == o {
		h.owner, h.accepted = nil, false
	}
	o.chain.after(notice, func() {
		if o.cut[h] {
			o.input(func(c *Core) { c.Unlinked(h.info.Name) })
		}
	})
}

func (o *chainOwner) connect(h *chainHost) {
	if !o.cut[h] || h.removed {
		return
	}
	o.cut[h], o.links[h] = false, &chainLink{}
	o.input(func(c *Core) {
		c.Unlinked(h.info.Name)
		if c.ending.named(h.info.Name) {
			o.chain.omitted++
		}
		c.Linked(h.info)
	})
}

// expire ends the runs of the host if its lease has expired.
func (h *chainHost) expire(s *ownerChain) {
	if s.now >= h.leaseEnd {
		clear(h.runs)
	}
}

// receive applies a message of an owner as an agent does.
func (h *chainHost) receive(o *chainOwner, m msg.Control) {
	s := o.chain
	h.expire(s)
	if claim, ok := m.(*msg.OwnerClaim); ok && !o.cut[h] && claim.Epoch >= h.epoch {
		h.epoch, h.owner, h.accepted = claim.Epoch, o, false
		h.number++
		inventory := &msg.HostInventory{Epoch: h.epoch, Number: h.number, Host: h.info, ClockMS: s.now.Milliseconds(), Runs: h.statuses()}
		l := o.links[h]
		l.deliver(s, &l.toOwner, func() { o.input(func(c *Core) { c.Inventory(inventory) }) })
		return
	}
	if h.owner != o || o.cut[h] {
		return
	}
	switch m := m.(type) {
	case *msg.InventoryAccepted:
		if m.Number == h.number {
			if !h.accepted {
				h.accepted = true
				s.after(0, func() { h.report(o, h.number) })
			}
			h.extend(m.ClockMS)
		}
	case *msg.LeaseGrant:
		h.extend(m.ClockMS)
	case *msg.StartRuns:
		for _, start := range m.Starts {
			if h.accepted && s.now < h.leaseEnd {
				h.runs[start.Size.Run] = true
			}
		}
	case *msg.StopRuns:
		for _, id := range m.Runs {
			delete(h.runs, id)
		}
	}
}

func (h *chainHost) extend(clockMS int64) {
	h.leaseEnd = max(h.leaseEnd, time.Duration(clockMS)*time.Millisecond+LeaseDuration)
}

func (h *chainHost) statuses() []msg.RunStatus {
	var list []msg.RunStatus
	for id := range h.runs {
		list = append(list, msg.RunStatus{Run: id})
	}
	return list
}

// report reports the runs to the owner every 500 ms while it is that of the inventory.
func (h *chainHost) report(o *chainOwner, number uint64) {
	s := o.chain
	if h.owner != o || h.number != number || o.ended {
		return
	}
	h.expire(s)
	report := &msg.RunsProgress{Epoch: o.epoch, Instance: h.info.Instance, StartedAtMS: h.info.StartedAtMS, ClockMS: s.now.Milliseconds(), Runs: h.statuses()}
	l := o.links[h]
	l.deliver(s, &l.toOwner, func() { o.input(func(c *Core) { c.RunsProgress(h.info.Name, report) }) })
	s.after(500*time.Millisecond, func() { h.report(o, number) })
}

// restartAgent ends the links of an agent. Its next process reads the stored epoch.
func (s *ownerChain) restartAgent(h *chainHost, down time.Duration) {
	for _, o := range s.owners {
		wasCut := o.cut[h]
		o.disconnect(h, 0)
		if !wasCut {
			s.after(down, func() { o.connect(h) })
		}
	}
	h.owner, h.accepted = nil, false
	s.after(down, func() { h.epoch = s.row.epoch })
}

// disrupt cuts an agent off from some owners, heals links, or restarts an agent.
func (s *ownerChain) disrupt() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(4) {
	case 0:
		s.restartAgent(h, s.upTo(5*time.Second))
	case 1:
		for _, o := range s.owners {
			o.connect(h)
		}
	default:
		down := s.upTo(12 * time.Second)
		for _, o := range s.owners {
			if s.random.IntN(3) > 0 {
				o.disconnect(h, s.upTo(1200*time.Millisecond))
				s.after(down, func() { o.connect(h) })
			}
		}
	}
}

// replaceOwner lets another entry claim the jobs after a gap: the owner ends, releases
// them, or does not know of it.
func (s *ownerChain) replaceOwner(gap time.Duration) {
	if o := s.owners[len(s.owners)-1]; !o.ended {
		switch s.random.IntN(3) {
		case 0:
			o.end()
		case 1:
			o.releasing = true
		}
	}
	s.run(gap)
	s.claim()
}

// chainSeeds is the number of schedules that CI plays.
const chainSeeds = 150

// Guards against an owner in a chain of owners that gives up a host before its leases have
// ended, whatever the former ones have written about it: they are killed, stopped in order
// or replaced without their knowledge, their writes take effect late or are not answered,
// and hosts are cut off, come back, or have their agents started again meanwhile.
func TestNoOwnerInAChainGivesUpARunBeforeItsLeaseHasEnded(t *testing.T) {
	expired, omitted := 0, 0
	for seed := range uint64(chainSeeds) {
		s := newOwnerChain(t, seed, 4)
		for range 25 {
			for range s.random.IntN(3) {
				s.disrupt()
				s.run(s.upTo(2 * time.Second))
			}
			s.run(s.upTo(4 * time.Second))
			if s.random.IntN(2) == 0 {
				s.replaceOwner(s.upTo(1500 * time.Millisecond))
				s.run(s.upTo(3 * time.Second))
			}
		}
		expired += s.expired
		omitted += s.omitted
	}
	t.Logf("%d hosts were given up, %d came back while the row named them", expired, omitted)
	require.Greater(t, expired, chainSeeds)
	require.Greater(t, omitted, chainSeeds)
}

// Guards against a wait that each change of the owner puts off: the tasks of a removed host
// start again after the lease and the times in which no owner counted it down.
func TestWaitForARemovedHostIsBoundedInAChainOfOwners(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(chainSeeds) {
		s := newOwnerChain(t, seed, 4)
		require.Equal(t, 3, s.running(), "seed %d", seed)
		h := s.hosts[slices.IndexFunc(s.hosts, func(h *chainHost) bool { return len(h.runs) > 0 })]
		h.removed = true
		removedAt := s.now
		for _, o := range s.owners {
			o.disconnect(h, s.upTo(1200*time.Millisecond))
		}
		bound := removedAt + 1200*time.Millisecond + chainPermission + LeaseExpiry
		for changes := 0; len(h.runs) > 0 || s.running() < 3; changes++ {
			life := 2500*time.Millisecond + s.upTo(1500*time.Millisecond)
			for end := s.now + life; s.now < end && (len(h.runs) > 0 || s.running() < 3); {
				s.run(chainTick)
			}
			require.Less(t, s.now, bound, "seed %d: after %d changes of the owner", seed, changes)
			gap := s.upTo(1500 * time.Millisecond)
			// Until the successor has loaded the jobs; the time in the row may be older by
			// a step and a slow write.
			bound += gap + 100*time.Millisecond + chainLoadTime + endingLeasesStep + 3*time.Second/2
			s.replaceOwner(gap)
		}
		longest = max(longest, s.now-removedAt)
	}
	t.Logf("the longest wait took %v", longest)
}
