package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cell is a small deployment: the store, runners and daemons in processes of their own.
type cell struct {
	store   *store
	runners []*runner
	// daemons are those whose machines have not been removed, all are those that were ever started.
	daemons, all []*daemon
	machines     int
	ports        []int
	dir          string
	began        time.Time
	storeAt      string
	binary       string

	mu     sync.Mutex
	record *os.File
	events []event
}

// daemon is a process of the project.
type daemon struct {
	index                        int
	name, ip, front, ready, file string
	log                          *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	down bool
}

func newCell(binary, recordPath string) (*cell, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	c := &cell{store: newStore(), dir: dir, began: time.Now(), record: record, binary: binary}
	c.storeAt, err = serve(c.store)
	return c, err
}

func serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, h) }()
	return listener.Addr().String(), nil
}

// say writes a line to the record.
func (c *cell) say(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

func (c *cell) observe(e event) {
	c.say("runner %s: %s %s run %d", e.runner, e.kind, e.task, e.run)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// eventsOf returns the events of the tasks of a job.
func (c *cell) eventsOf(job string) []event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []event
	for _, e := range c.events {
		if strings.HasPrefix(e.task, job+".") {
			list = append(list, e)
		}
	}
	return list
}

// addRunners adds runners of a service, all of 16 cores.
func (c *cell) addRunners(service string, n int, duration func(task string) time.Duration) error {
	for range n {
		i := len(c.runners)
		r := &runner{
			id: fmt.Sprintf("i-%s-%02d", service, i), service: service, zone: fmt.Sprintf("z%d", i%3), labels: []string{"a", fmt.Sprintf("r%d-%d", i%3, i/8)},
			cpu: 16000, duration: duration, notify: c.observe, store: c.store,
		}
		if err := r.begin(); err != nil {
			return err
		}
		c.runners = append(c.runners, r)
	}
	return nil
}

// route is a queue of the manifest.
type route struct{ name, host, prefix, service string }

const (
	tenantKey = "key-of-tenant-1"
	// deadline is how long requesters wait for an answer.
	deadline = 3 * time.Second
)

// manifest writes a version of the manifest. The time of the return is that of the ack.
func (c *cell) manifest(version int, routes ...route) {
	var list []map[string]any
	services := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 3000,
			"priority": 1, "service": r.service, "max_attempts": 3, "stretch": 2.2, "allow_anonymous": false,
		})
		services[r.service] = true
	}
	for _, r := range c.runners {
		services[r.service] = true
	}
	var named []map[string]any
	for name := range services {
		named = append(named, map[string]any{"name": name, "admission_check": false, "health_path": "/health", "max_conns": 64})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": named, "limits": map[string]any{},
		"tenants": []map[string]any{{"name": "t1", "api_keys": []string{tenantKey}, "weight": 100, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
	if err != nil {
		panic(err)
	}
	c.store.put("op", "config", data)
	c.say("operator: manifest %d acknowledged: %s", version, data)
}

// addDaemons starts n daemons.
func (c *cell) addDaemons(n int) error {
	for i := range n {
		if err := c.addDaemon(fmt.Sprintf("z%d", i%3), fmt.Sprintf("frontend-z%d-%d", i%3, i/3+1)); err != nil {
			return err
		}
	}
	return nil
}

// addDaemon starts a daemon on a machine with a loopback address of its own.
func (c *cell) addDaemon(zone, name string) error {
	if c.ports == nil {
		ports, err := freePorts(4)
		if err != nil {
			return err
		}
		c.ports = ports
	}
	c.machines++
	i, p := c.machines, c.ports
	d := &daemon{index: i - 1, name: name, ip: fmt.Sprintf("127.73.%d.%d", 1+os.Getpid()%250, i)}
	d.front, d.ready = fmt.Sprintf("%s:%d", d.ip, p[0]), fmt.Sprintf("%s:%d", d.ip, p[1])
	d.file = filepath.Join(c.dir, fmt.Sprintf("node-%d.yaml", i))
	settings := fmt.Sprintf(settingsText, name, d.ip, zone, zone, d.front, d.ready, d.ip, p[2], p[3], p[3]+8, d.ip, p[2], c.storeAt)
	if err := os.WriteFile(d.file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("daemon-%d.log", i)))
	if err != nil {
		return err
	}
	d.log = log
	c.daemons, c.all = append(c.daemons, d), append(c.all, d)
	return c.start(d)
}

// remove removes the machine of a daemon for good: SIGTERM, and SIGKILL after grace_s.
func (c *cell) remove(d *daemon) {
	c.say("daemon %d: SIGTERM, the machine %s is removed for good", d.index, d.name)
	d.mu.Lock()
	d.down = true
	d.mu.Unlock()
	d.signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { d.signal(syscall.SIGKILL) })
}

// grace is grace_s of a small installation.
const grace = 6 * time.Second

// freePorts returns ports that are free on 127.0.0.1.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

const settingsText = `node_name: "%s"
role: "scheduler"
machine_class: "frontend"
serves:
  - "frontend"
ip: "%s"
zone: "%s"
region: "r"
zones:
  %s: "r"
listen_addrs:
  front: "%s"
  ready: "%s"
  control: "%s:%d"
internal_ports:
  - %d
  - %d
seeds:
  - "%s:%d"
bootstrap: true
loss_counts: false
limits:
  cpu_share: 0.4
  cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
bounds:
  contact_ms: 4000
  ack_ms: 5000
  drain_ms: 3000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 3000
  max_hold_ms: 6000
  stop_timeout_ms: 400
  gang_timeout_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  finish_s: 14
  status_s: 120
orders: "call"
platform:
  address: "%s"
  form: "table"
  writes_per_s: 600
  reads_per_s: 2000
  tx_ms: 6.0
  part_writes_s: 200
  row_bytes: 65536
  across: false
  history_s: 20
`

// start starts the process of a daemon with the command of deploy/system.toml. It is started again when it ends.
func (c *cell) start(d *daemon) error {
	cmd := exec.Command(c.binary, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTSHIFT_NODE_FILE=" + d.file}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	// The process ends with this one, whatever ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd = cmd
	c.say("daemon %d: started on %s, process %d", d.index, d.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		c.say("daemon %d: process %d ended: %v", d.index, cmd.Process.Pid, err)
		time.Sleep(restartDelay)
		_ = c.start(d)
	}()
	return nil
}

// restartDelay is the short delay after which a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s)
}

// close ends all processes.
func (c *cell) close(keepLogs bool) {
	for _, d := range c.all {
		d.mu.Lock()
		d.down = true
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
		}
		d.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	if keepLogs {
		fmt.Println("logs in", c.dir)
	} else {
		_ = os.RemoveAll(c.dir)
	}
	_ = c.record.Close()
}

// answer is the answer to a call of a requester; its status is 0 if there was none.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call makes a call of a requester.
func (c *cell) call(d *daemon, method, host, path string, body any) answer {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+d.front+path, content)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		c.say("requester: %s %s at daemon %d: no answer after %d ms: %v", method, path, d.index, time.Since(sent).Milliseconds(), err)
		return answer{at: time.Now()}
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(data), at: time.Now()}
	c.say("requester: %s %s at daemon %d: %d %s after %d ms", method, path, d.index, a.status, a.body, time.Since(sent).Milliseconds())
	return a
}

// isReady reports whether a daemon reports itself ready.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (c *cell) awaitReady() error {
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range c.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(c.daemons) {
			c.say("all daemons are ready")
			return nil
		}
	}
	return fmt.Errorf("the daemons are not ready after 30 s")
}

// step is a step of a job.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem_mb"`
	EstimateMS int   `json:"estimate_ms"`
	After      []int `json:"after,omitempty"`
}

type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// chain returns a job whose steps run one after the other.
func chain(steps, estimateMS int) jobBody {
	j := jobBody{Spec: "chain"}
	for i := range steps {
		s := step{Count: 1, CPU: 1000, MemMB: 256, EstimateMS: estimateMS}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// submit hands a job in until a daemon has accepted it, as requesters do.
func (c *cell) submit(r route, id string, body any, first int) bool {
	for i := range 5 {
		a := c.call(c.daemons[(first+i)%len(c.daemons)], http.MethodPost, r.host, r.prefix+id, body)
		if a.status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (c *cell) state(d *daemon, r route, id string) string {
	a := c.call(d, http.MethodGet, r.host, r.prefix+id, nil)
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(a.body), &s)
	if a.status != http.StatusOK {
		return fmt.Sprint(a.status)
	}
	return s.State
}

// await asks for the state of a job until it is the wanted one.
func (c *cell) await(r route, id, want string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if c.state(c.daemons[0], r, id) == want {
			return true
		}
	}
	return false
}
