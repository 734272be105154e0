package jobdaemon

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Messages of the goroutines that call the table service for the owner.
type (
	ownerRead struct {
		owner   workload.Owner
		version table.Revision
	}
	ownerClaimed struct {
		owner  workload.Owner
		result commitResult
	}
	ownerReleased struct {
		epoch   uint64
		outcome table.Outcome
	}
	jobsLoaded struct {
		epoch  uint64
		state  *storedState
		sentAt time.Duration // when the state was requested
		err    error
	}
	jobsWatched struct {
		epoch  uint64
		rows   []table.Row
		sentAt time.Duration // when the rows were requested
	}
)

// post sends a message to the controller. It waits while the mailbox is full, so
// the controller itself must not call it.
func (c *controller) post(ctx context.Context, m any) {
	_ = c.address.Send(ctx, m) // an error means that the process ends
}

// ownershipEffects applies the decisions of the ownership.
func (c *controller) ownershipEffects() {
	for _, e := range c.owner.Effects() {
		switch e {
		case ownership.ReadRow:
			actor.Go(c.group, "owner reader", c.readOwner)
		case ownership.ClaimRow:
			c.claimOwnership()
		case ownership.Begin:
			c.startOwnership()
		case ownership.End:
			c.endOwnership("another entry owns the jobs")
		case ownership.Release:
			c.releaseJobs()
		case ownership.HandOver:
			c.handOver()
		}
	}
	epoch := c.owner.Epoch()
	c.published.epoch.Set(&epoch)
	c.published.epochs.Highest.Raise(epoch)
}

func (c *controller) readOwner(ctx context.Context) error {
	row, err := c.storeProxy.read(ctx, ownerKey)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return nil // the ownership repeats ReadRow
	}
	m := &ownerRead{version: row.Version}
	if row.Version != 0 {
		if m.owner, err = wire.DecodeOwner(row.Value); err != nil {
			event.Log(c.log, event.RowUnreadable, log.Fields{"key": ownerKey, "error": err.Error()})
			return nil
		}
	}
	c.post(ctx, m)
	return nil
}

func (c *controller) claimOwnership() {
	c.recordFormerOwner()
	owner, version := c.owner.Claim()
	value, err := wire.EncodeOwner(owner)
	if err != nil {
		event.Log(c.log, event.RowUnreadable, log.Fields{"key": ownerKey, "error": err.Error()})
		return
	}
	txn := table.Txn{Checks: []table.Check{{Key: ownerKey, Version: version}}, Puts: []table.Put{{Key: ownerKey, Value: value}}}
	actor.Go(c.group, "owner claimer", func(ctx context.Context) error {
		c.post(ctx, &ownerClaimed{owner, c.storeProxy.commit(ctx, txn)})
		return nil
	})
}

func (c *controller) ownerClaimed(m *ownerClaimed) {
	c.noticeSuspension(c.now())
	r := m.result
	if r.outcome == table.Conflict {
		for _, row := range r.rows {
			// An earlier attempt without an answer may have taken effect.
			if o, err := wire.DecodeOwner(row.Value); err == nil && o == m.owner {
				r.outcome, r.revision = table.Committed, row.Version
			}
		}
	}
	if r.outcome == table.Committed {
		// Before the time of the claim is taken: a heartbeat that is sent, or echoed,
		// after that time carries the epoch.
		c.published.epochs.Highest.Raise(m.owner.Epoch)
	}
	if c.owner.Claimed(m.owner, r.outcome, r.revision, c.now()) {
		c.writer = writer{owner: m.owner, version: r.revision, retireReply: c.writer.retireReply}
	}
}

// ordersShare is the part of the owner's network connection that start requests may
// take: one half.
const ordersShare = 2

// startOwnership takes over the jobs: it notifies the other entries and loads the
// stored jobs. beginRecovery claims the hosts. Until then the heartbeats show which
// links to agents have failed without notice.
func (c *controller) startOwnership() {
	epoch := c.owner.Epoch()
	c.logOwnershipStarted()
	c.jobs = jobs.New(epoch, c.now())
	c.jobs.InheritEndingLeases(c.writer.owner.EndingLeases)
	c.inheritRuns()
	c.jobs.StoredJobsRead(0)
	c.jobs.LimitOrders(c.linkRate / 8 / ordersShare)
	c.advanceJobs()
	c.loading, c.deferred = true, nil
	c.sendToEntries(&msg.OwnerClaim{Epoch: epoch, Owner: c.self.Name})
	c.sendToEntries(&msg.Heartbeat{})
	c.sendHeartbeats(linkTiming.Heartbeat)
	c.ownerGroup = c.group.Sub()
	actor.GoUntilDone(c.ownerGroup, "job loader", func(ctx context.Context) error { return c.load(ctx, epoch) })
}

func (c *controller) endOwnership(reason string) {
	if c.jobs == nil {
		return
	}
	event.Log(c.log, event.OwnershipEnded, log.Fields{"epoch": c.jobs.Epoch(), "reason": reason})
	c.jobs, c.loading, c.deferred, c.feeds = nil, false, nil, nil
	c.ownerGroup.Cancel()
	c.sendHeartbeats(idleHeartbeat)
}

// retireRequest asks the controller to release the jobs. The reply is sent when
// that is done.
type retireRequest struct{ done actor.Reply[bool] }

func (c *controller) retire(m *retireRequest) {
	c.owner.Retire(c.now())
	c.writer.retireReply = m.done
	if c.jobs == nil {
		m.done.Put(true)
	}
}

// releaseJobs lets the writer store the pending changes and release the jobs in
// one transaction.
func (c *controller) releaseJobs() {
	if c.jobs == nil || c.loading {
		c.releaseUnread()
		return
	}
	c.writer.releasing = true
}

// releaseUnread releases jobs that this owner has not read yet. It has started none
// of their tasks, so the next owner has to expect what this one had to.
func (c *controller) releaseUnread() {
	owner := workload.Owner{
		Epoch: c.writer.owner.Epoch, Sequence: c.writer.owner.Sequence + 1,
		Unsettled: !c.owner.FormerOwnerEnded(), Fenced: c.owner.FormerOwnersFenced(),
		Entries: c.writer.owner.Entries, ActsFor: c.writer.owner.ActsFor, EndingLeases: c.writer.owner.EndingLeases,
	}
	c.endOwnership("the process stops")
	value, err := wire.EncodeOwner(owner)
	if err != nil {
		event.Log(c.log, event.RowUnreadable, log.Fields{"key": ownerKey, "error": err.Error()})
		c.writer.retireReply.Put(true)
		return
	}
	txn := table.Txn{Checks: []table.Check{{Key: ownerKey, Version: c.writer.version}}, Puts: []table.Put{{Key: ownerKey, Value: value}}}
	actor.Go(c.group, "owner releaser", func(ctx context.Context) error {
		c.post(ctx, &ownerReleased{owner.Epoch, c.storeProxy.commit(ctx, txn).outcome})
		return nil
	})
}

// ownerReleased tells the other entries that the jobs were released unread.
func (c *controller) ownerReleased(m *ownerReleased) {
	if m.outcome == table.Committed {
		c.sendToEntries(&msg.OwnerClaim{Epoch: m.epoch})
	}
	c.writer.retireReply.Put(true)
}

// handOver lets the writer release the jobs as releaseJobs does, to an entry on a
// larger host.
func (c *controller) handOver() {
	successor, share := c.owner.Successor()
	event.Log(c.log, event.OwnerHandsOver, log.Fields{
		"epoch": c.jobs.Epoch(), "reason": "the loop is persistently late", "waiting": c.jobs.LastPass().Waiting,
		"successor": successor, "successor-share": share,
	})
	c.writer.releasing = true
}

// ownerRead applies the row of the owner.
func (c *controller) ownerRead(m *ownerRead) {
	former, epoch := c.owner.Owner(), c.owner.Epoch()
	c.owner.Read(m.owner, m.version, c.now())
	c.published.epochs.Highest.Raise(c.owner.Epoch())
	c.published.epochs.Known.Set(true)
	if c.owner.Owner() != former || c.owner.Epoch() != epoch {
		c.logOwner("table service")
	}
}
