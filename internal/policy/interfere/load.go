package interfere

import "time"

// ServiceLoad is the present load of a service class on a host. Busy comes
// from lagging reports; Arrivals and Queued come from the entries and show a
// change before Busy does.
type ServiceLoad struct {
	Service     ServiceClass
	Busy        float64       // share of the slots in use, from the newest report
	Arrivals    float64       // requests per second that the entries send to the host
	Queued      float64       // requests in the entries' queues for this host
	ServiceTime time.Duration // mean
	Slots       int
}

// queueDrainTime is the time in which a queue should be served. It converts a
// queue length into a load.
const queueDrainTime = 2 * time.Second

// Forecast returns the share of the slots that the present arrivals and queue
// will use, at most 1. It returns Busy when the entries report neither or the
// number of slots is unknown.
func (s ServiceLoad) Forecast() float64 {
	if s.Slots <= 0 {
		return s.Busy
	}
	seconds := s.ServiceTime.Seconds()
	demand := s.Arrivals*seconds + s.Queued*seconds/queueDrainTime.Seconds()
	expected := min(1, demand/float64(s.Slots))
	if s.Arrivals == 0 && s.Queued == 0 {
		return s.Busy // no signal from the entries
	}
	return expected
}

// loadTracker smooths the load of a service on a host. It follows a rise at
// once and a fall slowly, because a surge comes in several waves. At the start
// of a rise it assumes that the load rises as far as it did in earlier rises.
type loadTracker struct {
	value       float64           // smoothed load
	recent      [riseSpan]float64 // loads of the last updates, the newest first
	updatedAt   time.Duration
	initialized bool

	rising       bool
	risingSince  time.Duration
	startLoad    float64 // before the rise
	peakLoad     float64
	typicalRise  float64 // running average of peakLoad - startLoad
	reservedLoad float64 // load expected at the peak of the present rise, 0 without one
}

const (
	// fallTime is the time constant of a falling load.
	fallTime = 4 * time.Second
	// riseSpan is the number of updates, about a second apart, over which a
	// rise is detected.
	riseSpan = 3
	// minRise is the smallest rise over riseSpan that is detected: 2.5 times
	// the standard deviation of the difference when single seconds vary by 0.02.
	minRise = 0.07
	// riseReserveTime is how long the expected peak is assumed after the start
	// of a rise.
	riseReserveTime = 6 * time.Second
	// riseGain is the weight of a new rise in typicalRise.
	riseGain = 0.3
)

// update adds a load and returns the load for which to decide.
func (f *loadTracker) update(now time.Duration, load float64) float64 {
	elapsed := now - f.updatedAt
	f.updatedAt = now
	if !f.initialized {
		f.value, f.initialized = load, true
		for i := range f.recent {
			f.recent[i] = load
		}
	}
	f.trackRise(now, load)
	copy(f.recent[1:], f.recent[:])
	f.recent[0] = load
	if target := max(load, f.reservedLoad); target >= f.value {
		f.value = target
	} else {
		f.value += (target - f.value) * min(1, float64(elapsed)/float64(fallTime))
	}
	return f.value
}

// trackRise detects the start of a rise, ends it after riseReserveTime and
// updates typicalRise.
func (f *loadTracker) trackRise(now time.Duration, load float64) {
	earlier := f.recent[riseSpan-1]
	if !f.rising && load-earlier > minRise {
		f.rising, f.risingSince, f.startLoad, f.peakLoad = true, now, earlier, load
		f.reservedLoad = min(1, earlier+f.typicalRise)
	}
	if !f.rising {
		return
	}
	f.peakLoad = max(f.peakLoad, load)
	if now-f.risingSince >= riseReserveTime {
		f.rising, f.reservedLoad = false, 0
		f.typicalRise += riseGain * (f.peakLoad - f.startLoad - f.typicalRise)
	}
}
