package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	maxHold   = 6000 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// runner is a stand-in for a runner that starts whatever it is told to (admission_check false).
type runner struct {
	id, service, zone, addr string
	rec                     *record
	st                      *store
	cpu, mem                int64
	// work is how long each task runs.
	work time.Duration

	mu     sync.Mutex
	life   int // number of the boot; 0 before the first
	up     bool
	labels []string
	state  string
	born   time.Time
	fence  uint64
	lease  int64 // end of the lease on the runner's clock
	runs   map[string]*run
	last   map[string]uint64
	ends   []end
	number uint64
	// doneTasks holds the tasks of which a run has ended done on this runner, in any of its lives.
	doneTasks map[string]bool
	wake      chan struct{}
	seq       int
	server    *http.Server
	// firstHold is when this boot has answered the first hold; zero before that.
	firstHold time.Time
	// length returns how long a task takes; nil if all take as long as work.
	length func(task string) time.Duration
	// fate returns how long a run lasts and how it ends, where tasks last until they fail; nil on a runner of other tasks.
	fate func(task string) (time.Duration, string)
	// onStart is called for each start, with mu held.
	onStart func(task string, number uint64, spec string)
	// onEnd is called for each end, with mu held.
	onEnd func(task string, number uint64, how string)
}

type run struct {
	number uint64
	begun  time.Time
	timer  *time.Timer
	lasts  bool
	work   time.Duration
}

type end struct {
	n    uint64
	task string
	run  uint64
	how  string
}

// boot starts a life of the runner with the given labels.
func (r *runner) boot(labels ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		panic(fmt.Sprintf("runner %s can't listen: %v", r.id, err))
	}
	r.addr = l.Addr().String()
	r.life++
	r.up, r.labels, r.state, r.born = true, labels, "ready", time.Now()
	r.fence, r.lease, r.number, r.seq = 0, 0, 0, 0
	r.runs, r.last, r.ends, r.wake = map[string]*run{}, map[string]uint64{}, nil, make(chan struct{})
	r.firstHold = time.Time{}
	life := r.life
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, life) })}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	r.rec.add("runner %s boot %d, labels %v, born %d", r.id, life, labels, r.born.UnixMilli())
	r.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			r.mu.Lock()
			if r.life != life || !r.up {
				r.mu.Unlock()
				return
			}
			r.beat()
			r.mu.Unlock()
		}
	}()
	go r.watchLease(life)
}

// crash ends the life: everything on the runner ends, its channels are reset, nothing is reported.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	for _, t := range r.runs {
		t.timer.Stop()
	}
	r.rec.add("runner %s crashes with %d runs", r.id, len(r.runs))
	r.runs = map[string]*run{}
	s := r.server
	r.mu.Unlock()
	_ = s.Close()
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// beat writes the entry in the store; mu is held.
func (r *runner) beat() {
	r.seq++
	r.st.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": r.state, "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "labels": r.labels, "clock_ms": r.clock(),
		"sequence": r.seq, "born": r.born.UnixMilli(),
	})
}

func (r *runner) watchLease(life int) {
	for {
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
		if r.life != life || !r.up {
			r.mu.Unlock()
			return
		}
		if r.clock() > r.lease {
			for task := range r.runs {
				r.finish(task, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// finish ends a run; mu is held.
func (r *runner) finish(task, how string) {
	t := r.runs[task]
	t.timer.Stop()
	delete(r.runs, task)
	r.last[task] = max(r.last[task], t.number)
	r.number++
	if how == "done" {
		if r.doneTasks == nil {
			r.doneTasks = map[string]bool{}
		}
		r.doneTasks[task] = true
	}
	r.ends = append(r.ends, end{r.number, task, t.number, how})
	r.rec.add("runner %s: run %d of %s ended %s", r.id, t.number, task, how)
	if r.onEnd != nil {
		r.onEnd(task, t.number, how)
	}
	close(r.wake)
	r.wake = make(chan struct{})
}

func (r *runner) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// done returns how many tasks of a job have ended done on the runner.
func (r *runner) done(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task := range r.doneTasks {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

type orderBody struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline *int64 `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Ack      uint64 `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request, life int) {
	if q.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	if e := q.Header.Get("Expect-Instance"); e != "" && e != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var b orderBody
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != life || !r.up {
		panic(http.ErrAbortHandler)
	}
	if b.Fence < r.fence {
		r.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.fence = b.Fence
	switch q.URL.Path {
	case "/api/run-start":
		r.start(w, &b)
	case "/api/run-stop":
		r.last[b.Task] = max(r.last[b.Task], b.Run)
		if t := r.runs[b.Task]; t != nil && t.number <= b.Run {
			r.finish(b.Task, "stopped")
		}
		r.reply(w, http.StatusOK, map[string]any{})
	case "/api/hold":
		r.hold(w, &b, life)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = r.clock(), r.born.UnixMilli()
	writeJSON(w, status, body)
}

func (r *runner) extend(deadline *int64) {
	if deadline != nil {
		r.lease = max(r.lease, min(*deadline, r.clock()+maxHold.Milliseconds()))
	}
}

func (r *runner) start(w http.ResponseWriter, b *orderBody) {
	if t := r.runs[b.Task]; t != nil && t.number == b.Run {
		r.extend(b.Deadline)
		r.reply(w, http.StatusOK, map[string]any{})
		return
	}
	switch {
	case b.Deadline == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case b.Run <= r.last[b.Task]:
		r.extend(b.Deadline)
		r.reply(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case *b.Deadline < r.clock():
		r.reply(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	r.extend(b.Deadline)
	if r.runs[b.Task] != nil {
		r.finish(b.Task, "stopped")
	}
	t := &run{number: b.Run, begun: time.Now()}
	r.runs[b.Task] = t
	life, work, how := r.life, r.work, "done"
	if r.length != nil {
		work = r.length(b.Task)
	}
	t.work = work
	if r.fate != nil {
		work, how = r.fate(b.Task)
	}
	t.lasts = r.fate != nil
	t.timer = time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.life == life && r.up && r.runs[b.Task] == t {
			r.finish(b.Task, how)
		}
	})
	r.rec.add("runner %s boot %d: start of run %d of %s", r.id, life, b.Run, b.Task)
	if r.onStart != nil {
		r.onStart(b.Task, b.Run, b.Spec)
	}
	r.reply(w, http.StatusOK, map[string]any{})
}

// hold answers a hold call, after an end or the wait.
func (r *runner) hold(w http.ResponseWriter, b *orderBody, life int) {
	r.extend(b.Deadline)
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.n > b.Ack {
			kept = append(kept, e)
		}
	}
	r.ends = kept
	if b.Wait > 0 && len(r.ends) == 0 {
		wake := r.wake
		r.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond):
		}
		r.mu.Lock()
		if r.life != life || !r.up {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for task, t := range r.runs {
		percent := min(99, int(100*time.Since(t.begun)/max(t.work, time.Millisecond)))
		if t.lasts && time.Since(t.begun) > time.Second {
			percent = 100 // at work after a short startup
		}
		running = append(running, []any{task, t.number, "", percent, 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range r.ends[:min(500, len(r.ends))] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	if r.firstHold.IsZero() {
		r.firstHold = time.Now()
		r.rec.add("runner %s boot %d has answered its first hold, with born %d", r.id, life, r.born.UnixMilli())
	}
	r.reply(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}
