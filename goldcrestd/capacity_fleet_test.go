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
	// targetTeams is the number of teams of the two-year target.
	targetTeams = 32
	// workersPerRack and targetWorkers are those of the stand-in's cell "target".
	workersPerRack = 8
	targetWorkers  = 590
	targetRacks    = 74
	// baseDaemons is the number of daemons while something else is varied.
	baseDaemons = 7
	// fleetLimit ends a benchmark that hangs.
	fleetLimit = 90 * time.Second
	// logTail is the part of a program's log that a failed benchmark prints.
	logTail = 1000
)

// targetPlaces holds region and zone of the places of the cell "target"; the store is in the first region.
var targetPlaces = [][2]string{{"east", "e-1"}, {"west", "w-1"}, {"east", "e-2"}, {"west", "w-2"}, {"east", "e-3"}, {"west", "w-3"}}

// fleetClient keeps enough connections that the load of a benchmark doesn't dial for each call.
var fleetClient = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// fleetSize is what a benchmark varies.
type fleetSize struct {
	racks   int
	daemons int
	args    []string
}

// fleet is a stand-in with the target cell and several daemons, each a process of its own.
type fleet struct {
	b        *testing.B
	dir      string
	platform string
	admin    string
	started  int
	note     int
	job      int
	daemons  []*benchDaemon
	// settled is how long the fleet wrote rows after its start, startup what the store counted until then.
	settled time.Duration
	startup fleetStats
}

// benchDaemon is a daemon of a benchmark.
type benchDaemon struct {
	name   string
	id     string
	region string
	zone   string
	url    string
	cmd    *exec.Cmd
	done   chan struct{}
}

// tailBuffer keeps the end of what is written to it.
type tailBuffer struct {
	mu   sync.Mutex
	data []byte
}

// Write appends and drops what is older than logTail.
func (t *tailBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if len(t.data) > 4*logTail {
		t.data = append([]byte(nil), t.data[len(t.data)-logTail:]...)
	}
	return len(p), nil
}

// newFleet starts a stand-in and the daemons, applies the note with 32 teams and waits until every rack has an owner.
func newFleet(b *testing.B, size fleetSize) *fleet {
	b.Helper()
	dir, err := buildOnce()
	if err != nil {
		b.Fatal(err)
	}
	addrs := reserveAddrs(b, 2)
	f := &fleet{b: b, dir: dir, platform: addrs[0], admin: addrs[1]}
	args := append([]string{
		"serve", "--cell", "target", "--listen", f.platform, "--admin-listen", f.admin, "--log-level", "warn",
		"--workers", fmt.Sprint(min(size.racks*workersPerRack, targetWorkers)),
	}, size.args...)
	f.start("platformd", args...)
	f.admin = "http://" + f.admin
	f.wait("the platform answers", func() bool { return f.get(f.admin+"/admin/stats", nil) == nil })
	f.patchFaults(`{"vmListLag":"0s"}`)
	begin := time.Now()
	for i := range size.daemons {
		f.addDaemon(targetPlaces[i%len(targetPlaces)])
	}
	f.waitReady()
	f.apply(firstNote())
	f.waitRacks(size.racks)
	f.waitQuiet()
	f.settled, f.startup = time.Since(begin)-quietFor, f.stats()
	return f
}

// start runs a built program until the benchmark ends.
func (f *fleet) start(program string, args ...string) (*exec.Cmd, chan struct{}) {
	log := &tailBuffer{}
	cmd := exec.Command(filepath.Join(f.dir, program), args...)
	cmd.Stderr = log
	// A benchmark that is killed leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		f.b.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	f.b.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
		if f.b.Failed() {
			f.b.Logf("%s, end of its log:\n%s", program, log.data[max(0, len(log.data)-logTail):])
		}
	})
	return cmd, done
}

// addDaemon starts a daemon and lists its VM.
func (f *fleet) addDaemon(place [2]string) *benchDaemon {
	f.started++
	d := &benchDaemon{name: fmt.Sprintf("entry-%d", f.started), region: place[0], zone: place[1]}
	addrs := reserveAddrs(f.b, 2)
	httpAddr, peerAddr := addrs[0], addrs[1]
	f.sendAdmin(http.MethodPost, "/admin/entries", fmt.Sprintf(`{"id":%q,"zone":%q,"addr":%q}`, d.name, d.zone, peerAddr))
	d.cmd, d.done = f.start("goldcrestd", "serve", "--http-addr", httpAddr, "--peer-addr", peerAddr, "--region", d.region,
		"--zone", d.zone, "--store-region", targetPlaces[0][0], "--platform-url", "http://"+f.platform, "--name", d.name,
		"--seed", fmt.Sprint(f.started), "--log-level", "warn")
	d.url = "http://" + httpAddr
	f.daemons = append(f.daemons, d)
	return d
}

// end signals a daemon, waits for its exit, takes its VM from the list and forgets it.
func (f *fleet) end(d *benchDaemon, s syscall.Signal) {
	if err := d.cmd.Process.Signal(s); err != nil {
		f.b.Fatal(err)
	}
	kept := f.daemons[:0:0]
	for _, other := range f.daemons {
		if other != d {
			kept = append(kept, other)
		}
	}
	f.daemons = kept
	<-d.done
	f.sendAdmin(http.MethodDelete, "/admin/vms/"+d.name, "")
}

func (f *fleet) waitReady() {
	f.b.Helper()
	for _, d := range f.daemons {
		f.wait(d.name+" is ready", func() bool {
			var s api.Status
			ok := f.get(d.url+"/readyz", nil) == nil && f.get(d.url+"/v1/status", &s) == nil
			d.id = s.Daemon
			return ok
		})
	}
}

// waitRacks waits until the daemons own all racks and know each other.
func (f *fleet) waitRacks(racks int) {
	f.b.Helper()
	f.wait("every rack has an owner", func() bool {
		owned := 0
		for _, d := range f.daemons {
			var s api.Status
			if f.get(d.url+"/v1/status", &s) != nil || len(s.Members) != len(f.daemons) {
				return false
			}
			owned += len(s.Racks)
		}
		return owned == racks
	})
}

// wait polls until done returns true.
func (f *fleet) wait(what string, done func() bool) {
	f.b.Helper()
	for begin := time.Now(); time.Since(begin) < fleetLimit; time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.b.Fatalf("waited %s for: %s", fleetLimit, what)
}

// call makes one HTTP call; a call that fails has status 0.
func call(method, url, secret string, header http.Header, body []byte) (int, []byte) {
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
	resp, err := fleetClient.Do(req)
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

func (f *fleet) get(url string, v any) error {
	status, data := call(http.MethodGet, url, "", nil, nil)
	if status != http.StatusOK {
		return fmt.Errorf("GET %s: %d %s", url, status, data)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(data, v)
}

func (f *fleet) sendAdmin(method, path, body string) {
	f.b.Helper()
	if status, data := call(method, f.admin+path, "", nil, []byte(body)); status != http.StatusOK {
		f.b.Fatalf("%s %s: %d %s", method, path, status, data)
	}
}

func (f *fleet) patchFaults(body string) { f.sendAdmin(http.MethodPatch, "/admin/faults", body) }

func teamName(i int) string   { return fmt.Sprintf("team-%02d", i%targetTeams) }
func teamSecret(i int) string { return "secret-of-" + teamName(i) }

// firstNote declares the teams, keys, queues and the service of the target.
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

// shareNote changes the share of one team.
func shareNote(n int) string {
	return fmt.Sprintf("summary: Share\nchange:\n  teams:\n    - {name: %s, share: %d, limit: {cpus: 2000, memory: 8000GiB}, maxRequests: 400}\n",
		teamName(n), 2+n%50)
}

// apply applies a note at the first daemon until it is accepted and returns its version.
func (f *fleet) apply(text string) uint64 {
	f.b.Helper()
	f.note++
	header := http.Header{api.HeaderNoteID: {fmt.Sprintf("note-%d", f.note)}}
	var accepted api.NoteStatus
	f.wait("the note is accepted", func() bool {
		status, data := call(http.MethodPost, f.daemons[0].url+"/v1/notes", "", header, []byte(text))
		if status == http.StatusUnprocessableEntity || status == http.StatusBadRequest {
			f.b.Fatalf("note: %d %s", status, data)
		}
		return (status == http.StatusCreated || status == http.StatusOK) && json.Unmarshal(data, &accepted) == nil
	})
	return accepted.Version
}

// batchJob returns a job whose tasks sleep for the given time.
func (f *fleet) batchJob(tasks int, runTime time.Duration) api.JobRequest {
	f.job++
	return api.JobRequest{
		ID: fmt.Sprintf("job-%d", f.job), Workload: api.WorkloadBatch, Tasks: tasks, CPUs: 1, Memory: "4GiB",
		RunTime: runTime.String(), Command: []string{runTime.String()}, Idempotent: true,
	}
}

// serviceJob returns a service whose replicas run until they are stopped.
func (f *fleet) serviceJob(replicas int) api.JobRequest {
	f.job++
	return api.JobRequest{
		ID: fmt.Sprintf("job-%d", f.job), Workload: api.WorkloadService, Tasks: replicas, CPUs: 1, Memory: "4GiB",
		Command: []string{"serve"}, Idempotent: true,
	}
}

// submitTo hands in a job once and returns the status.
func submitTo(d *benchDaemon, team int, queue string, job api.JobRequest) (int, []byte) {
	body, err := json.Marshal(job)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return call(http.MethodPost, d.url+"/v1/queues/"+queue+"/jobs", teamSecret(team), nil, body)
}

// submit hands in a job until a daemon accepts it; each try goes to the next daemon.
func (f *fleet) submit(team int, queue string, job api.JobRequest) {
	f.b.Helper()
	next := f.job
	f.wait("job "+job.ID+" is accepted", func() bool {
		next++
		status, data := submitTo(f.daemons[next%len(f.daemons)], team, queue, job)
		if status == http.StatusUnprocessableEntity || status == http.StatusUnauthorized {
			f.b.Fatalf("job %s: %d %s", job.ID, status, data)
		}
		return status == http.StatusCreated || status == http.StatusOK
	})
}

// stats returns the counters of the stand-in.
func (f *fleet) stats() fleetStats {
	f.b.Helper()
	var s fleetStats
	if err := f.get(f.admin+"/admin/stats", &s); err != nil {
		f.b.Fatal(err)
	}
	return s
}

// fleetStats are the counters of the stand-in that the benchmarks read.
type fleetStats struct {
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

// benchSeconds returns the length of a measurement window, 10 s unless CAPACITY_WINDOW says otherwise.
func benchSeconds(b *testing.B) time.Duration {
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
