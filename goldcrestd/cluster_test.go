package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/loopback"
)

// smallPlaces holds the region and the zone of each place of platformd's cell "small"; the store is in the first region.
var smallPlaces = [][2]string{{"north", "n-1"}, {"south", "s-1"}}

// waitTimeout ends a test that hangs; no test depends on how long a step takes.
const waitTimeout = 2 * time.Minute

// buildPrograms builds the programs once for all tests and returns their directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "goldcrestd-test-")
	if err != nil {
		return "", err
	}
	for _, program := range []string{"goldcrestd", "platformd"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, program), "../"+program).CombinedOutput()
		if err != nil {
			return dir, fmt.Errorf("build %s: %w\n%s", program, err, out)
		}
	}
	return dir, nil
})

// testCluster consists of platformd, which simulates the platform, and several
// daemons, each in its own process.
type testCluster struct {
	t            *testing.T
	is           *is.I
	binDir       string
	platformAddr string
	adminURL     string
	daemons      []*process
	// pendingRecoveries waits for the goroutines that end a fault after a delay.
	pendingRecoveries sync.WaitGroup
}

// process is a started program; a test may kill or pause it.
type process struct {
	cmd    *exec.Cmd
	url    string
	exited chan struct{}
	log    *bytes.Buffer
}

// reserveAddrs returns loopback addresses on which the programs of a test can listen until it ends.
func reserveAddrs(t testing.TB, n int) []string {
	r, err := loopback.Reserve(n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	var addrs []string
	for _, a := range r.Addrs {
		addrs = append(addrs, a.String())
	}
	return addrs
}

// startProgram runs a built program until the test ends.
func (c *testCluster) startProgram(program string, args ...string) *process {
	return c.startCommand(exec.Command(filepath.Join(c.binDir, program), args...))
}

// startCommand runs a command until the test ends.
func (c *testCluster) startCommand(cmd *exec.Cmd) *process {
	p := &process{cmd: cmd, exited: make(chan struct{}), log: &bytes.Buffer{}}
	p.cmd.Stderr = p.log
	c.is.NoErr(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	c.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if c.t.Failed() {
			tail := p.log.Bytes()
			c.t.Logf("last log lines of %s:\n%s", cmd, tail[max(0, len(tail)-6000):])
		}
	})
	return p
}

// newTestCluster starts platformd with the cell "small" and the given number of daemons, and applies the note.
func newTestCluster(t *testing.T, daemons int, note string, platformArgs ...string) *testCluster {
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	addrs := reserveAddrs(t, 2)
	c := &testCluster{t: t, is: is.New(t), binDir: dir, platformAddr: addrs[0], adminURL: "http://" + addrs[1]}
	args := append([]string{"serve", "--cell", "small", "--listen", c.platformAddr, "--admin-listen", strings.TrimPrefix(c.adminURL, "http://")}, platformArgs...)
	c.startProgram("platformd", args...)
	t.Cleanup(c.pendingRecoveries.Wait)
	c.waitUntil("platformd responds", func() bool { return c.get(c.adminURL+"/admin/stats", nil) == nil })
	for i := range daemons {
		c.daemons = append(c.daemons, c.startDaemon(i))
	}
	for _, d := range c.daemons {
		c.waitUntil("a daemon is ready", func() bool { return c.get(d.url+"/readyz", nil) == nil })
	}
	c.waitUntil("the note is accepted", func() bool {
		status, _ := c.send(http.MethodPost, c.daemons[0].url+"/v1/notes", "", map[string]string{api.HeaderNoteID: "first"}, []byte(note))
		return status == http.StatusCreated || status == http.StatusOK
	})
	return c
}

func (c *testCluster) startDaemon(i int) *process {
	place := smallPlaces[i%len(smallPlaces)]
	addrs := reserveAddrs(c.t, 2)
	p := c.startProgram("goldcrestd", "serve", "--http-addr", addrs[0], "--peer-addr", addrs[1],
		"--region", place[0], "--zone", place[1], "--store-region", smallPlaces[0][0],
		"--platform-url", "http://"+c.platformAddr, "--name", fmt.Sprintf("entry-%d", i), "--seed", fmt.Sprint(i+1))
	p.url = "http://" + addrs[0]
	return p
}

// waitUntil polls until the condition is true.
func (c *testCluster) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	for begin := time.Now(); time.Since(begin) < waitTimeout; time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("waited %s for: %s", waitTimeout, what)
}

// send sends one HTTP request; the status is 0 if there is no response.
func (c *testCluster) send(method, url, secret string, header map[string]string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	c.is.NoErr(err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	if secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return resp.StatusCode, data
}

// get decodes a JSON response with status 200 into v, unless v is nil.
func (c *testCluster) get(url string, v any) error {
	status, data := c.send(http.MethodGet, url, "", nil, nil)
	if status != http.StatusOK {
		return fmt.Errorf("GET %s: %d %s", url, status, data)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(data, v)
}

// submitJob submits a job until a daemon has accepted it; each attempt is sent to the next daemon of c.daemons.
func (c *testCluster) submitJob(secret, queue string, job api.JobRequest) {
	body, err := json.Marshal(job)
	c.is.NoErr(err)
	next := 0
	c.waitUntil("job "+job.ID+" is accepted", func() bool {
		d := c.daemons[next%len(c.daemons)]
		next++
		status, data := c.send(http.MethodPost, d.url+"/v1/queues/"+queue+"/jobs", secret, nil, body)
		if status == http.StatusUnprocessableEntity || status == http.StatusUnauthorized {
			c.t.Fatalf("job %s: %d %s", job.ID, status, data)
		}
		return status == http.StatusCreated || status == http.StatusOK
	})
}

// finishedTasks returns the number of finished tasks of each job according to a daemon.
func (c *testCluster) finishedTasks(d *process) map[string]int {
	var list api.JobList
	if c.get(d.url+"/v1/jobs", &list) != nil {
		return nil
	}
	counts := map[string]int{}
	for _, j := range list.Jobs {
		counts[j.Team+"/"+j.ID] = j.Tasks.Finished
	}
	return counts
}

// attempt is an attempt of a task as recorded by platformd's workers.
type attempt struct {
	Attempt string `json:"attempt"`
	Worker  string `json:"worker"`
	Owner   string `json:"owner"`
	Outcome string `json:"outcome"`
}

// successCounts returns the number of succeeded attempts of each task.
func (c *testCluster) successCounts() map[string]int {
	var list []attempt
	c.is.NoErr(c.get(c.adminURL+"/admin/attempts", &list))
	counts := map[string]int{}
	for _, a := range list {
		task, _, _ := strings.Cut(a.Attempt, "@")
		if a.Outcome == "succeeded" {
			counts[task]++
		}
	}
	return counts
}

// platformStats are the counters of platformd that the tests read.
type platformStats struct {
	Overlaps         int   `json:"overlaps"`
	CapacityRefusals int64 `json:"capacityRefusals"`
	Running          int   `json:"running"`
	Starts           int64 `json:"starts"`
	RowsWritten      int64 `json:"rowsWritten"`
	RowsRead         int64 `json:"rowsRead"`
}

func (c *testCluster) stats() platformStats {
	var s platformStats
	c.is.NoErr(c.get(c.adminURL+"/admin/stats", &s))
	return s
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func (c *testCluster) patchFaults(body string) {
	status, data := c.send(http.MethodPatch, c.adminURL+"/admin/faults", "", nil, []byte(body))
	if status != http.StatusOK && status != http.StatusNoContent {
		c.t.Errorf("set faults: %d %s", status, data)
	}
}

// execution is a request that a runner executed.
type execution struct {
	Method string `json:"method"`
	Body   string `json:"body"`
}

// runnerIDs returns the IDs of platformd's runners.
func (c *testCluster) runnerIDs() []string {
	var list []struct {
		ID string `json:"id"`
	}
	c.is.NoErr(c.get(c.adminURL+"/admin/runners", &list))
	var ids []string
	for _, r := range list {
		ids = append(ids, r.ID)
	}
	return ids
}

// executions returns the requests that a runner has executed.
func (c *testCluster) executions(runner string) []execution {
	var list []execution
	c.is.NoErr(c.get(c.adminURL+"/admin/runners/"+runner+"/executions", &list))
	return list
}
