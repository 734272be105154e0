package jobs

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// cellInputs are the inputs of an owner. Each is followed by a flush.
var cellInputs = []struct {
	name  string
	input func(c *cell, i int)
}{

	{"none", func(*cell, int) {}},
	{"tick", func(c *cell, _ int) { c.core.Tick() }},
	{"report", func(c *cell, i int) {
		name := c.hostNames[i%len(c.hostNames)]
		c.core.RunsProgress(name, c.reports[name])
	}},
	{"announced", func(c *cell, i int) { c.core.Announced(c.core.hosts[c.hostNames[i%len(c.hostNames)]].info) }},
	{"end", func(c *cell, _ int) { c.end() }},
	{"submit", func(c *cell, i int) { c.core.Submit(newSpec(fmt.Sprintf("x%06d", i), cellStep(1, 1000))) }},
	{"submit-20000", func(c *cell, i int) {
		c.core.Cancel(workload.JobID(fmt.Sprintf("l%06d", i-1)))
		c.core.Submit(newSpec(fmt.Sprintf("l%06d", i), cellStep(20_000, 1000)))
	}},
	{"cancel", func(c *cell, i int) { c.core.Cancel(workload.JobID(fmt.Sprintf("w%04d", i%(c.steps/cellStepsPerJob)))) }},
	{"batch", func(c *cell, _ int) {
		c.core.NextBatch()
		c.core.BatchCommitted()
	}},
	{"phases", func(c *cell, _ int) { c.core.JobsChangedAfter(0) }},
}

// BenchmarkInputs measures each kind of input of an owner, with the flush after
// it, by the hosts and the waiting steps of its cell.
func BenchmarkInputs(b *testing.B) {
	for _, size := range []cellSize{{cellHosts, cellWaitingSteps, 8}, {cellHosts, cellWaitingSteps, 200}, {cellHosts, cellWaitingSteps, cellWaitingSteps}, {cellHosts, 40, 8}, {90, cellWaitingSteps, 8}} {
		site := newCell(b, size)
		for _, in := range cellInputs {
			b.Run(fmt.Sprintf("hosts=%d/steps=%d/kinds=%d/%s", size.hosts, size.steps, size.kinds, in.name), func(b *testing.B) {
				site.drain()
				i := 0
				for b.Loop() {
					site.now += 50 * time.Microsecond
					site.core.Advance(site.now, site.now.Milliseconds())
					in.input(site, i)
					site.flush()
					i++
				}
			})
		}
	}
}

// costOf returns the items that the owner visits for one input, with the flush
// after it.
func (c *cell) costOf(input func(*cell, int), i int) int {
	before := c.core.visits
	input(c, i)
	c.flush()
	return c.core.visits - before
}

// input returns the input of a name in cellInputs.
func input(t testing.TB, name string) func(*cell, int) {
	for _, in := range cellInputs {
		if in.name == name {
			return in.input
		}
	}
	require.FailNow(t, "no input "+name)
	return nil
}

// Guards against reports that cost as much as the cell has hosts. At the target
// 1,380 reports arrive each second, nearly each in a batch of its own.
func TestCostOfAReportDoesNotGrowWithTheCell(t *testing.T) {
	c := newCell(t, smallCell)
	for i := range 10 {
		require.Zero(t, c.costOf(input(t, "report"), i))
	}
}

// Guards against a tick that visits all hosts, runs, jobs and waiting steps every
// 50 ms although no timeout has expired.
func TestCostOfATickFollowsTheExpiredTimeouts(t *testing.T) {
	c := newCell(t, smallCell)
	for range 10 {
		c.now += 50 * time.Millisecond
		c.core.Advance(c.now, c.now.Milliseconds())
		require.Zero(t, c.costOf(input(t, "tick"), 0))
	}
	const silent = 3
	for i := range silent {
		c.core.Unlinked(c.hostNames[i])
	}
	c.core.Cancel("unknown")
	c.flush()
	for range 2 { // the agents of the other hosts go on reporting
		c.now += LeaseExpiry / 2
		c.core.Advance(c.now, c.now.Milliseconds())
		for _, name := range c.hostNames[silent:] {
			c.core.RunsProgress(name, c.reports[name])
		}
	}
	before := c.core.visits
	c.core.Tick()
	require.Equal(t, silent, c.core.visits-before)
	c.now += cancellationRetention
	c.core.Advance(c.now, c.now.Milliseconds())
	c.core.Tick()
	require.Empty(t, c.core.cancelled)
}

// Guards against passes that visit every waiting step, whose cost grows with the
// backlog, and every host for requests to its agent. The end of a run changes one
// host, which is examined once for each requirement and takes one task.
func TestCostOfAnEndDoesNotGrowWithTheWaitingSteps(t *testing.T) {
	c := newCell(t, smallCell)
	for i := range 3 * cellStepTasks {
		visits := c.costOf(input(t, "end"), i)
		p := c.core.LastPass()
		require.Equal(t, 1, p.Started)
		require.LessOrEqual(t, p.Views, smallCell.kinds+p.Started)
		groupsAndSteps := 2*smallCell.kinds + 1 // one more after a step whose last task started
		const hostsWithRequests, jobsToStore = 1, 1
		require.LessOrEqual(t, visits, groupsAndSteps+hostsWithRequests+jobsToStore)
		c.store()
	}
}

// Guards against submissions that visit every waiting step only to find that no
// host is left for them.
func TestCostOfASubmissionDoesNotGrowWithTheWaitingSteps(t *testing.T) {
	c := newCell(t, smallCell)
	for i := range 10 {
		const submittedSteps = 1
		require.LessOrEqual(t, c.costOf(input(t, "submit"), i), smallCell.kinds+submittedSteps)
		require.Zero(t, c.core.LastPass().Views)
	}
}

// Guards against a job of many tasks that can't start whose log lines count the
// reasons of all hosts for each task.
func TestCostOfUnplacedTasksIsNotMultipliedByTheHosts(t *testing.T) {
	c := newCell(t, smallCell)
	const tasks = 500
	visits := c.costOf(func(c *cell, _ int) { c.core.Submit(newSpec("large", cellStep(tasks, 1000))) }, 0)
	const submittedSteps = 1
	require.LessOrEqual(t, visits, smallCell.hosts+smallCell.kinds+submittedSteps)
}

// Guards against reports that cost as much as the cell has pairs of images. A host
// needs the coefficients of the images that serve there.
func TestCostOfAReportFollowsTheImagesOnItsHost(t *testing.T) {
	c := newCell(t, smallCell)
	const images = 30
	c.core.RestoreInterference(allPairs(images))
	const servingOnHost = 1
	for i := range 10 {
		before := c.core.pairVisits
		c.costOf(input(t, "report"), i)
		require.LessOrEqual(t, c.core.pairVisits-before, servingOnHost*images)
	}
}

// BenchmarkReport measures a report and its flush by the number of serving images
// in the cell, with as many best-effort ones.
func BenchmarkReport(b *testing.B) {
	for _, images := range []int{5, 20, 40} {
		site := newCell(b, cellSize{cellHosts, 40, 8})
		site.core.RestoreInterference(allPairs(images))
		b.Run(fmt.Sprintf("images=%d", images), func(b *testing.B) {
			i := 0
			for b.Loop() {
				input(b, "report")(site, i)
				site.flush()
				i++
			}
		})
	}
}

// Guards against a stored list of hosts that is not written although it should
// change, because only changed hosts are compared with it.
func TestStoredListFollowsEveryChangeOfAHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &twin{t: t, cores: [2]*Core{New(1, 0), New(1, 0)}, ends: map[workload.HostName]uint64{}}
		for i := range 3 {
			w.hosts = append(w.hosts, readyHost(fmt.Sprintf("h%d", i), 4000))
			w.link(w.hosts[i])
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			w.now += rapid.SampledFrom([]time.Duration{speedInterval, time.Second, hostRetention}).Draw(t, "pause")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				w.submit()
			case 1:
				w.end()
			default:
				w.changeHost()
			}
			w.apply(func(c *Core) {
				differing := 0
				for _, h := range c.hosts {
					if h.mayHaveRuns() != c.hostList.stored[h.info.Name] {
						differing++
					}
				}
				require.Equal(t, differing, c.hostList.differing)
			})
		}
	})
}

// BenchmarkTakeover measures a new owner from the restored jobs until every host
// has sent its inventory, each with a flush, by the waiting steps.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range []cellSize{{cellHosts, 40, 8}, {cellHosts, cellWaitingSteps, 8}} {
		site := newCell(b, size)
		b.Run(fmt.Sprintf("hosts=%d/steps=%d", size.hosts, size.steps), func(b *testing.B) {
			visits := 0
			for b.Loop() {
				visits += site.takeOver(FormerOwnersActive).visits
			}
			b.ReportMetric(float64(visits)/float64(b.N), "visits/op")
		})
	}
}

// takeOver returns the core of a next owner that has taken over the cell.
func (c *cell) takeOver(former FormerOwners) *Core {
	next := New(2, c.now)
	next.Advance(c.now, c.now.Milliseconds())
	for _, id := range slices.Sorted(maps.Keys(c.core.jobs)) {
		p := c.core.jobs[id].progress()
		next.Restore(c.core.jobs[id].spec, &p)
	}
	for _, name := range c.hostNames {
		next.ExpectHost(name)
	}
	next.Recover(former)
	for _, name := range c.hostNames {
		h := c.core.hosts[name]
		next.Linked(h.info)
		next.Inventory(&msg.HostInventory{Epoch: 2, Host: h.info, Runs: c.reports[name].Runs})
		next.Plan()
		next.Messages()
		next.Phases()
		next.Decisions()
		next.Pending()
	}
	require.True(c.t, next.Settled())
	return next
}

// Guards against a new owner that visits every waiting step for each inventory,
// though none of them may start before the last inventory. On a slow host the
// leases of the runs then expire before they are granted again.
func TestCostOfATakeoverDoesNotMultiplyHostsByWaitingSteps(t *testing.T) {
	c := newCell(t, smallCell)
	requirements := smallCell.kinds + 2*cellServingJobs + 1 // the tasks of the running jobs wait too
	lastInventory := smallCell.hosts + smallCell.steps
	for _, former := range []FormerOwners{FormerOwnersActive, FormerOwnersFenced, FormerOwnersEnded} {
		require.LessOrEqual(t, c.takeOver(former).visits, smallCell.hosts*requirements+lastInventory)
	}
}
