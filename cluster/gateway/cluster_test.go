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
	errDenied  = errors.New("no such key")
	localPlace = cluster.Place{Region: "deutschschweiz", Zone: "ds-1"}
)

const testRetention = 3 * time.Minute

// memoryStore is an in-memory table service with injected faults.
type memoryStore struct {
	mu          sync.Mutex
	version     cluster.Version
	rows        map[string]platform.Row
	unavailable bool
	// readsUnavailable makes only the reads fail.
	readsUnavailable bool
	// lostReplies is the number of commits that are applied but return an error.
	lostReplies int
	// delay is added to each commit.
	delay time.Duration
}

func (s *memoryStore) Read(_ context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable || s.readsUnavailable {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindUnavailable}
	}
	reply := platform.ReadReply{AsOf: s.version}
	for key, row := range s.rows {
		hasPrefix := slices.ContainsFunc(req.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
		if (hasPrefix || slices.Contains(req.Keys, key)) && row.Version > req.SinceVersion {
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
	if s.unavailable {
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
	if s.lostReplies > 0 {
		s.lostReplies--
		return 0, &platform.Error{Op: "commit", Kind: platform.KindUnknown}
	}
	return s.version, nil
}

func (s *memoryStore) update(f func(*memoryStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *memoryStore) isDeleted(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].Deleted
}

// testAuthorizer accepts the keys of a snapshot; a key's secret is its name.
type testAuthorizer struct {
	mu       sync.Mutex
	snapshot *cluster.Snapshot
	// stale refuses every key, like a daemon that can't confirm its configuration.
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
	key := s.KeysByHash[sha256.Sum256([]byte(secret))]
	if q == nil || key == nil || (q.Team != "" && q.Team != key.Team) {
		return "", errDenied
	}
	return key.Team, nil
}

// requestHandler responds to one request on a connection; it returns whether the connection stays open.
type requestHandler func(conn net.Conn, req *http.Request, body []byte) bool

// testRunner is an upstream that responds to requests with its handler.
type testRunner struct {
	vm platform.VM

	mu           sync.Mutex
	handler      requestHandler
	refusesConns bool
	// runCounts counts the runs of requests by their X-Token header.
	runCounts     map[string]int
	inFlight      int
	peakInFlight  int
	openConns     int
	peakOpenConns int
	requests      int
	probes        int
	conns         []net.Conn
	// onRequestEnd is called at the end of each request.
	onRequestEnd func()
}

func (r *testRunner) setHandler(handler requestHandler) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handler = handler
}

func (r *testRunner) refuseConnections(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusesConns = refuse
}

func (r *testRunner) requestCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

// peaks returns the maximum numbers of concurrent requests and connections.
func (r *testRunner) peaks() (requests, connections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peakInFlight, r.peakOpenConns
}

// testRunnerConn ends its request with the first byte of the response, because
// the gateway may send the next request as soon as it has the response.
type testRunnerConn struct {
	net.Conn
	runner     *testRunner
	endRequest func()
}

func (c *testRunnerConn) Write(p []byte) (int, error) {
	c.endRequest()
	return c.Conn.Write(p)
}

// markNotRun reverts the count of a request that the runner did not run.
func (c *testRunnerConn) markNotRun(req *http.Request) {
	c.runner.mu.Lock()
	defer c.runner.mu.Unlock()
	c.runner.runCounts[req.Header.Get("X-Token")]--
}

func (r *testRunner) serve(netConn net.Conn) {
	defer netConn.Close()
	conn := &testRunnerConn{Conn: netConn, runner: r, endRequest: func() {}}
	r.mu.Lock()
	r.openConns++
	r.peakOpenConns = max(r.peakOpenConns, r.openConns)
	r.conns = append(r.conns, conn)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.openConns--
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

func (r *testRunner) handle(conn *testRunnerConn, req *http.Request, body []byte) bool {
	if req.URL.Path == probePath {
		r.mu.Lock()
		r.probes++
		r.mu.Unlock()
		return writeResponse(conn, "200 OK", "ok")
	}
	r.mu.Lock()
	r.requests++
	r.inFlight++
	r.peakInFlight = max(r.peakInFlight, r.inFlight)
	if token := req.Header.Get("X-Token"); token != "" {
		r.runCounts[token]++
	}
	handler := r.handler
	r.mu.Unlock()
	conn.endRequest = sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inFlight--
		if r.onRequestEnd != nil {
			r.onRequestEnd()
		}
	})
	defer conn.endRequest()
	return handler(conn, req, body)
}

// writeResponse writes a response with a Content-Length and keeps the connection open.
func writeResponse(conn net.Conn, status, body string, headers ...string) bool {
	headerLines := ""
	for _, h := range headers {
		headerLines += h + "\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headerLines, len(body), body)
	return err == nil
}

// echo responds with the method, path and body after a service time.
func echo(serviceTime time.Duration) requestHandler {
	return func(conn net.Conn, req *http.Request, body []byte) bool {
		time.Sleep(serviceTime)
		return writeResponse(conn, "200 OK", req.Method+" "+req.URL.RequestURI()+" "+string(body))
	}
}

// testCluster is a service with runners, and daemons with a shared store.
type testCluster struct {
	t                *testing.T
	is               *is.I
	store            *memoryStore
	authorizer       *testAuthorizer
	runners          []*testRunner
	gateways         []*Gateway
	journals         []*journal.Journal
	paidLinkCounters []*paidlink.Counter
	queueLimit       int
	mu               sync.Mutex
}

type clusterOptions struct {
	daemons, runners int
	place            func(runner int) cluster.Place
	serviceTime      time.Duration
	queueLimit       int
	entities         []cluster.Entity
	storeUnavailable bool
}

// runTestCluster runs f against a cluster in a synctest bubble.
func runTestCluster(t *testing.T, options clusterOptions, f func(c *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, options)
		defer c.close()
		f(c)
	})
}

func newTestCluster(t *testing.T, options clusterOptions) *testCluster {
	c := &testCluster{t: t, is: is.New(t), store: &memoryStore{rows: map[string]platform.Row{}, unavailable: options.storeUnavailable}, queueLimit: options.queueLimit}
	c.authorizer = &testAuthorizer{snapshot: cluster.Assemble(1, append(testEntities(), options.entities...))}
	for i := range options.runners {
		place := localPlace
		if options.place != nil {
			place = options.place(i)
		}
		c.addRunner(place, echo(options.serviceTime))
	}
	for range max(options.daemons, 1) {
		c.addDaemon()
	}
	c.updateDaemons()
	time.Sleep(3 * time.Second)
	return c
}

// testEntities returns a configuration with a service that requires a key and a service on an open queue.
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

func (c *testCluster) addRunner(place cluster.Place, handler requestHandler) *testRunner {
	i := len(c.runners)
	r := &testRunner{handler: handler, runCounts: map[string]int{}, vm: platform.VM{
		ID: fmt.Sprintf("runner-%02d", i), Role: platform.RoleRunner, Place: place, Service: "booking",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 8080),
	}}
	c.runners = append(c.runners, r)
	return r
}

// dial connects to the runner with the address through a pipe.
func (c *testCluster) dial(_ context.Context, addr netip.AddrPort) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	for _, r := range c.runners {
		r.mu.Lock()
		refused := r.refusesConns
		r.mu.Unlock()
		if r.vm.Addr == addr && !refused {
			clientConn, serverConn := net.Pipe()
			go r.serve(serverConn)
			return clientConn, nil
		}
	}
	return nil, errors.New("connection refused")
}

type testSender struct {
	cluster *testCluster
	from    cluster.DaemonID
}

// Broadcast delivers a message to the other daemons after a delay.
func (s *testSender) Broadcast(m peer.Message) {
	go func() {
		time.Sleep(time.Millisecond)
		for _, g := range s.cluster.daemons() {
			if g.cfg.Self != s.from {
				g.HandlePeer(s.from, m)
			}
		}
	}()
}

func (c *testCluster) daemons() []*Gateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.gateways)
}

func (c *testCluster) addDaemon() *Gateway {
	i := len(c.daemons())
	id := cluster.DaemonID(fmt.Sprintf("daemon-%d", i))
	j := journal.New(journal.Config{Store: c.store, Writer: string(id)})
	paidLink := paidlink.New(paidlink.Config{Self: localPlace.Region})
	g := New(Config{
		Self: id, Place: localPlace, Authorizer: c.authorizer, Store: c.store, Journal: j, Dial: c.dial,
		Sender: &testSender{c, id}, Random: rand.New(rand.NewPCG(uint64(i), 7)), QueueLimit: c.queueLimit, Retention: testRetention, PaidLink: paidLink,
		Invariants: invariant.New(invariant.Config{OnViolation: func(m string) { c.t.Error(m) }}),
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.journals, c.paidLinkCounters = append(c.journals, j), append(c.paidLinkCounters, paidLink)
	c.gateways = append(c.gateways, g)
	return g
}

// updateDaemons sets the current runners and members on every daemon.
func (c *testCluster) updateDaemons() {
	var members []Member
	for _, g := range c.daemons() {
		members = append(members, Member{ID: g.cfg.Self})
	}
	for _, g := range c.daemons() {
		g.SetMembers(members)
		g.SetUpstreams(c.vms())
	}
}

func (c *testCluster) vms() []platform.VM {
	var vms []platform.VM
	for _, r := range c.runners {
		vms = append(vms, r.vm)
	}
	return vms
}

func (c *testCluster) close() {
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
	// Wait for messages being delivered and for the slots of abandoned requests.
	time.Sleep(time.Minute)
}

// send sends a request of team archive through a daemon and returns the response.
func (c *testCluster) send(daemon int, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	return c.sendAs(daemon, "archive", "booking", method, path, body, headers...)
}

// sendAs sends a request with the given secret to a service through a daemon.
func (c *testCluster) sendAs(daemon int, secret string, service cluster.ServiceName, method, path, body string, headers ...string) *httptest.ResponseRecorder {
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

// runCount returns how often runners ran the request with a token.
func (c *testCluster) runCount(token string) int {
	n := 0
	for _, r := range c.runners {
		r.mu.Lock()
		n += r.runCounts[token]
		r.mu.Unlock()
	}
	return n
}

func (c *testCluster) setHandlers(handler requestHandler) {
	for _, r := range c.runners {
		r.setHandler(handler)
	}
}

func (s *memoryStore) rowValue(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].Value
}
