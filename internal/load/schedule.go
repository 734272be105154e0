package load

import (
	"math/rand/v2"
	"time"
)

// idleStep is how far a schedule advances while its rate is zero.
const idleStep = 10 * time.Millisecond

// schedule yields the intended starts of a class: a Poisson process whose rate
// follows the phases.
type schedule struct {
	phases []Phase
	random *rand.Rand
	at     time.Duration // last arrival, from the start of the run
	from   time.Duration // start of the current phase
}

func newSchedule(c Class, seed uint64, stream int) *schedule {
	return &schedule{phases: c.Phases, random: rand.New(rand.NewPCG(seed, uint64(stream)))}
}

// next returns the next intended start, false after the last.
func (s *schedule) next() (time.Duration, bool) {
	for len(s.phases) > 0 {
		p := s.phases[0]
		if s.at >= s.from+p.duration() {
			s.from += p.duration()
			s.phases = s.phases[1:]
			continue
		}
		share := float64(s.at-s.from) / float64(p.duration())
		rate := p.From + share*(p.end()-p.From)
		gap := idleStep
		arrives := false
		if rate > 0 {
			// Long gaps are cut, so that a ramp from a low rate takes effect;
			// the process has no memory, so cutting keeps its rate.
			exact := s.random.ExpFloat64() / rate * float64(time.Second)
			arrives = exact < float64(idleStep)
			if arrives {
				gap = time.Duration(exact)
			}
		}
		s.at += gap
		if arrives && s.at < s.from+p.duration() {
			return s.at, true
		}
	}
	return 0, false
}
