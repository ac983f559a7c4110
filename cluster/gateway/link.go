package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// verifiedFor is how long a connection counts as proved alive after its last answer.
	verifiedFor = time.Second
	dialTimeout = time.Second
	// settleTimeout bounds the wait for a connection to become idle after an answer.
	settleTimeout = time.Second
	// maxAnswerHeader limits the header of an answer in bytes.
	maxAnswerHeader = 64 << 10
)

var errStray = errors.New("bytes received while no request was outstanding")

// trackedConn observes a connection to a runner. It knows whether a byte of the
// current request may have left, and whether bytes arrived that belong to no request.
type trackedConn struct {
	net.Conn
	count func(bytes int)

	mu        sync.Mutex
	reading   bool
	expecting bool
	sent      bool
	stray     bool
	progress  int
	idle      chan struct{}
	once      sync.Once
	closed    chan struct{}
}

func newTrackedConn(conn net.Conn, count func(int)) *trackedConn {
	return &trackedConn{Conn: conn, count: count, closed: make(chan struct{})}
}

// Read marks bytes that arrive before the request was written as stray.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.signalIdle()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	if n > 0 {
		c.progress += n
		if !c.expecting || !c.sent {
			c.stray = true
		}
	}
	c.mu.Unlock()
	c.count(n)
	return n, err
}

// Write fails without writing if stray bytes arrived, because the next answer would be a wrong one.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.stray {
		c.mu.Unlock()
		return 0, errStray
	}
	first := !c.sent
	c.sent = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		c.mu.Lock()
		c.sent = false
		c.mu.Unlock()
	}
	c.count(n)
	return n, err
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *trackedConn) signalIdle() {
	if !c.expecting && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// begin prepares for a request; it fails if stray bytes arrived.
func (c *trackedConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stray {
		return errStray
	}
	c.expecting, c.sent = true, false
	return nil
}

// settle waits until the reader of the connection waits for new bytes with an
// empty buffer. A surplus answer, which the next request would take for its
// own, is found here. It returns false if the connection can't be used again.
func (c *trackedConn) settle() bool {
	c.mu.Lock()
	c.expecting = false
	if c.reading {
		ok := !c.stray
		c.mu.Unlock()
		return ok
	}
	idle := make(chan struct{})
	c.idle = idle
	c.mu.Unlock()
	timer := time.NewTimer(settleTimeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-c.closed:
		return false
	case <-timer.C:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stray
}

func (c *trackedConn) state() (sent, stray bool, progress int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.stray, c.progress
}

// link is one connection to a runner; it carries one request at a time and
// never repeats one by itself.
type link struct {
	conn     *trackedConn
	client   *http.ClientConn
	verified time.Time
	epoch    int
	// stall is the time without a byte after which the link is checked, as of the current request.
	stall time.Duration
}

func (l *link) usable() bool {
	_, stray, _ := l.conn.state()
	return !stray && l.client.Err() == nil
}

func (l *link) close() { _ = l.client.Close() }

type connKey struct{}

// newTransport returns a transport whose dial hands over the connection in the context.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
				return conn, nil
			}
			return nil, errors.New("no connection in the context")
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
		Protocols:              protocols,
	}
}

// dial opens a link to a runner.
func (g *Gateway) dial(ctx context.Context, addr netip.AddrPort, count func(int)) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := g.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn := newTrackedConn(raw, count)
	client, err := g.transport.NewClientConn(context.WithValue(ctx, connKey{}, conn), "http", addr.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &link{conn: conn, client: client}, nil
}
