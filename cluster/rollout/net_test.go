package rollout

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// memNet connects transports in memory with a latency per direction. A
// connection that is used while its ends can't reach each other goes silent for
// good, as an open connection over a failed link does.
type memNet struct {
	// latency returns the time from one address to another, or false if the link is cut.
	latency func(from, to netip.AddrPort) (time.Duration, bool)

	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
}

type memListener struct {
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

func (n *memNet) listen(addr netip.AddrPort) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{addr: addr, conns: make(chan net.Conn, 16), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

func (n *memNet) dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	delay, up := n.latency(from, to)
	if !up || l == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * delay)
	there, back := newStream(n, from, to), newStream(n, to, from)
	select {
	case l.conns <- &memConn{in: there, out: back, remote: from}:
		return &memConn{in: back, out: there, remote: to}, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type chunk struct {
	data []byte
	at   time.Time
}

// stream is one direction of a connection.
type stream struct {
	n        *memNet
	from, to netip.AddrPort
	chunks   chan chunk
	closed   chan struct{}
	once     sync.Once

	mu   sync.Mutex
	dead bool
}

func newStream(n *memNet, from, to netip.AddrPort) *stream {
	return &stream{n: n, from: from, to: to, chunks: make(chan chunk, 4096), closed: make(chan struct{})}
}

func (s *stream) write(p []byte) (int, error) {
	select {
	case <-s.closed:
		return 0, net.ErrClosed
	default:
	}
	delay, up := s.n.latency(s.from, s.to)
	s.mu.Lock()
	s.dead = s.dead || !up
	dead := s.dead
	s.mu.Unlock()
	if !dead {
		s.chunks <- chunk{append([]byte{}, p...), time.Now().Add(delay)}
	}
	return len(p), nil
}

func (s *stream) close() { s.once.Do(func() { close(s.closed) }) }

// memConn is one end of a connection.
type memConn struct {
	in, out *stream
	remote  netip.AddrPort
	rest    []byte

	mu       sync.Mutex
	deadline time.Time
}

func (c *memConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		data, err := c.next()
		if err != nil {
			return 0, err
		}
		c.rest = data
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *memConn) next() ([]byte, error) {
	c.mu.Lock()
	timer := time.NewTimer(time.Until(c.deadline))
	c.mu.Unlock()
	defer timer.Stop()
	select {
	case ch := <-c.in.chunks:
		arrival := time.NewTimer(time.Until(ch.at))
		defer arrival.Stop()
		select {
		case <-arrival.C:
			return ch.data, nil
		case <-timer.C:
			return nil, os.ErrDeadlineExceeded
		case <-c.in.closed:
			return nil, io.EOF
		}
	case <-timer.C:
		return nil, os.ErrDeadlineExceeded
	case <-c.in.closed:
		return nil, io.EOF
	}
}

func (c *memConn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *memConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *memConn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.in.to) }
func (c *memConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

func (c *memConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

func (c *memConn) SetDeadline(t time.Time) error      { return c.SetReadDeadline(t) }
func (c *memConn) SetWriteDeadline(t time.Time) error { return nil }
