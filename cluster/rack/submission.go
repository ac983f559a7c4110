package rack

import (
	"bytes"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/record"
)

// defaultCallTimeout is how long a submission or cancellation without a deadline waits.
const defaultCallTimeout = 10 * time.Second

// submission is a submitted job whose rows have not been committed yet.
type submission struct {
	spec        *cluster.JobSpec
	submittedAt time.Time
	callers     []submitCaller
	// declaredVersion is the configuration version that declares the job; zero for jobs of callers.
	declaredVersion cluster.Version
	// commitInFlight is set during the transaction, readInFlight while the existing row is read.
	commitInFlight, readInFlight bool
	// done is set once all callers have been answered.
	done bool
	// attempts counts the transactions that failed with a conflict.
	attempts  int
	notBefore time.Time
}

// submitCaller is a Submit that waits for its SubmitResult.
type submitCaller struct {
	token    Token
	deadline time.Time
}

// addSubmission queues an admitted job or adds the caller to a pending submission of the same job.
func (c *Controller) addSubmission(e *Submit) {
	caller := submitCaller{e.Token, e.Deadline}
	if caller.deadline.IsZero() {
		caller.deadline = c.now.Add(defaultCallTimeout)
	}
	id := e.Spec.ID
	if s := c.submissions[id]; s != nil && !s.done && sameSpec(s.spec, e.Spec) {
		s.callers = append(s.callers, caller)
		return
	}
	outcome, reason := c.admit(e.Spec)
	if outcome != Accepted {
		c.emit(&SubmitResult{Token: e.Token, Job: id, Outcome: outcome, Reason: reason})
		return
	}
	if c.submissions[id] != nil {
		c.emit(&SubmitResult{Token: e.Token, Job: id, Outcome: Refused, Reason: "a job with this id and another specification is being submitted"})
		return
	}
	if !c.reserveMemory(e.Spec) {
		c.emit(&SubmitResult{Token: e.Token, Job: id, Outcome: Unavailable, Reason: "the accepted jobs take all memory for jobs, or the part of it that the team may use"})
		return
	}
	c.queueSubmission(&submission{spec: e.Spec, submittedAt: e.SubmittedAt, callers: []submitCaller{caller}})
}

// queueSubmission adds a submission to those that the next step commits.
func (c *Controller) queueSubmission(s *submission) {
	if s.submittedAt.IsZero() {
		s.submittedAt = c.now
	}
	c.submissions[s.spec.ID] = s
	c.submissionQueue = append(c.submissionQueue, s)
}

// sameSpec reports whether two specifications have the same encoding.
func sameSpec(a, b *cluster.JobSpec) bool {
	encodedA, errA := record.EncodeJob(a)
	encodedB, errB := record.EncodeJob(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// admit checks a job against the configuration and the known workers; the outcome is
// Accepted if it may be committed.
func (c *Controller) admit(spec *cluster.JobSpec) (Outcome, string) {
	if j := c.jobs[spec.ID]; j != nil {
		return c.resubmitOutcome(j.spec, spec)
	}
	n, size := spec.TaskCount()
	team, queue := c.config.Teams[spec.ID.Team], c.config.Queues[spec.Queue]
	switch {
	case c.draining:
		return Unavailable, "the daemon is shutting down"
	case team == nil:
		return Refused, "the team is not configured"
	case queue == nil:
		return Refused, "the queue is not configured"
	case queue.Team != "" && queue.Team != spec.ID.Team:
		return Refused, "the queue is for another team"
	case n <= 0 || size.Negative() || size.IsZero():
		return Refused, "a job needs at least one task of a positive size"
	case !size.Fits(team.Limit):
		return Refused, "a task is larger than the team's limit of " + team.Limit.String()
	case !c.fitsAnyWorker(size):
		return Refused, "a task is larger than every worker: " + size.String()
	case len(c.vms) == 0:
		return Unavailable, "no workers are known yet"
	case !c.storeUsable():
		return Unavailable, "the table service is down"
	}
	if _, gang := spec.Workload.(*cluster.Gang); gang && !size.Times(int64(n)).Fits(team.Limit) {
		return Refused, "all tasks together are larger than the team's limit of " + team.Limit.String()
	}
	return Accepted, ""
}

// resubmitOutcome returns the outcome of submitting spec when a job with its identifier already exists.
func (c *Controller) resubmitOutcome(old, spec *cluster.JobSpec) (Outcome, string) {
	if sameSpec(old, spec) {
		return Duplicate, ""
	}
	return Refused, "a job with this id and another specification exists"
}

// processSubmissions commits the pending submissions and answers callers whose deadline has passed.
func (c *Controller) processSubmissions() {
	kept := c.submissionQueue[:0]
	for _, s := range c.submissionQueue {
		c.answerExpiredCallers(s)
		idle := !s.commitInFlight && !s.readInFlight
		if idle && len(s.callers) == 0 && s.declaredVersion == 0 {
			// Each caller has been told that the job does not run, or that this is not known.
			s.done = true
		}
		if !s.done && idle && !c.now.Before(s.notBefore) {
			c.commitSubmission(s)
		}
		if s.done {
			delete(c.submissions, s.spec.ID)
			continue
		}
		kept = append(kept, s)
	}
	clear(c.submissionQueue[len(kept):])
	c.submissionQueue = kept
}

// answerExpiredCallers answers and removes the callers whose deadline has passed.
func (c *Controller) answerExpiredCallers(s *submission) {
	kept := s.callers[:0]
	for _, caller := range s.callers {
		if c.now.Before(caller.deadline) {
			kept = append(kept, caller)
			continue
		}
		outcome, reason := Unavailable, "the deadline has passed"
		if s.commitInFlight || s.readInFlight {
			outcome, reason = Unknown, "the table service did not answer in time"
		}
		c.emit(&SubmitResult{Token: caller.token, Job: s.spec.ID, Outcome: outcome, Reason: reason})
	}
	s.callers = kept
}

// finishSubmission answers all callers of a submission. If the job was accepted,
// the callers after the first one get Duplicate.
func (c *Controller) finishSubmission(s *submission, outcome Outcome, reason string) {
	s.done = true
	for i, caller := range s.callers {
		if i > 0 && outcome == Accepted {
			outcome = Duplicate
		}
		c.emit(&SubmitResult{Token: caller.token, Job: s.spec.ID, Outcome: outcome, Reason: reason})
	}
	s.callers = nil
}

// commitSubmission chooses racks and commits the job and its assignments.
func (c *Controller) commitSubmission(s *submission) {
	parts := c.distributeJob(s.spec)
	if len(parts) == 0 {
		c.finishSubmission(s, Unavailable, "no rack can take the job")
		return
	}
	j := &job{id: s.spec.ID, spec: s.spec, submittedAt: s.submittedAt, declaredVersion: s.declaredVersion, homeRack: parts[0].rack}
	for _, p := range parts {
		j.racks = append(j.racks, p.rack)
	}
	change, rows, err := newJobChange(j, parts)
	if err != nil {
		c.finishSubmission(s, Refused, err.Error())
		return
	}
	s.commitInFlight = true
	c.commit(change, func(version cluster.Version, err error) {
		s.commitInFlight = false
		switch {
		case err == nil:
			c.submissionCommitted(s, parts, rows, version)
		case journal.IsKind(err, journal.KindConflict):
			c.readExistingJob(s)
		case journal.IsKind(err, journal.KindUnavailable), journal.IsKind(err, journal.KindClosed):
			c.finishSubmission(s, Unavailable, "the table service is down")
		case journal.IsKind(err, journal.KindInvalid):
			c.finishSubmission(s, Refused, err.Error())
		default:
			c.finishSubmission(s, Unknown, "the table service did not answer in time")
		}
	})
}

// newJobChange returns the transaction that creates a job and the rows it
// writes: the job row first, then one assignment row per part.
func newJobChange(j *job, parts []jobPart) (journal.Change, []platform.Row, error) {
	var change journal.Change
	value, err := j.encode()
	if err != nil {
		return change, nil, err
	}
	rows := []platform.Row{{Key: jobKey(j.id), Value: value}}
	for _, p := range parts {
		value, err := encodeRow(&assignRow{SubmittedAt: j.submittedAt.UnixNano(), Tasks: newTaskRows(p.indexes, j.submittedAt)})
		if err != nil {
			return change, nil, err
		}
		rows = append(rows, platform.Row{Key: assignKey(p.rack, j.id), Value: value})
	}
	for _, row := range rows {
		change.Checks = append(change.Checks, platform.Check{Key: row.Key})
		change.Puts = append(change.Puts, platform.Put{Key: row.Key, Value: row.Value})
	}
	return change, rows, nil
}

// submissionCommitted answers the callers and notifies the owners of the racks.
func (c *Controller) submissionCommitted(s *submission, parts []jobPart, rows []platform.Row, version cluster.Version) {
	for i := range rows {
		rows[i].Version = version
		c.ingestRow(rows[i])
	}
	for i, p := range parts {
		if r := c.racks[p.rack]; r != nil {
			r.assignedSinceDigest = r.assignedSinceDigest.Add(p.size.Times(int64(len(p.indexes))))
			c.send(r.owner, &peer.AssignNotice{Rack: p.rack, Rows: []platform.Row{rows[0], rows[i+1]}})
		}
	}
	c.cfg.Log.Info().Str("job", s.spec.ID.String()).Str("home", string(parts[0].rack)).Int("racks", len(parts)).
		Msg("rack: accepted a job")
	c.cfg.Metrics.Counter("rack_jobs_accepted").Inc(1)
	c.finishSubmission(s, Accepted, "")
}

// readExistingJob reads the job's row after a conflict to find out whether the job exists already.
func (c *Controller) readExistingJob(s *submission) {
	s.readInFlight = true
	s.attempts++
	c.readRows(platform.ReadRequest{Keys: []string{jobKey(s.spec.ID)}}, func(reply platform.ReadReply, err error) {
		s.readInFlight = false
		if err != nil {
			// The conflict shows that a row exists, so an earlier submission may have been accepted.
			c.finishSubmission(s, Unknown, "the table service did not answer in time")
			return
		}
		for _, row := range reply.Rows {
			c.ingestRow(row)
		}
		if j := c.jobs[s.spec.ID]; j != nil {
			outcome, reason := c.resubmitOutcome(j.spec, s.spec)
			c.finishSubmission(s, outcome, reason)
			return
		}
		// The job's row was deleted in the meantime, or an assignment row of an
		// earlier job still exists: the commit is tried again.
		if s.attempts >= 3 {
			c.finishSubmission(s, Unavailable, "rows of an earlier job with this id are still being deleted")
		}
	})
}
