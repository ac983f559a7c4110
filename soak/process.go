package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/loopback"
	"github.com/goldcrestshift/goldcrestshift/platform"
)

const (
	// restartDelay is how long a process that has ended stays away.
	restartDelay = 300 * time.Millisecond
	// loadTime is how long a process may take until it can catch a signal.
	loadTime = 500 * time.Millisecond
	// graceTime is the time from SIGTERM to SIGKILL, as on the users' platform.
	graceTime = 6 * time.Second
	// memoryMB is the memory of the smallest VM of the users' deployments.
	memoryMB = 184
)

// process is one daemon, which is started again whenever it ends.
type process struct {
	name    string
	binary  string
	dir     string
	front   string
	metrics uint16
	// reserved keeps the addresses of the daemon while it is down.
	reserved *loopback.Reservation
	store    *proxy
	advice   *proxy
	// peers passes the connections of other daemons on.
	peers *proxy
	// shardWorkers is the setting of the daemon.
	shardWorkers int

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	done    chan struct{}
	// unclean is the last end that no signal of the soak explains.
	unclean error
	// started is when the running process was started.
	started time.Time
	// killed says that the soak has sent SIGKILL to the running process.
	killed bool
}

// newProcess writes the settings of a daemon; start runs it.
func newProcess(cfg config, name, storeAddr, adviceAddr string) (*process, error) {
	p := &process{name: name, binary: cfg.binary, dir: cfg.dir, shardWorkers: cfg.shardWorkers, done: make(chan struct{})}
	var err error
	if p.store, err = newProxy(storeAddr); err != nil {
		return nil, err
	}
	if p.advice, err = newProxy(adviceAddr); err != nil {
		return nil, err
	}
	if p.reserved, err = loopback.Reserve(4); err != nil {
		return nil, err
	}
	front, ready, internal, metrics := p.reserved.Addrs[0], p.reserved.Addrs[1], p.reserved.Addrs[2], p.reserved.Addrs[3]
	p.front, p.metrics = front.String(), metrics.Port()
	if p.peers, err = newProxy(internal.String()); err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(`node_name: %q
ip: "127.0.0.1"
zone: "a"
region: "r"
listen_addrs: {front: %q, ready: %q}
internal_ports: [%d, 65535]
limits: {cpu_share: 1, cores: 1, memory_mb: %d}
bounds: {max_hold_ms: 6000, grace_s: %g}
advice: %q
platform: {address: %q}
`, name, p.front, ready, internal.Port(), memoryMB, graceTime.Seconds(), p.advice.addr(), p.store.addr())
	return p, os.WriteFile(p.settings(), []byte(settings), 0o600)
}

func (p *process) settings() string { return filepath.Join(p.dir, p.name+".yaml") }

// run starts the daemon again until stop is called.
func (p *process) run() {
	defer close(p.done)
	for p.once() {
		time.Sleep(restartDelay)
	}
}

func (p *process) once() bool {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.note(err)
		return false
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.binary, "node", "--metrics-port", fmt.Sprint(p.metrics), "--advertise-addr", p.peers.addr(),
		"--shard-workers", fmt.Sprint(p.shardWorkers))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings())
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return false
	}
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		p.note(err)
		return false
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.killed, p.started = cmd, ended, false, time.Now()
	p.mu.Unlock()
	err = cmd.Wait()
	close(ended)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	if err != nil && !p.killed {
		p.unclean = fmt.Errorf("%s ended by itself: %w", p.name, err)
	}
	return !p.stopped
}

func (p *process) note(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unclean = errors.Join(p.unclean, fmt.Errorf("%s: %w", p.name, err))
}

// signal sends a signal to the running process and returns when it has ended, or nil if none runs.
func (p *process) signal(sig syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	loading := time.Since(p.started) < loadTime
	switch {
	case sig == syscall.SIGKILL, sig == syscall.SIGTERM && loading:
		p.killed = true
	case loading:
		// Before it can catch signals, SIGHUP would end the process, also if it is paused meanwhile.
		return p.ended
	}
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.unclean = err
	}
	return p.ended
}

// terminate sends SIGTERM, and SIGKILL after the grace time.
func (p *process) terminate() {
	ended := p.signal(syscall.SIGTERM)
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
	}
}

// stop ends the daemon for good and returns what was wrong with its ends.
func (p *process) stop() error {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.terminate()
	<-p.done
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Join(p.unclean, p.store.Close(), p.advice.Close(), p.peers.Close(), p.reserved.Close())
}
