package record

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// The record types are the encoded forms of the entities. The names in their tags
// are stored and must not change. Durations are in nanoseconds.

// resourcesRecord holds the processor capacity in thousandths of a core and the
// memory in bytes.
type resourcesRecord struct {
	CPU          int64 `msgpack:"c,omitempty"`
	Memory       int64 `msgpack:"m,omitempty"`
	Accelerators int64 `msgpack:"a,omitempty"`
}

type teamRecord struct {
	Name        string          `msgpack:"name"`
	Share       int             `msgpack:"share"`
	Limit       resourcesRecord `msgpack:"limit"`
	MaxRequests int             `msgpack:"maxRequests,omitempty"`
}

type keyRecord struct {
	Name string `msgpack:"name"`
	Team string `msgpack:"team"`
	Hash []byte `msgpack:"hash"`
}

type queueRecord struct {
	Name     string        `msgpack:"name"`
	Open     bool          `msgpack:"open,omitempty"`
	Team     string        `msgpack:"team,omitempty"`
	Priority int           `msgpack:"priority"`
	MaxWait  time.Duration `msgpack:"maxWait,omitempty"`
}

type serviceRecord struct {
	Name      string        `msgpack:"name"`
	Queue     string        `msgpack:"queue"`
	Timeout   time.Duration `msgpack:"timeout"`
	MaxAnswer int64         `msgpack:"maxAnswer"`
	MaxBody   int64         `msgpack:"maxBody"`
}

type jobRecord struct {
	Team     string          `msgpack:"team"`
	Name     string          `msgpack:"name"`
	Queue    string          `msgpack:"queue"`
	Kind     string          `msgpack:"kind"`
	Tasks    int             `msgpack:"tasks"`
	Size     resourcesRecord `msgpack:"size"`
	RunTime  time.Duration   `msgpack:"runTime,omitempty"`
	Priority int             `msgpack:"priority"`
	// Deadline is in nanoseconds since the Unix epoch; zero means none.
	Deadline    int64    `msgpack:"deadline,omitempty"`
	Idempotent  bool     `msgpack:"idempotent,omitempty"`
	Checkpoints bool     `msgpack:"checkpoints,omitempty"`
	MaxAttempts int      `msgpack:"maxAttempts,omitempty"`
	Command     []string `msgpack:"command,omitempty"`
}

// Values of jobRecord.Kind.
const (
	workloadService = "service"
	workloadBatch   = "batch"
	workloadGang    = "gang"
)

// EncodeEntity encodes an entity. Its kind is not part of the encoding.
func EncodeEntity(entity cluster.Entity) ([]byte, error) {
	switch v := entity.(type) {
	case *cluster.Team:
		return marshal("encode team", teamRecord{string(v.Name), v.Share, encodeResources(v.Limit), v.MaxRequests})
	case *cluster.Key:
		return marshal("encode key", keyRecord{string(v.Name), string(v.Team), v.Hash[:]})
	case *cluster.Queue:
		return marshal("encode queue", queueRecord{string(v.Name), v.Open, string(v.Team), int(v.Priority), v.MaxWait})
	case *cluster.ServiceRoute:
		return marshal("encode service", serviceRecord{string(v.Name), string(v.Queue), v.Timeout, int64(v.MaxAnswer), int64(v.MaxBody)})
	case *cluster.JobSpec:
		return EncodeJob(v)
	}
	return nil, &Error{Op: "encode entity", Kind: KindUnsupported, Err: fmt.Errorf("%T", entity)}
}

// DecodeEntity decodes an entity of the given kind.
func DecodeEntity(kind cluster.EntityKind, data []byte) (cluster.Entity, error) {
	switch kind {
	case cluster.KindTeam:
		var r teamRecord
		if err := unmarshal("decode team", data, &r); err != nil {
			return nil, err
		}
		return &cluster.Team{Name: cluster.TeamName(r.Name), Share: r.Share, Limit: decodeResources(r.Limit), MaxRequests: r.MaxRequests}, nil
	case cluster.KindKey:
		var r keyRecord
		if err := unmarshal("decode key", data, &r); err != nil {
			return nil, err
		}
		if len(r.Hash) != 32 {
			return nil, &Error{Op: "decode key", Kind: KindMalformed, Err: fmt.Errorf("hash of %d bytes", len(r.Hash))}
		}
		return &cluster.Key{Name: cluster.KeyName(r.Name), Team: cluster.TeamName(r.Team), Hash: [32]byte(r.Hash)}, nil
	case cluster.KindQueue:
		var r queueRecord
		if err := unmarshal("decode queue", data, &r); err != nil {
			return nil, err
		}
		return &cluster.Queue{
			Name: cluster.QueueName(r.Name), Open: r.Open, Team: cluster.TeamName(r.Team),
			Priority: cluster.Priority(r.Priority), MaxWait: r.MaxWait,
		}, nil
	case cluster.KindService:
		var r serviceRecord
		if err := unmarshal("decode service", data, &r); err != nil {
			return nil, err
		}
		return &cluster.ServiceRoute{
			Name: cluster.ServiceName(r.Name), Queue: cluster.QueueName(r.Queue), Timeout: r.Timeout,
			MaxAnswer: cluster.Bytes(r.MaxAnswer), MaxBody: cluster.Bytes(r.MaxBody),
		}, nil
	case cluster.KindJob:
		return DecodeJob(data)
	}
	return nil, &Error{Op: "decode entity", Kind: KindUnsupported, Err: fmt.Errorf("kind %q", kind)}
}

// EncodeJob encodes a job specification.
func EncodeJob(spec *cluster.JobSpec) ([]byte, error) {
	r := jobRecord{
		Team: string(spec.ID.Team), Name: string(spec.ID.Name), Queue: string(spec.Queue), Priority: int(spec.Priority),
		Idempotent: spec.Idempotent, Checkpoints: spec.Checkpoints, MaxAttempts: spec.MaxAttempts, Command: spec.Command,
		RunTime: spec.RunTime(),
	}
	if !spec.Deadline.IsZero() {
		r.Deadline = spec.Deadline.UnixNano()
	}
	count, size := spec.TaskCount()
	r.Tasks, r.Size = count, encodeResources(size)
	switch spec.Workload.(type) {
	case *cluster.Service:
		r.Kind = workloadService
	case *cluster.Batch:
		r.Kind = workloadBatch
	case *cluster.Gang:
		r.Kind = workloadGang
	default:
		return nil, &Error{Op: "encode job", Kind: KindUnsupported, Err: fmt.Errorf("workload %T", spec.Workload)}
	}
	return marshal("encode job", r)
}

// DecodeJob decodes a job specification.
func DecodeJob(data []byte) (*cluster.JobSpec, error) {
	var r jobRecord
	if err := unmarshal("decode job", data, &r); err != nil {
		return nil, err
	}
	spec := &cluster.JobSpec{
		ID:    cluster.JobID{Team: cluster.TeamName(r.Team), Name: cluster.JobName(r.Name)},
		Queue: cluster.QueueName(r.Queue), Priority: cluster.Priority(r.Priority),
		Idempotent: r.Idempotent, Checkpoints: r.Checkpoints, MaxAttempts: r.MaxAttempts, Command: r.Command,
	}
	if r.Deadline != 0 {
		spec.Deadline = time.Unix(0, r.Deadline)
	}
	size := decodeResources(r.Size)
	switch r.Kind {
	case workloadService:
		spec.Workload = &cluster.Service{Replicas: r.Tasks, Size: size}
	case workloadBatch:
		spec.Workload = &cluster.Batch{Tasks: r.Tasks, Size: size, RunTime: r.RunTime}
	case workloadGang:
		spec.Workload = &cluster.Gang{Tasks: r.Tasks, Size: size, RunTime: r.RunTime}
	default:
		return nil, &Error{Op: "decode job", Kind: KindMalformed, Err: fmt.Errorf("workload %q", r.Kind)}
	}
	return spec, nil
}

func encodeResources(r cluster.Resources) resourcesRecord {
	return resourcesRecord{int64(r.CPU), int64(r.Memory), r.Accelerators}
}

func decodeResources(r resourcesRecord) cluster.Resources {
	return cluster.Resources{CPU: cluster.CPU(r.CPU), Memory: cluster.Bytes(r.Memory), Accelerators: r.Accelerators}
}

func marshal(op string, v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnsupported, Err: err}
	}
	return data, nil
}

func unmarshal(op string, data []byte, v any) error {
	if err := Unmarshal(data, v); err != nil {
		return &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return nil
}
