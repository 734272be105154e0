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
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	now       time.Duration
	events    []chainEvent // ordered by time
	row       chainRow
	list      []workload.HostName // the stored list of hosts
	hosts     []*chainHost
	owners    []*chainOwner
	job       workload.Job
	expired   int                        // hosts that an owner gave up
	omitted   int                        // times that a host came back while the row named it
	failing   bool                       // runs fail, and starts are refused or not confirmed
	released  map[uint64]*[]msg.HostRuns // runs that owners have told at their release, by epoch
	pageSize  int                        // ends that a backend server lists at once; 0: all
	done      *doneRecord                // of tasks that end as done; nil: they fail
	progress  *workload.Progress         // of the job, as it is stored
	inherited int                        // hosts whose runs an owner was told before it began
	rowSize   int                        // most bytes of the list in the owner's row; 0: as the owner has it
	listed    int                        // runs in rows that were claimed
	beside    int                        // starts while an owner waits for a host whose runs the row lists
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

type chainOwner struct {
	chain       *ownerChain
	core        *Core
	epoch       uint64
	ended       bool // it did not release the jobs, or was replaced
	formerEnded bool
	loaded      bool
	releasing   bool
	unsent      bool // the write in flight when it ended never takes effect
	version     int  // of the row
	writing     bool
	confirmedAt time.Duration
	cut         map[*chainHost]bool
	links       map[*chainHost]*chainLink
}

// newOwnerChain starts an owner with tasks that fill all hosts but one.
func newOwnerChain(t *testing.T, seed uint64, hosts int) *ownerChain {
	return newOwnerChainOf(t, seed, hosts, newStep(hosts-1, 3000))
}

// newOwnerChainOf starts an owner with the tasks of a step, which lasts.
func newOwnerChainOf(t *testing.T, seed uint64, hosts int, step workload.Step) *ownerChain {
	step.LongRunning = true
	return startOwnerChain(t, seed, hosts, step)
}

// startOwnerChain starts an owner with the tasks of a step.
func startOwnerChain(t *testing.T, seed uint64, hosts int, step workload.Step) *ownerChain {
	s := &ownerChain{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), row: chainRow{released: true}, released: map[uint64]*[]msg.HostRuns{}}
	s.job = newSpec("j", step)
	s.job.MaxAttempts = 100_000
	for i := range hosts {
		s.hosts = append(s.hosts, &chainHost{info: readyHost(fmt.Sprintf("host-%d", i), 4000), runs: map[workload.RunID]bool{}})
	}
	s.claim()
	for s.running() < min(step.Count, 36) {
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
	if told := s.released[o.epoch-1]; told != nil {
		o.core.InheritRuns(*told)
		s.inherited += len(*told)
	}
	for _, l := range workload.ParseEndingLeases(endingLeases) {
		s.listed += len(l.Runs)
	}
	if s.rowSize > 0 {
		o.core.ending.maxBytes = s.rowSize
	}
	s.owners = append(s.owners, o)
	answeredAt := s.now
	s.after(chainLoadTime, func() {
		if o.ended {
			return
		}
		o.advance()
		o.loaded = true
		o.core.Restore(s.job, s.progress)
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

// tellReleasedRuns tells the entries the runs of an owner that has released the jobs, some
// of them late, or not at all.
func (s *ownerChain) tellReleasedRuns(epoch uint64, runs []msg.HostRuns) {
	if s.random.IntN(4) == 0 {
		return
	}
	for _, part := range [][]msg.HostRuns{runs[:len(runs)/2], runs[len(runs)/2:]} {
		s.after(s.upTo(600*time.Millisecond), func() {
			if s.released[epoch] == nil {
				s.released[epoch] = &[]msg.HostRuns{}
			}
			*s.released[epoch] = append(*s.released[epoch], part...)
			for _, o := range s.owners {
				if o.epoch == epoch+1 && !o.ended {
					o.advance()
					o.core.InheritRuns(part)
				}
			}
		})
	}
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
		if _, start := m.Message.(*msg.StartRuns); start && o.waitsForListedRuns() {
			s.beside++
		}
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
			require.Empty(s.t, h.runsUpTo(o.epoch), "seed %d, %v: epoch %d gives %s up, whose lease ends at %v", s.seed, s.now, o.epoch, d.Host, h.leaseEnd)
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
	if o.releasing {
		o.core.Release()
	}
	batch := o.core.NextBatch()
	row := chainRow{version: o.version + 1, epoch: o.epoch, released: o.releasing, unsettled: !o.formerEnded && !o.core.Settled(), endingLeases: batch.EndingLeases}
	var attempt func()
	attempt = func() {
		sentAt := s.now
		s.after(s.storeDelay(), func() {
			if s.row.version == o.version && !o.unsent {
				s.row = row
				if batch.Hosts != nil {
					s.list = batch.Hosts
				}
				s.storeProgress(batch)
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
	if mine && row.released {
		o.core.BatchCommitted()
		o.chain.tellReleasedRuns(o.epoch, o.core.ReleasedRuns())
	}
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
	o.ended, o.unsent = true, o.chain.random.IntN(2) == 0
	for _, h := range o.chain.hosts {
		if h.owner == o {
			h.owner, h.accepted = nil, false
		}
	}
}
