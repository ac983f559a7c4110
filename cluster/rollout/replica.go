package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// maxTombstones limits the tombstones kept for peers that lag behind. Peers that
// lag further behind get the full state.
const maxTombstones = 512

// view is a consistent state of the rows as of one commit, or the changes from
// one commit to another.
type view struct {
	// sinceVersion is the commit after which the changes start. Zero means that
	// rows is the full state.
	sinceVersion cluster.Version
	// asOf is the commit up to which the rows are complete.
	asOf cluster.Version
	rows []platform.Row
}

// replica is a copy of the configuration and member rows as of one commit.
type replica struct {
	// asOf is the commit up to which the replica is complete.
	asOf cluster.Version
	// head is the version of the last accepted note.
	head cluster.Version
	// headAcceptedAt is when the head was accepted, on the clock of the daemon
	// that accepted it.
	headAcceptedAt time.Time
	rows           map[string]platform.Row
	// entities holds the decoded entity of each entity row.
	entities map[string]cluster.Entity
	// tombstones holds the deleted rows with the commits that deleted them.
	tombstones map[string]platform.Row
	// tombstoneFloor is the commit up to which tombstones may be incomplete.
	tombstoneFloor cluster.Version
	// malformedKeys holds the keys of rows that could not be decoded, until they
	// are reported.
	malformedKeys []string
}

// newReplica returns an empty replica.
func newReplica() *replica {
	return &replica{rows: map[string]platform.Row{}, entities: map[string]cluster.Entity{}, tombstones: map[string]platform.Row{}}
}

// canApply reports whether a view can be applied without missing a change.
func (r *replica) canApply(v view) bool { return v.sinceVersion == 0 || v.sinceVersion <= r.asOf }

// headAfter returns the head that the replica has after a view is applied.
func (r *replica) headAfter(v view) cluster.Version {
	for _, row := range v.rows {
		if row.Key == note.HeadKey && !row.Deleted {
			if head, err := note.DecodeHead(row); err == nil {
				return head.Version
			}
		}
	}
	if v.sinceVersion == 0 {
		return 0
	}
	return r.head
}

// apply applies a view for which canApply is true, and reports whether a row
// changed. A view that is not newer than the replica changes nothing.
func (r *replica) apply(v view) bool {
	if v.asOf <= r.asOf {
		return false
	}
	changed := false
	if v.sinceVersion == 0 {
		changed = r.removeAbsent(v)
	}
	for _, row := range v.rows {
		// The replica already holds rows up to its commit, in this or a later version.
		if row.Version > r.asOf && isReplicated(row.Key) {
			changed = r.applyRow(row) || changed
		}
	}
	r.asOf = v.asOf
	r.trimTombstones()
	return changed
}

// isReplicated reports whether the replica holds rows with the given key.
func isReplicated(key string) bool {
	return key == note.HeadKey || strings.HasPrefix(key, note.EntityPrefix) || strings.HasPrefix(key, member.Prefix)
}

// removeAbsent deletes the rows that are missing from a full state, and reports
// whether there were any.
func (r *replica) removeAbsent(v view) bool {
	present := map[string]bool{}
	for _, row := range v.rows {
		present[row.Key] = !row.Deleted
	}
	changed := false
	for key := range r.rows {
		if !present[key] {
			delete(r.rows, key)
			delete(r.entities, key)
			changed = true
		}
	}
	// The commits that deleted the rows are unknown, so there are no tombstones for them.
	r.tombstoneFloor = v.asOf
	clear(r.tombstones)
	return changed
}

// applyRow stores a row or its deletion, and reports whether the rows changed.
func (r *replica) applyRow(row platform.Row) bool {
	delete(r.tombstones, row.Key)
	if row.Deleted {
		_, existed := r.rows[row.Key]
		delete(r.rows, row.Key)
		delete(r.entities, row.Key)
		r.tombstones[row.Key] = platform.Row{Key: row.Key, Version: row.Version, Deleted: true}
		return existed
	}
	r.rows[row.Key] = row
	switch {
	case row.Key == note.HeadKey:
		if head, err := note.DecodeHead(row); err == nil {
			r.head, r.headAcceptedAt = head.Version, head.Time
		} else {
			r.malformedKeys = append(r.malformedKeys, row.Key)
		}
	case strings.HasPrefix(row.Key, note.EntityPrefix):
		entity, _, err := note.DecodeEntity(row)
		if err != nil {
			// An entity that can't be decoded is not in force; if it is a key, the key is refused.
			r.malformedKeys = append(r.malformedKeys, row.Key)
			delete(r.entities, row.Key)
			break
		}
		r.entities[row.Key] = entity
	}
	return true
}

// trimTombstones drops the oldest tombstones once there are more than maxTombstones.
func (r *replica) trimTombstones() {
	if len(r.tombstones) <= maxTombstones {
		return
	}
	rows := make([]platform.Row, 0, len(r.tombstones))
	for _, row := range r.tombstones {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, compareRowVersions)
	for _, row := range rows[:len(rows)-maxTombstones/2] {
		r.tombstoneFloor = max(r.tombstoneFloor, row.Version)
		delete(r.tombstones, row.Key)
	}
}

// compareRowVersions orders rows by version, then by key.
func compareRowVersions(a, b platform.Row) int {
	if c := compareVersions(a.Version, b.Version); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

// compareVersions returns -1, 0 or 1 if a is older than, equal to or newer than b.
func compareVersions(a, b cluster.Version) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// changesSince returns the changes after sinceVersion, in the order of their
// commits. It returns the full state if the tombstones don't reach back that far.
func (r *replica) changesSince(sinceVersion cluster.Version) view {
	if sinceVersion < r.tombstoneFloor {
		sinceVersion = 0
	}
	v := view{sinceVersion: sinceVersion, asOf: r.asOf}
	for _, row := range r.rows {
		if row.Version > sinceVersion {
			v.rows = append(v.rows, row)
		}
	}
	if sinceVersion > 0 {
		for _, row := range r.tombstones {
			if row.Version > sinceVersion {
				v.rows = append(v.rows, row)
			}
		}
	}
	slices.SortFunc(v.rows, compareRowVersions)
	return v
}

// snapshot returns a snapshot of the entities in force.
func (r *replica) snapshot() *cluster.Snapshot {
	entities := make([]cluster.Entity, 0, len(r.entities))
	for _, e := range r.entities {
		entities = append(entities, e)
	}
	return cluster.Assemble(r.head, entities)
}

// memberIDs returns the identifiers of the members that have a row, in no particular order.
func (r *replica) memberIDs() []cluster.DaemonID {
	var ids []cluster.DaemonID
	for key := range r.rows {
		if id, ok := strings.CutPrefix(key, member.Prefix); ok {
			ids = append(ids, cluster.DaemonID(id))
		}
	}
	return ids
}

// memberRows returns all member rows, in no particular order.
func (r *replica) memberRows() []platform.Row {
	var rows []platform.Row
	for key, row := range r.rows {
		if strings.HasPrefix(key, member.Prefix) {
			rows = append(rows, row)
		}
	}
	return rows
}
