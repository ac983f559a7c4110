package peer

import (
	"bufio"
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

// headerLength is the size in bytes of a frame header, which holds the length of
// the body as a big-endian number.
const headerLength = 4

// readBufferSize is the size in bytes of the read buffer of a connection.
const readBufferSize = 4 << 10

// firstBodyBytes is the memory that a frame takes before any of its body has arrived.
const firstBodyBytes = 16 << 10

// recentPings is the number of sent pings whose send times are kept. Ping.AsOf of
// a received ping is the send time of the ping that it echoes.
const recentPings = 16

// conn is a connection to a peer. It sends pings and queued messages, and passes
// received messages to the handler.
type conn struct {
	transport *Transport
	netConn   net.Conn
	// reader buffers what is read from netConn, so that small frames take one system call.
	reader *bufio.Reader
	// dialled is true if this daemon dialled the peer, false if it accepted the connection.
	dialled bool
	// peer is set when the transport attaches the connection.
	peer *peerState
	// region is the region of the peer, to which traffic is attributed.
	region cluster.Region
	ctx    context.Context
	cancel context.CancelFunc

	digestSender   digestSender
	digestReceiver digestReceiver
	// lastRackReport is when a ping last carried the racks.
	lastRackReport time.Time

	mu sync.Mutex
	// sentSequence and receivedSequence are those of the last ping sent and of the
	// last one received; zero means none.
	sentSequence     uint64
	receivedSequence uint64
	// pingSentAt holds the send times of the last pings, indexed by Sequence modulo recentPings.
	pingSentAt [recentPings]time.Time
}

func newConn(t *Transport, netConn net.Conn, dialled bool) *conn {
	ctx, cancel := context.WithCancel(t.ctx)
	return &conn{transport: t, netConn: netConn, reader: bufio.NewReaderSize(netConn, readBufferSize), dialled: dialled, ctx: ctx, cancel: cancel}
}

func (c *conn) close() {
	c.cancel()
	_ = c.netConn.Close()
}

// handshake exchanges Hello messages; the side that dialled sends first.
// dialledRegion is the region of the dialled peer; an accepting side learns it
// from the received Hello.
func (c *conn) handshake(dialledRegion cluster.Region) (*Hello, error) {
	stop := context.AfterFunc(c.ctx, func() { _ = c.netConn.Close() })
	defer stop()
	self := c.transport.cfg.Self
	if c.dialled {
		if err := c.write(&self, dialledRegion); err != nil {
			return nil, err
		}
	}
	m, n, err := c.read(maxHelloFrame)
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*Hello)
	if !ok {
		return nil, &Error{Op: "connect", Kind: KindHandshake, Err: fmt.Errorf("received %T instead of a Hello", m)}
	}
	c.transport.cfg.PaidLink.Count(paidlink.CauseMember, hello.Place.Region, n)
	if c.dialled {
		return hello, nil
	}
	return hello, c.write(&self, hello.Place.Region)
}

// run receives and sends messages until the connection fails or is closed, and
// returns the reason.
func (c *conn) run() error {
	stop := context.AfterFunc(c.ctx, func() { _ = c.netConn.Close() })
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

// readLoop passes received messages to the handler.
func (c *conn) readLoop() error {
	for {
		m, n, err := c.read(MaxFrame)
		if err != nil {
			return err
		}
		c.transport.markSeen(c)
		c.transport.cfg.PaidLink.Count(causeOf(m), c.region, n)
		if p, ok := m.(*Ping); ok {
			if err := c.receivePing(p); err != nil {
				return err
			}
		}
		c.transport.cfg.Handler(c.peer.id, m)
	}
}

// receivePing completes the ping's digest from earlier pings and sets AsOf to the
// send time of the echoed ping.
func (c *conn) receivePing(p *Ping) error {
	digest, err := c.digestReceiver.merge(p.Digest, p.layout)
	if err != nil {
		return err
	}
	p.Digest, p.layout = digest, fullDigest
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Sequence <= c.receivedSequence || p.Echo > c.sentSequence {
		return &Error{Op: "receive ping", Kind: KindMalformed, Err: fmt.Errorf("sequence %d, echo %d", p.Sequence, p.Echo)}
	}
	c.receivedSequence = p.Sequence
	if p.Echo > 0 && c.sentSequence-p.Echo < recentPings {
		p.AsOf = c.pingSentAt[p.Echo%recentPings]
	}
	return nil
}

// writeLoop sends pings and the queued messages, those of bulkQueue while there are no others.
func (c *conn) writeLoop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var m Message
		select {
		case <-c.ctx.Done():
			return nil
		case <-timer.C:
		case m = <-c.peer.sendQueue:
		default:
			select {
			case <-c.ctx.Done():
				return nil
			case <-timer.C:
			case m = <-c.peer.sendQueue:
			case m = <-c.peer.bulkQueue:
			}
		}
		if m == nil {
			m = c.nextPing()
			timer.Reset(c.transport.pingInterval())
		}
		if err := c.write(m, c.region); err != nil {
			return err
		}
	}
}

// nextPing returns the next ping to send. It reads the sequence number to echo
// before the digest, so that the digest is not older than the echoed ping.
func (c *conn) nextPing() *Ping {
	now := c.transport.cfg.Now()
	c.mu.Lock()
	c.sentSequence++
	c.pingSentAt[c.sentSequence%recentPings] = now
	p := &Ping{Sequence: c.sentSequence, Echo: c.receivedSequence}
	c.mu.Unlock()
	withRacks := now.Sub(c.lastRackReport) >= rackReportInterval
	if withRacks {
		c.lastRackReport = now
	}
	p.Digest, p.layout = c.digestSender.next(c.transport.cfg.Digest(), withRacks)
	return p
}

// write sends a message as one frame. A message that can't be encoded is logged
// and dropped without an error. The bytes are counted for the given region.
func (c *conn) write(m Message, region cluster.Region) error {
	body, err := Encode(m)
	if err != nil {
		c.transport.cfg.Metrics.Counter("peer_dropped").Inc(1)
		c.transport.cfg.Log.Error().Err(err).Msg("peer: dropped a message that can't be encoded")
		return nil
	}
	frame := append(binary.BigEndian.AppendUint32(make([]byte, 0, headerLength+len(body)), uint32(len(body))), body...)
	if err := c.netConn.SetWriteDeadline(c.deadline()); err != nil {
		return connectionError("write", err)
	}
	if _, err := c.netConn.Write(frame); err != nil {
		return connectionError("write", err)
	}
	c.transport.cfg.PaidLink.Count(causeOf(m), region, len(frame))
	return nil
}

// read receives one frame whose body has at most limit bytes and returns its
// message and its size in bytes, header included.
func (c *conn) read(limit uint32) (Message, int, error) {
	if err := c.netConn.SetReadDeadline(c.deadline()); err != nil {
		return nil, 0, connectionError("read", err)
	}
	var header [headerLength]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, 0, connectionError("read", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > limit {
		return nil, 0, &Error{Op: "read", Kind: KindOversized, Err: fmt.Errorf("frame of %d bytes", length)}
	}
	if length > firstBodyBytes {
		release, ok := c.transport.reserveFrame(c, int64(length))
		if !ok {
			return nil, 0, &Error{Op: "read", Kind: KindOversized, Err: fmt.Errorf("frame of %d bytes beside others of unlisted peers", length)}
		}
		defer release()
	}
	body, err := readGrowing(c.reader, int(length))
	if err != nil {
		return nil, 0, connectionError("read", err)
	}
	m, err := Decode(body)
	return m, headerLength + len(body), err
}

// readGrowing reads length bytes. The memory for them grows with what arrives, so
// that a sender can't make this daemon allocate it by an announcement.
func readGrowing(r io.Reader, length int) ([]byte, error) {
	body := make([]byte, min(length, firstBodyBytes))
	for read := 0; ; {
		n, err := io.ReadFull(r, body[read:])
		if read += n; err != nil || read == length {
			return body, err
		}
		grown := make([]byte, min(length, 2*len(body)))
		copy(grown, body)
		body = grown
	}
}

// deadline returns the deadline of the next read or write. It uses the system
// clock rather than Config.Now because net.Conn does.
func (c *conn) deadline() time.Time { return time.Now().Add(IdleTimeout) }

// connectionError returns an error of KindConnection.
func connectionError(op string, err error) error {
	return &Error{Op: op, Kind: KindConnection, Err: err}
}

// causeOf returns the cause that the bytes of a message are counted under.
func causeOf(m Message) paidlink.Cause {
	switch m.(type) {
	case *Hello, *Ping, *Leaving:
		return paidlink.CauseMember
	case *ConfigPush, *ConfigPoll, *ConfigAck:
		return paidlink.CauseConfig
	}
	return paidlink.CauseRack
}
