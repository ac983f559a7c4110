package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings. The platform kills a process that exceeds it.
	memoryLimit = 284 << 10
	// maxEnds is how often processes may end by themselves on a machine in a day.
	maxEnds = 3
	// calmRequests is the number of requests with ordinary methods that are sent without the disruption.
	calmRequests = 400_000
	// strangerConns is the number of channels that strangers open to a daemon.
	strangerConns = 4
)

// residentKB returns the resident memory of a process; 0 if there is none.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kb := 0
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "VmRSS:") {
			_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &kb)
		}
	}
	return kb
}

func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// limitMemory kills the process of a daemon whenever it exceeds its memory, as the platform does, and counts that.
func (c *cell) limitMemory(d *daemon, over func() bool, kills, peak *atomic.Int64) {
	last := 0
	for !over() {
		pid := d.pid()
		kb := residentKB(pid)
		peak.Store(max(peak.Load(), int64(kb)))
		if kb > memoryLimit && pid != last {
			last = pid
			c.say("platform: process %d of daemon %d takes %d KB of %d KB and is killed, %d times now", pid, d.index, kb, memoryLimit, kills.Add(1))
			d.signal(syscall.SIGKILL)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// strange sends requests on a channel, each with another method if odd is set, until over returns true or the channel ends.
func strange(d *daemon, name string, odd bool, requests *atomic.Int64, over func() bool) {
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for sent := 0; !over(); sent++ {
		method := http.MethodGet
		if odd {
			method = fmt.Sprintf("%s%d", name, sent)
		}
		_ = conn.SetDeadline(time.Now().Add(deadline))
		if _, err := fmt.Fprintf(conn, "%s /q/ HTTP/1.1\r\nHost: q.example\r\n\r\n", method); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		requests.Add(1)
		if resp.Close {
			return
		}
	}
}

// oddMethods has strangers without a key send small requests with methods of their own to two of three daemons.
func oddMethods(c *cell, trouble bool) (string, error) {
	q := route{"q", "q.example", "/q/", "svc"}
	if err := c.addRunners("svc", 8, lasts(time.Second)); err != nil {
		return "", err
	}
	c.manifest(1, q)
	if err := c.addDaemons(3); err != nil {
		return "", err
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	if !c.submit(q, "00000000000000a1", chain(1, 1000), 0) || !c.await(q, "00000000000000a1", "completed", 20*time.Second) {
		return "", errNotAccepted
	}
	const victims = 2
	var kills, peaks [victims]atomic.Int64
	ends := time.Now().Add(90 * time.Second)
	var requests atomic.Int64
	over := func() bool {
		return time.Now().After(ends) || !trouble && requests.Load() >= calmRequests || kills[0].Load() >= maxEnds && kills[1].Load() >= maxEnds
	}
	var wg sync.WaitGroup
	for i := range victims {
		d := c.daemons[i]
		wg.Go(func() { c.limitMemory(d, over, &kills[i], &peaks[i]) })
		for n := range strangerConns {
			wg.Go(func() {
				for round := 0; !over(); round++ {
					strange(d, fmt.Sprintf("M%dR%dN", n, round), trouble, &requests, over)
				}
			})
		}
	}
	wg.Wait()
	c.say("strangers: %d requests at %d daemons, peaks of %d and %d KB of memory", requests.Load(), victims, peaks[0].Load(), peaks[1].Load())
	if kills[0].Load() >= maxEnds && kills[1].Load() >= maxEnds {
		return fmt.Sprintf("Fault: processes of two of three machines have taken more than their memory %d times each and were ended, after %d small requests", maxEnds, requests.Load()), nil
	}
	return "", nil
}
