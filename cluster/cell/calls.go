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
	methodState         = "state"
	methodPending       = "pending"
	methodAdvise        = "advise"
	methodCommit        = "commit"
	methodRead          = "read"
	methodConfig        = "config"
	methodTransferShare = "lend"
	// methodAnnounce has no reply.
	methodAnnounce = "announce"
)

// noReplyID is the identifier of a call that gets no reply.
const noReplyID = 0

// callTable matches the replies of other daemons to the calls of this one.
type callTable struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *peer.Reply
}

func newCallTable() *callTable { return &callTable{pending: map[uint64]chan *peer.Reply{}} }

func (c *callTable) register() (uint64, chan *peer.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	reply := make(chan *peer.Reply, 1)
	c.pending[c.lastID] = reply
	return c.lastID, reply
}

func (c *callTable) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *callTable) deliver(reply *peer.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiting := c.pending[reply.ID]; waiting != nil {
		waiting <- reply
		delete(c.pending, reply.ID)
	}
}

// call sends a request to another daemon and decodes the reply. An Error of kind KindUnavailable means that
// nothing was sent or that the other daemon reported a failure; KindUnknown means that the request may have been
// carried out.
func call[T any](ctx context.Context, d *Daemon, to cluster.DaemonID, method string, request any) (T, error) {
	var zero T
	body, err := encode("call "+method, request)
	if err != nil {
		return zero, err
	}
	id, replies := d.calls.register()
	defer d.calls.unregister(id)
	if !d.transport.Send(to, &peer.Call{ID: id, Method: method, Body: body}) {
		return zero, &Error{Op: "call " + method, Kind: KindUnavailable, Err: errors.New("no connection to " + string(to))}
	}
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case reply := <-replies:
			if reply.Failure != "" {
				return zero, &Error{Op: "call " + method, Kind: KindUnavailable, Err: errors.New(string(to) + ": " + reply.Failure)}
			}
			return decode[T]("read answer of "+method, reply.Body)
		case <-ctx.Done():
			return zero, &Error{Op: "call " + method, Kind: KindUnknown, Err: ctx.Err()}
		case <-ticker.C:
			if sinceSeen := time.Since(d.transport.LastSeen(to)); sinceSeen > peerTimeout {
				return zero, &Error{Op: "call " + method, Kind: KindUnknown, Err: fmt.Errorf("%s is silent for %s", to, sinceSeen)}
			}
		}
	}
}

// serveCall executes a call of another daemon and sends the reply.
func (d *Daemon) serveCall(from cluster.DaemonID, c *peer.Call) {
	reply := &peer.Reply{ID: c.ID}
	var catcher panics.Catcher
	catcher.Try(func() {
		body, err := d.executeCall(c)
		if err != nil {
			reply.Failure = err.Error()
			return
		}
		reply.Body = body
	})
	if recovered := catcher.Recovered(); recovered != nil {
		reply.Failure = "internal error"
		d.cfg.Log.Error().Err(recovered.AsError()).Str("method", c.Method).Msg("cell: panic while serving a call")
	}
	if c.ID == noReplyID {
		return
	}
	if len(reply.Failure) > maxFailureText {
		reply.Failure = reply.Failure[:maxFailureText]
	}
	if !d.transport.Send(from, reply) {
		d.cfg.Log.Debug().Str("peer", string(from)).Str("method", c.Method).Msg("cell: reply not sent")
	}
}

// maxFailureText bounds the error text in a reply; it is below the longest string of a frame.
const maxFailureText = 500

func (d *Daemon) executeCall(c *peer.Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(d.ctx, serveTimeout)
	defer cancel()
	switch c.Method {
	case methodState:
		return serve(c, func(r stateRequest) (stateReply, error) { return d.ownedState(ctx, r) })
	case methodPending:
		return serve(c, func(r pendingRequest) (pendingReply, error) { return d.ownedPending(ctx, r) })
	case methodAdvise:
		return serve(c, func(r adviseRequest) (adviseReply, error) { return d.serveAdvice(ctx, r) })
	case methodCommit:
		return serve(c, func(r commitRequest) (commitReply, error) { return d.store.serveCommit(ctx, r) })
	case methodRead:
		return serve(c, func(r readRequest) (readReply, error) { return d.store.serveRead(ctx, r) })
	case methodConfig:
		return serve(c, func(configRequest) (configReply, error) { return d.serveConfig(), nil })
	case methodTransferShare:
		return serve(c, func(r shareRequest) (shareReply, error) { return d.transferOwnedShare(ctx, r) })
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
