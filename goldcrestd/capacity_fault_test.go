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

// startedTask is an attempt as the stand-in's workers saw it.
type startedTask struct {
	Attempt string    `json:"attempt"`
	Start   time.Time `json:"start"`
}

// firstStarts returns when each task of a job started first.
func (f *fleet) firstStarts(team int, job string) map[string]time.Time {
	f.b.Helper()
	var list []startedTask
	if err := f.get(f.admin+"/admin/attempts", &list); err != nil {
		f.b.Fatal(err)
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
	// fillJob is the number of tasks of a job that fills the fleet.
	fillJob = 50
	// fillPace is longer than the time between two digests of a rack. Jobs that are handed in faster are
	// assigned to the same rack beyond its room, and the tasks without room there are not moved.
	fillPace = 1200 * time.Millisecond
)

// submitPaced hands in a job at the first daemon and waits until the others know what it took.
func (f *fleet) submitPaced(team int, job api.JobRequest) {
	f.b.Helper()
	f.wait("job "+job.ID+" is accepted", func() bool {
		status, _ := submitTo(f.daemons[0], team, "batch", job)
		return status == http.StatusCreated || status == http.StatusOK
	})
	time.Sleep(fillPace)
}

// fill starts batch tasks that run on for the whole benchmark.
func (f *fleet) fill(tasks int) {
	f.b.Helper()
	for i := range tasks / fillJob {
		f.submitPaced(i, f.batchJob(fillJob, time.Hour))
	}
	f.waitRunning(tasks)
	f.waitQuiet()
}

// durations are the results of the trials of one case.
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

// replace starts a daemon for each killed one and waits until the fleet is whole and quiet.
func (f *fleet) replace(killed []*benchDaemon) {
	f.b.Helper()
	for _, d := range killed {
		f.addDaemon([2]string{d.region, d.zone})
	}
	f.waitReady()
	f.waitRacks(targetRacks)
	f.waitQuiet()
}

// inZone returns the daemons of a zone.
func (f *fleet) inZone(zone string) []*benchDaemon {
	var list []*benchDaemon
	for _, d := range f.daemons {
		if d.zone == zone {
			list = append(list, d)
		}
	}
	return list
}

// setZoneDead sets whether the workers of a zone are dead.
func (f *fleet) setZoneDead(zone string, dead bool) {
	f.b.Helper()
	var list api.WorkerList
	f.wait("the workers are listed", func() bool { return f.get(f.daemons[0].url+"/v1/workers", &list) == nil })
	var calls sync.WaitGroup
	limit := make(chan struct{}, 8)
	for _, w := range list.Workers {
		if w.Zone != zone {
			continue
		}
		calls.Go(func() {
			limit <- struct{}{}
			status, data := call(http.MethodPatch, f.admin+"/admin/workers/"+w.ID+"/faults", "", nil, fmt.Appendf(nil, `{"dead":%t}`, dead))
			<-limit
			if status != http.StatusOK {
				f.b.Errorf("worker %s: %d %s", w.ID, status, data)
			}
		})
	}
	calls.Wait()
}

// BenchmarkCapacityUrgentStart measures from the SIGKILL of a daemon to the
// first start of urgent work handed in right after it; required are 6.5 s.
func BenchmarkCapacityUrgentStart(b *testing.B) {
	f := newFleet(b, fleetSize{racks: targetRacks, daemons: baseDaemons})
	f.fill(600)
	cases := []struct {
		name   string
		trials int
		fault  func() []*benchDaemon
		mend   func()
	}{
		{"daemon", 5, func() []*benchDaemon { return f.daemons[len(f.daemons)-1:] }, func() {}},
		{"daemon+switch", 5, func() []*benchDaemon {
			f.patchFaults(`{"racksDown":["e-1-r1"]}`)
			return f.daemons[len(f.daemons)-1:]
		}, func() { f.patchFaults(`{"racksDown":[]}`) }},
		{"zone", 1, func() []*benchDaemon {
			f.setZoneDead("e-1", true)
			return f.inZone("e-1")
		}, func() { f.setZoneDead("e-1", false) }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			var first, accepted, all durations
			late, missing := 0, 0
			for range c.trials {
				begin := time.Now()
				killed := slices.Clone(c.fault())
				for _, d := range killed {
					f.end(d, syscall.SIGKILL)
				}
				times := f.urgent(begin)
				accepted, first, all = append(accepted, times.accepted), append(first, times.first), append(all, times.all)
				late, missing = late+times.late, missing+times.missing
				c.mend()
				f.replace(killed)
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

// urgentTimes are the times of one urgent job since a fault.
type urgentTimes struct {
	accepted, first, all time.Duration
	// late is the number of tasks that started after the required time.
	late int
	// missing is the number of tasks that had not started when the benchmark stopped waiting.
	missing int
}

// urgent hands in urgent jobs of several teams whose tasks take a worker each, so
// that racks of every daemon are needed, and waits until all have started.
func (f *fleet) urgent(begin time.Time) urgentTimes {
	f.b.Helper()
	const (
		teams    = 4
		tasks    = 100
		required = 6500 * time.Millisecond
		// urgentLimit is well above the lease and the drift bound of a lost worker.
		urgentLimit = 50 * time.Second
	)
	var jobs [teams]api.JobRequest
	for team := range teams {
		jobs[team] = f.batchJob(tasks, time.Second)
		jobs[team].CPUs = 15
		f.submit(team, "urgent", jobs[team])
	}
	t := urgentTimes{accepted: time.Since(begin)}
	starts := map[string]time.Time{}
	for len(starts) < teams*tasks && time.Since(begin) < urgentLimit {
		for team := range teams {
			maps.Copy(starts, f.firstStarts(team, jobs[team].ID))
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.missing = teams*tasks - len(starts)
	t.first = time.Hour
	for _, at := range starts {
		after := at.Sub(begin)
		t.first, t.all = min(t.first, after), max(t.all, after)
		if after > required {
			t.late++
		}
	}
	return t
}

// waitInForce returns how long after begin the daemons decide with a version; it gives up after limit.
func (f *fleet) waitInForce(begin time.Time, version uint64, region string, limit time.Duration) (time.Duration, bool) {
	var mu sync.Mutex
	last, reached := time.Duration(0), true
	var polls sync.WaitGroup
	for _, d := range f.daemons {
		if region != "" && d.region != region {
			continue
		}
		polls.Go(func() {
			for time.Since(begin) < limit {
				var s api.Status
				if f.get(d.url+"/v1/status", &s) == nil && s.ConfigVersion >= version {
					mu.Lock()
					last = max(last, time.Since(begin))
					mu.Unlock()
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			mu.Lock()
			reached = false
			mu.Unlock()
		})
	}
	polls.Wait()
	return last, reached
}

// relay returns the configuration relay of a region, its lowest member.
func (f *fleet) relay(region string) *benchDaemon {
	var lowest *benchDaemon
	for _, d := range f.daemons {
		if d.region == region && (lowest == nil || d.id < lowest.id) {
			lowest = d
		}
	}
	return lowest
}

// BenchmarkCapacityNoteInForce measures from the acceptance of a note to its being in force at every daemon; required are 7 s.
func BenchmarkCapacityNoteInForce(b *testing.B) {
	const limit = 30 * time.Second
	f := newFleet(b, fleetSize{racks: targetRacks, daemons: baseDaemons})
	// applied applies a note and returns when it was accepted and how long that took.
	applied := func() (uint64, time.Time, time.Duration) {
		begin := time.Now()
		version := f.apply(shareNote(f.note))
		return version, time.Now(), time.Since(begin)
	}
	b.Run("plain", func(b *testing.B) {
		var inForce, acceptance durations
		for range 10 {
			version, at, took := applied()
			d, ok := f.waitInForce(at, version, "", limit)
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
				killed := f.relay(region)
				f.end(killed, syscall.SIGKILL)
				version, at, took := applied()
				d, ok := f.waitInForce(at, version, "", limit)
				if !ok {
					b.Errorf("note %d is not in force everywhere after %s", version, limit)
				}
				inForce, acceptance = append(inForce, d), append(acceptance, took)
				f.replace([]*benchDaemon{killed})
			}
			inForce.report(b, "in_force")
			acceptance.report(b, "acceptance")
			b.ReportMetric(0, "ns/op")
		})
	}
	b.Run("region_cut", func(b *testing.B) {
		const cutFor = 15 * time.Second
		var here, there, after, acceptance durations
		for range 2 {
			f.patchFaults(`{"cutRegions":["west"]}`)
			cut := time.Now()
			time.Sleep(3 * time.Second)
			version, at, took := applied()
			acceptance = append(acceptance, took)
			d, ok := f.waitInForce(at, version, "east", limit)
			if !ok {
				b.Errorf("note %d is not in force in the store's region after %s", version, limit)
			}
			here = append(here, d)
			if d, ok := f.waitInForce(at, version, "west", cutFor-cut.Sub(at)); ok {
				there = append(there, d)
			}
			time.Sleep(time.Until(cut.Add(cutFor)))
			f.patchFaults(`{"cutRegions":[]}`)
			healed := time.Now()
			d, ok = f.waitInForce(healed, version, "", limit)
			if !ok {
				b.Errorf("note %d is not in force everywhere %s after the end of the cut", version, limit)
			}
			after = append(after, d)
			f.waitQuiet()
		}
		here.report(b, "store_region")
		there.report(b, "cut_region_during_cut")
		after.report(b, "after_cut")
		acceptance.report(b, "acceptance")
		b.ReportMetric(0, "ns/op")
	})
}

// controlBytes returns the control bytes that the daemons have exchanged since their start.
func (f *fleet) controlBytes(daemons ...*benchDaemon) (all, paid float64) {
	for _, d := range daemons {
		s := f.read(d)
		for _, cause := range causes {
			if cause != "request" {
				all += s.traffic[cause]
				paid += s.paid[cause]
			}
		}
	}
	return all, paid
}

// BenchmarkCapacityReplacement measures what the replacement of a daemon costs
// beyond an idle fleet. The bytes of the old daemon's last moments are not in
// it: its counters end with it.
func BenchmarkCapacityReplacement(b *testing.B) {
	const trials = 3
	f := newFleet(b, fleetSize{racks: targetRacks, daemons: baseDaemons})
	f.fill(600)
	idle := f.measure(benchSeconds(b), nil)
	for name, signal := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGKILL": syscall.SIGKILL} {
		b.Run(name, func(b *testing.B) {
			sum := window{}
			for range trials {
				old := f.daemons[len(f.daemons)-1]
				bytesBefore, paidBefore := f.controlBytes(f.daemons[:len(f.daemons)-1]...)
				before, begin := f.stats(), time.Now()
				f.end(old, signal)
				sum["exit_s"] += time.Since(begin).Seconds()
				f.replace([]*benchDaemon{old})
				seconds := time.Since(begin).Seconds()
				after := f.stats()
				bytesAfter, paidAfter := f.controlBytes(f.daemons...)
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
