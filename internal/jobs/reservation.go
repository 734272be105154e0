package jobs

import (
	"slices"
	"time"
)

// reservationPause is the time after a reservation that no task could use, in which
// the host is not reserved again.
const reservationPause = 2 * maxReservation

// overdueTurn is the time in which overdue tasks may start on a host between isolated
// tasks that hold it.
const overdueTurn = 500 * time.Millisecond

// reservations is what earlier reservations of a host, and the present one, have shown.
type reservations struct {
	unused        int           // reservations in succession that no task could use
	admitsLasting bool          // the present one no longer keeps long-running tasks away
	pausedUntil   time.Duration // when the host may be reserved again; 0: now
}

// limit returns how long a reservation may stay unused. It doubles each time, so that
// it reaches the length of the runs for which an isolated task waits, however long
// they are.
func (r reservations) limit() time.Duration { return maxReservation << min(r.unused, 16) }

// reservedAgainst reports whether the host is reserved for isolated tasks and keeps
// the tasks of the step away. Long-running tasks start beside the runs that last
// longer than maxReservation.
func (h *host) reservedAgainst(s *step) bool {
	return h.reservedSince != 0 && !(h.reservations.admitsLasting && s.spec.LongRunning)
}

// endReservation lets other tasks start on the host.
func (h *host) endReservation() {
	h.reservedSince, h.reservations.admitsLasting = 0, false
	h.improve()
}

// pauseReservations keeps the host from being reserved for a time.
func (h *host) pauseReservations(d time.Duration) {
	h.reservations.pausedUntil = h.core.now + d
	h.schedule()
}

// endReservationPause lets the host be reserved again if the pause is over.
func (h *host) endReservationPause() {
	if h.reservations.pausedUntil != 0 && h.core.now >= h.reservations.pausedUntil {
		h.reservations.pausedUntil = 0
		h.improve()
	}
}

// limitReservations ends the reservations that no task could use within their limit,
// because the runs that are left on the host take the room. Until then long-running
// tasks wait for maxReservation at most.
func (c *Core) limitReservations() {
	c.reserved = slices.DeleteFunc(c.reserved, func(h *host) bool {
		age, r := c.now-h.reservedSince, &h.reservations
		if age >= r.limit() {
			r.unused++
			h.pauseReservations(reservationPause)
			h.endReservation()
			return true
		}
		if age >= maxReservation && !r.admitsLasting {
			r.admitsLasting = true
			h.improve()
		}
		return false
	})
}
