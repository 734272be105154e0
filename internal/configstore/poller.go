package configstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	// pollInterval leaves most of the 5 s in which an edit is in effect to a
	// slow store.
	pollInterval = 500 * time.Millisecond
	// maxPollDelay bounds the backoff while the table is away. An edit that
	// another entry writes as soon as the table is back is in effect here
	// within 5 s, and a few entries are no burden at this rate.
	maxPollDelay = 2 * time.Second
	pollTimeout  = 3 * time.Second
)

// pollNow asks the poller to look at once; All to load everything again.
type pollRequest struct{ reload bool }

// poller reads the configuration's rows and tells the node what it finds.
type poller struct {
	table       storage.Table
	node        actor.Address[message]
	log         log.Interface
	loaded      model.ConfigVersion
	rev         storage.Revision // the log is read up to this revision
	initialised bool             // loaded and rev are set
}

func (p *poller) run(ctx context.Context, in <-chan pollRequest) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	delay := pollInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-in:
			p.initialised = p.initialised && !request.reload
		case <-timer.C:
		}
		if err := p.poll(ctx); err != nil {
			delay = min(2*delay, maxPollDelay)
			p.notify(ctx, &pollFailed{err: err})
		} else {
			delay = pollInterval
		}
		timer.Reset(delay - delay/8 + rand.N(delay/4)) // entries started together poll apart
	}
}

func (p *poller) notify(ctx context.Context, m message) { _ = p.node.Send(ctx, m) }

func (p *poller) poll(ctx context.Context) error {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, _, err := readRow[rows.ConfigHead](pollCtx, p.table, rows.ConfigHeadKey)
	switch {
	case err != nil:
		return err
	case !p.initialised:
		return p.loadAll(ctx, pollCtx, head.Version)
	case head.Version > p.loaded:
		return p.loadLog(ctx, pollCtx)
	}
	p.notify(ctx, &pollSucceeded{version: p.loaded})
	return nil
}

// loadAll reads every item. Items that were removed still have rows, so the
// newest change among the rows is the version at the scan's revision.
func (p *poller) loadAll(ctx, pollCtx context.Context, head model.ConfigVersion) error {
	tableRows, rev, err := p.table.Scan(pollCtx, rows.ConfigKeyPrefix, 0)
	if err != nil {
		return err
	}
	d := &msg.ConfigDelta{Full: true, To: head}
	for _, row := range tableRows {
		if row.Deleted {
			continue
		}
		change, err := rows.Decode[model.ConfigChange](row.Value)
		if err != nil {
			event.Log(p.log, event.ConfigRowMalformed, log.Fields{"row": row.Key, "error": err.Error()})
			continue
		}
		d.To = max(d.To, change.Version)
		if change.Item != nil {
			d.Changes = append(d.Changes, change)
		}
	}
	p.loaded, p.rev, p.initialised = d.To, rev, true
	p.notify(ctx, &pollSucceeded{version: d.To, delta: d})
	return nil
}

// loadLog reads the edits after the version loaded. When one is missing it
// loads everything at the next poll.
func (p *poller) loadLog(ctx, pollCtx context.Context) error {
	tableRows, rev, err := p.table.Scan(pollCtx, rows.ConfigLogPrefix, p.rev)
	if err != nil {
		return err
	}
	var edits []rows.ConfigLog
	for _, row := range tableRows {
		entry, err := rows.Decode[rows.ConfigLog](row.Value)
		if row.Deleted || (err == nil && entry.Version <= p.loaded) {
			continue
		}
		if err != nil {
			event.Log(p.log, event.ConfigRowMalformed, log.Fields{"row": row.Key, "error": err.Error()})
			continue
		}
		edits = append(edits, entry)
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].Version < edits[j].Version })
	if missing, ok := checkContiguous(p.loaded, edits); !ok {
		p.initialised = false
		return fmt.Errorf("%s is missing", rows.ConfigLogKey(missing))
	}
	p.rev = rev
	d := deltaOf(edits)
	p.loaded = d.To
	p.notify(ctx, &pollSucceeded{version: d.To, delta: d})
	return nil
}

// contiguous reports whether edits are the versions after a version without a
// gap, or the first that is missing.
func checkContiguous(after model.ConfigVersion, edits []rows.ConfigLog) (model.ConfigVersion, bool) {
	for _, e := range edits {
		if after++; e.Version != after {
			return after, false
		}
	}
	return after + 1, len(edits) > 0
}

// deltaOf returns contiguous edits as one delta.
func deltaOf(edits []rows.ConfigLog) *msg.ConfigDelta {
	d := &msg.ConfigDelta{From: edits[0].Version - 1, To: edits[len(edits)-1].Version}
	for _, e := range edits {
		d.Changes = append(d.Changes, e.Changes...)
	}
	return d
}
