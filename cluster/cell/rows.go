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
//	cell//member.<daemon's VM>     a daemon that runs
//	cell/<service>/owner           the owner and the epoch of a pool
//	progress/<service>/sequence    the last record of the owner
//	progress/<service>/workers     the workers that owners may have given orders to
//	progress/<service>/job.<id>    the progress of a job
//	jobs/<part>/<id>               an accepted job
//	jobs/<part>/<id>.cancel        a cancellation
const (
	cellTable      = "cell/"
	jobsTable      = "jobs/"
	memberPrefix   = "cell//member."
	cancelSuffix   = ".cancel"
	progressPrefix = "job."
	// jobParts spreads the submissions over parts of the store. A part takes 200
	// transactions a second one after another, and 3 while the store is slow.
	jobParts = 64
)

func memberKey(vm string) string                  { return memberPrefix + vm }
func ownerKey(service cluster.ServiceName) string { return cellTable + string(service) + "/owner" }

func progressTable(service cluster.ServiceName) string { return "progress/" + string(service) + "/" }

func sequenceKey(service cluster.ServiceName) string { return progressTable(service) + "sequence" }
func workersKey(service cluster.ServiceName) string  { return progressTable(service) + "workers" }
func cancelKey(id cluster.JobName) string            { return jobKey(id) + cancelSuffix }
func jobPart(part int) string                        { return jobsTable + strconv.Itoa(part) + "/" }

func partOf(id cluster.JobName) int    { return int(xxhash.Sum64String(string(id)) % jobParts) }
func jobKey(id cluster.JobName) string { return jobPart(partOf(id)) + string(id) }
func progressKey(s cluster.ServiceName, id cluster.JobName) string {
	return progressTable(s) + progressPrefix + string(id)
}

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
