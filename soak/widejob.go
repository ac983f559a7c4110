package main

import (
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/platform/platformtest"
)

const (
	// maxBurstGap limits the time between two bursts of wide jobs; it is long enough
	// for the leases of idle workers to expire. maxBurstJobs limits the jobs of a burst.
	maxBurstGap  = 12 * time.Second
	maxBurstJobs = 3
	// wideTargetDuration is added to the target of the queue of wide jobs; its gangs may
	// hold capacity that long while they wait.
	wideTargetDuration = 6 * time.Second
	// permitGroups is the number of groups of workers, of which the advice service
	// excludes one from each step.
	permitGroups = 3
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
)

// The terms of the advice for the two queues.
var (
	plainAdvice = platformtest.AdvicePolicy{CallDuration: time.Millisecond, PerWorker: 100 * time.Microsecond, Validity: 2 * time.Second}
	wideAdvice  = platformtest.AdvicePolicy{CallDuration: 30 * time.Millisecond, PerWorker: 8 * time.Millisecond, Validity: 1500 * time.Millisecond}
)

// shards returns the number of shards into which the pool is divided.
func (c *config) shards() int { return (c.workers + c.shardWorkers - 1) / c.shardWorkers }

// permits reports whether a step may run on the worker with an index. Workers with
// successive indexes are in different shards, so that each shard keeps workers that
// may run the step.
func (c *config) permits(step string, index int) bool {
	row := index / c.shards()
	return c.workers/c.shards() < 2 || (uint32(row)+crc32.ChecksumIEEE([]byte(step)))%permitGroups != 0
}

// minPermitted returns the least number of workers of a shard that may run a step.
func (c *config) minPermitted() int {
	n := c.workers / c.shards()
	if n < 2 {
		return 1
	}
	return n - (n+permitGroups-1)/permitGroups
}

// newWideJob returns a random job whose steps need half to all of the workers that
// may run them. Most steps are gangs.
func newWideJob(rnd *rand.Rand, submitAfter time.Duration, minPermitted int) *job {
	j := &job{id: fmt.Sprintf("%016x", rnd.Uint64()), prefix: wideQueuePrefix, submitAfter: submitAfter, cancelOnAccept: rnd.IntN(10) == 0}
	for i := range 1 + rnd.IntN(3) {
		tasksPerWorker := 1 << rnd.IntN(3)
		capacity := tasksPerWorker * minPermitted
		s := step{tasks: capacity - rnd.IntN((capacity+1)/2), gang: rnd.IntN(4) > 0, milliCPU: workerMilliCPU / tasksPerWorker}
		if i > 0 {
			s.after = []int{rnd.IntN(i)}
		}
		j.steps = append(j.steps, s)
	}
	return j
}

// newWideJobs returns the wide jobs of a run and the times of their bursts.
func newWideJobs(rnd *rand.Rand, length time.Duration, minPermitted int) (jobs []*job, burstTimes []time.Duration) {
	for start := time.Duration(rnd.Int64N(int64(maxBurstGap / 2))); start < length; start += time.Duration(rnd.Int64N(int64(maxBurstGap))) {
		burstTimes = append(burstTimes, start)
		for range 1 + rnd.IntN(maxBurstJobs) {
			jobs = append(jobs, newWideJob(rnd, start, minPermitted))
		}
	}
	return jobs, burstTimes
}

// advicePolicy returns the terms of the advice for a step.
func (d *deployment) advicePolicy(name string) platformtest.AdvicePolicy {
	policy := plainAdvice
	if j := d.jobsByID[jobOfTask(name)]; j != nil && j.prefix == wideQueuePrefix {
		policy = wideAdvice
	}
	policy.Permits = func(worker string) bool {
		for i := range d.workers {
			if workerID(i) == worker {
				return d.cfg.permits(name, i)
			}
		}
		return false
	}
	return policy
}

// durationOf returns how long a task runs.
func (d *deployment) durationOf(task string) time.Duration {
	if j := d.jobsByID[jobOfTask(task)]; j != nil {
		return j.taskDuration()
	}
	return taskDuration
}

// gangSize returns the number of tasks of a task's gang, or 0 if it is independent.
func (d *deployment) gangSize(task string) int {
	var occurrence, index, member int
	name := jobOfTask(task)
	_, err := fmt.Sscanf(strings.TrimPrefix(task, name), ".%d.%d.%d", &occurrence, &index, &member)
	j := d.jobsByID[name]
	if err != nil || j == nil || index >= len(j.steps) || !j.steps[index].gang {
		return 0
	}
	return j.steps[index].tasks
}
