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

// requestConcurrency is the number of requests in flight; it stays within the slots of the runners.
const requestConcurrency = 32

// runScenario runs one cell from the release note to the end of its jobs and checks the result.
func runScenario(ctx context.Context, s scenario, text []byte, o *demoOptions, log zerolog.Logger) (*report, error) {
	c, err := startCell(s.cell, o.daemons, log)
	if err != nil {
		return nil, err
	}
	defer c.close()
	r := &report{cell: s.cell, daemons: o.daemons, submitted: map[string]time.Time{}}
	err = r.run(ctx, c, s, text, o)
	stopErr := c.stopDaemons()
	if err != nil {
		return nil, err
	}
	r.check("daemons stop in order", stopErr == nil, "%v", stopErr)
	r.finish(c, s)
	return r, nil
}

func (r *report) run(ctx context.Context, c *demoCell, s scenario, text []byte, o *demoOptions) error {
	if err := c.waitReady(ctx); err != nil {
		return err
	}
	if err := r.apply(ctx, c, text); err != nil {
		return err
	}
	if err := r.submitAll(ctx, c, s); err != nil {
		return err
	}
	if err := r.requests(ctx, c, s, o.requests); err != nil {
		return err
	}
	return r.waitJobs(ctx, c, s)
}

// apply applies the note at the first daemon, twice with one identifier, and waits until it is in force everywhere.
func (r *report) apply(ctx context.Context, c *demoCell, text []byte) error {
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
				return false, fmt.Errorf("apply: %d %s", status, data)
			}
			return true, decode(data, &versions[i])
		})
		if err != nil {
			return err
		}
	}
	r.check("a repeated apply is one note", versions[0].Version == versions[1].Version, "versions %d and %d", versions[0].Version, versions[1].Version)
	begin := time.Now()
	for _, d := range c.daemons {
		err := poll(ctx, func() (bool, error) {
			var status api.Status
			err := get(ctx, d.url+"/v1/status", &status)
			return status.ConfigVersion >= versions[0].Version, err
		})
		if err != nil {
			return fmt.Errorf("note %d is not in force at %s: %w", versions[0].Version, d.ID(), err)
		}
	}
	r.inForce = time.Since(begin)
	return nil
}

// submitAll hands in the jobs at different daemons, each twice, and some that must be refused.
func (r *report) submitAll(ctx context.Context, c *demoCell, s scenario) error {
	for i, job := range s.jobs {
		r.submitted[job.team+"/"+job.job.ID] = time.Now()
		first, err := submit(ctx, c.daemons[i%len(c.daemons)].url, job)
		if err != nil {
			return err
		}
		again, err := submit(ctx, c.daemons[(i+1)%len(c.daemons)].url, job)
		if err != nil {
			return err
		}
		r.check("submission of "+job.team+"/"+job.job.ID, first == http.StatusCreated, "status %d", first)
		r.check("repeat of "+job.team+"/"+job.job.ID+" returns the first result", again == http.StatusOK, "status %d", again)
	}
	base := c.daemons[0].url
	huge := submission{s.teams[0], s.queue, batch("huge", 1, 1000, "1GiB", "1s")}
	status, err := submit(ctx, base, huge)
	r.check("a size beyond any worker is refused", err == nil && status == http.StatusUnprocessableEntity, "status %d, %v", status, err)
	status, err = submit(ctx, base, submission{"nobody", s.queue, batch("x", 1, 1, "1GiB", "1s")})
	r.check("an unknown key is refused", err == nil && status == http.StatusUnauthorized, "status %d, %v", status, err)
	return nil
}

// requests sends requests under keys; every tenth is repeated at another daemon with the same Idempotency-Key.
func (r *report) requests(ctx context.Context, c *demoCell, s scenario, count int) error {
	path := "/v1/services/" + string(s.cell.Service) + "/confirm"
	if err := c.waitService(ctx, s, path); err != nil {
		return err
	}
	before := len(c.runners.Executions())
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var ok, wrong, repeats atomic.Int64
	workers := pool.New().WithMaxGoroutines(requestConcurrency)
	for i := range count {
		workers.Go(func() {
			secret := demoSecret(s.teams[i%len(s.teams)])
			header := http.Header{api.HeaderIdempotencyKey: {fmt.Sprintf("request-%d", i)}}
			body := fmt.Appendf(nil, "confirmation %d", i)
			begin := time.Now()
			status, first, err := call(ctx, http.MethodPost, c.daemons[i%len(c.daemons)].url+path, secret, header, body)
			elapsed := time.Since(begin)
			if err != nil || status != http.StatusOK {
				wrong.Add(1)
				r.sample("request %d: %d %s %v", i, status, first, err)
				return
			}
			ok.Add(1)
			mu.Lock()
			_ = histogram.RecordValue(elapsed.Microseconds())
			mu.Unlock()
			if i%10 == 0 {
				status, second, err := repeatRequest(ctx, c.daemons[(i+1)%len(c.daemons)].url+path, secret, header, body)
				if err == nil && status == http.StatusOK && string(second) == string(first) {
					repeats.Add(1)
				} else {
					r.sample("repeat of request %d: %d %s %v", i, status, second, err)
				}
			}
		})
	}
	workers.Wait()
	r.latency = histogram
	r.answered = int(ok.Load())
	r.check("every request is answered", wrong.Load() == 0, "%d of %d were not", wrong.Load(), count)
	r.check("a repeated Idempotency-Key returns the first answer", int(repeats.Load()) == (count+9)/10, "%d of %d did", repeats.Load(), (count+9)/10)
	executed := len(c.runners.Executions()) - before
	r.check("each request executed exactly once", executed == count, "%d executions of %d requests", executed, count)
	return nil
}

// repeatRequest sends a request again while the first answer is not recorded yet.
func repeatRequest(ctx context.Context, url, secret string, header http.Header, body []byte) (status int, data []byte, err error) {
	err = poll(ctx, func() (bool, error) {
		var callErr error
		status, data, callErr = call(ctx, http.MethodPost, url, secret, header, body)
		return status != http.StatusConflict, callErr
	})
	return status, data, err
}

// waitService waits until every daemon may use slots of the service's runners.
func (c *demoCell) waitService(ctx context.Context, s scenario, path string) error {
	for _, d := range c.daemons {
		err := poll(ctx, func() (bool, error) {
			status, _, err := call(ctx, http.MethodGet, d.url+path, demoSecret(s.teams[0]), nil, nil)
			return status == http.StatusOK, err
		})
		if err != nil {
			return fmt.Errorf("service at %s: %w", d.ID(), err)
		}
	}
	return nil
}

// waitJobs waits until all jobs have finished and all services run.
func (r *report) waitJobs(ctx context.Context, c *demoCell, s scenario) error {
	err := poll(ctx, func() (bool, error) {
		jobs, err := jobsOf(ctx, c.daemons[0].url)
		if err != nil {
			return false, err
		}
		r.jobs = jobs
		r.observe(c)
		return s.complete(jobs), nil
	})
	if err != nil {
		return fmt.Errorf("jobs did not finish: %w; %s", err, s.unfinished(r.jobs))
	}
	return get(ctx, c.daemons[0].url+"/v1/teams", &r.teams)
}

// wanted returns the number of tasks that must finish for each job.
func (s *scenario) wanted() map[string]int {
	wanted := map[string]int{}
	for id, n := range s.declared {
		wanted[id] = n
	}
	for _, j := range s.jobs {
		wanted[j.team+"/"+j.job.ID] = j.job.Tasks
	}
	return wanted
}

func (s *scenario) complete(jobs map[string]api.JobStatus) bool { return s.unfinished(jobs) == "" }

// unfinished lists the jobs that are not where they must be at the end.
func (s *scenario) unfinished(jobs map[string]api.JobStatus) string {
	list := ""
	for id, n := range s.wanted() {
		if j := jobs[id]; j.Tasks.Finished != n {
			list += fmt.Sprintf(" %s %d/%d %s;", id, j.Tasks.Finished, n, j.Reason)
		}
	}
	for id, n := range s.services {
		if j := jobs[id]; j.Tasks.Running != n {
			list += fmt.Sprintf(" %s %d/%d running %s;", id, j.Tasks.Running, n, j.Reason)
		}
	}
	return list
}

// observe records how full the fleet is.
func (r *report) observe(c *demoCell) {
	var used cluster.Resources
	for team := range r.teamNames() {
		used = used.Add(c.platform.UseOfTeam(team))
	}
	total := r.cell.WorkerSize.Times(int64(r.cell.Workers))
	r.peakUse = max(r.peakUse, used.DominantShare(total))
}
