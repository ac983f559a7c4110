package cell

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a call that waits for its whole timeout although the called daemon has stopped. A change feed
// of jobs that is relayed through such a daemon would deliver nothing for seconds.
func TestCallFailsWhenPeerStops(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("other@1")
	called := make(chan struct{}, 1)
	d := newTestDaemon(t, &slowStore{})
	otherPeer := connectPeer(t, d, other, func(m peer.Message) {
		if _, ok := m.(*peer.Call); ok {
			called <- struct{}{}
		}
	})
	defer d.stop()

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go func() {
		<-called
		otherPeer.Close()
	}()
	var err error
	for {
		_, err = call[stateReply](ctx, d, other, methodState, &stateRequest{})
		if !IsKind(err, KindUnavailable) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(IsKind(err, KindUnknown))
	is.NoErr(ctx.Err()) // the call did not wait for its own timeout
}

// Guards against a job that reaches the owner of its shard only through the change feed of the store, which may
// be slow or have to be read from the beginning.
func TestSubmissionIsAnnounced(t *testing.T) {
	is := is.New(t)
	const owner = cluster.DaemonID("other@1")
	announced := make(chan announcement, 1)
	d := newTestDaemon(t, &slowStore{})
	connectPeer(t, d, owner, func(m peer.Message) {
		if c, ok := m.(*peer.Call); ok && c.Method == methodAnnounce {
			a, err := decode[announcement]("test", c.Body)
			if err == nil {
				announced <- a
			}
		}
	})
	defer d.wg.Wait()
	defer d.stop()
	d.owners[shardID{Service: "pool"}] = ownership{row: ownerRow{Owner: string(owner), Epoch: 1}, version: 1}
	job := &workload.Job{ID: "0000000000000001", Terms: workload.Terms{Service: "pool"}}
	d.wg.Go(func() { d.intake.run(jobPart(job.ID)) })
	is.NoErr(d.Submit(context.Background(), job))
	a := <-announced
	is.Equal(a.Shard, "pool")
	is.Equal(a.Keys, []string{jobKey(1, job.ID)})
}

// Guards against a relayed read whose reply is larger than a message may be: the reply is dropped, and a daemon that
// can't reach the store waits for the timeout of each read.
func TestLargeReadIsRelayed(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("other@1")
	store, d := newStoreDaemon(t)
	_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
	is.NoErr(err)
	var puts []platform.Put
	for i := range 100 {
		puts = append(puts, platform.Put{Key: fmt.Sprintf("%s%d", recordPartPrefix(testShard, 0), i), Value: make([]byte, 16<<10)})
	}
	_, err = store.Commit(t.Context(), platform.Txn{Puts: puts})
	is.NoErr(err)
	replies := make(chan *peer.Reply, 1)
	remote := connectPeer(t, d, other, func(m peer.Message) {
		if r, ok := m.(*peer.Reply); ok {
			replies <- r
		}
	})
	request := must(encode("test", &readRequest{Prefixes: []string{recordPartPrefix(testShard, 0)}}))
	is.True(remote.Send(d.cfg.Self, &peer.Call{ID: 1, Method: methodRead, Body: request}))
	select {
	case <-replies:
	case <-time.After(2 * time.Second):
		t.Fatal("no reply")
	}
}

// serveThrough connects a daemon to a peer that lets relay serve the calls.
func serveThrough(t *testing.T, d *Daemon, other cluster.DaemonID, relay *Daemon) {
	t.Helper()
	connected := make(chan struct{})
	relay.transport = connectPeer(t, d, other, func(m peer.Message) {
		if c, ok := m.(*peer.Call); ok {
			<-connected
			relay.serveCall(d.cfg.Self, c)
		}
	})
	close(connected)
}

// Guards against an owner that can't load the rows of its shard while it can't reach the store, because there are more
// rows than a message can carry.
func TestLargeRelayedReadReturnsAllRows(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("other@1")
	store, relay := newStoreDaemon(t)
	_, err := relay.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
	is.NoErr(err)
	var puts []platform.Put
	for i := range 100 {
		puts = append(puts, platform.Put{Key: fmt.Sprintf("%s%d", recordPartPrefix(testShard, 0), i), Value: bytes.Repeat([]byte{byte(i)}, 64<<10)})
	}
	_, err = store.Commit(t.Context(), platform.Txn{Puts: puts})
	is.NoErr(err)
	_, d := newStoreDaemon(t)
	serveThrough(t, d, other, relay)
	req := platform.ReadRequest{Prefixes: []string{recordPartPrefix(testShard, 0)}}
	stored, err := store.Read(t.Context(), req)
	is.NoErr(err)
	relayed, err := d.store.relayRead(t.Context(), other, req)
	is.NoErr(err)
	is.Equal(relayed, stored)
}

// Guards against a relayed read that returns only some of the rows, and against one that waits for its timeout, if a
// part of the reply is lost.
func TestRelayedReadWithLostPartFails(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("other@1")
	_, d := newStoreDaemon(t)
	remote := make(chan *peer.Transport, 1)
	remote <- connectPeer(t, d, other, func(m peer.Message) {
		if c, ok := m.(*peer.Call); ok {
			transport := <-remote
			for _, part := range []int{0, 2} {
				transport.Send(d.cfg.Self, &peer.Reply{ID: c.ID, Body: must(encode("test", &readReply{Part: part, Parts: 3}))})
			}
		}
	})
	_, err := d.store.relayRead(t.Context(), other, platform.ReadRequest{})
	is.True(platform.IsKind(err, platform.KindUnavailable))
	is.True(IsKind(err, KindMalformed))
}

// Guards against replies that can't be sent: a part above the limit, more parts than the caller accepts, or several
// parts to a daemon of an earlier version, which takes the first one for the whole reply.
func TestReadReplyIsSplit(t *testing.T) {
	is := is.New(t)
	reply := readReply{AsOf: 5}
	for i := range 40 {
		reply.Rows = append(reply.Rows, platform.Row{Key: fmt.Sprintf("t/p/%d", i), Value: make([]byte, 64<<10)})
	}
	parts := reply.split(maxReplyParts)
	is.True(len(parts) > 1)
	for _, part := range parts {
		is.True(len(must(encode("test", &part))) <= maxBodyBytes)
		is.Equal(part.AsOf, reply.AsOf)
		is.Equal(part.Parts, len(parts))
	}
	is.Equal(len(reply.split(len(parts))), len(parts))
	fewer := reply.split(len(parts) - 1)
	is.True(len(fewer) > 1 && len(fewer) < len(parts)) // larger parts
	is.Equal(reply.split(1), []readReply{reply})
	is.Equal(reply.split(0), []readReply{reply})
	failed := readReply{Failed: true, Kind: int(platform.KindExpired)}
	is.Equal(failed.split(maxReplyParts), []readReply{failed})
}

// Guards against a request that is dropped because it is larger than a message may be, for whose reply the caller waits
// in vain.
func TestOversizedRequestFailsAtOnce(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("other@1")
	_, d := newStoreDaemon(t)
	connectPeer(t, d, other, func(peer.Message) {})
	_, err := d.store.relayCommit(t.Context(), other, platform.Txn{Puts: []platform.Put{{Key: "t/p/a", Value: make([]byte, peer.MaxFrame)}}})
	is.True(platform.IsKind(err, platform.KindUnavailable))
}

// panickingStore panics after it has applied a transaction.
type panickingStore struct{ *rowStore }

func (s panickingStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	if _, err := s.rowStore.Commit(ctx, txn); err != nil {
		return 0, err
	}
	panic("test")
}

// Guards against a transaction that is reported as not executed although the relaying daemon failed only after it
// had applied it. The client of a submission would be told that its job does not run.
func TestRelayFailureAfterCommitIsUnknown(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("other@1")
	store, relay := newStoreDaemon(t)
	relay.store = newRelayStore(relay, panickingStore{store})
	_, err := relay.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
	is.NoErr(err)
	_, d := newStoreDaemon(t)
	remote := make(chan *peer.Transport, 1)
	remote <- connectPeer(t, d, other, func(m peer.Message) {
		if c, ok := m.(*peer.Call); ok {
			relay.transport = <-remote
			relay.serveCall(d.cfg.Self, c)
		}
	})
	_, err = d.store.relayCommit(t.Context(), other, platform.Txn{Puts: []platform.Put{{Key: "t/p/a"}}})
	is.Equal(len(store.rows), 1)
	is.True(platform.IsKind(err, platform.KindUnknown))
}

// Guards against a caller that can't tell whether a call that failed at the other daemon was executed: it must not send
// the call to a third daemon unless it was not, and should do so then.
func TestReportedFailureTellsWhetherCallWasExecuted(t *testing.T) {
	const other = cluster.DaemonID("other@1")
	_, encodeErr := serve(&peer.Call{Body: must(encode("test", struct{}{}))}, func(struct{}) (chan int, error) { return nil, nil })
	_, decodeErr := serve(&peer.Call{Body: []byte{0xc1}}, func(struct{}) (struct{}, error) { return struct{}{}, nil })
	for _, c := range []struct {
		name  string
		reply *peer.Reply
		kind  Kind
	}{
		{name: "unavailable", reply: failureReply(0, &Error{Op: "test", Kind: KindUnavailable}), kind: KindUnavailable},
		{name: "overloaded", reply: failureReply(0, &Error{Op: "test", Kind: KindOverloaded}), kind: KindUnavailable},
		{name: "request not decoded", reply: failureReply(0, decodeErr), kind: KindUnavailable},
		{name: "throttled by the platform", reply: failureReply(0, &platform.Error{Op: "test", Kind: platform.KindThrottled}), kind: KindUnavailable},
		{name: "no reply of the platform", reply: failureReply(0, &platform.Error{Op: "test", Kind: platform.KindUnknown}), kind: KindUnknown},
		{name: "unknown", reply: failureReply(0, &Error{Op: "test", Kind: KindUnknown}), kind: KindUnknown},
		{name: "reply not encoded", reply: failureReply(0, encodeErr), kind: KindUnknown},
		{name: "daemon of an earlier version", reply: &peer.Reply{Failure: "relay: unavailable"}, kind: KindUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, d := newStoreDaemon(t)
			remote := make(chan *peer.Transport, 1)
			remote <- connectPeer(t, d, other, func(m peer.Message) {
				if call, ok := m.(*peer.Call); ok {
					(<-remote).Send(d.cfg.Self, &peer.Reply{ID: call.ID, Failure: c.reply.Failure, Body: c.reply.Body})
				}
			})
			_, err := call[commitReply](t.Context(), d, other, methodCommit, &commitRequest{})
			is.True(IsKind(err, c.kind))
		})
	}
}
