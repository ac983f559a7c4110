package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// jobKind is a kind of job in a customer's mix.
type jobKind struct {
	name     string
	team     cluster.TeamName
	priority cluster.Priority
	cpu      cluster.CPU
	memory   cluster.Bytes
	gang     int
	service  bool
	runTime  time.Duration
	maxWait  time.Duration
	// weight is the relative frequency of the kind among the submitted jobs.
	weight int
}

// erzaehlwerk and caroni are the job mixes of two customers, with declared sizes.
var (
	erzaehlwerk = []jobKind{
		{name: "booking", team: "bern", cpu: 2000, memory: 4 * cluster.GiB, service: true, priority: cluster.PriorityUrgent, weight: 6},
		{name: "transcription", team: "basel", cpu: 4000, memory: 16 * cluster.GiB, runTime: 2 * time.Hour, weight: 20},
		{name: "transcription-long", team: "zuerich", cpu: 8000, memory: 24 * cluster.GiB, runTime: 6 * time.Hour, weight: 8},
		{name: "assembly", team: "bern", cpu: 1000, memory: 6 * cluster.GiB, runTime: 20 * time.Minute, weight: 30},
		{name: "preview", team: "chur", cpu: 500, memory: 1 * cluster.GiB, runTime: 5 * time.Minute, weight: 30, priority: cluster.PriorityUrgent},
		{name: "model", team: "zuerich", cpu: 8000, memory: 32 * cluster.GiB, gang: 8, runTime: time.Hour, weight: 1, priority: cluster.PriorityDeferrable, maxWait: 4 * time.Hour},
	}
	caroni = []jobKind{
		{name: "settlement", team: "tunapuna", cpu: 2000, memory: 2 * cluster.GiB, service: true, priority: cluster.PriorityUrgent, weight: 6},
		{name: "reconciliation", team: "chaguanas", cpu: 8000, memory: 16 * cluster.GiB, runTime: 40 * time.Minute, weight: 20},
		{name: "statement", team: "arima", cpu: 2000, memory: 2 * cluster.GiB, runTime: 10 * time.Minute, weight: 30, priority: cluster.PriorityDeferrable, maxWait: 2 * time.Hour},
		{name: "till-check", team: "couva", cpu: 1000, memory: 1 * cluster.GiB, runTime: 2 * time.Minute, weight: 20, priority: cluster.PriorityUrgent},
		{name: "analysis", team: "arima", cpu: 16000, memory: 48 * cluster.GiB, runTime: 3 * time.Hour, weight: 4},
	}
	bothMixes = append(append([]jobKind{}, erzaehlwerk...), caroni...)
)

func (k *jobKind) size() cluster.Resources { return cluster.Resources{CPU: k.cpu, Memory: k.memory} }

// drawKind returns a random kind according to the weights.
func drawKind(r *rand.Rand, mix []jobKind) *jobKind {
	sum := 0
	for i := range mix {
		sum += mix[i].weight
	}
	remaining := r.IntN(sum)
	for i := range mix {
		if remaining -= mix[i].weight; remaining < 0 {
			return &mix[i]
		}
	}
	return nil
}

// newFleet returns a table of n empty workers with 64 GiB each, 8 per rack, in two
// regions. The numbers of cores alternate between racks; the default is 16 and 32.
func newFleet(n int, cores ...cluster.CPU) *Table {
	if cores == nil {
		cores = []cluster.CPU{16, 32}
	}
	t := NewTable()
	for i := range n {
		rack := i / 8
		region := []cluster.Region{"north", "south"}[rack%2]
		t.Set(Worker{
			ID:       cluster.WorkerID(fmt.Sprintf("w%05d", i)),
			Rack:     cluster.RackID(fmt.Sprintf("r%04d", rack)),
			Place:    cluster.Place{Region: region, Zone: cluster.Zone(fmt.Sprintf("%s-%d", region, rack/2%3))},
			Capacity: cluster.Resources{CPU: cores[rack%len(cores)] * cluster.Core, Memory: 64 * cluster.GiB},
		})
	}
	return t
}

var fleetSizes = []int{50, 590, 5900}

const pendingItems = 10_000

// churn simulates a full fleet on which tasks keep ending, with a queue of 10,000 items.
type churn struct {
	table     *Table
	queue     *Queue
	policy    Policy
	random    *rand.Rand
	now       time.Time
	running   []churnTask
	submitted int
	// jobNames is filled in advance so that the names do not count as allocations of the benchmark.
	jobNames []cluster.JobName
	// variedSizes gives every item a different size.
	variedSizes bool
}

type churnTask struct {
	worker cluster.WorkerID
	team   cluster.TeamName
	size   cluster.Resources
}

// newChurn fills a fleet until the given number of tasks are running or, if it is zero,
// until no pending item fits.
func newChurn(workers, running int, policy Policy, variedSizes bool) *churn {
	c := &churn{
		variedSizes: variedSizes,
		table:       newFleet(workers), policy: policy, random: rand.New(rand.NewPCG(1, 2)),
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	c.queue = NewQueue(QueueConfig{Total: c.table.Total()})
	for i := range 4 * pendingItems {
		c.jobNames = append(c.jobNames, cluster.JobName(fmt.Sprintf("job-%d", i)))
	}
	for {
		for c.queue.Len() < pendingItems {
			c.submit()
		}
		if running > 0 && len(c.running) >= running || !c.step() && c.saturated() {
			return c
		}
	}
}

// saturated reports whether no pending item can be started.
func (c *churn) saturated() bool {
	_, ok := c.queue.Next(c.now)
	return !ok
}

// submit queues a random job.
func (c *churn) submit() {
	k := drawKind(c.random, bothMixes)
	c.submitted++
	size := k.size()
	if c.variedSizes {
		size.CPU += cluster.CPU(c.random.IntN(int(size.CPU)))
		size.Memory += cluster.Bytes(c.random.IntN(int(size.Memory)))
	}
	c.queue.Add(Item{
		Job: cluster.JobID{Team: k.team, Name: c.jobNames[c.submitted%len(c.jobNames)]}, Size: size, Tasks: 1,
		Priority: k.priority, SubmittedAt: c.now, RunTime: k.runTime, MaxWait: k.maxWait,
	})
}

// step makes one scheduling decision and reports whether it placed a task.
func (c *churn) step() bool {
	pick, ok := c.queue.Next(c.now)
	if !ok {
		return false
	}
	id, reason := c.policy.Place(c.table, Request{Size: pick.Item.Size, Job: pick.Item.Job})
	if reason != Placed {
		c.queue.MarkBlocked(pick.Item.Job, c.now)
		return false
	}
	c.table.Allocate(id, pick.Item.Size)
	c.queue.RecordStarts(pick.Item.Job, 1)
	c.running = append(c.running, churnTask{id, pick.Item.Job.Team, pick.Item.Size})
	return true
}

// finish ends a random running task.
func (c *churn) finish() {
	i := c.random.IntN(len(c.running))
	finished := c.running[i]
	c.running[i] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	c.table.Release(finished.worker, finished.size)
	c.queue.SubtractUsage(finished.team, finished.size)
	w, _ := c.table.Get(finished.worker)
	c.queue.RecordFreed(w.Free())
}

// BenchmarkDecision measures one scheduling decision (Queue.Next, Place, Allocate and
// recording the start) with 10,000 pending items; tasks end and arrive between decisions.
// The fleet is either full, or has 2,600 running tasks per 590 workers and free capacity
// for more.
func BenchmarkDecision(b *testing.B) {
	policies := []struct {
		name   string
		policy Policy
	}{{"indexed", Indexed{}}, {"firstfit", FirstFit{}}, {"bestfit", BestFit{}}}
	for _, full := range []bool{false, true} {
		for _, p := range policies {
			for _, n := range fleetSizes {
				b.Run(fmt.Sprintf("full=%t/%s/workers=%d", full, p.name, n), func(b *testing.B) {
					running := 2600 * n / 590
					if full {
						running = 0
					}
					benchmarkDecision(b, newChurn(n, running, p.policy, false), full)
				})
			}
		}
	}
}

// BenchmarkDecisionVaried is BenchmarkDecision on a full fleet with items of many different sizes.
func BenchmarkDecisionVaried(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			benchmarkDecision(b, newChurn(n, 0, Indexed{}, true), true)
		})
	}
}

func benchmarkDecision(b *testing.B, c *churn, full bool) {
	histogram := hdrhistogram.New(1, int64(time.Minute), 3)
	placed, totalTime := 0, time.Duration(0)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		c.finish()
		for c.queue.Len() < pendingItems {
			c.submit()
		}
		for {
			start := time.Now()
			ok := c.step()
			elapsed := time.Since(start)
			totalTime += elapsed
			_ = histogram.RecordValue(int64(elapsed))
			if ok {
				placed++
			}
			if ok && !full || !ok && c.saturated() {
				break
			}
		}
	}
	b.ReportMetric(float64(placed)/totalTime.Seconds(), "placements/s")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-ns")
	b.ReportMetric(float64(len(c.running)), "running")
}

// BenchmarkPlace measures Place, Allocate and Release alone, including their memory allocations.
func BenchmarkPlace(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			c := newChurn(n, 2600*n/590, Indexed{}, false)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				size := bothMixes[i%len(bothMixes)].size()
				if id, reason := c.table.Place(Request{Size: size}); reason == Placed {
					c.table.Allocate(id, size)
					c.table.Release(id, size)
				}
			}
		})
	}
}
