package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	gracePeriod  = 6 * time.Second
	restartDelay = 500 * time.Millisecond
)

// machine is an entry VM with its daemon, which is restarted whenever it ends.
type machine struct {
	name, zone, region string
	ip                 string
	front, ready       string
	internalPort       int
	dir, binary        string
	args               []string
	record             *record
	isReady            atomic.Bool
	launched           bool

	mu      sync.Mutex
	process *os.Process
	stopped bool
	done    chan struct{}
}

// settingsText is the settings file as DEPLOY.md shows it, with the figures of the small deployments.
const settingsText = `node_name: %q
role: "scheduler"
machine_class: "frontend"
serves:
  - "frontend"
ip: %q
zone: %q
region: %q
zones:
  zuerich-a: "deutschschweiz"
  lausanne-a: "romandie"
  bern-a: "deutschschweiz"
listen_addrs:
  front: %q
  ready: %q
internal_ports:
  - %d
  - %d
seeds: []
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4200, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform", "advice", "upkeep", "sharing"]
fault_tolerance: {machines: 2, zones: 0, regions: 0}
bounds:
  contact_ms: 4000
  ack_ms: 5000
  drain_ms: 3000
  grace_s: 6
  config_apply_ms: 3000
  recovery_s: 12
  max_hold_ms: 6000
  stop_timeout_ms: 900
  gang_timeout_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  lease_ms: 3000
orders: "call"
advice: %q
platform:
  address: %q
  form: "table"
  writes_per_s: 600
  reads_per_s: 2000
  tx_ms: 6.0
  part_writes_s: 200
  row_bytes: 65536
  across: false
  history_s: 20
cloud_api: {address: %q, rate_per_s: 60.0, duties: [], duty_per_s: 60.0}
`

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newMachine writes the settings of a machine. Each has a loopback address of its own.
func newMachine(e *env, index int, name, zone, region, storeAddr string) (*machine, error) {
	m := &machine{
		name: name, zone: zone, region: region, ip: fmt.Sprintf("127.%d.%d.%d", e.net[0], e.net[1], index+1), dir: e.dir, binary: e.binary,
		record: e.record, done: make(chan struct{}),
	}
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(m.ip); err != nil {
			return nil, err
		}
	}
	m.front, m.ready, m.internalPort = fmt.Sprintf("%s:%d", m.ip, ports[0]), fmt.Sprintf("%s:%d", m.ip, ports[1]), ports[2]
	unused := m.ip + ":9"
	text := fmt.Sprintf(settingsText, name, m.ip, zone, region, m.front, m.ready, m.internalPort, min(m.internalPort+15, 65535), unused, storeAddr, unused)
	return m, os.WriteFile(m.settingsPath(), []byte(text), 0o600)
}

func (m *machine) settingsPath() string { return filepath.Join(m.dir, m.name+".yaml") }

// launch starts the daemon and keeps it running until stop is called.
func (m *machine) launch() {
	m.launched = true
	go m.run()
}

// run starts the daemon again whenever it ends.
func (m *machine) run() {
	defer close(m.done)
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer func() { _ = log.Close() }()
	for {
		cmd := exec.Command(m.binary, append([]string{"node"}, m.args...)...)
		// The programs start in the root of the repository.
		cmd.Dir = filepath.Dir(filepath.Dir(m.binary))
		cmd.Env = []string{"GOLDCRESTSHIFT_NODE_FILE=" + m.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = log, log
		m.mu.Lock()
		if m.stopped {
			m.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			m.mu.Unlock()
			m.record.add("machine %s: the daemon does not start: %v", m.name, err)
			return
		}
		m.process = cmd.Process
		m.mu.Unlock()
		m.record.add("machine %s (%s): daemon started", m.name, m.zone)
		err := cmd.Wait()
		m.mu.Lock()
		m.process = nil
		stopped := m.stopped
		m.mu.Unlock()
		m.record.add("machine %s: daemon ended (%v)", m.name, err)
		if stopped {
			return
		}
		time.Sleep(restartDelay)
	}
}

// pid returns the process of the daemon, and 0 if none is running.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	return m.process.Pid
}

// terminate sends SIGTERM, and SIGKILL after the grace period if the same process still runs.
func (m *machine) terminate() {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	if p == nil {
		return
	}
	m.record.add("machine %s: SIGTERM", m.name)
	_ = p.Signal(syscall.SIGTERM)
	time.AfterFunc(gracePeriod, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.process == p {
			_ = p.Kill()
		}
	})
}

// stop ends the daemon for good.
func (m *machine) stop() {
	if !m.launched {
		return
	}
	m.mu.Lock()
	m.stopped = true
	if m.process != nil {
		_ = m.process.Signal(syscall.SIGCONT)
		_ = m.process.Kill()
	}
	m.mu.Unlock()
	<-m.done
}

// probe asks once per second whether the daemon is ready, as the platform does.
func (m *machine) probe(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	misses := 0
	for {
		resp, err := client.Get("http://" + m.ready + "/api/ready")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
			m.isReady.Store(true)
		} else if misses++; misses >= 2 {
			m.isReady.Store(false)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// peerProxy forwards the connections of other daemons to a machine. While the path between two machines is cut, it
// passes nothing on and leaves the connections open.
type peerProxy struct {
	listener net.Listener
	target   *machine
	env      *env
	cut      func(from, to *machine) bool
}

func newPeerProxy(target *machine) (*peerProxy, error) {
	l, err := net.Listen("tcp", target.ip+":0")
	return &peerProxy{listener: l, target: target}, err
}

func (p *peerProxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// forward forwards a connection between the daemon that has opened it and the target.
func (p *peerProxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := p.env.callerOf(c)
	for from != nil && p.cut(from, p.target) {
		time.Sleep(50 * time.Millisecond)
	}
	t, err := net.Dial("tcp", net.JoinHostPort(p.target.ip, strconv.Itoa(p.target.internalPort)))
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	isCut := func() bool { return from != nil && p.cut(from, p.target) }
	go func() { passOn(t, c, isCut); _ = t.Close(); _ = c.Close() }()
	passOn(c, t, isCut)
}

// passOn copies bytes; what arrives while the path is cut is held up.
func passOn(dst io.Writer, src io.Reader, isCut func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for isCut() {
			time.Sleep(20 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func randomNet() [2]int { return [2]int{16 + rand.IntN(200), 1 + rand.IntN(250)} }
