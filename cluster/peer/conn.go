package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
)

// headerLength is the length of a frame's header, the big-endian length of the body.
const headerLength = 4

// rememberedPings is the number of own pings whose time is kept until their echo arrives.
const rememberedPings = 16

// conn is one connection to a peer.
type conn struct {
	t       *Transport
	nc      net.Conn
	dialled bool
	remote  *remote
	// region is the region of the peer.
	region cluster.Region
	ctx    context.Context
	stop   context.CancelFunc

	sender   digestSender
	receiver digestReceiver
	lastRack time.Time

	mu       sync.Mutex
	sequence uint64
	seen     uint64
	sent     [rememberedPings]time.Time
}

func newConn(t *Transport, nc net.Conn, dialled bool) *conn {
	ctx, stop := context.WithCancel(t.ctx)
	return &conn{t: t, nc: nc, dialled: dialled, ctx: ctx, stop: stop}
}

func (c *conn) close() {
	c.stop()
	_ = c.nc.Close()
}

// handshake exchanges Hello messages; the side that dialled speaks first.
func (c *conn) handshake(dialledRegion cluster.Region) (*Hello, error) {
	stop := context.AfterFunc(c.ctx, func() { _ = c.nc.Close() })
	defer stop()
	self := c.t.cfg.Self
	if c.dialled {
		if err := c.write(&self, dialledRegion); err != nil {
			return nil, err
		}
	}
	m, n, err := c.read()
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*Hello)
	if !ok {
		return nil, &Error{Op: "connect", Kind: KindHandshake, Err: fmt.Errorf("%T instead of Hello", m)}
	}
	c.t.cfg.PaidLink.Count(paidlink.CauseMember, hello.Place.Region, n)
	if c.dialled {
		return hello, nil
	}
	return hello, c.write(&self, hello.Place.Region)
}

// run reads and writes until the connection fails.
func (c *conn) run() error {
	stop := context.AfterFunc(c.ctx, func() { _ = c.nc.Close() })
	defer stop()
	var wg conc.WaitGroup
	var writeErr error
	wg.Go(func() {
		writeErr = c.writeLoop()
		c.close()
	})
	err := c.readLoop()
	c.close()
	wg.Wait()
	if writeErr != nil && errors.Is(err, net.ErrClosed) {
		return writeErr
	}
	return err
}

func (c *conn) readLoop() error {
	for {
		m, n, err := c.read()
		if err != nil {
			return err
		}
		c.t.heard(c)
		c.t.cfg.PaidLink.Count(causeOf(m), c.region, n)
		if p, ok := m.(*Ping); ok {
			if err := c.receivePing(p); err != nil {
				return err
			}
		}
		c.t.cfg.Handler(c.remote.id, m)
	}
}

// receivePing completes the digest and dates it by the echo.
func (c *conn) receivePing(p *Ping) error {
	digest, err := c.receiver.merge(p.Digest, p.layout)
	if err != nil {
		return err
	}
	p.Digest, p.layout = digest, wholeDigest
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Sequence <= c.seen || p.Echo > c.sequence {
		return &Error{Op: "receive ping", Kind: KindMalformed, Err: fmt.Errorf("sequence %d, echo %d", p.Sequence, p.Echo)}
	}
	c.seen = p.Sequence
	if p.Echo > 0 && c.sequence-p.Echo < rememberedPings {
		p.AsOf = c.sent[p.Echo%rememberedPings]
	}
	return nil
}

func (c *conn) writeLoop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case <-timer.C:
			if err := c.write(c.nextPing(), c.region); err != nil {
				return err
			}
			timer.Reset(c.t.pingInterval())
		case m := <-c.remote.queue:
			if err := c.write(m, c.region); err != nil {
				return err
			}
		}
	}
}

// nextPing reads the echo before the digest, so that the digest is not older than the echoed ping.
func (c *conn) nextPing() *Ping {
	now := c.t.cfg.Now()
	c.mu.Lock()
	c.sequence++
	c.sent[c.sequence%rememberedPings] = now
	p := &Ping{Sequence: c.sequence, Echo: c.seen}
	c.mu.Unlock()
	withRacks := now.Sub(c.lastRack) >= rackInterval
	if withRacks {
		c.lastRack = now
	}
	p.Digest, p.layout = c.sender.next(c.t.cfg.Digest(), withRacks)
	return p
}

// write sends one frame; a message that can't be encoded is dropped and logged.
func (c *conn) write(m Message, region cluster.Region) error {
	body, err := Encode(m)
	if err != nil {
		c.t.cfg.Metrics.Counter("peer_dropped").Inc(1)
		c.t.cfg.Log.Error().Err(err).Msg("peer: message not sent")
		return nil
	}
	frame := append(binary.BigEndian.AppendUint32(make([]byte, 0, headerLength+len(body)), uint32(len(body))), body...)
	if err := c.nc.SetWriteDeadline(c.deadline()); err != nil {
		return connectionError("write", err)
	}
	if _, err := c.nc.Write(frame); err != nil {
		return connectionError("write", err)
	}
	c.t.cfg.PaidLink.Count(causeOf(m), region, len(frame))
	return nil
}

// read receives one frame and returns its size.
func (c *conn) read() (Message, int, error) {
	if err := c.nc.SetReadDeadline(c.deadline()); err != nil {
		return nil, 0, connectionError("read", err)
	}
	var header [headerLength]byte
	if _, err := io.ReadFull(c.nc, header[:]); err != nil {
		return nil, 0, connectionError("read", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrame {
		return nil, 0, &Error{Op: "read", Kind: KindOversized, Err: fmt.Errorf("frame of %d bytes", length)}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(c.nc, body); err != nil {
		return nil, 0, connectionError("read", err)
	}
	m, err := Decode(body)
	return m, headerLength + len(body), err
}

// deadline uses the system's clock, which net.Conn measures deadlines with.
func (c *conn) deadline() time.Time { return time.Now().Add(SilenceLimit) }

func connectionError(op string, err error) error {
	return &Error{Op: op, Kind: KindConnection, Err: err}
}

// causeOf returns what the bytes of a message are counted as.
func causeOf(m Message) paidlink.Cause {
	switch m.(type) {
	case *Hello, *Ping, *Leaving:
		return paidlink.CauseMember
	case *ConfigPush, *ConfigPoll, *ConfigAck:
		return paidlink.CauseConfig
	}
	return paidlink.CauseRack
}
