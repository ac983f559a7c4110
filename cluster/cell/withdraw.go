package cell

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/admission"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// A job may be cancelled before it is in the store: the reply to its submission was lost, and the store writes it later, or
// another daemon is still writing it. The withdrawal writes a cancellation row to both parts that the job may be written to.
// Each submission checks that there is none, so that the store refuses it whenever it executes it, even if all daemons
// have been restarted meanwhile.

const (
	// withdrawnTime is how long the rows of a withdrawal are kept: the store may execute a write seconds after it was sent,
	// and clients repeat a submission for some seconds.
	withdrawnTime = 2 * time.Minute
	// withdrawnSweepInterval is the time between two deletions of expired rows.
	withdrawnSweepInterval = 10 * time.Second
	// withdrawalRate is how many jobs all daemons together withdraw in a second; a daemon has an equal part of it, but at
	// least minWithdrawalRate. Each takes two of the writes of the store and leaves two rows for withdrawnTime.
	withdrawalRate    = 60
	minWithdrawalRate = 1
	// teamWithdrawalShare is the part of a daemon's rate that one team may use.
	teamWithdrawalShare = 0.5
	// withdrawalBurstTime is the time whose withdrawals may come at once, as clients give up together after an outage.
	withdrawalBurstTime = 5 * time.Second
	// withdrawalReturn is when a client returns whose withdrawal was refused, before it is spread.
	withdrawalReturn = 2 * time.Second
)

var (
	// errWithdrawn is the cause of the refusal of a job that was cancelled before it was accepted.
	errWithdrawn = errors.New("not run: the job was cancelled before it was accepted")
	// errWithdrawals means that too many jobs are cancelled that are not in the store.
	errWithdrawals = errors.New("nothing was done: too many unknown jobs are cancelled")
)

// withdrawalLimiter limits the withdrawals of jobs at this daemon.
type withdrawalLimiter struct {
	written, refused tally.Counter

	mu    sync.Mutex
	all   *rate.Limiter
	teams map[cluster.TeamName]*rate.Limiter
}

func newWithdrawalLimiter(metrics tally.Scope) *withdrawalLimiter {
	return &withdrawalLimiter{
		written: metrics.Counter("job_withdrawals_total"), refused: metrics.Counter("job_withdrawal_refusals_total"),
		teams: map[cluster.TeamName]*rate.Limiter{},
	}
}

// allow reports whether a team may withdraw a job now. isTeam reports whether a team still exists.
func (l *withdrawalLimiter) allow(now time.Time, team cluster.TeamName, daemons int64, isTeam func(cluster.TeamName) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := max(minWithdrawalRate, float64(withdrawalRate)/float64(max(1, daemons)))
	if l.teams[team] == nil {
		maps.DeleteFunc(l.teams, func(other cluster.TeamName, _ *rate.Limiter) bool { return !isTeam(other) })
	}
	l.teams[team] = withRate(now, l.teams[team], limit*teamWithdrawalShare)
	l.all = withRate(now, l.all, limit)
	return l.teams[team].AllowN(now, 1) && l.all.AllowN(now, 1)
}

// withRate returns a limiter with a rate and its burst; a new one starts with the whole burst.
func withRate(now time.Time, l *rate.Limiter, perSecond float64) *rate.Limiter {
	limit, burst := rate.Limit(perSecond), max(1, int(perSecond*withdrawalBurstTime.Seconds()))
	if l == nil {
		return rate.NewLimiter(limit, burst)
	}
	if l.Limit() != limit {
		l.SetLimitAt(now, limit)
		l.SetBurstAt(now, burst)
	}
	return l
}

// withdraw writes the cancellation rows of a job that is not in the store. It returns true if the job has been written
// meanwhile, and else an Error, of kind KindNotFound once no earlier submission can write the job any more. The regular part
// comes first: a submission that finds the row of the alternate part can't be written to either.
func (d *Daemon) withdraw(ctx context.Context, id cluster.JobName, team cluster.TeamName) (written bool, err error) {
	isTeam := func(name cluster.TeamName) bool { return d.Snapshot().Teams[name] != nil }
	if !d.withdrawals.allow(time.Now(), team, d.daemonCount.Load(), isTeam) {
		d.withdrawals.refused.Inc(1)
		return false, &Error{Op: "cancel", Kind: KindOverloaded, Err: errWithdrawals, RetryAfter: admission.SpreadReturn(withdrawalReturn, rand.Float64())}
	}
	for i, key := range jobKeys(d.shardCount(), id) {
		switch err := d.writeWithdrawal(ctx, key); {
		case err == nil:
		case platform.IsKind(err, platform.KindConflict):
			return true, nil
		case i > 0 || platform.IsKind(err, platform.KindUnknown):
			// The row of one part is there, or may be.
			return false, &Error{Op: "cancel", Kind: KindUnknown, Err: err}
		default:
			return false, &Error{Op: "cancel", Kind: KindUnavailable, Err: err}
		}
	}
	d.withdrawals.written.Inc(1)
	d.cfg.Log.Info().Str("job", string(id)).Msg("cell: job that is not in the store withdrawn")
	return false, &Error{Op: "cancel", Kind: KindNotFound}
}

// writeWithdrawal writes the cancellation row of a job to a part that does not have the job, and retries until it is written,
// there is a conflict or ctx ends. The error is of kind KindUnknown if one of the attempts may have succeeded.
func (d *Daemon) writeWithdrawal(ctx context.Context, key string) error {
	txn := platform.Txn{Checks: []platform.Check{{Key: key}}, Puts: []platform.Put{{Key: key + cancelSuffix, Value: withdrawnValue}}}
	var unknown error
	for {
		_, err := d.store.Commit(ctx, txn)
		if err == nil || platform.IsKind(err, platform.KindConflict) {
			return err
		}
		if platform.IsKind(err, platform.KindUnknown) {
			unknown = err
		}
		if d.sleep(retryDelay) && ctx.Err() == nil {
			continue
		}
		if unknown != nil {
			return unknown
		}
		return err
	}
}

// withdrawnRows holds the rows of withdrawn jobs until their owner deletes them.
type withdrawnRows struct {
	mu   sync.Mutex
	rows map[string]withdrawnRow
}

// withdrawnRow is a row of a withdrawal that was first seen at a time.
type withdrawnRow struct {
	version cluster.Version
	seenAt  time.Time
}

// add notes a cancellation row that was read. Announced rows have no version and come with the feed again.
func (w *withdrawnRows) add(r platform.Row, now time.Time) {
	if r.Version == 0 || !bytes.Equal(r.Value, withdrawnValue) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rows == nil {
		w.rows = map[string]withdrawnRow{}
	}
	if w.rows[r.Key].version != r.Version {
		w.rows[r.Key] = withdrawnRow{version: r.Version, seenAt: now}
	}
}

// expired returns the transactions that delete the rows of withdrawals that have ended, each of one part of the store.
func (w *withdrawnRows) expired(now time.Time) []platform.Txn {
	const maxRows = maxDeletes / 2 // a row has a check and a deletion
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := map[string][]string{}
	for key, row := range w.rows {
		if now.Sub(row.seenAt) >= withdrawnTime {
			part := strings.TrimSuffix(key, rowName(key))
			parts[part] = append(parts[part], key)
		}
	}
	var txns []platform.Txn
	for _, keys := range parts {
		for chunk := range slices.Chunk(keys, maxRows) {
			txn := platform.Txn{Deletes: chunk}
			for _, key := range chunk {
				txn.Checks = append(txn.Checks, platform.Check{Key: key, Version: w.rows[key].version})
			}
			txns = append(txns, txn)
		}
	}
	return txns
}

// forget drops rows that have been deleted or changed, unless they were read again meanwhile.
func (w *withdrawnRows) forget(rows []platform.Check) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range rows {
		if w.rows[row.Key].version == row.Version {
			delete(w.rows, row.Key)
		}
	}
}

// forgetDeleted drops a row whose deletion the feed reports.
func (w *withdrawnRows) forgetDeleted(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.rows, key)
}

// deleteWithdrawnRows deletes the rows of withdrawals that have ended.
func (o *ownedShard) deleteWithdrawnRows() {
	for o.ctx.Err() == nil {
		o.sleep(withdrawnSweepInterval)
		for _, txn := range o.withdrawn.expired(time.Now()) {
			err := o.deleteWithdrawn(txn)
			if platform.IsKind(err, platform.KindConflict) {
				// One of the rows has changed.
				for i, key := range txn.Deletes {
					if err = o.deleteWithdrawn(platform.Txn{Checks: txn.Checks[i : i+1], Deletes: []string{key}}); platform.IsKind(err, platform.KindConflict) {
						// The feed reports the row again if it is still there.
						o.withdrawn.forget(txn.Checks[i : i+1])
						err = nil
					}
				}
			}
			if err != nil && o.ctx.Err() == nil {
				o.d.cfg.Log.Info().Err(err).Int("rows", len(txn.Deletes)).Msg("cell: rows of withdrawn jobs not deleted; retrying later")
			}
		}
	}
}

func (o *ownedShard) deleteWithdrawn(txn platform.Txn) error {
	_, err := o.d.store.Commit(o.ctx, txn)
	if err == nil {
		o.withdrawn.forget(txn.Checks)
	}
	return err
}
