package cell

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// maxForwardedCalls bounds the calls that a forwarder makes at a time.
	maxForwardedCalls = 4096
	// resultDelay is how long results are collected for one message, maxBatchResults bounds the results of a message and
	// maxBatchRuns the runs in them.
	resultDelay     = 15 * time.Millisecond
	maxBatchResults = 200
	maxBatchRuns    = 2000
	// pauseCheckInterval is the time between two checks whether the process was paused, maxForwarderPause the longest
	// time between them that is not a pause, and resumeTime the time after a pause in which received calls may have been
	// sent before it.
	pauseCheckInterval = 100 * time.Millisecond
	maxForwarderPause  = 600 * time.Millisecond
	resumeTime         = 300 * time.Millisecond
)

// forwardServer makes calls to workers for other daemons, and sends them the results. It makes no call that may have
// waited during a pause of this process: the owner has given it up, and may have lost its shard since.
type forwardServer struct {
	d      *Daemon
	active atomic.Int64

	mu      sync.Mutex
	results map[cluster.DaemonID]*pendingResults
	// checkedAt is the time of the last check for a pause, without a monotonic reading, as the monotonic clock may stop
	// during one. resumedAt is the end of the last pause.
	checkedAt time.Time
	resumedAt time.Time
}

// pendingResults are results that are sent together.
type pendingResults struct {
	batch resultBatch
	count int
	runs  int
}

func newForwardServer(d *Daemon) *forwardServer {
	return &forwardServer{d: d, results: map[cluster.DaemonID]*pendingResults{}}
}

// watchPauses notices pauses of the process.
func (s *forwardServer) watchPauses() {
	for {
		s.checkPause()
		if !s.d.sleep(pauseCheckInterval) {
			return
		}
	}
}

// checkPause reports whether the process was paused a short time ago.
func (s *forwardServer) checkPause() bool {
	now := time.Now().Round(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now.Sub(s.checkedAt); !s.checkedAt.IsZero() && (gap > maxForwarderPause || gap < -maxForwarderPause) {
		s.resumedAt = now
		s.d.cfg.Log.Warn().Dur("pause", gap).Msg("cell: process was paused; not forwarding the calls received meanwhile")
	}
	s.checkedAt = now
	return !s.resumedAt.IsZero() && now.Sub(s.resumedAt).Abs() < resumeTime
}

// serve makes the calls of a batch.
func (s *forwardServer) serve(from cluster.DaemonID, m packedMessage) error {
	batch, err := unpackBatch[callBatch]("serve forwarded calls", m)
	if err != nil {
		return err
	}
	tooLate := s.checkPause()
	for i := range batch.Holds {
		h := &batch.Holds[i]
		s.run(tooLate, func(tried bool) { s.serveHold(from, &batch, h, tried) })
	}
	for i := range batch.Stops {
		call := &batch.Stops[i]
		s.run(tooLate, func(tried bool) { s.serveStop(from, &batch, call, tried) })
	}
	for i := range batch.Starts {
		call := &batch.Starts[i]
		s.run(tooLate, func(tried bool) { s.serveStart(from, &batch, call, tried) })
	}
	return nil
}

// run runs a call in a goroutine of its own. A call that must not be made is only reported.
func (s *forwardServer) run(tooLate bool, call func(tried bool)) {
	if tooLate || s.active.Add(1) > maxForwardedCalls {
		if !tooLate {
			s.active.Add(-1)
		}
		s.d.cfg.Metrics.Counter("forwarded_calls_refused_total").Inc(1)
		call(false)
		return
	}
	s.d.wg.Go(func() {
		defer s.active.Add(-1)
		var catcher panics.Catcher
		catcher.Try(func() { call(true) })
		if recovered := catcher.Recovered(); recovered != nil {
			// The owner notices the missing result.
			s.d.cfg.Log.Error().Err(recovered.AsError()).Msg("cell: panic in a forwarded call")
		}
	})
}

func (s *forwardServer) serveStart(from cluster.DaemonID, batch *callBatch, call *batchStart, tried bool) {
	result := startResult{ID: call.ID, Outcome: callNotTried}
	worker, err := batch.worker(call.Worker)
	var request platform.StartRequest
	if err == nil {
		request, err = batch.startRequest(call)
	}
	s.logMalformed(from, err)
	if tried && err == nil {
		reply, outcome := s.d.startTask(s.d.ctx, worker, request)
		result.Outcome, result.Refusal, result.Clock = outcome, int(reply.Refusal), reply.Clock
	}
	s.addResult(from, 0, func(b *resultBatch) { b.Starts = append(b.Starts, result) })
}

func (s *forwardServer) serveStop(from cluster.DaemonID, batch *callBatch, call *batchStop, tried bool) {
	result := stopResult{ID: call.ID, Outcome: callNotTried}
	worker, err := batch.worker(call.Worker)
	s.logMalformed(from, err)
	if tried && err == nil {
		reply, outcome := s.d.stopTask(s.d.ctx, worker, call.request())
		result.Outcome, result.Fenced, result.Restarted = outcome, reply.Fenced, reply.Restarted
	}
	s.addResult(from, 0, func(b *resultBatch) { b.Stops = append(b.Stops, result) })
}

func (s *forwardServer) serveHold(from cluster.DaemonID, batch *callBatch, call *batchHold, tried bool) {
	worker, err := batch.worker(call.Worker)
	s.logMalformed(from, err)
	if !tried || err != nil {
		s.addResult(from, 0, func(b *resultBatch) { b.Holds = append(b.Holds, holdResult{ID: call.ID, Outcome: callNotTried}) })
		return
	}
	s.d.hold(s.d.ctx, worker, call.request(), func(reply platform.HoldReply, outcome callOutcome) {
		result := newHoldResult(call.ID, reply)
		result.Outcome = outcome
		s.addResult(from, len(result.Running)+len(result.Ended), func(b *resultBatch) { b.Holds = append(b.Holds, result) })
	})
}

func (s *forwardServer) logMalformed(from cluster.DaemonID, err error) {
	if err != nil {
		s.d.cfg.Log.Error().Err(err).Str("peer", string(from)).Msg("cell: forwarded call is left out")
	}
}

// addResult adds a result to the next message to a daemon.
func (s *forwardServer) addResult(to cluster.DaemonID, runs int, add func(*resultBatch)) {
	s.mu.Lock()
	p := s.results[to]
	if p == nil {
		p = &pendingResults{}
		s.results[to] = p
		time.AfterFunc(resultDelay, func() { s.flush(to, p) })
	}
	add(&p.batch)
	p.count++
	p.runs += runs
	full := p.count >= maxBatchResults || p.runs >= maxBatchRuns
	s.mu.Unlock()
	if full {
		s.flush(to, p)
	}
}

// flush sends collected results unless they have been sent.
func (s *forwardServer) flush(to cluster.DaemonID, p *pendingResults) {
	s.mu.Lock()
	if s.results[to] != p {
		s.mu.Unlock()
		return
	}
	delete(s.results, to)
	s.mu.Unlock()
	const op = "send results"
	message, err := packBatch(op, &p.batch)
	var body []byte
	if err == nil {
		body, err = encode(op, &message)
	}
	if err == nil && len(body) > maxBodyBytes {
		err = &Error{Op: op, Kind: KindMalformed, Err: errors.New("the results are too large for a message")}
	}
	if err != nil {
		s.d.cfg.Log.Error().Err(err).Int("results", p.count).Msg("cell: results of forwarded calls can't be sent")
		return
	}
	if !s.d.transport.Send(to, &peer.Call{ID: noReplyID, Method: methodForwardResults, Body: body}) {
		s.d.cfg.Log.Debug().Str("peer", string(to)).Int("results", p.count).Msg("cell: results of forwarded calls not sent")
	}
}
