package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// idleExchangeInterval is the time between exchanges with a rack that has no pending tasks.
	idleExchangeInterval = 2 * time.Second
	// busyExchangeInterval is the same for a rack with pending tasks.
	busyExchangeInterval = 500 * time.Millisecond
	// The delay before a failed exchange is retried doubles from the minimum to the maximum, with jitter.
	exchangeMinDelay = 200 * time.Millisecond
	exchangeMaxDelay = 2 * time.Second
	// maxCommands bounds the number of commands in one exchange.
	maxCommands = 400
)

// sendExchange emits an exchange and calls done with the reply.
func (c *Controller) sendExchange(req platform.ExchangeRequest, done func(*ExchangeDone)) {
	token := c.nextToken()
	c.pendingExchanges[token] = done
	c.emit(&Exchange{Token: token, Request: req})
}

// exchangeRacks starts an exchange with each owned rack that has commands or is due for one.
func (c *Controller) exchangeRacks() {
	for _, r := range c.sortedRacks {
		if r.phase < phaseFencing || r.exchangeInFlight {
			continue
		}
		r.requeueDeferred()
		if c.now.Before(r.nextExchangeAt) && (len(r.commands) == 0 || !r.failingSince.IsZero()) {
			continue
		}
		c.exchangeRack(r)
	}
}

// exchangeRack starts an exchange with a rack.
func (c *Controller) exchangeRack(r *rack) {
	req := platform.ExchangeRequest{Rack: r.id, Owner: c.cfg.Self, Epoch: r.epoch, Since: r.cursor, Lease: c.leaseFor(r)}
	r.sentCommands = nil
	if r.phase == phaseActive && r.failingSince.IsZero() {
		// No commands are sent while exchanges fail: a task whose start is not confirmed could
		// outlive the wait for its lease to expire.
		r.sentCommands = r.dequeueCommands()
	}
	for _, cmd := range r.sentCommands {
		req.Commands = append(req.Commands, cmd.command)
	}
	r.exchangeInFlight = true
	generation := r.generation
	c.sendExchange(req, func(e *ExchangeDone) {
		if r.generation != generation || e.Epoch != r.epoch {
			return
		}
		r.exchangeInFlight = false
		if e.Err != nil {
			c.handleExchangeError(r, e.Err)
			return
		}
		c.handleExchangeReply(r, e)
	})
}

// leaseFor returns the lease to request in an exchange. While exchanges fail it
// shrinks to the remainder of the last lease that was confirmed: a call whose
// reply is lost must not extend leases whose expiry is being waited for.
func (c *Controller) leaseFor(r *rack) time.Duration {
	if r.failingSince.IsZero() {
		return c.cfg.Lease
	}
	return max(c.cfg.Lease-c.now.Sub(r.failingSince), time.Millisecond)
}

// dequeueCommands removes the commands for the next exchange from the queue and drops outdated starts.
func (r *rack) dequeueCommands() []rackCommand {
	var dequeued []rackCommand
	for len(r.commands) > 0 && len(dequeued) < maxCommands {
		cmd := r.commands[0]
		r.commands = r.commands[1:]
		if start, ok := cmd.command.(*platform.StartTask); ok && !cmd.task.awaitsStart(start) {
			continue
		}
		dequeued = append(dequeued, cmd)
	}
	if len(r.commands) == 0 {
		r.commands = nil
	}
	return dequeued
}

// awaitsStart reports whether a start command is still current.
func (t *task) awaitsStart(start *platform.StartTask) bool {
	return t.state == cluster.TaskStarting && t.attempt == start.Attempt.Attempt && t.worker != nil && t.worker.id == start.Worker
}

// handleExchangeError handles a failed exchange.
func (c *Controller) handleExchangeError(r *rack, err error) {
	if platform.IsKind(err, platform.KindConflict) {
		c.recheckOwnership(r, "a worker refused the epoch")
		return
	}
	if r.failingSince.IsZero() {
		c.cfg.Log.Warn().Err(err).Str("rack", string(r.id)).Msg("rack: exchange failed")
		r.failingSince = c.now
		r.syncWorkers()
	}
	r.exchangeRetryDelay = min(max(2*r.exchangeRetryDelay, exchangeMinDelay), exchangeMaxDelay)
	r.nextExchangeAt = c.now.Add(c.jitter(r.exchangeRetryDelay))
	// Every command may have been carried out. All are sent again; the worker recognises repeated starts and stops.
	for i := range r.sentCommands {
		r.sentCommands[i].unansweredAt = c.now
	}
	r.commands = append(r.sentCommands, r.commands...)
	r.sentCommands = nil
	c.cfg.Metrics.Counter("rack_exchange_failures").Inc(1)
}

// handleExchangeReply applies the reply to an exchange.
func (c *Controller) handleExchangeReply(r *rack, e *ExchangeDone) {
	failingSince := r.failingSince
	if !failingSince.IsZero() {
		r.failingSince, r.exchangeRetryDelay = time.Time{}, 0
		r.syncWorkers()
	}
	r.cursor = e.Reply.Cursor
	sent := r.sentCommands
	r.sentCommands = nil
	for _, report := range e.Reply.Workers {
		w := c.updateWorker(r, report)
		if !report.Reachable {
			// The worker has changed, so an exchange whose reply was lost may have reached it and renewed its leases.
			w.unreachableSince = laterTime(w.unreachableSince, failingSince)
		}
	}
	if r.highestEpoch > r.epoch {
		// Another owner has fenced the worker, so the reports describe that owner's work.
		c.recheckOwnership(r, "a worker has seen a higher epoch")
		return
	}
	if r.phase == phaseActive {
		c.applyReply(r, sent, &e.Reply)
	} else {
		for _, report := range e.Reply.Workers {
			r.reports[report.Worker] = report
		}
	}
	if r.phase == phaseFencing {
		c.beginLoading(r)
	}
	r.nextExchangeAt = c.now.Add(idleExchangeInterval)
	if r.hasPendingTasks() {
		r.nextExchangeAt = c.now.Add(busyExchangeInterval)
	}
}

// applyReply applies the results of the commands, then the reports.
func (c *Controller) applyReply(r *rack, sent []rackCommand, reply *platform.ExchangeReply) {
	for i, cmd := range sent {
		if i < len(reply.Results) {
			c.handleCommandResult(r, cmd, reply.Results[i])
		}
	}
	for _, report := range reply.Workers {
		c.applyReport(r, r.workers[report.Worker], report)
	}
	if r.hasUnfencedWorkers && r.allFenced() {
		c.resolvePossiblyRunning(r)
	}
}

// allFenced reports whether every worker of the rack is fenced or its leases have expired.
func (r *rack) allFenced() bool {
	for _, w := range r.sortedWorkers {
		if !w.fenced && !w.leasesExpired {
			return false
		}
	}
	return true
}

// hasPendingTasks reports whether tasks are pending in the rack.
func (r *rack) hasPendingTasks() bool {
	for _, a := range r.assignmentList {
		if a.pendingCount > 0 {
			return true
		}
	}
	return false
}

// syncWorkers copies the state of all workers into the placement table.
func (r *rack) syncWorkers() {
	for _, w := range r.sortedWorkers {
		r.syncWorker(w)
	}
}

// handleCommandResult applies the result of one command.
func (c *Controller) handleCommandResult(r *rack, cmd rackCommand, result platform.CommandResult) {
	switch platformCmd := cmd.command.(type) {
	case *platform.StartTask:
		c.handleStartResult(r, cmd, platformCmd, result)
	case *platform.ThrottleTask:
		c.applyThrottle(cmd, platformCmd, result)
	case *platform.StopTask, *platform.CheckpointTask, *platform.AcknowledgeResult:
		if result == platform.CommandUnreachable {
			c.deferCommand(r, cmd)
		}
	}
}

// handleStartResult applies the result of a start command.
func (c *Controller) handleStartResult(r *rack, cmd rackCommand, start *platform.StartTask, result platform.CommandResult) {
	t := cmd.task
	if !t.awaitsStart(start) {
		return
	}
	switch result {
	case platform.CommandDone:
		c.confirmStart(t)
	case platform.CommandAttemptKnown:
		// An earlier reply was lost. A full report is requested, which shows whether the attempt still runs.
		c.confirmStart(t)
		r.cursor = 0
	case platform.CommandUnreachable:
		// The attempt may have started. The command is sent again once the worker is reachable; the
		// attempt is lost if the lease expires first.
		cmd.unansweredAt = c.now
		c.deferCommand(r, cmd)
	case platform.CommandNoCapacity:
		c.cfg.Log.Warn().Str("task", t.id().String()).Str("worker", string(start.Worker)).
			Msg("rack: worker has less free capacity than recorded")
		c.cfg.Metrics.Counter("rack_no_capacity").Inc(1)
		r.cursor = 0
		if !cmd.unansweredAt.IsZero() && c.now.Sub(cmd.unansweredAt) <= maxCallDuration {
			// The worker has refused this request and may still carry out the one before.
			cmd.notBefore = c.now.Add(noCapacityDelay)
			c.deferCommand(r, cmd)
			return
		}
		c.returnToPending(t, c.now.Add(noCapacityDelay))
	case platform.CommandStaleEpoch, platform.CommandNoTask:
		c.returnToPending(t, c.now.Add(noCapacityDelay))
	}
}

// confirmStart records that an attempt has started. A stop may have been sent before the start was carried out.
func (c *Controller) confirmStart(t *task) {
	t.setState(cluster.TaskRunning, c.now)
	if t.stopRequested {
		c.queueStop(t)
	}
}

// deferCommand keeps a command until its worker is reachable again, at least until its notBefore.
func (c *Controller) deferCommand(r *rack, cmd rackCommand) {
	r.deferredCommands = append(r.deferredCommands, cmd)
}

// requeueDeferred queues the deferred commands that are due and whose workers are reachable, and
// drops those whose workers were removed or have expired leases.
func (r *rack) requeueDeferred() {
	kept := r.deferredCommands[:0]
	for _, cmd := range r.deferredCommands {
		w := r.workers[commandWorker(cmd.command)]
		switch {
		case w == nil || w.leasesExpired:
		case w.reachable && !r.controller.now.Before(cmd.notBefore):
			r.commands = append(r.commands, cmd)
		default:
			kept = append(kept, cmd)
		}
	}
	r.deferredCommands = kept
}

// commandWorker returns the worker that a command is for.
func commandWorker(cmd platform.Command) cluster.WorkerID {
	switch command := cmd.(type) {
	case *platform.StartTask:
		return command.Worker
	case *platform.StopTask:
		return command.Worker
	case *platform.CheckpointTask:
		return command.Worker
	case *platform.ThrottleTask:
		return command.Worker
	case *platform.AcknowledgeResult:
		return command.Worker
	}
	return ""
}
