package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const configApply = 3 * time.Second

// withdrawn: a manifest removes the last queue of a service while a job of that queue is at work. Then the daemons are
// restarted in turn. The job must go on to its end.
func withdrawn(c *cell) (int, error) {
	const id, prefix, service = "5c0e7a21d94b36f8", "/pufi791/", "till-settle"
	var runners []*runner
	for i := range 8 {
		runners = append(runners, c.addRunner(fmt.Sprintf("i-settle-%d", i+1), service, 8*time.Second, "a", "r1-1"))
		c.addRunner(fmt.Sprintf("i-check-%d", i+1), "till-check", 8*time.Second, "a", "r1-2")
	}
	services := []string{service, "till-check"}
	check := route{"r-check", "/pule252/", "till-check"}
	c.manifest(services, route{"r-stmt", prefix, service}, check)
	if err := c.startDaemons(3); err != nil {
		return failed, err
	}
	step := `{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":8000`
	body := `{"spec":"statements","steps":[` + step + `},` + step + `,"after":[0]},` + step + `,"after":[1]}]}`
	if !c.submit(prefix, id, body) {
		return failed, fmt.Errorf("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { return busy(runners) == 4 }) {
		return failed, fmt.Errorf("the first step has not begun")
	}
	// TROUBLE=manifest and TROUBLE=restarts play one of the two alone.
	if fault() && os.Getenv("TROUBLE") != "restarts" {
		c.manifest(services, check)
		time.Sleep(configApply + time.Second)
	}
	if fault() && os.Getenv("TROUBLE") != "manifest" {
		if err := c.restartInTurn(2 * time.Second); err != nil {
			return failed, err
		}
	}
	c.rec.add("no more disruption from here on")
	time.Sleep(finish)
	c.rec.add("finish_s is over; from here on a job that is not complete may have nothing running for 3 s at most")
	var idle time.Duration
	last := time.Now()
	for until := last.Add(8 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		// The runners have nothing but this job to run.
		if busy(c.runners) > 0 {
			idle = 0
		} else {
			idle += now.Sub(last)
		}
		last = now
	}
	done := 0
	for _, r := range runners {
		done += r.done(id)
	}
	// A requester is answered 404 once the route is gone.
	status, text := c.call(c.daemons[0], http.MethodGet, prefix+id, "")
	c.rec.add("requester: GET %s -> %d %s", prefix+id, status, text)
	c.rec.add("%d of 12 tasks have ended done, nothing has run for the last %.1f s", done, idle.Seconds())
	if done < 12 && idle > 3*time.Second {
		c.rec.add("LOST: job %s, accepted and not cancelled, does not go on, with all runners idle and no cap", id)
		return broken, nil
	}
	return held, nil
}

// finish is finish_s.
const finish = 14 * time.Second

func busy(runners []*runner) int {
	n := 0
	for _, r := range runners {
		n += r.running()
	}
	return n
}

// restartInTurn stops each daemon with its grace and starts it again, one at a time.
func (c *cell) restartInTurn(gap time.Duration) error {
	for _, d := range c.daemons {
		c.stop(d)
		time.Sleep(300 * time.Millisecond)
		if err := c.start(d); err != nil {
			return err
		}
		if !await(10*time.Second, func() bool { return c.isReady(d) }) {
			return fmt.Errorf("daemon %s is not ready after its restart", d.name)
		}
		time.Sleep(gap)
	}
	return nil
}

// pending: a manifest sends a queue to another service while jobs of the queue wait. The number of pending jobs must
// still count them.
func pending(c *cell) (int, error) {
	const prefix, waiting = "/pufi791/", 6
	r := c.addRunner("i-old1", "till-old", 70*time.Second, "a", "r1-1")
	c.addRunner("i-new1", "till-new", 70*time.Second, "a", "r1-2")
	services := []string{"till-old", "till-new"}
	c.manifest(services, route{"r-stmt", prefix, "till-old"}, route{"r-check", "/pule252/", "till-new"})
	if err := c.startDaemons(3); err != nil {
		return failed, err
	}
	job := `{"spec":"statement","steps":[{"count":1,"cpu":4000,"mem_mb":256,"estimate_ms":70000}]}`
	if !c.submit(prefix, "00000000000000a0", job) {
		return failed, fmt.Errorf("the first job was not accepted")
	}
	if !await(5*time.Second, func() bool { return r.running() == 1 }) {
		return failed, fmt.Errorf("the first job has not begun")
	}
	for i := range waiting {
		if !c.submit(prefix, fmt.Sprintf("00000000000000b%d", i), job) {
			return failed, fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(6 * time.Second) // visible_ms is 3 s, and the rule leaves 2 s more
	if n, ok := c.pendingCount(prefix); !ok || n != waiting {
		return failed, fmt.Errorf("%d jobs are pending before the disruption", n)
	}
	if fault() {
		c.manifest(services, route{"r-stmt", prefix, "till-new"}, route{"r-check", "/pule252/", "till-new"})
	}
	time.Sleep(configApply + 6*time.Second)
	wrong, answers := 0, 0
	for range 10 {
		for _, d := range c.daemons {
			status, text := c.call(d, http.MethodGet, prefix, "")
			begun := 0
			for _, x := range c.runners {
				begun += x.running()
			}
			c.rec.add("requester: GET %s at %s -> %d %s, while %d jobs run", prefix, d.name, status, text, begun)
			var n int
			if _, err := fmt.Sscanf(text, `{"pending":%d}`, &n); status != http.StatusOK || err != nil {
				continue
			}
			answers++
			// waiting + 1 jobs were accepted; those that run have begun.
			if 2*n < waiting+1-begun {
				wrong++
			}
		}
		time.Sleep(time.Second)
	}
	c.rec.add("%d of %d answers give less than half of the pending jobs", wrong, answers)
	switch {
	case answers == 0:
		return failed, fmt.Errorf("no answers")
	case wrong > 0:
		return broken, nil
	}
	return held, nil
}

func (c *cell) pendingCount(prefix string) (int, bool) {
	for i := range 10 {
		status, text := c.call(c.daemons[i%len(c.daemons)], http.MethodGet, prefix, "")
		var n int
		if _, err := fmt.Sscanf(text, `{"pending":%d}`, &n); status == http.StatusOK && err == nil {
			return n, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0, false
}

// otherKind: a runner crashes and starts again under its id as a runner of another kind, without the label that the
// waiting tasks require.
func otherKind(c *cell) (int, error) {
	const prefix = "/pufi791/"
	r := c.addRunner("i-one", "till-settle", 2*time.Second, "a", "r1-1")
	for i := range 7 {
		c.addRunner(fmt.Sprintf("i-other%d", i+1), "till-settle", 2*time.Second, "b", "r1-1")
	}
	wrong, inFlight := 0, 0
	r.onStart = func(task string, number uint64, _ string) {
		if r.labels[0] == "a" {
			return
		}
		if r.firstHold.IsZero() {
			inFlight++
			c.rec.add("start of %s on a runner without label a, before this boot has answered a hold: not counted", task)
			return
		}
		wrong++
		c.rec.add("start of %s on a runner without label a, %d ms after this boot has answered a hold with its born", task, time.Since(r.firstHold).Milliseconds())
	}
	c.manifest([]string{"till-settle"}, route{"r-stmt", prefix, "till-settle"})
	if err := c.startDaemons(2); err != nil {
		return failed, err
	}
	job := `{"spec":"statement","steps":[{"count":60,"cpu":1000,"mem_mb":256,"estimate_ms":2000,"required_label":"a"}]}`
	if !c.submit(prefix, "00000000000000a0", job) {
		return failed, fmt.Errorf("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { return r.running() == 4 }) {
		return failed, fmt.Errorf("the job has not begun")
	}
	for _, labels := range []string{"b", "a", "b", "a", "b", "a"} {
		time.Sleep(4 * time.Second)
		if !fault() {
			continue
		}
		r.crash()
		time.Sleep(time.Second)
		r.boot(labels, "r1-1")
	}
	time.Sleep(4 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.rec.add("%d starts on a runner without the required label after its boot was known, %d before", wrong, inFlight)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// repeated: a manifest sends a queue to another service, then a part of the store is down for a while. Meanwhile
// requesters repeat the submissions of jobs that were accepted before. They remain one job each.
func repeated(c *cell) (int, error) {
	const prefix, jobs = "/pufi791/", 24
	services := []string{"till-old", "till-new"}
	check := &twice{rec: c.rec, live: map[string]string{}, again: map[string]bool{}}
	for _, service := range services {
		for i := range 2 {
			r := c.addRunner(fmt.Sprintf("i-%s-%d", service, i+1), service, 25*time.Second, "a", "r1-1")
			r.mu.Lock()
			r.onStart = func(task string, number uint64, _ string) { check.started(r.id, task, number) }
			r.onEnd = func(task string, number uint64, _ string) { check.ended(r.id, task) }
			r.mu.Unlock()
		}
	}
	old, other := route{"r-stmt", prefix, "till-old"}, route{"r-recon", "/lohu930/", "till-old"}
	c.manifest(services, old, other, route{"r-check", "/pule252/", "till-new"})
	if err := c.startDaemons(3); err != nil {
		return failed, err
	}
	body := `{"spec":"statement","steps":[{"count":1,"cpu":300,"mem_mb":256,"estimate_ms":25000}]}`
	var ids []string
	for range jobs {
		id := fmt.Sprintf("%016x", rand.Uint64())
		if !c.submit(prefix, id, body) {
			return failed, fmt.Errorf("a job was not accepted")
		}
		ids = append(ids, id)
	}
	if !await(5*time.Second, func() bool { return busy(c.runners) == jobs }) {
		return failed, fmt.Errorf("the jobs have not begun")
	}
	trouble := os.Getenv("TROUBLE")
	if fault() && trouble != "outage" {
		c.manifest(services, route{"r-stmt", prefix, "till-new"}, other, route{"r-check", "/pule252/", "till-new"})
	}
	time.Sleep(configApply + time.Second/2)
	if fault() && trouble != "manifest" {
		// Three in ten parts of the jobs, as the stand-in draws them.
		salt := rand.Uint64()
		down := func(part string) bool {
			n, err := strconv.Atoi(part)
			return err == nil && (uint64(n)*0x9e3779b97f4a7c15^salt)%10 < 3
		}
		c.store.setPartDown(down)
		c.rec.add("three in ten parts of the store are down")
		time.AfterFunc(4500*time.Millisecond, func() {
			c.store.setPartDown(nil)
			c.rec.add("all parts of the store are up again")
		})
		time.Sleep(time.Second / 2)
	}
	// The same request arrives again seconds after its 2xx, at another daemon.
	var requesters sync.WaitGroup
	for i, id := range ids {
		requesters.Go(func() {
			status, text := c.call(c.daemons[i%len(c.daemons)], http.MethodPost, prefix+id, body)
			c.rec.add("requester: POST %s again -> %d %s", prefix+id, status, text)
		})
	}
	requesters.Wait()
	time.Sleep(8 * time.Second)
	check.mu.Lock()
	defer check.mu.Unlock()
	c.rec.add("%d tasks ran twice at the same time", len(check.again))
	if len(check.again) > 0 {
		return broken, nil
	}
	return held, nil
}

// twice finds tasks of which two runs are there at the same time, on runners that are up.
type twice struct {
	rec   *record
	mu    sync.Mutex
	live  map[string]string // the runner of the run of each task
	again map[string]bool
}

func (t *twice) started(runner, task string, number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if other := t.live[task]; other != "" {
		t.again[task] = true
		t.rec.add("TWICE: run %d of %s begins on %s while a run of it is at work on %s", number, task, runner, other)
	}
	t.live[task] = runner
}

func (t *twice) ended(runner, task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.live[task] == runner {
		delete(t.live, task)
	}
}

// lasting: tasks that last fail now and then, as they may at any time, each about once in a minute. Each must run again:
// 6 s after its last run, it may have nothing running for 3 s.
func lasting(c *cell) (int, error) {
	const (
		prefix, jobs = "/pufi791/", 80
		shortestLife = 5 * time.Second
		meanLife     = time.Minute
	)
	var mu sync.Mutex
	gone := map[string]time.Time{} // since when each task has no run
	for i := range 2 {
		r := c.addRunner(fmt.Sprintf("i-%d", i+1), "till-serve", time.Hour, "a", "r1-1")
		r.mu.Lock()
		r.cpu, r.mem = 16000, 65536
		r.fate = func(string) (time.Duration, string) {
			if !fault() {
				return time.Hour, "failed"
			}
			return shortestLife + time.Duration(rand.ExpFloat64()*float64(meanLife-shortestLife)), "failed"
		}
		r.onStart = func(task string, _ uint64, _ string) { mu.Lock(); delete(gone, task); mu.Unlock() }
		r.onEnd = func(task string, _ uint64, _ string) { mu.Lock(); gone[task] = time.Now(); mu.Unlock() }
		r.mu.Unlock()
	}
	c.manifest([]string{"till-serve"}, route{"r-serve", prefix, "till-serve"})
	if err := c.startDaemons(3); err != nil {
		return failed, err
	}
	for range jobs {
		id := fmt.Sprintf("%016x", rand.Uint64())
		if !c.submit(prefix, id, `{"spec":"serve","steps":[{"count":1,"cpu":100,"mem_mb":64,"long_running":true}]}`) {
			return failed, fmt.Errorf("a job was not accepted")
		}
	}
	if !await(5*time.Second, func() bool { return busy(c.runners) == jobs }) && !fault() {
		return failed, fmt.Errorf("the jobs have not begun")
	}
	longest := time.Duration(0)
	late := map[string]bool{}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		mu.Lock()
		for task, since := range gone {
			away := time.Since(since)
			longest = max(longest, away)
			if away > 9*time.Second && !late[task] {
				late[task] = true
				c.rec.add("LOST: %s has had no run for %.1f s, with %d runs on the runners", task, away.Seconds(), jobs-len(gone))
			}
		}
		mu.Unlock()
	}
	c.rec.add("the longest time that a task was without a run is %.1f s; %d tasks were longer than 9 s", longest.Seconds(), len(late))
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}

// starved: the last step of a large job is a gang that needs more than what is free beside another job. A small job, for
// which most of the service is free, must go on.
func starved(c *cell) (int, error) { return waitsBeside(c, 8, 26) }

// capped is starved for the cap of the tenant: the gang needs more than what is left of it beside the other job, while
// most of the service is free and less than half of the cap is used.
func capped(c *cell) (int, error) {
	capCPU = 10000
	return waitsBeside(c, 4, 7)
}

// waitsBeside plays a small job beside another one with so many tasks and a large job with a gang of so many.
func waitsBeside(c *cell, others, gang int) (int, error) {
	const urgent, prefix = "/pule252/", "/pufi791/"
	const small, large, other = "00000000000000b0", "00000000000000c0", "00000000000000a0"
	// How long the tasks of each step take, as declared.
	lengths := map[string][]int{small: {7000, 7000, 2000}, large: {6500, 6500, 5000}, other: {10000, 10000}}
	var mu sync.Mutex
	var dueAt, begunAt time.Time // of the last step of the small job
	for i := range 8 {
		r := c.addRunner(fmt.Sprintf("i-%d", i+1), "till-settle", time.Second, "a", fmt.Sprintf("r1-%d", i%2))
		r.mu.Lock()
		r.length = func(task string) time.Duration {
			parts := strings.Split(task, ".")
			step, _ := strconv.Atoi(parts[2])
			return time.Duration(lengths[parts[0]][step]) * time.Millisecond
		}
		r.onStart = func(task string, _ uint64, _ string) {
			if strings.HasPrefix(task, small+".0.2.") {
				mu.Lock()
				begunAt = time.Now()
				mu.Unlock()
			}
		}
		r.onEnd = func(task string, _ uint64, _ string) {
			if strings.HasPrefix(task, small+".0.1.") {
				mu.Lock()
				dueAt = time.Now()
				mu.Unlock()
			}
		}
		r.mu.Unlock()
	}
	urgentRoutes["r-check"] = true
	c.manifest([]string{"till-settle"}, route{"r-check", urgent, "till-settle"}, route{"r-stmt", prefix, "till-settle"})
	if err := c.startDaemons(3); err != nil {
		return failed, err
	}
	job := func(id string, counts ...int) string {
		var steps []string
		for i, n := range counts {
			step := fmt.Sprintf(`{"count":%d,"cpu":1000,"mem_mb":256,"estimate_ms":%d`, n, lengths[id][i])
			if i > 0 {
				step += fmt.Sprintf(`,"after":[%d]`, i-1)
			}
			if id == large && i == 2 {
				step += `,"gang":true`
			}
			steps = append(steps, step+"}")
		}
		return `{"spec":"statement","steps":[` + strings.Join(steps, ",") + `]}`
	}
	if !c.submit(prefix, other, job(other, others, others)) || fault() && !c.submit(urgent, large, job(large, 1, 1, gang)) || !c.submit(prefix, small, job(small, 1, 1, 1)) {
		return failed, fmt.Errorf("a job was not accepted")
	}
	c.rec.add("end of the traffic")
	time.Sleep(finish)
	c.rec.add("finish_s is over; %d of 32 cores are in use, the cap is %d (0 is none)", busy(c.runners), capCPU)
	if !await(3*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return !dueAt.IsZero() }) {
		return failed, fmt.Errorf("the small job has not come to its last step")
	}
	c.rec.add("the last step of the small job is due; %d of 32 cores are in use", busy(c.runners))
	await(12*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return !begunAt.IsZero() })
	mu.Lock()
	defer mu.Unlock()
	if begunAt.IsZero() {
		begunAt = time.Now()
	}
	idle := begunAt.Sub(dueAt)
	c.rec.add("the small job, which needs one core, has had nothing running for %.1f s", idle.Seconds())
	if idle > 3*time.Second {
		c.rec.add("LOST: longer than 3 s")
		return broken, nil
	}
	return held, nil
}
