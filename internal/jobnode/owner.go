package jobnode

import (
	"context"
	"errors"
	"fmt"
	"strings"
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
	event.Log(c.log, event.OwnerBegan, log.Fields{"epoch": epoch})
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
	event.Log(c.log, event.OwnerEnded, log.Fields{"epoch": c.jobs.Epoch(), "reason": why})
	c.jobs, c.loading, c.early = nil, false, nil
	c.feed.Cancel()
}

// loaded is what a new owner reads.
type loaded struct {
	jobs      []workload.Job
	cancelled []workload.JobID
	progress  map[workload.JobID]*workload.Progress
	hosts     []workload.HostName
	revision  table.Revision // of the oldest read
}

const loadRetry = 100 * time.Millisecond

// load reads the jobs until it succeeds, and then watches for new ones.
func (c *controller) load(ctx context.Context, epoch uint64) error {
	for {
		l, err := c.loadOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			c.tell(ctx, &jobsLoaded{epoch: epoch, load: l})
			return c.watchJobs(ctx, epoch, l.revision)
		}
		c.tell(ctx, &jobsLoaded{epoch: epoch, err: err})
		if !actor.Sleep(ctx, loadRetry) {
			return nil
		}
	}
}

type scanned struct {
	rows     []table.Row
	revision table.Revision
	err      error
}

func (c *controller) loadOnce(ctx context.Context) (*loaded, error) {
	prefixes := []string{progressPrefix, hostsKey}
	for _, p := range jobParts {
		prefixes = append(prefixes, "jobs/"+string(p)+"/")
	}
	replies := make([]actor.Reply[scanned], len(prefixes))
	for i, p := range prefixes {
		replies[i] = actor.NewReply[scanned]()
		actor.Go(c.feed, "scan", func(ctx context.Context) error {
			rows, revision, err := c.gateway.scan(ctx, p)
			replies[i].Put(scanned{rows, revision, err})
			return nil
		})
	}
	l := &loaded{progress: map[workload.JobID]*workload.Progress{}}
	for _, r := range replies {
		s, err := r.Get(ctx)
		if err == nil {
			err = s.err
		}
		if err != nil {
			return nil, err
		}
		if l.revision == 0 || s.revision < l.revision {
			l.revision = s.revision
		}
		for _, row := range s.rows {
			if err := l.take(row); err != nil {
				event.Log(c.log, event.RowUnreadable, log.Fields{"key": row.Key, "error": err.Error()})
			}
		}
	}
	return l, nil
}

func (l *loaded) take(row table.Row) error {
	switch {
	case strings.HasPrefix(row.Key, progressPrefix):
		p, err := wire.DecodeProgress(row.Value)
		if err != nil {
			return err
		}
		l.progress[workload.JobID(strings.TrimPrefix(row.Key, progressPrefix))] = &p
	case row.Key == hostsKey:
		for _, name := range strings.Fields(string(row.Value)) {
			l.hosts = append(l.hosts, workload.HostName(name))
		}
	default:
		id, cancel := idOfKey(row.Key)
		if cancel {
			l.cancelled = append(l.cancelled, id)
			return nil
		}
		j, err := wire.DecodeJob(row.Value)
		if err != nil {
			return err
		}
		if j.ID != id {
			return fmt.Errorf("row of job %q holds job %q", id, j.ID)
		}
		l.jobs = append(l.jobs, j)
	}
	return nil
}

func (c *controller) jobsLoaded(m *jobsLoaded) {
	if c.jobs == nil || c.jobs.Epoch() != m.epoch {
		return
	}
	if m.err != nil {
		event.Log(c.log, event.OwnerStoreFailed, log.Fields{"epoch": m.epoch, "error": m.err.Error()})
		return
	}
	c.loading = false
	for _, id := range m.load.cancelled {
		c.jobs.Cancel(id)
	}
	for _, j := range m.load.jobs {
		c.jobs.Restore(j, m.load.progress[j.ID])
	}
	for _, a := range c.agents {
		if a.link != nil {
			c.jobs.Linked(a.host)
		}
	}
	for _, name := range m.load.hosts {
		c.jobs.Expect(name)
	}
	c.jobs.Recover()
	early := c.early
	c.early = nil
	for _, e := range early {
		switch e := e.(type) {
		case *msg.JobSubmitted:
			c.jobs.Submit(e.Job)
		case *msg.HostInventory:
			c.jobs.Inventory(e)
		}
	}
	c.toEntries(&msg.JobPhases{Epoch: m.epoch, All: true, Jobs: c.jobs.AllPhases()})
}

const (
	watchWait  = 2 * time.Second
	watchPause = 200 * time.Millisecond // lets rows of one moment share a call
)

// watchJobs passes on rows that other entries stored.
func (c *controller) watchJobs(ctx context.Context, epoch uint64, after table.Revision) error {
	for actor.Sleep(ctx, watchPause) {
		rows, revision, err := c.watchOnce(ctx, after)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, storage.ErrCompacted):
			return c.load(ctx, epoch)
		case err != nil:
			continue
		}
		after = revision
		if len(rows) > 0 {
			c.tell(ctx, &jobsWatched{epoch, rows})
		}
	}
	return nil
}

func (c *controller) watchOnce(ctx context.Context, after table.Revision) ([]table.Row, table.Revision, error) {
	limited, cancel := context.WithTimeout(ctx, watchWait+directTimeout)
	defer cancel()
	return c.gateway.store.Watch(limited, "jobs/", after, watchWait)
}

func (c *controller) jobsWatched(m *jobsWatched) {
	if c.jobs == nil || c.jobs.Epoch() != m.epoch {
		return
	}
	for _, row := range m.rows {
		id, cancel := idOfKey(row.Key)
		switch {
		case row.Deleted:
		case cancel:
			c.jobs.Cancel(id)
		default:
			j, err := wire.DecodeJob(row.Value)
			if err != nil {
				event.Log(c.log, event.RowUnreadable, log.Fields{"key": row.Key, "error": err.Error()})
				continue
			}
			c.jobs.Submit(j)
		}
	}
}

// retire asks the entry to give up the jobs; done is answered afterwards.
type retire struct{ done actor.Reply[bool] }

func (c *controller) retire(m *retire) {
	c.owner.Give(c.now())
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
