package standin_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// asError sets target to the platform error in the chain of err and reports
// whether there is one.
func asError(err error, target **platform.Error) bool { return errors.As(err, target) }

// attemptID returns the ID of an attempt at a task of one job, whose name contains
// the separators of the text form.
func attemptID(index int, number cluster.Attempt) cluster.AttemptID {
	job := cluster.JobID{Team: "archive", Name: "t@1#x"}
	return cluster.AttemptID{Task: cluster.TaskID{Job: job, Index: index}, Attempt: number}
}

// startCommand returns a command that starts an attempt with 1 GiB of memory.
func startCommand(worker cluster.WorkerID, id cluster.AttemptID, cpu cluster.CPU, command ...string) *platform.StartTask {
	return &platform.StartTask{Worker: worker, Attempt: id, Size: cluster.Resources{CPU: cpu, Memory: cluster.GiB}, Command: command}
}

// mustExchange sends commands with an epoch and returns the reply; it fails the test on an error.
func (b *testbed) mustExchange(epoch cluster.Epoch, since uint64, commands ...platform.Command) platform.ExchangeReply {
	b.Helper()
	reply, err := b.Exchange(b.ctx, platform.ExchangeRequest{
		Rack: rackID, Owner: "d1", Epoch: epoch, Since: since, Lease: lease, Commands: commands,
	})
	b.NoErr(err)
	return reply
}

// commandResults sends commands with an epoch and returns their results.
func (b *testbed) commandResults(epoch cluster.Epoch, commands ...platform.Command) []platform.CommandResult {
	b.Helper()
	return b.mustExchange(epoch, 0, commands...).Results
}

// workerReport returns the report of a worker, or the zero report if the reply has none.
func workerReport(reply platform.ExchangeReply, id cluster.WorkerID) (found platform.WorkerReport) {
	for _, r := range reply.Workers {
		if r.Worker == id {
			found = r
		}
	}
	return found
}

var rackCases = []contractCase{
	// Guards against a previous owner whose commands are still executed, or whose
	// exchanges still renew leases, after the workers have accepted a higher epoch.
	{"fence", func(b *testbed) {
		b.Equal(b.commandResults(2, startCommand(w1, attemptID(0, 1), 1000)), []platform.CommandResult{platform.CommandDone})
		reply := b.mustExchange(1, 0, startCommand(w1, attemptID(1, 1), 1000), &platform.StopTask{Worker: w1, Attempt: attemptID(0, 1)})
		b.Equal(reply.Results, []platform.CommandResult{platform.CommandStaleEpoch, platform.CommandStaleEpoch})
		b.Equal(workerReport(reply, w1).Epoch, cluster.Epoch(2))
		b.Equal(len(workerReport(reply, w1).Running), 1)
		b.clock.Advance(lease / 2)
		b.mustExchange(1, 0) // an exchange with a stale epoch renews no leases
		b.clock.Advance(lease / 2)
		b.Equal(workerReport(b.mustExchange(2, 0), w1).Ended[0].Outcome, platform.OutcomeLeaseExpired)
	}},
	// Guards against tasks that run longer than their lease, and against tasks that
	// are stopped although their lease was renewed.
	{"leases", func(b *testbed) {
		b.commandResults(1, startCommand(w1, attemptID(0, 1), 1000, "1h"))
		b.clock.Advance(lease - time.Second)
		b.mustExchange(1, 0)
		b.clock.Advance(lease - time.Second)
		b.Equal(len(workerReport(b.mustExchange(1, 0), w1).Running), 1)
		b.clock.Advance(lease)
		ended := workerReport(b.mustExchange(1, 0), w1).Ended
		b.Equal(len(ended), 1)
		b.Equal(ended[0].Outcome, platform.OutcomeLeaseExpired)
		b.Equal(ended[0].RunTime, 3*lease-2*time.Second)
	}},
	// Guards against a repeated or delayed start command that starts an attempt
	// again, also after its result was acknowledged.
	{"repeated attempts", func(b *testbed) {
		s := startCommand(w1, attemptID(0, 2), 500, "5s")
		old := startCommand(w1, attemptID(0, 1), 500, "5s")
		b.Equal(b.commandResults(1, s, s, old), []platform.CommandResult{platform.CommandDone, platform.CommandAttemptKnown, platform.CommandAttemptKnown})
		b.clock.Advance(6 * time.Second)
		b.Equal(b.commandResults(1, s), []platform.CommandResult{platform.CommandAttemptKnown})
		ack := &platform.AcknowledgeResult{Worker: w1, Attempt: attemptID(0, 2)}
		b.Equal(b.commandResults(1, ack, s, ack), []platform.CommandResult{platform.CommandDone, platform.CommandAttemptKnown, platform.CommandNoTask})
	}},
	// Guards against a start that exceeds a worker's capacity.
	{"capacity", func(b *testbed) {
		results := b.commandResults(1, startCommand(w1, attemptID(0, 1), 3000), startCommand(w1, attemptID(1, 1), 1001), startCommand(w1, attemptID(2, 1), 1000))
		b.Equal(results, []platform.CommandResult{platform.CommandDone, platform.CommandNoCapacity, platform.CommandDone})
		b.Equal(b.platform.Stats().CapacityRefusals, int64(1))
		b.Equal(b.platform.PeakOfWorker(w1).CPU, cluster.CPU(4000))
		b.Equal(b.platform.PeakOfTeam("archive").CPU, cluster.CPU(4000))
	}},
	// Guards against replies that repeat unchanged workers or miss changed ones.
	{"changes since a cursor", func(b *testbed) {
		first := b.mustExchange(1, 0, startCommand(w1, attemptID(0, 1), 1000, "3s", "cpus=0.5"))
		b.Equal(len(first.Workers), 8)
		second := b.mustExchange(1, first.Cursor)
		b.Equal(len(second.Workers), 0)
		b.clock.Advance(3 * time.Second)
		third := b.mustExchange(1, second.Cursor)
		b.Equal(len(third.Workers), 1)
		b.Equal(workerReport(third, w1).Ended, []platform.EndedTask{{
			Attempt: attemptID(0, 1), Outcome: platform.OutcomeSucceeded,
			Peak: cluster.Resources{CPU: 500, Memory: cluster.GiB}, RunTime: 3 * time.Second,
		}})
		b.Equal(len(b.mustExchange(1, 1).Workers), 8) // a cursor of an earlier run of the platform
	}},
	// Guards against a resource usage that is reported without its lag, and against a
	// wrong one.
	{"usage lags", func(b *testbed) {
		first := b.mustExchange(1, 0, startCommand(w1, attemptID(0, 1), 1000, "1h", "cpus=0.25"))
		b.True(workerReport(first, w1).Running[0].Usage.IsZero())
		b.clock.Advance(5 * time.Second)
		running := workerReport(b.mustExchange(1, first.Cursor), w1).Running[0]
		b.Equal(running.Usage.CPU, cluster.CPU(250))
		b.Equal(running.Age, 5*time.Second)
	}},
	// Guards against work that is lost or repeated when a throttled task is
	// checkpointed on one worker and resumed on another.
	{"checkpoint, resume and throttle", func(b *testbed) {
		b.commandResults(1, startCommand(w1, attemptID(0, 1), 1000, "10s"))
		b.clock.Advance(4 * time.Second)
		b.commandResults(1, &platform.ThrottleTask{Worker: w1, Attempt: attemptID(0, 1), CPU: 500})
		b.clock.Advance(4 * time.Second)
		b.commandResults(1, &platform.CheckpointTask{Worker: w1, Attempt: attemptID(0, 1)})
		resumed := startCommand(w2, attemptID(0, 2), 1000, "10s")
		resumed.Resume = true
		b.commandResults(1, resumed)
		b.clock.Advance(4 * time.Second)
		reply := b.mustExchange(1, 0)
		b.Equal(workerReport(reply, w1).Ended[0].Outcome, platform.OutcomeCheckpointed)
		b.Equal(workerReport(reply, w2).Ended[0].Outcome, platform.OutcomeSucceeded)
		b.Equal(len(b.platform.Overlaps()), 0)
	}},
	// Guards against an unreachable worker that is reported without its tasks, and
	// against tasks that continue to run after their worker died or their lease expired.
	{"unreachable, paused and dead workers", func(b *testbed) {
		b.commandResults(1, startCommand(w1, attemptID(0, 1), 1000, "30s"), startCommand(w2, attemptID(1, 1), 1000, "30s"))
		b.platform.SetWorkerFaults(w1, func(f *standin.WorkerFaults) { f.Paused = true })
		b.platform.SetWorkerFaults(w2, func(f *standin.WorkerFaults) { f.Dead = true })
		reply := b.mustExchange(1, 0, &platform.StopTask{Worker: w1, Attempt: attemptID(0, 1)})
		b.Equal(reply.Results[0], platform.CommandUnreachable)
		b.True(!workerReport(reply, w1).Reachable)
		b.Equal(len(workerReport(reply, w1).Running), 1)
		b.clock.Advance(lease + time.Second)
		b.platform.SetWorkerFaults(w1, func(f *standin.WorkerFaults) { f.Paused = false })
		b.platform.SetWorkerFaults(w2, func(f *standin.WorkerFaults) { f.Dead = false })
		reply = b.mustExchange(1, 0)
		b.Equal(workerReport(reply, w1).Ended[0].Outcome, platform.OutcomeLeaseExpired)
		b.Equal(workerReport(reply, w2).Ended[0].Outcome, platform.OutcomeLeaseExpired)
	}},
	// Guards against tasks that continue to run while their worker is paused, and
	// against an overlap reported for a suspended task whose lease has expired.
	{"paused worker", func(b *testbed) {
		b.commandResults(1, startCommand(w1, attemptID(0, 1), 1000, "10s"), startCommand(w1, attemptID(1, 1), 1000))
		b.clock.Advance(2 * time.Second)
		pause := func(paused bool) {
			b.platform.SetWorkerFaults(w1, func(f *standin.WorkerFaults) { f.Paused = paused })
		}
		pause(true)
		b.clock.Advance(5 * time.Second)
		pause(false)
		b.clock.Advance(7 * time.Second)
		b.Equal(len(workerReport(b.mustExchange(1, 0), w1).Running), 2)
		b.clock.Advance(time.Second)
		b.Equal(workerReport(b.mustExchange(1, 0), w1).Ended[0].RunTime, 15*time.Second)
		pause(true)
		b.clock.Advance(lease + time.Second)
		b.Equal(b.platform.UseOfTeam("archive").CPU, cluster.CPU(0))
		b.commandResults(1, startCommand(w2, attemptID(1, 2), 1000))
		b.Equal(len(b.platform.Overlaps()), 0)
		pause(false)
		b.Equal(b.platform.UseOfTeam("archive").CPU, cluster.CPU(1000))
	}},
	// Guards against two attempts of a task that run at the same time without being
	// recorded as an overlap.
	{"overlaps are recorded", func(b *testbed) {
		b.commandResults(1, startCommand(w1, attemptID(0, 1), 1000, "30s"), startCommand(w2, attemptID(0, 2), 1000, "30s"))
		b.Equal(b.platform.Overlaps(), []standin.Overlap{{First: attemptID(0, 1), Second: attemptID(0, 2), SecondStart: b.clock.Now()}})
		b.Equal(len(b.platform.Starts()), 2)
	}},
	// Guards against an exchange with a lost reply that is reported as not executed.
	{"lost exchange reply", func(b *testbed) {
		b.platform.SetFaults(func(f *standin.Faults) { f.LostExchangeReplies = 1 })
		_, err := b.Exchange(b.ctx, platform.ExchangeRequest{
			Rack: rackID, Epoch: 1, Lease: lease, Commands: []platform.Command{startCommand(w1, attemptID(0, 1), 1000)},
		})
		b.requireKind(err, platform.KindUnknown)
		b.Equal(b.platform.Running(), 1)
	}},
	// Guards against factors for the size and the run time, and a FailAll fault,
	// that have no effect.
	{"wrong sizes and failing workers", func(b *testbed) {
		b.platform.SetWorkerFaults(w1, func(f *standin.WorkerFaults) { f.SizeFactor, f.RunTimeFactor = 2, 3 })
		b.platform.SetWorkerFaults(w2, func(f *standin.WorkerFaults) { f.FailAll = true })
		b.commandResults(1, startCommand(w1, attemptID(0, 1), 1000, "2s"), startCommand(w2, attemptID(1, 1), 1000, "1h"))
		b.clock.Advance(5 * time.Second)
		reply := b.mustExchange(1, 0)
		b.Equal(workerReport(reply, w1).Running[0].Usage.Memory, 2*cluster.GiB)
		b.Equal(workerReport(reply, w2).Ended[0].Outcome, platform.OutcomeFailed)
		b.clock.Advance(time.Second)
		b.Equal(workerReport(b.mustExchange(1, 0), w1).Ended[0].RunTime, 6*time.Second)
	}},
}

// Guards against cell layouts that differ from the table in section 1 of the design page.
func TestCellLayouts(t *testing.T) {
	is := is.New(t)
	for _, cell := range standin.Cells()[:2] {
		racks := map[cluster.RackID]int{}
		runners := 0
		for _, vm := range cell.VMs() {
			switch vm.Role {
			case platform.RoleWorker:
				racks[vm.Rack]++
				is.True(racks[vm.Rack] <= 8)
			case platform.RoleRunner:
				runners++
			}
		}
		is.Equal(len(racks), 7)
		is.Equal(runners, 50)
		is.Equal(len(cell.Places()), 3)
	}
}

// Guards against a layout of the target cell that differs from the two-year
// target in section 1 of the design page.
func TestTargetCellLayout(t *testing.T) {
	is := is.New(t)
	cell := standin.Target()
	racks := map[cluster.RackID]bool{}
	zones := map[cluster.Zone]bool{}
	workers, runners := 0, 0
	for _, vm := range cell.VMs() {
		if vm.Role == platform.RoleRunner {
			runners++
			continue
		}
		workers++
		racks[vm.Rack] = true
		zones[vm.Place.Zone] = true
		is.Equal(vm.Capacity, cluster.Resources{CPU: 16 * cluster.Core, Memory: 64 * cluster.GiB})
	}
	is.Equal(workers, 590)
	is.Equal(len(racks), 74)
	is.Equal(len(zones), 6)
	is.Equal(len(cell.Places()), 6)
	is.Equal(len(cell.Regions), 2)
	is.Equal(runners, 50)
}
