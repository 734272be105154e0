package standin

import (
	"context"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Table simulates the table service. It implements storage.Table for use
// inside the process. Callers must not modify the values of returned rows.
type Table struct {
	to actor.Address[message[*tableState]]
}

// tableState is owned by the table's actor.
type tableState struct {
	*faultInjector
	*store
}

// NewTable starts a table service in g.
func NewTable(g *actor.Group, f StoreFaults) *Table {
	s := &tableState{newFaultInjector(f), newStore()}
	return &Table{spawn(g, "table service", s.timers, s)}
}

type tableReply[T any] = actor.Reply[answer[T]]

type commitMsg struct {
	txn   storage.Txn
	reply tableReply[storage.Revision]
}

func (m commitMsg) handle(s *tableState) {
	var rev storage.Revision
	s.write(func() (err error) {
		rev, err = s.commit(m.txn, !s.Faults.DropHistory)
		return err
	}, func(err error) {
		m.reply.Put(answer[storage.Revision]{rev, err})
	})
}

type readMsg struct {
	key   string
	reply tableReply[storage.Row]
}

func (m readMsg) handle(s *tableState) {
	s.faultInjector.read(func(err error) {
		var row storage.Row
		if err == nil {
			row, err = s.store.read(m.key)
		}
		m.reply.Put(answer[storage.Row]{row, err})
	})
}

// scanResult is the answer to GET /v1/rows.
type scanResult struct {
	Rows     []storage.Row    `json:"rows"`
	Revision storage.Revision `json:"revision"`
}

type scanMsg struct {
	prefix string
	after  storage.Revision
	reply  tableReply[scanResult]
}

func (m scanMsg) handle(s *tableState) {
	s.faultInjector.read(func(err error) {
		var result scanResult
		if err == nil {
			result = scanResult{s.scan(m.prefix, m.after), s.revision}
		}
		m.reply.Put(answer[scanResult]{result, err})
	})
}

// tableControlMsg sets the faults unless they are nil, and requests the state.
type tableControlMsg struct {
	faults *StoreFaults
	reply  tableReply[StoreState]
}

func (m tableControlMsg) handle(s *tableState) {
	if m.faults != nil {
		s.faultInjector.set(*m.faults)
	}
	m.reply.Put(answer[StoreState]{value: s.StoreState})
}

type historyMsg struct {
	after storage.Revision
	reply tableReply[[]Committed]
}

func (m historyMsg) handle(s *tableState) {
	m.reply.Put(answer[[]Committed]{value: s.committedAfter(m.after)})
}

// Commit implements storage.Table.
func (t *Table) Commit(ctx context.Context, txn storage.Txn) (storage.Revision, error) {
	return ask(ctx, t.to, func(r tableReply[storage.Revision]) message[*tableState] { return commitMsg{txn, r} })
}

// Read implements storage.Table.
func (t *Table) Read(ctx context.Context, key string) (storage.Row, error) {
	row, err := ask(ctx, t.to, func(r tableReply[storage.Row]) message[*tableState] { return readMsg{key, r} })
	return row, readError(err)
}

// Scan implements storage.Table.
func (t *Table) Scan(ctx context.Context, prefix string, after storage.Revision) ([]storage.Row, storage.Revision, error) {
	s, err := ask(ctx, t.to, func(r tableReply[scanResult]) message[*tableState] { return scanMsg{prefix, after, r} })
	return s.Rows, s.Revision, readError(err)
}

// SetFaults replaces the faults. Limits take effect at once.
func (t *Table) SetFaults(ctx context.Context, f StoreFaults) error {
	_, err := t.control(ctx, &f)
	return err
}

// State returns the current faults and the counters.
func (t *Table) State(ctx context.Context) (StoreState, error) { return t.control(ctx, nil) }

func (t *Table) control(ctx context.Context, f *StoreFaults) (StoreState, error) {
	return ask(ctx, t.to, func(r tableReply[StoreState]) message[*tableState] { return tableControlMsg{f, r} })
}

// History returns the committed transactions after a revision, in order. It
// is not subject to faults.
func (t *Table) History(ctx context.Context, after storage.Revision) ([]Committed, error) {
	return ask(ctx, t.to, func(r tableReply[[]Committed]) message[*tableState] { return historyMsg{after, r} })
}

// readError replaces storage.ErrOutcomeUnknown, the error of an ended
// simulator, by storage.ErrUnavailable: a read has no effect whose outcome could
// be unknown.
func readError(err error) error {
	if err == storage.ErrOutcomeUnknown {
		return storage.ErrUnavailable
	}
	return err
}
