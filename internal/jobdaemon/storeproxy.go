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

// Store is the part of the table service that the job scheduler uses.
type Store interface {
	storage.Table
	storage.Watcher
}

const (
	// directTimeout bounds a transaction, and the time without progress of a read.
	directTimeout     = 900 * time.Millisecond
	peerCommitTimeout = time.Second
	// peerFirstPeriod is how long after a failed call of its own a process sends
	// transactions to a peer first.
	peerFirstPeriod = time.Second
)

// commitResult is the outcome of a transaction.
type commitResult struct {
	outcome  table.Outcome
	revision table.Revision
	rows     []table.Row // current rows, after a conflict
}

// storeProxy commits transactions at the table service, or through a peer while
// this process cannot reach the service. Any goroutine may use it.
type storeProxy struct {
	store         Store
	commitViaPeer func(context.Context, table.Txn) commitResult // Unavailable if there is no peer
	outage        actor.Value[outage]                           // nil while this process reaches the table service
	log           log.Interface
}

// outage is a period in which this process does not reach the table service.
type outage struct {
	since time.Time
	last  time.Time // newest failure
}

// outageDuration returns how long this process has not reached the table
// service, or 0.
func (p *storeProxy) outageDuration() time.Duration {
	if o := p.outage.Get(); o != nil {
		return time.Since(o.since)
	}
	return 0
}

// commit sends a transaction to the table service and, if that fails, to a peer;
// the peer comes first after a recent failure. The transaction may be sent
// twice, so its checks must fail once it has taken effect.
func (p *storeProxy) commit(ctx context.Context, t table.Txn) commitResult {
	if failed := p.outage.Get(); failed != nil && time.Since(failed.last) < peerFirstPeriod {
		r := p.commitViaPeer(ctx, t)
		if r.outcome != table.Unavailable && r.outcome != table.Unknown {
			return r
		}
		return combineResults(r, p.direct(ctx, t))
	}
	r := p.direct(ctx, t)
	if r.outcome != table.Unavailable && r.outcome != table.Unknown {
		return r
	}
	return combineResults(r, p.commitViaPeer(ctx, t))
}

// combineResults returns the result of two attempts at one transaction: the
// second, unless it was certainly not executed and the outcome of the first is
// unknown.
func combineResults(first, second commitResult) commitResult {
	if second.outcome == table.Unavailable && first.outcome == table.Unknown {
		return first
	}
	return second
}

// direct commits a transaction at the table service.
func (p *storeProxy) direct(ctx context.Context, t table.Txn) commitResult {
	limited, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	revision, err := p.store.Commit(limited, t)
	r := outcomeOf(revision, err)
	p.recordOutcome(r.outcome == table.Unavailable || r.outcome == table.Unknown, err)
	return r
}

// recordOutcome records whether this process reaches the table service, and logs
// the start and the end of an outage.
func (p *storeProxy) recordOutcome(failed bool, err error) {
	current := p.outage.Get()
	switch {
	case failed:
		o := outage{since: time.Now(), last: time.Now()}
		if current != nil {
			o.since = current.since
		}
		p.outage.Set(&o)
		if current == nil {
			event.Log(p.log, event.StoreUnreachable, log.Fields{"error": err.Error()})
		}
	case current != nil:
		p.outage.Set(nil)
		event.Log(p.log, event.StoreReachable, nil)
	}
}

func outcomeOf(revision table.Revision, err error) commitResult {
	var conflict *table.ConflictError
	switch {
	case err == nil:
		return commitResult{outcome: table.Committed, revision: revision}
	case errors.As(err, &conflict):
		return commitResult{outcome: table.Conflict, rows: conflict.Rows}
	case errors.Is(err, storage.ErrUnavailable):
		return commitResult{outcome: table.Unavailable}
	case errors.Is(err, storage.ErrRefused):
		return commitResult{outcome: table.Refused}
	}
	return commitResult{outcome: table.Unknown}
}

func (p *storeProxy) read(ctx context.Context, key string) (table.Row, error) {
	limited, cancel := storage.WithProgressTimeout(ctx, directTimeout, directTimeout)
	defer cancel()
	return p.store.Read(limited, key)
}

func (p *storeProxy) scan(ctx context.Context, prefix string) ([]table.Row, table.Revision, error) {
	limited, cancel := storage.WithProgressTimeout(ctx, 2*directTimeout, directTimeout)
	defer cancel()
	return p.store.Scan(limited, prefix, 0)
}
