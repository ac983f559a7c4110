package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Headers that a runner understands or sends.
const (
	// HeaderRun says with the value "no" that a refused request was not run.
	HeaderRun = "Goldcrest-Run"
	// HeaderLeaving says with the value "true" that the runner takes no new work soon.
	HeaderLeaving = "Goldcrest-Leaving"
	// HeaderRunner names the runner that ran the request.
	HeaderRunner = "Goldcrest-Runner"
	// HeaderWork is a Go duration that the request takes.
	HeaderWork = "Goldcrest-Work"
)

const (
	maxRunnerBody       = 4 << 20
	maxExecutions       = 50_000
	maxRecordedBody     = 256
	runnerHeaderTimeout = 10 * time.Second
)

// CrashPoint is when a runner breaks a connection.
type CrashPoint int

// Crash points.
const (
	CrashNever CrashPoint = iota
	// CrashBefore breaks the connection before the request is run.
	CrashBefore
	// CrashDuring breaks it in the middle of the answer.
	CrashDuring
	// CrashAfter breaks it after the request was run and before the answer.
	CrashAfter
)

// RunnerFaults are the settings of a runner that can be changed while it runs.
type RunnerFaults struct {
	Crash CrashPoint
	// CrashCount limits the crashes; zero crashes on every request.
	CrashCount int
	// Late is how long an answer is held back after the request was run.
	ReplyDelay time.Duration
	// Truncate ends answers before their declared length.
	Truncate bool
	// Leaving announces that the runner is about to go.
	Leaving bool
	// Refuse refuses every request as not run.
	Refuse bool
	// Fail answers every request with status 500 after running it.
	Fail bool
	// SilentRuns runs the requests on silent connections; their answers are lost all the same.
	RunOnStalledConns bool
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	ID string
	// Addr is where the runner listens; port 0 picks one.
	Addr        netip.AddrPort
	Slots       int
	Connections int
	// Work is how long a request takes unless it says otherwise.
	WorkDuration time.Duration
	Clock        func() time.Time
	Sleep        func(ctx context.Context, d time.Duration) error
}

// Execution is one request that a runner ran.
type Execution struct {
	Runner string
	Start  time.Time
	Method string
	// Path includes the query.
	Path           string
	IdempotencyKey string
	// Body is the start of the request's body.
	Body string
	// Leaving says that the runner had announced that it is leaving.
	Leaving bool
}

// Runner is a stand-in for a runner VM. It echoes request bodies, and the path of requests without one.
type Runner struct {
	cfg  RunnerConfig
	addr netip.AddrPort

	mu         sync.Mutex
	server     *http.Server
	serveDone  chan struct{}
	faults     RunnerFaults
	conns      map[net.Conn]*runnerConn
	inFlight   int
	executions []Execution
	stats      RunnerStats
}

// RunnerStats counts what a runner saw.
type RunnerStats struct {
	Executed int64
	// Refused counts requests beyond the slots.
	Refused int64
	// ConnectionsRefused counts connections beyond the limit.
	ConnectionsRefused int64
	// Silenced counts requests on silent connections.
	StalledRequests int64
	PeakInFlight    int
	PeakConnections int
}

// runnerConn is the state of one connection.
type runnerConn struct{ stalled bool }

type connKey struct{}

// StartRunner starts a runner; Close stops it.
func StartRunner(cfg RunnerConfig) (*Runner, error) {
	if cfg.Slots == 0 {
		cfg.Slots = defaultRunnerSlots
	}
	if cfg.Connections == 0 {
		cfg.Connections = defaultRunnerConnections
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Sleep == nil {
		cfg.Sleep = sleepContext
	}
	r := &Runner{cfg: cfg, addr: cfg.Addr}
	return r, r.Restart()
}

// Restart makes a killed runner listen again at its address; a running one is left alone.
func (r *Runner) Restart() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", r.addr.String())
	if err != nil {
		return fmt.Errorf("start runner %s: %w", r.cfg.ID, err)
	}
	r.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	r.conns = map[net.Conn]*runnerConn{}
	baseCtx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler: http.HandlerFunc(r.handle), ConnState: r.trackConn, ReadHeaderTimeout: runnerHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return baseCtx },
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	serveDone := make(chan struct{})
	r.server, r.serveDone = server, serveDone
	go func() {
		defer close(serveDone)
		defer cancel()
		// Serve returns ErrServerClosed once the runner is killed.
		_ = server.Serve(listener)
	}()
	return nil
}

// Kill breaks all connections and refuses new ones, as a VM that fails.
func (r *Runner) Kill() {
	r.mu.Lock()
	server, serveDone := r.server, r.serveDone
	r.server = nil
	r.mu.Unlock()
	if server == nil {
		return
	}
	// Close reports errors of connections that are broken in any case.
	_ = server.Close()
	<-serveDone
}

// Close stops the runner.
func (r *Runner) Close() { r.Kill() }

// Silence makes the connections that are open now never answer again; new ones work.
func (r *Runner) StallConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.stalled = true
	}
}

// ID returns the runner's VM id.
func (r *Runner) ID() string { return r.cfg.ID }

// Addr returns the address that the runner listens at.
func (r *Runner) Addr() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// SetFaults changes the settings; change is called with the lock held and must not call the runner.
func (r *Runner) SetFaults(modify func(*RunnerFaults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	modify(&r.faults)
}

// Faults returns the present settings.
func (r *Runner) Faults() RunnerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Executions returns the requests that were run, oldest first; the oldest may have been dropped.
func (r *Runner) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.executions)
}

// Stats returns the counts so far.
func (r *Runner) Stats() RunnerStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// track follows the connections and closes those beyond the limit.
func (r *Runner) trackConn(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(r.conns) >= r.cfg.Connections {
			r.stats.ConnectionsRefused++
			_ = conn.Close()
			return
		}
		r.conns[conn] = &runnerConn{}
		r.stats.PeakConnections = max(r.stats.PeakConnections, len(r.conns))
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, conn)
	}
}

// silent reports whether the request came on a silent connection, and counts it.
func (r *Runner) onStalledConn(req *http.Request) bool {
	conn, ok := req.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.conns[conn]
	if c == nil || !c.stalled {
		return false
	}
	r.stats.StalledRequests++
	return true
}

func (r *Runner) handle(w http.ResponseWriter, req *http.Request) {
	faults := r.Faults()
	// The server notices that a caller went away only after the body was read.
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxRunnerBody))
	if err != nil {
		writeRefusal(w, http.StatusBadRequest)
		return
	}
	if !faults.RunOnStalledConns && r.onStalledConn(req) {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.Leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	if faults.Refuse || !r.acquireSlot() {
		writeRefusal(w, http.StatusServiceUnavailable)
		return
	}
	defer r.releaseSlot()
	crash := r.nextCrash()
	if crash == CrashBefore {
		panic(http.ErrAbortHandler)
	}
	r.recordExecution(req, body, faults.Leaving)
	err = errors.Join(r.simulateWork(req), r.delayReply(req, faults.ReplyDelay))
	if r.onStalledConn(req) {
		<-req.Context().Done()
	}
	if err != nil || crash == CrashAfter || req.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	r.writeReply(w, req, body, faults, crash == CrashDuring)
}

// refuse answers a request that was not run.
func writeRefusal(w http.ResponseWriter, status int) {
	w.Header().Set(HeaderRun, "no")
	http.Error(w, "not run", status)
}

func (r *Runner) acquireSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= r.cfg.Slots {
		r.stats.Refused++
		return false
	}
	r.inFlight++
	r.stats.PeakInFlight = max(r.stats.PeakInFlight, r.inFlight)
	return true
}

func (r *Runner) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// crash returns where the present request crashes and counts it.
func (r *Runner) nextCrash() CrashPoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	point := r.faults.Crash
	if point != CrashNever && r.faults.CrashCount > 0 {
		r.faults.CrashCount--
		if r.faults.CrashCount == 0 {
			r.faults.Crash = CrashNever
		}
	}
	return point
}

func (r *Runner) recordExecution(req *http.Request, body []byte, leaving bool) {
	e := Execution{
		Runner: r.cfg.ID, Start: r.cfg.Clock(), Method: req.Method, Path: req.URL.RequestURI(),
		IdempotencyKey: req.Header.Get("Idempotency-Key"), Body: string(body[:min(len(body), maxRecordedBody)]), Leaving: leaving,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Executed++
	if len(r.executions) >= maxExecutions {
		r.executions = slices.Clone(r.executions[maxExecutions/4:])
	}
	r.executions = append(r.executions, e)
}

// work takes the time of the request; a caller that goes away doesn't shorten it.
func (r *Runner) simulateWork(req *http.Request) error {
	d := r.cfg.WorkDuration
	if s := req.Header.Get(HeaderWork); s != "" {
		if parsed, err := time.ParseDuration(s); err == nil {
			d = parsed
		}
	}
	if d <= 0 {
		return nil
	}
	return r.cfg.Sleep(context.WithoutCancel(req.Context()), d)
}

func (r *Runner) delayReply(req *http.Request, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return r.cfg.Sleep(req.Context(), d)
}

func (r *Runner) writeReply(w http.ResponseWriter, req *http.Request, body []byte, faults RunnerFaults, truncate bool) {
	if len(body) == 0 {
		body = []byte(req.URL.RequestURI())
	}
	w.Header().Set(HeaderRunner, r.cfg.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if !truncate && !faults.Truncate {
		// A failed write leaves the caller with a broken connection.
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Runners are the runners of a platform's cell.
type Runners struct {
	p       *Platform
	runners []*Runner
}

// StartRunners starts every runner of the platform's cell on its own port of
// host and enters the addresses into the VM list without its lag; port is the
// first port, or 0 to pick free ones. Close stops them.
func StartRunners(p *Platform, host netip.Addr, port uint16, work time.Duration) (*Runners, error) {
	runners := &Runners{p: p}
	for _, vm := range p.VMs() {
		if vm.Service == "" {
			continue
		}
		r, err := StartRunner(RunnerConfig{
			ID: vm.ID, Addr: netip.AddrPortFrom(host, port), Slots: vm.Slots, Connections: vm.Connections, WorkDuration: work,
			Clock: p.cfg.Clock, Sleep: p.cfg.Sleep,
		})
		if err != nil {
			runners.Close()
			return nil, err
		}
		runners.runners = append(runners.runners, r)
		vm.Addr = r.Addr()
		p.addVMWithoutLag(vm)
		if port != 0 {
			port++
		}
	}
	return runners, nil
}

// All returns the runners by id.
func (s *Runners) All() []*Runner { return s.runners }

// Get returns the runner with the id, or nil.
func (s *Runners) Get(id cluster.UpstreamID) *Runner {
	for _, r := range s.runners {
		if r.ID() == string(id) {
			return r
		}
	}
	return nil
}

// Executions returns the requests that were run by all runners.
func (s *Runners) Executions() []Execution {
	var all []Execution
	for _, r := range s.runners {
		all = append(all, r.Executions()...)
	}
	return all
}

// Close stops the runners.
func (s *Runners) Close() {
	for _, r := range s.runners {
		r.Close()
	}
}
