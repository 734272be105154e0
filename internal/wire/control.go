package wire

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire/pb"
)

// AppendControl appends the envelope of m to dst. It returns ErrTooLarge for a
// payload above MaxControl. After an error the result must not be sent.
func AppendControl(dst []byte, m msg.Control) ([]byte, error) {
	p, err := controlToProto(m)
	if err != nil {
		return dst, err
	}
	start := len(dst)
	dst, err = (proto.MarshalOptions{}).MarshalAppend(appendEmptyHeader(dst), p)
	if err != nil {
		return dst[:start], err
	}
	return dst, setPayloadSize(dst, start, 0, MaxControl)
}

// DecodeControl decodes the payload of an envelope. The message does not
// alias payload.
func DecodeControl(payload []byte) (msg.Control, error) {
	var p pb.Control
	if err := proto.Unmarshal(payload, &p); err != nil {
		return nil, malformed("%v", err)
	}
	return controlFromProto(&p)
}

func controlToProto(m msg.Control) (*pb.Control, error) {
	if p := taskToProto(m); p != nil {
		return p, nil
	}
	if p := fleetToProto(m); p != nil {
		return p, nil
	}
	p := &pb.Control{}
	switch m := m.(type) {
	case *msg.AgentHello:
		p.Kind = &pb.Control_AgentHello{AgentHello: agentHelloToProto(m)}
	case *msg.EntryHello:
		p.Kind = &pb.Control_EntryHello{EntryHello: entryHelloToProto(m)}
	case *msg.Heartbeat:
		p.Kind = &pb.Control_Heartbeat{Heartbeat: &pb.Heartbeat{
			IntervalNs: int64(m.Interval), Epoch: m.Epoch, SentNs: int64(m.SentAt), EchoNs: int64(m.Echo),
		}}
	case *msg.BackendState:
		p.Kind = &pb.Control_BackendState{BackendState: backendStateToProto(m)}
	case *msg.CreditGrant:
		p.Kind = &pb.Control_CreditGrant{CreditGrant: creditGrantToProto(m)}
	case *msg.CreditRecall:
		p.Kind = &pb.Control_CreditRecall{CreditRecall: creditToProto(m.Backend, m.Generation, m.Count)}
	case *msg.CreditReturn:
		p.Kind = &pb.Control_CreditReturn{CreditReturn: creditToProto(m.Backend, m.Generation, m.Count)}
	case *msg.Demand:
		p.Kind = &pb.Control_Demand{Demand: demandToProto(m)}
	case *msg.OutcomeQuery:
		p.Kind = &pb.Control_OutcomeQuery{OutcomeQuery: requestIDToProto(m.ID)}
	case *msg.OutcomeReply:
		p.Kind = &pb.Control_OutcomeReply{OutcomeReply: &pb.OutcomeReply{Id: requestIDToProto(m.ID), State: uint32(m.State)}}
	case *msg.DrainBackend:
		p.Kind = &pb.Control_DrainBackend{DrainBackend: &pb.DrainBackend{Backend: string(m.Backend)}}
	case *msg.ConfigDelta:
		p.Kind = &pb.Control_ConfigDelta{ConfigDelta: configDeltaToProto(m)}
	case *msg.ConfigRequest:
		p.Kind = &pb.Control_ConfigRequest{ConfigRequest: &pb.ConfigRequest{Have: uint64(m.Have)}}
	case *msg.ConfigApplied:
		p.Kind = &pb.Control_ConfigApplied{ConfigApplied: &pb.ConfigApplied{Version: uint64(m.Version)}}
	default:
		return nil, malformed("control type %T has no encoding", m)
	}
	return p, nil
}

func controlFromProto(p *pb.Control) (msg.Control, error) {
	if m := taskFromProto(p); m != nil {
		return m, nil
	}
	if m, err := fleetFromProto(p); m != nil || err != nil {
		return m, err
	}
	switch k := p.Kind.(type) {
	case *pb.Control_AgentHello:
		return agentHelloFromProto(k.AgentHello), nil
	case *pb.Control_EntryHello:
		return entryHelloFromProto(k.EntryHello), nil
	case *pb.Control_Heartbeat:
		return heartbeatFromProto(k.Heartbeat), nil
	case *pb.Control_BackendState:
		return backendStateFromProto(k.BackendState), nil
	case *pb.Control_CreditGrant:
		return creditGrantFromProto(k.CreditGrant), nil
	case *pb.Control_CreditRecall:
		return (*msg.CreditRecall)(creditFromProto(k.CreditRecall)), nil
	case *pb.Control_CreditReturn:
		return (*msg.CreditReturn)(creditFromProto(k.CreditReturn)), nil
	case *pb.Control_Demand:
		return demandFromProto(k.Demand), nil
	case *pb.Control_OutcomeQuery:
		return &msg.OutcomeQuery{ID: requestIDFromProto(k.OutcomeQuery)}, nil
	case *pb.Control_OutcomeReply:
		return outcomeReplyFromProto(k.OutcomeReply)
	case *pb.Control_DrainBackend:
		return &msg.DrainBackend{Backend: model.BackendID(k.DrainBackend.GetBackend())}, nil
	case *pb.Control_ConfigDelta:
		return configDeltaFromProto(k.ConfigDelta), nil
	case *pb.Control_ConfigRequest:
		return &msg.ConfigRequest{Have: model.ConfigVersion(k.ConfigRequest.GetHave())}, nil
	case *pb.Control_ConfigApplied:
		return &msg.ConfigApplied{Version: model.ConfigVersion(k.ConfigApplied.GetVersion())}, nil
	}
	return nil, malformed("control message of an unknown kind")
}

func heartbeatFromProto(p *pb.Heartbeat) *msg.Heartbeat {
	return &msg.Heartbeat{
		Interval: time.Duration(p.GetIntervalNs()), Epoch: p.GetEpoch(), SentAt: time.Duration(p.GetSentNs()), Echo: time.Duration(p.GetEchoNs()),
	}
}

func agentHelloToProto(m *msg.AgentHello) *pb.AgentHello {
	return &pb.AgentHello{
		Worker: workerToProto(m.Worker), Boot: uint64(m.Boot), Cell: string(m.Cell), Region: string(m.Region),
		Version: uint64(m.Version),
	}
}

func agentHelloFromProto(p *pb.AgentHello) *msg.AgentHello {
	return &msg.AgentHello{
		Worker: workerFromProto(p.GetWorker()), Boot: model.Boot(p.GetBoot()), Cell: model.Cell(p.GetCell()),
		Region: model.Region(p.GetRegion()), Version: model.ConfigVersion(p.GetVersion()),
	}
}

func entryHelloToProto(m *msg.EntryHello) *pb.EntryHello {
	return &pb.EntryHello{
		Entry: string(m.Entry), Boot: uint64(m.Boot), DataCentre: string(m.DataCentre), Version: uint64(m.Version),
		Generation: m.Generation,
	}
}

func entryHelloFromProto(p *pb.EntryHello) *msg.EntryHello {
	return &msg.EntryHello{
		Entry: model.EntryID(p.GetEntry()), Boot: model.Boot(p.GetBoot()), DataCentre: model.DataCentre(p.GetDataCentre()),
		Version: model.ConfigVersion(p.GetVersion()), Generation: p.GetGeneration(),
	}
}

func backendStateToProto(m *msg.BackendState) *pb.BackendState {
	return &pb.BackendState{
		Backend: string(m.Backend), Service: string(m.Service), State: m.State, Slots: int64(m.Slots),
		Connections: int64(m.Connections),
	}
}

func backendStateFromProto(p *pb.BackendState) *msg.BackendState {
	return &msg.BackendState{
		Backend: model.BackendID(p.GetBackend()), Service: model.Service(p.GetService()), State: p.GetState(),
		Slots: int(p.GetSlots()), Connections: int(p.GetConnections()),
	}
}

func creditToProto(backend model.BackendID, generation uint64, count int) *pb.Credit {
	return &pb.Credit{Backend: string(backend), Generation: generation, Count: int64(count)}
}

func creditGrantToProto(m *msg.CreditGrant) *pb.Credit {
	p := creditToProto(m.Backend, m.Generation, m.Count)
	p.Long = int64(m.MaxLong)
	return p
}

func creditGrantFromProto(p *pb.Credit) *msg.CreditGrant {
	c := creditFromProto(p)
	return &msg.CreditGrant{Backend: c.Backend, Generation: c.Generation, Count: c.Count, MaxLong: int(p.GetLong())}
}

// creditFromProto returns a CreditReturn, which callers convert to the other
// messages with the same fields.
func creditFromProto(p *pb.Credit) *msg.CreditReturn {
	return &msg.CreditReturn{
		Backend: model.BackendID(p.GetBackend()), Generation: p.GetGeneration(), Count: int(p.GetCount()),
	}
}

func demandToProto(m *msg.Demand) *pb.Demand {
	return &pb.Demand{
		Service: string(m.Service), Queued: int64(m.Queued), Short: int64(m.Short), TightestNs: int64(m.MinRemaining),
	}
}

func demandFromProto(p *pb.Demand) *msg.Demand {
	return &msg.Demand{
		Service: model.Service(p.GetService()), Queued: int(p.GetQueued()), Short: int(p.GetShort()),
		MinRemaining: time.Duration(p.GetTightestNs()),
	}
}

func outcomeReplyFromProto(p *pb.OutcomeReply) (msg.Control, error) {
	if p.GetState() > uint32(msg.ExchangeFinished) {
		return nil, malformed("unknown exchange state %d", p.GetState())
	}
	return &msg.OutcomeReply{ID: requestIDFromProto(p.GetId()), State: msg.ExchangeState(p.GetState())}, nil
}

func configDeltaToProto(m *msg.ConfigDelta) *pb.ConfigDelta {
	return &pb.ConfigDelta{
		From: uint64(m.From), To: uint64(m.To), Full: m.Full, Changes: mapSliceByPointer(m.Changes, configChangeToProto),
	}
}

func configDeltaFromProto(p *pb.ConfigDelta) *msg.ConfigDelta {
	return &msg.ConfigDelta{
		From: model.ConfigVersion(p.GetFrom()), To: model.ConfigVersion(p.GetTo()), Full: p.GetFull(),
		Changes: mapSliceByPointer(p.GetChanges(), configChangeFromProto),
	}
}
