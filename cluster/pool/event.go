package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/fairshare"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Event is an input of Scheduler.Step: one of the types below.
type Event interface{ event() }

// ConfigChanged puts a new configuration into effect.
type ConfigChanged struct{ Snapshot *cluster.Snapshot }

// WorkersListed carries the platform's list of the pool's workers.
type WorkersListed struct {
	Workers []platform.WorkerVM
	// Advisors is the number of daemons that can send advice requests.
	Advisors int
}

// JobAccepted reports a job that is in the store.
type JobAccepted struct {
	Job *workload.Job
	// Progress is the recorded progress of the job; nil if none is recorded.
	Progress *workload.Progress
}

// JobCancelled reports a cancellation that is in the store.
type JobCancelled struct{ ID cluster.JobName }

// EvacuationsChanged carries the evacuated zones, in which no task may start. It follows each read of them, whether or not
// they have changed. After a read that failed for all daemons it repeats the zones that were read last.
type EvacuationsChanged struct {
	Zones []cluster.Zone
	// ReadAt is when the read was sent.
	ReadAt time.Time
}

// MandateChanged reports whether the owner may start tasks and renew leases, see Mandate.
type MandateChanged struct{ Holds bool }

// StartAnswered reports the result of a SendStart effect.
type StartAnswered struct {
	Task   workload.TaskID
	Run    platform.RunNumber
	Worker cluster.WorkerID
	// Fence is the fencing token of the request.
	Fence cluster.Epoch
	Reply platform.StartReply
	// ReplyLost means that no reply was received and the worker may still carry out the request.
	ReplyLost bool
	// NotTried means that the request was not sent, for a reason that is not the worker's.
	NotTried bool
}

// StopAnswered reports the result of a SendStop effect.
type StopAnswered struct {
	Task   workload.TaskID
	Run    platform.RunNumber
	Worker cluster.WorkerID
	// Fence is the fencing token of the request.
	Fence cluster.Epoch
	Reply platform.StopReply
	// ReplyLost means that no reply was received.
	ReplyLost bool
}

// HoldAnswered reports the result of a SendHold effect.
type HoldAnswered struct {
	Worker      cluster.WorkerID
	Incarnation platform.Incarnation
	// SentAt is when the call was made.
	SentAt time.Time
	// ReceivedAt is when the reply arrived.
	ReceivedAt time.Time
	// Fence is the fencing token of the request.
	Fence cluster.Epoch
	Reply platform.HoldReply
	// ReplyLost means that no reply was received.
	ReplyLost bool
	// Extra means that the call was made in addition to the periodic one.
	Extra bool
	// Late means that the call was reported with ReplyLost before the reply arrived.
	Late bool
}

// AdviceAnswered reports the result of a RequestAdvice effect.
type AdviceAnswered struct {
	Step       StepID
	ReceivedAt time.Time
	Advice     platform.Advice
	// Failed means that no advice was received.
	Failed bool
}

// RecordWritten reports that the record of a generation is in the store.
type RecordWritten struct{ Generation uint64 }

// JobsDeleted reports the result of deleting the rows of the jobs in WriteRecord.Expired.
type JobsDeleted struct {
	// Deleted are the jobs of which no row is left.
	Deleted []cluster.JobName
	// Remaining are the jobs of which rows may be left.
	Remaining []cluster.JobName
}

// SharesChanged sets the shares of the teams' limits that this shard may use, in units of WholeLimit. A team
// that is missing has an equal share.
type SharesChanged struct{ Shares map[cluster.TeamName]int }

// UsageRead carries the past use of the teams as stored by the owners of the shards. The first one adds the use in this
// shard; each replaces that in the other shards.
type UsageRead struct {
	// Own was stored by the previous owner of this shard; it is empty if there is none.
	Own fairshare.Snapshot
	// Others were stored by the owners of the other shards.
	Others []fairshare.Snapshot
}

func (*ConfigChanged) event()      {}
func (*SharesChanged) event()      {}
func (*WorkersListed) event()      {}
func (*JobAccepted) event()        {}
func (*JobCancelled) event()       {}
func (*StartAnswered) event()      {}
func (*StopAnswered) event()       {}
func (*HoldAnswered) event()       {}
func (*AdviceAnswered) event()     {}
func (*RecordWritten) event()      {}
func (*JobsDeleted) event()        {}
func (*MandateChanged) event()     {}
func (*EvacuationsChanged) event() {}
func (*UsageRead) event()          {}

// Effect is an action that the caller of Scheduler.Step carries out: one of the types below.
type Effect interface{ effect() }

// SendStart asks a worker to start a run.
type SendStart struct {
	Worker  platform.WorkerVM
	Task    workload.TaskID
	Request platform.StartRequest
}

// SendStop asks a worker to stop a run.
type SendStop struct {
	Worker  platform.WorkerVM
	Task    workload.TaskID
	Request platform.StopRequest
}

// SendHold renews a worker's leases and asks for its running and ended runs.
type SendHold struct {
	Worker  platform.WorkerVM
	Request platform.HoldRequest
	// Extra is returned in HoldAnswered.Extra.
	Extra bool
}

// RequestAdvice asks which workers may run a step.
type RequestAdvice struct {
	Step    StepID
	Workers []cluster.WorkerID
	// ResponseTime is the expected response time.
	ResponseTime time.Duration
}

// WriteRecord writes changed state to the store in one transaction.
type WriteRecord struct {
	// Generation is returned in RecordWritten.Generation.
	Generation uint64
	Progress   []JobProgress
	// Workers replaces the recorded workers; nil leaves them unchanged.
	Workers []RecordedWorker
	// Expired are the jobs whose rows can be deleted once the record is written; JobsDeleted reports the result.
	Expired []cluster.JobName
}

// JobProgress is the encoded progress of a job.
type JobProgress struct {
	ID   cluster.JobName
	Data []byte
}

// RequestShare asks the other shards for a part of their shares of a team's limit.
type RequestShare struct {
	Team cluster.TeamName
	// Missing is the missing share in units of WholeLimit.
	Missing int
	// ReleaseTime is the release time of the step that needs the share; the step that was released first takes
	// precedence.
	ReleaseTime time.Time
}

// WriteUsage stores the past use of the teams in this shard. It is emitted only after the first UsageRead.
type WriteUsage struct{ Usage fairshare.Snapshot }

// Superseded reports that a worker has accepted the fencing token of a later owner.
type Superseded struct{ Worker cluster.WorkerID }

func (*SendStart) effect()     {}
func (*SendStop) effect()      {}
func (*SendHold) effect()      {}
func (*RequestAdvice) effect() {}
func (*WriteRecord) effect()   {}
func (*RequestShare) effect()  {}
func (*WriteUsage) effect()    {}
func (*Superseded) effect()    {}

// StepID identifies a step of an occurrence of a job.
type StepID struct {
	Job        cluster.JobName
	Occurrence int
	Step       int
}
