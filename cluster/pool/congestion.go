package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// congestionWindow is for how long the result of a call to a worker tells about the owner's own link and processor,
	// congestionCheckInterval the time between two evaluations.
	congestionWindow        = time.Second
	congestionCheckInterval = 100 * time.Millisecond
	// slowCallTime is the time after which the reply to a start request counts as late.
	slowCallTime = 500 * time.Millisecond
	// minCongestedWorkers is the number of workers with missing or late replies below which the owner is not congested.
	minCongestedWorkers = 8
	// congestedShare is the share of the called workers of a zone whose replies are missing or late, and congestedZones
	// the share of the zones of which that is true, from which on the owner is congested. A failure outside the owner
	// affects some workers, or some zones.
	congestedShare = 0.25
	congestedZones = 0.75
	// singleZoneShare replaces congestedShare if all workers are in one zone.
	singleZoneShare = 0.5
	// initialStartWindow is the number of start requests that may be unanswered at a time after a takeover, minStartWindow
	// and maxStartWindow bound it later.
	initialStartWindow = 128
	minStartWindow     = 16
	maxStartWindow     = 1 << 14
	// fastReplyTime is the mean time of the replies to start requests up to which more of them may be unanswered.
	fastReplyTime = 200 * time.Millisecond
	// replyTimeWeight is the weight of a reply in that mean.
	replyTimeWeight = 0.1
)

// callResult is the last result of a call to a worker.
type callResult struct {
	answeredAt time.Time
	// failedAt is when a reply was found to be missing or late.
	failedAt time.Time
}

// zoneCalls counts the workers of a zone that were called within congestionWindow.
type zoneCalls struct{ called, failed int }

// isCongested reports whether missing and late replies are due to the owner's own link or processor. That is so if they
// come from all zones alike.
func isCongested(zones map[cluster.Zone]zoneCalls) bool {
	called, failed, congested := 0, 0, 0
	share := congestedShare
	if len(zones) == 1 {
		share = singleZoneShare
	}
	for _, z := range zones {
		called += z.called
		failed += z.failed
		if float64(z.failed) >= share*float64(z.called) {
			congested++
		}
	}
	return failed >= minCongestedWorkers && float64(congested) >= congestedZones*float64(len(zones))
}

// nextStartWindow returns the number of start requests that may be unanswered. It is halved while the owner is congested
// and grows while it is used up and the replies are fast.
func nextStartWindow(window, unanswered int, congested bool, replyTime time.Duration) int {
	switch {
	case congested:
		return max(minStartWindow, min(window, unanswered)/2)
	case unanswered >= window*3/4 && replyTime <= fastReplyTime:
		return min(maxStartWindow, window+window/2)
	}
	return window
}

// callAnswered notes that a worker has replied, late if it took long.
func (s *Scheduler) callAnswered(w *worker, took time.Duration) {
	w.calls.answeredAt = s.now
	if took > slowCallTime {
		w.calls.failedAt = s.now
	}
}

// startReplied notes that a worker has replied to a start request.
func (s *Scheduler) startReplied(w *worker, took time.Duration) {
	s.callAnswered(w, took)
	s.startReplyTime += time.Duration(replyTimeWeight * float64(took-s.startReplyTime))
}

// callUnanswered notes that a worker has not replied in time.
func (s *Scheduler) callUnanswered(w *worker) { w.calls.failedAt = s.now }

// checkCongestion evaluates the results of the calls at intervals.
func (s *Scheduler) checkCongestion() {
	if s.now.Sub(s.congestionCheckedAt) >= congestionCheckInterval {
		s.congestionCheckedAt = s.now
		s.adaptStartWindow()
	}
}

func (s *Scheduler) adaptStartWindow() {
	zones := map[cluster.Zone]zoneCalls{}
	for _, w := range s.sortedWorkers {
		failed := s.now.Sub(w.calls.failedAt) < congestionWindow
		if failed || s.now.Sub(w.calls.answeredAt) < congestionWindow {
			z := zones[w.vm.Zone]
			z.called++
			if failed {
				z.failed++
			}
			zones[w.vm.Zone] = z
		}
	}
	congested := isCongested(zones)
	if congested != s.congested {
		s.cfg.Log.Warn().Bool("congested", congested).Int("unansweredStarts", s.unansweredStarts).Int("window", s.startWindow).
			Msg("pool: replies of workers in all zones are missing or late, or in time again")
	}
	s.congested = congested
	s.startWindow = nextStartWindow(s.startWindow, s.unansweredStarts, congested, s.startReplyTime)
	s.metrics.startWindow.Update(float64(s.startWindow))
}

// mayStart reports whether another start request may be sent now.
func (s *Scheduler) mayStart() bool {
	return s.unansweredStarts < s.startWindow && s.evacuationsKnown()
}

// setRunState sets the state of a run and counts the unanswered start requests.
func (s *Scheduler) setRunState(r *run, state runState) {
	s.countUnansweredStart(r, -1)
	r.state = state
	s.countUnansweredStart(r, 1)
}

// countUnansweredStart adds n to the number of unanswered start requests if the run is one of them.
func (s *Scheduler) countUnansweredStart(r *run, n int) {
	if r.state == runStarting {
		s.unansweredStarts += n
	}
}
