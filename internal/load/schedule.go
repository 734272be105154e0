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
	phases      []Phase
	random      *rand.Rand
	lastArrival time.Duration // last arrival, from the start of the run
	phaseStart  time.Duration // start of the current phase
}

func newSchedule(c Class, seed uint64, stream int) *schedule {
	return &schedule{phases: c.Phases, random: rand.New(rand.NewPCG(seed, uint64(stream)))}
}

// next returns the next intended start, false after the last.
func (s *schedule) next() (time.Duration, bool) {
	for len(s.phases) > 0 {
		p := s.phases[0]
		if s.lastArrival >= s.phaseStart+p.duration() {
			s.phaseStart += p.duration()
			s.phases = s.phases[1:]
			continue
		}
		fraction := float64(s.lastArrival-s.phaseStart) / float64(p.duration())
		rate := p.From + fraction*(p.endRate()-p.From)
		step := idleStep
		arrives := false
		if rate > 0 {
			// Long gaps are cut, so that a ramp from a low rate takes effect;
			// the process has no memory, so cutting keeps its rate.
			interval := s.random.ExpFloat64() / rate * float64(time.Second)
			arrives = interval < float64(idleStep)
			if arrives {
				step = time.Duration(interval)
			}
		}
		s.lastArrival += step
		if arrives && s.lastArrival < s.phaseStart+p.duration() {
			return s.lastArrival, true
		}
	}
	return 0, false
}
