package pool

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/jobquota"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// memoryCase is a number of equal jobs.
type memoryCase struct {
	Name        string `json:"name"`
	Jobs        int    `json:"jobs"`
	Steps       int    `json:"steps"`
	Tasks       int    `json:"tasks"`
	CPUMilli    int    `json:"cpuMilli"`
	Spec        int    `json:"spec"`
	Image       int    `json:"image"`
	Chained     bool   `json:"chained"`
	Occurrences int    `json:"occurrences"`
	// Due means that all occurrences are due at once.
	Due bool `json:"due"`
}

func (c *memoryCase) job(i int, now time.Time) *workload.Job {
	j := &workload.Job{ID: cluster.JobName(fmt.Sprintf("%016x", i)), Team: testTeam, Queue: "q", Spec: strings.Repeat("s", c.Spec), AcceptedAt: now}
	if c.Occurrences > 0 {
		j.Recurrence = workload.Recurrence{Count: c.Occurrences, FirstStart: now.Add(time.Hour)}
		if c.Due {
			j.Recurrence.FirstStart = now.Add(-time.Second)
		}
	}
	for i := range c.Steps {
		st := workload.Step{Tasks: c.Tasks, Size: cluster.Resources{CPU: cluster.CPU(c.CPUMilli) * cluster.Core / 1000}, Estimate: time.Second, Image: strings.Repeat("i", c.Image)}
		for k := range i {
			if c.Chained {
				st.After = append(st.After, k)
			}
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

func heapBytes() cluster.Bytes {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return cluster.Bytes(stats.HeapAlloc)
}

// Guards against jobs that take more memory than their quota counts, while they wait and after their end.
func TestJobsTakeNoMoreThanTheirQuota(t *testing.T) {
	data, err := os.ReadFile("testdata/jobmemory.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []memoryCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			ledger := jobquota.New(0)
			s := New(Config{Now: now, Quota: ledger.Open()})
			before := heapBytes()
			check := func(when string) {
				held, _ := ledger.Usage()
				used := heapBytes() - before
				t.Logf("%s: %d bytes a job, %d counted", when, int(used)/c.Jobs, int(held)/c.Jobs)
				is.True(used <= held)
			}
			step := func(events ...Event) {
				now = now.Add(releaseInterval)
				for _, e := range s.Step(now, events) {
					if r, ok := e.(*WriteRecord); ok {
						s.Step(now, []Event{&RecordWritten{Generation: r.Generation}})
					}
				}
			}
			for i := range c.Jobs {
				step(&JobAccepted{Job: c.job(i, now)})
			}
			check("waiting")
			for i := range c.Jobs {
				step(&JobCancelled{ID: c.job(i, now).ID})
			}
			for range 10 {
				step()
			}
			check("ended")
			runtime.KeepAlive(s)
		})
	}
}

// Guards against an owner whose control loop ends because a job has ended while the owner was suspended, and its steps are
// still considered for the load of the pool.
func TestJobsEndWhileOwnerIsSuspended(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := New(Config{Service: testService, Now: now})
	step := func(events ...Event) {
		now = now.Add(releaseInterval)
		for _, e := range s.Step(now, events) {
			if r, ok := e.(*WriteRecord); ok {
				s.Step(now, []Event{&RecordWritten{Generation: r.Generation}})
			}
		}
		s.Load()
	}
	job := &workload.Job{ID: singleTaskJob, Team: testTeam, Queue: testQueue, AcceptedAt: now, Steps: []workload.Step{
		{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second},
		{Tasks: 4, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second, Gang: true, After: []int{0}},
	}}
	vm := platform.WorkerVM{ID: "w", Service: testService, Capacity: cluster.Resources{CPU: 8 * cluster.Core}}
	step(&WorkersListed{Workers: []platform.WorkerVM{vm}}, &JobAccepted{Job: job})
	s.sortedWorkers[0].usable = true
	step(&MandateChanged{Holds: false}, &JobCancelled{ID: job.ID})
	for range 5 {
		step()
	}
	is.Equal(len(s.openSteps), 0)
	is.Equal(len(s.jobs[job.ID].steps), 0)
}
