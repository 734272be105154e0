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

// maxPage bounds the jobs of one answer.
const maxPage = 500

// scanTimeout bounds the reading of changed rows before a list is answered.
const scanTimeout = 5 * time.Second

// listRequest asks the index for one page.
type listRequest struct {
	ctx    context.Context
	cell   model.Cell
	filter func(model.JobRow) bool
	after  model.JobID
	limit  int
	answer actor.Reply[listAnswer]
}

type listAnswer struct {
	page jobPage
	err  error
}

// jobPage is a page of jobs in the order of their ids.
type jobPage struct {
	Jobs []model.JobRow `json:"jobs"`
	Next model.JobID    `json:"next,omitempty"` // pass as "after" for the next page
}

// jobIndex keeps the job rows of the cells that were listed, so that a list
// reads only the rows that changed since the one before.
type jobIndex struct {
	table storage.Table
	cells map[model.Cell]*cellJobs
}

type cellJobs struct {
	rev  storage.Revision
	rows map[model.JobID]model.JobRow
	ids  []model.JobID // sorted
}

func (ix *jobIndex) run(ctx context.Context, in <-chan listRequest) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-in:
			if r.ctx.Err() != nil {
				continue
			}
			page, err := ix.list(r)
			r.answer.Put(listAnswer{page, err})
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
	changed, rev, err := ix.table.Scan(ctx, rows.JobPrefix(r.cell), c.rev)
	if err != nil {
		if !errors.Is(err, storage.ErrUnavailable) {
			err = fmt.Errorf("%w: %v", storage.ErrUnavailable, err)
		}
		return jobPage{}, err
	}
	if len(changed) > 0 {
		ix.cells[r.cell] = c // a cell without jobs may not exist
	}
	c.update(rows.JobPrefix(r.cell), changed)
	c.rev = rev
	return c.page(r), nil
}

func (c *cellJobs) update(prefix string, changed []storage.Row) {
	size := len(c.rows)
	for _, row := range changed {
		id := model.JobID(strings.TrimPrefix(row.Key, prefix))
		job, err := rows.Decode[model.JobRow](row.Value)
		if row.Deleted || err != nil {
			delete(c.rows, id)
			size = -1
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
