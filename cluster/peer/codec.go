package peer

import (
	"bytes"
	"fmt"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// MaxFrame is the maximum size of a frame body in bytes.
const MaxFrame = 1 << 20

// maxHelloFrame is the maximum size of the first frame body of a connection. It has
// room for the longest strings and addresses of a Hello.
const maxHelloFrame = 8 << 10

// tag is the first value of a frame body and identifies the type of the message.
// The number of a removed message is never reused.
type tag uint64

const (
	tagHello tag = iota + 1
	tagPing
	tagConfigPush
	tagConfigAck
	tagConfigPoll
	tagAssignNotice
	tagGrantRequest
	tagGrantRelease
	tagHoldRequest
	tagHoldReply
	tagHoldRelease
	tagSlotRequest
	tagSlotReply
	tagUpstreamNotice
	tagLeaving
	tagCall
	tagReply
)

// Encode encodes a message as a frame body.
func Encode(m Message) ([]byte, error) {
	e := newEncoder()
	encodeMessage(e, m)
	if e.buf.Len() == 0 {
		return nil, &Error{Op: "encode frame", Kind: KindUnknownMessage, Err: fmt.Errorf("%T", m)}
	}
	if e.buf.Len() > MaxFrame {
		return nil, &Error{Op: "encode frame", Kind: KindOversized, Err: fmt.Errorf("%T of %d bytes", m, e.buf.Len())}
	}
	return e.buf.Bytes(), nil
}

// encodeMessage writes the tag and the fields of a message. It writes nothing for
// an unknown type.
func encodeMessage(e *encoder, m Message) {
	switch v := m.(type) {
	case *Hello:
		e.uint(uint64(tagHello))
		e.string(string(v.From))
		e.string(string(v.Place.Region))
		e.string(string(v.Place.Zone))
		e.addr(v.PeerAddr)
		e.addr(v.HTTPAddr)
	case *Ping:
		e.uint(uint64(tagPing))
		e.uint(v.Sequence)
		e.uint(v.Echo)
		encodeDigest(e, &v.Digest, v.layout)
	case *Leaving:
		e.uint(uint64(tagLeaving))
		e.string(string(v.From))
		encodeDigest(e, &v.Digest, fullDigest)
	case *ConfigPush:
		e.uint(uint64(tagConfigPush))
		e.uint(v.PollSequence)
		e.uint(uint64(v.Since))
		e.uint(uint64(v.AsOf))
		e.int(int64(v.Age))
		e.rows(v.Rows)
	case *ConfigAck:
		e.uint(uint64(tagConfigAck))
		e.uint(uint64(v.AsOf))
		e.uint(uint64(v.Head))
	case *ConfigPoll:
		e.uint(uint64(tagConfigPoll))
		e.uint(v.Sequence)
		e.uint(uint64(v.Since))
	case *Call:
		e.uint(uint64(tagCall))
		e.uint(v.ID)
		e.string(v.Method)
		e.bytes(v.Body)
	case *Reply:
		e.uint(uint64(tagReply))
		e.uint(v.ID)
		e.string(v.Failure)
		e.bytes(v.Body)
	default:
		encodeRackMessage(e, m)
	}
}

// encodeRackMessage encodes the messages about racks, grants, holds and services.
func encodeRackMessage(e *encoder, m Message) {
	switch v := m.(type) {
	case *AssignNotice:
		e.uint(uint64(tagAssignNotice))
		e.string(string(v.Rack))
		e.rows(v.Rows)
	case *GrantRequest:
		e.uint(uint64(tagGrantRequest))
		e.string(string(v.Team))
		e.string(string(v.Rack))
		e.resources(v.Amount)
	case *GrantRelease:
		e.uint(uint64(tagGrantRelease))
		e.string(string(v.Team))
		e.row(v.Row)
	case *HoldRequest:
		e.uint(uint64(tagHoldRequest))
		e.job(v.Job)
		e.string(string(v.Rack))
		e.int(int64(v.Tasks))
		e.resources(v.Size)
		e.int(int64(v.Duration))
	case *HoldReply:
		e.uint(uint64(tagHoldReply))
		e.job(v.Job)
		e.string(string(v.Rack))
		e.int(int64(v.Tasks))
	case *HoldRelease:
		e.uint(uint64(tagHoldRelease))
		e.job(v.Job)
		e.string(string(v.Rack))
	case *SlotRequest:
		e.uint(uint64(tagSlotRequest))
		e.string(string(v.Service))
		e.int(int64(v.Slots))
	case *SlotReply:
		e.uint(uint64(tagSlotReply))
		e.string(string(v.Service))
		e.row(v.Row)
	case *UpstreamNotice:
		e.uint(uint64(tagUpstreamNotice))
		e.string(string(v.Service))
		e.string(string(v.Upstream))
		e.bool(v.Leaving)
	}
}

// Decode decodes a frame body, which must hold exactly one message.
func Decode(body []byte) (Message, error) {
	if len(body) > MaxFrame {
		return nil, &Error{Op: "decode frame", Kind: KindOversized, Err: fmt.Errorf("%d bytes", len(body))}
	}
	d := newDecoder(body)
	m := decodeMessage(d)
	if d.err == nil && d.src.Len() > 0 {
		d.fail(KindMalformed, fmt.Errorf("%d bytes follow the message", d.src.Len()))
	}
	if d.err != nil {
		return nil, d.err
	}
	// The msgpack library accepts several encodings of a number. Only the shortest
	// one, which Encode writes, is valid in a frame.
	e := newEncoder()
	if encodeMessage(e, m); !bytes.Equal(e.buf.Bytes(), body) {
		return nil, &Error{Op: "decode frame", Kind: KindMalformed, Err: fmt.Errorf("the body is not in the canonical encoding")}
	}
	return m, nil
}

// decodeMessage reads one message; errors are kept in d.
func decodeMessage(d *decoder) Message {
	messageTag := tag(d.uint())
	if d.err != nil {
		return nil
	}
	switch messageTag {
	case tagHello:
		return &Hello{
			From: d.daemon(), Place: cluster.Place{Region: cluster.Region(d.string()), Zone: cluster.Zone(d.string())},
			PeerAddr: d.addr(), HTTPAddr: d.addr(),
		}
	case tagPing:
		ping := &Ping{Sequence: d.uint(), Echo: d.uint()}
		ping.Digest, ping.layout = decodeDigest(d)
		return ping
	case tagLeaving:
		leaving := &Leaving{From: d.daemon()}
		var received digestLayout
		if leaving.Digest, received = decodeDigest(d); received.parts != allParts {
			d.fail(KindMalformed, fmt.Errorf("the digest of a leaving daemon is incomplete"))
		}
		return leaving
	case tagConfigPush:
		return &ConfigPush{PollSequence: d.uint(), Since: d.version(), AsOf: d.version(), Age: d.duration(), Rows: d.rows()}
	case tagConfigAck:
		return &ConfigAck{AsOf: d.version(), Head: d.version()}
	case tagConfigPoll:
		return &ConfigPoll{Sequence: d.uint(), Since: d.version()}
	case tagCall:
		return &Call{ID: d.uint(), Method: d.string(), Body: d.bytes(MaxFrame)}
	case tagReply:
		return &Reply{ID: d.uint(), Failure: d.string(), Body: d.bytes(MaxFrame)}
	}
	return decodeRackMessage(d, messageTag)
}

// decodeRackMessage decodes the messages about racks, grants, holds and services.
func decodeRackMessage(d *decoder, messageTag tag) Message {
	switch messageTag {
	case tagAssignNotice:
		return &AssignNotice{Rack: d.rack(), Rows: d.rows()}
	case tagGrantRequest:
		return &GrantRequest{Team: cluster.TeamName(d.string()), Rack: d.rack(), Amount: d.resources()}
	case tagGrantRelease:
		return &GrantRelease{Team: cluster.TeamName(d.string()), Row: d.row()}
	case tagHoldRequest:
		return &HoldRequest{Job: d.job(), Rack: d.rack(), Tasks: d.count(), Size: d.resources(), Duration: d.duration()}
	case tagHoldReply:
		return &HoldReply{Job: d.job(), Rack: d.rack(), Tasks: d.count()}
	case tagHoldRelease:
		return &HoldRelease{Job: d.job(), Rack: d.rack()}
	case tagSlotRequest:
		return &SlotRequest{Service: cluster.ServiceName(d.string()), Slots: d.count()}
	case tagSlotReply:
		return &SlotReply{Service: cluster.ServiceName(d.string()), Row: d.row()}
	case tagUpstreamNotice:
		return &UpstreamNotice{Service: cluster.ServiceName(d.string()), Upstream: cluster.UpstreamID(d.string()), Leaving: d.bool()}
	}
	d.fail(KindUnknownMessage, fmt.Errorf("message tag %d", messageTag))
	return nil
}
