package cell

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// ownedPool runs the scheduler of a shard of a pool while this daemon owns it. The
// scheduler is used by the goroutine of run alone; calls to workers and the
// store run in others and return their ends as events.
type ownedPool struct {
	d     *Daemon
	id    shardID
	epoch cluster.Epoch
	// version is that of the owner's row, which every record checks.
	version cluster.Version
	began   time.Time
	// ended says that the earlier owner gave no order after began.
	ended   bool
	ctx     context.Context
	stop    context.CancelFunc
	work    conc.WaitGroup
	done    chan struct{}
	events  chan pool.Event
	queries chan func(*pool.Scheduler)

	scheduler *pool.Scheduler
	// listed is when the workers were listed last, in Unix milliseconds.
	listed atomic.Int64
	// records is used by the goroutine of run until the scheduler steps, then by that of the one record under way.
	records recordState
	once    sync.Once
	split   shareSplit
}

// queueLength bounds the events that wait for the control loop.
const queueLength = 4096

func newOwnedPool(d *Daemon, id shardID, epoch cluster.Epoch, version cluster.Version, began time.Time, ended bool) *ownedPool {
	p := &ownedPool{
		d: d, id: id, epoch: epoch, version: version, began: began, ended: ended, done: make(chan struct{}),
		events: make(chan pool.Event, queueLength), queries: make(chan func(*pool.Scheduler)),
	}
	p.ctx, p.stop = context.WithCancel(d.ctx)
	return p
}

// run loads the pool's rows and schedules until the ownership ends.
func (p *ownedPool) run() {
	defer close(p.done)
	defer p.work.Wait()
	defer p.forget()
	defer p.stop()
	version, ok := p.load()
	if !ok {
		return
	}
	p.work.Go(func() { p.followJobs(version) })
	p.work.Go(p.listWorkers)
	p.loop()
}

func (p *ownedPool) forget() {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	if p.d.pools[p.id] == p {
		delete(p.d.pools, p.id)
	}
}

// lose ends the ownership.
func (p *ownedPool) lose(reason string) {
	p.once.Do(func() {
		p.d.cfg.Log.Warn().Stringer("shard", p.id).Uint64("epoch", uint64(p.epoch)).Str("reason", reason).Msg("cell: pool given up")
	})
	p.stop()
}

// load reads what is recorded of the pool and returns the version that the feed of jobs starts after.
func (p *ownedPool) load() (cluster.Version, bool) {
	for p.ctx.Err() == nil {
		version, err := p.tryLoad()
		if err == nil {
			return version, true
		}
		p.d.cfg.Log.Warn().Err(err).Stringer("shard", p.id).Msg("cell: pool can't be loaded; retrying")
		p.sleep(retryPause)
	}
	return 0, false
}

func (p *ownedPool) tryLoad() (cluster.Version, error) {
	recorded, err := p.loadRecords()
	if err != nil {
		return 0, err
	}
	shares, err := p.joinSplit()
	if err != nil {
		return 0, err
	}
	jobs, err := p.readJobs()
	if err != nil {
		return 0, err
	}
	workers := recorded.workers.list()
	p.scheduler = pool.New(pool.Config{
		Service: p.id.Service, Shard: p.id.Index, Shards: p.d.shardCount(), Epoch: p.epoch, Now: p.began, MaxLease: p.d.cfg.MaxLease,
		InheritedWorkers: workers, PreviousOwnerStopped: p.ended, Log: p.d.cfg.Log, Metrics: p.d.cfg.Metrics,
	})
	events := []pool.Event{&pool.ConfigChanged{Snapshot: p.d.Snapshot()}, &pool.SharesChanged{Shares: shares}}
	events = append(events, p.jobEvents(jobs.Rows, recorded.progress)...)
	p.carryOut(p.scheduler.Step(time.Now(), events))
	p.d.cfg.Log.Info().Stringer("shard", p.id).Uint64("epoch", uint64(p.epoch)).Int("rows", len(jobs.Rows)).
		Int("workers", len(workers)).Dur("took", time.Since(p.began)).Msg("cell: pool loaded")
	return jobs.AsOf, nil
}

// readJobs reads the parts of the jobs at the same time. The version of the
// reply is the lowest of the parts, so that a feed from it misses nothing.
func (p *ownedPool) readJobs() (platform.ReadReply, error) {
	var replies [jobParts]platform.ReadReply
	reads := conc.NewWaitGroup()
	var errs [jobParts]error
	for part := range jobParts {
		reads.Go(func() {
			replies[part], errs[part] = p.d.store.Read(p.ctx, platform.ReadRequest{Prefixes: []string{jobPart(p.id.Index, part)}})
		})
	}
	reads.Wait()
	all := replies[0]
	for _, r := range replies[1:] {
		all.Rows = append(all.Rows, r.Rows...)
		all.AsOf = min(all.AsOf, r.AsOf)
	}
	return all, errors.Join(errs[:]...)
}

// jobEvents turns rows of jobs into events, cancellations last.
func (p *ownedPool) jobEvents(rows []platform.Row, progress map[cluster.JobName]*workload.Progress) []pool.Event {
	var accepted, cancelled []pool.Event
	for _, r := range rows {
		name := lastPart(r.Key)
		if r.Deleted {
			continue
		}
		if id, ok := strings.CutSuffix(name, cancelSuffix); ok {
			cancelled = append(cancelled, &pool.JobCancelled{ID: cluster.JobName(id)})
			continue
		}
		job, err := workload.DecodeJob(cluster.JobName(name), r.Value)
		if err != nil {
			p.d.cfg.Log.Error().Err(err).Str("job", name).Msg("cell: job can't be read")
			continue
		}
		if p.d.shardOf(job.Terms.Service, job.ID) == p.id {
			accepted = append(accepted, &pool.JobAccepted{Job: job, Progress: progress[job.ID]})
		}
	}
	return append(accepted, cancelled...)
}

func (p *ownedPool) followJobs(version cluster.Version) {
	for p.ctx.Err() == nil {
		reply, err := p.d.store.Read(p.ctx, platform.ReadRequest{Prefixes: []string{jobsTable(p.id.Index)}, SinceVersion: version, Wait: jobFeedWait})
		if platform.IsKind(err, platform.KindExpired) {
			p.d.cfg.Log.Warn().Str("feed", "jobs").Uint64("version", uint64(version)).Msg("cell: history is gone; reading everything")
			reply, err = p.readJobs()
		}
		if err != nil {
			if p.ctx.Err() == nil {
				p.d.cfg.Log.Debug().Err(err).Str("feed", "jobs").Msg("cell: feed failed; retrying")
			}
			p.sleep(feedRetry)
			continue
		}
		version = max(version, reply.AsOf)
		for _, e := range p.jobEvents(reply.Rows, nil) {
			p.send(e)
		}
		p.sleep(jobFeedPause)
	}
}

func (p *ownedPool) sleep(t time.Duration) {
	pause := time.NewTimer(t)
	defer pause.Stop()
	select {
	case <-p.ctx.Done():
	case <-pause.C:
	}
}

// listWorkers reads the platform's list of workers from time to time.
func (p *ownedPool) listWorkers() {
	for p.ctx.Err() == nil {
		interval := listInterval
		ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
		list, err := p.d.cfg.Lister.ListWorkers(ctx)
		cancel()
		if err == nil {
			p.listed.Store(time.Now().UnixMilli())
			if len(list) > largeList {
				interval = largeListInterval
			}
			p.send(&pool.WorkersListed{Workers: p.d.division.Load().workersOf(list, p.id), Advisors: len(p.d.advisors(p.id))})
		} else if p.ctx.Err() == nil {
			p.d.cfg.Log.Debug().Err(err).Msg("cell: workers not listed")
		}
		p.sleep(interval)
	}
}

func (p *ownedPool) send(e pool.Event) {
	select {
	case p.events <- e:
	case <-p.ctx.Done():
	}
}

func (p *ownedPool) configChanged(s *cluster.Snapshot) { p.send(&pool.ConfigChanged{Snapshot: s}) }

// query runs f in the control loop and returns false if the pool is not owned any more.
func (p *ownedPool) query(f func(*pool.Scheduler)) bool {
	answered := make(chan struct{})
	select {
	case p.queries <- func(s *pool.Scheduler) { f(s); close(answered) }:
		<-answered
		return true
	case <-p.ctx.Done():
		return false
	}
}

// loop is the control loop: it collects events and steps the scheduler.
func (p *ownedPool) loop() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	last := time.Now()
	gather := gatherTime
	var batch []pool.Event
	for {
		batch = batch[:0]
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.events:
			p.sleep(gather)
			batch = append(batch, e)
		case q := <-p.queries:
			q(p.scheduler)
			continue
		case <-wake.C:
		}
		batch = p.drain(batch)
		now := time.Now()
		if gap := now.Sub(last); gap > pauseLimit && !p.confirm(gap) {
			return
		}
		last = time.Now()
		p.carryOut(p.scheduler.Step(last, batch))
		gather = min(max(gatherTime, gatherShare*time.Since(last)), maxGatherTime)
		wake.Reset(time.Until(p.scheduler.NextStepAt()))
	}
}

func (p *ownedPool) drain(batch []pool.Event) []pool.Event {
	for len(batch) < queueLength {
		select {
		case e := <-p.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// confirm checks after a pause of the process that the pool is still owned. It
// gives the pool up and returns false if another daemon owns it, or if the store
// does not tell.
func (p *ownedPool) confirm(gap time.Duration) bool {
	p.d.cfg.Log.Warn().Stringer("shard", p.id).Dur("pause", gap).Msg("cell: process was paused; checking the owner")
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	row, _, err := p.d.readOwner(ctx, ownerKey(p.id))
	if err != nil {
		p.lose("the owner can't be confirmed after a pause")
		return false
	}
	if row.Owner != string(p.d.cfg.Self) || row.Epoch != uint64(p.epoch) {
		p.lose("another daemon took the pool over during a pause")
		return false
	}
	return true
}

// release gives the pool up so that another daemon takes it over at once.
func (p *ownedPool) release(ctx context.Context) {
	p.lose("the daemon is leaving")
	select {
	case <-p.done:
	case <-ctx.Done():
	}
	key := ownerKey(p.id)
	data, err := encode("release", &ownerRow{Epoch: uint64(p.epoch)})
	if err == nil {
		_, err = p.d.store.Commit(ctx, platform.Txn{
			Checks: []platform.Check{{Key: key, Version: p.version}},
			Puts:   []platform.Put{{Key: key, Value: data}},
		})
	}
	if err != nil {
		p.d.cfg.Log.Warn().Err(err).Stringer("shard", p.id).Msg("cell: pool not released; its next owner waits for the silence")
		return
	}
	p.d.cfg.Log.Info().Stringer("shard", p.id).Msg("cell: pool released")
}
