package fairshare

import (
	"math"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// maxAge bounds the age of a snapshot: the longest half-life that can be set. A clock that is ahead by more would
	// otherwise erase all usage.
	maxAge = 168 * time.Hour
	// minKeptUsage is the usage in seconds of the whole capacity below which a team is left out of a snapshot, so that
	// removed teams disappear.
	minKeptUsage = 0.01
)

// Usage is the past usage of teams: their dominant share of the capacity, integrated over time in seconds, decayed with
// the half-life of the ledger.
type Usage map[cluster.TeamName]float64

// Snapshot is the usage of teams at a time of day.
type Snapshot struct {
	At    time.Time
	Usage Usage
}

// Ledger holds the decayed usage of the teams of a pool: that of one shard, and that of the other shards as read last.
// It must be used by one goroutine only.
type Ledger struct {
	halfLife time.Duration
	accounts map[cluster.TeamName]*Account
	// list holds the accounts in the order in which they were added, as Decay visits all of them in each step.
	list []*Account
	// changed means that usage was added since ClearChanged.
	changed bool
}

// Account is the usage of a team.
type Account struct {
	ledger *Ledger
	team   cluster.TeamName
	// own is the usage in this shard, others that in the other shards.
	own, others float64
}

// NewLedger returns an empty ledger. The half-life is above zero.
func NewLedger(halfLife time.Duration) *Ledger {
	return &Ledger{halfLife: halfLife, accounts: map[cluster.TeamName]*Account{}}
}

// Account returns the account of a team, which is added if there is none.
func (l *Ledger) Account(team cluster.TeamName) *Account {
	a := l.accounts[team]
	if a == nil {
		a = &Account{ledger: l, team: team}
		l.accounts[team] = a
		l.list = append(l.list, a)
	}
	return a
}

// Add adds the use of a dominant share of the capacity for a time to the usage in this shard. A share above 1 counts as
// 1: tasks that may exceed their share of the processor count with it.
func (a *Account) Add(share float64, elapsed time.Duration) {
	if share > 0 && elapsed > 0 {
		a.own += min(share, 1) * elapsed.Seconds()
		a.ledger.changed = true
	}
}

// Usage returns the usage in all shards.
func (a *Account) Usage() float64 { return a.own + a.others }

// Decay decays all usage by a time; a negative time counts as zero.
func (l *Ledger) Decay(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rest := l.rest(elapsed)
	for _, a := range l.list {
		a.own *= rest
		a.others *= rest
	}
}

// rest returns the part of the usage that is left after a time.
func (l *Ledger) rest(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / l.halfLife.Seconds())
}

// MaxUsage returns the usage of a team that has always used the whole capacity of a shard.
func (l *Ledger) MaxUsage() float64 { return l.halfLife.Seconds() / math.Ln2 }

// Merge adds the usage in this shard under a previous owner.
func (l *Ledger) Merge(s Snapshot, now time.Time) {
	for team, usage := range s.Usage {
		l.Account(team).own += l.decayed(usage, s.At, now)
	}
}

// SetOthers replaces the usage in the other shards by the sum of their snapshots.
func (l *Ledger) SetOthers(shards []Snapshot, now time.Time) {
	for _, a := range l.list {
		a.others = 0
	}
	for _, s := range shards {
		for team, usage := range s.Usage {
			l.Account(team).others += l.decayed(usage, s.At, now)
		}
	}
}

// decayed returns what is left of a usage. Its age counts as zero if the clock that it was recorded by is ahead. It is
// bounded by MaxUsage, as it may have been recorded with a longer half-life.
func (l *Ledger) decayed(usage float64, at, now time.Time) float64 {
	age := min(max(now.Sub(at), 0), maxAge)
	return min(usage*l.rest(age), l.MaxUsage())
}

// Own returns a copy of the usage in this shard, without the teams of which hardly any is left.
func (l *Ledger) Own() Usage {
	own := Usage{}
	for _, a := range l.list {
		if a.own >= minKeptUsage {
			own[a.team] = a.own
		}
	}
	return own
}

// Changed reports whether usage was added since ClearChanged; decay is no change, as a snapshot has a time.
func (l *Ledger) Changed() bool { return l.changed }

// ClearChanged makes Changed report only the usage that is added from now on.
func (l *Ledger) ClearChanged() { l.changed = false }
