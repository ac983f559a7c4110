package rollout

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
)

// Authorize returns the team on whose behalf work submitted to a queue with the
// given secret runs, or an Error with the reason for a refusal. The result is
// valid only at the time of the call: work that waits must be authorized again
// immediately before it is sent.
func (r *Rollout) Authorize(secret string, queue cluster.QueueName) (cluster.TeamName, error) {
	p := r.published.Load()
	q := p.snapshot.Queues[queue]
	if q != nil && q.Open {
		return q.Team, nil
	}
	if !p.decision.allows(r.cfg.Clock()) {
		reason := p.decision.reason
		if reason == "" {
			reason = "its confirmation is too old"
		}
		return "", r.refuse(KindStale, errors.New(reason))
	}
	if q == nil {
		return "", r.refuse(KindUnknownQueue, fmt.Errorf("queue %s", queue))
	}
	return r.checkKey(p, secret, q)
}

// checkKey returns the team of the key with the given secret if the key may use q.
func (r *Rollout) checkKey(p *published, secret string, q *cluster.Queue) (cluster.TeamName, error) {
	hash := sha256.Sum256([]byte(secret))
	key := p.snapshot.KeysByHash[hash]
	if secret == "" || key == nil {
		if len(p.overdueEntities) > 0 {
			return "", r.refuse(KindStale, errors.New("the outcome of a note is not known yet"))
		}
		return "", r.refuse(KindUnknownKey, nil)
	}
	// If two keys had the same hash, the team would depend on the order of the rows.
	if !r.cfg.Invariants.Require(p.snapshot.Keys[key.Name] == key, invariant.KeyTeam, "key %s is not the only one with its hash", key.Name) {
		return "", r.refuse(KindUnknownKey, nil)
	}
	if p.snapshot.Teams[key.Team] == nil {
		return "", r.refuse(KindUnknownKey, fmt.Errorf("team %s of the key does not exist", key.Team))
	}
	if q.Team != "" && q.Team != key.Team {
		return "", r.refuse(KindWrongTeam, fmt.Errorf("queue %s admits only team %s", q.Name, q.Team))
	}
	r.keyUsage.record(key, r.cfg.Clock())
	return key.Team, nil
}

// refuse counts a refusal and returns its error.
func (r *Rollout) refuse(kind Kind, err error) error {
	r.refusals[kind].Inc(1)
	return &Error{Op: "authorize", Kind: kind, Err: err}
}
