package ownership

import "time"

const (
	// echoTime is how long after a heartbeat of the owner was sent the entry that echoed
	// it counts as linked. That entry did not own the jobs when it received the
	// heartbeat, so an owner acts on the echo for no longer than PermissionTime, which
	// each successor waits.
	echoTime = PermissionTime
	// echoWarning is the age of an echo from which on the owner rewrites its row, so that
	// it may act on when the entry counts as missing. Heartbeats are sent every 300 ms,
	// so an echo is seldom older than 700 ms.
	echoWarning = 1200 * time.Millisecond
	// neverEchoed is the time of the newest echo of an entry that has echoed nothing yet.
	neverEchoed = -echoTime
)

// echoes holds, for each linked entry that echoes heartbeats, when the newest heartbeat
// that it has echoed was sent, on the clock of this entry.
type echoes map[string]time.Duration

// oldest returns the age of the oldest echo, or 0 if there is none.
func (e echoes) oldest(now time.Duration) time.Duration {
	age := time.Duration(0)
	for _, sentAt := range e {
		age = max(age, now-sentAt)
	}
	return age
}

// EntryEchoes records whether a linked entry echoes heartbeats. One of a former program
// does not, and counts as linked while its link is up.
func (c *Core) EntryEchoes(name string, echoes bool) {
	_, known := c.echoes[name]
	switch {
	case !echoes:
		delete(c.echoes, name)
	case !known:
		c.echoes[name] = neverEchoed
	}
}

// Echoed records that an entry has echoed a heartbeat which this one sent at sentAt. The
// caller applies the epoch of the message with the echo first: an entry that knows of
// another owner says so, and this one is then no owner any more. Echoed reports whether
// FormerOwnersActUntil has changed.
func (c *Core) Echoed(name string, sentAt, now time.Duration) bool {
	c.now = now
	newest, known := c.echoes[name]
	if !known || sentAt <= newest {
		return false
	}
	c.echoes[name] = sentAt
	if !c.Owns() || sentAt < c.ownerSince || c.informedAt != 0 {
		return false
	}
	c.informed[name] = struct{}{}
	if !c.halfInformed() {
		return false
	}
	c.informedAt = now
	return true
}

// halfInformed reports whether this owner and the entries that know it are half of the
// entries that the row of the former owner names, or more. Each heartbeat of theirs to a
// former owner shows that it was replaced, so that owner has fresh echoes of less than
// the majority from echoTime on.
func (c *Core) halfInformed() bool {
	names, informed := parseEntries(c.former.Entries), 0
	for _, name := range names {
		if _, ok := c.informed[name]; ok || name == c.self {
			informed++
		}
	}
	return len(names) > 0 && 2*informed >= len(names)
}

// applyEchoes counts each linked entry as missing while its newest echo is old, or of a
// heartbeat that was sent before the process was suspended.
func (p *permission) applyEchoes(now time.Duration) {
	for name, sentAt := range p.echoes {
		stale := now-sentAt >= echoTime || sentAt < p.suspendedAt
		_, missing := p.missing[name]
		switch {
		case stale && !missing:
			p.entryMissing(name, now)
		case !stale && missing:
			p.entryPresent(name)
		}
	}
}
