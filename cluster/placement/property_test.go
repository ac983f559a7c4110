package placement

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// The fixed seed makes CI runs reproducible; -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

var testStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

var (
	genSize = rapid.Custom(func(t *rapid.T) cluster.Resources {
		return cluster.Resources{
			CPU:          cluster.CPU(rapid.IntRange(0, 18).Draw(t, "cpu") * 500),
			Memory:       cluster.Bytes(rapid.IntRange(0, 18).Draw(t, "memory")) * cluster.GiB / 2,
			Accelerators: int64(max(0, rapid.IntRange(-8, 3).Draw(t, "accelerators"))),
		}
	})
	genWorker = rapid.Custom(func(t *rapid.T) Worker {
		id := rapid.IntRange(0, 11).Draw(t, "worker")
		return Worker{
			ID: cluster.WorkerID(fmt.Sprint("w", id)), Rack: cluster.RackID(fmt.Sprint("r", id/3)),
			Place: cluster.Place{Zone: cluster.Zone(fmt.Sprint("z", id/6))},
			Capacity: cluster.Resources{
				CPU:          cluster.CPU(rapid.SampledFrom([]int{4000, 8000, 8100}).Draw(t, "cores")),
				Memory:       rapid.SampledFrom([]cluster.Bytes{4 * cluster.GiB, 8 * cluster.GiB}).Draw(t, "memory"),
				Accelerators: rapid.SampledFrom([]int64{0, 0, 2}).Draw(t, "accelerators"),
			},
			Closed: rapid.IntRange(0, 5).Draw(t, "closed") == 0,
		}
	})
)

// linearScan is the reference implementation of Place: it checks every worker.
func linearScan(t *Table, req Request) (fits bool, reason Reason) {
	reason = TooLarge
	for i := range t.workers {
		w := &t.workers[i]
		switch {
		case !req.Size.Fits(w.Capacity):
		case w.Closed:
			if reason == TooLarge {
				reason = AllClosed
			}
		case req.Size.Fits(t.freeFor(t.nodes[i], &req)):
			return true, Placed
		default:
			reason = NoFreeCapacity
		}
	}
	return false, reason
}

// Guards against an index that loses a worker, overcommits one or gives a wrong reason,
// and against placement that depends on the history of the table instead of its contents.
func TestPlaceMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w, size := genWorker.Draw(t, "worker"), genSize.Draw(t, "size")
			req := Request{Size: size, Spread: rapid.Bool().Draw(t, "spread")}
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0, 1:
				table.Set(w)
			case 2:
				table.Remove(w.ID)
			case 3:
				table.SetClosed(w.ID, w.Closed)
			case 4:
				table.Release(w.ID, size)
			default:
				id, reason := table.Place(req)
				if fits, want := linearScan(table, req); fits != (reason == Placed) || reason != want {
					t.Fatalf("placing %v: got %v, but a linear scan gives %v", size, reason, want)
				}
				if e := table.Explain(req); (e.Fits > 0) != (reason == Placed) {
					t.Fatalf("placing %v: got %v, but Explain returned %v", size, reason, e)
				}
				if reason == Placed && !table.Allocate(id, size) {
					t.Fatalf("placed %v on %s, which has too little free capacity", size, id)
				}
			}
			for _, w := range table.Workers() {
				if !w.Used.Fits(w.Capacity) {
					t.Fatalf("%s uses %v of %v", w.ID, w.Used, w.Capacity)
				}
			}
		}
		rebuilt, req := NewTable(), Request{Size: genSize.Draw(t, "last")}
		for _, w := range slices.Backward(table.Workers()) {
			rebuilt.Set(w)
		}
		for _, req.Spread = range []bool{false, true} {
			if a, _ := table.Place(req); a != func() cluster.WorkerID { b, _ := rebuilt.Place(req); return b }() {
				t.Fatalf("a table with the same workers added in another order places %v on another worker than %s", req.Size, a)
			}
		}
	})
}

// Guards against memory allocations by a placement, which is on the hot path of the control loop.
func TestPlaceDoesNotAllocate(t *testing.T) {
	table := NewTable()
	for i := range 64 {
		table.Set(Worker{ID: cluster.WorkerID(fmt.Sprint("w", i)), Rack: "r", Capacity: cluster.Resources{CPU: 16000, Memory: 64 * cluster.GiB}})
	}
	req := Request{Size: cluster.Resources{CPU: 1000, Memory: cluster.GiB}}
	allocations := testing.AllocsPerRun(100, func() {
		id, _ := table.Place(req)
		table.Allocate(id, req.Size)
		table.Release(id, req.Size)
	})
	if allocations > 0 {
		t.Fatalf("%v allocations per placement", allocations)
	}
}

// Guards against a gang job that is placed partially, or that leaves capacity allocated.
func TestPlaceAllIsAllOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		for _, w := range rapid.SliceOfN(genWorker, 1, 12).Draw(t, "workers") {
			table.Set(w)
		}
		before := slices.Clone(table.Workers())
		req, n := Request{Size: genSize.Draw(t, "size")}, rapid.IntRange(1, 20).Draw(t, "tasks")
		ids, reason := table.PlaceAll(req, n)
		if !slices.Equal(before, table.Workers()) {
			t.Fatalf("workers changed from %v to %v", before, table.Workers())
		}
		if reason == Placed && len(ids) != n {
			t.Fatalf("placed %d of %d tasks", len(ids), n)
		}
		for _, id := range ids {
			if !table.Allocate(id, req.Size) {
				t.Fatalf("PlaceAll returned %s too often: its free capacity does not suffice", id)
			}
		}
	})
}

// Guards against backfill that delays the holder of a reservation: if all run times are
// as expected, the holder starts at the planned time.
func TestBackfillNeverDelaysReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(), testStart
		for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
			table.Set(Worker{
				ID: cluster.WorkerID(fmt.Sprint("w", i)), Rack: "r",
				Capacity: cluster.Resources{CPU: 8000, Memory: 8 * cluster.GiB},
			})
		}
		var running []TaskEnd
		start := func(req Request) {
			if id, reason := table.Place(req); reason == Placed && table.Allocate(id, req.Size) {
				running = append(running, TaskEnd{Worker: id, Size: req.Size, EndAt: req.EndAt})
			}
		}
		task := func(withEnd bool) Request {
			req := Request{Size: genSize.Draw(t, "size")}
			if withEnd {
				req.EndAt = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "minutes")) * time.Minute)
			}
			return req
		}
		for range rapid.IntRange(0, 20).Draw(t, "before") {
			start(task(true))
		}
		gang := Request{Job: cluster.JobID{Team: "a", Name: "gang"}, Size: cluster.Resources{CPU: 5000, Memory: 2 * cluster.GiB}}
		n := rapid.IntRange(1, len(table.Workers())).Draw(t, "tasks")
		ids, planned, ok := table.PlanReservation(gang, n, running, now)
		if !ok || !table.Reserve(Reservation{Job: gang.Job, Size: gang.Size, Workers: ids, Start: planned, ExpiresAt: planned.Add(time.Hour)}) {
			t.Fatalf("could not reserve workers for %d tasks on %v", n, table.Workers())
		}
		for now.Before(planned) {
			for range rapid.IntRange(0, 5).Draw(t, "arrivals") {
				start(task(rapid.Bool().Draw(t, "known end")))
			}
			now = now.Add(time.Minute)
			running = slices.DeleteFunc(running, func(e TaskEnd) bool {
				done := !e.EndAt.IsZero() && !e.EndAt.After(now)
				if done {
					table.Release(e.Worker, e.Size)
				}
				return done
			})
		}
		if _, reason := table.PlaceAll(gang, n); reason != Placed {
			t.Fatalf("the gang job cannot start at the planned time %v: %v", planned, table.Explain(gang))
		}
	})
}

// Guards against entitled shares that do not add up, that exceed a demand or that depend on the order of the teams.
func TestWaterFilling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, demand := NewQueue(QueueConfig{Total: cluster.Resources{CPU: 100_000}}), 0.0
		for i := range rapid.IntRange(1, 32).Draw(t, "teams") {
			team := cluster.TeamName(fmt.Sprint("t", i))
			q.SetTeam(team, TeamConfig{Weight: rapid.IntRange(1, 10).Draw(t, "weight")})
			cpu := rapid.IntRange(0, 60_000).Draw(t, "cpu")
			q.AddUsage(team, cluster.Resources{CPU: cluster.CPU(cpu)})
			demand += float64(cpu) / 100_000
		}
		sum, minUnsatisfied, maxPerWeight := 0.0, 1.0, 0.0
		for _, s := range q.Shares() {
			if s.Entitled > s.Demand+1e-9 {
				t.Fatalf("%s is entitled to %v but demands only %v", s.Team, s.Entitled, s.Demand)
			}
			perWeight := s.Entitled / float64(q.teams[s.Team].cfg.Weight)
			sum, maxPerWeight = sum+s.Entitled, max(maxPerWeight, perWeight)
			if s.Entitled < s.Demand-1e-9 {
				minUnsatisfied = min(minUnsatisfied, perWeight)
			}
		}
		if want := min(1, demand); sum < want-1e-9 || sum > want+1e-9 {
			t.Fatalf("entitled shares add up to %v, want %v", sum, want)
		}
		if minUnsatisfied < maxPerWeight-1e-9 {
			t.Fatalf("a team with unmet demand is entitled to %v per weight, but another team to %v", minUnsatisfied, maxPerWeight)
		}
	})
}

// Guards against starvation of deferrable items by a stream of urgent and normal ones:
// a due item starts within dueStartInterval starts for each due item before it.
func TestDueWorkIsNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := NewQueue(QueueConfig{Total: cluster.Resources{CPU: 1000}, MaxWait: time.Hour}), testStart
		startsLeft, serial := -1, 0
		add := func(priority cluster.Priority) cluster.JobID {
			serial++
			job := cluster.JobID{Team: cluster.TeamName(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team"))), Name: cluster.JobName(fmt.Sprint(serial))}
			q.Add(Item{Job: job, Priority: priority, Size: cluster.Resources{CPU: 10}, Tasks: 1, SubmittedAt: now})
			return job
		}
		for range rapid.IntRange(0, 20).Draw(t, "before") {
			add(cluster.PriorityDeferrable)
		}
		watched := add(cluster.PriorityDeferrable)
		itemsAhead := q.Len()
		for range 400 {
			for range 2 {
				add(cluster.Priority(rapid.IntRange(0, 2).Draw(t, "priority")))
			}
			now = now.Add(time.Minute)
			if startsLeft < 0 && !now.Before(testStart.Add(time.Hour)) {
				startsLeft = dueStartInterval * itemsAhead
			}
			pick, _ := q.Next(now)
			q.RecordStarts(pick.Item.Job, 1)
			if pick.Item.Job == watched {
				return
			}
			if startsLeft == 0 {
				t.Fatalf("due item did not start within %d starts", dueStartInterval*itemsAhead)
			}
			startsLeft--
			if rapid.Bool().Draw(t, "ends") {
				q.SubtractUsage(pick.Item.Job.Team, pick.Item.Size)
			}
		}
		t.Fatal("due item did not start")
	})
}

// Guards against items that are lost or never retried if a team has more than
// maxExactGroups sizes: all must start if capacity is freed repeatedly.
func TestManySizesAllStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const items = 4 * maxExactGroups
		table, now := NewTable(), testStart
		table.Set(Worker{ID: "w", Rack: "r", Capacity: cluster.Resources{CPU: 10_000}})
		q := NewQueue(QueueConfig{Total: table.Total()})
		for i := range items {
			size := cluster.Resources{CPU: cluster.CPU(rapid.IntRange(1, 10_000).Draw(t, "cpu"))}
			q.Add(Item{Job: cluster.JobID{Team: "a", Name: cluster.JobName(fmt.Sprint(i))}, Size: size, Tasks: 1, Priority: cluster.PriorityNormal})
		}
		for range items {
			for pick, ok := q.Next(now); ok; pick, ok = q.Next(now) {
				if _, reason := table.Place(Request{Size: pick.Item.Size}); reason == Placed {
					table.Allocate("w", pick.Item.Size)
					q.RecordStarts(pick.Item.Job, 1)
					continue
				}
				q.MarkBlocked(pick.Item.Job, now)
			}
			table.Release("w", table.Total())
			q.RecordFreed(table.workers[0].Free())
		}
		if q.Len() > 0 {
			t.Fatalf("%d of %d items did not start", q.Len(), items)
		}
	})
}

// Guards against starvation of a large item by small ones that fit into every gap.
// Deferrable items get a reservation only once they are due.
func TestLargeItemIsNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const skips = 20
		table, now := NewTable(), testStart
		table.Set(Worker{ID: "w", Rack: "r", Capacity: cluster.Resources{CPU: 8000}})
		q := NewQueue(QueueConfig{Total: table.Total(), MaxSkips: skips})
		large := Item{Job: cluster.JobID{Team: "b", Name: "large"}, Size: cluster.Resources{CPU: 8000}, Tasks: 1, SubmittedAt: now}
		large.Priority = cluster.Priority(rapid.IntRange(0, 1).Draw(t, "priority"))
		large.MaxWait = 20 * time.Minute
		var running []TaskEnd
		starts, maxStarts, largeBlocked := 0, -1, false
		for minute := range 300 {
			for i := range 4 {
				job := cluster.JobID{Team: "a", Name: cluster.JobName(fmt.Sprint(minute, "-", i))}
				q.Add(Item{Job: job, Size: cluster.Resources{CPU: 1000}, Tasks: 1, SubmittedAt: now, RunTime: 5 * time.Minute, Priority: cluster.PriorityNormal})
			}
			if minute == 10 {
				q.Add(large)
			}
			now = now.Add(time.Minute)
			running = slices.DeleteFunc(running, func(e TaskEnd) bool {
				if !e.EndAt.After(now) {
					table.Release(e.Worker, e.Size)
					return true
				}
				return false
			})
			q.RecordFreed(table.workers[0].Free())
			for pick, ok := q.Next(now); ok; pick, ok = q.Next(now) {
				item := pick.Item
				req := Request{Job: item.Job, Size: item.Size, EndAt: now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "minutes")) * time.Minute)}
				id, reason := table.Place(req)
				switch {
				case reason == Placed && item.Job == large.Job:
					return
				case reason == Placed:
					table.Allocate(id, item.Size)
					table.Unreserve(item.Job)
					q.RecordStarts(item.Job, 1)
					running = append(running, TaskEnd{Worker: id, Size: item.Size, EndAt: req.EndAt})
					if starts++; maxStarts >= 0 && starts > maxStarts {
						t.Fatalf("the large item has not started after %d starts of other items", starts)
					}
				case pick.Starved:
					ids, start, _ := table.PlanReservation(req, 1, running, now)
					if table.Reserve(Reservation{Job: item.Job, Size: item.Size, Workers: ids, Start: start, ExpiresAt: start.Add(time.Hour)}) {
						q.MarkReserved(item.Job)
					} else {
						q.MarkBlocked(item.Job, now)
					}
				default:
					q.MarkBlocked(item.Job, now)
					largeBlocked = largeBlocked || item.Job == large.Job
				}
			}
			if due := !now.Before(testStart.Add(large.MaxWait)); maxStarts < 0 && largeBlocked && (due || large.Priority == cluster.PriorityNormal) {
				// After the allowed skips, only tasks that end within the 5 minutes before the reservation's
				// start fit: at most 8 at a time.
				maxStarts = starts + skips + 5*8
			}
		}
		t.Fatal("the large item did not start")
	})
}
