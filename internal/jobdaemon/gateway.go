package jobdaemon

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
)

// Store is the table service as a process of the job scheduler uses it.
type Store interface {
	storage.Table
	storage.Watcher
}

const (
	directTimeout = 900 * time.Millisecond
	relayTimeout  = time.Second
	// badFor is how long a process whose own calls failed asks its peers first.
	badFor = time.Second
)

// result is what a caller learns of a transaction.
type result struct {
	outcome  table.Outcome
	revision table.Revision
	rows     []table.Row // of a conflict
}

// gateway commits transactions at the table service, through a peer while the
// service does not serve this process. Any goroutine may use it.
type gateway struct {
	store Store
	relay func(context.Context, table.Txn) result // through a peer; Unavailable when there is none
	bad   actor.Value[outage]                     // nil while the table service serves this process
	log   log.Interface
}

// outage is a time in which the table service does not serve this process.
type outage struct {
	since time.Time
	last  time.Time // newest failure
}

// away returns how long the table service has not served this process.
func (g *gateway) away() time.Duration {
	if o := g.bad.Get(); o != nil {
		return time.Since(o.since)
	}
	return 0
}

// commit tries the table service and then a peer. The transaction must be one
// that may be sent twice: its checks fail once it has taken effect.
func (g *gateway) commit(ctx context.Context, t table.Txn) result {
	if failed := g.bad.Get(); failed != nil && time.Since(failed.last) < badFor {
		r := g.relay(ctx, t)
		if r.outcome != table.Unavailable && r.outcome != table.Unknown {
			return r
		}
		return worse(r, g.direct(ctx, t))
	}
	r := g.direct(ctx, t)
	if r.outcome != table.Unavailable && r.outcome != table.Unknown {
		return r
	}
	return worse(r, g.relay(ctx, t))
}

// worse keeps an unknown outcome of the first try unless the second is definite.
func worse(first, second result) result {
	if second.outcome == table.Unavailable && first.outcome == table.Unknown {
		return first
	}
	return second
}

func (g *gateway) direct(ctx context.Context, t table.Txn) result {
	limited, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	revision, err := g.store.Commit(limited, t)
	r := outcomeOf(revision, err)
	g.observe(r.outcome == table.Unavailable || r.outcome == table.Unknown, err)
	return r
}

// observe records whether the table service serves this process.
func (g *gateway) observe(failed bool, err error) {
	was := g.bad.Get()
	switch {
	case failed:
		o := outage{since: time.Now(), last: time.Now()}
		if was != nil {
			o.since = was.since
		}
		g.bad.Set(&o)
		if was == nil {
			event.Log(g.log, event.StoreUnreachable, log.Fields{"error": err.Error()})
		}
	case was != nil:
		g.bad.Set(nil)
		event.Log(g.log, event.StoreReachable, nil)
	}
}

func outcomeOf(revision table.Revision, err error) result {
	var conflict *table.ConflictError
	switch {
	case err == nil:
		return result{outcome: table.Committed, revision: revision}
	case errors.As(err, &conflict):
		return result{outcome: table.Conflict, rows: conflict.Rows}
	case errors.Is(err, storage.ErrUnavailable):
		return result{outcome: table.Unavailable}
	case errors.Is(err, storage.ErrRefused):
		return result{outcome: table.Refused}
	}
	return result{outcome: table.Unknown}
}

func (g *gateway) read(ctx context.Context, key string) (table.Row, error) {
	limited, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	return g.store.Read(limited, key)
}

func (g *gateway) scan(ctx context.Context, prefix string) ([]table.Row, table.Revision, error) {
	limited, cancel := context.WithTimeout(ctx, 2*directTimeout)
	defer cancel()
	return g.store.Scan(limited, prefix, 0)
}
