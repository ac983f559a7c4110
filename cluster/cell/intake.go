package cell

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/admission"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// intake writes submitted jobs to the store, in batches for each part.
type intake struct {
	d      *Daemon
	queues [jobParts]chan *submission
	// held is the size of the submissions that are not done, in bytes. A submission is not done when its caller gives
	// up, but when it is written or dropped.
	held atomic.Int64
	// failingSince is when a write failed for the first time since the last success, in Unix milliseconds; zero after a
	// success. It only delays the retries of clients, so that a step of the clock does no harm.
	failingSince atomic.Int64
}

// submission is a job that waits to be written.
type submission struct {
	ctx   context.Context
	shard shardID
	id    cluster.JobName
	part  int
	key   string
	data  []byte
	// usesAlternatePart means that the regular part of the job failed.
	usesAlternatePart bool
	// unconfirmed means that the job may be in the store: the reply to a commit was lost, or a conflict is not resolved.
	unconfirmed bool
	done        chan error
}

// finish reports the result of a submission to its caller.
func (in *intake) finish(s *submission, err error) {
	in.held.Add(-int64(len(s.data)))
	s.done <- err
}

func newIntake(d *Daemon) *intake {
	in := &intake{d: d}
	for i := range in.queues {
		in.queues[i] = make(chan *submission, maxQueuedSubmissions)
	}
	return in
}

// Submit accepts a job. Submitting an accepted job again succeeds. An Error of kind KindUnavailable or KindOverloaded, or of
// kind KindRejected because of load, means that the job was not accepted and does not run; KindUnknown means that it may
// have been accepted. A workload.Error means that no daemon can accept the job.
func (d *Daemon) Submit(ctx context.Context, job *workload.Job) error {
	data, err := workload.EncodeJob(job)
	if err != nil {
		return err
	}
	if d.shardCount() == 0 {
		return &Error{Op: "submit", Kind: KindUnavailable, Err: errNoLayout}
	}
	shard := d.shardOf(job.Terms.Service, job.ID)
	if err := d.admitter.admit(ctx, shard, job); err != nil {
		return err
	}
	written, err := d.reserveMemory(ctx, shard, job)
	if err != nil {
		return err
	}
	defer written()
	d.admitter.begin(job.ID)
	err = d.write(ctx, shard, job.ID, data)
	d.admitter.end(job.ID, err)
	if (IsKind(err, KindOverloaded) || IsKind(err, KindUnavailable)) && d.MayBeAccepted(job.ID) {
		// This submission wrote nothing, but another one has written the job or may still write it.
		return &Error{Op: "submit", Kind: KindUnknown, Err: err}
	}
	return err
}

// MayBeAccepted reports whether a submission of a job at this daemon was accepted or may be, so that the refusal of another
// one must not say that the job never runs.
func (d *Daemon) MayBeAccepted(id cluster.JobName) bool { return d.admitter.isUnresolved(id) }

// write queues a job for the store and waits for the result.
func (d *Daemon) write(ctx context.Context, shard shardID, id cluster.JobName, data []byte) error {
	shards := d.shardCount()
	s := &submission{
		ctx: ctx, shard: shard, id: id, part: jobPart(id), key: jobKey(shards, id), data: data,
		done: make(chan error, 1),
	}
	if held := d.intake.held.Add(int64(len(data))); held > int64(d.cfg.MaxIntakeBytes) {
		d.intake.held.Add(-int64(len(data)))
		return &Error{Op: "submit", Kind: KindOverloaded}
	}
	select {
	case d.intake.queues[s.part] <- s:
	default:
		d.intake.held.Add(-int64(len(data)))
		return &Error{Op: "submit", Kind: KindOverloaded}
	}
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return &Error{Op: "submit", Kind: KindUnknown, Err: ctx.Err()}
	case <-d.ctx.Done():
		return &Error{Op: "submit", Kind: KindUnknown, Err: errLeaving}
	}
}

// run writes the submissions of one part, one transaction at a time.
func (in *intake) run(part int) {
	var batch []*submission
	delay := retryDelay
	for {
		if len(batch) == 0 {
			select {
			case <-in.d.ctx.Done():
				return
			case s := <-in.queues[part]:
				batch = append(batch, s)
			}
			if !in.d.sleep(intakeBatchDelay) {
				return
			}
		}
		remaining, storeFailed := in.writeBatch(in.fillBatch(part, batch))
		batch = remaining
		if storeFailed && in.d.store.reachable() {
			// The store serves other calls, so only this part of it may be down.
			batch = in.moveToAlternatePart(batch)
		}
		if !storeFailed || len(batch) == 0 {
			delay = retryDelay
			continue
		}
		// The random delay spreads the retries of many daemons, which would otherwise keep a slow store
		// overloaded.
		jitteredDelay := delay/2 + rand.N(delay)
		batch = in.dropExpired(batch, jitteredDelay)
		in.d.store.sleepUntilRecovered(in.d.ctx, jitteredDelay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// moveToAlternatePart queues the submissions of a failed part for their alternate part, each only once.
func (in *intake) moveToAlternatePart(batch []*submission) []*submission {
	var remaining []*submission
	moved := 0
	for _, s := range batch {
		if s.usesAlternatePart {
			remaining = append(remaining, s)
			continue
		}
		s.usesAlternatePart, s.part = true, alternatePart(s.part)
		s.key = jobKeyInPart(in.d.shardCount(), s.part, s.id)
		select {
		case in.queues[s.part] <- s:
			moved++
		default:
			in.finish(s, in.failure(s))
		}
	}
	if moved > 0 {
		in.d.cfg.Log.Info().Int("jobs", moved).Msg("cell: jobs moved to the alternate part of the store")
	}
	return remaining
}

func (in *intake) fillBatch(part int, batch []*submission) []*submission {
	size := 0
	for _, s := range batch {
		size += len(s.data)
	}
	for len(batch) < maxIntakeJobs && size < maxIntakeBytes {
		select {
		case s := <-in.queues[part]:
			batch = append(batch, s)
			size += len(s.data)
		default:
			return batch
		}
	}
	return batch
}

// writeBatch tries to commit a batch. It returns the submissions that have to be retried, and whether the store
// failed.
func (in *intake) writeBatch(batch []*submission) (remaining []*submission, storeFailed bool) {
	batch = in.dropExpired(batch, 0)
	if len(batch) == 0 {
		return nil, false
	}
	var txn platform.Txn
	written := map[string]bool{}
	putsByShard := map[shardID][]platform.Put{}
	for _, s := range batch {
		if written[s.key] {
			continue
		}
		written[s.key] = true
		txn.Checks = append(txn.Checks, platform.Check{Key: s.key}, platform.Check{Key: s.key + cancelSuffix})
		put := platform.Put{Key: s.key, Value: s.data}
		txn.Puts = append(txn.Puts, put)
		putsByShard[s.shard] = append(putsByShard[s.shard], put)
	}
	ctx, cancel := context.WithTimeout(in.d.ctx, storeTimeout+callTimeout)
	defer cancel()
	_, err := in.d.store.Commit(ctx, txn)
	switch {
	case err == nil:
		in.failingSince.Store(0)
		for _, s := range batch {
			in.finish(s, nil)
		}
		for id, puts := range putsByShard {
			in.d.announce(id, puts)
		}
		return nil, false
	case platform.IsKind(err, platform.KindConflict):
		return in.dropAccepted(batch)
	case platform.IsKind(err, platform.KindUnknown):
		for _, s := range batch {
			s.unconfirmed = true
		}
	}
	in.failingSince.CompareAndSwap(0, time.Now().UnixMilli())
	in.d.cfg.Log.Info().Err(err).Int("jobs", len(batch)).Msg("cell: jobs not written; retrying")
	return batch, true
}

// outageAge returns for how long no job could be written.
func (in *intake) outageAge() time.Duration {
	if since := in.failingSince.Load(); since != 0 {
		return time.Since(time.UnixMilli(since))
	}
	return 0
}

// dropExpired ends the submissions whose callers would not wait for a retry after the delay.
func (in *intake) dropExpired(batch []*submission, delay time.Duration) []*submission {
	var remaining []*submission
	for _, s := range batch {
		deadline, ok := s.ctx.Deadline()
		switch {
		case s.ctx.Err() != nil, ok && time.Until(deadline) < delay+retryDelay:
			in.finish(s, in.failure(s))
		default:
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// failure returns the error of a submission that was not written. The clients return later the longer nothing could be
// written, so that their retries are not used up before the store is back.
func (in *intake) failure(s *submission) error {
	if s.unconfirmed {
		return &Error{Op: "submit", Kind: KindUnknown}
	}
	return &Error{Op: "submit", Kind: KindUnavailable, RetryAfter: admission.OutageReturn(in.outageAge(), rand.Float64())}
}

// dropAccepted ends the submissions whose jobs are already in the store or are cancelled, and returns the others.
func (in *intake) dropAccepted(batch []*submission) (remaining []*submission, storeFailed bool) {
	stored, err := in.readKeys(batch, "")
	if err != nil {
		return in.keepAfterConflict(batch, err)
	}
	var missing []*submission
	for _, s := range batch {
		if !stored[s.key] {
			missing = append(missing, s)
			continue
		}
		in.d.cfg.Log.Info().Str("job", rowName(s.key)).Msg("cell: job is already in the store")
		in.finish(s, nil)
	}
	if len(missing) < len(batch) {
		// The conflict was with the others. Each key that is read takes a call.
		return missing, false
	}
	cancelled, err := in.readKeys(missing, cancelSuffix)
	if err != nil {
		return in.keepAfterConflict(missing, err)
	}
	for _, s := range missing {
		if !cancelled[s.key+cancelSuffix] {
			remaining = append(remaining, s)
			continue
		}
		in.d.cfg.Log.Info().Str("job", rowName(s.key)).Msg("cell: job not written, as it is cancelled")
		in.finish(s, &Error{Op: "submit", Kind: KindCancelled, Err: errWithdrawn})
	}
	return remaining, false
}

// readKeys returns which of the keys of submissions, with a suffix, are in the store.
func (in *intake) readKeys(batch []*submission, suffix string) (map[string]bool, error) {
	stored := map[string]bool{}
	if len(batch) == 0 {
		return stored, nil
	}
	var req platform.ReadRequest
	for _, s := range batch {
		req.Keys = append(req.Keys, s.key+suffix)
	}
	reply, err := in.d.store.Read(in.d.ctx, req)
	for _, r := range reply.Rows {
		stored[r.Key] = true
	}
	return stored, err
}

// keepAfterConflict returns submissions that can't be looked up after a conflict, which is with one of their jobs: an
// earlier submission may have written it.
func (in *intake) keepAfterConflict(batch []*submission, err error) (remaining []*submission, storeFailed bool) {
	for _, s := range batch {
		s.unconfirmed = true
	}
	in.d.cfg.Log.Info().Err(err).Int("jobs", len(batch)).Msg("cell: jobs can't be read after a conflict; retrying")
	return batch, true
}

// Cancel cancels a job of a team. An Error of kind KindNotFound means that there is no such job, and that none is written by
// a submission that began before.
func (d *Daemon) Cancel(ctx context.Context, id cluster.JobName, team cluster.TeamName, queue cluster.QueueName) error {
	if d.shardCount() == 0 {
		return &Error{Op: "cancel", Kind: KindUnavailable, Err: errNoLayout}
	}
	job, cancelled, err := d.readJob(ctx, id)
	if err != nil {
		return &Error{Op: "cancel", Kind: KindUnavailable, Err: err}
	}
	if job == nil {
		written, err := d.withdraw(ctx, id, team)
		if !written {
			return err
		}
		if job, cancelled, err = d.readJob(ctx, id); err != nil {
			return &Error{Op: "cancel", Kind: KindUnavailable, Err: err}
		}
	}
	if job == nil || job.Team != team || job.Queue != queue {
		return &Error{Op: "cancel", Kind: KindNotFound}
	}
	if cancelled {
		return nil
	}
	// Either part will do, as the owner follows both.
	keys := jobKeys(d.shardCount(), id)
	for i := 0; ctx.Err() == nil; i++ {
		put := platform.Put{Key: keys[i%len(keys)] + cancelSuffix, Value: cancelledValue}
		if _, err = d.store.Commit(ctx, platform.Txn{Puts: []platform.Put{put}}); err == nil {
			d.cfg.Log.Info().Str("job", string(id)).Msg("cell: cancellation accepted")
			d.announce(d.shardOf(job.Terms.Service, id), []platform.Put{put})
			return nil
		}
		d.sleep(retryDelay)
	}
	return &Error{Op: "cancel", Kind: KindUnknown, Err: err}
}

// readJob reads a job and whether it is cancelled. The job is nil if it is in none of its parts.
func (d *Daemon) readJob(ctx context.Context, id cluster.JobName) (job *workload.Job, cancelled bool, err error) {
	var readErr error
	for _, key := range jobKeys(d.shardCount(), id) {
		reply, err := d.store.Read(ctx, platform.ReadRequest{Keys: []string{key, key + cancelSuffix}})
		if err != nil {
			readErr = err
			continue
		}
		for _, r := range reply.Rows {
			if r.Key != key {
				cancelled = true
			} else if job, err = workload.DecodeJob(id, r.Value); err != nil {
				return nil, false, err
			}
		}
		if job != nil {
			return job, cancelled, nil
		}
	}
	return nil, false, readErr
}
