package jobdaemon

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// loaded is what a new owner reads.
type loaded struct {
	jobs      []workload.Job
	cancelled []workload.JobID
	progress  map[workload.JobID]*workload.Progress
	hosts     []workload.HostName
	harms     []msg.Interference
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
	prefixes := []string{progressPrefix, hostsPrefix}
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
	case row.Key == harmsKey:
		harms, err := wire.DecodeInterference(row.Value)
		if err != nil {
			return err
		}
		l.harms = harms
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
	c.jobs.RestoreInterference(m.load.harms)
	for _, a := range c.agents {
		if a.link != nil {
			c.jobs.Linked(a.host)
		}
	}
	for _, name := range m.load.hosts {
		c.jobs.ExpectHost(name)
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
	c.toEntries(&msg.JobPhases{Epoch: m.epoch, Full: true, Jobs: c.jobs.AllPhases()})
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
