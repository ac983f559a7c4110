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
	// DefaultShardWorkers is the default for the largest number of workers per shard when the shard layout is
	// created. One daemon can schedule 1,000 workers (docs/measurements-platform.md).
	DefaultShardWorkers = 1200
	// maxShards bounds the shards of a pool, as the jobs of each shard have their own table and a store has 100
	// tables.
	maxShards = 64
	// minRacksPerShard is the number of racks per shard below which the workers of one rack are spread over
	// several shards, because whole racks would make shards of very unequal size.
	minRacksPerShard = 8
	// layoutDelayPerRank is the delay between the attempts of two successive daemons to create the shard layout.
	// The delay of a claim multiplied by layoutDelayFactor is added to it. The delays are longer than those of
	// claims because each attempt reads the whole list of workers.
	layoutDelayPerRank = 250 * time.Millisecond
	layoutDelayFactor  = 4
)

// shardID identifies a shard of the pool of a service. Each shard has its own workers, jobs and owner.
type shardID struct {
	Service cluster.ServiceName
	Index   int
}

// shardSeparator separates the service from the index in the name of a shard.
const shardSeparator = "#"

// String returns the name of the shard in keys. The name of the first shard is that of its service, unless that
// could be parsed as the name of another shard.
func (s shardID) String() string {
	if s.Index == 0 && !strings.Contains(string(s.Service), shardSeparator) {
		return string(s.Service)
	}
	return string(s.Service) + shardSeparator + strconv.Itoa(s.Index)
}

func parseShardID(name string) shardID {
	if i := strings.LastIndex(name, shardSeparator); i >= 0 {
		if index, err := strconv.Atoi(name[i+1:]); err == nil {
			return shardID{Service: cluster.ServiceName(name[:i]), Index: index}
		}
	}
	return shardID{Service: cluster.ServiceName(name)}
}

// layoutRow is the shard layout: how every pool of the cell is divided into shards. It is written once.
type layoutRow struct {
	Shards int `msgpack:"Shards"`
	// SplitRacks means that the workers of one rack may be in different shards, as there are too few racks to
	// assign whole ones.
	SplitRacks bool `msgpack:"SplitRacks"`
}

// shardCount returns the number of shards of every pool, or 0 while the shard layout is not known.
func (d *Daemon) shardCount() int {
	if row := d.layout.Load(); row != nil {
		return row.Shards
	}
	return 0
}

// shardOf returns the shard of a job.
func (d *Daemon) shardOf(service cluster.ServiceName, id cluster.JobName) shardID {
	return shardID{Service: service, Index: jobShard(id, d.shardCount())}
}

// jobShard returns the index of a job's shard. The lower bits of the same hash select the part of the store.
func jobShard(id cluster.JobName, shards int) int {
	return int(xxhash.Sum64String(string(id)) / jobParts % uint64(max(shards, 1)))
}

// workerShard returns the index of a worker's shard. Racks that are numbered consecutively are assigned to the
// shards in turn, so that the shards are of equal size.
func (r *layoutRow) workerShard(vm platform.WorkerVM) int {
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
func (r *layoutRow) workersOf(list []platform.WorkerVM, id shardID) []platform.WorkerVM {
	var own []platform.WorkerVM
	for _, vm := range list {
		if vm.Service == id.Service && r.workerShard(vm) == id.Index {
			own = append(own, vm)
		}
	}
	return own
}

// newLayout returns the shard layout for the largest pool in a list of workers.
func newLayout(list []platform.WorkerVM, shardWorkers int) layoutRow {
	sizes := map[cluster.ServiceName]int{}
	racks := map[string]bool{}
	largest := 0
	for _, vm := range list {
		sizes[vm.Service]++
		racks[vm.Rack()] = true
		largest = max(largest, sizes[vm.Service])
	}
	shards := min(max(1, (largest+shardWorkers-1)/shardWorkers), maxShards)
	return layoutRow{Shards: shards, SplitRacks: len(racks) < minRacksPerShard*shards}
}

// createLayout writes the shard layout of the cell once two successive calls have found the same number of
// workers.
func (d *Daemon) createLayout() {
	if !d.shouldCreateLayout() {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	list, err := d.cfg.Lister.ListWorkers(ctx)
	if err != nil {
		d.cfg.Log.Info().Err(err).Msg("cell: workers could not be listed; shard layout not created")
		return
	}
	if len(list) == 0 || len(list) != d.lastWorkerCount {
		d.lastWorkerCount = len(list)
		return
	}
	row := newLayout(list, d.cfg.ShardWorkers)
	data, err := encode("divide", &row)
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: shard layout can't be encoded")
		return
	}
	_, err = d.store.Commit(ctx, platform.Txn{Checks: []platform.Check{{Key: layoutKey}}, Puts: []platform.Put{{Key: layoutKey, Value: data}}})
	if err != nil {
		// Another daemon was first or the reply was lost; the change feed delivers the row.
		d.cfg.Log.Info().Err(err).Int("shards", row.Shards).Msg("cell: shard layout not written")
		return
	}
	d.setLayout(row)
}

// shouldCreateLayout reports whether this daemon should create the shard layout now. Daemons with a short store
// latency and many cores try first, one after another.
func (d *Daemon) shouldCreateLayout() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := slices.SortedFunc(maps.Values(d.members), compareMembers)
	if len(members) == 0 || !d.mayClaim() {
		return false
	}
	if d.layoutMissingSince.IsZero() {
		d.layoutMissingSince = time.Now()
	}
	rank := slices.IndexFunc(members, func(m memberRow) bool { return m.ID == string(d.cfg.Self) })
	return time.Since(d.layoutMissingSince) >= layoutDelayFactor*d.claimDelay()+time.Duration(max(rank, 0))*layoutDelayPerRank
}

func (d *Daemon) setLayout(row layoutRow) {
	if row.Shards < 1 || row.Shards > maxShards {
		d.cfg.Log.Error().Err(&Error{Op: "read shard layout", Kind: KindMalformed, Err: fmt.Errorf("%d shards", row.Shards)}).Msg("cell: row is left out")
		return
	}
	if d.layout.CompareAndSwap(nil, &row) {
		d.cfg.Log.Info().Int("shards", row.Shards).Bool("splitRacks", row.SplitRacks).Msg("cell: shard layout known")
	}
}

// advisors returns the daemons that send advice requests for a shard. Each other reachable daemon serves one
// shard of a service, and this daemon serves the shards that it owns.
func (d *Daemon) advisors(id shardID) []cluster.DaemonID {
	all := d.reachableDaemons()
	shards := d.shardCount()
	return slices.DeleteFunc(all, func(other cluster.DaemonID) bool {
		return other != d.cfg.Self && int(vmHash(string(other))%uint64(max(shards, 1))) != id.Index
	})
}
