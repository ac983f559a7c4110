package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/loopback"
	"github.com/goldcrestshift/goldcrestshift/platform/platformtest"
)

const (
	testKey     = "secret"
	testService = "pool"
	testHost    = "jobs.example"
	// patience bounds the waits of a test; nothing is measured by it.
	patience = 60 * time.Second
)

// deployment is a platform with daemons on loopback.
type deployment struct {
	t       *testing.T
	store   *platformtest.Store
	runners []*platformtest.Runner
	dir     string
	advice  string
	// shardWorkers is the setting of the daemons.
	shardWorkers int
}

// gate stands between one daemon and the store; it answers every call with its status unless that is zero.
type gate struct {
	status atomic.Int32
	next   http.Handler
}

// ServeHTTP passes a call on or turns it away.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if status := g.status.Load(); status != 0 {
		w.WriteHeader(int(status))
		return
	}
	g.next.ServeHTTP(w, r)
}

// instance is a daemon that runs.
type instance struct {
	front string
	ready string
	store *gate
	stop  context.CancelFunc
	done  chan error
}

func newDeployment(t *testing.T, runners int) *deployment {
	t.Helper()
	in := &deployment{t: t, store: &platformtest.Store{}, dir: t.TempDir()}
	in.advice = serve(t, platformtest.Advisor{})
	for i := range runners {
		r := platformtest.NewRunner(fmt.Sprintf("i-%d", i), 50*time.Millisecond)
		in.runners = append(in.runners, r)
		in.store.Put("servers", "", r.ID, r.Entry(testService, serve(t, r)))
	}
	in.configure(1, testKey)
	return in
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// configure writes the operator's row with one key.
func (in *deployment) configure(version int, key string) {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "q", "host": testHost, "path_prefix": "/q/", "service": testService, "timeout_ms": 3000, "target_duration_ms": 1000,
			"max_attempts": 3, "stretch": 2.0, "advice": map[string]any{"decide_ms": 1, "period_ms": 0.1, "valid_ms": 2000},
		}},
		"services": []map[string]any{{"name": testService}},
		"tenants":  []map[string]any{{"name": "team", "api_keys": []string{key}, "weight": 100, "cap": map[string]int{"cpu": 0}}},
	})
	if err != nil {
		in.t.Fatal(err)
	}
	in.store.Put("op", "", "config", data)
}

// start runs a daemon on ports of its own.
func (in *deployment) start(name string) *instance {
	in.t.Helper()
	reserved, err := loopback.Reserve(4)
	if err != nil {
		in.t.Fatal(err)
	}
	in.t.Cleanup(func() { _ = reserved.Close() })
	front, ready, internal, metrics := reserved.Addrs[0], reserved.Addrs[1], reserved.Addrs[2], reserved.Addrs[3]
	path := filepath.Join(in.dir, name+".yaml")
	store := &gate{next: in.store}
	settings := fmt.Sprintf(`
node_name: %q
ip: "127.0.0.1"
zone: "a"
region: "r"
listen_addrs: {front: "%s", ready: "%s"}
internal_ports: [%d, 65535]
limits: {cpu_share: 0.4, cores: 1, memory_mb: 512}
bounds: {max_hold_ms: 6000, grace_s: 6}
advice: %q
platform: {address: %q}
`, name, front, ready, internal.Port(), in.advice, serve(in.t, store))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		in.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	inst := &instance{
		front: "http://" + front.String(), ready: fmt.Sprintf("http://%s/api/ready", ready),
		store: store, stop: cancel, done: make(chan error, 1),
	}
	go func() {
		inst.done <- Run(ctx, Config{Settings: path, MetricsPort: metrics.Port(), ShardWorkers: in.shardWorkers, Out: io.Discard})
	}()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-inst.done }) }
	inst.stop = stop
	in.t.Cleanup(stop)
	in.eventually("the daemon is ready", func() bool {
		resp, err := http.Get(inst.ready)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return inst
}

func (in *deployment) eventually(what string, ok func() bool) {
	in.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			in.t.Fatalf("not after %s: %s", patience, what)
		}
	}
}

func (i *instance) send(t *testing.T, method, path, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, i.front+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = testHost
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

func jobPath(n int) string { return fmt.Sprintf("/q/%016x", n) }

const jobBody = `{"spec":"s","steps":[{"count":3,"cpu":500,"mem_mb":64,"estimate_ms":50},` +
	`{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":50,"after":[0],"gang":true}]}`

// submit hands a job in until a daemon accepts it.
func (in *deployment) submit(i *instance, n int) {
	in.t.Helper()
	in.eventually("the job is accepted", func() bool {
		status, _ := i.send(in.t, http.MethodPost, jobPath(n), testKey, jobBody)
		return status == http.StatusOK
	})
}

func (in *deployment) completed(i *instance, n int) {
	in.t.Helper()
	in.eventually("the job is completed", func() bool {
		_, body := i.send(in.t, http.MethodGet, jobPath(n), testKey, "")
		return body == `{"state":"completed"}`
	})
}

// startsOf counts the runs of the tasks of a job.
func (in *deployment) startsOf(n int) map[string]int {
	starts := map[string]int{}
	for _, r := range in.runners {
		for task, count := range r.Starts() {
			if strings.HasPrefix(task, fmt.Sprintf("%016x.", n)) {
				starts[task] += count
			}
		}
	}
	return starts
}

// Guards against a job that is lost, not finished or run twice on its way
// through the whole daemon: accepted by one, scheduled by another, asked for at
// both, handed in twice, and taken over when its owner leaves; with one shard
// and with one for each worker.
func TestJobsThroughTwoDaemons(t *testing.T) {
	for _, shardWorkers := range []int{3, 1} {
		t.Run(fmt.Sprintf("%d workers a shard", shardWorkers), func(t *testing.T) {
			in := newDeployment(t, 3)
			in.shardWorkers = shardWorkers
			testJobsThroughTwoDaemons(t, in)
		})
	}
}

func testJobsThroughTwoDaemons(t *testing.T, in *deployment) {
	is := is.New(t)
	first := in.start("vm-1")
	second := in.start("vm-2")
	for n := range 6 {
		in.submit([]*instance{first, second}[n%2], n)
		in.submit([]*instance{second, first}[n%2], n)
	}
	for n := range 6 {
		in.completed(first, n)
		in.completed(second, n)
	}
	first.stop()
	for n := 6; n < 12; n++ {
		in.submit(second, n)
	}
	for n := range 12 {
		in.completed(second, n)
		starts := in.startsOf(n)
		is.Equal(len(starts), 5) // every task ran
		for task, count := range starts {
			if count != 1 {
				t.Errorf("%s ran %d times", task, count)
			}
		}
	}
	status, _ := second.send(t, http.MethodGet, jobPath(99), testKey, "")
	is.Equal(status, http.StatusGone)
}

// Guards against a job that is refused although it was accepted, and one that
// is accepted twice, when the answers of the store are lost or it is down.
func TestSubmissionWhileStoreFails(t *testing.T) {
	is := is.New(t)
	in := newDeployment(t, 2)
	daemon := in.start("vm-1")
	in.store.LoseAnswers(2)
	in.submit(daemon, 1)
	in.completed(daemon, 1)

	in.store.SetDown(true)
	status, _ := daemon.send(t, http.MethodPost, jobPath(2), testKey, jobBody)
	is.Equal(status, http.StatusServiceUnavailable)
	in.store.SetDown(false)
	in.store.Forget()
	in.submit(daemon, 3)
	in.completed(daemon, 3)
	is.Equal(len(in.startsOf(2)), 0) // a refused job never runs
}

// Guards against a withdrawn key that goes on working, and against a
// cancellation that is forgotten.
func TestWithdrawnKeyAndCancellation(t *testing.T) {
	is := is.New(t)
	in := newDeployment(t, 1)
	daemon := in.start("vm-1")
	in.submit(daemon, 1)
	status, _ := daemon.send(t, http.MethodDelete, jobPath(1), testKey, "")
	is.Equal(status, http.StatusOK)
	in.eventually("the job has ended", func() bool {
		_, body := daemon.send(t, http.MethodGet, jobPath(1), testKey, "")
		return body == `{"state":"cancelled"}` || body == `{"state":"completed"}`
	})
	in.configure(2, "another")
	in.eventually("the old key is refused", func() bool {
		status, _ := daemon.send(t, http.MethodGet, jobPath(1), testKey, "")
		return status == http.StatusUnauthorized
	})
	status, _ = daemon.send(t, http.MethodGet, jobPath(1), "another", "")
	is.Equal(status, http.StatusOK)
}

// Guards against an owner that hears nothing of new jobs, and a daemon that
// accepts none, while the store turns it away and serves the others.
func TestStoreTurnsOneDaemonAway(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			in := newDeployment(t, 2)
			owner := in.start("vm-1")
			in.submit(owner, 1)
			in.completed(owner, 1)
			other := in.start("vm-2")
			in.submit(other, 2)
			in.completed(other, 2)
			owner.store.status.Store(int32(status))
			in.submit(owner, 3)
			in.submit(other, 4)
			for n := 3; n <= 4; n++ {
				in.completed(owner, n)
				in.completed(other, n)
			}
			in.configure(2, "another")
			in.eventually("the old key is refused", func() bool {
				status, _ := owner.send(t, http.MethodGet, jobPath(1), testKey, "")
				return status == http.StatusUnauthorized
			})
		})
	}
}
