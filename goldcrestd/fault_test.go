package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// scheduleRecovery calls restore after a delay to end a fault. The test ends only after that.
func (c *testCluster) scheduleRecovery(delay time.Duration, restore func()) {
	c.pendingRecoveries.Go(func() {
		time.Sleep(delay)
		restore()
	})
}

// Guards against tasks that are lost or run twice when two faults coincide.
func TestJobsRunOnceDuringTwoFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(c *testCluster)
	}{
		{"store down while an owner is killed", func(c *testCluster) {
			c.patchFaults(`{"storeDown":true}`)
			c.killDaemon(0)
			c.scheduleRecovery(5*time.Second, func() { c.patchFaults(`{"storeDown":false}`) })
		}},
		{"replies lost while an owner is paused", func(c *testCluster) {
			c.patchFaults(`{"lostAnswers":0.3,"lostUnapplied":0.5,"lostDelay":"300ms"}`)
			c.pauseDaemon(0, 4*time.Second)
			c.scheduleRecovery(8*time.Second, func() { c.patchFaults(`{"lostAnswers":0}`) })
		}},
		{"exchanges lost while the store is slow", func(c *testCluster) {
			c.patchFaults(`{"lostExchanges":0.3,"storeDelay":"700ms"}`)
			c.scheduleRecovery(8*time.Second, func() { c.patchFaults(`{"lostExchanges":0,"storeDelay":"0s"}`) })
		}},
		{"two owners killed", func(c *testCluster) {
			c.killDaemon(0)
			c.killDaemon(0)
		}},
		{"a worker fails all tasks while an owner is killed", func(c *testCluster) {
			c.patchWorkerFaults("n-1-r1-w1", `{"failAll":true}`)
			c.killDaemon(0)
			c.scheduleRecovery(6*time.Second, func() { c.patchWorkerFaults("n-1-r1-w1", `{"failAll":false}`) })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestCluster(t, 3, testNote)
			c.checkJobsRunOnce("job", 4, 20, func() { tc.fault(c) })
		})
	}
}

// killDaemon ends a daemon with SIGKILL and removes it from c.daemons.
func (c *testCluster) killDaemon(i int) {
	c.daemons[i].signal(c.t, syscall.SIGKILL)
	c.daemons = append(c.daemons[:i:i], c.daemons[i+1:]...)
}

// pauseDaemon stops a daemon with SIGSTOP and removes it from c.daemons. It resumes
// the daemon after the duration; zero leaves that to the caller.
func (c *testCluster) pauseDaemon(i int, duration time.Duration) *process {
	p := c.daemons[i]
	p.signal(c.t, syscall.SIGSTOP)
	c.daemons = append(c.daemons[:i:i], c.daemons[i+1:]...)
	if duration > 0 {
		c.scheduleRecovery(duration, func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) })
	}
	return p
}

func (c *testCluster) patchWorkerFaults(id, body string) {
	status, data := c.send(http.MethodPatch, c.adminURL+"/admin/workers/"+id+"/faults", "", nil, []byte(body))
	if status != http.StatusOK && status != http.StatusNoContent {
		c.t.Errorf("set faults of worker %s: %d %s", id, status, data)
	}
}

// postNote sends a note and returns the status and the body of the response.
func (c *testCluster) postNote(d *process, id, query, note string) (int, []byte) {
	header := map[string]string{api.HeaderNoteID: id, api.HeaderAuthor: "test"}
	return c.send(http.MethodPost, d.url+"/v1/notes"+query, "", header, []byte(note))
}

const withdrawNote = `
summary: The key is withdrawn
withdraw:
  keys: [archive-1]
`

// noteInForceLimit is the required time within which an accepted note is in force on every daemon.
const noteInForceLimit = 7 * time.Second

// Guards against a withdrawn key that is still accepted by a daemon that was paused
// while the key was withdrawn, even if it can't reach the store when it resumes.
func TestPausedDaemonRefusesWithdrawnKey(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %t", storeDown), func(t *testing.T) {
			c := newTestCluster(t, 3, testNote)
			path := "/v1/services/echo/confirm"
			for _, d := range c.daemons {
				c.waitUntil("the key is accepted", func() bool {
					status, _ := c.send(http.MethodGet, d.url+path, testSecret, nil, nil)
					return status == http.StatusOK
				})
			}
			paused := c.pauseDaemon(2, 0)
			start := time.Now()
			c.waitUntil("the withdrawal is accepted", func() bool {
				status, _ := c.postNote(c.daemons[0], "withdraw", "", withdrawNote)
				return status == http.StatusCreated || status == http.StatusOK
			})
			for _, d := range c.daemons {
				c.waitUntil("the key is refused", func() bool {
					status, _ := c.send(http.MethodGet, d.url+path, testSecret, nil, nil)
					return status == http.StatusUnauthorized
				})
			}
			time.Sleep(noteInForceLimit - time.Since(start))
			if storeDown {
				c.patchFaults(`{"storeDown":true}`)
			}
			paused.signal(t, syscall.SIGCONT)
			for range 50 {
				status, data := c.send(http.MethodPost, paused.url+path, testSecret, nil, []byte("x"))
				if status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
					t.Fatalf("request with a withdrawn key: %d %s", status, data)
				}
				time.Sleep(20 * time.Millisecond)
			}
			for _, runnerID := range c.runnerIDs() {
				for _, e := range c.executions(runnerID) {
					c.is.True(e.Method != http.MethodPost)
				}
			}
		})
	}
}

// Guards against concurrent notes of several operators that are lost or that
// overwrite one another without a conflict error.
func TestConcurrentNotes(t *testing.T) {
	c := newTestCluster(t, 3, testNote)
	const operators = 9
	versions := make([]uint64, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			note := fmt.Sprintf("summary: Queue %d\nadd:\n  queues:\n    - {name: queue-%d, priority: normal}\n", i, i)
			c.waitUntil("the note is accepted", func() bool {
				status, data := c.postNote(c.daemons[i%3], fmt.Sprintf("race-%d", i), "", note)
				var accepted api.NoteStatus
				if status != http.StatusCreated && status != http.StatusOK || json.Unmarshal(data, &accepted) != nil {
					return false
				}
				versions[i] = accepted.Version
				return true
			})
		})
	}
	wg.Wait()
	assigned := map[uint64]bool{}
	for _, v := range versions {
		c.is.True(!assigned[v])
		assigned[v] = true
	}
	headVersion := uint64(operators + 1)
	change := "summary: Priority\nchange:\n  queues:\n    - {name: queue-0, priority: %s}\n"
	createdNotes, conflicts := 0, 0
	for i, priority := range []string{"urgent", "deferrable"} {
		status, data := c.postNote(c.daemons[i], "same-"+priority, fmt.Sprintf("?base=%d", headVersion), fmt.Sprintf(change, priority))
		switch status {
		case http.StatusCreated:
			createdNotes++
		case http.StatusConflict:
			conflicts++
			c.is.True(strings.Contains(string(data), "queue/queue-0"))
			c.is.True(strings.Contains(string(data), fmt.Sprintf("note %d", headVersion+1)))
		default:
			t.Fatalf("note: %d %s", status, data)
		}
	}
	c.is.Equal(createdNotes, 1)
	c.is.Equal(conflicts, 1)
}

// Guards against submissions and requests with an Idempotency-Key that are accepted
// without being recorded while the store is unavailable, and against requests
// without an Idempotency-Key that are refused at that time.
func TestStoreOutage(t *testing.T) {
	c := newTestCluster(t, 3, testNote)
	path := c.daemons[1].url + "/v1/services/echo/confirm"
	c.waitUntil("the service responds", func() bool {
		status, _ := c.send(http.MethodPost, path, testSecret, nil, []byte("before"))
		return status == http.StatusOK
	})
	c.patchFaults(`{"storeDown":true}`)
	keyHeader := map[string]string{api.HeaderIdempotencyKey: "outage-1"}
	c.waitUntil("a request with an Idempotency-Key is refused as not run", func() bool {
		status, data := c.send(http.MethodPost, path, testSecret, keyHeader, []byte("keyed"))
		c.is.True(status != http.StatusOK)
		return status == http.StatusServiceUnavailable && c.problemRun(data) == api.RunNo
	})
	body, err := json.Marshal(testJob("outage", 1))
	c.is.NoErr(err)
	status, data := c.send(http.MethodPost, c.daemons[0].url+"/v1/queues/batch/jobs", testSecret, nil, body)
	c.is.Equal(status, http.StatusServiceUnavailable)
	c.is.Equal(c.problemRun(data), api.RunNo)
	// After the staleness bound of the configuration, the daemons confirm to one another that none of
	// them reaches the store.
	time.Sleep(noteInForceLimit)
	c.waitUntil("requests without an Idempotency-Key are served", func() bool {
		status, _ := c.send(http.MethodPost, path, testSecret, nil, []byte("during"))
		return status == http.StatusOK
	})
	c.patchFaults(`{"storeDown":false}`)
	c.checkJobsRunOnce("outage", 1, 4, func() {})
	c.waitUntil("a request with an Idempotency-Key is served", func() bool {
		status, _ := c.send(http.MethodPost, path, testSecret, keyHeader, []byte("keyed"))
		return status == http.StatusOK
	})
	executed := 0
	for _, runnerID := range c.runnerIDs() {
		for _, e := range c.executions(runnerID) {
			if e.Body == "keyed" {
				executed++
			}
		}
	}
	c.is.Equal(executed, 1)
}

// problemRun returns the field run of a problem detail, which tells whether the request was executed.
func (c *testCluster) problemRun(data []byte) string {
	var p api.Problem
	c.is.NoErr(json.Unmarshal(data, &p))
	return p.Run
}
