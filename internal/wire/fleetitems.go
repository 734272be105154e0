package wire

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire/pb"
	"github.com/bambooscale/bambooscale/internal/workload"
)

func memberToProto(m msg.Member) *pb.Member { return &pb.Member{Name: m.Name, Address: m.Address} }

func memberFromProto(p *pb.Member) msg.Member {
	return msg.Member{Name: p.GetName(), Address: p.GetAddress()}
}

func workloadResourcesToProto(r workload.Resources) *pb.Room {
	return &pb.Room{MilliCpu: r.MilliCPU, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}

func workloadResourcesFromProto(p *pb.Room) workload.Resources {
	return workload.Resources{MilliCPU: p.GetMilliCpu(), MemoryMB: p.GetMemoryMb(), Accelerators: p.GetAccelerators()}
}

func hostToProto(h workload.Host) *pb.FleetHost {
	return &pb.FleetHost{
		Name: string(h.Name), Instance: string(h.Instance), Born: h.StartedAtMS, Service: string(h.Service), DataCentre: string(h.DataCentre),
		State: uint32(h.State), RemainingNs: int64(h.Remaining), Capacity: workloadResourcesToProto(h.Capacity), Labels: h.Labels, Guards: h.AdmissionCheck,
		Crashed: h.Crashed,
	}
}

func hostFromProto(p *pb.FleetHost) (workload.Host, error) {
	if p.GetState() > uint32(workload.HostDraining) {
		return workload.Host{}, malformed("host %q has the unknown state %d", p.GetName(), p.GetState())
	}
	return workload.Host{
		Name: workload.HostName(p.GetName()), Instance: workload.Instance(p.GetInstance()), StartedAtMS: p.GetBorn(),
		Service: workload.Service(p.GetService()), DataCentre: workload.DataCentre(p.GetDataCentre()),
		State: workload.HostState(p.GetState()), Remaining: time.Duration(p.GetRemainingNs()),
		Capacity: workloadResourcesFromProto(p.GetCapacity()), Labels: p.GetLabels(), AdmissionCheck: p.GetGuards(), Crashed: p.GetCrashed(),
	}, nil
}

func runToProto(r workload.RunID) *pb.FleetRun {
	return &pb.FleetRun{Number: r.Number, Task: &pb.FleetTask{
		Job: string(r.Task.Job), Occurrence: int64(r.Task.Occurrence), Step: int64(r.Task.Step), Index: int64(r.Task.Index),
	}}
}

func runFromProto(p *pb.FleetRun) workload.RunID {
	t := p.GetTask()
	return workload.RunID{Number: p.GetNumber(), Task: workload.TaskID{
		Job: workload.JobID(t.GetJob()), Occurrence: int(t.GetOccurrence()), Step: int(t.GetStep()), Index: int(t.GetIndex()),
	}}
}

func hostRunsToProto(h msg.HostRuns) *pb.HostRuns {
	return &pb.HostRuns{Host: string(h.Host), Runs: mapSlice(h.Runs, runToProto)}
}

func hostRunsFromProto(p *pb.HostRuns) msg.HostRuns {
	return msg.HostRuns{Host: workload.HostName(p.GetHost()), Runs: mapSlice(p.GetRuns(), runFromProto)}
}

func runStatusToProto(s msg.RunStatus) *pb.RunStatus {
	return &pb.RunStatus{
		Run: runToProto(s.Run), Checkpoint: s.Checkpoint, Percent: int64(s.ProgressPercent), Usage: s.Usage, Pace: int64(s.CPULimitPercent), InDoubt: s.Unconfirmed,
	}
}

func runStatusFromProto(p *pb.RunStatus) msg.RunStatus {
	return msg.RunStatus{
		Run: runFromProto(p.GetRun()), Checkpoint: p.GetCheckpoint(), ProgressPercent: int(p.GetPercent()), Usage: p.GetUsage(),
		CPULimitPercent: int(p.GetPace()), Unconfirmed: p.GetInDoubt(),
	}
}

func runEndToProto(e msg.RunEnd) *pb.RunEnd {
	return &pb.RunEnd{Number: e.Number, Run: runToProto(e.Run), Reason: uint32(e.Reason), Checkpoint: e.Checkpoint}
}

func runEndsFromProto(encoded []*pb.RunEnd) ([]msg.RunEnd, error) {
	ended := make([]msg.RunEnd, 0, len(encoded))
	for _, p := range encoded {
		if p.GetReason() > uint32(workload.EndLost) {
			return nil, malformed("end %d has the unknown reason %d", p.GetNumber(), p.GetReason())
		}
		ended = append(ended, msg.RunEnd{
			Number: p.GetNumber(), Run: runFromProto(p.GetRun()), Reason: workload.EndReason(p.GetReason()), Checkpoint: p.GetCheckpoint(),
		})
	}
	if len(ended) == 0 {
		return nil, nil
	}
	return ended, nil
}

func runSizeToProto(s msg.RunSize) *pb.RunSize {
	return &pb.RunSize{Run: runToProto(s.Run), Charge: workloadResourcesToProto(s.Charge), TargetNs: int64(s.TargetLatency), Filler: s.BestEffort, Image: s.Image, Cpu: s.MilliCPU}
}

func runSizeFromProto(p *pb.RunSize) msg.RunSize {
	return msg.RunSize{
		Run: runFromProto(p.GetRun()), Charge: workloadResourcesFromProto(p.GetCharge()), TargetLatency: time.Duration(p.GetTargetNs()), BestEffort: p.GetFiller(),
		Image: p.GetImage(), MilliCPU: p.GetCpu(),
	}
}

func runStartToProto(s msg.RunStart) *pb.RunStart {
	return &pb.RunStart{Size: runSizeToProto(s.Size), Specification: s.Specification, Checkpoint: s.Checkpoint}
}

func runStartFromProto(p *pb.RunStart) msg.RunStart {
	return msg.RunStart{Size: runSizeFromProto(p.GetSize()), Specification: p.GetSpecification(), Checkpoint: p.GetCheckpoint()}
}

func jobPhaseToProto(j msg.JobPhase) *pb.JobPhase {
	return &pb.JobPhase{Id: string(j.ID), Queue: string(j.Queue), Phase: uint32(j.Phase), Failure: j.Failure, Tasks: int64(j.Tasks)}
}

func rowToProto(r table.Row) *pb.TableRow {
	return &pb.TableRow{Key: r.Key, Value: r.Value, Version: uint64(r.Version), Deleted: r.Deleted}
}

func rowFromProto(p *pb.TableRow) table.Row {
	return table.Row{Key: p.GetKey(), Value: p.GetValue(), Version: table.Revision(p.GetVersion()), Deleted: p.GetDeleted()}
}

func interferenceToProto(i msg.Interference) *pb.Harm {
	return &pb.Harm{Serving: i.ServingImage, Filler: i.BestEffortImage, Value: i.Coefficient}
}

func interferenceFromProto(p *pb.Harm) msg.Interference {
	return msg.Interference{ServingImage: p.GetServing(), BestEffortImage: p.GetFiller(), Coefficient: p.GetValue()}
}
