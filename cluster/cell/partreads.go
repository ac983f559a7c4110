package cell

import (
	"errors"
	"sync/atomic"

	"github.com/sourcegraph/conc/pool"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// maxConcurrentPartReads leaves half of the connections to the store to other calls.
	maxConcurrentPartReads = 8
	// slowConcurrentPartReads is the concurrency after reads of which none arrived in time: fewer parts at a time arrive
	// sooner on a slow link.
	slowConcurrentPartReads = 4
)

// partReads reads the parts of a table concurrently and keeps those that were read while others fail.
type partReads[T any] struct {
	read    func(part int) (T, error)
	results []T
	done    []bool
	// concurrency is the number of parts that are read at a time.
	concurrency int
}

func newPartReads[T any](parts int, read func(part int) (T, error)) *partReads[T] {
	return &partReads[T]{read: read, results: make([]T, parts), done: make([]bool, parts), concurrency: maxConcurrentPartReads}
}

// readMissing reads the parts that earlier calls could not read. It gives up early if none arrives; the next call then
// reads fewer at a time. It returns all parts once each has been read; the call after that reads all of them again.
func (r *partReads[T]) readMissing() ([]T, error) {
	errs := make([]error, len(r.done))
	var arrived, failed atomic.Int64
	reads := pool.New().WithMaxGoroutines(r.concurrency)
	for part, done := range r.done {
		if done {
			continue
		}
		if arrived.Load() == 0 && failed.Load() >= int64(r.concurrency) {
			break
		}
		reads.Go(func() {
			r.results[part], errs[part] = r.read(part)
			if errs[part] != nil {
				failed.Add(1)
				return
			}
			arrived.Add(1)
			r.done[part] = true
		})
	}
	reads.Wait()
	if err := errors.Join(errs...); err != nil {
		if arrived.Load() == 0 {
			r.concurrency = slowConcurrentPartReads
		}
		return nil, err
	}
	results := r.results
	*r = *newPartReads(len(results), r.read)
	return results, nil
}

// mergeReplies merges the replies of reads of several parts. Its version is the lowest of all, so that a feed that
// starts there misses no change, however long ago some of the parts were read.
func mergeReplies(replies []platform.ReadReply) platform.ReadReply {
	merged := replies[0]
	for _, r := range replies[1:] {
		merged.Rows = append(merged.Rows, r.Rows...)
		merged.AsOf = min(merged.AsOf, r.AsOf)
	}
	return merged
}
