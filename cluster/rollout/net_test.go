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

// memNet is an in-memory network with a latency per direction. If data is
// written to a connection while its ends can't reach each other, that direction
// never delivers data again, like an open connection over a failed link.
type memNet struct {
	// latency returns the latency from one address to another, or false if the
	// second can't be reached from the first.
	latency func(from, to netip.AddrPort) (time.Duration, bool)

	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
}

// memListener is a net.Listener of a memNet.
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
	toListener, toDialer := newStream(n, from, to), newStream(n, to, from)
	select {
	case l.conns <- &memConn{in: toListener, out: toDialer, remote: from}:
		return &memConn{in: toDialer, out: toListener, remote: to}, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// chunk is the data of one write.
type chunk struct {
	data      []byte
	arrivesAt time.Time
}

// stream is one direction of a connection.
type stream struct {
	net      *memNet
	from, to netip.AddrPort
	chunks   chan chunk
	closed   chan struct{}
	once     sync.Once

	mu     sync.Mutex
	broken bool
}

func newStream(n *memNet, from, to netip.AddrPort) *stream {
	return &stream{net: n, from: from, to: to, chunks: make(chan chunk, 4096), closed: make(chan struct{})}
}

func (s *stream) write(p []byte) (int, error) {
	select {
	case <-s.closed:
		return 0, net.ErrClosed
	default:
	}
	delay, up := s.net.latency(s.from, s.to)
	s.mu.Lock()
	s.broken = s.broken || !up
	broken := s.broken
	s.mu.Unlock()
	if !broken {
		s.chunks <- chunk{append([]byte{}, p...), time.Now().Add(delay)}
	}
	return len(p), nil
}

func (s *stream) close() { s.once.Do(func() { close(s.closed) }) }

// memConn is one end of a connection. Only reads have a deadline.
type memConn struct {
	in, out *stream
	remote  netip.AddrPort
	unread  []byte

	mu       sync.Mutex
	deadline time.Time
}

func (c *memConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		data, err := c.receive()
		if err != nil {
			return 0, err
		}
		c.unread = data
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// receive returns the next chunk when its latency has passed.
func (c *memConn) receive() ([]byte, error) {
	c.mu.Lock()
	timer := time.NewTimer(time.Until(c.deadline))
	c.mu.Unlock()
	defer timer.Stop()
	select {
	case ch := <-c.in.chunks:
		arrival := time.NewTimer(time.Until(ch.arrivesAt))
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
