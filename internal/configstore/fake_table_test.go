package configstore

import (
	"context"
	"strings"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// fault is what happens to one operation of the fake table.
type fault uint8

const (
	healthy        fault = iota
	unavailable          // no effect, ErrUnavailable
	responseLost         // takes effect if its checks hold, ErrOutcomeUnknown
	requestLost          // no effect, ErrOutcomeUnknown
	requestDelayed       // takes effect before the next commit, ErrOutcomeUnknown
)

// fakeTable is an actor, so that tests may use it from any goroutine.
type fakeTable struct {
	addr actor.Address[func(*tableData)]
}

// tableData is the state of a fakeTable. Only the table's goroutine may use it.
type tableData struct {
	rev             storage.Revision
	rows            map[string]storage.Row
	commitFaults    []fault      // of the next commits, in order
	readFault       fault        // of every read
	delayed         *storage.Txn // takes effect before the next commit
	drawCommitFault func() fault // chooses the fault of a commit; nil: commitFaults is used
	drawReadFault   func() fault // chooses the fault of a read; nil: readFault is used
}

func newFakeTable(g *actor.Group) fakeTable {
	d := &tableData{rows: map[string]storage.Row{}}
	return fakeTable{actor.Spawn(g, actor.Spec[func(*tableData)]{Name: "table", Mailbox: 16,
		Run: func(ctx context.Context, in <-chan func(*tableData)) error {
			for {
				select {
				case f := <-in:
					f(d)
				case <-ctx.Done():
					return nil
				}
			}
		}})}
}

// do runs f in the table's goroutine.
func (t fakeTable) do(ctx context.Context, f func(*tableData)) error {
	_, err := actor.Ask(ctx, t.addr, func(r actor.Reply[bool]) func(*tableData) {
		return func(d *tableData) { f(d); r.Put(true) }
	})
	return err
}

func (t fakeTable) Commit(ctx context.Context, x storage.Txn) (rev storage.Revision, err error) {
	if askErr := t.do(ctx, func(d *tableData) { rev, err = d.commit(x) }); askErr != nil {
		return 0, askErr
	}
	return rev, err
}

func (d *tableData) commit(x storage.Txn) (storage.Revision, error) {
	if delayedTxn := d.delayed; delayedTxn != nil {
		d.delayed = nil
		_ = d.apply(*delayedTxn)
	}
	kind := healthy
	if d.drawCommitFault != nil {
		kind = d.drawCommitFault()
	} else if len(d.commitFaults) > 0 {
		kind, d.commitFaults = d.commitFaults[0], d.commitFaults[1:]
	}
	switch kind {
	case unavailable:
		return 0, storage.ErrUnavailable
	case requestLost:
		return 0, storage.ErrOutcomeUnknown
	case requestDelayed:
		d.delayed = &x
		return 0, storage.ErrOutcomeUnknown
	}
	if err := d.apply(x); err != nil && kind != responseLost {
		return 0, err
	}
	if kind == responseLost {
		return 0, storage.ErrOutcomeUnknown
	}
	return d.rev, nil
}

func (d *tableData) version(key string) storage.Revision {
	if row := d.rows[key]; !row.Deleted {
		return row.Version
	}
	return 0
}

func (d *tableData) apply(x storage.Txn) error {
	var failedKeys []string
	for _, c := range x.Checks {
		if d.version(c.Key) != c.Version {
			failedKeys = append(failedKeys, c.Key)
		}
	}
	if failedKeys != nil {
		return &storage.ConflictError{Keys: failedKeys}
	}
	d.rev++
	for _, p := range x.Puts {
		d.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: d.rev}
	}
	for _, key := range x.Deletes {
		d.rows[key] = storage.Row{Key: key, Version: d.rev, Deleted: true}
	}
	return nil
}

func (d *tableData) checkRead() error {
	if d.readFault == unavailable || (d.drawReadFault != nil && d.drawReadFault() == unavailable) {
		return storage.ErrUnavailable
	}
	return nil
}

func (t fakeTable) Read(ctx context.Context, key string) (row storage.Row, err error) {
	if askErr := t.do(ctx, func(d *tableData) {
		if row = d.rows[key]; d.version(key) == 0 {
			err = storage.ErrNotFound
		}
		if readErr := d.checkRead(); readErr != nil {
			err = readErr
		}
	}); askErr != nil {
		return row, askErr
	}
	return row, err
}

func (t fakeTable) Scan(ctx context.Context, prefix string, after storage.Revision) (found []storage.Row, rev storage.Revision, err error) {
	if askErr := t.do(ctx, func(d *tableData) {
		rev = d.rev
		for k, row := range d.rows {
			if strings.HasPrefix(k, prefix) && row.Version > after {
				found = append(found, row)
			}
		}
		err = d.checkRead()
	}); askErr != nil {
		return nil, 0, askErr
	}
	return found, rev, err
}
