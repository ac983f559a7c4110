package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/goldcrestd/crowd"
)

const (
	// crowdMemory and crowdMaxFDs are the limits of the daemon and the bounds of the tests.
	crowdMemory = 160 * cluster.MiB
	crowdMaxFDs = 1024
	// crowdPatience limits the attempts of the ordinary requests after a crowd.
	crowdPatience = 60 * time.Second
)

// startLimitedDaemon starts a daemon whose memory and descriptors are limited.
func (c *testCluster) startLimitedDaemon() (p *process, addrs map[string]string) {
	reserved := reserveAddrs(c.t, 2)
	addrs = map[string]string{"http": reserved[0], "peer": reserved[1]}
	p = c.startCommand(limitFDs(exec.Command(filepath.Join(c.binDir, "goldcrestd"), "serve", "--http-addr", reserved[0], "--peer-addr", reserved[1],
		"--region", smallPlaces[0][0], "--zone", smallPlaces[0][1], "--store-region", smallPlaces[0][0],
		"--platform-url", "http://"+c.platformAddr, "--name", "entry-limited", "--memory-limit-mib", fmt.Sprint(int64(crowdMemory/cluster.MiB)))))
	p.url = "http://" + reserved[0]
	return p, addrs
}

// limitFDs makes a command run with at most crowdMaxFDs descriptors.
func limitFDs(cmd *exec.Cmd) *exec.Cmd {
	args := append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, crowdMaxFDs)}, cmd.Args...)
	return exec.Command("sh", args...)
}

// crowdContent returns the body of a case.
func crowdContent(c *crowd.Case) []byte {
	job := `{"id":"crowd","workload":"batch","tasks":1,"cpus":0.5,"memory":"512MiB","runTime":"1s","idempotent":true,"command":["1s"`
	return crowd.Fill(job, `,"x"`, `]}`, c.BodyBytes)
}

// runCrowds plays the cases of a group, each against a daemon of its own in a cell of two, and checks that the daemon
// stays alive inside its limits and still serves an ordinary request and accepts an ordinary job.
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
			c := newTestCluster(t, 1, testNote)
			daemon, addrs := c.startLimitedDaemon()
			c.waitUntil("the daemon is ready", func() bool { return c.get(daemon.url+"/readyz", nil) == nil })
			c.waitUntil("a request is served before the crowd comes", func() bool { return c.sendOrdinary(daemon) == http.StatusOK })
			pid := daemon.cmd.Process.Pid
			before := crowd.PeakMemory(pid)
			usage := crowd.Watch(pid, addrs)
			leave := crowdCase.Run(&crowd.Target{
				Addrs: addrs, Host: "cell.example", Key: testSecret, Content: crowdContent,
				Path: func(int) string { return crowdCase.Path },
			})
			defer leave()
			served, accepted := false, false
			for end := time.Now().Add(crowdPatience); time.Now().Before(end) && !(served && accepted); time.Sleep(100 * time.Millisecond) {
				served = served || c.sendOrdinary(daemon) == http.StatusOK
				status, _ := c.send(http.MethodPost, daemon.url+"/v1/queues/batch/jobs", testSecret, nil, []byte(strings.Replace(ordinaryJob, "ID", "after", 1)))
				accepted = accepted || status == http.StatusCreated || status == http.StatusOK
			}
			usage.Stop()
			peak, unread := crowd.PeakMemory(pid), usage.MaxUnread()
			t.Logf("memory %d KiB before, %d KiB at its peak; %d KiB unread; %d descriptors", before/cluster.KiB, peak/cluster.KiB, unread/cluster.KiB, usage.MaxFDs())
			select {
			case <-daemon.exited:
				t.Error("the daemon has exited")
			default:
			}
			if !served || !accepted {
				t.Errorf("beside the crowd an ordinary request was served: %t; an ordinary job was accepted: %t", served, accepted)
			}
			if peak == 0 || peak+unread >= crowdMemory {
				t.Errorf("the daemon used %d KiB beside %d KiB unread; its limit is %d KiB", peak/cluster.KiB, unread/cluster.KiB, crowdMemory/cluster.KiB)
			}
			if n := usage.MaxFDs(); n >= crowdMaxFDs {
				t.Errorf("the daemon had %d open descriptors; its limit is %d", n, crowdMaxFDs)
			}
		})
	}
}

// acceptedJobs is the number of whole jobs that are accepted in TestCrowdOfAcceptedJobs, each with the most tasks.
const (
	acceptedJobs = 300
	// acceptedJobCalls is the number of calls after which no more jobs are submitted.
	acceptedJobCalls = 1500
)

// Guards against accepted jobs that take memory without a bound.
func TestCrowdOfAcceptedJobs(t *testing.T) {
	c := newTestCluster(t, 1, testNote)
	daemon, addrs := c.startLimitedDaemon()
	c.waitUntil("the daemon is ready", func() bool { return c.get(daemon.url+"/readyz", nil) == nil })
	c.waitUntil("a request is served before the crowd comes", func() bool { return c.sendOrdinary(daemon) == http.StatusOK })
	// The daemon that is left owns all racks.
	c.daemons[0].signal(t, syscall.SIGKILL)
	<-c.daemons[0].exited
	c.waitUntil("a job is accepted before the crowd comes", func() bool {
		status, _ := c.send(http.MethodPost, daemon.url+"/v1/queues/batch/jobs", testSecret, nil, []byte(strings.Replace(ordinaryJob, "ID", "before", 1)))
		return status == http.StatusCreated || status == http.StatusOK
	})
	pid := daemon.cmd.Process.Pid
	usage := crowd.Watch(pid, addrs)
	accepted, refused := 0, 0
	for end := time.Now().Add(crowdPatience); accepted < acceptedJobs && accepted+refused < acceptedJobCalls && time.Now().Before(end); {
		job := strings.Replace(strings.Replace(ordinaryJob, "ID", fmt.Sprintf("crowd-%d", accepted), 1), `"tasks":1`, fmt.Sprintf(`"tasks":%d`, api.MaxTasks), 1)
		job = strings.Replace(job, `"1s"]`, fmt.Sprintf(`"1s",%q]`, strings.Repeat("x", 16_000)), 1)
		status, _ := c.send(http.MethodPost, daemon.url+"/v1/queues/batch/jobs", testSecret, nil, []byte(job))
		if status == http.StatusCreated || status == http.StatusOK {
			accepted++
		} else {
			refused++
		}
	}
	c.waitUntil("an ordinary request is served", func() bool { return c.sendOrdinary(daemon) == http.StatusOK })
	usage.Stop()
	peak := crowd.PeakMemory(pid)
	t.Logf("%d accepted, %d calls refused; memory %d KiB at its peak", accepted, refused, peak/cluster.KiB)
	if peak == 0 || peak+usage.MaxUnread() >= crowdMemory {
		t.Errorf("the daemon used %d KiB; its limit is %d KiB", peak/cluster.KiB, crowdMemory/cluster.KiB)
	}
}

// ordinaryJob is a job whose identifier replaces ID.
const ordinaryJob = `{"id":"ID","workload":"batch","tasks":1,"cpus":0.5,"memory":"512MiB","runTime":"1s","idempotent":true,"command":["1s"]}`

// sendOrdinary sends an ordinary request to the service and returns the status.
func (c *testCluster) sendOrdinary(p *process) int {
	status, _ := c.send(http.MethodPost, p.url+"/v1/services/echo/confirm", testSecret, nil, []byte("ordinary"))
	return status
}

// Guards against bodies of requests to services that are kept in memory without a bound while they are incomplete.
func TestCrowdOfServiceRequests(t *testing.T) { runCrowds(t, "request") }

// Guards against bodies of submissions that are kept in memory without a bound while they are incomplete.
func TestCrowdOfSubmissions(t *testing.T) { runCrowds(t, "job") }

// Guards against bodies of operators' calls and cancellations that are kept in memory without a bound.
func TestCrowdOfOperatorCalls(t *testing.T) { runCrowds(t, "operator") }

// Guards against connections whose bodies are not read and stay open.
func TestCrowdOfSkippedBodies(t *testing.T) { runCrowds(t, "unknownKeys") }

// Guards against connections without a request that take all descriptors, and headers without a bound.
func TestCrowdOfHeaders(t *testing.T) { runCrowds(t, "headers") }

// Guards against connections without a handshake on the peer port that take all memory or descriptors.
func TestCrowdOnPeerAddress(t *testing.T) { runCrowds(t, "peer") }
