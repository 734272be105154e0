package ownership

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// commit writes the row and calls answered with the outcome and the present row. A call
// whose answer is late has an unknown outcome, and may take effect later.
func (e *dividedEntry) commit(owner workload.Owner, version table.Revision, answered func(table.Outcome, workload.Owner, table.Revision)) {
	s := e.site
	done := false
	answer := func(o table.Outcome, row workload.Owner, v table.Revision) {
		if !done {
			done = true
			answered(o, row, v)
		}
	}
	s.after(storeTimeout, e.name, func() { answer(table.Unknown, workload.Owner{}, 0) })
	if s.noStore[e.name] {
		return
	}
	delay := s.upTo(20 * time.Millisecond)
	if s.lateStore && s.random.IntN(3) == 0 {
		delay = s.upTo(maxLateWrite)
	}
	s.after(delay, "", func() {
		outcome := table.Conflict
		if version == s.version {
			outcome = table.Committed
			if owner.Name != s.row.Name || owner.Epoch != s.row.Epoch {
				s.note("row: %+v", owner)
				s.noStore[s.noStoreAfterClaim], s.noStoreAfterClaim = true, ""
			}
			s.row, s.version = owner, s.version+1
		}
		row, v := s.row, s.version
		if !s.noStore[e.name] {
			late := 20 * time.Millisecond
			if s.lateStore {
				late = storeTimeout
			}
			s.after(s.upTo(late), e.name, func() { answer(outcome, row, v) })
		}
	})
}

func (e *dividedEntry) perform() {
	s := e.site
	for _, effect := range e.core.Effects() {
		switch effect {
		case ReadRow:
			if s.noStore[e.name] {
				continue
			}
			s.after(s.upTo(20*time.Millisecond), "", func() {
				row, version := s.row, s.version
				s.after(s.upTo(20*time.Millisecond), e.name, func() {
					e.core.Read(row, version, e.clock())
					e.highest, e.known = max(e.highest, e.core.Epoch()), true
				})
			})
		case ClaimRow:
			e.claim()
		case Begin:
			s.note("%s owns the jobs with epoch %d", e.name, e.core.Epoch())
			s.takeovers++
			if s.divided && s.random.IntN(2) == 0 {
				s.after(s.upTo(400*time.Millisecond), "", func() { s.end(e.name) })
			}
			if !e.core.knownToOwners(e.core.former.Entries) {
				s.unnamed++
			}
			for _, id := range sortedIDs(e.links) {
				epoch := e.core.Epoch()
				e.send(e.links[id], func(far *dividedEntry, _ *dividedLink) { far.core.OwnerObserved(e.name, epoch, far.clock()) })
			}
		case End:
			s.note("%s ends", e.name)
		}
	}
	e.highest = max(e.highest, e.core.Epoch())
	if e.core.Owns() && !e.committing && (e.core.ConfirmationDue() || e.core.NextRow(e.owner).Entries != e.owner.Entries) {
		next := e.core.NextRow(e.owner)
		next.Unsettled = next.Unsettled && !(e.settled && e.recovers)
		e.core.EntriesSent(next.Entries)
		e.committing = true
		e.confirm(next)
	}
}

func (e *dividedEntry) claim() {
	s := e.site
	owner, version := e.core.Claim()
	e.commit(owner, version, func(outcome table.Outcome, row workload.Owner, v table.Revision) {
		if outcome == table.Conflict && row == owner {
			outcome = table.Committed
		}
		if outcome == table.Committed {
			e.highest = max(e.highest, owner.Epoch)
		}
		if e.core.Claimed(owner, outcome, v, e.clock()) {
			e.owner, e.version, e.committing, e.settled, e.recovers = owner, v, false, false, s.random.IntN(2) == 0
		}
	})
}

// confirm rewrites the row as the owner's writer does.
func (e *dividedEntry) confirm(next workload.Owner) {
	sentAt := e.clock()
	e.commit(next, e.version, func(outcome table.Outcome, row workload.Owner, v table.Revision) {
		if !e.core.Owns() || e.owner.Epoch != next.Epoch {
			return
		}
		if outcome == table.Conflict {
			switch {
			case row == next:
				outcome = table.Committed
			case row.Name == e.owner.Name && row.Boot == e.owner.Boot && row.Epoch == e.owner.Epoch:
				e.version, outcome = v, table.Unknown
			}
		}
		switch outcome {
		case table.Committed:
			e.committing, e.version, e.owner = false, v, next
			e.core.EntriesStored(next.Entries)
			e.core.Confirmed(sentAt, e.clock())
		case table.Conflict:
			e.committing = false
			e.core.Superseded(e.clock())
		default:
			e.confirm(next)
		}
	})
}
