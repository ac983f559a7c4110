package cell

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// workersInRacks returns workers in racks of the given size that are spread over zones.
func workersInRacks(workers, rackSize, zones int) []platform.WorkerVM {
	var list []platform.WorkerVM
	for i := range workers {
		rack := i / rackSize
		list = append(list, platform.WorkerVM{
			ID: cluster.WorkerID(fmt.Sprintf("i-%d", i)), Service: "s", Labels: []string{"a", fmt.Sprintf("r%d-%d", rack%zones+1, rack/zones+1)},
		})
	}
	return list
}

// Guards against shards of unequal size, where jobs would wait while other shards have free capacity, and
// against racks that are split although there are enough of them.
func TestShardSizesAreBalanced(t *testing.T) {
	for _, c := range []struct {
		workers, rackSize, zones, shards int
		splitRacks                       bool
	}{{3000, 20, 6, 3, false}, {3000, 8, 6, 3, false}, {10000, 20, 6, 9, false}, {3000, 3000, 1, 3, true}, {3000, 400, 2, 3, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			list := workersInRacks(c.workers, c.rackSize, c.zones)
			row := newLayout(list, DefaultShardWorkers)
			is.Equal(row, layoutRow{Shards: c.shards, SplitRacks: c.splitRacks})
			rackShards := map[string]int{}
			assigned := 0
			for index := range c.shards {
				own := row.workersOf(list, shardID{Service: "s", Index: index})
				assigned += len(own)
				mean := c.workers / c.shards
				is.True(len(own) > mean*9/10 && len(own) < mean*11/10)
				for _, vm := range own {
					otherIndex, ok := rackShards[vm.Rack()]
					is.True(!ok || otherIndex == index || c.splitRacks) // the whole rack is in one shard
					rackShards[vm.Rack()] = index
				}
			}
			is.Equal(assigned, c.workers)
			jobs := make([]int, c.shards)
			for i := range 9000 {
				jobs[jobShard(cluster.JobName(fmt.Sprintf("%016x", i)), c.shards)]++
			}
			for _, n := range jobs {
				is.True(n > 9000/c.shards*9/10 && n < 9000/c.shards*11/10)
			}
		})
	}
}

// scriptedLister returns its lists one after another and then keeps returning the last one.
type scriptedLister struct{ lists [][]platform.WorkerVM }

func (l *scriptedLister) ListWorkers(context.Context) ([]platform.WorkerVM, error) {
	list := l.lists[0]
	if len(l.lists) > 1 {
		l.lists = l.lists[1:]
	}
	return list, nil
}

// Guards against a shard layout that is created from an incomplete list of workers, and against daemons that
// create different ones.
func TestLayoutIsCreatedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &rowStore{rows: map[string]platform.Row{}}
		var daemons []*Daemon
		for _, lists := range [][][]platform.WorkerVM{{workersInRacks(10, 8, 2), workersInRacks(2000, 8, 2), workersInRacks(2000, 8, 2)}, {workersInRacks(100, 8, 2)}} {
			d := newTestDaemon(t, store)
			defer d.stop()
			d.layout.Store(nil)
			d.cfg.Lister = &scriptedLister{lists: lists}
			d.members["vm"] = memberRow{ID: string(d.cfg.Self)}
			daemons = append(daemons, d)
		}
		for range 3 {
			daemons[0].createLayout()
			time.Sleep(claimInterval)
		}
		is.Equal(daemons[0].shardCount(), 2)
		for range 3 {
			daemons[1].createLayout()
			time.Sleep(claimInterval)
		}
		is.Equal(daemons[1].shardCount(), 0) // the row of the other daemon exists
		is.NoErr(daemons[1].applyCellRow(store.rows[layoutKey]))
		is.Equal(daemons[1].shardCount(), 2)
	})
}

// Guards against a daemon that reports to clients that a job does not exist before it knows which rows to read.
func TestRequestsFailWithoutLayout(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t, &slowStore{})
	defer d.stop()
	d.layout.Store(nil)
	is.True(!d.Ready())
	_, err := d.State(t.Context(), "0000000000000001", "team", &cluster.Queue{Name: "q", Service: "s"})
	is.True(IsKind(err, KindUnavailable))
	is.True(IsKind(d.Cancel(t.Context(), "0000000000000001", "team", "q"), KindUnavailable))
	is.True(IsKind(d.Submit(t.Context(), &workload.Job{ID: "0000000000000001"}), KindUnavailable))
}
