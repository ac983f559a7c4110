package cell

import (
	"context"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// carryOut starts what the scheduler asks for.
func (p *ownedPool) carryOut(effects []pool.Effect) {
	for _, e := range effects {
		switch v := e.(type) {
		case *pool.SendStart:
			p.work.Go(func() { p.sendStart(v) })
		case *pool.SendStop:
			p.work.Go(func() { p.sendStop(v) })
		case *pool.SendHold:
			p.work.Go(func() { p.sendHold(v) })
		case *pool.AskAdvice:
			p.work.Go(func() { p.askAdvice(v) })
		case *pool.Record:
			p.work.Go(func() { p.record(v) })
		case *pool.SeekShare:
			p.work.Go(func() { p.seekShare(v) })
		case *pool.Superseded:
			p.lose("a worker follows a later owner")
		}
	}
}

// lost reports whether an order without an answer may still be carried out.
func lost(err error) bool {
	return err != nil && !platform.IsKind(err, platform.KindUnavailable)
}

func (p *ownedPool) sendStart(e *pool.SendStart) {
	ctx, cancel := context.WithTimeout(p.ctx, startTimeout)
	defer cancel()
	reply, err := p.d.cfg.Workers.StartTask(ctx, e.Worker, e.Order)
	if err != nil {
		p.d.cfg.Log.Debug().Err(err).Str("task", e.Order.Task).Str("worker", string(e.Worker.ID)).Msg("cell: start failed")
		if !lost(err) {
			reply.Refusal = platform.RefusedUnhealthy
		}
	}
	p.send(&pool.StartAnswered{Fence: e.Order.Fence, Task: e.Task, Run: e.Order.Run, Worker: e.Worker.ID, Reply: reply, Lost: lost(err)})
}

func (p *ownedPool) sendStop(e *pool.SendStop) {
	ctx, cancel := context.WithTimeout(p.ctx, stopTimeout)
	defer cancel()
	reply, err := p.d.cfg.Workers.StopTask(ctx, e.Worker, e.Order)
	if err != nil {
		p.d.cfg.Log.Debug().Err(err).Str("task", e.Order.Task).Str("worker", string(e.Worker.ID)).Msg("cell: stop failed")
	}
	p.send(&pool.StopAnswered{Fence: e.Order.Fence, Task: e.Task, Run: e.Order.Run, Worker: e.Worker.ID, Reply: reply, Lost: err != nil})
}

func (p *ownedPool) sendHold(e *pool.SendHold) {
	ctx, cancel := context.WithTimeout(p.ctx, e.Order.Wait+holdSlack)
	defer cancel()
	sent := time.Now()
	reply, err := p.d.cfg.Workers.Hold(ctx, e.Worker, e.Order)
	if err != nil && p.ctx.Err() == nil {
		p.d.cfg.Log.Debug().Err(err).Str("worker", string(e.Worker.ID)).Msg("cell: hold failed")
	}
	p.send(&pool.HoldAnswered{
		Worker: e.Worker.ID, Fence: e.Order.Fence, Incarnation: e.Worker.Incarnation, Sent: sent, Received: time.Now(), Reply: reply, Lost: err != nil, Extra: e.Extra,
	})
}

func (p *ownedPool) askAdvice(e *pool.AskAdvice) {
	advice, err := p.d.advisor.ask(p.ctx, p.id, e.Step, e.Workers, e.Cost)
	if err != nil && p.ctx.Err() == nil {
		p.d.cfg.Log.Debug().Err(err).Str("job", string(e.Step.Job)).Msg("cell: no advice")
	}
	p.send(&pool.Advised{Step: e.Step, Received: time.Now(), Advice: advice, Failed: err != nil})
}

// record writes what the scheduler records, and repeats it until it is known to
// be in the store. One record is in flight at a time; the version of the
// sequence row keeps one that is carried out late from undoing a newer one.
func (p *ownedPool) record(e *pool.Record) {
	txn, err := p.recordTxn(e)
	if err != nil {
		p.d.cfg.Log.Error().Err(err).Msg("cell: record can't be written")
		return
	}
	for p.ctx.Err() == nil {
		version, err := p.d.store.Commit(p.ctx, txn)
		if err == nil {
			p.recorded(e, version)
			return
		}
		if p.ctx.Err() != nil {
			return
		}
		if platform.IsKind(err, platform.KindConflict) || platform.IsKind(err, platform.KindUnknown) {
			version, applied, ok := p.readRecord(e.Generation)
			if applied {
				p.recorded(e, version)
				return
			}
			if !ok && platform.IsKind(err, platform.KindConflict) {
				continue
			}
		}
		p.d.cfg.Log.Warn().Err(err).Stringer("shard", p.id).Uint64("generation", e.Generation).Msg("cell: record not written; retrying")
		p.sleep(retryPause)
	}
}

func (p *ownedPool) recorded(e *pool.Record, version cluster.Version) {
	p.sequence = version
	p.send(&pool.Recorded{Generation: e.Generation})
}

func (p *ownedPool) recordTxn(e *pool.Record) (platform.Txn, error) {
	sequence, err := encode("record", &sequenceRow{Epoch: uint64(p.epoch), Generation: e.Generation})
	if err != nil {
		return platform.Txn{}, err
	}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: ownerKey(p.id), Version: p.version}, {Key: sequenceKey(p.id), Version: p.sequence}},
		Puts:   []platform.Put{{Key: sequenceKey(p.id), Value: sequence}},
	}
	for _, j := range e.Progress {
		txn.Puts = append(txn.Puts, platform.Put{Key: progressKey(p.id, j.ID), Value: j.Data})
	}
	if e.Workers != nil {
		data, err := encodeWorkers(e.Workers)
		if err != nil {
			return platform.Txn{}, err
		}
		txn.Puts = append(txn.Puts, platform.Put{Key: workersKey(p.id), Value: data})
	}
	for _, id := range e.Expired {
		txn.Deletes = append(txn.Deletes, progressKey(p.id, id))
	}
	p.expire(e.Expired)
	return txn, nil
}

// expire removes the rows of jobs that ended long ago; what is left of a failed try is removed by a later owner.
func (p *ownedPool) expire(jobs []cluster.JobName) {
	shards := p.d.shardCount()
	deletes := map[int][]string{}
	for _, id := range jobs {
		deletes[partOf(id)] = append(deletes[partOf(id)], jobKey(shards, id), cancelKey(shards, id))
	}
	for _, keys := range deletes {
		p.work.Go(func() {
			if _, err := p.d.store.Commit(p.ctx, platform.Txn{Deletes: keys}); err != nil {
				p.d.cfg.Log.Info().Err(err).Int("rows", len(keys)).Msg("cell: rows of ended jobs are left")
			}
		})
	}
}

// readRecord reads whether a record is in the store. It gives the pool up if
// another daemon owns it; ok is false if the store did not answer.
func (p *ownedPool) readRecord(generation uint64) (version cluster.Version, applied, ok bool) {
	reply, err := p.d.store.Read(p.ctx, platform.ReadRequest{Keys: []string{ownerKey(p.id), sequenceKey(p.id)}})
	if err != nil {
		return 0, false, false
	}
	for _, r := range reply.Rows {
		switch r.Key {
		case ownerKey(p.id):
			if r.Version != p.version {
				p.lose("the row of the owner has changed")
				return 0, false, true
			}
		case sequenceKey(p.id):
			row, err := decode[sequenceRow]("read record", r.Value)
			if err != nil {
				p.d.cfg.Log.Error().Err(err).Msg("cell: sequence row can't be read")
				return 0, false, false
			}
			if row.Epoch == uint64(p.epoch) && row.Generation == generation {
				return r.Version, true, true
			}
		}
	}
	return 0, false, true
}
