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

// Headers that a runner reads or sends.
const (
	// HeaderRun has the value "no" in the reply to a request that was refused and not executed.
	HeaderRun = "Goldcrest-Run"
	// HeaderLeaving has the value "true" in replies of a runner that will soon accept no new work.
	HeaderLeaving = "Goldcrest-Leaving"
	// HeaderRunner is the ID of the runner that executed the request.
	HeaderRunner = "Goldcrest-Runner"
	// HeaderWork is the processing time of the request as a Go duration.
	HeaderWork = "Goldcrest-Work"
)

const (
	// maxRunnerBody limits the size of the body of a request in bytes.
	maxRunnerBody = 4 << 20
	// maxExecutions limits the number of recorded executions of a runner.
	maxExecutions = 50_000
	// maxRecordedBody limits the part of a request's body that is recorded, in bytes.
	maxRecordedBody = 256
	// runnerHeaderTimeout limits the time to read the header of a request.
	runnerHeaderTimeout = 10 * time.Second
)

// CrashPoint is the point at which a simulated crash closes a request's connection.
type CrashPoint int

// Crash points.
const (
	CrashNever CrashPoint = iota
	// CrashBefore closes the connection before the request is executed.
	CrashBefore
	// CrashDuring closes it in the middle of the reply.
	CrashDuring
	// CrashAfter closes it after the request was executed and before the reply.
	CrashAfter
)

// RunnerFaults holds the faults of a runner, which can be changed while it runs.
type RunnerFaults struct {
	// Crash is the point at which requests crash.
	Crash CrashPoint
	// CrashCount is the number of requests that crash before Crash is reset to CrashNever; zero means all.
	CrashCount int
	// ReplyDelay delays each reply after the request was executed.
	ReplyDelay time.Duration
	// Truncate ends replies before their declared length.
	Truncate bool
	// Leaving announces in replies that the runner will be removed soon.
	Leaving bool
	// Refuse refuses every request without executing it.
	Refuse bool
	// Fail replies to every request with status 500 after executing it.
	Fail bool
	// RunOnStalledConns executes the requests on stalled connections, but still sends no reply.
	RunOnStalledConns bool
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	ID string
	// Addr is the listen address; port 0 selects a free port.
	Addr netip.AddrPort
	// Slots is the number of requests that may be in progress; more are refused; zero means 8.
	Slots int
	// Connections is the number of open connections; more are closed; zero means 64.
	Connections int
	// WorkDuration is the processing time of a request without HeaderWork.
	WorkDuration time.Duration
	// Clock returns the time; nil is time.Now.
	Clock func() time.Time
	// Sleep waits for a simulated duration; nil uses a timer.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Execution is one request that a runner executed.
type Execution struct {
	Runner string
	Start  time.Time
	Method string
	// Path includes the query.
	Path           string
	IdempotencyKey string
	// Body is the beginning of the request's body.
	Body string
	// Leaving means that the runner's Leaving fault was set when the request arrived.
	Leaving bool
}

// Runner simulates a runner VM. Its reply is the body of the request, or the
// request URI if the body is empty.
type Runner struct {
	cfg  RunnerConfig
	addr netip.AddrPort

	mu sync.Mutex
	// server is nil while the runner is killed.
	server *http.Server
	// serveDone is closed when server has stopped.
	serveDone  chan struct{}
	faults     RunnerFaults
	conns      map[net.Conn]*runnerConn
	inFlight   int
	executions []Execution
	stats      RunnerStats
}

// RunnerStats counts the requests and connections of a runner.
type RunnerStats struct {
	Executed int64
	// Refused counts requests that were refused because all slots were in use.
	Refused int64
	// ConnectionsRefused counts connections that were closed because of the limit.
	ConnectionsRefused int64
	// StalledRequests counts requests on stalled connections.
	StalledRequests int64
	PeakInFlight    int
	PeakConnections int
}

// runnerConn is the state of one connection. A stalled one stays open and never
// sends a reply.
type runnerConn struct{ stalled bool }

// connKey is the context key of a request's connection.
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

// Restart makes a killed runner listen again at the same address; it does
// nothing if the runner is running.
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

// Kill closes all connections and stops listening, like a failed VM.
func (r *Runner) Kill() {
	r.mu.Lock()
	server, serveDone := r.server, r.serveDone
	r.server = nil
	r.mu.Unlock()
	if server == nil {
		return
	}
	// The error is ignored: the connections are closed in any case.
	_ = server.Close()
	<-serveDone
}

// Close stops the runner.
func (r *Runner) Close() { r.Kill() }

// StallConnections makes the runner never reply again on the connections that are
// currently open; new connections work normally.
func (r *Runner) StallConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.stalled = true
	}
}

// ID returns the ID of the runner's VM.
func (r *Runner) ID() string { return r.cfg.ID }

// Addr returns the address that the runner listens on.
func (r *Runner) Addr() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// SetFaults changes the faults; modify is called with the lock held and must not call the runner.
func (r *Runner) SetFaults(modify func(*RunnerFaults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	modify(&r.faults)
}

// Faults returns the current faults.
func (r *Runner) Faults() RunnerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Executions returns the requests that were executed, oldest first. Only a limited
// number is kept; the oldest are dropped first.
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

// trackConn updates the set of open connections and closes a new one that exceeds
// the limit.
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

// onStalledConn reports whether the request's connection is stalled, and counts
// the request if it is.
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

// handle serves a request with the current faults.
func (r *Runner) handle(w http.ResponseWriter, req *http.Request) {
	faults := r.Faults()
	// The server detects a closed client connection only after the body was read.
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

// writeRefusal replies to a request that was not executed.
func writeRefusal(w http.ResponseWriter, status int) {
	w.Header().Set(HeaderRun, "no")
	http.Error(w, "not run", status)
}

// acquireSlot acquires a slot for a request; it returns false if all are in use.
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

// nextCrash returns the crash point of a new request and decrements CrashCount.
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

// recordExecution adds a request to the executions and drops the oldest quarter
// of them when the maximum number is reached.
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

// simulateWork waits for the processing time of the request. It continues when
// the client closes the connection.
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

// delayReply waits for d or until the client closes the connection.
func (r *Runner) delayReply(req *http.Request, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return r.cfg.Sleep(req.Context(), d)
}

// writeReply sends the reply. With truncate or the Truncate fault it sends half
// of the body and closes the connection.
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
		// The error is ignored: after a failed write the client sees a broken connection.
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Runners is the set of runners of a platform's cell.
type Runners struct {
	p       *Platform
	runners []*Runner
}

// StartRunners starts every runner of the platform's cell on its own port of
// host and publishes the addresses in the VM list without its lag. The argument
// port is the first port, or 0 to select free ones; workDuration is the
// processing time of a request without HeaderWork. Close stops the runners.
func StartRunners(p *Platform, host netip.Addr, port uint16, workDuration time.Duration) (*Runners, error) {
	runners := &Runners{p: p}
	for _, vm := range p.VMs() {
		if vm.Service == "" {
			continue
		}
		r, err := StartRunner(RunnerConfig{
			ID: vm.ID, Addr: netip.AddrPortFrom(host, port), Slots: vm.Slots, Connections: vm.Connections, WorkDuration: workDuration,
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

// All returns the runners, sorted by ID.
func (s *Runners) All() []*Runner { return s.runners }

// Get returns the runner with the ID, or nil if there is none.
func (s *Runners) Get(id cluster.UpstreamID) *Runner {
	for _, r := range s.runners {
		if r.ID() == string(id) {
			return r
		}
	}
	return nil
}

// Executions returns the requests that all runners executed, grouped by runner.
func (s *Runners) Executions() []Execution {
	var all []Execution
	for _, r := range s.runners {
		all = append(all, r.Executions()...)
	}
	return all
}

// Close stops all runners.
func (s *Runners) Close() {
	for _, r := range s.runners {
		r.Close()
	}
}
