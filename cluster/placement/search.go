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
	for _, p := range c.grids[gridIndex(req.Size.Accelerators):] {
		if p == nil {
			continue
		}
		for rows := p.rowMask >> fromRow << fromRow; rows != 0; rows &= rows - 1 {
			row := bits.TrailingZeros64(rows)
			for columns := p.columnMasks[row] >> fromColumn << fromColumn; columns != 0; columns &= columns - 1 {
				t.searchBucket(p.buckets[row][bits.TrailingZeros64(columns)], &req.Size, best)
			}
		}
	}
}

func (t *Table) searchBucket(b *bucket, size *cluster.Resources, best *candidate) {
	tries := maxScoredPerBucket
	for i := range b.entries {
		s := &b.entries[i]
		if !size.Fits(s.free) {
			continue
		}
		best.replaceIfBetter(s.node, s.id, t.score(s.node, s.free, *size))
		if tries--; tries == 0 {
			return
		}
	}
}
