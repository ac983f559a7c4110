package rack

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

func gangJob(name string, tasks int, cpu cluster.CPU) *cluster.JobSpec {
	spec := batchJob(name, 0, cpu, true)
	spec.Workload = &cluster.Gang{Tasks: tasks, Size: cluster.Resources{CPU: cpu, Memory: cluster.GiB}, RunTime: 5 * time.Second}
	return spec
}

func serviceJob(name string, replicas int, cpu cluster.CPU) *cluster.JobSpec {
	spec := batchJob(name, 0, cpu, true)
	spec.Workload = &cluster.Service{Replicas: replicas, Size: cluster.Resources{CPU: cpu, Memory: cluster.GiB}}
	return spec
}

// runningOn returns the workers that run tasks of a job, one entry per task.
func (c *cell) runningOn(name string) []*fakeWorker {
	var workers []*fakeWorker
	for _, w := range c.racks.workers {
		for _, id := range sortedAttempts(w.running) {
			if id.Task.Job.Name == cluster.JobName(name) && !w.dead {
				workers = append(workers, w)
			}
		}
	}
	return workers
}

// Guards against a gang job in racks of several owners that starts only some of
// its tasks, and against a deadlock of two gang jobs that each hold capacity the
// other needs.
func TestGangTasksStartTogether(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		c := newCell(t, seed, 3, 3, 1, 4)
		c.racks.runTime = func(cluster.AttemptID) time.Duration { return 10 * time.Second }
		c.lostSend = float64(seed%2) * 0.3
		c.run(5 * time.Second)
		c.submit(c.daemons[0], gangJob("g1", 10, 4*cluster.Core)) // 10 of 12 workers in three racks
		c.submit(c.daemons[1], gangJob("g2", 10, 4*cluster.Core))
		c.submit(c.daemons[2], batchJob("small", 30, 2*cluster.Core, true))
		for range 1200 {
			c.run(100 * time.Millisecond)
			for _, g := range []string{"g1", "g2"} {
				if j := c.storedJob(g); j != nil && j.gangRound == 0 {
					is.Equal(len(c.runningOn(g)), 0) // no task runs before the round is recorded
				}
			}
		}
		is.Equal(c.storedJob("g1").state, JobFinished)
		is.Equal(c.storedJob("g2").state, JobFinished)
		is.Equal(c.storedJob("small").state, JobFinished)
	}
}

// Guards against a gang job that continues without a task whose worker was lost.
func TestGangRestartsAfterLostTask(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 3, 3, 1, 4)
	c.racks.runTime = func(id cluster.AttemptID) time.Duration { return 50 * time.Second }
	c.run(5 * time.Second)
	c.submit(c.daemons[0], gangJob("g", 8, 4*cluster.Core))
	c.run(5 * time.Second)
	workers := c.runningOn("g")
	is.Equal(len(workers), 8)
	workers[0].dead = true
	clear(workers[0].running)
	c.racks.markChanged(workers[0])
	c.run(3 * time.Minute)
	is.Equal(c.storedJob("g").state, JobFinished)
	is.Equal(c.storedJob("g").gangRound, uint32(firstAttempt(c.storedJob("g").submittedAt))+1)
	is.Equal(c.racks.startCount, 16) // all eight tasks were started twice
}

// Guards against replicas that are not spread evenly over the zones, and against
// replicas that are not restarted in other zones after the loss of a zone.
func TestServiceReplicasRestartAfterZoneLoss(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 2, 3, 3, 2, 4)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return 24 * time.Hour }
	c.run(5 * time.Second)
	c.submit(c.daemons[0], serviceJob("s", 9, cluster.Core))
	c.run(5 * time.Second)
	zones := map[cluster.Zone]int{}
	for _, w := range c.runningOn("s") {
		zones[w.place.Zone]++
	}
	is.Equal(zones, map[cluster.Zone]int{"z0": 3, "z1": 3, "z2": 3})
	for _, w := range c.racks.workers {
		if w.place.Zone == "z1" {
			w.dead = true
			clear(w.running)
			c.racks.markChanged(w)
		}
	}
	c.run(time.Minute)
	is.Equal(len(c.runningOn("s")), 9)
}

// Guards against a declared job that is submitted twice, not scaled after its
// declaration has changed or not stopped after it was withdrawn.
func TestDeclaredServiceIsScaledAndWithdrawn(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 3, 3, 3, 2, 4)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return 24 * time.Hour }
	declare := func(replicas int) {
		c.configVersion++
		entities := []cluster.Entity{&cluster.Queue{Name: "q"}, c.config.Teams["a"]}
		if replicas > 0 {
			entities = append(entities, serviceJob("s", replicas, cluster.Core))
		}
		c.config = cluster.Assemble(c.configVersion, entities)
	}
	c.run(5 * time.Second)
	for _, replicas := range []int{6, 9, 4, 7, 0, 3} {
		declare(replicas)
		c.run(20 * time.Second)
		is.Equal(len(c.runningOn("s")), replicas)
	}
}

// Guards against tasks that keep waiting in a full rack or in one whose workers
// are unreachable while another rack has free capacity.
func TestPendingTasksMoveToRacksWithFreeCapacity(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 4, 3, 3, 1, 2)
	c.racks.runTime = func(id cluster.AttemptID) time.Duration {
		if id.Task.Job.Name == "short" {
			return 5 * time.Second
		}
		return 10 * time.Minute
	}
	c.run(5 * time.Second)
	c.submit(c.daemons[0], batchJob("short", 12, 2*cluster.Core, true)) // uses all capacity
	c.run(2 * time.Second)
	c.submit(c.daemons[0], batchJob("long", 6, 4*cluster.Core, false)) // two tasks wait in each rack
	c.run(time.Second)
	c.racks.workers[0].unreachable = true
	c.racks.workers[1].unreachable = true // both workers of the first rack
	c.racks.markChanged(c.racks.workers[0])
	c.racks.markChanged(c.racks.workers[1])
	c.run(time.Minute)
	is.Equal(len(c.runningOn("long")), 4)
	c.racks.workers[0].unreachable = false
	c.racks.markChanged(c.racks.workers[0])
	c.run(time.Minute)
	is.Equal(len(c.runningOn("long")), 5)
}

// Guards against use above a team's limit while grants move between racks, and
// against a lowered limit above which tasks keep running.
func TestLoweredLimitIsEnforced(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 5, 3, 3, 1, 4)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return 30 * time.Second }
	c.racks.teamLimit = func(cluster.TeamName) cluster.Resources { return c.config.Teams["a"].Limit }
	c.setLimit(cluster.Resources{CPU: 24 * cluster.Core, Memory: 64 * cluster.GiB})
	c.run(5 * time.Second)
	c.submit(c.daemons[0], batchJob("b", 60, cluster.Core, true))
	c.run(3 * time.Second)
	is.Equal(len(c.runningOn("b")), 24)
	c.racks.teamLimit = nil // tasks may start that were placed before the change was read
	c.setLimit(cluster.Resources{CPU: 10 * cluster.Core, Memory: 64 * cluster.GiB})
	c.run(6 * time.Second)
	c.racks.teamLimit = func(cluster.TeamName) cluster.Resources { return c.config.Teams["a"].Limit }
	c.run(9 * time.Second)
	is.True(len(c.runningOn("b")) <= 10)
	c.run(5 * time.Minute)
	is.Equal(c.storedJob("b").state, JobFinished)
}

// Guards against tasks that wait in a rack without a grant while another rack
// keeps a grant that it does not need.
func TestGrantMovesToANewRack(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 6, 3, 3, 1, 4)
	c.racks.teamLimit = func(cluster.TeamName) cluster.Resources { return c.config.Teams["a"].Limit }
	c.setLimit(cluster.Resources{CPU: 12 * cluster.Core, Memory: 48 * cluster.GiB})
	c.run(5 * time.Second)
	for i := range 6 {
		name := fmt.Sprintf("b%d", i)
		c.submit(c.daemons[i%3], batchJob(name, 12, cluster.Core, true))
		c.run(15 * time.Second)
		is.Equal(c.storedJob(name).state, JobFinished)
		for _, w := range c.racks.workers {
			w.unreachable = w.rack != cluster.RackID(fmt.Sprintf("z%d-r0", (i+1)%3)) // only one rack is reachable, another one each time
			c.racks.markChanged(w)
		}
		c.run(3 * time.Second)
	}
}

// Guards against urgent tasks that wait although deferrable tasks could be preempted.
func TestUrgentTasksPreemptDeferrableTasks(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 7, 3, 3, 1, 4)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return time.Minute }
	c.run(5 * time.Second)
	low := batchJob("low", 48, cluster.Core, true)
	low.Priority, low.Checkpoints = cluster.PriorityDeferrable, true
	c.submit(c.daemons[0], low)
	c.run(3 * time.Second)
	is.Equal(len(c.runningOn("low")), 48)
	urgent := batchJob("urgent", 3, 2*cluster.Core, false)
	urgent.Priority = cluster.PriorityUrgent
	c.submit(c.daemons[1], urgent)
	c.run(6500 * time.Millisecond)
	is.Equal(len(c.runningOn("urgent")), 3)
	c.run(5 * time.Minute)
	is.Equal(c.storedJob("low").state, JobFinished)
}

// Guards against a job that can never run and is accepted all the same, and
// against a resubmitted job, or another job with the same identifier, that is run.
func TestSubmissionIsRefusedWithAReason(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 8, 2, 2, 1, 2)
	c.run(5 * time.Second)
	other := batchJob("queue", 1, cluster.Core, true)
	other.Queue = "none"
	for _, test := range []struct {
		spec    *cluster.JobSpec
		outcome Outcome
	}{
		{batchJob("large", 1, 5*cluster.Core, true), Refused},
		{batchJob("empty", 0, cluster.Core, true), Refused},
		{gangJob("gang", 2000, cluster.Core), Refused},
		{gangJob("wide", 17, cluster.Core), Unavailable},
		{other, Refused},
		{batchJob("first", 1, cluster.Core, true), Accepted},
	} {
		c.submit(c.daemons[0], test.spec)
		c.run(time.Second)
		is.Equal(c.submitResults[test.spec.ID].Outcome, test.outcome)
	}
	delete(c.submitResults, cluster.JobID{Team: "a", Name: "first"})
	c.submit(c.daemons[1], batchJob("first", 1, cluster.Core, true))
	c.run(time.Second)
	is.Equal(c.submitResults[cluster.JobID{Team: "a", Name: "first"}].Outcome, Duplicate)
	c.submitResults = map[cluster.JobID]SubmitResult{}
	c.submit(c.daemons[1], batchJob("first", 2, cluster.Core, true))
	c.run(time.Second)
	is.Equal(c.submitResults[cluster.JobID{Team: "a", Name: "first"}].Outcome, Refused)
	c.run(20 * time.Second)
	is.Equal(c.racks.startCount, 1)
}

// Guards against many cancellations that take one transaction per job.
func TestCancellationsAreWrittenTogether(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 9, 3, 3, 2, 4)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return time.Hour }
	c.run(5 * time.Second)
	var jobs []cluster.JobID
	for i := range 150 {
		spec := batchJob(fmt.Sprintf("b%d", i), 2, cluster.Core, true)
		jobs = append(jobs, spec.ID)
		c.submit(c.daemons[i%3], spec)
	}
	c.run(5 * time.Second)
	commits := c.store.commitCount
	c.daemons[0].inbox = append(c.daemons[0].inbox, &Cancel{Token: 1, Jobs: append(jobs, cluster.JobID{Team: "a", Name: "none"})})
	c.run(500 * time.Millisecond)
	is.True(c.store.commitCount-commits < 20)
	c.run(20 * time.Second)
	for _, id := range jobs {
		is.Equal(c.storedJob(string(id.Name)).state, JobCancelled)
	}
	outcomes := c.daemons[0].cancelResults[0].Outcomes
	is.Equal(outcomes[0], Accepted)
	is.Equal(outcomes[150], NotFound)
	for _, w := range c.racks.workers {
		is.Equal(len(w.running)+len(w.ended), 0)
	}
}

// Guards against a worker that fails every task and keeps getting new ones, and
// against a job that fails on every worker and is retried forever.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 10, 1, 1, 1, 4)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return 500 * time.Millisecond }
	c.racks.workers[0].failing = true
	c.run(5 * time.Second)
	for i := range 12 {
		c.submit(c.daemons[0], batchJob(fmt.Sprintf("b%d", i), 8, cluster.Core, true))
	}
	c.run(20 * time.Second)
	quarantined := false
	for _, w := range c.daemons[0].controller.View().Workers {
		quarantined = quarantined || w.ID == "z0-r0-w0" && w.ClosedReason != ""
	}
	is.True(quarantined)
	for _, w := range c.racks.workers {
		w.failing = true
	}
	c.submit(c.daemons[0], batchJob("bad", 20, cluster.Core, true))
	c.run(5 * time.Minute)
	is.Equal(c.storedJob("bad").state, JobFailed)
	is.True(c.racks.startCount < 12*8+3*20+60) // the number of attempts is bounded
}

// Guards against a missing reason for tasks that wait because their team is at
// its limit, or because no worker that is large enough is left.
func TestExplainReportsWaitReason(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 11, 1, 1, 1, 2)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return time.Hour }
	c.racks.workers[1].capacity.CPU = 2 * cluster.Core
	c.run(5 * time.Second)
	c.setLimit(cluster.Resources{CPU: 4 * cluster.Core, Memory: 64 * cluster.GiB})
	c.run(6 * time.Second)
	c.submit(c.daemons[0], batchJob("limit", 6, cluster.Core, true))
	c.submit(c.daemons[0], batchJob("large", 1, 4*cluster.Core, true))
	c.run(5 * time.Second)
	reason, ok := c.daemons[0].controller.Explain(cluster.JobID{Team: "a", Name: "limit"})
	is.True(ok)
	is.True(strings.HasPrefix(reason, "rack z0-r0: 2 tasks wait: the team's limit of cpu=4.000 memory=65536MiB accelerators=0 leaves too little grant here: cpu=0.000 "))
	w := c.racks.workers[0] // the only one with 4 cores
	w.dead = true
	clear(w.running)
	c.racks.markChanged(w)
	c.run(45 * time.Second)
	reason, _ = c.daemons[0].controller.Explain(cluster.JobID{Team: "a", Name: "large"})
	is.Equal(reason, "a task is larger than every worker of the fleet: cpu=4.000 memory=1024MiB accelerators=0")
}

// Guards against a refusal as not run of a job that another daemon has accepted: its row exists and can't be read.
func TestRepeatedSubmissionWithUnreadableRow(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 2, 1, 1, 2)
	c.run(5 * time.Second)
	for _, d := range c.daemons {
		c.submit(d, batchJob("b", 1, cluster.Core, true))
	}
	c.run(200 * time.Millisecond) // both transactions are sent
	c.daemons[1].storeUnreachable = true
	c.run(5 * time.Second)
	is.Equal(c.daemons[0].submitResults[0].Outcome, Accepted)
	is.Equal(c.daemons[1].submitResults[0].Outcome, Unknown)
}

// Guards against a cancellation that is reported as not made and made later.
func TestCancellationEndsWithItsDeadline(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 1, 1, 1, 2)
	c.racks.runTime = func(cluster.AttemptID) time.Duration { return time.Hour }
	c.run(5 * time.Second)
	d := c.daemons[0]
	spec := batchJob("b", 1, cluster.Core, true)
	c.submit(d, spec)
	c.run(2 * time.Second)
	// The first cancellation waits for the transaction of another one.
	other := batchJob("other", 1, cluster.Core, true)
	c.submit(d, other)
	c.run(2 * time.Second)
	c.addedLatency = 2 * time.Second
	d.inbox = append(d.inbox, &Cancel{Token: 1, Jobs: []cluster.JobID{other.ID}})
	c.run(200 * time.Millisecond)
	d.inbox = append(d.inbox, &Cancel{Token: 2, Jobs: []cluster.JobID{spec.ID}, Deadline: c.now.Add(time.Second)})
	c.run(20 * time.Second)
	outcomes := map[Token]Outcome{}
	for _, r := range d.cancelResults {
		outcomes[r.Token] = r.Outcomes[0]
	}
	is.Equal(outcomes[1], Accepted)
	is.Equal(outcomes[2], Unavailable)
	is.Equal(c.storedJob("b").state, JobActive)
	is.True(!c.storedJob("b").cancelRequested)
}

// Guards against a job that runs although its submission was answered as not run when its deadline passed.
func TestSubmissionEndsWithItsDeadline(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 1, 1, 1, 2)
	c.run(5 * time.Second)
	d := c.daemons[0]
	d.paused = true // the submission waits
	d.inbox = append(d.inbox, &Submit{Token: 1, Spec: batchJob("b", 1, cluster.Core, true), SubmittedAt: c.now, Deadline: c.now.Add(time.Second)})
	c.run(2 * time.Second)
	d.paused = false
	c.run(5 * time.Second)
	is.Equal(d.submitResults[0].Outcome, Unavailable)
	is.Equal(c.storedJob("b"), nil)
	is.Equal(c.racks.startCount, 0)
}
