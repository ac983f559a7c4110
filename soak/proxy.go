package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// proxyMode is how a proxy treats the bytes of its connections.
type proxyMode int

const (
	modeOpen proxyMode = iota
	// modeDelayed delays each chunk by proxyDelay.
	modeDelayed
	// modeBlockRequests, modeBlockReplies and modeBlockAll hold back the bytes of one
	// or both directions until the mode changes.
	modeBlockRequests
	modeBlockReplies
	modeBlockAll
)

var modeNames = [...]string{"open", "delayed", "no requests", "no answers", "nothing"}

// String returns the name of the mode.
func (p proxyMode) String() string { return modeNames[p] }

const (
	// proxyDelay is longer than the latency of any path in the users' deployments.
	proxyDelay = 120 * time.Millisecond
	// maxLinkChunk bounds the chunks that a limited link carries, so that its connections share it.
	maxLinkChunk = 4 << 10
	// proxyBufferSize is the maximum size of a chunk that is forwarded.
	proxyBufferSize = 32 << 10
)

// link limits the bytes per second of one direction of the connections of a daemon.
type link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the link has carried the bytes so far.
	freeAt time.Time
}

// newLink returns a link with a rate in Mbit/s, or nil, which is not limited, if that is zero.
func newLink(mbps float64) *link {
	if mbps == 0 {
		return nil
	}
	return &link{bytesPerSecond: mbps * 1e6 / 8}
}

// carry waits until the link has carried n bytes.
func (l *link) carry(n int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	time.Sleep(wait)
}

// proxy forwards connections to a server on loopback.
type proxy struct {
	listener net.Listener
	target   string
	// requests and replies limit the two directions of the connections; nil means no limit.
	requests, replies *link
	// sourceOf returns the daemon that has opened a connection, isCut whether the bytes of its connections are held back
	// in both directions. They are nil if no connection is cut by its source.
	sourceOf func(net.Conn) int
	isCut    func(daemon int) bool
	wg       conc.WaitGroup

	mu   sync.Mutex
	mode proxyMode
	// modeChanged is closed and replaced when mode or closed changes.
	modeChanged chan struct{}
	closed      bool
	conns       map[net.Conn]bool
}

// newProxy starts a proxy on a free port that forwards to target.
func newProxy(target string) (*proxy, error) { return newLimitedProxy(target, nil, nil) }

// newLimitedProxy is newProxy with limited links.
func newLimitedProxy(target string, requests, replies *link) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, requests: requests, replies: replies, modeChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.wg.Go(p.acceptConns)
	return p, nil
}

// cutBy lets isCut hold back the connections by their source; call it before the first one.
func (p *proxy) cutBy(sourceOf func(net.Conn) int, isCut func(daemon int) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sourceOf, p.isCut = sourceOf, isCut
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) acceptConns() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		sourceOf := p.sourceOf
		p.mu.Unlock()
		source := noSource
		if sourceOf != nil {
			source = sourceOf(client)
		}
		p.wg.Go(func() { p.forward(server, client, source, modeBlockRequests, p.requests) })
		p.wg.Go(func() { p.forward(client, server, source, modeBlockReplies, p.replies) })
	}
}

// noSource is the source of a connection that no known daemon has opened.
const noSource = -1

// forward copies the bytes of one direction of a connection from a daemon; blockingMode is the mode that holds
// back only this direction.
func (p *proxy) forward(to, from net.Conn, source int, blockingMode proxyMode, limit *link) {
	defer p.closeConns(to, from)
	size := proxyBufferSize
	if limit != nil {
		size = maxLinkChunk
	}
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		limit.carry(n)
		if n > 0 && p.waitUntilAllowed(source, blockingMode) {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilAllowed waits until a chunk may be forwarded and returns false if the
// proxy is closed.
func (p *proxy) waitUntilAllowed(source int, blockingMode proxyMode) bool {
	for {
		p.mu.Lock()
		mode, modeChanged, closed, isCut := p.mode, p.modeChanged, p.closed, p.isCut
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case isCut != nil && isCut(source):
		case mode == modeDelayed:
			time.Sleep(proxyDelay)
			return true
		case mode != blockingMode && mode != modeBlockAll:
			return true
		}
		<-modeChanged
	}
}

// closeConns closes both ends of a forwarded connection.
func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// setMode changes the mode for all connections, open ones included.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.wakeLocked()
}

// wake makes the held back connections check again whether they are cut.
func (p *proxy) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked()
}

// wakeLocked is wake with p.mu held.
func (p *proxy) wakeLocked() {
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// resetConns closes every connection with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

var _ io.Closer = (*proxy)(nil)

// Close stops the proxy and resets its connections.
func (p *proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.wakeLocked()
	p.mu.Unlock()
	p.resetConns()
	p.wg.Wait()
	return err
}
