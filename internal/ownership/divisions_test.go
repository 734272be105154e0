package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// run advances the time by d.
func (s *dividedSite) run(t rapid.TB, d time.Duration) {
	for end := s.now + d; s.now < end; s.now += dividedStep {
		s.deliver()
		for _, name := range s.names {
			e := s.entries[name]
			if !e.runs() {
				continue
			}
			e.core.Tick(e.clock())
			s.dial(e)
			e.serveLinks()
			e.perform()
		}
		s.check(t)
	}
}

// deliver applies the events that are due, in their order. Those of a process that does
// not run wait.
func (s *dividedSite) deliver() {
	for progress := true; progress; {
		progress = false
		events := s.events
		s.events = nil
		for _, ev := range events {
			if ev.at > s.now || ev.to != "" && !s.entries[ev.to].runs() {
				s.events = append(s.events, ev)
				continue
			}
			progress = true
			ev.apply()
			for _, name := range s.names {
				if e := s.entries[name]; e.runs() {
					e.perform()
				}
			}
		}
	}
}

// check requires that no owner acts once one of a higher epoch waits for it no more.
func (s *dividedSite) check(t rapid.TB) {
	for _, name := range s.names {
		e := s.entries[name]
		if !e.runs() || !e.core.Owns() {
			continue
		}
		if epoch := e.core.Epoch(); epoch > s.newest && (e.core.FormerOwnerEnded() || e.clock() > e.core.FormerOwnersActUntil()) {
			s.newest, s.newestBy, e.settled = epoch, name, true
			s.note("%s waits no more", name)
		}
	}
	for _, name := range s.names {
		e := s.entries[name]
		if !e.runs() || !e.core.MayAct(e.clock()) {
			continue
		}
		s.acted += dividedStep
		if e.core.Epoch() < s.newest {
			for _, line := range s.log {
				t.Log(line)
			}
			t.Fatalf("%s acts with epoch %d at %v, and %s with epoch %d", name, e.core.Epoch(), s.now, s.newestBy, s.newest)
		}
	}
}

// fail changes the state of the network, of the store or of a process.
func (s *dividedSite) fail(restarts, joins bool) {
	pick := func() string { return s.names[s.random.IntN(len(s.names))] }
	a, b := pick(), pick()
	switch kind := s.random.IntN(22); {
	case kind >= 18 && joins:
		s.replaceEntries()
	case kind >= 16:
		s.blocked, s.noStore, s.noStoreAfterClaim = map[[2]string]bool{}, map[string]bool{}, ""
		s.divided = false
		s.note("healed")
	case kind >= 12:
		s.divide()
	case kind < 4 && a != b:
		cut := s.random.IntN(3) > 0
		s.blocked[[2]string{a, b}] = cut
		if s.random.IntN(4) > 0 {
			s.blocked[[2]string{b, a}] = cut
		}
		s.note("%s-%s blocked: %v", a, b, cut)
	case kind < 6:
		s.noStore[a] = !s.noStore[a]
		s.note("%s without store: %v", a, s.noStore[a])
	case kind == 6:
		pause := s.upTo(maxPause)
		s.entries[a].pausedUntil = s.now + pause
		s.note("%s pauses for %v", a, pause)
	case kind == 7:
		delay := s.upTo(maxDelay)
		s.delays[[2]string{a, b}] = delay
		s.note("%s-%s delay %v", a, b, delay)
	case kind == 8:
		s.delays = map[[2]string]time.Duration{}
		s.note("no delays")
	case kind == 9:
		s.lateStore = !s.lateStore
		s.note("late store: %v", s.lateStore)
	case kind == 10 && restarts:
		s.start(a, s.random.IntN(2) == 0)
	case kind == 11 && joins && len(s.names) < 8:
		s.start(fmt.Sprintf("n%d", len(s.names)), s.random.IntN(2) == 0)
	}
}

// divide cuts the owner off from some of the entries, in one direction or in both, and
// perhaps from the store.
func (s *dividedSite) divide() {
	for _, owner := range s.names {
		if !s.entries[owner].core.Owns() {
			continue
		}
		s.noStore[owner] = s.random.IntN(4) > 0
		for _, other := range s.names {
			if other != owner && s.random.IntN(2) == 0 {
				s.blocked[[2]string{owner, other}] = s.random.IntN(4) > 0
				s.blocked[[2]string{other, owner}] = s.random.IntN(4) > 0
			}
		}
		s.note("%s is cut off: %v, store %v", owner, s.blocked, s.noStore)
	}
}

// replaceEntries divides the owner from an entry that joins. Each other entry ends for
// good, is on one of the two sides, or reaches both. The owner reaches the store until
// another entry has claimed the jobs, or not any more.
func (s *dividedSite) replaceEntries() {
	i := slices.IndexFunc(s.names, func(name string) bool { return s.entries[name].runs() && s.entries[name].core.Owns() })
	if i < 0 || len(s.names) > 8 {
		return
	}
	owner, joined := s.names[i], fmt.Sprintf("n%d", len(s.names))
	sides := [2][]string{{owner}, {joined}}
	for _, other := range s.names {
		switch kind := s.random.IntN(6); {
		case other == owner:
		case kind == 0:
			s.end(other)
		case kind > 1:
			sides[kind%2] = append(sides[kind%2], other)
		}
	}
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			s.block(a, b)
		}
	}
	s.noStore[owner] = s.random.IntN(4) == 0
	s.noStoreAfterClaim, s.divided = owner, true
	s.note("sides %v, %s without store: %v", sides, owner, s.noStore[owner])
	s.start(joined, s.random.IntN(2) == 0)
}

// end ends a process for good. Entries that its messages reach notice it at once.
func (s *dividedSite) end(name string) {
	e := s.entries[name]
	if e.gone {
		return
	}
	e.gone = true
	s.note("%s ends", name)
	for _, id := range sortedIDs(e.links) {
		far := s.entries[e.links[id].peer]
		if !far.gone && far.links[id] != nil && !s.blocked[[2]string{name, far.name}] {
			far.down(id)
		}
	}
}

// block lets messages between two entries wait.
func (s *dividedSite) block(a, b string) {
	s.blocked[[2]string{a, b}], s.blocked[[2]string{b, a}] = true, true
}

// Guards against two owners that act at the same time, in divisions that are directed and
// not transitive and change with time, with messages that are late, writes that take
// effect late, and processes that pause and are started again; and against a successor
// that the row does not name and waits for too short a time.
func TestFormerOwnersDoNotActOnceTheirSuccessorWaitsNoMore(t *testing.T) {
	takeovers, unnamed, acted, total := 0, 0, time.Duration(0), time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 5).Draw(t, "entries")
		s := newDividedSite(rapid.Uint64().Draw(t, "seed"), []string{"a", "b", "c", "d", "e"}[:entries])
		joins := rapid.Bool().Draw(t, "joins")
		s.run(t, 3*time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			s.fail(true, joins)
			if s.random.IntN(4) == 0 {
				s.run(t, s.upTo(12*time.Second))
			}
			s.run(t, s.upTo(2*time.Second))
		}
		s.run(t, 15*time.Second)
		takeovers, unnamed, acted, total = takeovers+s.takeovers, unnamed+s.unnamed, acted+s.acted, total+s.now
	})
	t.Logf("%d changes of the owner, %d to an entry that the row does not name; an owner acted for %.0f%% of the time", takeovers, unnamed, 100*float64(acted)/float64(total))
	require.Greater(t, 100*unnamed, takeovers, "too few successors that the row does not name")
}

// Guards against an owner that acts without a limit because it misses nobody, while an
// entry that it has not heard of has replaced it; and against an owner that acts for less
// time than its successor has to wait.
func TestOwnerActsForALimitedTimeBesideAnEntryThatItDoesNotKnow(t *testing.T) {
	s := newDividedSite(1, []string{"a", "b"})
	s.run(t, 5*time.Second)
	owner := s.entries["a"]
	require.True(t, owner.core.Owns())
	for _, known := range []string{"a", "b"} {
		s.noStore[known] = true
		s.blocked[[2]string{known, "n2"}], s.blocked[[2]string{"n2", known}] = true, true
	}
	s.start("n2", false)
	lastWrite := owner.core.permission.confirmedAt
	for owner.clock() < lastWrite+MajorityPermissionTime-dividedStep {
		require.True(t, owner.core.MayAct(owner.clock()))
		s.run(t, dividedStep)
	}
	require.True(t, s.entries["n2"].core.Owns())
	s.run(t, dividedStep)
	require.False(t, owner.core.MayAct(owner.clock()))
	s.run(t, MajorityPermissionTime)
	require.Equal(t, "n2", s.newestBy)
}

// Guards against a row that names the entries of a new owner while the owner before it may
// act: that one has the majority of the entries that it named, and the next successor
// informs half of the others.
func TestRowNamesTheEntriesOfTheOwnerBeforeWhileItMayAct(t *testing.T) {
	s := newDividedSite(1, []string{"a", "b", "c"})
	s.run(t, 5*time.Second)
	require.Equal(t, "a b c", s.row.Entries)
	for _, joined := range []string{"n3", "n4", "n5"} {
		for _, cutOff := range []string{"a", "b"} {
			s.block(cutOff, joined)
			s.block(cutOff, "c")
		}
		s.start(joined, false)
	}
	s.noStoreAfterClaim = "a"
	for s.row.Name != "c" {
		s.run(t, dividedStep)
	}
	s.run(t, 3*dividedStep)
	require.Equal(t, "a b c", s.row.Entries)
	s.end("c")
	s.run(t, time.Second)
	require.True(t, s.entries["a"].core.MayAct(s.entries["a"].clock()))
	s.run(t, 2*time.Second)
	require.Contains(t, s.row.Name, "n")
	require.Equal(t, "a b c", s.row.Entries, "a may act")
	s.run(t, MajorityPermissionTime)
	require.Equal(t, s.row.Name, s.newestBy)
	require.Contains(t, s.row.Entries, "n3 n4 n5")
}
