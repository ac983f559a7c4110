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
	worldTick   = 5 * time.Millisecond
	worldDelay  = 10 * time.Millisecond
	worldQueue  = cluster.QueueName("q")
	worldBatch  = cluster.QueueName("batch")
	worldPool   = cluster.ServiceName("pool")
	worldTeam   = cluster.TeamName("team")
	worldLimit  = 24 * cluster.Core
	stopTakes   = 50 * time.Millisecond
	gangTimeout = 3 * time.Second
)

// world is a pool of workers, a store and an owner in virtual time. It checks
// at the workers what must always hold.
type world struct {
	rnd      *rand.Rand
	now      time.Time
	workers  []*fakeWorker
	owner    *Scheduler
	epoch    cluster.Epoch
	snapshot *cluster.Snapshot
	jobs     map[cluster.JobName]*workload.Job
	cancels  map[cluster.JobName]time.Time
	// progress and recorded are the store's rows.
	progress map[cluster.JobName]*workload.Progress
	recorded []RecordedWorker
	pending  []delayed
	listAt   time.Time
	inbox    []Event
	// done holds the tasks with an end that a worker lists or that was
	// acknowledged, finished those that ever ended so.
	done       map[string]bool
	finished   map[string]bool
	failures   map[string]int
	violations []string
	attempts   int
	// advise says which workers may run the steps of queues with advice;
	// questions counts the questions, longestQuestion the workers of the longest.
	advise                     func(cluster.WorkerID) bool
	questions, longestQuestion int
	// shareWanted holds the last request of each team for a larger share.
	shareWanted map[cluster.TeamName]int
	// loss is the share of calls whose answer is lost, late that of those carried out seconds later.
	loss, late float64
}

type delayed struct {
	at time.Time
	do func()
}

// fakeWorker is a worker as the platform's interface describes it.
type fakeWorker struct {
	vm     platform.WorkerVM
	booted time.Time
	cut    bool
	// hung says that the tasks on the worker stand still.
	hung    bool
	fence   cluster.Epoch
	until   time.Duration
	running map[string]*fakeRun
	highest map[string]platform.RunNumber
	ended   []platform.RunEnd
	number  uint64
}

type fakeRun struct {
	run      platform.RunNumber
	left     time.Duration
	total    time.Duration
	arrived  time.Time
	stopping time.Time
	fails    bool
	gang     int
	size     cluster.Resources
}

func newWorld(seed uint64, workers int) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_800_000_000, 0), jobs: map[cluster.JobName]*workload.Job{},
		cancels: map[cluster.JobName]time.Time{}, progress: map[cluster.JobName]*workload.Progress{}, done: map[string]bool{}, finished: map[string]bool{}, failures: map[string]int{},
		attempts: 3, shareWanted: map[cluster.TeamName]int{},
	}
	w.snapshot = cluster.Assemble(1, []cluster.Entity{
		&cluster.Queue{Name: worldQueue, Service: worldPool, MaxAttempts: w.attempts, Stretch: 2, Target: time.Second},
		&cluster.Queue{Name: worldBatch, Service: worldPool, Rank: 1, MaxAttempts: w.attempts, Stretch: 20, Target: 20 * time.Second},
		&cluster.Team{Name: worldTeam, Limit: cluster.Resources{CPU: worldLimit}},
	})
	for i := range workers {
		w.workers = append(w.workers, &fakeWorker{
			vm: platform.WorkerVM{
				ID: cluster.WorkerID(fmt.Sprintf("w%d", i)), Service: worldPool, Incarnation: platform.Incarnation(w.now.UnixMilli()),
				Capacity: cluster.Resources{CPU: 8 * cluster.Core, Memory: 32 * cluster.GiB}, Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
			},
			booted: w.now, running: map[string]*fakeRun{}, highest: map[string]platform.RunNumber{},
		})
	}
	w.takeOver()
	return w
}

// takeOver replaces the owner by one that knows what the store has.
func (w *world) takeOver() {
	w.epoch++
	w.owner = New(Config{
		Service: worldPool, Epoch: w.epoch, Now: w.now, Predecessor: w.recorded, PredecessorEnded: w.rnd.IntN(2) == 0, Log: w.log(),
	})
	w.inbox = []Event{&ConfigChanged{Snapshot: w.snapshot}}
	for _, id := range sortedKeys(w.jobs) {
		var progress *workload.Progress
		if row := w.progress[id]; row != nil {
			progress = copyProgress(row)
		}
		w.inbox = append(w.inbox, &JobAccepted{Job: w.jobs[id], Progress: progress})
		if _, ok := w.cancels[id]; ok {
			w.inbox = append(w.inbox, &JobCancelled{ID: id})
		}
	}
	w.listAt = time.Time{}
}

// log writes what the owner decides with the world's time, for a run with -pool.trace.
func (w *world) log() zerolog.Logger {
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

func (w *world) submit(j *workload.Job) {
	if j.Queue == "" {
		j.Queue = worldQueue
	}
	j.Team, j.Accepted = worldTeam, w.now
	j.Terms = workload.TermsOf(w.snapshot.Queues[j.Queue])
	w.jobs[j.ID] = j
	w.inbox = append(w.inbox, &JobAccepted{Job: j})
}

func (w *world) cancel(id cluster.JobName) {
	w.cancels[id] = w.now
	w.inbox = append(w.inbox, &JobCancelled{ID: id})
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *world) step() {
	w.now = w.now.Add(worldTick)
	for _, f := range w.workers {
		w.work(f)
	}
	due := w.pending
	w.pending = nil
	for _, p := range due {
		if p.at.After(w.now) {
			w.pending = append(w.pending, p)
			continue
		}
		p.do()
	}
	if w.now.Sub(w.listAt) >= 500*time.Millisecond {
		w.listAt = w.now
		list := &WorkersListed{Advisors: 1}
		for _, f := range w.workers {
			list.Workers = append(list.Workers, f.vm)
		}
		w.inbox = append(w.inbox, list)
	}
	events := w.inbox
	w.inbox = nil
	for _, e := range w.owner.Step(w.now, events) {
		w.carryOut(w.owner, e)
	}
	w.check()
}

func (w *world) after(d time.Duration, do func()) {
	w.pending = append(w.pending, delayed{w.now.Add(d), do})
}

// reply delivers an event to the owner that asked, if it still is one.
func (w *world) reply(owner *Scheduler, d time.Duration, e Event) {
	w.after(d, func() {
		if w.owner == owner {
			w.inbox = append(w.inbox, e)
		}
	})
}

// call carries an order out at a worker, late or without an answer now and then.
func (w *world) call(owner *Scheduler, f *fakeWorker, order func(), answer func(lost bool) Event) {
	const timeout = 900 * time.Millisecond
	carry := func() bool {
		// A worker that starts anew keeps its identifier, so that orders reach the new incarnation.
		if f.cut {
			return false
		}
		order()
		return true
	}
	switch x := w.rnd.Float64(); {
	case x < w.late:
		hold := 2*time.Second + time.Duration(w.rnd.Int64N(int64(10*time.Second)))
		w.after(worldDelay, func() {
			// The worker keeps the order to itself, which ends with its process.
			incarnation := f.vm.Incarnation
			w.after(hold, func() {
				if f.vm.Incarnation == incarnation {
					carry()
				}
			})
		})
		w.reply(owner, timeout, answer(true))
	case x < w.late+w.loss:
		w.after(worldDelay, func() { carry() })
		w.reply(owner, timeout, answer(true))
	default:
		w.after(worldDelay, func() {
			if !carry() {
				w.reply(owner, timeout, answer(true))
				return
			}
			w.reply(owner, worldDelay, answer(false))
		})
	}
}

func (w *world) find(id cluster.WorkerID) *fakeWorker {
	for _, f := range w.workers {
		if f.vm.ID == id {
			return f
		}
	}
	return nil
}

func (w *world) carryOut(owner *Scheduler, e Effect) {
	switch v := e.(type) {
	case *SendStart:
		var reply platform.StartReply
		f := w.find(v.Worker.ID)
		w.call(owner, f, func() { reply = w.start(f, v) }, func(lost bool) Event {
			return &StartAnswered{Fence: v.Order.Fence, Task: v.Task, Run: v.Order.Run, Worker: v.Worker.ID, Lost: lost, Reply: reply}
		})
	case *SendStop:
		var reply platform.StopReply
		f := w.find(v.Worker.ID)
		w.call(owner, f, func() { reply = w.stop(f, v.Order) }, func(lost bool) Event {
			return &StopAnswered{Fence: v.Order.Fence, Task: v.Task, Run: v.Order.Run, Worker: v.Worker.ID, Lost: lost, Reply: reply}
		})
	case *SendHold:
		var reply platform.HoldReply
		f := w.find(v.Worker.ID)
		sent := w.now
		// A hold that waits is answered with the lists of a later moment.
		w.call(owner, f, func() { reply = w.hold(f, v.Order) }, func(lost bool) Event {
			return &HoldAnswered{
				Worker: v.Worker.ID, Fence: v.Order.Fence, Incarnation: v.Worker.Incarnation, Sent: sent, Received: w.now, Lost: lost, Extra: v.Extra, Reply: reply,
			}
		})
	case *AskAdvice:
		w.questions++
		w.longestQuestion = max(w.longestQuestion, len(v.Workers))
		advice := platform.Advice{ValidFor: time.Second}
		for _, id := range v.Workers {
			if w.advise(id) {
				advice.Permits = append(advice.Permits, platform.Permit{Worker: id, Ticket: "ticket"})
			}
		}
		w.after(v.Cost, func() { w.inbox = append(w.inbox, &Advised{Step: v.Step, Received: w.now, Advice: advice}) })
	case *Record:
		w.after(2*worldDelay, func() {
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
				w.recorded = v.Workers
			}
			w.inbox = append(w.inbox, &Recorded{Generation: v.Generation})
		})
	case *SeekShare:
		w.shareWanted[v.Team] = v.Missing
	case *Superseded:
		w.violations = append(w.violations, "an owner without a successor was superseded")
	}
}
