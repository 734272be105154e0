package jobdaemon

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// ConfigSource locates and decodes the operators' configuration in the table
// service.
type ConfigSource struct {
	Key    string
	Prefix string // prefix of Key; a watch needs a prefix
	Decode func([]byte) (*workload.Config, error)
}

// configState is the configuration in use at an entry. Only a higher version
// replaces it.
type configState struct {
	source  ConfigSource
	current *workload.Config
	raw     []byte                        // encoded form of current
	inUse   *actor.Value[workload.Config] // current, for other goroutines
}

// configRead carries the encoded configuration that was read from the table
// service.
type configRead struct{ raw []byte }

func (c *controller) configRead(m *configRead) { c.applyConfig(m.raw, "store") }

func (c *controller) configAnnounced(m *msg.ConfigAnnounced) {
	if c.config.current == nil || m.Version > c.config.current.Version {
		c.applyConfig(m.Raw, "peer")
	}
}

// applyConfig decodes a configuration, uses it if its version is higher, and
// sends it to the other entries.
func (c *controller) applyConfig(raw []byte, from string) {
	next, err := c.config.source.Decode(raw)
	if err != nil {
		event.Log(c.log, event.ConfigUnreadable, log.Fields{"error": err.Error(), "from": from})
		return
	}
	if c.config.current != nil && next.Version <= c.config.current.Version {
		return
	}
	c.config.current, c.config.raw = next, raw
	c.config.inUse.Set(next)
	event.Log(c.log, event.ConfigInForce, log.Fields{"version": next.Version, "from": from, "queues": len(next.Queues)})
	c.sendToEntries(&msg.ConfigAnnounced{Version: next.Version, Raw: raw})
}

const (
	configWait           = 700 * time.Millisecond
	configRetryInterval  = 150 * time.Millisecond
	configRereadInterval = 3 * time.Second // in case a watch misses a change
	configTimeout        = 600 * time.Millisecond
)

// watchConfig passes changes of the configuration in the table service to the
// controller until ctx ends.
func (c *controller) watchConfig(ctx context.Context) error {
	w := configWatch{controller: c}
	for ctx.Err() == nil {
		if !w.poll(ctx) && !actor.Sleep(ctx, configRetryInterval) {
			return nil
		}
	}
	return nil
}

// configWatch is the state of the actor that watches the configuration.
type configWatch struct {
	controller    *controller
	afterRevision table.Revision // of the next watch; 0: read the row first
	forwarded     table.Revision // version of the row that was passed on
	readAt        time.Time
}

// poll waits for a change or reads the row. It reports false if the caller has
// to wait before the next poll, because the table service did not answer or
// the row does not exist.
func (w *configWatch) poll(ctx context.Context) bool {
	if w.afterRevision == 0 || time.Since(w.readAt) > configRereadInterval {
		return w.read(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, configWait+configTimeout)
	defer cancel()
	src := w.controller.config.source
	rows, revision, err := w.controller.storeProxy.store.Watch(limited, src.Prefix, w.afterRevision, configWait)
	if err != nil {
		w.afterRevision = 0
		return errors.Is(err, storage.ErrCompacted)
	}
	w.afterRevision = revision
	for _, row := range rows {
		if row.Key == src.Key && !row.Deleted {
			w.forward(ctx, row)
		}
	}
	return true
}

// read reads the row of the configuration and the revision to watch from.
func (w *configWatch) read(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	src := w.controller.config.source
	rows, revision, err := w.controller.storeProxy.store.Scan(limited, src.Key, 0)
	if err != nil {
		return false
	}
	w.readAt = time.Now()
	// The watch continues from the newest revision of the table: the version
	// of the configuration's row may be older than the service's history.
	w.afterRevision = max(w.afterRevision, revision)
	for _, row := range rows {
		if row.Key == src.Key {
			w.forward(ctx, row)
			return true
		}
	}
	return false
}

// forward passes the row to the controller unless it was passed on before.
func (w *configWatch) forward(ctx context.Context, row table.Row) {
	if row.Version <= w.forwarded {
		return
	}
	w.forwarded = row.Version
	w.controller.post(ctx, &configRead{row.Value})
}
