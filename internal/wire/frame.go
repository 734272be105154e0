package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire/pb"
)

// bodyChunkField is the number of Frame.body_chunk in proto/wire.proto.
const bodyChunkField = 1

// AppendFrame appends the envelope of f to dst and returns the result as head.
// The data of a BodyChunk is not copied: it is returned as body, which the
// caller sends after head. AppendFrame returns ErrTooLarge for a payload above
// MaxFrame. After an error the result must not be sent.
func AppendFrame(dst []byte, f msg.Frame) (head, body []byte, err error) {
	start := len(dst)
	dst = appendEmptyHeader(dst)
	if chunk, ok := f.(*msg.BodyChunk); ok {
		dst = protowire.AppendTag(dst, bodyChunkField, protowire.BytesType)
		dst = protowire.AppendVarint(dst, uint64(len(chunk.Data)))
		return dst, chunk.Data, setPayloadSize(dst, start, len(chunk.Data), MaxFrame)
	}
	p, err := frameToProto(f)
	if err != nil {
		return dst[:start], nil, err
	}
	if dst, err = (proto.MarshalOptions{}).MarshalAppend(dst, p); err != nil {
		return dst[:start], nil, err
	}
	return dst, nil, setPayloadSize(dst, start, 0, MaxFrame)
}

// DecodeFrame decodes the payload of an envelope. The data of a BodyChunk
// aliases payload.
func DecodeFrame(payload []byte) (msg.Frame, error) {
	if data, ok := onlyBodyChunk(payload); ok {
		return &msg.BodyChunk{Data: data}, nil
	}
	var p pb.Frame
	if err := proto.Unmarshal(payload, &p); err != nil {
		return nil, malformed("%v", err)
	}
	return frameFromProto(&p)
}

// onlyBodyChunk returns the data of a Frame that consists of one body_chunk
// field, and false for any other payload. The data aliases payload.
func onlyBodyChunk(payload []byte) ([]byte, bool) {
	field, kind, tagSize := protowire.ConsumeTag(payload)
	if tagSize < 0 || field != bodyChunkField || kind != protowire.BytesType {
		return nil, false
	}
	data, size := protowire.ConsumeBytes(payload[tagSize:])
	return data, size >= 0 && tagSize+size == len(payload)
}

func frameToProto(f msg.Frame) (*pb.Frame, error) {
	p := &pb.Frame{}
	switch f := f.(type) {
	case *msg.RequestHead:
		p.Kind = &pb.Frame_RequestHead{RequestHead: requestHeadToProto(f)}
	case *msg.BodyEnd:
		p.Kind = &pb.Frame_BodyEnd{BodyEnd: &pb.BodyEnd{Total: f.Total, Trailer: fieldsToProto(f.Trailer)}}
	case *msg.Cancel:
		p.Kind = &pb.Frame_Cancel{Cancel: &pb.Cancel{Reason: f.Reason}}
	case *msg.Started:
		p.Kind = &pb.Frame_Started{Started: &pb.Started{}}
	case *msg.Refused:
		p.Kind = &pb.Frame_Refused{Refused: &pb.Refused{Reason: uint32(f.Reason)}}
	case *msg.ResponseHead:
		p.Kind = &pb.Frame_ResponseHead{ResponseHead: &pb.ResponseHead{
			Status: int64(f.Status), Header: fieldsToProto(f.Header), ContentLength: f.ContentLength,
		}}
	case *msg.Failed:
		p.Kind = &pb.Frame_Failed{Failed: &pb.Failed{Reason: f.Reason}}
	default:
		return nil, malformed("frame type %T has no encoding", f)
	}
	return p, nil
}

func frameFromProto(p *pb.Frame) (msg.Frame, error) {
	switch k := p.Kind.(type) {
	case *pb.Frame_BodyChunk:
		return &msg.BodyChunk{Data: k.BodyChunk}, nil
	case *pb.Frame_RequestHead:
		return requestHeadFromProto(k.RequestHead), nil
	case *pb.Frame_BodyEnd:
		return &msg.BodyEnd{Total: k.BodyEnd.GetTotal(), Trailer: fieldsFromProto(k.BodyEnd.GetTrailer())}, nil
	case *pb.Frame_Cancel:
		return &msg.Cancel{Reason: k.Cancel.GetReason()}, nil
	case *pb.Frame_Started:
		return &msg.Started{}, nil
	case *pb.Frame_Refused:
		r := k.Refused.GetReason()
		if r < uint32(msg.RefusedNoCredit) || r > uint32(msg.RefusedCancelled) {
			return nil, malformed("unknown refusal reason %d", r)
		}
		return &msg.Refused{Reason: msg.RefusedReason(r)}, nil
	case *pb.Frame_ResponseHead:
		h := k.ResponseHead
		return &msg.ResponseHead{
			Status: int(h.GetStatus()), Header: fieldsFromProto(h.GetHeader()), ContentLength: h.GetContentLength(),
		}, nil
	case *pb.Frame_Failed:
		return &msg.Failed{Reason: k.Failed.GetReason()}, nil
	}
	return nil, malformed("frame of an unknown kind")
}

func requestHeadToProto(h *msg.RequestHead) *pb.RequestHead {
	return &pb.RequestHead{
		Id: requestIDToProto(h.ID), Generation: h.Generation,
		Service: string(h.Service), Class: string(h.Class), Tenant: string(h.Tenant),
		Method: h.Method, Uri: h.URI, Host: h.Host, Header: fieldsToProto(h.Header),
		ContentLength: h.ContentLength, DeadlineNs: int64(h.Deadline), Long: h.LongClass,
	}
}

func requestHeadFromProto(p *pb.RequestHead) *msg.RequestHead {
	return &msg.RequestHead{
		ID: requestIDFromProto(p.GetId()), Generation: p.GetGeneration(),
		Service: model.Service(p.GetService()), Class: model.Class(p.GetClass()), Tenant: model.Tenant(p.GetTenant()),
		Method: p.GetMethod(), URI: p.GetUri(), Host: p.GetHost(), Header: fieldsFromProto(p.GetHeader()),
		ContentLength: p.GetContentLength(), Deadline: time.Duration(p.GetDeadlineNs()), LongClass: p.GetLong(),
	}
}

func fieldsToProto(fields []msg.Field) []*pb.Field {
	return mapSliceByPointer(fields, func(f *msg.Field) *pb.Field { return &pb.Field{Name: f.Name, Value: f.Value} })
}

func fieldsFromProto(fields []*pb.Field) []msg.Field {
	return mapSliceByPointer(fields, func(p **pb.Field) msg.Field {
		return msg.Field{Name: (*p).GetName(), Value: (*p).GetValue()}
	})
}
