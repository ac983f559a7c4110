package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/clientlimit"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/rollout"
)

const (
	// applyTimeout limits how long a request to apply a note waits for its outcome.
	applyTimeout = 15 * time.Second
	// notesPageSize is the largest number of notes in one listing.
	notesPageSize = 100
)

// buildNotes builds the repository of notes and the rollout's guard around it.
func (d *Daemon) buildNotes() {
	d.notes = note.New(note.Config{
		Store: d.store, Objects: d.client, Journal: d.controlJournal, Clock: d.now, Log: d.log, Metrics: d.metrics,
		MemberCheck: func() platform.Check {
			self := d.manager.Self()
			return platform.Check{Key: member.Key(self.ID), Version: self.Version}
		},
		WorkerCapacity: d.workerCapacity,
		RunningWork:    d.runningWork,
	})
	d.noteApplier = d.rollout.Guard(d.notes)
}

// workerCapacity returns the largest and the total capacity of the workers in
// the platform's list; nil before the list has been read.
func (d *Daemon) workerCapacity() *note.WorkerCapacity {
	vms := d.vms.Load()
	if vms == nil {
		return nil
	}
	var capacity note.WorkerCapacity
	for i := range *vms {
		if vm := &(*vms)[i]; vm.Role == platform.RoleWorker {
			capacity.Largest = capacity.Largest.Max(vm.Capacity)
			capacity.Total = capacity.Total.Add(vm.Capacity)
		}
	}
	return &capacity
}

// runningWork returns the teams' usage and the unfinished jobs of the cell. Data of
// daemons that do not respond within listingTimeout is not included.
func (d *Daemon) runningWork() note.RunningWork {
	ctx, cancel := context.WithTimeout(context.Background(), listingTimeout)
	defer cancel()
	l := d.collectListings(ctx)
	running := note.RunningWork{Usage: map[cluster.TeamName]cluster.Resources{}, Jobs: map[cluster.JobID]cluster.QueueName{}}
	for _, t := range l.teams() {
		running.Usage[cluster.TeamName(t.Name)] = t.Used.ToResources()
	}
	for _, j := range l.jobs() {
		if j.Tasks.Pending+j.Tasks.Starting+j.Tasks.Running > 0 {
			running.Jobs[cluster.JobID{Team: cluster.TeamName(j.Team), Name: cluster.JobName(j.ID)}] = cluster.QueueName(j.Queue)
		}
	}
	return running
}

// applyNote handles POST /v1/notes.
func (d *Daemon) applyNote(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var held clientlimit.Body
	defer d.clients.Bodies.Close(&held)
	req, ok := d.readNoteRequest(w, r, &held)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	result, err := d.noteApplier.Apply(ctx, req)
	if err != nil {
		writeNoteError(w, err)
		return
	}
	status := http.StatusCreated
	if result.Duplicate {
		status = http.StatusOK
	}
	writeJSON(w, status, api.NoteStatus{
		Version: uint64(result.Version), ID: req.ID, Author: req.Author, Changes: toChanges(result.Plan),
	})
}

// previewNote handles POST /v1/notes/check and POST /v1/notes/plan.
func (d *Daemon) previewNote(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if action := p.ByName("action"); action != "check" && action != "plan" {
		writeRefusal(w, http.StatusNotFound, "a note can be checked, planned or applied")
		return
	}
	var held clientlimit.Body
	defer d.clients.Bodies.Close(&held)
	req, ok := d.readNoteRequest(w, r, &held)
	if !ok {
		return
	}
	result, err := d.notes.Preview().Apply(r.Context(), req)
	if err != nil {
		writeNoteError(w, err)
		return
	}
	plan := api.Plan{Base: uint64(result.Version) - 1, Changes: toChanges(result.Plan)}
	for _, job := range result.Plan.StoppedJobs() {
		plan.Warnings = append(plan.Warnings, "stops job "+job.String())
	}
	writeJSON(w, http.StatusOK, plan)
}

// readNoteRequest reads a note from an operator's request; if it can't, it writes the refusal and returns false. The caller
// closes held.
func (d *Daemon) readNoteRequest(w http.ResponseWriter, r *http.Request, held *clientlimit.Body) (note.Request, bool) {
	if !d.authorizeOperator(w, r) {
		return note.Request{}, false
	}
	if !d.joined.Load() {
		writeProblem(w, api.Problem{Status: http.StatusServiceUnavailable, Detail: "the daemon has not joined the cell", Run: api.RunNo}, staleRetryAfter)
		return note.Request{}, false
	}
	text, ok := d.readBody(w, r, held, note.MaxTextBytes)
	if !ok {
		return note.Request{}, false
	}
	file := r.Header.Get(api.HeaderNoteFile)
	if file == "" {
		file = "note"
	}
	var parsed *note.Note
	var err error
	if !d.decode(w, held, text, func() { parsed, err = note.Parse(file, text) }) {
		return note.Request{}, false
	}
	if err != nil {
		writeNoteError(w, err)
		return note.Request{}, false
	}
	id := r.Header.Get(api.HeaderNoteID)
	if id == "" {
		id = rand.Text()
	}
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil && r.URL.Query().Has("base") {
		writeRefusal(w, http.StatusBadRequest, "base must be the version of a note")
		return note.Request{}, false
	}
	return note.Request{ID: id, Author: r.Header.Get(api.HeaderAuthor), Note: parsed, Base: cluster.Version(base)}, true
}

func toChanges(plan *note.Plan) []api.Change {
	if plan == nil {
		return nil
	}
	changes := make([]api.Change, 0, len(plan.Effects))
	for _, e := range plan.Effects {
		changes = append(changes, api.Change{Action: string(e.Action), Entity: e.Entity.String(), Detail: e.Detail})
	}
	return changes
}

// listNotes handles GET /v1/notes. It lists the latest notes first; the query
// parameter before limits the listing to older versions.
func (d *Daemon) listNotes(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !d.authorizeOperator(w, r) {
		return
	}
	before, _ := strconv.ParseUint(r.URL.Query().Get("before"), 10, 64)
	entries, err := d.notes.History(r.Context(), cluster.Version(before), notesPageSize)
	if err != nil {
		writeNoteError(w, err)
		return
	}
	list := api.NoteList{Notes: make([]api.NoteStatus, 0, len(entries))}
	for i := range entries {
		list.Notes = append(list.Notes, toNoteStatus(&entries[i]))
	}
	writeJSON(w, http.StatusOK, list)
}

// showNote handles GET /v1/notes/{version}.
func (d *Daemon) showNote(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if !d.authorizeOperator(w, r) {
		return
	}
	version, err := strconv.ParseUint(p.ByName("version"), 10, 64)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, "the version of a note is a number")
		return
	}
	entry, text, err := d.notes.Show(r.Context(), cluster.Version(version))
	if err != nil {
		writeNoteError(w, err)
		return
	}
	status := toNoteStatus(&entry)
	status.Text = string(text)
	writeJSON(w, http.StatusOK, status)
}

func toNoteStatus(entry *note.HistoryEntry) api.NoteStatus {
	status := api.NoteStatus{
		Version: uint64(entry.Version), ID: entry.ID, Author: entry.Author, Summary: entry.Summary, At: entry.Time.UTC(),
		Digest: hex.EncodeToString(entry.Digest[:]),
	}
	for _, e := range entry.Entities {
		status.Entities = append(status.Entities, e.String())
	}
	return status
}

// writeNoteError writes the problem for an error of the packages note or rollout.
func writeNoteError(w http.ResponseWriter, err error) {
	if rollout.IsKind(err, rollout.KindStale) || rollout.IsKind(err, rollout.KindNotAcknowledged) {
		writeProblem(w, api.Problem{Status: http.StatusServiceUnavailable, Detail: err.Error(), Run: api.RunNo}, staleRetryAfter)
		return
	}
	var e *note.Error
	if !errors.As(err, &e) {
		writeProblem(w, api.Problem{Status: http.StatusInternalServerError, Detail: err.Error(), Run: api.RunUnknown}, 0)
		return
	}
	p := api.Problem{Detail: e.Error(), Run: api.RunNo}
	retryAfter := time.Duration(0)
	for _, problem := range e.Problems {
		p.Errors = append(p.Errors, problem.String())
	}
	switch e.Kind {
	case note.KindMalformed:
		p.Status, p.Detail = http.StatusBadRequest, "the note can't be read"
	case note.KindInvalid:
		p.Status, p.Detail = http.StatusUnprocessableEntity, "the note contradicts the configuration"
	case note.KindConflict:
		p.Status = http.StatusConflict
	case note.KindNotFound:
		p.Status = http.StatusNotFound
	case note.KindUnavailable:
		p.Status, retryAfter = http.StatusServiceUnavailable, storeRetryAfter
	case note.KindUnknown:
		p.Status, p.Run, retryAfter = http.StatusGatewayTimeout, api.RunUnknown, storeRetryAfter
	default:
		p.Status = http.StatusUnprocessableEntity
	}
	writeProblem(w, p, retryAfter)
}
