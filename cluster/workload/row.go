package workload

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/record"
)

// jobRow is the stored row of a job. It is encoded as an array, and a build that has another number of fields can't
// read it.
type jobRow struct {
	Team         string    `msgpack:"Team"`
	Queue        string    `msgpack:"Queue"`
	Spec         string    `msgpack:"Spec"`
	Steps        []stepRow `msgpack:"Steps"`
	Count        int       `msgpack:"Count"`
	FirstStartMS int64     `msgpack:"FirstMS"`
	IntervalMS   int64     `msgpack:"EveryMS"`
	AcceptedMS   int64     `msgpack:"Accepted"`
	Terms        termsRow  `msgpack:"Terms"`
}

// termsRow is the encoded form of Terms.
type termsRow struct {
	Service     string  `msgpack:"Service"`
	Rank        int     `msgpack:"Rank"`
	MaxAttempts int     `msgpack:"MaxAttempts"`
	Stretch     float64 `msgpack:"Stretch"`
	TargetMS    int64   `msgpack:"TargetMS"`
	// HasAdvice means that the queue has an advice policy; the times below are in microseconds.
	HasAdvice       bool  `msgpack:"Advised"`
	DecideMicros    int64 `msgpack:"Decide"`
	PerWorkerMicros int64 `msgpack:"PerWorker"`
	ValidMicros     int64 `msgpack:"Valid"`
}

func encodeTerms(t *Terms) termsRow {
	r := termsRow{
		Service: string(t.Service), Rank: t.Rank, MaxAttempts: t.MaxAttempts, Stretch: t.Stretch,
		TargetMS: t.Target.Milliseconds(), HasAdvice: t.Advice != nil,
	}
	if a := t.Advice; a != nil {
		r.DecideMicros, r.PerWorkerMicros, r.ValidMicros = a.CallDuration.Microseconds(), a.PerWorker.Microseconds(), a.TicketTTL.Microseconds()
	}
	return r
}

func decodeTerms(r *termsRow) Terms {
	t := Terms{
		Service: cluster.ServiceName(r.Service), Rank: r.Rank, MaxAttempts: r.MaxAttempts, Stretch: r.Stretch,
		Target: time.Duration(r.TargetMS) * time.Millisecond,
	}
	if r.HasAdvice {
		t.Advice = &cluster.AdvicePolicy{
			CallDuration: time.Duration(r.DecideMicros) * time.Microsecond,
			PerWorker:    time.Duration(r.PerWorkerMicros) * time.Microsecond,
			TicketTTL:    time.Duration(r.ValidMicros) * time.Microsecond,
		}
	}
	return t
}

// stepRow is the encoded form of a Step.
type stepRow struct {
	Tasks          int    `msgpack:"Tasks"`
	CPU            int64  `msgpack:"CPU"`
	Memory         int64  `msgpack:"Memory"`
	Accelerators   int64  `msgpack:"Accelerators"`
	EstimateMS     int64  `msgpack:"EstimateMS"`
	After          []int  `msgpack:"After"`
	Flags          uint32 `msgpack:"Flags"`
	Label          string `msgpack:"Label"`
	Affinity       string `msgpack:"Affinity"`
	MaxPerWorker   int    `msgpack:"MaxPerWorker"`
	Image          string `msgpack:"Image"`
	TargetMS       int64  `msgpack:"TargetMS"`
	MaxUnavailable int    `msgpack:"MaxAway"`
}

// Bits of stepRow.Flags.
const (
	flagCheckpoints = 1 << iota
	flagGang
	flagSameRack
	flagSpeculative
	flagLongRunning
	flagBestEffortCPU
)

// failuresRow is the encoded form of an entry of Progress.Failures or Progress.EarlierFailures. The latter has the
// complement of the index as its slot and the count in place of the runs: earlier builds read it as the failures of a
// task that does not exist, and write it unchanged.
type failuresRow struct {
	Slot int      `msgpack:"Slot"`
	Runs []uint64 `msgpack:"Runs"`
}

// progressRow is the stored row of a job's progress. It is encoded as an array, and a build that has another number
// of fields can't read it.
type progressRow struct {
	State    int           `msgpack:"State"`
	EndedMS  int64         `msgpack:"EndedMS"`
	Done     []byte        `msgpack:"Done"`
	Failures []failuresRow `msgpack:"Failures"`
}

// maxRowBytes bounds the rows of a job, as the platform refuses rows above 64 KiB.
const maxRowBytes = 60 << 10

// EncodeJob returns the row of a job; the job's identifier is the key of the row. An Error of kind KindInvalid means
// that the row would be too large.
func EncodeJob(j *Job) ([]byte, error) {
	r := jobRow{
		Team: string(j.Team), Queue: string(j.Queue), Spec: j.Spec, Count: j.Recurrence.Count,
		IntervalMS: j.Recurrence.Interval.Milliseconds(), AcceptedMS: j.AcceptedAt.UnixMilli(), Terms: encodeTerms(&j.Terms),
	}
	if j.Recurrence.Count > 0 {
		r.FirstStartMS = j.Recurrence.FirstStart.UnixMilli()
	}
	for i := range j.Steps {
		r.Steps = append(r.Steps, encodeStep(&j.Steps[i]))
	}
	data, err := encodeRow("encode job", &r)
	if err == nil && len(data) > maxRowBytes {
		return nil, invalid("the job takes %d bytes, at most %d are allowed", len(data), maxRowBytes)
	}
	return data, err
}

// encodeRow encodes structs as arrays, which omits the field names.
func encodeRow(op string, row any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(row); err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return buf.Bytes(), nil
}

func encodeStep(s *Step) stepRow {
	r := stepRow{
		Tasks: s.Tasks, CPU: int64(s.Size.CPU), Memory: int64(s.Size.Memory), Accelerators: s.Size.Accelerators,
		EstimateMS: s.Estimate.Milliseconds(), After: s.After, Label: s.Label, Affinity: s.Affinity,
		MaxPerWorker: s.MaxPerWorker, Image: s.Image, TargetMS: s.LatencyTarget.Milliseconds(), MaxUnavailable: s.MaxUnavailable,
	}
	for _, f := range s.flags() {
		if *f.value {
			r.Flags |= f.bit
		}
	}
	return r
}

// stepFlag is a boolean field of a Step with its bit in stepRow.Flags.
type stepFlag struct {
	bit   uint32
	value *bool
}

func (s *Step) flags() [6]stepFlag {
	return [...]stepFlag{
		{flagCheckpoints, &s.Checkpoints},
		{flagGang, &s.Gang},
		{flagSameRack, &s.SameRack},
		{flagSpeculative, &s.Speculative},
		{flagLongRunning, &s.LongRunning},
		{flagBestEffortCPU, &s.BestEffortCPU},
	}
}

// DecodeJob decodes the row of a job.
func DecodeJob(id cluster.JobName, data []byte) (*Job, error) {
	var r jobRow
	if err := record.Unmarshal(data, &r); err != nil {
		return nil, &Error{Op: "decode job", Kind: KindMalformed, Err: fmt.Errorf("%s: %w", id, err)}
	}
	j := &Job{
		ID: id, Team: cluster.TeamName(r.Team), Queue: cluster.QueueName(r.Queue), Spec: r.Spec,
		AcceptedAt: time.UnixMilli(r.AcceptedMS), Terms: decodeTerms(&r.Terms),
	}
	if r.Count > 0 {
		j.Recurrence = Recurrence{Count: r.Count, FirstStart: time.UnixMilli(r.FirstStartMS), Interval: time.Duration(r.IntervalMS) * time.Millisecond}
	}
	for _, s := range r.Steps {
		j.Steps = append(j.Steps, decodeStep(s))
	}
	if err := j.Validate(); err != nil {
		return nil, &Error{Op: "decode job", Kind: KindMalformed, Err: err}
	}
	return j, nil
}

func decodeStep(r stepRow) Step {
	s := Step{
		Tasks: r.Tasks, Size: cluster.Resources{CPU: cluster.CPU(r.CPU), Memory: cluster.Bytes(r.Memory), Accelerators: r.Accelerators},
		Estimate: time.Duration(r.EstimateMS) * time.Millisecond, After: r.After, Label: r.Label, Affinity: r.Affinity,
		MaxPerWorker: r.MaxPerWorker, Image: r.Image, LatencyTarget: time.Duration(r.TargetMS) * time.Millisecond, MaxUnavailable: r.MaxUnavailable,
	}
	for _, f := range s.flags() {
		*f.value = r.Flags&f.bit != 0
	}
	return s
}

// EncodeProgress returns the row of a job's progress. If the row would be too large, it lists fewer of the failed runs
// and counts the others.
func EncodeProgress(p *Progress) ([]byte, error) {
	data, err := encodeProgress(p)
	if err != nil || len(data) <= maxRowBytes {
		return data, err
	}
	withoutFailures, err := encodeProgress(&Progress{State: p.State, EndedAt: p.EndedAt, Done: p.Done})
	if err != nil {
		return nil, err
	}
	return encodeProgress(p.reduceFailures(maxRowBytes - len(withoutFailures)))
}

func encodeProgress(p *Progress) ([]byte, error) {
	r := progressRow{State: int(p.State), Done: p.Done}
	if !p.EndedAt.IsZero() {
		r.EndedMS = p.EndedAt.UnixMilli()
	}
	for _, index := range slices.Sorted(maps.Keys(p.Failures)) {
		r.Failures = append(r.Failures, failuresRow{Slot: index, Runs: p.Failures[index]})
	}
	for _, index := range slices.Sorted(maps.Keys(p.EarlierFailures)) {
		r.Failures = append(r.Failures, failuresRow{Slot: ^index, Runs: []uint64{uint64(p.EarlierFailures[index])}})
	}
	return encodeRow("encode progress", &r)
}

// DecodeProgress decodes the row of a job's progress.
func DecodeProgress(data []byte) (*Progress, error) {
	var r progressRow
	if err := record.Unmarshal(data, &r); err != nil {
		return nil, &Error{Op: "decode progress", Kind: KindMalformed, Err: err}
	}
	if r.State < 0 || r.State >= len(stateNames) {
		return nil, &Error{Op: "decode progress", Kind: KindMalformed, Err: fmt.Errorf("state %d", r.State)}
	}
	p := &Progress{State: State(r.State), Done: r.Done}
	if r.EndedMS != 0 {
		p.EndedAt = time.UnixMilli(r.EndedMS)
	}
	for _, f := range r.Failures {
		// Earlier builds list the runs in the order in which they were reported, and the counts of two merged rows.
		slices.Sort(f.Runs)
		switch {
		case f.Slot >= 0:
			p.setFailures(f.Slot, f.Runs, len(f.Runs)+p.EarlierFailures[f.Slot])
		case len(f.Runs) > 0:
			index, count := ^f.Slot, f.Runs[len(f.Runs)-1]
			if count > math.MaxInt32 {
				return nil, &Error{Op: "decode progress", Kind: KindMalformed, Err: fmt.Errorf("%d failed runs of task %d", count, index)}
			}
			runs := p.Failures[index]
			p.setFailures(index, runs, len(runs)+int(count))
		}
	}
	return p, nil
}
