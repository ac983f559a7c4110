package jobquota

import (
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// reservationTime is how long memory is kept for a job that is being written. Submissions give up earlier.
	reservationTime = 10 * time.Second
	// teamFactor is how much a team may hold of the memory that would be left free, so that one team takes three quarters
	// of the limit and several leave the less room the more they are.
	teamFactor = 3
	// smallJob is the size of an ordinary job. Larger ones leave one part in largeReserve of the limit to those.
	smallJob     = 32 * cluster.KiB
	largeReserve = 4
	// minReturn and maxReturn bound the time after which a refused client returns. Clients return some 4 times, so a
	// longer time than maxReturn would outlast their patience.
	minReturn = time.Second
	maxReturn = 6 * time.Second
	// releaseTime is the time over which the rate is averaged at which jobs release memory.
	releaseTime = 10 * time.Second
)

// Ledger counts the memory of the jobs of a daemon; it is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	limit cluster.Bytes
	held  cluster.Bytes
	teams map[cluster.TeamName]cluster.Bytes
	// released is the memory that jobs released lately, as of releasedAt. It falls to zero in releaseTime without a release.
	released   float64
	releasedAt time.Time
}

// New returns a ledger with a limit; zero means no limit.
func New(limit cluster.Bytes) *Ledger {
	return &Ledger{limit: limit, teams: map[cluster.TeamName]cluster.Bytes{}}
}

// SetLimit changes the limit; zero means no limit. What is held stays held.
func (l *Ledger) SetLimit(limit cluster.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// Usage returns the memory that is held and the limit.
func (l *Ledger) Usage() (held, limit cluster.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held, l.limit
}

// Credit returns one of the given number of parts of the memory that may be used without regard to teams.
func (l *Ledger) Credit(parts int) cluster.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.limit*teamFactor/(teamFactor+1)-l.held) / cluster.Bytes(max(1, parts))
}

// hasRoom reports whether a team may hold more memory; the caller holds l.mu.
func (l *Ledger) hasRoom(team cluster.TeamName, size cluster.Bytes) bool {
	if l.limit == 0 {
		return true
	}
	limit := l.limit
	if size > smallJob {
		limit -= limit / largeReserve
	}
	free := limit - l.held - size
	return free >= 0 && l.teams[team]+size <= teamFactor*free
}

// add changes what a team holds; the caller holds l.mu.
func (l *Ledger) add(now time.Time, team cluster.TeamName, size cluster.Bytes) {
	l.held += size
	if l.teams[team] += size; l.teams[team] == 0 {
		delete(l.teams, team)
	}
	if size < 0 {
		l.decay(now)
		l.released -= float64(size)
	}
}

// decay applies the time since releasedAt to released; the caller holds l.mu.
func (l *Ledger) decay(now time.Time) {
	if elapsed := now.Sub(l.releasedAt); elapsed < releaseTime {
		l.released *= 1 - max(0, elapsed.Seconds())/releaseTime.Seconds()
	} else {
		l.released = 0
	}
	l.releasedAt = now
}

// returnIn returns the time in which jobs release a size at the present rate; the caller holds l.mu.
func (l *Ledger) returnIn(now time.Time, size cluster.Bytes) time.Duration {
	l.decay(now)
	if l.released <= 0 {
		return maxReturn
	}
	wait := time.Duration(float64(size) / l.released * float64(releaseTime))
	return min(maxReturn, max(minReturn, wait))
}

// Account holds the jobs of one shard in a Ledger.
type Account struct {
	ledger *Ledger
	// jobs and reservations are guarded by the mutex of the ledger. reservations holds the jobs that were reserved, the
	// first ones at the beginning.
	jobs         map[cluster.JobName]entry
	reservations []reservation
}

// entry is the memory of a job.
type entry struct {
	team cluster.TeamName
	size cluster.Bytes
	// reservedUntil is when the memory is released unless the job has arrived; zero if it has.
	reservedUntil time.Time
}

type reservation struct {
	id    cluster.JobName
	until time.Time
}

// Open returns an account without jobs.
func (l *Ledger) Open() *Account {
	return &Account{ledger: l, jobs: map[cluster.JobName]entry{}}
}

// Reserve takes memory for a job that is about to be written. It returns true for a job that is known. If there is no
// room, it returns when there may be.
func (a *Account) Reserve(now time.Time, id cluster.JobName, team cluster.TeamName, size cluster.Bytes) (ok bool, returnIn time.Duration) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	a.expire(now)
	if _, known := a.jobs[id]; known {
		return true, 0
	}
	if !l.hasRoom(team, size) {
		return false, l.returnIn(now, size)
	}
	l.add(now, team, size)
	until := now.Add(reservationTime)
	a.jobs[id] = entry{team: team, size: size, reservedUntil: until}
	a.reservations = append(a.reservations, reservation{id: id, until: until})
	return true, 0
}

// expire releases the reservations of jobs that have not arrived in time; the caller holds the mutex of the ledger.
func (a *Account) expire(now time.Time) {
	n := 0
	for ; n < len(a.reservations) && !now.Before(a.reservations[n].until); n++ {
		id := a.reservations[n].id
		if e, ok := a.jobs[id]; ok && !e.reservedUntil.IsZero() {
			a.ledger.add(now, e.team, -e.size)
			delete(a.jobs, id)
		}
	}
	a.reservations = a.reservations[n:]
}

// Set sets the memory of a job that is in the store, whether or not there is room.
func (a *Account) Set(now time.Time, id cluster.JobName, team cluster.TeamName, size cluster.Bytes) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := a.jobs[id]; ok {
		l.add(now, e.team, -e.size)
	}
	a.jobs[id] = entry{team: team, size: size}
	l.add(now, team, size)
}

// HasRoom reports whether a team may hold more memory.
func (a *Account) HasRoom(team cluster.TeamName, size cluster.Bytes) bool {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return a.ledger.hasRoom(team, size)
}

// Grow adds to the memory of a job that is in the store, whether or not there is room. A negative size releases memory.
func (a *Account) Grow(now time.Time, id cluster.JobName, size cluster.Bytes) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := a.jobs[id]; ok {
		e.size += size
		a.jobs[id] = e
		l.add(now, e.team, size)
	}
}

// Remove releases the memory of a job.
func (a *Account) Remove(now time.Time, id cluster.JobName) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := a.jobs[id]; ok {
		l.add(now, e.team, -e.size)
		delete(a.jobs, id)
	}
}

// Close releases the memory of all jobs.
func (a *Account) Close(now time.Time) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range a.jobs {
		l.add(now, e.team, -e.size)
	}
	a.jobs, a.reservations = map[cluster.JobName]entry{}, nil
}
