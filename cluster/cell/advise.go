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

// advisor sends advice requests. The advice service handles one request at a time for each VM, so the requests
// of a shard are distributed over several daemons.
type advisor struct {
	d *Daemon

	mu sync.Mutex
	// busyUntil is when each daemon is expected to have finished the requests assigned to it.
	busyUntil     map[cluster.DaemonID]time.Time
	localRequests int
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
	return &advisor{d: d, busyUntil: map[cluster.DaemonID]time.Time{}}
}

// adviceStepName returns the name of a step in advice requests: job.occurrence.step.
func adviceStepName(s pool.StepID) string {
	id := workload.TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step}.String()
	return id[:len(id)-len(".0")]
}

// requestAdvice sends a request through the daemon that is expected to be free first.
func (a *advisor) requestAdvice(ctx context.Context, shard shardID, step pool.StepID, workers []cluster.WorkerID, responseTime time.Duration) (platform.Advice, error) {
	daemon, expectedEnd := a.assignDaemon(shard, responseTime)
	ctx, cancel := context.WithTimeout(ctx, time.Until(expectedEnd)+adviceTimeoutMargin)
	defer cancel()
	name := adviceStepName(step)
	if daemon == a.d.cfg.Self {
		advice, err := a.requestLocalAdvice(ctx, name, workers)
		if err != nil {
			a.avoid(daemon)
		}
		return advice, err
	}
	request := adviseRequest{Step: name}
	for _, w := range workers {
		request.Workers = append(request.Workers, string(w))
	}
	reply, err := call[adviseReply](ctx, a.d, daemon, methodAdvise, &request)
	if err != nil {
		a.avoid(daemon)
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

// assignDaemon assigns a request to a daemon and returns when the daemon is expected to have finished it.
func (a *advisor) assignDaemon(shard shardID, responseTime time.Duration) (cluster.DaemonID, time.Time) {
	daemons := a.d.advisors(shard)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	freeAt := func(id cluster.DaemonID) time.Time {
		if t := a.busyUntil[id]; t.After(now) {
			return t
		}
		return now
	}
	best := slices.MinFunc(daemons, func(x, y cluster.DaemonID) int { return cmp.Or(freeAt(x).Compare(freeAt(y)), cmp.Compare(x, y)) })
	expectedEnd := freeAt(best).Add(responseTime)
	a.busyUntil[best] = expectedEnd
	return best, expectedEnd
}

// avoid marks a daemon as busy for a short time after a request to it has failed, so that other daemons are
// preferred.
func (a *advisor) avoid(id cluster.DaemonID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := time.Now().Add(adviceTimeoutMargin); until.After(a.busyUntil[id]) {
		a.busyUntil[id] = until
	}
}

// requestLocalAdvice sends a request from this daemon.
func (a *advisor) requestLocalAdvice(ctx context.Context, step string, workers []cluster.WorkerID) (platform.Advice, error) {
	a.mu.Lock()
	if a.localRequests >= maxLocalAdviceRequests {
		a.mu.Unlock()
		return platform.Advice{}, &Error{Op: "advise", Kind: KindOverloaded}
	}
	a.localRequests++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.localRequests--
		a.mu.Unlock()
	}()
	return a.d.cfg.Advice.Advise(ctx, step, workers)
}

func (d *Daemon) serveAdvice(ctx context.Context, r adviseRequest) (adviseReply, error) {
	var workers []cluster.WorkerID
	for _, w := range r.Workers {
		workers = append(workers, cluster.WorkerID(w))
	}
	advice, err := d.advisor.requestLocalAdvice(ctx, r.Step, workers)
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

// digestTTL is how long the digest of an unresponsive daemon is kept. A daemon that returns later has usually been
// restarted and has a new identifier; if not, its next ping adds the digest again.
const digestTTL = time.Minute

// reachableDaemons returns this daemon and those that respond and are not leaving.
func (d *Daemon) reachableDaemons() []cluster.DaemonID {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []cluster.DaemonID{d.cfg.Self}
	for id, digest := range d.digests {
		sinceSeen := time.Since(d.transport.LastSeen(id))
		switch {
		case sinceSeen > digestTTL:
			delete(d.digests, id)
		case sinceSeen < peerTimeout && !digest.Draining:
			list = append(list, id)
		}
	}
	return list
}
