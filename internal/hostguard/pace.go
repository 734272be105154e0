package hostguard

import (
	"fmt"
	"time"
)

const fullPace = 100 // percent

// pacer holds back fillers while a serving task misses its target.
type pacer struct {
	arrivals uint64
	pace     int           // percent of the fillers; 0 at first means full
	changed  time.Duration // when the pace was last changed
	started  bool
}

const (
	// paceInterval is the age of the figures that a change of the pace shows up in.
	paceInterval = 700 * time.Millisecond
	// paceMargin of the target is where fillers are held back, and paceFar
	// where they are stopped at once.
	paceMargin = 0.97
	paceFar    = 1.2
	// paceCalm of the target is where fillers may speed up again.
	paceCalm = 0.88
	paceRise = 25 // percent
	// paceLeast is where a further cut stops the fillers.
	paceLeast = 20 // percent
)

// pace compares the serving tasks with their targets and sets the share at
// which the fillers beside them may work.
func (c *Core) pace() {
	worst := 0.0
	fillers := false
	for _, r := range c.sorted() {
		if r.size.Filler {
			fillers = true
		}
		if r.size.Target > 0 && r.latest.Usage > 0 {
			worst = max(worst, float64(r.latest.Usage)/float64(r.size.Target.Milliseconds()))
		}
	}
	p := &c.pacer
	if !p.started {
		p.started, p.pace = true, fullPace
	}
	if c.now-p.changed >= paceInterval && fillers {
		next := p.next(worst)
		if next != p.pace {
			p.pace, p.changed = next, c.now
		}
	}
	for _, r := range c.sorted() {
		if r.size.Filler && r.state == heldRunning && r.pace != p.pace {
			r.pace = p.pace
			c.note(Decision{Kind: RunPaced, Run: r.id, Detail: fmt.Sprintf("pace=%d worst=%.2f", p.pace, worst)})
			c.call(Call{Pace: &PaceCall{Run: r.id, Percent: p.pace}})
		}
	}
}

func (p *pacer) next(worst float64) int {
	switch {
	case worst > paceMargin && p.pace <= paceLeast, worst > paceFar:
		return 0
	case worst > paceMargin:
		return p.pace / 2
	case worst < paceCalm:
		return min(fullPace, p.pace+paceRise)
	}
	return p.pace
}
