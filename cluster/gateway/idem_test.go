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

const key = "Idempotency-Key: k1"

func runOf(w *httptest.ResponseRecorder) string {
	var p problemDocument
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	return string(p.Run)
}

// repeatCase is one repeat of an Idempotency-Key at another daemon.
type repeatCase struct {
	Name string
	// Fault is the runner's behaviour for the first request; State is when the repeat comes.
	Fault, State string
	Body         string
	Status       int
	Run          string
	Replayed     bool
	Ran          int
}

// Guards against a repeat of an Idempotency-Key that runs the request again or gets a wrong answer.
func TestRepeatsAtAnotherDaemon(t *testing.T) {
	for _, tc := range loadCases[repeatCase](t, "repeats.json") {
		t.Run(tc.Name, func(t *testing.T) {
			runCell(t, cellOptions{daemons: 2, runners: 3}, func(c *testCell) { tc.check(c) })
		})
	}
}

func (tc *repeatCase) check(c *testCell) {
	c.setAll(faults[tc.Fault])
	first := make(chan *httptest.ResponseRecorder, 1)
	go func() { first <- c.ask(0, "POST", "/x", "body", key, "X-Token: a") }()
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
	w := c.ask(1, "POST", "/x", tc.Body, key, "X-Token: a")
	c.is.Equal(w.Code, tc.Status)
	c.is.Equal(runOf(w), tc.Run)
	c.is.Equal(w.Header().Get(headerReplayed) == "true", tc.Replayed)
	time.Sleep(20 * time.Second)
	c.is.Equal(c.ran("a"), tc.Ran)
}

// Guards against repeats that run a request whose outcome is known or in progress at the same daemon.
func TestRepeatsAtTheSameDaemon(t *testing.T) {
	runCell(t, cellOptions{daemons: 1, runners: 2, took: time.Second}, func(c *testCell) {
		codes := make(chan int, 20)
		for range 20 {
			go func() { codes <- c.ask(0, "POST", "/x", "body", key, "X-Token: a").Code }()
		}
		counts := map[int]int{}
		for range 20 {
			counts[<-codes]++
		}
		c.is.Equal(counts[200], 1)
		c.is.Equal(counts[409], 19)
		// The answer is replayed from memory while its record can't be written.
		c.store.set(func(s *memoryStore) { s.down = true })
		c.is.Equal(c.ask(0, "POST", "/x", "body", key, "X-Token: a").Code, 200)
		c.is.Equal(c.ran("a"), 1)
	})
}

// Guards against keyed requests that run without a row, and rows left behind by requests that did not run.
func TestKeysWithStoreFaults(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 2}, func(c *testCell) {
		c.store.set(func(s *memoryStore) { s.down = true })
		w := c.ask(0, "POST", "/x", "body", key, "X-Token: a")
		c.is.Equal(w.Code, 503)
		c.is.Equal(runOf(w), "no")
		c.is.True(w.Header().Get("Retry-After") != "")
		c.is.Equal(c.ask(0, "POST", "/x", "body", "X-Token: b").Code, 200) // without a key no row is needed
		c.store.set(func(s *memoryStore) { s.down, s.loseAnswers = false, 1 })
		c.is.Equal(c.ask(0, "POST", "/x", "body", key, "X-Token: a").Code, 200) // the answer of the insertion was lost
		time.Sleep(time.Second)
		c.store.set(func(s *memoryStore) { s.loseAnswers = 1 })
		c.is.Equal(c.ask(1, "POST", "/x", "body", key, "X-Token: a").Code, 200)
		c.is.Equal(c.ran("a"), 1)
	})
}

// Guards against a row that keeps a request from being tried again although it was not run.
func TestRefusedKeyCanBeUsedAgain(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 2}, func(c *testCell) {
		c.setAll(faults["notRun"])
		w := c.ask(0, "POST", "/x", "body", key)
		c.is.Equal(runOf(w), "no")
		time.Sleep(time.Second)
		c.setAll(echo(0))
		c.is.Equal(c.ask(1, "POST", "/x", "body", key, "X-Token: a").Code, 200)
		c.is.Equal(c.ran("a"), 1)
	})
}

// Guards against a request that runs although its row was written after its deadline.
func TestSlowInsertion(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 2}, func(c *testCell) {
		c.store.set(func(s *memoryStore) { s.delay = 2 * time.Second })
		w := c.ask(0, "POST", "/x", "body", key, "X-Token: a", "Goldcrest-Timeout: 1s")
		c.is.Equal(w.Code, 503)
		c.is.Equal(runOf(w), "no")
		c.is.Equal(c.ran("a"), 0)
		c.store.set(func(s *memoryStore) { s.delay = 0 })
		time.Sleep(5 * time.Second)
		c.is.True(c.store.deleted("idem/archive/k1"))
		c.is.Equal(c.ask(1, "POST", "/x", "body", key, "X-Token: a").Code, 200)
	})
}

// Guards against an answer that is lost for repeats because the first caller has gone.
func TestCallerGone(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 2, took: time.Second}, func(c *testCell) {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		r := httptest.NewRequest("POST", "/v1/services/booking/x", strings.NewReader("body")).WithContext(ctx)
		r.Header = http.Header{"Authorization": {"Bearer archive"}, "Idempotency-Key": {"k1"}, "X-Token": {"a"}}
		c.daemons()[0].ServeService(httptest.NewRecorder(), r, "booking", "/x")
		time.Sleep(time.Second)
		c.is.Equal(c.ask(1, "POST", "/x", "body", key).Body.String(), "POST /x body")
		c.is.Equal(c.ran("a"), 1)
	})
}

// Guards against rows of daemons that have left, which nobody would delete.
func TestSweepOfOrphans(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 2}, func(c *testCell) {
		c.ask(1, "POST", "/x", "body", key)
		time.Sleep(time.Second)
		c.daemons()[0].SetMembers([]Member{{ID: "daemon-0"}})
		time.Sleep(2 * time.Minute)
		c.is.True(!c.store.deleted("idem/archive/k1"))
		// Its own daemon is paused for good.
		c.daemons()[1].stop()
		time.Sleep(6 * time.Minute)
		c.is.True(c.store.deleted("idem/archive/k1"))
	})
}

// Guards against a recorded answer without the body being replayed as complete.
func TestLargeAnswerOfKey(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 1}, func(c *testCell) {
		c.setAll(func(conn net.Conn, _ *http.Request, _ []byte) bool {
			return reply(conn, "201 Created", strings.Repeat("x", maxKept+1))
		})
		c.is.Equal(c.ask(0, "POST", "/x", "", key).Code, 201)
		time.Sleep(time.Second)
		w := c.ask(1, "POST", "/x", "", key)
		c.is.Equal(w.Code, 410)
		c.is.True(strings.Contains(w.Body.String(), "status 201"))
		c.is.Equal(c.runners[0].count(), 1)
	})
}

// Guards against keys of one team that reach another's rows, and keys that break the row's name.
func TestKeyNames(t *testing.T) {
	runCell(t, cellOptions{daemons: 1, runners: 1}, func(c *testCell) {
		c.is.Equal(c.ask(0, "POST", "/x", "body", key).Code, 200)
		time.Sleep(time.Second)
		w := c.askAs(0, "radio", cluster.ServiceName("booking"), "POST", "/x", "body", key)
		c.is.Equal(w.Header().Get(headerReplayed), "")
		c.is.Equal(c.runners[0].count(), 2)
		for _, bad := range []string{"a/b", "a b", strings.Repeat("k", maxKeyLength+1)} {
			c.is.Equal(c.ask(0, "POST", "/x", "body", "Idempotency-Key: "+bad).Code, 400)
		}
	})
}
