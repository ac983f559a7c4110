package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Token pairs an effect with the event that answers it, or a Submit or Cancel with its result.
type Token uint64

// Event is an input of Controller.Step: a *MembersChanged, *PlatformList,
// *ConfigChanged, *RowsRead, *CommitDone, *ExchangeDone, *PeerMessage,
// *PeerDigest, *StoreState, *Submit, *Cancel or *Drain.
type Event interface{ event() }

// Member is a live daemon.
type Member struct {
	ID    cluster.DaemonID
	Place cluster.Place
	// LastHeard is when the member was last heard from; it is not read for the daemon itself.
	LastHeard time.Time
}

// MembersChanged replaces the set of live members, which includes the daemon itself.
type MembersChanged struct{ Live []Member }

// PlatformList replaces the platform's list of VMs; the entries with RoleWorker name the racks.
type PlatformList struct{ VMs []platform.VM }

// ConfigChanged puts a newer configuration in force.
type ConfigChanged struct{ Snapshot *cluster.Snapshot }

// RowsRead answers a ReadRows.
type RowsRead struct {
	Token Token
	Reply platform.ReadReply
	Err   error
}

// CommitDone answers a Commit; Err is nil or a *journal.Error.
type CommitDone struct {
	Token   Token
	Version cluster.Version
	Err     error
}

// ExchangeDone answers an Exchange; Err is nil or a *platform.Error.
type ExchangeDone struct {
	Token Token
	Rack  cluster.RackID
	Epoch cluster.Epoch
	// Sent is when the call was made.
	Sent  time.Time
	Reply platform.ExchangeReply
	Err   error
}

// PeerMessage is a message from another daemon that the controller handles:
// AssignNotice, GrantRequest, GrantRelease, HoldRequest, HoldReply, HoldRelease or Leaving.
type PeerMessage struct {
	From    cluster.DaemonID
	Message peer.Message
}

// PeerDigest is the state that another daemon sent with its last ping or pong.
type PeerDigest struct {
	From   cluster.DaemonID
	Digest peer.Digest
}

// StoreState says whether this daemon's calls to the table service succeed.
type StoreState struct{ Up bool }

// Submit hands in a job; exactly one SubmitResult with the same token follows.
type Submit struct {
	Token     Token
	Spec      *cluster.JobSpec
	Submitted time.Time
	// Deadline is when the caller stops waiting; zero means the default of 10 s.
	Deadline time.Time
}

// Cancel asks for jobs to be stopped; exactly one CancelResult with the same token follows.
type Cancel struct {
	Token Token
	Jobs  []cluster.JobID
	// Deadline is when the caller stops waiting; zero means the default of 10 s.
	Deadline time.Time
	// internal cancellations come from a withdrawn declaration and are not answered.
	internal bool
}

// Drain starts the hand-over of all racks; one Drained follows.
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
