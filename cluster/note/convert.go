package note

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (p *noteParser) convert(w *noteYAML) {
	p.check("summary", w.Summary != "", "is missing")
	p.note.Summary = w.Summary
	p.convertAdd(&w.Add)
	p.convertChange(&w.Change)
	p.convertWithdraw(&w.Withdraw)
	if len(p.problems) == 0 && len(p.note.at) == 0 {
		p.fail(1, "", errors.New("the note adds, changes and withdraws nothing"))
	}
}

func (p *noteParser) check(field string, ok bool, format string, args ...any) {
	if !ok {
		p.fail(p.lineOf(field), field, fmt.Errorf(format, args...))
	}
}

// value records the error of a conversion and passes its value on.
func value[T any](p *noteParser, field string, v T, err error) T {
	if err != nil {
		p.fail(p.lineOf(field), field, err)
	}
	return v
}

func (p *noteParser) name(field, s string) string {
	return value(p, field, s, api.CheckName(s))
}

// place records where an entity is named; each entity may be named once.
func (p *noteParser) place(id cluster.EntityID, field string) {
	if first, ok := p.note.at[id]; ok {
		p.check(field, false, "%s is named already on line %d", id, first.line)
		return
	}
	p.note.at[id] = position{p.lineOf(field), field}
}

func at(group string, i int) string { return fmt.Sprintf("%s[%d]", group, i) }

func (p *noteParser) convertAdd(w *groupYAML) {
	p.convertGroup("add", w, func(e cluster.Entity, expect uint64, field string) {
		p.check(field+".expect", expect == 0, "is allowed only under change")
		p.place(cluster.Identify(e), field)
		p.note.Add = append(p.note.Add, e)
	})
}

func (p *noteParser) convertChange(w *groupYAML) {
	p.convertGroup("change", w, func(e cluster.Entity, expect uint64, field string) {
		p.place(cluster.Identify(e), field)
		p.note.Change = append(p.note.Change, Change{Entity: e, Expect: cluster.Version(expect)})
	})
}

func (p *noteParser) convertGroup(group string, w *groupYAML, take func(e cluster.Entity, expect uint64, field string)) {
	for i := range w.Teams {
		field := at(group+".teams", i)
		take(p.team(field, &w.Teams[i]), w.Teams[i].Expect, field)
	}
	for i := range w.Keys {
		field := at(group+".keys", i)
		take(p.key(field, &w.Keys[i]), w.Keys[i].Expect, field)
	}
	for i := range w.Queues {
		field := at(group+".queues", i)
		take(p.queue(field, &w.Queues[i]), w.Queues[i].Expect, field)
	}
	for i := range w.Services {
		field := at(group+".services", i)
		take(p.service(field, &w.Services[i]), w.Services[i].Expect, field)
	}
	for i := range w.Jobs {
		field := at(group+".jobs", i)
		take(p.job(field, &w.Jobs[i]), w.Jobs[i].Expect, field)
	}
}

func (p *noteParser) convertWithdraw(w *namesYAML) {
	withdraw := func(kind cluster.EntityKind, group string, names []string) {
		for i, name := range names {
			field := at("withdraw."+group, i)
			if kind == cluster.KindJob {
				team, job, _ := strings.Cut(name, "/")
				p.check(field, api.CheckName(team) == nil && api.CheckName(job) == nil, "%q is not of the form team/id", name)
			} else {
				p.name(field, name)
			}
			id := cluster.EntityID{Kind: kind, Name: name}
			p.place(id, field)
			p.note.Withdraw = append(p.note.Withdraw, id)
		}
	}
	withdraw(cluster.KindTeam, "teams", w.Teams)
	withdraw(cluster.KindKey, "keys", w.Keys)
	withdraw(cluster.KindQueue, "queues", w.Queues)
	withdraw(cluster.KindService, "services", w.Services)
	withdraw(cluster.KindJob, "jobs", w.Jobs)
}

func (p *noteParser) team(field string, w *teamYAML) *cluster.Team {
	p.check(field+".share", w.Share >= 1 && w.Share <= maxShare, "%d is not between 1 and %d", w.Share, maxShare)
	p.check(field+".maxRequests", w.MaxRequests >= 0, "%d is negative", w.MaxRequests)
	limit := p.resources(field+".limit", w.Limit.CPUs, w.Limit.Memory, w.Limit.Accelerators)
	return &cluster.Team{
		Name: cluster.TeamName(p.name(field+".name", w.Name)), Share: w.Share, Limit: limit, MaxRequests: w.MaxRequests,
	}
}

func (p *noteParser) resources(field string, cpus float64, memory string, accelerators int64) cluster.Resources {
	cpu, err := parseCPUs(cpus)
	r := cluster.Resources{CPU: value(p, field+".cpus", cpu, err), Accelerators: accelerators}
	bytes, err := parseBytes(memory)
	r.Memory = value(p, field+".memory", bytes, err)
	p.check(field+".accelerators", accelerators >= 0 && accelerators <= maxAccelerators, "%d is not between 0 and %d", accelerators, maxAccelerators)
	return r
}

func (p *noteParser) key(field string, w *keyYAML) *cluster.Key {
	hash, err := parseHash(w.Hash)
	return &cluster.Key{
		Name: cluster.KeyName(p.name(field+".name", w.Name)),
		Team: cluster.TeamName(p.name(field+".team", w.Team)),
		Hash: value(p, field+".hash", hash, err),
	}
}

func (p *noteParser) queue(field string, w *queueYAML) *cluster.Queue {
	q := &cluster.Queue{Name: cluster.QueueName(p.name(field+".name", w.Name)), Open: w.Open}
	if w.Team != "" {
		q.Team = cluster.TeamName(p.name(field+".team", w.Team))
	}
	p.check(field+".team", !w.Open || w.Team != "", "is missing; an open queue must name the team that its work runs for")
	priority, err := api.ParsePriority(w.Priority)
	q.Priority = value(p, field+".priority", priority, err)
	wait, err := parseDuration(w.MaxWait)
	q.MaxWait = value(p, field+".maxWait", wait, err)
	return q
}

func (p *noteParser) service(field string, w *serviceYAML) *cluster.ServiceRoute {
	s := &cluster.ServiceRoute{
		Name:  cluster.ServiceName(p.name(field+".name", w.Name)),
		Queue: cluster.QueueName(p.name(field+".queue", w.Queue)),
	}
	timeout, err := parseDuration(w.Timeout)
	if err == nil && timeout == 0 {
		err = errMissing
	}
	s.Timeout = value(p, field+".timeout", timeout, err)
	answer, err := parseBytes(w.MaxAnswer)
	s.MaxAnswer = value(p, field+".maxAnswer", answer, err)
	body, err := parseBytes(w.MaxBody)
	s.MaxBody = value(p, field+".maxBody", body, err)
	return s
}

func (p *noteParser) job(field string, w *jobYAML) *cluster.JobSpec {
	s := &cluster.JobSpec{
		ID: cluster.JobID{
			Team: cluster.TeamName(p.name(field+".team", w.Team)),
			Name: cluster.JobName(p.name(field+".id", w.ID)),
		},
		Queue:      cluster.QueueName(p.name(field+".queue", w.Queue)),
		Idempotent: w.Idempotent, Checkpoints: w.Checkpoints, MaxAttempts: w.MaxAttempts, Command: w.Command,
	}
	p.check(field+".api.MaxAttempts", w.MaxAttempts >= 0 && w.MaxAttempts <= api.MaxAttempts, "%d is not between 0 and %d", w.MaxAttempts, api.MaxAttempts)
	length := 0
	for _, word := range w.Command {
		length += len(word)
	}
	p.check(field+".command", length <= maxCommand, "has %d bytes; at most %d are allowed", length, maxCommand)
	priority, err := api.ParsePriority(w.Priority)
	s.Priority = value(p, field+".priority", priority, err)
	if w.Deadline != "" {
		deadline, err := time.Parse(time.RFC3339, w.Deadline)
		s.Deadline = value(p, field+".deadline", deadline.UTC(), err)
	}
	s.Workload = p.workload(field, w)
	return s
}

func (p *noteParser) workload(field string, w *jobYAML) cluster.Workload {
	err := checkRange(w.Tasks, 1, api.MaxTasks)
	tasks := value(p, field+".tasks", w.Tasks, err)
	size := p.resources(field, w.CPUs, w.Memory, w.Accelerators)
	p.check(field+".cpus", size.CPU > 0, "must be above 0")
	runTime, err := parseDuration(w.RunTime)
	runTime = value(p, field+".runTime", runTime, err)
	switch w.Workload {
	case "service":
		p.check(field+".runTime", w.RunTime == "", "a service has no run time")
		return &cluster.Service{Replicas: tasks, Size: size}
	case "batch":
		p.check(field+".runTime", w.RunTime != "", "is missing")
		return &cluster.Batch{Tasks: tasks, Size: size, RunTime: runTime}
	case "gang":
		p.check(field+".runTime", w.RunTime != "", "is missing")
		return &cluster.Gang{Tasks: tasks, Size: size, RunTime: runTime}
	}
	p.check(field+".workload", false, "%q is not one of service, batch, gang", w.Workload)
	return nil
}
