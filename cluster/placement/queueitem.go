package placement

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Item is a job with tasks that wait to be placed.
type Item struct {
	Job      cluster.JobID
	Priority cluster.Priority
	// Size is the resources granted to one task.
	Size cluster.Resources
	// Tasks is the number of pending tasks.
	Tasks int
	// Gang requires that all pending tasks start together.
	Gang        bool
	SubmittedAt time.Time
	// Deadline is when the job must have finished; zero means no deadline.
	Deadline time.Time
	// RunTime is the expected run time of one task.
	RunTime time.Duration
	// MaxWait limits the wait of a deferrable job; zero means the queue's default.
	MaxWait time.Duration
}

// Pick is the item that Queue.Next selected.
type Pick struct {
	Item Item
	// Starved means that the item has been blocked for too long or while
	// too many others were started. If it still does not fit, the caller reserves workers
	// for it and reports that to the queue.
	Starved bool
}

// ItemState is why an item waits.
type ItemState int

// Item states.
const (
	// ItemUnknown means that the item is not in the queue.
	ItemUnknown ItemState = iota
	// ItemReady means that the item can be selected when its turn comes.
	ItemReady
	// ItemBlocked means that items of this size do not fit until capacity is freed.
	ItemBlocked
	// ItemReserved means that workers are reserved for the item.
	ItemReserved
	// ItemOverLimit means that the item would exceed its team's limit.
	ItemOverLimit
	// ItemHeld means that the caller holds the team.
	ItemHeld
)

var itemStateNames = [...]string{"unknown", "ready", "no room", "reserved", "team limit reached", "team held"}

// String returns a description of the state.
func (s ItemState) String() string { return itemStateNames[s] }

// TeamShare is a team's share of the total capacity.
type TeamShare struct {
	Team cluster.TeamName
	// Dominant is the team's dominant share: the largest fraction of any resource that it uses.
	Dominant float64
	// Entitled is the team's weighted fair share, limited by its demand. Capacity that a
	// team doesn't demand is divided among the others by weight.
	Entitled float64
	// Demand is the dominant share of the running and pending tasks together.
	Demand float64
}

// Excess returns the dominant share minus the entitled share. It is negative for a team below its entitled share.
func (s TeamShare) Excess() float64 { return s.Dominant - s.Entitled }
