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
	Started(job cluster.JobID, n int)
	Blocked(job cluster.JobID, now time.Time)
	Freed(free cluster.Resources)
	Release(team cluster.TeamName, size cluster.Resources)
	Reserved(job cluster.JobID)
	Unreserved(job cluster.JobID)
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

func (f *fifo) Started(job cluster.JobID, n int) {
	at := f.indexOf(job)
	if f.items[at].Tasks -= n; f.items[at].Tasks == 0 {
		f.items = slices.Delete(f.items, at, at+1)
	}
}

func (f *fifo) Blocked(job cluster.JobID, _ time.Time) {
	f.blocked = append(f.blocked, f.items[f.indexOf(job)].Size)
}
func (f *fifo) Freed(cluster.Resources)                     { f.blocked = f.blocked[:0] }
func (f *fifo) Release(cluster.TeamName, cluster.Resources) {}
func (f *fifo) Reserved(cluster.JobID)                      {}
func (f *fifo) Unreserved(cluster.JobID)                    {}

// simulatedTask is a running task of a simulation.
type simulatedTask struct {
	Ending
	arrival *arrival
	// endsAt is the real end; failed reports that the task runs out of memory then.
	endsAt time.Time
	failed bool
	serial int
}

type taskHeap []*simulatedTask

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	return cmp.Or(h[i].endsAt.Compare(h[j].endsAt), cmp.Compare(h[i].serial, h[j].serial)) < 0
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(*simulatedTask)) }
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	return r
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
	// pending counts the waiting tasks of each kind.
	pending    map[*jobKind]int
	waitTimes  map[string][]time.Duration
	finishedAt map[cluster.JobID]time.Time
	startCount int
	serial     int
	failures   int
	// onStart is called after each start, for example to submit another job.
	onStart func(k *jobKind)
}

func newSimulation(t *Table, o itemQueue, p Policy) *simulation {
	return &simulation{
		table: t, queue: o, policy: p, now: epoch, jobs: map[cluster.JobID]*arrival{}, pending: map[*jobKind]int{},
		waitTimes: map[string][]time.Duration{}, finishedAt: map[cluster.JobID]time.Time{},
	}
}

func (l *simulation) submit(a *arrival) {
	item := a.item
	if l.estimator != nil {
		e := l.estimator.Estimate(item.Job, item.Size, item.RunTime)
		item.Size, item.RunTime = e.Size, e.RunTime
	}
	l.jobs[item.Job] = a
	l.pending[a.kind] += item.Tasks
	l.queue.Add(item)
}

// schedule starts all items that fit now.
func (l *simulation) schedule() {
	for _, job := range l.table.Expire(l.now) {
		l.queue.Unreserved(job)
	}
	for pick, ok := l.queue.Next(l.now); ok; pick, ok = l.queue.Next(l.now) {
		item := pick.Item
		req := Request{Size: item.Size, Job: item.Job, End: l.now.Add(item.RunTime)}
		n := 1
		if item.Gang {
			n = item.Tasks
		}
		if ids := l.place(req, n); ids != nil {
			l.table.Unreserve(item.Job)
			l.queue.Started(item.Job, n)
			for _, id := range ids {
				l.startTask(&item, id)
			}
			if l.onStart != nil {
				l.onStart(l.jobs[item.Job].kind)
			}
			continue
		}
		if pick.Reserve {
			endings := make([]Ending, len(l.running))
			for i, r := range l.running {
				endings[i] = r.Ending
			}
			ids, start, ok := l.table.PlanReservation(req, n, endings, l.now)
			r := Reservation{Job: item.Job, Size: item.Size, Workers: ids, Start: start, Until: start.Add(time.Hour)}
			if ok && l.table.Reserve(r) {
				l.queue.Reserved(item.Job)
				continue
			}
		}
		l.queue.Blocked(item.Job, l.now)
	}
}

// place allocates capacity for n tasks, or for none of them.
func (l *simulation) place(req Request, n int) []cluster.WorkerID {
	var ids []cluster.WorkerID
	for range n {
		id, reason := l.policy.Place(l.table, req)
		if reason != Placed {
			for _, id := range ids {
				l.table.Release(id, req.Size)
			}
			return nil
		}
		l.table.Allocate(id, req.Size)
		ids = append(ids, id)
	}
	return ids
}

func (l *simulation) startTask(item *Item, id cluster.WorkerID) {
	a := l.jobs[item.Job]
	l.serial++
	l.startCount++
	l.pending[a.kind]--
	l.waitTimes[a.kind.name] = append(l.waitTimes[a.kind.name], l.now.Sub(item.Submitted))
	r := &simulatedTask{
		Ending:  Ending{Worker: id, Size: item.Size, End: l.now.Add(item.RunTime)},
		arrival: a, serial: l.serial, endsAt: l.now.Add(a.runTime),
	}
	// A task with too little memory fails halfway; one with too little CPU takes longer.
	if need := float64(a.item.Size.Memory) * a.usedFraction; need > float64(item.Size.Memory) {
		r.failed, r.endsAt = true, l.now.Add(a.runTime/2)
	} else if slow := float64(a.item.Size.CPU) * a.usedFraction / float64(item.Size.CPU); slow > 1 {
		r.endsAt = l.now.Add(time.Duration(float64(a.runTime) * slow))
	}
	heap.Push(&l.running, r)
}

// finishNextTask advances the time to the next end of a task and processes it.
func (l *simulation) finishNextTask() {
	r := heap.Pop(&l.running).(*simulatedTask)
	l.now = r.endsAt
	l.table.Release(r.Worker, r.Size)
	job := r.arrival.item.Job
	l.queue.Release(job.Team, r.Size)
	w, _ := l.table.Get(r.Worker)
	l.queue.Freed(w.Free())
	l.finishedAt[job] = l.now
	if r.failed {
		l.failures++
		again := r.arrival.item
		again.Job.Name += "-again"
		again.Tasks = 1
		again.Gang = false
		l.jobs[again.Job] = r.arrival
		l.pending[r.arrival.kind]++
		l.queue.Add(again)
		return
	}
	if l.estimator != nil {
		size := r.arrival.item.Size
		peak := cluster.Resources{
			CPU:    min(r.Size.CPU, cluster.CPU(float64(size.CPU)*r.arrival.usedFraction)),
			Memory: cluster.Bytes(float64(size.Memory) * r.arrival.usedFraction),
		}
		l.estimator.Observe(Report{Job: job, Granted: r.Size, Peak: peak, RunTime: r.arrival.runTime})
	}
}

// run processes arrivals, ordered by time, and the tasks that they start, up to the given time.
func (l *simulation) run(arrivals []*arrival, until time.Time) {
	for next := 0; ; {
		for next < len(arrivals) && !arrivals[next].item.Submitted.After(l.now) {
			l.submit(arrivals[next])
			next++
		}
		l.schedule()
		switch {
		case next < len(arrivals) && (len(l.running) == 0 || arrivals[next].item.Submitted.Before(l.running[0].endsAt)):
			l.now = arrivals[next].item.Submitted
		case len(l.running) > 0 && !l.running[0].endsAt.After(until):
			l.finishNextTask()
		default:
			return
		}
	}
}

// newArrival returns a random job of a kind. Its tasks use 30 to 90% of the declared size
// and run for 30 to 200% of the declared run time.
func newArrival(r *rand.Rand, k *jobKind, serial int, at time.Time) *arrival {
	// Usage and run time are similar for all jobs of a kind, with some random variation.
	base := 0.3 + 0.5*float64(len(k.name)%5)/4
	return &arrival{
		kind: k, usedFraction: base + 0.1*r.Float64(),
		runTime: time.Duration(float64(k.runTime) * (0.3 + 0.4*float64(len(k.name)%4) + 0.5*r.Float64())),
		item: Item{
			Job:  cluster.JobID{Team: k.team, Name: cluster.JobName(fmt.Sprintf("%s-%d", k.name, serial))},
			Size: k.size(), Tasks: max(1, k.gang), Gang: k.gang > 0, Priority: k.priority,
			Submitted: at, RunTime: k.runTime, MaxWait: k.maxWait,
		},
	}
}

// unusedCapacity is free capacity as fractions of the total capacity.
type unusedCapacity struct{ cpu, memory, reserved float64 }

// addSample adds one of n samples to the mean.
func (u *unusedCapacity) addSample(s unusedCapacity, n float64) {
	u.cpu, u.memory, u.reserved = u.cpu+s.cpu/n, u.memory+s.memory/n, u.reserved+s.reserved/n
}

func (u *unusedCapacity) report(b *testing.B) {
	b.ReportMetric(100*(u.cpu+u.memory)/2, "unusable-%")
	b.ReportMetric(100*u.cpu, "cpu-%")
	b.ReportMetric(100*u.memory, "memory-%")
	b.ReportMetric(100*u.reserved, "reserved-%")
}

// unusable returns the free capacity that no pending task fits into. Capacity kept free by reservations is counted separately.
func (l *simulation) unusable() (u unusedCapacity) {
	for i := range l.table.workers {
		free := l.table.workers[i].Free()
		c, m := float64(free.CPU)/float64(l.table.Total().CPU), float64(free.Memory)/float64(l.table.Total().Memory)
		if l.table.nodes[i].reservation != nil {
			u.reserved += (c + m) / 2
			continue
		}
		fits := false
		for k, n := range l.pending {
			fits = fits || n > 0 && k.size().Fits(free)
		}
		if !fits {
			u.cpu, u.memory = u.cpu+c, u.memory+m
		}
	}
	return u
}

// policies are the compared placement policies; the baselines use strict queue order.
var policies = []struct {
	name      string
	policy    func() Policy
	packTurns int
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
						l, _ := newSaturatedSimulation(seed, p.policy(), p.packTurns, m.mix, m.cores)
						u.addSample(l.unusable(), seeds)
					}
				}
				u.report(b)
			})
			b.Run("full/"+m.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					l, random := newSaturatedSimulation(6, p.policy(), p.packTurns, batch, m.cores)
					u, distance := l.measureChurn(random)
					u.report(b)
					b.ReportMetric(100*distance, "distance-%")
				}
			})
		}
	}
}

// newSaturatedSimulation returns a fleet of 590 workers filled from 10,000 items.
func newSaturatedSimulation(seed uint64, policy Policy, packTurns int, mix []jobKind, cores []cluster.CPU) (*simulation, *rand.Rand) {
	random := rand.New(rand.NewPCG(5, seed))
	table := newFleet(590, cores...)
	l := newSimulation(table, NewQueue(QueueConfig{Total: table.Total(), PackTurns: packTurns}), policy)
	for i := range pendingItems {
		l.submit(newArrival(random, drawKind(random, mix), i, l.now))
	}
	l.schedule()
	return l, random
}

// measureChurn simulates a full fleet for 16 hours. It returns the mean unusable capacity
// in the second half and the mean difference between the teams' dominant and entitled shares.
func (l *simulation) measureChurn(random *rand.Rand) (u unusedCapacity, distance float64) {
	const warm, measured, every = 8 * time.Hour, 8 * time.Hour, 50
	serial, sampled, samples := pendingItems, 0, 0
	l.onStart = func(k *jobKind) {
		serial++
		l.submit(newArrival(random, k, serial, l.now))
	}
	for l.schedule(); l.now.Sub(epoch) < warm+measured; l.schedule() {
		if l.now.Sub(epoch) > warm && l.startCount >= sampled+every {
			sampled = l.startCount
			samples++
			u.addSample(l.unusable(), 1)
			shares := l.queue.(*Queue).Shares()
			for _, s := range shares {
				distance += max(s.Distance(), -s.Distance()) / float64(len(shares))
			}
		}
		l.finishNextTask()
	}
	total := unusedCapacity{}
	total.addSample(u, float64(samples))
	return total, distance / float64(samples)
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

func emptyWorkers(policy Policy) float64 {
	const warm, steps, every = 20_000, 40_000, 100
	random, table := rand.New(rand.NewPCG(5, 9)), newFleet(590)
	var tasks []Ending
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
			tasks = append(tasks, Ending{Worker: id, Size: size})
		}
		at := random.IntN(len(tasks))
		done := tasks[at]
		tasks = slices.Delete(tasks, at, at+1)
		table.Release(done.Worker, done.Size)
		used = used.Sub(done.Size)
		if step >= warm && step%every == 0 {
			samples++
			for _, w := range table.Workers() {
				empty += boolToInt(w.Used.IsZero())
			}
		}
	}
	return float64(empty) / float64(samples)
}
