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
)

// Times and limits of a daemon.
const (
	// storeTimeout limits a call to the store. A store that is 70 times slower
	// than usual takes 0.7 s for a transaction, and others wait before it.
	storeTimeout = 2600 * time.Millisecond
	// recordTimeout limits the first try of a record in each of its parts.
	recordTimeout = 1200 * time.Millisecond
	// verifyAfter is the time after which a call without an answer brings a probe, which tells a slow store from a lost one.
	verifyAfter = 600 * time.Millisecond
	// probeFresh is how long an answered probe speaks for the store.
	probeFresh = 250 * time.Millisecond
	// probeInterval is the time between two tries of a store that does not answer.
	probeInterval = 250 * time.Millisecond
	// probeTimeout limits such a try.
	probeTimeout = 800 * time.Millisecond
	// cellFeedWait bounds the silence of the feed of members and owners, which shows that the store answers.
	cellFeedWait = 2 * time.Second
	// memberFeedWait bounds the silence of the feed of members that are no candidates.
	memberFeedWait = 10 * time.Second
	// largeCellPause is the mean pause between two reads of the feed of members and owners in a large cell.
	largeCellPause = 300 * time.Millisecond
	// configFeedWait and jobFeedWait bound the silence of the other feeds. A feed
	// may miss changes until its wait ends; a configuration must be in force and
	// a cancellation carried out within 3 s.
	configFeedWait = 1500 * time.Millisecond
	jobFeedWait    = time.Second
	// jobFeedPause is the time between two calls of the feed of jobs; new jobs are announced as well.
	jobFeedPause = 150 * time.Millisecond
	// feedRetry is the pause after a feed that failed.
	feedRetry = 200 * time.Millisecond
	// claimInterval is the time between two looks at the owners of the pools.
	claimInterval = 100 * time.Millisecond
	// ownerSilence is the silence after which the owner of a pool counts as dead: three pings.
	ownerSilence = 1600 * time.Millisecond
	// silenceCheck is the time between two looks whether a daemon that was called is still heard.
	silenceCheck = 300 * time.Millisecond
	// joinTime is how long a new daemon waits for the pings of an owner.
	joinTime = 2 * time.Second
	// claimStagger is the delay of a claim for each pool that the daemon owns already.
	claimStagger = 400 * time.Millisecond
	// claimDistance multiplies the time of a call to the store into the delay of
	// a claim, so that a daemon near the store goes first.
	claimDistance = 8
	// claimYield is the delay of a claim while a daemon with a larger share of a processor may claim.
	claimYield = time.Second
	// listInterval is the time between two reads of the list of workers.
	listInterval = 600 * time.Millisecond
	// largeListInterval is that of a list of more than largeList workers, which takes
	// a fifth of a second to read and decode. A runner that drains must get no task after 3 s.
	largeListInterval = time.Second
	largeList         = 1000
	// gatherTime is how long the control loop collects events before a step. After
	// a step that took long it collects for gatherShare times as long, at most for
	// maxGatherTime, so that orders and answers get their part of the processor.
	gatherTime    = 3 * time.Millisecond
	gatherShare   = 2
	maxGatherTime = 30 * time.Millisecond
	// pauseLimit is the gap between two steps after which an owner checks that it still is one.
	pauseLimit = 800 * time.Millisecond
	// startTimeout limits a start, stopTimeout a stop.
	startTimeout = 900 * time.Millisecond
	stopTimeout  = 900 * time.Millisecond
	// holdSlack is what a hold may take beyond its wait.
	holdSlack = 700 * time.Millisecond
	// callTimeout limits a call to another daemon.
	callTimeout = 600 * time.Millisecond
	// adviceSlack is what advice may take beyond its cost and the calls before it.
	adviceSlack = 1500 * time.Millisecond
	// maxAdviceWaiting bounds the calls for advice that wait at one daemon; the service refuses the 33rd.
	maxAdviceWaiting = 24
	// pendingAge is how long the number of waiting jobs of a pool is reused; callers may see one of 2 s.
	pendingAge = 700 * time.Millisecond
	// intakeGather is how long a transaction of submissions collects more.
	intakeGather = 2 * time.Millisecond
	// maxIntake bounds the jobs of one transaction and maxIntakeBytes their size, below the 100 entries and 1 MB of a call.
	maxIntake      = 40
	maxIntakeBytes = 400 << 10
	// maxWaiting bounds the submissions that wait at one daemon.
	maxWaiting = 2000
	// retryPause is the pause before a call to the store is tried again; that of
	// submissions doubles up to maxRetryPause.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// ConfigReader turns the operator's row into the configuration.
type ConfigReader interface {
	// ConfigKey is the key of the operator's row.
	ConfigKey() string
	// ReadConfig returns the version that stands in the row and the configuration.
	ReadConfig(data []byte) (*cluster.Snapshot, error)
}

// Config configures a Daemon.
type Config struct {
	// VM is the name of the entry VM.
	VM string
	// Self identifies this run of the daemon; NewID makes it of the VM and the start of the process.
	Self  cluster.DaemonID
	Place cluster.Place
	// Cores is the processor share of the VM; daemons with the most own the pools.
	Cores    float64
	PeerAddr netip.AddrPort
	// MaxLease is the longest lease that a worker grants; zero means pool.DefaultMaxLease.
	MaxLease time.Duration
	// ShardWorkers is the number of workers of the largest pool for which the cell gets one more shard when it
	// is divided; zero means DefaultShardWorkers.
	ShardWorkers int
	// Listener accepts the connections of other daemons.
	Listener net.Listener
	Store    platform.TableService
	Lister   platform.WorkerLister
	Workers  platform.WorkerService
	Advice   platform.AdviceService
	Reader   ConfigReader
	Log      zerolog.Logger
	Metrics  tally.Scope
	PaidLink *paidlink.Counter
}

// daemonSeparator stands between the VM and the start in the identifier of a daemon.
const daemonSeparator = "@"

// NewID returns the identifier of a daemon that starts now.
func NewID(vm string, now time.Time) cluster.DaemonID {
	return cluster.DaemonID(fmt.Sprintf("%s%s%d", vm, daemonSeparator, now.UnixMilli()))
}

func (c *Config) validate() error {
	for name, missing := range map[string]bool{
		"VM": c.VM == "", "Self": c.Self == "", "Store": c.Store == nil, "Lister": c.Lister == nil, "Workers": c.Workers == nil,
		"Advice": c.Advice == nil, "Reader": c.Reader == nil, "PeerAddr": !c.PeerAddr.IsValid(),
	} {
		if missing {
			return &Error{Op: "new daemon", Kind: KindSetting, Err: fmt.Errorf("%s is missing", name)}
		}
	}
	return nil
}
