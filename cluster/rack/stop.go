package rack

import (
	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// stopTask stops a task of a cancelled job, or one that is no longer part of its job. A
// task that can't be running ends at once.
func (c *Controller) stopTask(t *task) {
	switch {
	case t.state.Terminal():
	case t.state == cluster.TaskPending && t.staleAttempts == 0 && !t.possiblyRunning:
		c.endTask(t, cluster.TaskStopped, "its job was cancelled")
	case t.state == cluster.TaskStarting && t.isPinned() && !t.pinCommitted:
		c.returnToPending(t, c.now)
		c.endTask(t, cluster.TaskStopped, "its job was cancelled")
	case t.worker == nil:
		// A stale attempt, or one on a worker that is not fenced, may still run; the task ends once it
		// is known that none does.
		t.removed = true
	default:
		t.stopRequested = true
		c.queueStop(t)
	}
}

// interruptTask stops a running task that is to run again later. It takes a checkpoint if the job supports it.
func (c *Controller) interruptTask(t *task, reason string) {
	t.stopRequested = true
	j := c.jobs[t.assignment.id]
	c.cfg.Log.Info().Str("task", t.id().String()).Str("worker", string(t.worker.id)).Str("reason", reason).
		Bool("checkpoint", j.spec.Checkpoints).Msg("rack: interrupting a task")
	c.cfg.Metrics.Counter("rack_interrupts").Inc(1)
	if j.spec.Checkpoints {
		t.checkpointRequested = true
		c.queueCommand(t.assignment.rack, rackCommand{
			command: &platform.CheckpointTask{Worker: t.worker.id, Attempt: t.attemptID()}, task: t, attempt: t.attemptID(),
		})
		return
	}
	c.queueStop(t)
}

// queueStop queues a command that stops the task's current attempt.
func (c *Controller) queueStop(t *task) {
	c.queueCommand(t.assignment.rack, rackCommand{
		command: &platform.StopTask{Worker: t.worker.id, Attempt: t.attemptID()}, task: t, attempt: t.attemptID(),
	})
}

// endIfUnwanted ends a pending task whose job was cancelled or that is no longer part of its job.
func (c *Controller) endIfUnwanted(t *task) {
	j := c.jobs[t.assignment.id]
	if t.state == cluster.TaskPending && (t.removed || j != nil && j.cancelRequested) {
		c.endTask(t, cluster.TaskStopped, "its job was cancelled")
	}
}
