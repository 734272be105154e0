package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// forgetEnds starts the agent again, sometimes: of the ends it knows those that the backend
// server lists at once.
func (h *chainHost) forgetEnds(s *ownerChain) {
	if s.pageSize == 0 {
		return
	}
	if h.listing || s.random.IntN(2) == 0 {
		h.listing, h.shown = len(h.ends) >= s.pageSize, map[workload.RunID]bool{}
		for id := range h.runs {
			h.shown[id] = true
		}
	}
}

// knownEnds returns the ends that the agent knows.
func (h *chainHost) knownEnds(s *ownerChain) []msg.RunEnd {
	if h.listing {
		return h.ends[:min(len(h.ends), s.pageSize)]
	}
	return h.ends
}

// unlistedEnds returns the runs that the agent takes for running, since their ends are not
// listed yet.
func (h *chainHost) unlistedEnds() []msg.RunStatus {
	var list []msg.RunStatus
	for _, e := range h.ends {
		if h.listing && h.shown[e.Run] {
			list = append(list, msg.RunStatus{Run: e.Run})
		}
	}
	return list
}

// listNextEnds lets the agent learn of the next ends after the former were acknowledged.
func (h *chainHost) listNextEnds(o *chainOwner) {
	if !h.listing || len(h.ends) >= o.chain.pageSize {
		return
	}
	h.listing, h.accepted = false, false
	h.sendInventory(o)
}

// doneRecord is what the hosts of a chain have seen of tasks that ended as done.
type doneRecord struct {
	ends   map[workload.TaskID][]*endAsDone
	again  []doneAgain
	starts int
	pages  int // inventories after which more ends followed
}

// endAsDone is an end as done.
type endAsDone struct {
	host         *chainHost
	end          msg.RunEnd
	acknowledged bool
	expired      bool // the lease expired before
}

// doneAgain is a start after an end as done.
type doneAgain struct {
	run  workload.RunID
	at   time.Duration
	end  *endAsDone
	host workload.HostName
}

func (s *ownerChain) endReason() workload.EndReason {
	if s.done != nil {
		return workload.EndDone
	}
	return workload.EndFailed
}

// started records a start.
func (s *ownerChain) started(h *chainHost, id workload.RunID) {
	if s.done == nil {
		return
	}
	s.done.starts++
	for _, e := range s.done.ends[id.Task] {
		s.done.again = append(s.done.again, doneAgain{id, s.now, e, h.info.Name})
	}
}

// endsAcknowledged records which ends as done are taken note of. One whose lease expired
// before is not.
func (s *ownerChain) endsAcknowledged(h *chainHost, last uint64) {
	if s.done == nil {
		return
	}
	for _, list := range s.done.ends {
		for _, e := range list {
			if e.host == h && e.end.Number <= last && !e.expired {
				e.acknowledged = true
			}
		}
	}
}

// storeProgress stores the row of the job.
func (s *ownerChain) storeProgress(b *Batch) {
	if s.done == nil {
		return
	}
	for _, w := range b.Writes {
		s.progress = &w.Progress
	}
}

// leaseExpired notes the ends of a host whose lease has expired before they were
// acknowledged.
func (s *ownerChain) leaseExpired(h *chainHost) {
	if s.done == nil {
		return
	}
	for _, list := range s.done.ends {
		for _, e := range list {
			e.expired = e.expired || e.host == h && !e.acknowledged
		}
	}
}

// newDoneChain starts a chain of owners whose tasks end as done, on hosts whose backend
// servers list a few ends at once.
func newDoneChain(t *testing.T, seed uint64) *ownerChain {
	return startOwnerChain(t, seed, 4, newStep(400, 400))
}

// endWithoutAgent starts the agent of a host again. Meanwhile some of its runs end.
func (s *ownerChain) endWithoutAgent(h *chainHost) {
	for _, o := range s.owners {
		o.disconnect(h, s.upTo(300*time.Millisecond))
	}
	s.run(s.upTo(time.Second))
	h.expire(s)
	for _, r := range h.statuses() {
		if s.random.IntN(2) == 0 {
			h.end(r.Run, workload.EndDone)
		}
	}
	for _, o := range s.owners {
		o.connect(h)
	}
}

// playDone plays a schedule in which owners follow each other, in order or not, and
// agents are started again while ends are listed.
func (s *ownerChain) playDone() {
	s.failing, s.pageSize, s.done = true, 2, &doneRecord{ends: map[workload.TaskID][]*endAsDone{}}
	for _, h := range s.hosts {
		h.ended = func(e msg.RunEnd) {
			if e.Reason == workload.EndDone {
				s.done.ends[e.Run.Task] = append(s.done.ends[e.Run.Task], &endAsDone{host: h, end: e})
			}
		}
	}
	for range 60 {
		s.run(s.upTo(400 * time.Millisecond))
		switch s.random.IntN(8) {
		case 0:
			s.removeForAWhile()
		case 1, 2:
			s.replaceOwner(s.upTo(800 * time.Millisecond))
		case 3, 4:
			s.endWithoutAgent(s.hosts[s.random.IntN(len(s.hosts))])
		}
		for _, h := range s.hosts {
			if h.listing {
				s.done.pages++
			}
		}
	}
	s.run(20 * time.Second)
}

// Guards against a task that starts again after an end as done that is acknowledged then or
// later, while agents list their ends in pages and owners change.
func TestNoDoneTaskStartsAgainInAChainOfOwners(t *testing.T) {
	starts, pages, again := 0, 0, 0
	for seed := range uint64(chainSeeds) {
		s := newDoneChain(t, seed)
		s.playDone()
		for _, a := range s.done.again {
			require.False(t, a.end.acknowledged, "seed %d: %v starts on %s at %v after %v ended as done on %s, which was acknowledged", seed, a.run, a.host, a.at, a.end.end.Run, a.end.host.info.Name)
		}
		starts, pages, again = starts+s.done.starts, pages+s.done.pages, again+len(s.done.again)
	}
	t.Logf("%d starts, %d of them again, ends were missing in %d looks", starts, again, pages)
	require.Greater(t, pages, chainSeeds)
}
