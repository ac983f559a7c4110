package cell

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

// Methods of calls between daemons.
const (
	methodState   = "state"
	methodPending = "pending"
	methodAdvise  = "advise"
	methodCommit  = "commit"
	methodRead    = "read"
	methodConfig  = "config"
	methodLend    = "lend"
	// methodAnnounce has no answer.
	methodAnnounce = "announce"
)

// noAnswer is the number of a call without an answer.
const noAnswer = 0

// calls matches the answers of other daemons to the calls of this one.
type calls struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *peer.Answer
}

func newCalls() *calls { return &calls{waiting: map[uint64]chan *peer.Answer{}} }

func (c *calls) open() (uint64, chan *peer.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	answer := make(chan *peer.Answer, 1)
	c.waiting[c.last] = answer
	return c.last, answer
}

func (c *calls) close(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

func (c *calls) answer(a *peer.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer := c.waiting[a.ID]; answer != nil {
		answer <- a
		delete(c.waiting, a.ID)
	}
}

// call sends a request to another daemon and decodes its answer. An Error of
// kind Unavailable means that nothing was sent, of kind Unknown that the
// request may have been carried out.
func call[T any](ctx context.Context, d *Daemon, to cluster.DaemonID, method string, request any) (T, error) {
	var zero T
	body, err := encode("call "+method, request)
	if err != nil {
		return zero, err
	}
	id, answered := d.calls.open()
	defer d.calls.close(id)
	if !d.transport.Send(to, &peer.Call{ID: id, Method: method, Body: body}) {
		return zero, &Error{Op: "call " + method, Kind: KindUnavailable, Err: errors.New("no connection to " + string(to))}
	}
	check := time.NewTicker(silenceCheck)
	defer check.Stop()
	for {
		select {
		case a := <-answered:
			if a.Failure != "" {
				return zero, &Error{Op: "call " + method, Kind: KindUnavailable, Err: errors.New(string(to) + ": " + a.Failure)}
			}
			return decode[T]("read answer of "+method, a.Body)
		case <-ctx.Done():
			return zero, &Error{Op: "call " + method, Kind: KindUnknown, Err: ctx.Err()}
		case <-check.C:
			if silence := time.Since(d.transport.LastHeard(to)); silence > ownerSilence {
				return zero, &Error{Op: "call " + method, Kind: KindUnknown, Err: fmt.Errorf("%s is silent for %s", to, silence)}
			}
		}
	}
}

// serveCall carries a call of another daemon out.
func (d *Daemon) serveCall(from cluster.DaemonID, c *peer.Call) {
	answer := &peer.Answer{ID: c.ID}
	var catcher panics.Catcher
	catcher.Try(func() {
		body, err := d.carryOut(c)
		if err != nil {
			answer.Failure = err.Error()
			return
		}
		answer.Body = body
	})
	if r := catcher.Recovered(); r != nil {
		answer.Failure = "internal error"
		d.cfg.Log.Error().Err(r.AsError()).Str("method", c.Method).Msg("cell: call failed")
	}
	if c.ID == noAnswer {
		return
	}
	if len(answer.Failure) > maxFailure {
		answer.Failure = answer.Failure[:maxFailure]
	}
	if !d.transport.Send(from, answer) {
		d.cfg.Log.Debug().Str("peer", string(from)).Str("method", c.Method).Msg("cell: answer dropped")
	}
}

// maxFailure bounds the text of a failure, below the longest string of a frame.
const maxFailure = 500

func (d *Daemon) carryOut(c *peer.Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(d.ctx, serveTimeout)
	defer cancel()
	switch c.Method {
	case methodState:
		return serve(c, func(r stateRequest) (stateReply, error) { return d.localState(r) })
	case methodPending:
		return serve(c, func(r pendingRequest) (pendingReply, error) { return d.localPending(r) })
	case methodAdvise:
		return serve(c, func(r adviseRequest) (adviseReply, error) { return d.localAdvice(ctx, r) })
	case methodCommit:
		return serve(c, func(r commitRequest) (commitReply, error) { return d.store.serveCommit(ctx, r) })
	case methodRead:
		return serve(c, func(r readRequest) (readReply, error) { return d.store.serveRead(ctx, r) })
	case methodConfig:
		return serve(c, func(configRequest) (configReply, error) { return d.localConfig(), nil })
	case methodLend:
		return serve(c, func(r lendRequest) (lendReply, error) { return d.localLend(r) })
	case methodAnnounce:
		return serve(c, func(a announcement) (struct{}, error) { d.receiveAnnouncement(a); return struct{}{}, nil })
	}
	return nil, &Error{Op: "serve call", Kind: KindMalformed, Err: errors.New("unknown method " + c.Method)}
}

func serve[Q, R any](c *peer.Call, handle func(Q) (R, error)) ([]byte, error) {
	request, err := decode[Q]("serve "+c.Method, c.Body)
	if err != nil {
		return nil, err
	}
	reply, err := handle(request)
	if err != nil {
		return nil, err
	}
	return encode("serve "+c.Method, &reply)
}
