package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// cpuLevelUnit and memoryLevelUnit are the amounts of one unit in the argument of
	// level. With 64 levels the scale ends at 1,300 cores and 2 TiB.
	cpuLevelUnit    = 10 * cluster.Core / 1000
	memoryLevelUnit = 16 * cluster.MiB
	levelCount      = 64
	// maxGridIndex is the number of free accelerators from which workers share a grid.
	maxGridIndex = 16
)

// level maps an amount to one of 64 logarithmic steps, four per doubling. It never decreases with the amount.
func level(units int64) int {
	switch {
	case units < 4:
		return int(max(units, 0))
	case units >= 1<<17:
		return levelCount - 1
	}
	exponent := bits.Len64(uint64(units)) - 1
	return (exponent-1)<<2 | int(units>>(exponent-2))&3
}

func cpuLevel(c cluster.CPU) int       { return level(int64(c / cpuLevelUnit)) }
func memoryLevel(b cluster.Bytes) int  { return level(int64(b / memoryLevelUnit)) }
func gridIndex(accelerators int64) int { return int(min(accelerators, maxGridIndex)) }

// classKey identifies a capacity class. Capacities that differ by a few percent share
// a class: VMs of one type report slightly different amounts of memory.
type classKey struct {
	cpu, memory  int
	accelerators int64
}

// capacityClass holds the workers of about the same capacity.
type capacityClass struct {
	key                    classKey
	workerCount, openCount int
	// minCapacity and maxCapacity bound the capacities of all workers in the class.
	// They are not narrowed when a worker is removed.
	minCapacity, maxCapacity cluster.Resources
	// grids is indexed by the number of free accelerators, at most maxGridIndex.
	grids []*grid
}

// grid divides workers into buckets by the levels of their free CPU and free memory.
type grid struct {
	// rowMask has a bit set for each CPU level with a nonempty bucket.
	rowMask uint64
	// columnMasks has, for each CPU level, a bit set for each memory level with a nonempty bucket.
	columnMasks [levelCount]uint64
	buckets     [levelCount][levelCount]*bucket
}

// bucket holds workers with similar free capacity, sorted by free capacity and then by identifier.
type bucket struct {
	grid        *grid
	row, column int
	entries     []bucketEntry
}

// bucketEntry is a worker in a bucket. It repeats the free capacity so that a search doesn't have to follow node.
type bucketEntry struct {
	free cluster.Resources
	id   cluster.WorkerID
	node *workerNode
}

func compareBucketEntries(a, b bucketEntry) int {
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

// classFor returns the class of a capacity, which is created if necessary.
func (t *Table) classFor(capacity cluster.Resources) *capacityClass {
	key := classKey{cpuLevel(capacity.CPU), memoryLevel(capacity.Memory), capacity.Accelerators}
	position, ok := slices.BinarySearchFunc(t.classes, key, func(c *capacityClass, k classKey) int { return c.key.compare(k) })
	if !ok {
		c := &capacityClass{key: key, minCapacity: capacity, maxCapacity: capacity, grids: make([]*grid, gridIndex(capacity.Accelerators)+1)}
		t.classes = slices.Insert(t.classes, position, c)
	}
	c := t.classes[position]
	c.minCapacity, c.maxCapacity = c.minCapacity.Min(capacity), c.maxCapacity.Max(capacity)
	return c
}

// compare orders classes with fewer accelerators first.
func (k classKey) compare(o classKey) int {
	return cmp.Or(cmp.Compare(k.accelerators, o.accelerators), cmp.Compare(k.cpu, o.cpu), cmp.Compare(k.memory, o.memory))
}

func (t *Table) removeClassIfEmpty(c *capacityClass) {
	if c.workerCount == 0 {
		t.classes = slices.DeleteFunc(t.classes, func(o *capacityClass) bool { return o == c })
	}
}

// insert adds a worker to the bucket of its unreserved free capacity.
func (c *capacityClass) insert(n *workerNode, id cluster.WorkerID) {
	index := gridIndex(n.unreservedFree.Accelerators)
	g := c.grids[index]
	if g == nil {
		g = &grid{}
		c.grids[index] = g
	}
	row, column := cpuLevel(n.unreservedFree.CPU), memoryLevel(n.unreservedFree.Memory)
	b := g.buckets[row][column]
	if b == nil {
		b = &bucket{grid: g, row: row, column: column}
		g.buckets[row][column] = b
	}
	e := bucketEntry{free: n.unreservedFree, id: id, node: n}
	i, _ := slices.BinarySearchFunc(b.entries, e, compareBucketEntries)
	b.entries = slices.Insert(b.entries, i, e)
	g.rowMask |= 1 << row
	g.columnMasks[row] |= 1 << column
	n.bucket = b
}

// remove removes a worker from its bucket.
func (c *capacityClass) remove(n *workerNode, id cluster.WorkerID) {
	b := n.bucket
	i, ok := slices.BinarySearchFunc(b.entries, bucketEntry{free: n.unreservedFree, id: id}, compareBucketEntries)
	if !ok {
		panic("placement: worker " + string(id) + " is missing from its bucket")
	}
	b.entries = slices.Delete(b.entries, i, i+1)
	n.bucket = nil
	if len(b.entries) > 0 {
		return
	}
	g := b.grid
	g.columnMasks[b.row] &^= 1 << b.column
	if g.columnMasks[b.row] == 0 {
		g.rowMask &^= 1 << b.row
	}
}
