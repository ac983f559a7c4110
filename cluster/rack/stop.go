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
	case t.state == cluster.TaskPending && t.zombies == 0 && !t.suspect:
		c.endTask(t, cluster.TaskStopped, "its job was cancelled")
	case t.state == cluster.TaskStarting && t.pinned() && !t.pinDurable:
		c.backToPending(t, c.now)
		c.endTask(t, cluster.TaskStopped, "its job was cancelled")
	case t.worker == nil:
		// An attempt may still run on a worker that is not fenced; the task ends once it is known that none does.
		t.drop = true
	default:
		t.stop = true
		c.orderStop(t)
	}
}

// interruptTask stops a running task that is to run again later. It takes a checkpoint if the job supports it.
func (c *Controller) interrupt(t *task, reason string) {
	t.stop = true
	j := c.jobs[t.of.id]
	c.cfg.Log.Info().Str("task", t.id().String()).Str("worker", string(t.worker.id)).Str("reason", reason).
		Bool("checkpoint", j.spec.Checkpoints).Msg("rack: interrupting a task")
	c.cfg.Metrics.Counter("rack_interrupts").Inc(1)
	if j.spec.Checkpoints {
		t.checkpoint = true
		c.order(t.of.rack, command{
			order: &platform.CheckpointTask{Worker: t.worker.id, Attempt: t.attemptID()}, task: t, attempt: t.attemptID(),
		})
		return
	}
	c.orderStop(t)
}

// queueStop queues a command that stops the task's current attempt.
func (c *Controller) orderStop(t *task) {
	c.order(t.of.rack, command{
		order: &platform.StopTask{Worker: t.worker.id, Attempt: t.attemptID()}, task: t, attempt: t.attemptID(),
	})
}

// endIfUnwanted ends a pending task whose job was cancelled or that is no longer part of its job.
func (c *Controller) attemptOver(t *task) {
	j := c.jobs[t.of.id]
	if t.state == cluster.TaskPending && (t.drop || j != nil && j.cancel) {
		c.endTask(t, cluster.TaskStopped, "its job was cancelled")
	}
}
