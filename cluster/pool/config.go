package pool

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/jobquota"
)

// Timeouts, intervals and limits of a Scheduler.
const (
	// DefaultLease is how long the tasks on a worker keep running without a hold call.
	DefaultLease = 4 * time.Second
	// DefaultMaxLease is the longest lease in the known deployments.
	DefaultMaxLease = 10 * time.Second
	// holdMaxWait is how long a worker may delay its reply to a hold call until a run ends; a lease is renewed
	// at least this often.
	holdMaxWait = time.Second
	// maxInitialHolds bounds the concurrent hold calls to workers that have not replied to this owner yet.
	// Without it, the calls after a takeover delay one another until the replies count as missing.
	maxInitialHolds = 256
	// endReportWait is how long after the end of its leases the scheduler waits for a worker that does not respond but
	// is alive to report how its runs have ended.
	endReportWait = 4 * time.Second
	// singleReplyWait is how long it waits instead where only the reply to one hold call is awaited: for a gang that is
	// being stopped, and for a worker that did not respond to the previous owner either and whose leases have expired
	// long ago.
	singleReplyWait = 750 * time.Millisecond
	// heartbeatTTL is how long a heartbeat in the platform's list shows that a worker is alive: two heartbeats and the
	// time between two reads of the list.
	heartbeatTTL = 4 * time.Second
	// holdRetryDelay is the delay after an unanswered hold call.
	holdRetryDelay = 300 * time.Millisecond
	// maxHoldDelay bounds how long the next hold call is delayed while run ends wait to be recorded, so that the
	// call can acknowledge them.
	maxHoldDelay = 300 * time.Millisecond
	// recordInterval is the shortest time between two records, so that run ends are recorded in batches.
	recordInterval = 40 * time.Millisecond
	// maxRecordRows bounds the rows of a record, and no row is added once they have maxRecordBytes; a transaction may
	// have 100 entries and 1 MB.
	maxRecordRows  = 80
	maxRecordBytes = 400 << 10
	// maxClockDrift is the fraction by which a worker's clock may be slower than real time, as specified by the
	// platform.
	maxClockDrift = 0.02
	// clockRefreshInterval is how long an idle worker's clock is not read again. A lease is shorter by maxClockDrift of
	// the time since then.
	clockRefreshInterval = 20 * time.Second
	// leaseExpiryMargin is added to the end of a lease before it counts as expired.
	leaseExpiryMargin = 50 * time.Millisecond
	// startVerifyDelay is how long a run whose start was not answered may take to appear in a hold reply before
	// it is stopped.
	startVerifyDelay = 400 * time.Millisecond
	// stopRetryDelay is the time between two stop requests for one run.
	stopRetryDelay = 500 * time.Millisecond
	// PreviousOwnerGrace is how long after a claim a previous owner that has not noticed the takeover may keep sending
	// requests.
	PreviousOwnerGrace = 2 * time.Second
	// takeoverFeedDelay is how long after the shard was loaded the change feed may deliver a job that the previous owner
	// knew, in Scheduler.activeTime.
	takeoverFeedDelay = 5 * time.Second
	// clockReadTolerance is how far the clock in a reply may lag behind the value expected when the request was sent.
	clockReadTolerance = time.Second
	// recentRestartTime is how long a previous owner may have been unaware of the restart of a worker: after that
	// time it counts as failed itself and is replaced.
	recentRestartTime = 10 * time.Second
	// MaxClockSkew is the largest difference between the clocks of two daemons.
	MaxClockSkew = 2500 * time.Millisecond
	// refusedStartDelay is the delay before a task is started again after a worker refused it.
	refusedStartDelay = 100 * time.Millisecond
	// adviceRetryDelay is the delay after a failed advice request.
	adviceRetryDelay = 200 * time.Millisecond
	// ticketMargin is subtracted from the validity of a ticket to allow for the transmission time of the start
	// request.
	ticketMargin = 100 * time.Millisecond
	// maxAdviceWorkers bounds the workers of one advice request, as specified by the platform.
	maxAdviceWorkers = 100
	// endedJobRetention is how long the row of an ended job is kept.
	endedJobRetention = 120 * time.Second
	// deletionRetryDelay is the delay before the rows of jobs that could not be deleted are deleted again.
	deletionRetryDelay = 5 * time.Second
	// deletedJobRetention is how long a row that is received after it was deleted is recognized.
	deletedJobRetention = 10 * time.Minute
)

// Config configures a Scheduler.
type Config struct {
	Service cluster.ServiceName
	// Shard is the index of the scheduled shard, Shards the number of shards of the pool; zero means 1.
	Shard  int
	Shards int
	// Epoch is the fencing token of this ownership.
	Epoch cluster.Epoch
	// Lease is how long a worker's tasks keep running without a hold call; zero means DefaultLease.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants; zero means DefaultMaxLease.
	MaxLease time.Duration
	// EvacuateBound is the time from an evacuation to the last start of a task in its zone. No task starts before the
	// first EvacuationsChanged event; zero means that there are none of these events.
	EvacuateBound time.Duration
	// Now is when the ownership began.
	Now time.Time
	// InheritedWorkers lists the workers that may have received requests from previous owners.
	InheritedWorkers []RecordedWorker
	// PreviousOwnersActiveUntil is until when previous owners may have sent requests. A time before Now counts as Now.
	PreviousOwnersActiveUntil time.Time
	// UseHalfLife is the half-life of the past use of the teams. Zero means that their use does not change the order of
	// the waiting steps.
	UseHalfLife time.Duration
	// Quota counts the memory of the jobs; nil means that it is not limited.
	Quota   *jobquota.Account
	Log     zerolog.Logger
	Metrics tally.Scope
}
