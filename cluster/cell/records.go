package cell

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// recordWriteState is the state that the records of a shard are written with.
type recordWriteState struct {
	// part is the part that records are written to until it fails.
	part int
	// sequences holds the version of the sequence row of each part.
	sequences [recordParts]cluster.Version
}

// loadedRecords holds the merged records of all parts of a shard.
type loadedRecords struct {
	progress map[cluster.JobName]*workload.Progress
	workers  workersRow
}

// loadRecords reads all parts of the shard's records. It fences each part before it reads it, so that a record
// of a previous owner that is committed during the read or later fails. If a part can't be read, the next call reads
// only the missing ones: only a later owner writes records to a fenced part, and then the first record of this owner
// fails.
func (o *ownedShard) loadRecords() (loadedRecords, error) {
	loaded := loadedRecords{progress: map[cluster.JobName]*workload.Progress{}}
	rows, err := o.recordReads.readMissing()
	if err != nil {
		return loaded, err
	}
	for part := range recordParts {
		for _, r := range rows[part] {
			err := loaded.addRow(r)
			if err != nil && r.Key == workersKey(o.id, part) {
				return loaded, err
			}
			if err != nil {
				o.d.cfg.Log.Error().Err(err).Str("row", r.Key).Msg("cell: row is left out")
			}
		}
	}
	return loaded, nil
}

// fencePart writes the epoch of this owner into the sequence row of a part and then reads the part. The pages
// of that read have different versions, and a previous owner must not write between them. It ends the ownership if a
// later owner has fenced the part.
func (o *ownedShard) fencePart(part int) ([]platform.Row, error) {
	key := sequenceKey(o.id, part)
	reply, err := o.d.store.Read(o.ctx, platform.ReadRequest{Keys: []string{key}})
	if err != nil {
		return nil, err
	}
	check := platform.Check{Key: key}
	for _, r := range reply.Rows {
		row, err := decode[sequenceRow]("seal", r.Value)
		if err != nil {
			return nil, err
		}
		if row.Epoch > uint64(o.epoch) {
			o.endOwnership("a later owner has fenced the records")
			return nil, &Error{Op: "seal", Kind: KindUnavailable, Err: errNotOwner}
		}
		check.Version = r.Version
	}
	data, err := encode("seal", &sequenceRow{Epoch: uint64(o.epoch)})
	if err != nil {
		return nil, err
	}
	o.records.sequences[part], err = o.d.store.Commit(o.ctx, platform.Txn{
		Checks: []platform.Check{check}, Puts: []platform.Put{{Key: key, Value: data}},
	})
	if err != nil {
		return nil, err
	}
	reply, err = o.d.store.Read(o.ctx, platform.ReadRequest{Prefixes: []string{recordPartPrefix(o.id, part)}})
	return reply.Rows, err
}

// addRow merges a row of a part.
func (r *loadedRecords) addRow(row platform.Row) error {
	if rowName(row.Key) == workersName {
		workers, err := decode[workersRow]("read workers", row.Value)
		if err == nil && workers.newerThan(&r.workers) {
			r.workers = workers
		}
		return err
	}
	name, ok := strings.CutPrefix(rowName(row.Key), progressPrefix)
	if !ok {
		return nil
	}
	id := cluster.JobName(name)
	progress, err := workload.DecodeProgress(row.Value)
	if err != nil {
		return err
	}
	if existing := r.progress[id]; existing != nil {
		existing.Merge(progress)
	} else {
		r.progress[id] = progress
	}
	return nil
}

// writeRecord writes a record of the scheduler and retries until it is known to be in the store. Only one
// record is in flight at a time. If a part fails, the other one is used; records in both parts are merged when
// they are read.
func (o *ownedShard) writeRecord(e *pool.WriteRecord) {
	timeout := recordTimeout
	for attempts := 1; o.ctx.Err() == nil; attempts++ {
		err := o.writeRecordToPart(o.records.part, e, timeout)
		if err == nil {
			o.sendEvent(&pool.RecordWritten{Generation: e.Generation})
			o.deleteExpiredJobs(e.Expired)
			return
		}
		if o.ctx.Err() != nil {
			return
		}
		o.d.cfg.Log.Warn().Err(err).Stringer("shard", o.id).Int("part", o.records.part).Uint64("generation", e.Generation).
			Msg("cell: record not written; trying the other part")
		o.records.part = (o.records.part + 1) % recordParts
		if attempts%recordParts == 0 {
			// Both parts have failed, or the store is slow.
			timeout = storeTimeout
			o.sleep(retryDelay)
		}
	}
}

// writeRecordToPart writes a record to a part. The check of the sequence row's version prevents a record that
// is committed late from overwriting a newer one.
func (o *ownedShard) writeRecordToPart(part int, e *pool.WriteRecord, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	for {
		txn, err := o.recordTxn(part, e)
		if err != nil {
			return err
		}
		version, err := o.d.store.Commit(ctx, txn)
		if err == nil {
			o.records.sequences[part] = version
			return nil
		}
		if !platform.IsKind(err, platform.KindConflict) {
			return err
		}
		alreadyWritten, err := o.readSequence(ctx, part, e.Generation)
		if alreadyWritten || err != nil {
			return err
		}
	}
}

// readSequence reads the sequence row of a part and returns whether the part's last record is that of the given
// generation. It ends the ownership if another owner has fenced the part.
func (o *ownedShard) readSequence(ctx context.Context, part int, generation uint64) (bool, error) {
	key := sequenceKey(o.id, part)
	reply, err := o.d.store.Read(ctx, platform.ReadRequest{Keys: []string{key}})
	if err != nil {
		return false, err
	}
	var row sequenceRow
	if len(reply.Rows) > 0 {
		if row, err = decode[sequenceRow]("read record", reply.Rows[0].Value); err != nil {
			return false, err
		}
	}
	if row.Epoch != uint64(o.epoch) {
		o.endOwnership("another owner has fenced the records")
		return false, &Error{Op: "record", Kind: KindUnavailable, Err: errNotOwner}
	}
	o.records.sequences[part] = reply.Rows[0].Version
	return row.Generation == generation, nil
}

func (o *ownedShard) recordTxn(part int, e *pool.WriteRecord) (platform.Txn, error) {
	key := sequenceKey(o.id, part)
	sequence, err := encode("record", &sequenceRow{Epoch: uint64(o.epoch), Generation: e.Generation})
	if err != nil {
		return platform.Txn{}, err
	}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: key, Version: o.records.sequences[part]}},
		Puts:   []platform.Put{{Key: key, Value: sequence}},
	}
	for _, j := range e.Progress {
		txn.Puts = append(txn.Puts, platform.Put{Key: progressKey(o.id, part, j.ID), Value: j.Data})
	}
	if e.Workers != nil {
		data, err := encodeWorkers(o.epoch, e.Generation, e.Workers)
		if err != nil {
			return platform.Txn{}, err
		}
		txn.Puts = append(txn.Puts, platform.Put{Key: workersKey(o.id, part), Value: data})
	}
	return txn, nil
}

// deleteExpiredJobs deletes the rows of jobs that ended long ago. The progress of a job is deleted last: without it
// an owner that still finds the job would run it again.
func (o *ownedShard) deleteExpiredJobs(jobs []cluster.JobName) {
	if len(jobs) == 0 {
		return
	}
	o.runRequest(func() {
		withoutRows, remaining := o.deleteRows(jobs, func(id cluster.JobName) []string {
			var keys []string
			for _, key := range jobKeys(o.d.shardCount(), id) {
				keys = append(keys, key, key+cancelSuffix)
			}
			return keys
		})
		deleted, withProgress := o.deleteRows(withoutRows, func(id cluster.JobName) []string {
			var keys []string
			for part := range recordParts {
				keys = append(keys, progressKey(o.id, part, id))
			}
			return keys
		})
		o.sendEvent(&pool.JobsDeleted{Deleted: deleted, Remaining: append(remaining, withProgress...)})
	}, &pool.JobsDeleted{Remaining: jobs})
}

// maxDeletes bounds the rows that one transaction deletes; it may have 100 entries.
const maxDeletes = 100

// jobRow is a row of a job.
type jobRow struct {
	job cluster.JobName
	key string
}

// deleteRows deletes the rows of jobs with the given keys, the parts concurrently. It returns the jobs whose rows are
// all deleted and those with rows that may be left.
func (o *ownedShard) deleteRows(jobs []cluster.JobName, keys func(cluster.JobName) []string) (deleted, remaining []cluster.JobName) {
	parts := map[string][]jobRow{}
	for _, id := range jobs {
		for _, key := range keys(id) {
			partPrefix := key[:len(key)-len(rowName(key))]
			parts[partPrefix] = append(parts[partPrefix], jobRow{job: id, key: key})
		}
	}
	var mu sync.Mutex
	failed := map[cluster.JobName]bool{}
	deletions := conc.NewWaitGroup()
	for _, part := range parts {
		for rows := range slices.Chunk(part, maxDeletes) {
			deletions.Go(func() {
				var txn platform.Txn
				for _, r := range rows {
					txn.Deletes = append(txn.Deletes, r.key)
				}
				_, err := o.d.store.Commit(o.ctx, txn)
				if err == nil {
					return
				}
				o.d.cfg.Log.Info().Err(err).Int("rows", len(rows)).Msg("cell: rows of ended jobs not deleted; retrying later")
				mu.Lock()
				defer mu.Unlock()
				for _, r := range rows {
					failed[r.job] = true
				}
			})
		}
	}
	deletions.Wait()
	for _, id := range jobs {
		if failed[id] {
			remaining = append(remaining, id)
		} else {
			deleted = append(deleted, id)
		}
	}
	return deleted, remaining
}
