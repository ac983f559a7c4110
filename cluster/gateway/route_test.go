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

// faults are the behaviours of an upstream; each ran the request, except notRun.
var faults = map[string]behaviour{
	"echo":      echo(0),
	"dieBefore": func(net.Conn, *http.Request, []byte) bool { return false },
	"dieHeader": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return raw(c, "HTTP/1.1 200 OK\r\nContent-Le", false)
	},
	"short": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return raw(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello", false)
	},
	"brokenChunk": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return raw(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nwo", false)
	},
	"chunks": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return raw(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true)
	},
	"delimited": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return raw(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", false)
	},
	"oversized": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return reply(c, "200 OK", strings.Repeat("x", 2<<20))
	},
	"oversizedChunks": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return raw(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n"+strings.Repeat("x", 2<<20)+"\r\n0\r\n\r\n", true)
	},
	"switch": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return raw(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: chat\r\n\r\n", true)
	},
	"crossed": func(c net.Conn, _ *http.Request, _ []byte) bool {
		return reply(c, "200 OK", "not yours", "Goldcrest-Request: another")
	},
	"late": func(c net.Conn, r *http.Request, b []byte) bool { return echo(11*time.Second)(c, r, b) },
	"silent": func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	},
	"surplus": func(c net.Conn, req *http.Request, _ []byte) bool {
		a := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.Method+" "+req.URL.Path+" "), req.Method+" "+req.URL.Path+" ")
		return raw(c, a+a, true)
	},
	"notRun": func(c net.Conn, req *http.Request, _ []byte) bool {
		c.(*runnerConn).notRun(req)
		return reply(c, "503 Service Unavailable", "", "Goldcrest-Run: no", "Retry-After: 7")
	},
	"plain503": func(c net.Conn, _ *http.Request, _ []byte) bool { return reply(c, "503 Service Unavailable", "down") },
	"dieAfter": func(c net.Conn, _ *http.Request, _ []byte) bool { reply(c, "200 OK", "bye"); return false },
}

func raw(c net.Conn, data string, keep bool) bool {
	_, err := c.Write([]byte(data))
	return err == nil && keep
}

type faultCase struct {
	Name, Fault, Method, Header string
	// Bad is the number of runners with the fault; 0 means all.
	Bad, Size, Status int
	// Run is the expected member of the problem; Passed says that an error status is the runner's own answer.
	Run        string
	Passed     bool
	Ran        *int
	RetryAfter string
}

func loadCases[T any](t *testing.T, file string) []T {
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

// Guards against a request that runs twice, a false "not run" and an incomplete or foreign answer passed on.
func TestFaultsOfUpstreams(t *testing.T) {
	for _, tc := range loadCases[faultCase](t, "faults.json") {
		t.Run(tc.Name, func(t *testing.T) {
			runCell(t, cellOptions{runners: 3}, func(c *testCell) { tc.check(c) })
		})
	}
}

func (tc *faultCase) check(c *testCell) {
	for i, r := range c.runners {
		if tc.Bad == 0 || i < tc.Bad {
			r.set(faults[tc.Fault])
			r.refuseConnections(tc.Fault == "refuse")
		}
	}
	headers := []string{"X-Token: a"}
	if tc.Header != "" {
		headers = append(headers, tc.Header)
	}
	// With a fault at one runner, enough requests are sent that some meet it.
	for range 1 + 5*tc.Bad {
		w := c.ask(0, tc.Method, "/x", strings.Repeat("b", tc.Size), headers...)
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
		c.is.Equal(c.ran("a"), *tc.Ran)
	}
}

// Guards against an answer that reaches the wrong caller after a runner sent one too many.
func TestSurplusAnswers(t *testing.T) {
	runCell(t, cellOptions{runners: 1}, func(c *testCell) {
		c.setAll(func(conn net.Conn, req *http.Request, _ []byte) bool {
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + req.URL.Path[1:]
			return raw(conn, answer+answer, true)
		})
		for i := range 20 {
			path := fmt.Sprintf("/%02d", i)
			w := c.ask(0, "POST", path, "")
			c.is.Equal(w.Code, 200)
			c.is.Equal("/"+w.Body.String(), path)
		}
	})
}

// Guards against a non-idempotent request on a connection that the runner may have dropped meanwhile.
func TestIdleConnections(t *testing.T) {
	runCell(t, cellOptions{runners: 1}, func(c *testCell) {
		r := c.runners[0]
		opened := func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.conns)
		}
		c.ask(0, "POST", "/a", "")
		c.ask(0, "POST", "/b", "")
		c.is.Equal(opened(), 1) // proved alive just now
		time.Sleep(1100 * time.Millisecond)
		c.ask(0, "GET", "/c", "")
		c.is.Equal(opened(), 1) // may be sent again
		time.Sleep(1100 * time.Millisecond)
		c.ask(0, "POST", "/d", "")
		c.is.Equal(opened(), 2) // not proved alive within the last second
	})
}

// Guards against the caller's secret and forged headers at the runner, and against decoded paths.
func TestForwardedRequest(t *testing.T) {
	runCell(t, cellOptions{runners: 1}, func(c *testCell) {
		var seen *http.Request
		c.setAll(func(conn net.Conn, req *http.Request, _ []byte) bool {
			seen = req
			return reply(conn, "200 OK", "", "Goldcrest-Leaving: false", "Connection: X-Hop", "X-Hop: 1", "X-Kept: 1")
		})
		w := c.ask(0, "GET", "/a%2Fb?q=1", "", "Goldcrest-Team: radio", "X-Kept: 2")
		c.is.Equal(seen.RequestURI, "/a%2Fb?q=1")
		c.is.Equal(seen.Header.Get("Authorization"), "")
		c.is.Equal(seen.Header.Get("Goldcrest-Team"), "archive")
		c.is.Equal(seen.Header.Get("X-Kept"), "2")
		c.is.Equal(w.Header().Get("X-Kept"), "1")
		c.is.Equal(w.Header().Get("X-Hop"), "")
		c.is.Equal(w.Header().Get("Goldcrest-Leaving"), "")
	})
}

// Guards against an open queue that asks for a key, and against a key that works after a change while its request waits.
func TestKeysAndOpenQueues(t *testing.T) {
	runCell(t, cellOptions{runners: 1, took: 100 * time.Millisecond}, func(c *testCell) {
		open := c.addRunner(homePlace, echo(0))
		open.vm.Service = "calendar"
		c.refresh()
		time.Sleep(3 * time.Second)
		c.is.Equal(c.askAs(0, "", "calendar", "GET", "/", "").Code, 200)
		c.is.Equal(c.askAs(0, "", "booking", "GET", "/", "").Code, 401)
		c.is.Equal(c.askAs(0, "archive", "unknown", "GET", "/", "").Code, 404)
		codes := make(chan int, 16)
		for range 16 {
			go func() { codes <- c.ask(0, "POST", "/", "").Code }()
		}
		time.Sleep(50 * time.Millisecond) // eight run, eight wait
		c.auth.mu.Lock()
		c.auth.snapshot = cluster.Assemble(2, testEntities()[:5])
		c.auth.mu.Unlock()
		counts := map[int]int{}
		for range 16 {
			counts[<-codes]++
		}
		c.is.Equal(counts[200], 8)
		c.is.Equal(counts[401], 8)
		c.is.Equal(c.runners[0].count(), 8)
	})
}

// Guards against a request that waited, or whose process was paused, being sent
// although the same configuration is no longer confirmed.
func TestWaitingRequestsNeedAConfirmedConfiguration(t *testing.T) {
	runCell(t, cellOptions{runners: 1, took: 100 * time.Millisecond}, func(c *testCell) {
		codes := make(chan int, 16)
		for range 16 {
			go func() { codes <- c.ask(0, "POST", "/", "").Code }()
		}
		time.Sleep(50 * time.Millisecond) // eight run, eight wait
		c.auth.mu.Lock()
		c.auth.stale = true
		c.auth.mu.Unlock()
		counts := map[int]int{}
		for range 16 {
			counts[<-codes]++
		}
		c.is.Equal(counts[200], 8)
		c.is.Equal(counts[401], 8)
		c.is.Equal(c.runners[0].count(), 8)
	})
}

// Guards against "not run" for a request that was lost at one runner before all others refused it.
func TestLostThenRefused(t *testing.T) {
	runCell(t, cellOptions{runners: 3}, func(c *testCell) {
		c.setAll(func(net.Conn, *http.Request, []byte) bool {
			for _, r := range c.runners {
				r.refuseConnections(true)
			}
			return false
		})
		w := c.ask(0, "GET", "/x", "", "X-Token: a")
		c.is.Equal(c.ran("a"), 1)
		c.is.Equal(w.Code, 502)
		c.is.Equal(runOf(w), "unknown")
	})
}

// Guards against a request that waits although it can't be answered before its deadline.
func TestRefusedAtOnce(t *testing.T) {
	runCell(t, cellOptions{runners: 1, took: time.Second}, func(c *testCell) {
		running := c.load(0, 24, "archive", "POST")
		time.Sleep(1500 * time.Millisecond)
		start := time.Now()
		w := c.ask(0, "POST", "/x", "", "Goldcrest-Timeout: 2s")
		c.is.Equal(time.Since(start), time.Duration(0))
		c.is.Equal(w.Code, 503)
		c.is.Equal(runOf(w), "no")
		c.is.Equal(w.Header().Get("Retry-After"), "2")
		c.is.Equal(running()[200], 24)
	})
}
