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

	// file is the name of the note's file, which problems contain.
	file string
	// positions maps each entity of the note to its place in the text.
	positions map[cluster.EntityID]position
}

// position is the place of an entity in the text of a note.
type position struct {
	// line counts from 1.
	line int
	// field is the path of the field, such as add.teams[0].
	field string
}

// Change replaces the entity of the same kind and name.
type Change struct {
	Entity cluster.Entity
	// Expect is the version of the note that must have been the last to write
	// the entity; zero disables the check.
	Expect cluster.Version
}

// Entities returns the identifiers of all entities in the note: the added ones,
// then the changed ones, then the withdrawn ones.
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

// newProblem returns a Problem located at the entity's position in the text.
func (n *Note) newProblem(id cluster.EntityID, message string) Problem {
	pos := n.positions[id]
	if pos.field == "" {
		pos.field = id.String()
	}
	return Problem{File: n.file, Line: pos.line, Field: pos.field, Message: message}
}

// ApplyTo returns the configuration that results from applying the note to
// current. It does not modify current.
func (n *Note) ApplyTo(current *cluster.Snapshot, version cluster.Version) *cluster.Snapshot {
	entities := entitiesOf(current)
	named := n.Entities()
	entities = slices.DeleteFunc(entities, func(e cluster.Entity) bool { return slices.Contains(named, cluster.Identify(e)) })
	entities = append(entities, n.Add...)
	for _, c := range n.Change {
		entities = append(entities, c.Entity)
	}
	return cluster.Assemble(version, entities)
}

// entitiesOf returns all entities of a snapshot in no particular order.
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

// findEntity returns the entity with the given identifier, or nil.
func findEntity(s *cluster.Snapshot, id cluster.EntityID) cluster.Entity {
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

// WorkerCapacity summarises the capacity of the workers, which Check compares
// the tasks of jobs with.
type WorkerCapacity struct {
	// Largest holds for each resource the highest amount that any worker has.
	Largest cluster.Resources
	// Total is the sum over all workers.
	Total cluster.Resources
}

// RunningWork describes the tasks and jobs in the cell, from which a Plan
// derives the jobs that a note stops.
type RunningWork struct {
	// Usage is the total size of the running tasks of each team.
	Usage map[cluster.TeamName]cluster.Resources
	// Jobs maps each unfinished job to its queue.
	Jobs map[cluster.JobID]cluster.QueueName
}

// Plan lists the effects of a note.
type Plan struct{ Effects []Effect }

// Action is the operation on an entity.
type Action string

// The operations on an entity.
const (
	ActionAdd      Action = "add"
	ActionChange   Action = "change"
	ActionWithdraw Action = "withdraw"
)

// Effect is the effect of a note on one entity.
type Effect struct {
	Action Action
	Entity cluster.EntityID
	// Detail describes the effect in words; it may be empty.
	Detail string
	// StoppedJobs lists the jobs of which the effect stops all tasks or may stop some.
	StoppedJobs []cluster.JobID
}
