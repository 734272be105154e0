package agent

import (
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	// leastSamples in a window give a P99.
	leastSamples = 20
	// maxSamples of a window and class are kept, the first ones.
	maxSamples = 4096
	// arrivalSmoothing is the weight of the last second.
	arrivalSmoothing = 0.5
	// forgetAfter windows without a request a class is no longer reported.
	forgetAfter = 6
)

// usage measures the classes of a backend server for the controllers, which
// weigh the effect of tasks on it.
type usage struct {
	classes map[model.Class]*classUsage
	ticks   int // since the window began
}

type classUsage struct {
	ran      []time.Duration // of the present window
	busy     time.Duration   // slot time in the present window
	arrived  int             // in the present second
	arrivals float64
	quiet    int // windows without a request
	last     msg.ServiceUsage
}

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

func (u *usage) arrived(name model.Class) { u.class(name).arrived++ }

func (u *usage) ended(name model.Class, ran time.Duration) {
	c := u.class(name)
	c.busy += min(ran, msg.UsageWindow)
	if len(c.ran) < maxSamples {
		c.ran = append(c.ran, ran)
	}
}

// second closes the present second, and the window when it is complete.
func (u *usage) second(slots int) {
	u.ticks++
	windowEnds := u.ticks >= int(msg.UsageWindow/time.Second)
	for name, c := range u.classes {
		c.arrivals += (float64(c.arrived) - c.arrivals) * arrivalSmoothing
		c.arrived = 0
		if windowEnds && c.endWindow(slots) {
			delete(u.classes, name)
		}
	}
	if windowEnds {
		u.ticks = 0
	}
}

// endWindow computes the measurements of the window and reports whether the
// class can be forgotten.
func (c *classUsage) endWindow(slots int) bool {
	c.quiet++
	if len(c.ran) > 0 {
		c.quiet = 0
	}
	c.last.Requests, c.last.P99 = len(c.ran), 0
	if len(c.ran) >= leastSamples {
		slices.Sort(c.ran)
		c.last.P99 = c.ran[len(c.ran)*99/100]
	}
	c.last.Busy = 0
	if slots > 0 {
		c.last.Busy = min(1, c.busy.Seconds()/(msg.UsageWindow.Seconds()*float64(slots)))
	}
	c.ran, c.busy = c.ran[:0], 0
	return c.quiet >= forgetAfter
}

// reportUsage tells the entries, one of which owns the cell, what the backend
// server's classes use.
func (s *slots) reportUsage() {
	s.usage.second(s.backend.Slots)
	if s.backend.Backend == "" || len(s.usage.classes) == 0 {
		return
	}
	queued := len(s.waiting)
	for _, b := range s.borrowers {
		queued += b.Queued
	}
	r := &msg.UsageReport{Worker: s.worker}
	for name, c := range s.usage.classes {
		u := c.last
		u.Service, u.Class, u.Slots = s.backend.Service, name, s.backend.Slots
		u.Arrivals, u.Queued, u.Mean = c.arrivals, queued, s.classes.Mean(name)
		if s.usage.ticks != 0 {
			u.P99 = 0 // of a window that was reported already
		}
		r.Services = append(r.Services, u)
	}
	slices.SortFunc(r.Services, func(a, b msg.ServiceUsage) int {
		if a.Class < b.Class {
			return -1
		}
		return 1
	})
	for _, b := range s.borrowers {
		b.out.TrySend(r)
	}
}
