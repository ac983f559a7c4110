package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeat_ms, maxHold max_hold_ms and gangTimeout gang_timeout_ms of the settings.
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 6000 * time.Millisecond
	gangTimeout       = 3000 * time.Millisecond
	// entryTimeout is the silence after which the platform removes the entry of a runner: three liveness intervals.
	entryTimeout = 3 * heartbeatInterval
	// startupTime is how long a task that lasts needs until it is at work.
	startupTime = 300 * time.Millisecond
	maxListed   = 500
)

// taskTerms are the terms of a task that its runner works by.
type taskTerms struct {
	work    time.Duration
	gang    int // the number of members; 0 for a task that is not part of a gang
	lasting bool
}

// fleet is the runners of a case with what they share: the terms of the tasks and the gangs.
type fleet struct {
	store  *store
	record *record

	mu      sync.Mutex
	terms   map[string]taskTerms // by ID.K.STEP
	workers []*worker
	gangs   map[string]*gang // by ID.K.STEP and run
	runs    []*runInfo
	// lastStarter names the caller of the last order to start a task.
	lastStarter string
}

type gang struct {
	members  map[string]*run
	complete bool
	ended    bool
}

// runInfo is one run as its runner saw it.
type runInfo struct {
	task       string
	number     uint64
	worker     string
	start, end time.Time // end is zero while the run is live
	how        string
	noted      time.Time // when ack_cursor reached the end
}

type run struct {
	info  *runInfo
	terms taskTerms
	// workStart is when the work began: at the start, or when all members of the gang were present.
	workStart time.Time
}

type endEntry struct {
	number uint64
	info   *runInfo
}

// worker is one life of a runner.
type worker struct {
	fleet    *fleet
	id, zone string
	region   string
	service  string
	rack     string
	cpu      int
	address  string
	born     time.Time
	// reachesStore reports whether the runner's liveness reports arrive; nil means that they do.
	reachesStore func() bool
	reportedAt   time.Time
	listed       bool
	sequence     int

	// All fields below are guarded by fleet.mu.
	fence    uint64
	leaseEnd int64 // on the runner's clock
	lapses   []time.Time
	lapsed   bool
	running  map[string]*run
	highest  map[string]uint64 // the highest run of a task that ended or was stopped
	ended    []endEntry
	lastEnd  uint64
}

func newFleet(s *store, r *record) *fleet {
	return &fleet{store: s, record: r, terms: map[string]taskTerms{}, gangs: map[string]*gang{}}
}

// add adds a runner that has been up for a minute.
func (f *fleet) add(id, service, zone, region, rack string, cpu int) *worker {
	w := &worker{
		fleet: f, id: id, service: service, zone: zone, region: region, rack: rack, cpu: cpu, born: time.Now().Add(-time.Minute),
		running: map[string]*run{}, highest: map[string]uint64{},
	}
	f.workers = append(f.workers, w)
	return w
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// loop reports the runners' liveness and carries out what time brings: ends of work, leases and gangs that wait.
func (f *fleet) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, w := range f.workers {
			w.report()
		}
		f.mu.Lock()
		f.advance()
		f.mu.Unlock()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// report writes the runner's entry, or has the platform remove it after a silence.
func (w *worker) report() {
	now := time.Now()
	if w.reachesStore != nil && !w.reachesStore() {
		if w.listed && now.Sub(w.reportedAt) > entryTimeout {
			w.listed = false
			w.fleet.store.put("servers", w.id, nil)
			w.fleet.record.add("platform: entry of runner %s removed after %s of silence", w.id, entryTimeout)
		}
		return
	}
	if now.Sub(w.reportedAt) < heartbeatInterval {
		return
	}
	w.reportedAt, w.listed = now, true
	w.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", w.rack}, "clock_ms": w.clock(),
		"sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.fleet.store.put("servers", w.id, entry)
}

// advance ends the runs that are done, lapsed or alone; f.mu is held.
func (f *fleet) advance() {
	now := time.Now()
	for _, w := range f.workers {
		if w.clock() > w.leaseEnd {
			if !w.lapsed {
				w.lapsed = true
				w.lapses = append(w.lapses, now)
			}
			for task := range w.running {
				w.end(task, "lapsed")
			}
			continue
		}
		for task, r := range w.running {
			switch {
			case r.terms.gang > 0 && r.workStart.IsZero():
				if now.Sub(r.info.start) > gangTimeout {
					w.end(task, "alone")
				}
			case !r.terms.lasting && now.Sub(r.workStart) >= r.terms.work:
				if r.terms.gang > 0 {
					f.endGang(task, r.info.number, "done")
				} else {
					w.end(task, "done")
				}
			}
		}
	}
}

func stepOf(task string) string { return task[:max(0, strings.LastIndexByte(task, '.'))] }

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func gangKey(task string, number uint64) string {
	return stepOf(task) + "/" + strconv.FormatUint(number, 10)
}

// endGang ends all members of a gang; f.mu is held.
func (f *fleet) endGang(task string, number uint64, how string) {
	g := f.gangs[gangKey(task, number)]
	if g == nil || g.ended {
		return
	}
	g.ended = true
	for _, w := range f.workers {
		for member, r := range w.running {
			if g.members[member] == r {
				w.end(member, how)
			}
		}
	}
}

// end ends a run on the runner; fleet.mu is held.
func (w *worker) end(task, how string) {
	r := w.running[task]
	if r == nil {
		return
	}
	delete(w.running, task)
	r.info.end, r.info.how = time.Now(), how
	w.highest[task] = max(w.highest[task], r.info.number)
	w.lastEnd++
	w.ended = append(w.ended, endEntry{w.lastEnd, r.info})
	w.fleet.record.add("runner %s: run %d of %s ended: %s", w.id, r.info.number, task, how)
	if r.terms.gang > 0 {
		w.fleet.endGang(task, r.info.number, "broken")
	}
}

type workerCall struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	FencingToken uint64 `json:"fencing_token"`
	DeadlineMS   int64  `json:"deadline_ms"`
	AckCursor    uint64 `json:"ack_cursor"`
	WaitMS       int64  `json:"wait_ms"`
	Percent      int    `json:"percent"`
}

type workerAnswer struct {
	ClockMS int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// ServeHTTP serves the calls of the daemons.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	var c workerCall
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	from := "nobody that is known"
	if m := caller(req); m != nil {
		from = m.name
	}
	status, a := w.serve(req.URL.Path, req.Header.Get("Expect-Instance"), &c, from)
	if a == nil {
		rw.WriteHeader(status)
		return
	}
	answer(rw, status, a)
}

func (w *worker) serve(path, instance string, c *workerCall, from string) (int, *workerAnswer) {
	f := w.fleet
	if instance != "" && instance != w.id {
		return http.StatusMisdirectedRequest, nil
	}
	if path == "/api/hold" {
		w.awaitEnd(c)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	a := &workerAnswer{ClockMS: w.clock(), Born: w.born.UnixMilli()}
	if c.FencingToken < w.fence {
		a.Reason = "fence"
		f.record.add("runner %s: refused %s of %s: its fencing token %d is below %d", w.id, path, from, c.FencingToken, w.fence)
		return http.StatusConflict, a
	}
	w.fence = c.FencingToken
	switch path {
	case "/api/run-start":
		if a.Reason = w.start(c, from); a.Reason != "" {
			return http.StatusConflict, a
		}
	case "/api/run-stop":
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		if r := w.running[c.Task]; r != nil && r.info.number <= c.Run {
			w.end(c.Task, "stopped")
		}
	case "/api/hold":
		w.extend(c.DeadlineMS)
		w.list(c, a)
	case "/api/pace":
	default:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, a
}

// extend takes over a deadline, which never shortens the lease; fleet.mu is held.
func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold.Milliseconds()))
	w.lapsed = w.clock() > w.leaseEnd
}

// start starts a run and returns the reason of a refusal; fleet.mu is held.
func (w *worker) start(c *workerCall, from string) string {
	if r := w.running[c.Task]; r != nil && r.info.number == c.Run {
		w.extend(c.DeadlineMS)
		return ""
	}
	if c.Run <= w.highest[c.Task] {
		w.extend(c.DeadlineMS)
		return "old"
	}
	if c.DeadlineMS <= w.clock() {
		return "late"
	}
	f := w.fleet
	f.lastStarter = from
	w.extend(c.DeadlineMS)
	w.end(c.Task, "stopped")
	info := &runInfo{task: c.Task, number: c.Run, worker: w.id, start: time.Now()}
	f.runs = append(f.runs, info)
	r := &run{info: info, terms: f.terms[stepOf(c.Task)]}
	w.running[c.Task] = r
	f.record.add("runner %s: started run %d of %s for %s (fencing token %d)", w.id, c.Run, c.Task, from, c.FencingToken)
	if r.terms.gang == 0 {
		r.workStart = info.start
		return ""
	}
	key := gangKey(c.Task, c.Run)
	if f.gangs[key] == nil {
		f.gangs[key] = &gang{members: map[string]*run{}}
	}
	g := f.gangs[key]
	g.members[c.Task] = r
	if len(g.members) == r.terms.gang && !g.ended {
		g.complete = true
		for _, member := range g.members {
			member.workStart = time.Now()
		}
	}
	return ""
}

// awaitEnd waits for an end that is not taken note of.
func (w *worker) awaitEnd(c *workerCall) {
	f := w.fleet
	for over := time.Now().Add(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond); time.Now().Before(over); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		found := slices.ContainsFunc(w.ended, func(e endEntry) bool { return e.number > c.AckCursor })
		f.mu.Unlock()
		if found {
			return
		}
	}
}

// list takes note of ends and adds both lists to the answer; fleet.mu is held.
func (w *worker) list(c *workerCall, a *workerAnswer) {
	w.ended = slices.DeleteFunc(w.ended, func(e endEntry) bool {
		if e.number <= c.AckCursor && e.info.noted.IsZero() {
			e.info.noted = time.Now()
		}
		return e.number <= c.AckCursor
	})
	for task, r := range w.running {
		a.Running = append(a.Running, []any{task, r.info.number, "", r.percent(), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		a.Ended = append(a.Ended, []any{e.number, e.info.task, e.info.number, e.info.how, ""})
	}
}

// percent returns the progress of a run.
func (r *run) percent() int {
	switch {
	case r.workStart.IsZero():
		return 0
	case r.terms.lasting && time.Since(r.workStart) < startupTime:
		return 0
	case r.terms.lasting:
		return 100
	}
	return min(99, int(100*time.Since(r.workStart)/max(r.terms.work, 1)))
}

// live returns the live runs of a task.
func (f *fleet) live(task string) []*runInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*runInfo
	for _, i := range f.runs {
		if i.task == task && i.end.IsZero() {
			list = append(list, i)
		}
	}
	return list
}

// isDone reports whether a run of a task has ended done.
func (f *fleet) isDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.runs, func(i *runInfo) bool { return i.task == task && i.how == "done" })
}

// hasBegun reports whether a task of a job has been started.
func (f *fleet) hasBegun(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.runs, func(i *runInfo) bool { return strings.HasPrefix(i.task, job+".") })
}

// overlaps returns the pairs of runs of one task that were live at the same time on two runners.
func (f *fleet) overlaps() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for i, a := range f.runs {
		for _, b := range f.runs[i+1:] {
			if a.task != b.task {
				continue
			}
			from, to := maxTime(a.start, b.start), minTime(endOf(a), endOf(b))
			if d := to.Sub(from); d > 0 {
				list = append(list, fmt.Sprintf("%s: run %d on %s and run %d on %s ran at the same time for %.3f s", a.task, a.number, a.worker, b.number, b.worker, math.Round(d.Seconds()*1000)/1000))
			}
		}
	}
	return list
}

// repeats returns the starts of a task after a run of it had ended done on a runner whose lease did not lapse until the
// end was taken note of.
func (f *fleet) repeats() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, a := range f.runs {
		if a.how != "done" || a.noted.IsZero() || f.lapsedBetween(a.worker, a.end, a.noted) {
			continue
		}
		for _, b := range f.runs {
			if a.task == b.task && b.start.After(a.end) {
				list = append(list, fmt.Sprintf("%s: run %d started on %s %.3f s after run %d had ended done on %s; that end was taken note of", a.task, b.number, b.worker, b.start.Sub(a.end).Seconds(), a.number, a.worker))
			}
		}
	}
	return list
}

// lapsedBetween reports whether the lease of a runner lapsed between two times; f.mu is held.
func (f *fleet) lapsedBetween(id string, from, to time.Time) bool {
	for _, w := range f.workers {
		if w.id == id {
			return slices.ContainsFunc(w.lapses, func(t time.Time) bool { return t.After(from) && t.Before(to) })
		}
	}
	return false
}

func endOf(i *runInfo) time.Time {
	if i.end.IsZero() {
		return time.Now()
	}
	return i.end
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
