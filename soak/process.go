package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/loopback"
	"github.com/goldcrestshift/goldcrestshift/platform"
)

const (
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// signalSetupTime is the longest time until a new process handles signals.
	signalSetupTime = 500 * time.Millisecond
	// gracePeriod is the time from SIGTERM to SIGKILL, as on the users' platform.
	gracePeriod = 6 * time.Second
	// memoryMB is the memory size of the smallest VM in the users' deployments.
	memoryMB = 184
)

// process is one daemon, which is restarted whenever it exits.
type process struct {
	name   string
	binary string
	dir    string
	// clientAddr is the address of the daemon's client API.
	clientAddr  string
	metricsPort uint16
	// reservation keeps the daemon's ports from being used by other processes while
	// it is down.
	reservation *loopback.Reservation
	storeProxy  *proxy
	adviceProxy *proxy
	// peerProxy forwards the connections of the other daemons.
	peerProxy *proxy
	// pid is the identifier of the last process.
	pid atomic.Int64
	// shardWorkers is the value of the daemon's flag --shard-workers.
	shardWorkers int

	mu sync.Mutex
	// cmd is the running process, or nil; exited is closed when it has exited.
	cmd           *exec.Cmd
	exited        chan struct{}
	stopRequested bool
	// removed means that the daemon is not started again and gets no calls.
	removed atomic.Bool
	// loopDone is closed when run has returned.
	loopDone chan struct{}
	// failure is the last exit that no signal of this program explains, or an error
	// in running the process.
	failure error
	// startedAt is when the running process was started.
	startedAt time.Time
	// killSent means that this program has sent SIGKILL to the running process, or
	// SIGTERM before the process could handle it.
	killSent bool
}

// newProcess writes the settings of a daemon; run starts it.
func newProcess(cfg config, name, storeAddr, adviceAddr string) (*process, error) {
	p := &process{name: name, binary: cfg.binary, dir: cfg.dir, shardWorkers: cfg.shardWorkers, loopDone: make(chan struct{})}
	sent, received := newLink(cfg.linkMbps), newLink(cfg.linkMbps)
	var err error
	if p.storeProxy, err = newLimitedProxy(storeAddr, sent, received); err != nil {
		return nil, err
	}
	if p.adviceProxy, err = newLimitedProxy(adviceAddr, sent, received); err != nil {
		return nil, err
	}
	if p.reservation, err = loopback.Reserve(4); err != nil {
		return nil, err
	}
	clientAddr, readyAddr, internalAddr, metricsAddr := p.reservation.Addrs[0], p.reservation.Addrs[1], p.reservation.Addrs[2], p.reservation.Addrs[3]
	p.clientAddr, p.metricsPort = clientAddr.String(), metricsAddr.Port()
	if p.peerProxy, err = newLimitedProxy(internalAddr.String(), received, sent); err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(`node_name: %q
ip: "127.0.0.1"
zone: "a"
region: "r"
listen_addrs: {front: %q, ready: %q}
internal_ports: [%d, 65535]
limits: {cpu_share: 1, cores: 1, memory_mb: %d, link_mbps: %g}
bounds: {max_hold_ms: 6000, grace_s: %g, evacuate_ms: %d}
advice: %q
platform: {address: %q}
`, name, p.clientAddr, readyAddr, internalAddr.Port(), memoryMB, cfg.linkMbps, gracePeriod.Seconds(), evacuateBound.Milliseconds(), p.adviceProxy.addr(), p.storeProxy.addr())
	return p, os.WriteFile(p.settingsPath(), []byte(settings), 0o600)
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, p.name+".yaml") }

// run starts the daemon and restarts it until stop is called.
func (p *process) run() {
	defer close(p.loopDone)
	for p.runOnce() {
		time.Sleep(restartDelay)
	}
}

// runOnce runs the daemon until it exits and returns whether to restart it.
func (p *process) runOnce() bool {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.recordError(err)
		return false
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.binary, "node", "--metrics-port", fmt.Sprint(p.metricsPort), "--advertise-addr", p.peerProxy.addr(),
		"--shard-workers", fmt.Sprint(p.shardWorkers))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	if p.stopRequested {
		p.mu.Unlock()
		return false
	}
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		p.recordError(err)
		return false
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.killSent, p.startedAt = cmd, exited, false, time.Now()
	p.pid.Store(int64(cmd.Process.Pid))
	p.mu.Unlock()
	err = cmd.Wait()
	close(exited)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	if err != nil && !p.killSent {
		p.failure = fmt.Errorf("%s exited by itself: %w", p.name, err)
	}
	return !p.stopRequested
}

// recordError adds an error in running the process to its failure.
func (p *process) recordError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = errors.Join(p.failure, fmt.Errorf("%s: %w", p.name, err))
}

// signal sends a signal to the running process and returns a channel that is
// closed when the process has exited, or nil if none is running.
func (p *process) signal(sig syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	startingUp := time.Since(p.startedAt) < signalSetupTime
	switch {
	case sig == syscall.SIGKILL, sig == syscall.SIGTERM && startingUp:
		p.killSent = true
	case startingUp:
		// SIGHUP would kill a process that doesn't handle signals yet. The other signals
		// are skipped too, since a process paused by SIGSTOP would not be ready to
		// handle SIGHUP when signalSetupTime is over.
		return p.exited
	}
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.failure = err
	}
	return p.exited
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (p *process) terminate() {
	exited := p.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		p.signal(syscall.SIGKILL)
	}
}

// remove ends the daemon for good.
func (p *process) remove(sig syscall.Signal) {
	p.removed.Store(true)
	p.mu.Lock()
	p.stopRequested = true
	p.mu.Unlock()
	if sig == syscall.SIGTERM {
		p.terminate()
		return
	}
	p.signal(sig)
}

// stop stops the daemon without a restart and returns its failure.
func (p *process) stop() error {
	p.mu.Lock()
	p.stopRequested = true
	p.mu.Unlock()
	p.terminate()
	<-p.loopDone
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Join(p.failure, p.storeProxy.Close(), p.adviceProxy.Close(), p.peerProxy.Close(), p.reservation.Close())
}
