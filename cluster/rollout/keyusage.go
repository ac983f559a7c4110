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
	// maxWithdrawalDelay is the longest time that a key may still be honoured
	// after its withdrawal was accepted.
	maxWithdrawalDelay = 7 * time.Second
	// clockSkew is the largest allowed difference between the wall clocks of two daemons.
	clockSkew = 2 * time.Second
)

// keyUsage records when each key was last honoured, in order to detect, once a
// withdrawal arrives, that the key was honoured for too long after it.
type keyUsage struct{ lastUses sync.Map }

// lastUse is the last use of one key.
type lastUse struct {
	key *cluster.Key
	// unixNanos is the wall clock time of the use.
	unixNanos atomic.Int64
}

// record sets the time of the last use of a key.
func (u *keyUsage) record(key *cluster.Key, now time.Time) {
	value, ok := u.lastUses.Load(key.Name)
	if !ok || value.(*lastUse).key.Hash != key.Hash {
		value = &lastUse{key: key}
		u.lastUses.Store(key.Name, value)
	}
	value.(*lastUse).unixNanos.Store(now.UnixNano())
}

// checkWithdrawn reports keys that were withdrawn or changed and were honoured
// too long after the head was accepted. The note that withdrew a key is the head
// or an older one, so the delay measured from the head never exceeds the real
// delay: every reported key is a violation.
func (u *keyUsage) checkWithdrawn(r *replica, recorder *invariant.Recorder) {
	u.lastUses.Range(func(name, value any) bool {
		use := value.(*lastUse)
		current, ok := r.entities[note.EntityKey(cluster.Identify(use.key))].(*cluster.Key)
		if ok && current.Hash == use.key.Hash {
			return true
		}
		delay := time.Unix(0, use.unixNanos.Load()).Sub(r.headAcceptedAt)
		recorder.Require(delay <= maxWithdrawalDelay+clockSkew, invariant.Withdrawn, "key %s was honoured %s after note %d", use.key.Name, delay, r.head)
		u.lastUses.Delete(name)
		return true
	})
}
