package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Behavior is how a started task behaves, independently of what its job declares.
type Behavior struct {
	// RunTime is the time that the task needs at full speed; with zero it runs until it is stopped.
	RunTime time.Duration
	// Usage is the resources that the task actually uses.
	Usage cluster.Resources
	// Fail makes the task end as failed.
	Fail bool
}

// CommandBehavior derives a behavior from the words of a task's command: a Go
// duration is the run time, "fail" makes the task fail, and "cpus=<factor>" and
// "memory=<factor>" set the usage as a multiple of the declared size. Other words
// are ignored. A command without a duration runs until it is stopped.
func CommandBehavior(start *platform.StartTask) Behavior {
	b := Behavior{Usage: start.Size}
	for _, word := range start.Command {
		name, value, _ := strings.Cut(word, "=")
		factor, err := strconv.ParseFloat(value, 64)
		switch {
		case word == "fail":
			b.Fail = true
		case name == "cpus" && err == nil:
			b.Usage.CPU = cluster.CPU(float64(start.Size.CPU) * factor)
		case name == "memory" && err == nil:
			b.Usage.Memory = cluster.Bytes(float64(start.Size.Memory) * factor)
		default:
			if d, err := time.ParseDuration(word); err == nil && d > 0 {
				b.RunTime = d
			}
		}
	}
	return b
}

// scaled returns the behavior with the faults of a worker and the time scale of
// the platform applied. The usage is limited to the worker's capacity.
func (b Behavior) scaled(f WorkerFaults, timeScale float64, capacity cluster.Resources) Behavior {
	sizeFactor, runTimeFactor := f.SizeFactor, f.RunTimeFactor
	if sizeFactor == 0 {
		sizeFactor = 1
	}
	if runTimeFactor == 0 {
		runTimeFactor = 1
	}
	b.RunTime = time.Duration(float64(b.RunTime) * runTimeFactor * timeScale)
	b.Usage = cluster.Resources{
		CPU:          cluster.CPU(float64(b.Usage.CPU) * sizeFactor),
		Memory:       cluster.Bytes(float64(b.Usage.Memory) * sizeFactor),
		Accelerators: b.Usage.Accelerators,
	}.Min(capacity)
	if f.FailAll {
		b.Fail = true
		if b.RunTime == 0 || b.RunTime > failRunTime {
			b.RunTime = failRunTime
		}
	}
	return b
}
