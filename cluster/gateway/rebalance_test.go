package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Guards against more requests at a runner than it has slots, whatever the daemons know of the row and of each other.
func TestAllocationsStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := []cluster.DaemonID{"a", "b", "c"}
		capacity := rapid.IntRange(1, 8).Draw(rt, "capacity")
		row, version := poolAllocations{}, cluster.Version(1)
		now := time.Unix(0, 0)
		var pools []*slotPool
		var proposals [3]poolAllocations
		var baseVersions [3]cluster.Version
		for range daemons {
			pool := newSlotPool("booking")
			for _, id := range []string{"r1", "r2"} {
				pool.quotas[id] = &slotQuota{id: id, capacity: capacity}
			}
			pool.loaded, pool.version = true, 1
			pools = append(pools, pool)
		}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2).Draw(rt, "daemon")
			pool := pools[i]
			view := membership{daemons[i], daemons, daemons}
			operation := rapid.IntRange(0, 7).Draw(rt, "operation")
			switch operation {
			case 0: // receive the newest row
				pool.apply(view.self, row.clone(), version)
			case 1: // start to commit the proposed row
				if !pool.commitInFlight {
					proposals[i], baseVersions[i] = pool.plan(view, now), pool.version
					pool.commitInFlight = proposals[i] != nil
				}
			case 6, 7: // finish the commit, which succeeds if it is based on the newest row; the reply may be lost
				if pool.commitInFlight && baseVersions[i] == version {
					version++
					row = proposals[i]
					if operation == 6 {
						pool.apply(view.self, row.clone(), version)
					}
				}
				pool.commitInFlight = false
			case 2:
				pool.demand = rapid.IntRange(0, 10).Draw(rt, "wanted")
			case 3:
				pool.requestedSlots, pool.requestingPeer = rapid.IntRange(1, 10).Draw(rt, "lend"), daemons[(i+1)%3]
			case 4:
				if quota := pool.quotas[rapid.SampledFrom([]string{"r1", "r2"}).Draw(rt, "unit")]; quota.inFlight < quota.limit {
					quota.inFlight++
				}
			case 5:
				if quota := pool.quotas[rapid.SampledFrom([]string{"r1", "r2"}).Draw(rt, "unit")]; quota.inFlight > 0 {
					quota.inFlight--
				}
				now = now.Add(time.Second)
			}
			for _, id := range []string{"r1", "r2"} {
				used := 0
				for _, pool := range pools {
					used += max(pool.quotas[id].limit, pool.quotas[id].inFlight)
				}
				if used > capacity {
					rt.Fatalf("%d slots of %s are usable, but its capacity is %d", used, id, capacity)
				}
			}
		}
	})
}

// sendConcurrently sends n requests at once through a daemon; the returned function waits
// for them and returns the number of responses by status.
func (c *testCluster) sendConcurrently(daemon, n int, secret, method string) func() map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[int]int{}
	for range n {
		wg.Go(func() {
			w := c.sendAs(daemon, secret, "booking", method, "/x", "")
			mu.Lock()
			defer mu.Unlock()
			counts[w.Code]++
		})
	}
	return func() map[int]int { wg.Wait(); return counts }
}

// usableSlots returns the number of slots that a daemon may use.
func (c *testCluster) usableSlots(daemon int) int {
	n := 0
	for _, s := range c.daemons()[daemon].Status().Services {
		n += s.Slots
	}
	return n
}

// Guards against runners with more than 8 requests or 64 connections while all daemons are loaded.
func TestRunnerLimits(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 7, runners: 6, serviceTime: 100 * time.Millisecond}, func(c *testCluster) {
		var results []func() map[int]int
		for d := range 7 {
			results = append(results, c.sendConcurrently(d, 30, "archive", "POST"))
		}
		served := 0
		for _, wait := range results {
			served += wait()[200]
		}
		c.is.Equal(served, 210)
		for _, r := range c.runners {
			requests, connections := r.peaks()
			c.is.True(requests <= 8)
			c.is.True(connections <= 64)
			c.is.True(r.requestCount() > 0)
		}
	})
}

// Guards against slots that stay with an idle daemon, and against slots that don't come back when
// that daemon has demand again.
func TestSlotsFollowDemand(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 2, serviceTime: time.Second}, func(c *testCluster) {
		c.is.Equal(c.usableSlots(0), 8)
		first := c.sendConcurrently(0, 60, "archive", "POST")
		time.Sleep(3 * time.Second)
		c.is.True(c.usableSlots(0) >= 13)
		c.is.True(c.usableSlots(0)+c.usableSlots(1) <= 16)
		second := c.sendConcurrently(1, 40, "archive", "POST")
		time.Sleep(4 * time.Second)
		c.is.Equal(c.usableSlots(1), 8)
		c.is.Equal(first()[200], 60)
		c.is.Equal(second()[200], 40)
		for _, r := range c.runners {
			requests, _ := r.peaks()
			c.is.True(requests <= 8)
		}
	})
}

// Guards against losing the slots of a daemon that has left.
func TestReclaimSlotsOfDaemonThatLeft(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 2}, func(c *testCluster) {
		c.daemons()[1].cancel()
		c.daemons()[0].SetMembers([]Member{{ID: "daemon-0"}})
		time.Sleep(reclaimDelay - time.Second)
		c.is.Equal(c.usableSlots(0), 8) // the member table may have been incomplete
		time.Sleep(3 * time.Second)
		c.is.Equal(c.usableSlots(0), 16)
	})
}

// Guards against the use of slots that are not allocated, and against a store outage that stops
// the use of allocated ones.
func TestSlotsDuringStoreOutage(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 1, runners: 2, storeUnavailable: true}, func(c *testCluster) {
		w := c.send(0, "GET", "/x", "")
		c.is.Equal(w.Code, 503)
		c.is.Equal(runStatusOf(w), "no")
		c.is.True(!c.daemons()[0].Status().Services[0].Ready)
		c.store.update(func(s *memoryStore) { s.unavailable, s.lostReplies = false, 1 })
		time.Sleep(5 * time.Second)
		c.is.Equal(c.usableSlots(0), 16) // although the reply to the first write was lost
		c.is.Equal(c.send(0, "GET", "/x", "").Code, 200)
		c.store.update(func(s *memoryStore) { s.unavailable = true })
		time.Sleep(time.Minute)
		c.is.Equal(c.send(0, "GET", "/x", "").Code, 200)
	})
}

// Guards against slots that stay unallocated when there are more daemons than slots.
func TestMoreDaemonsThanSlots(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 20, runners: 3}, func(c *testCluster) {
		// Twenty daemons that start together conflict on one row, so the last slots
		// are allocated only some seconds after the start.
		time.Sleep(10 * time.Second)
		allocated := map[cluster.UpstreamID]int{}
		for _, g := range c.daemons() {
			for _, u := range g.Status().Services[0].Upstreams {
				allocated[u.Upstream] += u.Slots
			}
		}
		for _, r := range c.runners {
			c.is.Equal(allocated[cluster.UpstreamID(r.vm.ID)], 8)
		}
	})
}

// Guards against a team with more requests in flight over all daemons than its limit.
func TestTeamRequestLimit(t *testing.T) {
	entities := []cluster.Entity{&cluster.Team{Name: "archive", Share: 1, MaxRequests: 3}}
	runTestCluster(t, clusterOptions{daemons: 2, runners: 4, serviceTime: 100 * time.Millisecond, entities: entities}, func(c *testCluster) {
		var inFlight, peak atomic.Int64
		handler := echo(100 * time.Millisecond)
		for _, r := range c.runners {
			r.onRequestEnd = func() { inFlight.Add(-1) }
		}
		c.setHandlers(func(conn net.Conn, req *http.Request, body []byte) bool {
			now := inFlight.Add(1)
			for highest := peak.Load(); now > highest && !peak.CompareAndSwap(highest, now); highest = peak.Load() {
			}
			return handler(conn, req, body)
		})
		first, second := c.sendConcurrently(0, 20, "archive", "POST"), c.sendConcurrently(1, 20, "archive", "POST")
		c.is.Equal(fmt.Sprint(first()[200], second()[200]), "20 20")
		c.is.Equal(peak.Load(), int64(3))
	})
}

// Guards against more requests than slots at a runner that was missing from the platform's list for a short time.
func TestRunnerMissingFromList(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1, serviceTime: 3 * time.Second}, func(c *testCluster) {
		first := c.sendConcurrently(0, 8, "archive", "POST")
		time.Sleep(time.Second)
		c.daemons()[0].SetUpstreams(nil)
		time.Sleep(time.Second)
		c.updateDaemons()
		second := c.sendConcurrently(0, 8, "archive", "POST")
		c.is.Equal(first()[200]+second()[200], 16)
		requests, _ := c.runners[0].peaks()
		c.is.Equal(requests, 8)
	})
}
