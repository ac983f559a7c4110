package cell

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// forwardEffects sends the calls to workers among the effects of a scheduler step through forwarders, and returns the
// effects that the owner carries out itself. A forwarder makes the hold calls and stop requests of a message before the
// start requests.
func (o *ownedShard) forwardEffects(effects []pool.Effect) []pool.Effect {
	routes := o.currentRoutes()
	if len(routes) == 0 || len(effects) == 0 {
		return effects
	}
	var direct []pool.Effect
	var starts []*pool.SendStart
	calls := map[cluster.DaemonID][]pool.Effect{}
	for _, e := range effects {
		var worker *platform.WorkerVM
		switch v := e.(type) {
		case *pool.SendStart:
			starts = append(starts, v)
			continue
		case *pool.SendStop:
			worker = &v.Worker
		case *pool.SendHold:
			worker = &v.Worker
		default:
			direct = append(direct, e)
			continue
		}
		if id, ok := routes.forWorker(worker); ok {
			calls[id] = append(calls[id], e)
		} else {
			direct = append(direct, e)
		}
	}
	for id, list := range routes.routeStarts(starts) {
		for _, e := range list {
			calls[id] = append(calls[id], e)
		}
	}
	for id, list := range calls {
		direct = append(direct, o.forwardCalls(id, list)...)
	}
	return direct
}

// routesInterval is the time between two searches for forwarders while none is avoided.
const routesInterval = 100 * time.Millisecond

// currentRoutes returns the forwarders of the calls to the workers. A repeated request does not go to the forwarder that
// lost the first one.
func (o *ownedShard) currentRoutes() forwardRoutes {
	avoided := o.d.forwarding.avoided.Load()
	if now := time.Now(); now.Sub(o.routedAt) >= routesInterval || avoided != o.routedAvoided {
		o.routes, o.routedAt, o.routedAvoided = o.d.forwarding.routes(int(o.workerCount.Load())), now, avoided
	}
	return o.routes
}

// forwardCalls sends calls to a forwarder in as few messages as possible. It returns those that were not sent, which are
// all of them if the forwarder is empty.
func (o *ownedShard) forwardCalls(to cluster.DaemonID, calls []pool.Effect) []pool.Effect {
	if to == "" {
		return calls
	}
	var direct []pool.Effect
	for len(calls) > 0 {
		b := newBatchBuilder()
		n := 0
		for n < len(calls) && n < maxBatchCalls && len(b.batch.Starts) < maxBatchStarts {
			switch v := calls[n].(type) {
			case *pool.SendStart:
				b.addStart(o.registerStart(to, v), v)
			case *pool.SendStop:
				b.addStop(o.registerStop(to, v), v)
			case *pool.SendHold:
				b.addHold(o.registerHold(to, v), v)
			}
			n++
		}
		if !o.d.forwarding.send(to, &b.batch) {
			o.d.forwarding.drop(b)
			direct = append(direct, calls[:n]...)
		}
		calls = calls[n:]
	}
	return direct
}

func (o *ownedShard) registerStart(to cluster.DaemonID, e *pool.SendStart) uint64 {
	return o.d.forwarding.register(&forwardedCall{
		forwarder:  to,
		unanswered: func() { o.sendEvent(startAnswered(e, platform.StartReply{}, callUnanswered)) },
		answered: func(result any, _ bool) {
			if r, ok := result.(*startResult); ok {
				o.sendEvent(startAnswered(e, platform.StartReply{Refusal: r.refusal(), Clock: r.Clock}, r.Outcome))
			}
		},
	}, startTimeout)
}

func (o *ownedShard) registerStop(to cluster.DaemonID, e *pool.SendStop) uint64 {
	return o.d.forwarding.register(&forwardedCall{
		forwarder:  to,
		unanswered: func() { o.sendEvent(stopAnswered(e, platform.StopReply{}, callUnanswered)) },
		answered: func(result any, _ bool) {
			if r, ok := result.(*stopResult); ok {
				o.sendEvent(stopAnswered(e, platform.StopReply{Fenced: r.Fenced, Restarted: r.Restarted}, r.Outcome))
			}
		},
	}, stopTimeout)
}

func (o *ownedShard) registerHold(to cluster.DaemonID, e *pool.SendHold) uint64 {
	// The forwarder makes the call later. What the reply does not list is judged by this earlier time.
	sentAt := time.Now()
	return o.d.forwarding.register(&forwardedCall{
		forwarder: to, keepFor: lateHoldTimeout,
		unanswered: func() { o.sendEvent(holdAnswered(e, sentAt, platform.HoldReply{}, true, false)) },
		answered: func(result any, late bool) {
			r, ok := result.(*holdResult)
			if !ok {
				return
			}
			reply, err := r.reply()
			if err != nil {
				o.d.cfg.Log.Error().Err(err).Str("worker", string(e.Worker.ID)).Msg("cell: result of a forwarded hold call can't be read")
			}
			lost := err != nil || r.Outcome != callAnswered && r.Outcome != callLate
			if !lost || !late {
				o.sendEvent(holdAnswered(e, sentAt, reply, lost, late))
			}
		},
	}, e.Request.Wait+holdTimeoutMargin)
}
