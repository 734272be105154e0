package hostselect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/workload"
)

func ready(name string, cpu int64, labels ...string) Host {
	info := &workload.Host{
		Name: workload.HostName(name), Service: "desk", State: workload.HostReady, Labels: labels,
		Capacity: workload.Resources{MilliCPU: cpu, MemoryMB: 1000},
	}
	return Host{Info: info, Reachable: true, Free: info.Capacity}
}

func want(cpu int64) Task {
	return Task{Service: "desk", Step: &workload.Step{Count: 1, Need: workload.Resources{MilliCPU: cpu, MemoryMB: 10}}}
}

// Guards against a start that a rule forbids: each case differs from a host
// that fits in one point.
func TestCheckNamesTheReason(t *testing.T) {
	cases := map[Reason]func(*Task, *Host){
		Fits:         func(*Task, *Host) {},
		Unreachable:  func(_ *Task, h *Host) { h.Reachable = false },
		Draining:     func(_ *Task, h *Host) { h.Info.State = workload.HostDraining },
		OtherService: func(w *Task, _ *Host) { w.Service = "other" },
		NoLabel:      func(w *Task, _ *Host) { w.Step.Label = "fast" },
		TooMany:      func(w *Task, h *Host) { w.Step.MaxPerHost, h.SameStep = 2, 2 },
		NoRoom:       func(w *Task, _ *Host) { w.Step.Need.MilliCPU = 4001 },
		Failing:      func(_ *Task, h *Host) { h.Failing = true },
		Avoided:      func(_ *Task, h *Host) { h.Avoided = true },
	}
	for reason, change := range cases {
		task, host := want(1000), ready("a", 4000, "slow")
		change(&task, &host)
		require.Equal(t, reason.String(), Check(task, host).String())
	}
}

// Guards against fillers beside serving tasks while another host is as free.
func TestFillersKeepAwayFromServingTasks(t *testing.T) {
	serving, free := ready("a", 8000), ready("b", 4000)
	serving.Serving, serving.FillersFit = 1, 1
	task := want(1000)
	task.Step.BestEffort = true
	i, _ := Choose(task, []Host{serving, free})
	require.Equal(t, 1, i)
}

// Guards against a host that is given more than it has, whatever the mix.
func TestChoiceAlwaysFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		task := want(rapid.Int64Range(0, 5000).Draw(t, "cpu"))
		task.Step.BestEffort = rapid.Bool().Draw(t, "filler")
		task.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
		var hosts []Host
		for range rapid.IntRange(0, 5).Draw(t, "hosts") {
			h := ready("h", 4000)
			h.Free.MilliCPU = rapid.Int64Range(-100, 4000).Draw(t, "free")
			h.Reachable = rapid.Bool().Draw(t, "reachable")
			hosts = append(hosts, h)
		}
		i, against := Choose(task, hosts)
		total := 0
		for _, n := range against {
			total += n
		}
		if i < 0 {
			require.Equal(t, len(hosts), total, "each host has a reason")
			return
		}
		require.True(t, hosts[i].Reachable)
		require.True(t, task.Step.Charge().Fits(hosts[i].Free))
	})
}

// A crest of fillers beside serving tasks on every host: each filler disturbs
// some images and others hardly. Guards against one that is placed where the
// serving tasks cannot bear it while another host's can.
func TestFillersGoWhereServingTasksBearThem(t *testing.T) {
	sensitive, robust := ready("a", 8000), ready("b", 8000)
	sensitive.Serving, sensitive.FillersFit = 4, 0.3
	robust.Serving, robust.FillersFit = 4, 9
	robust.Free.MilliCPU, robust.FillerCPU = 1000, 3000
	task := want(1000)
	task.Step.BestEffort = true
	i, _ := Choose(task, []Host{sensitive, robust})
	require.Equal(t, 1, i)
}

// Guards against a filler that is paced down to nothing at once instead of
// waiting for a host, and against one that waits for ever.
func TestFillersWaitAWhileForAHostThatBearsThem(t *testing.T) {
	host := ready("a", 8000)
	host.Serving, host.FillersFit = 4, 0.1
	task := want(1000)
	task.Step.BestEffort = true
	task.Patient = true
	require.Equal(t, Crowded, Check(task, host))
	task.Patient = false
	require.Equal(t, Fits, Check(task, host))
}

// Guards against serving tasks of many images on each host, beside which no
// filler is harmless.
func TestServingTasksJoinTheirImage(t *testing.T) {
	empty, other, same := ready("a", 8000), ready("b", 8000), ready("c", 8000)
	other.Serving, same.Serving, same.SameImage = 2, 2, true
	other.Free.MilliCPU, same.Free.MilliCPU = 4000, 4000
	task := want(1000)
	task.Step.LongRunning, task.Step.TargetLatency = true, time.Second
	i, _ := Choose(task, []Host{empty, other, same})
	require.Equal(t, 2, i)
}
