// Package directory keeps the list of living entries in the table: each entry
// renews a row of its own, and others follow the rows. It does not know what
// the list is used for.
package directory

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/platform"
	"github.com/bambooscale/bambooscale/internal/rows"
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
func Announce(g *actor.Group, table platform.Table, e rows.Entry) {
	actor.Go(g, "entry announcer", func(ctx context.Context) error {
		for {
			e.Counter++
			txn := platform.Txn{
				Operation: fmt.Sprintf("%s/%x/%d", e.ID, uint64(e.Boot), e.Counter),
				Puts:      []platform.Put{{Key: rows.EntryKey(e.ID), Value: rows.Encode(e)}},
			}
			_, _ = table.Commit(ctx, txn)
			if !actor.Sleep(ctx, renewInterval) {
				return nil
			}
		}
	})
}

// Follow calls deliver, from one goroutine, with the living entries whenever
// they change.
func Follow(g *actor.Group, table platform.Table, interval time.Duration, l log.Interface, deliver func([]rows.Entry)) {
	to := actor.Spawn(g, actor.Spec[platform.Changes]{Name: "entry directory", Mailbox: 4, Restart: actor.OnFailure,
		Run: func(ctx context.Context, in <-chan platform.Changes) error {
			return newFollower(interval, deliver).run(ctx, in)
		}})
	platform.SpawnPoller(g, platform.PollerConfig{Table: table, Prefix: rows.EntryPrefix, Interval: interval, Log: l},
		to, func(c platform.Changes) platform.Changes { return c })
}

// follower judges which entries live by its own clock.
type follower struct {
	gone    time.Duration
	deliver func([]rows.Entry)
	known   map[model.EntryID]*sighting
}

type sighting struct {
	entry   rows.Entry
	changed time.Time
}

func newFollower(interval time.Duration, deliver func([]rows.Entry)) *follower {
	return &follower{gone: max(goneAfter, 3*interval), deliver: deliver, known: map[model.EntryID]*sighting{}}
}

func (f *follower) run(ctx context.Context, in <-chan platform.Changes) error {
	check := time.NewTicker(renewInterval)
	defer check.Stop()
	for {
		select {
		case c := <-in:
			f.apply(time.Now(), c.Rows)
		case <-check.C:
			f.apply(time.Now(), nil)
		case <-ctx.Done():
			return nil
		}
	}
}

// apply records changed rows and delivers the list if it is another one.
func (f *follower) apply(now time.Time, changed []platform.Row) {
	dirty := false
	for _, r := range changed {
		e, err := rows.Decode[rows.Entry](r.Value)
		if r.Deleted || err != nil || e.ID == "" {
			continue // an entry's row is never deleted; what it does not hold, it does not list
		}
		old := f.known[e.ID]
		if old == nil || old.entry.Address != e.Address || old.entry.Boot != e.Boot {
			dirty = true
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
		f.deliver(f.list())
	}
}

func (f *follower) list() []rows.Entry {
	list := make([]rows.Entry, 0, len(f.known))
	for _, s := range f.known {
		list = append(list, s.entry)
	}
	return list
}
