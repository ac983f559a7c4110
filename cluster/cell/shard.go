package cell

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// DefaultShardWorkers is the number of workers that a shard has at most when
	// the cell is divided. One daemon carries 1,000 workers
	// (docs/measurements-platform.md).
	DefaultShardWorkers = 1200
	// maxShards bounds the shards of a pool, as each has a table for its jobs and a store has 100 tables.
	maxShards = 64
	// shardRacks is the number of racks for each shard below which racks are divided, so that no shard has far fewer workers.
	shardRacks = 8
	// divideStagger is the delay between two daemons that may divide the cell, and
	// divideDistance what their distance from the store counts beside that of a
	// claim: each of them reads the whole list of workers.
	divideStagger  = 250 * time.Millisecond
	divideDistance = 4
)

// shardID identifies a shard of the pool of a service. Each shard has workers,
// jobs and an owner of its own.
type shardID struct {
	Service cluster.ServiceName
	Index   int
}

// shardSeparator stands between service and index in the name of every shard but the first.
const shardSeparator = "#"

// String returns the name of the shard in keys. The first has the name of its
// service, unless that could be taken for the name of another shard.
func (s shardID) String() string {
	if s.Index == 0 && !strings.Contains(string(s.Service), shardSeparator) {
		return string(s.Service)
	}
	return string(s.Service) + shardSeparator + strconv.Itoa(s.Index)
}

func parseShard(name string) shardID {
	if i := strings.LastIndex(name, shardSeparator); i >= 0 {
		if index, err := strconv.Atoi(name[i+1:]); err == nil {
			return shardID{Service: cluster.ServiceName(name[:i]), Index: index}
		}
	}
	return shardID{Service: cluster.ServiceName(name)}
}

// divisionRow says how every pool of the cell is divided. It is written once.
type divisionRow struct {
	Shards int `msgpack:"Shards"`
	// SplitRacks says that workers of one rack may be in different shards, as
	// there are too few racks to divide.
	SplitRacks bool `msgpack:"SplitRacks"`
}

// shardCount returns the number of shards of every pool, and 0 while it is not known.
func (d *Daemon) shardCount() int {
	if row := d.division.Load(); row != nil {
		return row.Shards
	}
	return 0
}

// shardOf returns the shard of a job.
func (d *Daemon) shardOf(service cluster.ServiceName, id cluster.JobName) shardID {
	return shardID{Service: service, Index: jobShard(id, d.shardCount())}
}

// jobShard returns the index of a job's shard. The hash also gives the part of
// the store, from its lower bits.
func jobShard(id cluster.JobName, shards int) int {
	return int(xxhash.Sum64String(string(id)) / jobParts % uint64(max(shards, 1)))
}

// workerShard returns the index of a worker's shard. Numbered racks go round the
// shards, so that these are of equal size.
func (r *divisionRow) workerShard(vm platform.WorkerVM) int {
	name := vm.Rack()
	if r.SplitRacks || name == "" {
		name = string(vm.ID)
	}
	prefix := strings.TrimRight(name, "0123456789")
	number, err := strconv.ParseUint(name[len(prefix):], 10, 32)
	if err != nil {
		number = 0
	}
	return int((xxhash.Sum64String(prefix) + number) % uint64(r.Shards))
}

// workersOf returns the workers of a shard.
func (r *divisionRow) workersOf(list []platform.WorkerVM, id shardID) []platform.WorkerVM {
	var own []platform.WorkerVM
	for _, vm := range list {
		if vm.Service == id.Service && r.workerShard(vm) == id.Index {
			own = append(own, vm)
		}
	}
	return own
}

// divisionFor returns the division for the largest pool of a list.
func divisionFor(list []platform.WorkerVM, shardWorkers int) divisionRow {
	sizes := map[cluster.ServiceName]int{}
	racks := map[string]bool{}
	largest := 0
	for _, vm := range list {
		sizes[vm.Service]++
		racks[vm.Rack()] = true
		largest = max(largest, sizes[vm.Service])
	}
	shards := min(max(1, (largest+shardWorkers-1)/shardWorkers), maxShards)
	return divisionRow{Shards: shards, SplitRacks: len(racks) < shardRacks*shards}
}

// divide writes the division of the cell once the list of workers stays the same
// between two calls.
func (d *Daemon) divide() {
	if !d.divideTurn() {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	list, err := d.cfg.Lister.ListWorkers(ctx)
	if err != nil {
		d.cfg.Log.Info().Err(err).Msg("cell: workers not listed; the cell is not divided yet")
		return
	}
	if len(list) == 0 || len(list) != d.lastWorkers {
		d.lastWorkers = len(list)
		return
	}
	row := divisionFor(list, d.cfg.ShardWorkers)
	data, err := encode("divide", &row)
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: division can't be written")
		return
	}
	_, err = d.store.Commit(ctx, platform.Txn{Checks: []platform.Check{{Key: divisionKey}}, Puts: []platform.Put{{Key: divisionKey, Value: data}}})
	if err != nil {
		// Another daemon was first or the answer was lost; the feed brings the row.
		d.cfg.Log.Info().Err(err).Int("shards", row.Shards).Msg("cell: division not written")
		return
	}
	d.setDivision(row)
}

// divideTurn reports whether this daemon should divide the cell now: the daemons
// near the store and with the most processor go first, one after the other.
func (d *Daemon) divideTurn() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := slices.SortedFunc(maps.Values(d.members), compareMembers)
	if len(members) == 0 || !d.carries() {
		return false
	}
	if d.undivided.IsZero() {
		d.undivided = time.Now()
	}
	rank := slices.IndexFunc(members, func(m memberRow) bool { return m.ID == string(d.cfg.Self) })
	return time.Since(d.undivided) >= divideDistance*d.claimDelay()+time.Duration(max(rank, 0))*divideStagger
}

func (d *Daemon) setDivision(row divisionRow) {
	if row.Shards < 1 || row.Shards > maxShards {
		d.cfg.Log.Error().Err(&Error{Op: "read division", Kind: KindMalformed, Err: fmt.Errorf("%d shards", row.Shards)}).Msg("cell: row is left out")
		return
	}
	if d.division.CompareAndSwap(nil, &row) {
		d.cfg.Log.Info().Int("shards", row.Shards).Bool("splitRacks", row.SplitRacks).Msg("cell: division of the pools known")
	}
}

// advisors returns the daemons that ask for advice for a shard: each reachable
// one serves a single shard of a service, and this daemon its own.
func (d *Daemon) advisors(id shardID) []cluster.DaemonID {
	all := d.reachable()
	shards := d.shardCount()
	return slices.DeleteFunc(all, func(other cluster.DaemonID) bool {
		return other != d.cfg.Self && int(spread(string(other))%uint64(max(shards, 1))) != id.Index
	})
}
