package cell

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

const (
	// forwardMargin is added to the timeout of a forwarded call. A forwarder that responds reports an unanswered call
	// before this time, so a call without a result shows that the forwarder does not respond.
	forwardMargin = 300 * time.Millisecond
	// forwarderTimeout is the time without a message after which a forwarder gets no calls and those that it has count as
	// unanswered, so that the leases of its workers are renewed in time. It is longer than two pings are apart.
	forwarderTimeout = peer.MaxPingInterval + 300*time.Millisecond
	// forwarderAvoidTime is how long a forwarder that does not respond gets no calls.
	forwarderAvoidTime = 3 * time.Second
	// maxBatchStarts bounds the start requests of a message, so that it stays below maxBodyBytes.
	maxBatchStarts = 100
	// maxBatchCalls bounds the stop requests and hold calls of a message.
	maxBatchCalls = 1000
)

// forwardedCall is a call to a worker whose result is outstanding.
type forwardedCall struct {
	forwarder cluster.DaemonID
	// answered reports a result, unanswered that there is none. late means that unanswered was called before.
	answered   func(result any, late bool)
	unanswered func()
	timer      *replyTimer
	// keepFor is how long a result is still read after unanswered was called.
	keepFor time.Duration
	overdue bool
}

// callForwarding sends calls to workers through daemons near them. The forwarders decide nothing and keep no state; a
// call whose forwarder fails counts as a call without a reply.
type callForwarding struct {
	d *Daemon

	// avoided counts how often a forwarder was avoided.
	avoided atomic.Uint64

	mu         sync.Mutex
	lastID     uint64
	calls      map[uint64]*forwardedCall
	avoidUntil map[cluster.DaemonID]time.Time
}

func newCallForwarding(d *Daemon) *callForwarding {
	return &callForwarding{d: d, calls: map[uint64]*forwardedCall{}, avoidUntil: map[cluster.DaemonID]time.Time{}}
}

// routes returns the forwarders for the workers of a shard; it is empty if the owner calls them directly.
func (f *callForwarding) routes(workers int) forwardRoutes {
	f.giveUpSilent()
	if !needsForwarders(workers, f.d.cfg.LinkRate, f.d.cfg.Cores) {
		return nil
	}
	return newForwardRoutes(f.available(func(memberRow) bool { return true }))
}

// reader returns a daemon of the own region that reads from the store for the owner of a shard, and false if the owner
// reads itself.
func (f *callForwarding) reader(workers int) (cluster.DaemonID, bool) {
	if !needsForwarders(workers, f.d.cfg.LinkRate, f.d.cfg.Cores) {
		return "", false
	}
	readers := f.available(func(m memberRow) bool {
		return cluster.Region(m.Region) == f.d.cfg.Place.Region && f.d.digests[cluster.DaemonID(m.ID)].StoreVisible
	})
	if len(readers) == 0 {
		return "", false
	}
	return readers[rand.IntN(len(readers))].id, true
}

// available returns the daemons that forward calls, respond and meet a condition, which is checked with d.mu held.
func (f *callForwarding) available(condition func(memberRow) bool) []forwarder {
	now := time.Now()
	var list []forwarder
	f.d.mu.Lock()
	for _, m := range f.d.members {
		if m.ForwardsCalls && f.d.acceptsShards(m) && !f.isSilent(cluster.DaemonID(m.ID)) && condition(m) {
			list = append(list, forwarder{
				id: cluster.DaemonID(m.ID), zone: cluster.Zone(m.Zone), cores: m.Cores, linkRate: cluster.Bytes(m.LinkRate),
			})
		}
	}
	f.d.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(list, func(candidate forwarder) bool { return now.Before(f.avoidUntil[candidate.id]) })
}

func (f *callForwarding) isSilent(id cluster.DaemonID) bool {
	return time.Since(f.d.transport.LastSeen(id)) > forwarderTimeout
}

// giveUpSilent reports the calls of silent forwarders as unanswered. The control loop calls it, which must not wait for
// room in its own event queue.
func (f *callForwarding) giveUpSilent() {
	var ids []uint64
	f.mu.Lock()
	silent := map[cluster.DaemonID]bool{}
	for id, c := range f.calls {
		if _, checked := silent[c.forwarder]; !checked {
			silent[c.forwarder] = f.isSilent(c.forwarder)
		}
		if silent[c.forwarder] && !c.overdue && c.timer.stop() {
			ids = append(ids, id)
		}
	}
	f.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	f.d.wg.Go(func() {
		for _, id := range ids {
			f.expire(id)
		}
	})
}

// register adds an outstanding call and returns its identifier.
func (f *callForwarding) register(c *forwardedCall, timeout time.Duration) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	id := f.lastID
	f.calls[id] = c
	c.timer = startReplyTimer(timeout+forwardMargin, func() { f.expire(id) })
	return id
}

// expire reports a call without a result and avoids its forwarder.
func (f *callForwarding) expire(id uint64) {
	f.mu.Lock()
	c := f.calls[id]
	if c == nil || c.overdue {
		f.mu.Unlock()
		return
	}
	f.avoid(c.forwarder)
	c.overdue = true
	if c.keepFor > 0 {
		time.AfterFunc(c.keepFor, func() { f.remove(id) })
	} else {
		delete(f.calls, id)
	}
	f.mu.Unlock()
	c.unanswered()
}

// avoid keeps calls away from a forwarder for a time; f.mu is held.
func (f *callForwarding) avoid(id cluster.DaemonID) {
	now := time.Now()
	if now.After(f.avoidUntil[id]) {
		f.d.cfg.Log.Warn().Str("peer", string(id)).Msg("cell: no result of a forwarded call; avoiding the forwarder")
		f.d.cfg.Metrics.Counter("forwarder_avoided_total").Inc(1)
		f.avoided.Add(1)
	}
	for other, until := range f.avoidUntil {
		if now.After(until) {
			delete(f.avoidUntil, other)
		}
	}
	f.avoidUntil[id] = now.Add(forwarderAvoidTime)
}

func (f *callForwarding) remove(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, id)
}

// deliver passes a result to its call. A result with more to come is one of a hold call that was reported as unanswered.
func (f *callForwarding) deliver(from cluster.DaemonID, id uint64, result any, moreToCome bool) {
	f.mu.Lock()
	c := f.calls[id]
	if c == nil || c.forwarder != from {
		f.mu.Unlock()
		return
	}
	c.timer.stop()
	late := c.overdue
	if moreToCome && !late {
		c.overdue = true
		time.AfterFunc(c.keepFor, func() { f.remove(id) })
	} else if !moreToCome {
		delete(f.calls, id)
	}
	f.mu.Unlock()
	c.answered(result, late)
}

// receiveResults passes the results of forwarded calls to the owners of their shards.
func (f *callForwarding) receiveResults(from cluster.DaemonID, m packedMessage) error {
	batch, err := unpackBatch[resultBatch]("receive results", m)
	if err != nil {
		return err
	}
	f.d.cfg.Metrics.Counter("forwarded_result_bytes").Inc(int64(len(m.Payload)))
	for i := range batch.Starts {
		f.deliver(from, batch.Starts[i].ID, &batch.Starts[i], false)
	}
	for i := range batch.Stops {
		f.deliver(from, batch.Stops[i].ID, &batch.Stops[i], false)
	}
	for i := range batch.Holds {
		r := &batch.Holds[i]
		f.deliver(from, r.ID, r, r.Outcome == callUnanswered)
	}
	return nil
}

// send sends a batch to a forwarder, and reports whether it was queued.
func (f *callForwarding) send(to cluster.DaemonID, batch *callBatch) bool {
	const op = "forward calls"
	message, err := packBatch(op, batch)
	if err == nil {
		var body []byte
		if body, err = encode(op, &message); err == nil && len(body) <= maxBodyBytes {
			f.d.cfg.Metrics.Counter("forwarded_call_bytes").Inc(int64(len(body)))
			return f.d.transport.Send(to, &peer.Call{ID: noReplyID, Method: methodForwardCalls, Body: body})
		}
	}
	f.d.cfg.Log.Error().Err(err).Int("starts", len(batch.Starts)).Msg("cell: calls to workers can't be forwarded")
	return false
}

// batchBuilder collects the calls of one message.
type batchBuilder struct {
	batch   callBatch
	ids     []uint64
	workers map[cluster.WorkerID]int
	specs   map[string]int
}

func newBatchBuilder() *batchBuilder {
	return &batchBuilder{workers: map[cluster.WorkerID]int{}, specs: map[string]int{}}
}

func (b *batchBuilder) worker(vm *platform.WorkerVM) int {
	index, ok := b.workers[vm.ID]
	if !ok {
		index = len(b.batch.Workers)
		b.workers[vm.ID] = index
		b.batch.Workers = append(b.batch.Workers, batchWorker{ID: string(vm.ID), Addr: vm.Addr.String()})
	}
	return index
}

func (b *batchBuilder) spec(text string) int {
	index, ok := b.specs[text]
	if !ok {
		index = len(b.batch.Specs)
		b.specs[text] = index
		b.batch.Specs = append(b.batch.Specs, text)
	}
	return index
}

func (b *batchBuilder) addStart(id uint64, e *pool.SendStart) {
	b.ids = append(b.ids, id)
	b.batch.Starts = append(b.batch.Starts, batchStart{
		ID: id, Worker: b.worker(&e.Worker), Fence: uint64(e.Request.Fence), Task: e.Request.Task, Run: uint64(e.Request.Run),
		Spec: b.spec(e.Request.Spec), Until: e.Request.Until, Checkpoint: e.Request.Checkpoint, Ticket: e.Request.Ticket,
	})
}

func (b *batchBuilder) addStop(id uint64, e *pool.SendStop) {
	b.ids = append(b.ids, id)
	b.batch.Stops = append(b.batch.Stops, batchStop{
		ID: id, Worker: b.worker(&e.Worker), Fence: uint64(e.Request.Fence), Task: e.Request.Task, Run: uint64(e.Request.Run),
	})
}

func (b *batchBuilder) addHold(id uint64, e *pool.SendHold) {
	b.ids = append(b.ids, id)
	b.batch.Holds = append(b.batch.Holds, batchHold{
		ID: id, Worker: b.worker(&e.Worker), Fence: uint64(e.Request.Fence), Until: e.Request.Until, Acknowledge: e.Request.Acknowledge, Wait: e.Request.Wait,
	})
}

// drop removes the calls of a batch that was not sent.
func (f *callForwarding) drop(b *batchBuilder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range b.ids {
		if c := f.calls[id]; c != nil {
			c.timer.stop()
			delete(f.calls, id)
		}
	}
}
