package wire

import (
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire/pb"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// fleetToProto encodes the messages of internal/msg/fleet.go. It returns nil
// for others.
func fleetToProto(m msg.Control) *pb.Control {
	p := &pb.Control{}
	switch m := m.(type) {
	case *msg.PeerHello:
		p.Kind = &pb.Control_PeerHello{PeerHello: &pb.PeerHello{
			Member: memberToProto(m.Member), Agent: m.Agent, Boot: m.Boot, DataCentre: string(m.DataCentre), Epoch: m.Epoch,
			RequestsConfig: m.RequestsConfig, ProcessorShare: int64(m.ProcessorShare),
			PhasesEpoch: m.Phases.Epoch, PhasesUpTo: m.Phases.UpTo, FollowsHeartbeat: m.FollowsHeartbeat, EchoesHeartbeat: m.EchoesHeartbeat, JoinsParts: m.JoinsParts, InheritsRuns: m.InheritsRuns,
			ConfigChunks: m.ConfigChunks, LinkRate: m.LinkRate,
		}}
	case *msg.Members:
		p.Kind = &pb.Control_Members{Members: &pb.Members{Entries: mapSlice(m.Entries, memberToProto)}}
	case *msg.HostAnnounced:
		p.Kind = &pb.Control_HostAnnounced{HostAnnounced: hostToProto(m.Host)}
	case *msg.OwnerClaim:
		p.Kind = &pb.Control_OwnerClaim{OwnerClaim: &pb.OwnerClaim{Epoch: m.Epoch, Owner: m.Owner}}
	case *msg.RunsReleased:
		p.Kind = &pb.Control_RunsReleased{RunsReleased: &pb.RunsReleased{Epoch: m.Epoch, Hosts: mapSlice(m.Hosts, hostRunsToProto)}}
	case *msg.HostInventory:
		p.Kind = &pb.Control_HostInventory{HostInventory: &pb.HostInventory{
			Epoch: m.Epoch, Number: m.Number, Host: hostToProto(m.Host), ClockMs: m.ClockMS,
			Runs: mapSlice(m.Runs, runStatusToProto), Ends: mapSlice(m.Ended, runEndToProto), MoreEnds: m.MoreEnds, More: m.More,
		}}
	case *msg.InventoryAccepted:
		p.Kind = &pb.Control_InventoryTaken{InventoryTaken: &pb.InventoryTaken{
			Epoch: m.Epoch, Number: m.Number, ClockMs: m.ClockMS, Sizes: mapSlice(m.Sizes, runSizeToProto), More: m.More,
		}}
	case *msg.StartRuns:
		p.Kind = &pb.Control_StartRuns{StartRuns: &pb.StartRuns{
			Epoch: m.Epoch, Instance: string(m.Instance), Born: m.StartedAtMS, Starts: mapSlice(m.Starts, runStartToProto),
		}}
	case *msg.StopRuns:
		p.Kind = &pb.Control_StopRuns{StopRuns: &pb.StopRuns{Epoch: m.Epoch, Runs: mapSlice(m.Runs, runToProto)}}
	case *msg.RunsChanged:
		p.Kind = &pb.Control_RunsChanged{RunsChanged: &pb.RunsChanged{
			Epoch: m.Epoch, Instance: string(m.Instance), Born: m.StartedAtMS, Started: mapSlice(m.Started, runToProto),
			Refused: mapSlice(m.Refused, runToProto), Unconfirmed: mapSlice(m.Unconfirmed, runToProto), Ends: mapSlice(m.Ended, runEndToProto),
		}}
	case *msg.RunsProgress:
		p.Kind = &pb.Control_RunsProgress{RunsProgress: &pb.RunsProgress{
			Epoch: m.Epoch, Instance: string(m.Instance), Born: m.StartedAtMS, ClockMs: m.ClockMS, Runs: mapSlice(m.Runs, runStatusToProto), More: m.More,
		}}
	case *msg.LeaseGrant:
		p.Kind = &pb.Control_LeaseGrant{LeaseGrant: &pb.LeaseGrant{
			Epoch: m.Epoch, Born: m.StartedAtMS, ClockMs: m.ClockMS,
			Harms: mapSlice(m.Interference, interferenceToProto),
		}}
	case *msg.EndsAcknowledged:
		p.Kind = &pb.Control_EndsTaken{EndsTaken: &pb.EndsTaken{Epoch: m.Epoch, Instance: string(m.Instance), Born: m.StartedAtMS, Upto: m.LastNumber}}
	case *msg.JobSubmitted:
		p.Kind = &pb.Control_JobSubmitted{JobSubmitted: jobToProto(&m.Job)}
	case *msg.JobCancelled:
		p.Kind = &pb.Control_JobCancelled{JobCancelled: string(m.ID)}
	case *msg.JobPhases:
		p.Kind = &pb.Control_JobPhases{JobPhases: &pb.JobPhases{Epoch: m.Epoch, UpTo: m.UpTo, Jobs: mapSlice(m.Jobs, jobPhaseToProto)}}
	case *msg.ConfigAnnounced:
		p.Kind = &pb.Control_ConfigAnnounced{ConfigAnnounced: &pb.ConfigAnnounced{Version: m.Version, Raw: m.Raw, Watches: m.Watches}}
	case *msg.ConfigChunkRequest:
		p.Kind = &pb.Control_ConfigChunkRequest{ConfigChunkRequest: &pb.ConfigChunkRequest{Have: m.Have, Version: m.Version, Index: int64(m.Index)}}
	case *msg.ConfigChunk:
		p.Kind = &pb.Control_ConfigChunk{ConfigChunk: &pb.ConfigChunk{Version: m.Version, Index: int64(m.Index), Count: int64(m.Count), Data: m.Data}}
	case *msg.StoreCall:
		p.Kind = &pb.Control_StoreCall{StoreCall: storeCallToProto(m)}
	case *msg.StoreResult:
		p.Kind = &pb.Control_StoreResult{StoreResult: &pb.StoreResult{
			Id: m.ID, Outcome: uint32(m.Outcome), Revision: uint64(m.Revision), Rows: mapSlice(m.Rows, rowToProto),
		}}
	default:
		return nil
	}
	return p
}

// fleetFromProto is the inverse of fleetToProto. It returns nil without an error
// for other messages.
func fleetFromProto(p *pb.Control) (msg.Control, error) {
	switch k := p.Kind.(type) {
	case *pb.Control_PeerHello:
		h := k.PeerHello
		return &msg.PeerHello{
			Member: memberFromProto(h.GetMember()), Agent: h.GetAgent(), Boot: h.GetBoot(),
			DataCentre: workload.DataCentre(h.GetDataCentre()), Epoch: h.GetEpoch(), RequestsConfig: h.GetRequestsConfig(),
			ProcessorShare: model.MilliCPU(h.GetProcessorShare()),
			Phases:         msg.PhaseMark{Epoch: h.GetPhasesEpoch(), UpTo: h.GetPhasesUpTo()}, FollowsHeartbeat: h.GetFollowsHeartbeat(),
			EchoesHeartbeat: h.GetEchoesHeartbeat(), JoinsParts: h.GetJoinsParts(), InheritsRuns: h.GetInheritsRuns(),
			ConfigChunks: h.GetConfigChunks(), LinkRate: h.GetLinkRate(),
		}, nil
	case *pb.Control_Members:
		return &msg.Members{Entries: mapSlice(k.Members.GetEntries(), memberFromProto)}, nil
	case *pb.Control_HostAnnounced:
		h, err := hostFromProto(k.HostAnnounced)
		return &msg.HostAnnounced{Host: h}, err
	case *pb.Control_OwnerClaim:
		return &msg.OwnerClaim{Epoch: k.OwnerClaim.GetEpoch(), Owner: k.OwnerClaim.GetOwner()}, nil
	case *pb.Control_RunsReleased:
		return &msg.RunsReleased{Epoch: k.RunsReleased.GetEpoch(), Hosts: mapSlice(k.RunsReleased.GetHosts(), hostRunsFromProto)}, nil
	case *pb.Control_HostInventory:
		return hostInventoryFromProto(k.HostInventory)
	case *pb.Control_InventoryTaken:
		t := k.InventoryTaken
		return &msg.InventoryAccepted{
			Epoch: t.GetEpoch(), Number: t.GetNumber(), ClockMS: t.GetClockMs(), Sizes: mapSlice(t.GetSizes(), runSizeFromProto), More: t.GetMore(),
		}, nil
	case *pb.Control_StartRuns:
		s := k.StartRuns
		return &msg.StartRuns{
			Epoch: s.GetEpoch(), Instance: workload.Instance(s.GetInstance()), StartedAtMS: s.GetBorn(), Starts: mapSlice(s.GetStarts(), runStartFromProto),
		}, nil
	case *pb.Control_StopRuns:
		return &msg.StopRuns{Epoch: k.StopRuns.GetEpoch(), Runs: mapSlice(k.StopRuns.GetRuns(), runFromProto)}, nil
	case *pb.Control_RunsChanged:
		return runsChangedFromProto(k.RunsChanged)
	case *pb.Control_RunsProgress:
		r := k.RunsProgress
		return &msg.RunsProgress{
			Epoch: r.GetEpoch(), Instance: workload.Instance(r.GetInstance()), StartedAtMS: r.GetBorn(), ClockMS: r.GetClockMs(),
			Runs: mapSlice(r.GetRuns(), runStatusFromProto), More: r.GetMore(),
		}, nil
	case *pb.Control_LeaseGrant:
		g := k.LeaseGrant
		return &msg.LeaseGrant{
			Epoch: g.GetEpoch(), StartedAtMS: g.GetBorn(), ClockMS: g.GetClockMs(),
			Interference: mapSlice(g.GetHarms(), interferenceFromProto),
		}, nil
	case *pb.Control_EndsTaken:
		e := k.EndsTaken
		return &msg.EndsAcknowledged{Epoch: e.GetEpoch(), Instance: workload.Instance(e.GetInstance()), StartedAtMS: e.GetBorn(), LastNumber: e.GetUpto()}, nil
	case *pb.Control_JobSubmitted:
		return &msg.JobSubmitted{Job: jobFromProto(k.JobSubmitted)}, nil
	case *pb.Control_JobCancelled:
		return &msg.JobCancelled{ID: workload.JobID(k.JobCancelled)}, nil
	case *pb.Control_JobPhases:
		return jobPhasesFromProto(k.JobPhases)
	case *pb.Control_ConfigAnnounced:
		return &msg.ConfigAnnounced{
			Version: k.ConfigAnnounced.GetVersion(), Raw: k.ConfigAnnounced.GetRaw(), Watches: k.ConfigAnnounced.GetWatches(),
		}, nil
	case *pb.Control_ConfigChunkRequest:
		r := k.ConfigChunkRequest
		return &msg.ConfigChunkRequest{Have: r.GetHave(), Version: r.GetVersion(), Index: int(r.GetIndex())}, nil
	case *pb.Control_ConfigChunk:
		c := k.ConfigChunk
		return &msg.ConfigChunk{Version: c.GetVersion(), Index: int(c.GetIndex()), Count: int(c.GetCount()), Data: c.GetData()}, nil
	case *pb.Control_StoreCall:
		return storeCallFromProto(k.StoreCall), nil
	case *pb.Control_StoreResult:
		return storeResultFromProto(k.StoreResult)
	}
	return nil, nil
}

func hostInventoryFromProto(p *pb.HostInventory) (msg.Control, error) {
	host, err := hostFromProto(p.GetHost())
	if err != nil {
		return nil, err
	}
	ended, err := runEndsFromProto(p.GetEnds())
	return &msg.HostInventory{
		Epoch: p.GetEpoch(), Number: p.GetNumber(), Host: host, ClockMS: p.GetClockMs(), Runs: mapSlice(p.GetRuns(), runStatusFromProto), Ended: ended,
		MoreEnds: p.GetMoreEnds(), More: p.GetMore(),
	}, err
}

func runsChangedFromProto(p *pb.RunsChanged) (msg.Control, error) {
	ended, err := runEndsFromProto(p.GetEnds())
	return &msg.RunsChanged{
		Epoch: p.GetEpoch(), Instance: workload.Instance(p.GetInstance()), StartedAtMS: p.GetBorn(),
		Started: mapSlice(p.GetStarted(), runFromProto), Refused: mapSlice(p.GetRefused(), runFromProto),
		Unconfirmed: mapSlice(p.GetUnconfirmed(), runFromProto), Ended: ended,
	}, err
}

func jobPhasesFromProto(p *pb.JobPhases) (msg.Control, error) {
	m := &msg.JobPhases{Epoch: p.GetEpoch(), UpTo: p.GetUpTo()}
	for _, j := range p.GetJobs() {
		if j.GetPhase() > uint32(workload.Cancelled) {
			return nil, malformed("job %q has the unknown phase %d", j.GetId(), j.GetPhase())
		}
		m.Jobs = append(m.Jobs, msg.JobPhase{
			ID: workload.JobID(j.GetId()), Queue: workload.QueueName(j.GetQueue()), Phase: workload.Phase(j.GetPhase()), Failure: j.GetFailure(), Tasks: int(j.GetTasks()),
		})
	}
	return m, nil
}

func storeCallToProto(m *msg.StoreCall) *pb.StoreCall {
	return &pb.StoreCall{
		Id: m.ID, Operation: m.Txn.Operation, Deletes: m.Txn.Deletes,
		Checks: mapSlice(m.Txn.Checks, func(c table.Check) *pb.TableCheck {
			return &pb.TableCheck{Key: c.Key, Version: uint64(c.Version)}
		}),
		Puts: mapSlice(m.Txn.Puts, func(u table.Put) *pb.TableRow { return &pb.TableRow{Key: u.Key, Value: u.Value} }),
	}
}

func storeCallFromProto(p *pb.StoreCall) msg.Control {
	return &msg.StoreCall{ID: p.GetId(), Txn: table.Txn{
		Operation: p.GetOperation(),
		Deletes:   p.GetDeletes(),
		Checks: mapSlice(p.GetChecks(), func(c *pb.TableCheck) table.Check {
			return table.Check{Key: c.GetKey(), Version: table.Revision(c.GetVersion())}
		}),
		Puts: mapSlice(p.GetPuts(), func(r *pb.TableRow) table.Put { return table.Put{Key: r.GetKey(), Value: r.GetValue()} }),
	}}
}

func storeResultFromProto(p *pb.StoreResult) (msg.Control, error) {
	if p.GetOutcome() > uint32(table.Refused) {
		return nil, malformed("transaction has the unknown outcome %d", p.GetOutcome())
	}
	return &msg.StoreResult{
		ID: p.GetId(), Outcome: table.Outcome(p.GetOutcome()), Revision: table.Revision(p.GetRevision()), Rows: mapSlice(p.GetRows(), rowFromProto),
	}, nil
}
