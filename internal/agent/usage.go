package agent

import (
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	// minP99Samples is the minimum number of samples in a window for a P99. With
	// fewer, the P99 is reported as 0.
	minP99Samples = 20
	// maxSamples bounds the samples of a class in a window; later ones are
	// dropped.
	maxSamples = 4096
	// arrivalSmoothing is the weight of the last second in the arrival rate.
	arrivalSmoothing = 0.5
	// maxIdleWindows is the number of consecutive windows without an ended
	// request after which a class is removed.
	maxIdleWindows = 6
)

// usage measures the classes of a backend server. The controllers use the
// measurements to estimate the effect of tasks on it.
type usage struct {
	classes map[model.Class]*classUsage
	seconds int // since the start of the window
}

type classUsage struct {
	durations         []time.Duration // of the current window, at most maxSamples
	slotTime          time.Duration   // sum of durations that ended in the current window
	arrivedThisSecond int
	arrivals          float64 // smoothed, requests per second
	idleWindows       int     // consecutive windows without an ended request
	lastWindow        msg.ServiceUsage
}

// class returns the measurements of a class, which it creates when necessary.
func (u *usage) class(name model.Class) *classUsage {
	c := u.classes[name]
	if c == nil {
		if u.classes == nil {
			u.classes = map[model.Class]*classUsage{}
		}
		c = &classUsage{}
		u.classes[name] = c
	}
	return c
}

func (u *usage) requestArrived(name model.Class) { u.class(name).arrivedThisSecond++ }

func (u *usage) requestEnded(name model.Class, duration time.Duration) {
	c := u.class(name)
	c.slotTime += min(duration, msg.UsageWindow)
	if len(c.durations) < maxSamples {
		c.durations = append(c.durations, duration)
	}
}

// endSecond ends the current second, and the window when it is complete. slots is
// the number of slots of the backend server.
func (u *usage) endSecond(slots int) {
	u.seconds++
	windowEnds := u.seconds >= int(msg.UsageWindow/time.Second)
	for name, c := range u.classes {
		c.arrivals += (float64(c.arrivedThisSecond) - c.arrivals) * arrivalSmoothing
		c.arrivedThisSecond = 0
		if windowEnds && c.endWindow(slots) {
			delete(u.classes, name)
		}
	}
	if windowEnds {
		u.seconds = 0
	}
}

// endWindow computes the measurements of the window and reports whether the
// class can be removed.
func (c *classUsage) endWindow(slots int) bool {
	c.idleWindows++
	if len(c.durations) > 0 {
		c.idleWindows = 0
	}
	c.lastWindow.Requests, c.lastWindow.P99 = len(c.durations), 0
	if len(c.durations) >= minP99Samples {
		slices.Sort(c.durations)
		c.lastWindow.P99 = c.durations[len(c.durations)*99/100]
	}
	c.lastWindow.Busy = 0
	if slots > 0 {
		c.lastWindow.Busy = min(1, c.slotTime.Seconds()/(msg.UsageWindow.Seconds()*float64(slots)))
	}
	c.durations, c.slotTime = c.durations[:0], 0
	return c.idleWindows >= maxIdleWindows
}

// reportUsage sends the usage of the backend server's classes to all entries.
// One of them owns the cell.
func (s *slots) reportUsage() {
	s.usage.endSecond(s.backend.Slots)
	if s.backend.Backend == "" || len(s.usage.classes) == 0 {
		return
	}
	queued := len(s.waiting)
	for _, e := range s.entries {
		queued += e.Queued
	}
	r := &msg.UsageReport{Worker: s.worker}
	for name, c := range s.usage.classes {
		u := c.lastWindow
		u.Service, u.Class, u.Slots = s.backend.Service, name, s.backend.Slots
		u.Arrivals, u.Queued, u.Mean = c.arrivals, queued, s.classes.Mean(name)
		if s.usage.seconds != 0 {
			u.P99 = 0 // the P99 of the window has been reported
		}
		r.Services = append(r.Services, u)
	}
	slices.SortFunc(r.Services, func(a, b msg.ServiceUsage) int {
		if a.Class < b.Class {
			return -1
		}
		return 1
	})
	for _, e := range s.entries {
		e.out.TrySend(r)
	}
}
