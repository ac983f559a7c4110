package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// HeaderZone is the HTTP header with the caller's zone. The stand-in derives
// latencies and network partitions from it.
const HeaderZone = "Goldcrest-Zone"

// resourcesWire is the JSON form of cluster.Resources.
type resourcesWire struct {
	CPU          int64 `json:"cpu,omitempty"`
	Memory       int64 `json:"memory,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// readWire is the JSON form of a ReadRequest without Wait, which is not transferred.
type readWire struct {
	Keys         []string `json:"keys,omitempty"`
	Prefixes     []string `json:"prefixes,omitempty"`
	SinceVersion uint64   `json:"sinceVersion,omitempty"`
}

// rowWire is the JSON form of a Row, a Check or a Put.
type rowWire struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// readReplyWire is the JSON form of a ReadReply.
type readReplyWire struct {
	Rows []rowWire `json:"rows,omitempty"`
	AsOf uint64    `json:"asOf,omitempty"`
}

// txnWire is the JSON form of a Txn.
type txnWire struct {
	Checks  []rowWire `json:"checks,omitempty"`
	Puts    []rowWire `json:"puts,omitempty"`
	Deletes []string  `json:"deletes,omitempty"`
}

// commitReplyWire is the JSON form of the reply to a commit.
type commitReplyWire struct {
	Version uint64 `json:"version"`
}

// vmWire is the JSON form of a VM.
type vmWire struct {
	ID          string        `json:"id"`
	Role        string        `json:"role"`
	Region      string        `json:"region,omitempty"`
	Zone        string        `json:"zone,omitempty"`
	Addr        string        `json:"addr,omitempty"`
	Leaving     bool          `json:"leaving,omitempty"`
	Rack        string        `json:"rack,omitempty"`
	Capacity    resourcesWire `json:"capacity,omitzero"`
	Service     string        `json:"service,omitempty"`
	Slots       int           `json:"slots,omitempty"`
	Connections int           `json:"connections,omitempty"`
}

// vmDeltaWire is the JSON form of a VMDelta.
type vmDeltaWire struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full,omitempty"`
	VMs     []vmWire `json:"vms,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// errorWire is the JSON form of an Error without its operation.
type errorWire struct {
	Kind  string `json:"kind"`
	Key   string `json:"key,omitempty"`
	Error string `json:"error,omitempty"`
}

// EncodeReadRequest encodes a read request.
func EncodeReadRequest(r ReadRequest) []byte {
	return marshal(readWire{r.Keys, r.Prefixes, uint64(r.SinceVersion)})
}

// DecodeReadRequest decodes a read request.
func DecodeReadRequest(data []byte) (ReadRequest, error) {
	var w readWire
	err := unmarshal(data, &w)
	return ReadRequest{Keys: w.Keys, Prefixes: w.Prefixes, SinceVersion: cluster.Version(w.SinceVersion)}, err
}

// EncodeReadReply encodes the reply to a read request.
func EncodeReadReply(r ReadReply) []byte {
	w := readReplyWire{AsOf: uint64(r.AsOf)}
	for _, row := range r.Rows {
		w.Rows = append(w.Rows, rowWire{row.Key, row.Value, uint64(row.Version), row.Deleted})
	}
	return marshal(w)
}

// DecodeReadReply decodes the reply to a read request.
func DecodeReadReply(data []byte) (ReadReply, error) {
	var w readReplyWire
	err := unmarshal(data, &w)
	r := ReadReply{AsOf: cluster.Version(w.AsOf)}
	for _, row := range w.Rows {
		r.Rows = append(r.Rows, Row{Key: row.Key, Value: row.Value, Version: cluster.Version(row.Version), Deleted: row.Deleted})
	}
	return r, err
}

// EncodeTxn encodes a transaction.
func EncodeTxn(t Txn) []byte {
	w := txnWire{Deletes: t.Deletes}
	for _, c := range t.Checks {
		w.Checks = append(w.Checks, rowWire{Key: c.Key, Version: uint64(c.Version)})
	}
	for _, p := range t.Puts {
		w.Puts = append(w.Puts, rowWire{Key: p.Key, Value: p.Value})
	}
	return marshal(w)
}

// DecodeTxn decodes a transaction.
func DecodeTxn(data []byte) (Txn, error) {
	var w txnWire
	err := unmarshal(data, &w)
	t := Txn{Deletes: w.Deletes}
	for _, c := range w.Checks {
		t.Checks = append(t.Checks, Check{Key: c.Key, Version: cluster.Version(c.Version)})
	}
	for _, p := range w.Puts {
		t.Puts = append(t.Puts, Put{Key: p.Key, Value: p.Value})
	}
	return t, err
}

// EncodeCommitReply encodes the reply to a commit, which holds its version.
func EncodeCommitReply(v cluster.Version) []byte { return marshal(commitReplyWire{uint64(v)}) }

// DecodeCommitReply decodes the reply to a commit and returns its version.
func DecodeCommitReply(data []byte) (cluster.Version, error) {
	var w commitReplyWire
	err := unmarshal(data, &w)
	if err == nil && w.Version == 0 {
		err = errors.New("the version is missing")
	}
	return cluster.Version(w.Version), err
}

// EncodeVM encodes one VM.
func EncodeVM(v VM) []byte { return marshal(vmToWire(v)) }

// DecodeVM decodes one VM.
func DecodeVM(data []byte) (VM, error) {
	var w vmWire
	if err := unmarshal(data, &w); err != nil {
		return VM{}, err
	}
	return vmFromWire(w)
}

// EncodeVMDelta encodes changes of the VM list.
func EncodeVMDelta(d VMDelta) []byte {
	w := vmDeltaWire{Version: d.Version, Full: d.Full, Removed: d.Removed}
	for _, v := range d.VMs {
		w.VMs = append(w.VMs, vmToWire(v))
	}
	return marshal(w)
}

// DecodeVMDelta decodes changes of the VM list.
func DecodeVMDelta(data []byte) (VMDelta, error) {
	var w vmDeltaWire
	if err := unmarshal(data, &w); err != nil {
		return VMDelta{}, err
	}
	d := VMDelta{Version: w.Version, Full: w.Full, Removed: w.Removed}
	for _, v := range w.VMs {
		vm, err := vmFromWire(v)
		if err != nil {
			return VMDelta{}, err
		}
		d.VMs = append(d.VMs, vm)
	}
	return d, nil
}

func vmToWire(v VM) vmWire {
	w := vmWire{
		ID: v.ID, Role: string(v.Role), Region: string(v.Place.Region), Zone: string(v.Place.Zone), Leaving: v.Leaving,
		Rack: string(v.Rack), Capacity: resourcesToWire(v.Capacity), Service: string(v.Service), Slots: v.Slots, Connections: v.Connections,
	}
	if v.Addr.IsValid() {
		w.Addr = v.Addr.String()
	}
	return w
}

func vmFromWire(w vmWire) (VM, error) {
	v := VM{
		ID: w.ID, Role: Role(w.Role), Place: cluster.Place{Region: cluster.Region(w.Region), Zone: cluster.Zone(w.Zone)},
		Leaving: w.Leaving, Rack: cluster.RackID(w.Rack), Capacity: resourcesFromWire(w.Capacity),
		Service: cluster.ServiceName(w.Service), Slots: w.Slots, Connections: w.Connections,
	}
	switch v.Role {
	case RoleEntry, RoleWorker, RoleRunner:
	default:
		return VM{}, fmt.Errorf("VM %q has the role %q", w.ID, w.Role)
	}
	if w.Addr == "" {
		return v, nil
	}
	var err error
	v.Addr, err = netip.ParseAddrPort(w.Addr)
	return v, err
}

// EncodeError encodes an error; one that isn't an *Error is encoded with KindUnavailable.
func EncodeError(err error) []byte {
	var e *Error
	if !errors.As(err, &e) {
		return marshal(errorWire{Kind: KindUnavailable.String(), Error: err.Error()})
	}
	w := errorWire{Kind: e.Kind.String(), Key: e.Key}
	if e.Err != nil {
		w.Error = e.Err.Error()
	}
	return marshal(w)
}

// DecodeError decodes the error of an operation; it returns nil if data is not an encoded error.
func DecodeError(op string, data []byte) error {
	var w errorWire
	if unmarshal(data, &w) != nil {
		return nil
	}
	for i, name := range kindNames {
		if name != w.Kind {
			continue
		}
		e := &Error{Op: op, Kind: Kind(i), Key: w.Key}
		if w.Error != "" {
			e.Err = errors.New(w.Error)
		}
		return e
	}
	return nil
}

func resourcesToWire(r cluster.Resources) resourcesWire {
	return resourcesWire{int64(r.CPU), int64(r.Memory), r.Accelerators}
}

func resourcesFromWire(w resourcesWire) cluster.Resources {
	return cluster.Resources{CPU: cluster.CPU(w.CPU), Memory: cluster.Bytes(w.Memory), Accelerators: w.Accelerators}
}

// ParseAttemptID parses the text form team/name#index@attempt of an AttemptID.
func ParseAttemptID(s string) (cluster.AttemptID, error) {
	invalid := func() (cluster.AttemptID, error) { return cluster.AttemptID{}, fmt.Errorf("%q is no attempt", s) }
	atSign, hashSign := strings.LastIndexByte(s, '@'), strings.LastIndexByte(s, '#')
	team, rest, ok := strings.Cut(s, "/")
	if !ok || team == "" || hashSign < len(team)+2 || atSign < hashSign+2 {
		return invalid()
	}
	index, err := strconv.Atoi(s[hashSign+1 : atSign])
	if err != nil || index < 0 {
		return invalid()
	}
	attempt, err := strconv.ParseUint(s[atSign+1:], 10, 32)
	if err != nil {
		return invalid()
	}
	job := cluster.JobID{Team: cluster.TeamName(team), Name: cluster.JobName(rest[:hashSign-len(team)-1])}
	return cluster.AttemptID{Task: cluster.TaskID{Job: job, Index: index}, Attempt: cluster.Attempt(attempt)}, nil
}

// marshal encodes a wire type as JSON. It panics on an error, because all fields
// of the wire types can be encoded.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("platform: encode %T: %v", v, err))
	}
	return data
}

// unmarshal decodes JSON into v; unknown fields and data after the value are errors.
func unmarshal(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the message")
	}
	return nil
}
