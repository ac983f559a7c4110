package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// answerDelay is the time of an answer of the store, txDelay that of a transaction.
	answerDelay = 4 * time.Millisecond
	txDelay     = 6 * time.Millisecond
	// maxPageRows is the largest number of rows in an answer.
	maxPageRows = 500
	// maxValueBytes is row_bytes of the settings.
	maxValueBytes = 65536
)

type rowKey struct{ Table, Part, Key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Removed bool   `json:"removed,omitempty"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Version uint64 `json:"row_version"`
	NowMS   int64  `json:"now_ms"`
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// down reports whether a part of the store is unavailable; nil means that none is.
	down func(part string) bool
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
}

// setDown sets which parts are unavailable; nil means none.
func (s *store) setDown(down func(part string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown(part string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down != nil && s.down(part)
}

// put writes a row as the operator or a runner does; a nil value removes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key, Value: value, Removed: value == nil}})
}

// apply writes rows under one version; s.mu is held.
func (s *store) apply(puts, others []row) {
	s.version++
	for _, r := range slices.Concat(puts, others) {
		r.Version = s.version
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the calls that read and write rows.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.commit)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-parts", s.listParts)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	return mux
}

type transaction struct {
	Precondition []row `json:"precondition"`
	Puts         []row `json:"puts"`
	Remove       []row `json:"remove"`
}

// valid reports whether a transaction keeps the limits of the store.
func (t *transaction) valid() (status int) {
	all := slices.Concat(t.Precondition, t.Puts, t.Remove)
	if len(all) == 0 || len(all) > 100 {
		return http.StatusBadRequest
	}
	for _, r := range all {
		if r.Part != all[0].Part || len(r.Value) > maxValueBytes {
			return http.StatusBadRequest
		}
	}
	for _, r := range slices.Concat(t.Puts, t.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden
		}
	}
	return http.StatusOK
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := t.valid(); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	part := slices.Concat(t.Precondition, t.Puts, t.Remove)[0].Part
	if s.isDown(part) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	turn := s.parts[part]
	if turn == nil {
		turn = &sync.Mutex{}
		s.parts[part] = turn
	}
	s.mu.Unlock()
	turn.Lock()
	time.Sleep(txDelay)
	turn.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, c := range t.Precondition {
		now := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if now.Removed {
			now.Version, now.Value = 0, nil
		}
		conflict = conflict || now.Version != c.Version
		current = append(current, row{Table: c.Table, Part: c.Part, Key: c.Key, Version: now.Version, Value: now.Value})
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, &rowsAnswer{Rows: current, Version: s.version, NowMS: nowMS()})
		return
	}
	for i := range t.Remove {
		t.Remove[i].Removed, t.Remove[i].Value = true, nil
	}
	s.apply(t.Puts, t.Remove)
	answer(w, http.StatusOK, &rowsAnswer{Rows: []row{}, Version: s.version, NowMS: nowMS()})
}

// selectRows returns the wanted rows, ordered by key; s.mu is held.
func (s *store) selectRows(wanted func(*row) bool) []row {
	list := []row{}
	for _, r := range s.rows {
		if wanted(&r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Key, b.Key)) })
	return list
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(answerDelay)
	if s.isDown(q.Get("part")) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.selectRows(func(r *row) bool {
		return r.Table == q.Get("table") && r.Part == q.Get("part") && !r.Removed && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to"))
	})
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	hasMore := len(list) > limit
	list = list[:min(len(list), limit)]
	answer(w, http.StatusOK, &rowsAnswer{Rows: list, HasMore: hasMore, Version: s.version, NowMS: nowMS()})
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(answerDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for _, r := range s.selectRows(func(r *row) bool { return r.Table == q.Get("table") && !r.Removed }) {
		if !slices.Contains(parts, r.Part) && strings.Compare(r.Part, q.Get("after")) >= 0 && (q.Get("after") == "" || r.Part != q.Get("after")) {
			parts = append(parts, r.Part)
		}
	}
	answer(w, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), 1000)]})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(answerDelay)
	over := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		changed, version := s.changed, s.version
		list := s.selectRows(func(r *row) bool { return r.Table == q.Get("table") && r.Version > after })
		s.mu.Unlock()
		if len(list) > 0 || !waiting {
			slices.SortStableFunc(list, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
			answer(w, http.StatusOK, &rowsAnswer{Rows: list, Version: version, NowMS: nowMS()})
			return
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

var startOfProcess = time.Now()

func nowMS() int64 { return time.Since(startOfProcess).Milliseconds() }

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
