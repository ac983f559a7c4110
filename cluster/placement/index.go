package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// levelCPU and levelMemory are the units that levels are computed from. With
	// 64 levels they reach to 1,300 cores and 2 TiB.
	levelCPU    = 10 * cluster.Core / 1000
	levelMemory = 16 * cluster.MiB
	levels      = 64
	// maxPlane is the number of free accelerators from which workers share a plane.
	maxPlane = 16
)

// level maps an amount to one of 64 steps, four to each doubling. A higher level means a larger amount.
func level(units int64) int {
	switch {
	case units < 4:
		return int(max(units, 0))
	case units >= 1<<17:
		return levels - 1
	}
	exponent := bits.Len64(uint64(units)) - 1
	return (exponent-1)<<2 | int(units>>(exponent-2))&3
}

func cpuLevel(c cluster.CPU) int      { return level(int64(c / levelCPU)) }
func memoryLevel(b cluster.Bytes) int { return level(int64(b / levelMemory)) }
func planeOf(accelerators int64) int  { return int(min(accelerators, maxPlane)) }

// classKey identifies a capacity class. Capacities that differ by a few percent,
// as the memory of equal VMs does, share a class.
type classKey struct {
	cpu, memory  int
	accelerators int64
}

// class holds the workers of about the same capacity.
type class struct {
	key           classKey
	workers, open int
	// smallest and largest bound the capacities of the workers that were ever in the class.
	smallest, largest cluster.Resources
	// planes holds one grid per number of free accelerators.
	planes []*plane
}

// plane is a grid of buckets by free processors and free memory.
type plane struct {
	// rows has a bit per processor level with a bucket that is not empty.
	rows uint64
	// columns has a bit per memory level for each processor level.
	columns [levels]uint64
	buckets [levels][levels]*bucket
}

// bucket holds workers with about the same free amounts, ordered by free amounts and identifier.
type bucket struct {
	plane       *plane
	row, column int
	entries     []slot
}

// slot is a worker in a bucket, with its free amounts close at hand for the search.
type slot struct {
	free cluster.Resources
	id   cluster.WorkerID
	node *node
}

func compareSlots(a, b slot) int {
	if a.free.CPU != b.free.CPU {
		return cmp.Compare(a.free.CPU, b.free.CPU)
	}
	if a.free.Memory != b.free.Memory {
		return cmp.Compare(a.free.Memory, b.free.Memory)
	}
	if a.free.Accelerators != b.free.Accelerators {
		return cmp.Compare(a.free.Accelerators, b.free.Accelerators)
	}
	return strings.Compare(string(a.id), string(b.id))
}

func (t *Table) classOf(capacity cluster.Resources) *class {
	key := classKey{cpuLevel(capacity.CPU), memoryLevel(capacity.Memory), capacity.Accelerators}
	at, ok := slices.BinarySearchFunc(t.classes, key, func(c *class, k classKey) int { return c.key.compare(k) })
	if !ok {
		c := &class{key: key, smallest: capacity, largest: capacity, planes: make([]*plane, planeOf(capacity.Accelerators)+1)}
		t.classes = slices.Insert(t.classes, at, c)
	}
	c := t.classes[at]
	c.smallest, c.largest = c.smallest.Min(capacity), c.largest.Max(capacity)
	return c
}

// compare orders classes with few accelerators first.
func (k classKey) compare(o classKey) int {
	return cmp.Or(cmp.Compare(k.accelerators, o.accelerators), cmp.Compare(k.cpu, o.cpu), cmp.Compare(k.memory, o.memory))
}

func (t *Table) dropEmptyClass(c *class) {
	if c.workers == 0 {
		t.classes = slices.DeleteFunc(t.classes, func(o *class) bool { return o == c })
	}
}

func (c *class) insert(n *node, id cluster.WorkerID) {
	at := planeOf(n.free.Accelerators)
	p := c.planes[at]
	if p == nil {
		p = &plane{}
		c.planes[at] = p
	}
	row, column := cpuLevel(n.free.CPU), memoryLevel(n.free.Memory)
	b := p.buckets[row][column]
	if b == nil {
		b = &bucket{plane: p, row: row, column: column}
		p.buckets[row][column] = b
	}
	s := slot{free: n.free, id: id, node: n}
	i, _ := slices.BinarySearchFunc(b.entries, s, compareSlots)
	b.entries = slices.Insert(b.entries, i, s)
	p.rows |= 1 << row
	p.columns[row] |= 1 << column
	n.bucket = b
}

func (c *class) remove(n *node, id cluster.WorkerID) {
	b := n.bucket
	i, ok := slices.BinarySearchFunc(b.entries, slot{free: n.free, id: id}, compareSlots)
	if !ok {
		panic("placement: worker " + string(id) + " is missing from its bucket")
	}
	b.entries = slices.Delete(b.entries, i, i+1)
	n.bucket = nil
	if len(b.entries) > 0 {
		return
	}
	p := b.plane
	p.columns[b.row] &^= 1 << b.column
	if p.columns[b.row] == 0 {
		p.rows &^= 1 << b.row
	}
}
