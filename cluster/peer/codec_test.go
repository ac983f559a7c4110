package peer

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Values for samples.
var (
	sampleRow    = platform.Row{Key: "assign/r1/growers/stock", Value: []byte{1, 2}, Version: 7}
	sampleSize   = cluster.Resources{CPU: 2500, Memory: cluster.GiB, Accelerators: 1}
	sampleJob    = cluster.JobID{Team: "growers", Name: "stock"}
	sampleDigest = Digest{
		ConfigVersion: 4, StoreVisible: true, Members: []cluster.DaemonID{"a", "b"},
		Racks: []RackDigest{{Rack: "r1", Free: sampleSize, LargestFree: sampleSize, Pending: 3}},
	}
)

// samples holds one message of each type.
func samples() []Message {
	return []Message{
		&Hello{From: "a", Place: cluster.Place{Region: "north", Zone: "n1"}, PeerAddr: netip.MustParseAddrPort("10.0.0.1:7000")},
		&Ping{Sequence: 9, Echo: 8, Digest: sampleDigest, layout: fullDigest},
		&Ping{Sequence: 300, Echo: 299},
		&Ping{Sequence: 1, Digest: Digest{Racks: []RackDigest{{Free: sampleSize, Pending: 1}}}, layout: digestLayout{partRackChanges, []int{4}}},
		&Leaving{From: "a", Digest: sampleDigest},
		&ConfigPush{PollSequence: 1, Since: 2, AsOf: 3, Age: time.Second, Rows: []platform.Row{sampleRow, {Key: "member/x", Version: 9, Deleted: true}}},
		&ConfigAck{AsOf: 3, Head: 2},
		&ConfigPoll{Sequence: 5, Since: 3},
		&AssignNotice{Rack: "r1", Rows: []platform.Row{sampleRow}},
		&GrantRequest{Team: "growers", Rack: "r1", Amount: sampleSize},
		&GrantRelease{Team: "growers", Row: sampleRow},
		&HoldRequest{Job: sampleJob, Rack: "r1", Tasks: 4, Size: sampleSize, Duration: 5 * time.Second},
		&HoldReply{Job: sampleJob, Rack: "r1", Tasks: 4},
		&HoldRelease{Job: sampleJob, Rack: "r1"},
		&SlotRequest{Service: "till", Slots: 2},
		&SlotReply{Service: "till", Row: sampleRow},
		&UpstreamNotice{Service: "till", Upstream: "vm1", Leaving: true},
		&Call{ID: 3, Method: "state", Body: []byte{1}},
		&Reply{ID: 3, Failure: "not the owner", Body: []byte{2}},
	}
}

// Guards against a field that is encoded but not decoded, or decoded in a
// different order.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range samples() {
		body, err := Encode(m)
		is.NoErr(err)
		got, err := Decode(body)
		is.NoErr(err)
		is.Equal(got, m)
	}
}

// Guards against decoding frames that are truncated, followed by other data, of an
// unknown type or too large.
func TestDecodeRejectsInvalidFrames(t *testing.T) {
	is := is.New(t)
	for _, m := range samples() {
		body, err := Encode(m)
		is.NoErr(err)
		for end := range body {
			_, err := Decode(body[:end])
			is.True(err != nil) // truncated
		}
		_, err = Decode(append(body, 0))
		is.True(IsKind(err, KindMalformed)) // followed by other data
	}
	_, err := Decode([]byte{100})
	is.True(IsKind(err, KindUnknownMessage))
	_, err = Decode(make([]byte, MaxFrame+1))
	is.True(IsKind(err, KindOversized))
}

// Guards against a list length in a small frame that makes the decoder allocate
// memory for millions of elements.
func TestDecodeLimitsListLength(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	is.NoErr(enc.EncodeUint(uint64(tagAssignNotice)))
	is.NoErr(enc.EncodeString("r1"))
	is.NoErr(enc.EncodeArrayLen(1 << 30))
	_, err := Decode(buf.Bytes())
	is.True(IsKind(err, KindOversized))
}

// Guards against encodings of numbers that the msgpack library accepts and
// converts: a negative version, for example, becomes a huge one.
func TestDecodeRejectsNonCanonicalNumbers(t *testing.T) {
	is := is.New(t)
	for _, body := range [][]byte{
		{byte(tagConfigAck), 0xff, 1},                   // -1
		{byte(tagConfigAck), 0xc0, 1},                   // nil
		{byte(tagConfigAck), 0xcd, 0, 1, 1},             // 1 in two bytes
		{byte(tagConfigAck), 0xca, 0x3f, 0x80, 0, 0, 1}, // 1 as a float
	} {
		_, err := Decode(body)
		is.True(IsKind(err, KindMalformed))
	}
}

// Guards against a frame that makes the decoder panic, and against a message that
// is accepted in an encoding other than the one that Encode writes.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		body, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := Decode(body)
		if err != nil {
			return
		}
		encoded, err := Encode(m)
		if err != nil || !bytes.Equal(encoded, body) {
			t.Fatalf("%x decodes to %+v, which encodes to %x, %v", body, m, encoded, err)
		}
	})
}

// randomDigest draws a digest; few distinct values make unchanged parts likely.
func randomDigest(t *rapid.T) Digest {
	d := Digest{
		ConfigVersion:   cluster.Version(rapid.IntRange(0, 3).Draw(t, "version")),
		UnconfirmedNote: rapid.Bool().Draw(t, "doubtful"),
		Members:         rapid.SampledFrom([][]cluster.DaemonID{nil, {"a"}, {"a", "b"}}).Draw(t, "members"),
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "racks") {
		d.Racks = append(d.Racks, RackDigest{Rack: cluster.RackID(rune('a' + i)), Pending: rapid.IntRange(0, 2).Draw(t, "pending")})
	}
	return d
}

// Guards against a receiver that restores a digest that differs from the sender's
// when unchanged parts are omitted.
func TestDigestPartsMergeToFullDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender digestSender
		var receiver digestReceiver
		for range rapid.IntRange(1, 8).Draw(t, "pings") {
			want := randomDigest(t)
			partial, layout := sender.next(want, true)
			body, err := Encode(&Ping{Sequence: 1, Digest: partial, layout: layout})
			if err != nil {
				t.Fatal(err)
			}
			m, err := Decode(body)
			if err != nil {
				t.Fatal(err)
			}
			p := m.(*Ping)
			merged, err := receiver.merge(p.Digest, p.layout)
			if err != nil {
				t.Fatal(err)
			}
			a, _ := Encode(&Leaving{Digest: merged})
			b, _ := Encode(&Leaving{Digest: want})
			if !bytes.Equal(a, b) {
				t.Fatalf("received %+v instead of %+v", merged, want)
			}
		}
	})
}
