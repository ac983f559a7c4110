package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store; Removed marks a dropped row in a feed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type transaction struct {
	Precondition []row `json:"precondition"`
	Puts         []row `json:"puts"`
	Remove       []row `json:"remove"`
}

// hasOnePart reports whether all entries of a transaction share a part.
func (t *transaction) hasOnePart() bool {
	all := slices.Concat(t.Precondition, t.Puts, t.Remove)
	return len(all) > 0 && !slices.ContainsFunc(all, func(r row) bool { return r.Part != all[0].Part })
}

type rowsReply struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Version uint64 `json:"row_version"`
	NowMS   int64  `json:"now_ms"`
}

// fate is what becomes of a write.
type fate struct {
	// lost means that there is no answer. The write is done after late, if its condition still holds then.
	lost bool
	late time.Duration
}

// store is a stand-in for the platform's metadata store of PROTOCOL.md.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	changed chan struct{}
	started time.Time
	// fateOf decides about a write; nil means that all are answered.
	fateOf func(t *transaction) fate
	// written counts the writes, lostWrites those without an answer.
	written, lostWrites int
}

const (
	// answerTime is the time of an answer, commitTime that of a transaction, as on the page of a small installation.
	answerTime = 4 * time.Millisecond
	commitTime = 6 * time.Millisecond
	maxRows    = 500
)

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

func (s *store) setFate(f func(t *transaction) fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fateOf = f
}

// writes returns the number of writes, and of those that lost their answer.
func (s *store) writes() (written, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written, s.lostWrites
}

// put writes a row as the operator and the runners do.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&transaction{Puts: []row{{Table: table, Key: key, Value: value}}})
}

// find returns the rows that a function selects, ordered by part and key.
func (s *store) find(want func(*row) bool) []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectRows(want)
}

func (s *store) selectRows(want func(*row) bool) []row {
	rows := []row{}
	for _, r := range s.rows {
		if want(&r) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Key, b.Key)) })
	return rows
}

func (s *store) apply(t *transaction) {
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

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

// ServeHTTP serves the calls on rows.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/api/rows-tx":
		s.commit(w, r)
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-parts":
		s.parts(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !t.hasOnePart() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range slices.Concat(t.Puts, t.Remove) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(commitTime)
	s.mu.Lock()
	s.written++
	var f fate
	if s.fateOf != nil {
		f = s.fateOf(&t)
	}
	if f.lost {
		s.lostWrites++
	}
	s.mu.Unlock()
	if f.lost {
		time.AfterFunc(f.late, func() { s.tryCommit(&t) })
		<-r.Context().Done() // the channel delivers nothing further
		return
	}
	status, reply := s.tryCommit(&t)
	respond(w, status, reply)
}

// tryCommit applies a transaction if its condition holds.
func (s *store) tryCommit(t *transaction) (int, *rowsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []row{}, false
	for _, c := range t.Precondition {
		now := s.rows[c.id()]
		if now.Removed {
			now = row{}
		}
		conflict = conflict || now.Version != c.Version
		current = append(current, row{Table: c.Table, Part: c.Part, Key: c.Key, Version: now.Version, Value: now.Value})
	}
	if conflict {
		return http.StatusPreconditionFailed, &rowsReply{Rows: current, Version: s.version, NowMS: s.now()}
	}
	s.apply(t)
	return http.StatusOK, &rowsReply{Rows: []row{}, Version: s.version, NowMS: s.now()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows := s.selectRows(func(row *row) bool {
		return row.Table == q.Get("table") && row.Part == q.Get("part") && !row.Removed && row.Key >= q.Get("from") &&
			(q.Get("to") == "" || row.Key < q.Get("to"))
	})
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply := &rowsReply{Rows: rows, HasMore: more, Version: s.version, NowMS: s.now()}
	s.mu.Unlock()
	respond(w, http.StatusOK, reply)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	parts := []string{}
	for _, row := range s.find(func(row *row) bool { return row.Table == q.Get("table") && !row.Removed }) {
		if !slices.Contains(parts, row.Part) && (!q.Has("after") || row.Part > q.Get("after")) {
			parts = append(parts, row.Part)
		}
	}
	respond(w, http.StatusOK, map[string][]string{"parts": parts})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	over := false
	for {
		s.mu.Lock()
		rows := s.selectRows(func(row *row) bool { return row.Table == q.Get("table") && row.Version > after })
		reply, changed := &rowsReply{Rows: rows, Version: s.version, NowMS: s.now()}, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			slices.SortStableFunc(rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
			respond(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
