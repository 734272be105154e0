package wire

import (
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/wire/pb"
)

// mapSlice applies f to each element of list, and returns nil for an empty list
// as mapSliceByPointer does.
func mapSlice[A, B any](list []A, f func(A) B) []B {
	return mapSliceByPointer(list, func(a *A) B { return f(*a) })
}

// mapSliceByPointer applies f to a pointer to each element of list. It returns
// nil for an empty list, because protobuf does not distinguish empty from
// absent.
func mapSliceByPointer[A, B any](list []A, f func(*A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, len(list))
	for i := range list {
		out[i] = f(&list[i])
	}
	return out
}

// labelsFromProto returns nil for an empty map, because protobuf does not
// distinguish empty from absent.
func labelsFromProto(labels map[string]string) model.Labels {
	if len(labels) == 0 {
		return nil
	}
	return labels
}

func resourcesToProto(r model.Resources) *pb.Resources {
	return &pb.Resources{MilliCpu: int64(r.CPU), MemoryBytes: int64(r.Memory), Accelerators: r.Accelerators}
}

func resourcesFromProto(p *pb.Resources) model.Resources {
	return model.Resources{
		CPU: model.MilliCPU(p.GetMilliCpu()), Memory: model.Bytes(p.GetMemoryBytes()), Accelerators: p.GetAccelerators(),
	}
}

func workerToProto(w model.Worker) *pb.Worker {
	return &pb.Worker{
		Id: string(w.ID), DataCentre: string(w.DataCentre), Rack: string(w.Rack),
		Capacity: resourcesToProto(w.Capacity), Labels: w.Labels,
	}
}

func workerFromProto(p *pb.Worker) model.Worker {
	return model.Worker{
		ID: model.WorkerID(p.GetId()), DataCentre: model.DataCentre(p.GetDataCentre()), Rack: model.Rack(p.GetRack()),
		Capacity: resourcesFromProto(p.GetCapacity()), Labels: labelsFromProto(p.GetLabels()),
	}
}

func requestIDToProto(id model.RequestID) *pb.RequestID {
	return &pb.RequestID{Entry: string(id.Entry), Boot: uint64(id.Boot), Seq: id.Seq}
}

func requestIDFromProto(p *pb.RequestID) model.RequestID {
	return model.RequestID{Entry: model.EntryID(p.GetEntry()), Boot: model.Boot(p.GetBoot()), Seq: p.GetSeq()}
}

func attemptIDToProto(id model.AttemptID) *pb.AttemptID {
	return &pb.AttemptID{Job: string(id.Job), Number: id.Number}
}

func attemptIDFromProto(p *pb.AttemptID) model.AttemptID {
	return model.AttemptID{Job: model.JobID(p.GetJob()), Number: p.GetNumber()}
}

func jobSpecToProto(s model.JobSpec) *pb.JobSpec {
	return &pb.JobSpec{
		Id: string(s.ID), Team: string(s.Team), Class: string(s.Class), Labels: s.Labels,
		Resources: resourcesToProto(s.Resources), Urgent: s.Urgent, LongRunning: s.LongRunning, Program: s.Program,
	}
}

func jobSpecFromProto(p *pb.JobSpec) model.JobSpec {
	return model.JobSpec{
		ID: model.JobID(p.GetId()), Team: model.Team(p.GetTeam()), Class: model.Class(p.GetClass()), Labels: labelsFromProto(p.GetLabels()),
		Resources: resourcesFromProto(p.GetResources()), Urgent: p.GetUrgent(), LongRunning: p.GetLongRunning(),
		Program: p.GetProgram(),
	}
}

func configChangeToProto(c *model.ConfigChange) *pb.ConfigChange {
	p := &pb.ConfigChange{
		Version: uint64(c.Version), Kind: string(c.Key.Kind), Name: c.Key.Name, Author: c.Author,
	}
	if c.Item == nil {
		return p
	}
	p.Item = &pb.ConfigItem{Labels: c.Item.Labels}
	if s := c.Item.Selector; s != nil {
		p.Item.Selector = &pb.Selector{Kind: string(s.Kind), Subject: s.Subject, Object: s.Object}
	}
	return p
}

func configChangeFromProto(p **pb.ConfigChange) model.ConfigChange {
	c := model.ConfigChange{
		Version: model.ConfigVersion((*p).GetVersion()), Author: (*p).GetAuthor(),
		Key: model.ConfigKey{Kind: model.ConfigKind((*p).GetKind()), Name: (*p).GetName()},
	}
	item := (*p).GetItem()
	if item == nil {
		return c
	}
	c.Item = &model.ConfigItem{Labels: labelsFromProto(item.GetLabels())}
	if s := item.GetSelector(); s != nil {
		c.Item.Selector = &model.Selector{Kind: model.SelectorKind(s.GetKind()), Subject: s.GetSubject(), Object: s.GetObject()}
	}
	return c
}
