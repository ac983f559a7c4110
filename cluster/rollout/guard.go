package rollout

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
)

// doubtGrace is the time that a commit may take before its note counts as
// having an unknown outcome. Most notes end within it, so that a note that is
// refused lowers no limit.
const doubtGrace = time.Second

// doubt is a note that was sent to the store and is not known to be in force here.
type doubt struct {
	note  *note.Note
	since time.Time
	// accepted is the version of the note once it is known to be accepted.
	accepted cluster.Version
	// unknown says that the applier gave up on finding out the outcome.
	unknown bool
	// counts says that the grace is over and the note counts as accepted where that is safer.
	counts bool
}

// Guard returns an applier that refuses notes while this daemon may not accept
// any, sends one note at a time, and counts the entities of a note as
// withdrawn or lowered until its outcome is known.
func (r *Rollout) Guard(next note.Applier) note.Applier { return &guard{r, next} }

type guard struct {
	r    *Rollout
	next note.Applier
}

type applied struct {
	result note.Result
	err    error
}

// Apply passes the note on. If ctx ends first the error has note.KindUnknown,
// and the note stays doubtful until its outcome is known.
func (g *guard) Apply(ctx context.Context, req note.Request) (note.Result, error) {
	select {
	case g.r.noteLock <- struct{}{}:
	case <-ctx.Done():
		return note.Result{}, &note.Error{Op: "apply note", Kind: note.KindUnavailable, Err: errors.New("another note is in progress")}
	}
	if err := g.r.mayAccept(); err != nil {
		<-g.r.noteLock
		return note.Result{}, err
	}
	req.Sent = func() { g.r.beginDoubt(req) }
	req.Failed = func() { g.r.dropDoubt(req.ID) }
	done := make(chan applied, 1)
	g.r.notes.Go(func() {
		result, err := g.next.Apply(context.WithoutCancel(ctx), req)
		g.r.endDoubt(req.ID, result, err)
		<-g.r.noteLock
		done <- applied{result, err}
	})
	select {
	case a := <-done:
		return a.result, a.err
	case <-ctx.Done():
		return note.Result{}, &note.Error{Op: "apply note", Kind: note.KindUnknown, Err: ctx.Err()}
	}
}

// mayAccept refuses notes until every member has acknowledged this daemon.
func (r *Rollout) mayAccept() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.fresh.left:
		return &Error{Op: "apply note", Kind: KindNotAcknowledged, Err: errors.New("this daemon is leaving")}
	case !r.fresh.acknowledged:
		return &Error{
			Op: "apply note", Kind: KindNotAcknowledged,
			Err: fmt.Errorf("waiting for the acknowledgement of members %v", r.fresh.unacknowledged()),
		}
	}
	return nil
}

func (r *Rollout) beginDoubt(req note.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	if r.doubts[req.ID] == nil {
		r.doubts[req.ID] = &doubt{note: req.Note, since: now}
	}
	r.publish(now, false)
}

// dropDoubt ends the doubt about a commit that was certainly not applied.
func (r *Rollout) dropDoubt(id string) {
	r.mu.Lock()
	if d := r.doubts[id]; d != nil && !d.unknown {
		delete(r.doubts, id)
	}
	r.publish(r.cfg.Clock(), r.refreshDoubtful())
	r.mu.Unlock()
	r.notify()
}

func (r *Rollout) endDoubt(id string, result note.Result, err error) {
	r.mu.Lock()
	now := r.cfg.Clock()
	d := r.doubts[id]
	switch {
	case d == nil:
		// No commit was sent, or the note was accepted before.
	case err == nil:
		d.accepted = result.Version
		// The note is accepted; reading it at once shortens the time until it is in force here.
		r.relay.readNow, r.relay.acceptedHere = true, true
	case note.IsKind(err, note.KindUnknown):
		d.unknown = true
		r.cfg.Log.Error().Err(err).Str("note", id).Msg("rollout: the outcome of a note is unknown")
	case !d.unknown:
		delete(r.doubts, id)
	}
	changed := r.settleDoubts()
	r.publish(now, changed)
	r.mu.Unlock()
	r.notify()
	r.wakeUp()
}

// settleDoubts drops the notes that are in force here and reports whether the
// effective configuration changed. It is called with mu held.
func (r *Rollout) settleDoubts() bool {
	for id, d := range r.doubts {
		if d.accepted != 0 && d.accepted <= r.replica.head {
			delete(r.doubts, id)
		}
	}
	return r.refreshDoubtful()
}

// ageDoubts lets notes count whose grace is over. It is called with mu held.
func (r *Rollout) ageDoubts(now time.Time) bool {
	for id, d := range r.doubts {
		if !d.counts && member.Elapsed(d.since, now) > doubtGrace {
			d.counts = true
			r.cfg.Log.Warn().Str("note", id).Msg("rollout: a note is doubtful; its keys count as withdrawn and its limits as lowered")
		}
	}
	return r.refreshDoubtful()
}

func (r *Rollout) refreshDoubtful() bool {
	var doubtful map[cluster.EntityID]bool
	for _, d := range r.doubts {
		if !d.counts {
			continue
		}
		if doubtful == nil {
			doubtful = map[cluster.EntityID]bool{}
		}
		for _, id := range d.note.Entities() {
			doubtful[id] = true
		}
	}
	changed := len(doubtful) != len(r.doubtful)
	for id := range doubtful {
		changed = changed || !r.doubtful[id]
	}
	if changed {
		r.doubtful = doubtful
	}
	return changed
}

func (r *Rollout) doubtfulEntities() []cluster.EntityID {
	var ids []cluster.EntityID
	for id := range r.doubtful {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b cluster.EntityID) int { return cmp.Compare(a.String(), b.String()) })
	return ids
}

// effective returns the snapshot of the replica in which keys of doubtful notes
// are missing and limits are the lower of both. It is called with mu held.
func (r *Rollout) effective() *cluster.Snapshot {
	s := r.replica.snapshot()
	if len(r.doubtful) == 0 {
		return s
	}
	for id := range r.doubtful {
		if id.Kind != cluster.KindKey {
			continue
		}
		if key := s.Keys[cluster.KeyName(id.Name)]; key != nil {
			delete(s.Keys, key.Name)
			delete(s.KeysBy, key.Hash)
		}
	}
	for _, d := range r.doubts {
		for _, c := range d.note.Change {
			if team, ok := c.Entity.(*cluster.Team); ok && d.counts {
				lower(s, team)
			}
		}
	}
	return s
}

// lower replaces a team by a copy with the lower of both limits.
func lower(s *cluster.Snapshot, doubtful *cluster.Team) {
	now := s.Teams[doubtful.Name]
	if now == nil {
		return
	}
	lowered := *now
	lowered.Limit = now.Limit.Min(doubtful.Limit)
	if doubtful.MaxRequests != 0 && (now.MaxRequests == 0 || doubtful.MaxRequests < now.MaxRequests) {
		lowered.MaxRequests = doubtful.MaxRequests
	}
	s.Teams[now.Name] = &lowered
}
