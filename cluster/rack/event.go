package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Token matches an effect with the event that returns its reply, or a Submit or Cancel event with its result.
type Token uint64

// Event is an input of Controller.Step: a *MembersChanged, *PlatformList,
// *ConfigChanged, *RowsRead, *CommitDone, *ExchangeDone, *PeerMessage,
// *PeerDigest, *StoreState, *Submit, *Cancel or *Drain.
type Event interface{ event() }

// Member is a live daemon.
type Member struct {
	ID    cluster.DaemonID
	Place cluster.Place
	// LastSeen is when the last message from the member arrived; it is not used for the daemon itself.
	LastSeen time.Time
}

// MembersChanged replaces the set of live members, which includes the daemon itself.
type MembersChanged struct{ Live []Member }

// PlatformList replaces the platform's list of VMs. The VMs with RoleWorker determine which racks exist.
type PlatformList struct{ VMs []platform.VM }

// ConfigChanged activates a newer configuration.
type ConfigChanged struct{ Snapshot *cluster.Snapshot }

// RowsRead is the reply to a ReadRows.
type RowsRead struct {
	Token Token
	Reply platform.ReadReply
	Err   error
}

// CommitDone is the result of a Commit; Err is nil or a *journal.Error.
type CommitDone struct {
	Token   Token
	Version cluster.Version
	Err     error
}

// ExchangeDone is the reply to an Exchange; Err is nil or a *platform.Error.
type ExchangeDone struct {
	Token Token
	Rack  cluster.RackID
	Epoch cluster.Epoch
	// SentAt is when the call was made.
	SentAt time.Time
	Reply  platform.ExchangeReply
	Err    error
}

// PeerMessage is a message from another daemon. The controller handles
// AssignNotice, GrantRequest, GrantRelease, HoldRequest, HoldReply, HoldRelease and Leaving.
type PeerMessage struct {
	From    cluster.DaemonID
	Message peer.Message
}

// PeerDigest is the digest that another daemon sent with its last ping or pong.
type PeerDigest struct {
	From   cluster.DaemonID
	Digest peer.Digest
}

// StoreState reports whether this daemon's calls to the table service succeed.
type StoreState struct{ Up bool }

// Submit submits a job; exactly one SubmitResult with the same token follows.
type Submit struct {
	Token Token
	Spec  *cluster.JobSpec
	// SubmittedAt is when the job was submitted; zero means now.
	SubmittedAt time.Time
	// Deadline is when the caller stops waiting; zero means 10 s from now.
	Deadline time.Time
}

// Cancel cancels jobs; exactly one CancelResult with the same token follows.
type Cancel struct {
	Token Token
	Jobs  []cluster.JobID
	// Deadline is when the caller stops waiting; zero means 10 s from now.
	Deadline time.Time
	// internal marks the cancellation of withdrawn declared jobs, which gets no CancelResult.
	internal bool
}

// Drain starts handing over all racks to other daemons; one Drained effect follows when none is left.
type Drain struct{}

func (*MembersChanged) event() {}
func (*PlatformList) event()   {}
func (*ConfigChanged) event()  {}
func (*RowsRead) event()       {}
func (*CommitDone) event()     {}
func (*ExchangeDone) event()   {}
func (*PeerMessage) event()    {}
func (*PeerDigest) event()     {}
func (*StoreState) event()     {}
func (*Submit) event()         {}
func (*Cancel) event()         {}
func (*Drain) event()          {}
