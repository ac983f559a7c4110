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
	// taskTime is how long a task runs.
	taskTime = 300 * time.Millisecond
	// readyLimit and quietLimit bound the wait for ready daemons, and for the jobs after the faults.
	readyLimit = 30 * time.Second
	quietLimit = 90 * time.Second
	// jobPause is the mean time between two jobs.
	jobPause = 60 * time.Millisecond
)

// config configures a run.
type config struct {
	seed    uint64
	length  time.Duration
	daemons int
	runners int
	// shardWorkers is the most runners of a shard.
	shardWorkers int
	binary       string
	// dir gets the settings and the logs of the daemons.
	dir string
	out io.Writer
}

// deployment is a platform with daemons in processes of their own.
type deployment struct {
	cfg       config
	checker   *checker
	store     *platformtest.Store
	runners   []*platformtest.Runner
	proxies   []*proxy
	servers   []*httptest.Server
	processes []*process
	daemons   conc.WaitGroup
}

func newDeployment(cfg config) (*deployment, error) {
	d := &deployment{cfg: cfg, checker: newChecker(), store: &platformtest.Store{}}
	store, advice := d.serve(d.store), d.serve(platformtest.Advisor{})
	for i := range cfg.runners {
		r := platformtest.NewRunner(fmt.Sprintf("i-%d", i), taskTime)
		r.Watch = func(e platformtest.RunEvent) { d.checker.observe(r.ID, e) }
		d.checker.runners[r.ID] = r
		p, err := newProxy(d.serve(r))
		if err != nil {
			return d, err
		}
		d.runners, d.proxies = append(d.runners, r), append(d.proxies, p)
		d.register(i)
	}
	if err := d.configure(); err != nil {
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

func (d *deployment) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	d.servers = append(d.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

func (d *deployment) register(i int) {
	r := d.runners[i]
	d.store.Put("servers", "", r.ID, r.Entry(service, d.proxies[i].addr()))
}

func (d *deployment) restartRunner(i int) {
	d.runners[i].Restart()
	d.register(i)
}

// configure writes the operator's configuration.
func (d *deployment) configure() error {
	data, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "q", "host": queueHost, "path_prefix": queuePrefix, "service": service, "timeout_ms": 3000, "target_duration_ms": 1000,
			"max_attempts": 3, "stretch": 2.0, "advice": map[string]any{"decide_ms": 1, "period_ms": 0.1, "valid_ms": 2000},
		}},
		"services": []map[string]any{{"name": service}},
		"tenants":  []map[string]any{{"name": "team", "api_keys": []string{queueKey}, "weight": 1000, "cap": map[string]int{"cpu": 0}}},
	})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	d.store.Put("op", "", "config", data)
	return nil
}

// run plays the faults of the seed and returns what was wrong.
func (d *deployment) run(ctx context.Context) ([]string, error) {
	rnd := seeded(d.cfg.seed, 0)
	schedule := newSchedule(rnd, d.cfg.length, d.cfg.daemons, d.cfg.runners)
	schedule = append(schedule, newFurtherFaults(seeded(d.cfg.seed, 1), d.cfg.length, d.cfg.daemons)...)
	var jobs []*job
	for at := time.Duration(0); at < d.cfg.length; at += time.Duration(rnd.Int64N(int64(2 * jobPause))) {
		jobs = append(jobs, newJob(rnd, at))
	}
	var fronts []string
	for _, p := range d.processes {
		fronts = append(fronts, p.front)
		d.daemons.Go(p.run)
	}
	c := newClient(fronts, d.checker)
	if err := d.ready(ctx, c); err != nil {
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, d.cfg.length+quietLimit)
	defer cancel()
	d.play(limited, c, schedule, jobs)
	if ctx.Err() != nil {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	for _, j := range jobs {
		if s := j.state(); s == jobOpen || s == jobAccepted {
			d.checker.report("job %s has not ended %s after the faults (state %d)", j.id, quietLimit, s)
		}
	}
	err := d.stopDaemons()
	return d.checker.finish(jobs), err
}

// play runs the clients and the faults until every job has ended.
func (d *deployment) play(ctx context.Context, c *client, schedule []fault, jobs []*job) {
	began := time.Now()
	wait := func(at time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(at - time.Since(began)):
			return true
		}
	}
	var wg conc.WaitGroup
	for _, f := range schedule {
		wg.Go(func() {
			if wait(f.at) {
				_, _ = fmt.Fprintf(d.cfg.out, "%8s %s\n", f.at.Round(time.Millisecond), f.name)
				f.do(d)
			}
		})
	}
	for _, j := range jobs {
		wg.Go(func() {
			if wait(j.at) {
				c.follow(ctx, j)
			}
		})
	}
	wg.Wait()
}

func (d *deployment) ready(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for range d.processes {
		for {
			status, _ := c.call(ctx, http.MethodGet, &job{}, "")
			if status == http.StatusOK {
				break
			}
			if !pause(ctx) {
				return fmt.Errorf("daemons are not ready after %s; the logs are in %s", readyLimit, d.cfg.dir)
			}
		}
	}
	return nil
}

func (d *deployment) stopDaemons() error {
	errs := make([]error, len(d.processes))
	var wg conc.WaitGroup
	for i, p := range d.processes {
		wg.Go(func() { errs[i] = p.stop() })
	}
	wg.Wait()
	d.daemons.Wait()
	d.processes = nil
	return errors.Join(errs...)
}

// close ends everything that the run has started.
func (d *deployment) close() error {
	err := d.stopDaemons()
	for _, p := range d.proxies {
		err = errors.Join(err, p.Close())
	}
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
	return err
}

// soak plays one seed and removes the logs of a run without violations.
func soak(ctx context.Context, cfg config) error {
	if cfg.shardWorkers == 0 {
		cfg.shardWorkers = cfg.runners
		if cfg.seed%2 == 1 {
			cfg.shardWorkers = (cfg.runners + 2) / 3
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
