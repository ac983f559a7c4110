package main

import (
	"fmt"
	"time"
)

// playHopeless hands in a job of one tenant that can never be done, as no runner has the label that it requires, and then
// jobs of another tenant. Rule LOST: for 3 s, a job has nothing running while a task's turn has come and there is capacity
// for it twice over.
func playHopeless(e *env, trouble bool) ([]string, error) {
	e.addWorkers(service, 8)
	e.secondTenant = otherKey
	e.writeManifest([]route{{name: "queue-1", prefix: prefix, service: service}}, []string{apiKey})
	if err := e.start(false); err != nil {
		return nil, err
	}
	first := e.newJob(prefix, apiKey, step{Count: 4, CPU: 1400, MemMB: 2900, EstimateMS: 1000, work: time.Second})
	if err := e.submit(first); err != nil {
		return nil, err
	}
	if err := e.await(10*time.Second, "a first job to be done", func() bool { return e.fleet.allDone(first) }); err != nil {
		return nil, err
	}
	if trouble {
		hopeless := e.newJob(prefix, otherKey, step{Count: 24, CPU: 9000, MemMB: 8800, EstimateMS: 1000, LongRunning: true, RequiredLabel: "no-such-kind"})
		if err := e.submit(hopeless); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
	}
	var jobs []*job
	for range 10 {
		j := e.newJob(prefix, apiKey, step{Count: 4, CPU: 1400, MemMB: 2900, EstimateMS: 1000, work: time.Second})
		if err := e.submit(j); err != nil {
			return nil, err
		}
		jobs = append(jobs, j)
	}
	e.record.add("requester: the last request has been sent")
	time.Sleep(finish)
	from := time.Now()
	time.Sleep(30 * time.Second)
	var broken []string
	for _, j := range jobs {
		if !e.fleet.hasBegun(j.id) {
			status, state := e.state(j)
			broken = append(broken, fmt.Sprintf("job %s has had nothing running for %.1f s, %.1f s of it later than finish_s after the last request, on 24 idle runners; a GET is answered %d %q",
				j.id, time.Since(j.acked).Seconds(), time.Since(from).Seconds(), status, state))
		}
	}
	return broken, nil
}

// allDone reports whether all tasks of a job have ended done.
func (f *fleet) allDone(j *job) bool {
	for i := range j.steps {
		for _, t := range j.tasks(i) {
			if !f.isDone(t) {
				return false
			}
		}
	}
	return true
}
