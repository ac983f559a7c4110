package rack

import (
	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Effect is an output of Controller.Step: a *ReadRows, *Commit, *Exchange,
// *Send, *SubmitResult, *CancelResult or *Drained.
type Effect interface{ effect() }

// ReadRows reads the table service and is answered by a RowsRead.
type ReadRows struct {
	Token   Token
	Request platform.ReadRequest
}

// Commit commits a change through the journal and is answered by a CommitDone.
type Commit struct {
	Token  Token
	Change journal.Change
}

// Exchange calls the rack service and is answered by an ExchangeDone.
type Exchange struct {
	Token   Token
	Request platform.ExchangeRequest
}

// Send sends a message to another daemon; it may be lost.
type Send struct {
	To      cluster.DaemonID
	Message peer.Message
}

// Outcome is what became of a submission or a cancellation.
type Outcome int

// Outcomes.
const (
	// Accepted says that the request is recorded durably.
	Accepted Outcome = iota
	// Duplicate says that a job with this id and the same specification was recorded before.
	Duplicate
	// Refused says that the request was not run and that a repeat can't help.
	Refused
	// Unavailable says that the request was not run and that a repeat may help.
	Unavailable
	// Unknown says that the request may have been recorded; a repeat with the same id is safe.
	Unknown
	// NotFound says that there is no such job.
	NotFound
)

var outcomeNames = [...]string{"accepted", "duplicate", "refused", "unavailable", "unknown", "not found"}

// String returns the outcome in lower case.
func (o Outcome) String() string { return outcomeNames[o] }

// SubmitResult answers a Submit.
type SubmitResult struct {
	Token   Token
	Job     cluster.JobID
	Outcome Outcome
	// Reason says in words why a job was not accepted.
	Reason string
}

// CancelResult answers a Cancel; Outcomes has one entry per job, in order:
// Accepted, Duplicate for a job that had ended, NotFound, Unavailable or Unknown.
type CancelResult struct {
	Token    Token
	Outcomes []Outcome
}

// Drained says that the daemon owns no rack any more.
type Drained struct{}

func (*ReadRows) effect()     {}
func (*Commit) effect()       {}
func (*Exchange) effect()     {}
func (*Send) effect()         {}
func (*SubmitResult) effect() {}
func (*CancelResult) effect() {}
func (*Drained) effect()      {}
