package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const keyHeader = "Idempotency-Key: k1"

// runStatusOf returns the run member of a problem document, empty for other responses.
func runStatusOf(w *httptest.ResponseRecorder) string {
	var p problemDocument
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	return string(p.Run)
}

// repeatCase is one repeat of an Idempotency-Key at another daemon.
type repeatCase struct {
	Name string
	// Fault is the runner's handler for the first request; State is the situation in which the repeat is sent.
	Fault, State string
	Body         string
	Status       int
	Run          string
	Replayed     bool
	Ran          int
}

// Guards against a repeat of an Idempotency-Key that runs the request again or gets a wrong response.
func TestIdempotencyKeyRepeatAtAnotherDaemon(t *testing.T) {
	for _, tc := range loadTestCases[repeatCase](t, "repeats.json") {
		t.Run(tc.Name, func(t *testing.T) {
			runTestCluster(t, clusterOptions{daemons: 2, runners: 3}, func(c *testCluster) { tc.check(c) })
		})
	}
}

func (tc *repeatCase) check(c *testCluster) {
	c.setHandlers(faults[tc.Fault])
	first := make(chan *httptest.ResponseRecorder, 1)
	go func() { first <- c.send(0, "POST", "/x", "body", keyHeader, "X-Token: a") }()
	time.Sleep(time.Second)
	switch tc.State {
	case "ended":
		<-first
		time.Sleep(time.Second)
	case "daemon gone":
		c.daemons()[1].SetMembers([]Member{{ID: "daemon-1"}})
	case "expired":
		<-first
		time.Sleep(testRetention + time.Minute)
	}
	w := c.send(1, "POST", "/x", tc.Body, keyHeader, "X-Token: a")
	c.is.Equal(w.Code, tc.Status)
	c.is.Equal(runStatusOf(w), tc.Run)
	c.is.Equal(w.Header().Get(headerReplayed) == "true", tc.Replayed)
	time.Sleep(20 * time.Second)
	c.is.Equal(c.runCount("a"), tc.Ran)
}

// Guards against repeats at the same daemon that run a request whose outcome is known or which is in progress.
func TestIdempotencyKeyRepeatAtSameDaemon(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 1, runners: 2, serviceTime: time.Second}, func(c *testCluster) {
		codes := make(chan int, 20)
		for range 20 {
			go func() { codes <- c.send(0, "POST", "/x", "body", keyHeader, "X-Token: a").Code }()
		}
		counts := map[int]int{}
		for range 20 {
			counts[<-codes]++
		}
		c.is.Equal(counts[200], 1)
		c.is.Equal(counts[409], 19)
		// The response is replayed from memory while its record can't be written.
		c.store.update(func(s *memoryStore) { s.unavailable = true })
		c.is.Equal(c.send(0, "POST", "/x", "body", keyHeader, "X-Token: a").Code, 200)
		c.is.Equal(c.runCount("a"), 1)
	})
}

// Guards against requests with a key that run without a row, and against rows left behind by
// requests that did not run.
func TestIdempotencyKeyWithStoreFaults(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 2}, func(c *testCluster) {
		c.store.update(func(s *memoryStore) { s.unavailable = true })
		w := c.send(0, "POST", "/x", "body", keyHeader, "X-Token: a")
		c.is.Equal(w.Code, 503)
		c.is.Equal(runStatusOf(w), "no")
		c.is.True(w.Header().Get("Retry-After") != "")
		c.is.Equal(c.send(0, "POST", "/x", "body", "X-Token: b").Code, 200) // no row is needed without a key
		c.store.update(func(s *memoryStore) { s.unavailable, s.lostReplies = false, 1 })
		c.is.Equal(c.send(0, "POST", "/x", "body", keyHeader, "X-Token: a").Code, 200) // the reply to the insertion was lost
		time.Sleep(time.Second)
		c.store.update(func(s *memoryStore) { s.lostReplies = 1 })
		c.is.Equal(c.send(1, "POST", "/x", "body", keyHeader, "X-Token: a").Code, 200)
		c.is.Equal(c.runCount("a"), 1)
	})
}

// Guards against a second request for an upstream: a repeat of a request that has run is refused as not run, because the
// row of the first one can't be read.
func TestIdempotencyKeyWithUnreadableRow(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 2}, func(c *testCluster) {
		c.is.Equal(c.send(0, "POST", "/x", "body", keyHeader, "X-Token: a").Code, 200)
		time.Sleep(time.Second)
		c.store.update(func(s *memoryStore) { s.readsUnavailable = true })
		w := c.send(1, "POST", "/x", "body", keyHeader, "X-Token: a")
		c.is.Equal(w.Code, 503)
		c.is.Equal(runStatusOf(w), "unknown")
		c.is.True(w.Header().Get("Retry-After") != "")
		c.is.Equal(c.runCount("a"), 1)
	})
}

// Guards against a row that blocks the retry of a request that was not run.
func TestIdempotencyKeyReusableAfterRefusal(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 2}, func(c *testCluster) {
		c.setHandlers(faults["notRun"])
		w := c.send(0, "POST", "/x", "body", keyHeader)
		c.is.Equal(runStatusOf(w), "no")
		time.Sleep(time.Second)
		c.setHandlers(echo(0))
		c.is.Equal(c.send(1, "POST", "/x", "body", keyHeader, "X-Token: a").Code, 200)
		c.is.Equal(c.runCount("a"), 1)
	})
}

// Guards against a request that runs although its row was written after its deadline.
func TestIdempotencyRowWrittenAfterDeadline(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 2}, func(c *testCluster) {
		c.store.update(func(s *memoryStore) { s.delay = 2 * time.Second })
		w := c.send(0, "POST", "/x", "body", keyHeader, "X-Token: a", "Goldcrest-Timeout: 1s")
		c.is.Equal(w.Code, 503)
		c.is.Equal(runStatusOf(w), "no")
		c.is.Equal(c.runCount("a"), 0)
		c.store.update(func(s *memoryStore) { s.delay = 0 })
		time.Sleep(5 * time.Second)
		c.is.True(c.store.isDeleted("idem/archive/k1"))
		c.is.Equal(c.send(1, "POST", "/x", "body", keyHeader, "X-Token: a").Code, 200)
	})
}

// Guards against a response that is not recorded for repeats because the first caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 2, serviceTime: time.Second}, func(c *testCluster) {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		r := httptest.NewRequest("POST", "/v1/services/booking/x", strings.NewReader("body")).WithContext(ctx)
		r.Header = http.Header{"Authorization": {"Bearer archive"}, "Idempotency-Key": {"k1"}, "X-Token": {"a"}}
		c.daemons()[0].ServeService(httptest.NewRecorder(), r, "booking", "/x")
		time.Sleep(time.Second)
		c.is.Equal(c.send(1, "POST", "/x", "body", keyHeader).Body.String(), "POST /x body")
		c.is.Equal(c.runCount("a"), 1)
	})
}

// Guards against rows of daemons that have left, which no other daemon would delete.
func TestSweepOrphans(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 2}, func(c *testCluster) {
		c.send(1, "POST", "/x", "body", keyHeader)
		time.Sleep(time.Second)
		c.daemons()[0].SetMembers([]Member{{ID: "daemon-0"}})
		time.Sleep(2 * time.Minute)
		c.is.True(!c.store.isDeleted("idem/archive/k1"))
		// Its own daemon is stopped and can't delete the row.
		c.daemons()[1].cancel()
		time.Sleep(6 * time.Minute)
		c.is.True(c.store.isDeleted("idem/archive/k1"))
	})
}

// Guards against a recorded response without its body being replayed as complete.
func TestLargeResponseIsNotRecorded(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 1}, func(c *testCluster) {
		c.setHandlers(func(conn net.Conn, _ *http.Request, _ []byte) bool {
			return writeResponse(conn, "201 Created", strings.Repeat("x", maxRecordedResponse+1))
		})
		c.is.Equal(c.send(0, "POST", "/x", "", keyHeader).Code, 201)
		time.Sleep(time.Second)
		w := c.send(1, "POST", "/x", "", keyHeader)
		c.is.Equal(w.Code, 410)
		c.is.True(strings.Contains(w.Body.String(), "status 201"))
		c.is.Equal(c.runners[0].requestCount(), 1)
	})
}

// Guards against keys of one team that reach the rows of another, and against keys that break the row's key.
func TestIdempotencyKeyFormat(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 1, runners: 1}, func(c *testCluster) {
		c.is.Equal(c.send(0, "POST", "/x", "body", keyHeader).Code, 200)
		time.Sleep(time.Second)
		w := c.sendAs(0, "radio", cluster.ServiceName("booking"), "POST", "/x", "body", keyHeader)
		c.is.Equal(w.Header().Get(headerReplayed), "")
		c.is.Equal(c.runners[0].requestCount(), 2)
		for _, bad := range []string{"a/b", "a b", strings.Repeat("k", maxIdemKeyLength+1)} {
			c.is.Equal(c.send(0, "POST", "/x", "body", "Idempotency-Key: "+bad).Code, 400)
		}
	})
}
