package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

const (
	// clockTicksPerSecond is the unit of CPU time in /proc on all Linux platforms that Go supports.
	clockTicksPerSecond = 100
	// windowCount is the number of measurement windows of each case.
	windowCount = 3
	// settleDelay is the time between the last change of a cluster and the first window.
	settleDelay = 5 * time.Second
	// idleDuration is how long no row may be written before a cluster counts as idle: teams' grants are
	// distributed over the racks for some seconds after the start.
	idleDuration = 6 * time.Second
	// idleTimeout ends a benchmark whose cluster does not become idle.
	idleTimeout = 4 * time.Minute
	// startTimeout limits the wait for submitted tasks to start.
	startTimeout = 45 * time.Second
)

// trafficCauses are the values of the label cause; all but request are control traffic.
var trafficCauses = []string{"config", "member", "store", "rack", "request"}

// daemonSample holds the metrics of one daemon at one time. All of them but memoryMB are counters.
type daemonSample struct {
	cpuSeconds    float64
	memoryMB      float64
	trafficBytes  map[string]float64
	paidLinkBytes map[string]float64
	steps         float64
	stepSeconds   float64
}

// readProcess returns the CPU time in seconds and the resident memory in MB of a process.
func readProcess(b *testing.B, pid int) (cpu, memory float64) {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The program's name, in parentheses, may contain spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, i := range []int{11, 12} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			b.Fatal(err)
		}
		cpu += ticks / clockTicksPerSecond
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		b.Fatal(err)
	}
	return cpu, kib * 1024 / 1e6
}

// readSample reads the metrics of one daemon.
func (c *benchCluster) readSample(d *benchDaemon) daemonSample {
	c.b.Helper()
	s := daemonSample{trafficBytes: map[string]float64{}, paidLinkBytes: map[string]float64{}}
	s.cpuSeconds, s.memoryMB = readProcess(c.b, d.cmd.Process.Pid)
	status, data := sendRequest(http.MethodGet, d.url+"/metrics", "", nil, nil)
	if status != http.StatusOK {
		c.b.Fatalf("metrics of %s: %d %s", d.name, status, data)
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			continue
		}
		switch {
		case strings.HasPrefix(name, "goldcrest_traffic_bytes{"):
			s.trafficBytes[labelValue(name, "cause")] = value
		case strings.HasPrefix(name, "goldcrest_paid_link_bytes{"):
			s.paidLinkBytes[labelValue(name, "cause")] = value
		case name == "goldcrest_control_steps":
			s.steps = value
		case name == "goldcrest_control_step_sum":
			s.stepSeconds = value
		}
	}
	return s
}

// labelValue returns the value of a label of a series in Prometheus text format.
func labelValue(series, label string) string {
	_, rest, _ := strings.Cut(series, label+`="`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// measurement holds the results of one measurement window by unit.
type measurement map[string]float64

// measure samples all daemons and platformd at the start and the end of a window in which load runs; load may be nil.
func (c *benchCluster) measure(length time.Duration, load func(end time.Time)) measurement {
	c.b.Helper()
	before := make([]daemonSample, len(c.daemons))
	for i, d := range c.daemons {
		before[i] = c.readSample(d)
	}
	statsBefore, begin := c.stats(), time.Now()
	if load != nil {
		load(begin.Add(length))
	}
	time.Sleep(time.Until(begin.Add(length)))
	seconds := time.Since(begin).Seconds()
	statsAfter := c.stats()
	m := measurement{}
	n := float64(len(c.daemons))
	steps, stepSum := 0.0, 0.0
	for i, d := range c.daemons {
		after := c.readSample(d)
		cpu := 100 * (after.cpuSeconds - before[i].cpuSeconds) / seconds
		m["cpu_pct"] += cpu / n
		m["cpu_pct_max"] = max(m["cpu_pct_max"], cpu)
		m["rss_MB"] += after.memoryMB / n
		m["rss_MB_max"] = max(m["rss_MB_max"], after.memoryMB)
		control := 0.0
		for _, cause := range trafficCauses {
			rate := (after.trafficBytes[cause] - before[i].trafficBytes[cause]) / seconds
			m[cause+"_B/s"] += rate / n
			if cause != "request" {
				control += rate
				m["paid_B/s"] += (after.paidLinkBytes[cause] - before[i].paidLinkBytes[cause]) / seconds / n
			}
		}
		m["ctl_B/s"] += control / n
		m["ctl_B/s_max"] = max(m["ctl_B/s_max"], control)
		steps += after.steps - before[i].steps
		stepSum += after.stepSeconds - before[i].stepSeconds
	}
	if steps > 0 {
		m["step_us"] = 1e6 * stepSum / steps
		m["steps/s"] = steps / seconds / n
	}
	m["reads/s"] = (statsAfter.Reads - statsBefore.Reads) / seconds
	m["rows_read/s"] = (statsAfter.RowsRead - statsBefore.RowsRead) / seconds
	m["commits/s"] = (statsAfter.Commits - statsBefore.Commits) / seconds
	m["rows_written/s"] = (statsAfter.RowsWritten - statsBefore.RowsWritten) / seconds
	m["throttled/s"] = (statsAfter.Throttled - statsBefore.Throttled) / seconds
	m["exchanges/s"] = (statsAfter.Exchanges - statsBefore.Exchanges) / seconds
	m["starts/s"] = (statsAfter.Starts - statsBefore.Starts) / seconds
	m["running"] = statsAfter.Running
	return m
}

// spreadUnits are the units whose spread over the windows is also reported.
var spreadUnits = []string{"cpu_pct", "rss_MB", "ctl_B/s", "paid_B/s", "rows_read/s", "rows_written/s", "starts/s"}

// waitUntilIdle waits until the daemons have written no rows for idleDuration.
func (c *benchCluster) waitUntilIdle() {
	c.b.Helper()
	last, changedAt := -1.0, time.Now()
	for begin := time.Now(); time.Since(begin) < idleTimeout; time.Sleep(200 * time.Millisecond) {
		if written := c.stats().RowsWritten; written != last {
			last, changedAt = written, time.Now()
		}
		if time.Since(changedAt) > idleDuration {
			return
		}
	}
	c.b.Fatalf("the daemons still write rows after %s: %+v", idleTimeout, c.stats())
}

// waitRunningTasks waits until the given number of tasks run. If they don't start, it
// reports an error with the waiting jobs, and the benchmark continues.
func (c *benchCluster) waitRunningTasks(tasks int) {
	c.b.Helper()
	for begin := time.Now(); time.Since(begin) < startTimeout; time.Sleep(100 * time.Millisecond) {
		if c.stats().Running >= float64(tasks) {
			return
		}
	}
	var list api.JobList
	if err := c.get(c.daemons[0].url+"/v1/jobs", &list); err != nil {
		c.b.Error(err)
	}
	logged := 0
	for _, j := range list.Jobs {
		if j.Tasks.Pending+j.Tasks.Starting > 0 && logged < 5 {
			logged++
			c.b.Logf("%s/%s (%s): %+v %s", j.Team, j.ID, j.Workload, j.Tasks, j.Reason)
		}
	}
	c.b.Errorf("%v of %d tasks run after %s; %d jobs listed, missing daemons %v", c.stats().Running, tasks, startTimeout, len(list.Jobs), list.Missing)
}

// report measures windowCount windows after settleDelay. It reports the mean of each
// unit and, for spreadUnits, half the range as <unit>_pm.
func (c *benchCluster) report(b *testing.B, load func(end time.Time)) {
	b.Helper()
	time.Sleep(settleDelay)
	var all []measurement
	for range windowCount {
		all = append(all, c.measure(windowLength(b), load))
	}
	s := c.stats()
	if s.Overlaps != 0 || s.CapacityRefusals != 0 {
		b.Errorf("%v tasks ran on two workers at once, %v starts exceeded the capacity of a worker", s.Overlaps, s.CapacityRefusals)
	}
	for unit := range all[0] {
		sum := 0.0
		for _, m := range all {
			sum += m[unit]
		}
		b.ReportMetric(sum/windowCount, unit)
	}
	for _, unit := range spreadUnits {
		lowest, highest := math.Inf(1), math.Inf(-1)
		for _, m := range all {
			lowest, highest = min(lowest, m[unit]), max(highest, m[unit])
		}
		b.ReportMetric((highest-lowest)/2, unit+"_pm")
	}
	b.ReportMetric(0, "ns/op")
}
