package note

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Check returns what is wrong with a note against a configuration. If fleet is
// not nil, jobs that fit no worker are faults too.
func Check(n *Note, current *cluster.Snapshot, fleet *Fleet) []Problem {
	c := &checker{note: n, after: n.After(current, current.Version), fleet: fleet}
	c.exists(current)
	for _, e := range n.Add {
		c.entity(e)
	}
	for _, change := range n.Change {
		c.entity(change.Entity)
	}
	c.withdrawn()
	c.hashes()
	return c.problems
}

type checker struct {
	note     *Note
	after    *cluster.Snapshot
	fleet    *Fleet
	problems []Problem
}

func (c *checker) require(ok bool, id cluster.EntityID, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, c.note.problem(id, fmt.Sprintf(format, args...)))
	}
}

// exists checks that added entities are new and that others are there.
func (c *checker) exists(current *cluster.Snapshot) {
	for _, e := range c.note.Add {
		id := cluster.Identify(e)
		c.require(find(current, id) == nil, id, "%s exists already; change it instead", id)
	}
	for _, change := range c.note.Change {
		id := cluster.Identify(change.Entity)
		c.require(find(current, id) != nil, id, "%s does not exist; add it instead", id)
	}
	for _, id := range c.note.Withdraw {
		c.require(find(current, id) != nil, id, "%s does not exist", id)
	}
}

// entity checks the references of an added or changed entity.
func (c *checker) entity(e cluster.Entity) {
	id := cluster.Identify(e)
	switch v := e.(type) {
	case *cluster.Key:
		c.team(id, v.Team)
	case *cluster.Queue:
		if v.Team != "" {
			c.team(id, v.Team)
		}
	case *cluster.ServiceRoute:
		c.require(c.after.Queues[v.Queue] != nil, id, "there is no queue %s", v.Queue)
	case *cluster.JobSpec:
		c.job(id, v)
	}
}

func (c *checker) team(id cluster.EntityID, name cluster.TeamName) {
	c.require(c.after.Teams[name] != nil, id, "there is no team %s", name)
}

func (c *checker) job(id cluster.EntityID, j *cluster.JobSpec) {
	c.team(id, j.ID.Team)
	queue := c.after.Queues[j.Queue]
	c.require(queue != nil, id, "there is no queue %s", j.Queue)
	if queue != nil {
		c.require(queue.Team == "" || queue.Team == j.ID.Team, id, "queue %s admits only team %s", j.Queue, queue.Team)
	}
	_, size := j.TaskCount()
	if c.fleet != nil {
		c.require(size.Fits(c.fleet.Largest), id, "a task of %s fits no worker; the largest has %s", size, c.fleet.Largest)
	}
	if team := c.after.Teams[j.ID.Team]; team != nil {
		c.require(size.Fits(team.Limit), id, "a task of %s is over the limit of team %s, %s", size, team.Name, team.Limit)
	}
}

// withdrawn checks that nothing left refers to a withdrawn team or queue.
func (c *checker) withdrawn() {
	for _, id := range c.note.Withdraw {
		users := c.users(id)
		slices.Sort(users)
		c.require(len(users) == 0, id, "%s is still used by %s", id, strings.Join(users, ", "))
	}
}

func (c *checker) users(id cluster.EntityID) []string {
	var users []string
	use := func(refers bool, e cluster.Entity) {
		if refers && !c.named(cluster.Identify(e)) {
			users = append(users, cluster.Identify(e).String())
		}
	}
	team := id.Kind == cluster.KindTeam
	queue := id.Kind == cluster.KindQueue
	for _, v := range c.after.Keys {
		use(team && string(v.Team) == id.Name, v)
	}
	for _, v := range c.after.Queues {
		use(team && string(v.Team) == id.Name, v)
	}
	for _, v := range c.after.Services {
		use(queue && string(v.Queue) == id.Name, v)
	}
	for _, v := range c.after.Jobs {
		use(team && string(v.ID.Team) == id.Name || queue && string(v.Queue) == id.Name, v)
	}
	return users
}

// named reports whether the note itself writes the entity, whose fault is then reported there.
func (c *checker) named(id cluster.EntityID) bool {
	_, ok := c.note.at[id]
	return ok
}

// hashes checks that no two keys have the same secret, which would make its team ambiguous.
func (c *checker) hashes() {
	first := map[[32]byte]cluster.KeyName{}
	names := make([]cluster.KeyName, 0, len(c.after.Keys))
	for name := range c.after.Keys {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		hash := c.after.Keys[name].Hash
		if other, ok := first[hash]; ok {
			c.require(false, cluster.EntityID{Kind: cluster.KindKey, Name: string(name)}, "keys %s and %s have the same hash", other, name)
			continue
		}
		first[hash] = name
	}
}
