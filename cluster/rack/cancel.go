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
	// maxCancelRows bounds the jobs cancelled by one transaction.
	maxCancelRows = 100
	// maxCancelAttempts bounds the attempts to cancel a job whose row changes at the same time.
	maxCancelAttempts = 5
)

// cancelState is the state of the cancellations that are not complete; they are
// written together in one transaction.
type cancels struct {
	// open lists the calls without an answer.
	calls []*cancelCall
	// pending lists the jobs without an outcome, in the order of the calls.
	pending []*jobCancel
	byJob   map[cluster.JobID]*jobCancel
	// writing is set while a transaction is in flight, reading while job rows are read.
	writing   bool
	reading   bool
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
	done      bool
	// internal calls are not answered.
	internal bool
}

// jobCancel is a job to be cancelled for one or more calls.
type jobCancel struct {
	id       cluster.JobID
	attempts int
	// rowRead is set once the row was read after the call: a job that is still not
	// known then does not exist.
	rowRead bool
	callers []cancelCaller
}

// cancelCaller is the place of a job in a call.
type cancelCaller struct {
	call  *cancelCall
	index int
}

// addCancel queues the jobs of a call; without the table service they are
// answered as unavailable.
func (c *Controller) addCancel(e *Cancel) {
	call := &cancelCall{
		token: e.Token, jobs: e.Jobs, outcomes: make([]Outcome, len(e.Jobs)), remaining: len(e.Jobs), deadline: e.Deadline,
		internal: e.internal,
	}
	if call.deadline.IsZero() {
		call.deadline = c.now.Add(defaultCallTimeout)
	}
	if c.cancels.byJob == nil {
		c.cancels.byJob = map[cluster.JobID]*jobCancel{}
	}
	c.cancels.calls = append(c.cancels.calls, call)
	for i, id := range e.Jobs {
		call.outcomes[i] = Unavailable
		if !c.writable() {
			call.remaining--
			continue
		}
		w := c.cancels.byJob[id]
		if w == nil {
			w = &jobCancel{id: id}
			c.cancels.byJob[id] = w
			c.cancels.pending = append(c.cancels.pending, w)
		}
		w.callers = append(w.callers, cancelCaller{call, i})
	}
}

// processCancels writes the pending cancellations in one transaction and answers
// the calls that are complete or past their deadline.
func (c *Controller) cancel() {
	c.writeCancels()
	kept := c.cancels.calls[:0]
	for _, call := range c.cancels.calls {
		if call.remaining > 0 && c.now.Before(call.deadline) {
			kept = append(kept, call)
			continue
		}
		call.done = true
		if call.internal {
			continue
		}
		c.emit(&CancelResult{Token: call.token, Outcomes: call.outcomes})
	}
	clear(c.cancels.calls[len(kept):])
	c.cancels.calls = kept
}

// writeCancels commits the cancellation of pending jobs that are active, reads
// the rows of unknown ones and finishes those without need of a write.
func (c *Controller) writeCancels() {
	k := &c.cancels
	if k.writing || k.reading || len(k.pending) == 0 || c.now.Before(k.notBefore) || !c.writable() {
		return
	}
	var unknown []*jobCancel
	var batch []*jobCancel
	var change journal.Change
	var rows []platform.Row
	for _, w := range slices.Clone(k.pending) {
		j := c.jobs[w.id]
		switch {
		case j == nil && !w.rowRead:
			unknown = append(unknown, w)
		case j == nil:
			c.finishCancel(w, NotFound)
		case !j.active():
			c.finishCancel(w, Duplicate)
		case j.cancel:
			c.finishCancel(w, Accepted)
		case len(batch) < maxCancelRows && !j.writing:
			if row, ok := c.addCancelRow(j, &change); ok {
				batch = append(batch, w)
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
	next.cancel = true
	value, err := next.encode()
	if err != nil {
		c.malformed(jobKey(j.id), err)
		return platform.Row{}, false
	}
	key := jobKey(j.id)
	change.Checks = append(change.Checks, platform.Check{Key: key, Version: j.version})
	change.Puts = append(change.Puts, platform.Put{Key: key, Value: value})
	return platform.Row{Key: key, Value: value}, true
}

// commitCancels commits a batch of cancellations. While the result is not known
// the outcome of its jobs is Unknown, for calls whose deadline passes.
func (c *Controller) commitCancels(batch []*jobCancel, rows []platform.Row, change journal.Change) {
	k := &c.cancels
	k.writing = true
	for _, w := range batch {
		c.setCancelOutcome(w, Unknown)
	}
	c.commit(change, func(version cluster.Version, err error) {
		k.writing = false
		if err == nil {
			for i, w := range batch {
				rows[i].Version = version
				c.ingest(rows[i])
				c.notifyOwners(rows[i], w.id)
				c.finishCancel(w, Accepted)
			}
			return
		}
		k.notBefore = c.now.Add(c.jitter(claimDelay / 2))
		for _, w := range batch {
			c.setCancelOutcome(w, Unavailable)
			w.attempts++
			if !journal.IsKind(err, journal.KindConflict) || w.attempts >= maxCancelAttempts {
				outcome := Unavailable
				if journal.IsKind(err, journal.KindUnknown) {
					outcome = Unknown
				}
				c.finishCancel(w, outcome)
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
	for _, w := range batch {
		req.Keys = append(req.Keys, jobKey(w.id))
	}
	c.cancels.reading = true
	c.read(req, func(reply platform.ReadReply, err error) {
		c.cancels.reading = false
		if err != nil {
			for _, w := range batch {
				c.finishCancel(w, Unavailable)
			}
			return
		}
		for _, row := range reply.Rows {
			c.ingest(row)
		}
		for _, w := range batch {
			w.rowRead = true
		}
	})
}

// notifyOwners sends a job's row to the owners of its racks.
func (c *Controller) notifyOwners(row platform.Row, id cluster.JobID) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	told := map[cluster.DaemonID]bool{}
	for _, rackID := range j.racks {
		if r := c.racks[rackID]; r != nil && !told[r.owner] {
			told[r.owner] = true
			c.send(r.owner, &peer.AssignNotice{Rack: rackID, Rows: []platform.Row{row}})
		}
	}
}

// setCancelOutcome sets the outcome that a job has for now in the calls that wait for it.
func (c *Controller) setCancelOutcome(w *jobCancel, outcome Outcome) {
	for _, at := range w.callers {
		// The outcomes of an answered call were handed to the caller and must not change.
		if !at.call.done {
			at.call.outcomes[at.index] = outcome
		}
	}
}

// finishCancel sets the final outcome of a job in the calls that wait for it.
func (c *Controller) finishCancel(w *jobCancel, outcome Outcome) {
	k := &c.cancels
	if k.byJob[w.id] != w {
		return
	}
	delete(k.byJob, w.id)
	k.pending = slices.DeleteFunc(k.pending, func(other *jobCancel) bool { return other == w })
	for _, at := range w.callers {
		if !at.call.done {
			at.call.outcomes[at.index] = outcome
			at.call.remaining--
		}
	}
}
