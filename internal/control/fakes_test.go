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

// table is an in-memory table service that can inject faults.
type table struct {
	t               *testing.T
	mu              sync.Mutex
	rows            map[string]storage.Row
	rev             storage.Revision
	unavailable     bool
	delay           time.Duration
	loseResponse    func(storage.Txn) bool // reports whether the response to a transaction is lost
	lostCommitDelay time.Duration          // delay of the effect of a transaction whose response is lost
	commits         map[string]int         // transactions by writer, which is the operation id up to its last dash
}

func newTable(t *testing.T) *table {
	return &table{t: t, rows: map[string]storage.Row{}, commits: map[string]int{}, delay: time.Millisecond}
}

func (s *table) withLock(change func()) { s.mu.Lock(); defer s.mu.Unlock(); change() }

// wait waits for the configured delay. It returns ErrUnavailable during an
// outage.
func (s *table) wait(ctx context.Context) error {
	s.mu.Lock()
	delay, unavailable := s.delay, s.unavailable
	s.mu.Unlock()
	if !actor.Sleep(ctx, delay) || unavailable {
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
	lost := s.loseResponse != nil && s.loseResponse(t)
	if lost && s.lostCommitDelay > 0 {
		time.AfterFunc(s.lostCommitDelay, func() { s.withLock(func() { _, _ = s.apply(t) }) })
		return 0, storage.ErrOutcomeUnknown
	}
	rev, err := s.apply(t)
	if err == nil && lost {
		return 0, storage.ErrOutcomeUnknown
	}
	return rev, err
}

// apply commits a transaction. The caller holds the lock.
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

// edit changes a job row as the operators' API does.
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
	s.withLock(func() { v = s.rows[rows.JobKey(cellName, id)].Version })
	return v
}

// hosts records the calls to all fake workers. It checks independently of the
// controller that no two attempts of a job run at the same time.
type hosts struct {
	t           *testing.T
	mu          sync.Mutex
	attempts    map[model.JobID][]*task
	checkpoints map[string]time.Duration // progress by checkpoint name
	started     int
	completed   map[model.JobID]int // completed runs
}

// task is a task on a fake worker. The program of its job is the duration of
// its work.
type task struct {
	id              model.AttemptID
	host            *host
	startedAt       time.Time
	resumedProgress time.Duration // progress of the checkpoint from which it resumed
	work            time.Duration
	leaseEnd        time.Time // end of the worker's lease of the task
	state           model.TaskState
	checkpoints     int
	lastCheckpoint  string
	cpuLimitPercent int // 0: no limit was set
}

// host is a fake worker.
type host struct {
	shared      *hosts
	id          model.WorkerID
	tasks       map[model.AttemptID]*task
	unavailable bool // calls fail
	failTasks   bool // every task fails
}

func (h *hosts) host(id model.WorkerID) *host {
	return &host{shared: h, id: id, tasks: map[model.AttemptID]*task{}}
}

// update updates the state of the task: it ends when its work is done or its
// lease expires, whichever is first.
func (t *task) update() {
	end := t.startedAt.Add(t.work - t.resumedProgress)
	switch {
	case t.state != model.TaskRunning:
	case !end.After(time.Now()) && !end.After(t.leaseEnd):
		t.state = model.TaskDone
		t.host.shared.completed[t.id.Job]++
	case !t.leaseEnd.After(time.Now()):
		t.state = model.TaskStopped
	}
}

func (h *host) Start(ctx context.Context, s taskagent.StartRequest) error {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	if h.unavailable {
		return context.DeadlineExceeded
	}
	if h.tasks[s.Attempt] != nil {
		return nil
	}
	for _, other := range h.shared.attempts[s.Attempt.Job] {
		other.update()
		assert.NotEqual(h.shared.t, model.TaskRunning, other.state, "%v starts on %s while %v runs on %s", s.Attempt, h.id, other.id, other.host.id)
		assert.NotEqual(h.shared.t, model.TaskDone, other.state, "%v starts although %v has completed", s.Attempt, other.id)
	}
	work, _ := time.ParseDuration(s.Program)
	started := &task{id: s.Attempt, host: h, startedAt: time.Now(), resumedProgress: h.shared.checkpoints[s.Checkpoint], work: work,
		leaseEnd: time.Now().Add(s.Lease), state: model.TaskRunning}
	if s.Checkpoint != "" {
		_, ok := h.shared.checkpoints[s.Checkpoint]
		assert.True(h.shared.t, ok, "checkpoint %s does not exist", s.Checkpoint)
	}
	if h.failTasks {
		started.state = model.TaskFailed
	}
	h.tasks[s.Attempt] = started
	h.shared.attempts[s.Attempt.Job] = append(h.shared.attempts[s.Attempt.Job], started)
	h.shared.started++
	return nil
}

// withTask calls do with an updated task. It returns ErrNoTask if the worker does
// not know the task.
func (h *host) withTask(id model.AttemptID, do func(*task)) error {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	if h.unavailable {
		return context.DeadlineExceeded
	}
	t := h.tasks[id]
	if t == nil {
		return taskagent.ErrNoTask
	}
	t.update()
	do(t)
	return nil
}

func (h *host) Renew(ctx context.Context, id model.AttemptID, d time.Duration) error {
	return h.withTask(id, func(t *task) {
		if t.state == model.TaskRunning {
			t.leaseEnd = time.Now().Add(d)
		}
	})
}

func (h *host) Checkpoint(ctx context.Context, id model.AttemptID) (name string, err error) {
	err = h.withTask(id, func(t *task) {
		t.checkpoints++
		name = fmt.Sprintf("%s%d", taskagent.CheckpointPrefix(id), t.checkpoints)
		t.lastCheckpoint = name
		h.shared.checkpoints[name] = t.resumedProgress + time.Since(t.startedAt)
	})
	return name, err
}

func (h *host) Throttle(_ context.Context, id model.AttemptID, percent int) error {
	return h.withTask(id, func(t *task) { t.cpuLimitPercent = percent })
}

// cpuLimitPercent returns the highest processor limit of the tasks of a job; 100
// if a task has no limit.
func (h *hosts) cpuLimitPercent(id model.JobID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	highest := 0
	for _, t := range h.attempts[id] {
		if t.cpuLimitPercent == 0 {
			return 100
		}
		highest = max(highest, t.cpuLimitPercent)
	}
	return highest
}

func (h *host) Stop(ctx context.Context, id model.AttemptID) error {
	return h.withTask(id, func(t *task) {
		if t.state == model.TaskRunning {
			t.state = model.TaskStopped
		}
	})
}

func (h *host) List(context.Context) ([]taskagent.Task, error) {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	if h.unavailable {
		return nil, context.DeadlineExceeded
	}
	var list []taskagent.Task
	for _, t := range h.tasks {
		t.update()
		list = append(list, taskagent.Task{Attempt: t.id, State: t.state, Result: taskagent.ResultName(t.id), Checkpoint: t.lastCheckpoint, RanFor: time.Since(t.startedAt)})
	}
	return list, nil
}

func (h *host) Describe(context.Context) (model.Worker, error) { return model.Worker{ID: h.id}, nil }
