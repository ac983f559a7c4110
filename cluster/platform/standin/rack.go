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

// maxCommands limits the commands of one exchange.
const maxCommands = 10_000

// rack is a set of workers behind one switch.
type rack struct {
	id    cluster.RackID
	place cluster.Place
	// sequence counts the changes of the rack's workers, from base.
	sequence uint64
	base     uint64
	workers  []*worker
}

// Exchange renews leases, carries out the commands and returns the workers that changed.
func (c *Caller) Exchange(ctx context.Context, req platform.ExchangeRequest) (platform.ExchangeReply, error) {
	const op = "exchange"
	if err := ctx.Err(); err != nil {
		return platform.ExchangeReply{}, unavailable(op, err)
	}
	place, err := c.p.rackPlace(c.place.Region, req)
	if err != nil {
		return platform.ExchangeReply{}, err
	}
	if err := c.travel(ctx, place); err != nil {
		return platform.ExchangeReply{}, unavailable(op, err)
	}
	reply, err := c.p.exchange(req)
	if err != nil {
		return platform.ExchangeReply{}, err
	}
	if err := c.travel(ctx, place); err != nil {
		return platform.ExchangeReply{}, unknown(op, err)
	}
	return reply, nil
}

// rackPlace checks a request and returns the place of its rack.
func (p *Platform) rackPlace(from cluster.Region, req platform.ExchangeRequest) (cluster.Place, error) {
	const op = "exchange"
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.racks[req.Rack]
	if !ok {
		return cluster.Place{}, &platform.Error{Op: op, Kind: platform.KindNotFound, Key: string(req.Rack)}
	}
	var problem error
	switch {
	case req.Epoch == 0:
		problem = errors.New("the epoch is missing")
	case req.Lease <= 0:
		problem = errors.New("the lease is missing")
	case len(req.Commands) > maxCommands:
		problem = fmt.Errorf("%d commands; at most %d are allowed", len(req.Commands), maxCommands)
	}
	if problem != nil {
		return cluster.Place{}, &platform.Error{Op: op, Kind: platform.KindInvalid, Err: problem}
	}
	if p.faults.cut(from, r.place.Region) {
		return cluster.Place{}, unavailable(op, errCut)
	}
	if slices.Contains(p.faults.RacksDown, req.Rack) {
		return cluster.Place{}, unavailable(op, errDown)
	}
	return r.place, nil
}

func (p *Platform) exchange(req platform.ExchangeRequest) (platform.ExchangeReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	p.advance(now)
	p.stats.Exchanges++
	r := p.racks[req.Rack]
	current := map[cluster.WorkerID]bool{}
	for _, w := range r.workers {
		if w.faults.reachable() {
			current[w.id] = w.fence(req.Epoch, now.Add(req.Lease))
		}
	}
	reply := platform.ExchangeReply{}
	for _, cmd := range req.Commands {
		reply.Results = append(reply.Results, r.run(cmd, &req, current, now))
	}
	reply.Cursor = r.sequence
	since := req.Since
	if since > r.sequence || since < r.base {
		// The cursor is of another run of the platform.
		since = 0
	}
	for _, w := range r.workers {
		if w.changed > since {
			reply.Workers = append(reply.Workers, w.view(now))
		}
	}
	if p.chance(p.faults.LostExchanges) {
		p.stats.LostAnswers++
		return platform.ExchangeReply{}, unknown("exchange", errLost)
	}
	return reply, nil
}

// view returns the worker's report, or the last one if the worker can't be reached.
func (w *worker) view(now time.Time) platform.WorkerReport {
	if w.faults.reachable() {
		return w.report(now)
	}
	seen := w.seen
	seen.Worker, seen.Capacity, seen.Place, seen.Reachable = w.id, w.vm.Capacity, w.vm.Place, false
	return seen
}

// run carries out a command unless its worker can't be reached or has seen a higher epoch.
func (r *rack) run(cmd platform.Command, req *platform.ExchangeRequest, current map[cluster.WorkerID]bool, now time.Time) platform.CommandResult {
	id, _ := target(cmd)
	for _, w := range r.workers {
		if w.id != id {
			continue
		}
		accepted, reached := current[id]
		switch {
		case !reached:
			return platform.CommandUnreachable
		case !accepted:
			w.p.stats.StaleCommands++
			return platform.CommandStaleEpoch
		}
		return w.run(cmd, req, now)
	}
	return platform.CommandUnreachable
}

// advance lets everything happen at the workers that is due, so that uses and
// overlaps are exact across racks.
func (p *Platform) advance(now time.Time) {
	for _, w := range p.order {
		if len(w.running) > 0 {
			w.advance(now)
		}
	}
}

// SetWorkerFaults changes the settings of a worker; it returns false if there is no such worker.
func (p *Platform) SetWorkerFaults(id cluster.WorkerID, change func(*WorkerFaults)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok {
		return false
	}
	f := w.faults
	change(&f)
	w.setFaults(f, p.cfg.Clock())
	return true
}

// WorkerFaults returns the settings of a worker.
func (p *Platform) WorkerFaults(id cluster.WorkerID) (WorkerFaults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok {
		return WorkerFaults{}, false
	}
	return w.faults, true
}
