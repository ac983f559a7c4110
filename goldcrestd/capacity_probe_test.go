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
	// clockTicks is the unit of processor time in /proc, a second's part on all Linux platforms that Go runs on.
	clockTicks = 100
	// windows is the number of measurement windows of each size.
	windows = 3
	// settle is the time between the last change of a fleet and the first window.
	settle = 5 * time.Second
	// quietFor is how long no row is written before an idle fleet counts as settled: teams' grants are
	// distributed over the racks for some seconds after the start.
	quietFor = 6 * time.Second
	// quietLimit ends a benchmark whose fleet does not settle.
	quietLimit = 4 * time.Minute
	// startLimit is how long submitted tasks may take to start.
	startLimit = 45 * time.Second
)

// causes are the causes of traffic; request isn't control traffic.
var causes = []string{"config", "member", "store", "rack", "request"}

// sample is a reading of one daemon; all but memory only grow.
type sample struct {
	cpu     float64
	memory  float64
	traffic map[string]float64
	paid    map[string]float64
	steps   float64
	stepSum float64
}

// readProcess reads the processor time in seconds and the resident memory in MB of a process.
func readProcess(b *testing.B, pid int) (cpu, memory float64) {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The name of the program, in parentheses, may hold spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, i := range []int{11, 12} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			b.Fatal(err)
		}
		cpu += ticks / clockTicks
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

// read reads everything of one daemon.
func (f *fleet) read(d *benchDaemon) sample {
	f.b.Helper()
	s := sample{traffic: map[string]float64{}, paid: map[string]float64{}}
	s.cpu, s.memory = readProcess(f.b, d.cmd.Process.Pid)
	status, data := call(http.MethodGet, d.url+"/metrics", "", nil, nil)
	if status != http.StatusOK {
		f.b.Fatalf("metrics of %s: %d %s", d.name, status, data)
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
			s.traffic[labelOf(name, "cause")] = value
		case strings.HasPrefix(name, "goldcrest_paid_link_bytes{"):
			s.paid[labelOf(name, "cause")] = value
		case name == "goldcrest_control_steps":
			s.steps = value
		case name == "goldcrest_control_step_sum":
			s.stepSum = value
		}
	}
	return s
}

func labelOf(series, label string) string {
	_, rest, _ := strings.Cut(series, label+`="`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// window is what one measurement window found, by unit.
type window map[string]float64

// measure reads all daemons and the stand-in at both ends of a window while load runs; load may be nil.
func (f *fleet) measure(length time.Duration, load func(end time.Time)) window {
	f.b.Helper()
	before := make([]sample, len(f.daemons))
	for i, d := range f.daemons {
		before[i] = f.read(d)
	}
	statsBefore, begin := f.stats(), time.Now()
	if load != nil {
		load(begin.Add(length))
	}
	time.Sleep(time.Until(begin.Add(length)))
	seconds := time.Since(begin).Seconds()
	statsAfter := f.stats()
	w := window{}
	n := float64(len(f.daemons))
	steps, stepSum := 0.0, 0.0
	for i, d := range f.daemons {
		after := f.read(d)
		cpu := 100 * (after.cpu - before[i].cpu) / seconds
		w["cpu_pct"] += cpu / n
		w["cpu_pct_max"] = max(w["cpu_pct_max"], cpu)
		w["rss_MB"] += after.memory / n
		w["rss_MB_max"] = max(w["rss_MB_max"], after.memory)
		control := 0.0
		for _, cause := range causes {
			rate := (after.traffic[cause] - before[i].traffic[cause]) / seconds
			w[cause+"_B/s"] += rate / n
			if cause != "request" {
				control += rate
				w["paid_B/s"] += (after.paid[cause] - before[i].paid[cause]) / seconds / n
			}
		}
		w["ctl_B/s"] += control / n
		w["ctl_B/s_max"] = max(w["ctl_B/s_max"], control)
		steps += after.steps - before[i].steps
		stepSum += after.stepSum - before[i].stepSum
	}
	if steps > 0 {
		w["step_us"] = 1e6 * stepSum / steps
		w["steps/s"] = steps / seconds / n
	}
	w["reads/s"] = (statsAfter.Reads - statsBefore.Reads) / seconds
	w["rows_read/s"] = (statsAfter.RowsRead - statsBefore.RowsRead) / seconds
	w["commits/s"] = (statsAfter.Commits - statsBefore.Commits) / seconds
	w["rows_written/s"] = (statsAfter.RowsWritten - statsBefore.RowsWritten) / seconds
	w["throttled/s"] = (statsAfter.Throttled - statsBefore.Throttled) / seconds
	w["exchanges/s"] = (statsAfter.Exchanges - statsBefore.Exchanges) / seconds
	w["starts/s"] = (statsAfter.Starts - statsBefore.Starts) / seconds
	w["running"] = statsAfter.Running
	return w
}

// spreadOf are the units whose spread over the windows is reported as well.
var spreadOf = []string{"cpu_pct", "rss_MB", "ctl_B/s", "paid_B/s", "rows_read/s", "rows_written/s", "starts/s"}

// waitQuiet waits until the daemons write no rows.
func (f *fleet) waitQuiet() {
	f.b.Helper()
	last, since := -1.0, time.Now()
	for begin := time.Now(); time.Since(begin) < quietLimit; time.Sleep(200 * time.Millisecond) {
		if written := f.stats().RowsWritten; written != last {
			last, since = written, time.Now()
		}
		if time.Since(since) > quietFor {
			return
		}
	}
	f.b.Fatalf("the fleet still writes rows after %s: %+v", quietLimit, f.stats())
}

// waitRunning waits until tasks run; tasks that don't start are an error with the jobs that wait, and the benchmark goes on.
func (f *fleet) waitRunning(tasks int) {
	f.b.Helper()
	for begin := time.Now(); time.Since(begin) < startLimit; time.Sleep(100 * time.Millisecond) {
		if f.stats().Running >= float64(tasks) {
			return
		}
	}
	var list api.JobList
	if err := f.get(f.daemons[0].url+"/v1/jobs", &list); err != nil {
		f.b.Error(err)
	}
	shown := 0
	for _, j := range list.Jobs {
		if j.Tasks.Pending+j.Tasks.Starting > 0 && shown < 5 {
			shown++
			f.b.Logf("%s/%s (%s): %+v %s", j.Team, j.ID, j.Workload, j.Tasks, j.Reason)
		}
	}
	f.b.Errorf("%v of %d tasks run after %s; %d jobs listed, missing daemons %v", f.stats().Running, tasks, startLimit, len(list.Jobs), list.Missing)
}

// report measures three windows after a settling time and reports means, and half the range of some as <unit>_pm.
func (f *fleet) report(b *testing.B, load func(end time.Time)) {
	b.Helper()
	time.Sleep(settle)
	var all []window
	for range windows {
		all = append(all, f.measure(benchSeconds(b), load))
	}
	s := f.stats()
	if s.Overlaps != 0 || s.CapacityRefusals != 0 {
		b.Errorf("%v tasks ran in two places, %v starts exceeded a worker", s.Overlaps, s.CapacityRefusals)
	}
	for unit := range all[0] {
		sum := 0.0
		for _, w := range all {
			sum += w[unit]
		}
		b.ReportMetric(sum/windows, unit)
	}
	for _, unit := range spreadOf {
		least, most := math.Inf(1), math.Inf(-1)
		for _, w := range all {
			least, most = min(least, w[unit]), max(most, w[unit])
		}
		b.ReportMetric((most-least)/2, unit+"_pm")
	}
	b.ReportMetric(0, "ns/op")
}
