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

// maxTombstones is the number of deleted rows kept for peers that are behind.
// Peers further behind get the whole state.
const maxTombstones = 512

// view is a consistent state of the rows, or the changes that lead to one.
type view struct {
	// since is the commit that the rows start after; zero means that they are the whole state.
	since cluster.Version
	asOf  cluster.Version
	rows  []platform.Row
}

// replica is a copy of the configuration and member rows as of one commit.
type replica struct {
	asOf cluster.Version
	head cluster.Version
	// accepted is when the head was accepted, on the clock of its acceptor.
	accepted time.Time
	rows     map[string]platform.Row
	// entities holds the decoded entity of each entity row.
	entities map[string]cluster.Entity
	deleted  map[string]platform.Row
	// floor is the commit up to which deleted rows may be missing from deleted.
	floor cluster.Version
	// malformed holds the keys of rows that do not decode.
	malformed []string
}

func newReplica() *replica {
	return &replica{rows: map[string]platform.Row{}, entities: map[string]cluster.Entity{}, deleted: map[string]platform.Row{}}
}

// fits reports whether the replica can take over a view without missing a change.
func (r *replica) fits(v view) bool { return v.since == 0 || v.since <= r.asOf }

// headOf returns the head that a view leads to.
func (r *replica) headOf(v view) cluster.Version {
	for _, row := range v.rows {
		if row.Key == note.HeadKey && !row.Deleted {
			if head, err := note.DecodeHead(row); err == nil {
				return head.Version
			}
		}
	}
	if v.since == 0 {
		return 0
	}
	return r.head
}

// apply takes over a view that fits and returns whether a row changed. A view
// that is not newer than the replica changes nothing.
func (r *replica) apply(v view) bool {
	if v.asOf <= r.asOf {
		return false
	}
	changed := false
	if v.since == 0 {
		changed = r.dropAbsent(v)
	}
	for _, row := range v.rows {
		// Rows up to the replica's commit are known in this or a later state.
		if row.Version > r.asOf && relevant(row.Key) {
			changed = r.put(row) || changed
		}
	}
	r.asOf = v.asOf
	r.trim()
	return changed
}

func relevant(key string) bool {
	return key == note.HeadKey || strings.HasPrefix(key, note.EntityPrefix) || strings.HasPrefix(key, member.Prefix)
}

// dropAbsent deletes the rows that a whole state does not hold.
func (r *replica) dropAbsent(v view) bool {
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
	// The commits that deleted the rows are not known.
	r.floor = v.asOf
	clear(r.deleted)
	return changed
}

func (r *replica) put(row platform.Row) bool {
	delete(r.deleted, row.Key)
	if row.Deleted {
		_, had := r.rows[row.Key]
		delete(r.rows, row.Key)
		delete(r.entities, row.Key)
		r.deleted[row.Key] = platform.Row{Key: row.Key, Version: row.Version, Deleted: true}
		return had
	}
	r.rows[row.Key] = row
	switch {
	case row.Key == note.HeadKey:
		if head, err := note.DecodeHead(row); err == nil {
			r.head, r.accepted = head.Version, head.Time
		} else {
			r.malformed = append(r.malformed, row.Key)
		}
	case strings.HasPrefix(row.Key, note.EntityPrefix):
		entity, _, err := note.DecodeEntity(row)
		if err != nil {
			// An entity that can't be read is not in force: its key is refused.
			r.malformed = append(r.malformed, row.Key)
			delete(r.entities, row.Key)
			break
		}
		r.entities[row.Key] = entity
	}
	return true
}

// trim forgets the oldest deleted rows.
func (r *replica) trim() {
	if len(r.deleted) <= maxTombstones {
		return
	}
	rows := make([]platform.Row, 0, len(r.deleted))
	for _, row := range r.deleted {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, byVersion)
	for _, row := range rows[:len(rows)-maxTombstones/2] {
		r.floor = max(r.floor, row.Version)
		delete(r.deleted, row.Key)
	}
}

func byVersion(a, b platform.Row) int {
	if c := compareVersions(a.Version, b.Version); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

func compareVersions(a, b cluster.Version) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// changes returns what a peer with the state of since misses; for a peer too far behind it is the whole state.
func (r *replica) changes(since cluster.Version) view {
	if since < r.floor {
		since = 0
	}
	v := view{since: since, asOf: r.asOf}
	for _, row := range r.rows {
		if row.Version > since {
			v.rows = append(v.rows, row)
		}
	}
	if since > 0 {
		for _, row := range r.deleted {
			if row.Version > since {
				v.rows = append(v.rows, row)
			}
		}
	}
	slices.SortFunc(v.rows, byVersion)
	return v
}

// snapshot assembles the entities.
func (r *replica) snapshot() *cluster.Snapshot {
	entities := make([]cluster.Entity, 0, len(r.entities))
	for _, e := range r.entities {
		entities = append(entities, e)
	}
	return cluster.Assemble(r.head, entities)
}

// members returns the members that have a row.
func (r *replica) members() []cluster.DaemonID {
	var ids []cluster.DaemonID
	for key := range r.rows {
		if id, ok := strings.CutPrefix(key, member.Prefix); ok {
			ids = append(ids, cluster.DaemonID(id))
		}
	}
	return ids
}

// memberRows returns all member rows.
func (r *replica) memberRows() []platform.Row {
	var rows []platform.Row
	for key, row := range r.rows {
		if strings.HasPrefix(key, member.Prefix) {
			rows = append(rows, row)
		}
	}
	return rows
}
