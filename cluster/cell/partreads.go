package cell

import (
	"errors"

	"github.com/sourcegraph/conc/pool"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// maxConcurrentPartReads leaves half of the connections to the store, and of a slow link, to other calls.
const maxConcurrentPartReads = 8

// partReads reads the parts of a table concurrently and keeps those that were read while others fail.
type partReads[T any] struct {
	read    func(part int) (T, error)
	results []T
	done    []bool
}

func newPartReads[T any](parts int, read func(part int) (T, error)) *partReads[T] {
	return &partReads[T]{read: read, results: make([]T, parts), done: make([]bool, parts)}
}

// readMissing reads the parts that earlier calls could not read. It returns all parts once each has been read; the
// call after that reads all of them again.
func (r *partReads[T]) readMissing() ([]T, error) {
	errs := make([]error, len(r.done))
	reads := pool.New().WithMaxGoroutines(maxConcurrentPartReads)
	for part, done := range r.done {
		if done {
			continue
		}
		reads.Go(func() {
			r.results[part], errs[part] = r.read(part)
			r.done[part] = errs[part] == nil
		})
	}
	reads.Wait()
	if err := errors.Join(errs...); err != nil {
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
