package note

import (
	"context"
	"encoding/hex"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// state is the configuration in the table service as of one read.
type state struct {
	head     cluster.Version
	headRow  cluster.Version
	rows     map[cluster.EntityID]entityState
	snapshot *cluster.Snapshot
	// request is the row of the same request, if it was accepted before.
	request *platform.Row
	// expired is the identifier of a request whose row is deleted with the next note.
	expired string
}

type entityState struct {
	// row is the commit that wrote the row and note the note in it.
	row  cluster.Version
	note cluster.Version
}

func (r *Repository) read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.cfg.Store.Read(ctx, req)
}

func storeError(op string, err error) error {
	return &Error{Op: op, Kind: KindUnavailable, Err: err}
}

func (r *Repository) readState(ctx context.Context, request string) (*state, error) {
	reply, err := r.read(ctx, platform.ReadRequest{
		Keys: []string{HeadKey, requestKey(request)}, Prefixes: []string{EntityPrefix},
	})
	if err != nil {
		return nil, storeError("read the configuration", err)
	}
	s := &state{rows: map[cluster.EntityID]entityState{}}
	var entities []cluster.Entity
	for i, row := range reply.Rows {
		if row.Deleted {
			continue
		}
		switch row.Key {
		case HeadKey:
			s.headRow = row.Version
			head, err := DecodeHead(row)
			if err != nil {
				return nil, err
			}
			s.head = head.Version
		case requestKey(request):
			s.request = &reply.Rows[i]
		default:
			e, note, err := DecodeEntity(row)
			if err != nil {
				return nil, err
			}
			entities = append(entities, e)
			s.rows[cluster.Identify(e)] = entityState{row: row.Version, note: note}
		}
	}
	s.snapshot = cluster.Assemble(s.head, entities)
	return s, r.readExpired(ctx, s)
}

// readExpired finds the request row that the next note deletes.
func (r *Repository) readExpired(ctx context.Context, s *state) error {
	if s.head < retainRequests {
		return nil
	}
	records, err := r.notes(ctx, []cluster.Version{s.head + 1 - retainRequests})
	if err == nil && len(records) == 1 {
		s.expired = records[0].ID
	}
	return err
}

// conflicts returns an error if a note after the base wrote an entity that the note names.
func (r *Repository) conflicts(ctx context.Context, req *Request, s *state) error {
	conflict := func(id cluster.EntityID, version cluster.Version) error {
		return &Error{Op: "apply note", Kind: KindConflict, Entity: id, Version: version}
	}
	for _, id := range req.Note.Entities() {
		if at, ok := s.rows[id]; ok && at.note > req.Base {
			return conflict(id, at.note)
		}
	}
	for _, c := range req.Note.Change {
		id := cluster.Identify(c.Entity)
		if at, ok := s.rows[id]; ok && c.Expect != 0 && at.note != c.Expect {
			return conflict(id, at.note)
		}
	}
	return r.withdrawnSince(ctx, req, s, conflict)
}

// maxConflictNotes bounds how many notes after the base are searched for a withdrawal.
const maxConflictNotes = 100

// withdrawnSince finds the note that withdrew an entity which the request changes or withdraws.
func (r *Repository) withdrawnSince(ctx context.Context, req *Request, s *state, conflict func(cluster.EntityID, cluster.Version) error) error {
	missing := map[cluster.EntityID]bool{}
	for _, id := range req.Note.Entities() {
		if _, ok := s.rows[id]; !ok {
			missing[id] = true
		}
	}
	for _, e := range req.Note.Add {
		delete(missing, cluster.Identify(e))
	}
	if len(missing) == 0 || req.Base >= s.head {
		return nil
	}
	var versions []cluster.Version
	for v := s.head; v > req.Base && len(versions) < maxConflictNotes; v-- {
		versions = append(versions, v)
	}
	records, err := r.notes(ctx, versions)
	if err != nil {
		return err
	}
	for _, rec := range records {
		for _, id := range rec.Entities {
			if missing[id] {
				return conflict(id, rec.Version)
			}
		}
	}
	return nil
}

func hexDigest(d [32]byte) string { return hex.EncodeToString(d[:]) }
