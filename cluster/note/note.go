package note

import (
	"slices"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Note is a parsed release note.
type Note struct {
	Summary  string
	Add      []cluster.Entity
	Change   []Change
	Withdraw []cluster.EntityID
	// Text is the YAML that the note was parsed from.
	Text []byte

	file string
	// at holds where the text names each entity.
	at map[cluster.EntityID]position
}

type position struct {
	line  int
	field string
}

// Change is an entity that replaces one of the same name.
type Change struct {
	Entity cluster.Entity
	// Expect is the version of the note that must have written the entity last; zero means any.
	Expect cluster.Version
}

// Entities returns the identifiers of all entities that the note names, in order.
func (n *Note) Entities() []cluster.EntityID {
	var ids []cluster.EntityID
	for _, e := range n.Add {
		ids = append(ids, cluster.Identify(e))
	}
	for _, c := range n.Change {
		ids = append(ids, cluster.Identify(c.Entity))
	}
	return append(ids, n.Withdraw...)
}

// problem returns a fault at the place where the note names the entity.
func (n *Note) problem(id cluster.EntityID, message string) Problem {
	at := n.at[id]
	if at.field == "" {
		at.field = id.String()
	}
	return Problem{File: n.file, Line: at.line, Field: at.field, Message: message}
}

// After returns the configuration that results from the note: current without
// the withdrawn and changed entities, with the added and changed ones.
func (n *Note) After(current *cluster.Snapshot, version cluster.Version) *cluster.Snapshot {
	entities := entitiesOf(current)
	named := n.Entities()
	entities = slices.DeleteFunc(entities, func(e cluster.Entity) bool { return slices.Contains(named, cluster.Identify(e)) })
	entities = append(entities, n.Add...)
	for _, c := range n.Change {
		entities = append(entities, c.Entity)
	}
	return cluster.Assemble(version, entities)
}

func entitiesOf(s *cluster.Snapshot) []cluster.Entity {
	var all []cluster.Entity
	for _, v := range s.Teams {
		all = append(all, v)
	}
	for _, v := range s.Keys {
		all = append(all, v)
	}
	for _, v := range s.Queues {
		all = append(all, v)
	}
	for _, v := range s.Services {
		all = append(all, v)
	}
	for _, v := range s.Jobs {
		all = append(all, v)
	}
	return all
}

// find returns the entity of a snapshot with the identifier, or nil.
func find(s *cluster.Snapshot, id cluster.EntityID) cluster.Entity {
	switch id.Kind {
	case cluster.KindTeam:
		if v, ok := s.Teams[cluster.TeamName(id.Name)]; ok {
			return v
		}
	case cluster.KindKey:
		if v, ok := s.Keys[cluster.KeyName(id.Name)]; ok {
			return v
		}
	case cluster.KindQueue:
		if v, ok := s.Queues[cluster.QueueName(id.Name)]; ok {
			return v
		}
	case cluster.KindService:
		if v, ok := s.Services[cluster.ServiceName(id.Name)]; ok {
			return v
		}
	case cluster.KindJob:
		if v, ok := s.Jobs[parseJobID(id.Name)]; ok {
			return v
		}
	}
	return nil
}

// Fleet summarises the workers for Check.
type Fleet struct {
	// Largest is the largest worker in each component.
	Largest cluster.Resources
	Total   cluster.Resources
}

// Running is what runs now, for Plan.
type Running struct {
	// Use is the total size of the tasks running for each team.
	Use map[cluster.TeamName]cluster.Resources
	// Jobs holds every job that is not finished, with its queue.
	Jobs map[cluster.JobID]cluster.QueueName
}

// Plan lists what a note does.
type Plan struct{ Effects []Effect }

// Action is what happens to an entity.
type Action string

// Actions.
const (
	ActionAdd      Action = "add"
	ActionChange   Action = "change"
	ActionWithdraw Action = "withdraw"
)

// Effect is the effect of a note on one entity.
type Effect struct {
	Action Action
	Entity cluster.EntityID
	// Detail says in words what changes.
	Detail string
	// Stops holds the jobs that the effect stops or may stop in part.
	Stops []cluster.JobID
}
