package interfere

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// historyDuration covers reports that lag by several times the usual 10 s.
const historyDuration = 2 * time.Minute

// history records the loads and exposures on a host, with which reports of
// past windows are compared.
type history struct {
	entries []historyEntry
}

// historyEntry is the state of a host at one time.
type historyEntry struct {
	at       time.Duration
	exposure Exposure
	loads    map[ServiceClass]float64
}

// add appends an entry and removes the entries older than historyDuration
// when they are more than half.
func (h *history) add(now time.Duration, host *Host, e Exposure) {
	entry := historyEntry{now, e, make(map[ServiceClass]float64, len(host.Services))}
	for _, s := range host.Services {
		entry.loads[s.Service] = s.Forecast()
	}
	h.entries = append(h.entries, entry)
	expired := 0
	for expired < len(h.entries) && h.entries[expired].at < now-historyDuration {
		expired++
	}
	if expired > len(h.entries)/2 {
		h.entries = append(h.entries[:0], h.entries[expired:]...)
	}
}

// highestPrediction returns the load and exposure of the entry in [from, to)
// for which predict is highest, because the worst moment of a window
// determines its p99. ok is false when no entry is in the window.
func (h *history) highestPrediction(s ServiceClass, from, to time.Duration, predict func(load float64, e Exposure) float64) (load float64, e Exposure, ok bool) {
	highest := 0.0
	for i := range h.entries {
		entry := &h.entries[i]
		if entry.at < from || entry.at >= to {
			continue
		}
		if p := predict(entry.loads[s], entry.exposure); !ok || p > highest {
			highest, load, e, ok = p, entry.loads[s], entry.exposure, true
		}
	}
	return load, e, ok
}

// Report is a lagging measurement of a service class on a worker.
type Report struct {
	Worker   model.WorkerID
	Service  ServiceClass
	From, To time.Duration // measured window [From, To)
	P99      time.Duration
	Target   time.Duration
}

// Observe updates the coefficients with a report. It compares the measurement
// with the load and exposure of the measured window, not the present ones. It
// ignores reports without a P99 or of windows that are not in the history.
func (c *Controller) Observe(r Report) {
	state := c.host(r.Worker)
	load, exposure, ok := state.history.highestPrediction(r.Service, r.From, r.To, func(load float64, e Exposure) float64 {
		return c.learner.Predict(r.Service, load, e).Mean
	})
	if !ok || r.P99 <= 0 {
		return
	}
	c.calibrate(state, r)
	residual := c.learner.Observe(Sample{Service: r.Service, P99: r.P99, Target: r.Target, Load: load, Exposure: exposure})
	offset := state.offsets[r.Service]
	offset += offsetGain * (residual - offset)
	state.offsets[r.Service] = max(-maxOffset, min(maxOffset, offset))
}
