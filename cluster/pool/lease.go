package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// maxCountedGap bounds how much of the time between two steps counts as time in which the owner could read replies.
// Replies that arrive while its process is paused or lacks processor time are read after the timeouts of their requests.
const maxCountedGap = 2 * stepInterval

// maxCountedListGap bounds how much of the time between two lists of workers counts as time in which heartbeats could be
// seen. While the list can't be read, the workers may be unable to write their entries too.
const maxCountedListGap = 1500 * time.Millisecond

// endReport is the wait for a worker to report the ends of its runs after its leases have expired.
type endReport struct {
	// leaseExpiry is the end of the leases that the wait follows; zero if there was no wait yet.
	leaseExpiry time.Time
	// startedAt is the value of Scheduler.activeTime when the wait began.
	startedAt time.Duration
}

// mayReportEnds reports whether a worker that does not respond may still report the ends of its runs: its heartbeats
// show that it is alive, so that its replies are late or lost on the way. It may until the owner has run
// for the time of the wait.
func (s *Scheduler) mayReportEnds(w *worker, report *endReport, leaseExpiry time.Time, wait time.Duration) bool {
	if !s.showsHeartbeats(w) {
		return false
	}
	if !report.leaseExpiry.Equal(leaseExpiry) {
		*report = endReport{leaseExpiry: leaseExpiry, startedAt: s.activeTime}
	}
	return s.activeTime-report.startedAt < wait
}

// showsHeartbeats reports whether a worker is alive according to the lists of workers.
func (s *Scheduler) showsHeartbeats(w *worker) bool {
	return w.inPlatformList && !w.heartbeatSeenAt.IsZero() && s.listingTime-w.heartbeatSeenAtListing < heartbeatTTL
}

// inheritedMayReportEnds reports whether an inherited worker whose leases have expired may still report the ends of its
// runs. The shard may have been loaded so slowly that no worker has been called yet.
func (s *Scheduler) inheritedMayReportEnds(id cluster.WorkerID) bool {
	if s.workersListedAt.IsZero() {
		return true
	}
	w, inherited := s.workers[id], s.inheritedWorkers[id]
	wait := endReportWait
	if inherited.recordedUnresponsive && !s.now.Before(inherited.leaseExpiry.Add(endReportWait)) {
		wait = singleReplyWait
	}
	return w != nil && s.mayReportEnds(w, &w.inheritedReport, s.inheritedLeaseExpiry(id), wait)
}

// inheritedLeaseExpiry returns when the leases of an inherited worker have expired, also those that this owner has
// granted before the worker has listed all its runs.
func (s *Scheduler) inheritedLeaseExpiry(id cluster.WorkerID) time.Time {
	expiry := s.inheritedWorkers[id].leaseExpiry
	if w := s.workers[id]; w != nil && w.moreEnds && w.leaseExpiry.After(expiry) {
		return w.leaseExpiry
	}
	return expiry
}
