package standin

import (
	"fmt"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Values that all predefined cells share. The limits of runners are also the
// defaults of RunnerConfig.
const (
	defaultWorkersPerRack    = 8
	defaultRunnerSlots       = 8
	defaultRunnerConnections = 64
)

// Cell is the layout of a cell: its regions, zones, racks, workers and runners.
type Cell struct {
	Name    string
	Regions []RegionLayout
	// StoreRegion is the region of the table service, the object store and the VM list.
	StoreRegion cluster.Region
	// Workers is the number of workers. They are distributed over the zones
	// in racks of WorkersPerRack.
	Workers        int
	WorkersPerRack int
	WorkerSize     cluster.Resources
	// RackAccelerators is the number of accelerators of the first worker of each rack.
	RackAccelerators int64
	// Service is the service that all runners of the cell belong to.
	Service cluster.ServiceName
	// Runners is the number of runners, which are distributed over the zones.
	Runners int
	// Slots and Connections are the limits of each runner.
	Slots       int
	Connections int
	// ZoneLatency is the one-way latency between zones of a region.
	ZoneLatency time.Duration
	// RegionLatency is the one-way latency between regions.
	RegionLatency time.Duration
}

// RegionLayout is a region of a cell with its zones.
type RegionLayout struct {
	Name  cluster.Region
	Zones []cluster.Zone
}

// Erzaehlwerk returns the cell of Erzählwerk Software AG.
func Erzaehlwerk() Cell {
	return Cell{
		Name: "erzaehlwerk",
		Regions: []RegionLayout{
			{"deutschschweiz", []cluster.Zone{"ds-1", "ds-2"}},
			{"romandie", []cluster.Zone{"ro-1"}},
		},
		StoreRegion: "deutschschweiz", Workers: 50, WorkersPerRack: defaultWorkersPerRack,
		WorkerSize:       cluster.Resources{CPU: 16 * cluster.Core, Memory: 64 * cluster.GiB},
		RackAccelerators: 2, Service: "booking", Runners: 50, Slots: defaultRunnerSlots, Connections: defaultRunnerConnections,
		ZoneLatency: time.Millisecond, RegionLatency: 30 * time.Millisecond,
	}
}

// CaroniVale returns the cell of Caroni Vale Holdings.
func CaroniVale() Cell {
	return Cell{
		Name: "caroni-vale",
		Regions: []RegionLayout{
			{"tt-north", []cluster.Zone{"ttn-1", "ttn-2"}},
			{"tt-south", []cluster.Zone{"tts-1"}},
		},
		StoreRegion: "tt-north", Workers: 50, WorkersPerRack: defaultWorkersPerRack,
		WorkerSize: cluster.Resources{CPU: 32 * cluster.Core, Memory: 64 * cluster.GiB},
		Service:    "settlement", Runners: 50, Slots: defaultRunnerSlots, Connections: defaultRunnerConnections,
		ZoneLatency: 1500 * time.Microsecond, RegionLatency: 30 * time.Millisecond,
	}
}

// Target returns a cell of the size of the two-year target (docs/CAPACITY.md) with Erzählwerk's latencies.
func Target() Cell {
	return Cell{
		Name: "target",
		Regions: []RegionLayout{
			{"east", []cluster.Zone{"e-1", "e-2", "e-3"}},
			{"west", []cluster.Zone{"w-1", "w-2", "w-3"}},
		},
		StoreRegion: "east", Workers: 590, WorkersPerRack: defaultWorkersPerRack,
		WorkerSize: cluster.Resources{CPU: 16 * cluster.Core, Memory: 64 * cluster.GiB},
		Service:    "booking", Runners: 50, Slots: defaultRunnerSlots, Connections: defaultRunnerConnections,
		ZoneLatency: time.Millisecond, RegionLatency: 30 * time.Millisecond,
	}
}

// Small returns a cell of two racks and four runners without latencies, for tests.
func Small() Cell {
	return Cell{
		Name: "small",
		Regions: []RegionLayout{
			{"north", []cluster.Zone{"n-1"}},
			{"south", []cluster.Zone{"s-1"}},
		},
		StoreRegion: "north", Workers: 2 * defaultWorkersPerRack, WorkersPerRack: defaultWorkersPerRack,
		WorkerSize: cluster.Resources{CPU: 4 * cluster.Core, Memory: 16 * cluster.GiB},
		Service:    "echo", Runners: 4, Slots: defaultRunnerSlots, Connections: defaultRunnerConnections,
	}
}

// Cells returns the predefined cells, which can be selected by name.
func Cells() []Cell { return []Cell{Erzaehlwerk(), CaroniVale(), Small(), Target()} }

// Places returns every zone of the cell with its region.
func (c Cell) Places() []cluster.Place {
	var places []cluster.Place
	for _, r := range c.Regions {
		for _, z := range r.Zones {
			places = append(places, cluster.Place{Region: r.Name, Zone: z})
		}
	}
	return places
}

// PlaceOf returns the place of a zone, or the zero place if the cell has no such zone.
func (c Cell) PlaceOf(zone cluster.Zone) cluster.Place {
	for _, p := range c.Places() {
		if p.Zone == zone {
			return p
		}
	}
	return cluster.Place{}
}

// VMs returns the workers and runners of the cell; the runners have no address.
func (c Cell) VMs() []platform.VM {
	places := c.Places()
	var vms []platform.VM
	if len(places) == 0 {
		return nil
	}
	for i := range c.Workers {
		rackNumber, position := i/c.WorkersPerRack, i%c.WorkersPerRack
		place := places[rackNumber%len(places)]
		rack := cluster.RackID(fmt.Sprintf("%s-r%d", place.Zone, rackNumber/len(places)+1))
		capacity := c.WorkerSize
		if position == 0 {
			capacity.Accelerators += c.RackAccelerators
		}
		vms = append(vms, platform.VM{
			ID: fmt.Sprintf("%s-w%d", rack, position+1), Role: platform.RoleWorker, Place: place, Rack: rack, Capacity: capacity,
		})
	}
	for i := range c.Runners {
		vms = append(vms, platform.VM{
			ID: fmt.Sprintf("%s-%02d", c.Service, i+1), Role: platform.RoleRunner, Place: places[i%len(places)],
			Service: c.Service, Slots: c.Slots, Connections: c.Connections,
		})
	}
	return vms
}

// latency returns the one-way latency between two places; it is zero within a
// zone and if the region of either place is not set.
func (c Cell) latency(a, b cluster.Place) time.Duration {
	switch {
	case a.Region == "" || b.Region == "":
		return 0
	case a.Region != b.Region:
		return c.RegionLatency
	case a.Zone != b.Zone:
		return c.ZoneLatency
	}
	return 0
}
