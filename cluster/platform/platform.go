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
	// Commit applies all of a transaction or nothing; an Error of kind
	// Conflict or Unavailable means nothing, of kind Unknown either.
	Commit(ctx context.Context, txn Txn) (cluster.Version, error)
}

// ReadRequest selects the rows with the given keys and those under the prefixes.
type ReadRequest struct {
	Keys     []string
	Prefixes []string
	// SinceVersion leaves out rows that were last written at or before it; deleted rows after it are returned with Deleted set.
	// Zero asks for all rows and no deleted ones. A version older than the deleted rows kept gives an Error of kind Expired.
	SinceVersion cluster.Version
	// Wait is how long the answer may wait for the first change after SinceVersion; zero answers at once.
	Wait time.Duration
}

// ReadReply is a consistent view of the selected rows.
type ReadReply struct {
	Rows []Row
	// AsOf is the commit number of the view.
	AsOf cluster.Version
}

// Row is one row of the table service.
type Row struct {
	Key     string          `msgpack:"Key"`
	Value   []byte          `msgpack:"Value"`
	Version cluster.Version `msgpack:"Version"`
	Deleted bool            `msgpack:"Deleted"`
}

// Txn is a transaction: it applies if every check holds.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// Check requires a row to have a version; version 0 requires it to be absent.
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
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an Error of kind NotFound if there is no such object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMLister returns the platform's list of VMs, which lags behind the truth.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Role is what a VM is for.
type Role string

// Roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
	RoleRunner Role = "runner"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID    string
	Role  Role
	Place cluster.Place
	// Addr is the address of a runner's HTTP server or of an entry VM's peer port; a worker has none.
	Addr netip.AddrPort
	// Leaving says that the VM is about to go and takes no new work.
	Leaving bool
	// Rack and Capacity are set for workers.
	Rack     cluster.RackID
	Capacity cluster.Resources
	// Service, Slots and Connections are set for runners.
	Service     cluster.ServiceName
	Slots       int
	Connections int
}

// RackService reaches the workers of a rack.
type RackService interface {
	// Exchange renews the leases held under the request's epoch, runs the
	// commands in order and returns what changed since the cursor.
	Exchange(ctx context.Context, req ExchangeRequest) (ExchangeReply, error)
}

// ExchangeRequest is one batch to all workers of a rack.
type ExchangeRequest struct {
	Rack  cluster.RackID
	Owner cluster.DaemonID
	// Epoch fences: a worker that has seen a higher one refuses the request.
	Epoch cluster.Epoch
	// Since is the cursor of the last reply; zero asks for everything.
	Since uint64
	// Lease is how long tasks may go on without another exchange.
	Lease    time.Duration
	Commands []Command
}

// Command is an order to a worker: a *StartTask, *StopTask, *CheckpointTask,
// *ThrottleTask or *AcknowledgeResult.
type Command interface{ command() }

// StartTask starts an attempt on a worker; a repeat of a known attempt is refused.
type StartTask struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
	Size    cluster.Resources
	Command []string
	// Resume asks for the last checkpoint to be continued.
	Resume bool
}

// StopTask stops an attempt.
type StopTask struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
}

// CheckpointTask saves an attempt's state and ends it with OutcomeCheckpointed.
type CheckpointTask struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
}

// ThrottleTask limits an attempt to a part of its processors.
type ThrottleTask struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
	CPU     cluster.CPU
}

// AcknowledgeResult lets the worker forget the result of an attempt.
type AcknowledgeResult struct {
	Worker  cluster.WorkerID
	Attempt cluster.AttemptID
}

func (*StartTask) command()         {}
func (*StopTask) command()          {}
func (*CheckpointTask) command()    {}
func (*ThrottleTask) command()      {}
func (*AcknowledgeResult) command() {}

// ExchangeReply is what changed at the workers of a rack since the request's cursor.
type ExchangeReply struct {
	Cursor  uint64
	Workers []WorkerReport
	// Results has one entry per command, in order.
	Results []CommandResult
}

// CommandResult is the outcome of one command.
type CommandResult int

// Outcomes of a command.
const (
	CommandDone CommandResult = iota
	// CommandStaleEpoch says that the worker has seen a higher epoch.
	CommandStaleEpoch
	// CommandUnreachable says that the worker did not answer; the command may have run.
	CommandUnreachable
	// CommandKnown says that the worker knows this attempt already.
	CommandKnown
	// CommandNoCapacity says that the worker has too little left.
	CommandNoCapacity
	// CommandNoTask says that the attempt is not on the worker.
	CommandNoTask
)

// WorkerReport is the state of one worker.
type WorkerReport struct {
	Worker   cluster.WorkerID
	Capacity cluster.Resources
	Place    cluster.Place
	// Reachable is false if the rack's switch can't reach the worker; the other fields are then as last seen.
	Reachable bool
	// Epoch is the highest epoch the worker has seen.
	Epoch cluster.Epoch
	// Running holds every running attempt of the worker.
	Running []RunningTask
	// Ended holds every result not yet acknowledged.
	Ended []EndedTask
}

// RunningTask is an attempt that runs on a worker.
type RunningTask struct {
	Attempt cluster.AttemptID
	Size    cluster.Resources
	// Usage is the measured use, which lags.
	Usage cluster.Resources
	// Age is the time since the start.
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
	// OutcomeLeaseLapsed says that the worker stopped the attempt because its lease ran out.
	OutcomeLeaseLapsed
)

// EndedTask is the result of an attempt.
type EndedTask struct {
	Attempt cluster.AttemptID
	Outcome Outcome
	// Peak is the largest measured use.
	Peak    cluster.Resources
	RunTime time.Duration
}
