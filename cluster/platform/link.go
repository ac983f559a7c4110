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
type link struct {
	cfg       ClientConfig
	transport *http.Transport
}

func newLink(cfg ClientConfig) *link {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &link{cfg: cfg, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        cfg.MaxConns,
		MaxIdleConnsPerHost:    cfg.MaxConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: 8 << 10,
	}}
}

func (l *link) close() { l.transport.CloseIdleConnections() }

// countedConn counts the bytes of a connection. A connection carries one
// request at a time, so the bytes since the last take belong to one request.
type countedConn struct {
	net.Conn
	bytes atomic.Int64
}

// Read reads and counts.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// trace follows one request to the connections that it was given.
type trace struct {
	mu    sync.Mutex
	conns []*countedConn
}

func (t *trace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countedConn); ok {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conns = append(t.conns, conn)
		}
	}})
}

// connected reports whether the request was given a connection.
func (t *trace) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) > 0
}

// bytes takes the bytes counted on the request's connections.
func (t *trace) bytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := int64(0)
	for _, c := range t.conns {
		sum += c.bytes.Swap(0)
	}
	return int(sum)
}
