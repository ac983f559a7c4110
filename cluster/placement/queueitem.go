package placement

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Item is a job with tasks that wait for room.
type Item struct {
	Job      cluster.JobID
	Priority cluster.Priority
	// Size is what one task is granted.
	Size cluster.Resources
	// Tasks is the number of tasks that wait.
	Tasks int
	// Gang says that all waiting tasks start together or not at all.
	Gang      bool
	Submitted time.Time
	// Deadline is when the job must have finished; zero for none.
	Deadline time.Time
	// RunTime is the expected run time of one task.
	RunTime time.Duration
	// MaxWait bounds the wait of deferrable work; zero means the queue's default.
	MaxWait time.Duration
}

// Pick is the item to try next.
type Pick struct {
	Item Item
	// Reserve says that the item was passed over too often: if it still does not
	// fit, the caller reserves workers for it and calls Queue.Reserved.
	Reserve bool
}

// ItemState says why an item waits.
type ItemState int

// States of an item.
const (
	// ItemUnknown means that the item is not in the queue.
	ItemUnknown ItemState = iota
	// ItemReady means that the item waits for its turn.
	ItemReady
	// ItemBlocked means that nothing of the item's size fits until room is freed.
	ItemBlocked
	// ItemReserved means that workers are reserved for the item.
	ItemReserved
	// ItemOverLimit means that the team would exceed its limit.
	ItemOverLimit
	// ItemHeld means that the caller holds back the team.
	ItemHeld
)

var itemStateNames = [...]string{"unknown", "ready", "no room", "reserved", "team limit reached", "team held"}

// String returns the state in words.
func (s ItemState) String() string { return itemStateNames[s] }

// TeamShare is a team's part of the fleet.
type TeamShare struct {
	Team cluster.TeamName
	// Dominant is the team's largest use of any resource as a fraction of the fleet.
	Dominant float64
	// Entitled is the team's weighted share of the fleet, limited by its demand;
	// what a team does not need goes to the others in proportion to their weights.
	Entitled float64
	// Demand is the dominant share that running and waiting work would use together.
	Demand float64
}

// Distance returns the dominant share less the entitled share; it is negative for a team below its share.
func (s TeamShare) Distance() float64 { return s.Dominant - s.Entitled }
