package capacity

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/directory"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/standin"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	tableDelayMs   = 10 // of each operation of the table
	tableWorkers   = 40 // enough for the tasks of the highest rate
	submitInterval = 50 * time.Millisecond
)

// cellRun is a run of one cell in virtual time: the actors of its controller, the
// simulated table service and agents that answer at once.
type cellRun struct {
	ctx       context.Context
	table     *standin.Table
	control   actor.Address[control.Message]
	submitted map[model.JobID]time.Time // time of submission; used only by the goroutine that submits
	started   chan taskStart
}

// taskStart is the time at which an agent received the start of a task.
type taskStart struct {
	job model.JobID
	at  time.Time
}

// cellCost is the load of a cell on the table, without the submissions, and the
// waiting times of its jobs.
type cellCost struct {
	writes, reads float64         // per second
	waits         []time.Duration // from submission to start, ascending
}

// runCell submits rate jobs a second to a cell for d.
func runCell(t *testing.T, rate int, d time.Duration) (cost cellCost) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := actor.NewGroup(ctx, nil)
		r := &cellRun{ctx: ctx, submitted: map[model.JobID]time.Time{}, started: make(chan taskStart, 1<<20),
			table: standin.NewTable(g, standin.StoreFaults{DelayMs: tableDelayMs, ReadsPerSecond: -1, WritesPerSecond: -1, DropHistory: true})}
		r.control = control.Start(g, control.Config{Options: control.Options{Cell: cellName, Entry: "entry-1", Boot: 1},
			Table: r.table, Log: discardLog()})
		for i := range tableWorkers {
			r.startAgent(g, testWorker(i))
		}
		actor.Sleep(ctx, 10*time.Second)
		before, _ := r.table.State(ctx)
		writes := r.submit(rate, d)
		after, _ := r.table.State(ctx)
		cost.writes = float64(after.Counters.Writes-before.Counters.Writes-writes) / d.Seconds()
		cost.reads = float64(after.Counters.Reads-before.Counters.Reads) / d.Seconds()
		actor.Sleep(ctx, 5*time.Second)
		cost.waits = r.waits()
		cancel()
		g.Wait()
	})
	return cost
}

// submit writes the rows of rate urgent jobs a second for d. It returns the number
// of its transactions.
func (r *cellRun) submit(rate int, d time.Duration) (writes int) {
	count := 0
	for i := range int(d / submitInterval) {
		txn := storage.Txn{Operation: fmt.Sprintf("submit-%d", i)}
		for due := rate * (i + 1) * int(submitInterval) / int(time.Second); count < due; count++ {
			row := jobRow(count)
			row.Spec.Urgent = true
			r.submitted[row.Spec.ID] = time.Now()
			txn.Puts = append(txn.Puts, storage.Put{Key: rows.JobKey(cellName, row.Spec.ID), Value: rows.Encode(row)})
		}
		if len(txn.Puts) > 0 {
			_, _ = r.table.Commit(r.ctx, txn)
			writes++
			actor.Sleep(r.ctx, submitInterval-tableDelayMs*time.Millisecond)
		} else {
			actor.Sleep(r.ctx, submitInterval)
		}
	}
	return writes
}

// waits returns the waiting times of the tasks started so far.
func (r *cellRun) waits() (waits []time.Duration) {
	for range len(r.started) {
		start := <-r.started
		waits = append(waits, start.at.Sub(r.submitted[start.job]))
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits
}

// startAgent starts an agent whose tasks end after taskLength, and links it to the
// controller.
func (r *cellRun) startAgent(g *actor.Group, w model.Worker) {
	reply := func(m msg.Control) { _ = r.control.Send(r.ctx, control.FromAgent{Worker: w.ID, Msg: m}) }
	link := actor.Spawn(g, actor.Spec[msg.Control]{Name: "agent", Mailbox: 1024, Run: func(ctx context.Context, in <-chan msg.Control) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case m := <-in:
				r.answerCommand(g, m, reply)
			}
		}
	}})
	_ = r.control.Send(r.ctx, control.AgentUp{Worker: w, Cell: cellName, Boot: 1, Link: link})
}

// answerCommand answers a command as an agent does.
func (r *cellRun) answerCommand(g *actor.Group, m msg.Control, reply func(msg.Control)) {
	switch m := m.(type) {
	case *msg.CellClaim:
		reply(&msg.Inventory{Cell: m.Cell, Epoch: m.Epoch})
	case *msg.LeaseRenew:
		reply(&msg.LeaseAck{Cell: m.Cell, Epoch: m.Epoch, Sequence: m.Sequence})
	case *msg.StartTask:
		r.started <- taskStart{m.Attempt.Job, time.Now()}
		report := msg.TaskReport{Attempt: m.Attempt, Epoch: m.Epoch, State: model.TaskRunning}
		reply(&report)
		done := report
		done.State = model.TaskDone
		actor.Go(g, "task", func(ctx context.Context) error {
			if actor.Sleep(ctx, taskLength) {
				reply(&done)
			}
			return nil
		})
	}
}

// quantile returns the quantile q of an ascending list in seconds.
func quantile(sorted []time.Duration, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Seconds()
}

// Guards against a controller that writes a transaction for each task instead of
// grouping the rows, or that starts urgent work more than 1.4 s after its
// submission. With -record it measures the slopes at all rates; otherwise it makes
// short runs at two rates.
func TestTableOperationsOfACell(t *testing.T) {
	rates, d := []int{0, 20}, 5*time.Second
	if *record {
		rates, d = []int{0, 5, 20, 58, 116}, 30*time.Second
	}
	s := newTestSeries("task start/s", "TestTableOperationsOfACell")
	for _, rate := range rates {
		cost, x := runCell(t, rate, d), float64(rate)
		s.add("cell.writes", perSecond, x, cost.writes)
		s.add("cell.reads", perSecond, x, cost.reads)
		if rate == 0 {
			continue
		}
		require.Len(t, cost.waits, rate*int(d.Seconds()), "task starts")
		s.add("cell.urgentP50", "s", x, quantile(cost.waits, 0.5))
		s.add("cell.urgentP99", "s", x, quantile(cost.waits, 0.99))
		require.Less(t, quantile(cost.waits, 1), 1.4, "seconds until urgent work started, at %d starts/s", rate)
		require.Less(t, cost.writes, 100.0, "transactions/s at %d starts/s", rate)
	}
	if *record {
		s.finish(t)
	}
}

// Guards against agents that read the directory so often that 6,900 of them exceed
// the table's 2,000 reads/s. With -record it measures the slope.
func TestTableOperationsOfAgents(t *testing.T) {
	counts, d := []int{1, 10}, 10*time.Minute
	if *record {
		counts, d = []int{10, 100, 300}, time.Hour
	}
	s := newTestSeries("agent", "TestTableOperationsOfAgents")
	for _, n := range counts {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			g := actor.NewGroup(ctx, nil)
			table := standin.NewTable(g, standin.StoreFaults{ReadsPerSecond: -1})
			for range n {
				// As agentDirectoryInterval of internal/daemon.
				directory.Follow(g, table, time.Minute, discardLog(), func(directory.List) {})
			}
			actor.Sleep(ctx, d)
			state, _ := table.State(ctx)
			reads := float64(state.Counters.Reads) / d.Seconds()
			require.Less(t, reads, float64(n)*2000/6900, "reads/s of %d agents", n)
			s.add("directory.reads", perSecond, float64(n), reads)
			cancel()
			g.Wait()
		})
	}
	if *record {
		s.finish(t)
	}
}
