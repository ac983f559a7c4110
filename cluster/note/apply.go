package note

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// maxTries bounds the repeats after conflicts on the head alone.
	maxTries = 20
	// retainRequests is the number of notes for which a repeat of a request is
	// recognised: ten days at 1,000 notes a day. Older rows are deleted.
	retainRequests = 10_000
	// callTimeout bounds one call to the table service or the object store. Only
	// the commit is waited for longer, until its outcome is known.
	callTimeout = 5 * time.Second
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
	// Sent is called before each commit of the note is sent, and Failed after one
	// that was certainly not applied; nil is not called.
	Sent   func()
	Failed func()
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

// Config configures a Repository.
type Config struct {
	Store   platform.TableService
	Objects platform.ObjectStore
	Journal Committer
	// Member returns the check on the member row of this process. It keeps a
	// daemon that others have removed from accepting a note; nil checks nothing.
	Member func() platform.Check
	// Fleet and Running describe the workers and their work; nil leaves out the checks and effects that need them.
	Fleet   func() *Fleet
	Running func() Running
	Clock   func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Repository holds the accepted notes in the table service and the object store.
type Repository struct{ cfg Config }

// New returns a repository.
func New(cfg Config) *Repository {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Repository{cfg: cfg}
}

// Apply accepts a note in one transaction. It repeats after a conflict on the
// head alone, so that notes on different entities are all accepted.
func (r *Repository) Apply(ctx context.Context, req Request) (Result, error) {
	running := r.running()
	for range maxTries {
		p, err := r.prepare(ctx, &req, running)
		if err != nil || p.result.Repeat {
			return p.result, err
		}
		if err := r.putText(ctx, req.Note, p.digest); err != nil {
			return Result{}, err
		}
		call(req.Sent)
		err = r.commit(ctx, p.change)
		if err == nil {
			r.cfg.Metrics.Counter("notes_accepted").Inc(1)
			r.cfg.Log.Info().Uint64("version", uint64(p.result.Version)).Str("author", req.Author).Msg("note: accepted")
			return p.result, nil
		}
		if err = commitError(err); err != nil {
			return Result{}, err
		}
		call(req.Failed)
		r.cfg.Metrics.Counter("notes_retried").Inc(1)
	}
	return Result{}, &Error{Op: "apply note", Kind: KindUnavailable, Err: errors.New("too many notes at once; repeat the request")}
}

func (r *Repository) commit(ctx context.Context, change journal.Change) error {
	done := make(chan error, 1)
	r.cfg.Journal.Submit(change, func(_ cluster.Version, err error) { done <- err })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &Error{Op: "apply note", Kind: KindUnknown, Err: ctx.Err()}
	}
}

func call(f func()) {
	if f != nil {
		f()
	}
}

// running reads the work once for an apply, as it is gathered from the whole cell.
func (r *Repository) running() Running {
	if r.cfg.Running == nil {
		return Running{}
	}
	return r.cfg.Running()
}

// commitError returns the error of a commit that is not to be repeated, or nil after a conflict.
func commitError(err error) error {
	kind := KindUnavailable
	switch {
	case journal.IsKind(err, journal.KindConflict):
		return nil
	case IsKind(err, KindUnknown):
		return err
	case journal.IsKind(err, journal.KindUnknown):
		kind = KindUnknown
	case journal.IsKind(err, journal.KindInvalid):
		kind = KindRefused
	}
	return &Error{Op: "apply note", Kind: kind, Err: err}
}

func textName(digest [32]byte) string { return "note/" + hexDigest(digest) }

func (r *Repository) putText(ctx context.Context, n *Note, digest [32]byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.cfg.Objects.PutObject(ctx, textName(digest), n.Text); err != nil {
		return &Error{Op: "store the text of the note", Kind: KindUnavailable, Err: err}
	}
	return nil
}

// Preview returns an applier that does all but commit; nothing is accepted.
func (r *Repository) Preview() Applier { return preview{r} }

type preview struct{ *Repository }

// Apply returns what the note would do.
func (p preview) Apply(ctx context.Context, req Request) (Result, error) {
	prepared, err := p.prepare(ctx, &req, p.running())
	return prepared.result, err
}

// prepared is a note that is ready to commit.
type prepared struct {
	result Result
	digest [32]byte
	change journal.Change
}

// prepare reads the configuration, checks the note against it and builds the transaction.
func (r *Repository) prepare(ctx context.Context, req *Request, running Running) (prepared, error) {
	p := prepared{digest: sha256.Sum256(req.Note.Text)}
	if err := checkRequest(req); err != nil {
		return p, err
	}
	s, err := r.readState(ctx, req.ID)
	if err != nil {
		return p, err
	}
	if s.request != nil {
		return p, repeated(&p, s.request)
	}
	if req.Base == 0 || req.Base > s.head {
		req.Base = s.head
	}
	if err := r.conflicts(ctx, req, s); err != nil {
		return p, err
	}
	var fleet *Fleet
	if r.cfg.Fleet != nil {
		fleet = r.cfg.Fleet()
	}
	if problems := Check(req.Note, s.snapshot, fleet); len(problems) > 0 {
		return p, &Error{Op: "check note", Kind: KindInvalid, Problems: problems}
	}
	p.result = Result{Version: s.head + 1, Plan: MakePlan(req.Note, s.snapshot, running)}
	p.change, err = r.transaction(req, s, p.digest)
	return p, err
}

func checkRequest(req *Request) error {
	if err := api.CheckName(req.ID); err != nil {
		return &Error{Op: "apply note", Kind: KindRefused, Err: fmt.Errorf("the identifier of the request %w", err)}
	}
	return nil
}

// repeated answers a request that was accepted before.
func repeated(p *prepared, row *platform.Row) error {
	var rec requestRecord
	if err := decodeRecord(*row, &rec); err != nil {
		return err
	}
	if string(rec.Digest) != string(p.digest[:]) {
		return &Error{Op: "apply note", Kind: KindRefused, Err: errors.New("the identifier was used for another note")}
	}
	p.result = Result{Version: cluster.Version(rec.Version), Repeat: true, Plan: &Plan{}}
	return nil
}

// transaction writes the head, the entities, the note and the request. Its
// checks are the versions that the note was checked against.
func (r *Repository) transaction(req *Request, s *state, digest [32]byte) (journal.Change, error) {
	version := s.head + 1
	c := journal.Change{Checks: []platform.Check{
		{Key: HeadKey, Version: s.headRow},
		{Key: requestKey(req.ID)},
	}}
	if r.cfg.Member != nil {
		c.Checks = append(c.Checks, r.cfg.Member())
	}
	names := make([]string, 0, len(req.Note.Entities()))
	for _, id := range req.Note.Entities() {
		names = append(names, id.String())
		c.Checks = append(c.Checks, platform.Check{Key: EntityKey(id), Version: s.rows[id].row})
	}
	put := func(key string, value []byte) { c.Puts = append(c.Puts, platform.Put{Key: key, Value: value}) }
	for _, e := range written(req.Note) {
		value, err := encodeEntity(e, version)
		if err != nil {
			return c, err
		}
		put(EntityKey(cluster.Identify(e)), value)
	}
	for _, id := range req.Note.Withdraw {
		c.Deletes = append(c.Deletes, EntityKey(id))
	}
	now := r.cfg.Clock()
	put(HeadKey, EncodeHead(Head{Version: version, Time: now}))
	put(noteKey(version), encodeRecord(noteRecord{
		ID: req.ID, Author: req.Author, Summary: req.Note.Summary,
		Time: now.UnixNano(), Digest: digest[:], Entities: names,
	}))
	put(requestKey(req.ID), encodeRecord(requestRecord{Version: uint64(version), Digest: digest[:]}))
	if s.expired != "" {
		c.Deletes = append(c.Deletes, requestKey(s.expired))
	}
	return c, nil
}

func written(n *Note) []cluster.Entity {
	all := append([]cluster.Entity{}, n.Add...)
	for _, c := range n.Change {
		all = append(all, c.Entity)
	}
	return all
}
