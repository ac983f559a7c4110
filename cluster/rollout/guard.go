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

// pendingNote is a note that this daemon has sent to the store and that is not
// known to be refused or in force here.
type pendingNote struct {
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
// must not accept any, applies one note at a time, and keeps each note pending
// until its outcome is known.
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
// has note.KindUnknown and the note stays pending until its outcome is known.
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
	req.Sent = func() { g.rollout.addPendingNote(req) }
	req.Failed = func() { g.rollout.dropPendingNote(req.ID) }
	done := make(chan applyOutcome, 1)
	g.rollout.noteCommits.Go(func() {
		result, err := g.next.Apply(context.WithoutCancel(ctx), req)
		g.rollout.finishPendingNote(req.ID, result, err)
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

// addPendingNote adds a note whose commit is about to be sent.
func (r *Rollout) addPendingNote(req note.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	if r.pendingNotes[req.ID] == nil {
		r.pendingNotes[req.ID] = &pendingNote{note: req.Note, sentAt: now}
	}
	r.publish(now, false)
}

// dropPendingNote removes a note whose commit was certainly not applied, unless
// the outcome of an earlier commit of the note is unknown.
func (r *Rollout) dropPendingNote(id string) {
	r.mu.Lock()
	if d := r.pendingNotes[id]; d != nil && !d.outcomeUnknown {
		delete(r.pendingNotes, id)
	}
	r.publish(r.cfg.Clock(), r.updateOverdueEntities())
	r.mu.Unlock()
	r.notifyListeners()
}

// finishPendingNote updates or removes a pending note after the wrapped applier
// has returned.
func (r *Rollout) finishPendingNote(id string, result note.Result, err error) {
	r.mu.Lock()
	now := r.cfg.Clock()
	d := r.pendingNotes[id]
	switch {
	case d == nil:
		// No commit was sent, or the note is already in force here.
	case err == nil:
		d.acceptedVersion = result.Version
		// Reading the accepted note at once shortens the time until it is in force here.
		r.propagation.readRequested, r.propagation.acceptedLocally = true, true
	case note.IsKind(err, note.KindUnknown):
		d.outcomeUnknown = true
		r.cfg.Log.Error().Err(err).Str("note", id).Msg("rollout: the outcome of a note is unknown")
	case !d.outcomeUnknown:
		delete(r.pendingNotes, id)
	}
	changed := r.resolvePendingNotes()
	r.publish(now, changed)
	r.mu.Unlock()
	r.notifyListeners()
	r.wakeUp()
}

// resolvePendingNotes removes the notes that are in force here and reports
// whether the effective configuration changed. It is called with mu held.
func (r *Rollout) resolvePendingNotes() bool {
	for id, d := range r.pendingNotes {
		if d.acceptedVersion != 0 && d.acceptedVersion <= r.replica.head {
			delete(r.pendingNotes, id)
		}
	}
	return r.updateOverdueEntities()
}

// markOverdueNotes marks the pending notes whose commitGrace has passed and
// reports whether the effective configuration changed. It is called with mu held.
func (r *Rollout) markOverdueNotes(now time.Time) bool {
	for id, d := range r.pendingNotes {
		if !d.overdue && member.Elapsed(d.sentAt, now) > commitGrace {
			d.overdue = true
			r.cfg.Log.Warn().Str("note", id).Msg("rollout: the outcome of a note is overdue; treating its keys as withdrawn and its limits as lowered")
		}
	}
	return r.updateOverdueEntities()
}

// updateOverdueEntities recomputes overdueEntities and reports whether it
// changed. It is called with mu held.
func (r *Rollout) updateOverdueEntities() bool {
	var entities map[cluster.EntityID]bool
	for _, d := range r.pendingNotes {
		if !d.overdue {
			continue
		}
		if entities == nil {
			entities = map[cluster.EntityID]bool{}
		}
		for _, id := range d.note.Entities() {
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
			delete(s.KeysBy, key.Hash)
		}
	}
	for _, d := range r.pendingNotes {
		for _, c := range d.note.Change {
			if team, ok := c.Entity.(*cluster.Team); ok && d.overdue {
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
