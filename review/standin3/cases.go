package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	cancelTime  = 3 * time.Second
	contactTime = 4 * time.Second
	finishTime  = 14 * time.Second
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
	writtenBefore, _ := c.store.writes()
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
	written, lost := c.store.writes()
	c.say("store: %d of %d writes lost their answer while the job was handed in", lost, written-writtenBefore)
	// From here the core is without impairment but for the late write; starts count from contact_ms after that one.
	calm := lossEnds.Add(late + contactTime)
	time.Sleep(time.Until(calm.Add(8 * time.Second)))
	c.state(c.daemons[2], q, id)
	counted, after := 0, cancelled.at.Add(cancelTime)
	if calm.After(after) {
		after = calm
	}
	for _, e := range c.eventsOf(id) {
		if e.kind == "started" && e.at.After(after) {
			counted++
		}
	}
	if counted > 0 {
		return fmt.Sprintf("UNASKED: DELETE was answered with %d, and %d tasks of the job were started later than cancel_ms after it, %v and more after the last impairment", cancelled.status, counted, contactTime), nil
	}
	return "", nil
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
	time.Sleep(contactTime + 4*time.Second)
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
	time.Sleep(finishTime + 3*time.Second)
	return c.idleJobs(q, ids), nil
}
