package wire

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire/pb"
)

// taskToProto encodes the messages of internal/msg/task.go. It returns nil for
// others.
func taskToProto(m msg.Control) *pb.Control {
	p := &pb.Control{}
	switch m := m.(type) {
	case *msg.CellClaim:
		p.Kind = &pb.Control_CellClaim{CellClaim: &pb.CellClaim{Cell: string(m.Cell), Epoch: uint64(m.Epoch)}}
	case *msg.LeaseRenew:
		p.Kind = &pb.Control_LeaseRenew{LeaseRenew: leaseRenewToProto(m)}
	case *msg.StartTask:
		p.Kind = &pb.Control_StartTask{StartTask: startTaskToProto(m)}
	case *msg.StopTask:
		p.Kind = &pb.Control_StopTask{StopTask: taskCommandToProto(m.Command, m.Attempt)}
	case *msg.CheckpointTask:
		p.Kind = &pb.Control_CheckpointTask{CheckpointTask: taskCommandToProto(m.Command, m.Attempt)}
	case *msg.ThrottleTask:
		p.Kind = &pb.Control_ThrottleTask{ThrottleTask: &pb.ThrottleTask{
			Cell: string(m.Cell), Epoch: uint64(m.Epoch), Attempt: attemptIDToProto(m.Attempt), Percent: int64(m.Percent),
		}}
	case *msg.TaskAck:
		p.Kind = &pb.Control_TaskAck{TaskAck: taskCommandToProto(m.Command, m.Attempt)}
	case *msg.TaskReport:
		p.Kind = &pb.Control_TaskReport{TaskReport: taskReportToProto(m)}
	case *msg.Inventory:
		p.Kind = &pb.Control_Inventory{Inventory: &pb.Inventory{
			Cell: string(m.Cell), Epoch: uint64(m.Epoch), Attempts: mapSliceByPointer(m.Attempts, taskReportToProto),
		}}
	case *msg.LeaseAck:
		p.Kind = &pb.Control_LeaseAck{LeaseAck: &pb.LeaseAck{Cell: string(m.Cell), Epoch: uint64(m.Epoch), Sequence: m.Sequence}}
	case *msg.UsageReport:
		p.Kind = &pb.Control_UsageReport{UsageReport: usageReportToProto(m)}
	default:
		return nil
	}
	return p
}

// taskFromProto is the inverse of taskToProto. It returns nil for other
// messages.
func taskFromProto(p *pb.Control) msg.Control {
	switch k := p.Kind.(type) {
	case *pb.Control_CellClaim:
		return &msg.CellClaim{Command: commandFromProto(k.CellClaim)}
	case *pb.Control_LeaseRenew:
		return leaseRenewFromProto(k.LeaseRenew)
	case *pb.Control_StartTask:
		return startTaskFromProto(k.StartTask)
	case *pb.Control_StopTask:
		return (*msg.StopTask)(taskCommandFromProto(k.StopTask))
	case *pb.Control_CheckpointTask:
		return (*msg.CheckpointTask)(taskCommandFromProto(k.CheckpointTask))
	case *pb.Control_ThrottleTask:
		return &msg.ThrottleTask{
			Command: commandFromProto(k.ThrottleTask), Attempt: attemptIDFromProto(k.ThrottleTask.GetAttempt()),
			Percent: int(k.ThrottleTask.GetPercent()),
		}
	case *pb.Control_TaskAck:
		return (*msg.TaskAck)(taskCommandFromProto(k.TaskAck))
	case *pb.Control_TaskReport:
		r := taskReportFromProto(&k.TaskReport)
		return &r
	case *pb.Control_Inventory:
		return &msg.Inventory{
			Cell: model.Cell(k.Inventory.GetCell()), Epoch: model.Epoch(k.Inventory.GetEpoch()),
			Attempts: mapSliceByPointer(k.Inventory.GetAttempts(), taskReportFromProto),
		}
	case *pb.Control_LeaseAck:
		return &msg.LeaseAck{
			Cell: model.Cell(k.LeaseAck.GetCell()), Epoch: model.Epoch(k.LeaseAck.GetEpoch()), Sequence: k.LeaseAck.GetSequence(),
		}
	case *pb.Control_UsageReport:
		return usageReportFromProto(k.UsageReport)
	}
	return nil
}

// commandProto is implemented by the protobuf messages of all commands.
type commandProto interface {
	GetCell() string
	GetEpoch() uint64
}

func commandFromProto(p commandProto) msg.Command {
	return msg.Command{Cell: model.Cell(p.GetCell()), Epoch: model.Epoch(p.GetEpoch())}
}

func taskCommandToProto(c msg.Command, attempt model.AttemptID) *pb.TaskCommand {
	return &pb.TaskCommand{Cell: string(c.Cell), Epoch: uint64(c.Epoch), Attempt: attemptIDToProto(attempt)}
}

// taskCommandFromProto returns a StopTask, which callers convert to the other
// messages with the same fields.
func taskCommandFromProto(p *pb.TaskCommand) *msg.StopTask {
	return &msg.StopTask{Command: commandFromProto(p), Attempt: attemptIDFromProto(p.GetAttempt())}
}

func leaseRenewToProto(m *msg.LeaseRenew) *pb.LeaseRenew {
	return &pb.LeaseRenew{
		Cell: string(m.Cell), Epoch: uint64(m.Epoch), Sequence: m.Sequence, TtlNs: int64(m.TTL), LongTtlNs: int64(m.LongRunningTTL),
	}
}

func leaseRenewFromProto(p *pb.LeaseRenew) *msg.LeaseRenew {
	return &msg.LeaseRenew{
		Command: commandFromProto(p), Sequence: p.GetSequence(), TTL: time.Duration(p.GetTtlNs()), LongRunningTTL: time.Duration(p.GetLongTtlNs()),
	}
}

func startTaskToProto(m *msg.StartTask) *pb.StartTask {
	return &pb.StartTask{
		Cell: string(m.Cell), Epoch: uint64(m.Epoch), Attempt: attemptIDToProto(m.Attempt), Spec: jobSpecToProto(m.Spec),
		Checkpoint: m.Checkpoint, TtlNs: int64(m.TTL),
	}
}

func startTaskFromProto(p *pb.StartTask) *msg.StartTask {
	return &msg.StartTask{
		Command: commandFromProto(p), Attempt: attemptIDFromProto(p.GetAttempt()), Spec: jobSpecFromProto(p.GetSpec()),
		Checkpoint: p.GetCheckpoint(), TTL: time.Duration(p.GetTtlNs()),
	}
}

func taskReportToProto(r *msg.TaskReport) *pb.TaskReport {
	return &pb.TaskReport{
		Attempt: attemptIDToProto(r.Attempt), Epoch: uint64(r.Epoch), State: string(r.State), Checkpoint: r.Checkpoint,
		Result: r.Result, Reason: r.Reason, Usage: resourcesToProto(r.Usage.Resources),
		UsageAgeNs: int64(r.Usage.Age), RanForNs: int64(r.RanFor),
	}
}

func taskReportFromProto(r **pb.TaskReport) msg.TaskReport {
	p := *r
	return msg.TaskReport{
		Attempt: attemptIDFromProto(p.GetAttempt()), Epoch: model.Epoch(p.GetEpoch()), State: model.TaskState(p.GetState()),
		Checkpoint: p.GetCheckpoint(), Result: p.GetResult(), Reason: p.GetReason(),
		Usage:  model.Usage{Resources: resourcesFromProto(p.GetUsage()), Age: time.Duration(p.GetUsageAgeNs())},
		RanFor: time.Duration(p.GetRanForNs()),
	}
}

func usageReportToProto(m *msg.UsageReport) *pb.UsageReport {
	return &pb.UsageReport{
		Worker: string(m.Worker), Capacity: resourcesToProto(m.Capacity), Used: resourcesToProto(m.Used),
		AgeNs: int64(m.Age), Tasks: mapSliceByPointer(m.Tasks, taskReportToProto),
		Services: mapSliceByPointer(m.Services, func(s *msg.ServiceUsage) *pb.ServiceUsage {
			return &pb.ServiceUsage{
				Service: string(s.Service), Class: string(s.Class), Requests: int64(s.Requests), P99Ns: int64(s.P99), Busy: s.Busy,
				Slots: int64(s.Slots), Arrivals: s.Arrivals, Queued: int64(s.Queued), MeanNs: int64(s.Mean),
			}
		}),
	}
}

func usageReportFromProto(p *pb.UsageReport) *msg.UsageReport {
	return &msg.UsageReport{
		Worker: model.WorkerID(p.GetWorker()), Capacity: resourcesFromProto(p.GetCapacity()),
		Used: resourcesFromProto(p.GetUsed()), Age: time.Duration(p.GetAgeNs()),
		Tasks: mapSliceByPointer(p.GetTasks(), taskReportFromProto),
		Services: mapSliceByPointer(p.GetServices(), func(s **pb.ServiceUsage) msg.ServiceUsage {
			return msg.ServiceUsage{
				Service: model.Service((*s).GetService()), Class: model.Class((*s).GetClass()),
				Requests: int((*s).GetRequests()), P99: time.Duration((*s).GetP99Ns()), Busy: (*s).GetBusy(),
				Slots: int((*s).GetSlots()), Arrivals: (*s).GetArrivals(), Queued: int((*s).GetQueued()),
				Mean: time.Duration((*s).GetMeanNs()),
			}
		}),
	}
}
