package pool

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// metrics holds the metrics of a pool.
type metrics struct {
	ends     [platform.NumRunOutcomes]tally.Counter
	refusals [platform.NumStartRefusals]tally.Counter
	starts   tally.Counter
	lost     [numLossReasons]tally.Counter
	// reportedLost counts the lost runs that their worker reported afterwards.
	reportedLost [numLossReasons]tally.Counter
	// unrecordedEnds is the number of run ends that were read and can't be acknowledged yet, changedJobs that of the jobs
	// whose progress waits to be recorded.
	unrecordedEnds tally.Gauge
	changedJobs    tally.Gauge
	// suspensions counts how often the mandate of the owner ended.
	suspensions tally.Counter
	// stoppedGangs counts the attempts of gangs that were stopped, gangEnd is the time until their last member ended.
	stoppedGangs tally.Counter
	gangEnd      tally.Histogram
	// preempted counts the runs stopped to free capacity for a gang.
	preempted tally.Counter
	wait      tally.Histogram
	open      tally.Gauge
	// startWindow is the number of start requests that may be unanswered at a time.
	startWindow tally.Gauge
	// waiting is the number of steps that wait although the pool has spare capacity.
	waiting tally.Gauge
	// evacuatedZones is the number of evacuated zones, evacuatedWorkers that of the listed workers there.
	evacuatedZones, evacuatedWorkers tally.Gauge
}

// waitBuckets are the histogram buckets of the time from the arrival of a job to the start of a task.
var waitBuckets = tally.DurationBuckets{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		starts: scope.Counter("task_starts_total"), preempted: scope.Counter("preempted_runs_total"),
		wait: scope.Histogram("task_wait_seconds", waitBuckets), open: scope.Gauge("open_steps"), startWindow: scope.Gauge("start_window"),
		waiting: scope.Gauge("waiting_steps"), stoppedGangs: scope.Counter("stopped_gangs_total"),
		gangEnd: scope.Histogram("stopped_gang_end_seconds", waitBuckets), unrecordedEnds: scope.Gauge("unrecorded_run_ends"),
		changedJobs: scope.Gauge("unrecorded_jobs"), suspensions: scope.Counter("owner_suspensions_total"),
		evacuatedZones: scope.Gauge("evacuated_zones"), evacuatedWorkers: scope.Gauge("evacuated_workers"),
	}
	for i := range m.lost {
		tagged := scope.Tagged(map[string]string{"reason": lossReason(i).String()})
		m.lost[i], m.reportedLost[i] = tagged.Counter("lost_runs_total"), tagged.Counter("reported_lost_runs_total")
	}
	for i := range m.ends {
		m.ends[i] = scope.Tagged(map[string]string{"outcome": platform.RunOutcome(i).String()}).Counter("run_ends_total")
	}
	for i := range m.refusals {
		m.refusals[i] = scope.Tagged(map[string]string{"reason": platform.StartRefusal(i).String()}).Counter("start_refusals_total")
	}
	return m
}
