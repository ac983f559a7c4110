package platform

import (
	"context"
	"net/netip"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Incarnation is the start time of a worker in Unix milliseconds. It changes
// whenever the worker restarts.
type Incarnation int64

// RunNumber numbers the runs of a task in increasing order.
type RunNumber uint64

// WorkerVM is an entry of the platform's list of workers.
type WorkerVM struct {
	ID      cluster.WorkerID
	Service cluster.ServiceName
	Addr    netip.AddrPort
	Zone    cluster.Zone
	// Draining means that the worker will be removed soon and accepts no new tasks.
	Draining    bool
	Incarnation Incarnation
	// Capacity has no negative component, and the sum over all workers does not overflow.
	Capacity cluster.Resources
	// Labels holds the worker's kind and its rack.
	Labels []string
	// EntryVersion changes with each heartbeat of the worker; zero if the list does not tell.
	EntryVersion cluster.Version
}

// Rack returns the last label, which is the ID of the worker's rack; the label
// before it is the worker's kind. Without labels the result is empty.
func (w *WorkerVM) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// WorkerLister reads the platform's list of workers.
type WorkerLister interface {
	// ListWorkers returns the list without the entries that can't be decoded.
	ListWorkers(ctx context.Context) ([]WorkerVM, error)
}

// WorkerService sends requests to individual workers. A worker rejects a request
// whose fencing token is lower than the highest one that it has seen.
type WorkerService interface {
	// StartTask starts a run. It returns an Error of kind KindUnknown if the
	// worker may still execute the request.
	StartTask(ctx context.Context, w WorkerVM, req StartRequest) (StartReply, error)
	// StopTask stops a run, or prevents that it starts later.
	StopTask(ctx context.Context, w WorkerVM, req StopRequest) (StopReply, error)
	// Hold renews the leases of all runs on the worker and returns the active
	// runs and the ended ones that are not acknowledged.
	Hold(ctx context.Context, w WorkerVM, req HoldRequest) (HoldReply, error)
}

// StartRequest is a request to start one run of a task.
type StartRequest struct {
	Task string
	Run  RunNumber
	// Fence is the sender's fencing token.
	Fence cluster.Epoch
	// Spec is the specification of the task as the client submitted it; it is passed on without being parsed.
	Spec string
	// Until is the end of the lease on the worker's clock.
	Until time.Duration
	// Checkpoint is the checkpoint to resume from; empty starts from the beginning.
	Checkpoint string
	// Ticket is the permission issued by the queue's policy; empty if the queue has no policy.
	Ticket string
}

// StartRefusal is the reason why a worker refused to start a run.
type StartRefusal int

// Reasons for refusing a start request. A refused run doesn't start later.
const (
	// StartAccepted means that the request was not refused: the worker has the run.
	StartAccepted StartRefusal = iota
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence
	// RefusedStaleRun means that a run of the task with this number or a higher one has ended on the worker.
	RefusedStaleRun
	// RefusedLeaseExpired means that the lease of the request had expired on the worker's clock.
	RefusedLeaseExpired
	// RefusedNoCapacity means that the task doesn't fit into the worker's free capacity.
	RefusedNoCapacity
	// RefusedTicket means that the ticket is missing or no longer valid.
	RefusedTicket
	// RefusedUnhealthy means that the worker currently accepts no work.
	RefusedUnhealthy
	// RefusedIncarnation means that the worker has restarted since the request was created.
	RefusedIncarnation
	// RefusedInvalid means that the worker can't decode the request.
	RefusedInvalid
	// NumStartRefusals is the number of StartRefusal values.
	NumStartRefusals
)

var startRefusalNames = [...]string{"accepted", "fence", "old", "late", "room", "ticket", "unhealthy", "incarnation", "invalid"}

// String returns the name of the refusal.
func (r StartRefusal) String() string { return startRefusalNames[r] }

// StartReply is the reply to a StartRequest.
type StartReply struct {
	Refusal StartRefusal
	// Clock is the time on the worker's clock; zero if the reply doesn't contain it.
	Clock time.Duration
}

// StopRequest is a request to stop a run, or to prevent that it starts later.
type StopRequest struct {
	Task string
	Run  RunNumber
	// Fence is the sender's fencing token.
	Fence cluster.Epoch
}

// StopReply is the reply to a StopRequest.
type StopReply struct {
	// Fenced means that the worker has seen a higher fencing token.
	Fenced bool
	// Restarted means that the worker has restarted since its entry in the list of workers was made.
	Restarted bool
}

// HoldRequest is a request to renew the leases on a worker and to return its runs.
type HoldRequest struct {
	// Fence is the sender's fencing token.
	Fence cluster.Epoch
	// Until is the new end of the leases on the worker's clock; zero renews none.
	Until time.Duration
	// Acknowledge lets the worker discard the ended runs up to this RunEnd.Number.
	Acknowledge uint64
	// Wait is how long the worker may delay the reply until a run ends.
	Wait time.Duration
}

// HoldReply lists the active and the ended runs of a worker.
type HoldReply struct {
	// Fenced and Restarted are as in StopReply.
	Fenced      bool
	Restarted   bool
	Incarnation Incarnation
	// Clock is the time on the worker's clock.
	Clock   time.Duration
	Running []TaskRun
	// Ended holds the ended runs that are not acknowledged, the oldest first. MoreEnds means that it may be cut: a run that
	// is in neither list may have ended after the last one in Ended.
	Ended    []RunEnd
	MoreEnds bool
}

// TaskRun is an active run on a worker.
type TaskRun struct {
	Task string
	Run  RunNumber
	// Checkpoint is the last checkpoint of the run; empty if it has none.
	Checkpoint string
	// Percent is the progress of the run from 0 to 100.
	Percent int
}

// RunOutcome is how a run ended.
type RunOutcome int

// Outcomes of a run.
const (
	RunDone RunOutcome = iota
	RunFailed
	RunStopped
	// RunLeaseExpired means that the worker stopped the run because its lease expired.
	RunLeaseExpired
	// RunGangBroken means that another member of the run's gang ended.
	RunGangBroken
	// RunGangIncomplete means that the other members of the run's gang did not start in time.
	RunGangIncomplete
	// NumRunOutcomes is the number of RunOutcome values.
	NumRunOutcomes
)

var runOutcomeNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the outcome.
func (o RunOutcome) String() string { return runOutcomeNames[o] }

// ParseRunOutcome returns the outcome with the given name, or false if there is none.
func ParseRunOutcome(name string) (RunOutcome, bool) {
	for i, n := range runOutcomeNames {
		if n == name {
			return RunOutcome(i), true
		}
	}
	return 0, false
}

// RunEnd is the result of a run, which the worker stores until it is acknowledged.
type RunEnd struct {
	// Number numbers the ended runs of one incarnation of the worker, from 1.
	Number  uint64
	Task    string
	Run     RunNumber
	Outcome RunOutcome
	// Checkpoint is the last checkpoint of the run; empty if it has none.
	Checkpoint string
}

// AdviceService returns the workers on which the policy of a queue allows a step to run.
type AdviceService interface {
	// Advise returns the subset of the workers that may run the step, with a ticket for each.
	Advise(ctx context.Context, step string, workers []cluster.WorkerID) (Advice, error)
}

// Advice lists the workers that may run a step.
type Advice struct {
	Permits []Permit
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
}

// Permit is the ticket that allows a step to run on a worker.
type Permit struct {
	Worker cluster.WorkerID
	Ticket string
}
