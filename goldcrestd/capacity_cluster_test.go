package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
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

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

const (
	// targetTeams is the number of teams in the two-year capacity target.
	targetTeams = 32
	// workersPerRack, targetWorkers and targetRacks describe platformd's cell "target".
	workersPerRack = 8
	targetWorkers  = 590
	targetRacks    = 74
	// baseDaemons is the number of daemons in benchmarks that vary something else.
	baseDaemons = 7
	// waitUntilTimeout ends a benchmark that hangs.
	waitUntilTimeout = 90 * time.Second
	// logTailBytes is the length of the end of a program's log that a failed benchmark prints.
	logTailBytes = 1000
)

// targetPlaces holds the region and the zone of each place of the cell "target"; the store is in the first region.
var targetPlaces = [][2]string{{"east", "e-1"}, {"west", "w-1"}, {"east", "e-2"}, {"west", "w-2"}, {"east", "e-3"}, {"west", "w-3"}}

// benchClient keeps enough idle connections that the load of a benchmark doesn't open one for each request.
var benchClient = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// benchClusterConfig configures a benchCluster.
type benchClusterConfig struct {
	racks        int
	daemons      int
	platformArgs []string
}

// benchCluster consists of platformd with the cell "target" and several daemons, each in its
// own process.
type benchCluster struct {
	b              *testing.B
	binDir         string
	platformAddr   string
	adminURL       string
	startedDaemons int
	appliedNotes   int
	createdJobs    int
	daemons        []*benchDaemon
	// startupDuration is how long the daemons wrote rows after their start, and startupStats
	// are platformd's counters at the end of that time.
	startupDuration time.Duration
	startupStats    benchPlatformStats
}

// benchDaemon is a daemon of a benchmark.
type benchDaemon struct {
	name   string
	id     string
	region string
	zone   string
	url    string
	cmd    *exec.Cmd
	exited chan struct{}
}

// tailBuffer keeps at least the last logTailBytes of the written data.
type tailBuffer struct {
	mu   sync.Mutex
	data []byte
}

// Write appends the data and from time to time drops all but the last logTailBytes.
func (t *tailBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if len(t.data) > 4*logTailBytes {
		t.data = append([]byte(nil), t.data[len(t.data)-logTailBytes:]...)
	}
	return len(p), nil
}

// newBenchCluster starts platformd and the daemons, applies a note with targetTeams teams, and waits
// until every rack has an owner and the cluster is idle.
func newBenchCluster(b *testing.B, cfg benchClusterConfig) *benchCluster {
	b.Helper()
	dir, err := buildPrograms()
	if err != nil {
		b.Fatal(err)
	}
	addrs := reserveAddrs(b, 2)
	c := &benchCluster{b: b, binDir: dir, platformAddr: addrs[0], adminURL: addrs[1]}
	args := append([]string{
		"serve", "--cell", "target", "--listen", c.platformAddr, "--admin-listen", c.adminURL, "--log-level", "warn",
		"--workers", fmt.Sprint(min(cfg.racks*workersPerRack, targetWorkers)),
	}, cfg.platformArgs...)
	c.startProgram("platformd", args...)
	c.adminURL = "http://" + c.adminURL
	c.waitUntil("platformd responds", func() bool { return c.get(c.adminURL+"/admin/stats", nil) == nil })
	c.patchFaults(`{"vmListLag":"0s"}`)
	begin := time.Now()
	for i := range cfg.daemons {
		c.addDaemon(targetPlaces[i%len(targetPlaces)])
	}
	c.waitReady()
	c.applyNote(firstNote())
	c.waitRacksOwned(cfg.racks)
	c.waitUntilIdle()
	c.startupDuration, c.startupStats = time.Since(begin)-idleDuration, c.stats()
	return c
}

// startProgram runs a built program until the benchmark ends.
func (c *benchCluster) startProgram(program string, args ...string) (*exec.Cmd, chan struct{}) {
	log := &tailBuffer{}
	cmd := exec.Command(filepath.Join(c.binDir, program), args...)
	cmd.Stderr = log
	// The kernel kills the program if the benchmark is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		c.b.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	c.b.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
		if c.b.Failed() {
			c.b.Logf("last log lines of %s:\n%s", program, log.data[max(0, len(log.data)-logTailBytes):])
		}
	})
	return cmd, done
}

// addDaemon starts a daemon and adds its VM to platformd's VM list.
func (c *benchCluster) addDaemon(place [2]string) *benchDaemon {
	c.startedDaemons++
	d := &benchDaemon{name: fmt.Sprintf("entry-%d", c.startedDaemons), region: place[0], zone: place[1]}
	addrs := reserveAddrs(c.b, 2)
	httpAddr, peerAddr := addrs[0], addrs[1]
	c.sendAdmin(http.MethodPost, "/admin/entries", fmt.Sprintf(`{"id":%q,"zone":%q,"addr":%q}`, d.name, d.zone, peerAddr))
	d.cmd, d.exited = c.startProgram("goldcrestd", "serve", "--http-addr", httpAddr, "--peer-addr", peerAddr, "--region", d.region,
		"--zone", d.zone, "--store-region", targetPlaces[0][0], "--platform-url", "http://"+c.platformAddr, "--name", d.name,
		"--seed", fmt.Sprint(c.startedDaemons), "--log-level", "warn")
	d.url = "http://" + httpAddr
	c.daemons = append(c.daemons, d)
	return d
}

// endDaemon sends a signal to a daemon, waits until it exits, and removes it from c.daemons and its
// VM from platformd's VM list.
func (c *benchCluster) endDaemon(d *benchDaemon, signal syscall.Signal) {
	if err := d.cmd.Process.Signal(signal); err != nil {
		c.b.Fatal(err)
	}
	remaining := c.daemons[:0:0]
	for _, other := range c.daemons {
		if other != d {
			remaining = append(remaining, other)
		}
	}
	c.daemons = remaining
	<-d.exited
	c.sendAdmin(http.MethodDelete, "/admin/vms/"+d.name, "")
}

func (c *benchCluster) waitReady() {
	c.b.Helper()
	for _, d := range c.daemons {
		c.waitUntil(d.name+" is ready", func() bool {
			var s api.Status
			ok := c.get(d.url+"/readyz", nil) == nil && c.get(d.url+"/v1/status", &s) == nil
			d.id = s.Daemon
			return ok
		})
	}
}

// waitRacksOwned waits until the daemons own all racks and know each other.
func (c *benchCluster) waitRacksOwned(racks int) {
	c.b.Helper()
	c.waitUntil("every rack has an owner", func() bool {
		owned := 0
		for _, d := range c.daemons {
			var s api.Status
			if c.get(d.url+"/v1/status", &s) != nil || len(s.Members) != len(c.daemons) {
				return false
			}
			owned += len(s.Racks)
		}
		return owned == racks
	})
}

// waitUntil polls until the condition is true.
func (c *benchCluster) waitUntil(what string, condition func() bool) {
	c.b.Helper()
	for begin := time.Now(); time.Since(begin) < waitUntilTimeout; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.b.Fatalf("waited %s for: %s", waitUntilTimeout, what)
}

// sendRequest sends one HTTP request; the status is 0 if there is no response.
func sendRequest(method, url, secret string, header http.Header, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return 0, []byte(err.Error())
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	resp, err := benchClient.Do(req)
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

func (c *benchCluster) get(url string, v any) error {
	status, data := sendRequest(http.MethodGet, url, "", nil, nil)
	if status != http.StatusOK {
		return fmt.Errorf("GET %s: %d %s", url, status, data)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(data, v)
}

func (c *benchCluster) sendAdmin(method, path, body string) {
	c.b.Helper()
	if status, data := sendRequest(method, c.adminURL+path, "", nil, []byte(body)); status != http.StatusOK {
		c.b.Fatalf("%s %s: %d %s", method, path, status, data)
	}
}

func (c *benchCluster) patchFaults(body string) { c.sendAdmin(http.MethodPatch, "/admin/faults", body) }

func teamName(i int) string   { return fmt.Sprintf("team-%02d", i%targetTeams) }
func teamSecret(i int) string { return "secret-of-" + teamName(i) }

// firstNote returns a note that adds the teams, keys, queues and the service of the benchmarks.
func firstNote() string {
	var s strings.Builder
	s.WriteString("summary: Cell of the capacity benchmarks\nadd:\n  teams:\n")
	for i := range targetTeams {
		fmt.Fprintf(&s, "    - {name: %s, share: 1, limit: {cpus: 2000, memory: 8000GiB}, maxRequests: 400}\n", teamName(i))
	}
	s.WriteString("  keys:\n")
	for i := range targetTeams {
		hash := sha256.Sum256([]byte(teamSecret(i)))
		fmt.Fprintf(&s, "    - {name: %s-1, team: %s, hash: %s}\n", teamName(i), teamName(i), hex.EncodeToString(hash[:]))
	}
	s.WriteString("  queues:\n    - {name: urgent, priority: urgent}\n    - {name: batch, priority: normal}\n")
	s.WriteString("  services:\n    - {name: booking, queue: batch, timeout: 10s, maxAnswer: 1MiB, maxBody: 1MiB}\n")
	return s.String()
}

// shareChangeNote returns a note that changes the share of one team.
func shareChangeNote(n int) string {
	return fmt.Sprintf("summary: Share\nchange:\n  teams:\n    - {name: %s, share: %d, limit: {cpus: 2000, memory: 8000GiB}, maxRequests: 400}\n",
		teamName(n), 2+n%50)
}

// applyNote sends a note to the first daemon until it is accepted and returns its version.
func (c *benchCluster) applyNote(text string) uint64 {
	c.b.Helper()
	c.appliedNotes++
	header := http.Header{api.HeaderNoteID: {fmt.Sprintf("note-%d", c.appliedNotes)}}
	var accepted api.NoteStatus
	c.waitUntil("the note is accepted", func() bool {
		status, data := sendRequest(http.MethodPost, c.daemons[0].url+"/v1/notes", "", header, []byte(text))
		if status == http.StatusUnprocessableEntity || status == http.StatusBadRequest {
			c.b.Fatalf("note: %d %s", status, data)
		}
		return (status == http.StatusCreated || status == http.StatusOK) && json.Unmarshal(data, &accepted) == nil
	})
	return accepted.Version
}

// batchJob returns a job whose tasks sleep for the given time.
func (c *benchCluster) batchJob(tasks int, runTime time.Duration) api.JobRequest {
	c.createdJobs++
	return api.JobRequest{
		ID: fmt.Sprintf("job-%d", c.createdJobs), Workload: api.WorkloadBatch, Tasks: tasks, CPUs: 1, Memory: "4GiB",
		RunTime: runTime.String(), Command: []string{runTime.String()}, Idempotent: true,
	}
}

// serviceJob returns a service whose replicas run until they are stopped.
func (c *benchCluster) serviceJob(replicas int) api.JobRequest {
	c.createdJobs++
	return api.JobRequest{
		ID: fmt.Sprintf("job-%d", c.createdJobs), Workload: api.WorkloadService, Tasks: replicas, CPUs: 1, Memory: "4GiB",
		Command: []string{"serve"}, Idempotent: true,
	}
}

// submitOnce submits a job once and returns the status and the body of the response.
func submitOnce(d *benchDaemon, team int, queue string, job api.JobRequest) (int, []byte) {
	body, err := json.Marshal(job)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return sendRequest(http.MethodPost, d.url+"/v1/queues/"+queue+"/jobs", teamSecret(team), nil, body)
}

// submitJob submits a job until a daemon accepts it; each attempt is sent to the next daemon of c.daemons.
func (c *benchCluster) submitJob(team int, queue string, job api.JobRequest) {
	c.b.Helper()
	next := c.createdJobs
	c.waitUntil("job "+job.ID+" is accepted", func() bool {
		next++
		status, data := submitOnce(c.daemons[next%len(c.daemons)], team, queue, job)
		if status == http.StatusUnprocessableEntity || status == http.StatusUnauthorized {
			c.b.Fatalf("job %s: %d %s", job.ID, status, data)
		}
		return status == http.StatusCreated || status == http.StatusOK
	})
}

// stats returns platformd's counters.
func (c *benchCluster) stats() benchPlatformStats {
	c.b.Helper()
	var s benchPlatformStats
	if err := c.get(c.adminURL+"/admin/stats", &s); err != nil {
		c.b.Fatal(err)
	}
	return s
}

// benchPlatformStats are the counters of platformd that the benchmarks read.
type benchPlatformStats struct {
	Reads            float64 `json:"reads"`
	RowsRead         float64 `json:"rowsRead"`
	Commits          float64 `json:"commits"`
	RowsWritten      float64 `json:"rowsWritten"`
	Throttled        float64 `json:"throttled"`
	Exchanges        float64 `json:"exchanges"`
	Starts           float64 `json:"starts"`
	CapacityRefusals float64 `json:"capacityRefusals"`
	Overlaps         float64 `json:"overlaps"`
	Running          float64 `json:"running"`
}

// windowLength returns the length of a measurement window: the environment variable
// CAPACITY_WINDOW, or 10 s by default.
func windowLength(b *testing.B) time.Duration {
	text := os.Getenv("CAPACITY_WINDOW")
	if text == "" {
		return 10 * time.Second
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < time.Second || d > time.Minute {
		b.Fatalf("CAPACITY_WINDOW is %q; allowed: a duration from 1s to 1m", text)
	}
	return d
}
