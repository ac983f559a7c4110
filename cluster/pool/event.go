package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Event is something that has happened: one of the types below.
type Event interface{ event() }

// ConfigChanged brings a new configuration into force.
type ConfigChanged struct{ Snapshot *cluster.Snapshot }

// WorkersListed is the platform's list of the pool's workers.
type WorkersListed struct {
	Workers []platform.WorkerVM
	// Advisors is the number of daemons through which advice can be asked.
	Advisors int
}

// JobAccepted is a job that is in the store.
type JobAccepted struct {
	Job *workload.Job
	// Progress is what is recorded of the job; nil if nothing is.
	Progress *workload.Progress
}

// JobCancelled is a cancellation that is in the store.
type JobCancelled struct{ ID cluster.JobName }

// StartAnswered is the end of a SendStart.
type StartAnswered struct {
	Task   workload.TaskID
	Run    platform.RunNumber
	Worker cluster.WorkerID
	// Fence is that of the order.
	Fence cluster.Epoch
	Reply platform.StartReply
	// Lost says that the order may still be carried out.
	Lost bool
}

// StopAnswered is the end of a SendStop.
type StopAnswered struct {
	Task   workload.TaskID
	Run    platform.RunNumber
	Worker cluster.WorkerID
	// Fence is that of the order.
	Fence cluster.Epoch
	Reply platform.StopReply
	Lost  bool
}

// HoldAnswered is the end of a SendHold.
type HoldAnswered struct {
	Worker      cluster.WorkerID
	Incarnation platform.Incarnation
	Sent        time.Time
	// Received is when the answer arrived.
	Received time.Time
	// Fence is that of the order.
	Fence cluster.Epoch
	Reply platform.HoldReply
	Lost  bool
	// Extra says that the call was made beside the regular one.
	Extra bool
}

// Advised is the end of an AskAdvice.
type Advised struct {
	Step     StepID
	Received time.Time
	Advice   platform.Advice
	Failed   bool
}

// Recorded says that a Record is in the store.
type Recorded struct{ Generation uint64 }

// SharesChanged says which parts of the limits of teams this shard may use, in
// units of WholeLimit. A team that is missing has an equal share.
type SharesChanged struct{ Shares map[cluster.TeamName]int }

func (*ConfigChanged) event() {}
func (*SharesChanged) event() {}
func (*WorkersListed) event() {}
func (*JobAccepted) event()   {}
func (*JobCancelled) event()  {}
func (*StartAnswered) event() {}
func (*StopAnswered) event()  {}
func (*HoldAnswered) event()  {}
func (*Advised) event()       {}
func (*Recorded) event()      {}

// Effect is something to do: one of the types below.
type Effect interface{ effect() }

// SendStart orders a worker to start a run.
type SendStart struct {
	Worker platform.WorkerVM
	Task   workload.TaskID
	Order  platform.StartOrder
}

// SendStop orders a worker to stop a run.
type SendStop struct {
	Worker platform.WorkerVM
	Task   workload.TaskID
	Order  platform.StopOrder
}

// SendHold renews a worker's leases and asks for its lists.
type SendHold struct {
	Worker platform.WorkerVM
	Order  platform.HoldOrder
	Extra  bool
}

// AskAdvice asks which workers may run a step.
type AskAdvice struct {
	Step    StepID
	Workers []cluster.WorkerID
	// Cost is the time that the answer is expected to take.
	Cost time.Duration
}

// Record puts what has changed into the store, all or nothing.
type Record struct {
	Generation uint64
	Progress   []JobProgress
	// Workers replaces the recorded workers; nil leaves them as they are.
	Workers []RecordedWorker
	// Expired are the jobs whose rows are no longer needed.
	Expired []cluster.JobName
}

// JobProgress is the recorded progress of a job.
type JobProgress struct {
	ID   cluster.JobName
	Data []byte
}

// SeekShare asks the other shards for parts of a team's limit.
type SeekShare struct {
	Team cluster.TeamName
	// Missing is the number of parts in units of WholeLimit.
	Missing int
	// Since is when the step that needs them began to wait.
	Since time.Time
}

// Superseded says that a worker has seen the fencing token of a later owner.
type Superseded struct{ Worker cluster.WorkerID }

func (*SendStart) effect()  {}
func (*SendStop) effect()   {}
func (*SendHold) effect()   {}
func (*AskAdvice) effect()  {}
func (*Record) effect()     {}
func (*SeekShare) effect()  {}
func (*Superseded) effect() {}

// StepID identifies a step of an occurrence of a job.
type StepID struct {
	Job        cluster.JobName
	Occurrence int
	Step       int
}
