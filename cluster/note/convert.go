package note

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// convert fills the note from its decoded YAML form and records all problems.
func (p *noteParser) convert(in *noteYAML) {
	p.check("summary", in.Summary != "", "is missing")
	p.note.Summary = in.Summary
	p.convertAdd(&in.Add)
	p.convertChange(&in.Change)
	p.convertWithdraw(&in.Withdraw)
	if len(p.problems) == 0 && len(p.note.positions) == 0 {
		p.addProblem(1, "", errors.New("the note adds, changes and withdraws nothing"))
	}
}

// check records a problem with the field unless ok is true.
func (p *noteParser) check(field string, ok bool, format string, args ...any) {
	if !ok {
		p.addProblem(p.lineOf(field), field, fmt.Errorf(format, args...))
	}
}

// checkedValue returns v; if err is not nil, it records err as a problem with the field.
func checkedValue[T any](p *noteParser, field string, v T, err error) T {
	if err != nil {
		p.addProblem(p.lineOf(field), field, err)
	}
	return v
}

// checkedName returns s and records a problem if it is not a valid name.
func (p *noteParser) checkedName(field, s string) string {
	return checkedValue(p, field, s, api.CheckName(s))
}

// addPosition records the position of an entity, and a problem if the note
// contains the entity twice.
func (p *noteParser) addPosition(id cluster.EntityID, field string) {
	if first, ok := p.note.positions[id]; ok {
		p.check(field, false, "%s is named already on line %d", id, first.line)
		return
	}
	p.note.positions[id] = position{p.lineOf(field), field}
}

// elementPath returns the path of a list element, such as add.teams[0].
func elementPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func (p *noteParser) convertAdd(in *entitiesYAML) {
	p.convertSection("add", in, func(e cluster.Entity, expect uint64, field string) {
		p.check(field+".expect", expect == 0, "is allowed only under change")
		p.addPosition(cluster.Identify(e), field)
		p.note.Add = append(p.note.Add, e)
	})
}

func (p *noteParser) convertChange(in *entitiesYAML) {
	p.convertSection("change", in, func(e cluster.Entity, expect uint64, field string) {
		p.addPosition(cluster.Identify(e), field)
		p.note.Change = append(p.note.Change, Change{Entity: e, Expect: cluster.Version(expect)})
	})
}

// convertSection converts all entities of a section (add or change) and passes
// them to add.
func (p *noteParser) convertSection(section string, in *entitiesYAML, add func(e cluster.Entity, expect uint64, field string)) {
	for i := range in.Teams {
		field := elementPath(section+".teams", i)
		add(p.convertTeam(field, &in.Teams[i]), in.Teams[i].Expect, field)
	}
	for i := range in.Keys {
		field := elementPath(section+".keys", i)
		add(p.convertKey(field, &in.Keys[i]), in.Keys[i].Expect, field)
	}
	for i := range in.Queues {
		field := elementPath(section+".queues", i)
		add(p.convertQueue(field, &in.Queues[i]), in.Queues[i].Expect, field)
	}
	for i := range in.Services {
		field := elementPath(section+".services", i)
		add(p.convertService(field, &in.Services[i]), in.Services[i].Expect, field)
	}
	for i := range in.Jobs {
		field := elementPath(section+".jobs", i)
		add(p.convertJob(field, &in.Jobs[i]), in.Jobs[i].Expect, field)
	}
}

func (p *noteParser) convertWithdraw(in *namesYAML) {
	withdraw := func(kind cluster.EntityKind, list string, names []string) {
		for i, name := range names {
			field := elementPath("withdraw."+list, i)
			if kind == cluster.KindJob {
				team, job, _ := strings.Cut(name, "/")
				p.check(field, api.CheckName(team) == nil && api.CheckName(job) == nil, "%q is not of the form team/id", name)
			} else {
				p.checkedName(field, name)
			}
			id := cluster.EntityID{Kind: kind, Name: name}
			p.addPosition(id, field)
			p.note.Withdraw = append(p.note.Withdraw, id)
		}
	}
	withdraw(cluster.KindTeam, "teams", in.Teams)
	withdraw(cluster.KindKey, "keys", in.Keys)
	withdraw(cluster.KindQueue, "queues", in.Queues)
	withdraw(cluster.KindService, "services", in.Services)
	withdraw(cluster.KindJob, "jobs", in.Jobs)
}

func (p *noteParser) convertTeam(field string, in *teamYAML) *cluster.Team {
	p.check(field+".share", in.Share >= 1 && in.Share <= maxShare, "%d is not between 1 and %d", in.Share, maxShare)
	p.check(field+".maxRequests", in.MaxRequests >= 0, "%d is negative", in.MaxRequests)
	limit := p.convertResources(field+".limit", in.Limit.CPUs, in.Limit.Memory, in.Limit.Accelerators)
	return &cluster.Team{
		Name: cluster.TeamName(p.checkedName(field+".name", in.Name)), Share: in.Share, Limit: limit, MaxRequests: in.MaxRequests,
	}
}

// convertResources converts a task size or a limit; field is the path of the
// enclosing mapping.
func (p *noteParser) convertResources(field string, cpus float64, memory string, accelerators int64) cluster.Resources {
	cpu, err := parseCPUs(cpus)
	r := cluster.Resources{CPU: checkedValue(p, field+".cpus", cpu, err), Accelerators: accelerators}
	bytes, err := parseBytes(memory)
	r.Memory = checkedValue(p, field+".memory", bytes, err)
	p.check(field+".accelerators", accelerators >= 0 && accelerators <= maxAccelerators, "%d is not between 0 and %d", accelerators, maxAccelerators)
	return r
}

func (p *noteParser) convertKey(field string, in *keyYAML) *cluster.Key {
	hash, err := parseHash(in.Hash)
	return &cluster.Key{
		Name: cluster.KeyName(p.checkedName(field+".name", in.Name)),
		Team: cluster.TeamName(p.checkedName(field+".team", in.Team)),
		Hash: checkedValue(p, field+".hash", hash, err),
	}
}

func (p *noteParser) convertQueue(field string, in *queueYAML) *cluster.Queue {
	q := &cluster.Queue{Name: cluster.QueueName(p.checkedName(field+".name", in.Name)), Open: in.Open}
	if in.Team != "" {
		q.Team = cluster.TeamName(p.checkedName(field+".team", in.Team))
	}
	p.check(field+".team", !in.Open || in.Team != "", "is missing; an open queue must name the team that its work runs for")
	priority, err := api.ParsePriority(in.Priority)
	q.Priority = checkedValue(p, field+".priority", priority, err)
	maxWait, err := parseDuration(in.MaxWait)
	q.MaxWait = checkedValue(p, field+".maxWait", maxWait, err)
	return q
}

func (p *noteParser) convertService(field string, in *serviceYAML) *cluster.ServiceRoute {
	s := &cluster.ServiceRoute{
		Name:  cluster.ServiceName(p.checkedName(field+".name", in.Name)),
		Queue: cluster.QueueName(p.checkedName(field+".queue", in.Queue)),
	}
	timeout, err := parseDuration(in.Timeout)
	if err == nil && timeout == 0 {
		err = errMissing
	}
	s.Timeout = checkedValue(p, field+".timeout", timeout, err)
	maxAnswer, err := parseBytes(in.MaxAnswer)
	s.MaxAnswer = checkedValue(p, field+".maxAnswer", maxAnswer, err)
	maxBody, err := parseBytes(in.MaxBody)
	s.MaxBody = checkedValue(p, field+".maxBody", maxBody, err)
	return s
}

func (p *noteParser) convertJob(field string, in *jobYAML) *cluster.JobSpec {
	s := &cluster.JobSpec{
		ID: cluster.JobID{
			Team: cluster.TeamName(p.checkedName(field+".team", in.Team)),
			Name: cluster.JobName(p.checkedName(field+".id", in.ID)),
		},
		Queue:      cluster.QueueName(p.checkedName(field+".queue", in.Queue)),
		Idempotent: in.Idempotent, Checkpoints: in.Checkpoints, MaxAttempts: in.MaxAttempts, Command: in.Command,
	}
	p.check(field+".api.MaxAttempts", in.MaxAttempts >= 0 && in.MaxAttempts <= api.MaxAttempts, "%d is not between 0 and %d", in.MaxAttempts, api.MaxAttempts)
	length := 0
	for _, arg := range in.Command {
		length += len(arg)
	}
	p.check(field+".command", length <= maxCommandBytes, "has %d bytes; at most %d are allowed", length, maxCommandBytes)
	priority, err := api.ParsePriority(in.Priority)
	s.Priority = checkedValue(p, field+".priority", priority, err)
	if in.Deadline != "" {
		deadline, err := time.Parse(time.RFC3339, in.Deadline)
		s.Deadline = checkedValue(p, field+".deadline", deadline.UTC(), err)
	}
	s.Workload = p.convertWorkload(field, in)
	return s
}

func (p *noteParser) convertWorkload(field string, in *jobYAML) cluster.Workload {
	err := checkRange(in.Tasks, 1, api.MaxTasks)
	tasks := checkedValue(p, field+".tasks", in.Tasks, err)
	size := p.convertResources(field, in.CPUs, in.Memory, in.Accelerators)
	p.check(field+".cpus", size.CPU > 0, "must be above 0")
	runTime, err := parseDuration(in.RunTime)
	runTime = checkedValue(p, field+".runTime", runTime, err)
	switch in.Workload {
	case "service":
		p.check(field+".runTime", in.RunTime == "", "a service has no run time")
		return &cluster.Service{Replicas: tasks, Size: size}
	case "batch":
		p.check(field+".runTime", in.RunTime != "", "is missing")
		return &cluster.Batch{Tasks: tasks, Size: size, RunTime: runTime}
	case "gang":
		p.check(field+".runTime", in.RunTime != "", "is missing")
		return &cluster.Gang{Tasks: tasks, Size: size, RunTime: runTime}
	}
	p.check(field+".workload", false, "%q is not one of service, batch, gang", in.Workload)
	return nil
}
