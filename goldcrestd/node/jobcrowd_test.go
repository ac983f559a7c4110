package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
	"github.com/goldcrestshift/goldcrestshift/goldcrestd/crowd"
)

const (
	// crowdTeams is the number of teams besides that of testKey.
	crowdTeams = 3
	// firstCrowdJob is the number of the first job of a crowd; the ordinary jobs have lower ones.
	firstCrowdJob = 10_000
	// checkedRefusals is the number of refused jobs whose state is read afterwards.
	checkedRefusals = 5
)

// jobCrowd is a number of clients that submit whole jobs, each one call after another.
type jobCrowd struct {
	Group   string `json:"group"`
	Name    string `json:"name"`
	Clients int    `json:"clients"`
	Calls   int    `json:"calls"`
	Content string `json:"content"`
	// Teams is the number of teams that the clients belong to; zero means the team of the ordinary client.
	Teams int `json:"teams"`
	// Cancel makes the clients cancel each accepted job.
	Cancel bool `json:"cancel"`
	// Takeover ends the daemon after the crowd; another one must load the jobs.
	Takeover bool `json:"takeover"`
	// Daemons is the number of daemons of the cell; the last one gets the calls. Zero means one.
	Daemons int `json:"daemons"`
	// Beside is a group of crowds.json that comes to the daemon once it has accepted jobs, and while it loads those of its
	// predecessor.
	Beside string `json:"beside"`
	// Accepted means that each job must be accepted.
	Accepted bool `json:"accepted"`
}

// body returns a valid job that is large in the way that Content names. Without declared run times the job is never rejected
// for the load of the pool.
func (c *jobCrowd) body() string {
	spec, image := strings.Repeat("s", workload.MaxSpec), strings.Repeat("i", 200)
	const tasks = workload.MaxTasks / workload.MaxSteps
	var steps []string
	tail := ""
	switch c.Content {
	case "wide", "chained":
		var after []string
		for i := range workload.MaxSteps {
			steps = append(steps, fmt.Sprintf(`{"count":%d,"cpu":500,"mem_mb":64,"image":%q,"after":[%s]}`, tasks, image, strings.Join(after, ",")))
			if c.Content == "chained" {
				after = append(after, fmt.Sprint(i))
			}
		}
	case "tasks":
		spec, steps = "s", []string{fmt.Sprintf(`{"count":%d,"cpu":500}`, workload.MaxTasks)}
	case "names":
		steps = []string{fmt.Sprintf(`{"count":1,"cpu":500,"image":%q}`, strings.Repeat("i", 50_000))}
	case "recurring", "later":
		first := time.Now()
		if c.Content == "later" {
			first = first.Add(time.Hour)
		}
		for range workload.MaxSteps {
			steps = append(steps, `{"count":2,"cpu":500}`)
		}
		tail = fmt.Sprintf(`,"repeat_count":%d,"first_run_ms":%d,"interval_ms":1`, workload.MaxOccurrences, first.UnixMilli())
	}
	return fmt.Sprintf(`{"spec":%q,"steps":[%s]%s}`, spec, strings.Join(steps, ","), tail)
}

// teamKey returns the key of a team of the crowd.
func teamKey(team int) string { return fmt.Sprintf("secret-%d", team) }

// writeTeams writes a configuration with the teams of the crowd beside that of testKey.
func (c *testCluster) writeTeams() {
	teams := []map[string]any{{"name": "team", "api_keys": []string{testKey}, "weight": 100, "cap": map[string]int{"cpu": 0}}}
	for i := range crowdTeams {
		teams = append(teams, map[string]any{"name": fmt.Sprintf("team-%d", i), "api_keys": []string{teamKey(i)}, "weight": 100, "cap": map[string]int{"cpu": 0}})
	}
	data, err := json.Marshal(map[string]any{
		"version": 2,
		"routes": []map[string]any{{
			"name": "q", "host": testHost, "path_prefix": "/q/", "service": testService, "timeout_ms": 3000, "target_duration_ms": 1000, "max_attempts": 3, "stretch": 2.0,
		}},
		"services": []map[string]any{{"name": testService}},
		"tenants":  teams,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Put("op", "", "config", data)
}

// call sends one call and returns the status, or 0 without a response.
func (p *daemonProcess) call(client *http.Client, method, path, key, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+p.addrs["front"]+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = testHost
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// isRefusal reports whether a status says that a job was not accepted and never runs.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// send submits the jobs of the crowd and returns the number of calls by status and some of the jobs that were refused.
func (c *jobCrowd) send(daemon *daemonProcess) (statuses map[int]int, refused []int) {
	statuses = map[int]int{}
	body := c.body()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range c.Clients {
		wg.Go(func() {
			key := testKey
			if c.Teams > 0 {
				key = teamKey(i % c.Teams)
			}
			client := &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for k := range c.Calls {
				job := firstCrowdJob + i*c.Calls + k
				status, _ := daemon.call(client, http.MethodPost, jobPath(job), key, body)
				if c.Cancel && status == http.StatusOK {
					daemon.call(client, http.MethodDelete, jobPath(job), key, "")
				}
				mu.Lock()
				statuses[status]++
				if isRefusal(status) && c.Teams == 0 {
					refused = append(refused, job)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return statuses, refused
}

// runJobCrowds plays the cases of a group. Each checks that the daemons stay alive inside the limits of their settings and
// accept an ordinary job, that the repeat of an accepted job is not refused, and that refused jobs don't exist.
func runJobCrowds(t *testing.T, group string) {
	data, err := os.ReadFile("testdata/jobcrowds.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []jobCrowd
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, jobs := range cases {
		if jobs.Group == group {
			t.Run(jobs.Name, func(t *testing.T) { jobs.run(t) })
		}
	}
}

func (c *jobCrowd) run(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.writeTeams()
	var daemons []*daemonProcess
	for i := range max(1, c.Daemons) {
		daemon := cluster.startProcess(fmt.Sprintf("vm-%d", i+1))
		daemons = append(daemons, daemon)
		// The first daemon owns the pool once it has run a job.
		cluster.waitUntil("a job is accepted before the crowd comes", func() bool { return daemon.submit(i+1) == http.StatusOK })
		cluster.waitUntil("the job runs", func() bool {
			status, state := daemon.call(http.DefaultClient, http.MethodGet, jobPath(i+1), testKey, "")
			return status == http.StatusOK && strings.Contains(state, "completed")
		})
	}
	entry := daemons[len(daemons)-1]
	usages := map[*daemonProcess]*crowd.Usage{}
	for _, daemon := range daemons {
		usages[daemon] = crowd.Watch(daemon.cmd.Process.Pid, daemon.addrs)
	}
	statuses, refused := c.send(entry)
	t.Logf("calls by status: %v", statuses)
	if n := c.Clients * c.Calls; c.Accepted && statuses[http.StatusOK] != n {
		t.Errorf("%d of %d jobs were accepted", statuses[http.StatusOK], n)
	}
	cluster.waitForOwner(entry)
	defer c.runBeside(t, entry)()
	if c.Takeover {
		usages[entry].Stop()
		entry.checkUsage(t, usages[entry])
		_ = entry.cmd.Process.Kill()
		<-entry.exited
		entry = cluster.startProcess("vm-successor")
		daemons = []*daemonProcess{entry}
		usages[entry] = crowd.Watch(entry.cmd.Process.Pid, entry.addrs)
		defer c.runBeside(t, entry)()
		cluster.waitForOwner(entry)
	}
	c.checkAnswers(t, entry, refused)
	for _, daemon := range daemons {
		usages[daemon].Stop()
		daemon.checkUsage(t, usages[daemon])
	}
}

// runBeside runs the crowds that come beside the jobs, and returns a function that ends them.
func (c *jobCrowd) runBeside(t *testing.T, daemon *daemonProcess) (leave func()) {
	if c.Beside == "" {
		return func() {}
	}
	cases, err := crowd.Load("testdata/crowds.json", c.Beside)
	if err != nil {
		t.Fatal(err)
	}
	var leaves []func()
	for i := range cases {
		leaves = append(leaves, cases[i].Run(daemon.target()))
	}
	return func() {
		for _, leave := range leaves {
			leave()
		}
	}
}

// waitForOwner waits until the owner of the pool has handled the jobs that were accepted before: it counts those of the queue
// only between its steps, and a count may be pendingAge old.
func (c *testCluster) waitForOwner(daemon *daemonProcess) {
	c.t.Helper()
	const pendingAge, counts = time.Second, 3
	answered := 0
	c.waitUntil("the owner has handled the jobs", func() bool {
		status, _ := daemon.call(http.DefaultClient, http.MethodGet, "/q/", testKey, "")
		if status == http.StatusOK {
			answered++
			time.Sleep(pendingAge)
		}
		return answered == counts || !daemon.alive()
	})
}

// checkAnswers checks the answers to ordinary calls after the crowd.
func (c *jobCrowd) checkAnswers(t *testing.T, daemon *daemonProcess, refused []int) {
	const ordinaryJob = 100
	accepted, repeated := false, 0
	for end := time.Now().Add(crowdPatience); daemon.alive() && time.Now().Before(end) && !(accepted && repeated == http.StatusOK); time.Sleep(100 * time.Millisecond) {
		accepted = accepted || daemon.submit(ordinaryJob) == http.StatusOK
		if repeated = daemon.submit(1); isRefusal(repeated) {
			break
		}
	}
	if !accepted {
		t.Error("no ordinary job was accepted after the crowd")
	}
	if repeated != http.StatusOK {
		t.Errorf("the repeat of an accepted job got the status %d", repeated)
	}
	for _, job := range refused[:min(len(refused), checkedRefusals)] {
		if status, state := daemon.call(http.DefaultClient, http.MethodGet, jobPath(job), testKey, ""); status == http.StatusOK {
			t.Errorf("job %d was refused and exists: %s", job, state)
		}
	}
}

// Guards against accepted jobs that take memory without a bound.
func TestCrowdOfWholeJobs(t *testing.T) { runJobCrowds(t, "whole") }

// Guards against occurrences of scheduled jobs that take memory without a bound.
func TestCrowdOfRecurringJobs(t *testing.T) { runJobCrowds(t, "recurring") }

// Guards against ended jobs that keep the memory of their steps until they are forgotten.
func TestCrowdOfCancelledJobs(t *testing.T) { runJobCrowds(t, "cancelled") }

// Guards against a daemon that can't load the jobs that its predecessor accepted, so that one daemon after another ends.
func TestCrowdOfJobsIsLoadedBySuccessor(t *testing.T) { runJobCrowds(t, "takeover") }

// Guards against daemons that accept jobs for which the owner of their pool has no memory.
func TestCrowdOfJobsPassedToOwner(t *testing.T) { runJobCrowds(t, "passedOn") }

// Guards against limits that hold each by itself and not together, also while the jobs of a predecessor are loaded.
func TestCrowdBesideAcceptedJobs(t *testing.T) { runJobCrowds(t, "beside") }

// Guards against a limit that refuses a job although it is within the limits of a single job.
func TestCrowdLimitsAcceptLargestJobs(t *testing.T) { runJobCrowds(t, "largest") }
