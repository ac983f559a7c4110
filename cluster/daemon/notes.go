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
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/rollout"
)

const (
	// applyTimeout limits how long an operator waits for the outcome of a note.
	applyTimeout = 15 * time.Second
	// notesPage is the number of notes in a listing.
	notesPage = 100
)

// buildNotes builds the repository of notes and the appliers around it.
func (d *Daemon) buildNotes() {
	d.notes = note.New(note.Config{
		Store: d.store, Objects: d.client, Journal: d.journal, Clock: d.now, Log: d.log, Metrics: d.metrics,
		Member: func() platform.Check {
			self := d.manager.Self()
			return platform.Check{Key: member.Key(self.ID), Version: self.Version}
		},
		Fleet:   d.fleet,
		Running: d.runningWork,
	})
	d.applier = d.rollout.Guard(d.notes)
}

// fleet summarises the workers of the platform's list; nil before the list is known.
func (d *Daemon) fleet() *note.Fleet {
	vms := d.vms.Load()
	if vms == nil {
		return nil
	}
	var f note.Fleet
	for i := range *vms {
		if vm := &(*vms)[i]; vm.Role == platform.RoleWorker {
			f.Largest = f.Largest.Max(vm.Capacity)
			f.Total = f.Total.Add(vm.Capacity)
		}
	}
	return &f
}

// runningWork lists what runs in the cell, as far as the daemons answer.
func (d *Daemon) runningWork() note.Running {
	ctx, cancel := context.WithTimeout(context.Background(), listingTimeout)
	defer cancel()
	l := d.collect(ctx)
	work := note.Running{Use: map[cluster.TeamName]cluster.Resources{}, Jobs: map[cluster.JobID]cluster.QueueName{}}
	for _, t := range l.teams() {
		work.Use[cluster.TeamName(t.Name)] = t.Used.ToResources()
	}
	for _, j := range l.jobs() {
		if j.Tasks.Pending+j.Tasks.Starting+j.Tasks.Running > 0 {
			work.Jobs[cluster.JobID{Team: cluster.TeamName(j.Team), Name: cluster.JobName(j.ID)}] = cluster.QueueName(j.Queue)
		}
	}
	return work
}

// applyNote handles POST /v1/notes.
func (d *Daemon) applyNote(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	req, ok := d.noteRequest(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	result, err := d.applier.Apply(ctx, req)
	if err != nil {
		writeNoteError(w, err)
		return
	}
	status := http.StatusCreated
	if result.Repeat {
		status = http.StatusOK
	}
	writeJSON(w, status, api.NoteStatus{
		Version: uint64(result.Version), ID: req.ID, Author: req.Author, Changes: changesOf(result.Plan),
	})
}

// tryNote handles POST /v1/notes/check and POST /v1/notes/plan.
func (d *Daemon) tryNote(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if action := p.ByName("action"); action != "check" && action != "plan" {
		refuse(w, http.StatusNotFound, "a note can be checked, planned or applied")
		return
	}
	req, ok := d.noteRequest(w, r)
	if !ok {
		return
	}
	result, err := d.notes.Preview().Apply(r.Context(), req)
	if err != nil {
		writeNoteError(w, err)
		return
	}
	plan := api.Plan{Base: uint64(result.Version) - 1, Changes: changesOf(result.Plan)}
	for _, job := range result.Plan.Stops() {
		plan.Warnings = append(plan.Warnings, "stops job "+job.String())
	}
	writeJSON(w, http.StatusOK, plan)
}

// noteRequest reads a note from a request, or writes the refusal.
func (d *Daemon) noteRequest(w http.ResponseWriter, r *http.Request) (note.Request, bool) {
	if !d.operator(w, r) {
		return note.Request{}, false
	}
	if !d.joined.Load() {
		writeProblem(w, api.Problem{Status: http.StatusServiceUnavailable, Detail: "the daemon has not joined the cell", Run: api.RunNo}, staleRetryAfter)
		return note.Request{}, false
	}
	text, ok := readBody(w, r, note.MaxText)
	if !ok {
		return note.Request{}, false
	}
	file := r.Header.Get(api.HeaderNoteFile)
	if file == "" {
		file = "note"
	}
	parsed, err := note.Parse(file, text)
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
		refuse(w, http.StatusBadRequest, "base must be the version of a note")
		return note.Request{}, false
	}
	return note.Request{ID: id, Author: r.Header.Get(api.HeaderAuthor), Note: parsed, Base: cluster.Version(base)}, true
}

func changesOf(plan *note.Plan) []api.Change {
	if plan == nil {
		return nil
	}
	changes := make([]api.Change, 0, len(plan.Effects))
	for _, e := range plan.Effects {
		changes = append(changes, api.Change{Action: string(e.Action), Entity: e.Entity.String(), Detail: e.Detail})
	}
	return changes
}

// listNotes handles GET /v1/notes; the query parameter before is the version to list down from.
func (d *Daemon) listNotes(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !d.operator(w, r) {
		return
	}
	before, _ := strconv.ParseUint(r.URL.Query().Get("before"), 10, 64)
	records, err := d.notes.History(r.Context(), cluster.Version(before), notesPage)
	if err != nil {
		writeNoteError(w, err)
		return
	}
	list := api.NoteList{Notes: make([]api.NoteStatus, 0, len(records))}
	for i := range records {
		list.Notes = append(list.Notes, noteStatus(&records[i]))
	}
	writeJSON(w, http.StatusOK, list)
}

// showNote handles GET /v1/notes/{version}.
func (d *Daemon) showNote(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if !d.operator(w, r) {
		return
	}
	version, err := strconv.ParseUint(p.ByName("version"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "the version of a note is a number")
		return
	}
	rec, text, err := d.notes.Show(r.Context(), cluster.Version(version))
	if err != nil {
		writeNoteError(w, err)
		return
	}
	status := noteStatus(&rec)
	status.Text = string(text)
	writeJSON(w, http.StatusOK, status)
}

func noteStatus(rec *note.Record) api.NoteStatus {
	status := api.NoteStatus{
		Version: uint64(rec.Version), ID: rec.ID, Author: rec.Author, Summary: rec.Summary, At: rec.Time.UTC(),
		Digest: hex.EncodeToString(rec.Digest[:]),
	}
	for _, e := range rec.Entities {
		status.Entities = append(status.Entities, e.String())
	}
	return status
}

// writeNoteError maps an error of note or rollout to a refusal.
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
	retry := time.Duration(0)
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
		p.Status, retry = http.StatusServiceUnavailable, storeRetryAfter
	case note.KindUnknown:
		p.Status, p.Run, retry = http.StatusGatewayTimeout, api.RunUnknown, storeRetryAfter
	default:
		p.Status = http.StatusUnprocessableEntity
	}
	writeProblem(w, p, retry)
}
