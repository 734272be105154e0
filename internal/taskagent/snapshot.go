package taskagent

import (
	"encoding/binary"
	"io/fs"
	"maps"
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
)

// UseCharts replaces the chart of attempts by the one in files. Tests use it to
// check that a faulty chart is detected.
func (c *Core) UseCharts(files fs.FS) error {
	m, err := chart.Compile(files, AttemptBinding())
	if err == nil {
		c.machine = m
	}
	return err
}

// Clone returns an independent copy, from which a model checker explores the
// alternatives of a state.
func (c *Core) Clone() *Core {
	n := *c
	n.effects = nil
	n.links = maps.Clone(c.links)
	n.attempts = make(map[model.AttemptID]*attempt, len(c.attempts))
	for id, a := range c.attempts {
		k := *a
		k.core = nil
		n.attempts[id] = &k
	}
	return &n
}

// Sequence returns the highest lease sequence number received.
func (c *Core) Sequence() uint64 {
	seq, _, _ := c.lease.State()
	return seq
}

// AppendState appends an encoding of the state. States that behave alike from
// now on have the same encoding: times are encoded relative to the last step,
// and seq normalises lease sequence numbers.
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
	// rel encodes times relative to now. Times more than oldest ago are encoded
	// alike.
	rel := func(oldest time.Duration, values ...time.Duration) {
		for _, v := range values {
			if v != 0 {
				v = max(v-c.now, -oldest)
			}
			ints(int64(v / time.Millisecond))
		}
	}
	number, ackAt, ackValid := c.lease.State()
	ints(int64(c.epoch), seq(number), int64(len(c.controller)))
	b = append(b, c.controller...)
	flag(ackValid)
	flag(c.listReceived)
	flag(c.listInFlight)
	rel(time.Hour, ackAt)
	rel(0, c.lease.Until(false), c.lease.Until(true), c.confirmBy, c.nextListAt, c.nextRenewAt, c.nextUsageAt)
	for _, a := range c.sortedAttempts() {
		b = append(b, a.id.String()...)
		ints(int64(a.state))
		b = append(append(b, a.report.state...), ' ')
		b = append(append(b, a.report.checkpoint...), ' ')
		flag(a.stopRequested)
		flag(a.adopted)
		flag(a.renewInFlight)
		flag(a.checkpointInFlight)
		flag(a.listed)
		rel(0, a.deadline)
		rel(10*time.Second, a.stateChangedAt, c.listSentAt)
		rel(workerTTL, a.adoptedAt)
	}
	return b
}
