package rack

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
)

// declareInterval is how often the declared jobs are compared with the recorded ones.
const declareInterval = time.Second

// declared is the state of the jobs that release notes declare.
type declared struct {
	next time.Time
	// changing holds the jobs with a transaction in flight.
	changing map[cluster.JobID]bool
}

// declareJobs submits declared jobs once, scales them when their declaration
// changes and stops them when it is withdrawn. Before a job has a home, the
// owner of one rack chosen by hash submits it.
func (c *Controller) declareJobs() {
	d := &c.declared
	if c.now.Before(d.next) || !c.writable() || c.config.Version == 0 || c.draining {
		return
	}
	d.next = c.now.Add(declareInterval)
	if d.changing == nil {
		d.changing = map[cluster.JobID]bool{}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.config.Jobs), compareJobs) {
		c.declareJob(c.config.Jobs[id])
	}
	var withdrawn []cluster.JobID
	for id, j := range c.jobs {
		if j.declared != 0 && j.declared <= c.config.Version && j.active() && !j.cancel && c.isHome(j) && c.config.Jobs[id] == nil {
			withdrawn = append(withdrawn, id)
		}
	}
	if len(withdrawn) > 0 {
		slices.SortFunc(withdrawn, compareJobs)
		c.cfg.Log.Info().Int("jobs", len(withdrawn)).Str("first", withdrawn[0].String()).Msg("rack: declared jobs were withdrawn")
		c.addCancel(&Cancel{Jobs: withdrawn, internal: true})
	}
}

func compareJobs(a, b cluster.JobID) int { return strings.Compare(a.String(), b.String()) }

func (c *Controller) declareJob(spec *cluster.JobSpec) {
	j := c.jobs[spec.ID]
	switch {
	case c.declared.changing[spec.ID] || c.submissions[spec.ID] != nil:
	case j == nil:
		if r := c.submitRack(spec.ID); r != nil && r.phase == phaseActive {
			if outcome, _ := c.admit(spec); outcome == Accepted {
				c.addToSubmit(&submission{spec: spec, declared: c.config.Version})
			}
		}
	case !c.isHome(j) || j.writing || j.declared == 0:
	case !j.active():
		if j.cancel {
			// The job was withdrawn and is declared again: its old row makes way at once.
			c.expiring = append(c.expiring, expiry{c.now, j.id})
		}
	case !j.cancel && !sameSpec(j.spec, spec):
		c.scale(j, spec)
	}
}

// submitRack returns the rack whose owner submits a declared job.
func (c *Controller) submitRack(id cluster.JobID) *rack {
	var best *rack
	var bestHash uint64
	for _, r := range c.rackOrder {
		if h := xxhash.Sum64String(string(r.id) + "\x00" + id.String()); best == nil || h > bestHash {
			best, bestHash = r, h
		}
	}
	return best
}

// scale puts a changed declaration in force: new tasks are added to racks, and
// owners drop the tasks whose index is no longer part of the job.
func (c *Controller) scale(j *job, spec *cluster.JobSpec) {
	before, _ := j.spec.TaskCount()
	after, size := spec.TaskCount()
	add := addition{
		job: j.id, tasks: map[cluster.RackID][]taskRow{},
		edit:  func(next *job) { next.spec, next.declared = spec, c.config.Version },
		valid: func(read *job) bool { return read.version == j.version || sameSpec(read.spec, j.spec) },
	}
	// Indexes below the highest ever used exist already, stopped, and are taken up again by their owners.
	known := c.knownTasks(j)
	for index := before; index < after; index++ {
		if known[index] {
			continue
		}
		sites := c.sites(size)
		if len(sites) == 0 {
			return
		}
		id := c.replicaSite(j, sites, add.tasks)
		add.tasks[id] = append(add.tasks[id], taskRow{Index: int32(index), Attempt: uint32(firstAttempt(j.submitted))})
	}
	c.declared.changing[j.id] = true
	add.done = func(_ cluster.Version, err error) {
		delete(c.declared.changing, j.id)
		if err == nil {
			c.cfg.Log.Info().Str("job", j.id.String()).Int("from", before).Int("to", after).Msg("rack: scaled a declared job")
		}
	}
	c.addTasks(add)
}

// knownTasks returns the indexes that some row of the job has.
func (c *Controller) knownTasks(j *job) map[int]bool {
	known := map[int]bool{}
	for _, id := range j.racks {
		if r := c.racks[id]; r != nil && r.assignments[j.id] != nil {
			for index := range r.assignments[j.id].byIndex {
				known[index] = true
			}
		}
		for _, tr := range c.remote[assignKey(id, j.id)].row.Tasks {
			known[int(tr.Index)] = true
		}
	}
	return known
}

// replicaSite returns the rack for one more replica, in the zone with the fewest.
func (c *Controller) replicaSite(j *job, sites []*site, added map[cluster.RackID][]taskRow) cluster.RackID {
	zones := map[cluster.Place]int{}
	for _, s := range sites {
		if s.rack.assignments[j.id] != nil {
			s.taken = len(s.rack.assignments[j.id].tasks)
		}
		s.taken += len(c.remote[assignKey(s.rack.id, j.id)].row.Tasks) + len(added[s.rack.id])
		zones[s.place] += s.taken
	}
	return spreadNext(sites, zones).rack.id
}

// applySpec brings the tasks of an owned rack in line with the number of tasks of their job.
func (c *Controller) applySpec(a *assignment, j *job) {
	n, _ := j.spec.TaskCount()
	for _, t := range a.tasks {
		switch {
		case t.index >= n && !t.state.Terminal() && !t.drop:
			t.drop = true
			c.stopTask(t)
		case t.index < n && t.drop:
			t.drop = false
			if t.state == cluster.TaskStopped {
				c.nextAttempt(t)
			}
		case t.index < n && t.state == cluster.TaskStopped && !j.cancel && c.isService(j.id):
			c.nextAttempt(t)
		}
	}
}

func sortRunning(tasks []placement.RunningTask) {
	slices.SortFunc(tasks, func(a, b placement.RunningTask) int {
		return strings.Compare(a.Attempt.String(), b.Attempt.String())
	})
}
