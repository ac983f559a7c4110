package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// throttledPart is the part of its processors that a throttled task keeps.
const throttledPart = 2

// RunningTask is a running attempt as preemption sees it.
type RunningTask struct {
	Attempt  cluster.AttemptID
	Worker   cluster.WorkerID
	Size     cluster.Resources
	Priority cluster.Priority
	Service  bool
	// Idempotent says that the task may be stopped and run again.
	Idempotent bool
	// Checkpoints says that the task can be checkpointed and resumed.
	Checkpoints bool
	// Throttled says that the task was throttled already.
	Throttled bool
	Age       time.Duration
}

// PreemptAction is what is done to a victim; cheaper ones come first.
type PreemptAction int

// Actions on a victim.
const (
	// Throttle halves a task's processors.
	Throttle PreemptAction = iota
	// Checkpoint saves a task's state and ends it; it is resumed later.
	Checkpoint
	// Stop ends a task, whose work is lost.
	Stop
)

var preemptActionNames = [...]string{"throttle", "checkpoint", "stop"}

// String returns the action's name in lower case.
func (a PreemptAction) String() string { return preemptActionNames[a] }

// Victim is a running attempt to take room from.
type Victim struct {
	Attempt cluster.AttemptID
	Worker  cluster.WorkerID
	Action  PreemptAction
	// Frees is the room that the action gives back.
	Frees cluster.Resources
}

// PreemptRequest asks for room for one task.
type PreemptRequest struct {
	Team     cluster.TeamName
	Priority cluster.Priority
	Size     cluster.Resources
	// Workers holds the workers to choose from; closed ones are left out.
	Workers []Worker
	// Running holds the attempts that run on these workers.
	Running []RunningTask
	// Shares holds the shares of the teams; a team without an entry counts as below its share.
	Shares []TeamShare
}

// option is a possible action on a task.
type option struct {
	Victim
	priority cluster.Priority
	excess   float64
	age      time.Duration
}

// ChooseVictims returns the cheapest victims on one worker whose room, with what
// is free there, suffices for the request, or none.
//
// Fewer stops are cheaper than fewer checkpoints, and these than fewer throttles;
// among equals less lost work is cheaper. Tasks of teams over their entitled share
// are eligible, and tasks of a lower priority than the request, but never services
// of a team at or below its share. A task that is not idempotent is never stopped.
func ChooseVictims(req PreemptRequest) ([]Victim, bool) {
	excess := make(map[cluster.TeamName]float64, len(req.Shares))
	for _, s := range req.Shares {
		excess[s.Team] = s.Distance()
	}
	options := map[cluster.WorkerID][]option{}
	for _, r := range req.Running {
		options[r.Worker] = append(options[r.Worker], req.options(r, excess[r.Attempt.Task.Job.Team])...)
	}
	var best []option
	for i := range req.Workers {
		w := &req.Workers[i]
		if w.Closed || !req.Size.Fits(w.Capacity) {
			continue
		}
		chosen, ok := choose(req.Size, w.Free(), options[w.ID])
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

// options returns the actions allowed on a running task.
func (req *PreemptRequest) options(r RunningTask, excess float64) []option {
	over := excess > 0 && r.Attempt.Task.Job.Team != req.Team
	if !over && (r.Service || r.Priority >= req.Priority) {
		return nil
	}
	base := option{
		Victim:   Victim{Attempt: r.Attempt, Worker: r.Worker},
		priority: r.Priority, excess: excess, age: r.Age,
	}
	var out []option
	add := func(action PreemptAction, frees cluster.Resources) {
		o := base
		o.Action, o.Frees = action, frees
		out = append(out, o)
	}
	if half := r.Size.CPU / throttledPart; !r.Throttled && half > 0 {
		add(Throttle, cluster.Resources{CPU: half})
	}
	if r.Checkpoints {
		add(Checkpoint, r.Size)
	}
	if r.Idempotent {
		add(Stop, r.Size)
	}
	return out
}

// choose returns a set of options that frees enough on one worker, using dearer actions only if needed.
func choose(need, free cluster.Resources, options []option) ([]option, bool) {
	if need.Fits(free) {
		return nil, true
	}
	slices.SortStableFunc(options, compareOptions)
	for limit := Throttle; limit <= Stop; limit++ {
		if chosen, ok := accumulate(need, free, options, limit); ok {
			return chosen, true
		}
	}
	return nil, false
}

// accumulate takes options up to an action in order until need fits, then drops those that are not needed.
func accumulate(need, free cluster.Resources, options []option, limit PreemptAction) ([]option, bool) {
	var chosen []option
	room := free
	for _, o := range options {
		if need.Fits(room) {
			break
		}
		if o.Action > limit {
			continue
		}
		// A dearer action on the same task replaces the cheaper one.
		if at := slices.IndexFunc(chosen, func(c option) bool { return c.Attempt == o.Attempt }); at >= 0 {
			if chosen[at].Action != Throttle {
				continue
			}
			room = room.Sub(chosen[at].Frees)
			chosen = slices.Delete(chosen, at, at+1)
		}
		chosen = append(chosen, o)
		room = room.Add(o.Frees)
	}
	if !need.Fits(room) {
		return nil, false
	}
	for at := len(chosen) - 1; at >= 0; at-- {
		if rest := room.Sub(chosen[at].Frees); need.Fits(rest) {
			room = rest
			chosen = slices.Delete(chosen, at, at+1)
		}
	}
	return chosen, true
}

// compareOptions orders by action, then lower priority, larger excess, less lost work and identifier.
func compareOptions(a, b option) int {
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

// compareCost compares two sets of options: stops, checkpoints, throttles, then lost work.
func compareCost(a, b []option) int {
	count := func(options []option, action PreemptAction) (n int) {
		for i := range options {
			if options[i].Action == action {
				n++
			}
		}
		return n
	}
	lost := func(options []option) (total time.Duration) {
		for i := range options {
			if options[i].Action == Stop {
				total += options[i].age
			}
		}
		return total
	}
	return cmp.Or(
		cmp.Compare(count(a, Stop), count(b, Stop)),
		cmp.Compare(count(a, Checkpoint), count(b, Checkpoint)),
		cmp.Compare(count(a, Throttle), count(b, Throttle)),
		cmp.Compare(lost(a), lost(b)),
	)
}
