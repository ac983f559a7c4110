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
	// tickInterval is how often the control systems run without an event.
	tickInterval = 100 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 16384
	// callTimeout limits a read or an exchange made for the control loop.
	callTimeout = 3 * time.Second
)

// loopConfig configures a loop.
type loopConfig struct {
	Controller *rack.Controller
	Store      platform.TableService
	Racks      platform.RackService
	Journal    *journal.Journal
	Send       func(to cluster.DaemonID, m peer.Message) bool
	Now        func() time.Time
	Log        zerolog.Logger
	Metrics    tally.Scope
	// Stepped is called on the control goroutine after each step.
	Stepped func(*rack.Controller)
}

// loop is the one goroutine that owns the control state; it runs the effects on others.
type loop struct {
	cfg     loopConfig
	events  chan rack.Event
	queries chan func(*rack.Controller)
	answers map[rack.Token]func(rack.Effect)
	next    rack.Token
	done    chan struct{}
	drained chan struct{}
	calls   conc.WaitGroup
	step    tally.Timer
	steps   tally.Counter
	waiting tally.Gauge
}

func newLoop(cfg loopConfig) *loop {
	return &loop{
		cfg:     cfg,
		events:  make(chan rack.Event, eventQueue),
		queries: make(chan func(*rack.Controller)),
		answers: map[rack.Token]func(rack.Effect){},
		done:    make(chan struct{}),
		drained: make(chan struct{}),
		step:    cfg.Metrics.Timer("control_step"),
		steps:   cfg.Metrics.Counter("control_steps"),
		waiting: cfg.Metrics.Gauge("control_events_waiting"),
	}
}

// post queues an event; it waits while the queue is full and gives up when the loop has ended.
func (l *loop) post(e rack.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// query runs f on the control goroutine and waits for it; it returns false if the loop has ended or ctx is done first.
func (l *loop) query(ctx context.Context, f func(*rack.Controller)) bool {
	ran := make(chan struct{})
	wrapped := func(c *rack.Controller) {
		f(c)
		close(ran)
	}
	select {
	case l.queries <- wrapped:
		<-ran
		return true
	case <-ctx.Done():
	case <-l.done:
	}
	return false
}

// ask posts an event built for a new token and waits for the effect that answers it.
func (l *loop) ask(ctx context.Context, build func(rack.Token) rack.Event) (rack.Effect, bool) {
	answer := make(chan rack.Effect, 1)
	var token rack.Token
	registered := l.query(ctx, func(*rack.Controller) {
		l.next++
		token = l.next
		l.answers[token] = func(e rack.Effect) { answer <- e }
	})
	if !registered {
		return nil, false
	}
	l.post(build(token))
	select {
	case e := <-answer:
		return e, true
	case <-l.done:
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
}

// run steps the controller until ctx ends.
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
			if canWait(e) {
				continue
			}
			batch = l.gather(batch)
		case <-ticker.C:
			batch = l.gather(batch)
		}
		begin := l.cfg.Now()
		effects := l.cfg.Controller.Step(begin, batch)
		batch = nil
		l.step.Record(l.cfg.Now().Sub(begin))
		l.steps.Inc(1)
		l.waiting.Update(float64(len(l.events)))
		if l.cfg.Stepped != nil {
			l.cfg.Stepped(l.cfg.Controller)
		}
		for _, e := range effects {
			l.apply(ctx, e)
		}
	}
}

// canWait reports whether an event may wait for the next tick. These come at
// regular times from each peer and the watch goroutine; a step for each of them
// made 20 of 33 steps a second at seven daemons.
func canWait(e rack.Event) bool {
	switch e.(type) {
	case *rack.PeerDigest, *rack.MembersChanged, *rack.StoreState, *rack.PlatformList:
		return true
	default:
		return false
	}
}

// gather takes all events that are waiting, so that one step handles them together.
func (l *loop) gather(batch []rack.Event) []rack.Event {
	for len(batch) < eventQueue {
		select {
		case e := <-l.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// apply starts an effect; calls to the platform run on goroutines of their own.
func (l *loop) apply(ctx context.Context, effect rack.Effect) {
	switch e := effect.(type) {
	case *rack.ReadRows:
		l.calls.Go(func() { l.read(ctx, e) })
	case *rack.Commit:
		l.cfg.Journal.Submit(e.Change, func(version cluster.Version, err error) {
			l.post(&rack.CommitDone{Token: e.Token, Version: version, Err: err})
		})
	case *rack.Exchange:
		l.calls.Go(func() { l.exchange(ctx, e) })
	case *rack.Send:
		l.cfg.Send(e.To, e.Message)
	case *rack.SubmitResult:
		l.answer(e.Token, e)
	case *rack.CancelResult:
		l.answer(e.Token, e)
	case *rack.Drained:
		close(l.drained)
	}
}

func (l *loop) read(ctx context.Context, e *rack.ReadRows) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := l.cfg.Store.Read(ctx, e.Request)
	l.post(&rack.RowsRead{Token: e.Token, Reply: reply, Err: err})
}

func (l *loop) exchange(ctx context.Context, e *rack.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := l.cfg.Now()
	reply, err := l.cfg.Racks.Exchange(ctx, e.Request)
	l.post(&rack.ExchangeDone{Token: e.Token, Rack: e.Request.Rack, Epoch: e.Request.Epoch, SentAt: sent, Reply: reply, Err: err})
}

func (l *loop) answer(token rack.Token, e rack.Effect) {
	if f := l.answers[token]; f != nil {
		delete(l.answers, token)
		f(e)
	}
}

// wait waits for the calls in flight after the loop has ended.
func (l *loop) wait() { l.calls.Wait() }
