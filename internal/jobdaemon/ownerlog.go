package jobdaemon

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/event"
)

// ownerLog holds what the lines of an owner tell besides its decisions.
type ownerLog struct {
	unlinked        map[string]time.Duration // known entries that are not linked, since when
	formerOwner     string                   // before the last claim; "": none
	formerEpoch     uint64                   // highest known one before the last claim
	formerActsUntil time.Duration            // as logged last
	permission      permissionState          // as logged last
}

// permissionState says whether the owner may act.
type permissionState string

const (
	permissionUndisputed permissionState = "undisputed" // every known entry has answered lately
	permissionDisputed   permissionState = "disputed"   // an entry that is missing may have replaced it; it acts for a time after each write
	permissionLapsed     permissionState = "lapsed"     // it may not act
)

// permission returns whether the owner may act, and the newest time at which no other
// entry had replaced it.
func (c *controller) permission(now time.Duration) (permissionState, time.Duration) {
	confirmedAt := c.owner.NotReplacedUntil()
	switch {
	case !c.owner.MayAct(now):
		return permissionLapsed, confirmedAt
	case c.owner.Undisputed():
		return permissionUndisputed, confirmedAt
	}
	return permissionDisputed, confirmedAt
}

// recordOwner sets the metrics of the ownership if that is due.
func (c *controller) recordOwner(now time.Duration) {
	if now-c.ownerRecordedAt < statusRecordInterval {
		return
	}
	c.ownerRecordedAt = now
	var s ownerStatus
	if c.jobs != nil {
		s.epoch = c.jobs.Epoch()
		s.permission, s.confirmedAt = c.permission(now)
		s.jobs = c.jobs.Status()
		c.jobs.LogLongWaits()
	}
	c.metrics.recordOwner(s, now)
}

// logPermission logs the permission of the owner if its state has changed.
func (c *controller) logPermission(now time.Duration) {
	l := &c.ownerLog
	state, confirmedAt := c.permission(now)
	if state == l.permission {
		return
	}
	l.permission = state
	event.Log(c.log, event.OwnerPermission, log.Fields{
		"epoch": c.jobs.Epoch(), "acts": state != permissionLapsed, "state": string(state), "unlinked": l.unlinkedEntries(now),
		"confirmed-ms": (now - confirmedAt).Milliseconds(),
	})
}

func (l *ownerLog) entryLinked(name string) { delete(l.unlinked, name) }

// entryUnlinked records that an entry is not linked.
func (l *ownerLog) entryUnlinked(name string, now time.Duration) {
	if l.unlinked == nil {
		l.unlinked = map[string]time.Duration{}
	}
	l.unlinked[name] = now
}

// unlinkedEntries returns the entries that are not linked, and for how long.
func (l *ownerLog) unlinkedEntries(now time.Duration) string {
	list := make([]string, 0, len(l.unlinked))
	for name, since := range l.unlinked {
		list = append(list, fmt.Sprintf("%s:%dms", name, (now-since).Milliseconds()))
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}

// recordFormerOwner records the owner before a claim of this entry.
func (c *controller) recordFormerOwner() {
	c.ownerLog.formerOwner, c.ownerLog.formerEpoch = c.owner.Owner(), c.owner.Epoch()
}

// logOwnershipStarted logs the start of the ownership and what is known of the former
// owner.
func (c *controller) logOwnershipStarted() {
	l := &c.ownerLog
	l.formerActsUntil, l.permission = c.owner.FormerOwnersActUntil(), permissionUndisputed
	event.Log(c.log, event.OwnershipStarted, log.Fields{
		"epoch": c.owner.Epoch(), "former-owner": l.formerOwner, "former-epoch": l.formerEpoch, "former-ended": c.owner.FormerOwnerEnded(),
		"former-acts-ms": c.formerActsMS(), "linked": c.linkedEntries(), "unlinked": l.unlinkedEntries(c.now()),
	})
}

// linkedEntries returns the number of linked entries.
func (c *controller) linkedEntries() int {
	names := map[string]struct{}{}
	for _, l := range c.links {
		if !l.hello.Agent {
			names[l.hello.Member.Name] = struct{}{}
		}
	}
	return len(names)
}

// formerActsMS returns how long former owners may still act, in milliseconds.
func (c *controller) formerActsMS() int64 {
	if c.owner.FormerOwnerEnded() {
		return 0
	}
	return max(0, c.ownerLog.formerActsUntil-c.now()).Milliseconds()
}

// logFormerOwners logs until when former owners may act, if that has changed.
func (c *controller) logFormerOwners(until time.Duration) {
	if until == c.ownerLog.formerActsUntil || c.owner.FormerOwnerEnded() {
		return
	}
	c.ownerLog.formerActsUntil = until
	event.Log(c.log, event.FormerOwnersLimited, log.Fields{"epoch": c.jobs.Epoch(), "former-owner": c.ownerLog.formerOwner, "former-acts-ms": c.formerActsMS()})
}
