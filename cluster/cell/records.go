package cell

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// recordState is where the records of an owner go.
type recordState struct {
	// part takes the records until it fails.
	part int
	// sequences holds the version of the row that numbers the records of each part.
	sequences [recordParts]cluster.Version
}

// records is what the parts of a shard hold together.
type records struct {
	progress map[cluster.JobName]*workload.Progress
	workers  workersRow
}

// loadRecords reads the parts of the shard's records. It numbers each anew before
// it reads it, so that a record of an earlier owner that is carried out meanwhile
// or later fails.
func (p *ownedPool) loadRecords() (records, error) {
	var rows [recordParts][]platform.Row
	var errs [recordParts]error
	reads := conc.NewWaitGroup()
	for part := range recordParts {
		reads.Go(func() { rows[part], errs[part] = p.sealPart(part) })
	}
	reads.Wait()
	got := records{progress: map[cluster.JobName]*workload.Progress{}}
	if err := errors.Join(errs[:]...); err != nil {
		return got, err
	}
	for part := range recordParts {
		for _, r := range rows[part] {
			err := got.add(r)
			if err != nil && r.Key == workersKey(p.id, part) {
				return got, err
			}
			if err != nil {
				p.d.cfg.Log.Error().Err(err).Str("row", r.Key).Msg("cell: row is left out")
			}
		}
	}
	return got, nil
}

// sealPart writes the epoch of this owner into the row that numbers the records
// of a part, and reads the part. The pages of the read are of several moments,
// between which an earlier owner must not write.
func (p *ownedPool) sealPart(part int) ([]platform.Row, error) {
	key := sequenceKey(p.id, part)
	reply, err := p.d.store.Read(p.ctx, platform.ReadRequest{Keys: []string{key}})
	if err != nil {
		return nil, err
	}
	check := platform.Check{Key: key}
	for _, r := range reply.Rows {
		check.Version = r.Version
	}
	data, err := encode("seal", &sequenceRow{Epoch: uint64(p.epoch)})
	if err != nil {
		return nil, err
	}
	p.records.sequences[part], err = p.d.store.Commit(p.ctx, platform.Txn{
		Checks: []platform.Check{check}, Puts: []platform.Put{{Key: key, Value: data}},
	})
	if err != nil {
		return nil, err
	}
	reply, err = p.d.store.Read(p.ctx, platform.ReadRequest{Prefixes: []string{progressPart(p.id, part)}})
	return reply.Rows, err
}

// add takes a row of a part over.
func (r *records) add(row platform.Row) error {
	if lastPart(row.Key) == workersName {
		workers, err := decode[workersRow]("read workers", row.Value)
		if err == nil && workers.newer(&r.workers) {
			r.workers = workers
		}
		return err
	}
	name, ok := strings.CutPrefix(lastPart(row.Key), progressPrefix)
	if !ok {
		return nil
	}
	id := cluster.JobName(name)
	progress, err := workload.DecodeProgress(row.Value)
	if err != nil {
		return err
	}
	if known := r.progress[id]; known != nil {
		known.Merge(progress)
	} else {
		r.progress[id] = progress
	}
	return nil
}

// record writes what the scheduler records, and repeats it until it is known to
// be in the store. One record is in flight at a time. A part that fails is left
// for the other one; a record that both have is read as one.
func (p *ownedPool) record(e *pool.WriteRecord) {
	timeout := recordTimeout
	for tries := 1; p.ctx.Err() == nil; tries++ {
		err := p.recordIn(p.records.part, e, timeout)
		if err == nil {
			p.send(&pool.RecordWritten{Generation: e.Generation})
			p.expire(e.Expired)
			return
		}
		if p.ctx.Err() != nil {
			return
		}
		p.d.cfg.Log.Warn().Err(err).Stringer("shard", p.id).Int("part", p.records.part).Uint64("generation", e.Generation).
			Msg("cell: record not written; trying the other part")
		p.records.part = (p.records.part + 1) % recordParts
		if tries%recordParts == 0 {
			// Both parts fail or the store is slow.
			timeout = storeTimeout
			p.sleep(retryPause)
		}
	}
}

// recordIn writes a record to a part. The version of the sequence row keeps a
// record that is carried out late from undoing a newer one.
func (p *ownedPool) recordIn(part int, e *pool.WriteRecord, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	for {
		txn, err := p.recordTxn(part, e)
		if err != nil {
			return err
		}
		version, err := p.d.store.Commit(ctx, txn)
		if err == nil {
			p.records.sequences[part] = version
			return nil
		}
		if !platform.IsKind(err, platform.KindConflict) {
			return err
		}
		applied, err := p.readSequence(ctx, part, e.Generation)
		if applied || err != nil {
			return err
		}
	}
}

// readSequence reads the number of the last record of a part and returns whether
// it is that of a generation. It gives the pool up if a later owner has numbered the part anew.
func (p *ownedPool) readSequence(ctx context.Context, part int, generation uint64) (bool, error) {
	key := sequenceKey(p.id, part)
	reply, err := p.d.store.Read(ctx, platform.ReadRequest{Keys: []string{key}})
	if err != nil {
		return false, err
	}
	var row sequenceRow
	if len(reply.Rows) > 0 {
		if row, err = decode[sequenceRow]("read record", reply.Rows[0].Value); err != nil {
			return false, err
		}
	}
	if row.Epoch != uint64(p.epoch) {
		p.lose("the records have another owner")
		return false, &Error{Op: "record", Kind: KindUnavailable, Err: errNotOwner}
	}
	p.records.sequences[part] = reply.Rows[0].Version
	return row.Generation == generation, nil
}

func (p *ownedPool) recordTxn(part int, e *pool.WriteRecord) (platform.Txn, error) {
	key := sequenceKey(p.id, part)
	sequence, err := encode("record", &sequenceRow{Epoch: uint64(p.epoch), Generation: e.Generation})
	if err != nil {
		return platform.Txn{}, err
	}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: key, Version: p.records.sequences[part]}},
		Puts:   []platform.Put{{Key: key, Value: sequence}},
	}
	for _, j := range e.Progress {
		txn.Puts = append(txn.Puts, platform.Put{Key: progressKey(p.id, part, j.ID), Value: j.Data})
	}
	if e.Workers != nil {
		data, err := encodeWorkers(p.epoch, e.Generation, e.Workers)
		if err != nil {
			return platform.Txn{}, err
		}
		txn.Puts = append(txn.Puts, platform.Put{Key: workersKey(p.id, part), Value: data})
	}
	return txn, nil
}

// expire removes the rows of jobs that ended long ago; what is left of a failed try stays.
func (p *ownedPool) expire(jobs []cluster.JobName) {
	shards := p.d.shardCount()
	deletes := map[string][]string{}
	for _, id := range jobs {
		for _, key := range jobKeys(shards, id) {
			part := key[:len(key)-len(lastPart(key))]
			deletes[part] = append(deletes[part], key, key+cancelSuffix)
		}
		for part := range recordParts {
			deletes[progressPart(p.id, part)] = append(deletes[progressPart(p.id, part)], progressKey(p.id, part, id))
		}
	}
	for _, keys := range deletes {
		p.work.Go(func() {
			if _, err := p.d.store.Commit(p.ctx, platform.Txn{Deletes: keys}); err != nil {
				p.d.cfg.Log.Info().Err(err).Int("rows", len(keys)).Msg("cell: rows of ended jobs are left")
			}
		})
	}
}
