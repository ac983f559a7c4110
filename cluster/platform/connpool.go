package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
)

// connPool is a pool of HTTP connections to the platform.
type connPool struct {
	cfg       ClientConfig
	transport *http.Transport
}

// newConnPool returns a pool of at most cfg.MaxConns connections.
func newConnPool(cfg ClientConfig) *connPool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &connPool{cfg: cfg, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        cfg.MaxConns,
		MaxIdleConnsPerHost:    cfg.MaxConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: 8 << 10,
	}}
}

func (p *connPool) close() { p.transport.CloseIdleConnections() }

// countingConn counts the bytes read and written on a connection. A connection
// serves one request at a time, so all bytes since the last reset of the count
// belong to one request.
type countingConn struct {
	net.Conn
	byteCount atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// requestTrace records the connections that are used for one request.
type requestTrace struct {
	mu    sync.Mutex
	conns []*countingConn
}

// withTrace returns a context that makes the transport report its connections to t.
func (t *requestTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countingConn); ok {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conns = append(t.conns, conn)
		}
	}})
}

// connected reports whether the request got a connection.
func (t *requestTrace) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) > 0
}

// resetByteCount returns the bytes counted on the request's connections and
// sets their counts to zero.
func (t *requestTrace) resetByteCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := int64(0)
	for _, c := range t.conns {
		total += c.byteCount.Swap(0)
	}
	return int(total)
}
