package hostselect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/workload"
)

func readyHost(name string, cpu int64, labels ...string) Host {
	info := &workload.Host{
		Name: workload.HostName(name), Service: "desk", State: workload.HostReady, Labels: labels,
		Capacity: workload.Resources{MilliCPU: cpu, MemoryMB: 1000},
	}
	return Host{Info: info, Free: info.Capacity}
}

func newTask(cpu int64) Task {
	return Task{Service: "desk", Step: &workload.Step{Count: 1, Need: workload.Resources{MilliCPU: cpu, MemoryMB: 10}}}
}

// Guards against a task that is placed where a rule forbids it. Each case differs
// in one property from a host that fits.
func TestCheckNamesTheReason(t *testing.T) {
	cases := map[Reason]func(*Task, *Host){
		Fits:          func(*Task, *Host) {},
		Unreachable:   func(_ *Task, h *Host) { h.Info.State = workload.HostUnavailable },
		KeptFree:      func(_ *Task, h *Host) { h.Blocked = KeptFree },
		Draining:      func(_ *Task, h *Host) { h.Info.State = workload.HostDraining },
		OtherService:  func(task *Task, _ *Host) { task.Service = "other" },
		NoLabel:       func(task *Task, _ *Host) { task.Step.Label = "fast" },
		TooManyOfStep: func(task *Task, h *Host) { task.Step.MaxPerHost, h.SameStep = 2, 2 },
		NoCapacity:    func(task *Task, _ *Host) { task.Step.Need.MilliCPU = 4001 },
		Failing:       func(_ *Task, h *Host) { h.Failing = true },
		Avoided:       func(_ *Task, h *Host) { h.Avoided = true },
	}
	for reason, change := range cases {
		task, host := newTask(1000), readyHost("a", 4000, "slow")
		change(&task, &host)
		require.Equal(t, reason.String(), Check(task, host).String())
	}
}

// Guards against a task that starts on no host because a part of each is reserved for more
// urgent tasks: it waited for ever beside idle hosts.
func TestReservedShareKeepsNoTaskFromAnEmptyHost(t *testing.T) {
	const capacity = 10_000
	reserved := int64(reservedShare * float64(capacity))
	for _, need := range []int64{capacity - reserved - 1, capacity - reserved, capacity - reserved + 1, capacity - 1, capacity} {
		task, host := newTask(need), readyHost("a", capacity)
		task.Priority = 2
		require.Equal(t, Fits, Check(task, host), "%d of %d", need, capacity)
		host.Free.MilliCPU = need - 1
		require.Equal(t, NoCapacity, Check(task, host), "%d of %d in use", capacity-need+1, capacity)
	}
	over := newTask(capacity + 1)
	over.Priority = 2
	require.Equal(t, NoCapacity, Check(over, readyHost("a", capacity)))
}

// Guards against a share that is reserved for nobody: a task that fits beside it leaves it
// to tasks of the first priority.
func TestReservedShareIsLeftToUrgentTasks(t *testing.T) {
	const capacity = 10_000
	reserved := int64(reservedShare * float64(capacity))
	host := readyHost("a", capacity)
	host.Free.MilliCPU = 1000 + reserved
	task := newTask(1001)
	task.Priority = 2
	require.Equal(t, NoCapacity, Check(task, host))
	task.Step.Need.MilliCPU = 1000
	require.Equal(t, Fits, Check(task, host))
	task.Priority, task.Step.Need.MilliCPU = 0, 1000+reserved
	require.Equal(t, Fits, Check(task, host))
}

// Guards against a best-effort task that is placed beside serving tasks although a
// host without serving tasks fits.
func TestBestEffortTasksAvoidServingTasks(t *testing.T) {
	serving, free := readyHost("a", 8000), readyHost("b", 4000)
	serving.Serving, serving.BestEffortHeadroom = 1, 1
	task := newTask(1000)
	task.Step.BestEffort = true
	i, _ := Choose(task, []Host{serving, free})
	require.Equal(t, 1, i)
}

// Guards against a task that is placed on an unreachable host or above a host's
// capacity.
func TestChoiceAlwaysFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		task := newTask(rapid.Int64Range(0, 5000).Draw(t, "cpu"))
		task.Step.BestEffort = rapid.Bool().Draw(t, "filler")
		task.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
		var hosts []Host
		for range rapid.IntRange(0, 5).Draw(t, "hosts") {
			h := readyHost("h", 4000)
			h.Free.MilliCPU = rapid.Int64Range(-100, 4000).Draw(t, "free")
			h.Blocked = rapid.SampledFrom([]Reason{Fits, Unreachable, Reserved}).Draw(t, "blocked")
			hosts = append(hosts, h)
		}
		i, excluded := Choose(task, hosts)
		total := 0
		for _, n := range excluded {
			total += n
		}
		if i < 0 {
			require.Equal(t, len(hosts), total, "each host has a reason")
			return
		}
		require.Equal(t, Fits, hosts[i].Blocked)
		require.True(t, task.Step.Charge().Fits(hosts[i].Free))
	})
}

// Guards against a best-effort task that is placed beside serving tasks which it
// slows down above their targets, although another host has serving tasks that it
// hardly affects.
func TestBestEffortTasksPreferTolerantServingTasks(t *testing.T) {
	sensitive, tolerant := readyHost("a", 8000), readyHost("b", 8000)
	sensitive.Serving, sensitive.BestEffortHeadroom = 4, 0.3
	tolerant.Serving, tolerant.BestEffortHeadroom = 4, 9
	tolerant.Free.MilliCPU, tolerant.BestEffortCPU = 1000, 3000
	task := newTask(1000)
	task.Step.BestEffort = true
	i, _ := Choose(task, []Host{sensitive, tolerant})
	require.Equal(t, 1, i)
}

// Guards against a best-effort task that starts at once where it is throttled
// almost to a stop, and against one that waits for a faster host for ever.
func TestBestEffortTasksWaitForAFasterHost(t *testing.T) {
	host := readyHost("a", 8000)
	host.Serving, host.BestEffortHeadroom = 4, 0.1
	task := newTask(1000)
	task.Step.BestEffort = true
	task.MayWait = true
	require.Equal(t, LowSpeed, Check(task, host))
	task.MayWait = false
	require.Equal(t, Fits, Check(task, host))
}

// Guards against hosts with serving tasks of many images, where every best-effort
// task slows down one of them.
func TestServingTasksPreferHostsWithTheirImage(t *testing.T) {
	empty, other, same := readyHost("a", 8000), readyHost("b", 8000), readyHost("c", 8000)
	other.Serving, same.Serving, same.SameImage = 2, 2, true
	other.Free.MilliCPU, same.Free.MilliCPU = 4000, 4000
	task := newTask(1000)
	task.Step.LongRunning, task.Step.TargetLatency = true, time.Second
	i, _ := Choose(task, []Host{empty, other, same})
	require.Equal(t, 2, i)
}
