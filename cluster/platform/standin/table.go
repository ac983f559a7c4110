package standin

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Limits of the table service.
const (
	maxTxnRows    = 1000
	maxKeyBytes   = 512
	maxValueBytes = 512 << 10
	// tombstoneAge and maxTombstones limit the age and the number of the
	// deleted rows that are kept for reads with a SinceVersion.
	tombstoneAge  = time.Hour
	maxTombstones = 50_000
)

// row is a row of the table, or the tombstone of a deleted one.
type row struct {
	value     []byte
	version   cluster.Version
	deleted   bool
	writtenAt time.Time
}

// logEntry is one write or delete of a row.
type logEntry struct {
	version cluster.Version
	key     string
}

// table is a versioned map with transactions and a log of the changes; it isn't
// safe for concurrent use.
type table struct {
	rows    map[string]row
	version cluster.Version
	// log holds the writes and deletes in order of version. The entry of a
	// row that was changed again later is stale.
	log        []logEntry
	tombstones int
	// collectedVersion is the highest version of a tombstone that was removed.
	collectedVersion cluster.Version
	// collectedAt is the time of the last garbage collection.
	collectedAt time.Time
}

func newTable() *table { return &table{rows: map[string]row{}} }

func (t *table) read(req platform.ReadRequest) (platform.ReadReply, error) {
	reply := platform.ReadReply{AsOf: t.version}
	if req.SinceVersion > t.version {
		return reply, fmt.Errorf("version %d is after the last commit %d", req.SinceVersion, t.version)
	}
	if req.SinceVersion == 0 {
		reply.Rows = t.currentRows(req)
	} else {
		reply.Rows = t.changedRows(req)
	}
	slices.SortFunc(reply.Rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return reply, nil
}

// expired reports whether tombstones of rows deleted after the version may have been removed.
func (t *table) expired(since cluster.Version) bool { return since > 0 && since < t.collectedVersion }

// currentRows returns the selected rows without the deleted ones.
func (t *table) currentRows(req platform.ReadRequest) []platform.Row {
	var rows []platform.Row
	if len(req.Prefixes) > 0 {
		for key, r := range t.rows {
			if !r.deleted && matches(req, key) {
				rows = append(rows, toPlatformRow(key, r))
			}
		}
		return rows
	}
	keys := slices.Clone(req.Keys)
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		if r, ok := t.rows[key]; ok && !r.deleted {
			rows = append(rows, toPlatformRow(key, r))
		}
	}
	return rows
}

// changedRows returns the selected rows that were written or deleted after SinceVersion.
func (t *table) changedRows(req platform.ReadRequest) []platform.Row {
	var rows []platform.Row
	first := sort.Search(len(t.log), func(i int) bool { return t.log[i].version > req.SinceVersion })
	for _, e := range t.log[first:] {
		if r := t.rows[e.key]; r.version == e.version && matches(req, e.key) {
			rows = append(rows, toPlatformRow(e.key, r))
		}
	}
	return rows
}

// matches reports whether the request selects a key.
func matches(req platform.ReadRequest, key string) bool {
	for _, prefix := range req.Prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return slices.Contains(req.Keys, key)
}

func toPlatformRow(key string, r row) platform.Row {
	return platform.Row{Key: key, Value: slices.Clone(r.value), Version: r.version, Deleted: r.deleted}
}

// findConflict returns the first key whose check fails, and whether there is one.
func (t *table) findConflict(txn platform.Txn) (key string, conflicting bool) {
	for _, c := range txn.Checks {
		r := t.rows[c.Key]
		current := r.version
		if r.deleted {
			current = 0
		}
		if current != c.Version {
			return c.Key, true
		}
	}
	return "", false
}

// apply applies a transaction whose checks hold and returns its version.
func (t *table) apply(txn platform.Txn, now time.Time) cluster.Version {
	t.version++
	for _, p := range txn.Puts {
		if t.rows[p.Key].deleted {
			t.tombstones--
		}
		t.rows[p.Key] = row{value: slices.Clone(p.Value), version: t.version, writtenAt: now}
		t.log = append(t.log, logEntry{t.version, p.Key})
	}
	for _, key := range txn.Deletes {
		if r, ok := t.rows[key]; !ok || r.deleted {
			continue
		}
		t.rows[key] = row{version: t.version, deleted: true, writtenAt: now}
		t.log = append(t.log, logEntry{t.version, key})
		t.tombstones++
	}
	t.collectGarbage(now)
	return t.version
}

// collectGarbage removes stale log entries and old tombstones. It does so when
// most log entries are stale, when there are too many tombstones, or when a
// quarter of tombstoneAge has passed since the last collection.
func (t *table) collectGarbage(now time.Time) {
	mostlyStale := len(t.log) > 2*len(t.rows)+1024
	intervalElapsed := t.tombstones > 0 && now.Sub(t.collectedAt) >= tombstoneAge/4
	if !mostlyStale && !intervalElapsed && t.tombstones <= maxTombstones {
		return
	}
	t.collectedAt = now
	excess := 0
	if t.tombstones > maxTombstones {
		// Remove a quarter of the maximum number in addition, so that not every
		// commit has to collect.
		excess = t.tombstones - maxTombstones*3/4
	}
	live := make([]logEntry, 0, len(t.rows))
	for _, e := range t.log {
		r := t.rows[e.key]
		if r.version != e.version {
			continue
		}
		if r.deleted && (excess > 0 || now.Sub(r.writtenAt) >= tombstoneAge) {
			delete(t.rows, e.key)
			t.tombstones--
			excess--
			t.collectedVersion = e.version
			continue
		}
		live = append(live, e)
	}
	t.log = live
}

// checkTxn returns an error for a transaction that is invalid independently of
// the state of the table.
func checkTxn(txn platform.Txn) error {
	rows := len(txn.Puts) + len(txn.Deletes)
	if rows+len(txn.Checks) == 0 {
		return errors.New("the transaction is empty")
	}
	if rows > maxTxnRows {
		return fmt.Errorf("%d rows written; at most %d are allowed", rows, maxTxnRows)
	}
	keys := make(map[string]struct{}, rows)
	addKey := func(key string) error {
		if key == "" || len(key) > maxKeyBytes {
			return fmt.Errorf("key of %d bytes", len(key))
		}
		if _, duplicate := keys[key]; duplicate {
			return fmt.Errorf("row %s is written twice", key)
		}
		keys[key] = struct{}{}
		return nil
	}
	for _, p := range txn.Puts {
		if len(p.Value) > maxValueBytes {
			return fmt.Errorf("value of %d bytes at %s", len(p.Value), p.Key)
		}
		if err := addKey(p.Key); err != nil {
			return err
		}
	}
	for _, key := range txn.Deletes {
		if err := addKey(key); err != nil {
			return err
		}
	}
	return nil
}
