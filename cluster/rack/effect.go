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

// ReadRows reads rows from the table service; a RowsRead event returns the reply.
type ReadRows struct {
	Token   Token
	Request platform.ReadRequest
}

// Commit commits a change through the journal; a CommitDone event returns the result.
type Commit struct {
	Token  Token
	Change journal.Change
}

// Exchange calls the rack service; an ExchangeDone event returns the reply.
type Exchange struct {
	Token   Token
	Request platform.ExchangeRequest
}

// Send sends a message to another daemon; delivery is not guaranteed.
type Send struct {
	To      cluster.DaemonID
	Message peer.Message
}

// Outcome is the result of a submission or a cancellation.
type Outcome int

// Outcomes.
const (
	// Accepted means that the request is recorded durably.
	Accepted Outcome = iota
	// Duplicate means that a job with this identifier and the same specification is recorded already,
	// or that the job to cancel has ended already.
	Duplicate
	// Refused means that the request was not carried out and that a retry would be refused too.
	Refused
	// Unavailable means that the request was not carried out and that a retry may succeed.
	Unavailable
	// Unknown means that the request may have been recorded; a retry with the same identifier is safe.
	Unknown
	// NotFound means that there is no such job.
	NotFound
)

var outcomeNames = [...]string{"accepted", "duplicate", "refused", "unavailable", "unknown", "not found"}

// String returns the outcome in lower case.
func (o Outcome) String() string { return outcomeNames[o] }

// SubmitResult is the result of a Submit.
type SubmitResult struct {
	Token   Token
	Job     cluster.JobID
	Outcome Outcome
	// Reason explains why a job was not accepted.
	Reason string
}

// CancelResult is the result of a Cancel; Outcomes has one entry per job, in order:
// Accepted, Duplicate for a job that had ended, NotFound, Unavailable or Unknown.
type CancelResult struct {
	Token    Token
	Outcomes []Outcome
}

// Drained reports that the daemon has handed over all its racks.
type Drained struct{}

func (*ReadRows) effect()     {}
func (*Commit) effect()       {}
func (*Exchange) effect()     {}
func (*Send) effect()         {}
func (*SubmitResult) effect() {}
func (*CancelResult) effect() {}
func (*Drained) effect()      {}
