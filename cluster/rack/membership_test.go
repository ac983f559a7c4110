package rack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Guards against a daemon that starts and takes over racks of live owners before
// it knows the other members. In a cell of six daemons, seven racks changed
// owners 131 times within 20 s of the start.
func TestClaimRequiresKnownMembers(t *testing.T) {
	is := is.New(t)
	c := New(Config{Self: "d1", Place: cluster.Place{Region: "north", Zone: "n-1"}, Random: func() float64 { return 0.5 }})
	worker := platform.VM{ID: "w1", Role: platform.RoleWorker, Rack: "r1", Capacity: cluster.Resources{CPU: 16 * cluster.Core}}
	now := time.Unix(1_000_000, 0)
	events := []Event{&PlatformList{VMs: []platform.VM{worker}}, &StoreState{Up: true}}
	claims := func(ticks int) int {
		n := 0
		for range ticks {
			now = now.Add(100 * time.Millisecond)
			effects := c.Step(now, events)
			events = nil
			for _, e := range effects {
				switch e := e.(type) {
				case *ReadRows:
					events = append(events, &RowsRead{Token: e.Token, Reply: platform.ReadReply{AsOf: 1}})
				case *Commit:
					n++
				}
			}
		}
		return n
	}
	is.Equal(claims(100), 0)
	events = append(events, &MembersChanged{Live: []Member{{ID: "d1", Place: cluster.Place{Region: "north", Zone: "n-1"}}}})
	is.True(claims(10) > 0)
}
