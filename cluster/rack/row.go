package rack

import (
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
	Owner string `msgpack:"o"`
	Epoch uint64 `msgpack:"e"`
}

// jobRow is the value of job/<team>/<job>.
type jobRow struct {
	Spec      []byte   `msgpack:"s"`
	Submitted int64    `msgpack:"t"`
	State     int      `msgpack:"st,omitempty"`
	Cancel    bool     `msgpack:"c,omitempty"`
	Declared  bool     `msgpack:"d,omitempty"`
	Home      string   `msgpack:"h"`
	Racks     []string `msgpack:"r"`
	// Round is the gang start that was decided last; each task of the round has it as its attempt.
	Round uint32 `msgpack:"g,omitempty"`
	// Ended is when the job ended, in Unix nanoseconds.
	Ended int64 `msgpack:"e,omitempty"`
	// Counts holds the number of tasks by final state, once the job has ended.
	Counts []int `msgpack:"n,omitempty"`
}

// taskRow is one task of an assignment, encoded as an array to keep rows of many tasks small.
type taskRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection
	Index    int32
	Attempt  uint32
	State    int8
	Failures int8
	// Worker is set for non-idempotent tasks: the only worker on which the attempt may start.
	Worker string
}

// assignRow is the value of assign/<rack>/<team>/<job>.
type assignRow struct {
	// Submitted tells a job from a later one with the same name.
	Submitted int64     `msgpack:"t"`
	Tasks     []taskRow `msgpack:"k"`
}

type grantRow struct {
	Rack string `msgpack:"r"`
	CPU  int64  `msgpack:"c,omitempty"`
	Mem  int64  `msgpack:"m,omitempty"`
	Acc  int64  `msgpack:"a,omitempty"`
}

// grantsRow is the value of grants/<team>.
type grantsRow struct {
	CPU    int64      `msgpack:"c,omitempty"`
	Mem    int64      `msgpack:"m,omitempty"`
	Acc    int64      `msgpack:"a,omitempty"`
	Grants []grantRow `msgpack:"g"`
}

func encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, &Error{Op: "encode row", Kind: KindMalformed, Err: err}
	}
	return data, nil
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
		Spec: spec, Submitted: j.submitted.UnixNano(), State: int(j.state), Cancel: j.cancel, Declared: j.declared,
		Home: string(j.home), Round: j.round, Counts: j.counts,
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
		spec: spec, submitted: time.Unix(0, r.Submitted), state: JobState(r.State), cancel: r.Cancel, declared: r.Declared,
		home: cluster.RackID(r.Home), round: r.Round, counts: r.Counts,
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
		r.Tasks[i] = taskRow{Index: int32(t.index), Attempt: uint32(t.attempt), State: int8(t.state), Failures: t.failures}
		if t.pinned() {
			r.Tasks[i].Worker = string(t.pin)
		}
	}
	return encode(&r)
}

func newTasks(indexes []int) []taskRow {
	rows := make([]taskRow, len(indexes))
	for i, index := range indexes {
		rows[i] = taskRow{Index: int32(index), Attempt: 1}
	}
	return rows
}
