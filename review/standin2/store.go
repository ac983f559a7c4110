package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// txTime is how long the store takes for a transaction, readTime for a read.
const (
	txTime   = 6 * time.Millisecond
	readTime = 4 * time.Millisecond
)

// row is a row of the store; Removed marks a dropped one in a feed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's metadata store. It loses nothing and its answers are linearizable.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	version uint64
	changed chan struct{}
	started time.Time
	// partDown selects the parts whose calls are answered with 503; nil means that none is down.
	partDown func(part string) bool
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), started: time.Now()}
}

type txBody struct {
	Precondition []row `json:"precondition"`
	Puts         []row `json:"puts"`
	Remove       []row `json:"remove"`
}

func (s *store) apply(t *txBody) {
	s.version++
	for _, r := range t.Puts {
		r.Version, r.Removed = s.version, false
		s.rows[r.id()] = r
	}
	for _, r := range t.Remove {
		s.rows[r.id()] = row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setPartDown takes parts of the store down, or all of them up again with nil.
func (s *store) setPartDown(down func(part string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partDown = down
}

// isDown reports whether a part is down; mu is held.
func (s *store) isDown(part string) bool { return s.partDown != nil && s.partDown(part) }

// put writes a row for the operator or a runner.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&txBody{Puts: []row{{Table: table, Key: key, Value: data}}})
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&txBody{Remove: []row{{Table: table, Key: key}}})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["row_version"], body["now_ms"] = s.version, time.Since(s.started).Milliseconds()
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/rows-tx":
		time.Sleep(txTime)
		s.tx(w, r)
	case "/api/rows-get":
		time.Sleep(readTime)
		s.get(w, r)
	case "/api/rows-parts":
		time.Sleep(readTime)
		s.parts(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t txBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]row{t.Puts, t.Remove} {
		for _, c := range list {
			if c.Table == "op" || c.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	if all := append(append(append([]row{}, t.Precondition...), t.Puts...), t.Remove...); len(all) > 0 && s.isDown(all[0].Part) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conflict := false
	current := []row{}
	for _, c := range t.Precondition {
		have := s.rows[c.id()]
		if have.Removed {
			have = row{}
		}
		conflict = conflict || have.Version != c.Version
		current = append(current, row{Table: c.Table, Part: c.Part, Key: c.Key, Value: have.Value, Version: have.Version})
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.apply(&t)
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown(q.Get("part")) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rows := []row{}
	for _, x := range s.rows {
		if !x.Removed && x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	parts := []string{}
	for _, x := range s.rows {
		if !x.Removed && x.Table == q.Get("table") && !seen[x.Part] && (q.Get("after") == "" || x.Part > q.Get("after")) {
			seen[x.Part] = true
			parts = append(parts, x.Part)
		}
	}
	sort.Strings(parts)
	s.answer(w, http.StatusOK, map[string]any{"parts": parts})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Version > after {
				rows = append(rows, x)
			}
		}
		if len(rows) > 0 || over {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
