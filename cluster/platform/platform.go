package platform

import (
	"context"
	"net/netip"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// TableService is the platform's transactional table service.
type TableService interface {
	// Read returns the rows that the request selects, ordered by key.
	Read(ctx context.Context, req ReadRequest) (ReadReply, error)
	// Commit applies a transaction atomically and returns its version. After
	// an Error of kind KindUnknown the transaction may or may not have been
	// applied; after any other error nothing was applied.
	Commit(ctx context.Context, txn Txn) (cluster.Version, error)
}

// TransferObserver is implemented by a TableService that can tell whether a reply is arriving.
type TransferObserver interface {
	// LastReceived returns when a part of a successful reply last arrived; zero if none has.
	LastReceived() time.Time
}

// ReadRequest selects the rows with the given keys and those whose keys have one of the prefixes.
type ReadRequest struct {
	Keys     []string
	Prefixes []string
	// SinceVersion restricts the reply to rows that were written or deleted
	// after that version; deleted rows are returned with Deleted set. Zero
	// requests all rows without deleted ones. A version so old that later
	// deletes are no longer stored gives an Error of kind KindExpired.
	SinceVersion cluster.Version
	// Wait is how long the service may delay the reply until there is a change
	// after SinceVersion; zero requests an immediate reply.
	Wait time.Duration
}

// ReadReply is a consistent view of the selected rows.
type ReadReply struct {
	Rows []Row
	// AsOf is the version of the last commit that the view includes.
	AsOf cluster.Version
}

// Row is one row of the table service.
type Row struct {
	Key     string          `msgpack:"Key"`
	Value   []byte          `msgpack:"Value"`
	Version cluster.Version `msgpack:"Version"`
	Deleted bool            `msgpack:"Deleted"`
}

// Txn is a transaction, which is applied only if every check holds.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// Check requires a row to have the given version; version 0 requires that the row doesn't exist.
type Check struct {
	Key     string          `msgpack:"Key"`
	Version cluster.Version `msgpack:"Version"`
}

// Put writes a row.
type Put struct {
	Key   string `msgpack:"Key"`
	Value []byte `msgpack:"Value"`
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an Error of kind KindNotFound if there is no such object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMLister returns the platform's list of VMs, which shows changes only after a delay.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Role is the purpose of a VM.
type Role string

// Roles of VMs.
const (
	// RoleEntry VMs run the scheduler's daemon.
	RoleEntry Role = "entry"
	// RoleWorker VMs run the tasks of jobs.
	RoleWorker Role = "worker"
	// RoleRunner VMs serve the HTTP requests of a service.
	RoleRunner Role = "runner"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID    string
	Role  Role
	Place cluster.Place
	// Addr is the address of a runner's HTTP server or of an entry VM's peer port; a worker has none.
	Addr netip.AddrPort
	// Leaving means that the VM will be removed soon and accepts no new work.
	Leaving bool
	// Rack and Capacity are set for workers.
	Rack     cluster.RackID
	Capacity cluster.Resources
	// Service, Slots and Connections are set for runners. Slots limits the
	// requests that a runner executes at the same time, Connections its open
	// connections.
	Service     cluster.ServiceName
	Slots       int
	Connections int
}

// RackService sends commands to the workers of a rack and reads their state.
type RackService interface {
	// Exchange renews the leases of the tasks on all workers that accept the
	// request's epoch, executes the commands in order and returns the workers
	// that changed since the cursor.
	Exchange(ctx context.Context, req ExchangeRequest) (ExchangeReply, error)
}

// ExchangeRequest is one batch of commands to the workers of a rack.
type ExchangeRequest struct {
	Rack  cluster.RackID
	Owner cluster.DaemonID
	// Epoch is the fencing token: a worker that has seen a higher one rejects the request.
	Epoch cluster.Epoch
	// Since is the cursor of the last reply; zero requests the state of all workers.
	Since uint64
	// Lease is how long tasks may continue to run without another exchange.
	Lease    time.Duration
	Commands []Command
}

// Command is a command to a worker: a *StartTask, *StopTask, *CheckpointTask,
// *ThrottleTask or *AcknowledgeResult.
type Command interface{ command() }

// StartTask starts an attempt on a worker. The worker refuses an attempt that it
// knows already, so a repeated command doesn't start it twice.
type StartTask struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
	Size    cluster.Resources
	Command []string
	// Resume starts the attempt from the last checkpoint of the task.
	Resume bool
}

// StopTask stops an attempt.
type StopTask struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
}

// CheckpointTask saves the state of an attempt and ends it with OutcomeCheckpointed.
type CheckpointTask struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
}

// ThrottleTask limits an attempt to a part of its CPUs.
type ThrottleTask struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
	CPU     cluster.CPU
}

// AcknowledgeResult lets the worker discard the result of an attempt.
type AcknowledgeResult struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
}

func (*StartTask) command()         {}
func (*StopTask) command()          {}
func (*CheckpointTask) command()    {}
func (*ThrottleTask) command()      {}
func (*AcknowledgeResult) command() {}

// ExchangeReply holds the workers of a rack that changed since the request's
// cursor and the results of its commands.
type ExchangeReply struct {
	// Cursor is the value of Since for the next request.
	Cursor  uint64
	Workers []WorkerReport
	// Results has one entry per command, in order.
	Results []CommandResult
}

// CommandResult is the result of one command.
type CommandResult int

// Results of a command.
const (
	// CommandDone means that the worker has executed the command.
	CommandDone CommandResult = iota
	// CommandStaleEpoch means that the worker has seen a higher epoch.
	CommandStaleEpoch
	// CommandUnreachable means that the worker did not reply; the command may have been executed.
	CommandUnreachable
	// CommandAttemptKnown means that the worker knows this attempt or a later one of the task already.
	CommandAttemptKnown
	// CommandNoCapacity means that the worker's free capacity is too small.
	CommandNoCapacity
	// CommandNoTask means that the attempt is not on the worker.
	CommandNoTask
)

// WorkerReport is the state of one worker.
type WorkerReport struct {
	Worker   cluster.WorkerID
	Capacity cluster.Resources
	Place    cluster.Place
	// Reachable is false if the rack's switch can't reach the worker; the other
	// fields then hold the last known state.
	Reachable bool
	// Epoch is the highest epoch the worker has seen.
	Epoch cluster.Epoch
	// Running holds every running attempt of the worker.
	Running []RunningTask
	// Ended holds every result that has not been acknowledged.
	Ended []EndedTask
}

// RunningTask is an attempt that runs on a worker.
type RunningTask struct {
	Attempt cluster.AttemptID
	// Size is the size of the attempt, with less CPU while it is throttled.
	Size cluster.Resources
	// Usage is the measured resource usage, which is reported with a delay.
	Usage cluster.Resources
	// Age is the time since the attempt started.
	Age time.Duration
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	OutcomeSucceeded Outcome = iota
	OutcomeFailed
	OutcomeStopped
	OutcomeCheckpointed
	// OutcomeLeaseExpired means that the worker stopped the attempt because its lease expired.
	OutcomeLeaseExpired
)

// EndedTask is the result of an attempt.
type EndedTask struct {
	Attempt cluster.AttemptID
	Outcome Outcome
	// Peak is the highest measured resource usage.
	Peak cluster.Resources
	// RunTime is the time from the start to the end of the attempt.
	RunTime time.Duration
}
