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

// Guards against more requests at a unit than it has slots, whatever the daemons know of the row and of each other.
func TestSumOfSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := []cluster.DaemonID{"a", "b", "c"}
		capacity := rapid.IntRange(1, 8).Draw(rt, "capacity")
		row, version := ledgerRow{}, cluster.Version(1)
		now := time.Unix(0, 0)
		var ledgers []*ledger
		var planned [3]ledgerRow
		var basis [3]cluster.Version
		for range daemons {
			l := newLedger("booking")
			for _, id := range []string{"r1", "r2"} {
				l.units[id] = &unit{id: id, capacity: capacity}
			}
			l.known, l.version = true, 1
			ledgers = append(ledgers, l)
		}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2).Draw(rt, "daemon")
			l := ledgers[i]
			f := fleet{daemons[i], daemons, daemons}
			operation := rapid.IntRange(0, 7).Draw(rt, "operation")
			switch operation {
			case 0: // the newest row arrives
				l.accept(f.self, row.clone(), version)
			case 1: // the row that the daemon wants is on its way
				if !l.busy {
					planned[i], basis[i] = l.plan(f, now), l.version
					l.busy = planned[i] != nil
				}
			case 6, 7: // it is committed, if it was based on the newest; the answer may be lost
				if l.busy && basis[i] == version {
					version++
					row = planned[i]
					if operation == 6 {
						l.accept(f.self, row.clone(), version)
					}
				}
				l.busy = false
			case 2:
				l.wanted = rapid.IntRange(0, 10).Draw(rt, "wanted")
			case 3:
				l.lend, l.borrower = rapid.IntRange(1, 10).Draw(rt, "lend"), daemons[(i+1)%3]
			case 4:
				if u := l.units[rapid.SampledFrom([]string{"r1", "r2"}).Draw(rt, "unit")]; u.inFlight < u.limit {
					u.inFlight++
				}
			case 5:
				if u := l.units[rapid.SampledFrom([]string{"r1", "r2"}).Draw(rt, "unit")]; u.inFlight > 0 {
					u.inFlight--
				}
				now = now.Add(time.Second)
			}
			for _, id := range []string{"r1", "r2"} {
				used := 0
				for _, l := range ledgers {
					used += max(l.units[id].limit, l.units[id].inFlight)
				}
				if used > capacity {
					rt.Fatalf("%d slots of %s usable, it has %d", used, id, capacity)
				}
			}
		}
	})
}

// load sends n requests at once through a daemon and returns the number of each status.
func (c *testCell) load(daemon, n int, secret, method string) func() map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[int]int{}
	for range n {
		wg.Go(func() {
			w := c.askAs(daemon, secret, "booking", method, "/x", "")
			mu.Lock()
			defer mu.Unlock()
			counts[w.Code]++
		})
	}
	return func() map[int]int { wg.Wait(); return counts }
}

func (c *testCell) slots(daemon int) int {
	n := 0
	for _, s := range c.daemons()[daemon].Status().Services {
		n += s.Slots
	}
	return n
}

// Guards against runners with more than 8 requests or 64 connections while all daemons are loaded.
func TestLimitsOfRunners(t *testing.T) {
	runCell(t, cellOptions{daemons: 7, runners: 6, took: 100 * time.Millisecond}, func(c *testCell) {
		var waits []func() map[int]int
		for d := range 7 {
			waits = append(waits, c.load(d, 30, "archive", "POST"))
		}
		served := 0
		for _, wait := range waits {
			served += wait()[200]
		}
		c.is.Equal(served, 210)
		for _, r := range c.runners {
			requests, connections := r.peaks()
			c.is.True(requests <= 8)
			c.is.True(connections <= 64)
			c.is.True(r.count() > 0)
		}
	})
}

// Guards against slots that stay with an idle daemon, and that never come back when it has work again.
func TestSlotsFollowDemand(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 2, took: time.Second}, func(c *testCell) {
		c.is.Equal(c.slots(0), 8)
		first := c.load(0, 60, "archive", "POST")
		time.Sleep(3 * time.Second)
		c.is.True(c.slots(0) >= 13)
		c.is.True(c.slots(0)+c.slots(1) <= 16)
		second := c.load(1, 40, "archive", "POST")
		time.Sleep(4 * time.Second)
		c.is.Equal(c.slots(1), 8)
		c.is.Equal(first()[200], 60)
		c.is.Equal(second()[200], 40)
		for _, r := range c.runners {
			requests, _ := r.peaks()
			c.is.True(requests <= 8)
		}
	})
}

// Guards against slots lost with a daemon that has left.
func TestSlotsOfDaemonThatLeft(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 2}, func(c *testCell) {
		c.daemons()[1].stop()
		c.daemons()[0].SetMembers([]Member{{ID: "daemon-0"}})
		time.Sleep(reclaimAfter - time.Second)
		c.is.Equal(c.slots(0), 8) // the member table may have been incomplete
		time.Sleep(3 * time.Second)
		c.is.Equal(c.slots(0), 16)
	})
}

// Guards against the use of slots that nobody has lent, and against an outage that stops lent ones.
func TestSlotsWithoutStore(t *testing.T) {
	runCell(t, cellOptions{daemons: 1, runners: 2, storeDown: true}, func(c *testCell) {
		w := c.ask(0, "GET", "/x", "")
		c.is.Equal(w.Code, 503)
		c.is.Equal(runOf(w), "no")
		c.is.True(!c.daemons()[0].Status().Services[0].Ready)
		c.store.set(func(s *memoryStore) { s.down, s.loseAnswers = false, 1 })
		time.Sleep(5 * time.Second)
		c.is.Equal(c.slots(0), 16) // although the answer of the first write was lost
		c.is.Equal(c.ask(0, "GET", "/x", "").Code, 200)
		c.store.set(func(s *memoryStore) { s.down = true })
		time.Sleep(time.Minute)
		c.is.Equal(c.ask(0, "GET", "/x", "").Code, 200)
	})
}

// Guards against a runner that no daemon may use when there are more daemons than slots.
func TestMoreDaemonsThanSlots(t *testing.T) {
	runCell(t, cellOptions{daemons: 20, runners: 3}, func(c *testCell) {
		// Twenty daemons that start together conflict on one row, so the last slots
		// are lent only some seconds after the cell has started.
		time.Sleep(10 * time.Second)
		lent := map[cluster.UpstreamID]int{}
		for _, g := range c.daemons() {
			for _, u := range g.Status().Services[0].Upstreams {
				lent[u.Upstream] += u.Slots
			}
		}
		for _, r := range c.runners {
			c.is.Equal(lent[cluster.UpstreamID(r.vm.ID)], 8)
		}
	})
}

// Guards against a team that has more requests in flight over all daemons than its limit.
func TestLimitOfTeam(t *testing.T) {
	entities := []cluster.Entity{&cluster.Team{Name: "archive", Share: 1, MaxRequests: 3}}
	runCell(t, cellOptions{daemons: 2, runners: 4, took: 100 * time.Millisecond, entities: entities}, func(c *testCell) {
		var running, peak atomic.Int64
		inner := echo(100 * time.Millisecond)
		for _, r := range c.runners {
			r.ended = func() { running.Add(-1) }
		}
		c.setAll(func(conn net.Conn, req *http.Request, body []byte) bool {
			now := running.Add(1)
			for most := peak.Load(); now > most && !peak.CompareAndSwap(most, now); most = peak.Load() {
			}
			return inner(conn, req, body)
		})
		a, b := c.load(0, 20, "archive", "POST"), c.load(1, 20, "archive", "POST")
		c.is.Equal(fmt.Sprint(a()[200], b()[200]), "20 20")
		c.is.Equal(peak.Load(), int64(3))
	})
}

// Guards against more requests than slots at a runner that was missing from the platform's list for a moment.
func TestRunnerMissingFromList(t *testing.T) {
	runCell(t, cellOptions{runners: 1, took: 3 * time.Second}, func(c *testCell) {
		first := c.load(0, 8, "archive", "POST")
		time.Sleep(time.Second)
		c.daemons()[0].SetUpstreams(nil)
		time.Sleep(time.Second)
		c.refresh()
		second := c.load(0, 8, "archive", "POST")
		c.is.Equal(first()[200]+second()[200], 16)
		requests, _ := c.runners[0].peaks()
		c.is.Equal(requests, 8)
	})
}
