package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// throttleDivisor is what throttling divides the CPU of a task by.
const throttleDivisor = 2

// RunningTask is a running attempt that may be preempted.
type RunningTask struct {
	Attempt  cluster.AttemptID
	Worker   cluster.WorkerID
	Size     cluster.Resources
	Priority cluster.Priority
	Service  bool
	// Idempotent means that the task may be stopped and run again.
	Idempotent bool
	// Checkpoints means that the task can be checkpointed and resumed.
	Checkpoints bool
	// Throttled means that the task has already been throttled.
	Throttled bool
	// Age is how long the attempt has been running.
	Age time.Duration
}

// PreemptAction is how a task is preempted. Actions with lower values cost less.
type PreemptAction int

// Preemption actions.
const (
	// Throttle halves the task's CPU.
	Throttle PreemptAction = iota
	// Checkpoint saves the state of the task and ends it; the task is resumed later.
	Checkpoint
	// Stop ends the task, whose work is lost.
	Stop
)

var preemptActionNames = [...]string{"throttle", "checkpoint", "stop"}

// String returns the action's name in lower case.
func (a PreemptAction) String() string { return preemptActionNames[a] }

// Victim is a running attempt that is preempted.
type Victim struct {
	Attempt cluster.AttemptID
	Worker  cluster.WorkerID
	Action  PreemptAction
	// FreedCapacity is the capacity that the action frees.
	FreedCapacity cluster.Resources
}

// PreemptRequest asks for capacity for one task.
type PreemptRequest struct {
	Team     cluster.TeamName
	Priority cluster.Priority
	Size     cluster.Resources
	// Workers holds the workers to consider; closed ones are ignored.
	Workers []Worker
	// Running holds the attempts that run on these workers.
	Running []RunningTask
	// Shares holds the shares of the teams. A team without an entry counts as not over its share.
	Shares []TeamShare
}

// possibleAction is an action that may be applied to a task.
type possibleAction struct {
	Victim
	priority cluster.Priority
	// excess is by how much the team is over its entitled share; it is negative below.
	excess float64
	age    time.Duration
}

// ChooseVictims returns the cheapest victims found whose capacity, together with the
// free capacity of their worker, suffices for the request. All victims are on one
// worker. It returns no victims and true if a worker has enough free capacity, and false
// if no set of victims suffices.
//
// Cost is compared by the number of stops, then of checkpoints, then of throttles, then
// by the amount of lost work. Eligible are the tasks of other teams that are over their
// entitled share and, except for services, tasks with a lower priority than the request.
// A task that is not idempotent is never stopped.
func ChooseVictims(req PreemptRequest) ([]Victim, bool) {
	excess := make(map[cluster.TeamName]float64, len(req.Shares))
	for _, s := range req.Shares {
		excess[s.Team] = s.Excess()
	}
	actions := map[cluster.WorkerID][]possibleAction{}
	for _, r := range req.Running {
		actions[r.Worker] = append(actions[r.Worker], req.possibleActions(r, excess[r.Attempt.Task.Job.Team])...)
	}
	var best []possibleAction
	for i := range req.Workers {
		w := &req.Workers[i]
		if w.Closed || !req.Size.Fits(w.Capacity) {
			continue
		}
		chosen, ok := chooseActions(req.Size, w.Free(), actions[w.ID])
		if ok && (best == nil || compareCost(chosen, best) < 0) {
			best = chosen
		}
		if ok && len(chosen) == 0 {
			return nil, true
		}
	}
	victims := make([]Victim, len(best))
	for i := range best {
		victims[i] = best[i].Victim
	}
	return victims, len(victims) > 0
}

// possibleActions returns the actions that may be applied to a running task.
func (req *PreemptRequest) possibleActions(r RunningTask, excess float64) []possibleAction {
	teamOverShare := excess > 0 && r.Attempt.Task.Job.Team != req.Team
	if !teamOverShare && (r.Service || r.Priority >= req.Priority) {
		return nil
	}
	base := possibleAction{
		Victim:   Victim{Attempt: r.Attempt, Worker: r.Worker},
		priority: r.Priority, excess: excess, age: r.Age,
	}
	var actions []possibleAction
	add := func(action PreemptAction, freed cluster.Resources) {
		a := base
		a.Action, a.FreedCapacity = action, freed
		actions = append(actions, a)
	}
	if half := r.Size.CPU / throttleDivisor; !r.Throttled && half > 0 {
		add(Throttle, cluster.Resources{CPU: half})
	}
	if r.Checkpoints {
		add(Checkpoint, r.Size)
	}
	if r.Idempotent {
		add(Stop, r.Size)
	}
	return actions
}

// chooseActions returns a set of actions that frees enough capacity on one worker. It
// uses more expensive kinds of actions only if cheaper ones do not suffice.
func chooseActions(need, free cluster.Resources, actions []possibleAction) ([]possibleAction, bool) {
	if need.Fits(free) {
		return nil, true
	}
	slices.SortStableFunc(actions, compareActions)
	for maxAction := Throttle; maxAction <= Stop; maxAction++ {
		if chosen, ok := accumulateActions(need, free, actions, maxAction); ok {
			return chosen, true
		}
	}
	return nil, false
}

// accumulateActions adds actions of at most the given kind in order until need fits,
// and then removes those that turned out to be unnecessary.
func accumulateActions(need, free cluster.Resources, actions []possibleAction, maxAction PreemptAction) ([]possibleAction, bool) {
	var chosen []possibleAction
	available := free
	for _, a := range actions {
		if need.Fits(available) {
			break
		}
		if a.Action > maxAction {
			continue
		}
		// A more expensive action on the same task replaces throttling.
		if i := slices.IndexFunc(chosen, func(c possibleAction) bool { return c.Attempt == a.Attempt }); i >= 0 {
			if chosen[i].Action != Throttle {
				continue
			}
			available = available.Sub(chosen[i].FreedCapacity)
			chosen = slices.Delete(chosen, i, i+1)
		}
		chosen = append(chosen, a)
		available = available.Add(a.FreedCapacity)
	}
	if !need.Fits(available) {
		return nil, false
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if remaining := available.Sub(chosen[i].FreedCapacity); need.Fits(remaining) {
			available = remaining
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}

// compareActions orders by kind of action, then by lower priority, larger excess of the
// team's share, shorter run time and identifier.
func compareActions(a, b possibleAction) int {
	return cmp.Or(
		cmp.Compare(a.Action, b.Action),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(b.excess, a.excess),
		cmp.Compare(a.age, b.age),
		cmp.Compare(a.Attempt.Task.Job.Team, b.Attempt.Task.Job.Team),
		cmp.Compare(a.Attempt.Task.Job.Name, b.Attempt.Task.Job.Name),
		cmp.Compare(a.Attempt.Task.Index, b.Attempt.Task.Index),
	)
}

// compareCost compares two sets of actions by stops, checkpoints, throttles and then lost work.
func compareCost(a, b []possibleAction) int {
	count := func(actions []possibleAction, action PreemptAction) (n int) {
		for i := range actions {
			if actions[i].Action == action {
				n++
			}
		}
		return n
	}
	lostWork := func(actions []possibleAction) (total time.Duration) {
		for i := range actions {
			if actions[i].Action == Stop {
				total += actions[i].age
			}
		}
		return total
	}
	return cmp.Or(
		cmp.Compare(count(a, Stop), count(b, Stop)),
		cmp.Compare(count(a, Checkpoint), count(b, Checkpoint)),
		cmp.Compare(count(a, Throttle), count(b, Throttle)),
		cmp.Compare(lostWork(a), lostWork(b)),
	)
}
