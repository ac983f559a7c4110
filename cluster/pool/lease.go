package pool

import "time"

// mayReportEnds reports whether a worker that does not respond may still report the ends of its runs: its heartbeats
// show that it is alive, so that its replies are late or lost on the way.
func (s *Scheduler) mayReportEnds(w *worker, leaseExpiry time.Time) bool {
	return w != nil && w.showsHeartbeats(s.workersListedAt) && s.now.Before(leaseExpiry.Add(endReportWait))
}

// showsHeartbeats reports whether a worker was alive according to the last list of workers. The age of the list says
// nothing about the worker.
func (w *worker) showsHeartbeats(listedAt time.Time) bool {
	return w.inPlatformList && listedAt.Sub(w.heartbeatSeenAt) < heartbeatTTL
}
