package cell

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// intake writes accepted jobs into the store, in groups for each part.
type intake struct {
	d     *Daemon
	parts [jobParts]chan *submission
}

// submission is a job that waits to be written.
type submission struct {
	ctx   context.Context
	shard shardID
	id    cluster.JobName
	part  int
	key   string
	data  []byte
	// moved says that the usual part of the job failed.
	moved bool
	// doubtful says that an earlier try may have been carried out.
	doubtful bool
	done     chan error
}

func newIntake(d *Daemon) *intake {
	in := &intake{d: d}
	for i := range in.parts {
		in.parts[i] = make(chan *submission, maxWaiting)
	}
	return in
}

// Submit accepts a job. A job that was accepted before is accepted again. An
// Error of kind Unavailable or Overloaded means that the job was not accepted
// and does not run; of kind Unknown, that it may be.
func (d *Daemon) Submit(ctx context.Context, job *workload.Job) error {
	data, err := workload.EncodeJob(job)
	if err != nil {
		return err
	}
	shards := d.shardCount()
	if shards == 0 {
		return &Error{Op: "submit", Kind: KindUnavailable, Err: errNotDivided}
	}
	s := &submission{
		ctx: ctx, shard: d.shardOf(job.Terms.Service, job.ID), id: job.ID, part: partOf(job.ID), key: jobKey(shards, job.ID), data: data,
		done: make(chan error, 1),
	}
	select {
	case d.intake.parts[s.part] <- s:
	default:
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
	pause := retryPause
	for {
		if len(batch) == 0 {
			select {
			case <-in.d.ctx.Done():
				return
			case s := <-in.parts[part]:
				batch = append(batch, s)
			}
			if !in.d.sleep(intakeGather) {
				return
			}
		}
		left, failed := in.write(in.fill(part, batch))
		batch = left
		if failed && in.d.store.visible() {
			batch = in.move(batch)
		}
		if !failed || len(batch) == 0 {
			pause = retryPause
			continue
		}
		// Spreads the retries of many daemons, which would else keep a slow store overloaded.
		wait := pause/2 + rand.N(pause)
		batch = in.dropEnded(batch, wait)
		in.d.store.pause(wait)
		pause = min(2*pause, maxRetryPause)
	}
}

// move hands the submissions of a part that fails to another part, each once.
func (in *intake) move(batch []*submission) []*submission {
	var left []*submission
	moved := 0
	for _, s := range batch {
		if s.moved {
			left = append(left, s)
			continue
		}
		s.moved, s.part = true, otherPart(s.part)
		s.key = jobKeyIn(in.d.shardCount(), s.part, s.id)
		select {
		case in.parts[s.part] <- s:
			moved++
		default:
			s.done <- s.failure()
		}
	}
	if moved > 0 {
		in.d.cfg.Log.Info().Int("jobs", moved).Msg("cell: jobs go to another part of the store")
	}
	return left
}

func (in *intake) fill(part int, batch []*submission) []*submission {
	size := 0
	for _, s := range batch {
		size += len(s.data)
	}
	for len(batch) < maxIntake && size < maxIntakeBytes {
		select {
		case s := <-in.parts[part]:
			batch = append(batch, s)
			size += len(s.data)
		default:
			return batch
		}
	}
	return batch
}

// write tries to commit a batch and returns what has to be tried again, and
// whether the store failed.
func (in *intake) write(batch []*submission) (left []*submission, failed bool) {
	batch = in.dropEnded(batch, 0)
	if len(batch) == 0 {
		return nil, false
	}
	var txn platform.Txn
	written := map[string]bool{}
	shards := map[shardID][]platform.Put{}
	for _, s := range batch {
		if written[s.key] {
			continue
		}
		written[s.key] = true
		txn.Checks = append(txn.Checks, platform.Check{Key: s.key})
		put := platform.Put{Key: s.key, Value: s.data}
		txn.Puts = append(txn.Puts, put)
		shards[s.shard] = append(shards[s.shard], put)
	}
	ctx, cancel := context.WithTimeout(in.d.ctx, storeTimeout+callTimeout)
	defer cancel()
	_, err := in.d.store.Commit(ctx, txn)
	switch {
	case err == nil:
		for _, s := range batch {
			s.done <- nil
		}
		for id, puts := range shards {
			in.d.announce(id, puts)
		}
		return nil, false
	case platform.IsKind(err, platform.KindConflict):
		return in.separate(batch)
	case platform.IsKind(err, platform.KindUnknown):
		for _, s := range batch {
			s.doubtful = true
		}
	}
	in.d.cfg.Log.Info().Err(err).Int("jobs", len(batch)).Msg("cell: jobs not written; retrying")
	return batch, true
}

// dropEnded ends the submissions whose callers do not wait for a try after a pause.
func (in *intake) dropEnded(batch []*submission, wait time.Duration) []*submission {
	var left []*submission
	for _, s := range batch {
		deadline, ok := s.ctx.Deadline()
		switch {
		case s.ctx.Err() != nil, ok && time.Until(deadline) < wait+retryPause:
			s.done <- s.failure()
		default:
			left = append(left, s)
		}
	}
	return left
}

func (s *submission) failure() error {
	if s.doubtful {
		return &Error{Op: "submit", Kind: KindUnknown}
	}
	return &Error{Op: "submit", Kind: KindUnavailable}
}

// separate reads which jobs of a batch are in the store already and returns the others.
func (in *intake) separate(batch []*submission) (left []*submission, failed bool) {
	var req platform.ReadRequest
	for _, s := range batch {
		req.Keys = append(req.Keys, s.key)
	}
	reply, err := in.d.store.Read(in.d.ctx, req)
	if err != nil {
		in.d.cfg.Log.Info().Err(err).Int("jobs", len(batch)).Msg("cell: jobs can't be read back; retrying")
		return batch, true
	}
	there := map[string]bool{}
	for _, r := range reply.Rows {
		there[r.Key] = true
	}
	for _, s := range batch {
		if there[s.key] {
			in.d.cfg.Log.Info().Str("job", lastPart(s.key)).Msg("cell: job was accepted before")
			s.done <- nil
			continue
		}
		left = append(left, s)
	}
	return left, false
}

// Cancel cancels a job of a team. An Error of kind NotFound means that there is no such job.
func (d *Daemon) Cancel(ctx context.Context, id cluster.JobName, team cluster.TeamName, queue cluster.QueueName) error {
	if d.shardCount() == 0 {
		return &Error{Op: "cancel", Kind: KindUnavailable, Err: errNotDivided}
	}
	job, cancelled, err := d.readJob(ctx, id)
	if err != nil {
		return &Error{Op: "cancel", Kind: KindUnavailable, Err: err}
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
		put := platform.Put{Key: keys[i%len(keys)] + cancelSuffix, Value: []byte{1}}
		if _, err = d.store.Commit(ctx, platform.Txn{Puts: []platform.Put{put}}); err == nil {
			d.cfg.Log.Info().Str("job", string(id)).Msg("cell: cancellation accepted")
			d.announce(d.shardOf(job.Terms.Service, id), []platform.Put{put})
			return nil
		}
		d.sleep(retryPause)
	}
	return &Error{Op: "cancel", Kind: KindUnknown, Err: err}
}

// readJob reads a job and whether it is cancelled. The job is nil if no part has it.
func (d *Daemon) readJob(ctx context.Context, id cluster.JobName) (job *workload.Job, cancelled bool, err error) {
	var failed error
	for _, key := range jobKeys(d.shardCount(), id) {
		reply, err := d.store.Read(ctx, platform.ReadRequest{Keys: []string{key, key + cancelSuffix}})
		if err != nil {
			failed = err
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
	return nil, false, failed
}
