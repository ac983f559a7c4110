package main

import (
	"fmt"
	"time"
)

// playRunTime hands in a job whose tasks take four times as long as declared. Rule LOST: for 3 s, a job has nothing running
// while a task's turn has come and there is capacity for it twice over.
func playRunTime(e *env, trouble bool) ([]string, error) {
	e.addWorkers(service, 16)
	e.writeManifest([]route{{name: "queue-1", prefix: prefix, service: service}}, []string{apiKey})
	if err := e.start(false); err != nil {
		return nil, err
	}
	const work = 300 * time.Second
	declared := work
	if trouble {
		declared = work / 4
	}
	j := e.newJob(prefix, apiKey, step{Count: 48, CPU: 9000, MemMB: 8800, EstimateMS: int(declared.Milliseconds()), work: work})
	if err := e.submit(j); err != nil {
		return nil, err
	}
	if err := e.await(10*time.Second, "the job to begin", func() bool { return e.fleet.hasBegun(j.id) }); err != nil {
		return nil, err
	}
	e.record.add("requester: the last request has been sent")
	time.Sleep(finish)
	idleSince, longest := time.Time{}, time.Duration(0)
	for over := time.Now().Add(60 * time.Second); time.Now().Before(over); time.Sleep(20 * time.Millisecond) {
		switch live := e.fleet.liveOf(j.id); {
		case live > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			longest = max(longest, time.Since(idleSince))
		}
	}
	status, state := e.state(j)
	starts, most := e.fleet.startsOf(j.id), e.fleet.longestRun(j.id)
	summary := fmt.Sprintf("%d starts of 48 tasks, none of which ended done; the longest run took %.1f s of %.0f s; a GET is answered %d %q", len(starts), most.Seconds(), work.Seconds(), status, state)
	e.record.add("%s", summary)
	if longest <= 3*time.Second {
		return nil, nil
	}
	return []string{fmt.Sprintf("job %s had nothing running for %.1f s, later than finish_s after the last request, on 48 idle runners; %s", j.id, longest.Seconds(), summary)}, nil
}

// startsOf returns the starts of the tasks of a job.
func (f *fleet) startsOf(job string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []time.Time
	for _, i := range f.runs {
		if jobOf(i.task) == job {
			list = append(list, i.start)
		}
	}
	return list
}

// liveOf returns the number of live runs of a job.
func (f *fleet) liveOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, i := range f.runs {
		if jobOf(i.task) == job && i.end.IsZero() {
			n++
		}
	}
	return n
}

// longestRun returns the longest time for which a run of a job was live.
func (f *fleet) longestRun(job string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest time.Duration
	for _, i := range f.runs {
		if jobOf(i.task) == job {
			longest = max(longest, endOf(i).Sub(i.start))
		}
	}
	return longest
}
