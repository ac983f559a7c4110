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

// rackKey, jobKey, grantsKey and assignKey return the keys of rows; assignPrefix returns the
// prefix of a rack's assignment rows.
func rackKey(rack cluster.RackID) string      { return prefixRack + string(rack) }
func jobKey(job cluster.JobID) string         { return prefixJob + job.String() }
func grantsKey(team cluster.TeamName) string  { return prefixGrants + string(team) }
func assignPrefix(rack cluster.RackID) string { return prefixAssign + string(rack) + "/" }
func assignKey(rack cluster.RackID, job cluster.JobID) string {
	return prefixAssign + string(rack) + "/" + job.String()
}

// parseJobID splits team/job; a job name may contain slashes, a team name may not.
func parseJobID(s string) (cluster.JobID, bool) {
	team, name, ok := strings.Cut(s, "/")
	return cluster.JobID{Team: cluster.TeamName(team), Name: cluster.JobName(name)}, ok && team != "" && name != ""
}

// parseAssignKey returns the rack and the job in the key of an assignment row.
func parseAssignKey(key string) (cluster.RackID, cluster.JobID, bool) {
	rack, rest, ok := strings.Cut(strings.TrimPrefix(key, prefixAssign), "/")
	if !ok {
		return "", cluster.JobID{}, false
	}
	job, ok := parseJobID(rest)
	return cluster.RackID(rack), job, ok
}

// rackRow is the value of rack/<rack>; an empty owner means that the rack was released.
type rackRow struct {
	Owner string `msgpack:"Owner"`
	Epoch uint64 `msgpack:"Epoch"`
}

// jobRow is the value of job/<team>/<job>.
type jobRow struct {
	// Spec is the specification as encoded by record.EncodeJob.
	Spec []byte `msgpack:"Spec"`
	// SubmittedAt is when the job was submitted, in Unix nanoseconds.
	SubmittedAt int64 `msgpack:"Submitted"`
	// State is a JobState.
	State int `msgpack:"State"`
	// CancelRequested means that the job's tasks are to be stopped.
	CancelRequested bool `msgpack:"Cancel"`
	// DeclaredVersion is the version of the configuration that declared the job; zero for jobs
	// that callers submitted.
	DeclaredVersion uint64 `msgpack:"Declared"`
	// HomeRack is the rack whose owner starts gang rounds and records the end of the job.
	HomeRack string `msgpack:"Home"`
	// Racks are the racks that have assignment rows of the job.
	Racks []string `msgpack:"Racks"`
	// GangRound is the last gang start that was recorded; the tasks of the round use it as their attempt number.
	GangRound uint32 `msgpack:"Round"`
	// AbortedRound is the last round that was abandoned because a task was lost.
	AbortedRound uint32 `msgpack:"Abort"`
	// EndedAt is when the job ended, in Unix nanoseconds; zero before.
	EndedAt int64 `msgpack:"Ended"`
	// TaskCounts holds the number of tasks by final state, once the job has ended.
	TaskCounts []int `msgpack:"Counts"`
}

// taskRow is one task of an assignment row.
type taskRow struct {
	Index   int32  `msgpack:"Index"`
	Attempt uint32 `msgpack:"Attempt"`
	// State is a cluster.TaskState.
	State int8 `msgpack:"State"`
	// Failures counts attempts that failed on a healthy worker.
	Failures int8 `msgpack:"Failures"`
	// Worker is the pin of a non-idempotent task: the only worker on which the attempt may start.
	Worker string `msgpack:"Worker"`
	// Resume means that the attempt continues from a checkpoint.
	Resume bool `msgpack:"Resume"`
}

// assignRow is the value of assign/<rack>/<team>/<job>.
type assignRow struct {
	// SubmittedAt distinguishes a job from a later one with the same name, in Unix nanoseconds.
	SubmittedAt int64     `msgpack:"Submitted"`
	Tasks       []taskRow `msgpack:"Tasks"`
}

// grantRow is one rack's part of a team's limit: CPU in thousandths of a core, memory in
// bytes and a number of accelerators.
type grantRow struct {
	Rack string `msgpack:"Rack"`
	CPU  int64  `msgpack:"CPU"`
	Mem  int64  `msgpack:"Mem"`
	Acc  int64  `msgpack:"Acc"`
}

// grantsRow is the value of grants/<team>: the team's limit, in the units of grantRow, and the
// part that each rack may use.
type grantsRow struct {
	CPU    int64      `msgpack:"CPU"`
	Mem    int64      `msgpack:"Mem"`
	Acc    int64      `msgpack:"Acc"`
	Grants []grantRow `msgpack:"Grants"`
}

// encodeRow encodes the value of a row.
func encodeRow(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	// Encoding structs as arrays halves the size of rows with many tasks. New fields must be added at the end.
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, &Error{Op: "encode row", Kind: KindMalformed, Err: err}
	}
	return buf.Bytes(), nil
}

// decodeRow decodes the value of the row with a key into v.
func decodeRow(key string, data []byte, v any) error {
	if err := record.Unmarshal(data, v); err != nil {
		return &Error{Op: "decode row " + key, Kind: KindMalformed, Err: err}
	}
	return nil
}

// encode returns the value of the job's row.
func (j *job) encode() ([]byte, error) {
	spec, err := record.EncodeJob(j.spec)
	if err != nil {
		return nil, &Error{Op: "encode job", Kind: KindMalformed, Err: err}
	}
	row := jobRow{
		Spec: spec, SubmittedAt: j.submittedAt.UnixNano(), State: int(j.state), CancelRequested: j.cancelRequested, DeclaredVersion: uint64(j.declaredVersion),
		HomeRack: string(j.homeRack), GangRound: j.gangRound, AbortedRound: j.abortedRound, TaskCounts: j.taskCounts,
	}
	if !j.endedAt.IsZero() {
		row.EndedAt = j.endedAt.UnixNano()
	}
	for _, id := range j.racks {
		row.Racks = append(row.Racks, string(id))
	}
	return encodeRow(&row)
}

// decodeJob decodes a job row; the caller sets the identifier and the version.
func decodeJob(key string, data []byte) (*job, error) {
	var row jobRow
	if err := decodeRow(key, data, &row); err != nil {
		return nil, err
	}
	spec, err := record.DecodeJob(row.Spec)
	if err != nil {
		return nil, &Error{Op: "decode row " + key, Kind: KindMalformed, Err: err}
	}
	j := &job{
		spec: spec, submittedAt: time.Unix(0, row.SubmittedAt), state: JobState(row.State), cancelRequested: row.CancelRequested, declaredVersion: cluster.Version(row.DeclaredVersion),
		homeRack: cluster.RackID(row.HomeRack), gangRound: row.GangRound, abortedRound: row.AbortedRound, taskCounts: row.TaskCounts,
	}
	if row.EndedAt != 0 {
		j.endedAt = time.Unix(0, row.EndedAt)
	}
	for _, id := range row.Racks {
		j.racks = append(j.racks, cluster.RackID(id))
	}
	return j, nil
}

// encode returns the value of the assignment's row.
func (a *assignment) encode() ([]byte, error) {
	row := assignRow{SubmittedAt: a.submittedAt, Tasks: make([]taskRow, len(a.tasks))}
	for i := range a.tasks {
		t := a.tasks[i]
		row.Tasks[i] = taskRow{Index: int32(t.index), Attempt: uint32(t.attempt), State: int8(t.state), Failures: t.failures, Resume: t.resume}
		if t.isPinned() {
			row.Tasks[i].Worker = string(t.pin)
		}
	}
	return encodeRow(&row)
}

// attemptNumberEpoch is the time from which the numbers of first attempts are counted, in seconds.
var attemptNumberEpoch = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// firstAttempt returns the number of the first attempt of a job's tasks. Workers
// refuse attempts that they have seen, so a job must not reuse the numbers of an
// earlier job with the same name. The time of the submission in seconds is higher
// than those, because each retry takes longer than a second.
func firstAttempt(submitted time.Time) cluster.Attempt {
	return cluster.Attempt(max(submitted.Sub(attemptNumberEpoch)/time.Second, 0)) + 1
}

// newTaskRows returns the rows of new tasks with the given indexes.
func newTaskRows(indexes []int, submitted time.Time) []taskRow {
	rows := make([]taskRow, len(indexes))
	for i, index := range indexes {
		rows[i] = taskRow{Index: int32(index), Attempt: uint32(firstAttempt(submitted))}
	}
	return rows
}
