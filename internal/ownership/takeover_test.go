package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/table"
)

// busySite has entries whose network connections are busy for a while after each
// takeover, because the new owner reads the jobs.
type busySite struct {
	ownerRow
	now       time.Duration
	busy      time.Duration // of a new owner's connection
	cores     []*Core
	busyUntil map[*Core]time.Duration
	noticed   map[*Core]bool // the peers have ended their links with it
	takeovers []time.Duration
}

// peerSilence is how long a peer may be silent before its links end.
const peerSilence = 1200 * time.Millisecond

func (s *busySite) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 50 * time.Millisecond {
		for _, c := range s.cores {
			s.updateLinks(c)
		}
		for _, c := range s.cores {
			c.Tick(s.now)
			s.applyEffects(c)
		}
	}
}

// updateLinks ends the links of an entry that is silent, and brings them up again
// when its connection is free.
func (s *busySite) updateLinks(c *Core) {
	until, busy := s.busyUntil[c]
	switch {
	case !busy:
	case s.now >= until:
		delete(s.busyUntil, c)
		delete(s.noticed, c)
		for _, peer := range s.cores {
			if peer != c {
				c.PeerUp(peer.self, peer.share)
				peer.PeerUp(c.self, c.share)
				c.OwnerObserved(peer.Owner(), peer.Epoch(), s.now)
			}
		}
	case !s.noticed[c] && s.now >= until-s.busy+peerSilence:
		s.noticed[c] = true
		for _, peer := range s.cores {
			if peer != c {
				peer.PeerDown(c.self, s.now)
			}
		}
	}
}

func (s *busySite) applyEffects(c *Core) {
	for _, e := range c.Effects() {
		switch e {
		case ReadRow:
			c.Read(s.owner, s.version, s.now)
			s.applyEffects(c)
		case ClaimRow:
			owner, version := c.Claim()
			if version != s.version {
				c.Claimed(owner, table.Conflict, 0, s.now)
				break
			}
			s.owner, s.version = owner, version+1
			c.Claimed(owner, table.Committed, s.version, s.now)
			s.takeovers = append(s.takeovers, s.now)
			s.busyUntil[c] = s.now + s.busy
			for _, peer := range s.cores {
				if _, unreachable := s.busyUntil[peer]; !unreachable {
					peer.OwnerObserved(c.self, owner.Epoch, s.now)
				}
			}
		}
	}
}

// Guards against jobs that change their owner without end: reading the jobs keeps
// each new owner's connection busy for longer than its peers wait for it, another
// entry takes over and is kept busy in turn.
func TestOwnersThatAreBusyAfterTheirTakeoverDoNotReplaceEachOther(t *testing.T) {
	for _, busy := range []time.Duration{1300 * time.Millisecond, 1800 * time.Millisecond, 2400 * time.Millisecond} {
		s := &busySite{busy: busy, busyUntil: map[*Core]time.Duration{}, noticed: map[*Core]bool{}}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			s.cores = append(s.cores, New(name, 1, 0, 0))
		}
		link(s.cores...)
		s.run(time.Minute)
		t.Logf("busy for %v: takeovers at %v", busy, s.takeovers)
		require.LessOrEqual(t, len(s.takeovers), 6, "busy for %v", busy)
		require.Less(t, s.takeovers[len(s.takeovers)-1], 15*time.Second, "busy for %v", busy)
	}
}

// Guards against jobs without an owner for longer than needed: an owner that ends is
// replaced in the usual time unless the jobs have changed their owner several times
// shortly before.
func TestOwnersThatEndAreReplacedAtOnce(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	cores := []*Core{New("a", 1, 0, 0), New("b", 1, 0, 0), New("c", 1, 0, 0)}
	link(cores...)
	r.advance(&now, 2*time.Second, cores...)
	for _, pause := range []time.Duration{0, 20 * time.Second} {
		r.advance(&now, pause, cores...)
		former := r.owner.Name
		for _, c := range cores {
			c.PeerDown(former, now)
		}
		var rest []*Core
		for _, c := range cores {
			if c.self != former {
				rest = append(rest, c)
			}
		}
		r.advance(&now, ownerTimeout+rankDelay+2*checkInterval, rest...)
		require.NotEqual(t, former, r.owner.Name)
		for _, c := range cores {
			c.OwnerObserved(r.owner.Name, r.owner.Epoch, now)
		}
		link(cores...)
	}
}
