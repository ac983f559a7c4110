package note

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// NewPlan returns the effects of a note on the current configuration and on the
// running work.
func NewPlan(n *Note, current *cluster.Snapshot, running RunningWork) *Plan {
	p := &Plan{}
	for _, e := range n.Add {
		p.Effects = append(p.Effects, Effect{Action: ActionAdd, Entity: cluster.Identify(e), Detail: describeEntity(e)})
	}
	for _, c := range n.Change {
		p.Effects = append(p.Effects, changeEffect(c.Entity, findEntity(current, cluster.Identify(c.Entity)), running))
	}
	for _, id := range n.Withdraw {
		p.Effects = append(p.Effects, withdrawEffect(id, running))
	}
	return p
}

// StoppedJobs returns the jobs of which the plan stops all tasks or may stop
// some, sorted by team and name.
func (p *Plan) StoppedJobs() []cluster.JobID {
	var jobs []cluster.JobID
	for _, e := range p.Effects {
		jobs = append(jobs, e.StoppedJobs...)
	}
	slices.SortFunc(jobs, compareJobs)
	return slices.Compact(jobs)
}

// String formats the plan with one effect per line.
func (p *Plan) String() string {
	var b strings.Builder
	for _, e := range p.Effects {
		fmt.Fprintf(&b, "%s %s", e.Action, e.Entity)
		if e.Detail != "" {
			fmt.Fprintf(&b, ": %s", e.Detail)
		}
		if len(e.StoppedJobs) > 0 {
			fmt.Fprintf(&b, "; stops %d jobs", len(e.StoppedJobs))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// describeEntity returns the main settings of an entity in words.
func describeEntity(e cluster.Entity) string {
	switch v := e.(type) {
	case *cluster.Team:
		return fmt.Sprintf("share %d, limit %s", v.Share, v.Limit)
	case *cluster.Key:
		return fmt.Sprintf("for team %s", v.Team)
	case *cluster.Queue:
		if v.Open {
			return fmt.Sprintf("open, for team %s", v.Team)
		}
	case *cluster.ServiceRoute:
		return fmt.Sprintf("on queue %s, timeout %s", v.Queue, v.Timeout)
	case *cluster.JobSpec:
		tasks, size := v.TaskCount()
		return fmt.Sprintf("%d tasks of %s on queue %s", tasks, size, v.Queue)
	}
	return ""
}

// changeEffect returns the effect of replacing oldEntity by e. Lowering a team's
// limit below its usage may stop any job of the team; changing a job stops it.
func changeEffect(e, oldEntity cluster.Entity, running RunningWork) Effect {
	effect := Effect{Action: ActionChange, Entity: cluster.Identify(e), Detail: describeEntity(e)}
	switch v := e.(type) {
	case *cluster.Team:
		oldTeam, ok := oldEntity.(*cluster.Team)
		if !ok || oldTeam.Limit.Fits(v.Limit) {
			break
		}
		usage := running.Usage[v.Name]
		effect.Detail = fmt.Sprintf("limit lowered from %s to %s; %s runs now", oldTeam.Limit, v.Limit, usage)
		if !usage.Fits(v.Limit) {
			effect.StoppedJobs = matchingJobs(running, func(id cluster.JobID, _ cluster.QueueName) bool { return id.Team == v.Name })
		}
	case *cluster.Key:
		oldKey, ok := oldEntity.(*cluster.Key)
		if ok && oldKey.Hash != v.Hash {
			effect.Detail += "; the old secret stops working"
		}
	case *cluster.JobSpec:
		effect.StoppedJobs = matchingJobs(running, func(id cluster.JobID, _ cluster.QueueName) bool { return id == v.ID })
	}
	return effect
}

// withdrawEffect returns the effect of withdrawing an entity. Withdrawing a team
// or a queue stops its jobs.
func withdrawEffect(id cluster.EntityID, running RunningWork) Effect {
	effect := Effect{Action: ActionWithdraw, Entity: id}
	switch id.Kind {
	case cluster.KindTeam:
		effect.StoppedJobs = matchingJobs(running, func(j cluster.JobID, _ cluster.QueueName) bool { return string(j.Team) == id.Name })
	case cluster.KindQueue:
		effect.StoppedJobs = matchingJobs(running, func(_ cluster.JobID, q cluster.QueueName) bool { return string(q) == id.Name })
	case cluster.KindJob:
		effect.StoppedJobs = matchingJobs(running, func(j cluster.JobID, _ cluster.QueueName) bool { return j.String() == id.Name })
	case cluster.KindKey:
		effect.Detail = "work under it is refused; running work goes on"
	case cluster.KindService:
		effect.Detail = "requests to it are refused"
	}
	return effect
}

// matchingJobs returns the running jobs that match accepts, sorted by team and name.
func matchingJobs(running RunningWork, match func(cluster.JobID, cluster.QueueName) bool) []cluster.JobID {
	var jobs []cluster.JobID
	for id, queue := range running.Jobs {
		if match(id, queue) {
			jobs = append(jobs, id)
		}
	}
	slices.SortFunc(jobs, compareJobs)
	return jobs
}

// compareJobs orders jobs by team and name.
func compareJobs(a, b cluster.JobID) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
}
