package hostguard

import (
	"fmt"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	fullPace = 100 // percent
	// unknownPace is that of a run that a former agent started, or whose last
	// call may have failed.
	unknownPace = -1
)

// pacer holds back fillers while a serving task misses its target, the most
// harmful image first.
type pacer struct {
	arrivals uint64
	harms    map[string]float64 // by image, as the owner learned
	paces    map[string]int     // percent by image; absent: full
	changed  time.Duration      // when a pace was last changed
}

const (
	// paceInterval is the age of the figures that a change of the pace shows up in.
	paceInterval = 600 * time.Millisecond
	// paceMargin of the target is where fillers are held back, and paceFar
	// where all of them are stopped at once.
	paceMargin = 1.0
	paceFar    = 2.5
	// paceCalm of the target is where fillers may speed up again.
	paceCalm = 0.92
	paceRise = 25 // percent
	// paceLeast is where a further cut stops the fillers.
	paceLeast = 25 // percent
	// unknownHarm is that of an image of which nothing is known.
	unknownHarm = 0.5
)

// filling is the fillers of one image on the host.
type filling struct {
	image string
	press float64 // declared processors times harm
	harm  float64
	pace  int
}

// pace compares the serving tasks with their targets and sets the shares at
// which the fillers beside them may work.
func (c *Core) pace() {
	worst := 0.0
	for _, r := range c.runs {
		if r.size.Target > 0 && r.latest.Usage > 0 {
			worst = max(worst, float64(r.latest.Usage)/float64(r.size.Target.Milliseconds()))
		}
	}
	if fillings := c.fillings(); len(fillings) > 0 && c.now-c.pacer.changed >= paceInterval {
		c.pacer.adjust(fillings, worst, c.now)
	}
	for _, r := range c.sorted() {
		want := c.pacer.of(r.size.Image)
		if !r.size.Filler || r.state != heldRunning || r.pace == want {
			continue
		}
		r.pace = want
		c.note(Decision{Kind: RunPaced, Run: r.id, Detail: fmt.Sprintf("pace=%d worst=%.2f image=%s", want, worst, r.size.Image)})
		c.call(Call{Pace: &PaceCall{Run: r.id, Percent: want}})
	}
}

// fillings lists the images of the fillers on the host.
func (c *Core) fillings() []filling {
	byImage := map[string]*filling{}
	for _, r := range c.runs {
		if !r.size.Filler {
			continue
		}
		f := byImage[r.size.Image]
		if f == nil {
			f = &filling{image: r.size.Image, harm: c.pacer.harm(r.size.Image), pace: c.pacer.of(r.size.Image)}
			byImage[f.image] = f
		}
		f.press += float64(r.size.CPU) * max(0.01, f.harm)
	}
	list := make([]filling, 0, len(byImage))
	for _, f := range byImage {
		list = append(list, *f)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].image < list[k].image })
	return list
}

func (p *pacer) of(image string) int {
	if v, ok := p.paces[image]; ok {
		return v
	}
	return fullPace
}

func (p *pacer) harm(image string) float64 {
	if h, ok := p.harms[image]; ok {
		return h
	}
	return unknownHarm
}

func (p *pacer) set(image string, pace int, now time.Duration) {
	if p.paces == nil {
		p.paces = map[string]int{}
	}
	p.paces[image] = pace
	p.changed = now
}

// adjust changes the pace of one image, or stops all of them far over the
// target. No fillers at all are the least that can be done for the users.
func (p *pacer) adjust(list []filling, worst float64, now time.Duration) {
	switch {
	case worst > paceFar:
		for _, f := range list {
			if f.pace > 0 {
				p.set(f.image, 0, now)
			}
		}
	case worst > paceMargin:
		p.cut(list, now)
	case worst < paceCalm:
		p.raise(list, now)
	}
}

// cut halves the image that presses most.
func (p *pacer) cut(list []filling, now time.Duration) {
	most := -1
	for i, f := range list {
		if f.pace > 0 && (most < 0 || f.press*float64(f.pace) > list[most].press*float64(list[most].pace)) {
			most = i
		}
	}
	if most < 0 {
		return
	}
	pace := list[most].pace / 2
	if list[most].pace <= paceLeast {
		pace = 0
	}
	p.set(list[most].image, pace, now)
}

// raise speeds up every image. The next cut finds the one that harms.
func (p *pacer) raise(list []filling, now time.Duration) {
	for _, f := range list {
		if f.pace < fullPace {
			p.set(f.image, min(fullPace, f.pace+paceRise), now)
		}
	}
}

// learned takes what the owner knows of the images.
func (p *pacer) learned(harms []msg.ImageHarm) {
	if len(harms) == 0 {
		return
	}
	p.harms = make(map[string]float64, len(harms))
	for _, h := range harms {
		p.harms[h.Image] = h.Harm
	}
}

// paceAnswered lets a pace whose call failed be set again.
func (c *Core) paceAnswered(a Answer) {
	if r, ok := c.runs[a.Call.Pace.Run]; ok && a.Err != nil && r.pace == a.Call.Pace.Percent {
		r.pace = unknownPace
	}
}
