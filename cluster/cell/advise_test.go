package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// unreachableAdvice is an advice service that this daemon can't reach.
type unreachableAdvice struct{}

func (unreachableAdvice) Advise(context.Context, string, []cluster.WorkerID) (platform.Advice, error) {
	return platform.Advice{}, &platform.Error{Op: "test", Kind: platform.KindUnavailable}
}

// Guards against an owner that can't reach the advice service and sends each request from itself again, although
// another daemon can reach the service. The steps of queues with an advice policy would never start.
func TestAdviceIsRequestedThroughAnotherDaemon(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("vn@1") // ordered after this daemon
	const retryInterval = 200 * time.Millisecond
	d := newTestDaemon(t, &slowStore{})
	defer d.wg.Wait()
	defer d.stop()
	d.cfg.Advice = unreachableAdvice{}
	var remote *peer.Transport
	connected := make(chan struct{})
	remote = connectPeer(t, d, other, func(m peer.Message) {
		if c, ok := m.(*peer.Call); ok && c.Method == methodAdvise {
			<-connected
			remote.Send(d.cfg.Self, &peer.Reply{ID: c.ID, Body: must(encode("test", &adviseReply{Workers: []string{"w"}, Tickets: []string{"ticket"}}))})
		}
	})
	close(connected)
	for d.digestCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	var err error
	for range 5 {
		_, err = d.advisor.requestAdvice(t.Context(), testShard, pool.StepID{Job: recordedJob}, []cluster.WorkerID{"w"}, 20*time.Millisecond)
		if err == nil {
			break
		}
		time.Sleep(retryInterval)
	}
	is.NoErr(err)
}

func (d *Daemon) digestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.digests)
}

// panickingAdvice panics in each request.
type panickingAdvice struct{}

func (panickingAdvice) Advise(context.Context, string, []cluster.WorkerID) (platform.Advice, error) {
	panic("test")
}

// Guards against a step that requests no advice any more because a request ended in a panic, which leaves the request
// in flight for the scheduler while the owner goes on.
func TestPanicInAdviceRequestIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d := newStoreDaemon(t)
		d.transport = peer.New(peer.Config{Self: peer.Hello{From: d.cfg.Self}, Log: zerolog.Nop(), Handler: d.handleMessage, Digest: d.digest})
		defer d.transport.Close()
		d.cfg.Advice = panickingAdvice{}
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		o.executeEffects([]pool.Effect{&pool.RequestAdvice{Step: pool.StepID{Job: recordedJob}, Workers: []cluster.WorkerID{"w"}, ResponseTime: time.Second}})
		_ = o.goroutines.WaitAndRecover()
		is.True(o.ctx.Err() != nil || len(o.events) == 1) // the request failed, or another owner takes over
	})
}

// Guards against advice requests that are assigned to a daemon as if its queue were empty, because one request to it
// has failed, and that time out in their turn.
func TestFailedAdviceRequestKeepsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const other = cluster.DaemonID("other@1")
		d := newTestDaemon(t, &slowStore{})
		defer d.stop()
		const queued = 4 * time.Second
		busyUntil := time.Now().Add(queued)
		d.advisor.busyUntil[other] = busyUntil
		d.advisor.avoid(other)
		is.True(!d.advisor.busyUntil[other].Before(busyUntil))
	})
}
