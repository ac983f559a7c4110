package peer

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Transport keeps one connection to each peer.
type Transport struct{ cfg Config }

// New starts a transport; Close stops it.
func New(cfg Config) *Transport { return &Transport{cfg: cfg} }

// SetPeers replaces the peers to keep connections to.
func (t *Transport) SetPeers(peers []Peer) {}

// Send queues a message to a peer; it never blocks and returns false if the message was dropped.
func (t *Transport) Send(to cluster.DaemonID, m Message) bool { return false }

// Broadcast queues a message to every connected peer.
func (t *Transport) Broadcast(m Message) {}

// LastHeard returns when the last frame of a peer arrived, on the clock of Config.Now; zero if none did.
func (t *Transport) LastHeard(id cluster.DaemonID) time.Time { return time.Time{} }

// Close closes every connection and waits for the transport's goroutines.
func (t *Transport) Close() {}
