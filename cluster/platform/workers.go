package platform

import (
	"context"
	"net/netip"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Incarnation is the start of a worker in Unix milliseconds; it tells two lives of one worker apart.
type Incarnation int64

// RunNumber numbers the starts of a task; it only grows.
type RunNumber uint64

// WorkerVM is an entry of the platform's list of workers.
type WorkerVM struct {
	ID      cluster.WorkerID
	Service cluster.ServiceName
	Addr    netip.AddrPort
	Zone    cluster.Zone
	// Draining says that the worker is about to leave and takes no new task.
	Draining    bool
	Incarnation Incarnation
	Capacity    cluster.Resources
	// Labels hold the worker's kind and its rack.
	Labels []string
}

// Rack returns the label that names the worker's rack; the other label is its kind.
func (w *WorkerVM) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// WorkerLister reads the platform's list of workers.
type WorkerLister interface {
	// ListWorkers leaves out the entries that can't be read.
	ListWorkers(ctx context.Context) ([]WorkerVM, error)
}

// WorkerService sends orders to single workers. Each worker refuses a fence
// number below the highest one that it has seen.
type WorkerService interface {
	// StartTask returns an Error of kind Unknown if the order may still be carried out.
	StartTask(ctx context.Context, w WorkerVM, o StartOrder) (StartReply, error)
	StopTask(ctx context.Context, w WorkerVM, o StopOrder) (StopReply, error)
	// Hold renews the leases of everything on the worker and returns what runs and what has ended.
	Hold(ctx context.Context, w WorkerVM, o HoldOrder) (HoldReply, error)
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Task  string
	Run   RunNumber
	Fence cluster.Epoch
	// Spec is what the caller handed in, passed on unread.
	Spec string
	// Until is the end of the lease on the worker's clock.
	Until time.Duration
	// Checkpoint is what the run resumes from; empty starts from the beginning.
	Checkpoint string
	// Ticket is the permission of the queue's policy; empty if the queue has none.
	Ticket string
}

// StartRefusal says why a worker did not start a run.
type StartRefusal int

// Refusals of a start; in each case the run does not start later.
const (
	// StartAccepted is no refusal: the run is there.
	StartAccepted StartRefusal = iota
	// RefusedFence says that the worker has seen a higher fencing token.
	RefusedFence
	// RefusedOld says that a run with this number or a higher one has ended there.
	RefusedOld
	// RefusedLate says that the order's lease had ended on the worker's clock.
	RefusedLate
	// RefusedRoom says that the task does not fit.
	RefusedRoom
	// RefusedTicket says that the ticket is missing or no longer valid.
	RefusedTicket
	// RefusedUnhealthy says that the worker does not take work now.
	RefusedUnhealthy
	// RefusedIncarnation says that the worker has started anew since the order was made.
	RefusedIncarnation
	// RefusedInvalid says that the worker can't read the order.
	RefusedInvalid
	// StartRefusals is the number of values.
	StartRefusals
)

var startRefusalNames = [...]string{"accepted", "fence", "old", "late", "room", "ticket", "unhealthy", "incarnation", "invalid"}

// String returns the refusal's name.
func (r StartRefusal) String() string { return startRefusalNames[r] }

// StartReply answers a StartOrder.
type StartReply struct {
	Refusal StartRefusal
	// Clock is the worker's clock; zero if it was not told.
	Clock time.Duration
}

// StopOrder stops a run, or rules out that it starts later.
type StopOrder struct {
	Task  string
	Run   RunNumber
	Fence cluster.Epoch
}

// StopReply answers a StopOrder.
type StopReply struct {
	// Fenced says that the worker has seen a higher fencing token.
	Fenced bool
	// Rebooted says that the worker has started anew since it was listed.
	Rebooted bool
}

// HoldOrder renews leases and asks for the worker's lists.
type HoldOrder struct {
	Fence cluster.Epoch
	// Until is the end of the lease on the worker's clock; zero renews nothing.
	Until time.Duration
	// Acknowledge lets the worker forget the ends up to this number.
	Acknowledge uint64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// HoldReply lists what a worker runs and what has ended there.
type HoldReply struct {
	Fenced      bool
	Rebooted    bool
	Incarnation Incarnation
	Clock       time.Duration
	Running     []TaskRun
	Ended       []RunEnd
}

// TaskRun is a run on a worker.
type TaskRun struct {
	Task       string
	Run        RunNumber
	Checkpoint string
	// Percent is the progress of the run.
	Percent int
}

// RunOutcome is how a run ended.
type RunOutcome int

// Outcomes of a run.
const (
	RunDone RunOutcome = iota
	RunFailed
	RunStopped
	RunLapsed
	// RunBroken says that another member of the gang ended.
	RunBroken
	// RunAlone says that the other members of the gang did not arrive in time.
	RunAlone
	// RunOutcomes is the number of outcomes.
	RunOutcomes
)

var runOutcomeNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the outcome's name.
func (o RunOutcome) String() string { return runOutcomeNames[o] }

// ParseRunOutcome returns the outcome of a name, and false for an unknown one.
func ParseRunOutcome(name string) (RunOutcome, bool) {
	for i, n := range runOutcomeNames {
		if n == name {
			return RunOutcome(i), true
		}
	}
	return 0, false
}

// RunEnd is the end of a run that the worker keeps until it is acknowledged.
type RunEnd struct {
	// Number counts the ends of one incarnation, from 1.
	Number     uint64
	Task       string
	Run        RunNumber
	Outcome    RunOutcome
	Checkpoint string
}

// AdviceService tells on which workers the policy of a queue lets a step run.
type AdviceService interface {
	Advise(ctx context.Context, step string, workers []cluster.WorkerID) (Advice, error)
}

// Advice lists the workers that may run a step.
type Advice struct {
	Permits []Permit
	// ValidFor is how long the tickets hold.
	ValidFor time.Duration
}

// Permit is the ticket for a worker.
type Permit struct {
	Worker cluster.WorkerID
	Ticket string
}
