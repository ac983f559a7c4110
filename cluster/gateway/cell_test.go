package gateway

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

var (
	errDenied = errors.New("no such key")
	homePlace = cluster.Place{Region: "deutschschweiz", Zone: "ds-1"}
)

const testRetention = 3 * time.Minute

// memoryStore is a table service in memory with injected faults.
type memoryStore struct {
	mu      sync.Mutex
	version cluster.Version
	rows    map[string]platform.Row
	down    bool
	// loseAnswers is how many commits apply without an answer.
	loseAnswers int
	delay       time.Duration
}

func (s *memoryStore) Read(_ context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindUnavailable}
	}
	reply := platform.ReadReply{AsOf: s.version}
	for key, row := range s.rows {
		prefixed := slices.ContainsFunc(req.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
		if (prefixed || slices.Contains(req.Keys, key)) && row.Version > req.SinceVersion {
			reply.Rows = append(reply.Rows, row)
		}
	}
	slices.SortFunc(reply.Rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return reply, nil
}

func (s *memoryStore) Commit(_ context.Context, txn platform.Txn) (cluster.Version, error) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay + 2*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, &platform.Error{Op: "commit", Kind: platform.KindUnavailable}
	}
	for _, c := range txn.Checks {
		row := s.rows[c.Key]
		if row.Deleted {
			row.Version = 0
		}
		if row.Version != c.Version {
			return 0, &platform.Error{Op: "commit", Kind: platform.KindConflict, Key: c.Key}
		}
	}
	s.version++
	for _, p := range txn.Puts {
		s.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, key := range txn.Deletes {
		s.rows[key] = platform.Row{Key: key, Version: s.version, Deleted: true}
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, &platform.Error{Op: "commit", Kind: platform.KindUnknown}
	}
	return s.version, nil
}

func (s *memoryStore) set(f func(*memoryStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *memoryStore) deleted(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].Deleted
}

// testAuthorizer honours the keys of a snapshot; a key's secret is its name.
type testAuthorizer struct {
	mu       sync.Mutex
	snapshot *cluster.Snapshot
	// stale refuses every key, as a daemon does that can't confirm its configuration.
	stale bool
}

func (a *testAuthorizer) Snapshot() *cluster.Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.snapshot
}

func (a *testAuthorizer) Authorize(secret string, queue cluster.QueueName) (cluster.TeamName, error) {
	s := a.Snapshot()
	q := s.Queues[queue]
	if q != nil && q.Open {
		return q.Team, nil
	}
	a.mu.Lock()
	stale := a.stale
	a.mu.Unlock()
	if stale {
		return "", errDenied
	}
	key := s.KeysBy[sha256.Sum256([]byte(secret))]
	if q == nil || key == nil || (q.Team != "" && q.Team != key.Team) {
		return "", errDenied
	}
	return key.Team, nil
}

// behaviour answers one request on a connection; it returns whether to go on with the connection.
type behaviour func(conn net.Conn, req *http.Request, body []byte) bool

// testRunner is an upstream that answers as its behaviour says.
type testRunner struct {
	vm platform.VM

	mu       sync.Mutex
	behave   behaviour
	refuse   bool
	ran      map[string]int
	inFlight int
	peak     int
	open     int
	peakOpen int
	requests int
	probes   int
	conns    []net.Conn
	// ended is called at the end of each request.
	ended func()
}

func (r *testRunner) set(b behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behave = b
}

func (r *testRunner) refuseConnections(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = on
}

func (r *testRunner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

// peaks returns the most requests and connections at once.
func (r *testRunner) peaks() (requests, connections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak, r.peakOpen
}

// runnerConn ends the request on it with the first byte of the answer, because
// the gateway may send the next one as soon as it has the answer.
type runnerConn struct {
	net.Conn
	runner *testRunner
	end    func()
}

func (c *runnerConn) Write(p []byte) (int, error) {
	c.end()
	return c.Conn.Write(p)
}

// notRun takes back that the runner ran a request.
func (c *runnerConn) notRun(req *http.Request) {
	c.runner.mu.Lock()
	defer c.runner.mu.Unlock()
	c.runner.ran[req.Header.Get("X-Token")]--
}

func (r *testRunner) serve(raw net.Conn) {
	defer raw.Close()
	conn := &runnerConn{Conn: raw, runner: r, end: func() {}}
	r.mu.Lock()
	r.open++
	r.peakOpen = max(r.peakOpen, r.open)
	r.conns = append(r.conns, conn)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.open--
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !r.handle(conn, req, body) {
			return
		}
	}
}

func (r *testRunner) handle(conn *runnerConn, req *http.Request, body []byte) bool {
	if req.URL.Path == probePath {
		r.mu.Lock()
		r.probes++
		r.mu.Unlock()
		return reply(conn, "200 OK", "ok")
	}
	r.mu.Lock()
	r.requests++
	r.inFlight++
	r.peak = max(r.peak, r.inFlight)
	if token := req.Header.Get("X-Token"); token != "" {
		r.ran[token]++
	}
	behave := r.behave
	r.mu.Unlock()
	conn.end = sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inFlight--
		if r.ended != nil {
			r.ended()
		}
	})
	defer conn.end()
	return behave(conn, req, body)
}

// reply writes an answer with a length and keeps the connection.
func reply(conn net.Conn, status, body string, headers ...string) bool {
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
	return err == nil
}

// echo answers with the method, path and body after a service time.
func echo(took time.Duration) behaviour {
	return func(conn net.Conn, req *http.Request, body []byte) bool {
		time.Sleep(took)
		return reply(conn, "200 OK", req.Method+" "+req.URL.RequestURI()+" "+string(body))
	}
}

// testCell is a service with runners, and daemons with a shared store.
type testCell struct {
	t        *testing.T
	is       *is.I
	store    *memoryStore
	auth     *testAuthorizer
	runners  []*testRunner
	gateways []*Gateway
	journals []*journal.Journal
	paid     []*paidlink.Counter
	queue    int
	mu       sync.Mutex
}

type cellOptions struct {
	daemons, runners int
	place            func(runner int) cluster.Place
	took             time.Duration
	queueLimit       int
	entities         []cluster.Entity
	storeDown        bool
}

// runCell runs f against a cell in a bubble of virtual time.
func runCell(t *testing.T, o cellOptions, f func(c *testCell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, o)
		defer c.close()
		f(c)
	})
}

func newCell(t *testing.T, o cellOptions) *testCell {
	c := &testCell{t: t, is: is.New(t), store: &memoryStore{rows: map[string]platform.Row{}, down: o.storeDown}, queue: o.queueLimit}
	c.auth = &testAuthorizer{snapshot: cluster.Assemble(1, append(testEntities(), o.entities...))}
	for i := range o.runners {
		place := homePlace
		if o.place != nil {
			place = o.place(i)
		}
		c.addRunner(place, echo(o.took))
	}
	for range max(o.daemons, 1) {
		c.addDaemon()
	}
	c.refresh()
	time.Sleep(3 * time.Second)
	return c
}

func testEntities() []cluster.Entity {
	entities := []cluster.Entity{
		&cluster.Queue{Name: "bookings"},
		&cluster.Queue{Name: "public", Open: true, Team: "guests"},
		&cluster.Team{Name: "guests", Share: 1},
		&cluster.ServiceRoute{Name: "booking", Queue: "bookings", Timeout: 10 * time.Second},
		&cluster.ServiceRoute{Name: "calendar", Queue: "public", Timeout: 10 * time.Second},
	}
	for _, team := range []string{"archive", "radio"} {
		entities = append(entities, &cluster.Team{Name: cluster.TeamName(team), Share: 1},
			&cluster.Key{Name: cluster.KeyName(team), Team: cluster.TeamName(team), Hash: sha256.Sum256([]byte(team))})
	}
	return entities
}

func (c *testCell) addRunner(place cluster.Place, b behaviour) *testRunner {
	i := len(c.runners)
	r := &testRunner{behave: b, ran: map[string]int{}, vm: platform.VM{
		ID: fmt.Sprintf("runner-%02d", i), Role: platform.RoleRunner, Place: place, Service: "booking",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 8080),
	}}
	c.runners = append(c.runners, r)
	return r
}

func (c *testCell) dial(_ context.Context, addr netip.AddrPort) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	for _, r := range c.runners {
		r.mu.Lock()
		refused := r.refuse
		r.mu.Unlock()
		if r.vm.Addr == addr && !refused {
			ours, theirs := net.Pipe()
			go r.serve(theirs)
			return ours, nil
		}
	}
	return nil, errors.New("connection refused")
}

type testSender struct {
	c    *testCell
	from cluster.DaemonID
}

// Broadcast hands a message to the other daemons after a delay.
func (s *testSender) Broadcast(m peer.Message) {
	go func() {
		time.Sleep(time.Millisecond)
		for _, g := range s.c.daemons() {
			if g.cfg.Self != s.from {
				g.HandlePeer(s.from, m)
			}
		}
	}()
}

func (c *testCell) daemons() []*Gateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.gateways)
}

func (c *testCell) addDaemon() *Gateway {
	i := len(c.daemons())
	id := cluster.DaemonID(fmt.Sprintf("daemon-%d", i))
	j := journal.New(journal.Config{Store: c.store, Writer: string(id)})
	paid := paidlink.New(paidlink.Config{Self: homePlace.Region})
	g := New(Config{
		Self: id, Place: homePlace, Authorizer: c.auth, Store: c.store, Journal: j, Dial: c.dial,
		Sender: &testSender{c, id}, Random: rand.New(rand.NewPCG(uint64(i), 7)), QueueLimit: c.queue, Retention: testRetention, PaidLink: paid,
		Invariants: invariant.New(invariant.Config{Fail: func(m string) { c.t.Error(m) }}),
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.journals, c.paid = append(c.journals, j), append(c.paid, paid)
	c.gateways = append(c.gateways, g)
	return g
}

// refresh tells every daemon the runners and members.
func (c *testCell) refresh() {
	var members []Member
	for _, g := range c.daemons() {
		members = append(members, Member{ID: g.cfg.Self})
	}
	for _, g := range c.daemons() {
		g.SetMembers(members)
		g.SetUpstreams(c.vms())
	}
}

func (c *testCell) vms() []platform.VM {
	var vms []platform.VM
	for _, r := range c.runners {
		vms = append(vms, r.vm)
	}
	return vms
}

func (c *testCell) close() {
	for i, g := range c.daemons() {
		c.journals[i].Close()
		g.Close()
	}
	for _, r := range c.runners {
		r.mu.Lock()
		for _, conn := range r.conns {
			conn.Close()
		}
		r.mu.Unlock()
	}
	// Messages under way and slots of requests given up on end first.
	time.Sleep(time.Minute)
}

// ask sends a request of team archive through a daemon and returns the answer.
func (c *testCell) ask(daemon int, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	return c.askAs(daemon, "archive", "booking", method, path, body, headers...)
}

func (c *testCell) askAs(daemon int, secret string, service cluster.ServiceName, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, "/v1/services/"+string(service)+path, strings.NewReader(body))
	if secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	c.daemons()[daemon].ServeService(w, req, service, strings.TrimPrefix(req.URL.Path, "/v1/services/"+string(service)))
	return w
}

// ran returns how often runners ran the request with a token.
func (c *testCell) ran(token string) int {
	n := 0
	for _, r := range c.runners {
		r.mu.Lock()
		n += r.ran[token]
		r.mu.Unlock()
	}
	return n
}

func (c *testCell) setAll(b behaviour) {
	for _, r := range c.runners {
		r.set(b)
	}
}

func (s *memoryStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].Value
}
