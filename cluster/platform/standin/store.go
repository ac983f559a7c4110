package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// maxObjectBytes limits the size of an object.
const maxObjectBytes = 4 << 20

var (
	errDown        = errors.New("the service is down")
	errPartitioned = errors.New("the region is cut off")
	errReplyLost   = errors.New("the answer was lost")
	errRateLimit   = errors.New("rows per second exceeded")
)

// delayedTxn is an accepted transaction that is applied later.
type delayedTxn struct {
	txn     platform.Txn
	applyAt time.Time
}

// Read returns a consistent view of the selected rows.
func (c *Caller) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	const op = "read"
	if err := c.beginStoreCall(ctx, op); err != nil {
		return platform.ReadReply{}, err
	}
	if err := c.p.sleep(ctx, c.p.Faults().StoreDelay); err != nil {
		return platform.ReadReply{}, unavailableError(op, err)
	}
	reply, err := c.p.read(req)
	if err == nil {
		err = c.endStoreCall(ctx, op, platform.KindUnavailable)
	}
	if err != nil {
		return platform.ReadReply{}, err
	}
	return reply, nil
}

// read executes a read within the rate limit.
func (p *Platform) read(req platform.ReadRequest) (platform.ReadReply, error) {
	const op = "read"
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	p.applyDelayed(now)
	p.stats.Reads++
	// The number of rows is known only after the read. A large read may make the
	// token count negative; reads are throttled until it has recovered.
	if p.readLimiter.TokensAt(now) < 1 {
		p.stats.Throttled++
		return platform.ReadReply{}, &platform.Error{Op: op, Kind: platform.KindThrottled, Err: errRateLimit}
	}
	if p.table.expired(req.SinceVersion) {
		charge(p.readLimiter, now, 1)
		return platform.ReadReply{}, &platform.Error{Op: op, Kind: platform.KindExpired, Err: fmt.Errorf("deletes up to version %d are no longer known", p.table.collectedVersion)}
	}
	reply, err := p.table.read(req)
	if err != nil {
		return platform.ReadReply{}, &platform.Error{Op: op, Kind: platform.KindInvalid, Err: err}
	}
	charge(p.readLimiter, now, max(1, len(reply.Rows)))
	p.stats.RowsRead += int64(len(reply.Rows))
	return reply, nil
}

// charge consumes n tokens, in steps because a limiter rejects reservations
// larger than its burst.
func charge(l *rate.Limiter, now time.Time, n int) {
	for n > 0 {
		step := min(n, l.Burst())
		l.ReserveN(now, step)
		n -= step
	}
}

// Commit applies a transaction atomically and returns its version.
func (c *Caller) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	const op = "commit"
	if err := c.beginStoreCall(ctx, op); err != nil {
		return 0, err
	}
	if delay := c.p.Faults().StoreDelay; delay > 0 {
		applyAt := c.p.cfg.Clock().Add(delay)
		if err := c.p.sleep(ctx, delay); err != nil {
			// The caller has stopped waiting, but the service has received the
			// transaction and still applies it.
			c.p.scheduleTxn(txn, applyAt)
			return 0, unknownError(op, err)
		}
	}
	version, err := c.p.commit(txn)
	if platform.IsKind(err, platform.KindUnknown) || err == nil {
		if e := c.endStoreCall(ctx, op, platform.KindUnknown); e != nil {
			return 0, e
		}
	}
	return version, err
}

// beginStoreCall simulates the request of a call to the table service, with its
// latency and faults. Its errors have the kind KindUnavailable, or KindUnknown for
// a commit to a stalled store.
func (c *Caller) beginStoreCall(ctx context.Context, op string) error {
	if err := ctx.Err(); err != nil {
		return unavailableError(op, err)
	}
	f := c.p.Faults()
	if f.partitioned(c.place.Region, c.p.cfg.Cell.StoreRegion) {
		return unavailableError(op, errPartitioned)
	}
	if err := c.waitLatency(ctx, c.p.storePlace()); err != nil {
		return unavailableError(op, err)
	}
	if f.StoreDown {
		return unavailableError(op, errDown)
	}
	if f.StoreStalled {
		c.p.mu.Lock()
		c.p.stats.StalledCalls++
		c.p.mu.Unlock()
		<-ctx.Done()
		if op == "commit" {
			return unknownError(op, ctx.Err())
		}
		return unavailableError(op, ctx.Err())
	}
	return nil
}

// endStoreCall simulates the latency of the reply. If the caller stops waiting,
// it returns an error of the given kind.
func (c *Caller) endStoreCall(ctx context.Context, op string, kind platform.Kind) error {
	if err := c.waitLatency(ctx, c.p.storePlace()); err != nil {
		return &platform.Error{Op: op, Kind: kind, Err: err}
	}
	return nil
}

// commit executes a transaction within the rate limit, or loses its reply.
func (p *Platform) commit(txn platform.Txn) (cluster.Version, error) {
	const op = "commit"
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	p.applyDelayed(now)
	p.stats.Commits++
	if err := checkTxn(txn); err != nil {
		return 0, &platform.Error{Op: op, Kind: platform.KindInvalid, Err: err}
	}
	rows := max(1, len(txn.Puts)+len(txn.Deletes))
	if p.writeLimiter.TokensAt(now) < float64(min(rows, p.writeLimiter.Burst())) {
		p.stats.Throttled++
		return 0, &platform.Error{Op: op, Kind: platform.KindThrottled, Err: errRateLimit}
	}
	charge(p.writeLimiter, now, rows)
	if p.chance(p.faults.LostCommitReplies) {
		p.stats.LostReplies++
		if !p.chance(p.faults.LostCommitUnapplied) {
			p.delayedTxns = append(p.delayedTxns, delayedTxn{cloneTxn(txn), now.Add(p.faults.LostCommitDelay)})
			p.applyDelayed(now)
		}
		return 0, unknownError(op, errReplyLost)
	}
	if key, conflicting := p.table.findConflict(txn); conflicting {
		return 0, &platform.Error{Op: op, Kind: platform.KindConflict, Key: key}
	}
	p.stats.RowsWritten += int64(len(txn.Puts) + len(txn.Deletes))
	return p.table.apply(txn, now), nil
}

// scheduleTxn accepts a transaction whose caller has stopped waiting, and applies
// it at the given time.
func (p *Platform) scheduleTxn(txn platform.Txn, applyAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if checkTxn(txn) == nil {
		p.delayedTxns = append(p.delayedTxns, delayedTxn{cloneTxn(txn), applyAt})
	}
}

// applyDelayed applies the delayed transactions that are due and whose checks
// hold; it discards those whose checks fail.
func (p *Platform) applyDelayed(now time.Time) {
	remaining := p.delayedTxns[:0]
	for _, d := range p.delayedTxns {
		if d.applyAt.After(now) {
			remaining = append(remaining, d)
			continue
		}
		if _, failed := p.table.findConflict(d.txn); !failed {
			p.stats.RowsWritten += int64(len(d.txn.Puts) + len(d.txn.Deletes))
			p.table.apply(d.txn, now)
		}
	}
	clear(p.delayedTxns[len(remaining):])
	p.delayedTxns = remaining
}

// cloneTxn returns a deep copy of a transaction, because the caller may reuse its slices.
func cloneTxn(txn platform.Txn) platform.Txn {
	puts := make([]platform.Put, len(txn.Puts))
	for i, put := range txn.Puts {
		puts[i] = platform.Put{Key: put.Key, Value: slices.Clone(put.Value)}
	}
	return platform.Txn{Checks: slices.Clone(txn.Checks), Puts: puts, Deletes: slices.Clone(txn.Deletes)}
}

// chance returns true with the given probability. For a probability of zero it
// doesn't use the random number generator, so that the sequence of random numbers
// depends only on the faults in use.
func (p *Platform) chance(probability float64) bool {
	return probability > 0 && p.rng.Float64() < probability
}

// PutObject stores an object.
func (c *Caller) PutObject(ctx context.Context, name string, data []byte) error {
	const op = "put object"
	if err := c.beginObjectCall(ctx, op); err != nil {
		return err
	}
	if name == "" || len(data) > maxObjectBytes {
		return &platform.Error{Op: op, Kind: platform.KindInvalid, Err: fmt.Errorf("name %q, %d bytes", name, len(data))}
	}
	c.p.mu.Lock()
	c.p.objects[name] = slices.Clone(data)
	c.p.mu.Unlock()
	return c.endStoreCall(ctx, op, platform.KindUnknown)
}

// GetObject returns an object.
func (c *Caller) GetObject(ctx context.Context, name string) ([]byte, error) {
	const op = "get object"
	if err := c.beginObjectCall(ctx, op); err != nil {
		return nil, err
	}
	c.p.mu.Lock()
	data, ok := c.p.objects[name]
	c.p.mu.Unlock()
	if err := c.endStoreCall(ctx, op, platform.KindUnavailable); err != nil {
		return nil, err
	}
	if !ok {
		return nil, &platform.Error{Op: op, Kind: platform.KindNotFound, Key: name}
	}
	return slices.Clone(data), nil
}

// beginObjectCall simulates the request of a call to the object store, with its
// latency and faults.
func (c *Caller) beginObjectCall(ctx context.Context, op string) error {
	f := c.p.Faults()
	if f.partitioned(c.place.Region, c.p.cfg.Cell.StoreRegion) {
		return unavailableError(op, errPartitioned)
	}
	if err := c.waitLatency(ctx, c.p.storePlace()); err != nil {
		return unavailableError(op, err)
	}
	if f.ObjectsDown {
		return unavailableError(op, errDown)
	}
	return nil
}
