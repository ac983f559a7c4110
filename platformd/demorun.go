package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// requestConcurrency is the number of requests in flight; it doesn't exceed
// the number of slots of the runners.
const requestConcurrency = 32

// idemInterval means that every fifth request has an Idempotency-Key. Such a
// request writes two rows, and the store accepts 300 rows a second from all daemons.
const idemInterval = 5

// runScenario runs one cell, from the release note to the end of its jobs, and
// checks the results.
func runScenario(ctx context.Context, s scenario, text []byte, o *demoOptions, log zerolog.Logger) (*report, error) {
	c, err := startCell(s.cell, o.daemons, log)
	if err != nil {
		return nil, err
	}
	defer c.close()
	r := &report{cell: s.cell, daemons: o.daemons, submittedAt: map[string]time.Time{}}
	err = r.run(ctx, c, s, text, o)
	stopErr := c.stopDaemons()
	if err != nil {
		return nil, err
	}
	r.recordCheck("daemons stop in order", stopErr == nil, "%v", stopErr)
	r.checkOutcome(c, s)
	return r, nil
}

// run applies the note, submits the jobs, sends the requests and waits for the jobs.
func (r *report) run(ctx context.Context, c *demoCell, s scenario, text []byte, o *demoOptions) error {
	if err := c.waitReady(ctx); err != nil {
		return err
	}
	if err := r.applyNote(ctx, c, text); err != nil {
		return err
	}
	if err := r.submitJobs(ctx, c, s); err != nil {
		return err
	}
	if err := r.sendRequests(ctx, c, s, o.requests); err != nil {
		return err
	}
	return r.waitJobs(ctx, c, s)
}

// applyNote applies the note twice with the same identifier, at two daemons if there
// are several, and waits until every daemon uses it.
func (r *report) applyNote(ctx context.Context, c *demoCell, text []byte) error {
	header := http.Header{api.HeaderNoteID: {"demo-1"}, api.HeaderAuthor: {"demo"}, "Content-Type": {api.ContentTypeNote}}
	var versions [2]api.NoteStatus
	for i := range versions {
		base := c.daemons[i%len(c.daemons)].url
		err := poll(ctx, func() (bool, error) {
			status, data, err := call(ctx, http.MethodPost, base+"/v1/notes", "", header, text)
			if err != nil || status == http.StatusServiceUnavailable {
				return false, err
			}
			if status != http.StatusOK && status != http.StatusCreated {
				return false, fmt.Errorf("apply note: status %d: %s", status, data)
			}
			return true, decodeJSON(data, &versions[i])
		})
		if err != nil {
			return err
		}
	}
	r.recordCheck("a repeated apply is one note", versions[0].Version == versions[1].Version, "versions %d and %d", versions[0].Version, versions[1].Version)
	start := time.Now()
	for _, d := range c.daemons {
		err := poll(ctx, func() (bool, error) {
			var status api.Status
			err := getJSON(ctx, d.url+"/v1/status", &status)
			return status.ConfigVersion >= versions[0].Version, err
		})
		if err != nil {
			return fmt.Errorf("note %d is not in force at daemon %s: %w", versions[0].Version, d.ID(), err)
		}
	}
	r.propagationTime = time.Since(start)
	return nil
}

// submitJobs submits each job twice, at different daemons, and two jobs that must be refused.
func (r *report) submitJobs(ctx context.Context, c *demoCell, s scenario) error {
	for i, toSubmit := range s.submissions {
		r.submittedAt[toSubmit.team+"/"+toSubmit.job.ID] = time.Now()
		first, err := submitJob(ctx, c.daemons[i%len(c.daemons)].url, toSubmit)
		if err != nil {
			return err
		}
		repeated, err := submitJob(ctx, c.daemons[(i+1)%len(c.daemons)].url, toSubmit)
		if err != nil {
			return err
		}
		r.recordCheck("submission of "+toSubmit.team+"/"+toSubmit.job.ID, first == http.StatusCreated, "status %d", first)
		r.recordCheck("repeat of "+toSubmit.team+"/"+toSubmit.job.ID+" returns the first result", repeated == http.StatusOK, "status %d", repeated)
	}
	base := c.daemons[0].url
	huge := submission{s.requestTeams[0], s.queue, batch("huge", 1, 1000, "1GiB", "1s")}
	status, err := submitJob(ctx, base, huge)
	r.recordCheck("a size beyond any worker is refused", err == nil && status == http.StatusUnprocessableEntity, "status %d, %v", status, err)
	status, err = submitJob(ctx, base, submission{"nobody", s.queue, batch("x", 1, 1, "1GiB", "1s")})
	r.recordCheck("an unknown key is refused", err == nil && status == http.StatusUnauthorized, "status %d, %v", status, err)
	return nil
}

// sendRequests sends requests with the keys of the teams. Those with an
// Idempotency-Key are repeated at another daemon.
func (r *report) sendRequests(ctx context.Context, c *demoCell, s scenario, count int) error {
	path := "/v1/services/" + string(s.cell.Service) + "/confirm"
	if err := c.waitService(ctx, s, path); err != nil {
		return err
	}
	executionsBefore := len(c.runners.Executions())
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var succeeded, failed, matchingRepeats atomic.Int64
	idemRequests := (count + idemInterval - 1) / idemInterval
	group := pool.New().WithMaxGoroutines(requestConcurrency)
	for i := range count {
		group.Go(func() {
			secret := demoSecret(s.requestTeams[i%len(s.requestTeams)])
			header := http.Header{}
			if i%idemInterval == 0 {
				header.Set(api.HeaderIdempotencyKey, fmt.Sprintf("request-%d", i))
			}
			body := fmt.Appendf(nil, "confirmation %d", i)
			start := time.Now()
			status, first, err := call(ctx, http.MethodPost, c.daemons[i%len(c.daemons)].url+path, secret, header, body)
			elapsed := time.Since(start)
			if err != nil || status != http.StatusOK {
				failed.Add(1)
				r.addFailureSample("request %d: %d %s %v", i, status, first, err)
				return
			}
			succeeded.Add(1)
			mu.Lock()
			_ = histogram.RecordValue(elapsed.Microseconds())
			mu.Unlock()
			if i%idemInterval == 0 {
				status, second, err := repeatRequest(ctx, c.daemons[(i+1)%len(c.daemons)].url+path, secret, header, body)
				if err == nil && status == http.StatusOK && string(second) == string(first) {
					matchingRepeats.Add(1)
				} else {
					r.addFailureSample("repeat of request %d: %d %s %v", i, status, second, err)
				}
			}
		})
	}
	group.Wait()
	r.latency = histogram
	r.answeredRequests = int(succeeded.Load())
	r.recordCheck("every request is answered", failed.Load() == 0, "%d of %d were not", failed.Load(), count)
	r.recordCheck("a repeated Idempotency-Key returns the first answer", int(matchingRepeats.Load()) == idemRequests, "%d of %d did", matchingRepeats.Load(), idemRequests)
	executed := len(c.runners.Executions()) - executionsBefore
	r.recordCheck("each request executed exactly once", executed == count, "%d executions of %d requests", executed, count)
	return nil
}

// repeatRequest sends a request again until its status is not 409 Conflict, which
// means that the first response is not recorded yet.
func repeatRequest(ctx context.Context, url, secret string, header http.Header, body []byte) (status int, data []byte, err error) {
	err = poll(ctx, func() (bool, error) {
		var callErr error
		status, data, callErr = call(ctx, http.MethodPost, url, secret, header, body)
		return status != http.StatusConflict, callErr
	})
	return status, data, err
}

// waitService waits until every daemon has slots of the service's runners.
func (c *demoCell) waitService(ctx context.Context, s scenario, path string) error {
	for _, d := range c.daemons {
		err := poll(ctx, func() (bool, error) {
			status, _, err := call(ctx, http.MethodGet, d.url+path, demoSecret(s.requestTeams[0]), nil, nil)
			return status == http.StatusOK, err
		})
		if err != nil {
			return fmt.Errorf("service is not available at daemon %s: %w", d.ID(), err)
		}
	}
	return nil
}

// waitJobs waits until all jobs have finished and all service jobs run.
func (r *report) waitJobs(ctx context.Context, c *demoCell, s scenario) error {
	err := poll(ctx, func() (bool, error) {
		jobs, err := listJobs(ctx, c.daemons[0].url)
		if err != nil {
			return false, err
		}
		r.jobs = jobs
		r.recordPeakUsage(c)
		return s.isComplete(jobs), nil
	})
	if err != nil {
		return fmt.Errorf("jobs did not finish: %w; %s", err, s.unfinishedJobs(r.jobs))
	}
	return getJSON(ctx, c.daemons[0].url+"/v1/teams", &r.teams)
}

// expectedTasks returns the number of tasks that must finish, by team/id of the job.
func (s *scenario) expectedTasks() map[string]int {
	expected := map[string]int{}
	for id, n := range s.declaredJobs {
		expected[id] = n
	}
	for _, j := range s.submissions {
		expected[j.team+"/"+j.job.ID] = j.job.Tasks
	}
	return expected
}

// isComplete returns true if every job is in its expected final state.
func (s *scenario) isComplete(jobs map[string]api.JobStatus) bool {
	return s.unfinishedJobs(jobs) == ""
}

// unfinishedJobs describes the jobs that are not in their expected final state.
func (s *scenario) unfinishedJobs(jobs map[string]api.JobStatus) string {
	list := ""
	for id, n := range s.expectedTasks() {
		if j := jobs[id]; j.Tasks.Finished != n {
			list += fmt.Sprintf(" %s %d/%d %s;", id, j.Tasks.Finished, n, j.Reason)
		}
	}
	for id, n := range s.serviceJobs {
		if j := jobs[id]; j.Tasks.Running != n {
			list += fmt.Sprintf(" %s %d/%d running %s;", id, j.Tasks.Running, n, j.Reason)
		}
	}
	return list
}

// recordPeakUsage updates the highest usage of the cell's workers, as the share of
// the scarcest resource.
func (r *report) recordPeakUsage(c *demoCell) {
	var used cluster.Resources
	for team := range r.teamNames() {
		used = used.Add(c.platform.UseOfTeam(team))
	}
	total := r.cell.WorkerSize.Times(int64(r.cell.Workers))
	r.peakUsage = max(r.peakUsage, used.DominantShare(total))
}
