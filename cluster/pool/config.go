package pool

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Times and limits of a Scheduler.
const (
	// DefaultLease is how long everything on a worker runs on without a hold.
	DefaultLease = 4 * time.Second
	// DefaultMaxLease is the longest lease of the deployments known.
	DefaultMaxLease = 10 * time.Second
	// holdWait is how long a hold waits for an end; a lease is renewed at least this often.
	holdWait = time.Second
	// maxFirstHolds bounds the calls to workers that have not answered this owner yet, so that
	// their answers are not late after a takeover because of one another.
	maxFirstHolds = 256
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 300 * time.Millisecond
	// recordWait bounds the pause of holds while ends wait to be recorded.
	recordWait = 300 * time.Millisecond
	// recordInterval is the shortest time between two records, so that ends are recorded in groups.
	recordInterval = 40 * time.Millisecond
	// recordRows bounds the rows of a record, below the 100 entries of a transaction.
	recordRows = 80
	// drift is how much slower than real time the clock of a worker may be, by the interface of the platform.
	drift = 0.02
	// lapseMargin is added to the end of a lease before it counts as lapsed.
	lapseMargin = 50 * time.Millisecond
	// verifyDelay is how long a start without an answer may turn up in the worker's list before it is stopped.
	verifyDelay = 400 * time.Millisecond
	// stopRetry is the pause between two stops of one run.
	stopRetry = 500 * time.Millisecond
	// predecessorTime is how long an earlier owner that has not noticed its successor may go on giving orders.
	predecessorTime = 2 * time.Second
	// clockSlack is how far the clock in an answer may be behind, for the time of the answer's way.
	clockSlack = time.Second
	// freshTime is how long an earlier owner may not know that a worker has started anew: until it was silent itself and replaced.
	freshTime = 10 * time.Second
	// clockMargin is how far apart the clocks of two daemons may be.
	clockMargin = 2500 * time.Millisecond
	// stallTime is how long a run may show no progress, and stallShare the part of
	// its estimate for a run that is so long that a percent takes longer.
	stallTime  = 2500 * time.Millisecond
	stallShare = 0.03
	// retryDelay is the pause before a task is started again on a pool that refused it.
	retryDelay = 100 * time.Millisecond
	// adviceRetry is the pause after advice that failed.
	adviceRetry = 200 * time.Millisecond
	// ticketMargin is taken off the validity of a ticket, for the way of the start.
	ticketMargin = 100 * time.Millisecond
	// maxAdvised bounds the workers of one question, by the interface of the platform.
	maxAdvised = 100
	// statusTime is how long the row of an ended job is kept.
	statusTime = 120 * time.Second
)

// Config configures a Scheduler.
type Config struct {
	Service cluster.ServiceName
	// Shard is the index of the scheduled shard, Shards the number of shards of the pool; zero means 1.
	Shard  int
	Shards int
	// Epoch is the fencing token of this ownership.
	Epoch cluster.Epoch
	// Lease is how long a worker's tasks run on without a hold; zero means DefaultLease.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants; zero means DefaultMaxLease.
	MaxLease time.Duration
	// Now is when the ownership began.
	Now time.Time
	// Predecessor lists the workers that earlier owners may have given orders to.
	Predecessor []RecordedWorker
	// PredecessorEnded says that the earlier owner gives no orders any more.
	PredecessorEnded bool
	Log              zerolog.Logger
	Metrics          tally.Scope
}
