package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// passage is how a proxy treats bytes.
type passage int

const (
	passOpen passage = iota
	// passDelayed holds each piece for proxyDelay.
	passDelayed
	// passNoRequests, passNoAnswers and passNothing hold the bytes of one or both
	// directions until the passage changes.
	passNoRequests
	passNoAnswers
	passNothing
)

var passageNames = [...]string{"open", "delayed", "no requests", "no answers", "nothing"}

// String returns the passage's name.
func (p passage) String() string { return passageNames[p] }

const (
	// proxyDelay is longer than any path of the users' deployments.
	proxyDelay = 120 * time.Millisecond
	// proxyPiece bounds the bytes that are passed on at once.
	proxyPiece = 32 << 10
)

// proxy passes connections on to a server on loopback.
type proxy struct {
	listener net.Listener
	target   string
	wg       conc.WaitGroup

	mu      sync.Mutex
	passage passage
	changed chan struct{}
	closed  bool
	conns   map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
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
		p.mu.Unlock()
		p.wg.Go(func() { p.pass(server, client, passNoRequests) })
		p.wg.Go(func() { p.pass(client, server, passNoAnswers) })
	}
}

// pass copies bytes of one direction, which cut holds up.
func (p *proxy) pass(to, from net.Conn, cut passage) {
	defer p.drop(to, from)
	piece := make([]byte, proxyPiece)
	for {
		n, err := from.Read(piece)
		if n > 0 && p.hold(cut) {
			if _, werr := to.Write(piece[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits until a piece may pass and returns false if the proxy is closed.
func (p *proxy) hold(cut passage) bool {
	for {
		p.mu.Lock()
		now, changed, closed := p.passage, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case now == passDelayed:
			time.Sleep(proxyDelay)
			return true
		case now != cut && now != passNothing:
			return true
		}
		<-changed
	}
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// set changes how bytes pass.
func (p *proxy) set(to passage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passage = to
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset breaks every connection.
func (p *proxy) reset() {
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

// Close ends the proxy and its connections.
func (p *proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.reset()
	p.wg.Wait()
	return err
}
