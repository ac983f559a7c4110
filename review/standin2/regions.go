package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

// link is the link between two regions; while it is cut, nothing passes it and nothing is reset.
type link struct {
	cut atomic.Bool
}

// hang blocks a call whose path is cut until its caller gives up or the link is back.
func (l *link) hang(r *http.Request) {
	for l.cut.Load() {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// guarded is a handler whose calls and answers don't pass a link that is cut.
func (l *link) guarded(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		l.hang(r)
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		l.hang(r)
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

// proxy forwards connections to an address unless the link is cut; it then holds back what is sent.
func (l *link) proxy(ip string, to string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	pass := func(dst, src net.Conn) {
		defer dst.Close()
		defer src.Close()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			for l.cut.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			if n > 0 {
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for l.cut.Load() {
					time.Sleep(10 * time.Millisecond)
				}
				out, err := net.Dial("tcp", to)
				if err != nil {
					_ = in.Close()
					return
				}
				go pass(out, in)
				pass(in, out)
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// world is a cell in two regions, north with the store and south.
type world struct {
	*cell
	link *link
	// addresses holds for each daemon what takes the place of an address in the rows that it reads.
	mu        sync.Mutex
	addresses map[*daemon]map[string]string
	holdBy    atomic.Pointer[daemon] // the daemon that called hold last
}

// view serves the store to a daemon. The addresses of runners and of other daemons in the rows are those of the paths from
// that daemon.
func (w *world) view(d *daemon) http.Handler {
	serve := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		w.store.ServeHTTP(answer, r)
		data := answer.Body.Bytes()
		var body map[string]json.RawMessage
		if r.Method == http.MethodGet && json.Unmarshal(data, &body) == nil && body["rows"] != nil {
			var rows []row
			if json.Unmarshal(body["rows"], &rows) == nil {
				w.mu.Lock()
				for i := range rows {
					for from, to := range w.addresses[d] {
						rows[i].Value = bytes.ReplaceAll(rows[i].Value, []byte(from), []byte(to))
					}
				}
				w.mu.Unlock()
				body["rows"], _ = json.Marshal(rows)
				data, _ = json.Marshal(body)
			}
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(answer.Code)
		_, _ = rw.Write(data)
	})
	if d.zone == "zone-b" {
		return w.link.guarded(serve)
	}
	return serve
}

// paths gives a daemon paths of its own to the runners and to the other daemons.
func (w *world) paths(d *daemon) error {
	replace := map[string]string{}
	for _, r := range w.runners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		handler := http.Handler(http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/api/hold" {
				w.holdBy.Store(d)
			}
			r.serve(rw, q, 1)
		}))
		if r.zone != d.zone {
			handler = w.link.guarded(handler)
		}
		go func() { _ = http.Serve(l, handler) }()
		replace[`"`+r.addr+`"`] = `"` + l.Addr().String() + `"`
	}
	for _, other := range w.daemons {
		if other == d || other.zone == d.zone {
			continue
		}
		// An address in the row of a daemon has a fixed length.
		for {
			addr, err := w.link.proxy(other.ip, other.peer)
			if err != nil {
				return err
			}
			if len(addr) == len(other.peer) {
				replace[other.peer] = addr
				break
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses[d] = replace
	return nil
}

// regions: the regions lose each other for a while, several times, while tasks that last run in both.
func regions(c *cell) (int, error) {
	const prefix, north, south, jobs = "/pufi791/", 24, 8, 26
	w := &world{cell: c, link: &link{}, addresses: map[*daemon]map[string]string{}}
	check := &twice{rec: c.rec, live: map[string]string{}, again: map[string]bool{}}
	for i := range north + south {
		name, zone := "i-a", "zone-a"
		if i >= north {
			name, zone = "i-z", "zone-b"
		}
		r := c.addRunner(fmt.Sprintf("%s%02d", name, i), "till-serve", time.Hour, "a", fmt.Sprintf("r-%s", zone))
		r.mu.Lock()
		r.zone = zone
		r.length = func(string) time.Duration { return time.Hour }
		r.onStart = func(task string, number uint64, _ string) { check.started(r.id, task, number) }
		r.onEnd = func(task string, _ uint64, _ string) { check.ended(r.id, task) }
		r.beat()
		r.mu.Unlock()
	}
	c.manifest([]string{"till-serve"}, route{"r-serve", prefix, "till-serve"})
	for _, zone := range []string{"zone-a", "zone-b", "zone-b"} {
		if err := c.addDaemonAt(zone, w.view); err != nil {
			return failed, err
		}
	}
	for _, d := range c.daemons {
		if err := w.paths(d); err != nil {
			return failed, err
		}
	}
	for _, d := range c.daemons {
		if err := c.start(d); err != nil {
			return failed, err
		}
	}
	if !await(15*time.Second, func() bool { return c.isReady(c.daemons[0]) && c.isReady(c.daemons[1]) && c.isReady(c.daemons[2]) }) {
		return failed, fmt.Errorf("the daemons are not ready")
	}
	until := time.Now().Add(88 * time.Second)
	for n := 1; time.Now().Before(until); n++ {
		// A daemon of the south is to own the pool.
		for d := c.daemons[0]; w.holdBy.Load() == nil || w.holdBy.Load() == d; time.Sleep(2 * time.Second) {
			if w.holdBy.Load() == nil {
				continue
			}
			c.stop(d)
			time.Sleep(300 * time.Millisecond)
			if err := c.start(d); err != nil {
				return failed, err
			}
			await(10*time.Second, func() bool { return c.isReady(d) })
		}
		c.rec.add("%s calls the runners", w.holdBy.Load().name)
		var ids []string
		for range jobs {
			id := fmt.Sprintf("%016x", rand.Uint64())
			if !c.submit(prefix, id, `{"spec":"serve","steps":[{"count":1,"cpu":2500,"mem_mb":64,"long_running":true}]}`) {
				return failed, fmt.Errorf("a job was not accepted")
			}
			ids = append(ids, id)
			time.Sleep(37 * time.Millisecond)
		}
		if !await(6*time.Second, func() bool { return busy(c.runners) == jobs }) {
			return failed, fmt.Errorf("%d of the jobs have begun", busy(c.runners))
		}
		time.Sleep(1500*time.Millisecond + rand.N(time.Second))
		if fault() {
			c.rec.add("cut %d: the regions lose each other", n)
			w.link.cut.Store(true)
			time.Sleep(5500 * time.Millisecond)
			w.link.cut.Store(false)
			c.rec.add("the regions reach each other again")
		}
		time.Sleep(2 * time.Second)
		check.mu.Lock()
		found := len(check.again)
		check.mu.Unlock()
		if found > 0 {
			break
		}
		for i, id := range ids {
			c.call(c.daemons[i%len(c.daemons)], http.MethodDelete, prefix+id, "")
		}
		c.rec.add("the jobs are cancelled")
		if !await(6*time.Second, func() bool { return busy(c.runners) == 0 }) {
			return failed, fmt.Errorf("%d of the cancelled jobs run on", busy(c.runners))
		}
	}
	check.mu.Lock()
	defer check.mu.Unlock()
	c.rec.add("%d tasks ran twice at the same time", len(check.again))
	if len(check.again) > 0 {
		return broken, nil
	}
	return held, nil
}
