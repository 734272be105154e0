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
	// pollInterval is a tenth of the 5 s within which an edit must be in use,
	// so that a slow table may take most of that time.
	pollInterval = 500 * time.Millisecond
	// maxPollDelay bounds the backoff while the table is unavailable. An edit
	// that another entry writes after the recovery is in use here within 5 s,
	// and at this rate the polls of a few entries are a small load.
	maxPollDelay = 2 * time.Second
	pollTimeout  = 3 * time.Second // for all reads of one poll
)

// pollRequest asks the poller to poll at once; with reload it reads the whole
// configuration again.
type pollRequest struct{ reload bool }

// poller is the actor that reads the configuration's rows and sends changes to
// the node.
type poller struct {
	table       storage.Table
	node        actor.Address[message]
	log         log.Interface
	loaded      model.ConfigVersion // newest version sent to the node
	rev         storage.Revision    // the log is read up to this revision
	initialised bool                // loaded and rev are set
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
		timer.Reset(delay - delay/8 + rand.N(delay/4)) // jitter spreads the polls of entries started together
	}
}

func (p *poller) notify(ctx context.Context, m message) { _ = p.node.Send(ctx, m) }

// poll reads the version of the table and, if it is higher than loaded, the
// changes. pollCtx in the functions that it calls bounds only the reads.
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

// loadAll reads all items. The rows of removed items stay, so the newest
// change among the rows has the version at the scan's revision.
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

// loadLog reads the edits after the loaded version. When one is missing, the
// next poll reads the whole configuration.
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

// checkContiguous reports whether edits are the versions after a version
// without a gap. If not, it returns the first missing version.
func checkContiguous(after model.ConfigVersion, edits []rows.ConfigLog) (model.ConfigVersion, bool) {
	for _, e := range edits {
		if after++; e.Version != after {
			return after, false
		}
	}
	return after + 1, len(edits) > 0
}

// deltaOf returns contiguous edits as one delta. edits must not be empty.
func deltaOf(edits []rows.ConfigLog) *msg.ConfigDelta {
	d := &msg.ConfigDelta{From: edits[0].Version - 1, To: edits[len(edits)-1].Version}
	for _, e := range edits {
		d.Changes = append(d.Changes, e.Changes...)
	}
	return d
}
