package peer

import (
	"bytes"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Limits of lists and strings in a frame. They limit the memory that the decoder
// allocates for a malformed frame.
const (
	maxMembers     = 1 << 10
	maxRacks       = 1 << 12
	maxRows        = 1 << 15
	maxStringBytes = 1 << 10
)

// encoder writes msgpack values to a buffer. Errors are ignored because writing to
// a buffer does not fail.
type encoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

func newEncoder() *encoder {
	e := &encoder{}
	e.enc = msgpack.NewEncoder(&e.buf)
	return e
}

func (e *encoder) arrayLength(n int) { _ = e.enc.EncodeArrayLen(n) }
func (e *encoder) uint(v uint64)     { _ = e.enc.EncodeUint(v) }
func (e *encoder) int(v int64)       { _ = e.enc.EncodeInt(v) }
func (e *encoder) bool(v bool)       { _ = e.enc.EncodeBool(v) }
func (e *encoder) string(v string)   { _ = e.enc.EncodeString(v) }

// bytes writes a byte string. The encodings of nil and of an empty slice are the same.
func (e *encoder) bytes(v []byte) {
	_ = e.enc.EncodeBytesLen(len(v))
	_, _ = e.buf.Write(v)
}

func (e *encoder) addr(v netip.AddrPort) {
	data, _ := v.MarshalBinary()
	e.bytes(data)
}

func (e *encoder) resources(r cluster.Resources) {
	e.int(int64(r.CPU))
	e.int(int64(r.Memory))
	e.int(r.Accelerators)
}

func (e *encoder) job(j cluster.JobID) {
	e.string(string(j.Team))
	e.string(string(j.Name))
}

func (e *encoder) row(r platform.Row) {
	e.string(r.Key)
	e.uint(uint64(r.Version))
	e.bool(r.Deleted)
	e.bytes(r.Value)
}

func (e *encoder) rows(rows []platform.Row) {
	e.arrayLength(len(rows))
	for _, r := range rows {
		e.row(r)
	}
}

// decoder reads msgpack values. It keeps the first error, after which every value
// that it returns is zero.
type decoder struct {
	src *bytes.Reader
	dec *msgpack.Decoder
	err error
}

func newDecoder(body []byte) *decoder {
	src := bytes.NewReader(body)
	return &decoder{src: src, dec: msgpack.NewDecoder(src)}
}

// fail records an error unless there is an earlier one.
func (d *decoder) fail(kind Kind, err error) {
	if d.err == nil {
		d.err = &Error{Op: "decode frame", Kind: kind, Err: err}
	}
}

// readValue reads a value with f and records its error.
func readValue[T any](d *decoder, f func() (T, error)) T {
	var zero T
	if d.err != nil {
		return zero
	}
	v, err := f()
	if err != nil {
		d.fail(KindMalformed, err)
		return zero
	}
	return v
}

func (d *decoder) bool() bool { return readValue(d, d.dec.DecodeBool) }

func (d *decoder) uint() uint64 { return readValue(d, d.dec.DecodeUint64) }

func (d *decoder) version() cluster.Version { return cluster.Version(d.uint()) }

func (d *decoder) int() int64 { return readValue(d, d.dec.DecodeInt64) }

// count reads a non-negative number that fits into 32 bits.
func (d *decoder) count() int {
	v := d.int()
	if v < 0 || v > math.MaxInt32 {
		d.fail(KindMalformed, fmt.Errorf("count %d is out of range", v))
		return 0
	}
	return int(v)
}

// duration reads a non-negative duration.
func (d *decoder) duration() time.Duration {
	v := d.int()
	if v < 0 {
		d.fail(KindMalformed, fmt.Errorf("duration %d is negative", v))
		return 0
	}
	return time.Duration(v)
}

// bytes reads a byte string of at most limit bytes; an empty one is nil.
func (d *decoder) bytes(limit int) []byte {
	n := readValue(d, d.dec.DecodeBytesLen)
	if d.err != nil || n <= 0 {
		return nil
	}
	if n > limit || n > d.src.Len() {
		d.fail(KindOversized, fmt.Errorf("byte string of %d bytes", n))
		return nil
	}
	data := make([]byte, n)
	if err := d.dec.ReadFull(data); err != nil {
		d.fail(KindMalformed, err)
		return nil
	}
	return data
}

func (d *decoder) string() string { return string(d.bytes(maxStringBytes)) }

func (d *decoder) addr() netip.AddrPort {
	var a netip.AddrPort
	data := d.bytes(maxStringBytes)
	if d.err != nil {
		return a
	}
	if err := a.UnmarshalBinary(data); err != nil {
		d.fail(KindMalformed, err)
	}
	return a
}

// listLength reads the length of a list, which can't exceed the number of bytes
// left in the frame because each element takes at least one byte.
func (d *decoder) listLength(limit int) int {
	n := readValue(d, d.dec.DecodeArrayLen)
	if d.err != nil {
		return 0
	}
	if n < 0 {
		d.fail(KindMalformed, fmt.Errorf("the list is nil"))
		return 0
	}
	if n > limit || n > d.src.Len() {
		d.fail(KindOversized, fmt.Errorf("list of %d elements; the limit is %d", n, limit))
		return 0
	}
	return n
}

func (d *decoder) resources() cluster.Resources {
	return cluster.Resources{CPU: cluster.CPU(d.int()), Memory: cluster.Bytes(d.int()), Accelerators: d.int()}
}

func (d *decoder) job() cluster.JobID {
	return cluster.JobID{Team: cluster.TeamName(d.string()), Name: cluster.JobName(d.string())}
}

func (d *decoder) rack() cluster.RackID { return cluster.RackID(d.string()) }

func (d *decoder) daemon() cluster.DaemonID { return cluster.DaemonID(d.string()) }

func (d *decoder) row() platform.Row {
	return platform.Row{Key: d.string(), Version: d.version(), Deleted: d.bool(), Value: d.bytes(MaxFrame)}
}

func (d *decoder) rows() []platform.Row {
	n := d.listLength(maxRows)
	var rows []platform.Row
	for range n {
		rows = append(rows, d.row())
		if d.err != nil {
			return nil
		}
	}
	return rows
}
