package rack

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

// View returns the listings for the HTTP API.
func (c *Controller) View() View {
	return View{Jobs: c.jobViews(), Workers: c.workerViews(), Teams: c.teamViews(), Racks: c.rackViews()}
}

// jobViews returns the listings of all known jobs, ordered by identifier.
func (c *Controller) jobViews() []JobView {
	jobs := c.sortedJobs()
	views := make([]JobView, len(jobs))
	for i, j := range jobs {
		views[i] = c.jobView(j)
	}
	return views
}

// Job returns the listing of one job.
func (c *Controller) Job(id cluster.JobID) (JobView, bool) {
	j := c.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	return c.jobView(j), true
}

// jobView returns the listing of a job, with the tasks on racks that are owned here.
func (c *Controller) jobView(j *job) JobView {
	v := JobView{
		ID: j.id, Queue: j.spec.Queue, Kind: workloadKind(j.spec), State: j.state, Priority: j.spec.Priority,
		SubmittedAt: j.submittedAt, HomeRack: j.homeRack,
	}
	for s, n := range j.taskCounts {
		if s < len(v.FinalCounts) {
			v.FinalCounts[s] += n
		}
	}
	if !j.active() {
		return v
	}
	for _, id := range j.racks {
		r := c.racks[id]
		if r == nil || r.assignments[j.id] == nil {
			continue
		}
		for _, t := range r.assignments[j.id].tasks {
			v.TaskCounts[t.state]++
		}
	}
	v.WaitReason = c.waitReason(j)
	return v
}

// workloadKind returns the name of a job's kind of workload.
func workloadKind(spec *cluster.JobSpec) string {
	switch spec.Workload.(type) {
	case *cluster.Service:
		return "service"
	case *cluster.Batch:
		return "batch"
	case *cluster.Gang:
		return "gang"
	}
	return ""
}

// Explain returns why a job's tasks are pending; false if the job is not known here.
func (c *Controller) Explain(id cluster.JobID) (string, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if !j.active() {
		return "the job has ended: " + j.state.String(), true
	}
	if reason := c.waitReason(j); reason != "" {
		return reason, true
	}
	return "no task of the job waits on the racks of this daemon", true
}

// waitReason returns why tasks of an active job are pending, rack by rack; empty if none are.
func (c *Controller) waitReason(j *job) string {
	if !c.fitsAnyWorker(c.declaredSize(j)) {
		return "a task is larger than every worker of the fleet: " + c.declaredSize(j).String()
	}
	if c.exceedsLimit(j) {
		return "the job is larger than the team's limit of " + c.teamLimit(j.id.Team).String()
	}
	var reasons []string
	for _, id := range j.racks {
		r := c.racks[id]
		if r == nil {
			continue
		}
		if r.phase == phaseNotOwned {
			if r.owner == "" || !c.isLive(r.owner) {
				reasons = append(reasons, fmt.Sprintf("rack %s: its owner is gone and nobody has taken it over yet", id))
			}
			continue
		}
		if a := r.assignments[j.id]; r.phase != phaseActive {
			reasons = append(reasons, fmt.Sprintf("rack %s: the takeover is %s", id, r.phase))
		} else if a != nil && a.pendingCount > 0 {
			reasons = append(reasons, fmt.Sprintf("rack %s: %d tasks wait: %s", id, a.pendingCount, c.rackWaitReason(r, a, j)))
		}
	}
	return strings.Join(reasons, "; ")
}

// rackWaitReason returns why the pending tasks of an assignment wait.
func (c *Controller) rackWaitReason(r *rack, a *assignment, j *job) string {
	if r.hasUnfencedWorkers {
		return "workers of the rack are not fenced yet and may still run them"
	}
	if !a.taskSize.IsZero() && !a.taskSize.Fits(c.availableGrant(r, j.id.Team)) {
		return fmt.Sprintf("the team's limit of %s leaves too little grant here: %s", c.teamLimit(j.id.Team), c.availableGrant(r, j.id.Team))
	}
	if a.waitReason != "" {
		return a.waitReason
	}
	return r.queue.State(a.id).String()
}

// workerViews returns the listings of the workers on owned racks.
func (c *Controller) workerViews() []WorkerView {
	var views []WorkerView
	for _, r := range c.sortedRacks {
		if r.phase == phaseNotOwned {
			continue
		}
		for _, w := range r.sortedWorkers {
			views = append(views, WorkerView{
				ID: w.id, Rack: r.id, Place: w.place, Capacity: w.capacity, Used: r.workerLoad(w), Tasks: len(w.tasks),
				ClosedReason: r.closedReason(w), Epoch: w.epoch,
			})
		}
	}
	return views
}

// teamViews returns the listings of the configured teams, summed over the active owned racks.
func (c *Controller) teamViews() []TeamView {
	names := map[cluster.TeamName]bool{}
	for name := range c.config.Teams {
		names[name] = true
	}
	var views []TeamView
	for _, name := range sortedTeamNames(names) {
		t := c.config.Teams[name]
		v := TeamView{Name: name, Share: t.Share, Limit: t.Limit}
		for _, r := range c.sortedRacks {
			if r.phase != phaseActive {
				continue
			}
			v.Running = v.Running.Add(r.usedBy(name))
			v.Grant = v.Grant.Add(c.effectiveGrant(r, name))
			for _, a := range r.assignmentList {
				if a.id.Team == name {
					v.Pending += a.pendingCount
				}
			}
		}
		views = append(views, v)
	}
	return views
}

// rackViews returns the listings of all known racks.
func (c *Controller) rackViews() []RackView {
	views := make([]RackView, 0, len(c.sortedRacks))
	for _, r := range c.sortedRacks {
		v := RackView{ID: r.id, Owner: r.owner, Epoch: r.epoch, Phase: r.phase.String(), Workers: len(r.sortedWorkers)}
		_, v.Free, _ = r.openCapacity()
		for _, a := range r.assignmentList {
			v.Pending += a.pendingCount
		}
		views = append(views, v)
	}
	return views
}

// Digest returns the free capacity of the owned racks for the next ping. A rack
// that is not fully fenced or is being handed over reports none, so that new
// jobs are assigned to other racks.
func (c *Controller) Digest() []peer.RackDigest {
	var digests []peer.RackDigest
	for _, r := range c.sortedRacks {
		if r.phase == phaseNotOwned || r.owner != c.cfg.Self {
			continue
		}
		d := peer.RackDigest{Rack: r.id}
		if r.phase == phaseActive && !r.hasUnfencedWorkers && !r.handingOver {
			_, d.Free, d.LargestFree = r.openCapacity()
		}
		for _, a := range r.assignmentList {
			d.Pending += a.pendingCount
		}
		digests = append(digests, d)
	}
	return slices.Clip(digests)
}

// OwnedRacks returns the number of racks that this daemon owns.
func (c *Controller) OwnedRacks() int {
	n := 0
	for _, r := range c.sortedRacks {
		if r.phase != phaseNotOwned {
			n++
		}
	}
	return n
}
