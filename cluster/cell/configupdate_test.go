package cell

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

// randomText returns text that does not compress well.
func randomText(size int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, size)
	for i := range text {
		text[i] = byte('!' + random.IntN(94))
	}
	return text
}

// fastLink is a rate in bytes per second that delays nothing.
const fastLink = 1 << 30

// readers returns the daemons that read the configuration from the store.
func (c *spreadCell) readers() (readers []*Daemon) {
	for _, d := range c.daemons {
		if d.readsConfig() {
			readers = append(readers, d)
		}
	}
	return readers
}

// Guards against a zone whose daemons keep an old configuration because the one that read it for them has failed.
func TestConfigIsInForceInTimeAfterReaderFails(t *testing.T) {
	is := is.New(t)
	const limit = 3 * time.Second
	c := newSpreadCell(t, fastLink, 3, 3)
	c.write(t, 1, randomText(1<<10))
	waitUntil(t, func() bool { return c.daemonsWith(1) == len(c.daemons) && len(c.readers()) == 2 })
	for _, reader := range c.readers() {
		reader.Close()
	}
	failedAt := time.Now()
	c.write(t, 2, randomText(1<<10))
	waitUntil(t, func() bool { return c.daemonsWith(2) >= len(c.daemons)-2 })
	t.Logf("in force after %s", time.Since(failedAt).Round(10*time.Millisecond))
	is.True(time.Since(failedAt) < limit)
}

// Guards against a configuration that reaches no other daemon because it is larger than a message may be.
func TestConfigLargerThanMessageReachesZone(t *testing.T) {
	is := is.New(t)
	c := newSpreadCell(t, fastLink, 2, 1)
	for _, d := range c.daemons {
		d.cfg.LinkRate = fastLink
	}
	c.write(t, 1, randomText(3<<20))
	waitUntil(t, func() bool { return c.daemonsWith(1) == len(c.daemons) })
	is.Equal(len(c.readers()), 2)
}

// Guards against a patch that is applied to another configuration than it was made for.
func TestPatchNeedsItsBase(t *testing.T) {
	is := is.New(t)
	base, other := randomText(64<<10), bytes.Repeat([]byte("other "), 10<<10)
	data := bytes.Replace(bytes.Clone(base), base[1000:1008], []byte("changed!"), 1)
	patch, err := encodeConfigUpdate(data, base)
	is.NoErr(err)
	is.True(len(patch) < 1<<10)
	decoded, err := decodeConfigUpdate(patch, base, xxhash.Sum64(data))
	is.NoErr(err)
	is.True(bytes.Equal(decoded, data))
	_, err = decodeConfigUpdate(patch, other, xxhash.Sum64(data))
	is.True(IsKind(err, KindMalformed))
	_, err = decodeConfigUpdate(patch, nil, xxhash.Sum64(data))
	is.True(IsKind(err, KindMalformed))
}

// Guards against a daemon with a base that is not known any more, or with another row of the same version, which gets a
// patch that it can't apply.
func TestUnknownBaseGetsWholeConfig(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t, &slowStore{})
	defer d.stop()
	d.cfg.Reader = paddedReader{}
	padding := randomText(8 << 10)
	for version := range maxConfigHistory + 3 {
		d.applyConfig(append(fmt.Appendf(nil, "%d ", version+1), padding...), "test")
	}
	newest := d.config.Load()
	for _, c := range []struct {
		name  string
		base  *configState
		patch bool
	}{
		{name: "known", base: d.configHistory[0], patch: true},
		{name: "forgotten", base: &configState{snapshot: cluster.Assemble(1, nil), hash: 1}},
		{name: "other row", base: &configState{snapshot: d.configHistory[0].snapshot, hash: 1}},
		{name: "none", base: &configState{snapshot: cluster.Assemble(0, nil)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d.nextConfigSendAt = time.Time{}
			parts, err := d.serveConfig(t.Context(), configRequest{Base: uint64(c.base.snapshot.Version), BaseHash: c.base.hash, MaxParts: maxConfigParts})
			is.NoErr(err)
			is.Equal(parts[0].Patch, c.patch)
			var collector configCollector
			for i, part := range parts {
				complete, err := collector.add(part)
				is.NoErr(err)
				is.Equal(complete, i == len(parts)-1)
			}
			data, err := collector.reply.decode(c.base.data)
			is.NoErr(err)
			is.True(bytes.Equal(data, newest.data))
		})
	}
}

// Guards against a daemon that requests the same patch again and again although it can't apply it.
func TestWholeConfigFollowsUnusablePatch(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("other@1")
	d := newTestDaemon(t, &slowStore{})
	defer d.wg.Wait()
	defer d.stop()
	d.cfg.Reader = paddedReader{}
	d.applyConfig([]byte("1 base"), "test")
	whole := []byte("2 whole")
	remote := make(chan *peer.Transport, 1)
	remote <- connectPeer(t, d, other, func(m peer.Message) {
		c, ok := m.(*peer.Call)
		if !ok || c.Method != methodConfig {
			return
		}
		request := must(decode[configRequest]("test", c.Body))
		reply := configReply{Version: 2, Hash: xxhash.Sum64(whole), Update: []byte("no patch"), Patch: true, Parts: 1}
		if request.Base == 0 {
			reply.Update, reply.Patch = must(encodeConfigUpdate(whole, nil)), false
		}
		transport := <-remote
		transport.Send(d.cfg.Self, &peer.Reply{ID: c.ID, Body: must(encode("test", &reply))})
		remote <- transport
	})
	d.fetchConfig(other)
	is.Equal(d.Snapshot().Version, cluster.Version(2))
}
