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
	// maxCancelAttempts bounds the repeats after a conflict with the end of a job.
	maxCancelAttempts = 5
)

// cancels are the cancellations under way, written together in one transaction.
type cancels struct {
	open      []*cancellation
	waiting   []*cancelJob
	byJob     map[cluster.JobID]*cancelJob
	writing   bool
	reading   bool
	notBefore time.Time
}

// cancellation is one call; it is answered when each of its jobs has an outcome.
type cancellation struct {
	token    Token
	jobs     []cluster.JobID
	outcomes []Outcome
	left     int
	deadline time.Time
	done     bool
	internal bool
}

// cancelJob is a job to be cancelled for one or more calls.
type cancelJob struct {
	id       cluster.JobID
	attempts int
	// looked says that the row was read after the call, so that a missing job is known to be missing.
	looked  bool
	callers []cancelCaller
}

type cancelCaller struct {
	of    *cancellation
	index int
}

func (c *Controller) addCancel(e *Cancel) {
	call := &cancellation{
		token: e.Token, jobs: e.Jobs, outcomes: make([]Outcome, len(e.Jobs)), left: len(e.Jobs), deadline: e.Deadline,
		internal: e.internal,
	}
	if call.deadline.IsZero() {
		call.deadline = c.now.Add(defaultDeadline)
	}
	if c.cancels.byJob == nil {
		c.cancels.byJob = map[cluster.JobID]*cancelJob{}
	}
	c.cancels.open = append(c.cancels.open, call)
	for i, id := range e.Jobs {
		call.outcomes[i] = Unavailable
		if !c.writable() {
			call.left--
			continue
		}
		w := c.cancels.byJob[id]
		if w == nil {
			w = &cancelJob{id: id}
			c.cancels.byJob[id] = w
			c.cancels.waiting = append(c.cancels.waiting, w)
		}
		w.callers = append(w.callers, cancelCaller{call, i})
	}
}

// cancel writes the waiting cancellations in one transaction and answers the calls that are complete.
func (c *Controller) cancel() {
	c.writeCancels()
	kept := c.cancels.open[:0]
	for _, call := range c.cancels.open {
		if call.left > 0 && c.now.Before(call.deadline) {
			kept = append(kept, call)
			continue
		}
		call.done = true
		if call.internal {
			continue
		}
		c.emit(&CancelResult{Token: call.token, Outcomes: call.outcomes})
	}
	clear(c.cancels.open[len(kept):])
	c.cancels.open = kept
}

func (c *Controller) writeCancels() {
	k := &c.cancels
	if k.writing || k.reading || len(k.waiting) == 0 || c.now.Before(k.notBefore) || !c.writable() {
		return
	}
	var unknown []*cancelJob
	var batch []*cancelJob
	var change journal.Change
	var rows []platform.Row
	for _, w := range slices.Clone(k.waiting) {
		j := c.jobs[w.id]
		switch {
		case j == nil && !w.looked:
			unknown = append(unknown, w)
		case j == nil:
			c.cancelled(w, NotFound)
		case !j.active():
			c.cancelled(w, Duplicate)
		case j.cancel:
			c.cancelled(w, Accepted)
		case len(batch) < maxCancelRows && !j.writing:
			if row, ok := c.cancelRow(j, &change); ok {
				batch = append(batch, w)
				rows = append(rows, row)
			}
		}
	}
	if len(unknown) > 0 {
		c.lookUp(unknown)
	}
	if len(batch) > 0 {
		c.commitCancels(batch, rows, change)
	}
}

func (c *Controller) cancelRow(j *job, change *journal.Change) (platform.Row, bool) {
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

func (c *Controller) commitCancels(batch []*cancelJob, rows []platform.Row, change journal.Change) {
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
				c.tellOwners(rows[i], w.id)
				c.cancelled(w, Accepted)
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
				c.cancelled(w, outcome)
			}
		}
		if journal.IsKind(err, journal.KindConflict) {
			c.lookUp(batch)
		}
	})
}

// lookUp reads the rows of jobs that are not known here or have changed.
func (c *Controller) lookUp(batch []*cancelJob) {
	req := platform.ReadRequest{}
	for _, w := range batch {
		req.Keys = append(req.Keys, jobKey(w.id))
	}
	c.cancels.reading = true
	c.read(req, func(reply platform.ReadReply, err error) {
		c.cancels.reading = false
		if err != nil {
			for _, w := range batch {
				c.cancelled(w, Unavailable)
			}
			return
		}
		for _, row := range reply.Rows {
			c.ingest(row)
		}
		for _, w := range batch {
			w.looked = true
		}
	})
}

// tellOwners sends a job's row to the owners of its racks.
func (c *Controller) tellOwners(row platform.Row, id cluster.JobID) {
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

func (c *Controller) setCancelOutcome(w *cancelJob, outcome Outcome) {
	for _, at := range w.callers {
		// The slice of an answered call belongs to the caller.
		if !at.of.done {
			at.of.outcomes[at.index] = outcome
		}
	}
}

// cancelled records the outcome for a job and for the calls that wait for it.
func (c *Controller) cancelled(w *cancelJob, outcome Outcome) {
	k := &c.cancels
	if k.byJob[w.id] != w {
		return
	}
	delete(k.byJob, w.id)
	k.waiting = slices.DeleteFunc(k.waiting, func(other *cancelJob) bool { return other == w })
	for _, at := range w.callers {
		if !at.of.done {
			at.of.outcomes[at.index] = outcome
			at.of.left--
		}
	}
}
