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

// Messages of the helpers that call the table service for the owner.
type (
	ownerRead struct {
		owner   workload.Owner
		version table.Revision
	}
	ownerClaimed struct {
		owner  workload.Owner
		result result
	}
	jobsLoaded struct {
		epoch uint64
		load  *loaded
		err   error
	}
	jobsWatched struct {
		epoch uint64
		rows  []table.Row
	}
)

// tell delivers a message to the controller from a helper.
func (c *controller) tell(ctx context.Context, m any) {
	_ = c.address.Send(ctx, m) // an error means that the process ends
}

func (c *controller) ownershipEffects() {
	for _, e := range c.owner.Effects() {
		switch e {
		case ownership.ReadRow:
			actor.Go(c.group, "owner reader", c.readOwner)
		case ownership.ClaimRow:
			c.claim()
		case ownership.Begin:
			c.begin()
		case ownership.End:
			c.end("another entry owns the jobs")
		case ownership.Release:
			c.releaseJobs()
		}
	}
	epoch := c.owner.Epoch()
	c.published.epoch.Set(&epoch)
}

func (c *controller) readOwner(ctx context.Context) error {
	row, err := c.gateway.read(ctx, ownerKey)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return nil // the ownership asks again
	}
	m := &ownerRead{version: row.Version}
	if row.Version != 0 {
		if m.owner, err = wire.DecodeOwner(row.Value); err != nil {
			event.Log(c.log, event.RowUnreadable, log.Fields{"key": ownerKey, "error": err.Error()})
			return nil
		}
	}
	c.tell(ctx, m)
	return nil
}

func (c *controller) claim() {
	owner, version := c.owner.Claim()
	value, err := wire.EncodeOwner(owner)
	if err != nil {
		event.Log(c.log, event.RowUnreadable, log.Fields{"key": ownerKey, "error": err.Error()})
		return
	}
	txn := table.Txn{Checks: []table.Check{{Key: ownerKey, Version: version}}, Puts: []table.Put{{Key: ownerKey, Value: value}}}
	actor.Go(c.group, "owner claimer", func(ctx context.Context) error {
		c.tell(ctx, &ownerClaimed{owner, c.gateway.commit(ctx, txn)})
		return nil
	})
}

func (c *controller) ownerClaimed(m *ownerClaimed) {
	r := m.result
	if r.outcome == table.Conflict {
		for _, row := range r.rows {
			// An earlier try that got no answer may have won.
			if o, err := wire.DecodeOwner(row.Value); err == nil && o == m.owner {
				r.outcome, r.revision = table.Committed, row.Version
			}
		}
	}
	c.owner.Claimed(m.owner, r.outcome, r.revision, c.now())
	if c.owner.Owns() {
		c.writer = writer{owner: m.owner, version: r.revision}
	}
}

// begin takes the jobs over: it reads them and claims every host.
func (c *controller) begin() {
	epoch := c.owner.Epoch()
	event.Log(c.log, event.OwnershipStarted, log.Fields{"epoch": epoch})
	c.jobs = jobs.New(epoch, c.now())
	c.jobs.Advance(c.now(), time.Now().UnixMilli())
	c.loading, c.early = true, nil
	c.toEntries(&msg.OwnerClaim{Epoch: epoch, Owner: c.self.Name})
	c.feed = c.group.Sub()
	actor.Go(c.feed, "job loader", func(ctx context.Context) error { return c.load(ctx, epoch) })
}

func (c *controller) end(why string) {
	if c.jobs == nil {
		return
	}
	event.Log(c.log, event.OwnershipEnded, log.Fields{"epoch": c.jobs.Epoch(), "reason": why})
	c.jobs, c.loading, c.early = nil, false, nil
	c.feed.Cancel()
}

// retire asks the entry to give up the jobs; done is answered afterwards.
type retire struct{ done actor.Reply[bool] }

func (c *controller) retire(m *retire) {
	c.owner.Retire(c.now())
	c.writer.retired = m.done
	if c.jobs == nil {
		m.done.Put(true)
	}
}

// releaseJobs stores what is pending and gives the jobs up in one transaction.
func (c *controller) releaseJobs() {
	if c.jobs == nil || c.loading {
		c.writer.retired.Put(true)
		c.end("the process stops")
		return
	}
	c.writer.releasing = true
}
