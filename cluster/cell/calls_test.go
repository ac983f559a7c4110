package cell

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a call that waits for its whole time on a daemon that has
// ended: a feed of jobs that goes through it would bring nothing for seconds.
func TestCallEndsWithPeer(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("other@1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	called := make(chan struct{}, 1)
	silent := peer.New(peer.Config{
		Self: peer.Hello{From: other}, Listener: listener, Log: zerolog.Nop(),
		Handler: func(_ cluster.DaemonID, m peer.Message) {
			if _, ok := m.(*peer.Call); ok {
				called <- struct{}{}
			}
		},
	})
	d := newTestDaemon(t, &slowStore{})
	d.transport = peer.New(peer.Config{Self: peer.Hello{From: d.cfg.Self}, Log: zerolog.Nop(), Handler: d.receive, Digest: d.digest})
	defer d.transport.Close()
	defer d.stop()
	d.transport.SetPeers([]peer.Peer{{ID: other, Addr: netip.MustParseAddrPort(listener.Addr().String())}})

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go func() {
		<-called
		silent.Close()
	}()
	for {
		_, err = call[stateReply](ctx, d, other, methodState, &stateRequest{})
		if !IsKind(err, KindUnavailable) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(IsKind(err, KindUnknown))
	is.NoErr(ctx.Err()) // the call did not wait for its own limit
}

// Guards against a job that reaches the owner of its pool only through the feed
// of the store, which may be slow or without history.
func TestSubmissionIsAnnounced(t *testing.T) {
	is := is.New(t)
	const owner = cluster.DaemonID("other@1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	announced := make(chan announcement, 1)
	remote := peer.New(peer.Config{
		Self: peer.Hello{From: owner}, Listener: listener, Log: zerolog.Nop(),
		Handler: func(_ cluster.DaemonID, m peer.Message) {
			if c, ok := m.(*peer.Call); ok && c.Method == methodAnnounce {
				a, err := decode[announcement]("test", c.Body)
				if err == nil {
					announced <- a
				}
			}
		},
	})
	defer remote.Close()
	d := newTestDaemon(t, &slowStore{})
	d.transport = peer.New(peer.Config{Self: peer.Hello{From: d.cfg.Self}, Log: zerolog.Nop(), Handler: d.receive, Digest: d.digest})
	defer d.transport.Close()
	defer d.wg.Wait()
	defer d.stop()
	d.transport.SetPeers([]peer.Peer{{ID: owner, Addr: netip.MustParseAddrPort(listener.Addr().String())}})
	for d.transport.LastHeard(owner).IsZero() {
		time.Sleep(time.Millisecond)
	}
	d.owners["pool"] = ownership{row: ownerRow{Owner: string(owner), Epoch: 1}, version: 1}
	job := &workload.Job{ID: "0000000000000001", Terms: workload.Terms{Service: "pool"}}
	d.wg.Go(func() { d.intake.run(partOf(job.ID)) })
	is.NoErr(d.Submit(context.Background(), job))
	a := <-announced
	is.Equal(a.Service, "pool")
	is.Equal(a.Keys, []string{jobKey(job.ID)})
}
