package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

const (
	testSecret = "demo-berghof"
	testNote   = `
summary: Cell of the crash tests
add:
  teams:
    - {name: archive, share: 1, limit: {cpus: 64, memory: 256GiB}, maxRequests: 64}
  keys:
    # The SHA-256 of demo-berghof.
    - {name: archive-1, team: archive, hash: 72508983e63b5b539c2610acf0f15e1664c0944bb821d85a1a0a8212ab02379a}
  queues:
    - {name: batch, priority: normal}
  services:
    - {name: echo, queue: batch, timeout: 10s, maxAnswer: 1MiB, maxBody: 1MiB}
`
)

func testJob(id string, tasks int) api.JobRequest {
	return api.JobRequest{
		ID: id, Workload: api.WorkloadBatch, Tasks: tasks, CPUs: 0.5, Memory: "512MiB",
		RunTime: "1s", Command: []string{"1s"}, Idempotent: true,
	}
}

// checkJobsRunOnce submits jobs, injects the fault while they run, and checks that
// every task succeeded exactly once.
func (c *testCluster) checkJobsRunOnce(prefix string, jobs, tasks int, fault func()) {
	for i := range jobs {
		c.submitJob(testSecret, "batch", testJob(fmt.Sprintf("%s-%d", prefix, i), tasks))
	}
	c.waitUntil("tasks start", func() bool { return c.stats().Starts > 0 })
	fault()
	observer := c.daemons[len(c.daemons)-1]
	c.waitUntil("all jobs finish", func() bool {
		finished := c.finishedTasks(observer)
		for i := range jobs {
			if finished[fmt.Sprintf("archive/%s-%d", prefix, i)] != tasks {
				return false
			}
		}
		return true
	})
	c.pendingRecoveries.Wait()
	succeeded := c.successCounts()
	for i := range jobs {
		for index := range tasks {
			task := fmt.Sprintf("archive/%s-%d#%d", prefix, i, index)
			if succeeded[task] != 1 {
				c.t.Errorf("task %s succeeded %d times", task, succeeded[task])
			}
		}
	}
	stats := c.stats()
	c.is.Equal(stats.Overlaps, 0)
	c.is.Equal(stats.CapacityRefusals, int64(0))
}

// Guards against tasks that are lost or run twice when the daemon that owns their rack is killed.
func TestKilledDaemonWorkRunsOnce(t *testing.T) {
	for victim := range 3 {
		t.Run(fmt.Sprintf("victim %d", victim), func(t *testing.T) {
			c := newTestCluster(t, 3, testNote)
			c.checkJobsRunOnce("job", 6, 20, func() {
				c.daemons[victim].signal(t, syscall.SIGKILL)
				c.daemons = append(c.daemons[:victim:victim], c.daemons[victim+1:]...)
			})
		})
	}
}

// Guards against an owner that is paused until its leases have expired and then
// continues as if it still owned its racks.
func TestPausedDaemonWorkRunsOnce(t *testing.T) {
	c := newTestCluster(t, 3, testNote)
	paused := c.daemons[0]
	c.daemons = c.daemons[1:]
	c.checkJobsRunOnce("job", 6, 20, func() {
		paused.signal(t, syscall.SIGSTOP)
		c.scheduleRecovery(4*time.Second, func() { _ = paused.cmd.Process.Signal(syscall.SIGCONT) })
	})
}

// Guards against a graceful shutdown that aborts a request or does not hand over its racks.
func TestStoppingDaemonCompletesRequests(t *testing.T) {
	c := newTestCluster(t, 3, testNote, "--runner-work", "100ms")
	path := "/v1/services/echo/confirm"
	for _, d := range c.daemons {
		c.waitUntil("the service responds", func() bool {
			status, _ := c.send(http.MethodGet, d.url+path, testSecret, nil, nil)
			return status == http.StatusOK
		})
	}
	stopped := c.daemons[0]
	var wg sync.WaitGroup
	var succeeded, refused, unexpected atomic.Int64
	stop := make(chan struct{})
	for client := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Sprintf("%d-%d", client, i)
				status, data := c.send(http.MethodPost, stopped.url+path, testSecret, nil, []byte(body))
				switch {
				case status == http.StatusOK && string(data) == body:
					succeeded.Add(1)
				case status == http.StatusServiceUnavailable:
					refused.Add(1)
					return
				case status == 0:
					// The listener is closed: the request was not accepted.
					return
				default:
					unexpected.Add(1)
					t.Errorf("request %s: %d %s", body, status, data)
				}
			}
		})
	}
	c.waitUntil("requests succeed", func() bool { return succeeded.Load() > 20 })
	stopped.signal(t, syscall.SIGTERM)
	<-stopped.exited
	close(stop)
	wg.Wait()
	c.is.Equal(unexpected.Load(), int64(0))
	c.is.Equal(stopped.cmd.ProcessState.ExitCode(), 0)
	executed := map[string]int{}
	for _, runnerID := range c.runnerIDs() {
		for _, e := range c.executions(runnerID) {
			if e.Method == http.MethodPost {
				executed[e.Body]++
			}
		}
	}
	for body, times := range executed {
		if times != 1 {
			t.Errorf("request %s executed %d times", body, times)
		}
	}
	c.is.Equal(int64(len(executed)), succeeded.Load())
}

// Guards against a daemon that exits or reports that it is ready while the platform
// is unavailable at its start.
func TestDaemonStartsDuringPlatformOutage(t *testing.T) {
	c := newTestCluster(t, 1, testNote)
	c.patchFaults(`{"storeDown":true,"vmListDown":true}`)
	newDaemon := c.startDaemon(1)
	c.waitUntil("the new daemon reports that it is not ready", func() bool {
		status, _ := c.send(http.MethodGet, newDaemon.url+"/readyz", "", nil, nil)
		return status == http.StatusServiceUnavailable
	})
	status, _ := c.send(http.MethodGet, newDaemon.url+"/livez", "", nil, nil)
	c.is.Equal(status, http.StatusOK)
	c.patchFaults(`{"storeDown":false,"vmListDown":false}`)
	c.waitUntil("the new daemon is ready", func() bool { return c.get(newDaemon.url+"/readyz", nil) == nil })
}
