package cell

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// loadRequest requests the rows of a part of a shard's jobs, which an owner loads. Rows of ended jobs come without the
// jobs' specifications, which are most of what a shard would load.
type loadRequest struct {
	Shard int `msgpack:"Shard"`
	Part  int `msgpack:"Part"`
	// Ended holds the hashes of the identifiers of the jobs that have ended, in ascending order.
	Ended []uint64 `msgpack:"Ended"`
}

// loadedPart is a part of the reply to a loadRequest.
type loadedPart struct {
	// Rows is an encoded readReply.
	Rows packedMessage `msgpack:"Rows"`
}

// endedJobs returns the hashes of the jobs of a part that have ended according to the records.
func (r *loadedRecords) endedJobs(part int) []uint64 {
	var list []uint64
	for id, progress := range r.progress {
		if p := jobPart(id); progress.State.Final() && (p == part || alternatePart(p) == part) {
			list = append(list, xxhash.Sum64String(string(id)))
		}
	}
	slices.Sort(list)
	return list
}

// loadJobPart reads a part of the shard's jobs after the records. An owner whose link or processor is too small for its
// pool has other daemons read the parts.
func (o *ownedShard) loadJobPart(part int, records *loadedRecords) (platform.ReadReply, error) {
	if reader, ok := o.d.forwarding.reader(int(o.workerCount.Load())); ok {
		reply, err := o.requestJobPart(reader, loadRequest{Shard: o.id.Index, Part: part, Ended: records.endedJobs(part)})
		if err == nil {
			return reply, nil
		}
		o.d.cfg.Log.Debug().Err(err).Str("peer", string(reader)).Int("part", part).Msg("cell: jobs could not be read through another daemon")
	}
	return o.readJobPart(part)
}

// readJobs reads all parts of the jobs. It keeps nothing of a read that fails: while the shard runs, its owner deletes
// the rows of ended jobs and forgets them, and would run a job again whose row was read before.
func (o *ownedShard) readJobs() (platform.ReadReply, error) {
	parts, err := newPartReads(jobParts, o.readJobPart).readMissing()
	if err != nil {
		return platform.ReadReply{}, err
	}
	return mergeReplies(parts), nil
}

func (o *ownedShard) requestJobPart(reader cluster.DaemonID, r loadRequest) (platform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout+storeTimeout)
	defer cancel()
	var parts readCollector
	err := callForParts(ctx, o.d, reader, methodLoadJobs, &r, maxReplyParts, func(m loadedPart) (bool, error) {
		part, err := unpackBatch[readReply]("read jobs", m.Rows)
		if err != nil {
			return false, err
		}
		return parts.add(part)
	})
	if err != nil {
		return platform.ReadReply{}, err
	}
	return platform.ReadReply{Rows: parts.reply.Rows, AsOf: cluster.Version(parts.reply.AsOf)}, nil
}

// serveLoad reads a part of a shard's jobs for its owner.
func (d *Daemon) serveLoad(ctx context.Context, r loadRequest) ([]loadedPart, error) {
	const op = "load jobs"
	if r.Part < 0 || r.Part >= jobParts || r.Shard < 0 || r.Shard >= maxShards {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: errors.New("no such part")}
	}
	if !d.store.reachable() {
		return nil, &Error{Op: op, Kind: KindUnavailable, Err: errors.New("the store does not answer here")}
	}
	stored, err := d.store.Read(ctx, platform.ReadRequest{Prefixes: []string{jobPartPrefix(r.Shard, r.Part)}})
	if err != nil {
		return nil, err
	}
	for i := range stored.Rows {
		if _, ended := slices.BinarySearch(r.Ended, xxhash.Sum64String(rowName(stored.Rows[i].Key))); ended {
			stored.Rows[i].Value = withoutSpec(stored.Rows[i])
		}
	}
	reply := readReply{Rows: stored.Rows, AsOf: uint64(stored.AsOf)}
	var parts []loadedPart
	for _, part := range reply.split(maxReplyParts) {
		packed, err := packBatch(op, &part)
		if err != nil {
			return nil, err
		}
		parts = append(parts, loadedPart{Rows: packed})
	}
	return parts, nil
}

// withoutSpec returns the value of a job's row without the job's specification, and any other value unchanged.
func withoutSpec(row platform.Row) []byte {
	name := rowName(row.Key)
	if strings.HasSuffix(name, cancelSuffix) {
		return row.Value
	}
	job, err := workload.DecodeJob(cluster.JobName(name), row.Value)
	if err != nil {
		return row.Value
	}
	job.Spec = ""
	data, err := workload.EncodeJob(job)
	if err != nil {
		return row.Value
	}
	return data
}
