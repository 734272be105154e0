package jobs

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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

// loseReturnedHost lets a host come back that the row names, and go silent again together
// with the owner soon after.
func (s *ownerChain) loseReturnedHost() {
	h, o := s.hosts[s.random.IntN(len(s.hosts))], s.owners[len(s.owners)-1]
	o.disconnect(h, 0)
	s.run(endingLeasesAfter + s.upTo(3*time.Second))
	o.connect(h)
	for end := s.now + s.upTo(5*time.Second); s.now < end && !h.accepted && !o.ended; {
		s.run(chainTick)
	}
	o.end()
	s.claim()
	s.run(200 * time.Millisecond)
	for _, o := range s.owners {
		o.disconnect(h, 0)
		s.after(10*time.Second, func() { o.connect(h) })
	}
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
			if s.random.IntN(8) == 0 {
				s.loseReturnedHost()
			}
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
