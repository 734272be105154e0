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
	healthy   fault = iota
	away            // no effect, and the client knows it
	lostAfter       // takes effect, but the response is lost
	lostFirst       // has no effect, and the client does not know it
	late            // arrives before the next commit, and the client does not know it
)

// fakeTable is an actor, so that tests may use it from any goroutine.
type fakeTable struct {
	addr actor.Address[func(*tableData)]
}

type tableData struct {
	rev     storage.Revision
	rows    map[string]storage.Row
	commits []fault // of the next commits, in order
	reads   fault   // of every read
	onWay   *storage.Txn
	draw    func() fault // chooses the fault of a commit; nil: the script above
	drawn   func() fault // chooses the fault of a read
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
	if e := t.do(ctx, func(d *tableData) { rev, err = d.commit(x) }); e != nil {
		return 0, e
	}
	return rev, err
}

func (d *tableData) commit(x storage.Txn) (storage.Revision, error) {
	if late := d.onWay; late != nil {
		d.onWay = nil
		_ = d.apply(*late)
	}
	kind := healthy
	if d.draw != nil {
		kind = d.draw()
	} else if len(d.commits) > 0 {
		kind, d.commits = d.commits[0], d.commits[1:]
	}
	switch kind {
	case away:
		return 0, storage.ErrUnavailable
	case lostFirst:
		return 0, storage.ErrOutcomeUnknown
	case late:
		d.onWay = &x
		return 0, storage.ErrOutcomeUnknown
	}
	if err := d.apply(x); err != nil && kind != lostAfter {
		return 0, err
	}
	if kind == lostAfter {
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
	var failed []string
	for _, c := range x.Checks {
		if d.version(c.Key) != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return &storage.ConflictError{Keys: failed}
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

func (d *tableData) reading() error {
	if d.reads == away || (d.drawn != nil && d.drawn() == away) {
		return storage.ErrUnavailable
	}
	return nil
}

func (t fakeTable) Read(ctx context.Context, key string) (row storage.Row, err error) {
	if e := t.do(ctx, func(d *tableData) {
		if row = d.rows[key]; d.version(key) == 0 {
			err = storage.ErrNotFound
		}
		if away := d.reading(); away != nil {
			err = away
		}
	}); e != nil {
		return row, e
	}
	return row, err
}

func (t fakeTable) Scan(ctx context.Context, prefix string, after storage.Revision) (found []storage.Row, rev storage.Revision, err error) {
	if e := t.do(ctx, func(d *tableData) {
		rev = d.rev
		for k, row := range d.rows {
			if strings.HasPrefix(k, prefix) && row.Version > after {
				found = append(found, row)
			}
		}
		err = d.reading()
	}); e != nil {
		return nil, 0, e
	}
	return found, rev, err
}
