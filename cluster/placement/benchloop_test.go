package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// arrival is a submitted job and what its tasks really need.
type arrival struct {
	item Item
	kind *jobKind
	// usedFraction is the fraction of the declared size that is really used, and runTime the real run time.
	usedFraction float64
	runTime      time.Duration
}

// itemQueue is implemented by Queue and by the baseline that it is compared with.
type itemQueue interface {
	Next(now time.Time) (Pick, bool)
	Add(item Item)
	RecordStarts(job cluster.JobID, n int)
	MarkBlocked(job cluster.JobID, now time.Time)
	RecordFreed(free cluster.Resources)
	SubtractUsage(team cluster.TeamName, size cluster.Resources)
	MarkReserved(job cluster.JobID)
	MarkUnreserved(job cluster.JobID)
}

// fifo is a first come, first served queue. If strict is set, it waits until the first
// item fits; otherwise it skips items that do not fit.
type fifo struct {
	items   []Item
	blocked []cluster.Resources
	strict  bool
}

func (f *fifo) Add(item Item) { f.items = append(f.items, item) }

func (f *fifo) Next(time.Time) (Pick, bool) {
	for i := range f.items {
		if !slices.ContainsFunc(f.blocked, func(b cluster.Resources) bool { return b.Fits(f.items[i].Size) }) {
			return Pick{Item: f.items[i]}, true
		}
		if f.strict {
			break
		}
	}
	return Pick{}, false
}

func (f *fifo) indexOf(job cluster.JobID) int {
	return slices.IndexFunc(f.items, func(i Item) bool { return i.Job == job })
}

func (f *fifo) RecordStarts(job cluster.JobID, n int) {
	i := f.indexOf(job)
	if f.items[i].Tasks -= n; f.items[i].Tasks == 0 {
		f.items = slices.Delete(f.items, i, i+1)
	}
}

func (f *fifo) MarkBlocked(job cluster.JobID, _ time.Time) {
	f.blocked = append(f.blocked, f.items[f.indexOf(job)].Size)
}
func (f *fifo) RecordFreed(cluster.Resources)                     { f.blocked = f.blocked[:0] }
func (f *fifo) SubtractUsage(cluster.TeamName, cluster.Resources) {}
func (f *fifo) MarkReserved(cluster.JobID)                        {}
func (f *fifo) MarkUnreserved(cluster.JobID)                      {}

// simulatedTask is a running task of a simulation.
type simulatedTask struct {
	TaskEnd
	arrival *arrival
	// endsAt is the real end; failed reports that the task runs out of memory then.
	endsAt time.Time
	failed bool
	// serial orders tasks with the same end by their start.
	serial int
}

// taskHeap orders tasks by their real end.
type taskHeap []*simulatedTask

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	return cmp.Or(h[i].endsAt.Compare(h[j].endsAt), cmp.Compare(h[i].serial, h[j].serial)) < 0
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(*simulatedTask)) }
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	task := (*h)[last]
	*h = (*h)[:last]
	return task
}

// simulation runs arrivals through the scheduler; its time advances from event to event.
type simulation struct {
	table     *Table
	queue     itemQueue
	policy    Policy
	estimator *Estimator
	now       time.Time
	running   taskHeap
	jobs      map[cluster.JobID]*arrival
	// pending counts the pending tasks of each kind.
	pending    map[*jobKind]int
	waitTimes  map[string][]time.Duration
	finishedAt map[cluster.JobID]time.Time
	startCount int
	serial     int
	failures   int
	// onStart is called after each start, for example to submit another job.
	onStart func(k *jobKind)
}

func newSimulation(table *Table, queue itemQueue, policy Policy) *simulation {
	return &simulation{
		table: table, queue: queue, policy: policy, now: testStart, jobs: map[cluster.JobID]*arrival{}, pending: map[*jobKind]int{},
		waitTimes: map[string][]time.Duration{}, finishedAt: map[cluster.JobID]time.Time{},
	}
}

// submit queues a job, with its estimated size and run time if there is an estimator.
func (sim *simulation) submit(a *arrival) {
	item := a.item
	if sim.estimator != nil {
		e := sim.estimator.Estimate(item.Job, item.Size, item.RunTime)
		item.Size, item.RunTime = e.Size, e.RunTime
	}
	sim.jobs[item.Job] = a
	sim.pending[a.kind] += item.Tasks
	sim.queue.Add(item)
}

// schedule starts all items that fit now.
func (sim *simulation) schedule() {
	for _, job := range sim.table.ExpireReservations(sim.now) {
		sim.queue.MarkUnreserved(job)
	}
	for pick, ok := sim.queue.Next(sim.now); ok; pick, ok = sim.queue.Next(sim.now) {
		item := pick.Item
		req := Request{Size: item.Size, Job: item.Job, EndAt: sim.now.Add(item.RunTime)}
		n := 1
		if item.Gang {
			n = item.Tasks
		}
		if ids := sim.place(req, n); ids != nil {
			sim.table.Unreserve(item.Job)
			sim.queue.RecordStarts(item.Job, n)
			for _, id := range ids {
				sim.startTask(&item, id)
			}
			if sim.onStart != nil {
				sim.onStart(sim.jobs[item.Job].kind)
			}
			continue
		}
		if pick.Starved {
			taskEnds := make([]TaskEnd, len(sim.running))
			for i, task := range sim.running {
				taskEnds[i] = task.TaskEnd
			}
			ids, start, ok := sim.table.PlanReservation(req, n, taskEnds, sim.now)
			r := Reservation{Job: item.Job, Size: item.Size, Workers: ids, Start: start, ExpiresAt: start.Add(time.Hour)}
			if ok && sim.table.Reserve(r) {
				sim.queue.MarkReserved(item.Job)
				continue
			}
		}
		sim.queue.MarkBlocked(item.Job, sim.now)
	}
}

// place allocates capacity for n tasks, or for none of them.
func (sim *simulation) place(req Request, n int) []cluster.WorkerID {
	var ids []cluster.WorkerID
	for range n {
		id, reason := sim.policy.Place(sim.table, req)
		if reason != Placed {
			for _, id := range ids {
				sim.table.Release(id, req.Size)
			}
			return nil
		}
		sim.table.Allocate(id, req.Size)
		ids = append(ids, id)
	}
	return ids
}

// startTask records the start of a task on a worker and determines when it really ends.
func (sim *simulation) startTask(item *Item, id cluster.WorkerID) {
	a := sim.jobs[item.Job]
	sim.serial++
	sim.startCount++
	sim.pending[a.kind]--
	sim.waitTimes[a.kind.name] = append(sim.waitTimes[a.kind.name], sim.now.Sub(item.SubmittedAt))
	task := &simulatedTask{
		TaskEnd: TaskEnd{Worker: id, Size: item.Size, EndAt: sim.now.Add(item.RunTime)},
		arrival: a, serial: sim.serial, endsAt: sim.now.Add(a.runTime),
	}
	// A task with too little memory fails halfway; one with too little CPU takes longer.
	if neededMemory := float64(a.item.Size.Memory) * a.usedFraction; neededMemory > float64(item.Size.Memory) {
		task.failed, task.endsAt = true, sim.now.Add(a.runTime/2)
	} else if slowdown := float64(a.item.Size.CPU) * a.usedFraction / float64(item.Size.CPU); slowdown > 1 {
		task.endsAt = sim.now.Add(time.Duration(float64(a.runTime) * slowdown))
	}
	heap.Push(&sim.running, task)
}

// finishNextTask advances the time to the next end of a task and processes it.
func (sim *simulation) finishNextTask() {
	task := heap.Pop(&sim.running).(*simulatedTask)
	sim.now = task.endsAt
	sim.table.Release(task.Worker, task.Size)
	job := task.arrival.item.Job
	sim.queue.SubtractUsage(job.Team, task.Size)
	w, _ := sim.table.Get(task.Worker)
	sim.queue.RecordFreed(w.Free())
	sim.finishedAt[job] = sim.now
	if task.failed {
		sim.failures++
		retry := task.arrival.item
		retry.Job.Name += "-again"
		retry.Tasks = 1
		retry.Gang = false
		sim.jobs[retry.Job] = task.arrival
		sim.pending[task.arrival.kind]++
		sim.queue.Add(retry)
		return
	}
	if sim.estimator != nil {
		size := task.arrival.item.Size
		peak := cluster.Resources{
			CPU:    min(task.Size.CPU, cluster.CPU(float64(size.CPU)*task.arrival.usedFraction)),
			Memory: cluster.Bytes(float64(size.Memory) * task.arrival.usedFraction),
		}
		sim.estimator.Observe(UsageReport{Job: job, Granted: task.Size, Peak: peak, RunTime: task.arrival.runTime})
	}
}

// run processes arrivals, ordered by time, and the tasks that they start, up to the given time.
func (sim *simulation) run(arrivals []*arrival, until time.Time) {
	for next := 0; ; {
		for next < len(arrivals) && !arrivals[next].item.SubmittedAt.After(sim.now) {
			sim.submit(arrivals[next])
			next++
		}
		sim.schedule()
		switch {
		case next < len(arrivals) && (len(sim.running) == 0 || arrivals[next].item.SubmittedAt.Before(sim.running[0].endsAt)):
			sim.now = arrivals[next].item.SubmittedAt
		case len(sim.running) > 0 && !sim.running[0].endsAt.After(until):
			sim.finishNextTask()
		default:
			return
		}
	}
}

// newArrival returns a random job of a kind. Its tasks use 30 to 90% of the declared size
// and run for 30 to 200% of the declared run time.
func newArrival(r *rand.Rand, k *jobKind, serial int, submitted time.Time) *arrival {
	// Usage and run time are similar for all jobs of a kind, with some random variation.
	baseFraction := 0.3 + 0.5*float64(len(k.name)%5)/4
	return &arrival{
		kind: k, usedFraction: baseFraction + 0.1*r.Float64(),
		runTime: time.Duration(float64(k.runTime) * (0.3 + 0.4*float64(len(k.name)%4) + 0.5*r.Float64())),
		item: Item{
			Job:  cluster.JobID{Team: k.team, Name: cluster.JobName(fmt.Sprintf("%s-%d", k.name, serial))},
			Size: k.size(), Tasks: max(1, k.gang), Gang: k.gang > 0, Priority: k.priority,
			SubmittedAt: submitted, RunTime: k.runTime, MaxWait: k.maxWait,
		},
	}
}

// unusedCapacity is free capacity as fractions of the total capacity.
type unusedCapacity struct{ cpu, memory, reserved float64 }

// addSample adds one of n samples to the mean.
func (u *unusedCapacity) addSample(s unusedCapacity, n float64) {
	u.cpu, u.memory, u.reserved = u.cpu+s.cpu/n, u.memory+s.memory/n, u.reserved+s.reserved/n
}

// report reports the fractions as percentages.
func (u *unusedCapacity) report(b *testing.B) {
	b.ReportMetric(100*(u.cpu+u.memory)/2, "unusable-%")
	b.ReportMetric(100*u.cpu, "cpu-%")
	b.ReportMetric(100*u.memory, "memory-%")
	b.ReportMetric(100*u.reserved, "reserved-%")
}

// unusable returns the free capacity that no pending task fits into. Capacity kept free by
// reservations is counted separately.
func (sim *simulation) unusable() (u unusedCapacity) {
	for i := range sim.table.workers {
		free := sim.table.workers[i].Free()
		cpu, memory := float64(free.CPU)/float64(sim.table.Total().CPU), float64(free.Memory)/float64(sim.table.Total().Memory)
		if sim.table.nodes[i].reservation != nil {
			u.reserved += (cpu + memory) / 2
			continue
		}
		fits := false
		for k, n := range sim.pending {
			fits = fits || n > 0 && k.size().Fits(free)
		}
		if !fits {
			u.cpu, u.memory = u.cpu+cpu, u.memory+memory
		}
	}
	return u
}

// policies are the compared placement policies; the baselines use strict queue order.
var policies = []struct {
	name         string
	policy       func() Policy
	packingCycle int
}{
	{"random", func() Policy { return RandomFit{rand.New(rand.NewPCG(3, 4))} }, 1},
	{"firstfit", func() Policy { return FirstFit{} }, 1},
	{"bestfit", func() Policy { return BestFit{} }, 1},
	{"indexed-strict", func() Policy { return Indexed{} }, 1},
	{"indexed", func() Policy { return Indexed{} }, 0},
}

// BenchmarkUnusable measures the fraction of capacity that no pending task fits into. The
// fill runs measure it once 10,000 pending items have filled 590 empty workers (mean of
// five seeds). The full runs measure the average over 8 hours of a full fleet on which
// each started job is replaced by a pending one of its kind; they leave out services and
// urgent jobs, which do not wait on a full fleet.
func BenchmarkUnusable(b *testing.B) {
	for _, m := range []struct {
		name  string
		mix   []jobKind
		cores []cluster.CPU
	}{{"erzaehlwerk", erzaehlwerk, []cluster.CPU{16}}, {"caroni", caroni, []cluster.CPU{32}}, {"both", bothMixes, nil}} {
		batch := slices.DeleteFunc(slices.Clone(m.mix), func(k jobKind) bool { return k.service || k.priority == cluster.PriorityUrgent })
		for _, p := range policies {
			b.Run("fill/"+m.name+"/"+p.name, func(b *testing.B) {
				const seeds = 5
				var u unusedCapacity
				for range b.N {
					u = unusedCapacity{}
					for seed := range uint64(seeds) {
						sim, _ := newSaturatedSimulation(seed, p.policy(), p.packingCycle, m.mix, m.cores)
						u.addSample(sim.unusable(), seeds)
					}
				}
				u.report(b)
			})
			b.Run("full/"+m.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					sim, random := newSaturatedSimulation(6, p.policy(), p.packingCycle, batch, m.cores)
					u, deviation := sim.measureChurn(random)
					u.report(b)
					b.ReportMetric(100*deviation, "distance-%")
				}
			})
		}
	}
}

// newSaturatedSimulation returns a fleet of 590 workers filled from 10,000 items.
func newSaturatedSimulation(seed uint64, policy Policy, packingCycle int, mix []jobKind, cores []cluster.CPU) (*simulation, *rand.Rand) {
	random := rand.New(rand.NewPCG(5, seed))
	table := newFleet(590, cores...)
	sim := newSimulation(table, NewQueue(QueueConfig{Total: table.Total(), PackingCycle: packingCycle}), policy)
	for i := range pendingItems {
		sim.submit(newArrival(random, drawKind(random, mix), i, sim.now))
	}
	sim.schedule()
	return sim, random
}

// measureChurn simulates a full fleet for 16 hours. It returns the mean unusable capacity
// in the second half and the mean difference between the teams' dominant and entitled shares.
func (sim *simulation) measureChurn(random *rand.Rand) (u unusedCapacity, deviation float64) {
	const warmUp, measured, sampleInterval = 8 * time.Hour, 8 * time.Hour, 50
	serial, lastSampledStart, samples := pendingItems, 0, 0
	sim.onStart = func(k *jobKind) {
		serial++
		sim.submit(newArrival(random, k, serial, sim.now))
	}
	for sim.schedule(); sim.now.Sub(testStart) < warmUp+measured; sim.schedule() {
		if sim.now.Sub(testStart) > warmUp && sim.startCount >= lastSampledStart+sampleInterval {
			lastSampledStart = sim.startCount
			samples++
			u.addSample(sim.unusable(), 1)
			shares := sim.queue.(*Queue).Shares()
			for _, s := range shares {
				deviation += max(s.Excess(), -s.Excess()) / float64(len(shares))
			}
		}
		sim.finishNextTask()
	}
	total := unusedCapacity{}
	total.addSample(u, float64(samples))
	return total, deviation / float64(samples)
}

// BenchmarkEmptyWorkers measures how many of 590 workers stay empty, and thus available
// to large tasks and gang jobs, while tasks start and end at half load.
func BenchmarkEmptyWorkers(b *testing.B) {
	for _, p := range policies {
		if p.name == "indexed" {
			continue
		}
		b.Run(p.name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(emptyWorkers(p.policy()), "empty")
			}
		})
	}
}

// emptyWorkers returns the mean number of empty workers.
func emptyWorkers(policy Policy) float64 {
	const warmUpSteps, steps, sampleInterval = 20_000, 40_000, 100
	random, table := rand.New(rand.NewPCG(5, 9)), newFleet(590)
	var tasks []TaskEnd
	used, empty, samples := cluster.Resources{}, 0, 0
	for step := range steps {
		for used.DominantShare(table.Total()) < 0.5 {
			size := drawKind(random, bothMixes).size()
			id, reason := policy.Place(table, Request{Size: size})
			if reason != Placed {
				break
			}
			table.Allocate(id, size)
			used = used.Add(size)
			tasks = append(tasks, TaskEnd{Worker: id, Size: size})
		}
		i := random.IntN(len(tasks))
		finished := tasks[i]
		tasks = slices.Delete(tasks, i, i+1)
		table.Release(finished.Worker, finished.Size)
		used = used.Sub(finished.Size)
		if step >= warmUpSteps && step%sampleInterval == 0 {
			samples++
			for _, w := range table.Workers() {
				empty += boolToInt(w.Used.IsZero())
			}
		}
	}
	return float64(empty) / float64(samples)
}
