package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host     = "booking.example"
	apiKey   = "requester-key-1"
	otherKey = "requester-key-2"
	// configApply is config_apply_ms, cancelTime cancel_ms, visible visible_ms and finish finish_s of the settings.
	configApply = 3000 * time.Millisecond
	cancelTime  = 3000 * time.Millisecond
	visible     = 3000 * time.Millisecond
	finish      = 14 * time.Second
)

// env is the deployment of a case: the platform, its runners and the machines with their daemons.
type env struct {
	dir, binary string
	net         [2]int
	record      *record
	store       *store
	fleet       *fleet
	machines    []*machine
	stop        chan struct{}
	listeners   []io.Closer
	// cut is set while the regions have no path to each other.
	cut        atomic.Bool
	manifestNo int
	// secondTenant is the key of a second tenant; empty if there is only one.
	secondTenant string
	closed       atomic.Bool
}

func newEnv(binary, recordPath string) (*env, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	s := newStore()
	return &env{dir: dir, binary: binary, net: randomNet(), record: r, store: s, fleet: newFleet(s, r), stop: make(chan struct{})}, nil
}

// serve serves a handler on a free port of a loopback address and returns the address.
func (e *env) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	e.listeners = append(e.listeners, l)
	server := &http.Server{Handler: h, ConnContext: e.withCaller}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

type place struct{ name, zone, region string }

// smallDeployment is the machines of the smallest deployment.
var smallDeployment = []place{
	{"frontend-zuerich-a-1", "zuerich-a", "deutschschweiz"},
	{"frontend-zuerich-a-2", "zuerich-a", "deutschschweiz"},
	{"frontend-lausanne-a-1", "lausanne-a", "romandie"},
	{"frontend-lausanne-a-2", "lausanne-a", "romandie"},
	{"frontend-lausanne-a-3", "lausanne-a", "romandie"},
	{"frontend-bern-a-1", "bern-a", "deutschschweiz"},
}

// addWorkers adds runners of a service, n in each zone, 8 a rack.
func (e *env) addWorkers(service string, n int) {
	for zi, p := range []place{{"", "zuerich-a", "deutschschweiz"}, {"", "lausanne-a", "romandie"}, {"", "bern-a", "deutschschweiz"}} {
		for i := range n {
			e.fleet.add(fmt.Sprintf("i-%s-%d%02d", service, zi, i), service, p.zone, p.region, fmt.Sprintf("r%d-%d", zi, i/8), 16000)
		}
	}
}

// start starts the platform, the runners and the daemons. With regions, the connections between daemons pass through
// proxies, and e.cut cuts every path that crosses from one region to the other.
func (e *env) start(regions bool) error {
	storeAddr, err := e.serve("127.0.0.1", e.path(storeRegion, e.store.handler()))
	if err != nil {
		return err
	}
	for _, w := range e.fleet.workers {
		w.reachesStore = func() bool { return !e.cut.Load() || w.region == storeRegion }
		if w.address, err = e.serve("127.0.0.1", e.path(w.region, w)); err != nil {
			return err
		}
	}
	for i, p := range smallDeployment {
		m, err := newMachine(e, i, p.name, p.zone, p.region, storeAddr)
		if err != nil {
			return err
		}
		e.machines = append(e.machines, m)
	}
	if regions {
		if err := e.startPeerProxies(); err != nil {
			return err
		}
	}
	go e.fleet.loop(e.stop)
	for _, m := range e.machines {
		m.launch()
		go m.probe(e.stop)
	}
	return e.await(30*time.Second, "the daemons to be ready", func() bool {
		for _, m := range e.machines {
			if !m.isReady.Load() {
				return false
			}
		}
		return true
	})
}

// storeRegion is the region in which the platform's store stands.
const storeRegion = "deutschschweiz"

// path is the network between the daemons and a server in a region. While the path of a caller is cut, its requests do not
// arrive and answers to it are lost; the connections stay open and silent.
func (e *env) path(region string, server http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := caller(r)
		cut := func() bool { return e.cut.Load() && from != nil && from.region != region }
		// The body has to be read first, as only then the server notices that the client has left.
		body, err := io.ReadAll(r.Body)
		if err != nil || cut() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		held := &heldAnswer{header: http.Header{}}
		server.ServeHTTP(held, r)
		if cut() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		held.send(w)
	})
}

// heldAnswer keeps an answer until the path is known to be open.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldAnswer) Header() http.Header         { return h.header }
func (h *heldAnswer) WriteHeader(status int)      { h.status = status }
func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }

func (h *heldAnswer) send(w http.ResponseWriter) {
	for name, values := range h.header {
		w.Header()[name] = values
	}
	w.WriteHeader(max(h.status, http.StatusOK))
	_, _ = w.Write(h.body.Bytes())
}

func (e *env) startPeerProxies() error {
	for _, m := range e.machines {
		p, err := newPeerProxy(m)
		if err != nil {
			return err
		}
		p.env = e
		p.cut = func(from, to *machine) bool { return e.cut.Load() && from.region != to.region }
		e.listeners = append(e.listeners, p.listener)
		m.args = []string{"--advertise-addr", p.listener.Addr().String()}
		go p.serve()
	}
	return nil
}

// close ends the daemons and the platform and removes the temporary folder, unless KEEP names that it is to stay.
func (e *env) close() {
	if !e.closed.CompareAndSwap(false, true) {
		return
	}
	for _, m := range e.machines {
		m.stop()
	}
	close(e.stop)
	for _, l := range e.listeners {
		_ = l.Close()
	}
	e.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	} else {
		fmt.Println("logs in", e.dir)
	}
}

// await waits until a condition holds.
func (e *env) await(limit time.Duration, what string, condition func() bool) error {
	for over := time.Now().Add(limit); time.Now().Before(over); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("waited %s for %s", limit, what)
}

// route is an entry of the manifest.
type route struct {
	name, prefix, service string
	anonymous             bool
	timeoutMS             int
}

// writeManifest writes the next version of the manifest; the answer of the store is its ack.
func (e *env) writeManifest(routes []route, keys []string) {
	e.manifestNo += 3
	services := map[string]bool{}
	var rs, ss []map[string]any
	for _, r := range routes {
		services[r.service] = true
		rs = append(rs, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 3000,
			"priority": 1, "service": r.service, "max_attempts": 3, "stretch": 4.0, "allow_anonymous": r.anonymous,
		})
	}
	for _, w := range e.fleet.workers {
		services[w.service] = true
	}
	for s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false})
	}
	tenants := []map[string]any{tenant("tenant-1", keys)}
	if e.secondTenant != "" {
		tenants = append(tenants, tenant("tenant-2", []string{e.secondTenant}))
	}
	data, _ := json.Marshal(map[string]any{
		"version": e.manifestNo, "routes": rs, "services": ss,
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	e.store.put("op", "config", data)
	var text []string
	for _, r := range routes {
		text = append(text, fmt.Sprintf("%s (%s) to %s", r.name, r.prefix, r.service))
	}
	e.record.add("operator: manifest %d acknowledged: routes %s; %d keys", e.manifestNo, strings.Join(text, ", "), len(keys))
}

// tenant is an entry of the manifest.
func tenant(name string, keys []string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1, "weight": 38, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}
}

// step is a step of a job as requesters send it.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"mem_mb"`
	EstimateMS  int   `json:"estimate_ms"`
	After       []int `json:"after,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
	// RequiredLabel is the label that a runner must have.
	RequiredLabel string `json:"required_label,omitempty"`

	work time.Duration
}

// job is a job of a requester.
type job struct {
	id     string
	prefix string
	key    string
	steps  []step
	acked  time.Time
}

func (e *env) newJob(prefix, key string, steps ...step) *job {
	var b [8]byte
	_, _ = rand.Read(b[:])
	j := &job{id: hex.EncodeToString(b[:]), prefix: prefix, key: key, steps: steps}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for i, s := range steps {
		t := taskTerms{work: s.work, lasting: s.LongRunning}
		if s.Gang {
			t.gang = s.Count
		}
		e.fleet.terms[fmt.Sprintf("%s.0.%d", j.id, i)] = t
	}
	return j
}

// tasks returns the names of the tasks of a step.
func (j *job) tasks(step int) []string {
	var list []string
	for i := range j.steps[step].Count {
		list = append(list, fmt.Sprintf("%s.0.%d.%d", j.id, step, i))
	}
	return list
}

// call sends a call to a machine; the status is 0 if there is no whole answer.
func (e *env) call(m *machine, method, path, key string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	status, reply := 0, map[string]any{}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
			_ = json.Unmarshal(answer, &reply)
		}
	}
	e.record.add("requester: %s %s at %s: %s", method, path, m.name, describe(status, reply))
	return status, reply
}

func describe(status int, reply map[string]any) string {
	if status == 0 {
		return "no answer"
	}
	text, _ := json.Marshal(reply)
	return fmt.Sprintf("%d %s", status, text)
}

// front returns the machine that the platform forwards a new channel to: a ready one, of the given region unless that is
// empty, and another one for each try.
func (e *env) front(region string, try int) *machine {
	var list []*machine
	for _, m := range e.machines {
		if m.isReady.Load() && (region == "" || m.region == region) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return e.machines[try%len(e.machines)]
	}
	return list[try%len(list)]
}

// submit hands a job in, with up to five tries.
func (e *env) submit(j *job) error {
	body := map[string]any{"spec": "book " + j.id, "steps": j.steps}
	for try := range 5 {
		status, _ := e.call(e.front("", try), http.MethodPost, j.prefix+j.id, j.key, body)
		if status == http.StatusOK {
			j.acked = time.Now()
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", j.id)
}

// submitAt hands a job in at one machine, once, and returns whether it was accepted.
func (e *env) submitAt(j *job, m *machine) bool {
	status, _ := e.call(m, http.MethodPost, j.prefix+j.id, j.key, map[string]any{"spec": "book " + j.id, "steps": j.steps})
	j.acked = time.Now()
	return status == http.StatusOK
}

// state asks for the state of a job, with up to three tries while there is no answer or one of 429, 503 and 504.
func (e *env) state(j *job) (status int, state string) {
	for try := range 3 {
		var reply map[string]any
		status, reply = e.call(e.front("", try), http.MethodGet, j.prefix+j.id, j.key, nil)
		if status == http.StatusOK || status >= 400 && status < 429 {
			state, _ = reply["state"].(string)
			return status, state
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, state
}
