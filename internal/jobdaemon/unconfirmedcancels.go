package jobdaemon

import (
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// maxUnconfirmedCancels is half of the messages that may wait for the socket of a
	// link. The owner receives any others through its watch of the table service.
	maxUnconfirmedCancels = 128
	// unconfirmedRetention bounds how long a cancellation is sent again. The owner may
	// not reach the table service as long.
	unconfirmedRetention = time.Minute
)

// unconfirmedCancels holds the cancellations that this entry has stored and of which the
// owner of the jobs has not shown that it knows them. They are sent again on each further
// link to the owner: a message that was sent may be lost with its link, or go to a former
// owner. The owner ignores those that it knows.
type unconfirmedCancels map[workload.JobID]*unconfirmedCancel

type unconfirmedCancel struct {
	storedAt time.Duration
	sentOn   []linkID
}

// add records a stored cancellation. It replaces the oldest one if there are too many.
func (u unconfirmedCancels) add(id workload.JobID, now time.Duration) {
	u[id] = &unconfirmedCancel{storedAt: now}
	if len(u) > maxUnconfirmedCancels {
		delete(u, u.oldest())
	}
}

func (u unconfirmedCancels) oldest() workload.JobID {
	var oldest workload.JobID
	for id, c := range u {
		if oldest == "" || c.storedAt < u[oldest].storedAt {
			oldest = id
		}
	}
	return oldest
}

// confirm applies a phase that the owner sent. No task of a job that has ended starts.
func (u unconfirmedCancels) confirm(p msg.JobPhase) {
	if p.Phase.Final() {
		delete(u, p.ID)
	}
}

// prune forgets the cancellations that were stored long ago.
func (u unconfirmedCancels) prune(now time.Duration) {
	for id, c := range u {
		if now-c.storedAt > unconfirmedRetention {
			delete(u, id)
		}
	}
}

// takeUnsent returns the cancellations that were not sent on a link, and records that they
// are.
func (u unconfirmedCancels) takeUnsent(link linkID) []workload.JobID {
	var unsent []workload.JobID
	for id, c := range u {
		if !slices.Contains(c.sentOn, link) {
			c.sentOn = append(c.sentOn, link)
			unsent = append(unsent, id)
		}
	}
	slices.Sort(unsent)
	return unsent
}

// sendCancels sends the unconfirmed cancellations to the owner or, while it is not known,
// to each linked entry.
func (c *controller) sendCancels() {
	for _, l := range c.ownerLinks() {
		for _, id := range c.cancels.takeUnsent(l.id) {
			c.send(l, &msg.JobCancelled{ID: id})
		}
	}
}
