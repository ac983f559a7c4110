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
//	cell/<part>/member.<VM>      a daemon that runs, of a candidate
//	members/<part>/member.<VM>   another daemon that runs
//	cell/<shard>/owner           the owner and the epoch of a shard
//	progress/<shard>/sequence    the last record of the owner
//	progress/<shard>/workers     the workers that owners may have given orders to
//	progress/<shard>/job.<id>    the progress of a job
//	progress/<shard>#spare/...   the same, while that part is down
//	shares/<service>/split       how the shards split the limits of the teams
//	jobs/<part>/<id>             an accepted job of the first shard
//	jobs-<index>/<part>/<id>     an accepted job of another shard
//	jobs/<part>/<id>.cancel      a cancellation
//
// A job whose part is down has its rows in another one; an owner takes a job of
// two parts once.
const (
	cellTable      = "cell/"
	membersTable   = "members/"
	divisionKey    = "cell//division"
	jobsPrefix     = "jobs"
	memberPrefix   = "member."
	cancelSuffix   = ".cancel"
	progressPrefix = "job."
	workersName    = "workers"
	// memberParts spreads the rows of daemons that start at the same moment.
	memberParts = 4
	// jobParts spreads the submissions over parts of the store. A part takes 200
	// transactions a second one after another, and 3 while the store is slow.
	jobParts = 64
)

func memberKey(vm string) string {
	table := membersTable
	if candidate(vm) {
		table = cellTable
	}
	return table + "members-" + strconv.Itoa(int(spread(vm)/candidateShare%memberParts)) + "/" + memberPrefix + vm
}
func ownerKey(id shardID) string { return cellTable + id.String() + "/owner" }

// recordParts is the number of parts that records of a shard go to: while one
// is down, the other takes them. An owner reads both.
const recordParts = 2

// progressPart returns a part of the records of a shard.
func progressPart(id shardID, part int) string {
	if part == 0 {
		return "progress/" + id.String() + "/"
	}
	return "progress/" + id.String() + shardSeparator + "spare/"
}

func sequenceKey(id shardID, part int) string { return progressPart(id, part) + "sequence" }

func workersKey(id shardID, part int) string { return progressPart(id, part) + workersName }

func progressKey(id shardID, part int, job cluster.JobName) string {
	return progressPart(id, part) + progressPrefix + string(job)
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

func partOf(id cluster.JobName) int { return int(xxhash.Sum64String(string(id)) % jobParts) }

// otherPart returns the part that takes the rows of a part's jobs while that one is down.
func otherPart(part int) int { return (part + jobParts/2) % jobParts }

func jobKeyIn(shards, part int, id cluster.JobName) string {
	return jobPart(jobShard(id, shards), part) + string(id)
}

func jobKey(shards int, id cluster.JobName) string { return jobKeyIn(shards, partOf(id), id) }

// jobKeys returns where the row of a job may stand, the usual key first.
func jobKeys(shards int, id cluster.JobName) []string {
	return []string{jobKey(shards, id), jobKeyIn(shards, otherPart(partOf(id)), id)}
}

// lastPart returns what stands behind the last slash of a key.
func lastPart(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// memberRow is the row of a daemon. Its names are short in the store, as every
// daemon reads the rows of many.
type memberRow struct {
	ID     string `msgpack:"i"`
	Addr   string `msgpack:"a"`
	Region string `msgpack:"r"`
	Zone   string `msgpack:"z"`
	// Cores is the processor share of the VM.
	Cores float64 `msgpack:"c"`
}

// ownerRow is the row of a pool's owner; an empty Owner has released the pool.
type ownerRow struct {
	Owner string `msgpack:"Owner"`
	Epoch uint64 `msgpack:"Epoch"`
}

// sequenceRow is the row that numbers the records of an owner.
type sequenceRow struct {
	Epoch      uint64 `msgpack:"Epoch"`
	Generation uint64 `msgpack:"Generation"`
}

type workersRow struct {
	// Epoch and Generation are those of the record.
	Epoch      uint64   `msgpack:"Epoch"`
	Generation uint64   `msgpack:"Generation"`
	Workers    []string `msgpack:"Workers"`
	// Lapses holds the end of the leases of each worker in Unix milliseconds; 0 if it answers.
	Lapses []int64 `msgpack:"Lapses"`
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

func encodeWorkers(epoch cluster.Epoch, generation uint64, list []pool.RecordedWorker) ([]byte, error) {
	row := workersRow{Epoch: uint64(epoch), Generation: generation}
	for _, w := range list {
		row.Workers = append(row.Workers, string(w.ID))
		lapse := int64(0)
		if !w.LeaseExpiry.IsZero() {
			lapse = w.LeaseExpiry.UnixMilli()
		}
		row.Lapses = append(row.Lapses, lapse)
	}
	return encode("encode workers", &row)
}

// newer reports whether a row is of a later record than another one.
func (r *workersRow) newer(other *workersRow) bool {
	return r.Epoch > other.Epoch || (r.Epoch == other.Epoch && r.Generation > other.Generation)
}

func (r *workersRow) list() []pool.RecordedWorker {
	var list []pool.RecordedWorker
	for i, id := range r.Workers {
		w := pool.RecordedWorker{ID: cluster.WorkerID(id)}
		if i < len(r.Lapses) && r.Lapses[i] != 0 {
			w.LeaseExpiry = time.UnixMilli(r.Lapses[i])
		}
		list = append(list, w)
	}
	return list
}
