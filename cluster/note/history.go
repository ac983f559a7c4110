package note

import (
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Record is an entry of the history.
type Record struct {
	Version cluster.Version
	// ID is the identifier of the request.
	ID      string
	Author  string
	Summary string
	Time    time.Time
	// Digest is the SHA-256 of the note's text.
	Digest   [32]byte
	Entities []cluster.EntityID
}

// MaxHistory is the most entries that one call of History returns.
const MaxHistory = 200

// History returns up to limit notes before a version, newest first; version 0 means from the head on.
func (r *Repository) History(ctx context.Context, before cluster.Version, limit int) ([]Record, error) {
	if before == 0 {
		reply, err := r.read(ctx, platform.ReadRequest{Keys: []string{HeadKey}})
		if err != nil {
			return nil, storeError("read the head", err)
		}
		if len(reply.Rows) == 0 || reply.Rows[0].Deleted {
			return nil, nil
		}
		head, err := DecodeHead(reply.Rows[0])
		if err != nil {
			return nil, err
		}
		before = head.Version + 1
	}
	var versions []cluster.Version
	for v := before; v > 1 && len(versions) < min(limit, MaxHistory); v-- {
		versions = append(versions, v-1)
	}
	return r.notes(ctx, versions)
}

// Show returns a note with its text; the text's digest is checked against the note's row.
func (r *Repository) Show(ctx context.Context, version cluster.Version) (Record, []byte, error) {
	records, err := r.notes(ctx, []cluster.Version{version})
	if err != nil {
		return Record{}, nil, err
	}
	if len(records) == 0 {
		return Record{}, nil, &Error{Op: "show note", Kind: KindNotFound, Err: fmt.Errorf("there is no note %d", version)}
	}
	rec := records[0]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := r.cfg.Objects.GetObject(ctx, textName(rec.Digest))
	if err != nil {
		return rec, nil, &Error{Op: "read the text of the note", Kind: KindUnavailable, Err: err}
	}
	if sha256.Sum256(text) != rec.Digest {
		return rec, nil, &Error{Op: "show note", Kind: KindDigest, Err: fmt.Errorf("the text of note %d is not the accepted one", version)}
	}
	return rec, text, nil
}

// notes reads note rows, newest first.
func (r *Repository) notes(ctx context.Context, versions []cluster.Version) ([]Record, error) {
	if len(versions) == 0 {
		return nil, nil
	}
	keys := make([]string, 0, len(versions))
	for _, v := range versions {
		keys = append(keys, noteKey(v))
	}
	reply, err := r.read(ctx, platform.ReadRequest{Keys: keys})
	if err != nil {
		return nil, storeError("read notes", err)
	}
	var records []Record
	for _, row := range reply.Rows {
		if row.Deleted {
			continue
		}
		rec, err := decodeNote(row)
		if err != nil {
			return nil, err
		}
		records = append(records, rec)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(b.Version, a.Version) })
	return records, nil
}
