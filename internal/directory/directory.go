// Package directory keeps the list of living entries in the table: each entry
// renews a row of its own, and others follow the rows. It does not know what
// the list is used for.
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
	// renewInterval costs 1.5 writes/s with 30 entries.
	renewInterval = 20 * time.Second
	// A row that did not change for this long, or for three polls if that is
	// longer, belongs to an entry that has gone.
	goneAfter = 3 * renewInterval
)

// Announce renews the row of an entry until g ends. A renewal that fails is
// not repeated before the next one is due.
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

// List is the living entries. Rows that changed after UpTo are not in it yet.
type List struct {
	Entries []rows.Entry
	UpTo    storage.Revision
}

// Follow calls deliver, from one goroutine, with the living entries whenever
// a row has changed or an entry has gone.
func Follow(g *actor.Group, table storage.Table, interval time.Duration, l log.Interface, deliver func(List)) {
	to := actor.Spawn(g, actor.Spec[storage.Changes]{Name: "entry directory", Mailbox: 4, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan storage.Changes) error {
			return newFollower(interval, deliver).run(ctx, in)
		}})
	storage.SpawnPoller(g, storage.PollerConfig{Table: table, Prefix: rows.EntryPrefix, Interval: interval, Log: l},
		to, func(c storage.Changes) storage.Changes { return c })
}

// follower judges which entries live by its own clock.
type follower struct {
	gone    time.Duration
	deliver func(List)
	upTo    storage.Revision
	known   map[model.EntryID]*sighting
}

type sighting struct {
	entry   rows.Entry
	changed time.Time
}

func newFollower(interval time.Duration, deliver func(List)) *follower {
	return &follower{gone: max(goneAfter, 3*interval), deliver: deliver, known: map[model.EntryID]*sighting{}}
}

func (f *follower) run(ctx context.Context, in <-chan storage.Changes) error {
	check := time.NewTicker(renewInterval)
	defer check.Stop()
	for {
		select {
		case c := <-in:
			f.upTo = c.UpTo
			f.apply(time.Now(), c.Rows)
		case <-check.C:
			f.apply(time.Now(), nil)
		case <-ctx.Done():
			return nil
		}
	}
}

// apply records changed rows and delivers the list if something has changed.
func (f *follower) apply(now time.Time, changed []storage.Row) {
	dirty := len(changed) > 0
	for _, r := range changed {
		e, err := rows.Decode[rows.Entry](r.Value)
		if r.Deleted || err != nil || e.ID == "" {
			continue // an entry's row is never deleted; what it does not hold, it does not list
		}
		f.known[e.ID] = &sighting{entry: e, changed: now}
	}
	for id, s := range f.known {
		if now.Sub(s.changed) > f.gone {
			delete(f.known, id)
			dirty = true
		}
	}
	if dirty {
		f.deliver(List{f.list(), f.upTo})
	}
}

// Current returns the list with the entries added whose rows have changed since the list was read: they
// live, and some may be new.
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

func (f *follower) list() []rows.Entry {
	list := make([]rows.Entry, 0, len(f.known))
	for _, s := range f.known {
		list = append(list, s.entry)
	}
	return list
}
