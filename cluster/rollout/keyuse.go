package rollout

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
)

const (
	// withdrawnLimit is the longest time that a key may work after its withdrawal was accepted.
	withdrawnLimit = 7 * time.Second
	// clockSkew is the largest difference allowed between the wall clocks of two daemons.
	clockSkew = 2 * time.Second
)

// keyUse holds when each key was last honoured, to see a key that was honoured
// too long once its withdrawal arrives.
type keyUse struct{ last sync.Map }

type useOfKey struct {
	key *cluster.Key
	// at is in nanoseconds of the wall clock.
	at atomic.Int64
}

func (u *keyUse) mark(key *cluster.Key, now time.Time) {
	v, ok := u.last.Load(key.Name)
	if !ok || v.(*useOfKey).key.Hash != key.Hash {
		v = &useOfKey{key: key}
		u.last.Store(key.Name, v)
	}
	v.(*useOfKey).at.Store(now.UnixNano())
}

// check reports keys that are gone or changed and were honoured too long after
// the head was accepted. The note that withdrew a key is the head or an older
// one, so that each key reported is a violation.
func (u *keyUse) check(r *replica, recorder *invariant.Recorder) {
	u.last.Range(func(name, value any) bool {
		use := value.(*useOfKey)
		now, ok := r.entities[note.EntityKey(cluster.Identify(use.key))].(*cluster.Key)
		if ok && now.Hash == use.key.Hash {
			return true
		}
		late := time.Unix(0, use.at.Load()).Sub(r.accepted)
		recorder.Require(late <= withdrawnLimit+clockSkew, invariant.Withdrawn, "key %s was honoured %s after note %d", use.key.Name, late, r.head)
		u.last.Delete(name)
		return true
	})
}
