package interfere

import "time"

// ServiceLoad is what is known now of a service class on a host. Busy lags;
// the other fields come from the entries and lead.
type ServiceLoad struct {
	Service     ServiceClass
	Busy        float64       // share of slots in use in the newest report
	Arrivals    float64       // requests a second that the entries send here
	Queued      float64       // this host's part of the entries' queues
	ServiceTime time.Duration // mean
	Slots       int
}

// drainWithin is how quickly a queue is meant to be worked off; it turns a
// queue length into a load.
const queueDrainTime = 2 * time.Second

// Forecast returns the share of the slots that the service will use: what it
// used lately, or what is arriving and queued now if that is more.
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

// forecast follows the load of a service on a host: a rise at once, a fall
// slowly, because a surge comes in several waves. When a rise begins, it takes
// the load to go as far as earlier rises went.
type loadTracker struct {
	value       float64
	recent      [riseSpan]float64 // loads of the last updates, the newest first
	updatedAt   time.Duration
	initialized bool

	rising       bool
	risingSince  time.Duration
	startLoad    float64 // load before the rise
	peakLoad     float64
	typicalRise  float64 // how far rises go
	reservedLoad float64 // load that room is kept for during the rise
}

const (
	// fallTime is the time constant of a falling load.
	fallTime = 4 * time.Second
	// riseSpan updates, which are about a second apart, show a rise.
	riseSpan = 3
	// leastRise is the rise over riseSpan that counts: 2.5 times the deviation
	// of the difference when single seconds vary by 0.02.
	minRise = 0.07
	// riseTime is how long room is kept for a rise that has begun.
	riseReserveTime = 6 * time.Second
	// riseGain is how fast the typical rise follows the rises.
	riseGain = 0.3
)

// update returns the load to decide for.
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

// rise detects the begin and end of a rise and learns how far it went.
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
