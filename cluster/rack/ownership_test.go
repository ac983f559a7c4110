package rack

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// ownerOf returns the daemon that owns a rack and another live one.
func (c *cell) ownerOf(rack cluster.RackID) (owner, other *fakeDaemon) {
	owner = c.findDaemon(c.storedOwners()[rack])
	for _, d := range c.daemons {
		if d != owner && !d.dead {
			other = d
		}
	}
	return owner, other
}

// closeOtherRacks makes the workers of all other racks unreachable, so that jobs are assigned to the given rack.
func (c *cell) closeOtherRacks(rack cluster.RackID) {
	for _, w := range c.racks.workers {
		if w.rack != rack {
			w.unreachable = true
			c.racks.markChanged(w)
		}
	}
}

// Guards against a slow takeover: an urgent task for a rack whose owner was just
// killed must start within 6.5 s.
func TestUrgentTaskStartsAfterOwnerIsKilled(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		c := newCell(t, seed, 4, 3, 2, 4)
		c.run(5 * time.Second)
		owner, other := c.ownerOf("z1-r0")
		c.closeOtherRacks("z1-r0")
		c.run(3 * time.Second)
		owner.dead = true
		spec := batchJob("urgent", 1, cluster.Core, seed%2 == 0)
		spec.Priority = cluster.PriorityUrgent
		c.submit(other, spec)
		killedAt := c.now
		c.run(10 * time.Second)
		startedAt, ok := c.racks.firstStartAt[spec.ID]
		is.True(ok)                                               // the job has started
		is.True(startedAt.Sub(killedAt) <= 6500*time.Millisecond) // within the bound
	}
}

// Guards against a membership change that moves racks between members that stay.
func TestMembershipChangeMovesFewestRacks(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 6, 3, 8, 1)
	c.run(5 * time.Second)
	before := c.storedOwners()
	is.Equal(len(before), 24)
	c.daemons[0].dead = true
	c.run(8 * time.Second)
	for rack, owner := range c.storedOwners() {
		is.True(owner == before[rack] || before[rack] == "d0") // only racks of the dead member moved
		is.True(owner != "d0")
	}
	c.addDaemon("d0-new", c.daemons[0].place)
	afterLoss := c.storedOwners()
	c.run(10 * time.Second)
	gained := 0
	for rack, owner := range c.storedOwners() {
		is.True(owner == afterLoss[rack] || owner == "d0-new") // only the new member gains racks
		if owner == "d0-new" {
			gained++
		}
	}
	is.True(gained > 0)
}

// Guards against a drain that interrupts tasks or leaves racks without an owner.
func TestDrainHandsOverRacks(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 2, 3, 3, 2, 4)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return time.Minute }
	c.run(5 * time.Second)
	c.submit(c.daemons[0], batchJob("long", 40, cluster.Core, false))
	c.run(3 * time.Second)
	c.daemons[1].inbox = append(c.daemons[1].inbox, &Drain{})
	c.run(5 * time.Second)
	is.True(c.daemons[1].drained)
	c.daemons[1].dead = true
	for _, owner := range c.storedOwners() {
		is.True(owner != "d1")
	}
	c.run(70 * time.Second)
	is.Equal(c.storedJob("long").state, JobFinished)
	is.Equal(c.racks.startCount, 40) // no task was started again
}

// Guards against two active owners: an owner that reaches neither the store nor the
// other daemons must be fenced by the next owner.
func TestIsolatedOwnerIsFenced(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 3, 3, 3, 1, 4)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return 20 * time.Second }
	c.run(5 * time.Second)
	owner, other := c.ownerOf("z0-r0")
	c.closeOtherRacks("z0-r0")
	c.run(3 * time.Second)
	c.submit(other, batchJob("b", 40, cluster.Core, false))
	c.run(2 * time.Second)
	owner.storeUnreachable, owner.muted = true, true
	c.run(4 * time.Minute)
	is.Equal(c.storedJob("b").state, JobFinished)
	is.Equal(c.racks.startCount, 40)
	is.Equal(owner.controller.racks["z0-r0"].phase, phaseRechecking) // it does nothing until it can read the rack's row
	owner.storeUnreachable, owner.muted = false, false
	c.run(20 * time.Second)
	is.Equal(owner.controller.racks["z0-r0"].phase == phaseActive, c.storedOwners()["z0-r0"] == owner.id)
}

// Guards against starting a task a second time while it may run on a worker that is not fenced.
func TestUnfencedWorkerDelaysRestarts(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		c := newCell(t, 4, 3, 3, 1, 2)
		c.racks.runTime = func(cluster.AttemptID) time.Duration { return time.Minute }
		c.run(5 * time.Second)
		owner, other := c.ownerOf("z0-r0")
		c.closeOtherRacks("z0-r0")
		c.run(3 * time.Second)
		c.submit(other, batchJob("b", 8, cluster.Core, idempotent))
		c.run(time.Second)
		is.Equal(c.racks.startCount, 8)
		// The owner is killed while a worker is unreachable, so the next owner can't know what runs there.
		w := c.racks.workers[0]
		w.unreachable = true
		c.racks.markChanged(w)
		owner.dead = true
		c.run(15 * time.Second)
		is.Equal(c.racks.startCount, 8) // the tasks on the unreachable worker are not started again yet
		c.run(5 * time.Minute)
		j := c.storedJob("b")
		if idempotent {
			is.Equal(j.state, JobFinished)
			is.Equal(c.racks.startCount, 12) // four tasks were started again after their leases had expired
		} else {
			is.Equal(j.state, JobUnknown)
			is.Equal(j.taskCounts[cluster.TaskUnknown], 4)
			is.Equal(c.racks.startCount, 8)
		}
	}
}

// Guards against leases that expire because no daemon can take over a dead owner's
// rack while the store is down, and against renewals by a peer that are still
// accepted after the next owner has fenced the rack.
func TestDeadOwnersLeasesAreRenewedDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 5, 3, 3, 1, 4)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return 2 * time.Minute }
	c.run(5 * time.Second)
	owner, other := c.ownerOf("z0-r0")
	c.closeOtherRacks("z0-r0")
	c.run(3 * time.Second)
	c.submit(other, batchJob("b", 16, cluster.Core, false))
	c.run(2 * time.Second)
	c.store.down = true
	c.run(time.Second)
	owner.dead = true
	c.run(90 * time.Second)
	is.Equal(len(c.racks.workers[0].running), 4) // the tasks still run although the rack's owner is dead
	c.store.down = false
	c.run(3 * time.Minute)
	is.Equal(c.storedJob("b").state, JobFinished)
	is.Equal(c.racks.startCount, 16)
}

// Guards against acting on outdated state after a pause longer than a lease.
func TestPausedOwnerRereadsRowsBeforeActing(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 6, 2, 2, 1, 2)
	c.run(5 * time.Second)
	d := c.daemons[0]
	owned := d.controller.OwnedRacks()
	is.True(owned > 0)
	d.paused = true
	c.run(30 * time.Second)
	d.inbox = nil
	for _, e := range d.controller.Step(c.now, nil) {
		_, exchanges := e.(*Exchange)
		_, commits := e.(*Commit)
		is.True(!exchanges && !commits) // nothing is sent before the rows have been read again
		c.execute(d, e)
	}
	d.paused = false
	c.run(20 * time.Second)
	is.Equal(d.controller.OwnedRacks(), owned) // it owns as many racks as before the pause
}

// Guards against assigned tasks that do not run while the store is down, against
// submissions that are accepted then, and against daemons that call the store again too often or all at once.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 7, 4, 3, 2, 2)
	c.run(5 * time.Second)
	c.submit(c.daemons[0], batchJob("b", 200, cluster.Core, true))
	c.submit(c.daemons[0], batchJob("n", 60, cluster.Core, false))
	c.run(2 * time.Second)
	c.store.down = true
	c.run(3 * time.Second)
	before := c.racks.startCount
	c.submit(c.daemons[1], batchJob("refused", 1, cluster.Core, true))
	c.run(time.Minute)
	is.Equal(c.submitResults[cluster.JobID{Team: "a", Name: "refused"}].Outcome, Unavailable)
	is.True(c.racks.startCount > before+100) // assigned tasks are still started
	is.Equal(c.storedJob("refused"), nil)
	reads := c.store.readCount
	c.run(time.Minute)
	is.True(c.store.readCount-reads <= 4*15) // with back-off, each of the 4 daemons reads at most once in 4 s
	c.store.down = false
	c.run(3 * time.Minute)
	is.Equal(c.storedJob("b").state, JobFinished)
	is.Equal(c.storedJob("n").state, JobFinished)
	is.Equal(c.racks.startCount, 260)
}

// Guards against results that are lost or counted twice when replies to exchanges are lost.
func TestLostExchangeReplies(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 8, 3, 3, 1, 4)
	c.lostExchange = 0.5
	c.run(5 * time.Second)
	c.submit(c.daemons[0], batchJob("b", 50, cluster.Core, false))
	c.run(2 * time.Minute)
	is.Equal(c.storedJob("b").state, JobFinished)
	is.Equal(c.racks.startCount, 50)
}

// Guards against a late result of an earlier attempt that is taken as the task's result.
func TestLateResultOfEarlierAttemptIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 9, 2, 1, 2, 2)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return time.Duration(c.racks.startCount+1) * 40 * time.Second }
	c.run(5 * time.Second)
	c.submit(c.daemons[0], batchJob("b", 1, cluster.Core, true))
	c.run(2 * time.Second)
	var w *fakeWorker
	for _, x := range c.racks.workers {
		if len(x.running) > 0 {
			w = x
		}
	}
	w.unreachable = true
	c.racks.markChanged(w)
	c.run(35 * time.Second) // the lease expires and the task is started on another worker
	is.Equal(c.racks.startCount, 2)
	for id, e := range w.ended {
		e.Outcome = platform.OutcomeSucceeded // as if the attempt had succeeded before its lease expired
		w.ended[id] = e
	}
	w.unreachable = false
	c.racks.markChanged(w)
	c.run(10 * time.Second)
	is.Equal(c.storedJob("b").state, JobActive) // the second attempt still runs
	is.Equal(len(w.ended), 0)                   // the late result was acknowledged and ignored
	c.run(100 * time.Second)
	is.Equal(c.storedJob("b").state, JobFinished)
}

// Guards against a task that runs twice: an exchange whose reply is lost may have renewed the leases of a worker that
// could not be reached before it.
func TestLostExchangeReplyMayHaveRenewedLeases(t *testing.T) {
	for seed := range uint64(8) {
		c := newCell(t, seed, 1, 1, 1, 2)
		c.racks.runTime = func(cluster.AttemptID) time.Duration { return time.Minute }
		c.run(5 * time.Second)
		c.submit(c.daemons[0], batchJob("b", 6, cluster.Core, true))
		c.run(2 * time.Second)
		w := c.racks.workers[0]
		setReachable := func(reachable bool) { w.unreachable = !reachable; c.racks.markChanged(w) }
		setReachable(false)
		c.run(15 * time.Second)
		setReachable(true)
		c.lostExchange = 1
		c.run(3 * time.Second)
		setReachable(false)
		c.lostExchange = 0
		c.run(40 * time.Second) // the cell reports a task that starts while it runs elsewhere
	}
}

// Guards against ended leases of all tasks of a rack: the first exchange of an owner must not request the rest of a lease
// from the time at which its exchanges failed before another daemon owned the rack.
func TestReclaimedRackKeepsItsLeases(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 2, 1, 1, 2)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return 2 * time.Minute }
	c.run(5 * time.Second)
	owner, other := c.ownerOf("z0-r0")
	c.submit(other, batchJob("b", 6, cluster.Core, true))
	c.run(2 * time.Second)
	is.Equal(c.racks.startCount, 6)
	c.racks.down["z0-r0"] = true
	c.run(4 * time.Second)
	owner.paused = true
	c.racks.down["z0-r0"] = false
	c.run(30 * time.Second)
	is.Equal(c.storedOwners()["z0-r0"], other.id)
	owner.paused = false
	c.run(20 * time.Second)
	is.Equal(c.storedOwners()["z0-r0"], owner.id)
	is.Equal(c.racks.startCount, 6) // no task was started again
}

// Guards against a task that runs twice: a start without a reply is sent again and refused for want of capacity, and the
// worker carries out the first request later.
func TestRefusedRepeatDoesNotEndLateStart(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		c := newCell(t, 1, 1, 1, 1, 2)
		c.racks.reportFailure = func(m string) {
			if !strings.Contains(m, "has a capacity of") {
				t.Fatalf("at %s: %s", c.now.Sub(testStart), m)
			}
		}
		c.run(5 * time.Second)
		c.delayExchange = func(req *platform.ExchangeRequest) time.Duration {
			if len(req.Commands) == 0 {
				return 0
			}
			for _, w := range c.racks.workers {
				if w.id == commandWorker(req.Commands[0]) {
					capacity := w.capacity
					w.capacity = cluster.Resources{}
					c.schedule(2900*time.Millisecond, func() { w.capacity = capacity; c.racks.markChanged(w) })
				}
			}
			c.delayExchange = nil
			return 3 * time.Second
		}
		c.submit(c.daemons[0], batchJob("b", 1, cluster.Core, idempotent))
		c.run(30 * time.Second)
		is.Equal(c.storedJob("b").state, JobFinished)
		is.Equal(c.racks.startCount, 1)
	}
}

// Guards against a task that runs twice: an owner that has stopped work on a rack and finds itself as its owner again
// starts a task anew, and a worker carries out the start that was in flight before.
func TestRecheckedOwnerFencesEarlierRequests(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		c := newCell(t, 1, 1, 1, 1, 2)
		c.run(5 * time.Second)
		c.delayExchange = func(req *platform.ExchangeRequest) time.Duration {
			if len(req.Commands) == 0 {
				return 0
			}
			// The next start goes to the other worker.
			for _, w := range c.racks.workers {
				if w.id == commandWorker(req.Commands[0]) {
					capacity := w.capacity
					w.capacity = cluster.Resources{}
					c.schedule(3900*time.Millisecond, func() { w.capacity = capacity; c.racks.markChanged(w) })
				}
			}
			c.delayExchange = nil
			d := c.daemons[0]
			c.schedule(100*time.Millisecond, func() { d.controller.recheckOwnership(d.controller.racks[req.Rack], "test") })
			return 4 * time.Second
		}
		c.submit(c.daemons[0], batchJob("b", 1, cluster.Core, idempotent))
		c.run(30 * time.Second)
		is.Equal(c.storedJob("b").state, JobFinished)
		is.Equal(c.racks.startCount, 1)
	}
}

// Guards against tasks that run in two regions: the owner of a rack loses its contact with the other region, in which the
// store is, and goes on renewing leases that the next owner there can't fence.
func TestUnreachableOwnerKeepsItsTasks(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 3, 2, 2, 1, 2)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return 10 * time.Minute }
	c.run(5 * time.Second)
	owner, other := c.ownerOf("z0-r0")
	c.closeOtherRacks("z0-r0")
	c.run(3 * time.Second)
	c.submit(other, batchJob("b", 6, cluster.Core, true))
	c.run(2 * time.Second)
	is.Equal(c.racks.startCount, 6)
	for _, w := range c.racks.workers {
		w.unreachable = false
		c.racks.markChanged(w)
	}
	for _, d := range c.daemons {
		d.muted = true
	}
	owner.storeUnreachable, owner.unreachableRack, other.unreachableRack = true, "z1-r0", "z0-r0"
	c.run(5 * time.Minute) // the cell reports a task that starts while it runs elsewhere
	is.Equal(c.racks.startCount, 6)
}
