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
	// verifiedTTL is how long a connection counts as alive after its last response.
	verifiedTTL = time.Second
	dialTimeout = time.Second
	// idleWaitTimeout bounds the wait for a connection to become idle after a response.
	idleWaitTimeout = time.Second
	// maxResponseHeader limits the header of a response in bytes.
	maxResponseHeader = 64 << 10
)

var errUnsolicited = errors.New("bytes received while no request was outstanding")

// trackedConn observes a network connection to a runner. It records whether a byte of the
// current request may have been sent, and whether bytes arrived that belong to no request.
type trackedConn struct {
	net.Conn
	countBytes func(bytes int)

	mu sync.Mutex
	// reading is set while the HTTP client waits in Read.
	reading bool
	// requestOpen is set from beginRequest to waitIdle.
	requestOpen bool
	// sent means that a byte of the current request may have been sent.
	sent bool
	// unsolicited means that bytes arrived while no request was outstanding.
	unsolicited bool
	bytesRead   int
	// idle is set by waitIdle and closed when the client reads again.
	idle      chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

func newTrackedConn(conn net.Conn, countBytes func(int)) *trackedConn {
	return &trackedConn{Conn: conn, countBytes: countBytes, closed: make(chan struct{})}
}

// Read records bytes that arrive before a request was written as unsolicited.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.signalIdle()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	if n > 0 {
		c.bytesRead += n
		if !c.requestOpen || !c.sent {
			c.unsolicited = true
		}
	}
	c.mu.Unlock()
	c.countBytes(n)
	return n, err
}

// Write fails without writing if unsolicited bytes arrived, because they would be read as the next response.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.unsolicited {
		c.mu.Unlock()
		return 0, errUnsolicited
	}
	firstWrite := !c.sent
	c.sent = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if firstWrite && n == 0 && err != nil {
		c.mu.Lock()
		c.sent = false
		c.mu.Unlock()
	}
	c.countBytes(n)
	return n, err
}

// Close closes the connection and marks it as closed.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// signalIdle wakes up waitIdle if no response is due. The caller holds c.mu.
func (c *trackedConn) signalIdle() {
	if !c.requestOpen && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// beginRequest prepares for a request; it fails if unsolicited bytes arrived.
func (c *trackedConn) beginRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsolicited {
		return errUnsolicited
	}
	c.requestOpen, c.sent = true, false
	return nil
}

// waitIdle waits until the HTTP client reads from the connection again, that is until
// its buffer is empty. A surplus response, which would be read as the response to the next
// request, is detected here. It returns false if the connection can't be reused.
func (c *trackedConn) waitIdle() bool {
	c.mu.Lock()
	c.requestOpen = false
	if c.reading {
		ok := !c.unsolicited
		c.mu.Unlock()
		return ok
	}
	idle := make(chan struct{})
	c.idle = idle
	c.mu.Unlock()
	timer := time.NewTimer(idleWaitTimeout)
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
	return !c.unsolicited
}

// state returns whether a byte of the current request may have been sent, whether
// unsolicited bytes arrived, and the number of bytes read.
func (c *trackedConn) state() (sent, unsolicited bool, bytesRead int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.unsolicited, c.bytesRead
}

// runnerConn is one connection to a runner. It carries one request at a time and
// never retries one by itself.
type runnerConn struct {
	tracked *trackedConn
	client  *http.ClientConn
	// verifiedAt is the time of the last complete response; zero for a new connection.
	verifiedAt time.Time
	// generation is the runner's connGeneration when the connection was opened.
	generation int
	// stallTimeout is the time without a byte after which the connection is checked for a stall
	// during the current request.
	stallTimeout time.Duration
}

// usable reports whether the connection can carry another request.
func (c *runnerConn) usable() bool {
	_, unsolicited, _ := c.tracked.state()
	return !unsolicited && c.client.Err() == nil
}

func (c *runnerConn) close() { _ = c.client.Close() }

// connKey is the context key of the connection that the transport uses.
type connKey struct{}

// newTransport returns a transport that uses the connection in the context instead of dialing.
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
		MaxResponseHeaderBytes: maxResponseHeader,
		Protocols:              protocols,
	}
}

// dial opens a connection to a runner.
func (g *Gateway) dial(ctx context.Context, addr netip.AddrPort, countBytes func(int)) (*runnerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := g.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn := newTrackedConn(netConn, countBytes)
	client, err := g.transport.NewClientConn(context.WithValue(ctx, connKey{}, conn), "http", addr.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &runnerConn{tracked: conn, client: client}, nil
}
