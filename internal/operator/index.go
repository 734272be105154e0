package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// maxPageSize is the largest number of jobs in one response.
const maxPageSize = 500

// scanTimeout limits the read of changed rows for one list request.
const scanTimeout = 5 * time.Second

// listRequest requests one page of a cell's jobs: up to limit jobs that filter
// accepts, with ids greater than after.
type listRequest struct {
	ctx    context.Context
	cell   model.Cell
	filter func(model.JobRow) bool
	after  model.JobID
	limit  int
	reply  actor.Reply[listReply]
}

type listReply struct {
	page jobPage
	err  error
}

// jobPage is a page of jobs, sorted by id.
type jobPage struct {
	Jobs []model.JobRow `json:"jobs"`
	Next model.JobID    `json:"next,omitempty"` // pass as "after" for the next page
}

// jobIndex caches the job rows of the cells that were listed, so that a list
// request reads only the rows that changed since the previous one. The actor
// job-index owns it.
type jobIndex struct {
	table storage.Table
	cells map[model.Cell]*cellJobs
}

// cellJobs is the cached job rows of a cell, as of a revision of the table.
type cellJobs struct {
	revision storage.Revision
	rows     map[model.JobID]model.JobRow
	ids      []model.JobID // sorted
}

func (ix *jobIndex) run(ctx context.Context, requests <-chan listRequest) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-requests:
			if r.ctx.Err() != nil {
				continue
			}
			page, err := ix.list(r)
			r.reply.Put(listReply{page, err})
		}
	}
}

func (ix *jobIndex) list(r listRequest) (jobPage, error) {
	c, ok := ix.cells[r.cell]
	if !ok {
		c = &cellJobs{rows: map[model.JobID]model.JobRow{}}
	}
	ctx, cancel := context.WithTimeout(r.ctx, scanTimeout)
	defer cancel()
	changed, revision, err := ix.table.Scan(ctx, rows.JobPrefix(r.cell), c.revision)
	if err != nil {
		if !errors.Is(err, storage.ErrUnavailable) {
			err = fmt.Errorf("%w: %v", storage.ErrUnavailable, err)
		}
		return jobPage{}, err
	}
	if len(changed) > 0 {
		ix.cells[r.cell] = c // cells without jobs are not cached: clients may name cells that do not exist
	}
	c.update(rows.JobPrefix(r.cell), changed)
	c.revision = revision
	return c.page(r), nil
}

// update applies changed rows. Rows that cannot be decoded are removed.
func (c *cellJobs) update(prefix string, changed []storage.Row) {
	size := len(c.rows)
	for _, row := range changed {
		id := model.JobID(strings.TrimPrefix(row.Key, prefix))
		job, err := rows.Decode[model.JobRow](row.Value)
		if row.Deleted || err != nil {
			delete(c.rows, id)
			size = -1 // sort the ids again, also if another row was added
			continue
		}
		c.rows[id] = job
	}
	if len(c.rows) != size {
		c.ids = slices.Sorted(maps.Keys(c.rows))
	}
}

func (c *cellJobs) page(r listRequest) jobPage {
	p := jobPage{Jobs: []model.JobRow{}}
	start, exact := slices.BinarySearch(c.ids, r.after)
	if exact {
		start++
	}
	for _, id := range c.ids[start:] {
		if !r.filter(c.rows[id]) {
			continue
		}
		if len(p.Jobs) == r.limit {
			p.Next = p.Jobs[len(p.Jobs)-1].Spec.ID
			break
		}
		p.Jobs = append(p.Jobs, c.rows[id])
	}
	return p
}
