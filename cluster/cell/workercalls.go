package cell

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// executeEffects starts the effects of a scheduler step.
func (o *ownedShard) executeEffects(effects []pool.Effect) {
	for _, e := range o.forwardEffects(effects) {
		switch v := e.(type) {
		case *pool.SendStart:
			o.runRequest(func() { o.sendStart(v) }, &pool.StartAnswered{
				Fence: v.Request.Fence, Task: v.Task, Run: v.Request.Run, Worker: v.Worker.ID, ReplyLost: true,
			})
		case *pool.SendStop:
			o.runRequest(func() { o.sendStop(v) }, &pool.StopAnswered{
				Fence: v.Request.Fence, Task: v.Task, Run: v.Request.Run, Worker: v.Worker.ID, ReplyLost: true,
			})
		case *pool.SendHold:
			o.runRequest(func() { o.sendHold(v) }, &pool.HoldAnswered{
				Worker: v.Worker.ID, Fence: v.Request.Fence, Incarnation: v.Worker.Incarnation, ReplyLost: true, Extra: v.Extra,
			})
		case *pool.RequestAdvice:
			o.runRequest(func() { o.requestAdvice(v) }, &pool.AdviceAnswered{Step: v.Step, Failed: true})
		case *pool.WriteRecord:
			o.runStoreEffect(func() { o.writeRecord(v) })
		case *pool.RequestShare:
			o.runStoreEffect(func() { o.requestShare(v) })
		case *pool.WriteUsage:
			o.usage.write(v.Usage)
		case *pool.Superseded:
			o.endOwnership("a worker has seen the fencing token of a later owner")
		}
	}
}

// runRequest runs an effect that reports its result to the scheduler. If it panics, failed is reported, as the
// scheduler would wait for the result forever.
func (o *ownedShard) runRequest(request func(), failed pool.Event) {
	o.runEffect(request, func() { o.sendEvent(failed) })
}

// runStoreEffect runs an effect that writes to the store. If it panics, the ownership ends, as it is not known what was
// written; the next owner reads it.
func (o *ownedShard) runStoreEffect(write func()) {
	o.runEffect(write, func() { o.endOwnership("a write to the store ended in a panic") })
}

func (o *ownedShard) runEffect(effect, afterPanic func()) {
	o.goroutines.Go(func() {
		var catcher panics.Catcher
		catcher.Try(effect)
		if recovered := catcher.Recovered(); recovered != nil {
			o.d.cfg.Log.Error().Err(recovered.AsError()).Stringer("shard", o.id).Msg("cell: panic in an effect of the scheduler")
			afterPanic()
		}
	})
}

// callOutcome tells what became of a call to a worker.
type callOutcome int

const (
	// callAnswered means that the worker replied.
	callAnswered callOutcome = iota
	// callUnanswered means that no reply was received in time; the worker may still carry out the call.
	callUnanswered
	// callNotSent means that the worker did not get the call, because it could not be connected to.
	callNotSent
	// callNotTried means that the forwarder did not make the call, because it was paused or has too many calls.
	callNotTried
	// callLate means that the reply was received after the call was reported as unanswered.
	callLate
)

// mayHaveEffect reports whether a request that failed with err may still be carried out by the worker.
func mayHaveEffect(err error) bool {
	return err != nil && !platform.IsKind(err, platform.KindUnavailable)
}

// startTask sends a start request to a worker.
func (d *Daemon) startTask(ctx context.Context, w platform.WorkerVM, req platform.StartRequest) (platform.StartReply, callOutcome) {
	ctx, cancel := withReplyTimeout(ctx, startTimeout)
	defer cancel()
	reply, err := d.cfg.Workers.StartTask(ctx, w, req)
	if err != nil {
		d.cfg.Log.Debug().Err(err).Str("task", req.Task).Str("worker", string(w.ID)).Msg("cell: start request failed")
	}
	return reply, outcomeOf(err)
}

// stopTask sends a stop request to a worker.
func (d *Daemon) stopTask(ctx context.Context, w platform.WorkerVM, req platform.StopRequest) (platform.StopReply, callOutcome) {
	ctx, cancel := withReplyTimeout(ctx, stopTimeout)
	defer cancel()
	reply, err := d.cfg.Workers.StopTask(ctx, w, req)
	if err != nil {
		d.cfg.Log.Debug().Err(err).Str("task", req.Task).Str("worker", string(w.ID)).Msg("cell: stop request failed")
	}
	return reply, outcomeOf(err)
}

// hold calls hold on a worker. If no reply has arrived in time it reports the call as unanswered, and reports a late
// reply as well.
func (d *Daemon) hold(parent context.Context, w platform.WorkerVM, req platform.HoldRequest, report func(platform.HoldReply, callOutcome)) {
	ctx, cancel := context.WithTimeout(parent, req.Wait+lateHoldTimeout)
	defer cancel()
	unanswered := startReplyTimer(req.Wait+holdTimeoutMargin, func() { report(platform.HoldReply{}, callUnanswered) })
	defer unanswered.stop()
	reply, err := d.cfg.Workers.Hold(ctx, w, req)
	if err != nil && parent.Err() == nil {
		d.cfg.Log.Debug().Err(err).Str("worker", string(w.ID)).Msg("cell: hold call failed")
	}
	switch late := !unanswered.stop(); {
	case !late:
		report(reply, outcomeOf(err))
	case err == nil:
		report(reply, callLate)
	}
}

// outcomeOf returns the outcome of a call to a worker that returned err.
func outcomeOf(err error) callOutcome {
	switch {
	case err == nil:
		return callAnswered
	case mayHaveEffect(err):
		return callUnanswered
	}
	return callNotSent
}

func (o *ownedShard) sendStart(e *pool.SendStart) {
	reply, outcome := o.d.startTask(o.ctx, e.Worker, e.Request)
	o.sendEvent(startAnswered(e, reply, outcome))
}

// startAnswered returns the event that reports the outcome of a start request.
func startAnswered(e *pool.SendStart, reply platform.StartReply, outcome callOutcome) *pool.StartAnswered {
	answered := &pool.StartAnswered{Fence: e.Request.Fence, Task: e.Task, Run: e.Request.Run, Worker: e.Worker.ID, Reply: reply}
	switch outcome {
	case callAnswered:
	case callNotSent:
		// The worker did not get this request; a repeat tells nothing about the first one.
		answered.Reply.Refusal = platform.RefusedUnhealthy
	case callNotTried:
		answered.NotTried = true
	default:
		answered.ReplyLost = true
	}
	return answered
}

func (o *ownedShard) sendStop(e *pool.SendStop) {
	reply, outcome := o.d.stopTask(o.ctx, e.Worker, e.Request)
	o.sendEvent(stopAnswered(e, reply, outcome))
}

// stopAnswered returns the event that reports the outcome of a stop request.
func stopAnswered(e *pool.SendStop, reply platform.StopReply, outcome callOutcome) *pool.StopAnswered {
	return &pool.StopAnswered{Fence: e.Request.Fence, Task: e.Task, Run: e.Request.Run, Worker: e.Worker.ID, Reply: reply, ReplyLost: outcome != callAnswered}
}

// sendHold calls hold on a worker. If no reply has arrived in time it reports the call as unanswered, and passes on a
// late reply.
func (o *ownedShard) sendHold(e *pool.SendHold) {
	sentAt := time.Now()
	o.d.hold(o.ctx, e.Worker, e.Request, func(reply platform.HoldReply, outcome callOutcome) {
		lost := outcome != callAnswered && outcome != callLate
		o.sendEvent(holdAnswered(e, sentAt, reply, lost, outcome == callLate))
	})
}

// holdAnswered returns the event that reports the outcome of a hold call.
func holdAnswered(e *pool.SendHold, sentAt time.Time, reply platform.HoldReply, lost, late bool) *pool.HoldAnswered {
	return &pool.HoldAnswered{
		Worker: e.Worker.ID, Fence: e.Request.Fence, Incarnation: e.Worker.Incarnation, SentAt: sentAt, ReceivedAt: time.Now(),
		Reply: reply, ReplyLost: lost, Extra: e.Extra, Late: late,
	}
}

func (o *ownedShard) requestAdvice(e *pool.RequestAdvice) {
	advice, err := o.d.advisor.requestAdvice(o.ctx, o.id, e.Step, e.Workers, e.ResponseTime)
	if err != nil && o.ctx.Err() == nil {
		o.d.cfg.Log.Debug().Err(err).Str("job", string(e.Step.Job)).Msg("cell: advice request failed")
	}
	o.sendEvent(&pool.AdviceAnswered{Step: e.Step, ReceivedAt: time.Now(), Advice: advice, Failed: err != nil})
}
