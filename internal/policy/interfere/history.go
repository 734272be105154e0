package interfere

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// keepHistory covers a report that lags by several times the usual 10 s.
const historyDuration = 2 * time.Minute

// history is what a host's services were exposed to, for reports that come
// later.
type history struct {
	entries []historyEntry
}

type historyEntry struct {
	at       time.Duration
	exposure Exposure
	loads    map[ServiceClass]float64
}

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

// worst returns the load and exposure at the moment between two times for
// which predict is highest: the p99 of a window is that of its worst moment.
// ok is false when nothing is known of the window.
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
	From, To time.Duration // the measured window
	P99      time.Duration
	Target   time.Duration
}

// Observe learns from a report. It compares the measurement with what ran in
// the measured window, not with what runs now.
func (c *Controller) Observe(r Report) {
	state := c.host(r.Worker)
	load, exposure, ok := state.history.highestPrediction(r.Service, r.From, r.To, func(load float64, e Exposure) float64 {
		return c.learner.Predict(r.Service, load, e).Mean
	})
	if !ok || r.P99 <= 0 {
		return
	}
	c.calibrate(r.Service, r.P99 > r.Target)
	residual := c.learner.Observe(Sample{Service: r.Service, P99: r.P99, Target: r.Target, Load: load, Exposure: exposure})
	offset := state.offsets[r.Service]
	offset += offsetGain * (residual - offset)
	state.offsets[r.Service] = max(-maxOffset, min(maxOffset, offset))
}
