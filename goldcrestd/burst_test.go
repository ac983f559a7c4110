package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// Guards against tasks that stay pending forever in a full rack while another rack
// is empty: daemons that accept jobs at the same time may assign them to the same
// rack beyond its capacity because none knows yet what the others have assigned.
func TestBurstOfJobsUsesAllRacks(t *testing.T) {
	const (
		jobs        = 12
		tasksPerJob = 4
	)
	c := newTestCluster(t, 3, testNote)
	for _, d := range c.daemons {
		c.waitUntil("the note is in force", func() bool {
			var s api.Status
			return c.get(d.url+"/v1/status", &s) == nil && s.ConfigVersion > 0
		})
	}
	// A rack of the small cell has 32 cores; the team's limit is 64 cores.
	var calls sync.WaitGroup
	for i := range jobs {
		job := api.JobRequest{
			ID: fmt.Sprintf("burst-%d", i), Workload: api.WorkloadBatch, Tasks: tasksPerJob, CPUs: 1, Memory: "1GiB",
			RunTime: "1h", Command: []string{"1h"}, Idempotent: true,
		}
		body, err := json.Marshal(job)
		c.is.NoErr(err)
		calls.Go(func() {
			status, data := c.send(http.MethodPost, c.daemons[i%len(c.daemons)].url+"/v1/queues/batch/jobs", testSecret, nil, body)
			if status != http.StatusCreated {
				t.Errorf("job %s: %d %s", job.ID, status, data)
			}
		})
	}
	calls.Wait()
	c.waitUntil(fmt.Sprintf("%d tasks run on 64 cores", jobs*tasksPerJob), func() bool { return c.stats().Running == jobs*tasksPerJob })
}
