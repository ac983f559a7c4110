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

// HistoryEntry describes an accepted note.
type HistoryEntry struct {
	Version cluster.Version
	// ID identifies the request that the note was accepted with.
	ID      string
	Author  string
	Summary string
	// Time is when the note was accepted, on the clock of the daemon that accepted it.
	Time time.Time
	// Digest is the SHA-256 of the note's text.
	Digest [32]byte
	// Entities lists the added, changed and withdrawn entities.
	Entities []cluster.EntityID
}

// MaxHistory is the maximum number of entries that a call of History returns.
const MaxHistory = 200

// History returns up to limit notes older than a version, newest first. Version
// 0 starts with the latest note.
func (r *Repository) History(ctx context.Context, before cluster.Version, limit int) ([]HistoryEntry, error) {
	if before == 0 {
		reply, err := r.readTable(ctx, platform.ReadRequest{Keys: []string{HeadKey}})
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
	return r.readNotes(ctx, versions)
}

// Show returns a note and its text. It fails with KindDigestMismatch if the text
// does not have the digest in the note's row.
func (r *Repository) Show(ctx context.Context, version cluster.Version) (HistoryEntry, []byte, error) {
	entries, err := r.readNotes(ctx, []cluster.Version{version})
	if err != nil {
		return HistoryEntry{}, nil, err
	}
	if len(entries) == 0 {
		return HistoryEntry{}, nil, &Error{Op: "show note", Kind: KindNotFound, Err: fmt.Errorf("there is no note %d", version)}
	}
	entry := entries[0]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := r.cfg.Objects.GetObject(ctx, textObjectName(entry.Digest))
	if err != nil {
		return entry, nil, &Error{Op: "read the text of the note", Kind: KindUnavailable, Err: err}
	}
	if sha256.Sum256(text) != entry.Digest {
		return entry, nil, &Error{Op: "show note", Kind: KindDigestMismatch, Err: fmt.Errorf("the text of note %d is not the accepted one", version)}
	}
	return entry, text, nil
}

// readNotes returns the notes with the given versions, newest first. Versions
// without a note are skipped.
func (r *Repository) readNotes(ctx context.Context, versions []cluster.Version) ([]HistoryEntry, error) {
	if len(versions) == 0 {
		return nil, nil
	}
	keys := make([]string, 0, len(versions))
	for _, v := range versions {
		keys = append(keys, noteKey(v))
	}
	reply, err := r.readTable(ctx, platform.ReadRequest{Keys: keys})
	if err != nil {
		return nil, storeError("read notes", err)
	}
	var entries []HistoryEntry
	for _, row := range reply.Rows {
		if row.Deleted {
			continue
		}
		entry, err := decodeHistoryEntry(row)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b HistoryEntry) int { return cmp.Compare(b.Version, a.Version) })
	return entries, nil
}
