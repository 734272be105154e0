package jobdaemon

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/link"
)

// divideAtRandom changes one direction between two processes, or the connection of an
// entry with the table service.
func (s *ownerSite) divideAtRandom(random *rand.Rand, names []string) string {
	a, b := names[random.IntN(len(names))], names[random.IntN(len(names))]
	switch kind := random.IntN(14); {
	case kind == 10 && s.entries[a] != nil:
		late := time.Duration(random.Int64N(int64(6 * time.Second)))
		s.entries[a].store.late.Set(&late)
		return fmt.Sprintf("writes of %s take effect after %v", a, late)
	case kind == 11 && s.entries[a] != nil:
		s.net.Reset(a, link.Any)
		s.kill(a)
		s.start(a, 300)
		return "restart " + a
	case kind == 12 && len(s.entries) < 5:
		name := fmt.Sprintf("entry-%d", len(s.entries))
		s.start(name, 1000)
		return "start " + name
	case kind == 13 && s.entries[a] != nil:
		s.entries[a].stepCost.Set(new(time.Duration(random.Int64N(int64(4 * time.Second)))))
		return "slow steps of " + a
	case kind < 5 && a != b:
		cut := s.net.Cut
		if random.IntN(2) == 0 {
			cut = s.net.CutBoth
		}
		cut(a, b)
		return fmt.Sprintf("cut %s %s", a, b)
	case kind < 7 && s.entries[a] != nil:
		cut := random.IntN(3) > 0
		s.entries[a].store.cut.Set(&cut)
		return fmt.Sprintf("%s without table service: %v", a, cut)
	case kind == 7 && a != b:
		delay := time.Duration(random.Int64N(int64(10 * time.Second)))
		s.net.SetDelay(a, b, delay, 0)
		return fmt.Sprintf("delay %v from %s to %s", delay, a, b)
	case kind == 8:
		for _, n := range names {
			for _, m := range names {
				s.net.Heal(n, m)
				s.net.SetDelay(n, m, time.Millisecond, 0)
			}
			if e := s.entries[n]; e != nil {
				e.store.cut.Set(new(false))
				e.store.late.Set(new(time.Duration(0)))
				e.stepCost.Set(new(time.Duration(0)))
			}
		}
		return "healed"
	}
	return "nothing"
}

// Guards against tasks that run twice at a time in divisions of entries and agents that
// are directed, not transitive, and change with time, with messages that are late, writes
// that take effect late, a loop of the owner that stands still, and entries that are
// started again or join.
func TestNoTaskRunsTwiceInChangingDivisions(t *testing.T) {
	const sites, faults = 15, 25
	for seed := range uint64(sites) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			s := newOwnerSite(t, 800, 400, 190)
			defer s.stop()
			backends := s.startBackends(3)
			s.submitLongRunning(2)
			names := []string{"entry-0", "entry-1", "entry-2", "entry-3", "entry-4", "agent-0", "agent-1", "agent-2"}
			var log []string
			defer func() {
				if t.Failed() {
					t.Log("seed", seed, log)
				}
			}()
			began := time.Now()
			for range faults {
				log = append(log, fmt.Sprintf("%v %s", time.Since(began), s.divideAtRandom(random, names)))
				pause := 1500 * time.Millisecond
				if random.IntN(4) == 0 {
					pause = 15 * time.Second
				}
				s.requireSingleRuns(backends, time.Duration(random.Int64N(int64(pause))))
			}
			require.NotEmpty(t, log)
		})
	}
}
