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
	// sweepInterval is the interval of deleting this daemon's expired rows.
	sweepInterval = 10 * time.Second
	// sweepBatchSize is the most rows deleted at once; the journal writes at most 200 rows at a time.
	sweepBatchSize = 100
	// orphanSweepInterval is the interval of reading one team's rows to delete those of daemons that have left.
	orphanSweepInterval = time.Minute
)

// idemTable holds the idempotency keys that this daemon is processing, and those of its rows that will expire.
type idemTable struct {
	mu sync.Mutex
	// inProgress holds the records of keys whose result is not yet written, by row key.
	inProgress map[string]*idemRecord
	// expiring is ordered by time, because all rows have the same retention.
	expiring []expiringRow
}

type expiringRow struct {
	key       string
	version   cluster.Version
	expiresAt time.Time
}

func newIdemTable() *idemTable { return &idemTable{inProgress: map[string]*idemRecord{}} }

// claim adds the record of a new key and returns nil. If the key is in progress already, it
// returns the record of the first request.
func (t *idemTable) claim(rowKey string, record *idemRecord) *idemRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first := t.inProgress[rowKey]; first != nil {
		return first
	}
	t.inProgress[rowKey] = record
	return nil
}

func (t *idemTable) update(rowKey string, record *idemRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgress[rowKey] = record
}

func (t *idemTable) remove(rowKey string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inProgress, rowKey)
}

func (t *idemTable) addExpiring(row expiringRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiring = append(t.expiring, row)
}

// popExpired removes and returns up to sweepBatchSize expired rows.
func (t *idemTable) popExpired(now time.Time) []expiringRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for n < min(sweepBatchSize, len(t.expiring)) && !now.Before(t.expiring[n].expiresAt) {
		n++
	}
	rows := slices.Clone(t.expiring[:n])
	t.expiring = slices.Delete(t.expiring, 0, n)
	return rows
}

// putBack returns rows to the table that could not be deleted.
func (t *idemTable) putBack(rows []expiringRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiring = slices.Insert(t.expiring, 0, rows...)
}

// sweepLoop periodically deletes expired idempotency rows.
func (g *Gateway) sweepLoop() {
	ownTicker, orphanTicker := time.NewTicker(sweepInterval), time.NewTicker(orphanSweepInterval)
	defer ownTicker.Stop()
	defer orphanTicker.Stop()
	lastTeam := cluster.TeamName("")
	for {
		select {
		case <-ownTicker.C:
			g.sweepOwn()
		case <-orphanTicker.C:
			lastTeam = g.sweepOrphans(lastTeam)
		case <-g.ctx.Done():
			return
		}
	}
}

// sweepOwn deletes this daemon's expired rows; the journal groups the deletions. Another
// daemon that considered this one to have left may have deleted a row, and the key may have been
// used again since; the check on the version keeps that new row from being deleted.
func (g *Gateway) sweepOwn() {
	for g.ctx.Err() == nil {
		rows := g.idemKeys.popExpired(g.cfg.Clock())
		if len(rows) == 0 {
			return
		}
		failed := iter.Map(rows, func(row *expiringRow) bool {
			_, err := g.cfg.Journal.Commit(g.ctx, deleteChange(row.key, row.version))
			return err != nil && !journal.IsKind(err, journal.KindConflict)
		})
		if slices.Contains(failed, true) {
			// Deleting a row again does no harm: its version no longer matches.
			g.idemKeys.putBack(rows)
			return
		}
	}
}

func deleteChange(rowKey string, version cluster.Version) journal.Change {
	return journal.Change{Checks: []platform.Check{{Key: rowKey, Version: version}}, Deletes: []string{rowKey}}
}

// sweepOrphans deletes expired rows, written by daemons that have left, of the team that follows
// the given one. Only the active member with the lowest identifier does so. It returns the team read.
func (g *Gateway) sweepOrphans(previousTeam cluster.TeamName) cluster.TeamName {
	snapshot := g.cfg.Authorizer.Snapshot()
	g.mu.Lock()
	view := g.membership
	g.mu.Unlock()
	if snapshot == nil || len(snapshot.Teams) == 0 || len(view.active) == 0 || view.active[0] != view.self {
		return previousTeam
	}
	teams := slices.Sorted(maps.Keys(snapshot.Teams))
	i, found := slices.BinarySearch(teams, previousTeam)
	if found {
		i++
	}
	team := teams[i%len(teams)]
	ctx, cancel := context.WithTimeout(g.ctx, idemReadTimeout)
	defer cancel()
	reply, err := g.cfg.Store.Read(ctx, platform.ReadRequest{Prefixes: []string{idemPrefix + string(team) + "/"}})
	if err != nil {
		return previousTeam
	}
	for _, row := range reply.Rows {
		g.sweepOrphan(row, view)
	}
	return team
}

// sweepOrphan deletes a row if it has expired and its daemon has left.
func (g *Gateway) sweepOrphan(row platform.Row, view membership) {
	if row.Deleted {
		return
	}
	record, err := decodeIdemRecord(row.Value)
	if err != nil {
		g.cfg.Log.Error().Err(err).Str("row", row.Key).Msg("gateway: malformed idempotency row ignored")
		return
	}
	expired := g.cfg.Clock().Sub(time.UnixMilli(record.UpdatedAt)) >= g.cfg.Retention
	if !expired || slices.Contains(view.all, cluster.DaemonID(record.Daemon)) {
		return
	}
	if _, err := g.cfg.Journal.Commit(g.ctx, deleteChange(row.Key, row.Version)); err != nil {
		g.cfg.Log.Warn().Err(err).Str("row", row.Key).Msg("gateway: expired idempotency row not deleted")
	}
}
