package placement

import (
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// sampleWindow is the number of last reports kept per name; the 95th percentile
	// of 32 reports is the second largest, so a single outlier does not set it.
	sampleWindow      = 32
	defaultQuantile   = 0.95
	defaultMargin     = 0.15
	defaultMinReports = 3
	defaultNames      = 4096
	sizeStepCPU       = 50 * cluster.Core / 1000
	sizeStepMemory    = 64 * cluster.MiB
	// nearGrant is the part of a grant from which a task counts as limited by it, and
	// growthAtGrant what such a task is taken to need in relation to its grant.
	nearGrant     = 0.98
	growthAtGrant = 1.5
)

// EstimatorConfig configures an Estimator.
type EstimatorConfig struct {
	// Quantile of the reports that is granted; zero means 0.95.
	Quantile float64
	// Margin is added to the quantile as a fraction of it; zero means 0.15.
	Margin float64
	// MinReports is the number of reports from which a name counts as known; zero means 3.
	MinReports int
	// Names limits the names kept; the least recently used ones are forgotten first; zero means 4096.
	Names int
}

// Report is what one task was measured to use.
type Report struct {
	Job cluster.JobID
	// Granted is the size that the task was given.
	Granted cluster.Resources
	// Peak is the largest measured use.
	Peak cluster.Resources
	// RunTime is zero for a task that failed; it is then not counted.
	RunTime time.Duration
}

// Estimate is the size to grant and the run time to expect.
type Estimate struct {
	Size    cluster.Resources
	RunTime time.Duration
	// Learned says that the values come from reports and not from the declaration.
	Learned bool
}

// LearnedName is what an Estimator knows about one team's job name.
type LearnedName struct {
	Team cluster.TeamName
	Name cluster.JobName
	// Samples holds the last reports, oldest first.
	Samples []Sample
}

// Sample is one report in the form that is kept.
type Sample struct {
	CPU     cluster.CPU
	Memory  cluster.Bytes
	RunTime time.Duration
}

// Estimator learns the size and run time of recurring jobs from reports.
type Estimator struct {
	cfg EstimatorConfig
	// recent holds *learned, the most recently used one first.
	recent *list.List
	names  map[cluster.JobID]*list.Element
}

type learned struct {
	id      cluster.JobID
	samples []Sample
	// size and runTime hold the quantiles with margin; they are valid if fresh is set.
	size    cluster.Resources
	runTime time.Duration
	fresh   bool
}

// NewEstimator returns an estimator that knows nothing.
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
	return &Estimator{cfg: cfg, recent: list.New(), names: map[cluster.JobID]*list.Element{}}
}

// Observe takes in the report of a task that succeeded, or of one that failed at
// its memory limit: without the latter a grant that is too small would never grow.
func (e *Estimator) Observe(r Report) {
	l := e.touch(cluster.JobID{Team: r.Job.Team, Name: NameOf(r.Job.Name)})
	s := Sample{CPU: r.Peak.CPU, Memory: r.Peak.Memory, RunTime: max(r.RunTime, 0)}
	// A task can't be measured above its grant: one that reached it may need more.
	if r.Granted.CPU > 0 && float64(s.CPU) >= nearGrant*float64(r.Granted.CPU) {
		s.CPU = cluster.CPU(growthAtGrant * float64(r.Granted.CPU))
	}
	if r.Granted.Memory > 0 && float64(s.Memory) >= nearGrant*float64(r.Granted.Memory) {
		s.Memory = cluster.Bytes(growthAtGrant * float64(r.Granted.Memory))
	}
	l.add(s)
}

// Estimate returns the size to grant and the run time to expect for a task of a
// job. The size is never above the declared one; accelerators are as declared.
// A learned run time may exceed the declared one, which is no maximum.
func (e *Estimator) Estimate(job cluster.JobID, declared cluster.Resources, runTime time.Duration) Estimate {
	element, ok := e.names[cluster.JobID{Team: job.Team, Name: NameOf(job.Name)}]
	if !ok {
		return Estimate{Size: declared, RunTime: runTime}
	}
	e.recent.MoveToFront(element)
	l := element.Value.(*learned)
	if len(l.samples) < e.cfg.MinReports {
		return Estimate{Size: declared, RunTime: runTime}
	}
	if !l.fresh {
		l.compute(e.cfg)
	}
	size := l.size.Min(declared)
	size.Accelerators = declared.Accelerators
	if l.runTime > 0 {
		runTime = l.runTime
	}
	return Estimate{Size: size, RunTime: runTime, Learned: true}
}

// Len returns the number of names kept.
func (e *Estimator) Len() int { return len(e.names) }

// Export returns what is known, the least recently used name first.
func (e *Estimator) Export() []LearnedName {
	out := make([]LearnedName, 0, len(e.names))
	for element := e.recent.Back(); element != nil; element = element.Prev() {
		l := element.Value.(*learned)
		out = append(out, LearnedName{Team: l.id.Team, Name: l.id.Name, Samples: slices.Clone(l.samples)})
	}
	return out
}

// Import takes in what Export returned; a name that is known already is replaced.
func (e *Estimator) Import(names []LearnedName) {
	for _, n := range names {
		l := e.touch(cluster.JobID{Team: n.Team, Name: n.Name})
		l.samples = l.samples[:0]
		for _, s := range n.Samples {
			l.add(s)
		}
	}
}

func (e *Estimator) touch(id cluster.JobID) *learned {
	if element, ok := e.names[id]; ok {
		e.recent.MoveToFront(element)
		return element.Value.(*learned)
	}
	if len(e.names) >= e.cfg.Names {
		oldest := e.recent.Back()
		delete(e.names, e.recent.Remove(oldest).(*learned).id)
	}
	l := &learned{id: id}
	e.names[id] = e.recent.PushFront(l)
	return l
}

func (l *learned) add(s Sample) {
	if len(l.samples) == sampleWindow {
		copy(l.samples, l.samples[1:])
		l.samples = l.samples[:sampleWindow-1]
	}
	l.samples = append(l.samples, s)
	l.fresh = false
}

func (l *learned) compute(cfg EstimatorConfig) {
	var values [sampleWindow]int64
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
	// Rounding up keeps the number of distinct sizes small, which the queue groups items by.
	l.size = cluster.Resources{
		CPU:    cluster.CPU(roundUp(int64(math.Ceil(cpu)), int64(sizeStepCPU))),
		Memory: cluster.Bytes(roundUp(int64(math.Ceil(memory)), int64(sizeStepMemory))),
	}
	l.runTime = time.Duration(runTime)
	l.fresh = true
}

// roundUp returns the smallest positive multiple of step that is at least n.
func roundUp(n, step int64) int64 { return max((n+step-1)/step, 1) * step }
