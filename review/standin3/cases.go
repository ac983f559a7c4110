package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	cancelMS  = 3 * time.Second
	contactMS = 4 * time.Second
	visibleMS = 3 * time.Second
	finishS   = 14 * time.Second
)

var errNotAccepted = errors.New("a job without disruption was not accepted")

func lasts(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// cancelUnknown cancels a job whose submission got no answer because that of the store was lost.
func cancelUnknown(c *cell, trouble bool) (string, error) {
	q := route{"q", "q.example", "/q/", "svc"}
	if err := c.addRunners("svc", 8, lasts(2500*time.Millisecond)); err != nil {
		return "", err
	}
	c.manifest(1, q)
	if err := c.addDaemons(3); err != nil {
		return "", err
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	if !c.submit(q, "00000000000000a1", chain(1, 2500), 0) || !c.await(q, "00000000000000a1", "completed", 20*time.Second) {
		return "", errNotAccepted
	}
	const id = "5c0e7a21d94b36f8"
	const late = 5 * time.Second // a lost write is done 1 to 6 s later
	lossEnds := time.Now().Add(4500 * time.Millisecond)
	if trouble {
		c.store.setFate(func(t *transaction) fate {
			for _, p := range t.Puts {
				if p.Key == id && time.Now().Before(lossEnds) {
					c.say("store: the answer to the write of job %s is lost; it is done %v later", id, late)
					return fate{lost: true, late: late}
				}
			}
			return fate{}
		})
	}
	// Other writes go on, so that the share of lost ones is small.
	go func() {
		for i := 0; time.Now().Before(lossEnds); i++ {
			c.submit(q, fmt.Sprintf("00000000000001%02x", i), chain(1, 2500), 1)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	writtenBefore := c.store.written
	accepted := c.call(c.daemons[0], http.MethodPost, q.host, q.prefix+id, chain(6, 2500))
	if !trouble && accepted.status != http.StatusOK {
		return "", errNotAccepted
	}
	time.Sleep(time.Until(lossEnds.Add(-1500 * time.Millisecond)))
	var cancelled answer
	for range 5 {
		if cancelled = c.call(c.daemons[1], http.MethodDelete, q.host, q.prefix+id, nil); cancelled.status == http.StatusOK || cancelled.status == http.StatusGone {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return "", errors.New("the cancelling was not acknowledged")
	}
	time.Sleep(time.Until(lossEnds))
	c.say("store: %d of %d writes lost their answer in the last 4.5 s", c.store.lostWrites, c.store.written-writtenBefore)
	// From here the core is without impairment but for the late write; starts count from contact_ms after that one.
	calm := lossEnds.Add(late + contactMS)
	time.Sleep(time.Until(calm.Add(8 * time.Second)))
	c.state(c.daemons[2], q, id)
	counted, after := 0, cancelled.at.Add(cancelMS)
	if calm.After(after) {
		after = calm
	}
	for _, e := range c.eventsOf(id) {
		if e.kind == "started" && e.at.After(after) {
			counted++
		}
	}
	if counted > 0 {
		return fmt.Sprintf("UNASKED: DELETE was answered with %d, and %d tasks of the job were started later than cancel_ms after it, %v and more after the last impairment", cancelled.status, counted, contactMS), nil
	}
	return "", nil
}

// moved starts a cell with two services and a queue that a later manifest moves from the first to the second.
func moved(c *cell, taskTime time.Duration) (before, after route, err error) {
	before, after = route{"q", "q.example", "/q/", "svc-a"}, route{"q", "q.example", "/q/", "svc-b"}
	if err = c.addRunners("svc-a", 6, lasts(taskTime)); err != nil {
		return before, after, err
	}
	if err = c.addRunners("svc-b", 6, lasts(taskTime)); err != nil {
		return before, after, err
	}
	c.manifest(1, before, route{"other", "o.example", "/o/", "svc-b"})
	if err = c.addDaemons(3); err != nil {
		return before, after, err
	}
	return before, after, c.awaitReady()
}

// queueMoved moves a queue to another service while its jobs run, and stops the daemon that last wrote the ownership of the
// first one with SIGTERM; it is started again.
func queueMoved(c *cell, trouble bool) (string, error) {
	before, after, err := moved(c, 4*time.Second)
	if err != nil {
		return "", err
	}
	q := before
	var ids []string
	for i := range 4 {
		id := fmt.Sprintf("5c0e7a21d94b36f%d", i)
		ids = append(ids, id)
		if !c.submit(before, id, chain(4, 4000), i) {
			return "", errNotAccepted
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.manifest(2, after, route{"other", "o.example", "/o/", "svc-b"})
		q = after
		time.Sleep(4 * time.Second)
		owner := c.ownerOf("svc-a")
		if owner == nil {
			return "", errors.New("no owner of the service is known")
		}
		c.say("daemon %d: SIGTERM", owner.index)
		owner.signal(syscall.SIGTERM)
	}
	trafficEnds := time.Now()
	time.Sleep(time.Until(trafficEnds.Add(grace + finishS + 4*time.Second)))
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	return c.idleJobs(q, ids), nil
}

// idleJobs returns which accepted jobs are not shown as completed and have had nothing running for 3 s.
func (c *cell) idleJobs(q route, ids []string) string {
	var idle []string
	for _, id := range ids {
		state := c.state(c.daemons[2], q, id)
		done, running, last := 0, map[string]bool{}, c.began
		for _, e := range c.eventsOf(id) {
			switch {
			case e.kind == "started":
				running[e.task] = true
			case !strings.HasPrefix(e.kind, "noted"):
				delete(running, e.task)
				last = e.at
				if e.kind == "done" {
					done++
				}
			}
		}
		c.say("job %s: shown as %s, %d tasks done, %d running, last end %.1f s ago", id, state, done, len(running), time.Since(last).Seconds())
		if state != "completed" && len(running) == 0 && time.Since(last) > 3*time.Second {
			idle = append(idle, id)
		}
	}
	if len(idle) == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d accepted jobs have had nothing running for over 3 s while their tasks' turn has come and all runners are idle: %s", len(idle), len(ids), strings.Join(idle, " "))
}

// pendingMoved moves a queue to another service while jobs of it wait for room.
func pendingMoved(c *cell, trouble bool) (string, error) {
	before, after, err := moved(c, 40*time.Second)
	if err != nil {
		return "", err
	}
	wide := jobBody{Spec: "wide", Steps: []step{{Count: 1, CPU: 16000, MemMB: 256, EstimateMS: 40000}}}
	for i := range 20 {
		if !c.submit(before, fmt.Sprintf("5c0e7a21d94b36%02x", i), wide, i) {
			return "", errNotAccepted
		}
	}
	acceptedAt := time.Now()
	q := before
	if trouble {
		c.manifest(2, after, route{"other", "o.example", "/o/", "svc-b"})
		q = after
	}
	time.Sleep(time.Until(acceptedAt.Add(visibleMS + 2*time.Second + contactMS + 3*time.Second)))
	waiting := 0
	for i := range 20 {
		if len(c.eventsOf(fmt.Sprintf("5c0e7a21d94b36%02x", i))) == 0 {
			waiting++
		}
	}
	broken := ""
	for _, d := range c.daemons {
		a := c.call(d, http.MethodGet, q.host, q.prefix, nil)
		n := -1
		if _, err := fmt.Sscanf(a.body, `{"pending":%d}`, &n); err == nil && a.status == http.StatusOK && 2*n < waiting {
			broken = fmt.Sprintf("MIXED: %d accepted jobs have not begun, and daemon %d gives %d as pending", waiting, d.index, n)
		}
	}
	c.state(c.daemons[0], q, "5c0e7a21d94b3600")
	return broken, nil
}

// routeRenamed removes a route and adds one with another name in one manifest, with the same host, path prefix and service.
func routeRenamed(c *cell, trouble bool) (string, error) {
	q := route{"q", "q.example", "/q/", "svc"}
	if err := c.addRunners("svc", 8, lasts(4*time.Second)); err != nil {
		return "", err
	}
	c.manifest(1, q)
	if err := c.addDaemons(3); err != nil {
		return "", err
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	const id = "5c0e7a21d94b36f8"
	if !c.submit(q, id, chain(6, 4000), 0) {
		return "", errNotAccepted
	}
	time.Sleep(visibleMS + time.Second)
	if trouble {
		c.manifest(2, route{"renamed", q.host, q.prefix, q.service})
	}
	time.Sleep(contactMS + time.Second)
	broken := ""
	for _, d := range c.daemons {
		if c.state(d, q, id) == "410" {
			broken = fmt.Sprintf("LOST: GET of an accepted job that nobody has cancelled is answered with 410 by daemon %d", d.index)
		}
	}
	if broken == "" {
		return "", nil
	}
	// A requester can't cancel the job either.
	cancelled := c.call(c.daemons[1], http.MethodDelete, q.host, q.prefix+id, nil)
	time.Sleep(cancelMS + 6*time.Second)
	for _, e := range c.eventsOf(id) {
		if cancelled.status == http.StatusGone && e.kind == "started" && e.at.After(cancelled.at.Add(cancelMS)) {
			broken += fmt.Sprintf("; UNASKED: DELETE was answered with 410, and task %s was started %.1f s later", e.task, e.at.Sub(cancelled.at).Seconds())
		}
	}
	return broken, nil
}

// bothServices moves a queue to another service while its job runs. Then a quarter of the parts of the table of the jobs is
// down, and the request that handed the job in arrives again.
func bothServices(c *cell, trouble bool) (string, error) {
	before, after, err := moved(c, 20*time.Second)
	if err != nil {
		return "", err
	}
	const id = "5c0e7a21d94b36f8"
	body := chain(1, 20000)
	if !c.submit(before, id, body, 0) {
		return "", errNotAccepted
	}
	time.Sleep(2 * time.Second)
	q := before
	if trouble {
		c.manifest(2, after, route{"other", "o.example", "/o/", "svc-b"})
		q = after
		time.Sleep(4 * time.Second)
		part := -1
		for _, r := range c.store.find(func(r *row) bool { return r.Key == id }) {
			_, _ = fmt.Sscan(r.Part, &part)
		}
		if part < 0 {
			return "", errors.New("the row of the job is not in a numbered part")
		}
		down := map[string]bool{}
		for i := range jobParts / 4 {
			down[fmt.Sprint((part+i)%jobParts)] = true
		}
		c.say("store: 16 of 64 parts of the table of the jobs are down, among them %d", part)
		c.store.setDown(func(table, part string) bool { return table == "jobs" && down[part] })
		time.AfterFunc(4500*time.Millisecond, func() {
			c.say("store: all parts are up")
			c.store.setDown(nil)
		})
	}
	time.Sleep(time.Second)
	c.submit(q, id, body, 1)
	time.Sleep(8 * time.Second)
	return c.twice(id), nil
}

// jobParts is the number of parts over which the project spreads the rows of jobs.
const jobParts = 64

// twice returns which tasks of a job ran twice at the same time, or were started after they had ended as done.
func (c *cell) twice(id string) string {
	running, done := map[string]int{}, map[string]bool{}
	for _, e := range c.eventsOf(id) {
		switch {
		case e.kind == "started" && running[e.task] > 0:
			return fmt.Sprintf("TWICE: task %s was started on runner %s while a run of it was at work on another runner", e.task, e.runner)
		case e.kind == "started" && done[e.task]:
			return fmt.Sprintf("TWICE: task %s was started on runner %s after it had ended as done", e.task, e.runner)
		case e.kind == "started":
			running[e.task]++
		case !strings.HasPrefix(e.kind, "noted"):
			running[e.task]--
			done[e.task] = done[e.task] || e.kind == "done"
		}
	}
	return ""
}

// zones are those of the example in DEPLOY.md; each has two machines.
var zones = []string{"zuerich-a", "bern-a", "lausanne-a"}

// machinesReplaced replaces the six machines of a small deployment one after the other, until 69 have been replaced: the new
// machine first, with the next number of its zone and another address, then SIGTERM to the old one.
func machinesReplaced(c *cell, trouble bool) (string, error) {
	q := route{"q", "q.example", "/q/", "svc"}
	if err := c.addRunners("svc", 8, lasts(2*time.Second)); err != nil {
		return "", err
	}
	c.manifest(1, q)
	const lastNumber = 25
	first := lastNumber - 1
	if trouble {
		first = 1
	}
	add := func(number int) error {
		for _, zone := range zones {
			if err := c.addDaemon(zone, fmt.Sprintf("frontend-%s-%d", zone, number)); err != nil {
				return err
			}
		}
		return nil
	}
	for _, number := range []int{first, first + 1} {
		if err := add(number); err != nil {
			return "", err
		}
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	if !c.submit(q, "00000000000000a1", chain(1, 2000), 0) || !c.await(q, "00000000000000a1", "completed", 20*time.Second) {
		return "", errNotAccepted
	}
	replaced := 0
	for number := first + 2; number <= lastNumber; number++ {
		if err := add(number); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
		if err := c.awaitReady(); err != nil {
			return "", err
		}
		for _, d := range c.daemons[:len(zones)] {
			c.remove(d)
			replaced++
		}
		c.daemons = c.daemons[len(zones):]
		time.Sleep(300 * time.Millisecond)
	}
	c.say("%d machines have been replaced; %d are there", replaced, len(c.daemons))
	time.Sleep(contactMS + 4*time.Second)
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	var ids []string
	for i := range 4 {
		id := fmt.Sprintf("5c0e7a21d94b36f%d", i)
		if c.submit(q, id, chain(1, 2000), i) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", errors.New("no job was accepted after the replacements")
	}
	time.Sleep(finishS + 3*time.Second)
	return c.idleJobs(q, ids), nil
}
