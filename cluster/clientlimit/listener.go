package clientlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// writeTimeout limits a write to a client that does not read; it is renewed when half of it has passed.
	writeTimeout = 10 * time.Second
	// lingerTime is how long a connection whose request was not read stays open, so that the client receives the
	// response: the system discards what was not received when a connection with unread data is closed.
	lingerTime = 200 * time.Millisecond
	// headerWait is how long a connection may be without a complete header before it is closed in preference to idle ones.
	headerWait = 500 * time.Millisecond
	// idleWait is how long a connection may be idle before it is closed in preference to one that is new.
	idleWait = 5 * time.Second
	// stalledWrite is how long a write may take before its connection is closed for another one.
	stalledWrite = 200 * time.Millisecond
	// maxEvicting is how many connections may be open beyond the limit while evicted bodies are answered.
	maxEvicting = 32
)

// Reason says why a connection was refused or closed.
type Reason string

// The reasons of a Listener.
const (
	// ReasonConns means that too many connections were open, and the new one was refused.
	ReasonConns Reason = "too many connections"
	// ReasonReplaced means that a connection without a request, or one that is not read from, was closed for a new one.
	ReasonReplaced Reason = "connection closed for a new one"
	// ReasonPartial means that too many headers had arrived in part; the oldest connection was closed.
	ReasonPartial Reason = "too many partial headers"
	// ReasonStalled means that a client did not read its response, whose memory others needed.
	ReasonStalled Reason = "response not read"
	// ReasonBody means that an unfinished body was closed for a new connection.
	ReasonBody Reason = "unfinished body closed for a new connection"
)

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	// MaxConns is the most open connections, MaxPartial the most whose header has arrived in part.
	MaxConns   int
	MaxPartial int
	// EvictBody ends an unfinished body and returns true, or returns false if there is none to end; nil means the latter.
	EvictBody func() bool
	// Closed is called for each connection that is refused or closed by the listener; nil does nothing. It must not block.
	Closed func(Reason)
}

// Listener limits the connections of the listener that it wraps. For a new connection beyond the limit it closes one
// whose client is late with a header or with the reading of a response, else the one that has been idle longest, else
// the oldest without a complete header, else the slowest unfinished body, else the new one; victim has the details. Its
// ConnState must be that of the server.
type Listener struct {
	net.Listener
	cfg ListenerConfig
	// partial is the number of connections whose header has arrived in part, maxPartial its limit.
	partial    atomic.Int64
	maxPartial atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen opens a TCP listener whose connections have buffers of bounded size.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		// Accepted connections inherit the sizes; they must be set before, as the window is agreed on at the start.
		if controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, int(receiveBuffer)),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, int(sendBuffer)),
			)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", addr.String())
}

// NewListener wraps a listener.
func NewListener(l net.Listener, cfg ListenerConfig) *Listener {
	if cfg.Closed == nil {
		cfg.Closed = func(Reason) {}
	}
	limited := &Listener{Listener: l, cfg: cfg, conns: map[*Conn]struct{}{}}
	limited.maxPartial.Store(int64(cfg.MaxPartial))
	return limited
}

// SetLimits changes the limits of connections. Open connections stay open.
func (l *Listener) SetLimits(maxConns, maxPartial int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.MaxConns = maxConns
	l.maxPartial.Store(int64(maxPartial))
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Accept returns the next connection that is not refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: netConn, listener: l}
		c.enter(phaseNew)
		if l.admit(c) {
			return c, nil
		}
		l.cfg.Closed(ReasonConns)
		_ = netConn.Close()
	}
}

// admit counts a connection after it has made room for it; it returns false if there is none.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	full := len(l.conns) >= l.cfg.MaxConns
	var victim *Conn
	if full {
		victim = l.victim(time.Since(processStart))
	}
	room := !full || victim != nil
	if room {
		l.conns[c] = struct{}{}
	}
	mayEvict := !room && len(l.conns) < l.cfg.MaxConns+maxEvicting
	l.mu.Unlock()
	if victim != nil {
		l.cfg.Closed(ReasonReplaced)
		_ = victim.closeNow()
	}
	if room || !mayEvict || l.cfg.EvictBody == nil || !l.cfg.EvictBody() {
		return room
	}
	l.cfg.Closed(ReasonBody)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return true
}

// victim returns the connection to close for a new one, or nil. now is the time since processStart. The caller holds
// l.mu.
func (l *Listener) victim(now time.Duration) *Conn {
	oldest, since := l.oldest()
	for _, candidate := range []struct {
		phase  phase
		minAge time.Duration
	}{
		{phaseLingering, 0},
		{phasePartial, headerWait},
		{phaseNew, headerWait},
		{phaseWriting, stalledWrite},
		{phaseIdle, idleWait},
		// The header of an ordinary client follows its connection at once, and is complete at once.
		{phaseNew, 0},
		{phaseIdle, 0},
		{phasePartial, 0},
	} {
		if c := oldest[candidate.phase]; c != nil && int64(now)-since[candidate.phase] >= int64(candidate.minAge) {
			return c
		}
	}
	return nil
}

// oldest returns the connection that has been longest in each phase and since when. The caller holds l.mu.
func (l *Listener) oldest() (conns [phaseCount]*Conn, since [phaseCount]int64) {
	for c := range l.conns {
		p, s := c.phase.Load(), c.since.Load()
		if writing := c.writingSince.Load(); writing != 0 && phase(p) == phaseActive {
			p, s = int32(phaseWriting), writing
		}
		if conns[p] == nil || s < since[p] {
			conns[p], since[p] = c, s
		}
	}
	return conns, since
}

// CloseStalled closes the connection whose client has been late with the reading of a response for longest. It returns false
// if none is late.
func (l *Listener) CloseStalled() bool {
	l.mu.Lock()
	oldest, since := l.oldest()
	l.mu.Unlock()
	victim := oldest[phaseWriting]
	if victim == nil || int64(time.Since(processStart))-since[phaseWriting] < int64(stalledWrite) {
		return false
	}
	l.cfg.Closed(ReasonStalled)
	_ = victim.closeNow()
	return true
}

// limitPartial closes the connection whose header has been incomplete longest if there are too many of them.
func (l *Listener) limitPartial() {
	if l.partial.Load() <= l.maxPartial.Load() {
		return
	}
	l.mu.Lock()
	oldest, _ := l.oldest()
	l.mu.Unlock()
	if victim := oldest[phasePartial]; victim != nil {
		l.cfg.Closed(ReasonPartial)
		_ = victim.closeNow()
	}
}

// ConnState is the hook of the http.Server that serves the listener.
func (l *Listener) ConnState(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(phaseActive)
	case http.StateIdle:
		c.enter(phaseIdle)
	}
}

// phase is what a connection is doing.
type phase int32

const (
	// phaseNew means that nothing has arrived, phasePartial that a header has arrived in part.
	phaseNew phase = iota
	phasePartial
	// phaseActive means that a request is being served, phaseIdle that the next one is awaited.
	phaseActive
	phaseIdle
	// phaseWriting means that a response is being sent. It is not a value of Conn.phase.
	phaseWriting
	// phaseLingering means that the connection will be closed after lingerTime.
	phaseLingering
	phaseClosed
	phaseCount
)

// processStart is the origin of the times of connections.
var processStart = time.Now()

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	phase    atomic.Int32
	// since is the time in nanoseconds since processStart at which the phase began.
	since atomic.Int64
	// lingers is set if the connection must stay open for lingerTime after Close.
	lingers atomic.Bool
	// writeDeadline is the deadline of writes, and writingSince the begin of the current one or zero, in nanoseconds
	// since processStart.
	writeDeadline atomic.Int64
	writingSince  atomic.Int64
}

// enter changes the phase unless the connection is closed, and returns the earlier phase.
func (c *Conn) enter(next phase) phase {
	for {
		current := phase(c.phase.Load())
		if current == phaseClosed {
			return current
		}
		if !c.phase.CompareAndSwap(int32(current), int32(next)) {
			continue
		}
		c.since.Store(int64(time.Since(processStart)))
		if current != next {
			if current == phasePartial {
				c.listener.partial.Add(-1)
			}
			if next == phasePartial {
				c.listener.partial.Add(1)
			}
		}
		return current
	}
}

// Read reads from the connection and notes the start of a header.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if current := phase(c.phase.Load()); n > 0 && (current == phaseNew || current == phaseIdle) {
		c.enter(phasePartial)
		c.listener.limitPartial()
	}
	return n, err
}

// Write writes to the connection within writeTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	now := int64(time.Since(processStart))
	if c.writeDeadline.Load()-now < int64(writeTimeout/2) {
		deadline := now + int64(writeTimeout)
		if err := c.Conn.SetWriteDeadline(processStart.Add(time.Duration(deadline))); err != nil {
			return 0, err
		}
		c.writeDeadline.Store(deadline)
	}
	c.writingSince.Store(now)
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// SetWriteDeadline does nothing: the server clears the deadline after each request, and Write sets it.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection, after lingerTime if a request was not read.
func (c *Conn) Close() error {
	if !c.lingers.Load() {
		return c.closeNow()
	}
	switch c.enter(phaseLingering) {
	case phaseLingering, phaseClosed:
		return nil
	}
	time.AfterFunc(lingerTime, func() { _ = c.closeNow() })
	return c.CloseWrite()
}

// closeNow closes the connection and ends its count.
func (c *Conn) closeNow() error {
	c.enter(phaseClosed)
	err := c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
	return err
}
