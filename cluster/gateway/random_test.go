package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// step is one event of a random run; delay is the time since the previous step.
type step struct {
	delay  time.Duration
	kind   string
	daemon int
	runner int
	fault  string
	method string
	key    int
}

// minSteps is the least number of steps of a run; the most is three times as many.
const minSteps = 40

// drawSteps draws the steps of a run. Requests are more frequent than other kinds; a keyed
// request is a POST request with an Idempotency-Key.
func drawSteps(rt *rapid.T) []step {
	kinds := []string{"request", "request", "request", "request", "request", "keyed", "keyed", "fault", "heal", "store", "lose", "leave", "restart"}
	methods := []string{"POST", "PATCH", "GET", "PUT"}
	faultNames := slices.Sorted(maps.Keys(faults))
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			delay:  time.Duration(rapid.IntRange(0, 400).Draw(rt, "after")) * time.Millisecond,
			kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			daemon: rapid.IntRange(0, 1).Draw(rt, "daemon"),
			runner: rapid.IntRange(0, 3).Draw(rt, "runner"),
			fault:  rapid.SampledFrom(faultNames).Draw(rt, "fault"),
			method: rapid.SampledFrom(methods).Draw(rt, "method"),
			key:    rapid.IntRange(0, 4).Draw(rt, "key"),
		}
	}), minSteps, 3*minSteps).Draw(rt, "steps")
}

// randomRun collects the failures of a run.
type randomRun struct {
	c  *testCluster
	mu sync.Mutex
	// atMostOnce holds the tokens of the requests that must run at most once.
	atMostOnce map[string]bool
	errors     []string
}

func (r *randomRun) failf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// Guards against requests that run twice, wrong "not run" reports, responses to other requests
// and leaked slots, under random requests with several faults at a time.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		r := &randomRun{atMostOnce: map[string]bool{}}
		synctest.Test(t, func(t *testing.T) {
			r.c = newTestCluster(t, clusterOptions{daemons: 2, runners: 4})
			defer r.c.close()
			r.execute(steps)
		})
		if len(r.errors) > 0 {
			rt.Fatalf("%s", strings.Join(r.errors, "\n"))
		}
	})
}

func (r *randomRun) execute(steps []step) {
	var wg sync.WaitGroup
	for i, s := range steps {
		time.Sleep(s.delay)
		switch s.kind {
		case "request", "keyed":
			wg.Go(func() { r.sendRequest(i, s) })
		case "fault":
			r.c.runners[s.runner].setHandler(faults[s.fault])
		case "heal":
			r.c.setHandlers(echo(50 * time.Millisecond))
			r.c.store.update(func(m *memoryStore) { m.unavailable = false })
		case "store": // toggle the availability of the store
			r.c.store.update(func(m *memoryStore) { m.unavailable = !m.unavailable })
		case "lose": // lose the reply to a commit
			r.c.store.update(func(m *memoryStore) { m.lostReplies++ })
		case "leave": // remove the last runner from the list of one daemon
			r.c.daemons()[s.daemon].SetUpstreams(r.c.vms()[:3])
		case "restart":
			// Close all connections of the runner.
			runner := r.c.runners[s.runner]
			runner.mu.Lock()
			for _, conn := range runner.conns {
				conn.Close()
			}
			runner.mu.Unlock()
			r.c.updateDaemons()
		}
	}
	wg.Wait()
	r.c.store.update(func(m *memoryStore) { m.unavailable = false })
	r.checkFinalState()
}

func (r *randomRun) sendRequest(i int, s step) {
	token := fmt.Sprintf("t%d", i)
	headers := []string{}
	if s.kind == "keyed" {
		s.method, token = "POST", fmt.Sprintf("k%d", s.key)
		headers = append(headers, "Idempotency-Key: "+token)
	}
	idempotent := idempotentMethods[s.method]
	if !idempotent {
		r.mu.Lock()
		r.atMostOnce[token] = true
		r.mu.Unlock()
	}
	w := r.c.send(s.daemon, s.method, "/"+token, "", append(headers, "X-Token: "+token)...)
	if w.Code == http.StatusOK && strings.HasPrefix(w.Body.String(), s.method+" ") && w.Body.String() != s.method+" /"+token+" " {
		r.failf("%s %s got the response %q", s.method, token, w.Body)
	}
	var p problemDocument
	if w.Code >= 400 && json.Unmarshal(w.Body.Bytes(), &p) == nil && p.Run == runStatusNo && s.kind != "keyed" && r.c.runCount(token) > 0 {
		r.failf("%s %s was reported as not run, but it was run", s.method, token)
	}
}

// checkFinalState checks the run counts, the counters of the daemons and the allocations, and drains the daemons.
func (r *randomRun) checkFinalState() {
	time.Sleep(2 * time.Minute)
	for token := range r.atMostOnce {
		if n := r.c.runCount(token); n > 1 {
			r.failf("%s ran %d times", token, n)
		}
	}
	for _, g := range r.c.daemons() {
		for _, s := range g.Status().Services {
			if s.InFlight != 0 || s.Queued != 0 {
				r.failf("%s: %d in flight and %d queued at the end", g.cfg.Self, s.InFlight, s.Queued)
			}
			r.checkConnections(g, s)
		}
	}
	row, err := decodePoolRow(r.c.store.rowValue("slots/booking"))
	for id, alloc := range row {
		if err != nil || alloc.total() > defaultSlots {
			r.failf("%d slots of %s are allocated: %v", alloc.total(), id, err)
		}
	}
	for _, g := range r.c.daemons() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if err := g.Drain(ctx); err != nil {
			r.failf("%v", err)
		}
		cancel()
	}
}

// checkConnections requires that the counted connections to each runner are exactly the idle ones.
func (r *randomRun) checkConnections(g *Gateway, s ServiceStatus) {
	for _, u := range s.Upstreams {
		runner := g.runner(s.Service, u.Upstream)
		if u.Connections != len(runner.idleConns) {
			r.failf("%s: %d connections to %s counted, %d idle and none in use", g.cfg.Self, u.Connections, u.Upstream, len(runner.idleConns))
		}
	}
}
