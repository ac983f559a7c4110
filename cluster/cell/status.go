package cell

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

type stateRequest struct {
	Shard string `msgpack:"Shard"`
	ID    string `msgpack:"ID"`
}

type stateReply struct {
	Known bool   `msgpack:"Known"`
	State int    `msgpack:"State"`
	Team  string `msgpack:"Team"`
	Queue string `msgpack:"Queue"`
}

type pendingRequest struct {
	Shard string `msgpack:"Shard"`
}

type pendingReply struct {
	Queues map[string]int `msgpack:"Queues"`
}

var (
	errNotOwner = errors.New("this daemon does not own the shard")
	// errNotLoaded means that this daemon owns the shard but has not read its rows yet.
	errNotLoaded    = errors.New("this daemon has not loaded the shard yet")
	errLoopPanicked = errors.New("panic in the control loop")
	// errNoLayout means that the keys of the rows of jobs are not known yet.
	errNoLayout = errors.New("the division of the cell is not known yet")
)

// State returns the state of a job. It asks the owner of the job's shard first, and reads the store if the
// owner does not know the job or can't be reached.
func (d *Daemon) State(ctx context.Context, id cluster.JobName, team cluster.TeamName, queue *cluster.Queue) (workload.State, error) {
	if d.shardCount() == 0 {
		return 0, &Error{Op: "state", Kind: KindUnavailable, Err: errNoLayout}
	}
	shard := d.shardOf(queue.Service, id)
	reply, err := d.ownerState(ctx, shard, stateRequest{Shard: shard.String(), ID: string(id)})
	if err == nil && reply.Known {
		if reply.Team != string(team) || reply.Queue != string(queue.Name) {
			return 0, &Error{Op: "state", Kind: KindNotFound}
		}
		return workload.State(reply.State), nil
	}
	return d.storedState(ctx, id, team, queue)
}

func (d *Daemon) ownerState(ctx context.Context, shard shardID, r stateRequest) (stateReply, error) {
	owner, ok := d.shardOwner(shard)
	if !ok {
		return stateReply{}, &Error{Op: "state", Kind: KindUnavailable, Err: errNotOwner}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if owner == d.cfg.Self {
		return d.ownedState(r)
	}
	return call[stateReply](ctx, d, owner, methodState, &r)
}

func (d *Daemon) ownedState(r stateRequest) (stateReply, error) {
	var reply stateReply
	owned := d.lookupShard(parseShardID(r.Shard))
	if owned == nil {
		return reply, &Error{Op: "state", Kind: KindUnavailable, Err: errNotOwner}
	}
	statuses, err := owned.statuses("state")
	if err != nil {
		return reply, err
	}
	status, known := statuses.Get(cluster.JobName(r.ID))
	return stateReply{Known: known, State: int(status.State), Team: string(status.Team), Queue: string(status.Queue)}, nil
}

// statuses returns the states of the shard's jobs. They are read without the control loop, which may be busy.
func (o *ownedShard) statuses(op string) (*pool.Statuses, error) {
	select {
	case <-o.loaded:
	default:
		return nil, &Error{Op: op, Kind: KindUnavailable, Err: errNotLoaded}
	}
	if o.ctx.Err() != nil {
		return nil, &Error{Op: op, Kind: KindUnavailable, Err: errNotOwner}
	}
	return o.scheduler.Statuses(), nil
}

const (
	// maxStoredStateReads bounds the states that a daemon reads from the store at a time, and storedStateRate those that
	// it reads per second. While an owner is late, all queries come here, and the store would refuse the calls of the
	// owner with them.
	maxStoredStateReads = 8
	storedStateRate     = 20
)

// storedState reads the state from the rows of a job.
func (d *Daemon) storedState(ctx context.Context, id cluster.JobName, team cluster.TeamName, queue *cluster.Queue) (workload.State, error) {
	select {
	case d.storedStateReads <- struct{}{}:
		defer func() { <-d.storedStateReads }()
	default:
		return 0, &Error{Op: "state", Kind: KindOverloaded}
	}
	if !d.storedStateLimit.Allow() {
		return 0, &Error{Op: "state", Kind: KindOverloaded}
	}
	job, _, err := d.readJob(ctx, id)
	if err != nil {
		return 0, &Error{Op: "state", Kind: KindUnavailable, Err: err}
	}
	if job == nil || job.Team != team || job.Queue != queue.Name {
		return 0, &Error{Op: "state", Kind: KindNotFound}
	}
	shard := d.shardOf(queue.Service, id)
	state := workload.StateQueued
	var readErr error
	for part := range recordParts {
		reply, err := d.store.Read(ctx, platform.ReadRequest{Keys: []string{progressKey(shard, part, id)}})
		if err != nil {
			readErr = err
			continue
		}
		for _, r := range reply.Rows {
			progress, err := workload.DecodeProgress(r.Value)
			if err != nil {
				return 0, err
			}
			state = max(state, progress.State)
		}
	}
	// The part that could not be read may hold a later state.
	if readErr != nil && !state.Final() {
		return 0, &Error{Op: "state", Kind: KindUnavailable, Err: readErr}
	}
	return state, nil
}

func (d *Daemon) ownedPending(ctx context.Context, r pendingRequest) (pendingReply, error) {
	reply := pendingReply{Queues: map[string]int{}}
	owned := d.lookupShard(parseShardID(r.Shard))
	if owned == nil {
		return reply, &Error{Op: "pending", Kind: KindUnavailable, Err: errNotOwner}
	}
	err := owned.query(ctx, "pending", func(s *pool.Scheduler) {
		for queue, n := range s.Pending() {
			reply.Queues[string(queue)] = n
		}
	})
	return reply, err
}

// pendingCache caches the numbers of pending jobs that the owners of the shards report.
type pendingCache struct {
	d       *Daemon
	mu      sync.Mutex
	entries map[cluster.ServiceName]*pendingEntry
}

type pendingEntry struct {
	// inUse holds an element while a caller uses the other fields; unlike a mutex, it lets callers stop waiting.
	inUse  chan struct{}
	reply  pendingReply
	readAt time.Time
}

// Pending returns the number of jobs of a queue of which no task has started.
func (d *Daemon) Pending(ctx context.Context, queue *cluster.Queue) (int, error) {
	reply, err := d.pending.get(ctx, queue.Service)
	return reply.Queues[string(queue.Name)], err
}

func (c *pendingCache) get(ctx context.Context, service cluster.ServiceName) (pendingReply, error) {
	c.mu.Lock()
	e := c.entries[service]
	if e == nil {
		e = &pendingEntry{inUse: make(chan struct{}, 1)}
		c.entries[service] = e
	}
	c.mu.Unlock()
	select {
	case e.inUse <- struct{}{}:
	case <-ctx.Done():
		return pendingReply{}, &Error{Op: "pending", Kind: KindUnavailable, Err: ctx.Err()}
	}
	defer func() { <-e.inUse }()
	if time.Since(e.readAt) < pendingTTL {
		return e.reply, nil
	}
	requestedAt := time.Now()
	reply, err := c.fetch(ctx, service)
	if err == nil {
		e.reply, e.readAt = reply, requestedAt
	}
	return reply, err
}

// fetch returns the sums over the shards of a service.
func (c *pendingCache) fetch(ctx context.Context, service cluster.ServiceName) (pendingReply, error) {
	sum := pendingReply{Queues: map[string]int{}}
	for i := range max(1, c.d.shardCount()) {
		reply, err := c.fetchShard(ctx, shardID{Service: service, Index: i})
		if err != nil {
			return sum, err
		}
		for queue, n := range reply.Queues {
			sum.Queues[queue] += n
		}
	}
	return sum, nil
}

func (c *pendingCache) fetchShard(ctx context.Context, id shardID) (pendingReply, error) {
	owner, ok := c.d.shardOwner(id)
	if !ok {
		return pendingReply{}, &Error{Op: "pending", Kind: KindUnavailable, Err: errNotOwner}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if owner == c.d.cfg.Self {
		return c.d.ownedPending(ctx, pendingRequest{Shard: id.String()})
	}
	return call[pendingReply](ctx, c.d, owner, methodPending, &pendingRequest{Shard: id.String()})
}
