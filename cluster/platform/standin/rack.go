package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// maxCommands limits the number of commands in one exchange.
const maxCommands = 10_000

// rack is a group of workers that are reached through one switch.
type rack struct {
	id    cluster.RackID
	place cluster.Place
	// sequence is the number of the last change of the rack's workers; it
	// starts at baseSequence and is the cursor of exchanges.
	sequence     uint64
	baseSequence uint64
	workers      []*worker
}

// Exchange renews leases, executes the commands and returns the workers that changed.
func (c *Caller) Exchange(ctx context.Context, req platform.ExchangeRequest) (platform.ExchangeReply, error) {
	const op = "exchange"
	if err := ctx.Err(); err != nil {
		return platform.ExchangeReply{}, unavailableError(op, err)
	}
	place, err := c.p.rackPlace(c.place.Region, req)
	if err != nil {
		return platform.ExchangeReply{}, err
	}
	if err := c.waitLatency(ctx, place); err != nil {
		return platform.ExchangeReply{}, unavailableError(op, err)
	}
	reply, err := c.p.exchange(req)
	if err != nil {
		return platform.ExchangeReply{}, err
	}
	if err := c.waitLatency(ctx, place); err != nil {
		return platform.ExchangeReply{}, unknownError(op, err)
	}
	return reply, nil
}

// rackPlace validates a request and returns the place of its rack; it fails if
// the rack can't be reached from the given region.
func (p *Platform) rackPlace(callerRegion cluster.Region, req platform.ExchangeRequest) (cluster.Place, error) {
	const op = "exchange"
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.racks[req.Rack]
	if !ok {
		return cluster.Place{}, &platform.Error{Op: op, Kind: platform.KindNotFound, Key: string(req.Rack)}
	}
	var invalid error
	switch {
	case req.Epoch == 0:
		invalid = errors.New("the epoch is missing")
	case req.Lease <= 0:
		invalid = errors.New("the lease is missing")
	case len(req.Commands) > maxCommands:
		invalid = fmt.Errorf("%d commands; at most %d are allowed", len(req.Commands), maxCommands)
	}
	if invalid != nil {
		return cluster.Place{}, &platform.Error{Op: op, Kind: platform.KindInvalid, Err: invalid}
	}
	if p.faults.partitioned(callerRegion, r.place.Region) {
		return cluster.Place{}, unavailableError(op, errPartitioned)
	}
	if slices.Contains(p.faults.RacksDown, req.Rack) {
		return cluster.Place{}, unavailableError(op, errDown)
	}
	return r.place, nil
}

// exchange executes a validated request.
func (p *Platform) exchange(req platform.ExchangeRequest) (platform.ExchangeReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	p.advance(now)
	p.stats.Exchanges++
	r := p.racks[req.Rack]
	accepted := map[cluster.WorkerID]bool{}
	for _, w := range r.workers {
		if w.faults.reachable() {
			accepted[w.id] = w.acceptEpoch(req.Epoch, now.Add(req.Lease))
		}
	}
	reply := platform.ExchangeReply{}
	for _, cmd := range req.Commands {
		reply.Results = append(reply.Results, r.execute(cmd, &req, accepted, now))
	}
	reply.Cursor = r.sequence
	since := req.Since
	if since > r.sequence || since < r.baseSequence {
		// The cursor was issued by an earlier run of the platform.
		since = 0
	}
	for _, w := range r.workers {
		if w.changedSequence > since {
			reply.Workers = append(reply.Workers, w.reportOrLast(now))
		}
	}
	if p.chance(p.faults.LostExchangeReplies) {
		p.stats.LostReplies++
		return platform.ExchangeReply{}, unknownError("exchange", errReplyLost)
	}
	return reply, nil
}

// reportOrLast returns the worker's report, or the last one if the worker can't be reached.
func (w *worker) reportOrLast(now time.Time) platform.WorkerReport {
	if w.faults.reachable() {
		return w.report(now)
	}
	last := w.lastReport
	last.Worker, last.Capacity, last.Place, last.Reachable = w.id, w.vm.Capacity, w.vm.Place, false
	return last
}

// execute executes a command unless its worker can't be reached or has seen a
// higher epoch. The map accepted holds the reachable workers; the value is
// whether the worker has accepted the request's epoch.
func (r *rack) execute(cmd platform.Command, req *platform.ExchangeRequest, accepted map[cluster.WorkerID]bool, now time.Time) platform.CommandResult {
	id, _ := commandTarget(cmd)
	for _, w := range r.workers {
		if w.id != id {
			continue
		}
		epochAccepted, reachable := accepted[id]
		switch {
		case !reachable:
			return platform.CommandUnreachable
		case !epochAccepted:
			w.p.stats.StaleCommands++
			return platform.CommandStaleEpoch
		}
		return w.execute(cmd, req, now)
	}
	return platform.CommandUnreachable
}

// advance processes all events of the workers that are due, so that usage and
// overlaps are exact across racks.
func (p *Platform) advance(now time.Time) {
	for _, w := range p.orderedWorkers {
		if len(w.running) > 0 {
			w.advance(now)
		}
	}
}

// SetWorkerFaults modifies the faults of a worker; it returns false if there is
// no such worker. The function modify is called with the lock held and must not
// call the platform.
func (p *Platform) SetWorkerFaults(id cluster.WorkerID, modify func(*WorkerFaults)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok {
		return false
	}
	f := w.faults
	modify(&f)
	w.setFaults(f, p.cfg.Clock())
	return true
}

// WorkerFaults returns the faults of a worker, and false if there is no such worker.
func (p *Platform) WorkerFaults(id cluster.WorkerID) (WorkerFaults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok {
		return WorkerFaults{}, false
	}
	return w.faults, true
}
