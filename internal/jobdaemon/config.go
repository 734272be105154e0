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

// ConfigSource says where the operators' configuration is stored and how it
// is read.
type ConfigSource struct {
	Key    string
	Prefix string // covers Key; watches take it
	Decode func([]byte) (*workload.Config, error)
}

// configState is the configuration in force at an entry. Only a higher version
// replaces it.
type configState struct {
	source  ConfigSource
	current *workload.Config
	raw     []byte
	force   *actor.Value[workload.Config]
}

// configRead is a configuration as it lies in the table service.
type configRead struct{ raw []byte }

func (c *controller) configRead(m *configRead) { c.takeConfig(m.raw, "store") }

func (c *controller) configAnnounced(m *msg.ConfigAnnounced) {
	if c.config.current == nil || m.Version > c.config.current.Version {
		c.takeConfig(m.Raw, "peer")
	}
}

func (c *controller) takeConfig(raw []byte, from string) {
	next, err := c.config.source.Decode(raw)
	if err != nil {
		event.Log(c.log, event.ConfigUnreadable, log.Fields{"error": err.Error(), "from": from})
		return
	}
	if c.config.current != nil && next.Version <= c.config.current.Version {
		return
	}
	c.config.current, c.config.raw = next, raw
	c.config.force.Set(next)
	event.Log(c.log, event.ConfigInForce, log.Fields{"version": next.Version, "from": from, "queues": len(next.Queues)})
	c.toEntries(&msg.ConfigAnnounced{Version: next.Version, Raw: raw})
}

const (
	configWait    = 700 * time.Millisecond
	configRetry   = 150 * time.Millisecond
	configReread  = 3 * time.Second // in case a watch stays silent
	configTimeout = 600 * time.Millisecond
)

// watchConfig follows the configuration in the table service.
func (c *controller) watchConfig(ctx context.Context) error {
	w := configWatch{controller: c}
	for ctx.Err() == nil {
		if !w.once(ctx) && !actor.Sleep(ctx, configRetry) {
			return nil
		}
	}
	return nil
}

// configWatch is the state of the actor that follows the configuration.
type configWatch struct {
	controller *controller
	after      table.Revision
	seen       table.Revision // version of the row that was passed on
	readAt     time.Time
}

// once waits for a change or reads the row; false: the service did not answer.
func (w *configWatch) once(ctx context.Context) bool {
	if w.after == 0 || time.Since(w.readAt) > configReread {
		return w.read(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, configWait+configTimeout)
	defer cancel()
	src := w.controller.config.source
	rows, revision, err := w.controller.gateway.store.Watch(limited, src.Prefix, w.after, configWait)
	if err != nil {
		w.after = 0
		return errors.Is(err, storage.ErrCompacted)
	}
	w.after = revision
	for _, row := range rows {
		if row.Key == src.Key && !row.Deleted {
			w.pass(ctx, row)
		}
	}
	return true
}

func (w *configWatch) read(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	src := w.controller.config.source
	rows, revision, err := w.controller.gateway.store.Scan(limited, src.Key, 0)
	if err != nil {
		return false
	}
	w.readAt = time.Now()
	// The watch goes on from the newest version of all rows: that of the
	// configuration's row may be older than the service's history.
	w.after = max(w.after, revision)
	for _, row := range rows {
		if row.Key == src.Key {
			w.pass(ctx, row)
			return true
		}
	}
	return false
}

func (w *configWatch) pass(ctx context.Context, row table.Row) {
	if row.Version <= w.seen {
		return
	}
	w.seen = row.Version
	w.controller.tell(ctx, &configRead{row.Value})
}
