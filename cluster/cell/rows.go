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
	"github.com/goldcrestshift/goldcrestshift/cluster/record"
)

// Rows of a cell. A key is table/part/name; the rows of one transaction are in the same part of the store.
//
//	cell//division               the shard layout
//	cell/<part>/member.<VM>      a daemon on a candidate
//	members/<part>/member.<VM>   a daemon on another VM
//	cell/<shard>/owner           the owner and the epoch of a shard
//	progress/<shard>/sequence    the epoch and the generation of the last record
//	progress/<shard>/workers     the workers that may have received requests from owners
//	progress/<shard>/job.<id>    the progress of a job
//	progress/<shard>#spare/...   the same rows, written while the part above is down
//	shares/<service>/split       the shares of the teams' limits that the shards may use
//	shares/<service>/use-<index> the past use of the teams in a shard
//	jobs/<part>/<id>             an accepted job of the first shard
//	jobs-<index>/<part>/<id>     an accepted job of another shard
//	jobs/<part>/<id>.cancel      a cancellation of an accepted job, or of one that is not in the store
//
// The rows of a job whose part is down are written to its alternate part. An owner that finds a job in both
// parts runs it once.
const (
	cellTable      = "cell/"
	membersTable   = "members/"
	layoutKey      = "cell//division"
	jobsPrefix     = "jobs"
	memberPrefix   = "member."
	cancelSuffix   = ".cancel"
	progressPrefix = "job."
	workersName    = "workers"
	// memberParts is the number of parts over which the member rows are spread, as many daemons may start at
	// the same time.
	memberParts = 4
	// jobParts is the number of parts of the store over which the jobs of a shard are spread. The transactions
	// of a part run one after another, 200 per second, or 3 per second while the store is slow.
	jobParts = 64
)

// memberKey returns the key of the row that a daemon writes when it joins the cell.
func memberKey(vm string) string {
	if isCandidate(vm) {
		return candidateKey(vm)
	}
	return membersTable + memberPart(vm) + memberPrefix + vm
}

// candidateKey returns the key of the row of a candidate. A daemon on another VM writes it in addition when it owns a shard.
// Both rows of a VM are in the same part.
func candidateKey(vm string) string { return cellTable + memberPart(vm) + memberPrefix + vm }

func memberPart(vm string) string {
	return "members-" + strconv.Itoa(int(vmHash(vm)/candidateModulus%memberParts)) + "/"
}

func ownerKey(id shardID) string { return cellTable + id.String() + "/owner" }

// recordParts is the number of parts that may hold the records of a shard. While one is down, the other is
// used; an owner reads both.
const recordParts = 2

// recordPartPrefix returns the key prefix of a part of the records of a shard.
func recordPartPrefix(id shardID, part int) string {
	if part == 0 {
		return "progress/" + id.String() + "/"
	}
	return "progress/" + id.String() + shardSeparator + "spare/"
}

func sequenceKey(id shardID, part int) string { return recordPartPrefix(id, part) + "sequence" }

func workersKey(id shardID, part int) string { return recordPartPrefix(id, part) + workersName }

func progressKey(id shardID, part int, job cluster.JobName) string {
	return recordPartPrefix(id, part) + progressPrefix + string(job)
}

func sharesKey(service cluster.ServiceName) string { return "shares/" + string(service) + "/split" }

// jobTablePrefix returns the key prefix of a shard's job table, which its owner follows.
func jobTablePrefix(shard int) string {
	if shard == 0 {
		return jobsPrefix + "/"
	}
	return jobsPrefix + "-" + strconv.Itoa(shard) + "/"
}

func jobPartPrefix(shard, part int) string { return jobTablePrefix(shard) + strconv.Itoa(part) + "/" }

func jobPart(id cluster.JobName) int { return int(xxhash.Sum64String(string(id)) % jobParts) }

// alternatePart returns the part that is used for the jobs of a part while that part is down.
func alternatePart(part int) int { return (part + jobParts/2) % jobParts }

func jobKeyInPart(shards, part int, id cluster.JobName) string {
	return jobPartPrefix(jobShard(id, shards), part) + string(id)
}

func jobKey(shards int, id cluster.JobName) string { return jobKeyInPart(shards, jobPart(id), id) }

// jobKeys returns the keys that the row of a job may have, that in its regular part first.
func jobKeys(shards int, id cluster.JobName) []string {
	return []string{jobKey(shards, id), jobKeyInPart(shards, alternatePart(jobPart(id)), id)}
}

// The values of a cancellation row. A job can't be written while a cancellation row of it is in the part.
var (
	// cancelledValue cancels an accepted job.
	cancelledValue = []byte{1}
	// withdrawnValue cancels a job that was not in the part.
	withdrawnValue = []byte{2}
)

// rowName returns the name in a key, which follows the last slash.
func rowName(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// memberRow is the row of a daemon. Its encoded field names are short, as every daemon reads many of these
// rows.
type memberRow struct {
	ID     string `msgpack:"i"`
	Addr   string `msgpack:"a"`
	Region string `msgpack:"r"`
	Zone   string `msgpack:"z"`
	// Cores is the number of cores of the VM, which may be fractional.
	Cores float64 `msgpack:"c"`
	// LinkRate is the rate of the VM's link in bytes per second; zero if it is not known.
	LinkRate int64 `msgpack:"l"`
	// ForwardsCalls means that the daemon forwards calls to workers; daemons of earlier versions don't.
	ForwardsCalls bool `msgpack:"f"`
	// JobBytes is the memory for accepted jobs; zero if it is not limited or not known.
	JobBytes int64 `msgpack:"m"`

	// candidate means that the row is in the table of the candidates, which all daemons read.
	candidate bool
}

// ownerRow is the owner row of a shard. Owner is empty after the owner has released the shard.
type ownerRow struct {
	Owner string `msgpack:"Owner"`
	Epoch uint64 `msgpack:"Epoch"`
	// EarlierOwnersActiveUntil is until when the owners before this one may have sent requests, in Unix milliseconds; 0
	// if they had stopped before its claim.
	EarlierOwnersActiveUntil int64 `msgpack:"EarlierUntil"`
}

// earlierOwnersActiveUntil returns until when the owners before this one may have sent requests. The clock of the daemon
// that wrote the row may be behind.
func (r *ownerRow) earlierOwnersActiveUntil() time.Time {
	if r.EarlierOwnersActiveUntil == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.EarlierOwnersActiveUntil).Add(pool.MaxClockSkew)
}

// sequenceRow identifies the last record in a part of a shard's records.
type sequenceRow struct {
	Epoch      uint64 `msgpack:"Epoch"`
	Generation uint64 `msgpack:"Generation"`
}

// workersRow lists the workers that may have received requests from the owners of a shard.
type workersRow struct {
	// Epoch and Generation identify the record that the row belongs to.
	Epoch      uint64   `msgpack:"Epoch"`
	Generation uint64   `msgpack:"Generation"`
	Workers    []string `msgpack:"Workers"`
	// LeaseExpiries holds when the leases of each worker expire, in Unix milliseconds; 0 if the worker
	// responds.
	LeaseExpiries []int64 `msgpack:"Lapses"`
	// LongLeaseExpiries holds when the leases of each worker expire that may be longer than usual, in Unix milliseconds; 0
	// if there are none. It is empty in rows of earlier versions.
	LongLeaseExpiries []int64 `msgpack:"LongLapses"`
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
	if err := record.Unmarshal(data, &row); err != nil {
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
		row.LeaseExpiries = append(row.LeaseExpiries, unixMilliOrZero(w.LeaseExpiry))
		row.LongLeaseExpiries = append(row.LongLeaseExpiries, unixMilliOrZero(w.LongLeaseExpiry))
	}
	return encode("encode workers", &row)
}

// unixMilliOrZero returns a time in Unix milliseconds, and 0 for the zero time.
func unixMilliOrZero(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// newerThan reports whether the row belongs to a later record than another row.
func (r *workersRow) newerThan(other *workersRow) bool {
	return r.Epoch > other.Epoch || (r.Epoch == other.Epoch && r.Generation > other.Generation)
}

func (r *workersRow) recordedWorkers() []pool.RecordedWorker {
	var list []pool.RecordedWorker
	for i, id := range r.Workers {
		w := pool.RecordedWorker{ID: cluster.WorkerID(id)}
		if i < len(r.LeaseExpiries) && r.LeaseExpiries[i] != 0 {
			w.LeaseExpiry = time.UnixMilli(r.LeaseExpiries[i])
		}
		if i < len(r.LongLeaseExpiries) && r.LongLeaseExpiries[i] != 0 {
			w.LongLeaseExpiry = time.UnixMilli(r.LongLeaseExpiries[i])
		}
		list = append(list, w)
	}
	return list
}
