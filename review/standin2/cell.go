package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
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

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cell is a small deployment: daemons as separate processes beside the stand-ins.
type cell struct {
	rec     *record
	tmp     string
	store   *store
	addr    string // of the store
	runners []*runner
	daemons []*daemon
	client  *http.Client
	version int
	keyTeam map[string]string
}

type daemon struct {
	name, ip, zone string
	front, ready   string
	peer           string
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
	log            *os.File
}

func newCell(dir string) (*cell, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cell{rec: &record{file: file, start: time.Now()}, tmp: tmp, store: newStore(), client: &http.Client{Timeout: 4 * time.Second}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.addr = l.Addr().String()
	go func() { _ = http.Serve(l, c.store) }()
	return c, nil
}

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addDaemon writes the settings of a daemon, as those of a small deployment.
func (c *cell) addDaemon(zone string) error { return c.addDaemonAt(zone, nil) }

// addDaemonAt is addDaemon for a daemon to which a view of the store is served; nil is the store itself.
func (c *cell) addDaemonAt(zone string, view func(*daemon) http.Handler) error {
	i := len(c.daemons) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250), i)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return err
	}
	d := &daemon{name: fmt.Sprintf("frontend-%s-%d", zone, i), ip: ip, zone: zone}
	d.front, d.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	d.peer = fmt.Sprintf("%s:%d", ip, ports[2])
	storeAddr := c.addr
	if view != nil {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		storeAddr = l.Addr().String()
		go func() { _ = http.Serve(l, view(d)) }()
	}
	d.settings = filepath.Join(c.tmp, d.name+".yaml")
	region, south := "north", "north"
	if view != nil {
		south = "south"
		if zone == "zone-b" {
			region = south
		}
	}
	text := fmt.Sprintf(`node_name: "%s"
role: "scheduler"
machine_class: "frontend"
serves:
  - "frontend"
ip: "%s"
zone: "%s"
region: "%s"
zones:
  zone-a: "north"
  zone-b: "%s"
listen_addrs:
  front: "%s"
  ready: "%s"
internal_ports:
  - %d
  - %d
seeds: []
bootstrap: true
limits:
  cpu_share: 0.4
  cores: 1
  memory_mb: 284
  max_fds: 4200
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
heartbeat_ms: 1500
bounds:
  contact_ms: 4000
  config_apply_ms: 3000
  drain_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  grace_s: 6
  finish_s: 14
  max_hold_ms: 6000
  stop_timeout_ms: 900
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
`, d.name, d.ip, d.zone, region, south, d.front, d.ready, ports[2], ports[2]+1, storeAddr)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if d.log, err = os.Create(filepath.Join(c.tmp, d.name+".log")); err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	return nil
}

// start starts the process of a daemon with the command of the deploy file.
func (c *cell) start(d *daemon) error {
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	d.cmd = exec.Command(filepath.Join(root, "target", "goldcrestd"), "node")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTSHIFT_NODE_FILE=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.done = done
	go func(cmd *exec.Cmd) { _ = cmd.Wait(); close(done) }(d.cmd)
	c.rec.add("daemon %s started", d.name)
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace of 6 s.
func (c *cell) stop(d *daemon) {
	c.rec.add("SIGTERM to daemon %s", d.name)
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(6 * time.Second):
		_ = d.cmd.Process.Kill()
		<-d.done
		c.rec.add("daemon %s was killed after its grace", d.name)
		return
	}
	c.rec.add("daemon %s has ended", d.name)
}

func (c *cell) close() {
	for _, d := range c.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill()
			<-d.done
		}
		_ = d.log.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, d := range c.daemons {
			data, _ := os.ReadFile(d.log.Name())
			_ = os.WriteFile(filepath.Join(keep, d.name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(c.tmp)
	_ = c.rec.file.Close()
}

func (c *cell) isReady(d *daemon) bool {
	resp, err := c.client.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(limit time.Duration, what func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if what() {
			return true
		}
	}
	return what()
}

// route is a queue of the manifest.
type route struct{ name, prefix, service string }

// capCPU is the cap of the tenant in thousandths of a core; 0 is no limit.
var capCPU = 0

// urgentRoutes are the routes with priority 0; the others have 1.
var urgentRoutes = map[string]bool{}

const (
	host = "stall.example"
	key  = "3fexd9dnn2ctnfzs989a"
)

// manifest writes a version of the manifest; the answer of the store is its ack.
func (c *cell) manifest(services []string, routes ...route) {
	c.version += 3
	var r, s []map[string]any
	for _, x := range routes {
		priority := 1
		if urgentRoutes[x.name] {
			priority = 0
		}
		r = append(r, map[string]any{
			"name": x.name, "host": host, "path_prefix": x.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 3000,
			"priority": priority, "service": x.service, "max_attempts": 3, "stretch": 4.0, "allow_anonymous": false,
		})
	}
	for _, x := range services {
		s = append(s, map[string]any{
			"name": x, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false,
		})
	}
	c.store.put("op", "config", map[string]any{
		"version": c.version, "routes": r, "services": s, "limits": map[string]any{},
		"tenants": []map[string]any{{"name": "kaje80", "api_keys": []string{key}, "weight": 50, "cap": map[string]int{"cpu": capCPU, "mem_mb": 0, "gpu": 0}}},
	})
	c.rec.add("manifest %d acknowledged: routes %v", c.version, routes)
}

// call sends a call of a requester to a daemon; the status is 0 if there was no answer.
func (c *cell) call(d *daemon, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in until it is accepted, at one daemon after the other.
func (c *cell) submit(prefix, id, body string) bool {
	for i := range 10 {
		status, text := c.call(c.daemons[i%len(c.daemons)], http.MethodPost, prefix+id, body)
		c.rec.add("requester: POST %s -> %d %s", prefix+id, status, text)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job until there is an answer with status 200 or 410.
func (c *cell) state(prefix, id string) (int, string) {
	var status int
	var text string
	for i := range 12 {
		status, text = c.call(c.daemons[i%len(c.daemons)], http.MethodGet, prefix+id, "")
		if status == http.StatusOK || status == http.StatusGone {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	c.rec.add("requester: GET %s -> %d %s", prefix+id, status, text)
	return status, text
}

// addRunner starts a runner.
func (c *cell) addRunner(id, service string, work time.Duration, labels ...string) *runner {
	r := &runner{id: id, service: service, zone: "zone-a", addr: "127.0.0.1:0", rec: c.rec, st: c.store, cpu: 4000, mem: 8192, work: work}
	r.boot(labels...)
	c.runners = append(c.runners, r)
	return r
}

// startDaemons starts n daemons and waits until all are ready.
func (c *cell) startDaemons(n int) error {
	for i := range n {
		if err := c.addDaemon([]string{"zone-a", "zone-b"}[i%2]); err != nil {
			return err
		}
	}
	for _, d := range c.daemons {
		if err := c.start(d); err != nil {
			return err
		}
	}
	if !await(15*time.Second, func() bool {
		for _, d := range c.daemons {
			if !c.isReady(d) {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("the daemons are not ready")
	}
	c.rec.add("all daemons are ready")
	return nil
}

// fault reports whether the disruption is to be played.
func fault() bool { return os.Getenv("TROUBLE") != "0" }
