package pool

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

const (
	urgentAdviceQueue = cluster.QueueName("advised-urgent")
	ticketTTL         = 2400 * time.Millisecond
	// maxAdviceDelay is the longest delay of late advice.
	maxAdviceDelay = 3 * time.Second
	// faultRecoveryTime is longer than every fault that injectAdviceFault starts.
	faultRecoveryTime = 16 * time.Second
)

// fakeAdvice is a fake of the platform's advice service. It permits each step on about a third of the workers.
type fakeAdvice struct {
	// perIncarnation means that a restarted worker may be permitted for other steps than before.
	perIncarnation bool
	// failureRate is the fraction of requests that fail, delayRate that of requests that are answered late.
	failureRate, delayRate float64
}

func (a *fakeAdvice) permits(st StepID, vm platform.WorkerVM) bool {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s.%d.%d %s", st.Job, st.Occurrence, st.Step, vm.ID)
	if a.perIncarnation {
		fmt.Fprintf(h, " %d", vm.Incarnation)
	}
	return h.Sum64()>>32%3 == 0
}

// accepts reports whether a ticket allows a task to start on a worker now.
func (a *fakeAdvice) accepts(sim *simulation, f *fakeWorker, id workload.TaskID, ticket string) bool {
	if sim.snapshot.Queues[sim.jobs[id.Job].Queue].Advice == nil {
		return true
	}
	var issuedAt int64
	prefix := ticketPrefix(StepID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}, f.vm)
	if !strings.HasPrefix(ticket, prefix) {
		return false
	}
	if _, err := fmt.Sscanf(ticket[len(prefix):], "%d", &issuedAt); err != nil {
		return false
	}
	return sim.now.Sub(time.UnixMilli(issuedAt)) <= ticketTTL
}

func ticketPrefix(st StepID, vm platform.WorkerVM) string {
	return fmt.Sprintf("%s.%d.%d/%s/%d/", st.Job, st.Occurrence, st.Step, vm.ID, vm.Incarnation)
}

// answerAdvice answers an advice request after its response time. A random part of the requests fails or is
// answered late.
func (sim *simulation) answerAdvice(owner *Scheduler, v *RequestAdvice) {
	issue := func() platform.Advice {
		advice := platform.Advice{ValidFor: ticketTTL}
		for _, id := range v.Workers {
			if f := sim.findWorker(id); sim.advice.permits(v.Step, f.vm) {
				advice.Permits = append(advice.Permits, platform.Permit{Worker: id, Ticket: ticketPrefix(v.Step, f.vm) + fmt.Sprint(sim.now.UnixMilli())})
			}
		}
		return advice
	}
	var delay time.Duration
	switch x := sim.rnd.Float64(); {
	case x < sim.advice.failureRate:
		sim.deliver(owner, v.ResponseTime+time.Duration(sim.rnd.Int64N(int64(time.Second))), &AdviceAnswered{Step: v.Step, Failed: true})
		return
	case x < sim.advice.failureRate+sim.advice.delayRate:
		delay = time.Duration(sim.rnd.Int64N(int64(maxAdviceDelay)))
	}
	sim.scheduleAfter(v.ResponseTime, func() {
		advice := issue()
		sim.scheduleAfter(delay+simTick, func() {
			if sim.owner == owner {
				sim.events = append(sim.events, &AdviceAnswered{Step: v.Step, ReceivedAt: sim.now, Advice: advice})
			}
		})
	})
}

// newRandomAdviceSimulation returns a simulation with two queues that have an advice policy.
func newRandomAdviceSimulation(seed uint64) *simulation {
	sim := newSimulation(seed, 8+int(seed*7%23))
	policy := &cluster.AdvicePolicy{CallDuration: 50 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: ticketTTL}
	sim.teamLimit = 150 * cluster.Core
	sim.failureRate = 0.005
	sim.advisors = 1 + sim.rnd.IntN(3)
	sim.advice = &fakeAdvice{perIncarnation: sim.rnd.IntN(2) == 0}
	sim.snapshot = cluster.Assemble(2, []cluster.Entity{
		sim.snapshot.Queues[testQueue], sim.snapshot.Queues[testBatchQueue],
		&cluster.Queue{Name: urgentAdviceQueue, Service: testService, MaxAttempts: sim.maxAttempts, Stretch: 2, Target: time.Second, Advice: policy},
		&cluster.Queue{Name: adviceQueue, Service: testService, Rank: 1, MaxAttempts: sim.maxAttempts, Stretch: 20, Target: 20 * time.Second, Advice: policy},
		&cluster.Team{Name: testTeam, Limit: cluster.Resources{CPU: sim.teamLimit}},
	})
	sim.events = append(sim.events, &ConfigChanged{Snapshot: sim.snapshot})
	return sim
}

// randomAdviceJob returns a job of which most steps need advice. Some gangs are as wide as the permitted workers
// can hold.
func (sim *simulation) randomAdviceJob(n int) *workload.Job {
	job := &workload.Job{
		ID: cluster.JobName(fmt.Sprintf("%016x", n)), Spec: "spec",
		Queue: []cluster.QueueName{urgentAdviceQueue, adviceQueue, urgentAdviceQueue, adviceQueue, testBatchQueue}[sim.rnd.IntN(5)],
	}
	for i := range 1 + sim.rnd.IntN(2) {
		step := workload.Step{
			Tasks: 1 + sim.rnd.IntN(6), Size: cluster.Resources{CPU: cluster.CPU(500 + sim.rnd.IntN(6500)), Memory: cluster.GiB},
			Estimate: time.Duration(100+sim.rnd.IntN(2000)) * time.Millisecond, Gang: sim.rnd.IntN(3) > 0, Checkpoints: sim.rnd.IntN(2) == 0,
		}
		if i > 0 && sim.rnd.IntN(2) == 0 {
			step.After = []int{i - 1}
		}
		if sim.rnd.IntN(4) == 0 {
			step.MaxPerWorker = 1 + sim.rnd.IntN(2)
		}
		if step.Gang && job.Queue != testBatchQueue {
			switch held := sim.permittedCapacity(StepID{Job: job.ID, Step: i}, &step); sim.rnd.IntN(3) {
			case 0:
				step.Tasks = max(1, held)
			case 1:
				step.Tasks = max(1, held*2/3)
			}
		}
		step.Tasks = min(step.Tasks, int(sim.teamLimit/step.Size.CPU))
		job.Steps = append(job.Steps, step)
	}
	return job
}

// permittedCapacity returns how many tasks of a step the listed permitted workers hold when nothing else runs.
func (sim *simulation) permittedCapacity(id StepID, step *workload.Step) int {
	n := 0
	for _, f := range sim.workers {
		if f.gone || f.unlisted || f.vm.Draining || !sim.advice.permits(id, f.vm) {
			continue
		}
		n += perWorker(f.vm.Capacity, step)
	}
	return n
}

func perWorker(capacity cluster.Resources, step *workload.Step) int {
	n := taskCapacity(capacity, step.Size)
	if step.MaxPerWorker > 0 {
		n = min(n, step.MaxPerWorker)
	}
	return n
}

// injectAdviceFault injects one random fault of a worker, its entry or the advice service.
func (sim *simulation) injectAdviceFault() {
	f := sim.workers[sim.rnd.IntN(len(sim.workers))]
	if f.gone || f.unlisted || f.vm.Draining {
		return
	}
	random := func(d time.Duration) time.Duration { return time.Duration(sim.rnd.Int64N(int64(d))) }
	switch sim.rnd.IntN(9) {
	case 0, 1:
		sim.injectFault()
	case 2:
		f.vm.Draining = true
		sim.scheduleAfter(3*time.Second+random(3*time.Second), func() { sim.crash(f); f.unlisted = true })
		sim.addWorker(cluster.WorkerID(fmt.Sprintf("w%d", len(sim.workers))), "r0")
	case 3:
		sim.crashAndReturn(f, random(2*time.Second), random(8*time.Second))
	case 4:
		if idle := sim.pickWorker(func(f *fakeWorker) bool { return len(f.running) == 0 }); idle != nil {
			sim.crashAndReturn(idle, random(2*time.Second), random(8*time.Second))
		}
	case 5:
		if held := sim.pickWorker(sim.hasTicket); held != nil {
			sim.crashAndReturn(held, random(time.Second), random(8*time.Second))
		}
	case 6:
		// A partition: the worker keeps its state and its incarnation.
		f.unreachable = true
		sim.scheduleAfter(random(2*time.Second), func() { f.unlisted = true })
		sim.scheduleAfter(2*time.Second+random(7*time.Second), func() { f.unreachable, f.unlisted = false, false })
	case 7:
		// The entry is missing from one list, or for a short time.
		f.unlisted = true
		sim.scheduleAfter(500*time.Millisecond+random(time.Second)*time.Duration(sim.rnd.IntN(2)), func() { f.unlisted = false })
	case 8:
		sim.advice.failureRate, sim.advice.delayRate = 0.3, 0.3
		sim.scheduleAfter(3*time.Second, func() { sim.advice.failureRate, sim.advice.delayRate = 0, 0 })
	}
}

// pickWorker returns a random running worker that meets a condition, or nil.
func (sim *simulation) pickWorker(condition func(*fakeWorker) bool) *fakeWorker {
	offset := sim.rnd.IntN(len(sim.workers))
	for i := range sim.workers {
		f := sim.workers[(i+offset)%len(sim.workers)]
		if !f.gone && !f.unlisted && !f.vm.Draining && condition(f) {
			return f
		}
	}
	return nil
}

// hasTicket reports whether an open step holds a permit for a worker.
func (sim *simulation) hasTicket(f *fakeWorker) bool {
	for _, st := range sim.owner.openSteps {
		for _, p := range st.permits {
			if p.worker.vm.ID == f.vm.ID && sim.owner.permitValid(p) {
				return true
			}
		}
	}
	return false
}

// crash ends a worker's process. The platform lists its last entry until it is removed.
func (sim *simulation) crash(f *fakeWorker) {
	incarnation := f.vm.Incarnation
	sim.restart(f)
	f.vm.Incarnation, f.gone = incarnation, true
}

// crashAndReturn ends a worker's process and removes its entry after a delay. Most workers come back later as a new
// incarnation.
func (sim *simulation) crashAndReturn(f *fakeWorker, unlistAfter, returnAfter time.Duration) {
	sim.crash(f)
	sim.scheduleAfter(unlistAfter, func() { f.unlisted = f.gone })
	if sim.rnd.IntN(5) == 0 {
		sim.addWorker(cluster.WorkerID(fmt.Sprintf("w%d", len(sim.workers))), "r0")
		return
	}
	sim.scheduleAfter(returnAfter, func() {
		sim.restart(f)
		f.gone, f.unlisted = false, false
	})
}

// endFaults ends all faults and adds workers until each step is permitted on more workers than all the waiting
// work needs.
func (sim *simulation) endFaults() {
	sim.replyLossRate, sim.delayRate = 0, 0
	sim.advice.failureRate, sim.advice.delayRate = 0, 0
	for _, f := range sim.workers {
		f.unreachable, f.tasksStalled = false, false
	}
	open := map[StepID]*workload.Step{}
	needed := 0
	for _, id := range sim.openJobs() {
		for i := range sim.jobs[id].Steps {
			step := &sim.jobs[id].Steps[i]
			open[StepID{Job: id, Step: i}] = step
			needed += step.Tasks/perWorker(sim.workers[0].vm.Capacity, step) + 1
		}
	}
	for id, step := range open {
		for sim.permittedCapacity(id, step) <= needed*perWorker(sim.workers[0].vm.Capacity, step) {
			sim.addWorker(cluster.WorkerID(fmt.Sprintf("w%d", len(sim.workers))), "r0")
		}
	}
}

// openJobs returns the jobs whose end is not recorded.
func (sim *simulation) openJobs() []cluster.JobName {
	var open []cluster.JobName
	for _, id := range sortedKeys(sim.jobs) {
		if row := sim.progress[id]; row == nil || !row.State.Final() {
			open = append(open, id)
		}
	}
	return open
}

// settleTime returns how long a job may take to end without faults: the expiry of the leases that the faults left
// behind, and for each step in turn all attempts, each with a search for workers and the quarantine of a worker.
func (sim *simulation) settleTime(j *workload.Job) time.Duration {
	settle := PreviousOwnerGrace + 2*maxLeaseDuration(DefaultMaxLease)
	for i := range j.Steps {
		attempt := j.Steps[i].Estimate + quarantineTime + startVerifyDelay + 2*stopRetryDelay + maxLeaseDuration(DefaultLease) + ticketTTL
		settle += time.Duration(sim.maxAttempts) * attempt
	}
	return settle
}

// describeWaiting returns the state that decides whether a job's steps start.
func (sim *simulation) describeWaiting(id cluster.JobName) string {
	var b strings.Builder
	s := sim.owner
	fmt.Fprintf(&b, "long requests %d, advisors %d", s.advice.long, s.advisors)
	for _, st := range s.jobs[id].steps {
		if st == nil {
			continue
		}
		valid, earlier, dropped := 0, 0, 0
		for _, p := range st.permits {
			switch {
			case s.workers[p.worker.vm.ID] != p.worker:
				dropped++
			case p.incarnation != p.worker.vm.Incarnation:
				earlier++
			case s.permitValid(p):
				valid++
			}
		}
		fmt.Fprintf(&b, "\n  step %d: gang %t, %d of %d unfinished, %d pending, gang run %d, advice in flight %t, %d permits (%d valid, %d of earlier incarnations, %d of dropped workers)",
			st.id.Step, st.spec.Gang, st.unfinishedTasks, len(st.tasks), st.pendingTasks, st.gangRun, st.adviceInFlight, len(st.permits), valid, earlier, dropped)
		for i := range st.tasks {
			if r := st.tasks[i].run; r != nil {
				fmt.Fprintf(&b, "\n    task %d: run %d %s on %s, worker dropped %t", i, r.number, r.state, r.worker.vm.ID, s.workers[r.worker.vm.ID] != r.worker)
			}
		}
	}
	return b.String()
}

// checkAccounting checks that the usage of the workers and the team is the total size of the tracked runs.
func (sim *simulation) checkAccounting(t *testing.T) {
	t.Helper()
	var team cluster.Resources
	for _, w := range sim.owner.sortedWorkers {
		var used cluster.Resources
		for _, r := range w.runs {
			used = used.Add(r.size)
		}
		if used != w.used {
			t.Errorf("worker %s: %s is in use, the runs need %s", w.vm.ID, w.used, used)
		}
		team = team.Add(used)
	}
	if running := sim.owner.team(testTeam).running; running != team {
		t.Errorf("the team uses %s, its runs need %s", running, team)
	}
}

// checkAdviceLoad checks that the counted advice requests are those in flight of the steps.
func (sim *simulation) checkAdviceLoad(t *testing.T) {
	t.Helper()
	var load adviceLoad
	named := map[*worker]int{}
	for _, j := range sim.owner.jobs {
		for _, st := range j.steps {
			if st == nil || !st.adviceInFlight {
				continue
			}
			load.add(st.adviceRequest, 1)
			for _, r := range st.requestedWorkers {
				named[r.worker]++
			}
		}
	}
	if sim.owner.advice != load {
		t.Errorf("advice requests counted: %+v, in flight: %+v", sim.owner.advice, load)
	}
	for _, w := range sim.owner.sortedWorkers {
		if w.adviceRequests != named[w] {
			t.Errorf("worker %s: %d advice requests counted, %d in flight", w.vm.ID, w.adviceRequests, named[w])
		}
	}
}

// Guards against counts of advice requests that drift, so that steps get no advice any more, when steps close, jobs are
// cancelled, workers leave, and owners and advice are lost.
func TestAdviceCountsReturnToZeroAfterFaults(t *testing.T) {
	for seed := range *randomSeeds / 8 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := newRandomAdviceSimulation(seed)
			counted := 0
			for n := range 20 {
				sim.submit(sim.randomAdviceJob(n))
				sim.injectAdviceFault()
				sim.runFor(time.Duration(sim.rnd.Int64N(int64(500 * time.Millisecond))))
				sim.checkAdviceLoad(t)
				counted += sim.owner.advice.long + sim.owner.advice.deferrable
				if sim.rnd.IntN(4) == 0 {
					sim.cancel(cluster.JobName(fmt.Sprintf("%016x", sim.rnd.IntN(n+1))))
				}
			}
			is.True(counted > 0) // otherwise nothing is checked
			for _, id := range sim.openJobs() {
				sim.cancel(id)
			}
			sim.runFor(faultRecoveryTime)
			sim.checkAdviceLoad(t)
			is.Equal(sim.owner.advice, adviceLoad{})
		})
	}
}

// Guards against a job on a queue with advice that never ends, and against broken limits and runs that overlap, when
// workers leave the list or come back, tickets expire, and owners, replies and advice are lost.
func TestRandomFaultsWithAdvice(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := newRandomAdviceSimulation(seed)
			for n := range 20 {
				sim.submit(sim.randomAdviceJob(n))
				if sim.rnd.IntN(10) == 0 {
					sim.cancel(cluster.JobName(fmt.Sprintf("%016x", sim.rnd.IntN(n+1))))
				}
				for sim.rnd.IntN(2) == 0 {
					sim.injectAdviceFault()
				}
				sim.runFor(time.Duration(sim.rnd.Int64N(int64(time.Second))))
			}
			sim.runFor(faultRecoveryTime)
			sim.endFaults()
			var settle time.Duration
			for _, id := range sim.openJobs() {
				settle = max(settle, sim.settleTime(sim.jobs[id]))
			}
			for end := sim.now.Add(settle); sim.now.Before(end) && len(sim.openJobs()) > 0; {
				sim.runFor(100 * time.Millisecond)
			}
			is.Equal(sim.violations, nil)
			sim.checkAccounting(t)
			for _, id := range sim.openJobs() {
				t.Errorf("job %s has not ended after %s without faults: %s", id, settle, sim.describeWaiting(id))
			}
		})
	}
}
