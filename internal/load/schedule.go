package load

import (
	"math/rand/v2"
	"time"
)

// maxStep is the longest time by which a schedule advances at a constant rate.
const maxStep = 10 * time.Millisecond

// schedule generates the intended starts of a class. They are a Poisson process
// whose rate follows the phases.
type schedule struct {
	phases     []Phase
	random     *rand.Rand
	elapsed    time.Duration // time up to which starts are generated, from the start of the run
	phaseStart time.Duration // start of the current phase, from the start of the run
}

func newSchedule(c Class, seed uint64, stream int) *schedule {
	return &schedule{phases: c.Phases, random: rand.New(rand.NewPCG(seed, uint64(stream)))}
}

// next returns the next intended start, from the start of the run, and false
// after the last one.
func (s *schedule) next() (time.Duration, bool) {
	for len(s.phases) > 0 {
		p := s.phases[0]
		if s.elapsed >= s.phaseStart+p.duration() {
			s.phaseStart += p.duration()
			s.phases = s.phases[1:]
			continue
		}
		fraction := float64(s.elapsed-s.phaseStart) / float64(p.duration())
		rate := p.From + fraction*(p.endRate()-p.From)
		step := maxStep
		arrives := false
		if rate > 0 {
			// Long intervals are cut to maxStep so that a ramp from a low rate
			// takes effect. A Poisson process is memoryless, so this keeps its
			// rate.
			interval := s.random.ExpFloat64() / rate * float64(time.Second)
			arrives = interval < float64(maxStep)
			if arrives {
				step = time.Duration(interval)
			}
		}
		s.elapsed += step
		if arrives && s.elapsed < s.phaseStart+p.duration() {
			return s.elapsed, true
		}
	}
	return 0, false
}
