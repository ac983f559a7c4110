package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// attemptStart is the start of an attempt as recorded by platformd's workers.
type attemptStart struct {
	Attempt string    `json:"attempt"`
	Start   time.Time `json:"start"`
}

// firstStarts returns the time of the first start of each started task of a job.
func (c *benchCluster) firstStarts(team int, job string) map[string]time.Time {
	c.b.Helper()
	var list []attemptStart
	if err := c.get(c.adminURL+"/admin/attempts", &list); err != nil {
		c.b.Fatal(err)
	}
	starts := map[string]time.Time{}
	for _, a := range list {
		task, _, _ := strings.Cut(a.Attempt, "@")
		if !strings.HasPrefix(task, teamName(team)+"/"+job+"#") {
			continue
		}
		if first, ok := starts[task]; !ok || a.Start.Before(first) {
			starts[task] = a.Start
		}
	}
	return starts
}

const (
	// fillTasksPerJob is the number of tasks of each job that fillCluster submits.
	fillTasksPerJob = 50
	// fillInterval is longer than the time between two digests of a rack. Jobs that are submitted faster are
	// assigned to the same rack beyond its free capacity, and the tasks that don't fit there are not moved.
	fillInterval = 1200 * time.Millisecond
)

// submitPaced submits a job to the first daemon and waits until the other daemons know which
// capacity it uses.
func (c *benchCluster) submitPaced(team int, job api.JobRequest) {
	c.b.Helper()
	c.waitUntil("job "+job.ID+" is accepted", func() bool {
		status, _ := submitOnce(c.daemons[0], team, "batch", job)
		return status == http.StatusCreated || status == http.StatusOK
	})
	time.Sleep(fillInterval)
}

// fillCluster starts batch tasks that run during the whole benchmark.
func (c *benchCluster) fillCluster(tasks int) {
	c.b.Helper()
	for i := range tasks / fillTasksPerJob {
		c.submitPaced(i, c.batchJob(fillTasksPerJob, time.Hour))
	}
	c.waitRunningTasks(tasks)
	c.waitUntilIdle()
}

// durations holds one result for each trial of a case.
type durations []time.Duration

func (d durations) report(b *testing.B, unit string) {
	if len(d) == 0 {
		return
	}
	sum := time.Duration(0)
	for _, v := range d {
		sum += v
	}
	b.ReportMetric(sum.Seconds()/float64(len(d)), unit+"_mean_s")
	b.ReportMetric(slices.Max(d).Seconds(), unit+"_max_s")
}

// replaceDaemons starts a daemon for each killed one and waits until all racks are owned and
// the cluster is idle.
func (c *benchCluster) replaceDaemons(killed []*benchDaemon) {
	c.b.Helper()
	for _, d := range killed {
		c.addDaemon([2]string{d.region, d.zone})
	}
	c.waitReady()
	c.waitRacksOwned(targetRacks)
	c.waitUntilIdle()
}

// daemonsInZone returns the daemons of a zone.
func (c *benchCluster) daemonsInZone(zone string) []*benchDaemon {
	var list []*benchDaemon
	for _, d := range c.daemons {
		if d.zone == zone {
			list = append(list, d)
		}
	}
	return list
}

// setZoneWorkersDead sets whether the workers of a zone are dead.
func (c *benchCluster) setZoneWorkersDead(zone string, dead bool) {
	c.b.Helper()
	var list api.WorkerList
	c.waitUntil("the workers are listed", func() bool { return c.get(c.daemons[0].url+"/v1/workers", &list) == nil })
	var calls sync.WaitGroup
	limit := make(chan struct{}, 8)
	for _, w := range list.Workers {
		if w.Zone != zone {
			continue
		}
		calls.Go(func() {
			limit <- struct{}{}
			status, data := sendRequest(http.MethodPatch, c.adminURL+"/admin/workers/"+w.ID+"/faults", "", nil, fmt.Appendf(nil, `{"dead":%t}`, dead))
			<-limit
			if status != http.StatusOK {
				c.b.Errorf("worker %s: %d %s", w.ID, status, data)
			}
		})
	}
	calls.Wait()
}

// BenchmarkCapacityUrgentStart measures the time from the SIGKILL of a daemon to the first start
// of urgent tasks submitted right after it. The required limit is 6.5 s.
func BenchmarkCapacityUrgentStart(b *testing.B) {
	c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: baseDaemons})
	c.fillCluster(600)
	cases := []struct {
		name    string
		trials  int
		fault   func() []*benchDaemon
		restore func()
	}{
		{"daemon", 5, func() []*benchDaemon { return c.daemons[len(c.daemons)-1:] }, func() {}},
		{"daemon+switch", 5, func() []*benchDaemon {
			c.patchFaults(`{"racksDown":["e-1-r1"]}`)
			return c.daemons[len(c.daemons)-1:]
		}, func() { c.patchFaults(`{"racksDown":[]}`) }},
		{"zone", 1, func() []*benchDaemon {
			c.setZoneWorkersDead("e-1", true)
			return c.daemonsInZone("e-1")
		}, func() { c.setZoneWorkersDead("e-1", false) }},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			var first, accepted, all durations
			late, missing := 0, 0
			for range tc.trials {
				begin := time.Now()
				killed := slices.Clone(tc.fault())
				for _, d := range killed {
					c.endDaemon(d, syscall.SIGKILL)
				}
				times := c.runUrgentJobs(begin)
				accepted, first, all = append(accepted, times.accepted), append(first, times.first), append(all, times.all)
				late, missing = late+times.late, missing+times.missing
				tc.restore()
				c.replaceDaemons(killed)
			}
			accepted.report(b, "accepted")
			first.report(b, "first_start")
			all.report(b, "all_started")
			b.ReportMetric(float64(late), "late_tasks")
			b.ReportMetric(float64(missing), "missing_tasks")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// urgentTimes holds the times of the urgent jobs since a fault.
type urgentTimes struct {
	accepted, first, all time.Duration
	// late is the number of tasks that started after the required limit.
	late int
	// missing is the number of tasks that had not started when the benchmark stopped waiting.
	missing int
}

// runUrgentJobs submits urgent jobs of several teams and waits until all tasks have
// started. Each task needs a whole worker, so that racks of every daemon are used.
func (c *benchCluster) runUrgentJobs(begin time.Time) urgentTimes {
	c.b.Helper()
	const (
		teams    = 4
		tasks    = 100
		required = 6500 * time.Millisecond
		// urgentLimit is well above the lease of a lost worker and its bound for clock drift.
		urgentLimit = 50 * time.Second
	)
	var jobs [teams]api.JobRequest
	for team := range teams {
		jobs[team] = c.batchJob(tasks, time.Second)
		jobs[team].CPUs = 15
		c.submitJob(team, "urgent", jobs[team])
	}
	times := urgentTimes{accepted: time.Since(begin)}
	starts := map[string]time.Time{}
	for len(starts) < teams*tasks && time.Since(begin) < urgentLimit {
		for team := range teams {
			maps.Copy(starts, c.firstStarts(team, jobs[team].ID))
		}
		time.Sleep(20 * time.Millisecond)
	}
	times.missing = teams*tasks - len(starts)
	times.first = time.Hour
	for _, startedAt := range starts {
		delay := startedAt.Sub(begin)
		times.first, times.all = min(times.first, delay), max(times.all, delay)
		if delay > required {
			times.late++
		}
	}
	return times
}

// waitNoteInForce returns how long after start the last daemon of the region, or of all regions if
// it is empty, uses a configuration version, and false if one does not within the limit.
func (c *benchCluster) waitNoteInForce(start time.Time, version uint64, region string, limit time.Duration) (time.Duration, bool) {
	var mu sync.Mutex
	last, inForce := time.Duration(0), true
	var polls sync.WaitGroup
	for _, d := range c.daemons {
		if region != "" && d.region != region {
			continue
		}
		polls.Go(func() {
			for time.Since(start) < limit {
				var s api.Status
				if c.get(d.url+"/v1/status", &s) == nil && s.ConfigVersion >= version {
					mu.Lock()
					last = max(last, time.Since(start))
					mu.Unlock()
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			mu.Lock()
			inForce = false
			mu.Unlock()
		})
	}
	polls.Wait()
	return last, inForce
}

// configRelay returns the configuration relay of a region, which is the member with the lowest ID.
func (c *benchCluster) configRelay(region string) *benchDaemon {
	var lowest *benchDaemon
	for _, d := range c.daemons {
		if d.region == region && (lowest == nil || d.id < lowest.id) {
			lowest = d
		}
	}
	return lowest
}

// BenchmarkCapacityNoteInForce measures the time from the acceptance of a note until it is in force
// on every daemon. The required limit is 7 s.
func BenchmarkCapacityNoteInForce(b *testing.B) {
	const limit = 30 * time.Second
	c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: baseDaemons})
	// applyNote applies a note and returns its version, the time of its acceptance and how long that took.
	applyNote := func() (uint64, time.Time, time.Duration) {
		begin := time.Now()
		version := c.applyNote(shareChangeNote(c.appliedNotes))
		return version, time.Now(), time.Since(begin)
	}
	b.Run("plain", func(b *testing.B) {
		var inForce, acceptance durations
		for range 10 {
			version, acceptedAt, took := applyNote()
			d, ok := c.waitNoteInForce(acceptedAt, version, "", limit)
			if !ok {
				b.Errorf("note %d is not in force everywhere after %s", version, limit)
			}
			inForce, acceptance = append(inForce, d), append(acceptance, took)
		}
		inForce.report(b, "in_force")
		acceptance.report(b, "acceptance")
		b.ReportMetric(0, "ns/op")
	})
	for _, region := range []string{"west", "east"} {
		b.Run("relay_killed="+region, func(b *testing.B) {
			var inForce, acceptance durations
			for range 3 {
				killed := c.configRelay(region)
				c.endDaemon(killed, syscall.SIGKILL)
				version, acceptedAt, took := applyNote()
				d, ok := c.waitNoteInForce(acceptedAt, version, "", limit)
				if !ok {
					b.Errorf("note %d is not in force everywhere after %s", version, limit)
				}
				inForce, acceptance = append(inForce, d), append(acceptance, took)
				c.replaceDaemons([]*benchDaemon{killed})
			}
			inForce.report(b, "in_force")
			acceptance.report(b, "acceptance")
			b.ReportMetric(0, "ns/op")
		})
	}
	b.Run("region_cut", func(b *testing.B) {
		const partitionDuration = 15 * time.Second
		var inStoreRegion, partitionedRegion, afterPartition, acceptance durations
		for range 2 {
			c.patchFaults(`{"cutRegions":["west"]}`)
			partitionedAt := time.Now()
			time.Sleep(3 * time.Second)
			version, acceptedAt, took := applyNote()
			acceptance = append(acceptance, took)
			d, ok := c.waitNoteInForce(acceptedAt, version, "east", limit)
			if !ok {
				b.Errorf("note %d is not in force in the store's region after %s", version, limit)
			}
			inStoreRegion = append(inStoreRegion, d)
			if d, ok := c.waitNoteInForce(acceptedAt, version, "west", partitionDuration-partitionedAt.Sub(acceptedAt)); ok {
				partitionedRegion = append(partitionedRegion, d)
			}
			time.Sleep(time.Until(partitionedAt.Add(partitionDuration)))
			c.patchFaults(`{"cutRegions":[]}`)
			restoredAt := time.Now()
			d, ok = c.waitNoteInForce(restoredAt, version, "", limit)
			if !ok {
				b.Errorf("note %d is not in force everywhere %s after the end of the partition", version, limit)
			}
			afterPartition = append(afterPartition, d)
			c.waitUntilIdle()
		}
		inStoreRegion.report(b, "store_region")
		partitionedRegion.report(b, "cut_region_during_cut")
		afterPartition.report(b, "after_cut")
		acceptance.report(b, "acceptance")
		b.ReportMetric(0, "ns/op")
	})
}

// controlBytes returns the bytes of control traffic of the daemons since their start, and the part on paid links.
func (c *benchCluster) controlBytes(daemons ...*benchDaemon) (all, paid float64) {
	for _, d := range daemons {
		s := c.readSample(d)
		for _, cause := range trafficCauses {
			if cause != "request" {
				all += s.trafficBytes[cause]
				paid += s.paidLinkBytes[cause]
			}
		}
	}
	return all, paid
}

// BenchmarkCapacityReplacement measures the additional cost of the replacement of a
// daemon, compared with an idle cluster. The traffic of the replaced daemon during
// its shutdown is not included, because its counters are lost when it exits.
func BenchmarkCapacityReplacement(b *testing.B) {
	const trials = 3
	c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: baseDaemons})
	c.fillCluster(600)
	idle := c.measure(windowLength(b), nil)
	for name, signal := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGKILL": syscall.SIGKILL} {
		b.Run(name, func(b *testing.B) {
			sum := measurement{}
			for range trials {
				replaced := c.daemons[len(c.daemons)-1]
				bytesBefore, paidBefore := c.controlBytes(c.daemons[:len(c.daemons)-1]...)
				before, begin := c.stats(), time.Now()
				c.endDaemon(replaced, signal)
				sum["exit_s"] += time.Since(begin).Seconds()
				c.replaceDaemons([]*benchDaemon{replaced})
				seconds := time.Since(begin).Seconds()
				after := c.stats()
				bytesAfter, paidAfter := c.controlBytes(c.daemons...)
				sum["ctl_B"] += bytesAfter - bytesBefore - idle["ctl_B/s"]*seconds*baseDaemons
				sum["paid_B"] += paidAfter - paidBefore - idle["paid_B/s"]*seconds*baseDaemons
				sum["rows_written"] += after.RowsWritten - before.RowsWritten - idle["rows_written/s"]*seconds
				sum["rows_read"] += after.RowsRead - before.RowsRead - idle["rows_read/s"]*seconds
				sum["whole_after_s"] += seconds
			}
			for unit, v := range sum {
				b.ReportMetric(v/trials, unit)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
