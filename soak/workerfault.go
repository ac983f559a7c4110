package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxListFaultGap limits the time between two faults of the list of workers.
	maxListFaultGap = 3 * time.Second
	// maxEntryDelay limits how long the entry of a worker stays after its unannounced exit.
	maxEntryDelay = 1500 * time.Millisecond
	// maxDrainDuration limits the time between the announcement of an exit and the exit.
	maxDrainDuration = 3 * time.Second
	// maxTakeoverDelay limits the time between the end of all daemons and a fault that
	// is to meet the takeover.
	maxTakeoverDelay = 5 * time.Second
	// faultsPerBurst is the number of faults that meet a burst of wide jobs, and
	// maxBurstFaultDelay limits the time between the two.
	faultsPerBurst     = 3
	maxBurstFaultDelay = 2500 * time.Millisecond
	// maxAwaitDuration limits the search for an idle worker that a step waits with,
	// awaitInterval is the time between two looks.
	maxAwaitDuration = 3 * time.Second
	awaitInterval    = 20 * time.Millisecond
	// maxStartFaultGap limits the time between two faults of starts.
	maxStartFaultGap = 4 * time.Second
	// maxConfigGap limits the time between two versions of the configuration.
	maxConfigGap = 3 * time.Second
)

// listFault is a fault of one worker's entry in the platform's list.
type listFault struct {
	name string
	// apply changes the entry and the worker and puts both back.
	apply func(h *workerHost)
}

// newListFault returns a random fault of a worker's entry. After it the worker is
// listed again, as a new start under its identifier unless it has not exited.
func newListFault(rnd *rand.Rand) listFault {
	away := time.Duration(rnd.Int64N(int64(maxFaultDuration)))
	switch rnd.IntN(3) {
	case 0:
		drain := time.Duration(rnd.Int64N(int64(maxDrainDuration)))
		return listFault{fmt.Sprintf("drains for %s, leaves and is back after %s", drain, away), func(h *workerHost) {
			h.drain()
			time.Sleep(drain)
			h.exit()
			h.setListed(false)
			time.Sleep(away)
			h.start()
		}}
	case 1:
		entryDelay := time.Duration(rnd.Int64N(int64(maxEntryDelay)))
		return listFault{fmt.Sprintf("crashes, its entry goes after %s and it is back after %s", entryDelay, away), func(h *workerHost) {
			h.exit()
			time.Sleep(entryDelay)
			h.setListed(false)
			time.Sleep(away)
			h.start()
		}}
	}
	return listFault{fmt.Sprintf("runs on without its entry for %s", away), func(h *workerHost) {
		h.setListed(false)
		time.Sleep(away)
		h.setListed(true)
	}}
}

// injectListFault applies a fault to a number of workers from index on, at the same
// time. Of the workers, those that have no run come first if idleFirst is set.
func injectListFault(d *deployment, f listFault, index, count int, idleFirst bool) {
	var hosts, busy []*workerHost
	for i := range d.cfg.workers {
		h := d.workers[(index+i)%d.cfg.workers]
		if idleFirst && !h.worker.IsIdle() {
			busy = append(busy, h)
		} else {
			hosts = append(hosts, h)
		}
	}
	hosts = append(hosts, busy...)
	var wg conc.WaitGroup
	for _, h := range hosts[:count] {
		wg.Go(func() {
			if h.listFault.TryLock() {
				defer h.listFault.Unlock()
				f.apply(h)
			}
		})
	}
	wg.Wait()
}

// crashAwaitedWorker crashes the first worker from index on that a waiting step has
// tickets for and that has no lease, removes its entry and starts it anew later. It
// does nothing if there is no such worker for maxAwaitDuration.
func crashAwaitedWorker(d *deployment, index int, away time.Duration) {
	for deadline := time.Now().Add(maxAwaitDuration); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		for i := range d.cfg.workers {
			h := d.workers[(index+i)%d.cfg.workers]
			if !h.worker.IsAwaited() || !h.listFault.TryLock() {
				continue
			}
			defer h.listFault.Unlock()
			h.exit()
			h.setListed(false)
			time.Sleep(away)
			h.start()
			return
		}
	}
}

// newWorkerListFaults returns random faults of the platform's list of workers: some
// workers leave it, with or without notice, and return; spare ones join it and leave
// for good. Some of the faults follow the end of all daemons. Idle
// workers also leave after each burst of wide jobs, while gangs wait.
func newWorkerListFaults(rnd *rand.Rand, length time.Duration, workers, spares int, burstTimes []time.Duration) []fault {
	var list []fault
	newFault := func(start time.Duration, index, count int, idleFirst bool) fault {
		f := newListFault(rnd)
		return fault{start, fmt.Sprintf("%d runners from %d on, idle ones first: %t: each %s", count, index, idleFirst, f.name), func(d *deployment) {
			injectListFault(d, f, index, count, idleFirst)
		}}
	}
	for start := time.Second; start < length; start += time.Duration(rnd.Int64N(int64(maxListFaultGap))) {
		index, count, idleFirst := rnd.IntN(workers), 1, rnd.IntN(2) == 0
		if rnd.IntN(2) == 0 {
			count += rnd.IntN((workers + 1) / 2)
		}
		spare := workers + rnd.IntN(spares)
		switch rnd.IntN(9) {
		case 0:
			list = append(list, fault{start, fmt.Sprintf("runner %d joins", spare), func(d *deployment) { d.workers[spare].start() }})
		case 1:
			list = append(list, fault{start, fmt.Sprintf("runner %d leaves without notice", spare), func(d *deployment) {
				d.workers[spare].exit()
				d.workers[spare].setListed(false)
			}})
		case 2:
			delay := time.Duration(rnd.Int64N(int64(maxTakeoverDelay)))
			list = append(list, fault{start, "kill all daemons", func(d *deployment) {
				for _, p := range d.processes {
					p.signal(syscall.SIGKILL)
				}
			}}, newFault(start+delay, index, count, idleFirst))
		default:
			list = append(list, newFault(start, index, count, idleFirst))
		}
	}
	for _, t := range burstTimes {
		for range faultsPerBurst {
			start, index, away := t+time.Duration(rnd.Int64N(int64(maxBurstFaultDelay))), rnd.IntN(workers), time.Duration(rnd.Int64N(int64(maxFaultDuration)))
			list = append(list, fault{start, fmt.Sprintf("first awaited idle runner from %d on crashes and is back after %s", index, away), func(d *deployment) {
				crashAwaitedWorker(d, index, away)
			}})
		}
	}
	return list
}

// newStartFaults returns random periods in which some workers refuse starts, lose their replies, or carry them out late.
func newStartFaults(rnd *rand.Rand, length time.Duration, workers int) []fault {
	var list []fault
	for start := time.Second; start < length; start += time.Duration(rnd.Int64N(int64(maxStartFaultGap))) {
		index, count, duration := rnd.IntN(workers), 1+rnd.IntN(workers), time.Duration(rnd.Int64N(int64(maxFaultDuration)))
		list = append(list, fault{start, fmt.Sprintf("%d runners from %d on fail half of the starts for %s", count, index, duration), func(d *deployment) {
			for i := range count {
				d.workers[(index+i)%workers].flaky.Enable()
			}
			time.Sleep(duration)
			for i := range count {
				d.workers[(index+i)%workers].flaky.Disable()
			}
		}})
	}
	return list
}

// newConfigChanges returns new versions of the configuration. The last one is the
// first one again.
func newConfigChanges(rnd *rand.Rand, length time.Duration) []fault {
	var list []fault
	for start := time.Second; start < length; start += time.Duration(rnd.Int64N(int64(maxConfigGap))) {
		c := queueConfig{
			stretch: 1 + 3*rnd.Float64(), targetDuration: time.Duration(500+rnd.IntN(3000)) * time.Millisecond,
			maxAttempts: 3 + rnd.IntN(3), extraRoutes: rnd.IntN(4), limitShare: rnd.IntN(2),
		}
		list = append(list, fault{start, fmt.Sprintf("configuration: %+v", c), func(d *deployment) { d.writeConfiguration(c) }})
	}
	return append(list, fault{length, "configuration as at the start", func(d *deployment) { d.writeConfiguration(initialQueueConfig) }})
}
