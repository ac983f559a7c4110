package note

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// MakePlan returns what a note does to a configuration and to the work that runs under it.
func MakePlan(n *Note, current *cluster.Snapshot, running Running) *Plan {
	p := &Plan{}
	for _, e := range n.Add {
		p.Effects = append(p.Effects, Effect{Action: ActionAdd, Entity: cluster.Identify(e), Detail: describe(e)})
	}
	for _, c := range n.Change {
		p.Effects = append(p.Effects, changeEffect(c.Entity, find(current, cluster.Identify(c.Entity)), running))
	}
	for _, id := range n.Withdraw {
		p.Effects = append(p.Effects, withdrawEffect(id, running))
	}
	return p
}

// Stops returns every job that the plan stops or may stop in part, in order.
func (p *Plan) Stops() []cluster.JobID {
	var all []cluster.JobID
	for _, e := range p.Effects {
		all = append(all, e.Stops...)
	}
	slices.SortFunc(all, compareJobs)
	return slices.Compact(all)
}

// String formats the plan with one effect a line.
func (p *Plan) String() string {
	var b strings.Builder
	for _, e := range p.Effects {
		fmt.Fprintf(&b, "%s %s", e.Action, e.Entity)
		if e.Detail != "" {
			fmt.Fprintf(&b, ": %s", e.Detail)
		}
		if len(e.Stops) > 0 {
			fmt.Fprintf(&b, "; stops %d jobs", len(e.Stops))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func describe(e cluster.Entity) string {
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

func changeEffect(e, old cluster.Entity, running Running) Effect {
	effect := Effect{Action: ActionChange, Entity: cluster.Identify(e), Detail: describe(e)}
	switch v := e.(type) {
	case *cluster.Team:
		before, ok := old.(*cluster.Team)
		if !ok || before.Limit.Fits(v.Limit) {
			break
		}
		use := running.Use[v.Name]
		effect.Detail = fmt.Sprintf("limit lowered from %s to %s; %s runs now", before.Limit, v.Limit, use)
		if !use.Fits(v.Limit) {
			effect.Stops = jobsOf(running, func(id cluster.JobID, _ cluster.QueueName) bool { return id.Team == v.Name })
		}
	case *cluster.Key:
		before, ok := old.(*cluster.Key)
		if ok && before.Hash != v.Hash {
			effect.Detail += "; the old secret stops working"
		}
	case *cluster.JobSpec:
		effect.Stops = jobsOf(running, func(id cluster.JobID, _ cluster.QueueName) bool { return id == v.ID })
	}
	return effect
}

func withdrawEffect(id cluster.EntityID, running Running) Effect {
	effect := Effect{Action: ActionWithdraw, Entity: id}
	switch id.Kind {
	case cluster.KindTeam:
		effect.Stops = jobsOf(running, func(j cluster.JobID, _ cluster.QueueName) bool { return string(j.Team) == id.Name })
	case cluster.KindQueue:
		effect.Stops = jobsOf(running, func(_ cluster.JobID, q cluster.QueueName) bool { return string(q) == id.Name })
	case cluster.KindJob:
		effect.Stops = jobsOf(running, func(j cluster.JobID, _ cluster.QueueName) bool { return j.String() == id.Name })
	case cluster.KindKey:
		effect.Detail = "work under it is refused; running work goes on"
	case cluster.KindService:
		effect.Detail = "requests to it are refused"
	}
	return effect
}

func jobsOf(running Running, match func(cluster.JobID, cluster.QueueName) bool) []cluster.JobID {
	var jobs []cluster.JobID
	for id, queue := range running.Jobs {
		if match(id, queue) {
			jobs = append(jobs, id)
		}
	}
	slices.SortFunc(jobs, compareJobs)
	return jobs
}

func compareJobs(a, b cluster.JobID) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
}
