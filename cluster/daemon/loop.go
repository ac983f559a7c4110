package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/rack"
)

const (
	// tickInterval is the interval at which the controller steps without an event.
	tickInterval = 100 * time.Millisecond
	// eventQueueSize limits the events queued for the control goroutine, and the events of one step.
	eventQueueSize = 16384
	// callTimeout limits one call to the platform: a read of rows, an exchange
	// with a rack or a read of the list of VMs.
	callTimeout = 3 * time.Second
)

// loopConfig configures a loop.
type loopConfig struct {
	Controller  *rack.Controller
	Store       platform.TableService
	RackService platform.RackService
	Journal     *journal.Journal
	Send        func(to cluster.DaemonID, m peer.Message) bool
	Now         func() time.Time
	Log         zerolog.Logger
	Metrics     tally.Scope
	// AfterStep is called on the control goroutine after each step; nil does nothing.
	AfterStep func(*rack.Controller)
}

// loop steps the rack controller on the control goroutine, the only one that
// accesses the controller, and runs the effects that a step returns. Calls to
// the platform run on separate goroutines.
type loop struct {
	cfg    loopConfig
	events chan rack.Event
	// queries passes functions to run on the control goroutine.
	queries chan func(*rack.Controller)
	// replyHandlers and lastToken are accessed on the control goroutine only.
	replyHandlers map[rack.Token]func(rack.Effect)
	lastToken     rack.Token
	// done is closed when run returns.
	done chan struct{}
	// drained is closed when the controller has handed over its racks.
	drained       chan struct{}
	callsInFlight conc.WaitGroup
	stepTimer     tally.Timer
	stepCounter   tally.Counter
	queuedEvents  tally.Gauge
}

func newLoop(cfg loopConfig) *loop {
	return &loop{
		cfg:           cfg,
		events:        make(chan rack.Event, eventQueueSize),
		queries:       make(chan func(*rack.Controller)),
		replyHandlers: map[rack.Token]func(rack.Effect){},
		done:          make(chan struct{}),
		drained:       make(chan struct{}),
		stepTimer:     cfg.Metrics.Timer("control_step"),
		stepCounter:   cfg.Metrics.Counter("control_steps"),
		queuedEvents:  cfg.Metrics.Gauge("control_events_waiting"),
	}
}

// post queues an event. It blocks while the queue is full and drops the event if the loop has ended.
func (l *loop) post(e rack.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// query runs f on the control goroutine and waits until f has returned. It
// returns false, without running f, if the loop ends or ctx is done first.
func (l *loop) query(ctx context.Context, f func(*rack.Controller)) bool {
	finished := make(chan struct{})
	wrapped := func(c *rack.Controller) {
		f(c)
		close(finished)
	}
	select {
	case l.queries <- wrapped:
		<-finished
		return true
	case <-ctx.Done():
	case <-l.done:
	}
	return false
}

// request posts the event that build returns for a new token and waits for the
// effect with the same token. It returns false if the loop ends or ctx is done first.
func (l *loop) request(ctx context.Context, build func(rack.Token) rack.Event) (rack.Effect, bool) {
	reply := make(chan rack.Effect, 1)
	var token rack.Token
	registered := l.query(ctx, func(*rack.Controller) {
		l.lastToken++
		token = l.lastToken
		l.replyHandlers[token] = func(e rack.Effect) { reply <- e }
	})
	if !registered {
		return nil, false
	}
	l.post(build(token))
	select {
	case e := <-reply:
		return e, true
	case <-l.done:
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
}

// run steps the controller until ctx is done.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var batch []rack.Event
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queries:
			f(l.cfg.Controller)
			continue
		case e := <-l.events:
			batch = append(batch, e)
			if isDeferrable(e) {
				continue
			}
			batch = l.appendQueued(batch)
		case <-ticker.C:
			batch = l.appendQueued(batch)
		}
		start := l.cfg.Now()
		effects := l.cfg.Controller.Step(start, batch)
		batch = nil
		l.stepTimer.Record(l.cfg.Now().Sub(start))
		l.stepCounter.Inc(1)
		l.queuedEvents.Update(float64(len(l.events)))
		if l.cfg.AfterStep != nil {
			l.cfg.AfterStep(l.cfg.Controller)
		}
		for _, e := range effects {
			l.startEffect(ctx, e)
		}
	}
}

// isDeferrable reports whether an event may be deferred to the next tick or the
// next event that is not deferrable. Deferrable events arrive periodically from
// every peer and from the watch goroutine; with seven daemons, a step for each
// of them caused 20 of 33 steps per second.
func isDeferrable(e rack.Event) bool {
	switch e.(type) {
	case *rack.PeerDigest, *rack.MembersChanged, *rack.StoreState, *rack.PlatformList:
		return true
	default:
		return false
	}
}

// appendQueued appends the queued events to batch, so that one step handles them together.
func (l *loop) appendQueued(batch []rack.Event) []rack.Event {
	for len(batch) < eventQueueSize {
		select {
		case e := <-l.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// startEffect carries out an effect or starts it; calls to the platform run on separate goroutines.
func (l *loop) startEffect(ctx context.Context, effect rack.Effect) {
	switch e := effect.(type) {
	case *rack.ReadRows:
		l.callsInFlight.Go(func() { l.readRows(ctx, e) })
	case *rack.Commit:
		l.cfg.Journal.Submit(e.Change, func(version cluster.Version, err error) {
			l.post(&rack.CommitDone{Token: e.Token, Version: version, Err: err})
		})
	case *rack.Exchange:
		l.callsInFlight.Go(func() { l.exchangeWithRack(ctx, e) })
	case *rack.Send:
		l.cfg.Send(e.To, e.Message)
	case *rack.SubmitResult:
		l.deliverReply(e.Token, e)
	case *rack.CancelResult:
		l.deliverReply(e.Token, e)
	case *rack.Drained:
		close(l.drained)
	}
}

func (l *loop) readRows(ctx context.Context, e *rack.ReadRows) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := l.cfg.Store.Read(ctx, e.Request)
	l.post(&rack.RowsRead{Token: e.Token, Reply: reply, Err: err})
}

func (l *loop) exchangeWithRack(ctx context.Context, e *rack.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := l.cfg.Now()
	reply, err := l.cfg.RackService.Exchange(ctx, e.Request)
	l.post(&rack.ExchangeDone{Token: e.Token, Rack: e.Request.Rack, Epoch: e.Request.Epoch, SentAt: sentAt, Reply: reply, Err: err})
}

// deliverReply passes an effect to the caller of request that waits for its token, if any.
func (l *loop) deliverReply(token rack.Token, e rack.Effect) {
	if f := l.replyHandlers[token]; f != nil {
		delete(l.replyHandlers, token)
		f(e)
	}
}

// waitForCalls waits for the calls in flight; the loop must have ended.
func (l *loop) waitForCalls() { l.callsInFlight.Wait() }
