package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// sweepEvery is the interval of deleting this daemon's expired rows.
	sweepEvery = 10 * time.Second
	// sweepBatch is the most rows deleted in one change; the journal writes at most 200 rows at a time.
	sweepBatch = 100
	// orphanEvery is the interval of reading one team's rows for those of daemons that have left.
	orphanEvery = time.Minute
)

// keyTable holds the idempotency keys that this daemon works on, and those of its rows that will expire.
type keyTable struct {
	mu      sync.Mutex
	running map[string]*keyRecord
	// expiring is ordered by time, because all rows are kept equally long.
	expiring []expiringRow
}

type expiringRow struct {
	row     string
	version cluster.Version
	at      time.Time
}

func newKeyTable() *keyTable { return &keyTable{running: map[string]*keyRecord{}} }

// claim notes a key as in work; if it is already, it returns the record of the first request.
func (t *keyTable) claim(row string, record *keyRecord) *keyRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first := t.running[row]; first != nil {
		return first
	}
	t.running[row] = record
	return nil
}

func (t *keyTable) update(row string, record *keyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[row] = record
}

func (t *keyTable) forget(row string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, row)
}

func (t *keyTable) expire(row expiringRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiring = append(t.expiring, row)
}

// expired removes and returns up to sweepBatch rows whose time has come.
func (t *keyTable) expired(now time.Time) []expiringRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for n < min(sweepBatch, len(t.expiring)) && !now.Before(t.expiring[n].at) {
		n++
	}
	rows := slices.Clone(t.expiring[:n])
	t.expiring = slices.Delete(t.expiring, 0, n)
	return rows
}

// putBack returns rows that could not be deleted.
func (t *keyTable) putBack(rows []expiringRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiring = slices.Insert(t.expiring, 0, rows...)
}

// sweepLoop deletes expired idempotency rows.
func (g *Gateway) sweepLoop() {
	own, orphans := time.NewTicker(sweepEvery), time.NewTicker(orphanEvery)
	defer own.Stop()
	defer orphans.Stop()
	next := cluster.TeamName("")
	for {
		select {
		case <-own.C:
			g.sweepOwn()
		case <-orphans.C:
			next = g.sweepOrphans(next)
		case <-g.ctx.Done():
			return
		}
	}
}

// sweepOwn deletes this daemon's expired rows. The check on the version keeps
// it from deleting a row that was written after another daemon, taking this one
// for gone, deleted the first; the journal groups the deletions.
func (g *Gateway) sweepOwn() {
	for g.ctx.Err() == nil {
		rows := g.keys.expired(g.cfg.Clock())
		if len(rows) == 0 {
			return
		}
		failed := iter.Map(rows, func(row *expiringRow) bool {
			_, err := g.cfg.Journal.Commit(g.ctx, deletion(row.row, row.version))
			return err != nil && !journal.IsKind(err, journal.KindConflict)
		})
		if slices.Contains(failed, true) {
			// Deleting a row again does no harm: its version no longer matches.
			g.keys.putBack(rows)
			return
		}
	}
}

func deletion(row string, version cluster.Version) journal.Change {
	return journal.Change{Checks: []platform.Check{{Key: row, Version: version}}, Deletes: []string{row}}
}

// sweepOrphans deletes expired rows that daemons which have left wrote for the
// team after the given one; only the member with the lowest identifier does so.
func (g *Gateway) sweepOrphans(after cluster.TeamName) cluster.TeamName {
	snapshot := g.cfg.Authorizer.Snapshot()
	g.mu.Lock()
	f := g.fleet
	g.mu.Unlock()
	if snapshot == nil || len(snapshot.Teams) == 0 || len(f.sharing) == 0 || f.sharing[0] != f.self {
		return after
	}
	teams := slices.Sorted(maps.Keys(snapshot.Teams))
	i, found := slices.BinarySearch(teams, after)
	if found {
		i++
	}
	team := teams[i%len(teams)]
	ctx, cancel := context.WithTimeout(g.ctx, readTimeout)
	defer cancel()
	reply, err := g.cfg.Store.Read(ctx, platform.ReadRequest{Prefixes: []string{keyPrefix + string(team) + "/"}})
	if err != nil {
		return after
	}
	for _, row := range reply.Rows {
		g.sweepOrphan(row, f)
	}
	return team
}

func (g *Gateway) sweepOrphan(row platform.Row, f fleet) {
	if row.Deleted {
		return
	}
	record, err := decodeKey(row.Value)
	if err != nil {
		g.cfg.Log.Error().Err(err).Str("row", row.Key).Msg("gateway: malformed idempotency row ignored")
		return
	}
	expired := g.cfg.Clock().Sub(time.UnixMilli(record.At)) >= g.cfg.Retention
	if !expired || slices.Contains(f.all, cluster.DaemonID(record.Daemon)) {
		return
	}
	if _, err := g.cfg.Journal.Commit(g.ctx, deletion(row.Key, row.Version)); err != nil {
		g.cfg.Log.Warn().Err(err).Str("row", row.Key).Msg("gateway: expired idempotency row not deleted")
	}
}
