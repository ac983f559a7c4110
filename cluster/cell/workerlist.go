package cell

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// listRequest requests the workers of a shard from a daemon that reads the platform's list. The list is many times
// smaller as a compressed message than in the store.
type listRequest struct {
	Shard string `msgpack:"Shard"`
}

// workerList holds the workers of a shard.
type workerList struct {
	// Total is the length of the platform's list.
	Total   int
	Workers []listedWorker
}

type listedWorker struct {
	ID           string
	Service      string
	Addr         string
	Zone         string
	Draining     bool
	Incarnation  int64
	CPU          int64
	Memory       int64
	Accelerators int64
	Labels       []string
	EntryVersion uint64
}

// readWorkers returns the workers of the shard and the length of the platform's list. An owner whose link or processor
// is too small for its pool has another daemon read the list.
func (o *ownedShard) readWorkers(ctx context.Context) ([]platform.WorkerVM, int, error) {
	if reader, ok := o.d.forwarding.reader(int(o.workerCount.Load())); ok {
		workers, total, err := o.d.requestWorkers(ctx, reader, o.id)
		if err == nil {
			return workers, total, nil
		}
		o.d.cfg.Log.Debug().Err(err).Str("peer", string(reader)).Msg("cell: workers could not be listed through another daemon")
	}
	list, err := o.d.cfg.Lister.ListWorkers(ctx)
	if err != nil {
		return nil, 0, err
	}
	return o.d.layout.Load().workersOf(list, o.id), len(list), nil
}

// requestWorkers requests the workers of a shard from another daemon.
func (d *Daemon) requestWorkers(ctx context.Context, from cluster.DaemonID, id shardID) ([]platform.WorkerVM, int, error) {
	ctx, cancel := context.WithTimeout(ctx, listThroughTimeout)
	defer cancel()
	message, err := call[packedMessage](ctx, d, from, methodListWorkers, &listRequest{Shard: id.String()})
	if err != nil {
		return nil, 0, err
	}
	list, err := unpackBatch[workerList]("read worker list", message)
	if err != nil {
		return nil, 0, err
	}
	workers := make([]platform.WorkerVM, 0, len(list.Workers))
	for i := range list.Workers {
		vm, err := list.Workers[i].vm()
		if err != nil {
			return nil, 0, err
		}
		workers = append(workers, vm)
	}
	return workers, list.Total, nil
}

// serveWorkerList reads the workers of a shard for its owner.
func (d *Daemon) serveWorkerList(ctx context.Context, r listRequest) (packedMessage, error) {
	layout := d.layout.Load()
	if layout == nil {
		return packedMessage{}, &Error{Op: "list workers", Kind: KindUnavailable, Err: errNoLayout}
	}
	list, err := d.cfg.Lister.ListWorkers(ctx)
	if err != nil {
		return packedMessage{}, err
	}
	reply := workerList{Total: len(list)}
	for _, vm := range layout.workersOf(list, parseShardID(r.Shard)) {
		reply.Workers = append(reply.Workers, listedWorker{
			ID: string(vm.ID), Service: string(vm.Service), Addr: vm.Addr.String(), Zone: string(vm.Zone), Draining: vm.Draining,
			Incarnation: int64(vm.Incarnation), CPU: int64(vm.Capacity.CPU), Memory: int64(vm.Capacity.Memory),
			Accelerators: vm.Capacity.Accelerators, Labels: vm.Labels, EntryVersion: uint64(vm.EntryVersion),
		})
	}
	return packBatch("list workers", &reply)
}

func (w *listedWorker) vm() (platform.WorkerVM, error) {
	const op = "read worker list"
	addr, err := netip.ParseAddrPort(w.Addr)
	if err != nil {
		return platform.WorkerVM{}, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	if w.ID == "" {
		return platform.WorkerVM{}, &Error{Op: op, Kind: KindMalformed, Err: errors.New("a worker has no identifier")}
	}
	if min(w.CPU, w.Memory, w.Accelerators) < 0 {
		return platform.WorkerVM{}, &Error{Op: op, Kind: KindMalformed, Err: fmt.Errorf("the capacity of worker %s is negative", w.ID)}
	}
	return platform.WorkerVM{
		ID: cluster.WorkerID(w.ID), Service: cluster.ServiceName(w.Service), Addr: addr, Zone: cluster.Zone(w.Zone), Draining: w.Draining,
		Incarnation: platform.Incarnation(w.Incarnation), Labels: w.Labels, EntryVersion: cluster.Version(w.EntryVersion),
		Capacity: cluster.Resources{CPU: cluster.CPU(w.CPU), Memory: cluster.Bytes(w.Memory), Accelerators: w.Accelerators},
	}, nil
}
