package jobs

import (
	"testing"
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against an owner that ends because of one report: the tasks that it names do
// not exist, or their numbers are negative.
func TestReportsOfTasksThatCannotExistAreIgnored(t *testing.T) {
	h := newHarness(t, 1)
	info := readyHost("a", 4000)
	h.link(info)
	h.core.Submit(newSpec("j", newStep(1, 1000)))
	for _, id := range []workload.TaskID{
		{Job: "j", Step: -1}, {Job: "j", Index: -1}, {Job: "j", Step: 9}, {Job: "j", Index: 9}, {Job: "j", Occurrence: -1}, {},
	} {
		run := workload.RunID{Task: id, Number: 7}
		ended := []msg.RunEnd{{Number: 1, Run: run, Reason: workload.EndFailed}}
		h.core.Inventory(&msg.HostInventory{Epoch: 1, Host: info, Runs: []msg.RunStatus{{Run: run}}, Ended: ended})
		h.core.RunsChanged("a", &msg.RunsChanged{
			Epoch: 1, Instance: info.Instance, StartedAtMS: 1, Started: []workload.RunID{run}, Refused: []workload.RunID{run}, Ended: ended,
		})
		h.core.RunsProgress("a", &msg.RunsProgress{Epoch: 1, Instance: info.Instance, StartedAtMS: 1, Runs: []msg.RunStatus{{Run: run}}})
		h.advance(200 * time.Millisecond)
	}
}

// Guards against messages of an agent, and rows of the table service, that end the
// process of the owner: whatever decodes is applied, one after another, with the time
// that passes between.
func FuzzOwnerInput(f *testing.F) {
	info := readyHost("a", 4000)
	job := newSpec("00000000000000a1", newStep(2, 1000), newStep(1, 500, 0))
	row, err := wire.EncodeJob(&job)
	if err != nil {
		f.Fatal(err)
	}
	progress, err := wire.EncodeProgress(&workload.Progress{Phase: workload.Running, Done: []byte{1}, Attempts: []workload.TaskAttempts{{Step: 1, Failed: 1, FailedRuns: []uint64{3}}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []msg.Control{
		&msg.HostInventory{Epoch: 2, Host: info, Runs: []msg.RunStatus{{Run: runID("00000000000000a1", 0, 0, 1)}}},
		&msg.RunsChanged{Epoch: 2, Instance: info.Instance, StartedAtMS: 1, Ended: []msg.RunEnd{{Number: 1, Run: runID("00000000000000a1", -1, 0, 1), Reason: workload.EndDone}}},
		&msg.RunsProgress{Epoch: 2, Instance: info.Instance, StartedAtMS: 1, Runs: []msg.RunStatus{{Run: runID("00000000000000a1", 0, 0, 1), ProgressPercent: 200}}},
		&msg.HostAnnounced{Host: info},
	} {
		payload, err := wire.AppendControl(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(row, progress, payload)
	}
	f.Fuzz(func(t *testing.T, jobRow, progressRow, payload []byte) {
		h := newHarness(t, 2)
		h.core.Submit(newSpec("00000000000000a1", newStep(2, 1000), newStep(1, 500, 0)))
		if j, err := wire.DecodeJob(jobRow); err == nil && j.ValidateSteps() == nil {
			p, err := wire.DecodeProgress(progressRow)
			if err != nil {
				p = workload.Progress{}
			}
			h.core.Restore(j, &p)
		}
		h.link(readyHost("a", 4000))
		m, err := wire.DecodeControl(payload)
		if err != nil {
			return
		}
		for range 2 {
			switch m := m.(type) {
			case *msg.HostInventory:
				h.core.Inventory(m)
			case *msg.RunsChanged:
				h.core.RunsChanged("a", m)
			case *msg.RunsProgress:
				h.core.RunsProgress("a", m)
			case *msg.HostAnnounced:
				h.core.Announced(m.Host)
			case *msg.JobSubmitted:
				if m.Job.ValidateSteps() == nil {
					h.core.Submit(m.Job)
				}
			}
			h.advance(300 * time.Millisecond)
			h.storeBatch()
		}
	})
}
