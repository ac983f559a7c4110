package standin

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// AttemptRecord is the history of one attempt that was started.
type AttemptRecord struct {
	Attempt cluster.AttemptID
	Worker  cluster.WorkerID
	// Owner and Epoch are those of the request that started the attempt.
	Owner cluster.DaemonID
	Epoch cluster.Epoch
	Size  cluster.Resources
	Start time.Time
	// End is zero while the attempt runs.
	End time.Time
	// Outcome is set once the worker has ended the attempt.
	Outcome platform.Outcome
}

// Overlap is a pair of attempts of one task that ran at the same time.
type Overlap struct {
	First, Second cluster.AttemptID
	// SecondStart is the start time of the second attempt.
	SecondStart time.Time
}

// maxOverlaps limits the number of stored overlaps; Stats.Overlaps counts all of them.
const maxOverlaps = 10_000

// history records the attempts that the workers ran and their resource usage;
// it is guarded by Platform.mu.
type history struct {
	// maxStarts limits the length of starts; droppedStarts counts the attempts
	// that were dropped because of it.
	maxStarts     int
	starts        []*AttemptRecord
	droppedStarts int
	// activeTasks holds the running attempts of each task, for the detection of overlaps.
	activeTasks map[cluster.TaskID][]*task
	overlaps    []Overlap
	// teamUsage and teamPeak hold the current and the highest allocation of each team.
	teamUsage map[cluster.TeamName]cluster.Resources
	teamPeak  map[cluster.TeamName]cluster.Resources
	// workerPeak holds the highest allocation on each worker.
	workerPeak map[cluster.WorkerID]cluster.Resources
	// checkpoints holds the work of each task that its last checkpoint
	// covers, as run time at full speed.
	checkpoints map[cluster.TaskID]time.Duration
}

func newHistory(maxStarts int) history {
	return history{
		maxStarts: maxStarts, activeTasks: map[cluster.TaskID][]*task{}, teamUsage: map[cluster.TeamName]cluster.Resources{},
		teamPeak: map[cluster.TeamName]cluster.Resources{}, workerPeak: map[cluster.WorkerID]cluster.Resources{},
		checkpoints: map[cluster.TaskID]time.Duration{},
	}
}

// recordStart records the start of an attempt and any overlap with other running
// attempts of the same task.
func (p *Platform) recordStart(w *worker, t *task, req *platform.ExchangeRequest, now time.Time) {
	h := &p.history
	t.record = &AttemptRecord{Attempt: t.attempt, Worker: w.id, Owner: req.Owner, Epoch: req.Epoch, Size: t.size, Start: now}
	if len(h.starts) >= h.maxStarts {
		oldest := max(1, h.maxStarts/4)
		h.droppedStarts += oldest
		h.starts = slices.Clone(h.starts[oldest:])
	}
	h.starts = append(h.starts, t.record)
	for _, other := range h.activeTasks[t.attempt.Task] {
		p.stats.Overlaps++
		if len(h.overlaps) < maxOverlaps {
			h.overlaps = append(h.overlaps, Overlap{other.attempt, t.attempt, now})
		}
		p.cfg.Invariants.Require(false, invariant.SingleAttempt, "%s started on %s while %s runs on %s",
			t.attempt, w.id, other.attempt, other.record.Worker)
	}
	h.activeTasks[t.attempt.Task] = append(h.activeTasks[t.attempt.Task], t)
	team := t.attempt.Task.Job.Team
	h.teamUsage[team] = h.teamUsage[team].Add(t.allocated)
	h.teamPeak[team] = h.teamPeak[team].Max(h.teamUsage[team])
	h.updateWorkerPeak(w)
}

// updateWorkerPeak updates the highest allocation on a worker.
func (h *history) updateWorkerPeak(w *worker) {
	h.workerPeak[w.id] = h.workerPeak[w.id].Max(w.allocated())
}

// recordEnd records that a task no longer runs and subtracts its allocation from
// the usage of its team; a second call for the same task does nothing.
func (h *history) recordEnd(t *task, at time.Time) {
	if t.endRecorded {
		return
	}
	t.endRecorded = true
	t.record.End = at
	others := slices.DeleteFunc(h.activeTasks[t.attempt.Task], func(other *task) bool { return other == t })
	if len(others) == 0 {
		delete(h.activeTasks, t.attempt.Task)
	} else {
		h.activeTasks[t.attempt.Task] = others
	}
	team := t.attempt.Task.Job.Team
	h.teamUsage[team] = h.teamUsage[team].Sub(t.allocated)
}

// recordResize replaces the allocation of a running task in the usage of its team.
func (h *history) recordResize(t *task, allocation cluster.Resources) {
	if t.endRecorded {
		return
	}
	team := t.attempt.Task.Job.Team
	h.teamUsage[team] = h.teamUsage[team].Sub(t.allocated).Add(allocation)
	h.teamPeak[team] = h.teamPeak[team].Max(h.teamUsage[team])
}

// Starts returns the recorded attempts in the order of their starts; at most
// Config.MaxHistory attempts are kept, and the oldest are dropped first.
func (p *Platform) Starts() []AttemptRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(p.cfg.Clock())
	starts := make([]AttemptRecord, len(p.history.starts))
	for i, r := range p.history.starts {
		starts[i] = *r
	}
	return starts
}

// Overlaps returns the pairs of attempts of one task that ran at the same time,
// up to a maximum number.
func (p *Platform) Overlaps() []Overlap {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.history.overlaps)
}

// PeakOfWorker returns the highest allocation on a worker so far.
func (p *Platform) PeakOfWorker(id cluster.WorkerID) cluster.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.workerPeak[id]
}

// PeakOfTeam returns the highest allocation of a team over all workers so far.
func (p *Platform) PeakOfTeam(team cluster.TeamName) cluster.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.teamPeak[team]
}

// UseOfTeam returns the current allocation of a team over all workers.
func (p *Platform) UseOfTeam(team cluster.TeamName) cluster.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(p.cfg.Clock())
	return p.history.teamUsage[team]
}

// Running returns the number of attempts that are currently running.
func (p *Platform) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(p.cfg.Clock())
	n := 0
	for _, w := range p.orderedWorkers {
		n += len(w.running)
	}
	return n
}
