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

func (c *testCluster) ejectedCount(daemon int) int {
	n := 0
	for _, u := range c.daemons()[daemon].Status().Services[0].Upstreams {
		if u.Ejected {
			n++
		}
	}
	return n
}

// sendSequentially sends requests one after the other and returns the number of responses by status.
func (c *testCluster) sendSequentially(daemon, n int, method string) map[int]int {
	counts := map[int]int{}
	for range n {
		counts[c.send(daemon, method, "/x", "").Code]++
		time.Sleep(10 * time.Millisecond)
	}
	return counts
}

// Guards against a failed runner that keeps getting requests, and against one that is never used
// again after its recovery.
func TestDeadRunnerIsEjectedAndProbed(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 4}, func(c *testCluster) {
		c.runners[0].refuseConnections(true)
		c.is.Equal(c.sendSequentially(0, 100, "POST")[200], 100)
		c.is.Equal(c.ejectedCount(0), 1)
		c.runners[0].refuseConnections(false)
		time.Sleep(time.Minute)
		c.is.Equal(c.ejectedCount(0), 0)
		previous := c.runners[0].requestCount()
		c.sendSequentially(0, 100, "POST")
		c.is.True(c.runners[0].requestCount() > previous)
	})
}

// Guards against a fault that ejects more than a third of the runners and overloads the rest.
func TestEjectsAtMostAThird(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 6}, func(c *testCluster) {
		for _, r := range c.runners[:4] {
			r.setHandler(faults["dieBefore"])
		}
		c.sendSequentially(0, 200, "GET")
		c.is.Equal(c.ejectedCount(0), 2)
	})
}

// Guards against a slow runner that delays its share of the requests.
func TestSlowRunnerIsEjected(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 4, serviceTime: 10 * time.Millisecond}, func(c *testCluster) {
		c.runners[1].setHandler(echo(300 * time.Millisecond))
		for range 30 {
			c.sendConcurrently(0, 20, "archive", "POST")()
		}
		c.is.True(c.daemons()[0].Status().Services[0].Upstreams[1].Ejected)
	})
}

// Guards against requests that hang on stalled connections while new ones work.
func TestStalledConnections(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1, serviceTime: 10 * time.Millisecond}, func(c *testCluster) {
		c.sendConcurrently(0, 8, "archive", "GET")()
		r := c.runners[0]
		r.mu.Lock()
		stalled := map[net.Conn]bool{}
		for _, conn := range r.conns {
			stalled[conn] = true
		}
		r.mu.Unlock()
		healthy := echo(10 * time.Millisecond)
		r.setHandler(func(conn net.Conn, req *http.Request, body []byte) bool {
			if stalled[conn] {
				return faults["silent"](conn, req, body)
			}
			return healthy(conn, req, body)
		})
		c.is.Equal(c.send(0, "GET", "/x", "").Code, 200) // detected as stalled and retried
		previous := r.requestCount()
		c.is.Equal(c.sendConcurrently(0, 8, "archive", "GET")()[200], 8)
		c.is.Equal(r.requestCount()-previous, 8) // none on another stalled connection
	})
}

// Guards against new requests to a leaving runner, whichever source reports that it is leaving.
func TestLeavingRunner(t *testing.T) {
	sources := map[string]func(c *testCluster){
		"platform": func(c *testCluster) { c.runners[0].vm.Leaving = true; c.updateDaemons() },
		"list of the other daemon": func(c *testCluster) {
			vms := c.vms()
			vms[0].Leaving = true
			c.daemons()[1].SetUpstreams(vms)
		},
		"peer": func(c *testCluster) {
			for _, g := range c.daemons() {
				g.HandlePeer("daemon-9", &peer.UpstreamNotice{Service: "booking", Upstream: "runner-00", Leaving: true})
			}
		},
		"header at the other daemon": func(c *testCluster) {
			c.runners[0].setHandler(func(conn net.Conn, _ *http.Request, _ []byte) bool {
				return writeResponse(conn, "200 OK", "", "Goldcrest-Leaving: true")
			})
			c.sendSequentially(1, 20, "GET")
		},
		"gone from the list": func(c *testCluster) {
			for _, g := range c.daemons() {
				g.SetUpstreams(c.vms()[1:])
			}
		},
	}
	for name, reportLeaving := range sources {
		t.Run(name, func(t *testing.T) {
			runTestCluster(t, clusterOptions{daemons: 2, runners: 3}, func(c *testCluster) {
				c.sendSequentially(0, 20, "GET")
				c.is.True(c.runners[0].requestCount() > 0)
				reportLeaving(c)
				time.Sleep(time.Second)
				previous := c.runners[0].requestCount()
				if name != "gone from the list" {
					c.updateDaemons() // the platform's list still has the runner as not leaving
				}
				c.sendSequentially(0, 50, "GET")
				c.sendSequentially(1, 50, "POST")
				c.is.Equal(c.runners[0].requestCount(), previous)
			})
		})
	}
}

// Guards against requests over the paid link while nearer runners have free slots, and against
// none over it when they are full.
func TestNearestRunnersFirst(t *testing.T) {
	places := []cluster.Place{localPlace, {Region: localPlace.Region, Zone: "ds-2"}, {Region: "romandie", Zone: "ro-1"}}
	place := func(i int) cluster.Place { return places[i] }
	runTestCluster(t, clusterOptions{runners: 3, serviceTime: 100 * time.Millisecond, place: place}, func(c *testCluster) {
		counts := func() [3]int {
			return [3]int{c.runners[0].requestCount(), c.runners[1].requestCount(), c.runners[2].requestCount()}
		}
		c.sendConcurrently(0, 8, "archive", "POST")()
		c.is.Equal(counts(), [3]int{8, 0, 0})
		c.sendConcurrently(0, 16, "archive", "POST")()
		c.is.Equal(counts(), [3]int{16, 8, 0})
		c.is.Equal(c.paidLinkCounters[0].Crossed(paidlink.CauseRequest), int64(0))
		c.sendConcurrently(0, 24, "archive", "POST")()
		c.is.Equal(counts(), [3]int{24, 16, 8})
		c.is.True(c.paidLinkCounters[0].Crossed(paidlink.CauseRequest) > 0)
	})
}

// Guards against retries that multiply the load when all runners fail.
func TestRetryBudget(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 3}, func(c *testCluster) {
		c.setHandlers(faults["dieBefore"])
		c.sendSequentially(0, 300, "GET")
		sent := c.runners[0].requestCount() + c.runners[1].requestCount() + c.runners[2].requestCount()
		c.is.True(sent <= 300+300*retryFraction+retryBurst)
	})
}

// Guards against a slot that is granted again while the runner is still working on an abandoned request.
func TestSlotOfAbandonedRequest(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1, serviceTime: 100 * time.Millisecond}, func(c *testCluster) {
		c.sendConcurrently(0, 8, "archive", "POST")()
		inFlight := func() int { return c.daemons()[0].Status().Services[0].InFlight }
		c.setHandlers(faults["silent"])
		c.is.Equal(c.send(0, "POST", "/x", "", "Goldcrest-Timeout: 300ms").Code, 504)
		c.is.Equal(inFlight(), 1)
		time.Sleep(time.Second)
		c.is.Equal(inFlight(), 0)
	})
}

// Guards against more connections than the runner accepts while idle ones are too old to be reused.
func TestConnectionLimit(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1, serviceTime: 100 * time.Millisecond}, func(c *testCluster) {
		c.runners[0].vm.Connections = 8
		c.updateDaemons()
		for range 5 {
			c.is.Equal(c.sendConcurrently(0, 8, "archive", "POST")()[200], 8)
			time.Sleep(2 * time.Second)
		}
		_, connections := c.runners[0].peaks()
		c.is.Equal(connections, 8)
	})
}
