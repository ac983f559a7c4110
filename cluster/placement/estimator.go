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
	defaultNames      = 4096
	sizeStepCPU       = 50 * cluster.Core / 1000
	sizeStepMemory    = 64 * cluster.MiB
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
	// Names limits the number of job names. The least recently used one is evicted first. Zero means 4096.
	Names int
}

// Report is the measured usage of one task.
type Report struct {
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
	// Learned reports whether the values come from reports rather than from the declaration.
	Learned bool
}

// NameSamples holds the samples of one of a team's job names.
type NameSamples struct {
	Team cluster.TeamName
	Name cluster.JobName
	// Samples holds the most recent samples, oldest first.
	Samples []Sample
}

// Sample is the stored form of a Report.
type Sample struct {
	CPU     cluster.CPU
	Memory  cluster.Bytes
	RunTime time.Duration
}

// Estimator estimates the size and run time of the tasks of recurring jobs from earlier reports.
type Estimator struct {
	cfg EstimatorConfig
	// byRecency holds *nameStats, the most recently used first.
	byRecency *list.List
	names     map[cluster.JobID]*list.Element
}

type nameStats struct {
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
	if cfg.Names <= 0 {
		cfg.Names = defaultNames
	}
	return &Estimator{cfg: cfg, byRecency: list.New(), names: map[cluster.JobID]*list.Element{}}
}

// Observe adds the report of a task that succeeded or that failed at its memory limit.
// Without the latter, a grant that is too small would never grow.
func (e *Estimator) Observe(r Report) {
	l := e.getOrCreate(cluster.JobID{Team: r.Job.Team, Name: RecurringJobName(r.Job.Name)})
	s := Sample{CPU: r.Peak.CPU, Memory: r.Peak.Memory, RunTime: max(r.RunTime, 0)}
	// Measured usage can't exceed the grant, so a task that reached its grant may need more.
	if r.Granted.CPU > 0 && float64(s.CPU) >= grantReachedFraction*float64(r.Granted.CPU) {
		s.CPU = cluster.CPU(grantGrowthFactor * float64(r.Granted.CPU))
	}
	if r.Granted.Memory > 0 && float64(s.Memory) >= grantReachedFraction*float64(r.Granted.Memory) {
		s.Memory = cluster.Bytes(grantGrowthFactor * float64(r.Granted.Memory))
	}
	l.add(s)
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
	l := element.Value.(*nameStats)
	if len(l.samples) < e.cfg.MinReports {
		return Estimate{Size: declared, RunTime: runTime}
	}
	if !l.quantilesValid {
		l.computeQuantiles(e.cfg)
	}
	size := l.size.Min(declared)
	size.Accelerators = declared.Accelerators
	if l.runTime > 0 {
		runTime = l.runTime
	}
	return Estimate{Size: size, RunTime: runTime, Learned: true}
}

// Len returns the number of job names.
func (e *Estimator) Len() int { return len(e.names) }

// Export returns the samples of all names, the least recently used name first.
func (e *Estimator) Export() []NameSamples {
	out := make([]NameSamples, 0, len(e.names))
	for element := e.byRecency.Back(); element != nil; element = element.Prev() {
		l := element.Value.(*nameStats)
		out = append(out, NameSamples{Team: l.id.Team, Name: l.id.Name, Samples: slices.Clone(l.samples)})
	}
	return out
}

// Import adds the result of Export. The samples of names that already exist are replaced.
func (e *Estimator) Import(names []NameSamples) {
	for _, n := range names {
		l := e.getOrCreate(cluster.JobID{Team: n.Team, Name: n.Name})
		l.samples = l.samples[:0]
		for _, s := range n.Samples {
			l.add(s)
		}
	}
}

func (e *Estimator) getOrCreate(id cluster.JobID) *nameStats {
	if element, ok := e.names[id]; ok {
		e.byRecency.MoveToFront(element)
		return element.Value.(*nameStats)
	}
	if len(e.names) >= e.cfg.Names {
		oldest := e.byRecency.Back()
		delete(e.names, e.byRecency.Remove(oldest).(*nameStats).id)
	}
	l := &nameStats{id: id}
	e.names[id] = e.byRecency.PushFront(l)
	return l
}

func (l *nameStats) add(s Sample) {
	if len(l.samples) == maxSamples {
		copy(l.samples, l.samples[1:])
		l.samples = l.samples[:maxSamples-1]
	}
	l.samples = append(l.samples, s)
	l.quantilesValid = false
}

func (l *nameStats) computeQuantiles(cfg EstimatorConfig) {
	var values [maxSamples]int64
	quantile := func(value func(Sample) int64) float64 {
		n := 0
		for _, s := range l.samples {
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
	l.size = cluster.Resources{
		CPU:    cluster.CPU(roundUp(int64(math.Ceil(cpu)), int64(sizeStepCPU))),
		Memory: cluster.Bytes(roundUp(int64(math.Ceil(memory)), int64(sizeStepMemory))),
	}
	l.runTime = time.Duration(runTime)
	l.quantilesValid = true
}

// roundUp returns the smallest positive multiple of step that is at least n.
func roundUp(n, step int64) int64 { return max((n+step-1)/step, 1) * step }
