package rollout

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
)

// Authorize returns the team that work with the secret on a queue runs for. An
// Error says why it was refused. The answer holds at the moment of the call:
// work that waits afterwards must be authorized again directly before it is sent.
func (r *Rollout) Authorize(secret string, queue cluster.QueueName) (cluster.TeamName, error) {
	p := r.published.Load()
	q := p.snapshot.Queues[queue]
	if q != nil && q.Open {
		return q.Team, nil
	}
	if !p.decision.allowed(r.cfg.Clock()) {
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

func (r *Rollout) checkKey(p *published, secret string, q *cluster.Queue) (cluster.TeamName, error) {
	hash := sha256.Sum256([]byte(secret))
	key := p.snapshot.KeysBy[hash]
	if secret == "" || key == nil {
		if len(p.doubtful) > 0 {
			return "", r.refuse(KindStale, errors.New("the outcome of a note is not known yet"))
		}
		return "", r.refuse(KindUnknownKey, nil)
	}
	// Two keys with the same hash would make the team depend on the order of the rows.
	if !r.cfg.Invariants.Require(p.snapshot.Keys[key.Name] == key, invariant.KeyTeam, "key %s is not the only one with its hash", key.Name) {
		return "", r.refuse(KindUnknownKey, nil)
	}
	if p.snapshot.Teams[key.Team] == nil {
		return "", r.refuse(KindUnknownKey, fmt.Errorf("team %s of the key does not exist", key.Team))
	}
	if q.Team != "" && q.Team != key.Team {
		return "", r.refuse(KindWrongTeam, fmt.Errorf("queue %s admits only team %s", q.Name, q.Team))
	}
	r.used.mark(key, r.cfg.Clock())
	return key.Team, nil
}

func (r *Rollout) refuse(kind Kind, err error) error {
	r.refused[kind].Inc(1)
	return &Error{Op: "authorize", Kind: kind, Err: err}
}
