package main

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/platform/platformtest"
)

// The stated times of the daemons (docs/platform.md and the configurations of
// cluster/cell and cluster/pool) from which the bound of the jobs' ends is computed.
const (
	// ownerTimeout is the time without a response after which a shard is claimed,
	// claimDelay the longest delay of a claim, and loadDuration that of the read of
	// the jobs, whose feed may wait that long.
	ownerTimeout = 1600 * time.Millisecond
	claimDelay   = time.Second
	// standInDelay is the longest further delay of a daemon that claims in place of the candidates of a large cell.
	standInDelay = 4 * time.Second
	loadDuration = 2 * time.Second
	// previousOwnerGrace is how long a previous owner may send requests, if it was heard
	// while the claim was written, and clockSkew the difference of the clocks of two daemons.
	previousOwnerGrace = 2*time.Second + ownerTimeout
	clockSkew          = 2500 * time.Millisecond
	// maxLease is the longest lease that a worker grants, on a clock that is 2% slow.
	maxLease       = 6 * time.Second
	maxLeaseOnSlow = maxLease*100/98 + 50*time.Millisecond
	// listInterval is the time between two reads of the list of workers.
	listInterval = 600 * time.Millisecond
	// probeDuration is the longest time until a daemon sees that the store is back.
	probeDuration = 800*time.Millisecond + 500*time.Millisecond
	// storeRetryDelay is the longest delay of a repeated call to the store.
	storeRetryDelay = 800 * time.Millisecond
	// holdTimeout limits a hold call, holdRetryDelay is the delay after one.
	holdTimeout    = 1700 * time.Millisecond
	holdRetryDelay = 300 * time.Millisecond
	// startTimeout limits a start request, startVerifyDelay is the time until a run
	// without a reply is stopped, and stopRetryDelay that between two stop requests.
	startTimeout     = 900 * time.Millisecond
	startVerifyDelay = 400 * time.Millisecond
	stopRetryDelay   = 500 * time.Millisecond
	// quarantineDuration is how long a worker with a stalled run gets no tasks.
	quarantineDuration = 5 * time.Second
	// stallDuration is the time without progress after which a run is stopped.
	stallDuration = 2500 * time.Millisecond
	// adviceTimeoutMargin is the longest time by which an advice request may exceed its
	// expected duration, adviceRetryDelay the delay after a failed one, searchInterval
	// the time between two searches for workers.
	adviceTimeoutMargin = 1500 * time.Millisecond
	adviceRetryDelay    = 200 * time.Millisecond
	searchInterval      = 100 * time.Millisecond
	// stepInterval bounds the time between two steps of the scheduler, recordInterval
	// that between two records.
	stepInterval   = 50 * time.Millisecond
	recordInterval = 40 * time.Millisecond
)

// recoveryBound is the longest time from the end of the last fault until the owner
// of a shard knows what runs: the daemon starts, takes the shard over, and the leases
// of what it can't reach expire.
const recoveryBound = restartDelay + signalSetupTime + probeDuration + storeRetryDelay +
	ownerTimeout + claimDelay + loadDuration +
	previousOwnerGrace + maxLeaseOnSlow + clockSkew + listInterval +
	startTimeout + startVerifyDelay + holdTimeout + holdRetryDelay + stopRetryDelay +
	stallDuration + quarantineDuration

// pollBound is the longest time until a client sees the end of its job.
const pollBound = 2 * (callTimeout + callInterval)

// stepBound is the longest time of one step if it runs alone: advice is requested
// twice, and the tasks run once.
func stepBound(advice platformtest.AdvicePolicy, workers int, duration time.Duration) time.Duration {
	adviceTime := advice.CallDuration + time.Duration(workers)*advice.PerWorker
	return 2*adviceTime + searchInterval + adviceRetryDelay + 2*stepInterval + recordInterval + duration
}

// completionBound is the time from the end of the faults in which all jobs end if
// the open wide steps run one after the other in one shard, and before them the
// plain ones, of which one for each permitted worker runs at a time. Tasks that run for long run beside the others.
func completionBound(cfg *config, plainSteps, wideSteps int) time.Duration {
	workers, parallel := cfg.workers+spareWorkers, cfg.minPermitted()
	recovery := recoveryBound
	if cfg.remaining > 0 {
		recovery += standInDelay
	}
	return min(completionTimeout, recovery+adviceTimeoutMargin+pollBound+longTaskDuration+
		time.Duration((plainSteps+parallel-1)/parallel)*stepBound(plainAdvice, workers, taskDuration)+time.Duration(wideSteps)*stepBound(wideAdvice, workers, wideTaskDuration))
}
