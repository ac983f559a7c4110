package cell

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// Rows of a cell. A key is table/part/name; the rows of one transaction share a part.
//
//	cell//division               the number of shards of every pool
//	cell/<part>/member.<VM>      a daemon that runs
//	cell/<shard>/owner           the owner and the epoch of a shard
//	progress/<shard>/sequence    the last record of the owner
//	progress/<shard>/workers     the workers that owners may have given orders to
//	progress/<shard>/job.<id>    the progress of a job
//	shares/<service>/split       how the shards split the limits of the teams
//	jobs/<part>/<id>             an accepted job of the first shard
//	jobs-<index>/<part>/<id>     an accepted job of another shard
//	jobs/<part>/<id>.cancel      a cancellation
const (
	cellTable      = "cell/"
	divisionKey    = "cell//division"
	jobsPrefix     = "jobs"
	memberPrefix   = "member."
	cancelSuffix   = ".cancel"
	progressPrefix = "job."
	// memberParts spreads the rows of daemons that start at the same moment.
	memberParts = 8
	// jobParts spreads the submissions over parts of the store. A part takes 200
	// transactions a second one after another, and 3 while the store is slow.
	jobParts = 64
)

func memberKey(vm string) string {
	return cellTable + "members-" + strconv.Itoa(int(xxhash.Sum64String(vm)%memberParts)) + "/" + memberPrefix + vm
}
func ownerKey(id shardID) string { return cellTable + id.String() + "/owner" }

func progressTable(id shardID) string { return "progress/" + id.String() + "/" }
func sequenceKey(id shardID) string   { return progressTable(id) + "sequence" }
func workersKey(id shardID) string    { return progressTable(id) + "workers" }
func progressKey(id shardID, job cluster.JobName) string {
	return progressTable(id) + progressPrefix + string(job)
}

func splitKey(service cluster.ServiceName) string { return "shares/" + string(service) + "/split" }

// jobsTable returns the table of a shard's jobs, which the feed of its owner reads.
func jobsTable(shard int) string {
	if shard == 0 {
		return jobsPrefix + "/"
	}
	return jobsPrefix + "-" + strconv.Itoa(shard) + "/"
}

func jobPart(shard, part int) string { return jobsTable(shard) + strconv.Itoa(part) + "/" }
func partOf(id cluster.JobName) int  { return int(xxhash.Sum64String(string(id)) % jobParts) }
func jobKey(shards int, id cluster.JobName) string {
	return jobPart(jobShard(id, shards), partOf(id)) + string(id)
}
func cancelKey(shards int, id cluster.JobName) string { return jobKey(shards, id) + cancelSuffix }

// lastPart returns what stands behind the last slash of a key.
func lastPart(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// memberRow is the row of a daemon.
type memberRow struct {
	ID     string
	Addr   string
	Region string
	Zone   string
	// Cores is the processor share of the VM.
	Cores float64
}

// ownerRow is the row of a pool's owner; an empty Owner has released the pool.
type ownerRow struct {
	Owner string
	Epoch uint64
}

// sequenceRow is the row that numbers the records of an owner.
type sequenceRow struct {
	Epoch      uint64
	Generation uint64
}

type workersRow struct {
	Workers []string
	// Lapses holds the end of the leases of each worker in Unix milliseconds; 0 if it answers.
	Lapses []int64
}

func encode(op string, row any) ([]byte, error) {
	data, err := msgpack.Marshal(row)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return data, nil
}

func decode[T any](op string, data []byte) (T, error) {
	var row T
	if err := msgpack.Unmarshal(data, &row); err != nil {
		return row, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return row, nil
}

func (r *memberRow) addr() (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(r.Addr)
	if err != nil {
		return addr, &Error{Op: "read member", Kind: KindMalformed, Err: fmt.Errorf("address %q: %w", r.Addr, err)}
	}
	return addr, nil
}

func encodeWorkers(list []pool.RecordedWorker) ([]byte, error) {
	var row workersRow
	for _, w := range list {
		row.Workers = append(row.Workers, string(w.ID))
		lapse := int64(0)
		if !w.Lapse.IsZero() {
			lapse = w.Lapse.UnixMilli()
		}
		row.Lapses = append(row.Lapses, lapse)
	}
	return encode("encode workers", &row)
}

func decodeWorkers(data []byte) ([]pool.RecordedWorker, error) {
	row, err := decode[workersRow]("read workers", data)
	if err != nil {
		return nil, err
	}
	var list []pool.RecordedWorker
	for i, id := range row.Workers {
		w := pool.RecordedWorker{ID: cluster.WorkerID(id)}
		if i < len(row.Lapses) && row.Lapses[i] != 0 {
			w.Lapse = time.UnixMilli(row.Lapses[i])
		}
		list = append(list, w)
	}
	return list, nil
}
