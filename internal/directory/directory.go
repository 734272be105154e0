// Package directory maintains the list of running entries in the table: each
// entry renews a row of its own, and other processes poll the rows. It does not
// depend on the users of the list.
package directory

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	// renewInterval is the time between renewals of an entry's row: 1.5 writes/s
	// with 30 entries.
	renewInterval = 20 * time.Second
	// minExpiry is how long an entry is listed after the last change of its
	// row, or three polling intervals if these are longer.
	minExpiry = 3 * renewInterval
)

// Announce renews the row of an entry until g ends. It does not retry a failed
// renewal: the next one follows after renewInterval.
func Announce(g *actor.Group, table storage.Table, e rows.Entry) {
	actor.Go(g, "entry announcer", func(ctx context.Context) error {
		for {
			e.Counter++
			txn := storage.Txn{
				Operation: fmt.Sprintf("%s/%x/%d", e.ID, uint64(e.Boot), e.Counter),
				Puts:      []storage.Put{{Key: rows.EntryKey(e.ID), Value: rows.Encode(e)}},
			}
			_, _ = table.Commit(ctx, txn)
			if !actor.Sleep(ctx, renewInterval) {
				return nil
			}
		}
	})
}

// List holds the running entries as of revision UpTo. Rows that changed later are
// not in it; see Current.
type List struct {
	Entries []rows.Entry
	UpTo    storage.Revision
}

// Follow polls the table every interval until g ends. It calls deliver, from one
// goroutine, with the running entries whenever a row has changed or an entry has
// expired.
func Follow(g *actor.Group, table storage.Table, interval time.Duration, l log.Interface, deliver func(List)) {
	to := actor.Spawn(g, actor.Spec[storage.Changes]{Name: "entry directory", Mailbox: 4, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan storage.Changes) error {
			return newFollower(interval, deliver).run(ctx, in)
		}})
	storage.SpawnPoller(g, storage.PollerConfig{Table: table, Prefix: rows.EntryPrefix, Interval: interval, Log: l},
		to, func(c storage.Changes) storage.Changes { return c })
}

// follower tracks the rows of entries. It expires entries by its own clock, so
// that clocks of different hosts are not compared.
type follower struct {
	expiry   time.Duration // since the last change of a row
	deliver  func(List)
	upTo     storage.Revision
	observed map[model.EntryID]*observedRow
}

// observedRow is the last row of an entry and the time at which its change was
// observed.
type observedRow struct {
	entry     rows.Entry
	changedAt time.Time
}

func newFollower(interval time.Duration, deliver func(List)) *follower {
	return &follower{expiry: max(minExpiry, 3*interval), deliver: deliver, observed: map[model.EntryID]*observedRow{}}
}

func (f *follower) run(ctx context.Context, in <-chan storage.Changes) error {
	expiryTicker := time.NewTicker(renewInterval)
	defer expiryTicker.Stop()
	for {
		select {
		case c := <-in:
			f.upTo = c.UpTo
			f.apply(time.Now(), c.Rows)
		case <-expiryTicker.C:
			f.apply(time.Now(), nil)
		case <-ctx.Done():
			return nil
		}
	}
}

// apply records changed rows, removes expired entries, and delivers the list if a
// row has changed or an entry has expired.
func (f *follower) apply(now time.Time, changed []storage.Row) {
	listChanged := len(changed) > 0
	for _, r := range changed {
		e, err := rows.Decode[rows.Entry](r.Value)
		if r.Deleted || err != nil || e.ID == "" {
			continue // entries never delete their rows; a row that is not an entry is ignored
		}
		f.observed[e.ID] = &observedRow{entry: e, changedAt: now}
	}
	for id, row := range f.observed {
		if now.Sub(row.changedAt) > f.expiry {
			delete(f.observed, id)
			listChanged = true
		}
	}
	if listChanged {
		f.deliver(List{f.entries(), f.upTo})
	}
}

// Current returns the entries of the list and those whose rows have changed
// since the list was read, which are running and may be new. It returns the
// error of the scan. The order is random.
func (l List) Current(ctx context.Context, table storage.Table) ([]rows.Entry, error) {
	changed, _, err := table.Scan(ctx, rows.EntryPrefix, l.UpTo)
	if err != nil {
		return nil, err
	}
	entries := map[model.EntryID]rows.Entry{}
	for _, e := range l.Entries {
		entries[e.ID] = e
	}
	for _, r := range changed {
		if e, err := rows.Decode[rows.Entry](r.Value); err == nil && e.ID != "" {
			entries[e.ID] = e
		}
	}
	return slices.Collect(maps.Values(entries)), nil
}

// entries returns the entries that have not expired, in random order.
func (f *follower) entries() []rows.Entry {
	list := make([]rows.Entry, 0, len(f.observed))
	for _, row := range f.observed {
		list = append(list, row.entry)
	}
	return list
}
