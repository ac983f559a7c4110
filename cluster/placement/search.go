package placement

import (
	"math/bits"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// bucketTries is the number of workers with room that are scored per bucket.
// Workers of a bucket differ by at most a quarter in what they have free.
const bucketTries = 4

// candidate is the best worker found so far.
type candidate struct {
	node  *node
	id    cluster.WorkerID
	score int64
}

// offer replaces the candidate by a worker with a lower score; equal scores go to the lower identifier.
func (c *candidate) offer(n *node, id cluster.WorkerID, score int64) {
	if c.node == nil || score < c.score || score == c.score && strings.Compare(string(id), string(c.id)) < 0 {
		c.node, c.id, c.score = n, id, score
	}
}

// search looks for the best worker of a class.
func (t *Table) search(c *class, req *Request, best *candidate) {
	if !req.Size.Fits(c.largest) {
		return
	}
	fromRow, fromColumn := cpuLevel(req.Size.CPU), memoryLevel(req.Size.Memory)
	for _, p := range c.planes[planeOf(req.Size.Accelerators):] {
		if p == nil {
			continue
		}
		for rows := p.rows >> fromRow << fromRow; rows != 0; rows &= rows - 1 {
			row := bits.TrailingZeros64(rows)
			for columns := p.columns[row] >> fromColumn << fromColumn; columns != 0; columns &= columns - 1 {
				t.searchBucket(p.buckets[row][bits.TrailingZeros64(columns)], &req.Size, best)
			}
		}
	}
}

func (t *Table) searchBucket(b *bucket, size *cluster.Resources, best *candidate) {
	tries := bucketTries
	for i := range b.entries {
		s := &b.entries[i]
		if !size.Fits(s.free) {
			continue
		}
		best.offer(s.node, s.id, t.score(s.node, s.free, *size))
		if tries--; tries == 0 {
			return
		}
	}
}
