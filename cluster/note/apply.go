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
	// maxCommitAttempts limits how often the commit of a note is tried. It is tried
	// again only after a conflict, which usually means that another note was
	// accepted since the configuration was read.
	maxCommitAttempts = 20
	// retainedRequests is the number of latest notes for which a repeated request
	// is recognised: ten days at 1,000 notes a day. Older request rows are deleted.
	retainedRequests = 10_000
	// callTimeout limits each call to the table service or the object store except
	// the commit, which is waited for until its outcome is known.
	callTimeout = 5 * time.Second
)

// Committer commits changes to the table service. If the reply to a commit is
// lost, it determines whether the commit was applied. *journal.Journal
// implements it.
type Committer interface {
	// Submit queues a change; done is called with the version of the commit or an error.
	Submit(change journal.Change, done func(cluster.Version, error))
}

// Request is a request to apply a note.
type Request struct {
	// ID identifies the request. Requests with the same ID and note are applied
	// once; the same ID with another note is refused.
	ID     string
	Author string
	Note   *Note
	// Base is the version of the configuration that the operator planned the note
	// against. The request conflicts if a later note wrote one of its entities.
	// Zero means the version at the time of the request.
	Base cluster.Version
	// BeforeCommit, if not nil, is called before each attempt to commit the note.
	// AfterFailedCommit, if not nil, is called after an attempt that was not
	// applied because of a conflict.
	BeforeCommit      func()
	AfterFailedCommit func()
}

// Result describes an accepted note, or the note as it would be accepted in a preview.
type Result struct {
	Version cluster.Version
	// Duplicate is true if an earlier request with the same ID was accepted.
	Duplicate bool
	// Plan is empty for a duplicate.
	Plan *Plan
}

// Applier applies notes. Repository commits them; other implementations preview
// them or wrap another Applier.
type Applier interface {
	Apply(ctx context.Context, req Request) (Result, error)
}

// Config configures a Repository.
type Config struct {
	Store   platform.TableService
	Objects platform.ObjectStore
	Journal Committer
	// MemberCheck returns a transaction check on the member row of this daemon.
	// It prevents a daemon that other daemons have removed from accepting a note.
	// If it is nil, the row is not checked.
	MemberCheck func() platform.Check
	// WorkerCapacity and RunningWork return the capacity of the workers and the
	// work in the cell. If one is nil, the checks and effects that need it are
	// skipped.
	WorkerCapacity func() *WorkerCapacity
	RunningWork    func() RunningWork
	// Clock returns the current time; nil means time.Now.
	Clock   func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Repository stores the accepted notes in the table service and their texts in
// the object store.
type Repository struct{ cfg Config }

// New returns a repository with the given configuration.
func New(cfg Config) *Repository {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Repository{cfg: cfg}
}

// Apply commits a note in one transaction. If another note was accepted at the
// same time, it checks the note against the new configuration and retries, so
// that concurrent notes on different entities are all accepted.
func (r *Repository) Apply(ctx context.Context, req Request) (Result, error) {
	running := r.runningWork()
	for range maxCommitAttempts {
		p, err := r.prepare(ctx, &req, running)
		if err != nil || p.result.Duplicate {
			return p.result, err
		}
		if err := r.storeText(ctx, req.Note, p.digest); err != nil {
			return Result{}, err
		}
		callIfSet(req.BeforeCommit)
		err = r.commit(ctx, p.change)
		if err == nil {
			r.cfg.Metrics.Counter("notes_accepted").Inc(1)
			r.cfg.Log.Info().Uint64("version", uint64(p.result.Version)).Str("author", req.Author).Msg("note: accepted")
			return p.result, nil
		}
		if err = finalCommitError(err); err != nil {
			return Result{}, err
		}
		callIfSet(req.AfterFailedCommit)
		r.cfg.Metrics.Counter("notes_retried").Inc(1)
	}
	return Result{}, &Error{Op: "apply note", Kind: KindUnavailable, Err: errors.New("too many notes at once; repeat the request")}
}

// commit submits the change and waits for its outcome. If ctx ends first, the
// outcome is unknown.
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

func callIfSet(f func()) {
	if f != nil {
		f()
	}
}

// runningWork returns the work in the cell. Apply calls it once and not for
// each attempt, because the work is collected from all daemons.
func (r *Repository) runningWork() RunningWork {
	if r.cfg.RunningWork == nil {
		return RunningWork{}
	}
	return r.cfg.RunningWork()
}

// finalCommitError returns the error that ends Apply after a failed commit, or
// nil after a conflict, which is retried.
func finalCommitError(err error) error {
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

// textObjectName returns the name of the object that holds a note's text.
func textObjectName(digest [32]byte) string { return "note/" + hexDigest(digest) }

// storeText writes the text of a note to the object store under its digest.
func (r *Repository) storeText(ctx context.Context, n *Note, digest [32]byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.cfg.Objects.PutObject(ctx, textObjectName(digest), n.Text); err != nil {
		return &Error{Op: "store the text of the note", Kind: KindUnavailable, Err: err}
	}
	return nil
}

// Preview returns an Applier that checks and plans a note without storing anything.
func (r *Repository) Preview() Applier { return previewApplier{r} }

// previewApplier is the Applier that Preview returns.
type previewApplier struct{ *Repository }

// Apply returns the result that the note would have, without committing it.
func (p previewApplier) Apply(ctx context.Context, req Request) (Result, error) {
	prepared, err := p.prepare(ctx, &req, p.runningWork())
	return prepared.result, err
}

// preparedNote is a checked note with the change to commit.
type preparedNote struct {
	result Result
	digest [32]byte
	change journal.Change
}

// prepare reads the configuration, checks the note against it and builds the
// transaction. If the request was accepted earlier, it returns that result and
// no transaction.
func (r *Repository) prepare(ctx context.Context, req *Request, running RunningWork) (preparedNote, error) {
	p := preparedNote{digest: sha256.Sum256(req.Note.Text)}
	if err := checkRequest(req); err != nil {
		return p, err
	}
	s, err := r.readStoredConfig(ctx, req.ID)
	if err != nil {
		return p, err
	}
	if s.requestRow != nil {
		return p, setDuplicateResult(&p, s.requestRow)
	}
	if req.Base == 0 || req.Base > s.headVersion {
		req.Base = s.headVersion
	}
	if err := r.checkConflicts(ctx, req, s); err != nil {
		return p, err
	}
	var capacity *WorkerCapacity
	if r.cfg.WorkerCapacity != nil {
		capacity = r.cfg.WorkerCapacity()
	}
	if problems := Check(req.Note, s.snapshot, capacity); len(problems) > 0 {
		return p, &Error{Op: "check note", Kind: KindInvalid, Problems: problems}
	}
	p.result = Result{Version: s.headVersion + 1, Plan: NewPlan(req.Note, s.snapshot, running)}
	p.change, err = r.buildTransaction(req, s, p.digest)
	return p, err
}

// checkRequest checks the identifier of the request, which is part of a row key.
func checkRequest(req *Request) error {
	if err := api.CheckName(req.ID); err != nil {
		return &Error{Op: "apply note", Kind: KindRefused, Err: fmt.Errorf("the identifier of the request %w", err)}
	}
	return nil
}

// setDuplicateResult sets the result of a request that was accepted earlier, as
// stored in its row. It fails if the identifier was used for another note.
func setDuplicateResult(p *preparedNote, row *platform.Row) error {
	var stored requestRecord
	if err := decodeRecord(*row, &stored); err != nil {
		return err
	}
	if string(stored.Digest) != string(p.digest[:]) {
		return &Error{Op: "apply note", Kind: KindRefused, Err: errors.New("the identifier was used for another note")}
	}
	p.result = Result{Version: cluster.Version(stored.Version), Duplicate: true, Plan: &Plan{}}
	return nil
}

// buildTransaction returns the change that writes the head, the entities, the
// note and the request. The change is applied only if the rows still have the
// versions that the note was checked against, and if no row of the same request
// exists.
func (r *Repository) buildTransaction(req *Request, s *storedConfig, digest [32]byte) (journal.Change, error) {
	version := s.headVersion + 1
	c := journal.Change{Checks: []platform.Check{
		{Key: HeadKey, Version: s.headRowVersion},
		{Key: requestKey(req.ID)},
	}}
	if r.cfg.MemberCheck != nil {
		c.Checks = append(c.Checks, r.cfg.MemberCheck())
	}
	entityNames := make([]string, 0, len(req.Note.Entities()))
	for _, id := range req.Note.Entities() {
		entityNames = append(entityNames, id.String())
		c.Checks = append(c.Checks, platform.Check{Key: EntityKey(id), Version: s.versions[id].rowVersion})
	}
	put := func(key string, value []byte) { c.Puts = append(c.Puts, platform.Put{Key: key, Value: value}) }
	for _, e := range writtenEntities(req.Note) {
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
		Time: now.UnixNano(), Digest: digest[:], Entities: entityNames,
	}))
	put(requestKey(req.ID), encodeRecord(requestRecord{Version: uint64(version), Digest: digest[:]}))
	if s.expiredRequestID != "" {
		c.Deletes = append(c.Deletes, requestKey(s.expiredRequestID))
	}
	return c, nil
}

// writtenEntities returns the added and changed entities.
func writtenEntities(n *Note) []cluster.Entity {
	entities := append([]cluster.Entity{}, n.Add...)
	for _, c := range n.Change {
		entities = append(entities, c.Entity)
	}
	return entities
}
