package standin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// BenchmarkExchange measures idle exchanges at the size of the two-year target: 74
// racks with 592 workers (Target has 590) and 2,600 running tasks.
func BenchmarkExchange(b *testing.B) {
	cell := standin.Small()
	cell.Workers = 592
	clock := standin.NewManualClock(time.Unix(1_700_000_000, 0))
	caller := standin.New(standin.Config{Cell: cell, Clock: clock.Now}).Caller(cluster.Place{})
	cursors := map[cluster.RackID]uint64{}
	var racks []cluster.RackID
	started := 0
	for _, vm := range cell.VMs() {
		if vm.Role != platform.RoleWorker {
			continue
		}
		req := platform.ExchangeRequest{Rack: vm.Rack, Epoch: 1, Lease: time.Hour}
		for range 5 {
			if started++; started > 2600 {
				break
			}
			req.Commands = append(req.Commands, startCommand(cluster.WorkerID(vm.ID), attemptID(started, 1), 500))
		}
		reply, err := caller.Exchange(b.Context(), req)
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := cursors[vm.Rack]; !ok {
			racks = append(racks, vm.Rack)
		}
		cursors[vm.Rack] = reply.Cursor
	}
	clock.Advance(time.Minute)
	if len(racks) != 74 {
		b.Fatal(fmt.Errorf("%d racks", len(racks)))
	}
	for n := 0; b.Loop(); n++ {
		rack := racks[n%len(racks)]
		reply, err := caller.Exchange(b.Context(), platform.ExchangeRequest{Rack: rack, Epoch: 1, Since: cursors[rack], Lease: time.Hour})
		if err != nil {
			b.Fatal(err)
		}
		cursors[rack] = reply.Cursor
	}
}
