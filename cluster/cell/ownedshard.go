package cell

import (
	"context"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/jobquota"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// ownedShard runs the scheduler of a shard while this daemon owns the shard. Only the goroutine of run uses the
// scheduler; calls to workers and to the store run in other goroutines, which report their results as events.
type ownedShard struct {
	d     *Daemon
	id    shardID
	epoch cluster.Epoch
	// version is the version of the owner row that this daemon wrote; release checks it.
	version cluster.Version
	// ownedSince is when the claim of the shard was sent to the store.
	ownedSince time.Time
	// previousOwnersActiveUntil is until when previous owners may have sent requests.
	previousOwnersActiveUntil time.Time
	// earlierOwnersActiveUntil is the same time in the owner row.
	earlierOwnersActiveUntil int64
	ctx                      context.Context
	stop                     context.CancelFunc
	goroutines               conc.WaitGroup
	// loaded is closed when the rows have been loaded and the control loop is about to run.
	loaded chan struct{}
	// done is closed when run returns.
	done   chan struct{}
	events chan pool.Event
	// announced holds the keys of the rows of jobs that were announced and passed to the control loop.
	announced announcedKeys
	// queries passes functions to run in the control loop.
	queries chan func(*pool.Scheduler)
	// configUpdates tells the control loop that another configuration is in force.
	configUpdates chan struct{}

	scheduler *pool.Scheduler
	// workersListedAt is when the workers were last listed, in Unix milliseconds; zero before the first time.
	workersListedAt atomic.Int64
	// workerCount is the number of workers of the shard in the last list.
	workerCount atomic.Int64
	// routes are the forwarders of the calls to the workers. They were determined at routedAt, after as many forwarders
	// were avoided as routedAvoided tells. Only the goroutine of run uses them.
	routes        forwardRoutes
	routedAt      time.Time
	routedAvoided uint64
	// records is used by the goroutine of run until the scheduler's first step, then by the goroutine of the
	// one record in flight.
	records recordWriteState
	// recordReads reads the parts of the records while the shard is loaded.
	recordReads *partReads[[]platform.Row]
	endOnce     sync.Once
	shares      sharesState
	usage       *usageKeeper
	mandate     ownerMandate
	evacuations evacuationState
	loadReports loadReporter
	withdrawn   withdrawnRows
	// quota counts the memory of the jobs of the shard.
	quota *jobquota.Account
}

// eventQueueLength bounds the events that wait for the control loop.
const eventQueueLength = 4096

func newOwnedShard(d *Daemon, id shardID, epoch cluster.Epoch, version cluster.Version, ownedSince, previousOwnersActiveUntil time.Time) *ownedShard {
	o := &ownedShard{
		d: d, id: id, epoch: epoch, version: version, ownedSince: ownedSince, previousOwnersActiveUntil: previousOwnersActiveUntil,
		loaded: make(chan struct{}), done: make(chan struct{}), events: make(chan pool.Event, eventQueueLength), queries: make(chan func(*pool.Scheduler)),
		configUpdates: make(chan struct{}, 1),
	}
	o.ctx, o.stop = context.WithCancel(d.ctx)
	o.mandate = newOwnerMandate(ownedSince)
	o.recordReads = newPartReads(recordParts, o.fencePart)
	o.usage = newUsageKeeper(o)
	o.quota = d.jobs.Open()
	return o
}

// run loads the shard's rows and schedules its jobs until the ownership ends.
func (o *ownedShard) run() {
	defer close(o.done)
	defer o.goroutines.Wait()
	defer func() { o.quota.Close(time.Now()) }()
	defer o.logPanic()
	defer o.unregister()
	defer o.stop()
	o.goroutines.Go(o.confirmMandate)
	if o.d.cfg.EvacuateBound > 0 {
		o.goroutines.Go(o.followEvacuations)
	}
	version, ok := o.load()
	if !ok {
		return
	}
	o.goroutines.Go(func() { o.followJobs(version) })
	o.goroutines.Go(o.listWorkers)
	o.goroutines.Go(o.deleteWithdrawnRows)
	if o.d.cfg.UseHalfLife > 0 {
		o.goroutines.Go(o.usage.run)
	}
	o.loop()
}

// logPanic logs a panic and lets it go on. Otherwise it would be seen only when the daemon is closed, as another daemon or
// this one claims the shard.
func (o *ownedShard) logPanic() {
	if v := recover(); v != nil {
		o.d.cfg.Log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Stringer("shard", o.id).Msg("cell: panic in the control loop; ownership ended")
		panic(v)
	}
}

func (o *ownedShard) unregister() {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	if o.d.ownedShards[o.id] == o {
		delete(o.d.ownedShards, o.id)
	}
}

// endOwnership stops all work of the shard.
func (o *ownedShard) endOwnership(reason string) {
	o.endOnce.Do(func() {
		o.d.cfg.Log.Warn().Stringer("shard", o.id).Uint64("epoch", uint64(o.epoch)).Str("reason", reason).Msg("cell: ownership ended")
	})
	o.stop()
}

// load reads the rows of the shard and starts its scheduler. It returns the version after which the feed of
// jobs starts. The records are read before the jobs and not again: the rows of an ended job are deleted before its
// progress, so a job that is still found has all its progress in the records.
func (o *ownedShard) load() (cluster.Version, bool) {
	var records loadedRecords
	var shares map[cluster.TeamName]int
	var jobs []jobRows
	// The rows of each part are decoded as they arrive, so that they are not in memory together.
	jobReads := newPartReads(jobParts, func(part int) (jobRows, error) {
		reply, err := o.loadJobPart(part, &records)
		return o.decodeJobs(reply, records.progress), err
	})
	loaded := o.retryRead(func() (err error) { records, err = o.loadRecords(); return err }) &&
		o.expectWorkers(len(records.workers.Workers)) &&
		o.retryRead(func() (err error) { shares, err = o.claimShares(); return err }) &&
		o.retryRead(func() (err error) { jobs, err = jobReads.readMissing(); return err })
	if !loaded {
		return 0, false
	}
	merged := mergeJobRows(jobs)
	o.startScheduler(records, shares, merged)
	return merged.asOf, true
}

// retryRead repeats a read of the load until it succeeds. It returns false if the ownership ends before.
func (o *ownedShard) retryRead(read func() error) bool {
	for delay := retryDelay; o.ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
		err := read()
		if err == nil {
			return true
		}
		o.d.cfg.Log.Warn().Err(err).Stringer("shard", o.id).Msg("cell: rows of the shard can't be loaded; retrying")
		if o.isSuperseded() {
			o.endOwnership("another daemon claimed the shard while it was loaded")
			return false
		}
		o.d.store.sleepUntilRecovered(o.ctx, delay)
	}
	return false
}

// isSuperseded reports whether the owner row names a later owner. The feed of the cell reports this too, but late if
// the rows that are loaded fill the link.
func (o *ownedShard) isSuperseded() bool {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	row, _, err := o.d.readOwner(ctx, ownerKey(o.id))
	return err == nil && row.Epoch > uint64(o.epoch)
}

func (o *ownedShard) readJobPart(part int) (platform.ReadReply, error) {
	return o.d.store.Read(o.ctx, platform.ReadRequest{Prefixes: []string{jobPartPrefix(o.id.Index, part)}})
}

// expectWorkers sets the number of workers of the shard until they are listed. It returns true.
func (o *ownedShard) expectWorkers(n int) bool {
	o.workerCount.Store(int64(n))
	return true
}

func (o *ownedShard) startScheduler(records loadedRecords, shares map[cluster.TeamName]int, jobs jobRows) {
	workers := records.workers.recordedWorkers()
	o.scheduler = pool.New(pool.Config{
		Service: o.id.Service, Shard: o.id.Index, Shards: o.d.shardCount(), Epoch: o.epoch, Now: o.ownedSince, MaxLease: o.d.cfg.MaxLease, EvacuateBound: o.d.cfg.EvacuateBound,
		InheritedWorkers: workers, PreviousOwnersActiveUntil: o.previousOwnersActiveUntil, UseHalfLife: o.d.cfg.UseHalfLife,
		Quota: o.quota, Log: o.d.cfg.Log, Metrics: o.d.cfg.Metrics,
	})
	events := []pool.Event{&pool.ConfigChanged{Snapshot: o.d.Snapshot()}, &pool.SharesChanged{Shares: shares}}
	events = append(events, jobs.events()...)
	effects := o.scheduler.Step(time.Now(), o.prependEvacuations(events))
	close(o.loaded)
	o.executeEffects(effects)
	o.d.cfg.Log.Info().Stringer("shard", o.id).Uint64("epoch", uint64(o.epoch)).Int("rows", len(jobs.accepted)+len(jobs.cancelled)).
		Int("workers", len(workers)).Dur("took", time.Since(o.ownedSince)).Msg("cell: shard loaded")
}

// jobRows holds the events of rows of jobs that were read as of a version.
type jobRows struct {
	accepted, cancelled []pool.Event
	asOf                cluster.Version
}

// events returns all events, cancellations last.
func (r jobRows) events() []pool.Event { return slices.Concat(r.accepted, r.cancelled) }

// mergeJobRows merges the rows of several parts. Its version is the lowest of all; see mergeReplies.
func mergeJobRows(parts []jobRows) jobRows {
	merged := jobRows{asOf: parts[0].asOf}
	for _, part := range parts {
		merged.accepted = append(merged.accepted, part.accepted...)
		merged.cancelled = append(merged.cancelled, part.cancelled...)
		merged.asOf = min(merged.asOf, part.asOf)
	}
	return merged
}

// decodeJobs converts rows of jobs to events. Of jobs that have ended according to their progress it keeps only what is
// needed after that.
func (o *ownedShard) decodeJobs(reply platform.ReadReply, progress map[cluster.JobName]*workload.Progress) jobRows {
	decoded := jobRows{asOf: reply.AsOf}
	for _, r := range reply.Rows {
		name := rowName(r.Key)
		if r.Deleted {
			o.withdrawn.forgetDeleted(r.Key)
			continue
		}
		if id, ok := strings.CutSuffix(name, cancelSuffix); ok {
			o.withdrawn.add(r, time.Now())
			decoded.cancelled = append(decoded.cancelled, &pool.JobCancelled{ID: cluster.JobName(id)})
			continue
		}
		job, err := workload.DecodeJob(cluster.JobName(name), r.Value)
		if err != nil {
			o.d.cfg.Log.Error().Err(err).Str("job", name).Msg("cell: job row can't be read")
			continue
		}
		if o.d.shardOf(job.Terms.Service, job.ID) != o.id {
			continue
		}
		p := progress[job.ID]
		if p != nil && p.State.Final() {
			job = job.WithoutPayload()
		}
		decoded.accepted = append(decoded.accepted, &pool.JobAccepted{Job: job, Progress: p})
	}
	return decoded
}

func (o *ownedShard) followJobs(version cluster.Version) {
	for o.ctx.Err() == nil {
		reply, err := o.readJobFeed(version)
		if platform.IsKind(err, platform.KindExpired) {
			o.d.cfg.Log.Warn().Str("feed", "jobs").Uint64("version", uint64(version)).Msg("cell: changes since the last read are no longer available; reading all rows")
			reply, err = o.readJobs()
		}
		if err != nil {
			if o.ctx.Err() == nil {
				o.d.cfg.Log.Debug().Err(err).Str("feed", "jobs").Msg("cell: change feed failed; retrying")
			}
			o.sleep(feedRetryDelay)
			continue
		}
		version = max(version, reply.AsOf)
		for _, e := range o.decodeJobs(reply, nil).events() {
			o.sendEvent(e)
		}
		o.sleep(jobFeedDelay)
	}
}

func (o *ownedShard) sleep(t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-o.ctx.Done():
	case <-timer.C:
	}
}

// listWorkers periodically reads the platform's list of workers.
func (o *ownedShard) listWorkers() {
	for o.ctx.Err() == nil {
		interval := listInterval
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		workers, total, err := o.readWorkers(ctx)
		cancel()
		if err == nil {
			o.workersListedAt.Store(time.Now().UnixMilli())
			if total > largeList {
				interval = largeListInterval
			}
			o.workerCount.Store(int64(len(workers)))
			o.sendEvent(&pool.WorkersListed{Workers: workers, Advisors: len(o.d.advisors(o.id))})
		} else if o.ctx.Err() == nil {
			o.d.cfg.Log.Debug().Err(err).Msg("cell: workers could not be listed")
		}
		o.sleep(interval)
	}
}

func (o *ownedShard) sendEvent(e pool.Event) {
	select {
	case o.events <- e:
	case <-o.ctx.Done():
	}
}

// configChanged makes the control loop read the configuration in force. It does not wait for the loop.
func (o *ownedShard) configChanged() {
	select {
	case o.configUpdates <- struct{}{}:
	default:
	}
}

// query runs f in the control loop and waits until f has returned. It fails without running f if the shard is not
// loaded yet, or if ctx or the ownership ends first. A panic of f ends the control loop.
func (o *ownedShard) query(ctx context.Context, op string, f func(*pool.Scheduler)) error {
	select {
	case <-o.loaded:
	default:
		return &Error{Op: op, Kind: KindUnavailable, Err: errNotLoaded}
	}
	result := make(chan error, 1)
	run := func(s *pool.Scheduler) {
		err := error(&Error{Op: op, Kind: KindUnknown, Err: errLoopPanicked})
		defer func() { result <- err }()
		f(s)
		err = nil
	}
	select {
	case o.queries <- run:
		return <-result
	case <-o.ctx.Done():
		return &Error{Op: op, Kind: KindUnavailable, Err: errNotOwner}
	case <-ctx.Done():
		return &Error{Op: op, Kind: KindUnavailable, Err: ctx.Err()}
	}
}

// loop is the control loop, which collects events and steps the scheduler.
func (o *ownedShard) loop() {
	stepTimer := time.NewTimer(0)
	defer stepTimer.Stop()
	lastStepAt := time.Now()
	delay := batchDelay
	var batch []pool.Event
	for {
		batch = batch[:0]
		select {
		case <-o.ctx.Done():
			return
		case e := <-o.events:
			o.sleep(delay)
			batch = append(batch, e)
		case <-o.configUpdates:
			batch = append(batch, &pool.ConfigChanged{Snapshot: o.d.Snapshot()})
		case query := <-o.queries:
			query(o.scheduler)
			o.runQueries()
			continue
		case <-stepTimer.C:
		}
		o.runQueries()
		batch = o.appendQueued(batch)
		now := time.Now()
		if gap := now.Sub(lastStepAt); gap > maxStepGap && !o.confirmOwnership(gap) {
			return
		}
		lastStepAt = time.Now()
		o.executeEffects(o.scheduler.Step(lastStepAt, o.prependMandate(o.prependEvacuations(batch), lastStepAt)))
		if o.d.cfg.Admission {
			o.reportLoad(lastStepAt, o.scheduler.Load())
		}
		delay = min(max(o.batchDelay(), batchDelayFactor*time.Since(lastStepAt)), maxBatchDelay)
		stepTimer.Reset(time.Until(o.scheduler.NextStepAt()))
	}
}

// batchDelay returns the shortest time for which events are collected before a step.
func (o *ownedShard) batchDelay() time.Duration {
	if len(o.routes) > 0 {
		return forwardBatchDelay
	}
	return batchDelay
}

// maxQueriesPerStep bounds the queries that are run between two steps.
const maxQueriesPerStep = 256

// runQueries runs the waiting queries. One query per step would make them wait for as many steps while steps are long.
func (o *ownedShard) runQueries() {
	for range maxQueriesPerStep {
		select {
		case query := <-o.queries:
			query(o.scheduler)
		default:
			return
		}
	}
}

// appendQueued appends the queued events to batch, so that one step handles them together.
func (o *ownedShard) appendQueued(batch []pool.Event) []pool.Event {
	for len(batch) < eventQueueLength {
		select {
		case e := <-o.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// confirmOwnership reads the owner row after the process was paused. It ends the ownership and returns false if
// another daemon owns the shard or if the row can't be read.
func (o *ownedShard) confirmOwnership(gap time.Duration) bool {
	o.d.cfg.Log.Warn().Stringer("shard", o.id).Dur("pause", gap).Msg("cell: process was paused; reading the owner row")
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	row, _, err := o.d.readOwner(ctx, ownerKey(o.id))
	if err != nil {
		o.endOwnership("the owner can't be confirmed after a pause")
		return false
	}
	if row.Owner != string(o.d.cfg.Self) || row.Epoch != uint64(o.epoch) {
		o.endOwnership("another daemon claimed the shard during a pause")
		return false
	}
	return true
}

// awaitStore waits until the owner row can be read, while the shard goes on, as no other daemon can claim it before. It
// returns releaseTimeout before ctx ends at the latest.
func (o *ownedShard) awaitStore(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-releaseTimeout))
		defer cancel()
	}
	for ctx.Err() == nil && o.ctx.Err() == nil {
		if _, _, err := o.d.readOwner(ctx, ownerKey(o.id)); err == nil {
			return
		}
		o.d.store.sleepUntilRecovered(ctx, retryDelay)
	}
}

// release gives up the shard so that another daemon can claim it without a delay.
func (o *ownedShard) release(ctx context.Context) {
	o.awaitStore(ctx)
	o.endOwnership("the daemon is leaving")
	select {
	case <-o.done:
	case <-ctx.Done():
	}
	key := ownerKey(o.id)
	data, err := encode("release", &ownerRow{Epoch: uint64(o.epoch), EarlierOwnersActiveUntil: o.earlierOwnersActiveUntil})
	if err == nil {
		_, err = o.d.store.Commit(ctx, platform.Txn{
			Checks: []platform.Check{{Key: key, Version: o.version}},
			Puts:   []platform.Put{{Key: key, Value: data}},
		})
	}
	if err != nil {
		o.d.cfg.Log.Warn().Err(err).Stringer("shard", o.id).Msg("cell: shard not released; other daemons claim it after the peer timeout")
		return
	}
	o.d.cfg.Log.Info().Stringer("shard", o.id).Msg("cell: shard released")
}
