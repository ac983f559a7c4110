package cell

import (
	"context"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// carryOut starts what the scheduler asks for.
func (p *ownedPool) carryOut(effects []pool.Effect) {
	for _, e := range effects {
		switch v := e.(type) {
		case *pool.SendStart:
			p.work.Go(func() { p.sendStart(v) })
		case *pool.SendStop:
			p.work.Go(func() { p.sendStop(v) })
		case *pool.SendHold:
			p.work.Go(func() { p.sendHold(v) })
		case *pool.RequestAdvice:
			p.work.Go(func() { p.askAdvice(v) })
		case *pool.WriteRecord:
			p.work.Go(func() { p.record(v) })
		case *pool.RequestShare:
			p.work.Go(func() { p.seekShare(v) })
		case *pool.Superseded:
			p.lose("a worker follows a later owner")
		}
	}
}

// lost reports whether an order without an answer may still be carried out.
func lost(err error) bool {
	return err != nil && !platform.IsKind(err, platform.KindUnavailable)
}

func (p *ownedPool) sendStart(e *pool.SendStart) {
	ctx, cancel := context.WithTimeout(p.ctx, startTimeout)
	defer cancel()
	reply, err := p.d.cfg.Workers.StartTask(ctx, e.Worker, e.Order)
	if err != nil {
		p.d.cfg.Log.Debug().Err(err).Str("task", e.Order.Task).Str("worker", string(e.Worker.ID)).Msg("cell: start failed")
		if !lost(err) {
			reply.Refusal = platform.RefusedUnhealthy
		}
	}
	p.send(&pool.StartAnswered{Fence: e.Order.Fence, Task: e.Task, Run: e.Order.Run, Worker: e.Worker.ID, Reply: reply, ReplyLost: lost(err)})
}

func (p *ownedPool) sendStop(e *pool.SendStop) {
	ctx, cancel := context.WithTimeout(p.ctx, stopTimeout)
	defer cancel()
	reply, err := p.d.cfg.Workers.StopTask(ctx, e.Worker, e.Order)
	if err != nil {
		p.d.cfg.Log.Debug().Err(err).Str("task", e.Order.Task).Str("worker", string(e.Worker.ID)).Msg("cell: stop failed")
	}
	p.send(&pool.StopAnswered{Fence: e.Order.Fence, Task: e.Task, Run: e.Order.Run, Worker: e.Worker.ID, Reply: reply, ReplyLost: err != nil})
}

func (p *ownedPool) sendHold(e *pool.SendHold) {
	ctx, cancel := context.WithTimeout(p.ctx, e.Order.Wait+holdSlack)
	defer cancel()
	sent := time.Now()
	reply, err := p.d.cfg.Workers.Hold(ctx, e.Worker, e.Order)
	if err != nil && p.ctx.Err() == nil {
		p.d.cfg.Log.Debug().Err(err).Str("worker", string(e.Worker.ID)).Msg("cell: hold failed")
	}
	p.send(&pool.HoldAnswered{
		Worker: e.Worker.ID, Fence: e.Order.Fence, Incarnation: e.Worker.Incarnation, Sent: sent, Received: time.Now(), Reply: reply, ReplyLost: err != nil, Extra: e.Extra,
	})
}

func (p *ownedPool) askAdvice(e *pool.RequestAdvice) {
	advice, err := p.d.advisor.ask(p.ctx, p.id, e.Step, e.Workers, e.Cost)
	if err != nil && p.ctx.Err() == nil {
		p.d.cfg.Log.Debug().Err(err).Str("job", string(e.Step.Job)).Msg("cell: no advice")
	}
	p.send(&pool.AdviceAnswered{Step: e.Step, Received: time.Now(), Advice: advice, Failed: err != nil})
}
