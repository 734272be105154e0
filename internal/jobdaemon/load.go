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
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// storedState is the state that a new owner reads from the table service.
type storedState struct {
	jobs         []workload.Job
	cancelled    []workload.JobID
	progress     map[workload.JobID]*workload.Progress
	hosts        []workload.HostName
	hostRows     int // rows of the list of hosts
	interference []msg.Interference
	revision     table.Revision // of the oldest scan; a watch from it misses no change
}

const loadRetryInterval = 100 * time.Millisecond

// load repeats reading the stored jobs until it succeeds, and then watches for
// changes.
func (c *controller) load(ctx context.Context, epoch uint64) error {
	for {
		sentAt := c.now()
		state, err := c.loadOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			c.post(ctx, &jobsLoaded{epoch: epoch, state: state, sentAt: sentAt})
			return c.watchJobs(ctx, epoch, state.revision)
		}
		c.post(ctx, &jobsLoaded{epoch: epoch, err: err})
		if !actor.Sleep(ctx, loadRetryInterval) {
			return nil
		}
	}
}

const (
	// scanPageTime is how long one page of a scan may occupy the network connection of
	// the host. A new owner has ten scans under way, and the heartbeats of its peers
	// must not wait behind them for longer than a link may be silent.
	scanPageTime     = 20 * time.Millisecond
	minScanPageBytes = 8 << 10
)

// ScanPageBytes returns the bytes of a page of a scan over a connection of linkRate
// bits per second, or 0 if the rate is not known.
func ScanPageBytes(linkRate int64) int {
	if linkRate == 0 {
		return 0
	}
	return max(minScanPageBytes, int(float64(linkRate)/8*scanPageTime.Seconds()))
}

type scanResult struct {
	rows     []table.Row
	revision table.Revision
	err      error
}

// loadOnce scans all prefixes at the same time. The scans share one connection of
// the host, so the load continues while one of them makes progress.
func (c *controller) loadOnce(ctx context.Context) (*storedState, error) {
	limited, cancel := storage.WithProgressTimeout(ctx, 2*directTimeout, directTimeout)
	defer cancel()
	prefixes := []string{progressPrefix, hostsPrefix}
	for _, p := range jobParts {
		prefixes = append(prefixes, "jobs/"+string(p)+"/")
	}
	replies := make([]actor.Reply[scanResult], len(prefixes))
	for i, p := range prefixes {
		replies[i] = actor.NewReply[scanResult]()
		actor.Go(c.ownerGroup, "scan", func(context.Context) error {
			rows, revision, err := c.storeProxy.store.Scan(limited, p, 0)
			replies[i].Put(scanResult{rows, revision, err})
			return nil
		})
	}
	state := &storedState{progress: map[workload.JobID]*workload.Progress{}}
	for _, r := range replies {
		s, err := r.Get(limited) // a scan that panics does not reply
		if err == nil {
			err = s.err
		}
		if err != nil {
			return nil, err
		}
		if state.revision == 0 || s.revision < state.revision {
			state.revision = s.revision
		}
		for _, row := range s.rows {
			if err := state.addRow(row); err != nil {
				event.Log(c.log, event.RowUnreadable, log.Fields{"key": row.Key, "error": err.Error()})
			}
		}
	}
	return state, nil
}

// decodeJobRow decodes the row of a job. Rows whose steps are invalid, on which the
// owner relies, are refused as those that cannot be decoded.
func decodeJobRow(raw []byte) (workload.Job, error) {
	j, err := wire.DecodeJob(raw)
	if err == nil {
		err = j.ValidateSteps()
	}
	return j, err
}

// addRow decodes a row and adds it to the state.
func (s *storedState) addRow(row table.Row) error {
	switch {
	case strings.HasPrefix(row.Key, progressPrefix):
		p, err := wire.DecodeProgress(row.Value)
		if err != nil {
			return err
		}
		s.addProgress(row.Key, p)
	case isHostRow(row.Key):
		s.hosts = append(s.hosts, parseHostRow(row.Value)...)
		s.hostRows++
	case row.Key == interferenceKey:
		interference, err := wire.DecodeInterference(row.Value)
		if err != nil {
			return err
		}
		s.interference = interference
	default:
		id, cancel := parseJobKey(row.Key)
		if cancel {
			s.cancelled = append(s.cancelled, id)
			return nil
		}
		j, err := decodeJobRow(row.Value)
		if err != nil {
			return err
		}
		if j.ID != id {
			return fmt.Errorf("row of job %q contains job %q", id, j.ID)
		}
		s.jobs = append(s.jobs, j)
	}
	return nil
}

// addProgress adds a row of the progress table: that of a job, or one with the
// attempts of some of its tasks.
func (s *storedState) addProgress(key string, row workload.Progress) {
	id, attempts := parseProgressKey(key)
	known := s.progress[id]
	switch {
	case known == nil:
		s.progress[id] = &row
	case attempts:
		known.Attempts = append(known.Attempts, row.Attempts...)
	default:
		row.Attempts = append(row.Attempts, known.Attempts...)
		s.progress[id] = &row
	}
}

// jobsLoaded restores the stored jobs. The first load of an owner begins its recovery; a
// later one, after the history of the watch was lost, only adds what the watch has missed.
func (c *controller) jobsLoaded(m *jobsLoaded) {
	if c.jobs == nil || c.jobs.Epoch() != m.epoch {
		return
	}
	if m.err != nil {
		event.Log(c.log, event.OwnerStoreFailed, log.Fields{"epoch": m.epoch, "error": m.err.Error()})
		return
	}
	for _, id := range m.state.cancelled {
		c.jobs.Cancel(id)
	}
	for _, j := range m.state.jobs {
		c.owner.EpochObserved(j.Epoch, c.now())
		c.jobs.Restore(j, m.state.progress[j.ID])
	}
	c.jobs.StoredJobsRead(m.sentAt)
	if c.loading {
		c.loading = false
		c.beginRecovery(m.state)
		c.startFeeds()
	}
}

// beginRecovery claims the linked hosts, waits for those that may have runs of former
// owners, and applies the messages that were deferred during the load.
func (c *controller) beginRecovery(state *storedState) {
	c.writer.hostRows = state.hostRows
	c.jobs.RestoreInterference(state.interference)
	for _, a := range c.agents {
		if a.link != nil {
			c.jobs.Linked(a.host)
		}
	}
	for _, name := range state.hosts {
		c.jobs.ExpectHost(name)
	}
	c.jobs.Recover(c.formerOwners())
	c.limitFormerOwners()
	deferred := c.deferred
	c.deferred = nil
	for _, e := range deferred {
		switch e := e.(type) {
		case *msg.JobSubmitted:
			c.submit(e.Job)
		case *msg.HostInventory:
			c.jobs.Inventory(e)
		}
	}
}

// limitFormerOwners tells the jobs until when former owners may extend leases.
func (c *controller) limitFormerOwners() {
	if c.jobs == nil || c.loading {
		return // beginRecovery calls it again
	}
	until := c.owner.FormerOwnersActUntil()
	c.jobs.FormerOwnersActUntil(until)
	c.logFormerOwners(until)
}

// formerOwners returns what the ownership knows of the former owners.
func (c *controller) formerOwners() jobs.FormerOwners {
	switch {
	case c.owner.FormerOwnerEnded():
		return jobs.FormerOwnersEnded
	case c.owner.FormerOwnersFenced():
		return jobs.FormerOwnersFenced
	}
	return jobs.FormerOwnersActive
}

// submit adds a stored job to the jobs. A job of a higher epoch shows that another
// entry owns them.
func (c *controller) submit(j workload.Job) {
	if err := j.ValidateSteps(); err != nil {
		event.Log(c.log, event.RowUnreadable, log.Fields{"key": jobKey(j.ID), "error": err.Error()})
		return
	}
	c.owner.EpochObserved(j.Epoch, c.now())
	c.jobs.Submit(j)
}

const (
	watchWait  = time.Second
	watchPause = 200 * time.Millisecond // collects several rows for one answer
)

// watchJobs passes changed rows of the jobs table to the controller. It loads
// the jobs again if the history after the revision is no longer available.
func (c *controller) watchJobs(ctx context.Context, epoch uint64, after table.Revision) error {
	for actor.Sleep(ctx, watchPause) {
		sentAt := c.now()
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
		c.post(ctx, &jobsWatched{epoch: epoch, rows: rows, sentAt: sentAt})
	}
	return nil
}

func (c *controller) watchOnce(ctx context.Context, after table.Revision) ([]table.Row, table.Revision, error) {
	limited, cancel := storage.WithProgressTimeout(ctx, watchWait+directTimeout, directTimeout)
	defer cancel()
	return c.storeProxy.store.Watch(limited, "jobs/", after, watchWait)
}

func (c *controller) jobsWatched(m *jobsWatched) {
	if c.jobs == nil || c.jobs.Epoch() != m.epoch {
		return
	}
	for _, row := range m.rows {
		id, cancel := parseJobKey(row.Key)
		switch {
		case row.Deleted:
		case cancel:
			c.jobs.Cancel(id)
		default:
			j, err := decodeJobRow(row.Value)
			if err != nil {
				event.Log(c.log, event.RowUnreadable, log.Fields{"key": row.Key, "error": err.Error()})
				continue
			}
			c.submit(j)
		}
	}
	c.jobs.StoredJobsRead(m.sentAt)
}
