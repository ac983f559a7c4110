package cell

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// Timeouts, intervals and limits of a daemon.
const (
	// storeTimeout limits a call to the store. While the store is 70 times slower than usual, a transaction
	// takes 0.7 s and waits for the transactions before it.
	storeTimeout = 2600 * time.Millisecond
	// configReadTimeout limits a read of the configuration. A read that is given up while a loaded link carries its
	// reply would be repeated and load the link further; a dead connection is noticed earlier by its keep-alive probes.
	configReadTimeout = 10 * time.Second
	// recordTimeout limits the first attempt to write a record to each of its parts.
	recordTimeout = 1200 * time.Millisecond
	// probeDelay is the time without a reply after which the store is probed, which distinguishes a slow store
	// from an unreachable one.
	probeDelay = 600 * time.Millisecond
	// probeTTL is how long a successful probe counts as proof that the store is reachable.
	probeTTL = 250 * time.Millisecond
	// probeInterval is the time between two probes of an unreachable store.
	probeInterval = 250 * time.Millisecond
	// probeTimeout limits a probe.
	probeTimeout = 800 * time.Millisecond
	// cellFeedWait is the longest wait for a change in the feed of members and owners. The replies of this feed
	// also show that the store is reachable.
	cellFeedWait = 2 * time.Second
	// memberFeedWait is the longest wait for a change in the feed of members that are not candidates.
	memberFeedWait = 10 * time.Second
	// cellSizeCheckInterval is the time between two checks whether a large cell has become small.
	cellSizeCheckInterval = time.Second
	// hubTimeout is how long a hub of a large cell may be silent before a daemon connects to another one in addition. A
	// daemon that restarts is back within that time.
	hubTimeout = 5 * time.Second
	// memberCheckInterval is the time between two checks whether the member row of this daemon is in the store. One read a
	// minute costs little beside the feeds.
	memberCheckInterval = time.Minute
	// memberSweepInterval is the time between two searches for members that are gone, and maxMissedSweeps the number of
	// successive ones without a message of a member after which its row is deleted. A VM that is cut off or suspended for
	// less than ten minutes keeps its row.
	memberSweepInterval = time.Minute
	maxMissedSweeps     = 10
	// largeCellReadDelay is the mean delay between two reads of the feed of members and owners in a large cell.
	largeCellReadDelay = 300 * time.Millisecond
	// configFeedWait and jobFeedWait are the longest waits for a change in the other feeds. A read may not
	// report a change before its wait ends, and a configuration must be in force and a cancellation carried out
	// within 3 s. The daemon that reads the configuration for its zone must also be replaced within that time if it
	// gets no replies, which it notices after configFeedWait, probeDelay and probeTimeout.
	configFeedWait = 700 * time.Millisecond
	jobFeedWait    = time.Second
	// configCheckInterval is the time between two checks whether another daemon has a newer configuration.
	configCheckInterval = 100 * time.Millisecond
	// configJoinDelay is how long a new daemon waits for the configuration of another one before it reads that of the
	// store.
	configJoinDelay = 500 * time.Millisecond
	// configFetchDelay is how long a daemon that reads the configuration from the store waits for its feed before it
	// requests a newer one from a daemon of another region, and regionalConfigFetchDelay that from one of its own
	// region, which does not load the link between the regions.
	configFetchDelay         = configFeedWait + 500*time.Millisecond
	regionalConfigFetchDelay = 500 * time.Millisecond
	// zoneConfigFetchDelay is how long another daemon waits until a daemon of its zone has a newer configuration before
	// it requests that from farther away.
	zoneConfigFetchDelay = 400 * time.Millisecond
	// configRetryDelay is the delay before a daemon that did not send its configuration is asked again.
	configRetryDelay = 400 * time.Millisecond
	// configFetchTimeout limits such a request.
	configFetchTimeout = 2 * time.Second
	// configSendRate is the lowest limit of the bytes per second of the configurations that a daemon sends to others;
	// with a fast link it may use one part in configLinkShare of that.
	configSendRate  = 512 << 10
	configLinkShare = 4
	// maxConfigSendDelay is how long a request for a configuration may wait for those before it.
	maxConfigSendDelay = 300 * time.Millisecond
	// jobFeedDelay is the delay between two reads of the feed of jobs; new jobs are also announced.
	jobFeedDelay = 150 * time.Millisecond
	// feedRetryDelay is the delay after a failed read of a feed.
	feedRetryDelay = 200 * time.Millisecond
	// claimInterval is the time between two checks of the owners of the shards.
	claimInterval = 100 * time.Millisecond
	// listThroughTimeout limits a read of the list of workers, or of the feed of jobs after its wait, through another
	// daemon. A draining worker must not get a task later than 3 s after it started to drain, so time is left for a read of
	// the owner itself.
	listThroughTimeout = 900 * time.Millisecond
	// peerTimeout is the time without a message after which a daemon counts as failed: three ping intervals.
	peerTimeout = pool.ClaimAfter
	// peerCheckInterval is the time between two checks whether a called daemon has failed.
	peerCheckInterval = 300 * time.Millisecond
	// joinGrace is how long a new daemon waits for the pings of an owner before the owner counts as failed.
	joinGrace = 2 * time.Second
	// claimDelayPerShard delays a claim for each shard that the daemon already owns.
	claimDelayPerShard = 400 * time.Millisecond
	// claimLatencyFactor multiplies the latency of the store in the delay of a claim, so that daemons near the
	// store claim first.
	claimLatencyFactor = 8
	// standInClaimDelay delays the claim of a daemon that is no candidate of a large cell, which claims only while no
	// candidate can. The delays of such daemons are spread over standInClaimSpread, as hundreds may claim the same shard.
	standInClaimDelay  = 2 * time.Second
	standInClaimSpread = 2 * time.Second
	// fewerCoresClaimDelay delays a claim while a daemon with more cores may claim the shard.
	fewerCoresClaimDelay = time.Second
	// listInterval is the time between two reads of the list of workers.
	listInterval = 600 * time.Millisecond
	// largeListInterval applies to lists of more than largeList workers, which take 200 ms to read and decode.
	// A draining worker must not get a task later than 3 s after it started to drain.
	largeListInterval = time.Second
	largeList         = 1000
	// batchDelay is how long the control loop collects events before a step. After a long step it collects for
	// batchDelayFactor times the duration of that step, at most for maxBatchDelay, so that requests and replies
	// get their share of the CPU.
	batchDelay       = 3 * time.Millisecond
	batchDelayFactor = 2
	maxBatchDelay    = 30 * time.Millisecond
	// forwardBatchDelay replaces batchDelay while calls are forwarded, as each step sends a message to most forwarders.
	forwardBatchDelay = 15 * time.Millisecond
	// maxStepGap is the time between two steps after which the owner confirms that it still owns the shard.
	maxStepGap = 800 * time.Millisecond
	// startTimeout limits a start request, stopTimeout a stop request.
	startTimeout = 900 * time.Millisecond
	stopTimeout  = 900 * time.Millisecond
	// holdTimeoutMargin is added to the wait of a hold call to get the time after which it counts as unanswered.
	holdTimeoutMargin = 700 * time.Millisecond
	// lateHoldTimeout is added instead to get its timeout. A later reply is of no use, as the leases have expired.
	lateHoldTimeout = pool.DefaultLease
	// callTimeout limits a call to another daemon.
	callTimeout = 600 * time.Millisecond
	// adviceTimeoutMargin is added to the expected end of an advice request to get its timeout.
	adviceTimeoutMargin = 1500 * time.Millisecond
	// maxLocalAdviceRequests bounds the advice requests in flight from one daemon; the service refuses the
	// 33rd.
	maxLocalAdviceRequests = 24
	// pendingTTL is how long the numbers of pending jobs of a pool are cached; callers accept numbers up to 2
	// seconds old.
	pendingTTL = 700 * time.Millisecond
	// intakeBatchDelay is how long submissions are collected for one transaction.
	intakeBatchDelay = 2 * time.Millisecond
	// maxIntakeJobs bounds the jobs of one transaction and maxIntakeBytes their size. A transaction may have
	// 100 entries, of which a job takes three, and 1 MB.
	maxIntakeJobs  = 33
	maxIntakeBytes = 400 << 10
	// maxQueuedSubmissions bounds the submissions that are queued for each part of the store at one daemon.
	maxQueuedSubmissions = 2000
	// defaultMaxIntakeBytes is the default of Config.MaxIntakeBytes.
	defaultMaxIntakeBytes = 8 * cluster.MiB
	// releaseTimeout is the part of the time for a graceful shutdown that is left for the release of a shard after a
	// wait for the store.
	releaseTimeout = 1500 * time.Millisecond
	// retryDelay is the delay before a call to the store is retried. For submissions and the load of a shard it
	// doubles with each retry, up to maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// ConfigReader decodes the configuration row that the operator writes.
type ConfigReader interface {
	// ConfigKey returns the key of the configuration row.
	ConfigKey() string
	// ReadConfig returns the configuration in a row, with the version that the row contains.
	ReadConfig(data []byte) (*cluster.Snapshot, error)
}

// Config configures a Daemon.
type Config struct {
	// VM is the name of the entry VM.
	VM string
	// Self identifies this process of the daemon; NewID derives it from the VM and the start time of the
	// process.
	Self  cluster.DaemonID
	Place cluster.Place
	// Cores is the number of cores of the VM, which may be fractional. Daemons with more cores are preferred as
	// owners.
	Cores float64
	// LinkRate is the rate of the VM's link in bytes per second; zero if it is not known.
	LinkRate cluster.Bytes
	// PeerAddr is the address at which other daemons reach this one.
	PeerAddr netip.AddrPort
	// MaxLease is the longest lease that a worker grants; zero means pool.DefaultMaxLease.
	MaxLease time.Duration
	// EvacuateBound is the time from the store's acknowledgment of an evacuation to the last start of a task in its zone;
	// zero if there are no evacuations, which are not read then.
	EvacuateBound time.Duration
	// ShardWorkers is the largest number of workers per shard when the shard layout is created, unless this
	// would need more than maxShards shards; zero means DefaultShardWorkers.
	ShardWorkers int
	// UseHalfLife is the half-life of the past use of the teams. Zero means that their use does not change the order of
	// waiting work.
	UseHalfLife time.Duration
	// Admission makes the daemon reject jobs that can't be served while their pool is full.
	Admission bool
	// Listener accepts the connections of other daemons.
	Listener net.Listener
	// MaxPeerConns and MaxPeerHandshakes are those of peer.Config; zero means the defaults there.
	MaxPeerConns      int
	MaxPeerHandshakes int
	// MaxIntakeBytes limits the size of the submitted jobs that are not written yet; zero means a default.
	MaxIntakeBytes cluster.Bytes
	// MaxJobBytes limits the memory of the accepted jobs of the shards that this daemon owns; zero means no limit.
	MaxJobBytes cluster.Bytes

	Store   platform.TableService
	Lister  platform.WorkerLister
	Workers platform.WorkerService
	Advice  platform.AdviceService
	Reader  ConfigReader
	// Evacuations is needed if EvacuateBound is set.
	Evacuations EvacuationReader
	Log         zerolog.Logger
	Metrics     tally.Scope
	PaidLink    *paidlink.Counter
}

// daemonSeparator separates the VM from the start time in the identifier of a daemon.
const daemonSeparator = "@"

// NewID returns the identifier of a daemon whose process started at the given time.
func NewID(vm string, now time.Time) cluster.DaemonID {
	return cluster.DaemonID(fmt.Sprintf("%s%s%d", vm, daemonSeparator, now.UnixMilli()))
}

func (c *Config) validate() error {
	for name, missing := range map[string]bool{
		"VM": c.VM == "", "Self": c.Self == "", "Store": c.Store == nil, "Lister": c.Lister == nil, "Workers": c.Workers == nil,
		"Advice": c.Advice == nil, "Reader": c.Reader == nil, "PeerAddr": !c.PeerAddr.IsValid(),
		"Evacuations": c.EvacuateBound > 0 && c.Evacuations == nil,
	} {
		if missing {
			return &Error{Op: "new daemon", Kind: KindSetting, Err: fmt.Errorf("%s is missing", name)}
		}
	}
	return nil
}
