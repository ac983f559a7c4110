package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/loopback"
	"github.com/goldcrestshift/goldcrestshift/goldcrestd/crowd"
)

const (
	// crowdMemoryMB and crowdMaxFDs are the limits of the daemon in its settings and the bounds of the tests.
	crowdMemoryMB = 144
	crowdMaxFDs   = 1024
	// attemptTimeout limits one attempt of the ordinary request, and crowdPatience all of them.
	attemptTimeout = 5 * time.Second
	crowdPatience  = 60 * time.Second
)

// crowdContent returns the body of a case.
func crowdContent(c *crowd.Case) []byte {
	switch c.Content {
	case "emptySteps":
		return crowd.Fill(`{"spec":"s","steps":[{}`, ",{}", "]}", c.BodyBytes)
	case "dependencies":
		return crowd.Fill(`{"spec":"s","steps":[{"count":1,"estimate_ms":50},{"count":1,"estimate_ms":50,"after":[0`, ",0", "]}]}", c.BodyBytes)
	}
	return crowd.Fill(jobBody, " ", "", c.BodyBytes)
}

// target is what the crowds of a daemon send to.
func (p *daemonProcess) target() *crowd.Target {
	return &crowd.Target{
		Addrs: p.addrs, Host: testHost, Key: testKey, Content: crowdContent,
		Path: func(connection int) string { return jobPath(1000 + connection) },
	}
}

// buildDaemon builds the daemon once for all tests, without the race detector, whose memory would count otherwise.
var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "goldcrestd-node-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "goldcrestd")
	if out, err := exec.Command("go", "build", "-o", path, "..").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build goldcrestd: %w\n%s", err, out)
	}
	return path, nil
})

// daemonProcess is a daemon that runs as a process of its own.
type daemonProcess struct {
	cmd    *exec.Cmd
	addrs  map[string]string
	log    *bytes.Buffer
	exited chan struct{}
}

// startProcess starts the daemon as a process with the limits of the crowd tests and waits until it is ready.
func (c *testCluster) startProcess(name string) *daemonProcess {
	c.t.Helper()
	program, err := buildDaemon()
	if err != nil {
		c.t.Fatal(err)
	}
	reserved, err := loopback.Reserve(4)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = reserved.Close() })
	p := &daemonProcess{addrs: map[string]string{}, log: &bytes.Buffer{}, exited: make(chan struct{})}
	for i, listener := range []string{"front", "ready", "peer", "metrics"} {
		p.addrs[listener] = reserved.Addrs[i].String()
	}
	path := filepath.Join(c.dir, name+".yaml")
	settings := fmt.Sprintf(`
node_name: %q
ip: "127.0.0.1"
zone: "a"
region: "r"
listen_addrs: {front: %q, ready: %q}
internal_ports: [%d, 65535]
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, max_fds: %d}
bounds: {max_hold_ms: 6000, grace_s: 6}
advice: %q
platform: {address: %q}
`, name, p.addrs["front"], p.addrs["ready"], reserved.Addrs[2].Port(), crowdMemoryMB, crowdMaxFDs, c.adviceAddr, serve(c.t, c.store))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p.cmd = exec.Command(program, "node", "--metrics-port", strconv.Itoa(int(reserved.Addrs[3].Port())))
	p.cmd.Env = append(os.Environ(), "GOLDCRESTSHIFT_NODE_FILE="+path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	c.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if log := p.log.Bytes(); c.t.Failed() {
			c.t.Logf("last log lines of the daemon:\n%s", log[max(0, len(log)-3000):])
		}
	})
	c.waitUntil("the daemon is ready", func() bool {
		resp, err := http.Get("http://" + p.addrs["ready"] + "/api/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// alive reports whether the process has not exited.
func (p *daemonProcess) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// submit sends one ordinary job on a connection of its own and returns the status, or 0 without a response.
func (p *daemonProcess) submit(n int) int {
	client := &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+p.addrs["front"]+jobPath(n), strings.NewReader(jobBody))
	if err != nil {
		return 0
	}
	req.Host = testHost
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkUsage checks that the daemon is alive and has stayed inside the limits of its settings.
func (p *daemonProcess) checkUsage(t *testing.T, usage *crowd.Usage) {
	t.Helper()
	peak, unread := crowd.PeakMemory(p.cmd.Process.Pid), usage.MaxUnread()
	t.Logf("memory %d KiB at its peak; %d KiB unread; %d descriptors", peak/cluster.KiB, unread/cluster.KiB, usage.MaxFDs())
	if !p.alive() {
		t.Error("the daemon has exited")
	}
	if peak == 0 || peak+unread >= crowdMemoryMB*cluster.MiB {
		t.Errorf("the daemon used %d KiB beside %d KiB unread; its limit is %d KiB", peak/cluster.KiB, unread/cluster.KiB, crowdMemoryMB<<10)
	}
	if n := usage.MaxFDs(); n >= crowdMaxFDs {
		t.Errorf("the daemon had %d open descriptors; its limit is %d", n, crowdMaxFDs)
	}
}

// runCrowds plays the cases of a group, each against a daemon of its own, and checks that the daemon stays alive
// inside the limits of its settings and still accepts an ordinary job.
func runCrowds(t *testing.T, group string) {
	cases, err := crowd.Load("testdata/crowds.json", group)
	if err != nil {
		t.Fatal(err)
	}
	if len(cases) == 0 {
		t.Fatalf("there is no case of the group %s", group)
	}
	for _, crowdCase := range cases {
		t.Run(crowdCase.Name, func(t *testing.T) {
			c := newTestCluster(t, 1)
			daemon := c.startProcess("vm-1")
			c.waitUntil("a job is accepted before the crowd comes", func() bool { return daemon.submit(1) == http.StatusOK })
			before := crowd.PeakMemory(daemon.cmd.Process.Pid)
			usage := crowd.Watch(daemon.cmd.Process.Pid, daemon.addrs)
			c.store.SetUnavailable(crowdCase.StoreUnavailable)
			leave := crowdCase.Run(daemon.target())
			defer leave()
			c.store.SetUnavailable(false)
			accepted := false
			for end := time.Now().Add(crowdPatience); !accepted && daemon.alive() && time.Now().Before(end); {
				if accepted = daemon.submit(2) == http.StatusOK; !accepted {
					time.Sleep(100 * time.Millisecond)
				}
			}
			usage.Stop()
			t.Logf("%d KiB before", before/cluster.KiB)
			daemon.checkUsage(t, usage)
			if !accepted {
				t.Error("no ordinary job was accepted beside the crowd")
			}
		})
	}
}

// Guards against bodies with a length that are kept in memory without a bound while they are incomplete.
func TestCrowdOfBodiesWithLength(t *testing.T) { runCrowds(t, "length") }

// Guards against chunked bodies that are kept in memory without a bound while they are incomplete.
func TestCrowdOfChunkedBodies(t *testing.T) { runCrowds(t, "chunked") }

// Guards against connections without a request or without a body that take all descriptors, and against headers
// that are kept in memory without a bound.
func TestCrowdOfUnfinishedHeaders(t *testing.T) { runCrowds(t, "headers") }

// Guards against connections with an unknown key that stay open until the rest of their body arrives.
func TestCrowdOfUnknownKeys(t *testing.T) { runCrowds(t, "unknownKeys") }

// Guards against bodies that take many times their size in memory while they are decoded.
func TestCrowdOfLargeDecodedJobs(t *testing.T) { runCrowds(t, "decoding") }

// Guards against jobs that are kept in memory without a bound while they wait for the store.
func TestCrowdOfJobsWaitingForStore(t *testing.T) { runCrowds(t, "storeWait") }

// Guards against strangers on the readiness port that take all memory or descriptors.
func TestCrowdOnReadinessPort(t *testing.T) { runCrowds(t, "ready") }

// Guards against strangers on the metrics port that take all memory or descriptors.
func TestCrowdOnMetricsPort(t *testing.T) { runCrowds(t, "metrics") }

// Guards against listeners whose limits hold for each of them and not together.
func TestCrowdOnAllListeners(t *testing.T) { runCrowds(t, "together") }

// Guards against connections without a handshake on the peer port that take all memory or descriptors.
func TestCrowdOnPeerPort(t *testing.T) { runCrowds(t, "peer") }
