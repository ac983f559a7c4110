package note

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Check returns the problems of a note in relation to the current configuration.
// If capacity is not nil, a job with tasks that fit no worker is a problem too.
func Check(n *Note, current *cluster.Snapshot, capacity *WorkerCapacity) []Problem {
	c := &checker{note: n, resulting: n.ApplyTo(current, current.Version), capacity: capacity}
	c.checkExistence(current)
	for _, e := range n.Add {
		c.checkEntity(e)
	}
	for _, change := range n.Change {
		c.checkEntity(change.Entity)
	}
	c.checkWithdrawn()
	c.checkHashes()
	return c.problems
}

// checker holds the state of one call of Check.
type checker struct {
	note *Note
	// resulting is the configuration with the note applied.
	resulting *cluster.Snapshot
	capacity  *WorkerCapacity
	problems  []Problem
}

// require records a problem with the entity unless ok is true.
func (c *checker) require(ok bool, id cluster.EntityID, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, c.note.newProblem(id, fmt.Sprintf(format, args...)))
	}
}

// checkExistence checks that added entities are new and that changed and
// withdrawn ones exist.
func (c *checker) checkExistence(current *cluster.Snapshot) {
	for _, e := range c.note.Add {
		id := cluster.Identify(e)
		c.require(findEntity(current, id) == nil, id, "%s exists already; change it instead", id)
	}
	for _, change := range c.note.Change {
		id := cluster.Identify(change.Entity)
		c.require(findEntity(current, id) != nil, id, "%s does not exist; add it instead", id)
	}
	for _, id := range c.note.Withdraw {
		c.require(findEntity(current, id) != nil, id, "%s does not exist", id)
	}
}

// checkEntity checks the references of an added or changed entity, and the task
// size of a job.
func (c *checker) checkEntity(e cluster.Entity) {
	id := cluster.Identify(e)
	switch v := e.(type) {
	case *cluster.Key:
		c.checkTeam(id, v.Team)
	case *cluster.Queue:
		if v.Team != "" {
			c.checkTeam(id, v.Team)
		}
	case *cluster.ServiceRoute:
		c.require(c.resulting.Queues[v.Queue] != nil, id, "there is no queue %s", v.Queue)
	case *cluster.JobSpec:
		c.checkJob(id, v)
	}
}

func (c *checker) checkTeam(id cluster.EntityID, name cluster.TeamName) {
	c.require(c.resulting.Teams[name] != nil, id, "there is no team %s", name)
}

func (c *checker) checkJob(id cluster.EntityID, j *cluster.JobSpec) {
	c.checkTeam(id, j.ID.Team)
	queue := c.resulting.Queues[j.Queue]
	c.require(queue != nil, id, "there is no queue %s", j.Queue)
	if queue != nil {
		c.require(queue.Team == "" || queue.Team == j.ID.Team, id, "queue %s admits only team %s", j.Queue, queue.Team)
	}
	_, size := j.TaskCount()
	if c.capacity != nil {
		c.require(size.Fits(c.capacity.Largest), id, "a task of %s fits no worker; the largest has %s", size, c.capacity.Largest)
	}
	if team := c.resulting.Teams[j.ID.Team]; team != nil {
		c.require(size.Fits(team.Limit), id, "a task of %s is over the limit of team %s, %s", size, team.Name, team.Limit)
	}
}

// checkWithdrawn checks that no remaining entity refers to a withdrawn team or queue.
func (c *checker) checkWithdrawn() {
	for _, id := range c.note.Withdraw {
		referrers := c.referrers(id)
		slices.Sort(referrers)
		c.require(len(referrers) == 0, id, "%s is still used by %s", id, strings.Join(referrers, ", "))
	}
}

// referrers returns the names of the entities that refer to a team or queue.
// Entities of the note itself are omitted: their missing reference is reported
// by checkEntity.
func (c *checker) referrers(id cluster.EntityID) []string {
	var referrers []string
	addIf := func(refers bool, e cluster.Entity) {
		if refers && !c.writtenByNote(cluster.Identify(e)) {
			referrers = append(referrers, cluster.Identify(e).String())
		}
	}
	isTeam := id.Kind == cluster.KindTeam
	isQueue := id.Kind == cluster.KindQueue
	for _, v := range c.resulting.Keys {
		addIf(isTeam && string(v.Team) == id.Name, v)
	}
	for _, v := range c.resulting.Queues {
		addIf(isTeam && string(v.Team) == id.Name, v)
	}
	for _, v := range c.resulting.Services {
		addIf(isQueue && string(v.Queue) == id.Name, v)
	}
	for _, v := range c.resulting.Jobs {
		addIf(isTeam && string(v.ID.Team) == id.Name || isQueue && string(v.Queue) == id.Name, v)
	}
	return referrers
}

// writtenByNote reports whether the note adds, changes or withdraws the entity.
func (c *checker) writtenByNote(id cluster.EntityID) bool {
	_, ok := c.note.positions[id]
	return ok
}

// checkHashes checks that no two keys have the same hash. The team of a request
// with that secret would be ambiguous.
func (c *checker) checkHashes() {
	nameOf := map[[32]byte]cluster.KeyName{}
	names := make([]cluster.KeyName, 0, len(c.resulting.Keys))
	for name := range c.resulting.Keys {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		hash := c.resulting.Keys[name].Hash
		if other, ok := nameOf[hash]; ok {
			c.require(false, cluster.EntityID{Kind: cluster.KindKey, Name: string(name)}, "keys %s and %s have the same hash", other, name)
			continue
		}
		nameOf[hash] = name
	}
}
