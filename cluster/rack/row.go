package rack

import (
	"bytes"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/record"
)

// Prefixes of the rows that the controller reads and writes.
const (
	prefixRack   = "rack/"
	prefixJob    = "job/"
	prefixAssign = "assign/"
	prefixGrants = "grants/"
)

func rackKey(rack cluster.RackID) string      { return prefixRack + string(rack) }
func jobKey(job cluster.JobID) string         { return prefixJob + job.String() }
func grantsKey(team cluster.TeamName) string  { return prefixGrants + string(team) }
func assignPrefix(rack cluster.RackID) string { return prefixAssign + string(rack) + "/" }
func assignKey(rack cluster.RackID, job cluster.JobID) string {
	return prefixAssign + string(rack) + "/" + job.String()
}

// parseJob splits team/job; a job name may contain slashes, a team name may not.
func parseJob(s string) (cluster.JobID, bool) {
	team, name, ok := strings.Cut(s, "/")
	return cluster.JobID{Team: cluster.TeamName(team), Name: cluster.JobName(name)}, ok && team != "" && name != ""
}

func parseAssign(key string) (cluster.RackID, cluster.JobID, bool) {
	rack, rest, ok := strings.Cut(strings.TrimPrefix(key, prefixAssign), "/")
	if !ok {
		return "", cluster.JobID{}, false
	}
	job, ok := parseJob(rest)
	return cluster.RackID(rack), job, ok
}

// rackRow is the value of rack/<rack>; an empty owner means that the rack was released.
type rackRow struct {
	Owner string `msgpack:"Owner"`
	Epoch uint64 `msgpack:"Epoch"`
}

// jobRow is the value of job/<team>/<job>.
type jobRow struct {
	Spec      []byte `msgpack:"Spec"`
	Submitted int64  `msgpack:"Submitted"`
	State     int    `msgpack:"State"`
	Cancel    bool   `msgpack:"Cancel"`
	// Declared is the version of the configuration that declared the job; zero for jobs of callers.
	Declared uint64   `msgpack:"Declared"`
	Home     string   `msgpack:"Home"`
	Racks    []string `msgpack:"Racks"`
	// Round is the gang start that was decided last; each task of the round has it as its attempt.
	Round uint32 `msgpack:"Round"`
	// Abort is the last round that was given up after a task was lost.
	Abort uint32 `msgpack:"Abort"`
	// Ended is when the job ended, in Unix nanoseconds.
	Ended int64 `msgpack:"Ended"`
	// Counts holds the number of tasks by final state, once the job has ended.
	Counts []int `msgpack:"Counts"`
}

// taskRow is one task of an assignment.
type taskRow struct {
	Index    int32  `msgpack:"Index"`
	Attempt  uint32 `msgpack:"Attempt"`
	State    int8   `msgpack:"State"`
	Failures int8   `msgpack:"Failures"`
	// Worker is set for non-idempotent tasks: the only worker on which the attempt may start.
	Worker string `msgpack:"Worker"`
	// Resume says that the attempt continues a checkpoint.
	Resume bool `msgpack:"Resume"`
}

// assignRow is the value of assign/<rack>/<team>/<job>.
type assignRow struct {
	// Submitted tells a job from a later one with the same name.
	Submitted int64     `msgpack:"Submitted"`
	Tasks     []taskRow `msgpack:"Tasks"`
}

type grantRow struct {
	Rack string `msgpack:"Rack"`
	CPU  int64  `msgpack:"CPU"`
	Mem  int64  `msgpack:"Mem"`
	Acc  int64  `msgpack:"Acc"`
}

// grantsRow is the value of grants/<team>.
type grantsRow struct {
	CPU    int64      `msgpack:"CPU"`
	Mem    int64      `msgpack:"Mem"`
	Acc    int64      `msgpack:"Acc"`
	Grants []grantRow `msgpack:"Grants"`
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	// Structs as arrays halve the rows of jobs with many tasks; fields are only ever added at the end.
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, &Error{Op: "encode row", Kind: KindMalformed, Err: err}
	}
	return buf.Bytes(), nil
}

func decode(key string, data []byte, v any) error {
	if err := msgpack.Unmarshal(data, v); err != nil {
		return &Error{Op: "decode row " + key, Kind: KindMalformed, Err: err}
	}
	return nil
}

func (j *job) encode() ([]byte, error) {
	spec, err := record.EncodeJob(j.spec)
	if err != nil {
		return nil, &Error{Op: "encode job", Kind: KindMalformed, Err: err}
	}
	r := jobRow{
		Spec: spec, Submitted: j.submitted.UnixNano(), State: int(j.state), Cancel: j.cancel, Declared: uint64(j.declared),
		Home: string(j.home), Round: j.round, Abort: j.abort, Counts: j.counts,
	}
	if !j.ended.IsZero() {
		r.Ended = j.ended.UnixNano()
	}
	for _, id := range j.racks {
		r.Racks = append(r.Racks, string(id))
	}
	return encode(&r)
}

func decodeJob(key string, data []byte) (*job, error) {
	var r jobRow
	if err := decode(key, data, &r); err != nil {
		return nil, err
	}
	spec, err := record.DecodeJob(r.Spec)
	if err != nil {
		return nil, &Error{Op: "decode row " + key, Kind: KindMalformed, Err: err}
	}
	j := &job{
		spec: spec, submitted: time.Unix(0, r.Submitted), state: JobState(r.State), cancel: r.Cancel, declared: cluster.Version(r.Declared),
		home: cluster.RackID(r.Home), round: r.Round, abort: r.Abort, counts: r.Counts,
	}
	if r.Ended != 0 {
		j.ended = time.Unix(0, r.Ended)
	}
	for _, id := range r.Racks {
		j.racks = append(j.racks, cluster.RackID(id))
	}
	return j, nil
}

func (a *assignment) encode() ([]byte, error) {
	r := assignRow{Submitted: a.submitted, Tasks: make([]taskRow, len(a.tasks))}
	for i := range a.tasks {
		t := a.tasks[i]
		r.Tasks[i] = taskRow{Index: int32(t.index), Attempt: uint32(t.attempt), State: int8(t.state), Failures: t.failures, Resume: t.resume}
		if t.pinned() {
			r.Tasks[i].Worker = string(t.pin)
		}
	}
	return encode(&r)
}

// attemptEpoch is the time that the first attempts of jobs are counted from.
var attemptEpoch = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// firstAttempt is the number of a job's first attempts. Workers refuse attempts
// that they know, so a job must not repeat the numbers of an earlier job with the
// same name; seconds of the submission are above them, because retries take longer.
func firstAttempt(submitted time.Time) cluster.Attempt {
	return cluster.Attempt(max(submitted.Sub(attemptEpoch)/time.Second, 0)) + 1
}

func newTasks(indexes []int, submitted time.Time) []taskRow {
	rows := make([]taskRow, len(indexes))
	for i, index := range indexes {
		rows[i] = taskRow{Index: int32(index), Attempt: uint32(firstAttempt(submitted))}
	}
	return rows
}
