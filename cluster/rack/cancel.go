package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// maxCancelsPerCommit bounds the jobs cancelled by one transaction.
	maxCancelsPerCommit = 100
	// maxCancelAttempts bounds the attempts to cancel a job whose row changes at the same time.
	maxCancelAttempts = 5
)

// cancelState is the state of the cancellations that are not complete; they are
// written together in one transaction.
type cancelState struct {
	// calls lists the calls that have not been answered.
	calls []*cancelCall
	// pending lists the jobs without an outcome, in the order of the calls.
	pending []*jobCancel
	byJob   map[cluster.JobID]*jobCancel
	// writeInFlight is set during a transaction, readInFlight while job rows are read.
	writeInFlight bool
	readInFlight  bool
	// notBefore is the earliest time of the next transaction; a failed one delays it.
	notBefore time.Time
}

// cancelCall is one call; it is answered when each of its jobs has an outcome.
type cancelCall struct {
	token    Token
	jobs     []cluster.JobID
	outcomes []Outcome
	// remaining counts the jobs without an outcome.
	remaining int
	deadline  time.Time
	answered  bool
	// internal calls come from the controller itself and get no CancelResult.
	internal bool
}

// jobCancel is a job to be cancelled for one or more calls.
type jobCancel struct {
	id cluster.JobID
	// attempts counts the transactions that failed.
	attempts int
	// rowRead is set once the row was read after the call: a job that is still not
	// known then does not exist.
	rowRead bool
	callers []cancelCaller
}

// cancelCaller is a call that waits for a job, and the job's index in the call.
type cancelCaller struct {
	call  *cancelCall
	index int
}

// addCancel queues the jobs of a call. While the table service is not available
// they get the outcome Unavailable at once.
func (c *Controller) addCancel(e *Cancel) {
	call := &cancelCall{
		token: e.Token, jobs: e.Jobs, outcomes: make([]Outcome, len(e.Jobs)), remaining: len(e.Jobs), deadline: e.Deadline,
		internal: e.internal,
	}
	if call.deadline.IsZero() {
		call.deadline = c.now.Add(defaultCallTimeout)
	}
	if c.cancellations.byJob == nil {
		c.cancellations.byJob = map[cluster.JobID]*jobCancel{}
	}
	c.cancellations.calls = append(c.cancellations.calls, call)
	for i, id := range e.Jobs {
		call.outcomes[i] = Unavailable
		if !c.storeUsable() {
			call.remaining--
			continue
		}
		target := c.cancellations.byJob[id]
		if target == nil {
			target = &jobCancel{id: id}
			c.cancellations.byJob[id] = target
			c.cancellations.pending = append(c.cancellations.pending, target)
		}
		target.callers = append(target.callers, cancelCaller{call, i})
	}
}

// processCancels writes the pending cancellations in one transaction and answers
// the calls that are complete or past their deadline.
func (c *Controller) processCancels() {
	c.writeCancels()
	expired := false
	kept := c.cancellations.calls[:0]
	for _, call := range c.cancellations.calls {
		if call.remaining > 0 && c.now.Before(call.deadline) {
			kept = append(kept, call)
			continue
		}
		call.answered = true
		expired = expired || call.remaining > 0
		if call.internal {
			continue
		}
		c.emit(&CancelResult{Token: call.token, Outcomes: call.outcomes})
	}
	clear(c.cancellations.calls[len(kept):])
	c.cancellations.calls = kept
	if expired {
		c.dropAnsweredCancels()
	}
}

// dropAnsweredCancels removes the jobs for which no call waits any more. Their calls were told that the jobs were not
// cancelled, or that this is not known if a transaction is in flight.
func (c *Controller) dropAnsweredCancels() {
	cs := &c.cancellations
	cs.pending = slices.DeleteFunc(cs.pending, func(target *jobCancel) bool {
		for _, caller := range target.callers {
			if !caller.call.answered {
				return false
			}
		}
		delete(cs.byJob, target.id)
		return true
	})
}

// writeCancels commits the cancellation of pending jobs that are active, reads
// the rows of unknown ones and finishes those that need no write.
func (c *Controller) writeCancels() {
	cs := &c.cancellations
	if cs.writeInFlight || cs.readInFlight || len(cs.pending) == 0 || c.now.Before(cs.notBefore) || !c.storeUsable() {
		return
	}
	var unknown []*jobCancel
	var batch []*jobCancel
	var change journal.Change
	var rows []platform.Row
	for _, target := range slices.Clone(cs.pending) {
		j := c.jobs[target.id]
		switch {
		case j == nil && !target.rowRead:
			unknown = append(unknown, target)
		case j == nil:
			c.finishCancel(target, NotFound)
		case !j.active():
			c.finishCancel(target, Duplicate)
		case j.cancelRequested:
			c.finishCancel(target, Accepted)
		case len(batch) < maxCancelsPerCommit && !j.writeInFlight:
			if row, ok := c.addCancelRow(j, &change); ok {
				batch = append(batch, target)
				rows = append(rows, row)
			}
		}
	}
	if len(unknown) > 0 {
		c.readCancelRows(unknown)
	}
	if len(batch) > 0 {
		c.commitCancels(batch, rows, change)
	}
}

// addCancelRow adds the cancellation of a job to a transaction and returns the new
// row; false if it does not encode.
func (c *Controller) addCancelRow(j *job, change *journal.Change) (platform.Row, bool) {
	next := *j
	next.cancelRequested = true
	value, err := next.encode()
	if err != nil {
		c.reportMalformedRow(jobKey(j.id), err)
		return platform.Row{}, false
	}
	key := jobKey(j.id)
	change.Checks = append(change.Checks, platform.Check{Key: key, Version: j.version})
	change.Puts = append(change.Puts, platform.Put{Key: key, Value: value})
	return platform.Row{Key: key, Value: value}, true
}

// commitCancels commits a batch of cancellations. Until the result is known the
// jobs have the outcome Unknown, which a call reports if its deadline passes in
// the meantime.
func (c *Controller) commitCancels(batch []*jobCancel, rows []platform.Row, change journal.Change) {
	cs := &c.cancellations
	cs.writeInFlight = true
	for _, target := range batch {
		c.setCancelOutcome(target, Unknown)
	}
	c.commit(change, func(version cluster.Version, err error) {
		cs.writeInFlight = false
		if err == nil {
			for i, target := range batch {
				rows[i].Version = version
				c.ingestRow(rows[i])
				c.notifyRackOwners(rows[i], target.id)
				c.finishCancel(target, Accepted)
			}
			return
		}
		cs.notBefore = c.now.Add(c.jitter(rowRetryDelay / 2))
		for _, target := range batch {
			c.setCancelOutcome(target, Unavailable)
			target.attempts++
			if !journal.IsKind(err, journal.KindConflict) || target.attempts >= maxCancelAttempts {
				outcome := Unavailable
				if journal.IsKind(err, journal.KindUnknown) {
					outcome = Unknown
				}
				c.finishCancel(target, outcome)
			}
		}
		if journal.IsKind(err, journal.KindConflict) {
			c.readCancelRows(batch)
		}
	})
}

// readCancelRows reads the rows of jobs that are not known here or have changed.
func (c *Controller) readCancelRows(batch []*jobCancel) {
	req := platform.ReadRequest{}
	for _, target := range batch {
		req.Keys = append(req.Keys, jobKey(target.id))
	}
	c.cancellations.readInFlight = true
	c.readRows(req, func(reply platform.ReadReply, err error) {
		c.cancellations.readInFlight = false
		if err != nil {
			for _, target := range batch {
				c.finishCancel(target, Unavailable)
			}
			return
		}
		for _, row := range reply.Rows {
			c.ingestRow(row)
		}
		for _, target := range batch {
			target.rowRead = true
		}
	})
}

// notifyRackOwners sends a job's row to the owners of its racks.
func (c *Controller) notifyRackOwners(row platform.Row, id cluster.JobID) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	notified := map[cluster.DaemonID]bool{}
	for _, rackID := range j.racks {
		if r := c.racks[rackID]; r != nil && !notified[r.owner] {
			notified[r.owner] = true
			c.send(r.owner, &peer.AssignNotice{Rack: rackID, Rows: []platform.Row{row}})
		}
	}
}

// setCancelOutcome sets the current outcome of a job in the calls that wait for it.
func (c *Controller) setCancelOutcome(target *jobCancel, outcome Outcome) {
	for _, caller := range target.callers {
		// The outcomes of an answered call were handed to the caller and must not change.
		if !caller.call.answered {
			caller.call.outcomes[caller.index] = outcome
		}
	}
}

// finishCancel sets the final outcome of a job in the calls that wait for it.
func (c *Controller) finishCancel(target *jobCancel, outcome Outcome) {
	cs := &c.cancellations
	if cs.byJob[target.id] != target {
		return
	}
	delete(cs.byJob, target.id)
	cs.pending = slices.DeleteFunc(cs.pending, func(other *jobCancel) bool { return other == target })
	for _, caller := range target.callers {
		if !caller.call.answered {
			caller.call.outcomes[caller.index] = outcome
			caller.call.remaining--
		}
	}
}
