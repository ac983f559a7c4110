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
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
)

// link is a pool of connections to the platform.
type connPool struct {
	cfg       ClientConfig
	transport *http.Transport
}

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

// countedConn counts the bytes of a connection. A connection carries one
// request at a time, so the bytes since the last take belong to one request.
type countingConn struct {
	net.Conn
	byteCount atomic.Int64
}

// Read reads and counts.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// trace follows one request to the connections that it was given.
type requestTrace struct {
	mu    sync.Mutex
	conns []*countingConn
}

func (t *requestTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countingConn); ok {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conns = append(t.conns, conn)
		}
	}})
}

// connected reports whether the request was given a connection.
func (t *requestTrace) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) > 0
}

// bytes takes the bytes counted on the request's connections.
func (t *requestTrace) resetByteCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := int64(0)
	for _, c := range t.conns {
		total += c.byteCount.Swap(0)
	}
	return int(total)
}
