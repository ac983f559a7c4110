package peer

import (
	"net/netip"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Message is a message between two daemons.
type Message interface{ message() }

// Hello is the first message in each direction of a connection and identifies
// its sender.
type Hello struct {
	From  cluster.DaemonID
	Place cluster.Place
	// PeerAddr and HTTPAddr are the addresses on which the sender accepts
	// connections from peers and HTTP requests.
	PeerAddr netip.AddrPort
	HTTPAddr netip.AddrPort
}

// Ping carries the sender's state and serves as a keepalive.
type Ping struct {
	// Sequence increases with every ping on a connection.
	Sequence uint64
	// Echo is the highest Sequence that the sender has received from the receiver.
	Echo uint64
	// Digest is sent in part; the receiver completes it from earlier pings.
	Digest Digest
	// AsOf is set by the receiver to the time at which it sent the echoed ping; the
	// digest is not older than that. It is zero if that time is not known.
	AsOf time.Time

	// layout describes which parts of Digest are encoded.
	layout digestLayout
}

// Digest is the state of a daemon that it sends to its peers with every ping.
type Digest struct {
	// ConfigVersion is the version of the configuration that the sender uses.
	ConfigVersion cluster.Version
	// UnconfirmedNote means that the sender has a note whose commit has an unknown
	// outcome.
	UnconfirmedNote bool
	// StoreVisible means that the sender has read from the table service within the
	// last second.
	StoreVisible bool
	// Members lists every member that the sender knows. Listing a member
	// acknowledges it.
	Members []cluster.DaemonID
	// Racks holds the free capacity of the racks that the sender owns.
	Racks []RackDigest
	// Draining means that the sender is shutting down.
	Draining bool
}

// RackDigest is the free capacity and the number of pending tasks of a rack.
type RackDigest struct {
	Rack cluster.RackID
	// Free is the free capacity of all workers of the rack.
	Free cluster.Resources
	// LargestFree is the free capacity of the worker with the most free CPU.
	LargestFree cluster.Resources
	// Pending is the number of tasks that wait for a worker of the rack.
	Pending int
}

// ConfigPush carries the configuration and member rows written after Since.
type ConfigPush struct {
	// PollSequence is the Sequence of the ConfigPoll that this message replies to;
	// zero if it was not requested.
	PollSequence uint64
	// Since is the commit after which the rows were written; zero means that the
	// rows are the full state.
	Since cluster.Version
	// AsOf is the commit up to which the rows are complete.
	AsOf cluster.Version
	// Age is the time since the request was sent whose reply from the table service
	// confirmed the rows.
	Age  time.Duration
	Rows []platform.Row
}

// ConfigAck acknowledges configuration rows to the relay that sent them.
type ConfigAck struct {
	// AsOf is the commit up to which the sender has the configuration.
	AsOf cluster.Version
	// Head is the version of the configuration that the sender has.
	Head cluster.Version
}

// ConfigPoll requests a ConfigPush with the rows written after the commit Since.
type ConfigPoll struct {
	// Sequence is returned in ConfigPush.PollSequence.
	Sequence uint64
	Since    cluster.Version
}

// AssignNotice notifies the owner of a rack that assignment rows were written.
type AssignNotice struct {
	Rack cluster.RackID
	Rows []platform.Row
}

// GrantRequest requests the owner of a rack to release an unused part of a team's grant.
type GrantRequest struct {
	Team cluster.TeamName
	// Rack receives the grant.
	Rack   cluster.RackID
	Amount cluster.Resources
}

// GrantRelease notifies the owner of a rack that the row of a team's grants has changed.
type GrantRelease struct {
	Team cluster.TeamName
	Row  platform.Row
}

// HoldRequest requests the owner of a rack to hold free capacity for tasks of a
// gang job.
type HoldRequest struct {
	Job   cluster.JobID
	Rack  cluster.RackID
	Tasks int
	// Size is the size of one task.
	Size cluster.Resources
	// Duration is how long the capacity is held.
	Duration time.Duration
}

// HoldReply returns the number of tasks for which the rack holds capacity; zero
// is a refusal.
type HoldReply struct {
	Job   cluster.JobID
	Rack  cluster.RackID
	Tasks int
}

// HoldRelease releases the held capacity.
type HoldRelease struct {
	Job  cluster.JobID
	Rack cluster.RackID
}

// SlotRequest requests slots of a service's runners.
type SlotRequest struct {
	Service cluster.ServiceName
	Slots   int
}

// SlotReply notifies the other daemons that the row of a service's slots has changed.
type SlotReply struct {
	Service cluster.ServiceName
	Row     platform.Row
}

// UpstreamNotice notifies a daemon that an upstream is leaving or failing.
type UpstreamNotice struct {
	Service  cluster.ServiceName
	Upstream cluster.UpstreamID
	// Leaving is false if the upstream is failing.
	Leaving bool
}

// Leaving notifies a daemon that the sender is shutting down gracefully. Its
// digest is the last one; the sender accepts no note after it.
type Leaving struct {
	From   cluster.DaemonID
	Digest Digest
}

// Call is a remote procedure call; the receiver returns a Reply.
type Call struct {
	// ID is unique among the calls of a sender.
	ID uint64
	// Method is the name of the procedure, Body its encoded argument.
	Method string
	Body   []byte
}

// Reply ends a Call.
type Reply struct {
	// ID is the ID of the Call.
	ID uint64
	// Failure is the reason why the call failed; empty if it succeeded.
	Failure string
	// Body is the encoded result.
	Body []byte
}

func (*Hello) message()          {}
func (*Ping) message()           {}
func (*ConfigPush) message()     {}
func (*ConfigAck) message()      {}
func (*ConfigPoll) message()     {}
func (*AssignNotice) message()   {}
func (*GrantRequest) message()   {}
func (*GrantRelease) message()   {}
func (*HoldRequest) message()    {}
func (*HoldReply) message()      {}
func (*HoldRelease) message()    {}
func (*SlotRequest) message()    {}
func (*SlotReply) message()      {}
func (*UpstreamNotice) message() {}
func (*Leaving) message()        {}
func (*Call) message()           {}
func (*Reply) message()          {}
