package note

import (
	"context"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
)

// Committer commits changes and finds out lost answers; a *journal.Journal is one.
type Committer interface {
	Submit(change journal.Change, done func(cluster.Version, error))
}

// Request asks for a note to be applied.
type Request struct {
	// ID identifies the request; a repeat with the same ID is one note.
	ID     string
	Author string
	Note   *Note
	// Base is the head that the operator planned against; entities written by a
	// later note conflict. Zero means the head at the time of the request.
	Base cluster.Version
}

// Result is an accepted note.
type Result struct {
	Version cluster.Version
	// Repeat says that an earlier request with the same ID was accepted.
	Repeat bool
	Plan   *Plan
}

// Applier applies notes; the real one commits, others wrap it.
type Applier interface {
	Apply(ctx context.Context, req Request) (Result, error)
}

// Record is an entry of the history.
type Record struct {
	Version cluster.Version
	ID      string
	Author  string
	Summary string
	Time    time.Time
	// Digest is the SHA-256 of the note's text.
	Digest [32]byte
}
