package standin

import (
	"context"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/platform"
)

// Table simulates the table service. It implements platform.Table for use
// inside the process. Values of rows that it returns must not be modified.
type Table struct {
	to actor.Address[message[*tableState]]
}

// tableState is owned by the table's actor.
type tableState struct {
	*gate
	*store
}

// NewTable starts a table service in g.
func NewTable(g *actor.Group, f StoreFaults) *Table {
	s := &tableState{newGate(f), newStore()}
	return &Table{spawn(g, "table service", s.later, s)}
}

type tableReply[T any] = actor.Reply[answer[T]]

type commitMsg struct {
	txn   platform.Txn
	reply tableReply[platform.Revision]
}

func (m commitMsg) handle(s *tableState) {
	var rev platform.Revision
	s.write(func() (err error) {
		rev, err = s.commit(m.txn, !s.Faults.DropHistory)
		return err
	}, func(err error) {
		m.reply.Put(answer[platform.Revision]{rev, err})
	})
}

type rowMsg struct {
	key   string
	reply tableReply[platform.Row]
}

func (m rowMsg) handle(s *tableState) {
	s.gate.read(func(err error) {
		var row platform.Row
		if err == nil {
			row, err = s.store.read(m.key)
		}
		m.reply.Put(answer[platform.Row]{row, err})
	})
}

// scanned is the answer of GET /v1/rows.
type scanned struct {
	Rows     []platform.Row    `json:"rows"`
	Revision platform.Revision `json:"revision"`
}

type scanMsg struct {
	prefix string
	after  platform.Revision
	reply  tableReply[scanned]
}

func (m scanMsg) handle(s *tableState) {
	s.gate.read(func(err error) {
		var result scanned
		if err == nil {
			result = scanned{s.scan(m.prefix, m.after), s.revision}
		}
		m.reply.Put(answer[scanned]{result, err})
	})
}

// tableControlMsg sets the faults, if given, and returns the state.
type tableControlMsg struct {
	faults *StoreFaults
	reply  tableReply[StoreState]
}

func (m tableControlMsg) handle(s *tableState) {
	if m.faults != nil {
		s.gate.set(*m.faults)
	}
	m.reply.Put(answer[StoreState]{value: s.StoreState})
}

type historyMsg struct {
	after platform.Revision
	reply tableReply[[]Committed]
}

func (m historyMsg) handle(s *tableState) {
	m.reply.Put(answer[[]Committed]{value: s.committedAfter(m.after)})
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	return ask(ctx, t.to, func(r tableReply[platform.Revision]) message[*tableState] { return commitMsg{txn, r} })
}

// Read implements platform.Table.
func (t *Table) Read(ctx context.Context, key string) (platform.Row, error) {
	row, err := ask(ctx, t.to, func(r tableReply[platform.Row]) message[*tableState] { return rowMsg{key, r} })
	return row, readError(err)
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix string, after platform.Revision) ([]platform.Row, platform.Revision, error) {
	s, err := ask(ctx, t.to, func(r tableReply[scanned]) message[*tableState] { return scanMsg{prefix, after, r} })
	return s.Rows, s.Revision, readError(err)
}

// SetFaults replaces the faults. Limits take effect at once.
func (t *Table) SetFaults(ctx context.Context, f StoreFaults) error {
	_, err := t.control(ctx, &f)
	return err
}

// State returns the faults in force and the counters.
func (t *Table) State(ctx context.Context) (StoreState, error) { return t.control(ctx, nil) }

func (t *Table) control(ctx context.Context, f *StoreFaults) (StoreState, error) {
	return ask(ctx, t.to, func(r tableReply[StoreState]) message[*tableState] { return tableControlMsg{f, r} })
}

// History returns the committed transactions after a revision, in order. It
// is not subject to faults.
func (t *Table) History(ctx context.Context, after platform.Revision) ([]Committed, error) {
	return ask(ctx, t.to, func(r tableReply[[]Committed]) message[*tableState] { return historyMsg{after, r} })
}

// readError reports a simulator that has ended as an unavailable service: a
// read has no outcome that could be unknown.
func readError(err error) error {
	if err == platform.ErrUnknown {
		return platform.ErrUnavailable
	}
	return err
}
