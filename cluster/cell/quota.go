package cell

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/admission"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

const (
	// creditShare is the part of the free memory for jobs that the owner of a shard gives to all daemons together. With its
	// part of it a daemon accepts ordinary jobs without a call to the owner, also while there is none.
	creditShare = 4
	// creditRenewInterval is the shortest time between two requests for a new credit without a job that needs it.
	creditRenewInterval = 200 * time.Millisecond
	// minRequest is the least memory that is reserved for a job, as the peer port authenticates nobody and each request is
	// remembered. No job takes less.
	minRequest = cluster.KiB
	// jobMemoryInterval is the time between two updates of the limit.
	jobMemoryInterval = time.Second
	// ownerReturn is when a client returns whose job needs the permission of an owner that does not answer, before it is
	// spread. A new owner is there after about that time.
	ownerReturn = 2 * time.Second
)

var (
	errNoJobMemory = errors.New("not run: the accepted jobs take all memory for jobs, or the part of it that the team may use")
	errNoOwner     = errors.New("not run: the owner of the pool has to permit a job of this size and does not answer")
)

// memoryRequest asks the owner of a shard for memory for a job. Without a job it only asks for a new credit.
type memoryRequest struct {
	Shard string `msgpack:"s"`
	ID    string `msgpack:"i"`
	Team  string `msgpack:"t"`
	Size  int64  `msgpack:"b"`
}

type memoryReply struct {
	// Granted means that the job may be written, ReturnIn is when a refused client should return.
	Granted  bool          `msgpack:"g"`
	ReturnIn time.Duration `msgpack:"r"`
	// Credit is the memory of the jobs that the daemon may write without another request.
	Credit int64 `msgpack:"c"`
}

// jobCredits holds the memory of the jobs that this daemon may write without asking the owners of their shards.
type jobCredits struct {
	d       *Daemon
	mu      sync.Mutex
	credits map[shardID]*jobCredit
}

// jobCredit is the credit for one shard.
type jobCredit struct {
	left cluster.Bytes
	// writing is the memory of the jobs that are being written on credit, which the owner does not count yet.
	writing cluster.Bytes
	// requestedAt is when a new credit was last requested; pending means that the request is in flight. spent is what the
	// owner does not count of the credit that is requested.
	requestedAt time.Time
	pending     bool
	spent       cluster.Bytes
}

// get returns the credit for a shard, which starts with the part that each daemon has of an empty shard; c.mu is held.
func (c *jobCredits) get(id shardID) *jobCredit {
	credit := c.credits[id]
	if credit == nil {
		credit = &jobCredit{left: c.d.fullCredit()}
		c.credits[id] = credit
	}
	return credit
}

// take takes memory for a job from the credit; it returns false if that does not suffice. The caller calls written after
// the write of the job.
func (c *jobCredits) take(id shardID, size cluster.Bytes) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	credit := c.get(id)
	taken := credit.left >= size
	if taken {
		credit.left -= size
		credit.writing += size
		credit.spent += size
	}
	now := time.Now()
	if credit.left < c.d.fullCredit()/2 && !credit.pending && now.Sub(credit.requestedAt) >= creditRenewInterval {
		credit.begin(now)
		c.d.wg.Go(func() { c.renew(id) })
	}
	return taken
}

// begin notes the request of a new credit.
func (r *jobCredit) begin(now time.Time) {
	r.pending, r.requestedAt, r.spent = true, now, r.writing
}

// written ends the write of a job whose memory was taken from the credit.
func (c *jobCredits) written(id shardID, size cluster.Bytes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.get(id).writing -= size
}

// set replaces the credit after the reply of the owner.
func (c *jobCredits) set(id shardID, reply memoryReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	credit := c.get(id)
	credit.left = max(0, min(cluster.Bytes(reply.Credit), c.d.fullCredit())-credit.spent)
}

// renew requests a new credit.
func (c *jobCredits) renew(id shardID) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.get(id).pending = false
	}()
	ctx, cancel := context.WithTimeout(c.d.ctx, callTimeout)
	defer cancel()
	reply, err := c.d.requestMemory(ctx, id, memoryRequest{Shard: id.String()})
	if err != nil {
		c.d.cfg.Log.Debug().Err(err).Stringer("shard", id).Msg("cell: no new credit for the memory of jobs")
		return
	}
	c.set(id, reply)
}

// requestMemory asks the owner of a shard.
func (d *Daemon) requestMemory(ctx context.Context, id shardID, r memoryRequest) (memoryReply, error) {
	owner, ok := d.shardOwner(id)
	if !ok {
		return memoryReply{}, &Error{Op: "request memory", Kind: KindUnavailable, Err: errNotOwner}
	}
	if owner == d.cfg.Self {
		return d.grantMemory(r)
	}
	return call[memoryReply](ctx, d, owner, methodReserveMemory, &r)
}

// grantMemory decides about a request for memory as the owner of the shard.
func (d *Daemon) grantMemory(r memoryRequest) (memoryReply, error) {
	owned := d.lookupShard(parseShardID(r.Shard))
	if owned == nil {
		return memoryReply{}, &Error{Op: "grant memory", Kind: KindUnavailable, Err: errNotOwner}
	}
	select {
	case <-owned.loaded:
	default:
		return memoryReply{}, &Error{Op: "grant memory", Kind: KindUnavailable, Err: errNotLoaded}
	}
	reply := memoryReply{Granted: true}
	if r.ID != "" {
		reply.Granted, reply.ReturnIn = owned.quota.Reserve(time.Now(), cluster.JobName(r.ID), cluster.TeamName(r.Team), max(minRequest, cluster.Bytes(r.Size)))
	}
	reply.Credit = int64(d.jobs.Credit(creditShare * int(d.daemonCount.Load())))
	return reply, nil
}

// reserveMemory reserves the memory of a job before it is written. The caller calls the returned function after the write.
// An Error of kind KindRejected or KindUnavailable means that the job does not run.
func (d *Daemon) reserveMemory(ctx context.Context, shard shardID, job *workload.Job) (written func(), err error) {
	if d.cfg.MaxJobBytes == 0 {
		return func() {}, nil
	}
	size := pool.JobMemory(job)
	request := memoryRequest{Shard: shard.String(), ID: string(job.ID), Team: string(job.Team), Size: int64(size)}
	reply, err := d.grantMemory(request)
	if err != nil {
		// The owner is another daemon, or has not loaded the shard.
		if d.credits.take(shard, size) {
			return func() { d.credits.written(shard, size) }, nil
		}
		reply, err = d.askForMemory(ctx, shard, request)
	}
	switch {
	case err == nil && reply.Granted, isUnknownMethod(err):
		return func() {}, nil
	case err != nil:
		err = &Error{Op: "submit", Kind: KindUnavailable, RetryAfter: spreadReturn(ownerReturn), Err: errNoOwner}
	default:
		err = &Error{Op: "submit", Kind: KindRejected, RetryAfter: spreadReturn(reply.ReturnIn), Err: errNoJobMemory}
	}
	switch d.admitter.findStored(ctx, job.ID, int(d.daemonCount.Load())) {
	case stored:
		// The job takes no more memory when it is written again.
		return func() {}, nil
	case storedUnknown:
		return nil, &Error{Op: "submit", Kind: KindUnknown, Err: err}
	}
	d.memoryRefusals.Inc(1)
	d.cfg.Log.Info().Err(err).Str("job", string(job.ID)).Str("team", string(job.Team)).Stringer("shard", shard).Int64("bytes", int64(size)).
		Msg("cell: no memory for a job")
	return nil, err
}

// askForMemory asks the owner of a shard for the memory of a job.
func (d *Daemon) askForMemory(ctx context.Context, shard shardID, r memoryRequest) (memoryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.credits.mu.Lock()
	credit := d.credits.get(shard)
	renews := !credit.pending
	if renews {
		credit.begin(time.Now())
	}
	d.credits.mu.Unlock()
	reply, err := d.requestMemory(ctx, shard, r)
	if renews {
		if err == nil {
			d.credits.set(shard, reply)
		}
		d.credits.mu.Lock()
		credit.pending = false
		d.credits.mu.Unlock()
	}
	return reply, err
}

// spreadReturn spreads the return of refused clients over half of the time.
func spreadReturn(t time.Duration) time.Duration { return admission.SpreadReturn(t, rand.Float64()) }

// fullCredit returns the part that a daemon has of the credit for an empty shard.
func (d *Daemon) fullCredit() cluster.Bytes {
	return cluster.Bytes(d.maxJobBytes.Load()) / cluster.Bytes(creditShare*max(1, d.daemonCount.Load()))
}

// updateJobMemory sets the limit of the memory of the jobs: that of the smallest VM that may become their owner, which must
// be able to load them.
func (d *Daemon) updateJobMemory() {
	d.mu.Lock()
	limit, daemons := d.cfg.MaxJobBytes, max(1, len(d.members))
	large := isLargeCell(d.members)
	for _, m := range d.members {
		if m.JobBytes > 0 && d.acceptsShards(m) && (!large || m.candidate) {
			limit = min(limit, cluster.Bytes(m.JobBytes))
		}
	}
	if large {
		daemons *= candidateModulus
	}
	d.mu.Unlock()
	d.maxJobBytes.Store(int64(limit))
	d.daemonCount.Store(int64(daemons))
	d.jobs.SetLimit(limit)
	held, _ := d.jobs.Usage()
	d.cfg.Metrics.Gauge("job_memory_bytes").Update(float64(held))
	d.cfg.Metrics.Gauge("job_memory_limit_bytes").Update(float64(limit))
}

func newJobCredits(d *Daemon) *jobCredits {
	return &jobCredits{d: d, credits: map[shardID]*jobCredit{}}
}
