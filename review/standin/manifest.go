package main

import (
	"fmt"
	"net/http"
	"time"
)

// playRenamedQueue has the operator replace a queue by one with another name and the same host and path prefix, while a
// job of it runs and another one waits. Rule LOST: a GET for an accepted job that nobody has cancelled is answered 410.
func playRenamedQueue(e *env, trouble bool) ([]string, error) {
	e.addWorkers(service, 1)
	old := route{name: "queue-1", prefix: prefix, service: service}
	e.writeManifest([]route{old}, []string{apiKey})
	if err := e.start(false); err != nil {
		return nil, err
	}
	running := e.newJob(prefix, apiKey, step{Count: 3, CPU: 16000, MemMB: 8800, EstimateMS: 25000, work: 25 * time.Second})
	waiting := e.newJob(prefix, apiKey, step{Count: 3, CPU: 16000, MemMB: 8800, EstimateMS: 5000, work: 5 * time.Second})
	if err := e.submit(running); err != nil {
		return nil, err
	}
	if err := e.await(10*time.Second, "the first job to begin", func() bool { return e.fleet.hasBegun(running.id) }); err != nil {
		return nil, err
	}
	if err := e.submit(waiting); err != nil {
		return nil, err
	}
	time.Sleep(visible + 200*time.Millisecond)
	if trouble {
		renamed := old
		renamed.name = "queue-1-renamed"
		e.writeManifest([]route{renamed}, []string{apiKey})
	}
	time.Sleep(configApply + 500*time.Millisecond)
	var broken []string
	for _, m := range e.machines {
		for _, j := range []*job{running, waiting} {
			if status, _ := e.call(m, http.MethodGet, prefix+j.id, j.key, nil); status == http.StatusGone {
				broken = append(broken, fmt.Sprintf("%s answers 410 to a GET for job %s, which was accepted %.1f s before and which nobody has cancelled", m.name, j.id, time.Since(j.acked).Seconds()))
			}
		}
	}
	// The requester cancels the job that waits.
	status, _ := e.call(e.front("", 0), http.MethodDelete, prefix+waiting.id, waiting.key, nil)
	cancelled := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return broken, fmt.Errorf("the DELETE is answered %d", status)
	}
	time.Sleep(28 * time.Second)
	for _, start := range e.fleet.startsOf(waiting.id) {
		if d := start.Sub(cancelled); d > cancelTime {
			broken = append(broken, fmt.Sprintf("a task of job %s started %.1f s after its DELETE had been answered %d", waiting.id, d.Seconds(), status))
		}
	}
	return broken, nil
}

// playMovedState has the operator move a queue to another service while a job runs. Rule MIXED: the state of a job can't
// be read.
func playMovedState(e *env, trouble bool) ([]string, error) {
	e.addWorkers(service, 2)
	e.addWorkers(newService, 2)
	old := route{name: "queue-1", prefix: prefix, service: service}
	e.writeManifest([]route{old}, []string{apiKey})
	if err := e.start(false); err != nil {
		return nil, err
	}
	j := e.newJob(prefix, apiKey, step{Count: 4, CPU: 4500, MemMB: 8800, EstimateMS: 6000, work: 6 * time.Second})
	if err := e.submit(j); err != nil {
		return nil, err
	}
	if err := e.await(10*time.Second, "the job to begin", func() bool { return e.fleet.hasBegun(j.id) }); err != nil {
		return nil, err
	}
	if trouble {
		moved := old
		moved.service = newService
		e.writeManifest([]route{moved}, []string{apiKey})
	}
	if err := e.await(20*time.Second, "the job to be done", func() bool {
		for _, t := range j.tasks(0) {
			if !e.fleet.isDone(t) {
				return false
			}
		}
		return true
	}); err != nil {
		return nil, err
	}
	doneAt := time.Now()
	time.Sleep(finish)
	var broken []string
	for _, m := range e.machines {
		status, reply := e.call(m, http.MethodGet, prefix+j.id, j.key, nil)
		if state, _ := reply["state"].(string); status != http.StatusOK || state != "completed" {
			broken = append(broken, fmt.Sprintf("%s answers %d %q to a GET for job %s, whose tasks have all ended done for %.1f s", m.name, status, state, j.id, time.Since(doneAt).Seconds()))
		}
	}
	return broken, nil
}
