package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/clientlimit"
	"github.com/goldcrestshift/goldcrestshift/cluster/rack"
)

const (
	// maxJobBodyBytes limits the body of a submission or a cancellation.
	maxJobBodyBytes = 1 << 20
	// maxCancellations limits the jobs of one cancellation.
	maxCancellations = 10_000
	// submitTimeout limits how long a caller waits until a submission or a cancellation is committed.
	submitTimeout = 10 * time.Second
	// storeRetryAfter is the Retry-After delay sent to callers if the store is
	// unavailable or the outcome of a request is unknown.
	storeRetryAfter = 2 * time.Second
)

// submitJob handles POST /v1/queues/{queue}/jobs.
func (d *Daemon) submitJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	queue := cluster.QueueName(p.ByName("queue"))
	team, ok := d.authorize(w, r, queue)
	if !ok {
		return
	}
	var held clientlimit.Body
	defer d.clients.Bodies.Close(&held)
	body, ok := d.readBody(w, r, &held, maxJobBodyBytes)
	if !ok {
		return
	}
	var request api.JobRequest
	var err error
	if !d.decode(w, &held, body, func() { request, err = api.DecodeJobRequest(body) }) {
		return
	}
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	if request.Priority == "" {
		if q := d.rollout.Snapshot().Queues[queue]; q != nil {
			request.Priority = api.PriorityName(q.Priority)
		}
	}
	spec, err := request.Spec(team, queue)
	if err != nil {
		var invalid *api.Error
		errors.As(err, &invalid)
		writeRefusal(w, http.StatusUnprocessableEntity, "the job has invalid fields", invalid.Fields...)
		return
	}
	d.submit(w, r, spec)
}

// submit passes a job to the control loop, waits for the result and writes the response.
func (d *Daemon) submit(w http.ResponseWriter, r *http.Request, spec *cluster.JobSpec) {
	now := d.now()
	// The wait is longer than submitTimeout, so that a reply at the deadline of the event still arrives.
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout+time.Second)
	defer cancel()
	effect, replied := d.loop.request(ctx, func(token rack.Token) rack.Event {
		return &rack.Submit{Token: token, Spec: spec, SubmittedAt: now, Deadline: now.Add(submitTimeout)}
	})
	result, isResult := effect.(*rack.SubmitResult)
	if !replied || !isResult {
		writeProblem(w, api.Problem{
			Status: http.StatusGatewayTimeout, Run: api.RunUnknown,
			Detail: "the submission may have been recorded; repeat it with the same id",
		}, storeRetryAfter)
		return
	}
	status := api.JobStatus{
		ID: string(spec.ID.Name), Team: string(spec.ID.Team), Queue: string(spec.Queue),
		State: rack.JobActive.String(), Submitted: now.UTC().Truncate(time.Millisecond),
	}
	switch result.Outcome {
	case rack.Accepted:
		writeJSON(w, http.StatusCreated, status)
	case rack.Duplicate:
		d.writeJobStatus(w, r, spec.ID, http.StatusOK)
	default:
		writeOutcomeProblem(w, result.Outcome, result.Reason)
	}
}

// writeOutcomeProblem writes the problem for a submission or a cancellation that was not accepted.
func writeOutcomeProblem(w http.ResponseWriter, outcome rack.Outcome, reason string) {
	switch outcome {
	case rack.Refused:
		writeRefusal(w, http.StatusUnprocessableEntity, reason)
	case rack.NotFound:
		writeRefusal(w, http.StatusNotFound, "there is no such job")
	case rack.Unavailable:
		writeProblem(w, api.Problem{Status: http.StatusServiceUnavailable, Detail: reason, Run: api.RunNo}, storeRetryAfter)
	default:
		writeProblem(w, api.Problem{
			Status: http.StatusGatewayTimeout, Run: api.RunUnknown,
			Detail: "the request may have been recorded; repeat it with the same id",
		}, storeRetryAfter)
	}
}

// cancelJob handles DELETE /v1/queues/{queue}/jobs/{job}.
func (d *Daemon) cancelJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	team, ok := d.authorize(w, r, cluster.QueueName(p.ByName("queue")))
	if !ok {
		return
	}
	outcomes, ok := d.cancel(w, r, team, []string{p.ByName("job")})
	if !ok {
		return
	}
	if outcomes[0] != rack.Accepted && outcomes[0] != rack.Duplicate {
		writeOutcomeProblem(w, outcomes[0], "the store is not available")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// cancelJobs handles POST /v1/queues/{queue}/cancellations.
func (d *Daemon) cancelJobs(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	team, ok := d.authorize(w, r, cluster.QueueName(p.ByName("queue")))
	if !ok {
		return
	}
	var held clientlimit.Body
	defer d.clients.Bodies.Close(&held)
	body, ok := d.readBody(w, r, &held, maxJobBodyBytes)
	if !ok {
		return
	}
	var request api.Cancellation
	var err error
	if !d.decode(w, &held, body, func() { request, err = api.DecodeCancellation(body) }) {
		return
	}
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	if len(request.IDs) == 0 || len(request.IDs) > maxCancellations {
		writeRefusal(w, http.StatusUnprocessableEntity, "ids must have between 1 and 10000 entries")
		return
	}
	outcomes, ok := d.cancel(w, r, team, request.IDs)
	if !ok {
		return
	}
	results := make([]cancelResult, len(outcomes))
	for i, o := range outcomes {
		results[i] = cancelResult{ID: request.IDs[i], Outcome: o.String()}
	}
	writeJSON(w, http.StatusOK, cancelResults{Results: results})
}

type cancelResults struct {
	Results []cancelResult `json:"results"`
}

type cancelResult struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
}

// cancel cancels jobs of a team and returns one outcome per job. If the result
// is unknown, it writes a problem and returns false.
func (d *Daemon) cancel(w http.ResponseWriter, r *http.Request, team cluster.TeamName, ids []string) ([]rack.Outcome, bool) {
	jobs := make([]cluster.JobID, len(ids))
	for i, id := range ids {
		jobs[i] = cluster.JobID{Team: team, Name: cluster.JobName(id)}
	}
	// The wait is longer than submitTimeout, so that a reply at the deadline of the event still arrives.
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout+time.Second)
	defer cancel()
	deadline := d.now().Add(submitTimeout)
	effect, replied := d.loop.request(ctx, func(token rack.Token) rack.Event {
		return &rack.Cancel{Token: token, Jobs: jobs, Deadline: deadline}
	})
	result, isResult := effect.(*rack.CancelResult)
	if !replied || !isResult || len(result.Outcomes) != len(ids) {
		writeOutcomeProblem(w, rack.Unknown, "")
		return nil, false
	}
	return result.Outcomes, true
}

// showJob handles GET /v1/queues/{queue}/jobs/{job}.
func (d *Daemon) showJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	team, ok := d.authorize(w, r, cluster.QueueName(p.ByName("queue")))
	if !ok {
		return
	}
	d.writeJobStatus(w, r, cluster.JobID{Team: team, Name: cluster.JobName(p.ByName("job"))}, http.StatusOK)
}

// writeJobStatus writes the state of a job, merged from all daemons.
func (d *Daemon) writeJobStatus(w http.ResponseWriter, r *http.Request, id cluster.JobID, status int) {
	for _, job := range d.collectListings(r.Context()).jobs() {
		if job.Team == string(id.Team) && job.ID == string(id.Name) {
			writeJSON(w, status, job)
			return
		}
	}
	writeRefusal(w, http.StatusNotFound, "no daemon knows a job "+id.String())
}

// explainJob handles GET /v1/queues/{queue}/jobs/{job}/explain.
func (d *Daemon) explainJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	team, ok := d.authorize(w, r, cluster.QueueName(p.ByName("queue")))
	if !ok {
		return
	}
	id := cluster.JobID{Team: team, Name: cluster.JobName(p.ByName("job"))}
	for _, e := range d.collectListings(r.Context()).explanations() {
		if e.Job.Team == string(id.Team) && e.Job.ID == string(id.Name) {
			writeJSON(w, http.StatusOK, e)
			return
		}
	}
	writeRefusal(w, http.StatusNotFound, "no daemon knows a job "+id.String())
}
