package note

import (
	"context"
	"encoding/hex"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// storedConfig is the configuration in the table service as of one read.
type storedConfig struct {
	// headVersion is the version of the last accepted note, zero if there is none.
	headVersion cluster.Version
	// headRowVersion is the commit that wrote the head row, zero if there is no head row.
	headRowVersion cluster.Version
	versions       map[cluster.EntityID]entityVersions
	snapshot       *cluster.Snapshot
	// requestRow is the row of the same request if it was accepted earlier, else nil.
	requestRow *platform.Row
	// expiredRequestID identifies the request whose row the next note deletes;
	// empty if there is none.
	expiredRequestID string
}

// entityVersions holds the versions of an entity's row.
type entityVersions struct {
	// rowVersion is the commit that wrote the row.
	rowVersion cluster.Version
	// noteVersion is the note that wrote the entity last, as stored in the row.
	noteVersion cluster.Version
}

// readTable reads from the table service within callTimeout.
func (r *Repository) readTable(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.cfg.Store.Read(ctx, req)
}

// storeError returns the error for a failed read of the table service.
func storeError(op string, err error) error {
	return &Error{Op: op, Kind: KindUnavailable, Err: err}
}

// readStoredConfig reads the configuration and the row of the given request.
func (r *Repository) readStoredConfig(ctx context.Context, requestID string) (*storedConfig, error) {
	reply, err := r.readTable(ctx, platform.ReadRequest{
		Keys: []string{HeadKey, requestKey(requestID)}, Prefixes: []string{EntityPrefix},
	})
	if err != nil {
		return nil, storeError("read the configuration", err)
	}
	s := &storedConfig{versions: map[cluster.EntityID]entityVersions{}}
	var entities []cluster.Entity
	for i, row := range reply.Rows {
		if row.Deleted {
			continue
		}
		switch row.Key {
		case HeadKey:
			s.headRowVersion = row.Version
			head, err := DecodeHead(row)
			if err != nil {
				return nil, err
			}
			s.headVersion = head.Version
		case requestKey(requestID):
			s.requestRow = &reply.Rows[i]
		default:
			e, noteVersion, err := DecodeEntity(row)
			if err != nil {
				return nil, err
			}
			entities = append(entities, e)
			s.versions[cluster.Identify(e)] = entityVersions{rowVersion: row.Version, noteVersion: noteVersion}
		}
	}
	s.snapshot = cluster.Assemble(s.headVersion, entities)
	return s, r.findExpiredRequest(ctx, s)
}

// findExpiredRequest sets expiredRequestID to the request that leaves the
// retention of retainedRequests notes when the next note is accepted.
func (r *Repository) findExpiredRequest(ctx context.Context, s *storedConfig) error {
	if s.headVersion < retainedRequests {
		return nil
	}
	entries, err := r.readNotes(ctx, []cluster.Version{s.headVersion + 1 - retainedRequests})
	if err == nil && len(entries) == 1 {
		s.expiredRequestID = entries[0].ID
	}
	return err
}

// checkConflicts returns an error of KindConflict if a note later than req.Base
// wrote or withdrew an entity of the note, or if an entity's last note is not
// the one that a change expects.
func (r *Repository) checkConflicts(ctx context.Context, req *Request, s *storedConfig) error {
	conflictError := func(id cluster.EntityID, version cluster.Version) error {
		return &Error{Op: "apply note", Kind: KindConflict, Entity: id, Version: version}
	}
	for _, id := range req.Note.Entities() {
		if versions, ok := s.versions[id]; ok && versions.noteVersion > req.Base {
			return conflictError(id, versions.noteVersion)
		}
	}
	for _, c := range req.Note.Change {
		id := cluster.Identify(c.Entity)
		if versions, ok := s.versions[id]; ok && c.Expect != 0 && versions.noteVersion != c.Expect {
			return conflictError(id, versions.noteVersion)
		}
	}
	return r.checkWithdrawn(ctx, req, s, conflictError)
}

// maxWithdrawalSearch limits how many of the latest notes are searched for a
// withdrawal. A withdrawal before them is no conflict; Check then reports that
// the entity does not exist.
const maxWithdrawalSearch = 100

// checkWithdrawn returns a conflict if a note later than the base withdrew an
// entity that the request changes or withdraws.
func (r *Repository) checkWithdrawn(ctx context.Context, req *Request, s *storedConfig, conflictError func(cluster.EntityID, cluster.Version) error) error {
	missing := map[cluster.EntityID]bool{}
	for _, id := range req.Note.Entities() {
		if _, ok := s.versions[id]; !ok {
			missing[id] = true
		}
	}
	for _, e := range req.Note.Add {
		delete(missing, cluster.Identify(e))
	}
	if len(missing) == 0 || req.Base >= s.headVersion {
		return nil
	}
	var versions []cluster.Version
	for v := s.headVersion; v > req.Base && len(versions) < maxWithdrawalSearch; v-- {
		versions = append(versions, v)
	}
	entries, err := r.readNotes(ctx, versions)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		for _, id := range entry.Entities {
			if missing[id] {
				return conflictError(id, entry.Version)
			}
		}
	}
	return nil
}

// hexDigest returns a digest in hexadecimal, as used in object names.
func hexDigest(d [32]byte) string { return hex.EncodeToString(d[:]) }
