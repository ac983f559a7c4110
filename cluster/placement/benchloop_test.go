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

// arrival is a submitted job with what its tasks really need.
type arrival struct {
	item Item
	kind *kind
	// use is the true part of the declared size, and runTime the true run time.
	use     float64
	runTime time.Duration
}

// order is the queue or the baseline that it is compared with.
type order interface {
	Next(now time.Time) (Pick, bool)
	Add(item Item)
	Started(job cluster.JobID, n int)
	Blocked(job cluster.JobID, now time.Time)
	Freed(free cluster.Resources)
	Release(team cluster.TeamName, size cluster.Resources)
	Reserved(job cluster.JobID)
	Unreserved(job cluster.JobID)
}

// fifo is first come, first served; strict waits for the first item, otherwise
// items that do not fit are passed over.
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

func (f *fifo) at(job cluster.JobID) int {
	return slices.IndexFunc(f.items, func(i Item) bool { return i.Job == job })
}

func (f *fifo) Started(job cluster.JobID, n int) {
	at := f.at(job)
	if f.items[at].Tasks -= n; f.items[at].Tasks == 0 {
		f.items = slices.Delete(f.items, at, at+1)
	}
}

func (f *fifo) Blocked(job cluster.JobID, _ time.Time) {
	f.blocked = append(f.blocked, f.items[f.at(job)].Size)
}
func (f *fifo) Freed(cluster.Resources)                     { f.blocked = f.blocked[:0] }
func (f *fifo) Release(cluster.TeamName, cluster.Resources) {}
func (f *fifo) Reserved(cluster.JobID)                      {}
func (f *fifo) Unreserved(cluster.JobID)                    {}

// running is a task of the event loop.
type running struct {
	Ending
	arrival *arrival
	// ends is the true end, and failed says that the task ran out of memory.
	ends   time.Time
	failed bool
	serial int
}

type endHeap []*running

func (h endHeap) Len() int { return len(h) }
func (h endHeap) Less(i, j int) bool {
	return cmp.Or(h[i].ends.Compare(h[j].ends), cmp.Compare(h[i].serial, h[j].serial)) < 0
}
func (h endHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)   { *h = append(*h, x.(*running)) }
func (h *endHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	return r
}

// loop runs arrivals through the decision code; time jumps from event to event.
type loop struct {
	table     *Table
	order     order
	policy    Policy
	estimator *Estimator
	now       time.Time
	ends      endHeap
	jobs      map[cluster.JobID]*arrival
	// pending counts the tasks that wait, by kind.
	pending  map[*kind]int
	waits    map[string][]time.Duration
	finished map[cluster.JobID]time.Time
	starts   int
	serial   int
	failures int
	// onStart is called after a start, for example to submit the next job.
	onStart func(k *kind)
}

func newLoop(t *Table, o order, p Policy) *loop {
	return &loop{
		table: t, order: o, policy: p, now: epoch, jobs: map[cluster.JobID]*arrival{}, pending: map[*kind]int{},
		waits: map[string][]time.Duration{}, finished: map[cluster.JobID]time.Time{},
	}
}

func (l *loop) submit(a *arrival) {
	item := a.item
	if l.estimator != nil {
		e := l.estimator.Estimate(item.Job, item.Size, item.RunTime)
		item.Size, item.RunTime = e.Size, e.RunTime
	}
	l.jobs[item.Job] = a
	l.pending[a.kind] += item.Tasks
	l.order.Add(item)
}

// schedule starts what fits now.
func (l *loop) schedule() {
	for _, job := range l.table.Expire(l.now) {
		l.order.Unreserved(job)
	}
	for pick, ok := l.order.Next(l.now); ok; pick, ok = l.order.Next(l.now) {
		item := pick.Item
		req := Request{Size: item.Size, Job: item.Job, End: l.now.Add(item.RunTime)}
		n := 1
		if item.Gang {
			n = item.Tasks
		}
		if ids := l.place(req, n); ids != nil {
			l.table.Unreserve(item.Job)
			l.order.Started(item.Job, n)
			for _, id := range ids {
				l.start(&item, id)
			}
			if l.onStart != nil {
				l.onStart(l.jobs[item.Job].kind)
			}
			continue
		}
		if pick.Reserve {
			endings := make([]Ending, len(l.ends))
			for i, r := range l.ends {
				endings[i] = r.Ending
			}
			ids, start, ok := l.table.PlanReservation(req, n, endings, l.now)
			r := Reservation{Job: item.Job, Size: item.Size, Workers: ids, Start: start, Until: start.Add(time.Hour)}
			if ok && l.table.Reserve(r) {
				l.order.Reserved(item.Job)
				continue
			}
		}
		l.order.Blocked(item.Job, l.now)
	}
}

// place occupies workers for n tasks, or none.
func (l *loop) place(req Request, n int) []cluster.WorkerID {
	var ids []cluster.WorkerID
	for range n {
		id, reason := l.policy.Place(l.table, req)
		if reason != Placed {
			for _, id := range ids {
				l.table.Release(id, req.Size)
			}
			return nil
		}
		l.table.Occupy(id, req.Size)
		ids = append(ids, id)
	}
	return ids
}

func (l *loop) start(item *Item, id cluster.WorkerID) {
	a := l.jobs[item.Job]
	l.serial++
	l.starts++
	l.pending[a.kind]--
	l.waits[a.kind.name] = append(l.waits[a.kind.name], l.now.Sub(item.Submitted))
	r := &running{
		Ending:  Ending{Worker: id, Size: item.Size, End: l.now.Add(item.RunTime)},
		arrival: a, serial: l.serial, ends: l.now.Add(a.runTime),
	}
	// A task short of memory fails half way; one short of processors takes longer.
	if need := float64(a.item.Size.Memory) * a.use; need > float64(item.Size.Memory) {
		r.failed, r.ends = true, l.now.Add(a.runTime/2)
	} else if slow := float64(a.item.Size.CPU) * a.use / float64(item.Size.CPU); slow > 1 {
		r.ends = l.now.Add(time.Duration(float64(a.runTime) * slow))
	}
	heap.Push(&l.ends, r)
}

// end ends the next task.
func (l *loop) end() {
	r := heap.Pop(&l.ends).(*running)
	l.now = r.ends
	l.table.Release(r.Worker, r.Size)
	job := r.arrival.item.Job
	l.order.Release(job.Team, r.Size)
	w, _ := l.table.Get(r.Worker)
	l.order.Freed(w.Free())
	l.finished[job] = l.now
	if r.failed {
		l.failures++
		again := r.arrival.item
		again.Job.Name += "-again"
		again.Tasks = 1
		again.Gang = false
		l.jobs[again.Job] = r.arrival
		l.pending[r.arrival.kind]++
		l.order.Add(again)
		return
	}
	if l.estimator != nil {
		size := r.arrival.item.Size
		peak := cluster.Resources{
			CPU:    min(r.Size.CPU, cluster.CPU(float64(size.CPU)*r.arrival.use)),
			Memory: cluster.Bytes(float64(size.Memory) * r.arrival.use),
		}
		l.estimator.Observe(Report{Job: job, Granted: r.Size, Peak: peak, RunTime: r.arrival.runTime})
	}
}

// run works through arrivals, ordered by time, and what they start, until a time.
func (l *loop) run(arrivals []*arrival, until time.Time) {
	for next := 0; ; {
		for next < len(arrivals) && !arrivals[next].item.Submitted.After(l.now) {
			l.submit(arrivals[next])
			next++
		}
		l.schedule()
		switch {
		case next < len(arrivals) && (len(l.ends) == 0 || arrivals[next].item.Submitted.Before(l.ends[0].ends)):
			l.now = arrivals[next].item.Submitted
		case len(l.ends) > 0 && !l.ends[0].ends.After(until):
			l.end()
		default:
			return
		}
	}
}

// newArrival draws a job of a kind: it uses 30 to 90% of its declared size and 30 to 200% of its declared run time.
func newArrival(r *rand.Rand, k *kind, serial int, at time.Time) *arrival {
	// The use and run time of a kind are mostly stable, with some variation from run to run.
	base := 0.3 + 0.5*float64(len(k.name)%5)/4
	return &arrival{
		kind: k, use: base + 0.1*r.Float64(),
		runTime: time.Duration(float64(k.runTime) * (0.3 + 0.4*float64(len(k.name)%4) + 0.5*r.Float64())),
		item: Item{
			Job:  cluster.JobID{Team: k.team, Name: cluster.JobName(fmt.Sprintf("%s-%d", k.name, serial))},
			Size: k.size(), Tasks: max(1, k.gang), Gang: k.gang > 0, Priority: k.priority,
			Submitted: at, RunTime: k.runTime, MaxWait: k.maxWait,
		},
	}
}

// unused is free capacity as parts of the fleet's.
type unused struct{ cpu, memory, reserved float64 }

// add adds one of n samples.
func (u *unused) add(s unused, n float64) {
	u.cpu, u.memory, u.reserved = u.cpu+s.cpu/n, u.memory+s.memory/n, u.reserved+s.reserved/n
}

func (u *unused) report(b *testing.B) {
	b.ReportMetric(100*(u.cpu+u.memory)/2, "unusable-%")
	b.ReportMetric(100*u.cpu, "cpu-%")
	b.ReportMetric(100*u.memory, "memory-%")
	b.ReportMetric(100*u.reserved, "reserved-%")
}

// unusable returns the free capacity that no pending task fits into. What
// reservations keep free is not in it.
func (l *loop) unusable() (u unused) {
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

// policies are the compared ones; the baselines take the queue in strict order.
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

// BenchmarkUnusable measures the share of capacity that no pending task fits
// into: once 10,000 pending items filled 590 empty workers (the mean of five
// seeds), and on average over 8 hours of a full fleet whose started jobs are
// replaced by pending ones of their kind. The full fleet runs the mix without
// services and urgent work, which do not wait in a full fleet.
func BenchmarkUnusable(b *testing.B) {
	for _, m := range []struct {
		name  string
		mix   []kind
		cores []cluster.CPU
	}{{"erzaehlwerk", erzaehlwerk, []cluster.CPU{16}}, {"caroni", caroni, []cluster.CPU{32}}, {"both", bothMixes, nil}} {
		batch := slices.DeleteFunc(slices.Clone(m.mix), func(k kind) bool { return k.service || k.priority == cluster.PriorityUrgent })
		for _, p := range policies {
			b.Run("fill/"+m.name+"/"+p.name, func(b *testing.B) {
				const seeds = 5
				var u unused
				for range b.N {
					u = unused{}
					for seed := range uint64(seeds) {
						l, _ := saturated(seed, p.policy(), p.packTurns, m.mix, m.cores)
						u.add(l.unusable(), seeds)
					}
				}
				u.report(b)
			})
			b.Run("full/"+m.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					l, random := saturated(6, p.policy(), p.packTurns, batch, m.cores)
					u, distance := l.churn(random)
					u.report(b)
					b.ReportMetric(100*distance, "distance-%")
				}
			})
		}
	}
}

// saturated returns a fleet of 590 workers that 10,000 items have filled.
func saturated(seed uint64, policy Policy, packTurns int, mix []kind, cores []cluster.CPU) (*loop, *rand.Rand) {
	random := rand.New(rand.NewPCG(5, seed))
	table := fleet(590, cores...)
	l := newLoop(table, NewQueue(QueueConfig{Total: table.Total(), PackTurns: packTurns}), policy)
	for i := range pendingItems {
		l.submit(newArrival(random, draw(random, mix), i, l.now))
	}
	l.schedule()
	return l, random
}

// churn runs a full fleet for 16 hours; it returns what was unusable in the
// second half and the mean distance of the teams from their shares.
func (l *loop) churn(random *rand.Rand) (u unused, distance float64) {
	const warm, measured, every = 8 * time.Hour, 8 * time.Hour, 50
	serial, sampled, samples := pendingItems, 0, 0
	l.onStart = func(k *kind) {
		serial++
		l.submit(newArrival(random, k, serial, l.now))
	}
	for l.schedule(); l.now.Sub(epoch) < warm+measured; l.schedule() {
		if l.now.Sub(epoch) > warm && l.starts >= sampled+every {
			sampled = l.starts
			samples++
			u.add(l.unusable(), 1)
			shares := l.order.(*Queue).Shares()
			for _, s := range shares {
				distance += max(s.Distance(), -s.Distance()) / float64(len(shares))
			}
		}
		l.end()
	}
	total := unused{}
	total.add(u, float64(samples))
	return total, distance / float64(samples)
}

// BenchmarkEmptyWorkers measures how many of 590 workers stay empty, for large
// and gang jobs, while tasks come and go at half load.
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
	random, table := rand.New(rand.NewPCG(5, 9)), fleet(590)
	var tasks []Ending
	used, empty, samples := cluster.Resources{}, 0, 0
	for step := range steps {
		for used.DominantShare(table.Total()) < 0.5 {
			size := draw(random, bothMixes).size()
			id, reason := policy.Place(table, Request{Size: size})
			if reason != Placed {
				break
			}
			table.Occupy(id, size)
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
				empty += boolCount(w.Used.IsZero())
			}
		}
	}
	return float64(empty) / float64(samples)
}
