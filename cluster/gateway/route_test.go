package gateway

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed keeps a run reproducible; -rapid.seed selects another.
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// faults are the handlers of an upstream; each of them runs the request, except "notRun".
var faults = map[string]requestHandler{
	"echo":      echo(0),
	"dieBefore": func(net.Conn, *http.Request, []byte) bool { return false },
	"dieHeader": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeRaw(c, "HTTP/1.1 200 OK\r\nContent-Le", false)
	},
	"short": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeRaw(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello", false)
	},
	"brokenChunk": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeRaw(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nwo", false)
	},
	"chunks": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeRaw(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true)
	},
	"delimited": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeRaw(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", false)
	},
	"oversized": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeResponse(c, "200 OK", strings.Repeat("x", 2<<20))
	},
	"oversizedChunks": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeRaw(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n"+strings.Repeat("x", 2<<20)+"\r\n0\r\n\r\n", true)
	},
	"switch": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeRaw(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: chat\r\n\r\n", true)
	},
	"crossed": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeResponse(c, "200 OK", "not yours", "Goldcrest-Request: another")
	},
	"late": func(c net.Conn, r *http.Request, b []byte) bool { return echo(11*time.Second)(c, r, b) },
	"silent": func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	},
	"surplus": func(c net.Conn, req *http.Request, _ []byte) bool {
		resp := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.Method+" "+req.URL.Path+" "), req.Method+" "+req.URL.Path+" ")
		return writeRaw(c, resp+resp, true)
	},
	"notRun": func(c net.Conn, req *http.Request, _ []byte) bool {
		c.(*testRunnerConn).markNotRun(req)
		return writeResponse(c, "503 Service Unavailable", "", "Goldcrest-Run: no", "Retry-After: 7")
	},
	"plain503": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return writeResponse(c, "503 Service Unavailable", "down")
	},
	"dieAfter": func(c net.Conn, _ *http.Request, _ []byte) bool { writeResponse(c, "200 OK", "bye"); return false },
}

func writeRaw(c net.Conn, data string, keep bool) bool {
	_, err := c.Write([]byte(data))
	return err == nil && keep
}

// faultCase is a request to runners with a fault, and the expected response.
type faultCase struct {
	Name, Fault, Method, Header string
	// Bad is the number of runners with the fault; 0 means all.
	Bad, Size, Status int
	// Run is the expected member of the problem; Passed means that an error status is the runner's own response.
	Run        string
	Passed     bool
	Ran        *int
	RetryAfter string
}

func loadTestCases[T any](t *testing.T, file string) []T {
	t.Helper()
	data, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	var cases []T
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

// Guards against a request that runs twice, a wrong "not run" report, and an incomplete or
// mismatched response that is passed on.
func TestUpstreamFaults(t *testing.T) {
	for _, tc := range loadTestCases[faultCase](t, "faults.json") {
		t.Run(tc.Name, func(t *testing.T) {
			runTestCluster(t, clusterOptions{runners: 3}, func(c *testCluster) { tc.check(c) })
		})
	}
}

func (tc *faultCase) check(c *testCluster) {
	for i, r := range c.runners {
		if tc.Bad == 0 || i < tc.Bad {
			r.setHandler(faults[tc.Fault])
			r.refuseConnections(tc.Fault == "refuse")
		}
	}
	headers := []string{"X-Token: a"}
	if tc.Header != "" {
		headers = append(headers, tc.Header)
	}
	// With a fault at one runner, enough requests are sent that some of them reach that runner.
	for range 1 + 5*tc.Bad {
		w := c.send(0, tc.Method, "/x", strings.Repeat("b", tc.Size), headers...)
		c.is.Equal(w.Code, tc.Status)
		if tc.Run == "" {
			c.is.True(w.Header().Get("Content-Type") != "application/problem+json")
			continue
		}
		var p problemDocument
		c.is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
		c.is.Equal(string(p.Run), tc.Run)
		c.is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
		if tc.RetryAfter != "" {
			c.is.Equal(w.Header().Get("Retry-After"), tc.RetryAfter)
		}
		if tc.Bad > 0 {
			break
		}
	}
	if tc.Ran != nil && tc.Bad == 0 {
		c.is.Equal(c.runCount("a"), *tc.Ran)
	}
}

// Guards against a response that reaches the wrong caller after a runner sent a surplus one.
func TestSurplusResponses(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1}, func(c *testCluster) {
		c.setHandlers(func(conn net.Conn, req *http.Request, _ []byte) bool {
			resp := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + req.URL.Path[1:]
			return writeRaw(conn, resp+resp, true)
		})
		for i := range 20 {
			path := fmt.Sprintf("/%02d", i)
			w := c.send(0, "POST", path, "")
			c.is.Equal(w.Code, 200)
			c.is.Equal("/"+w.Body.String(), path)
		}
	})
}

// Guards against a non-idempotent request on a connection that the runner may have closed in the meantime.
func TestIdleConnectionReuse(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1}, func(c *testCluster) {
		r := c.runners[0]
		opened := func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.conns)
		}
		c.send(0, "POST", "/a", "")
		c.send(0, "POST", "/b", "")
		c.is.Equal(opened(), 1) // verified as alive just now
		time.Sleep(1100 * time.Millisecond)
		c.send(0, "GET", "/c", "")
		c.is.Equal(opened(), 1) // an idempotent request may be sent again
		time.Sleep(1100 * time.Millisecond)
		c.send(0, "POST", "/d", "")
		c.is.Equal(opened(), 2) // not verified as alive within the last second
	})
}

// Guards against the caller's secret and forged headers reaching the runner, and against decoded paths.
func TestForwardedRequest(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1}, func(c *testCluster) {
		var received *http.Request
		c.setHandlers(func(conn net.Conn, req *http.Request, _ []byte) bool {
			received = req
			return writeResponse(conn, "200 OK", "", "Goldcrest-Leaving: false", "Connection: X-Hop", "X-Hop: 1", "X-Kept: 1")
		})
		w := c.send(0, "GET", "/a%2Fb?q=1", "", "Goldcrest-Team: radio", "X-Kept: 2")
		c.is.Equal(received.RequestURI, "/a%2Fb?q=1")
		c.is.Equal(received.Header.Get("Authorization"), "")
		c.is.Equal(received.Header.Get("Goldcrest-Team"), "archive")
		c.is.Equal(received.Header.Get("X-Kept"), "2")
		c.is.Equal(w.Header().Get("X-Kept"), "1")
		c.is.Equal(w.Header().Get("X-Hop"), "")
		c.is.Equal(w.Header().Get("Goldcrest-Leaving"), "")
	})
}

// Guards against an open queue that requires a key, and against a key that stays valid for a
// waiting request after it was withdrawn.
func TestKeysAndOpenQueues(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1, serviceTime: 100 * time.Millisecond}, func(c *testCluster) {
		open := c.addRunner(localPlace, echo(0))
		open.vm.Service = "calendar"
		c.updateDaemons()
		time.Sleep(3 * time.Second)
		c.is.Equal(c.sendAs(0, "", "calendar", "GET", "/", "").Code, 200)
		c.is.Equal(c.sendAs(0, "", "booking", "GET", "/", "").Code, 401)
		c.is.Equal(c.sendAs(0, "archive", "unknown", "GET", "/", "").Code, 404)
		codes := make(chan int, 16)
		for range 16 {
			go func() { codes <- c.send(0, "POST", "/", "").Code }()
		}
		time.Sleep(50 * time.Millisecond) // eight use the slots, eight wait
		c.authorizer.mu.Lock()
		c.authorizer.snapshot = cluster.Assemble(2, testEntities()[:5])
		c.authorizer.mu.Unlock()
		counts := map[int]int{}
		for range 16 {
			counts[<-codes]++
		}
		c.is.Equal(counts[200], 8)
		c.is.Equal(counts[401], 8)
		c.is.Equal(c.runners[0].requestCount(), 8)
	})
}

// Guards against sending a request that waited, or whose process was paused, although
// its configuration is no longer confirmed.
func TestWaitingRequestNeedsConfirmedConfiguration(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1, serviceTime: 100 * time.Millisecond}, func(c *testCluster) {
		codes := make(chan int, 16)
		for range 16 {
			go func() { codes <- c.send(0, "POST", "/", "").Code }()
		}
		time.Sleep(50 * time.Millisecond) // eight use the slots, eight wait
		c.authorizer.mu.Lock()
		c.authorizer.stale = true
		c.authorizer.mu.Unlock()
		counts := map[int]int{}
		for range 16 {
			counts[<-codes]++
		}
		c.is.Equal(counts[200], 8)
		c.is.Equal(counts[401], 8)
		c.is.Equal(c.runners[0].requestCount(), 8)
	})
}

// Guards against a "not run" report for a request that one runner may have run before the others refused it.
func TestUnknownOutcomeThenRefused(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 3}, func(c *testCluster) {
		c.setHandlers(func(net.Conn, *http.Request, []byte) bool {
			for _, r := range c.runners {
				r.refuseConnections(true)
			}
			return false
		})
		w := c.send(0, "GET", "/x", "", "X-Token: a")
		c.is.Equal(c.runCount("a"), 1)
		c.is.Equal(w.Code, 502)
		c.is.Equal(runStatusOf(w), "unknown")
	})
}

// Guards against a request that waits although it can't be finished before its deadline.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1, serviceTime: time.Second}, func(c *testCluster) {
		running := c.sendConcurrently(0, 24, "archive", "POST")
		time.Sleep(1500 * time.Millisecond)
		start := time.Now()
		w := c.send(0, "POST", "/x", "", "Goldcrest-Timeout: 2s")
		c.is.Equal(time.Since(start), time.Duration(0))
		c.is.Equal(w.Code, 503)
		c.is.Equal(runStatusOf(w), "no")
		c.is.Equal(w.Header().Get("Retry-After"), "2")
		c.is.Equal(running()[200], 24)
	})
}
