package wire

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bambooscale/bambooscale/internal/wire/pb"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// EncodeJob encodes a job for the store.
func EncodeJob(j *workload.Job) ([]byte, error) { return proto.Marshal(jobToProto(j)) }

// DecodeJob is the inverse of EncodeJob. Its error is ErrMalformed.
func DecodeJob(raw []byte) (workload.Job, error) {
	var p pb.FleetJob
	if err := proto.Unmarshal(raw, &p); err != nil {
		return workload.Job{}, malformed("job: %v", err)
	}
	return jobFromProto(&p), nil
}

// EncodeProgress encodes the progress of a job for the store.
func EncodeProgress(j *workload.Progress) ([]byte, error) {
	return proto.Marshal(&pb.JobProgress{
		Phase: uint32(j.Phase), Done: j.Done, OverAtMs: j.EndedAtMS, Failure: j.Failure,
		Attempts: mapSlice(j.Attempts, func(a workload.TaskAttempts) *pb.TaskAttempts {
			return &pb.TaskAttempts{
				Step: int64(a.Step), Index: int64(a.Index), Failed: int64(a.Failed), Checkpoint: a.Checkpoint, LastFailed: a.LastFailed, FailedRuns: a.FailedRuns,
				Crashes: int64(a.Crashes), CrashesAlone: int64(a.CrashesAlone), CrashAgeNs: int64(a.CrashAge),
			}
		}),
	})
}

// DecodeProgress is the inverse of EncodeProgress. Its error is ErrMalformed.
func DecodeProgress(raw []byte) (workload.Progress, error) {
	var p pb.JobProgress
	if err := proto.Unmarshal(raw, &p); err != nil {
		return workload.Progress{}, malformed("progress: %v", err)
	}
	if p.GetPhase() > uint32(workload.Cancelled) {
		return workload.Progress{}, malformed("progress has the unknown phase %d", p.GetPhase())
	}
	return workload.Progress{
		Phase: workload.Phase(p.GetPhase()), Done: p.GetDone(), EndedAtMS: p.GetOverAtMs(), Failure: p.GetFailure(),
		Attempts: mapSlice(p.GetAttempts(), func(a *pb.TaskAttempts) workload.TaskAttempts {
			return workload.TaskAttempts{
				Step: int(a.GetStep()), Index: int(a.GetIndex()), Failed: int(a.GetFailed()), LastFailed: a.GetLastFailed(),
				FailedRuns: a.GetFailedRuns(), Checkpoint: a.GetCheckpoint(),
				Crashes: int(a.GetCrashes()), CrashesAlone: int(a.GetCrashesAlone()), CrashAge: time.Duration(a.GetCrashAgeNs()),
			}
		}),
	}, nil
}

// EncodeOwner encodes the owner of the jobs for the store.
func EncodeOwner(o workload.Owner) ([]byte, error) {
	return proto.Marshal(&pb.OwnerRow{Name: o.Name, Boot: o.Boot, Epoch: o.Epoch, Sequence: o.Sequence, Unsettled: o.Unsettled, Fenced: o.Fenced, Entries: o.Entries, EndingLeases: o.EndingLeases, ActsForNs: int64(o.ActsFor)})
}

// DecodeOwner is the inverse of EncodeOwner. Its error is ErrMalformed.
func DecodeOwner(raw []byte) (workload.Owner, error) {
	var p pb.OwnerRow
	if err := proto.Unmarshal(raw, &p); err != nil {
		return workload.Owner{}, malformed("owner: %v", err)
	}
	return workload.Owner{
		Name: p.GetName(), Boot: p.GetBoot(), Epoch: p.GetEpoch(), Sequence: p.GetSequence(), Unsettled: p.GetUnsettled(), Fenced: p.GetFenced(),
		Entries: p.GetEntries(), EndingLeases: p.GetEndingLeases(), ActsFor: time.Duration(p.GetActsForNs()),
	}, nil
}

func jobToProto(j *workload.Job) *pb.FleetJob {
	return &pb.FleetJob{
		Id: string(j.ID), Queue: string(j.Queue), Service: string(j.Service), Priority: int64(j.Priority), MaxAttempts: int64(j.MaxAttempts),
		Stretch: j.TargetSlowdown, TargetNs: int64(j.TargetLatency), Specification: j.Specification, Steps: mapSlice(j.Steps, stepToProto),
		Repetitions: int64(j.Repetitions), FirstRunMs: j.FirstRunMS, IntervalMs: j.IntervalMS, Epoch: j.Epoch,
	}
}

func jobFromProto(p *pb.FleetJob) workload.Job {
	return workload.Job{
		ID: workload.JobID(p.GetId()), Queue: workload.QueueName(p.GetQueue()), Service: workload.Service(p.GetService()),
		Priority: int(p.GetPriority()), MaxAttempts: int(p.GetMaxAttempts()), TargetSlowdown: p.GetStretch(), TargetLatency: time.Duration(p.GetTargetNs()),
		Specification: p.GetSpecification(), Steps: mapSlice(p.GetSteps(), stepFromProto),
		Repetitions: int(p.GetRepetitions()), FirstRunMS: p.GetFirstRunMs(), IntervalMS: p.GetIntervalMs(), Epoch: p.GetEpoch(),
	}
}

func stepToProto(s workload.Step) *pb.FleetStep {
	return &pb.FleetStep{
		Count: int64(s.Count), Need: workloadResourcesToProto(s.Need), EstimateNs: int64(s.Estimate),
		After:         mapSlice(s.After, func(n int) int64 { return int64(n) }),
		Checkpointing: s.Checkpointing, Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, DataRack: s.DataRack,
		MaxPerHost: int64(s.MaxPerHost), Copies: s.AllowConcurrentRuns, LongRunning: s.LongRunning, Image: s.Image,
		TargetNs: int64(s.TargetLatency), Filler: s.BestEffort, MayMiss: int64(s.MaxUnavailable),
	}
}

func stepFromProto(p *pb.FleetStep) workload.Step {
	return workload.Step{
		Count: int(p.GetCount()), Need: workloadResourcesFromProto(p.GetNeed()), Estimate: time.Duration(p.GetEstimateNs()),
		After:         mapSlice(p.GetAfter(), func(n int64) int { return int(n) }),
		Checkpointing: p.GetCheckpointing(), Gang: p.GetGang(), SameRack: p.GetSameRack(), Label: p.GetLabel(), DataRack: p.GetDataRack(),
		MaxPerHost: int(p.GetMaxPerHost()), AllowConcurrentRuns: p.GetCopies(), LongRunning: p.GetLongRunning(), Image: p.GetImage(),
		TargetLatency: time.Duration(p.GetTargetNs()), BestEffort: p.GetFiller(), MaxUnavailable: int(p.GetMayMiss()),
	}
}
