package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/platform/platformtest"
)

const (
	// taskDuration is how long a task of a plain job runs, wideTaskDuration one of a wide job.
	taskDuration     = 300 * time.Millisecond
	wideTaskDuration = 2 * time.Second
	// readyTimeout limits the wait for the daemons to become ready, completionTimeout
	// the wait for the jobs to end after the last fault.
	readyTimeout      = 30 * time.Second
	completionTimeout = 90 * time.Second
	// meanJobGap is the mean time between two submissions.
	meanJobGap = 60 * time.Millisecond
	// giveUpInterval is the mean number of jobs per job that its client cancels if its submission gets no answer.
	giveUpInterval = 2
	// quietJobGapFactor multiplies it in runs without other faults than those of
	// workers, so that the leases of idle workers expire.
	quietJobGapFactor = 8
	// workerMilliCPU is the capacity of a worker and plainTaskMilliCPU the size of a task
	// of a job that is not wide, in thousandths of a core.
	workerMilliCPU    = 4000
	plainTaskMilliCPU = 500
	// initialWorkerAge is how long the workers of the pool have run at the start.
	initialWorkerAge = time.Minute
	// spareWorkers is the number of workers that join during a run.
	spareWorkers = 3
)

// config configures a run.
type config struct {
	seed uint64
	// length is the period in which faults are injected and jobs are submitted.
	length  time.Duration
	daemons int
	// remaining is the number of daemons that are left after the others have been removed for good; 0 removes none.
	remaining int
	workers   int
	// shardWorkers is the maximum number of workers per shard; 0 means one shard for
	// even seeds and three for odd ones.
	shardWorkers int
	// linkMbps is the rate in Mbit/s of the link of each daemon to the store, to the advice service and to the other
	// daemons; zero means no limit. The daemons find it in their settings.
	linkMbps float64
	// workerFaultsOnly leaves out the faults of single daemons, connections and the store.
	workerFaultsOnly bool
	binary           string
	// dir is the directory for the settings and the logs of the daemons.
	dir string
	out io.Writer
}

// deployment is a fake platform and the daemons that use it, each in its own process.
type deployment struct {
	cfg     config
	checker *checker
	store   *platformtest.Store
	// workers holds the workers of the pool, followed by the spare ones.
	workers     []*workerHost
	httpServers []*httptest.Server
	processes   []*process
	daemonGroup conc.WaitGroup
	// jobsByID holds the jobs by identifier; it does not change during the run.
	jobsByID map[string]*job
	// configVersion is the version of the configuration in the store.
	configVersion atomic.Uint64
	// cut is the side that is cut off; nil if none is.
	cut atomic.Pointer[side]
}

// newDeployment starts the fake platform and prepares the daemons, which run starts.
// Close the deployment also after an error.
func newDeployment(cfg config) (*deployment, error) {
	d := &deployment{cfg: cfg, checker: newChecker(), store: &platformtest.Store{}, jobsByID: map[string]*job{}}
	store := d.startServer(d.store)
	gangs := &platformtest.Gangs{Size: d.gangSize, Timeout: gangTimeout}
	for i := range cfg.workers + spareWorkers {
		worker := platformtest.NewWorker(workerID(i), taskDuration)
		worker.Zone = zoneName(i)
		worker.MaxLease, worker.CheckTickets, worker.Gangs, worker.DurationOf = maxLease, true, gangs, d.durationOf
		worker.OnRunEvent = func(event platformtest.RunEvent) { d.checker.observeRun(worker.ID, event) }
		d.checker.workers[worker.ID] = worker
		flaky := &platformtest.FlakyWorker{Worker: worker}
		p, err := newProxy(d.startServer(flaky))
		if err != nil {
			return d, err
		}
		d.workers = append(d.workers, &workerHost{worker: worker, flaky: flaky, proxy: p, store: d.store})
		if i < cfg.workers {
			d.workers[i].startEarlier(initialWorkerAge)
		} else {
			worker.Exit()
		}
	}
	d.writeConfiguration(initialQueueConfig)
	for i := range cfg.daemons {
		advice := d.startServer(&platformtest.AdviceService{Policy: d.advicePolicy, Worker: func(id string) *platformtest.Worker { return d.checker.workers[id] }})
		p, err := newProcess(cfg, fmt.Sprintf("entry-%d", i), store, advice)
		if err != nil {
			return d, err
		}
		d.processes = append(d.processes, p)
	}
	d.connectCuts()
	return d, nil
}

// connectCuts lets cuts hold back the connections of the daemons, which are not running yet.
func (d *deployment) connectCuts() {
	for i, p := range d.processes {
		p.storeProxy.cutBy(func(net.Conn) int { return i }, d.cutFromStore)
		p.peerProxy.cutBy(d.sourceOf, func(daemon int) bool { return d.cutFromDaemon(daemon, i) })
	}
	for i, w := range d.workers {
		w.proxy.cutBy(d.sourceOf, func(daemon int) bool { return d.cutFromRunner(daemon, i) })
	}
}

// startServer serves a handler on loopback and returns the address.
func (d *deployment) startServer(h http.Handler) string {
	s := httptest.NewServer(h)
	d.httpServers = append(d.httpServers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

// queueConfig is the part of the configuration that changes during a run.
type queueConfig struct {
	stretch        float64
	targetDuration time.Duration
	maxAttempts    int
	// extraRoutes is the number of queues that no job uses.
	extraRoutes int
	// limitShare is the limit of the team in multiples of the capacity of the pool; 0 means no limit.
	limitShare int
}

var initialQueueConfig = queueConfig{stretch: 2, targetDuration: time.Second, maxAttempts: 3}

// route returns the configuration of a queue with advice.
func (c *queueConfig) route(name, prefix string, advice platformtest.AdvicePolicy) map[string]any {
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return map[string]any{
		"name": name, "host": queueHost, "path_prefix": prefix, "service": serviceName, "timeout_ms": 3000,
		"target_duration_ms": c.targetDuration.Milliseconds(), "max_attempts": c.maxAttempts, "stretch": c.stretch,
		"advice": map[string]any{
			"decide_ms": milliseconds(advice.CallDuration), "period_ms": milliseconds(advice.PerWorker), "valid_ms": milliseconds(advice.Validity),
		},
	}
}

// writeConfiguration writes a version of the operator's configuration to the store.
func (d *deployment) writeConfiguration(c queueConfig) {
	wide := c
	wide.targetDuration += wideTargetDuration
	routes := []map[string]any{c.route("q", queuePrefix, plainAdvice), wide.route("wide", wideQueuePrefix, wideAdvice)}
	for i := range c.extraRoutes {
		routes = append(routes, c.route(fmt.Sprintf("extra-%d", i), fmt.Sprintf("/extra-%d/", i), plainAdvice))
	}
	data, err := json.Marshal(map[string]any{
		"version": d.configVersion.Add(1), "routes": routes, "services": []map[string]any{{"name": serviceName}},
		"tenants": []map[string]any{{
			"name": "team", "api_keys": []string{apiKey}, "weight": 1000, "cap": map[string]int{"cpu": c.limitShare * d.cfg.workers * workerMilliCPU},
		}},
	})
	if err != nil {
		panic(err)
	}
	d.store.Put("op", "", "config", data)
}

// newJobs returns the jobs of the run, with rnd for those that are not wide, and
// the times at which wide ones are submitted.
func (d *deployment) newJobs(rnd *rand.Rand) (jobs []*job, burstTimes []time.Duration) {
	jobGap := meanJobGap
	if d.cfg.workerFaultsOnly {
		jobGap *= quietJobGapFactor
	}
	for submitAfter := time.Duration(0); submitAfter < d.cfg.length; submitAfter += time.Duration(rnd.Int64N(int64(2 * jobGap))) {
		jobs = append(jobs, newJob(rnd, submitAfter))
	}
	givesUp := newRand(d.cfg.seed, 10)
	for _, j := range jobs {
		j.cancelUnanswered = givesUp.IntN(giveUpInterval) == 0
	}
	wideJobs, burstTimes := newWideJobs(newRand(d.cfg.seed, 4), d.cfg.length, d.cfg.minPermitted())
	jobs = append(jobs, wideJobs...)
	if !d.cfg.workerFaultsOnly {
		jobs = append(jobs, newLongJobs(newRand(d.cfg.seed, 7), d.cfg.length)...)
	}
	for _, j := range jobs {
		d.jobsByID[j.id] = j
	}
	return jobs, burstTimes
}

// run injects the faults and submits the jobs of the seed, and returns the violations.
func (d *deployment) run(ctx context.Context) ([]string, error) {
	rnd := newRand(d.cfg.seed, 0)
	schedule := newSchedule(rnd, d.cfg.length, d.cfg.daemons, d.cfg.workers)
	schedule = append(schedule, newPeerAndPartFaults(newRand(d.cfg.seed, 1), d.cfg.length, d.cfg.daemons)...)
	schedule = append(schedule, newLateTransactions(newRand(d.cfg.seed, 9), d.cfg.length)...)
	schedule = append(schedule, newRemovals(newRand(d.cfg.seed, 11), d.cfg.length, d.cfg.daemons, d.cfg.remaining)...)
	schedule = append(schedule, newSideCuts(newRand(d.cfg.seed, 6), d.cfg.length, d.cfg.daemons, d.cfg.workers)...)
	minEvacuation := time.Duration(0)
	if d.cfg.workerFaultsOnly {
		schedule, minEvacuation = nil, evacuationCheckDelay
	}
	schedule = append(schedule, newEvacuations(newRand(d.cfg.seed, 8), d.cfg.length, minEvacuation)...)
	jobs, burstTimes := d.newJobs(rnd)
	schedule = append(schedule, newWorkerListFaults(newRand(d.cfg.seed, 2), d.cfg.length, d.cfg.workers, spareWorkers, burstTimes)...)
	schedule = append(schedule, newConfigChanges(newRand(d.cfg.seed, 3), d.cfg.length)...)
	schedule = append(schedule, newStartFaults(newRand(d.cfg.seed, 5), d.cfg.length, d.cfg.workers)...)
	for _, p := range d.processes {
		d.daemonGroup.Go(p.run)
	}
	c := newClient(d.processes, d.checker)
	if err := d.waitReady(ctx, c); err != nil {
		return nil, err
	}
	bound := d.runSchedule(ctx, c, schedule, jobs)
	if ctx.Err() != nil {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	for _, j := range jobs {
		if j.open() {
			d.checker.reportUnfinished(j, bound)
		}
	}
	err := d.stopDaemons()
	return d.checker.finish(jobs), err
}

// runSchedule injects the faults and runs the clients until every job has ended or
// the returned bound after the end of the last fault is over.
func (d *deployment) runSchedule(ctx context.Context, c *client, schedule []fault, jobs []*job) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	startTime := time.Now()
	waitUntil := func(elapsed time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(elapsed - time.Since(startTime)):
			return true
		}
	}
	var faults, clients conc.WaitGroup
	for _, f := range schedule {
		faults.Go(func() {
			if waitUntil(f.start) {
				_, _ = fmt.Fprintf(d.cfg.out, "%8s %s\n", f.start.Round(time.Millisecond), f.name)
				f.inject(d)
			}
		})
	}
	for _, j := range jobs {
		clients.Go(func() {
			if waitUntil(j.submitAfter) {
				c.runJob(ctx, j)
			}
		})
	}
	faults.Wait()
	plainSteps, wideSteps := 0, 0
	for _, j := range jobs {
		switch {
		case !j.open():
		case j.prefix == wideQueuePrefix:
			wideSteps += len(j.steps)
		default:
			plainSteps += len(j.steps)
		}
	}
	bound := completionBound(&d.cfg, plainSteps, wideSteps)
	_, _ = fmt.Fprintf(d.cfg.out, "%8s faults over, %d plain and %d wide steps open, bound %s\n", time.Since(startTime).Round(time.Millisecond), plainSteps, wideSteps, bound)
	timer := time.AfterFunc(bound, cancel)
	defer timer.Stop()
	clients.Wait()
	_, _ = fmt.Fprintf(d.cfg.out, "%8s clients are done\n", time.Since(startTime).Round(time.Millisecond))
	return bound
}

// waitReady waits until as many calls as there are daemons have succeeded.
func (d *deployment) waitReady(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for range d.processes {
		for {
			status, _ := c.call(ctx, http.MethodGet, &job{prefix: queuePrefix}, "")
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
	for _, h := range d.workers {
		err = errors.Join(err, h.proxy.Close())
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
