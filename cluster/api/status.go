package api

import (
	"fmt"
	"time"
)

// Headers of the API.
const (
	// HeaderNoteID carries an identifier of the request to apply a note, so that
	// a repeated request does not create a second note.
	HeaderNoteID = "Goldcrest-Note-Id"
	// HeaderNoteFile carries the file name of a note, which is used in error messages.
	HeaderNoteFile = "Goldcrest-Note-File"
	// HeaderAuthor carries the name of the operator who applies a note.
	HeaderAuthor = "Goldcrest-Author"
	// HeaderIdempotencyKey carries the key of a request to a service that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// ContentTypeProblem is the media type of a Problem (RFC 9457).
	ContentTypeProblem = "application/problem+json"
	// ContentTypeNote is the media type of a release note.
	ContentTypeNote = "application/yaml"
)

// Values of Problem.Run.
const (
	// RunNo means that the refused work did not run and will not run.
	RunNo = "no"
	// RunUnknown means that the work may have run.
	RunUnknown = "unknown"
)

// Problem is the body of a response to a request that was refused or failed (RFC 9457).
type Problem struct {
	Type   string `json:"type,omitempty"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Run is RunNo or RunUnknown.
	Run string `json:"run,omitempty"`
	// Errors has one line per invalid field or line of the request.
	Errors []string `json:"errors,omitempty"`
}

// Error formats the status, the title and the detail.
func (p *Problem) Error() string {
	s := fmt.Sprintf("%d %s", p.Status, p.Title)
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	return s
}

// TaskCounts is the number of tasks of a job in each state.
type TaskCounts struct {
	Pending  int `json:"pending,omitempty"`
	Starting int `json:"starting,omitempty"`
	Running  int `json:"running,omitempty"`
	Finished int `json:"finished,omitempty"`
	Failed   int `json:"failed,omitempty"`
	Unknown  int `json:"unknown,omitempty"`
	Stopped  int `json:"stopped,omitempty"`
}

// JobStatus is the state of a job.
type JobStatus struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	Queue string `json:"queue"`
	State string `json:"state"`
	// Workload is batch, gang or service.
	Workload  string     `json:"workload,omitempty"`
	Tasks     TaskCounts `json:"tasks"`
	Submitted time.Time  `json:"submitted,omitzero"`
	// Reason states why the job waits or how it ended.
	Reason string `json:"reason,omitempty"`
}

// JobList is the response to a listing of jobs.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
	// Missing names the daemons that did not reply; what only they know is not in the list.
	Missing []string `json:"missing,omitempty"`
}

// Explanation states why the tasks of a job wait.
type Explanation struct {
	Job JobStatus `json:"job"`
	// Reasons has one entry per daemon that reports a reason.
	Reasons []Reason `json:"reasons"`
}

// Reason is a reason why tasks wait and the number of these tasks.
type Reason struct {
	Rack   string `json:"rack,omitempty"`
	Tasks  int    `json:"tasks"`
	Reason string `json:"reason"`
}

// Cancellation is the body of a cancellation of several jobs of one queue.
type Cancellation struct {
	IDs []string `json:"ids"`
}

// DecodeCancellation decodes a cancellation; unknown fields and trailing data are errors.
func DecodeCancellation(data []byte) (Cancellation, error) {
	var c Cancellation
	return c, decodeStrict("decode cancellation", data, &c)
}

// WorkerStatus is the state of a worker.
type WorkerStatus struct {
	ID     string `json:"id"`
	Rack   string `json:"rack"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Owner is the daemon that owns the worker's rack.
	Owner       string `json:"owner,omitempty"`
	Reachable   bool   `json:"reachable"`
	Fenced      bool   `json:"fenced,omitempty"`
	Quarantined bool   `json:"quarantined,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	// Closed is the reason why the worker accepts no new tasks; empty if it accepts them.
	Closed   string    `json:"closed,omitempty"`
	Capacity Resources `json:"capacity"`
	Used     Resources `json:"used"`
	// Running is the number of tasks that are starting or running on the worker.
	Running int `json:"running"`
}

// WorkerList is the response to a listing of workers.
type WorkerList struct {
	Workers []WorkerStatus `json:"workers"`
	// Missing names the daemons that did not reply; their workers are not in the list.
	Missing []string `json:"missing,omitempty"`
}

// TeamStatus is the usage of the cell's resources by a team.
type TeamStatus struct {
	Name  string    `json:"name"`
	Share int       `json:"share"`
	Limit Resources `json:"limit"`
	Used  Resources `json:"used"`
	// DominantShare is the largest fraction, from 0 to 1, of the cell's capacity
	// that the team uses of any resource.
	DominantShare float64 `json:"dominantShare"`
	Running       int     `json:"running"`
	Pending       int     `json:"pending"`
}

// TeamList is the response to a listing of teams.
type TeamList struct {
	Teams []TeamStatus `json:"teams"`
	// Missing names the daemons that did not reply; usage on their racks is not included.
	Missing []string `json:"missing,omitempty"`
}

// Status is the state of a daemon and of the cell as known to the daemon.
type Status struct {
	Daemon        string `json:"daemon"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	Version       string `json:"version,omitempty"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining,omitempty"`
	ConfigVersion uint64 `json:"configVersion"`
	// ConfigFresh means that API keys are honoured.
	ConfigFresh bool `json:"configFresh"`
	// StoreVisible means that the table service replied to a call recently.
	StoreVisible bool     `json:"storeVisible"`
	Members      []string `json:"members"`
	Racks        []string `json:"racks"`
	Running      int      `json:"running"`
	Pending      int      `json:"pending"`
	// Violations is the number of invariant violations since the start.
	Violations int64 `json:"violations"`
	// PaidLinkBytes is the number of bytes that the daemon has exchanged with other regions since its start.
	PaidLinkBytes int64 `json:"paidLinkBytes"`
}

// NoteStatus is an accepted release note.
type NoteStatus struct {
	Version uint64    `json:"version"`
	ID      string    `json:"id,omitempty"`
	Author  string    `json:"author,omitempty"`
	At      time.Time `json:"at,omitzero"`
	Digest  string    `json:"digest,omitempty"`
	Summary string    `json:"summary,omitempty"`
	// Entities lists the entities that the note added, changed or withdrew, as kind/name.
	Entities []string `json:"entities,omitempty"`
	Changes  []Change `json:"changes,omitempty"`
	// Text is the YAML of the note; listings omit it.
	Text string `json:"text,omitempty"`
}

// NoteList is the response to a listing of notes, the latest first.
type NoteList struct {
	Notes []NoteStatus `json:"notes"`
}

// Change is what a note does to one entity.
type Change struct {
	// Action is add, change or withdraw.
	Action string `json:"action"`
	// Entity is kind/name.
	Entity string `json:"entity"`
	// Detail lists the changed fields.
	Detail string `json:"detail,omitempty"`
}

// Plan is the response to a request to check or plan a note.
type Plan struct {
	// Base is the version of the configuration to which the plan applies.
	Base    uint64   `json:"base"`
	Changes []Change `json:"changes"`
	// Warnings lists consequences that don't prevent the note from being applied.
	Warnings []string `json:"warnings,omitempty"`
}
