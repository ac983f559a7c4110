package cell

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// regionLink is the link between two regions. It carries the chunks of all transfers one after the other.
type regionLink struct {
	bytesPerSecond int

	mu sync.Mutex
	// freeAt is when the link has carried all chunks that it has accepted.
	freeAt  time.Time
	carried int
}

// linkChunk is small, so that concurrent transfers share the link.
const linkChunk = 4 << 10

// transfer returns when the bytes have passed the link or ctx ends.
func (l *regionLink) transfer(ctx context.Context, size int) error {
	for size > 0 && ctx.Err() == nil {
		chunk := min(size, linkChunk)
		l.mu.Lock()
		if now := time.Now(); l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(chunk) * time.Second / time.Duration(l.bytesPerSecond))
		l.carried += chunk
		passedAt := l.freeAt
		l.mu.Unlock()
		time.Sleep(time.Until(passedAt))
		size -= chunk
	}
	return ctx.Err()
}

func (l *regionLink) carriedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}

// remoteStore is a feedStore that is read from another region.
type remoteStore struct {
	*feedStore
	link *regionLink
}

func (s *remoteStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	reply, err := s.feedStore.Read(ctx, req)
	if err != nil {
		return reply, err
	}
	size := 0
	for _, r := range reply.Rows {
		size += len(r.Value)
	}
	if err := s.link.transfer(ctx, size); err != nil {
		return platform.ReadReply{}, &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: err}
	}
	return reply, nil
}

// regionListener accepts connections in a region; those from other regions pass the link.
type regionListener struct {
	net.Listener
	region cluster.Region
	link   *regionLink
}

func (l *regionListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &regionConn{Conn: c, listener: l}, nil
}

// regionConn is an accepted connection of a regionListener. The first frame that it receives tells the region of the
// daemon that dialled.
type regionConn struct {
	net.Conn
	listener *regionListener

	// received holds the bytes of the first frame until it is complete; only Read uses it.
	received []byte

	mu           sync.Mutex
	isIdentified bool
	isRemote     bool
}

func (c *regionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.identify(p[:n])
	if c.passesLink() {
		_ = c.listener.link.transfer(context.Background(), n)
	}
	return n, err
}

func (c *regionConn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		chunk := p[written:min(len(p), written+linkChunk)]
		if c.passesLink() {
			_ = c.listener.link.transfer(context.Background(), len(chunk))
		}
		var n int
		n, err = c.Conn.Write(chunk)
		written += n
	}
	return written, err
}

func (c *regionConn) passesLink() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isRemote
}

// identify reads the region of the daemon that dialled from the first frame.
func (c *regionConn) identify(received []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdentified {
		return
	}
	const headerLength = 4
	c.received = append(c.received, received...)
	if len(c.received) < headerLength {
		return
	}
	length := int(binary.BigEndian.Uint32(c.received))
	if len(c.received) < headerLength+length {
		return
	}
	m, err := peer.Decode(c.received[headerLength : headerLength+length])
	hello, ok := m.(*peer.Hello)
	c.isIdentified, c.isRemote = true, err == nil && ok && hello.Place.Region != c.listener.region
}

// spreadCell is a cell of daemons in two regions with a link between them. The store is in the first region.
type spreadCell struct {
	store   *feedStore
	link    *regionLink
	daemons []*Daemon
}

// newSpreadCell starts the daemons of a cell and waits until all of them are connected.
func newSpreadCell(t *testing.T, bytesPerSecond, localDaemons, remoteDaemons int) *spreadCell {
	t.Helper()
	is := is.New(t)
	c := &spreadCell{
		store: &feedStore{rowStore: &rowStore{rows: map[string]platform.Row{}}},
		link:  &regionLink{bytesPerSecond: bytesPerSecond},
	}
	for i := range localDaemons + remoteDaemons {
		store, region := platform.TableService(c.store), cluster.Region("local")
		if i >= localDaemons {
			store, region = &remoteStore{feedStore: c.store, link: c.link}, "remote"
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		d := newTestDaemon(t, store)
		d.cfg.VM = fmt.Sprintf("%s-%d", region, i)
		d.cfg.Self = NewID(d.cfg.VM, time.UnixMilli(1))
		d.cfg.Place.Region = region
		d.cfg.PeerAddr = netip.MustParseAddrPort(listener.Addr().String())
		d.cfg.Listener = &regionListener{Listener: listener, region: region, link: c.link}
		d.cfg.Reader = paddedReader{}
		c.daemons = append(c.daemons, d)
	}
	for _, d := range c.daemons {
		d.Start()
		t.Cleanup(d.Close)
	}
	for _, d := range c.daemons {
		for _, other := range c.daemons {
			waitUntil(t, func() bool { return d == other || !d.transport.LastSeen(other.cfg.Self).IsZero() })
		}
	}
	return c
}

// write writes a configuration and returns when this is done.
func (c *spreadCell) write(t *testing.T, version cluster.Version, content []byte) time.Time {
	t.Helper()
	value := append(fmt.Appendf(nil, "%d ", version), content...)
	_, err := c.store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: paddedReader{}.ConfigKey(), Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	return time.Now()
}

// daemonsWith returns the number of daemons that have a version or a newer one in force.
func (c *spreadCell) daemonsWith(version cluster.Version) int {
	n := 0
	for _, d := range c.daemons {
		if d.Snapshot().Version >= version {
			n++
		}
	}
	return n
}

// Guards against a link between regions that each small change of a large configuration fills with a copy for each
// daemon, so that further changes are in force too late.
func TestSmallConfigChangesAreInForceInTime(t *testing.T) {
	is := is.New(t)
	const (
		localDaemons  = 4
		remoteDaemons = 12
		size          = 256 << 10
		// copiesTime is how long the link takes to carry one copy for each remote daemon.
		copiesTime     = 2 * time.Second
		changes        = 4
		changeInterval = 600 * time.Millisecond
		limit          = 3 * time.Second
		// maxCopies bounds the bytes that pass the link for each change, pings included.
		maxCopies = 4
	)
	c := newSpreadCell(t, remoteDaemons*size/int(copiesTime/time.Second), localDaemons, remoteDaemons)
	content := make([]byte, size)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range content {
		content[i] = byte('a' + random.IntN(26))
	}
	c.write(t, 1, content)
	waitUntil(t, func() bool { return c.daemonsWith(1) == len(c.daemons) })
	carriedBefore := c.link.carriedBytes()

	var writtenAt, inForceAt [changes]time.Time
	recordInForce := func() {
		for i := range changes {
			if !writtenAt[i].IsZero() && inForceAt[i].IsZero() && c.daemonsWith(cluster.Version(i+2)) == len(c.daemons) {
				inForceAt[i] = time.Now()
			}
		}
	}
	for i := range changes {
		content = bytes.Clone(content)
		copy(content[random.IntN(size-8):], "changed!")
		writtenAt[i] = c.write(t, cluster.Version(i+2), content)
		for time.Since(writtenAt[i]) < changeInterval {
			recordInForce()
			time.Sleep(time.Millisecond)
		}
	}
	waitUntil(t, func() bool { recordInForce(); return !inForceAt[changes-1].IsZero() })
	for i := range changes {
		took := inForceAt[i].Sub(writtenAt[i])
		t.Logf("change %d in force everywhere after %s", i+1, took.Round(10*time.Millisecond))
		if took >= limit {
			t.Errorf("change %d is in force after %s; want less than %s", i+1, took.Round(10*time.Millisecond), limit)
		}
	}
	copies := float64(c.link.carriedBytes()-carriedBefore) / size / changes
	t.Logf("the link carried %.1f copies for each change", copies)
	is.True(copies <= maxCopies)
}
