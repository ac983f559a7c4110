package cell

import (
	"bytes"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// packedMessage is a message that is compressed if it is large.
type packedMessage struct {
	// Payload is an encoded callBatch, resultBatch, workerList or readReply.
	Payload []byte `msgpack:"P"`
	// Compressed means that Payload is compressed with zstd.
	Compressed bool `msgpack:"Z"`
}

// callBatch holds calls to workers. The calls refer to workers and specifications by index.
type callBatch struct {
	Workers []batchWorker
	Specs   []string
	Starts  []batchStart
	Stops   []batchStop
	Holds   []batchHold
}

type batchWorker struct {
	ID   string
	Addr string
}

type batchStart struct {
	ID         uint64
	Worker     int
	Fence      uint64
	Task       string
	Run        uint64
	Spec       int
	Until      time.Duration
	Checkpoint string
	Ticket     string
}

type batchStop struct {
	ID     uint64
	Worker int
	Fence  uint64
	Task   string
	Run    uint64
}

type batchHold struct {
	ID          uint64
	Worker      int
	Fence       uint64
	Until       time.Duration
	Acknowledge uint64
	Wait        time.Duration
}

// resultBatch holds the results of forwarded calls.
type resultBatch struct {
	Starts []startResult
	Stops  []stopResult
	Holds  []holdResult
}

type startResult struct {
	ID      uint64
	Outcome callOutcome
	Refusal int
	Clock   time.Duration
}

type stopResult struct {
	ID        uint64
	Outcome   callOutcome
	Fenced    bool
	Restarted bool
}

type holdResult struct {
	ID          uint64
	Outcome     callOutcome
	Fenced      bool
	Restarted   bool
	Incarnation int64
	Clock       time.Duration
	MoreEnds    bool
	Running     []resultRun
	Ended       []resultEnd
}

type resultRun struct {
	Task       string
	Run        uint64
	Checkpoint string
	Percent    int
}

type resultEnd struct {
	Number     uint64
	Task       string
	Run        uint64
	Outcome    int
	Checkpoint string
}

// minCompressedBytes is the size above which batches are compressed.
const minCompressedBytes = 512

// maxBatchMemory bounds the memory for the decoding of a batch.
const maxBatchMemory = 8 << 20

// The coders are safe for concurrent use, and creating one for each batch would cost more than the coding.
var (
	batchEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(minUpdateWindow))
	})
	batchDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBatchMemory))
	})
)

// packBatch encodes a batch, without the names of its fields, and compresses it if it is large.
func packBatch(op string, batch any) (packedMessage, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(batch); err != nil {
		return packedMessage{}, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	data := buf.Bytes()
	if len(data) < minCompressedBytes {
		return packedMessage{Payload: data}, nil
	}
	encoder, err := batchEncoder()
	if err != nil {
		return packedMessage{}, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return packedMessage{Payload: encoder.EncodeAll(data, nil), Compressed: true}, nil
}

// unpackBatch decodes a batch of packBatch.
func unpackBatch[T any](op string, m packedMessage) (T, error) {
	data := m.Payload
	if m.Compressed {
		var zero T
		decoder, err := batchDecoder()
		if err != nil {
			return zero, &Error{Op: op, Kind: KindMalformed, Err: err}
		}
		if data, err = decoder.DecodeAll(data, nil); err != nil {
			return zero, &Error{Op: op, Kind: KindMalformed, Err: err}
		}
	}
	return decode[T](op, data)
}

// worker returns the worker with an index of the batch.
func (b *callBatch) worker(index int) (platform.WorkerVM, error) {
	if index < 0 || index >= len(b.Workers) {
		return platform.WorkerVM{}, &Error{Op: "read forwarded call", Kind: KindMalformed, Err: fmt.Errorf("worker %d of %d", index, len(b.Workers))}
	}
	w := b.Workers[index]
	addr, err := netip.ParseAddrPort(w.Addr)
	if err != nil {
		return platform.WorkerVM{}, &Error{Op: "read forwarded call", Kind: KindMalformed, Err: err}
	}
	return platform.WorkerVM{ID: cluster.WorkerID(w.ID), Addr: addr}, nil
}

// startRequest returns the request of a start in the batch.
func (b *callBatch) startRequest(s *batchStart) (platform.StartRequest, error) {
	if s.Spec < 0 || s.Spec >= len(b.Specs) {
		return platform.StartRequest{}, &Error{Op: "read forwarded call", Kind: KindMalformed, Err: fmt.Errorf("specification %d of %d", s.Spec, len(b.Specs))}
	}
	return platform.StartRequest{
		Task: s.Task, Run: platform.RunNumber(s.Run), Fence: cluster.Epoch(s.Fence), Spec: b.Specs[s.Spec], Until: s.Until,
		Checkpoint: s.Checkpoint, Ticket: s.Ticket,
	}, nil
}

// refusal returns the refusal in a result; one that this version does not know counts as an invalid request.
func (r *startResult) refusal() platform.StartRefusal {
	if r.Refusal < 0 || r.Refusal >= int(platform.NumStartRefusals) {
		return platform.RefusedInvalid
	}
	return platform.StartRefusal(r.Refusal)
}

func (s *batchStop) request() platform.StopRequest {
	return platform.StopRequest{Task: s.Task, Run: platform.RunNumber(s.Run), Fence: cluster.Epoch(s.Fence)}
}

func (h *batchHold) request() platform.HoldRequest {
	return platform.HoldRequest{Fence: cluster.Epoch(h.Fence), Until: h.Until, Acknowledge: h.Acknowledge, Wait: h.Wait}
}

func newHoldResult(id uint64, reply platform.HoldReply) holdResult {
	r := holdResult{
		ID: id, Fenced: reply.Fenced, Restarted: reply.Restarted, Incarnation: int64(reply.Incarnation), Clock: reply.Clock, MoreEnds: reply.MoreEnds,
	}
	for _, run := range reply.Running {
		r.Running = append(r.Running, resultRun{Task: run.Task, Run: uint64(run.Run), Checkpoint: run.Checkpoint, Percent: run.Percent})
	}
	for _, e := range reply.Ended {
		r.Ended = append(r.Ended, resultEnd{Number: e.Number, Task: e.Task, Run: uint64(e.Run), Outcome: int(e.Outcome), Checkpoint: e.Checkpoint})
	}
	return r
}

// reply returns the worker's reply to a hold call.
func (r *holdResult) reply() (platform.HoldReply, error) {
	reply := platform.HoldReply{
		Fenced: r.Fenced, Restarted: r.Restarted, Incarnation: platform.Incarnation(r.Incarnation), Clock: r.Clock, MoreEnds: r.MoreEnds,
	}
	for _, run := range r.Running {
		reply.Running = append(reply.Running, platform.TaskRun{Task: run.Task, Run: platform.RunNumber(run.Run), Checkpoint: run.Checkpoint, Percent: run.Percent})
	}
	for _, e := range r.Ended {
		if e.Outcome < 0 || e.Outcome >= int(platform.NumRunOutcomes) {
			return reply, &Error{Op: "read forwarded result", Kind: KindMalformed, Err: fmt.Errorf("outcome %d", e.Outcome)}
		}
		reply.Ended = append(reply.Ended, platform.RunEnd{Number: e.Number, Task: e.Task, Run: platform.RunNumber(e.Run), Outcome: platform.RunOutcome(e.Outcome), Checkpoint: e.Checkpoint})
	}
	return reply, nil
}
