package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// maxFailureSamples limits the failed requests that a report shows in detail.
const maxFailureSamples = 5

// report collects the results of the run of one cell.
type report struct {
	cell    standin.Cell
	daemons int
	// propagationTime is the time from the response to the repeated apply of the note
	// until every daemon used the note.
	propagationTime time.Duration
	// submittedAt is the time of the first submission, by team/id of the job.
	submittedAt map[string]time.Time
	jobs        map[string]api.JobStatus
	teams       api.TeamList
	// latency is the latency of answered requests in microseconds.
	latency          *hdrhistogram.Histogram
	answeredRequests int
	// peakUsage is the highest share of the scarcest resource that was in use.
	peakUsage  float64
	taskStarts int
	// waitTimes are the times from the submission of a job to the first start of each
	// of its tasks.
	waitTimes []time.Duration
	// paidBytes is the traffic over the paid link between the regions.
	paidBytes int64
	stats     standin.Stats

	mu             sync.Mutex
	checks         []checkResult
	failureSamples []string
}

// checkResult is the result of one check; detail is printed if it failed.
type checkResult struct {
	name   string
	ok     bool
	detail string
}

// decodeJSON decodes the body of a response.
func decodeJSON(data []byte, v any) error { return json.Unmarshal(data, v) }

// recordCheck records the result of a check.
func (r *report) recordCheck(name string, ok bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks = append(r.checks, checkResult{name, ok, fmt.Sprintf(format, args...)})
}

// addFailureSample records a failed request, up to maxFailureSamples.
func (r *report) addFailureSample(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failureSamples) < maxFailureSamples {
		r.failureSamples = append(r.failureSamples, fmt.Sprintf(format, args...))
	}
}

// teamNames returns the teams that have jobs.
func (r *report) teamNames() map[cluster.TeamName]bool {
	names := map[cluster.TeamName]bool{}
	for _, j := range r.jobs {
		names[cluster.TeamName(j.Team)] = true
	}
	return names
}

// checkOutcome compares the results that the daemons report with the task starts and
// the usage that the stand-in has recorded.
func (r *report) checkOutcome(c *demoCell, s scenario) {
	finishedAttempts := map[string]map[int]int{}
	startedTasks := map[cluster.TaskID]bool{}
	for _, a := range c.platform.Starts() {
		r.taskStarts++
		job := a.Attempt.Task.Job.String()
		if submittedAt, ok := r.submittedAt[job]; ok && !startedTasks[a.Attempt.Task] {
			startedTasks[a.Attempt.Task] = true
			r.waitTimes = append(r.waitTimes, max(0, a.Start.Sub(submittedAt)))
		}
		// Outcome 0 is platform.OutcomeSucceeded.
		if a.Outcome == 0 && !a.End.IsZero() {
			if finishedAttempts[job] == nil {
				finishedAttempts[job] = map[int]int{}
			}
			finishedAttempts[job][a.Attempt.Task.Index]++
		}
	}
	for id, n := range s.expectedTasks() {
		exactlyOnce := len(finishedAttempts[id]) == n
		for _, attempts := range finishedAttempts[id] {
			exactlyOnce = exactlyOnce && attempts == 1
		}
		r.recordCheck("every task of "+id+" ran to its end exactly once", exactlyOnce, "%d of %d tasks", len(finishedAttempts[id]), n)
	}
	r.recordCheck("no task ran in two places", len(c.platform.Overlaps()) == 0, "%v", c.platform.Overlaps())
	for team := range r.teamNames() {
		limit := r.teamLimit(team)
		peak := c.platform.PeakOfTeam(team)
		r.recordCheck("team "+string(team)+" stays within its limit", peak.Fits(limit), "peak %s, limit %s", peak, limit)
	}
	r.stats = c.platform.Stats()
	r.recordCheck("no start beyond a worker's capacity", r.stats.CapacityRefusals == 0, "%d starts", r.stats.CapacityRefusals)
	c.mu.Lock()
	r.recordCheck("no invariant was violated", len(c.violations) == 0, "%v", c.violations)
	c.mu.Unlock()
	for _, d := range c.daemons {
		r.paidBytes += d.PaidLinkBytes()
	}
	slices.Sort(r.waitTimes)
}

// teamLimit returns the limit of a team.
func (r *report) teamLimit(team cluster.TeamName) cluster.Resources {
	for _, t := range r.teams.Teams {
		if t.Name == string(team) {
			return t.Limit.ToResources()
		}
	}
	return cluster.Resources{}
}

// waitQuantile returns a quantile, from 0 to 1, of the sorted waiting times.
func (r *report) waitQuantile(quantile float64) time.Duration {
	if len(r.waitTimes) == 0 {
		return 0
	}
	return r.waitTimes[min(len(r.waitTimes)-1, int(quantile*float64(len(r.waitTimes))))].Round(time.Millisecond)
}

// print writes the report and returns the number of failed checks.
func (r *report) print(w io.Writer) int {
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printLine("cell %s: %d daemons, %d workers, %d runners", r.cell.Name, r.daemons, r.cell.Workers, r.cell.Runners)
	printLine("  note in force everywhere after  %s", r.propagationTime.Round(time.Millisecond))
	printLine("  task starts                     %d", r.taskStarts)
	printLine("  waiting time of submitted work  p50 %s, p99 %s", r.waitQuantile(0.5), r.waitQuantile(0.99))
	printLine("  fullest moment of the fleet     %.0f%% of the scarcest resource", 100*r.peakUsage)
	printLine("  requests answered               %d, p50 %s, p99 %s", r.answeredRequests, r.latencyQuantile(50), r.latencyQuantile(99))
	printLine("  bytes over the paid link        %d in all daemons, both ways", r.paidBytes)
	printLine("  store                           %d rows written, %d rows read", r.stats.RowsWritten, r.stats.RowsRead)
	printLine("  team                   share   limit                                      in use at the end")
	for _, t := range r.teams.Teams {
		printLine("  %-20s %7d   %-40s   %.1f%% of the fleet", t.Name, t.Share, t.Limit.ToResources(), 100*t.DominantShare)
	}
	failed := 0
	for _, c := range r.checks {
		if !c.ok {
			failed++
			printLine("  FAILED %s: %s", c.name, c.detail)
		}
	}
	for _, s := range r.failureSamples {
		printLine("  seen: %s", s)
	}
	printLine("  checks                          %d passed, %d failed", len(r.checks)-failed, failed)
	return failed
}

// latencyQuantile returns a quantile, from 0 to 100, of the latency of requests.
func (r *report) latencyQuantile(q float64) time.Duration {
	if r.latency == nil {
		return 0
	}
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}
