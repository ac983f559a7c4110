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

// Defaults of a Config.
const (
	DefaultGather     = 5 * time.Millisecond
	DefaultMaxRows    = 200
	DefaultTimeout    = 3 * time.Second
	DefaultRetryFirst = 50 * time.Millisecond
	DefaultRetryMax   = 2 * time.Second
	// throttleDelay is the pause after a commit over the store's rate limit;
	// changes that arrive meanwhile join the next transaction.
	throttleDelay = 100 * time.Millisecond
	// throttlePatience is how long a change is retried over the rate limit.
	throttlePatience = 3 * time.Second
)

// Change is a set of checks and writes that applies as a whole.
type Change struct {
	Checks  []platform.Check
	Puts    []platform.Put
	Deletes []string
}

// Config configures a Journal.
type Config struct {
	Store platform.TableService
	// Writer names this journal's row; it is unique among running journals.
	Writer string
	// Gather is how long a transaction waits for more changes.
	Gather time.Duration
	// MaxRows limits the rows written by one transaction.
	MaxRows int
	// Timeout limits one call to the store.
	Timeout time.Duration
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Journal groups changes into transactions, one in flight at a time.
type Journal struct {
	cfg     Config
	queue   chan *pending
	stop    context.CancelFunc
	ctx     context.Context
	wg      conc.WaitGroup
	counter uint64
	rowVer  cluster.Version

	mu     sync.Mutex
	closed bool
	doubt  map[string]int
}

type pending struct {
	change Change
	done   func(cluster.Version, error)
	queued time.Time
}

// New starts a journal; Close stops it.
func New(cfg Config) *Journal {
	if cfg.Gather == 0 {
		cfg.Gather = DefaultGather
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
	j := &Journal{cfg: cfg, queue: make(chan *pending, 4096), ctx: ctx, stop: stop, doubt: map[string]int{}}
	j.wg.Go(j.run)
	return j
}

// Close fails the changes not yet sent and waits for the one in flight or for its call to end.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.stop()
	j.wg.Wait()
}

// Submit queues a change; done is called exactly once, when the result is known, on another goroutine.
func (j *Journal) Submit(change Change, done func(cluster.Version, error)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := &pending{change, done, time.Now()}
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

// Commit queues a change and waits for its result; if ctx ends first the error has KindUnknown.
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

// Doubtful reports whether a transaction that writes or deletes the row is in flight with a result not yet known.
func (j *Journal) Doubtful(key string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.doubt[key] > 0
}

func (j *Journal) run() {
	defer j.drain()
	var carry []*pending
	for {
		batch, rest, ok := j.gather(carry)
		if !ok {
			return
		}
		carry = append(rest, j.commitBatch(batch)...)
	}
}

// gather waits for the first change and collects more until the gather time or the row limit.
func (j *Journal) gather(carry []*pending) (batch, rest []*pending, ok bool) {
	if len(carry) > 0 {
		carry = j.take(carry)
	} else {
		select {
		case <-j.ctx.Done():
			return nil, nil, false
		case p := <-j.queue:
			carry = append(carry, p)
		}
		timer := time.NewTimer(j.cfg.Gather)
		defer timer.Stop()
	collect:
		for rows(carry) < j.cfg.MaxRows {
			select {
			case p := <-j.queue:
				carry = append(carry, p)
			case <-timer.C:
				break collect
			case <-j.ctx.Done():
				break collect
			}
		}
	}
	return split(carry, j.cfg.MaxRows)
}

// take adds the changes that are waiting already.
func (j *Journal) take(carry []*pending) []*pending {
	for rows(carry) < j.cfg.MaxRows {
		select {
		case p := <-j.queue:
			carry = append(carry, p)
		default:
			return carry
		}
	}
	return carry
}

func rows(batch []*pending) int {
	n := 0
	for _, p := range batch {
		n += len(p.change.Puts) + len(p.change.Deletes)
	}
	return n
}

// split takes the longest prefix of changes that touch different rows and stay within the row limit.
func split(all []*pending, maxRows int) (batch, rest []*pending, ok bool) {
	touched := map[string]bool{}
	n := 0
	for i, p := range all {
		n += len(p.change.Puts) + len(p.change.Deletes)
		if i > 0 && (n > maxRows || overlaps(p, touched)) {
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

func overlaps(p *pending, touched map[string]bool) bool {
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

// commitBatch commits a batch and returns the changes to try again after another's conflict.
func (j *Journal) commitBatch(batch []*pending) []*pending {
	j.counter++
	txn := j.transaction(batch)
	j.cfg.Metrics.Counter("journal_transactions").Inc(1)
	j.cfg.Metrics.Counter("journal_rows").Inc(int64(len(txn.Puts) + len(txn.Deletes)))
	ctx, cancel := context.WithTimeout(j.ctx, j.cfg.Timeout)
	version, err := j.cfg.Store.Commit(ctx, txn)
	cancel()
	if err == nil {
		j.rowVer = version
		finish(batch, version, nil)
		return nil
	}
	switch {
	case platform.IsKind(err, platform.KindConflict):
		return j.conflict(batch, err)
	case platform.IsKind(err, platform.KindThrottled):
		return j.throttled(batch, err)
	case platform.IsKind(err, platform.KindUnavailable):
		finish(batch, 0, &Error{Op: "commit", Kind: KindUnavailable, Err: err})
		return nil
	case platform.IsKind(err, platform.KindInvalid):
		finish(batch, 0, &Error{Op: "commit", Kind: KindInvalid, Err: err})
		return nil
	}
	j.resolve(batch, txn, err)
	return nil
}

// throttled waits after a commit over the rate limit, fails the changes that
// have waited too long and returns the others.
func (j *Journal) throttled(batch []*pending, err error) []*pending {
	j.cfg.Metrics.Counter("journal_throttled").Inc(1)
	select {
	case <-time.After(throttleDelay):
	case <-j.ctx.Done():
	}
	var again []*pending
	for _, p := range batch {
		if j.ctx.Err() != nil || time.Since(p.queued) > throttlePatience {
			p.done(0, &Error{Op: "commit", Kind: KindUnavailable, Err: err})
			continue
		}
		again = append(again, p)
	}
	return again
}

func (j *Journal) transaction(batch []*pending) platform.Txn {
	var txn platform.Txn
	for _, p := range batch {
		txn.Checks = append(txn.Checks, p.change.Checks...)
		txn.Puts = append(txn.Puts, p.change.Puts...)
		txn.Deletes = append(txn.Deletes, p.change.Deletes...)
	}
	// The check on the writer's own row keeps a transaction that was delayed on
	// the way from applying after a later one.
	txn.Checks = append(txn.Checks, platform.Check{Key: j.row(), Version: j.rowVer})
	txn.Puts = append(txn.Puts, platform.Put{Key: j.row(), Value: binary.BigEndian.AppendUint64(nil, j.counter)})
	return txn
}

func (j *Journal) row() string { return "txn/" + j.cfg.Writer }

// conflict fails the changes that check the conflicting row and returns the others.
func (j *Journal) conflict(batch []*pending, err error) []*pending {
	var perr *platform.Error
	key := ""
	if errors.As(err, &perr) {
		key = perr.Key
	}
	if key == j.row() {
		// The version of the writer's row is unknown, for example after a restart under the same name.
		j.readBack()
		return batch
	}
	var again []*pending
	failed := false
	for _, p := range batch {
		if checks(p, key) {
			failed = true
			p.done(0, &Error{Op: "commit", Kind: KindConflict, Key: key, Err: err})
			continue
		}
		again = append(again, p)
	}
	if !failed {
		finish(batch, 0, &Error{Op: "commit", Kind: KindConflict, Key: key, Err: err})
		return nil
	}
	return again
}

func checks(p *pending, key string) bool {
	for _, c := range p.change.Checks {
		if c.Key == key {
			return true
		}
	}
	return false
}

// resolve finds out whether a transaction with a lost answer was applied.
func (j *Journal) resolve(batch []*pending, txn platform.Txn, cause error) {
	j.cfg.Log.Warn().Err(cause).Uint64("counter", j.counter).Msg("journal: answer of commit lost; reading it back")
	j.cfg.Metrics.Counter("journal_lost_answers").Inc(1)
	j.markDoubt(txn, 1)
	defer j.markDoubt(txn, -1)
	before := j.rowVer
	counter, ok := j.readBack()
	if !ok {
		finish(batch, 0, &Error{Op: "commit", Kind: KindUnknown, Err: cause})
		return
	}
	if counter == j.counter {
		finish(batch, j.rowVer, nil)
		return
	}
	// The transaction may still be on its way. Writing the row makes its check
	// fail, so that it can't apply once this returns.
	if !j.invalidate(before) {
		if counter, ok = j.readBack(); ok && counter == j.counter {
			finish(batch, j.rowVer, nil)
			return
		}
	}
	if j.ctx.Err() != nil {
		finish(batch, 0, &Error{Op: "commit", Kind: KindUnknown, Err: cause})
		return
	}
	finish(batch, 0, &Error{Op: "commit", Kind: KindUnavailable, Err: cause})
}

// invalidate overwrites the writer's row; it returns false if the row had changed.
func (j *Journal) invalidate(version cluster.Version) bool {
	applied := false
	j.retry(func(ctx context.Context) bool {
		txn := platform.Txn{
			Checks: []platform.Check{{Key: j.row(), Version: version}},
			Puts:   []platform.Put{{Key: j.row(), Value: binary.BigEndian.AppendUint64(nil, 0)}},
		}
		v, err := j.cfg.Store.Commit(ctx, txn)
		if err == nil {
			j.rowVer, applied = v, true
			return true
		}
		return platform.IsKind(err, platform.KindConflict)
	})
	return applied
}

// readBack reads the writer's row until the store answers; it returns false if the journal is closed first.
func (j *Journal) readBack() (counter uint64, ok bool) {
	j.retry(func(ctx context.Context) bool {
		reply, err := j.cfg.Store.Read(ctx, platform.ReadRequest{Keys: []string{j.row()}})
		if err != nil {
			return false
		}
		counter, ok, j.rowVer = 0, true, 0
		if len(reply.Rows) == 1 && !reply.Rows[0].Deleted && len(reply.Rows[0].Value) == 8 {
			counter = binary.BigEndian.Uint64(reply.Rows[0].Value)
			j.rowVer = reply.Rows[0].Version
		}
		return true
	})
	return counter, ok
}

// retry calls f with growing delays until it returns true or the journal is closed.
func (j *Journal) retry(f func(ctx context.Context) bool) {
	delay := DefaultRetryFirst
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
		delay = min(2*delay, DefaultRetryMax)
	}
}

func (j *Journal) markDoubt(txn platform.Txn, by int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	mark := func(key string) {
		j.doubt[key] += by
		if j.doubt[key] == 0 {
			delete(j.doubt, key)
		}
	}
	for _, p := range txn.Puts {
		mark(p.Key)
	}
	for _, key := range txn.Deletes {
		mark(key)
	}
}

// drain fails the changes that were queued when the journal was closed.
func (j *Journal) drain() {
	for {
		select {
		case p := <-j.queue:
			p.done(0, &Error{Op: "commit", Kind: KindClosed})
		default:
			return
		}
	}
}

func finish(batch []*pending, version cluster.Version, err error) {
	for _, p := range batch {
		p.done(version, err)
	}
}
