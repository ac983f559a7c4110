package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// forwardRouteCases are the cases of testdata/forward-routes.json.
type forwardRouteCases struct {
	Needs []struct {
		Name      string  `json:"name"`
		Workers   int     `json:"workers"`
		LinkMbps  int64   `json:"linkMbps"`
		Cores     float64 `json:"cores"`
		Forwarded bool    `json:"forwarded"`
	} `json:"needs"`
	Starts []struct {
		Name  string `json:"name"`
		Tasks int    `json:"tasks"`
		// Zones holds the zones of the workers, which are used in turn.
		Zones    []string `json:"zones"`
		Messages int      `json:"messages"`
	} `json:"starts"`
}

func readForwardRouteCases(t *testing.T) forwardRouteCases {
	t.Helper()
	data, err := os.ReadFile("testdata/forward-routes.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases forwardRouteCases
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

// Guards against an owner whose link or processor is used up by the calls to its workers.
func TestCallsAreForwardedForLargePool(t *testing.T) {
	for _, c := range readForwardRouteCases(t).Needs {
		t.Run(c.Name, func(t *testing.T) {
			is.New(t).Equal(needsForwarders(c.Workers, cluster.Bytes(c.LinkMbps*1_000_000/8), c.Cores), c.Forwarded)
		})
	}
}

// Guards against a specification that the owner sends once for each task, and against one that the link of a single
// forwarder carries for all tasks of a wide job.
func TestStartsOfJobShareMessages(t *testing.T) {
	var available []forwarder
	for _, zone := range []cluster.Zone{"a", "b", "c", "d"} {
		for i := range 5 {
			available = append(available, forwarder{id: cluster.DaemonID(fmt.Sprintf("%s%d@1", zone, i)), zone: zone, cores: float64(i)})
		}
	}
	routes := newForwardRoutes(available)
	for zone, ids := range routes {
		is.New(t).Equal(ids, []cluster.DaemonID{cluster.DaemonID(zone + "4@1"), cluster.DaemonID(zone + "3@1")})
	}
	for _, c := range readForwardRouteCases(t).Starts {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			var starts []*pool.SendStart
			for i := range c.Tasks {
				task := workload.TaskID{Job: "0000000000000001", Index: i}
				starts = append(starts, &pool.SendStart{
					Worker: platform.WorkerVM{ID: "w", Zone: cluster.Zone(c.Zones[i%len(c.Zones)])}, Task: task, Request: platform.StartRequest{Task: task.String()},
				})
			}
			total, messages := 0, 0
			for id, list := range routes.routeStarts(starts) {
				total += len(list)
				if id != "" {
					messages += (len(list) + maxStartsPerForwarder - 1) / maxStartsPerForwarder
				}
			}
			is.Equal(total, c.Tasks)
			is.Equal(messages, c.Messages)
		})
	}
}

// scriptedWorkers answers the requests to workers and counts them.
type scriptedWorkers struct {
	platform.WorkerService
	requests atomic.Int64
	err      error
	// holdDelay is how late the reply to a hold call is.
	holdDelay time.Duration
}

func (w *scriptedWorkers) StartTask(_ context.Context, vm platform.WorkerVM, req platform.StartRequest) (platform.StartReply, error) {
	w.requests.Add(1)
	if vm.ID == "full" {
		return platform.StartReply{Refusal: platform.RefusedNoCapacity, Clock: time.Minute}, w.err
	}
	if len(req.Spec) != 1200 || req.Ticket != "ticket" || req.Checkpoint != "checkpoint" || req.Until != time.Hour {
		return platform.StartReply{Refusal: platform.RefusedInvalid}, w.err
	}
	return platform.StartReply{Clock: time.Minute}, w.err
}

func (w *scriptedWorkers) StopTask(context.Context, platform.WorkerVM, platform.StopRequest) (platform.StopReply, error) {
	w.requests.Add(1)
	return platform.StopReply{Restarted: true}, w.err
}

var holdReplyOfWorker = platform.HoldReply{
	Incarnation: 3, Clock: time.Minute, MoreEnds: true,
	Running: []platform.TaskRun{{Task: "0000000000000001.0.0.1", Run: 7, Checkpoint: "c", Percent: 40}},
	Ended:   []platform.RunEnd{{Number: 2, Task: "0000000000000001.0.0.0", Run: 6, Outcome: platform.RunFailed, Checkpoint: "d"}},
}

func (w *scriptedWorkers) Hold(ctx context.Context, _ platform.WorkerVM, req platform.HoldRequest) (platform.HoldReply, error) {
	w.requests.Add(1)
	select {
	case <-time.After(w.holdDelay):
	case <-ctx.Done():
	}
	if req.Acknowledge != 5 || req.Until != time.Hour {
		return platform.HoldReply{}, w.err
	}
	return holdReplyOfWorker, w.err
}

// newForwardingOwner returns an owner with a slow link, its daemon and the daemon that forwards its calls, whose
// workers are given. The daemons use the given stores, or stores of their own if there are none.
func newForwardingOwner(t *testing.T, workers platform.WorkerService, stores ...platform.TableService) (o *ownedShard, d, near *Daemon) {
	t.Helper()
	_, d = newStoreDaemon(t)
	_, near = newStoreDaemon(t)
	if len(stores) == 2 {
		d.store, near.store = newRelayStore(d, stores[0]), newRelayStore(near, stores[1])
	}
	d.cfg.LinkRate = 250_000
	d.cfg.Place.Region = "home"
	near.cfg.Workers = workers
	const id = cluster.DaemonID("near@1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connected := make(chan struct{})
	near.transport = peer.New(peer.Config{
		Self: peer.Hello{From: id}, Listener: listener, Log: zerolog.Nop(), Digest: func() peer.Digest { return peer.Digest{StoreVisible: true} },
		Handler: func(from cluster.DaemonID, m peer.Message) {
			if c, ok := m.(*peer.Call); ok {
				<-connected
				near.serveCall(from, c)
			}
		},
	})
	t.Cleanup(near.transport.Close)
	close(connected)
	d.transport = peer.New(peer.Config{Self: peer.Hello{From: d.cfg.Self}, Log: zerolog.Nop(), Handler: d.handleMessage, Digest: d.digest})
	t.Cleanup(d.transport.Close)
	d.transport.SetPeers([]peer.Peer{{ID: id, Addr: netip.MustParseAddrPort(listener.Addr().String())}})
	waitUntil(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.digests[id].StoreVisible
	})
	d.mu.Lock()
	d.members["near"] = memberRow{ID: string(id), Region: "home", Zone: "a", ForwardsCalls: true}
	d.mu.Unlock()
	o = newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
	o.workerCount.Store(120)
	return o, d, near
}

func startEffect(worker cluster.WorkerID) *pool.SendStart {
	task := workload.TaskID{Job: recordedJob}
	return &pool.SendStart{Worker: testWorker(worker), Task: task, Request: platform.StartRequest{
		Task: task.String(), Run: 7, Fence: 5, Spec: strings.Repeat("s", 1200), Until: time.Hour, Checkpoint: "checkpoint", Ticket: "ticket",
	}}
}

func testWorker(id cluster.WorkerID) platform.WorkerVM {
	return platform.WorkerVM{ID: id, Zone: "a", Incarnation: 3, Addr: netip.MustParseAddrPort("127.0.0.1:9")}
}

func nextEvent(t *testing.T, o *ownedShard) pool.Event {
	t.Helper()
	select {
	case e := <-o.events:
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no event")
		return nil
	}
}

// Guards against a call whose request or reply changes on the way through another daemon.
func TestForwardedCallsHaveResultsOfDirectOnes(t *testing.T) {
	lost := &platform.Error{Op: "test", Kind: platform.KindUnknown}
	unsent := &platform.Error{Op: "test", Kind: platform.KindUnavailable}
	task := workload.TaskID{Job: recordedJob}
	for _, c := range []struct {
		name   string
		err    error
		effect pool.Effect
		want   pool.Event
	}{
		{
			name: "start", effect: startEffect("w"),
			want: &pool.StartAnswered{Worker: "w", Task: task, Run: 7, Fence: 5, Reply: platform.StartReply{Clock: time.Minute}},
		},
		{
			name: "refused start", effect: startEffect("full"),
			want: &pool.StartAnswered{Worker: "full", Task: task, Run: 7, Fence: 5, Reply: platform.StartReply{Refusal: platform.RefusedNoCapacity, Clock: time.Minute}},
		},
		{
			name: "start without a reply", err: lost, effect: startEffect("w"),
			want: &pool.StartAnswered{Worker: "w", Task: task, Run: 7, Fence: 5, Reply: platform.StartReply{Clock: time.Minute}, ReplyLost: true},
		},
		{
			name: "start that is not sent", err: unsent, effect: startEffect("w"),
			want: &pool.StartAnswered{Worker: "w", Task: task, Run: 7, Fence: 5, Reply: platform.StartReply{Refusal: platform.RefusedUnhealthy, Clock: time.Minute}},
		},
		{
			name: "stop", effect: &pool.SendStop{Worker: testWorker("w"), Task: task, Request: platform.StopRequest{Run: 7, Fence: 5}},
			want: &pool.StopAnswered{Worker: "w", Task: task, Run: 7, Fence: 5, Reply: platform.StopReply{Restarted: true}},
		},
		{
			name: "hold", effect: &pool.SendHold{Worker: testWorker("w"), Request: platform.HoldRequest{Fence: 5, Until: time.Hour, Acknowledge: 5}, Extra: true},
			want: &pool.HoldAnswered{Worker: "w", Incarnation: 3, Fence: 5, Extra: true, Reply: holdReplyOfWorker},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			workers := &scriptedWorkers{err: c.err}
			o, _, _ := newForwardingOwner(t, workers)
			o.executeEffects([]pool.Effect{c.effect})
			got := nextEvent(t, o)
			if hold, ok := got.(*pool.HoldAnswered); ok {
				is.True(!hold.SentAt.IsZero() && !hold.ReceivedAt.Before(hold.SentAt))
				hold.SentAt, hold.ReceivedAt = time.Time{}, time.Time{}
			}
			is.Equal(got, c.want)
			is.Equal(workers.requests.Load(), int64(1))
			is.Equal(len(o.d.forwarding.calls), 0) // nothing is left of the call
		})
	}
}

// Guards against run ends that are lost because the reply with them reached the forwarder late.
func TestLateReplyIsForwarded(t *testing.T) {
	is := is.New(t)
	o, _, _ := newForwardingOwner(t, &scriptedWorkers{holdDelay: holdTimeoutMargin + 200*time.Millisecond})
	o.executeEffects([]pool.Effect{&pool.SendHold{Worker: testWorker("w"), Request: platform.HoldRequest{Until: time.Hour, Acknowledge: 5}}})
	unanswered := nextEvent(t, o).(*pool.HoldAnswered)
	is.True(unanswered.ReplyLost && !unanswered.Late)
	late := nextEvent(t, o).(*pool.HoldAnswered)
	is.True(late.Late && !late.ReplyLost)
	is.Equal(late.Reply, holdReplyOfWorker)
}

// Guards against a shard that stands still because a forwarder does not respond, and against a call that counts as not
// sent although that forwarder may still make it.
func TestSilentForwarderIsAvoided(t *testing.T) {
	is := is.New(t)
	_, d := newStoreDaemon(t)
	d.cfg.LinkRate = 250_000
	direct := &scriptedWorkers{}
	d.cfg.Workers = direct
	const id = cluster.DaemonID("near@1")
	connectPeer(t, d, id, func(peer.Message) {})
	d.members["near"] = memberRow{ID: string(id), Zone: "a", ForwardsCalls: true}
	o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
	o.workerCount.Store(120)
	o.executeEffects([]pool.Effect{startEffect("w")})
	is.True(nextEvent(t, o).(*pool.StartAnswered).ReplyLost)
	is.Equal(direct.requests.Load(), int64(0))
	o.executeEffects([]pool.Effect{startEffect("w")})
	is.True(!nextEvent(t, o).(*pool.StartAnswered).ReplyLost)
	is.Equal(direct.requests.Load(), int64(1))
}

// Guards against workers whose leases expire because hold calls wait for a forwarder that has stopped responding.
func TestCallsOfStoppedForwarderAreGivenUp(t *testing.T) {
	is := is.New(t)
	o, d, near := newForwardingOwner(t, &scriptedWorkers{holdDelay: time.Minute})
	direct := &scriptedWorkers{}
	d.cfg.Workers = direct
	hold := &pool.SendHold{Worker: testWorker("w"), Request: platform.HoldRequest{Until: time.Hour, Acknowledge: 5, Wait: time.Second}}
	o.executeEffects([]pool.Effect{hold})
	near.transport.Close()
	stoppedAt := time.Now()
	for len(o.events) == 0 && time.Since(stoppedAt) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
		o.currentRoutes()
	}
	is.True(nextEvent(t, o).(*pool.HoldAnswered).ReplyLost)
	is.True(time.Since(stoppedAt) < pool.DefaultLease/2) // a repeated call still renews the leases
	o.executeEffects([]pool.Effect{hold})
	is.True(!nextEvent(t, o).(*pool.HoldAnswered).ReplyLost)
	is.Equal(direct.requests.Load(), int64(1))
}

// Guards against a control loop that waits for room in its own event queue when a forwarder has stopped.
func TestStoppedForwarderDoesNotBlockLoop(t *testing.T) {
	is := is.New(t)
	o, d, near := newForwardingOwner(t, &scriptedWorkers{holdDelay: time.Minute})
	o.executeEffects([]pool.Effect{&pool.SendHold{Worker: testWorker("w"), Request: platform.HoldRequest{Wait: time.Minute}}})
	near.transport.Close()
	for len(o.events) < cap(o.events) {
		o.events <- &pool.RecordWritten{}
	}
	waitUntil(t, func() bool { return d.forwarding.isSilent("near@1") })
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.routedAt = time.Time{}
		o.currentRoutes()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the control loop is blocked")
	}
	is.Equal(len(o.events), cap(o.events))
	o.stop()
}

// Guards against a daemon that was paused and then makes the calls that it received meanwhile, for an owner that may
// have lost its shard.
func TestPausedForwarderMakesNoCalls(t *testing.T) {
	is := is.New(t)
	workers := &scriptedWorkers{}
	o, _, near := newForwardingOwner(t, workers)
	near.forwardServer.checkPause()
	near.forwardServer.mu.Lock()
	near.forwardServer.checkedAt = near.forwardServer.checkedAt.Add(-2 * time.Second)
	near.forwardServer.mu.Unlock()
	o.executeEffects([]pool.Effect{startEffect("w"), &pool.SendHold{Worker: testWorker("w")}})
	notTried, lost := false, false
	for range 2 {
		switch e := nextEvent(t, o).(type) {
		case *pool.StartAnswered:
			notTried = e.NotTried && !e.ReplyLost
		case *pool.HoldAnswered:
			lost = e.ReplyLost
		}
	}
	is.True(notTried)
	is.True(lost)
	is.Equal(workers.requests.Load(), int64(0))
}

// Guards against a forwarder, or an owner, that ends because of a message that it can't read.
func TestMalformedForwardedMessageIsLeftOut(t *testing.T) {
	is := is.New(t)
	workers := &scriptedWorkers{}
	o, d, near := newForwardingOwner(t, workers)
	badIndexes := must(packBatch("test", &callBatch{
		Starts: []batchStart{{ID: 1001, Worker: 7}, {ID: 1002, Worker: -1}}, Stops: []batchStop{{ID: 1003, Worker: 1 << 40}}, Holds: []batchHold{{ID: 1004}},
	}))
	badResults := must(packBatch("test", &resultBatch{
		Starts: []startResult{{ID: 1, Refusal: -1}, {ID: 2, Outcome: 99, Refusal: 99}}, Holds: []holdResult{{ID: 3, Ended: []resultEnd{{Outcome: 77}}}},
	}))
	for _, m := range []packedMessage{
		{}, {Payload: []byte{0xc1}}, {Payload: []byte("no zstd"), Compressed: true}, {Payload: []byte{0xdd, 0xff, 0xff, 0xff, 0xff}}, badIndexes, badResults,
	} {
		_ = near.forwardServer.serve(d.cfg.Self, m)
		_ = d.forwarding.receiveResults("near@1", m)
	}
	is.Equal(workers.requests.Load(), int64(0))
	o.executeEffects([]pool.Effect{startEffect("w")})
	answered := nextEvent(t, o).(*pool.StartAnswered)
	is.True(!answered.ReplyLost && !answered.NotTried)
}

// Guards against a result that another daemon, or an earlier process of the forwarder, sends for a call.
func TestResultOfOtherDaemonIsIgnored(t *testing.T) {
	is := is.New(t)
	_, d := newStoreDaemon(t)
	o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
	id := o.registerStart("near@2", startEffect("w"))
	results := must(packBatch("test", &resultBatch{Starts: []startResult{{ID: id}}}))
	is.NoErr(d.forwarding.receiveResults("near@1", results))
	is.Equal(len(o.events), 0)
	is.NoErr(d.forwarding.receiveResults("near@2", results))
	is.Equal(len(o.events), 1)
}

// Guards against an outcome that this version does not know and that counts as the reply of a worker.
func TestUnknownOutcomeCountsAsLostReply(t *testing.T) {
	is := is.New(t)
	is.True(startAnswered(startEffect("w"), platform.StartReply{}, callLate+1).ReplyLost)
	is.True(stopAnswered(&pool.SendStop{}, platform.StopReply{}, callLate+1).ReplyLost)
}
