package taskagent

import (
	"encoding/binary"
	"io/fs"
	"maps"
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
)

// UseCharts replaces the lifecycle of attempts by another version of its
// chart, for checks that have to fail with a faulty one.
func (c *Core) UseCharts(files fs.FS) error {
	m, err := chart.Compile(files, AttemptBinding())
	if err == nil {
		c.machine = m
	}
	return err
}

// Clone returns an independent copy for an exploration of alternatives.
func (c *Core) Clone() *Core {
	n := *c
	n.effects = nil
	n.links = maps.Clone(c.links)
	n.attempts = make(map[model.AttemptID]*attempt, len(c.attempts))
	for id, h := range c.attempts {
		k := *h
		k.core = nil
		n.attempts[id] = &k
	}
	return &n
}

// Sequence returns the newest lease sequence number received.
func (c *Core) Sequence() uint64 {
	seq, _, _ := c.lease.State()
	return seq
}

// AppendState appends an encoding of the state that is equal for states with
// the same future. Instants are relative to the last step and seq scales lease
// sequence numbers.
func (c *Core) AppendState(b []byte, seq func(uint64) int64) []byte {
	ints := func(values ...int64) {
		for _, v := range values {
			b = binary.AppendVarint(b, v)
		}
	}
	flag := func(v bool) {
		if v {
			ints(1)
		} else {
			ints(0)
		}
	}
	rel := func(oldest time.Duration, values ...time.Duration) {
		for _, v := range values {
			if v != 0 {
				v = max(v-c.now, -oldest)
			}
			ints(int64(v / time.Millisecond))
		}
	}
	number, ackAt, basis := c.lease.State()
	ints(int64(c.epoch), seq(number), int64(len(c.owner)))
	b = append(b, c.owner...)
	flag(basis)
	flag(c.adopted)
	flag(c.listing)
	rel(time.Hour, ackAt)
	rel(0, c.lease.Until(false), c.lease.Until(true), c.confirmBy, c.listAt, c.renewAt, c.usageAt)
	for _, h := range c.sorted() {
		b = append(b, h.id.String()...)
		ints(int64(h.state))
		b = append(append(b, h.report.state...), ' ')
		b = append(append(b, h.report.checkpoint...), ' ')
		flag(h.unwanted)
		flag(h.adopted)
		flag(h.renewing)
		flag(h.checkpoint)
		flag(h.listed)
		rel(0, h.deadline)
		rel(10*time.Second, h.changedAt, c.listFrom)
		rel(workerTTL, h.adoptedAt)
	}
	return b
}
