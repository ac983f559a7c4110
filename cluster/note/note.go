package note

import "github.com/goldcrestshift/goldcrestshift/cluster"

// Note is a parsed release note.
type Note struct {
	Summary  string
	Add      []cluster.Entity
	Change   []Change
	Withdraw []cluster.EntityID
	// Text is the YAML that the note was parsed from.
	Text []byte
}

// Change is an entity that replaces one of the same name.
type Change struct {
	Entity cluster.Entity
	// Expect is the version of the note that must have written the entity last; zero means any.
	Expect cluster.Version
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
