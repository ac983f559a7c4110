package journal

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Defaults of a Config, and the delays between retries of a call whose result must become known.
const (
	DefaultBatchDelay    = 5 * time.Millisecond
	DefaultMaxRows       = 200
	DefaultTimeout       = 3 * time.Second
	DefaultRetryMinDelay = 50 * time.Millisecond
	DefaultRetryMaxDelay = 2 * time.Second
	// throttleDelay is the pause after a commit that exceeded the store's rate
	// limit; changes submitted in the meantime join the next transaction.
	throttleDelay = 100 * time.Millisecond
	// maxThrottleWait is how long after its submission a change is still retried
	// when the rate limit is exceeded.
	maxThrottleWait = 3 * time.Second
)

// Change is a set of checks and writes that is applied completely or not at all.
type Change struct {
	Checks  []platform.Check
	Puts    []platform.Put
	Deletes []string
}

// Config configures a Journal.
type Config struct {
	Store platform.TableService
	// Writer is the name of the journal's writer row; it must be unique among running journals.
	Writer string
	// BatchDelay is how long a transaction waits for more changes after the first one; zero means
	// DefaultBatchDelay.
	BatchDelay time.Duration
	// MaxRows limits the rows written by one transaction, except that a single
	// change with more rows is committed alone; zero means DefaultMaxRows.
	MaxRows int
	// Timeout limits one call to the store; zero means DefaultTimeout.
	Timeout time.Duration
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Journal groups changes into transactions and has at most one in flight. Every
// transaction also writes the journal's writer row, which holds the counter of
// its last transaction: reading that row shows whether a transaction whose reply
// was lost has been applied.
type Journal struct {
	cfg   Config
	queue chan *pendingChange
	stop  context.CancelFunc
	ctx   context.Context
	wg    conc.WaitGroup
	// lastCounter is the counter of the last transaction that was sent.
	lastCounter uint64
	// writerRowVersion is the version of the writer row as last read or written; zero if there is none.
	writerRowVersion cluster.Version

	mu     sync.Mutex
	closed bool
	// unresolvedRows counts, by row, the transactions that write it whose reply
	// was lost and whose result is not yet known.
	unresolvedRows map[string]int
}

// pendingChange is a change whose result has not been reported yet.
type pendingChange struct {
	change   Change
	done     func(cluster.Version, error)
	queuedAt time.Time
}

// New starts a journal; Close stops it.
func New(cfg Config) *Journal {
	if cfg.BatchDelay == 0 {
		cfg.BatchDelay = DefaultBatchDelay
	}
	if cfg.MaxRows == 0 {
		cfg.MaxRows = DefaultMaxRows
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	ctx, stop := context.WithCancel(context.Background())
	j := &Journal{cfg: cfg, queue: make(chan *pendingChange, 4096), ctx: ctx, stop: stop, unresolvedRows: map[string]int{}}
	j.wg.Go(j.run)
	return j
}

// Close stops the journal. It fails the queued changes and waits until the call
// in flight has ended, which may leave the results of its changes unknown.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.stop()
	j.wg.Wait()
}

// Submit queues a change; done is called exactly once, on another goroutine,
// with the version of the commit or an *Error.
func (j *Journal) Submit(change Change, done func(cluster.Version, error)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := &pendingChange{change, done, time.Now()}
	if j.closed {
		go done(0, &Error{Op: "commit", Kind: KindClosed})
		return
	}
	select {
	case j.queue <- p:
	default:
		go done(0, &Error{Op: "commit", Kind: KindUnavailable})
	}
}

// Commit queues a change and waits for its result; if ctx is done first, the error has KindUnknown.
func (j *Journal) Commit(ctx context.Context, change Change) (cluster.Version, error) {
	type result struct {
		version cluster.Version
		err     error
	}
	ch := make(chan result, 1)
	j.Submit(change, func(v cluster.Version, err error) { ch <- result{v, err} })
	select {
	case r := <-ch:
		return r.version, r.err
	case <-ctx.Done():
		return 0, &Error{Op: "commit", Kind: KindUnknown, Err: ctx.Err()}
	}
}

// IsUnresolved reports whether the reply to a transaction that writes or deletes
// the row was lost and its result is not yet known.
func (j *Journal) IsUnresolved(key string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.unresolvedRows[key] > 0
}

// run commits batches until the journal is closed.
func (j *Journal) run() {
	defer j.failQueued()
	var retained []*pendingChange
	for {
		batch, rest, ok := j.collectBatch(retained)
		if !ok {
			return
		}
		retained = append(rest, j.commitBatch(batch)...)
	}
}

// collectBatch returns the changes of the next transaction and those that have
// to wait for a later one. If changes, which are those retained from the previous
// transaction, is not empty, it adds what is queued already. Otherwise it waits
// for a change and then for more until the batch delay has passed or the row
// limit is reached; it returns false if the journal is closed first.
func (j *Journal) collectBatch(changes []*pendingChange) (batch, rest []*pendingChange, ok bool) {
	if len(changes) > 0 {
		changes = j.appendQueued(changes)
	} else {
		select {
		case <-j.ctx.Done():
			return nil, nil, false
		case p := <-j.queue:
			changes = append(changes, p)
		}
		timer := time.NewTimer(j.cfg.BatchDelay)
		defer timer.Stop()
	collect:
		for countRows(changes) < j.cfg.MaxRows {
			select {
			case p := <-j.queue:
				changes = append(changes, p)
			case <-timer.C:
				break collect
			case <-j.ctx.Done():
				break collect
			}
		}
	}
	return splitBatch(changes, j.cfg.MaxRows)
}

// appendQueued adds the changes that are in the queue, up to the row limit.
func (j *Journal) appendQueued(changes []*pendingChange) []*pendingChange {
	for countRows(changes) < j.cfg.MaxRows {
		select {
		case p := <-j.queue:
			changes = append(changes, p)
		default:
			return changes
		}
	}
	return changes
}

func countRows(batch []*pendingChange) int {
	n := 0
	for _, p := range batch {
		n += len(p.change.Puts) + len(p.change.Deletes)
	}
	return n
}

// splitBatch splits off the longest prefix of changes that stays within the row
// limit and in which no change checks or writes a row written by an earlier one.
func splitBatch(all []*pendingChange, maxRows int) (batch, rest []*pendingChange, ok bool) {
	touched := map[string]bool{}
	n := 0
	for i, p := range all {
		n += len(p.change.Puts) + len(p.change.Deletes)
		if i > 0 && (n > maxRows || touchesAny(p, touched)) {
			return all[:i], all[i:], true
		}
		for _, put := range p.change.Puts {
			touched[put.Key] = true
		}
		for _, key := range p.change.Deletes {
			touched[key] = true
		}
	}
	return all, nil, true
}

func touchesAny(p *pendingChange, touched map[string]bool) bool {
	for _, c := range p.change.Checks {
		if touched[c.Key] {
			return true
		}
	}
	for _, put := range p.change.Puts {
		if touched[put.Key] {
			return true
		}
	}
	for _, key := range p.change.Deletes {
		if touched[key] {
			return true
		}
	}
	return false
}

// commitBatch commits a batch, reports the results and returns the changes to
// retry because another change had a conflict or the rate limit was exceeded.
func (j *Journal) commitBatch(batch []*pendingChange) []*pendingChange {
	j.lastCounter++
	txn := j.buildTransaction(batch)
	j.cfg.Metrics.Counter("journal_transactions").Inc(1)
	j.cfg.Metrics.Counter("journal_rows").Inc(int64(len(txn.Puts) + len(txn.Deletes)))
	ctx, cancel := context.WithTimeout(j.ctx, j.cfg.Timeout)
	version, err := j.cfg.Store.Commit(ctx, txn)
	cancel()
	if err == nil {
		j.writerRowVersion = version
		reportResult(batch, version, nil)
		return nil
	}
	switch {
	case platform.IsKind(err, platform.KindConflict):
		return j.handleConflict(batch, err)
	case platform.IsKind(err, platform.KindThrottled):
		return j.handleThrottled(batch, err)
	case platform.IsKind(err, platform.KindUnavailable):
		reportResult(batch, 0, &Error{Op: "commit", Kind: KindUnavailable, Err: err})
		return nil
	case platform.IsKind(err, platform.KindInvalid):
		reportResult(batch, 0, &Error{Op: "commit", Kind: KindInvalid, Err: err})
		return nil
	}
	j.resolveLostReply(batch, txn, err)
	return nil
}

// handleThrottled waits after a commit that exceeded the rate limit, fails the
// changes that were submitted too long ago and returns the others for a retry.
func (j *Journal) handleThrottled(batch []*pendingChange, err error) []*pendingChange {
	j.cfg.Metrics.Counter("journal_throttled").Inc(1)
	select {
	case <-time.After(throttleDelay):
	case <-j.ctx.Done():
	}
	var retryable []*pendingChange
	for _, p := range batch {
		if j.ctx.Err() != nil || time.Since(p.queuedAt) > maxThrottleWait {
			p.done(0, &Error{Op: "commit", Kind: KindUnavailable, Err: err})
			continue
		}
		retryable = append(retryable, p)
	}
	return retryable
}

func (j *Journal) buildTransaction(batch []*pendingChange) platform.Txn {
	var txn platform.Txn
	for _, p := range batch {
		txn.Checks = append(txn.Checks, p.change.Checks...)
		txn.Puts = append(txn.Puts, p.change.Puts...)
		txn.Deletes = append(txn.Deletes, p.change.Deletes...)
	}
	// The check of the writer row prevents a transaction that was delayed in the
	// network from being applied after a later one.
	txn.Checks = append(txn.Checks, platform.Check{Key: j.writerRowKey(), Version: j.writerRowVersion})
	txn.Puts = append(txn.Puts, platform.Put{Key: j.writerRowKey(), Value: binary.BigEndian.AppendUint64(nil, j.lastCounter)})
	return txn
}

func (j *Journal) writerRowKey() string { return "txn/" + j.cfg.Writer }

// handleConflict fails the changes that check the conflicting row and returns
// the others for a retry. If the writer row conflicts, it reads that row and
// returns the whole batch.
func (j *Journal) handleConflict(batch []*pendingChange, err error) []*pendingChange {
	var perr *platform.Error
	key := ""
	if errors.As(err, &perr) {
		key = perr.Key
	}
	if key == j.writerRowKey() {
		// The row has another version than expected, for example because an
		// earlier journal used the same writer name.
		j.readWriterRow()
		return batch
	}
	var retryable []*pendingChange
	failed := false
	for _, p := range batch {
		if checksRow(p, key) {
			failed = true
			p.done(0, &Error{Op: "commit", Kind: KindConflict, Key: key, Err: err})
			continue
		}
		retryable = append(retryable, p)
	}
	if !failed {
		reportResult(batch, 0, &Error{Op: "commit", Kind: KindConflict, Key: key, Err: err})
		return nil
	}
	return retryable
}

func checksRow(p *pendingChange, key string) bool {
	for _, c := range p.change.Checks {
		if c.Key == key {
			return true
		}
	}
	return false
}

// resolveLostReply determines whether a transaction whose reply was lost was
// applied, prevents it from being applied later and reports the result.
func (j *Journal) resolveLostReply(batch []*pendingChange, txn platform.Txn, cause error) {
	j.cfg.Log.Warn().Err(cause).Uint64("counter", j.lastCounter).Msg("journal: reply to commit lost; reading the writer row to determine the result")
	j.cfg.Metrics.Counter("journal_lost_answers").Inc(1)
	j.addUnresolved(txn, 1)
	defer j.addUnresolved(txn, -1)
	sentVersion := j.writerRowVersion
	counter, ok := j.readWriterRow()
	if !ok {
		reportResult(batch, 0, &Error{Op: "commit", Kind: KindUnknown, Err: cause})
		return
	}
	if counter == j.lastCounter {
		reportResult(batch, j.writerRowVersion, nil)
		return
	}
	// The transaction may still be in the network. Overwriting the writer row
	// makes its check fail, so that it can't be applied after this returns.
	if !j.overwriteWriterRow(sentVersion) {
		counter, ok = j.readWriterRow()
		switch {
		case ok && counter == j.lastCounter:
			reportResult(batch, j.writerRowVersion, nil)
			return
		case ok && (counter != 0 || j.writerRowVersion == 0):
			// Another process has deleted or replaced the row, which may have had the counter before.
			reportResult(batch, 0, &Error{Op: "commit", Kind: KindUnknown, Err: cause})
			return
		}
	}
	if j.ctx.Err() != nil {
		reportResult(batch, 0, &Error{Op: "commit", Kind: KindUnknown, Err: cause})
		return
	}
	reportResult(batch, 0, &Error{Op: "commit", Kind: KindUnavailable, Err: cause})
}

// overwriteWriterRow writes the writer row with counter 0, which no transaction
// has. It retries until the store replies and returns false if the row no longer
// has the given version or if the journal is closed first.
func (j *Journal) overwriteWriterRow(version cluster.Version) bool {
	applied := false
	j.retry(func(ctx context.Context) bool {
		txn := platform.Txn{
			Checks: []platform.Check{{Key: j.writerRowKey(), Version: version}},
			Puts:   []platform.Put{{Key: j.writerRowKey(), Value: binary.BigEndian.AppendUint64(nil, 0)}},
		}
		v, err := j.cfg.Store.Commit(ctx, txn)
		if err == nil {
			j.writerRowVersion, applied = v, true
			return true
		}
		return platform.IsKind(err, platform.KindConflict)
	})
	return applied
}

// readWriterRow returns the counter in the writer row, 0 if there is no such
// row, and sets writerRowVersion. It retries until the store replies and returns
// false if the journal is closed first.
func (j *Journal) readWriterRow() (counter uint64, ok bool) {
	j.retry(func(ctx context.Context) bool {
		reply, err := j.cfg.Store.Read(ctx, platform.ReadRequest{Keys: []string{j.writerRowKey()}})
		if err != nil {
			return false
		}
		counter, ok, j.writerRowVersion = 0, true, 0
		if len(reply.Rows) == 1 && !reply.Rows[0].Deleted && len(reply.Rows[0].Value) == 8 {
			counter = binary.BigEndian.Uint64(reply.Rows[0].Value)
			j.writerRowVersion = reply.Rows[0].Version
		}
		return true
	})
	return counter, ok
}

// retry calls f with exponential delays until it returns true or the journal is closed.
func (j *Journal) retry(f func(ctx context.Context) bool) {
	delay := DefaultRetryMinDelay
	for j.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(j.ctx, j.cfg.Timeout)
		ok := f(ctx)
		cancel()
		if ok {
			return
		}
		select {
		case <-time.After(delay):
		case <-j.ctx.Done():
		}
		delay = min(2*delay, DefaultRetryMaxDelay)
	}
}

// addUnresolved adds delta to the counts of unresolved transactions of all rows that txn writes.
func (j *Journal) addUnresolved(txn platform.Txn, delta int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	add := func(key string) {
		j.unresolvedRows[key] += delta
		if j.unresolvedRows[key] == 0 {
			delete(j.unresolvedRows, key)
		}
	}
	for _, p := range txn.Puts {
		add(p.Key)
	}
	for _, key := range txn.Deletes {
		add(key)
	}
}

// failQueued fails the changes that are still in the queue after the journal was closed.
func (j *Journal) failQueued() {
	for {
		select {
		case p := <-j.queue:
			p.done(0, &Error{Op: "commit", Kind: KindClosed})
		default:
			return
		}
	}
}

func reportResult(batch []*pendingChange, version cluster.Version, err error) {
	for _, p := range batch {
		p.done(version, err)
	}
}
