package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

func (c *testCell) ejected(daemon int) int {
	n := 0
	for _, u := range c.daemons()[daemon].Status().Services[0].Upstreams {
		if u.Ejected {
			n++
		}
	}
	return n
}

// stream sends requests one after the other and returns the number of each status.
func (c *testCell) stream(daemon, n int, method string) map[int]int {
	counts := map[int]int{}
	for range n {
		counts[c.ask(daemon, method, "/x", "").Code]++
		time.Sleep(10 * time.Millisecond)
	}
	return counts
}

// Guards against a dead runner that keeps getting work, and one that is never used again after its recovery.
func TestDeadRunnerIsEjectedAndProbed(t *testing.T) {
	runCell(t, cellOptions{runners: 4}, func(c *testCell) {
		c.runners[0].refuseConnections(true)
		c.is.Equal(c.stream(0, 100, "POST")[200], 100)
		c.is.Equal(c.ejected(0), 1)
		c.runners[0].refuseConnections(false)
		time.Sleep(time.Minute)
		c.is.Equal(c.ejected(0), 0)
		before := c.runners[0].count()
		c.stream(0, 100, "POST")
		c.is.True(c.runners[0].count() > before)
	})
}

// Guards against a fault that ejects more than a third of the runners and overloads the rest.
func TestEjectsAtMostAThird(t *testing.T) {
	runCell(t, cellOptions{runners: 6}, func(c *testCell) {
		for _, r := range c.runners[:4] {
			r.set(faults["dieBefore"])
		}
		c.stream(0, 200, "GET")
		c.is.Equal(c.ejected(0), 2)
	})
}

// Guards against a slow runner that holds up its part of the requests.
func TestSlowRunnerIsEjected(t *testing.T) {
	runCell(t, cellOptions{runners: 4, took: 10 * time.Millisecond}, func(c *testCell) {
		c.runners[1].set(echo(300 * time.Millisecond))
		for range 30 {
			c.load(0, 20, "archive", "POST")()
		}
		c.is.True(c.daemons()[0].Status().Services[0].Upstreams[1].Ejected)
	})
}

// Guards against requests that hang on connections which went silent while new ones work.
func TestSilentConnections(t *testing.T) {
	runCell(t, cellOptions{runners: 1, took: 10 * time.Millisecond}, func(c *testCell) {
		c.load(0, 8, "archive", "GET")()
		r := c.runners[0]
		r.mu.Lock()
		silent := map[net.Conn]bool{}
		for _, conn := range r.conns {
			silent[conn] = true
		}
		r.mu.Unlock()
		healthy := echo(10 * time.Millisecond)
		r.set(func(conn net.Conn, req *http.Request, body []byte) bool {
			if silent[conn] {
				return faults["silent"](conn, req, body)
			}
			return healthy(conn, req, body)
		})
		c.is.Equal(c.ask(0, "GET", "/x", "").Code, 200) // found silent, tried again
		before := r.count()
		c.is.Equal(c.load(0, 8, "archive", "GET")()[200], 8)
		c.is.Equal(r.count()-before, 8) // none on another silent connection
	})
}

// Guards against new work for a leaving runner, whoever says that it leaves.
func TestLeavingRunner(t *testing.T) {
	sources := map[string]func(c *testCell){
		"platform": func(c *testCell) { c.runners[0].vm.Leaving = true; c.refresh() },
		"list of the other daemon": func(c *testCell) {
			vms := c.vms()
			vms[0].Leaving = true
			c.daemons()[1].SetUpstreams(vms)
		},
		"peer": func(c *testCell) {
			for _, g := range c.daemons() {
				g.HandlePeer("daemon-9", &peer.UpstreamNotice{Service: "booking", Upstream: "runner-00", Leaving: true})
			}
		},
		"header at the other daemon": func(c *testCell) {
			c.runners[0].set(func(conn net.Conn, _ *http.Request, _ []byte) bool {
				return reply(conn, "200 OK", "", "Goldcrest-Leaving: true")
			})
			c.stream(1, 20, "GET")
		},
		"gone from the list": func(c *testCell) {
			for _, g := range c.daemons() {
				g.SetUpstreams(c.vms()[1:])
			}
		},
	}
	for name, tell := range sources {
		t.Run(name, func(t *testing.T) {
			runCell(t, cellOptions{daemons: 2, runners: 3}, func(c *testCell) {
				c.stream(0, 20, "GET")
				c.is.True(c.runners[0].count() > 0)
				tell(c)
				time.Sleep(time.Second)
				before := c.runners[0].count()
				if name != "gone from the list" {
					c.refresh() // the platform's list lags
				}
				c.stream(0, 50, "GET")
				c.stream(1, 50, "POST")
				c.is.Equal(c.runners[0].count(), before)
			})
		})
	}
}

// Guards against work over the paid link while nearer runners have free slots, and against none when they are full.
func TestNearestRunnersFirst(t *testing.T) {
	places := []cluster.Place{homePlace, {Region: homePlace.Region, Zone: "ds-2"}, {Region: "romandie", Zone: "ro-1"}}
	place := func(i int) cluster.Place { return places[i] }
	runCell(t, cellOptions{runners: 3, took: 100 * time.Millisecond, place: place}, func(c *testCell) {
		counts := func() [3]int { return [3]int{c.runners[0].count(), c.runners[1].count(), c.runners[2].count()} }
		c.load(0, 8, "archive", "POST")()
		c.is.Equal(counts(), [3]int{8, 0, 0})
		c.load(0, 16, "archive", "POST")()
		c.is.Equal(counts(), [3]int{16, 8, 0})
		c.is.Equal(c.paid[0].Crossed(paidlink.CauseRequest), int64(0))
		c.load(0, 24, "archive", "POST")()
		c.is.Equal(counts(), [3]int{24, 16, 8})
		c.is.True(c.paid[0].Crossed(paidlink.CauseRequest) > 0)
	})
}

// Guards against retries that multiply the load when all runners fail.
func TestRetryBudget(t *testing.T) {
	runCell(t, cellOptions{runners: 3}, func(c *testCell) {
		c.setAll(faults["dieBefore"])
		c.stream(0, 300, "GET")
		sent := c.runners[0].count() + c.runners[1].count() + c.runners[2].count()
		c.is.True(sent <= 300+300*retryFraction+retryBurst)
	})
}

// Guards against a slot that is given to the next request while the runner is still at work on one given up on.
func TestSlotOfAbandonedRequest(t *testing.T) {
	runCell(t, cellOptions{runners: 1, took: 100 * time.Millisecond}, func(c *testCell) {
		c.load(0, 8, "archive", "POST")()
		inFlight := func() int { return c.daemons()[0].Status().Services[0].InFlight }
		c.setAll(faults["silent"])
		c.is.Equal(c.ask(0, "POST", "/x", "", "Goldcrest-Timeout: 300ms").Code, 504)
		c.is.Equal(inFlight(), 1)
		time.Sleep(time.Second)
		c.is.Equal(inFlight(), 0)
	})
}

// Guards against more connections than the runner takes, while idle ones are too old to be used.
func TestConnectionLimit(t *testing.T) {
	runCell(t, cellOptions{runners: 1, took: 100 * time.Millisecond}, func(c *testCell) {
		c.runners[0].vm.Connections = 8
		c.refresh()
		for range 5 {
			c.is.Equal(c.load(0, 8, "archive", "POST")()[200], 8)
			time.Sleep(2 * time.Second)
		}
		_, connections := c.runners[0].peaks()
		c.is.Equal(connections, 8)
	})
}
