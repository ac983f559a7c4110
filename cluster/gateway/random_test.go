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

// step is one event of a random run, a little after the one before.
type step struct {
	after  time.Duration
	kind   string
	daemon int
	runner int
	fault  string
	method string
	key    int
}

const longRunCount = 40

func drawSteps(rt *rapid.T) []step {
	kinds := []string{"request", "request", "request", "request", "request", "keyed", "keyed", "fault", "heal", "store", "lose", "leave", "restart"}
	methods := []string{"POST", "PATCH", "GET", "PUT"}
	names := slices.Sorted(maps.Keys(faults))
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			after:  time.Duration(rapid.IntRange(0, 400).Draw(rt, "after")) * time.Millisecond,
			kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			daemon: rapid.IntRange(0, 1).Draw(rt, "daemon"),
			runner: rapid.IntRange(0, 3).Draw(rt, "runner"),
			fault:  rapid.SampledFrom(names).Draw(rt, "fault"),
			method: rapid.SampledFrom(methods).Draw(rt, "method"),
			key:    rapid.IntRange(0, 4).Draw(rt, "key"),
		}
	}), longRunCount, 3*longRunCount).Draw(rt, "steps")
}

// randomRun collects what went wrong in a run.
type randomRun struct {
	c  *testCell
	mu sync.Mutex
	// keyed holds the tokens that must run at most once.
	once   map[string]bool
	errors []string
}

func (r *randomRun) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// Guards against requests that run twice, false "not run", foreign answers and
// leaked slots under random requests with several faults at a time.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		r := &randomRun{once: map[string]bool{}}
		synctest.Test(t, func(t *testing.T) {
			r.c = newCell(t, cellOptions{daemons: 2, runners: 4})
			defer r.c.close()
			r.play(steps)
		})
		if len(r.errors) > 0 {
			rt.Fatalf("%s", strings.Join(r.errors, "\n"))
		}
	})
}

func (r *randomRun) play(steps []step) {
	var wg sync.WaitGroup
	for i, s := range steps {
		time.Sleep(s.after)
		switch s.kind {
		case "request", "keyed":
			wg.Go(func() { r.request(i, s) })
		case "fault":
			r.c.runners[s.runner].set(faults[s.fault])
		case "heal":
			r.c.setAll(echo(50 * time.Millisecond))
			r.c.store.set(func(m *memoryStore) { m.down = false })
		case "store":
			r.c.store.set(func(m *memoryStore) { m.down = !m.down })
		case "lose":
			r.c.store.set(func(m *memoryStore) { m.loseAnswers++ })
		case "leave":
			r.c.daemons()[s.daemon].SetUpstreams(r.c.vms()[:3])
		case "restart":
			// All connections of a runner break.
			runner := r.c.runners[s.runner]
			runner.mu.Lock()
			for _, conn := range runner.conns {
				conn.Close()
			}
			runner.mu.Unlock()
			r.c.refresh()
		}
	}
	wg.Wait()
	r.c.store.set(func(m *memoryStore) { m.down = false })
	r.finish()
}

func (r *randomRun) request(i int, s step) {
	token := fmt.Sprintf("t%d", i)
	headers := []string{}
	if s.kind == "keyed" {
		s.method, token = "POST", fmt.Sprintf("k%d", s.key)
		headers = append(headers, "Idempotency-Key: "+token)
	}
	idempotent := idempotentByMethod[s.method]
	if !idempotent {
		r.mu.Lock()
		r.once[token] = true
		r.mu.Unlock()
	}
	w := r.c.ask(s.daemon, s.method, "/"+token, "", append(headers, "X-Token: "+token)...)
	if w.Code == http.StatusOK && strings.HasPrefix(w.Body.String(), s.method+" ") && w.Body.String() != s.method+" /"+token+" " {
		r.fail("%s %s got the answer %q", s.method, token, w.Body)
	}
	var p problemDocument
	if w.Code >= 400 && json.Unmarshal(w.Body.Bytes(), &p) == nil && p.Run == runNo && s.kind != "keyed" && r.c.ran(token) > 0 {
		r.fail("%s %s reported as not run, but it ran", s.method, token)
	}
}

func (r *randomRun) finish() {
	time.Sleep(2 * time.Minute)
	for token := range r.once {
		if n := r.c.ran(token); n > 1 {
			r.fail("%s ran %d times", token, n)
		}
	}
	for _, g := range r.c.daemons() {
		for _, s := range g.Status().Services {
			if s.InFlight != 0 || s.Queued != 0 {
				r.fail("%s: %d in flight and %d queued at the end", g.cfg.Self, s.InFlight, s.Queued)
			}
			r.checkConnections(g, s)
		}
	}
	row, err := decodeRow(r.c.store.value("slots/booking"))
	for id, h := range row {
		if err != nil || h.sum() > defaultSlots {
			r.fail("%d slots of %s lent: %v", h.sum(), id, err)
		}
	}
	for _, g := range r.c.daemons() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if err := g.Drain(ctx); err != nil {
			r.fail("%v", err)
		}
		cancel()
	}
}

func (r *randomRun) checkConnections(g *Gateway, s ServiceStatus) {
	for _, u := range s.Upstreams {
		runner := g.runner(s.Service, u.Upstream)
		if u.Connections != len(runner.idle) {
			r.fail("%s: %d connections to %s counted, %d idle and none in use", g.cfg.Self, u.Connections, u.Upstream, len(runner.idle))
		}
	}
}
