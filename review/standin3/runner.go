package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxHold is max_hold_ms, heartbeat is heartbeat_ms of a small installation.
	maxHold   = 6000
	heartbeat = 1500 * time.Millisecond
	// maxListedEnds is the number of ends in one answer.
	maxListedEnds = 500
)

// event is something that a runner has seen.
type event struct {
	at     time.Time
	kind   string
	task   string
	run    uint64
	runner string
}

// runner is a stand-in for a runner of PROTOCOL.md. Each run ends as done after the duration of its task.
type runner struct {
	id, service, zone string
	labels            []string
	cpu               int64
	addr              string
	duration          func(task string) time.Duration
	notify            func(event)
	store             *store

	mu       sync.Mutex
	born     time.Time
	sequence int
	fence    uint64
	leaseEnd int64
	running  map[string]*activeRun
	highest  map[string]uint64
	ended    [][]any
	lastEnd  uint64
	changed  chan struct{}
}

type activeRun struct {
	run      uint64
	began    time.Time
	duration time.Duration
	timer    *time.Timer
}

type runnerRequest struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	Fence      uint64 `json:"fencing_token"`
	DeadlineMS int64  `json:"deadline_ms"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

type runnerReply struct {
	ClockMS int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// begin starts the life of a runner at an address that it listens on, and registers it.
func (r *runner) begin() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addr, r.born, r.changed = listener.Addr().String(), time.Now().Add(-time.Minute), make(chan struct{})
	r.running, r.highest = map[string]*activeRun{}, map[string]uint64{}
	go func() { _ = http.Serve(listener, r) }()
	go func() {
		for {
			r.beat()
			time.Sleep(heartbeat)
		}
	}()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			r.mu.Lock()
			r.expire()
			r.mu.Unlock()
		}
	}()
	return nil
}

func (r *runner) beat() {
	r.mu.Lock()
	r.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": 65536, "gpu": 0}, "labels": r.labels, "clock_ms": r.clock(), "born": r.born.UnixMilli(), "sequence": r.sequence,
	})
	r.mu.Unlock()
	if err == nil {
		r.store.put("servers", r.id, entry)
	}
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// ServeHTTP carries out an order.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var q runnerRequest
	if err := json.NewDecoder(req.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := req.Header.Get("Expect-Instance"); expect != "" && expect != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/api/hold" && q.WaitMS > 0 {
		r.awaitEnd(req, q)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	reply := runnerReply{ClockMS: r.clock(), Born: r.born.UnixMilli()}
	switch {
	case q.Fence < r.fence:
		reply.Reason = "fence"
	case req.URL.Path == "/api/run-start":
		r.fence = q.Fence
		reply.Reason = r.start(q)
	case req.URL.Path == "/api/run-stop":
		r.fence = q.Fence
		r.stop(q)
	case req.URL.Path == "/api/hold":
		r.fence = q.Fence
		r.hold(q, &reply)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	status := http.StatusOK
	if reply.Reason != "" {
		status = http.StatusConflict
	}
	respond(w, status, &reply)
}

// awaitEnd waits for an end that is not acknowledged, for wait_ms at most.
func (r *runner) awaitEnd(req *http.Request, q runnerRequest) {
	timer := time.NewTimer(time.Duration(min(q.WaitMS, 2000)) * time.Millisecond)
	defer timer.Stop()
	for {
		r.mu.Lock()
		waits, changed := r.lastEnd <= q.AckCursor, r.changed
		r.mu.Unlock()
		if !waits {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (r *runner) extend(deadline int64) {
	r.leaseEnd = max(r.leaseEnd, min(deadline, r.clock()+maxHold))
}

func (r *runner) start(q runnerRequest) string {
	if a := r.running[q.Task]; a != nil && a.run == q.Run {
		r.extend(q.DeadlineMS)
		return ""
	}
	if q.Run <= r.highest[q.Task] {
		r.extend(q.DeadlineMS)
		return "old"
	}
	if q.DeadlineMS < r.clock() {
		return "late"
	}
	r.extend(q.DeadlineMS)
	if a := r.running[q.Task]; a != nil {
		r.end(q.Task, "stopped")
	}
	a := &activeRun{run: q.Run, began: time.Now(), duration: r.duration(q.Task)}
	r.running[q.Task] = a
	r.notify(event{time.Now(), "started", q.Task, q.Run, r.id})
	a.timer = time.AfterFunc(a.duration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.expire()
		if r.running[q.Task] == a {
			r.end(q.Task, "done")
		}
	})
	return ""
}

func (r *runner) stop(q runnerRequest) {
	r.highest[q.Task] = max(r.highest[q.Task], q.Run)
	if a := r.running[q.Task]; a != nil && a.run <= q.Run {
		r.end(q.Task, "stopped")
	}
}

func (r *runner) end(task, how string) {
	a := r.running[task]
	a.timer.Stop()
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], a.run)
	r.lastEnd++
	r.ended = append(r.ended, []any{r.lastEnd, task, a.run, how, ""})
	r.notify(event{time.Now(), how, task, a.run, r.id})
	close(r.changed)
	r.changed = make(chan struct{})
}

// expire kills everything if the lease has run out.
func (r *runner) expire() {
	if r.clock() <= r.leaseEnd {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		r.end(task, "lapsed")
	}
}

func (r *runner) hold(q runnerRequest, reply *runnerReply) {
	if q.DeadlineMS > 0 {
		r.extend(q.DeadlineMS)
	}
	r.ended = slices.DeleteFunc(r.ended, func(e []any) bool {
		if e[0].(uint64) > q.AckCursor {
			return false
		}
		r.notify(event{time.Now(), "noted " + fmt.Sprint(e[3]), e[1].(string), e[2].(uint64), r.id})
		return true
	})
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		a := r.running[task]
		percent := min(99, int(100*time.Since(a.began)/a.duration))
		reply.Running = append(reply.Running, []any{task, a.run, "", percent, 1000})
	}
	reply.Ended = r.ended[:min(len(r.ended), maxListedEnds)]
}
