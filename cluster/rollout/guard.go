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

// commitGrace is the time that the commit of a note may take before the note is
// overdue. Most commits finish within it, so that a note that is refused in the
// end usually lowers no limit.
const commitGrace = time.Second

// unconfirmedNote is a note that this daemon has sent to the store and that is
// not known to be refused or in force here.
type unconfirmedNote struct {
	note   *note.Note
	sentAt time.Time
	// acceptedVersion is the version of the note once it is known to be accepted.
	acceptedVersion cluster.Version
	// outcomeUnknown means that the applier gave up determining the outcome.
	outcomeUnknown bool
	// overdue means that commitGrace has passed. An overdue note is treated as
	// accepted where that is safer: its keys are refused and the limits that it
	// lowers apply.
	overdue bool
}

// Guard wraps an applier. The returned applier refuses notes while this daemon
// must not accept any, applies one note at a time, and treats each note as
// unconfirmed until its outcome is known.
func (r *Rollout) Guard(next note.Applier) note.Applier { return &guardedApplier{r, next} }

// guardedApplier is the applier that Guard returns.
type guardedApplier struct {
	rollout *Rollout
	next    note.Applier
}

// applyOutcome holds the results of note.Applier.Apply.
type applyOutcome struct {
	result note.Result
	err    error
}

// Apply applies a note with the wrapped applier. If ctx ends first, the error
// has note.KindUnknown and the note stays unconfirmed until its outcome is known.
func (g *guardedApplier) Apply(ctx context.Context, req note.Request) (note.Result, error) {
	select {
	case g.rollout.noteLock <- struct{}{}:
	case <-ctx.Done():
		return note.Result{}, &note.Error{Op: "apply note", Kind: note.KindUnavailable, Err: errors.New("another note is in progress")}
	}
	if err := g.rollout.checkMayAccept(); err != nil {
		<-g.rollout.noteLock
		return note.Result{}, err
	}
	req.BeforeCommit = func() { g.rollout.addUnconfirmedNote(req) }
	req.AfterFailedCommit = func() { g.rollout.dropUnconfirmedNote(req.ID) }
	done := make(chan applyOutcome, 1)
	g.rollout.noteCommits.Go(func() {
		result, err := g.next.Apply(context.WithoutCancel(ctx), req)
		g.rollout.finishUnconfirmedNote(req.ID, result, err)
		<-g.rollout.noteLock
		done <- applyOutcome{result, err}
	})
	select {
	case outcome := <-done:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return note.Result{}, &note.Error{Op: "apply note", Kind: note.KindUnknown, Err: ctx.Err()}
	}
}

// checkMayAccept returns an error until every member has acknowledged this
// daemon, and once this daemon is leaving.
func (r *Rollout) checkMayAccept() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.freshness.leaving:
		return &Error{Op: "apply note", Kind: KindNotAcknowledged, Err: errors.New("this daemon is leaving")}
	case !r.freshness.acknowledged:
		return &Error{
			Op: "apply note", Kind: KindNotAcknowledged,
			Err: fmt.Errorf("waiting for the acknowledgement of members %v", r.freshness.unacknowledgedBy()),
		}
	}
	return nil
}

// addUnconfirmedNote adds a note whose commit is about to be sent.
func (r *Rollout) addUnconfirmedNote(req note.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	if r.unconfirmedNotes[req.ID] == nil {
		r.unconfirmedNotes[req.ID] = &unconfirmedNote{note: req.Note, sentAt: now}
	}
	r.publish(now, false)
}

// dropUnconfirmedNote removes a note whose commit was certainly not applied, unless
// the outcome of an earlier commit of the note is unknown.
func (r *Rollout) dropUnconfirmedNote(id string) {
	r.mu.Lock()
	if unconfirmed := r.unconfirmedNotes[id]; unconfirmed != nil && !unconfirmed.outcomeUnknown {
		delete(r.unconfirmedNotes, id)
	}
	r.publish(r.cfg.Clock(), r.updateOverdueEntities())
	r.mu.Unlock()
	r.notifyListeners()
}

// finishUnconfirmedNote updates or removes an unconfirmed note after the wrapped applier
// has returned.
func (r *Rollout) finishUnconfirmedNote(id string, result note.Result, err error) {
	r.mu.Lock()
	now := r.cfg.Clock()
	unconfirmed := r.unconfirmedNotes[id]
	switch {
	case unconfirmed == nil:
		// No commit was sent or it was not applied, or the note is already in force here.
	case err == nil:
		unconfirmed.acceptedVersion = result.Version
		// Reading the accepted note at once shortens the time until it is in force here.
		r.propagation.readRequested, r.propagation.acceptedLocally = true, true
	case note.IsKind(err, note.KindUnknown):
		unconfirmed.outcomeUnknown = true
		r.cfg.Log.Error().Err(err).Str("note", id).Msg("rollout: the outcome of a note is unknown")
	case !unconfirmed.outcomeUnknown:
		delete(r.unconfirmedNotes, id)
	}
	changed := r.resolveUnconfirmedNotes()
	r.publish(now, changed)
	r.mu.Unlock()
	r.notifyListeners()
	r.wakeUp()
}

// resolveUnconfirmedNotes removes the notes that are in force here and reports
// whether the effective configuration changed. It is called with mu held.
func (r *Rollout) resolveUnconfirmedNotes() bool {
	for id, unconfirmed := range r.unconfirmedNotes {
		if unconfirmed.acceptedVersion != 0 && unconfirmed.acceptedVersion <= r.replica.head {
			delete(r.unconfirmedNotes, id)
		}
	}
	return r.updateOverdueEntities()
}

// markOverdueNotes marks the unconfirmed notes whose commitGrace has passed and
// reports whether the effective configuration changed. It is called with mu held.
func (r *Rollout) markOverdueNotes(now time.Time) bool {
	for id, unconfirmed := range r.unconfirmedNotes {
		if !unconfirmed.overdue && member.Elapsed(unconfirmed.sentAt, now) > commitGrace {
			unconfirmed.overdue = true
			r.cfg.Log.Warn().Str("note", id).Msg("rollout: the outcome of a note is overdue; treating its keys as withdrawn and its limits as lowered")
		}
	}
	return r.updateOverdueEntities()
}

// updateOverdueEntities recomputes overdueEntities and reports whether it
// changed. It is called with mu held.
func (r *Rollout) updateOverdueEntities() bool {
	var entities map[cluster.EntityID]bool
	for _, unconfirmed := range r.unconfirmedNotes {
		if !unconfirmed.overdue {
			continue
		}
		if entities == nil {
			entities = map[cluster.EntityID]bool{}
		}
		for _, id := range unconfirmed.note.Entities() {
			entities[id] = true
		}
	}
	changed := len(entities) != len(r.overdueEntities)
	for id := range entities {
		changed = changed || !r.overdueEntities[id]
	}
	if changed {
		r.overdueEntities = entities
	}
	return changed
}

// sortedOverdueEntities returns the entities of overdue notes in order.
func (r *Rollout) sortedOverdueEntities() []cluster.EntityID {
	var ids []cluster.EntityID
	for id := range r.overdueEntities {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b cluster.EntityID) int { return cmp.Compare(a.String(), b.String()) })
	return ids
}

// effectiveSnapshot returns the snapshot of the replica without the keys of
// overdue notes and with the lower one of each limit that an overdue note
// changes. It is called with mu held.
func (r *Rollout) effectiveSnapshot() *cluster.Snapshot {
	s := r.replica.snapshot()
	if len(r.overdueEntities) == 0 {
		return s
	}
	for id := range r.overdueEntities {
		if id.Kind != cluster.KindKey {
			continue
		}
		if key := s.Keys[cluster.KeyName(id.Name)]; key != nil {
			delete(s.Keys, key.Name)
			delete(s.KeysByHash, key.Hash)
		}
	}
	for _, unconfirmed := range r.unconfirmedNotes {
		for _, c := range unconfirmed.note.Change {
			if team, ok := c.Entity.(*cluster.Team); ok && unconfirmed.overdue {
				lowerLimits(s, team)
			}
		}
	}
	return s
}

// lowerLimits replaces a team by a copy that has the lower one of each current
// and proposed limit.
func lowerLimits(s *cluster.Snapshot, proposed *cluster.Team) {
	current := s.Teams[proposed.Name]
	if current == nil {
		return
	}
	lowered := *current
	lowered.Limit = current.Limit.Min(proposed.Limit)
	if proposed.MaxRequests != 0 && (current.MaxRequests == 0 || proposed.MaxRequests < current.MaxRequests) {
		lowered.MaxRequests = proposed.MaxRequests
	}
	s.Teams[current.Name] = &lowered
}
