package rack

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// fakeStore is a table service in memory.
type fakeStore struct {
	version cluster.Version
	rows    map[string]platform.Row
	// down makes every call fail.
	down bool
	// readCount, commitCount and putCount count calls and written rows.
	readCount   int
	commitCount int
	putCount    int
}

// read returns the rows with the requested keys and prefixes that have changed since a version.
func (s *fakeStore) read(req platform.ReadRequest) (platform.ReadReply, error) {
	s.readCount++
	if s.down {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindUnavailable}
	}
	reply := platform.ReadReply{AsOf: s.version}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		row := s.rows[key]
		selected := slices.Contains(req.Keys, key) ||
			slices.ContainsFunc(req.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
		if selected && row.Version > req.SinceVersion && (!row.Deleted || req.SinceVersion > 0) {
			reply.Rows = append(reply.Rows, row)
		}
	}
	return reply, nil
}

// commit writes and deletes rows in one transaction if the versions in checks are current.
func (s *fakeStore) commit(checks []platform.Check, puts []platform.Put, deletes []string) (cluster.Version, error) {
	s.commitCount++
	if s.down {
		return 0, &platform.Error{Op: "commit", Kind: platform.KindUnavailable}
	}
	for _, c := range checks {
		row := s.rows[c.Key]
		if row.Deleted {
			row.Version = 0
		}
		if row.Version != c.Version {
			return 0, &platform.Error{Op: "commit", Kind: platform.KindConflict, Key: c.Key}
		}
	}
	s.version++
	for _, p := range puts {
		s.putCount++
		s.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, key := range deletes {
		s.rows[key] = platform.Row{Key: key, Version: s.version, Deleted: true}
	}
	return s.version, nil
}

// fakeWorker is a worker that enforces epochs and leases.
type fakeWorker struct {
	id       cluster.WorkerID
	rack     cluster.RackID
	place    cluster.Place
	capacity cluster.Resources
	epoch    cluster.Epoch
	// unreachable workers keep running their tasks but can't be reached; dead ones no longer exist.
	unreachable bool
	dead        bool
	// failing makes every task fail; everFailed means that one has.
	failing    bool
	everFailed bool
	// changeCursor is the cursor of the worker's last change.
	changeCursor uint64
	// seenAttempts holds every attempt that was started here; starting it again is refused.
	seenAttempts map[cluster.AttemptID]bool
	running      map[cluster.AttemptID]*fakeRun
	ended        map[cluster.AttemptID]platform.EndedTask
}

// fakeRun is a running attempt.
type fakeRun struct {
	size              cluster.Resources
	startedAt, endsAt time.Time
	// leaseExpiresAt is when the attempt is ended unless its lease is renewed.
	leaseExpiresAt time.Time
}

// fakeRacks holds the workers of the cell and checks what they run.
type fakeRacks struct {
	workers       []*fakeWorker
	workersByRack map[cluster.RackID][]*fakeWorker
	// down holds the racks whose exchanges fail.
	down   map[cluster.RackID]bool
	cursor uint64
	// runTime returns how long an attempt runs, teamLimit the limit of a team; nil means no check of limits.
	runTime   func(cluster.AttemptID) time.Duration
	teamLimit func(cluster.TeamName) cluster.Resources
	// reportFailure reports a violated check.
	reportFailure func(string)
	// firstStartAt is when the first task of each job started; startCount counts all starts.
	firstStartAt map[cluster.JobID]time.Time
	startCount   int
	// executions counts the attempts of each task that did not resume from a checkpoint.
	executions map[cluster.TaskID]int
	// skipChecks skips the checks at each start, which take too long in benchmarks with many workers.
	skipChecks bool
}

// newFakeRacks returns racks named z<zone>-r<rack> with workers named <rack>-w<worker>.
func newFakeRacks(zones, racksPerZone, workers int, capacity cluster.Resources) *fakeRacks {
	f := &fakeRacks{
		workersByRack: map[cluster.RackID][]*fakeWorker{}, down: map[cluster.RackID]bool{}, firstStartAt: map[cluster.JobID]time.Time{}, executions: map[cluster.TaskID]int{},
		runTime: func(cluster.AttemptID) time.Duration { return 5 * time.Second },
	}
	for z := range zones {
		for r := range racksPerZone {
			for w := range workers {
				rack := cluster.RackID(fmt.Sprintf("z%d-r%d", z, r))
				f.workers = append(f.workers, &fakeWorker{
					id: cluster.WorkerID(fmt.Sprintf("%s-w%d", rack, w)), rack: rack,
					place:    cluster.Place{Region: "north", Zone: cluster.Zone(fmt.Sprintf("z%d", z))},
					capacity: capacity, seenAttempts: map[cluster.AttemptID]bool{},
					running: map[cluster.AttemptID]*fakeRun{}, ended: map[cluster.AttemptID]platform.EndedTask{},
				})
				f.workersByRack[rack] = append(f.workersByRack[rack], f.workers[len(f.workers)-1])
			}
		}
	}
	return f
}

// vmList returns the platform's list of the workers that are not dead.
func (f *fakeRacks) vmList() []platform.VM {
	var vms []platform.VM
	for _, w := range f.workers {
		if !w.dead {
			vms = append(vms, platform.VM{ID: string(w.id), Role: platform.RoleWorker, Place: w.place, Rack: w.rack, Capacity: w.capacity})
		}
	}
	return vms
}

// endDueAttempts ends the attempts whose run time is over or whose lease has expired.
func (f *fakeRacks) endDueAttempts(now time.Time) {
	for _, w := range f.workers {
		for _, id := range sortedAttempts(w.running) {
			run := w.running[id]
			switch {
			case now.After(run.leaseExpiresAt):
				f.endAttempt(w, id, platform.OutcomeLeaseExpired)
			case !now.Before(run.endsAt) && w.failing:
				w.everFailed = true
				f.endAttempt(w, id, platform.OutcomeFailed)
			case !now.Before(run.endsAt):
				f.endAttempt(w, id, platform.OutcomeSucceeded)
			}
		}
	}
}

// endAttempt ends an attempt on a worker.
func (f *fakeRacks) endAttempt(w *fakeWorker, id cluster.AttemptID, outcome platform.Outcome) {
	run := w.running[id]
	delete(w.running, id)
	w.ended[id] = platform.EndedTask{Attempt: id, Outcome: outcome, Peak: run.size, RunTime: run.endsAt.Sub(run.startedAt)}
	f.markChanged(w)
}

// markChanged includes a worker in the reports of the next exchange.
func (f *fakeRacks) markChanged(w *fakeWorker) {
	f.cursor++
	w.changeCursor = f.cursor
}

func sortedAttempts[V any](m map[cluster.AttemptID]V) []cluster.AttemptID {
	return slices.SortedFunc(maps.Keys(m), func(a, b cluster.AttemptID) int { return strings.Compare(a.String(), b.String()) })
}

// exchange handles a call of the rack service.
func (f *fakeRacks) exchange(now time.Time, req platform.ExchangeRequest) (platform.ExchangeReply, error) {
	var reply platform.ExchangeReply
	if f.down[req.Rack] {
		return reply, &platform.Error{Op: "exchange", Kind: platform.KindUnavailable}
	}
	byID := map[cluster.WorkerID]*fakeWorker{}
	for _, w := range f.workersByRack[req.Rack] {
		byID[w.id] = w
		if w.unreachable || w.dead || req.Epoch < w.epoch {
			continue
		}
		if req.Epoch > w.epoch {
			w.epoch = req.Epoch
			f.markChanged(w)
		}
		for _, run := range w.running {
			run.leaseExpiresAt = now.Add(req.Lease)
		}
	}
	for _, cmd := range req.Commands {
		reply.Results = append(reply.Results, f.handleCommand(now, req, byID[commandWorker(cmd)], cmd))
	}
	for _, w := range f.workersByRack[req.Rack] {
		if w.changeCursor > req.Since || req.Since == 0 {
			reply.Workers = append(reply.Workers, w.report(now))
		}
	}
	reply.Cursor = f.cursor
	return reply, nil
}

func (f *fakeRacks) handleCommand(now time.Time, req platform.ExchangeRequest, w *fakeWorker, cmd platform.Command) platform.CommandResult {
	switch {
	case w == nil || w.unreachable || w.dead:
		return platform.CommandUnreachable
	case req.Epoch < w.epoch:
		return platform.CommandStaleEpoch
	}
	switch command := cmd.(type) {
	case *platform.StartTask:
		return f.startAttempt(now, req, w, command)
	case *platform.StopTask:
		return f.stopAttempt(w, command.Attempt, platform.OutcomeStopped)
	case *platform.CheckpointTask:
		return f.stopAttempt(w, command.Attempt, platform.OutcomeCheckpointed)
	case *platform.ThrottleTask:
		if run, ok := w.running[command.Attempt]; ok {
			run.size.CPU = command.CPU
			f.markChanged(w)
			return platform.CommandDone
		}
		return platform.CommandNoTask
	case *platform.AcknowledgeResult:
		if _, ok := w.ended[command.Attempt]; ok {
			delete(w.ended, command.Attempt)
			f.markChanged(w)
		}
	}
	return platform.CommandDone
}

func (f *fakeRacks) stopAttempt(w *fakeWorker, id cluster.AttemptID, outcome platform.Outcome) platform.CommandResult {
	if _, ok := w.running[id]; !ok {
		return platform.CommandNoTask
	}
	f.endAttempt(w, id, outcome)
	return platform.CommandDone
}

// startAttempt starts an attempt unless it was started before, and checks capacity, limit
// and other attempts of the task.
func (f *fakeRacks) startAttempt(now time.Time, req platform.ExchangeRequest, w *fakeWorker, start *platform.StartTask) platform.CommandResult {
	if w.seenAttempts[start.Attempt] {
		return platform.CommandAttemptKnown
	}
	used := start.Size
	for _, run := range w.running {
		used = used.Add(run.size)
	}
	if !used.Fits(w.capacity) {
		f.reportFailure(fmt.Sprintf("%s starts on %s, which has a capacity of %s for %s", start.Attempt, w.id, w.capacity, used))
		return platform.CommandNoCapacity
	}
	f.checkStart(start)
	w.seenAttempts[start.Attempt] = true
	w.running[start.Attempt] = &fakeRun{size: start.Size, startedAt: now, endsAt: now.Add(f.runTime(start.Attempt)), leaseExpiresAt: now.Add(req.Lease)}
	f.markChanged(w)
	f.startCount++
	if !start.Resume {
		f.executions[start.Attempt.Task]++
	}
	if _, ok := f.firstStartAt[start.Attempt.Task.Job]; !ok {
		f.firstStartAt[start.Attempt.Task.Job] = now
	}
	return platform.CommandDone
}

// checkStart asserts that the task runs nowhere else and that its team stays within its limit.
func (f *fakeRacks) checkStart(start *platform.StartTask) {
	used := start.Size
	if f.skipChecks {
		return
	}
	for _, w := range f.workers {
		for id, run := range w.running {
			if id.Task == start.Attempt.Task {
				f.reportFailure(fmt.Sprintf("%s starts on %s while %s runs on %s", start.Attempt, start.Worker, id, w.id))
			}
			if id.Task.Job.Team == start.Attempt.Task.Job.Team {
				used = used.Add(run.size)
			}
		}
	}
	if f.teamLimit != nil && !used.Fits(f.teamLimit(start.Attempt.Task.Job.Team)) {
		f.reportFailure(fmt.Sprintf("%s starts and its team uses %s, which exceeds its limit", start.Attempt, used))
	}
}

// report returns the worker's report in the reply to an exchange.
func (w *fakeWorker) report(now time.Time) platform.WorkerReport {
	r := platform.WorkerReport{
		Worker: w.id, Capacity: w.capacity, Place: w.place, Reachable: !w.unreachable && !w.dead, Epoch: w.epoch,
	}
	for _, id := range sortedAttempts(w.running) {
		run := w.running[id]
		r.Running = append(r.Running, platform.RunningTask{Attempt: id, Size: run.size, Usage: run.size, Age: now.Sub(run.startedAt)})
	}
	for _, id := range sortedAttempts(w.ended) {
		r.Ended = append(r.Ended, w.ended[id])
	}
	return r
}
