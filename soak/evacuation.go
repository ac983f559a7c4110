package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// evacuateBound is the setting of the daemons: the time from an evacuation to the last start in its zone.
	evacuateBound = 3 * time.Second
	// evacuationCheckDelay is the time after which a start in an evacuated zone is a violation: a flaky worker carries out
	// a start up to 3 s later.
	evacuationCheckDelay = evacuateBound + 3*time.Second
	// minEvacuationGap and maxEvacuationGap limit the time between two evacuations. If one began while another ends, its
	// row could be removed by that, and starts in its zone would count as violations.
	minEvacuationGap = time.Second
	maxEvacuationGap = 4 * time.Second
	// zoneCount is the number of zones of the workers.
	zoneCount = 2
)

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index%zoneCount) }

// newEvacuations returns evacuations of one zone or of all, which end within length and last at least minDuration if it
// allows that. Those that last longer than evacuationCheckDelay are checked, so that the store must be available then.
func newEvacuations(rnd *rand.Rand, length, minDuration time.Duration) []fault {
	var list []fault
	for start := time.Second; start < length; {
		duration := min(minDuration+time.Duration(rnd.Int64N(int64(maxFaultDuration))), length-start)
		first, count := rnd.IntN(zoneCount), 1+rnd.IntN(4)/3
		list = append(list, fault{start, fmt.Sprintf("%d zones from %s on are evacuated for %s", count, zoneName(first), duration), func(d *deployment) {
			var wg conc.WaitGroup
			for i := range count {
				wg.Go(func() { d.evacuate(zoneName(first+i), duration) })
			}
			wg.Wait()
		}})
		start += duration + max(minEvacuationGap, time.Duration(rnd.Int64N(int64(maxEvacuationGap))))
	}
	return list
}

// evacuate evacuates a zone for a time.
func (d *deployment) evacuate(zone string, duration time.Duration) {
	d.store.Put("op", "", "evacuate/"+zone, []byte("{}"))
	d.checker.setEvacuated(zone, time.Now())
	time.Sleep(duration)
	d.checker.setEvacuated(zone, time.Time{})
	d.store.Remove("op", "", "evacuate/"+zone)
}

// setEvacuated records since when a zone is evacuated; zero if it no longer is.
func (c *checker) setEvacuated(zone string, since time.Time) {
	c.queue <- func() { c.evacuatedSince[zone] = since }
}

// checkEvacuation checks that a run did not start in a zone that had been evacuated long before.
func (c *checker) checkEvacuation(worker, task string, startedAt time.Time) {
	zone := c.workers[worker].Zone
	if since := c.evacuatedSince[zone]; !since.IsZero() && startedAt.Sub(since) > evacuationCheckDelay {
		c.addViolation("task %s began on %s %s after the evacuation of %s", task, worker, startedAt.Sub(since), zone)
	}
}
