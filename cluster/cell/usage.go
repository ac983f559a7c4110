package cell

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/fairshare"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

const (
	// usageReadInterval is the time between two reads of the past use in the other shards, which they write every 15 s.
	usageReadInterval = 30 * time.Second
	// usageRetryDelay is the delay after a read or a write of the past use that failed. It is longer than that of other
	// calls, as nothing waits for it.
	usageRetryDelay = 2 * time.Second
	usagePrefix     = "use-"
)

// usagePartPrefix returns the key prefix of the part that holds the past use of the shards of a service, beside the row
// of sharesKey. The store reads whole parts, so the rows are told apart by their names.
func usagePartPrefix(service cluster.ServiceName) string { return "shares/" + string(service) + "/" }

func usageKey(id shardID) string {
	return usagePartPrefix(id.Service) + usagePrefix + strconv.Itoa(id.Index)
}

// usageRow is the past use of the teams in a shard.
type usageRow struct {
	// Epoch is that of the owner that wrote the row.
	Epoch uint64 `msgpack:"epoch"`
	// AtMS is the time of day for which the use holds, in Unix milliseconds.
	AtMS int64 `msgpack:"at"`
	// Usage holds for each team its dominant share of the capacity of the shard, integrated over time in seconds, decayed.
	Usage map[string]float64 `msgpack:"usage"`
}

func encodeUsage(epoch cluster.Epoch, s fairshare.Snapshot) ([]byte, error) {
	row := usageRow{Epoch: uint64(epoch), AtMS: s.At.UnixMilli(), Usage: make(map[string]float64, len(s.Usage))}
	for team, usage := range s.Usage {
		row.Usage[string(team)] = usage
	}
	return encode("write usage", &row)
}

func decodeUsage(data []byte) (uint64, fairshare.Snapshot, error) {
	row, err := decode[usageRow]("read usage", data)
	if err != nil {
		return 0, fairshare.Snapshot{}, err
	}
	s := fairshare.Snapshot{At: time.UnixMilli(row.AtMS), Usage: make(fairshare.Usage, len(row.Usage))}
	for team, usage := range row.Usage {
		if usage < 0 || math.IsNaN(usage) || math.IsInf(usage, 0) {
			return 0, fairshare.Snapshot{}, &Error{Op: "read usage", Kind: KindMalformed, Err: fmt.Errorf("the usage of team %q is %v", team, usage)}
		}
		s.Usage[cluster.TeamName(team)] = usage
	}
	return row.Epoch, s, nil
}

// usageKeeper stores the past use of the teams in a shard and reads that in the other shards. The control loop only calls
// write; all else is done by the goroutine of run, for which neither the load of the shard nor the control loop wait.
type usageKeeper struct {
	o *ownedShard
	// writes passes the use to be stored; a newer one replaces one that has not been taken yet.
	writes chan fairshare.Snapshot
	// version is that of the row of this shard.
	version cluster.Version
	// superseded means that a later owner has written the row, which this one then leaves as it is.
	superseded bool
	// readFailed means that the last read failed, which was logged.
	readFailed bool
	// reported holds the versions of the rows that were logged as unreadable.
	reported map[string]cluster.Version
}

func newUsageKeeper(o *ownedShard) *usageKeeper {
	return &usageKeeper{o: o, writes: make(chan fairshare.Snapshot, 1), reported: map[string]cluster.Version{}}
}

// write passes the use to be stored without waiting. It is called by the control loop only.
func (k *usageKeeper) write(s fairshare.Snapshot) {
	select {
	case <-k.writes:
	default:
	}
	k.writes <- s
}

// run reads the use under the previous owners, and then stores that of this owner and reads that of the other shards
// until the ownership ends.
func (k *usageKeeper) run() {
	for !k.read() {
		k.o.sleep(usageRetryDelay)
		if k.o.ctx.Err() != nil {
			return
		}
	}
	ticker := time.NewTicker(usageReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-k.o.ctx.Done():
			return
		case s := <-k.writes:
			k.store(s)
		case <-ticker.C:
			if k.o.d.shardCount() > 1 {
				k.read()
			}
		}
	}
}

// read reads the use in all shards and passes it to the scheduler. It returns false if the store doesn't answer.
func (k *usageKeeper) read() bool {
	reply, err := k.o.d.store.Read(k.o.ctx, platform.ReadRequest{Prefixes: []string{usagePartPrefix(k.o.id.Service)}})
	if err != nil {
		if !k.readFailed && k.o.ctx.Err() == nil {
			k.readFailed = true
			k.o.d.cfg.Log.Warn().Err(err).Stringer("shard", k.o.id).Msg("cell: past use of the teams not read; reading it later")
		}
		return false
	}
	k.readFailed = false
	event := &pool.UsageRead{}
	k.version = 0
	for _, r := range reply.Rows {
		index, ok := strings.CutPrefix(rowName(r.Key), usagePrefix)
		if !ok {
			continue
		}
		own := r.Key == usageKey(k.o.id)
		if own {
			k.version = r.Version
		}
		epoch, snapshot, err := decodeUsage(r.Value)
		if err != nil {
			k.reportUnreadable(r, err)
			continue
		}
		if n, err := strconv.Atoi(index); !own && (err != nil || n < 0 || n >= k.o.d.shardCount()) {
			continue
		}
		if own {
			event.Own = snapshot
			k.superseded = k.superseded || epoch > uint64(k.o.epoch)
		} else {
			event.Others = append(event.Others, snapshot)
		}
	}
	k.o.sendEvent(event)
	return true
}

// reportUnreadable logs and counts a row that can't be read, once for each version of it. It counts as absent.
func (k *usageKeeper) reportUnreadable(r platform.Row, err error) {
	if k.reported[r.Key] == r.Version {
		return
	}
	k.reported[r.Key] = r.Version
	k.o.d.cfg.Metrics.Counter("unreadable_usage_rows_total").Inc(1)
	k.o.d.cfg.Log.Error().Err(err).Str("row", r.Key).Msg("cell: row is left out")
}

// store writes the row of this shard and retries until it is in the store, a newer one is to be written or the ownership
// ends. The check of the version prevents a previous owner from replacing it.
func (k *usageKeeper) store(s fairshare.Snapshot) {
	data, err := encodeUsage(k.o.epoch, s)
	if err != nil {
		k.o.d.cfg.Log.Error().Err(err).Stringer("shard", k.o.id).Msg("cell: past use of the teams can't be encoded")
		return
	}
	key := usageKey(k.o.id)
	for reported := false; k.o.ctx.Err() == nil && !k.superseded && len(k.writes) == 0; {
		version, err := k.o.d.store.Commit(k.o.ctx, platform.Txn{
			Checks: []platform.Check{{Key: key, Version: k.version}}, Puts: []platform.Put{{Key: key, Value: data}},
		})
		if err == nil {
			k.version = version
			return
		}
		if !reported && k.o.ctx.Err() == nil {
			reported = true
			k.o.d.cfg.Log.Info().Err(err).Stringer("shard", k.o.id).Msg("cell: past use of the teams not written; reading the row again")
		}
		conflict := platform.IsKind(err, platform.KindConflict)
		written, err := k.readVersion(s)
		if written {
			return
		}
		// After a conflict, the write is repeated at once with the version that was read.
		if err != nil || !conflict {
			k.o.sleep(usageRetryDelay)
		}
	}
}

// readVersion reads the version of the row of this shard after a write failed. It returns whether the row holds the given
// use.
func (k *usageKeeper) readVersion(s fairshare.Snapshot) (written bool, err error) {
	reply, err := k.o.d.store.Read(k.o.ctx, platform.ReadRequest{Keys: []string{usageKey(k.o.id)}})
	if err != nil {
		return false, err
	}
	k.version = 0
	for _, r := range reply.Rows {
		k.version = r.Version
		epoch, stored, err := decodeUsage(r.Value)
		if err != nil {
			k.reportUnreadable(r, err)
			continue
		}
		k.superseded = k.superseded || epoch > uint64(k.o.epoch)
		written = epoch == uint64(k.o.epoch) && stored.At.Equal(s.At.Truncate(time.Millisecond))
	}
	return written, nil
}
