package jobs

import (
	"container/heap"
	"slices"
)

// cursor is the position of a pass in the steps of a group.
type cursor struct {
	group *group
	index int
	// logOnly is true if no host is left for the group: the index is one of
	// group.unlogged, and the steps are visited only to log why their tasks wait.
	logOnly bool
}

// newCursor returns the cursor of a pass that begins. A group for which no host is
// left needs no search unless a host has improved.
func (c *Core) newCursor(g *group) cursor {
	return cursor{group: g, logOnly: g.searches[anySpeed].examined == c.improvements}
}

func (u *cursor) list() stepList {
	if u.logOnly {
		return u.group.unlogged
	}
	return u.group.steps
}

// step returns the step at the cursor, or nil after the last one.
func (u *cursor) step() *step {
	if list := u.list(); u.index < len(list) {
		return list[u.index]
	}
	return nil
}

// advance moves the cursor behind a step that was visited, unless the visit has
// removed the step from the list.
func (u *cursor) advance(s *step) {
	if u.step() == s {
		u.index++
	}
}

// endSearch lets the cursor go on with the steps behind s that are to be logged.
func (u *cursor) endSearch(s *step) {
	u.logOnly = true
	u.index, _ = u.group.unlogged.find(s)
	u.advance(s)
}

// cursors is a heap with the cursor at the most urgent step at its root. It
// implements heap.Interface.
type cursors []*cursor

func (l cursors) Len() int           { return len(l) }
func (l cursors) Less(i, k int) bool { return moreUrgent(l[i].step(), l[k].step()) }
func (l cursors) Swap(i, k int)      { l[i], l[k] = l[k], l[i] }
func (l *cursors) Push(x any)        { *l = append(*l, x.(*cursor)) }

func (l *cursors) Pop() any {
	last := len(*l) - 1
	removed := (*l)[last]
	*l = (*l)[:last]
	return removed
}

// pass visits the steps with ready tasks, the most urgent first. It leaves out
// those of a group once no host is left for the group, and during the recovery
// the groups whose tasks the former owner may have started.
type pass struct {
	core   *Core
	groups []*group // not begun, ordered by their most urgent step
	begun  cursors
	memory []cursor // of every group
}

func (c *Core) newPass() pass {
	groups := slices.Clone(c.waiting.order)
	return pass{core: c, groups: groups, memory: make([]cursor, len(groups))}
}

// next returns the cursor at the most urgent step that was not visited, or nil.
func (p *pass) next() *cursor {
	for len(p.groups) > 0 && (len(p.begun) == 0 || moreUrgent(p.groups[0].steps[0], p.begun[0].step())) {
		p.core.visits++
		g := p.groups[0]
		u := &p.memory[len(p.groups)-1]
		p.groups = p.groups[1:]
		if p.core.recoveryDeadline != 0 && g.mayHaveStarted() {
			continue
		}
		*u = p.core.newCursor(g)
		if u.step() == g.steps[0] {
			return u
		}
		p.push(u)
	}
	if len(p.begun) == 0 {
		return nil
	}
	return heap.Pop(&p.begun).(*cursor)
}

// push keeps a cursor for a later step unless it is behind the last one.
func (p *pass) push(u *cursor) {
	if u.step() != nil {
		heap.Push(&p.begun, u)
	}
}

// placeWaiting starts ready tasks, the most urgent first, and reports whether it
// examined all of them.
func (c *Core) placeWaiting() bool {
	p := c.newPass()
	for u := p.next(); u != nil; u = p.next() {
		if !c.visit(u) {
			return false
		}
		p.push(u)
	}
	return true
}

// visit places the tasks of the step at the cursor and advances the cursor. It
// returns false if the pass has to end.
func (c *Core) visit(u *cursor) bool {
	c.visits++
	s := u.step()
	p := placement{step: s, group: u.group}
	if !p.run() {
		return false
	}
	if p.noneLeft(anySpeed) && !u.logOnly {
		u.endSearch(s)
	} else {
		u.advance(s)
	}
	return true
}
