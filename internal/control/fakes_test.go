package control_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/taskagent"
)

// table is an in-memory table service with faults.
type table struct {
	t       *testing.T
	mu      sync.Mutex
	rows    map[string]storage.Row
	rev     storage.Revision
	away    bool
	delay   time.Duration
	lose    func(storage.Txn) bool // the response is lost after the write
	late    time.Duration          // a transaction whose response is lost takes effect after this
	commits map[string]int         // by writer: the operation id up to the last dash
}

func newTable(t *testing.T) *table {
	return &table{t: t, rows: map[string]storage.Row{}, commits: map[string]int{}, delay: time.Millisecond}
}

func (s *table) set(change func()) { s.mu.Lock(); defer s.mu.Unlock(); change() }

// wait passes the delay and reports whether the service is there.
func (s *table) wait(ctx context.Context) error {
	s.mu.Lock()
	delay, away := s.delay, s.away
	s.mu.Unlock()
	if !actor.Sleep(ctx, delay) || away {
		return storage.ErrUnavailable
	}
	return nil
}

func (s *table) Commit(ctx context.Context, t storage.Txn) (storage.Revision, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.LessOrEqual(s.t, len(t.Puts)+len(t.Deletes), 128, "rows in one transaction")
	lost := s.lose != nil && s.lose(t)
	if lost && s.late > 0 {
		time.AfterFunc(s.late, func() { s.set(func() { _, _ = s.apply(t) }) })
		return 0, storage.ErrUnknown
	}
	rev, err := s.apply(t)
	if err == nil && lost {
		return 0, storage.ErrUnknown
	}
	return rev, err
}

// apply commits a transaction; the caller holds the lock.
func (s *table) apply(t storage.Txn) (storage.Revision, error) {
	var failed []string
	for _, c := range t.Checks {
		if s.rows[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 0, &storage.ConflictError{Keys: failed}
	}
	s.rev++
	for _, p := range t.Puts {
		s.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: s.rev}
	}
	s.commits[t.Operation[:strings.LastIndexByte(t.Operation, '-')+1]]++
	return s.rev, nil
}

func (s *table) Read(ctx context.Context, key string) (storage.Row, error) {
	if err := s.wait(ctx); err != nil {
		return storage.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[key]; ok {
		return r, nil
	}
	return storage.Row{}, storage.ErrNotFound
}

func (s *table) Scan(ctx context.Context, prefix string, after storage.Revision) ([]storage.Row, storage.Revision, error) {
	if err := s.wait(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storage.Row
	for _, r := range s.rows {
		if strings.HasPrefix(r.Key, prefix) && r.Version > after {
			found = append(found, r)
		}
	}
	return found, s.rev, nil
}

// edit writes a job row as the operators' API does.
func (s *table) edit(id model.JobID, change func(*model.JobRow)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := rows.JobKey(cellName, id)
	row, _ := rows.Decode[model.JobRow](s.rows[key].Value)
	change(&row)
	s.rev++
	s.rows[key] = storage.Row{Key: key, Value: rows.Encode(row), Version: s.rev}
}

func (s *table) job(id model.JobID) model.JobRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, _ := rows.Decode[model.JobRow](s.rows[rows.JobKey(cellName, id)].Value)
	return row
}

func (s *table) version(id model.JobID) (v storage.Revision) {
	s.set(func() { v = s.rows[rows.JobKey(cellName, id)].Version })
	return v
}

// hosts is what all fake workers saw. It checks independently that no two
// attempts of a job are live at once.
type hosts struct {
	t       *testing.T
	mu      sync.Mutex
	live    map[model.JobID][]*task
	saved   map[string]time.Duration // progress by checkpoint name
	started int
	done    map[model.JobID]int // completed runs
}

// task is a task on a fake worker. Its job's program is the work's duration.
type task struct {
	id     model.AttemptID
	host   *host
	began  time.Time
	from   time.Duration // progress resumed from
	work   time.Duration
	lease  time.Time // end of the worker's own lease
	state  model.TaskState
	points int
	newest string
	limit  int // processor limit in percent; 0: none was set
}

// host is a fake worker.
type host struct {
	all   *hosts
	id    model.WorkerID
	runs  map[model.AttemptID]*task
	away  bool // calls fail
	fails bool // every task fails
}

func (h *hosts) host(id model.WorkerID) *host {
	return &host{all: h, id: id, runs: map[model.AttemptID]*task{}}
}

// settle brings the state of a run up to now: it ends with its work or its
// lease, whichever is first.
func (r *task) settle() {
	end := r.began.Add(r.work - r.from)
	switch {
	case r.state != model.TaskRunning:
	case !end.After(time.Now()) && !end.After(r.lease):
		r.state = model.TaskDone
		r.host.all.done[r.id.Job]++
	case !r.lease.After(time.Now()):
		r.state = model.TaskStopped
	}
}

func (w *host) Start(ctx context.Context, s taskagent.StartRequest) error {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if w.away {
		return context.DeadlineExceeded
	}
	if w.runs[s.Attempt] != nil {
		return nil
	}
	for _, other := range w.all.live[s.Attempt.Job] {
		other.settle()
		assert.NotEqual(w.all.t, model.TaskRunning, other.state, "%v starts on %s while %v runs on %s", s.Attempt, w.id, other.id, other.host.id)
		assert.NotEqual(w.all.t, model.TaskDone, other.state, "%v starts although %v has completed", s.Attempt, other.id)
	}
	work, _ := time.ParseDuration(s.Program)
	r := &task{id: s.Attempt, host: w, began: time.Now(), from: w.all.saved[s.Checkpoint], work: work,
		lease: time.Now().Add(s.Lease), state: model.TaskRunning}
	if s.Checkpoint != "" {
		_, ok := w.all.saved[s.Checkpoint]
		assert.True(w.all.t, ok, "checkpoint %s does not exist", s.Checkpoint)
	}
	if w.fails {
		r.state = model.TaskFailed
	}
	w.runs[s.Attempt] = r
	w.all.live[s.Attempt.Job] = append(w.all.live[s.Attempt.Job], r)
	w.all.started++
	return nil
}

// on runs a call for a known run.
func (w *host) on(id model.AttemptID, do func(*task)) error {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if w.away {
		return context.DeadlineExceeded
	}
	r := w.runs[id]
	if r == nil {
		return taskagent.ErrNoTask
	}
	r.settle()
	do(r)
	return nil
}

func (w *host) Renew(ctx context.Context, id model.AttemptID, d time.Duration) error {
	return w.on(id, func(r *task) {
		if r.state == model.TaskRunning {
			r.lease = time.Now().Add(d)
		}
	})
}

func (w *host) Checkpoint(ctx context.Context, id model.AttemptID) (name string, err error) {
	err = w.on(id, func(r *task) {
		r.points++
		name = fmt.Sprintf("%s%d", taskagent.CheckpointPrefix(id), r.points)
		r.newest = name
		w.all.saved[name] = r.from + time.Since(r.began)
	})
	return name, err
}

func (w *host) Throttle(_ context.Context, id model.AttemptID, percent int) error {
	return w.on(id, func(r *task) { r.limit = percent })
}

// percent is the highest limit of a job's running tasks, 100 when none was set.
func (h *hosts) percent(id model.JobID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	highest := 0
	for _, r := range h.live[id] {
		if r.limit == 0 {
			return 100
		}
		highest = max(highest, r.limit)
	}
	return highest
}

func (w *host) Stop(ctx context.Context, id model.AttemptID) error {
	return w.on(id, func(r *task) {
		if r.state == model.TaskRunning {
			r.state = model.TaskStopped
		}
	})
}

func (w *host) List(context.Context) ([]taskagent.Task, error) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if w.away {
		return nil, context.DeadlineExceeded
	}
	var list []taskagent.Task
	for _, r := range w.runs {
		r.settle()
		list = append(list, taskagent.Task{Attempt: r.id, State: r.state, Result: taskagent.ResultName(r.id), Checkpoint: r.newest, RanFor: time.Since(r.began)})
	}
	return list, nil
}

func (w *host) Describe(context.Context) (model.Worker, error) { return model.Worker{ID: w.id}, nil }
