package pool

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

const (
	simTick        = 5 * time.Millisecond
	simLatency     = 10 * time.Millisecond
	testQueue      = cluster.QueueName("q")
	testBatchQueue = cluster.QueueName("batch")
	testService    = cluster.ServiceName("pool")
	testTeam       = cluster.TeamName("team")
	testTeamLimit  = 24 * cluster.Core
	stopDuration   = 50 * time.Millisecond
	gangTimeout    = 3 * time.Second
)

// world is a pool of workers, a store and an owner in virtual time. It checks
// at the workers what must always hold.
type simulation struct {
	rnd           *rand.Rand
	now           time.Time
	workers       []*fakeWorker
	owner         *Scheduler
	epoch         cluster.Epoch
	snapshot      *cluster.Snapshot
	jobs          map[cluster.JobName]*workload.Job
	cancellations map[cluster.JobName]time.Time
	// progress and recorded are the store's rows.
	progress        map[cluster.JobName]*workload.Progress
	recordedWorkers []RecordedWorker
	scheduledCalls  []scheduledCall
	lastListAt      time.Time
	events          []Event
	// done holds the tasks with an end that a worker lists or that was
	// acknowledged, finished those that ever ended so.
	doneTasks     map[string]bool
	everDoneTasks map[string]bool
	failures      map[string]int
	violations    []string
	maxAttempts   int
	// advise says which workers may run the steps of queues with advice;
	// questions counts the questions, longestQuestion the workers of the longest.
	isPermitted                          func(cluster.WorkerID) bool
	adviceRequests, largestAdviceRequest int
	// shareWanted holds the last request of each team for a larger share.
	requestedShares map[cluster.TeamName]int
	// loss is the share of calls whose answer is lost, late that of those carried out seconds later.
	replyLossRate, delayRate float64
}

type scheduledCall struct {
	at time.Time
	do func()
}

// fakeWorker is a worker as the platform's interface describes it.
type fakeWorker struct {
	vm          platform.WorkerVM
	startedAt   time.Time
	unreachable bool
	// hung says that the tasks on the worker stand still.
	tasksStalled       bool
	fence              cluster.Epoch
	leaseEnd           time.Duration
	running            map[string]*fakeRun
	highestRun         map[string]platform.RunNumber
	unacknowledgedEnds []platform.RunEnd
	lastEndNumber      uint64
}

type fakeRun struct {
	run       platform.RunNumber
	remaining time.Duration
	duration  time.Duration
	startedAt time.Time
	stopsAt   time.Time
	willFail  bool
	gangSize  int
	size      cluster.Resources
}

func newSimulation(seed uint64, workers int) *simulation {
	w := &simulation{
		rnd: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_800_000_000, 0), jobs: map[cluster.JobName]*workload.Job{},
		cancellations: map[cluster.JobName]time.Time{}, progress: map[cluster.JobName]*workload.Progress{}, doneTasks: map[string]bool{}, everDoneTasks: map[string]bool{}, failures: map[string]int{},
		maxAttempts: 3, requestedShares: map[cluster.TeamName]int{},
	}
	w.snapshot = cluster.Assemble(1, []cluster.Entity{
		&cluster.Queue{Name: testQueue, Service: testService, MaxAttempts: w.maxAttempts, Stretch: 2, Target: time.Second},
		&cluster.Queue{Name: testBatchQueue, Service: testService, Rank: 1, MaxAttempts: w.maxAttempts, Stretch: 20, Target: 20 * time.Second},
		&cluster.Team{Name: testTeam, Limit: cluster.Resources{CPU: testTeamLimit}},
	})
	for i := range workers {
		w.workers = append(w.workers, &fakeWorker{
			vm: platform.WorkerVM{
				ID: cluster.WorkerID(fmt.Sprintf("w%d", i)), Service: testService, Incarnation: platform.Incarnation(w.now.UnixMilli()),
				Capacity: cluster.Resources{CPU: 8 * cluster.Core, Memory: 32 * cluster.GiB}, Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
			},
			startedAt: w.now, running: map[string]*fakeRun{}, highestRun: map[string]platform.RunNumber{},
		})
	}
	w.takeOver()
	return w
}

// takeOver replaces the owner by one that knows what the store has.
func (w *simulation) takeOver() {
	w.epoch++
	w.owner = New(Config{
		Service: testService, Epoch: w.epoch, Now: w.now, Predecessor: w.recordedWorkers, PredecessorEnded: w.rnd.IntN(2) == 0, Log: w.logger(),
	})
	w.events = []Event{&ConfigChanged{Snapshot: w.snapshot}}
	for _, id := range sortedKeys(w.jobs) {
		var progress *workload.Progress
		if row := w.progress[id]; row != nil {
			progress = copyProgress(row)
		}
		w.events = append(w.events, &JobAccepted{Job: w.jobs[id], Progress: progress})
		if _, ok := w.cancellations[id]; ok {
			w.events = append(w.events, &JobCancelled{ID: id})
		}
	}
	w.lastListAt = time.Time{}
}

// log writes what the owner decides with the world's time, for a run with -pool.trace.
func (w *simulation) logger() zerolog.Logger {
	if !*trace {
		return zerolog.Nop()
	}
	return zerolog.New(os.Stderr).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str("at", w.now.Format("05.000"))
	}))
}

func copyProgress(p *workload.Progress) *workload.Progress {
	data, err := workload.EncodeProgress(p)
	if err != nil {
		panic(err)
	}
	c, err := workload.DecodeProgress(data)
	if err != nil {
		panic(err)
	}
	return c
}

func sortedKeys[V any](m map[cluster.JobName]V) []cluster.JobName {
	keys := make([]cluster.JobName, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (w *simulation) submit(j *workload.Job) {
	if j.Queue == "" {
		j.Queue = testQueue
	}
	j.Team, j.Accepted = testTeam, w.now
	j.Terms = workload.TermsOf(w.snapshot.Queues[j.Queue])
	w.jobs[j.ID] = j
	w.events = append(w.events, &JobAccepted{Job: j})
}

func (w *simulation) cancel(id cluster.JobName) {
	w.cancellations[id] = w.now
	w.events = append(w.events, &JobCancelled{ID: id})
}

func (w *simulation) runFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick()
	}
}

func (w *simulation) tick() {
	w.now = w.now.Add(simTick)
	for _, f := range w.workers {
		w.runTasks(f)
	}
	due := w.scheduledCalls
	w.scheduledCalls = nil
	for _, p := range due {
		if p.at.After(w.now) {
			w.scheduledCalls = append(w.scheduledCalls, p)
			continue
		}
		p.do()
	}
	if w.now.Sub(w.lastListAt) >= 500*time.Millisecond {
		w.lastListAt = w.now
		list := &WorkersListed{Advisors: 1}
		for _, f := range w.workers {
			list.Workers = append(list.Workers, f.vm)
		}
		w.events = append(w.events, list)
	}
	events := w.events
	w.events = nil
	for _, e := range w.owner.Step(w.now, events) {
		w.execute(w.owner, e)
	}
	w.checkLimits()
}

func (w *simulation) scheduleAfter(d time.Duration, do func()) {
	w.scheduledCalls = append(w.scheduledCalls, scheduledCall{w.now.Add(d), do})
}

// reply delivers an event to the owner that asked, if it still is one.
func (w *simulation) deliver(owner *Scheduler, d time.Duration, e Event) {
	w.scheduleAfter(d, func() {
		if w.owner == owner {
			w.events = append(w.events, e)
		}
	})
}

// call carries an order out at a worker, late or without an answer now and then.
func (w *simulation) sendRequest(owner *Scheduler, f *fakeWorker, order func(), answer func(lost bool) Event) {
	const timeout = 900 * time.Millisecond
	carry := func() bool {
		// A worker that starts anew keeps its identifier, so that orders reach the new incarnation.
		if f.unreachable {
			return false
		}
		order()
		return true
	}
	switch x := w.rnd.Float64(); {
	case x < w.delayRate:
		hold := 2*time.Second + time.Duration(w.rnd.Int64N(int64(10*time.Second)))
		w.scheduleAfter(simLatency, func() {
			// The worker keeps the order to itself, which ends with its process.
			incarnation := f.vm.Incarnation
			w.scheduleAfter(hold, func() {
				if f.vm.Incarnation == incarnation {
					carry()
				}
			})
		})
		w.deliver(owner, timeout, answer(true))
	case x < w.delayRate+w.replyLossRate:
		w.scheduleAfter(simLatency, func() { carry() })
		w.deliver(owner, timeout, answer(true))
	default:
		w.scheduleAfter(simLatency, func() {
			if !carry() {
				w.deliver(owner, timeout, answer(true))
				return
			}
			w.deliver(owner, simLatency, answer(false))
		})
	}
}

func (w *simulation) findWorker(id cluster.WorkerID) *fakeWorker {
	for _, f := range w.workers {
		if f.vm.ID == id {
			return f
		}
	}
	return nil
}

func (w *simulation) execute(owner *Scheduler, e Effect) {
	switch v := e.(type) {
	case *SendStart:
		var reply platform.StartReply
		f := w.findWorker(v.Worker.ID)
		w.sendRequest(owner, f, func() { reply = w.startTask(f, v) }, func(lost bool) Event {
			return &StartAnswered{Fence: v.Order.Fence, Task: v.Task, Run: v.Order.Run, Worker: v.Worker.ID, Lost: lost, Reply: reply}
		})
	case *SendStop:
		var reply platform.StopReply
		f := w.findWorker(v.Worker.ID)
		w.sendRequest(owner, f, func() { reply = w.stopTask(f, v.Order) }, func(lost bool) Event {
			return &StopAnswered{Fence: v.Order.Fence, Task: v.Task, Run: v.Order.Run, Worker: v.Worker.ID, Lost: lost, Reply: reply}
		})
	case *SendHold:
		var reply platform.HoldReply
		f := w.findWorker(v.Worker.ID)
		sent := w.now
		// A hold that waits is answered with the lists of a later moment.
		w.sendRequest(owner, f, func() { reply = w.hold(f, v.Order) }, func(lost bool) Event {
			return &HoldAnswered{
				Worker: v.Worker.ID, Fence: v.Order.Fence, Incarnation: v.Worker.Incarnation, Sent: sent, Received: w.now, Lost: lost, Extra: v.Extra, Reply: reply,
			}
		})
	case *AskAdvice:
		w.adviceRequests++
		w.largestAdviceRequest = max(w.largestAdviceRequest, len(v.Workers))
		advice := platform.Advice{ValidFor: time.Second}
		for _, id := range v.Workers {
			if w.isPermitted(id) {
				advice.Permits = append(advice.Permits, platform.Permit{Worker: id, Ticket: "ticket"})
			}
		}
		w.scheduleAfter(v.Cost, func() { w.events = append(w.events, &Advised{Step: v.Step, Received: w.now, Advice: advice}) })
	case *Record:
		w.scheduleAfter(2*simLatency, func() {
			if w.owner != owner {
				return
			}
			for _, p := range v.Progress {
				row, err := workload.DecodeProgress(p.Data)
				if err != nil {
					panic(err)
				}
				w.progress[p.ID] = row
			}
			if v.Workers != nil {
				w.recordedWorkers = v.Workers
			}
			w.events = append(w.events, &Recorded{Generation: v.Generation})
		})
	case *SeekShare:
		w.requestedShares[v.Team] = v.Missing
	case *Superseded:
		w.violations = append(w.violations, "an owner without a successor was superseded")
	}
}
