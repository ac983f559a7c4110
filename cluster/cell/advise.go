package cell

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// advisor asks for advice. The service handles one call at a time for each VM,
// so that the calls of a pool are spread over all daemons.
type advisor struct {
	d *Daemon

	mu sync.Mutex
	// busy is when each daemon is expected to be done with what it was given.
	busy    map[cluster.DaemonID]time.Time
	waiting int
}

type adviseRequest struct {
	Step    string   `msgpack:"Step"`
	Workers []string `msgpack:"Workers"`
}

type adviseReply struct {
	Workers []string      `msgpack:"Workers"`
	Tickets []string      `msgpack:"Tickets"`
	Valid   time.Duration `msgpack:"Valid"`
}

func newAdvisor(d *Daemon) *advisor {
	return &advisor{d: d, busy: map[cluster.DaemonID]time.Time{}}
}

// stepName names a step of an occurrence as job.occurrence.step.
func stepName(s pool.StepID) string {
	id := workload.TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step}.String()
	return id[:len(id)-len(".0")]
}

// ask asks through the daemon that is expected to answer first.
func (a *advisor) ask(ctx context.Context, shard shardID, step pool.StepID, workers []cluster.WorkerID, cost time.Duration) (platform.Advice, error) {
	at, until := a.assign(shard, cost)
	ctx, cancel := context.WithTimeout(ctx, time.Until(until)+adviceSlack)
	defer cancel()
	name := stepName(step)
	if at == a.d.cfg.Self {
		return a.local(ctx, name, workers)
	}
	request := adviseRequest{Step: name}
	for _, w := range workers {
		request.Workers = append(request.Workers, string(w))
	}
	reply, err := call[adviseReply](ctx, a.d, at, methodAdvise, &request)
	if err != nil {
		a.block(at)
		return platform.Advice{}, err
	}
	if len(reply.Tickets) != len(reply.Workers) {
		return platform.Advice{}, &Error{Op: "advise", Kind: KindMalformed, Err: fmt.Errorf("%d tickets for %d workers", len(reply.Tickets), len(reply.Workers))}
	}
	advice := platform.Advice{ValidFor: reply.Valid}
	for i, w := range reply.Workers {
		advice.Permits = append(advice.Permits, platform.Permit{Worker: cluster.WorkerID(w), Ticket: reply.Tickets[i]})
	}
	return advice, nil
}

// assign picks a daemon and returns when it should be done.
func (a *advisor) assign(shard shardID, cost time.Duration) (cluster.DaemonID, time.Time) {
	daemons := a.d.advisors(shard)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	free := func(id cluster.DaemonID) time.Time {
		if t := a.busy[id]; t.After(now) {
			return t
		}
		return now
	}
	best := slices.MinFunc(daemons, func(x, y cluster.DaemonID) int { return cmp.Or(free(x).Compare(free(y)), cmp.Compare(x, y)) })
	until := free(best).Add(cost)
	a.busy[best] = until
	return best, until
}

// block keeps a daemon that did not answer from being asked for a while.
func (a *advisor) block(id cluster.DaemonID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy[id] = time.Now().Add(adviceSlack)
}

// local asks the service itself.
func (a *advisor) local(ctx context.Context, step string, workers []cluster.WorkerID) (platform.Advice, error) {
	a.mu.Lock()
	if a.waiting >= maxAdviceWaiting {
		a.mu.Unlock()
		return platform.Advice{}, &Error{Op: "advise", Kind: KindOverloaded}
	}
	a.waiting++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.waiting--
		a.mu.Unlock()
	}()
	return a.d.cfg.Advice.Advise(ctx, step, workers)
}

func (d *Daemon) localAdvice(ctx context.Context, r adviseRequest) (adviseReply, error) {
	var workers []cluster.WorkerID
	for _, w := range r.Workers {
		workers = append(workers, cluster.WorkerID(w))
	}
	advice, err := d.advisor.local(ctx, r.Step, workers)
	if err != nil {
		return adviseReply{}, err
	}
	reply := adviseReply{Valid: advice.ValidFor}
	for _, p := range advice.Permits {
		reply.Workers = append(reply.Workers, string(p.Worker))
		reply.Tickets = append(reply.Tickets, p.Ticket)
	}
	return reply, nil
}

// forgetPeer is the silence after which a daemon is not expected back under its identifier.
const forgetPeer = time.Minute

// reachable returns this daemon and those that it hears.
func (d *Daemon) reachable() []cluster.DaemonID {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []cluster.DaemonID{d.cfg.Self}
	for id, digest := range d.peers {
		silence := time.Since(d.transport.LastHeard(id))
		switch {
		case silence > forgetPeer:
			delete(d.peers, id)
		case silence < ownerSilence && !digest.Draining:
			list = append(list, id)
		}
	}
	return list
}
