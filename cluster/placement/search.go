package placement

import (
	"math/bits"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// maxScoredPerBucket is the number of fitting workers that are scored per bucket.
// The free capacities of the workers in a bucket differ by at most a quarter.
const maxScoredPerBucket = 4

// candidate is the best worker found so far.
type candidate struct {
	node  *workerNode
	id    cluster.WorkerID
	score int64
}

// replaceIfBetter replaces the candidate if score is lower. Among equal scores the lower identifier wins.
func (c *candidate) replaceIfBetter(n *workerNode, id cluster.WorkerID, score int64) {
	if c.node == nil || score < c.score || score == c.score && strings.Compare(string(id), string(c.id)) < 0 {
		c.node, c.id, c.score = n, id, score
	}
}

// searchClass updates best with the workers of a capacity class.
func (t *Table) searchClass(c *capacityClass, req *Request, best *candidate) {
	if !req.Size.Fits(c.maxCapacity) {
		return
	}
	fromRow, fromColumn := cpuLevel(req.Size.CPU), memoryLevel(req.Size.Memory)
	for _, g := range c.grids[gridIndex(req.Size.Accelerators):] {
		if g == nil {
			continue
		}
		for rows := g.rowMask >> fromRow << fromRow; rows != 0; rows &= rows - 1 {
			row := bits.TrailingZeros64(rows)
			for columns := g.columnMasks[row] >> fromColumn << fromColumn; columns != 0; columns &= columns - 1 {
				t.searchBucket(g.buckets[row][bits.TrailingZeros64(columns)], &req.Size, best)
			}
		}
	}
}

// searchBucket updates best with the first fitting workers of a bucket.
func (t *Table) searchBucket(b *bucket, size *cluster.Resources, best *candidate) {
	remaining := maxScoredPerBucket
	for i := range b.entries {
		e := &b.entries[i]
		if !size.Fits(e.free) {
			continue
		}
		best.replaceIfBetter(e.node, e.id, t.score(e.node, e.free, *size))
		if remaining--; remaining == 0 {
			return
		}
	}
}
