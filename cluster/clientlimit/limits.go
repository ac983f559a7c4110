package clientlimit

import "github.com/goldcrestshift/goldcrestshift/cluster"

// Parts of the process's limits. Together with the 0.6 of the memory that the Go runtime aims for, they leave room for
// the receive buffers of the connections, which count toward the memory of the process.
const (
	// bodyShare is the part of the memory for bodies and the data decoded from them.
	bodyShare = 8
	// minBodyBytes is the least budget for bodies: the decoding of the largest body takes 4.6 MB.
	minBodyBytes = 8 * cluster.MiB
	// intakeShare is the part of the memory for encoded jobs that wait for the store; the transactions that write them
	// take up to three times as much.
	intakeShare = 24
	// minIntakeBytes is the least budget for such jobs.
	minIntakeBytes = 4 * cluster.MiB
	// jobShare is the part of the memory for accepted jobs, for which the Go runtime collects garbage often enough once they
	// take that much.
	jobShare = 3
	// connShare is the part of the memory for connections of clients, and connBytes the size of one: stacks, buffers
	// and objects of the server, and the receive buffer, which the kernel doubles.
	connShare = 4
	connBytes = 24*cluster.KiB + 2*receiveBuffer
	// reservedFDs are left for files.
	reservedFDs = 200
	// frontFDShare, peerFDShare and probeFDShare are the parts of the descriptors for the connections of clients, of
	// other daemons, and on the readiness port and the metrics port. The rest is left for connections to the store, to
	// workers and to other daemons.
	frontFDShare = 2
	peerFDShare  = 4
	probeFDShare = 32
	// The other listeners have few rightful clients: the platform's probe, its reader of metrics, and up to 150 daemons.
	minProbeConns = 8
	maxProbeConns = 64
	minPeerConns  = 64
	maxPeerConns  = 1024
	// A connection counts as partial from the first byte of a header to its end, which for an ordinary client are in
	// the same packet. A header of 20 KiB may take 300 KiB once it is divided into fields.
	partialShare    = 8
	minPartialConns = 8
	maxPartialConns = 64
)

// receiveBuffer and sendBuffer are the sizes of the buffers of a client's connection in bytes. The kernel would let them
// grow to megabytes for a client that sends much or reads nothing. An ordinary job and its response fit into them.
const (
	receiveBuffer = 16 * cluster.KiB
	sendBuffer    = 32 * cluster.KiB
)

// DefaultMaxFDs is the number of descriptors of the smallest VM.
const DefaultMaxFDs = 3075

// Limits are the limits of a process for its clients.
type Limits struct {
	// BodyBytes is the memory for bodies and the data decoded from them, IntakeBytes that for jobs that wait for the store.
	BodyBytes   cluster.Bytes
	IntakeBytes cluster.Bytes
	// JobBytes is the memory for accepted jobs.
	JobBytes cluster.Bytes
	// FrontConns, ProbeConns and PeerConns are the most open connections of clients, on the readiness port and the
	// metrics port each, and of other daemons.
	FrontConns int
	ProbeConns int
	PeerConns  int
	// PartialConns is the most connections of a listener whose header has arrived in part, or whose handshake is not
	// complete.
	PartialConns int
}

// Derive returns the limits of a process with the given memory and number of descriptors.
func Derive(memory cluster.Bytes, maxFDs int) Limits {
	fds := max(0, maxFDs-reservedFDs)
	front := max(minProbeConns, min(fds/frontFDShare, int(memory/connShare/connBytes)))
	return Limits{
		BodyBytes: max(minBodyBytes, memory/bodyShare), IntakeBytes: max(minIntakeBytes, memory/intakeShare), FrontConns: front,
		JobBytes:     memory / jobShare,
		ProbeConns:   min(maxProbeConns, max(minProbeConns, fds/probeFDShare)),
		PeerConns:    min(maxPeerConns, max(minPeerConns, fds/peerFDShare)),
		PartialConns: min(maxPartialConns, max(minPartialConns, front/partialShare)),
	}
}
