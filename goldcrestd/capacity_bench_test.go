package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The benchmarks of this file and of capacity_fault_test.go measure whole
// processes over fixed windows, so each runs once; docs/CAPACITY.md shows the
// commands and the conclusions from the results.

// BenchmarkCapacityRacks varies the racks of an idle cell.
func BenchmarkCapacityRacks(b *testing.B) {
	for _, racks := range []int{7, 24, targetRacks} {
		b.Run(fmt.Sprintf("racks=%d", racks), func(b *testing.B) {
			newBenchCluster(b, benchClusterConfig{racks: racks, daemons: baseDaemons}).report(b, nil)
		})
	}
}

// BenchmarkCapacityDaemons varies the daemons of an idle cell.
func BenchmarkCapacityDaemons(b *testing.B) {
	for _, daemons := range []int{baseDaemons, 14, 40} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: daemons})
			c.report(b, nil)
			b.ReportMetric(c.startupDuration.Seconds(), "startup_s")
			b.ReportMetric(c.startupStats.Commits, "startup_commits")
			b.ReportMetric(c.startupStats.Throttled, "startup_throttled")
			b.ReportMetric(c.startupStats.RowsWritten, "startup_rows_written")
		})
	}
}

// BenchmarkCapacityTasks varies the running tasks; a fifth of them are replicas of services.
func BenchmarkCapacityTasks(b *testing.B) {
	c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: baseDaemons})
	running := 0
	for _, tasks := range []int{0, 250, 850, 2600} {
		b.Run(fmt.Sprintf("running=%d", tasks), func(b *testing.B) {
			for i := 0; running < tasks; i++ {
				job := c.batchJob(fillTasksPerJob, time.Hour)
				if i%5 == 4 {
					job = c.serviceJob(fillTasksPerJob)
				}
				c.submitPaced(i, job)
				running += fillTasksPerJob
			}
			c.waitRunningTasks(tasks)
			c.waitUntilIdle()
			c.report(b, nil)
		})
	}
}

// BenchmarkCapacityNotes varies the configuration changes per minute.
func BenchmarkCapacityNotes(b *testing.B) {
	c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: baseDaemons})
	for _, perMinute := range []int{0, 6, 30, 120} {
		b.Run(fmt.Sprintf("notes_per_min=%d", perMinute), func(b *testing.B) {
			if perMinute == 0 {
				c.report(b, nil)
				return
			}
			c.report(b, func(end time.Time) {
				interval := time.Minute / time.Duration(perMinute)
				for time.Until(end) > 0 {
					next := time.Now().Add(interval)
					c.applyNote(shareChangeNote(c.appliedNotes))
					time.Sleep(min(time.Until(next), time.Until(end)))
				}
			})
		})
	}
}

// BenchmarkCapacityStarts varies the task starts per second at two jobs per second.
func BenchmarkCapacityStarts(b *testing.B) {
	const jobsPerSecond = 2
	c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: baseDaemons})
	for _, starts := range []int{10, 50, 150, 350} {
		b.Run(fmt.Sprintf("starts_per_s=%d", starts), func(b *testing.B) {
			c.reportJobs(b, jobsPerSecond, starts/jobsPerSecond)
		})
	}
}

// BenchmarkCapacityJobs varies the submissions per second of jobs with one task.
func BenchmarkCapacityJobs(b *testing.B) {
	c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: baseDaemons})
	for _, jobs := range []int{1, 5, 20, 60} {
		b.Run(fmt.Sprintf("jobs_per_s=%d", jobs), func(b *testing.B) {
			c.reportJobs(b, jobs, 1)
		})
	}
}

// reportJobs measures at a constant rate of submitted jobs whose tasks run for 2 s.
func (c *benchCluster) reportJobs(b *testing.B, jobsPerSecond, tasks int) {
	b.Helper()
	const runTime = 2 * time.Second
	var accepted, refused atomic.Int64
	var submissions sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan struct{})
	var submitter sync.WaitGroup
	submitter.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(jobsPerSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			mu.Lock()
			job := c.batchJob(tasks, runTime)
			mu.Unlock()
			submissions.Go(func() {
				status, _ := submitOnce(c.daemons[n%len(c.daemons)], n, "batch", job)
				if status == http.StatusCreated || status == http.StatusOK {
					accepted.Add(1)
				} else {
					refused.Add(1)
				}
			})
		}
	})
	begin := time.Now()
	c.report(b, nil)
	seconds := time.Since(begin).Seconds()
	close(stop)
	submitter.Wait()
	submissions.Wait()
	b.ReportMetric(float64(accepted.Load())/seconds, "jobs/s")
	b.ReportMetric(float64(refused.Load())/seconds, "refused/s")
	// The next case starts when the tasks of this one have ended.
	c.waitUntil("the tasks end", func() bool { return c.stats().Running == 0 })
}

// BenchmarkCapacityRequests varies the requests per second to the service.
func BenchmarkCapacityRequests(b *testing.B) {
	c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: baseDaemons, platformArgs: []string{"--runner-work", "20ms"}})
	const path = "/v1/services/booking/confirm"
	for _, d := range c.daemons {
		c.waitUntil("the service responds at "+d.name, func() bool {
			status, _ := sendRequest(http.MethodGet, d.url+path, teamSecret(0), nil, nil)
			return status == http.StatusOK
		})
	}
	body := make([]byte, 512)
	for i := range body {
		body[i] = 'a'
	}
	for _, rate := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("requests_per_s=%d", rate), func(b *testing.B) {
			var succeeded, refused atomic.Int64
			stop := make(chan struct{})
			var clients sync.WaitGroup
			// perClient is the number of requests per second of each client.
			const perClient = 10
			for client := range rate / perClient {
				clients.Go(func() {
					ticker := time.NewTicker(time.Second / perClient)
					defer ticker.Stop()
					for n := client; ; n++ {
						select {
						case <-stop:
							return
						case <-ticker.C:
						}
						status, _ := sendRequest(http.MethodPost, c.daemons[n%len(c.daemons)].url+path, teamSecret(client), nil, body)
						if status == http.StatusOK {
							succeeded.Add(1)
						} else {
							refused.Add(1)
						}
					}
				})
			}
			begin := time.Now()
			c.report(b, nil)
			seconds := time.Since(begin).Seconds()
			close(stop)
			clients.Wait()
			b.ReportMetric(float64(succeeded.Load())/seconds, "answered/s")
			b.ReportMetric(float64(refused.Load())/seconds, "refused/s")
		})
	}
}
