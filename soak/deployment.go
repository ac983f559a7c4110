package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/platform/platformtest"
)

const (
	// taskDuration is how long a task runs.
	taskDuration = 300 * time.Millisecond
	// readyTimeout limits the wait for the daemons to become ready, completionTimeout
	// the wait for the jobs to end after the last fault.
	readyTimeout      = 30 * time.Second
	completionTimeout = 90 * time.Second
	// meanJobGap is the mean time between two submissions.
	meanJobGap = 60 * time.Millisecond
)

// config configures a run.
type config struct {
	seed uint64
	// length is the period in which faults are injected and jobs are submitted.
	length  time.Duration
	daemons int
	workers int
	// shardWorkers is the maximum number of workers per shard; 0 means one shard for
	// even seeds and three for odd ones.
	shardWorkers int
	binary       string
	// dir is the directory for the settings and the logs of the daemons.
	dir string
	out io.Writer
}

// deployment is a fake platform and the daemons that use it, each in its own process.
type deployment struct {
	cfg           config
	checker       *checker
	store         *platformtest.Store
	workers       []*platformtest.Worker
	workerProxies []*proxy
	httpServers   []*httptest.Server
	processes     []*process
	daemonGroup   conc.WaitGroup
}

// newDeployment starts the fake platform and prepares the daemons, which run starts.
// Close the deployment also after an error.
func newDeployment(cfg config) (*deployment, error) {
	d := &deployment{cfg: cfg, checker: newChecker(), store: &platformtest.Store{}}
	store, advice := d.startServer(d.store), d.startServer(platformtest.AdviceService{})
	for i := range cfg.workers {
		worker := platformtest.NewWorker(fmt.Sprintf("i-%d", i), taskDuration)
		worker.OnRunEvent = func(event platformtest.RunEvent) { d.checker.observeRun(worker.ID, event) }
		d.checker.workers[worker.ID] = worker
		p, err := newProxy(d.startServer(worker))
		if err != nil {
			return d, err
		}
		d.workers, d.workerProxies = append(d.workers, worker), append(d.workerProxies, p)
		d.registerWorker(i)
	}
	if err := d.writeConfiguration(); err != nil {
		return d, err
	}
	for i := range cfg.daemons {
		p, err := newProcess(cfg, fmt.Sprintf("entry-%d", i), store, advice)
		if err != nil {
			return d, err
		}
		d.processes = append(d.processes, p)
	}
	return d, nil
}

// startServer serves a handler on loopback and returns the address.
func (d *deployment) startServer(h http.Handler) string {
	s := httptest.NewServer(h)
	d.httpServers = append(d.httpServers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

// registerWorker writes the row of a worker to the platform's list.
func (d *deployment) registerWorker(i int) {
	worker := d.workers[i]
	d.store.Put("servers", "", worker.ID, worker.StoreEntry(serviceName, d.workerProxies[i].addr()))
}

// restartWorker restarts a worker and updates its row in the platform's list.
func (d *deployment) restartWorker(i int) {
	d.workers[i].Restart()
	d.registerWorker(i)
}

// writeConfiguration writes the operator's configuration to the store.
func (d *deployment) writeConfiguration() error {
	data, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "q", "host": queueHost, "path_prefix": queuePrefix, "service": serviceName, "timeout_ms": 3000, "target_duration_ms": 1000,
			"max_attempts": 3, "stretch": 2.0, "advice": map[string]any{"decide_ms": 1, "period_ms": 0.1, "valid_ms": 2000},
		}},
		"services": []map[string]any{{"name": serviceName}},
		"tenants":  []map[string]any{{"name": "team", "api_keys": []string{apiKey}, "weight": 1000, "cap": map[string]int{"cpu": 0}}},
	})
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	d.store.Put("op", "", "config", data)
	return nil
}

// run injects the faults and submits the jobs of the seed, and returns the violations.
func (d *deployment) run(ctx context.Context) ([]string, error) {
	rnd := newRand(d.cfg.seed, 0)
	schedule := newSchedule(rnd, d.cfg.length, d.cfg.daemons, d.cfg.workers)
	schedule = append(schedule, newPeerAndPartFaults(newRand(d.cfg.seed, 1), d.cfg.length, d.cfg.daemons)...)
	var jobs []*job
	for submitAfter := time.Duration(0); submitAfter < d.cfg.length; submitAfter += time.Duration(rnd.Int64N(int64(2 * meanJobGap))) {
		jobs = append(jobs, newJob(rnd, submitAfter))
	}
	var clientAddrs []string
	for _, p := range d.processes {
		clientAddrs = append(clientAddrs, p.clientAddr)
		d.daemonGroup.Go(p.run)
	}
	c := newClient(clientAddrs, d.checker)
	if err := d.waitReady(ctx, c); err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithTimeout(ctx, d.cfg.length+completionTimeout)
	defer cancel()
	d.runSchedule(runCtx, c, schedule, jobs)
	if ctx.Err() != nil {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	for _, j := range jobs {
		if s := j.state(); s == jobUnconfirmed || s == jobAccepted {
			d.checker.reportViolation("job %s has not ended %s after the faults (state %d)", j.id, completionTimeout, s)
		}
	}
	err := d.stopDaemons()
	return d.checker.finish(jobs), err
}

// runSchedule injects the faults and runs the clients until every job has ended.
func (d *deployment) runSchedule(ctx context.Context, c *client, schedule []fault, jobs []*job) {
	startTime := time.Now()
	waitUntil := func(elapsed time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(elapsed - time.Since(startTime)):
			return true
		}
	}
	var wg conc.WaitGroup
	for _, f := range schedule {
		wg.Go(func() {
			if waitUntil(f.start) {
				_, _ = fmt.Fprintf(d.cfg.out, "%8s %s\n", f.start.Round(time.Millisecond), f.name)
				f.inject(d)
			}
		})
	}
	for _, j := range jobs {
		wg.Go(func() {
			if waitUntil(j.submitAfter) {
				c.runJob(ctx, j)
			}
		})
	}
	wg.Wait()
}

// waitReady waits until as many calls as there are daemons have succeeded.
func (d *deployment) waitReady(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for range d.processes {
		for {
			status, _ := c.call(ctx, http.MethodGet, &job{}, "")
			if status == http.StatusOK {
				break
			}
			if !waitCallInterval(ctx) {
				return fmt.Errorf("daemons are not ready after %s; the logs are in %s", readyTimeout, d.cfg.dir)
			}
		}
	}
	return nil
}

// stopDaemons stops all daemons at once and returns their failures.
func (d *deployment) stopDaemons() error {
	errs := make([]error, len(d.processes))
	var wg conc.WaitGroup
	for i, p := range d.processes {
		wg.Go(func() { errs[i] = p.stop() })
	}
	wg.Wait()
	d.daemonGroup.Wait()
	d.processes = nil
	return errors.Join(errs...)
}

// close stops everything that the run has started.
func (d *deployment) close() error {
	err := d.stopDaemons()
	for _, p := range d.workerProxies {
		err = errors.Join(err, p.Close())
	}
	for _, s := range d.httpServers {
		s.CloseClientConnections()
		s.Close()
	}
	return err
}

// runSeed runs one seed and removes the logs unless the run failed.
func runSeed(ctx context.Context, cfg config) error {
	if cfg.shardWorkers == 0 {
		cfg.shardWorkers = cfg.workers
		if cfg.seed%2 == 1 {
			cfg.shardWorkers = (cfg.workers + 2) / 3
		}
	}
	cfg.dir = filepath.Join(cfg.dir, fmt.Sprintf("seed-%d", cfg.seed))
	if err := os.RemoveAll(cfg.dir); err != nil {
		return err
	}
	if err := os.MkdirAll(cfg.dir, 0o700); err != nil {
		return err
	}
	d, err := newDeployment(cfg)
	if err != nil {
		return errors.Join(err, d.close())
	}
	violations, err := d.run(ctx)
	err = errors.Join(err, d.close())
	for _, v := range violations {
		err = errors.Join(err, errors.New(v))
	}
	if err != nil {
		return fmt.Errorf("seed %d, logs in %s: %w", cfg.seed, cfg.dir, err)
	}
	return os.RemoveAll(cfg.dir)
}
