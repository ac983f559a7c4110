package placement

import (
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// maxSamples is the number of samples kept per job name. The 95th percentile of 32
	// samples is the second largest, so a single outlier does not determine it.
	maxSamples        = 32
	defaultQuantile   = 0.95
	defaultMargin     = 0.15
	defaultMinReports = 3
	defaultMaxNames   = 4096
	// Estimated sizes are rounded up to multiples of sizeStepCPU and sizeStepMemory.
	sizeStepCPU    = 50 * cluster.Core / 1000
	sizeStepMemory = 64 * cluster.MiB
	// grantReachedFraction is the fraction of its grant from which a task counts as limited
	// by it. The need of such a task is assumed to be grantGrowthFactor times the grant.
	grantReachedFraction = 0.98
	grantGrowthFactor    = 1.5
)

// EstimatorConfig configures an Estimator.
type EstimatorConfig struct {
	// Quantile is the quantile of the samples used as the estimate; zero means 0.95.
	Quantile float64
	// Margin is a fraction of the quantile that is added to it; zero means 0.15.
	Margin float64
	// MinReports is the number of reports required for an estimate; zero means 3.
	MinReports int
	// MaxNames limits the number of job names. The least recently used one is evicted first. Zero means 4096.
	MaxNames int
}

// UsageReport is the measured usage of one task.
type UsageReport struct {
	Job cluster.JobID
	// Granted is the resources that the task was granted.
	Granted cluster.Resources
	// Peak is the largest measured usage.
	Peak cluster.Resources
	// RunTime is zero for a failed task, whose run time is ignored.
	RunTime time.Duration
}

// Estimate is the size to grant to a task and its expected run time.
type Estimate struct {
	Size    cluster.Resources
	RunTime time.Duration
	// Learned means that the values come from reports rather than from the declaration.
	Learned bool
}

// JobNameSamples holds the samples of one of a team's job names.
type JobNameSamples struct {
	Team cluster.TeamName
	Name cluster.JobName
	// Samples holds the most recent samples, oldest first.
	Samples []Sample
}

// Sample is the stored form of a UsageReport.
type Sample struct {
	CPU     cluster.CPU
	Memory  cluster.Bytes
	RunTime time.Duration
}

// Estimator estimates the size and run time of the tasks of recurring jobs from earlier reports.
type Estimator struct {
	cfg EstimatorConfig
	// byRecency holds *jobNameStats, the most recently used first.
	byRecency *list.List
	names     map[cluster.JobID]*list.Element
}

// jobNameStats holds the samples of one job name and the estimates computed from them.
type jobNameStats struct {
	id      cluster.JobID
	samples []Sample
	// size and runTime hold the quantiles with margin. They are valid if quantilesValid is set.
	size           cluster.Resources
	runTime        time.Duration
	quantilesValid bool
}

// NewEstimator returns an estimator without samples.
func NewEstimator(cfg EstimatorConfig) *Estimator {
	if cfg.Quantile <= 0 || cfg.Quantile > 1 {
		cfg.Quantile = defaultQuantile
	}
	if cfg.Margin <= 0 {
		cfg.Margin = defaultMargin
	}
	if cfg.MinReports <= 0 {
		cfg.MinReports = defaultMinReports
	}
	if cfg.MaxNames <= 0 {
		cfg.MaxNames = defaultMaxNames
	}
	return &Estimator{cfg: cfg, byRecency: list.New(), names: map[cluster.JobID]*list.Element{}}
}

// Observe adds the report of a task that succeeded or that failed at its memory limit.
// Without the latter, a grant that is too small would never grow.
func (e *Estimator) Observe(r UsageReport) {
	stats := e.getOrCreate(cluster.JobID{Team: r.Job.Team, Name: RecurringJobName(r.Job.Name)})
	s := Sample{CPU: r.Peak.CPU, Memory: r.Peak.Memory, RunTime: max(r.RunTime, 0)}
	// Measured usage can't exceed the grant, so a task that reached its grant may need more.
	if r.Granted.CPU > 0 && float64(s.CPU) >= grantReachedFraction*float64(r.Granted.CPU) {
		s.CPU = cluster.CPU(grantGrowthFactor * float64(r.Granted.CPU))
	}
	if r.Granted.Memory > 0 && float64(s.Memory) >= grantReachedFraction*float64(r.Granted.Memory) {
		s.Memory = cluster.Bytes(grantGrowthFactor * float64(r.Granted.Memory))
	}
	stats.add(s)
}

// Estimate returns the size to grant and the run time to expect for a task of a job. The
// size never exceeds the declared one, and accelerators are always as declared. A
// learned run time may exceed the declared one, which is not a maximum.
func (e *Estimator) Estimate(job cluster.JobID, declared cluster.Resources, runTime time.Duration) Estimate {
	element, ok := e.names[cluster.JobID{Team: job.Team, Name: RecurringJobName(job.Name)}]
	if !ok {
		return Estimate{Size: declared, RunTime: runTime}
	}
	e.byRecency.MoveToFront(element)
	stats := element.Value.(*jobNameStats)
	if len(stats.samples) < e.cfg.MinReports {
		return Estimate{Size: declared, RunTime: runTime}
	}
	if !stats.quantilesValid {
		stats.computeQuantiles(e.cfg)
	}
	size := stats.size.Min(declared)
	size.Accelerators = declared.Accelerators
	if stats.runTime > 0 {
		runTime = stats.runTime
	}
	return Estimate{Size: size, RunTime: runTime, Learned: true}
}

// Len returns the number of job names.
func (e *Estimator) Len() int { return len(e.names) }

// Export returns the samples of all names, the least recently used name first.
func (e *Estimator) Export() []JobNameSamples {
	out := make([]JobNameSamples, 0, len(e.names))
	for element := e.byRecency.Back(); element != nil; element = element.Prev() {
		stats := element.Value.(*jobNameStats)
		out = append(out, JobNameSamples{Team: stats.id.Team, Name: stats.id.Name, Samples: slices.Clone(stats.samples)})
	}
	return out
}

// Import adds the result of Export. The samples of names that already exist are replaced.
func (e *Estimator) Import(names []JobNameSamples) {
	for _, n := range names {
		stats := e.getOrCreate(cluster.JobID{Team: n.Team, Name: n.Name})
		stats.samples = stats.samples[:0]
		for _, s := range n.Samples {
			stats.add(s)
		}
	}
}

// getOrCreate returns the stats of a job name and marks it as the most recently used.
// A new name evicts the least recently used one if there are too many.
func (e *Estimator) getOrCreate(id cluster.JobID) *jobNameStats {
	if element, ok := e.names[id]; ok {
		e.byRecency.MoveToFront(element)
		return element.Value.(*jobNameStats)
	}
	if len(e.names) >= e.cfg.MaxNames {
		leastRecent := e.byRecency.Back()
		delete(e.names, e.byRecency.Remove(leastRecent).(*jobNameStats).id)
	}
	stats := &jobNameStats{id: id}
	e.names[id] = e.byRecency.PushFront(stats)
	return stats
}

// add adds a sample, which replaces the oldest one if there are maxSamples.
func (stats *jobNameStats) add(s Sample) {
	if len(stats.samples) == maxSamples {
		copy(stats.samples, stats.samples[1:])
		stats.samples = stats.samples[:maxSamples-1]
	}
	stats.samples = append(stats.samples, s)
	stats.quantilesValid = false
}

// computeQuantiles computes size and runTime from the samples. Zero values, such as the
// run times of failed tasks, are ignored.
func (stats *jobNameStats) computeQuantiles(cfg EstimatorConfig) {
	var values [maxSamples]int64
	quantile := func(value func(Sample) int64) float64 {
		n := 0
		for _, s := range stats.samples {
			if v := value(s); v > 0 {
				values[n] = v
				n++
			}
		}
		if n == 0 {
			return 0
		}
		slices.Sort(values[:n])
		rank := min(max(int(math.Ceil(cfg.Quantile*float64(n)))-1, 0), n-1)
		return float64(values[rank]) * (1 + cfg.Margin)
	}
	cpu := quantile(func(s Sample) int64 { return int64(s.CPU) })
	memory := quantile(func(s Sample) int64 { return int64(s.Memory) })
	runTime := quantile(func(s Sample) int64 { return int64(s.RunTime) })
	// Rounding up keeps the number of distinct sizes small, by which the queue groups items.
	stats.size = cluster.Resources{
		CPU:    cluster.CPU(roundUp(int64(math.Ceil(cpu)), int64(sizeStepCPU))),
		Memory: cluster.Bytes(roundUp(int64(math.Ceil(memory)), int64(sizeStepMemory))),
	}
	stats.runTime = time.Duration(runTime)
	stats.quantilesValid = true
}

// roundUp returns the smallest positive multiple of step that is at least n.
func roundUp(n, step int64) int64 { return max((n+step-1)/step, 1) * step }
