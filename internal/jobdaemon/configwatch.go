package jobdaemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
)

const (
	configWait          = 700 * time.Millisecond
	configRetryInterval = 150 * time.Millisecond
	// configRereadInterval is the mean interval at which one of the linked entries
	// reads the row, in case all watches miss a change. An entry that finds a
	// higher version announces it to the others.
	configRereadInterval = 3 * time.Second
	// configTimeout bounds the time without progress of a read: the configuration
	// may take a second of a small connection.
	configTimeout = 600 * time.Millisecond
)

// watchConfig passes changes of the configuration in the table service to the
// installer until ctx ends, except while it is told to leave the watch to others.
func (c *controller) watchConfig(ctx context.Context, in <-chan bool) error {
	w := configWatch{controller: c}
	for w.awaitTurn(ctx, in) {
		if !w.poll(ctx) && !actor.Sleep(ctx, configRetryInterval) {
			return nil
		}
	}
	return nil
}

// awaitTurn waits while the entry leaves the watch to others. It reports false
// when ctx has ended.
func (w *configWatch) awaitTurn(ctx context.Context, in <-chan bool) bool {
	for len(in) > 0 {
		w.follows = <-in
	}
	for w.follows && ctx.Err() == nil {
		w.afterRevision = 0 // the history may end before the next turn
		w.failing = false
		w.controller.config.tableAnswers.Set(nil)
		select {
		case w.follows = <-in:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// configWatch is the state of the actor that watches the configuration.
type configWatch struct {
	controller    *controller
	afterRevision table.Revision // of the next watch; 0: read the row first
	forwarded     table.Revision // version of the row that was passed on
	rereadAt      time.Time
	failing       bool // the newest call failed
	follows       bool // others watch for this entry
}

// record records the outcome of a call to the table service. It logs the first
// failure after a success, and each call that did not end in time.
func (w *configWatch) record(call string, began time.Time, timedOut bool, err error) {
	w.controller.config.tableAnswers.Set(new(err == nil))
	if err != nil && (timedOut || !w.failing) {
		event.Log(w.controller.log, event.ConfigReadFailed, log.Fields{
			"call": call, "elapsed-ms": time.Since(began).Milliseconds(), "error": err.Error(),
		})
	}
	w.failing = err != nil
}

// rereadInterval returns the time until this entry reads the row again. The part
// for the other entries is random within a quarter, so that entries that start
// together do not read together.
func (w *configWatch) rereadInterval() time.Duration {
	linked := w.controller.published.linked.Get()
	if linked == nil || len(*linked) == 0 {
		return configRereadInterval
	}
	others := time.Duration(len(*linked)) * configRereadInterval
	return configRereadInterval + others - others/4 + rand.N(others/2)
}

// poll waits for a change or reads the row. It reports false if the caller has
// to wait before the next poll, because the table service did not answer or
// the row does not exist.
func (w *configWatch) poll(ctx context.Context) bool {
	if w.afterRevision == 0 || time.Now().After(w.rereadAt) {
		return w.read(ctx)
	}
	limited, cancel := storage.WithProgressTimeout(ctx, configWait+configTimeout, configTimeout)
	defer cancel()
	began := time.Now()
	src := w.controller.config.source
	rows, revision, err := w.controller.storeProxy.store.Watch(limited, src.Prefix, w.afterRevision, configWait)
	if errors.Is(err, storage.ErrCompacted) {
		w.afterRevision = 0
		return true
	}
	w.record("watch", began, limited.Err() != nil, err)
	if err != nil {
		return false // the next watch returns what changed since afterRevision
	}
	w.afterRevision = revision
	w.forwardConfig(ctx, rows)
	return true
}

// read reads the row of the configuration and the revision to watch from.
func (w *configWatch) read(ctx context.Context) bool {
	limited, cancel := storage.WithProgressTimeout(ctx, configTimeout, configTimeout)
	defer cancel()
	began := time.Now()
	src := w.controller.config.source
	rows, revision, err := w.controller.storeProxy.store.Scan(limited, src.Key, 0)
	w.record("read", began, limited.Err() != nil, err)
	if err != nil {
		return false
	}
	w.rereadAt = time.Now().Add(w.rereadInterval())
	// The watch continues from the newest revision of the table: the version
	// of the configuration's row may be older than the service's history.
	w.afterRevision = max(w.afterRevision, revision)
	return w.forwardConfig(ctx, rows)
}

// forwardConfig passes the newest of the configuration's rows to the installer
// unless it was passed on before. It reports whether there is such a row. It
// waits while the installer is busy, so that the next watch returns only the
// newest of several versions.
func (w *configWatch) forwardConfig(ctx context.Context, rows []table.Row) bool {
	var newest *table.Row
	for i := range rows {
		row := &rows[i]
		if row.Key == w.controller.config.source.Key && !row.Deleted && (newest == nil || row.Version > newest.Version) {
			newest = row
		}
	}
	if newest != nil && newest.Version > w.forwarded {
		w.forwarded = newest.Version
		_ = w.controller.config.installer.Send(ctx, newEncodedConfig(newest.Value, 0, fromStore)) // an error means that the process ends
	}
	return newest != nil
}
