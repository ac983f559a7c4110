package cell

import (
	"context"
	"errors"
	"fmt"
	"strings"
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
	methodListWorkers   = "listWorkers"
	methodJobFeed       = "jobFeed"
	methodLoadJobs      = "loadJobs"
	methodReserveMemory = "reserveMemory"
	// The methods below have no reply.
	methodAnnounce       = "announce"
	methodAnnounceConfig = "announceConfig"
	methodAnnounceClaim  = "announceClaim"
	methodReportLoad     = "reportLoad"
	methodForwardCalls   = "forwardCalls"
	methodForwardResults = "forwardResults"
)

// noReplyID is the identifier of a call that gets no reply.
const noReplyID = 0

// maxBodyBytes bounds the body of a call or of a reply. A message may not be larger than a frame of the transport,
// which drops it otherwise.
const maxBodyBytes = peer.MaxFrame - 1<<10

// callTable matches the replies of other daemons to the calls of this one.
type callTable struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *peer.Reply
}

func newCallTable() *callTable { return &callTable{pending: map[uint64]chan *peer.Reply{}} }

// register returns the identifier of a new call and the channel of its replies, of which there are at most maxReplies.
func (c *callTable) register(maxReplies int) (uint64, chan *peer.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	replies := make(chan *peer.Reply, maxReplies)
	c.pending[c.lastID] = replies
	return c.lastID, replies
}

func (c *callTable) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *callTable) deliver(reply *peer.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.pending[reply.ID] <- reply:
	default: // nobody waits for the reply
	}
}

// callFailure is the body of a reply with a failure. Daemons of earlier versions ignore it and send none.
type callFailure struct {
	// NotExecuted means that the call had no effect.
	NotExecuted bool `msgpack:"NotExecuted"`
}

// call sends a request to another daemon and decodes the reply. An Error of kind KindUnavailable means that
// nothing was sent or that the other daemon did not execute the call; KindUnknown means that the request may have
// been carried out.
func call[T any](ctx context.Context, d *Daemon, to cluster.DaemonID, method string, request any) (T, error) {
	var reply T
	err := callForParts(ctx, d, to, method, request, 1, func(part T) (bool, error) {
		reply = part
		return true, nil
	})
	return reply, err
}

// callForParts is call for a reply of up to maxParts messages, each of which it passes to receive until that returns
// true or an error.
func callForParts[T any](ctx context.Context, d *Daemon, to cluster.DaemonID, method string, request any, maxParts int, receive func(T) (bool, error)) error {
	body, err := encode("call "+method, request)
	if err != nil {
		return err
	}
	if len(body) > maxBodyBytes {
		return &Error{Op: "call " + method, Kind: KindUnavailable, Err: fmt.Errorf("the request of %d bytes is too large", len(body))}
	}
	id, replies := d.calls.register(maxParts)
	defer d.calls.unregister(id)
	if !d.transport.Send(to, &peer.Call{ID: id, Method: method, Body: body}) {
		return &Error{Op: "call " + method, Kind: KindUnavailable, Err: errors.New("no connection to " + string(to))}
	}
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case reply := <-replies:
			if reply.Failure != "" {
				return &Error{Op: "call " + method, Kind: failureKind(reply), Err: errors.New(string(to) + ": " + reply.Failure)}
			}
			part, err := decode[T]("read answer of "+method, reply.Body)
			if err != nil {
				return err
			}
			if complete, err := receive(part); complete || err != nil {
				return err
			}
		case <-ctx.Done():
			return &Error{Op: "call " + method, Kind: KindUnknown, Err: ctx.Err()}
		case <-ticker.C:
			if sinceSeen := time.Since(d.transport.LastSeen(to)); sinceSeen > peerTimeout {
				return &Error{Op: "call " + method, Kind: KindUnknown, Err: fmt.Errorf("%s is silent for %s", to, sinceSeen)}
			}
		}
	}
}

// failureKind returns the kind of error of a call that the other daemon reports as failed.
func failureKind(reply *peer.Reply) Kind {
	failure, err := decode[callFailure]("read failure", reply.Body)
	if err == nil && failure.NotExecuted {
		return KindUnavailable
	}
	return KindUnknown
}

// serveCall executes a call of another daemon and sends the reply, which may have several parts.
func (d *Daemon) serveCall(from cluster.DaemonID, c *peer.Call) {
	var replies []*peer.Reply
	var catcher panics.Catcher
	catcher.Try(func() {
		bodies, err := d.executeCall(from, c)
		if err != nil {
			if c.ID == noReplyID {
				d.cfg.Log.Warn().Err(err).Str("peer", string(from)).Str("method", c.Method).Msg("cell: message is left out")
			}
			replies = []*peer.Reply{failureReply(c.ID, err)}
			return
		}
		for _, body := range bodies {
			replies = append(replies, &peer.Reply{ID: c.ID, Body: body})
		}
	})
	if recovered := catcher.Recovered(); recovered != nil {
		// The call may have had its effect before the panic.
		replies = []*peer.Reply{failureReply(c.ID, &Error{Op: "serve call", Kind: KindUnknown, Err: errors.New("internal error")})}
		d.cfg.Log.Error().Err(recovered.AsError()).Str("method", c.Method).Msg("cell: panic while serving a call")
	}
	if c.ID == noReplyID {
		return
	}
	send := d.transport.Send
	if isLargeTransfer(c.Method, replies) {
		send = d.transport.SendBulk
	}
	for _, reply := range replies {
		if !send(from, reply) {
			d.cfg.Log.Debug().Str("peer", string(from)).Str("method", c.Method).Msg("cell: reply not sent")
			return
		}
	}
}

// isLargeTransfer reports whether other messages should pass the replies to a call. Small replies, such as those of
// relayed feeds and reads of an owner row, don't wait behind a shard that is loaded through this daemon.
func isLargeTransfer(method string, replies []*peer.Reply) bool {
	return (method == methodConfig || method == methodRead || method == methodLoadJobs) && (len(replies) > 1 || len(replies) == 1 && len(replies[0].Body) > minPartBytes)
}

// maxFailureText bounds the error text in a reply; it is below the longest string of a frame.
const maxFailureText = 500

func failureReply(id uint64, err error) *peer.Reply {
	reply := &peer.Reply{ID: id, Failure: err.Error()}
	if len(reply.Failure) > maxFailureText {
		reply.Failure = reply.Failure[:maxFailureText]
	}
	// Without a body the caller assumes that the call may have been executed.
	if body, encodeErr := encode("report failure", &callFailure{NotExecuted: hadNoEffect(err)}); encodeErr == nil {
		reply.Body = body
	}
	return reply
}

// hadNoEffect reports whether an error of executeCall means that the call had no effect.
func hadNoEffect(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return notExecuted(err)
	}
	switch e.Kind {
	case KindUnavailable, KindOverloaded, KindNotFound, KindMalformed:
		return true
	}
	return false
}

// executeCall returns the bodies of the parts of the reply.
func (d *Daemon) executeCall(from cluster.DaemonID, c *peer.Call) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(d.ctx, serveTimeout)
	defer cancel()
	switch c.Method {
	case methodState:
		return serve(c, func(r stateRequest) (stateReply, error) { return d.ownedState(r) })
	case methodPending:
		return serve(c, func(r pendingRequest) (pendingReply, error) { return d.ownedPending(ctx, r) })
	case methodAdvise:
		return serve(c, func(r adviseRequest) (adviseReply, error) { return d.serveAdvice(ctx, r) })
	case methodCommit:
		return serve(c, func(r commitRequest) (commitReply, error) { return d.store.serveCommit(ctx, r) })
	case methodRead:
		return serveParts(c, func(r readRequest) ([]readReply, error) { return d.store.serveRead(ctx, r) })
	case methodConfig:
		return serveParts(c, func(r configRequest) ([]configReply, error) { return d.serveConfig(ctx, r) })
	case methodTransferShare:
		return serve(c, func(r shareRequest) (shareReply, error) { return d.transferOwnedShare(ctx, r) })
	case methodAnnounce:
		return serve(c, func(a announcement) (struct{}, error) { d.receiveAnnouncement(a); return struct{}{}, nil })
	case methodAnnounceConfig:
		return serve(c, func(a configAnnouncement) (struct{}, error) {
			d.receiveConfigAnnouncement(from, a)
			return struct{}{}, nil
		})
	case methodAnnounceClaim:
		return serve(c, func(a claimAnnouncement) (struct{}, error) { d.receiveClaim(from, a); return struct{}{}, nil })
	case methodReportLoad:
		// The message has no reply.
		return nil, d.receiveLoad(c.Body)
	case methodListWorkers:
		return serve(c, func(r listRequest) (packedMessage, error) { return d.serveWorkerList(ctx, r) })
	case methodJobFeed:
		return serve(c, func(r jobFeedRequest) (jobFeedReply, error) { return d.serveJobFeed(ctx, r) })
	case methodLoadJobs:
		return serveParts(c, func(r loadRequest) ([]loadedPart, error) { return d.serveLoad(ctx, r) })
	case methodReserveMemory:
		return serve(c, func(r memoryRequest) (memoryReply, error) { return d.grantMemory(r) })
	case methodForwardCalls:
		return serve(c, func(m packedMessage) (struct{}, error) { return struct{}{}, d.forwardServer.serve(from, m) })
	case methodForwardResults:
		return serve(c, func(m packedMessage) (struct{}, error) { return struct{}{}, d.forwarding.receiveResults(from, m) })
	}
	return nil, &Error{Op: "serve call", Kind: KindMalformed, Err: errors.New(unknownMethod + c.Method)}
}

// unknownMethod begins the failure of a call whose method the other daemon, of an earlier version, does not know.
const unknownMethod = "unknown method "

// isUnknownMethod reports whether a call failed because the other daemon does not know its method.
func isUnknownMethod(err error) bool {
	return err != nil && strings.Contains(err.Error(), unknownMethod)
}

func serve[Q, R any](c *peer.Call, handle func(Q) (R, error)) ([][]byte, error) {
	return serveParts(c, func(request Q) ([]R, error) {
		reply, err := handle(request)
		return []R{reply}, err
	})
}

// serveParts is serve for a reply of several parts.
func serveParts[Q, R any](c *peer.Call, handle func(Q) ([]R, error)) ([][]byte, error) {
	request, err := decode[Q]("serve "+c.Method, c.Body)
	if err != nil {
		return nil, err
	}
	parts, err := handle(request)
	if err != nil {
		return nil, err
	}
	var bodies [][]byte
	for i := range parts {
		body, err := encode("serve "+c.Method, &parts[i])
		if err == nil && len(body) > maxBodyBytes {
			err = fmt.Errorf("the reply of %d bytes is too large", len(body))
		}
		if err != nil {
			// The call has been executed, which KindMalformed would not tell.
			return nil, &Error{Op: "serve " + c.Method, Kind: KindUnknown, Err: err}
		}
		bodies = append(bodies, body)
	}
	return bodies, nil
}
