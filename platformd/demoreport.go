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

// maxSamples limits the failures that a report shows in words.
const maxSamples = 5

// report is what one cell did.
type report struct {
	cell      standin.Cell
	daemons   int
	inForce   time.Duration
	submitted map[string]time.Time
	jobs      map[string]api.JobStatus
	teams     api.TeamList
	latency   *hdrhistogram.Histogram
	answered  int
	peakUse   float64
	started   int
	waits     []time.Duration
	paidBytes int64
	stats     standin.Stats

	mu      sync.Mutex
	checks  []checkResult
	samples []string
}

type checkResult struct {
	name   string
	ok     bool
	detail string
}

func decode(data []byte, v any) error { return json.Unmarshal(data, v) }

// check records the result of a check.
func (r *report) check(name string, ok bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks = append(r.checks, checkResult{name, ok, fmt.Sprintf(format, args...)})
}

// sample keeps a few failures to show.
func (r *report) sample(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, fmt.Sprintf(format, args...))
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

// finish compares what the daemons said with what the stand-in's workers did.
func (r *report) finish(c *demoCell, s scenario) {
	succeeded := map[string]map[int]int{}
	begun := map[cluster.TaskID]bool{}
	for _, a := range c.platform.Starts() {
		r.started++
		job := a.Attempt.Task.Job.String()
		if at, ok := r.submitted[job]; ok && !begun[a.Attempt.Task] {
			begun[a.Attempt.Task] = true
			r.waits = append(r.waits, max(0, a.Start.Sub(at)))
		}
		if a.Outcome == 0 && !a.End.IsZero() {
			if succeeded[job] == nil {
				succeeded[job] = map[int]int{}
			}
			succeeded[job][a.Attempt.Task.Index]++
		}
	}
	for id, n := range s.wanted() {
		once := len(succeeded[id]) == n
		for _, times := range succeeded[id] {
			once = once && times == 1
		}
		r.check("every task of "+id+" ran to its end exactly once", once, "%d of %d tasks", len(succeeded[id]), n)
	}
	r.check("no task ran in two places", len(c.platform.Overlaps()) == 0, "%v", c.platform.Overlaps())
	for team := range r.teamNames() {
		limit := r.limit(team)
		peak := c.platform.PeakOfTeam(team)
		r.check("team "+string(team)+" stays within its limit", peak.Fits(limit), "peak %s, limit %s", peak, limit)
	}
	r.stats = c.platform.Stats()
	r.check("no start beyond a worker's capacity", r.stats.CapacityRefusals == 0, "%d starts", r.stats.CapacityRefusals)
	c.mu.Lock()
	r.check("no invariant was violated", len(c.violations) == 0, "%v", c.violations)
	c.mu.Unlock()
	for _, d := range c.daemons {
		r.paidBytes += d.PaidLinkBytes()
	}
	slices.Sort(r.waits)
}

func (r *report) limit(team cluster.TeamName) cluster.Resources {
	for _, t := range r.teams.Teams {
		if t.Name == string(team) {
			return t.Limit.ToResources()
		}
	}
	return cluster.Resources{}
}

func (r *report) wait(quantile float64) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[min(len(r.waits)-1, int(quantile*float64(len(r.waits))))].Round(time.Millisecond)
}

// print writes the report and returns the number of failed checks.
func (r *report) print(w io.Writer) int {
	out := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	out("cell %s: %d daemons, %d workers, %d runners", r.cell.Name, r.daemons, r.cell.Workers, r.cell.Runners)
	out("  note in force everywhere after  %s", r.inForce.Round(time.Millisecond))
	out("  task starts                     %d", r.started)
	out("  waiting time of submitted work  p50 %s, p99 %s", r.wait(0.5), r.wait(0.99))
	out("  fullest moment of the fleet     %.0f%% of the scarcest resource", 100*r.peakUse)
	out("  requests answered               %d, p50 %s, p99 %s", r.answered, r.quantile(50), r.quantile(99))
	out("  bytes over the paid link        %d in all daemons, both ways", r.paidBytes)
	out("  store                           %d rows written, %d rows read", r.stats.RowsWritten, r.stats.RowsRead)
	out("  team                   share   limit                                      in use at the end")
	for _, t := range r.teams.Teams {
		out("  %-20s %7d   %-40s   %.1f%% of the fleet", t.Name, t.Share, t.Limit.ToResources(), 100*t.DominantShare)
	}
	failed := 0
	for _, c := range r.checks {
		if !c.ok {
			failed++
			out("  FAILED %s: %s", c.name, c.detail)
		}
	}
	for _, s := range r.samples {
		out("  seen: %s", s)
	}
	out("  checks                          %d passed, %d failed", len(r.checks)-failed, failed)
	return failed
}

func (r *report) quantile(q float64) time.Duration {
	if r.latency == nil {
		return 0
	}
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}
