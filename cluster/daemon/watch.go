package daemon

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/gateway"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/rack"
)

const (
	// memberInterval is how often the parts are told about members; it adds to
	// the 2 s after which a silent member counts as dead.
	memberInterval = 250 * time.Millisecond
	// newMemberGrace is how long a member counts as live before it was first
	// heard; it covers a dial, a handshake and the first ping.
	newMemberGrace = 3 * time.Second
	// listInterval is how often the platform's list of VMs is read.
	listInterval = 2 * time.Second
)

// watch passes changes of members, the platform's list and the store's state to the other parts.
func (d *Daemon) watch(ctx context.Context) {
	members := time.NewTicker(memberInterval)
	defer members.Stop()
	list := time.NewTicker(listInterval)
	defer list.Stop()
	d.passMembers()
	d.passList()
	for {
		select {
		case <-ctx.Done():
			return
		case <-members.C:
			d.passMembers()
		case <-list.C:
			d.readList(ctx)
		}
	}
}

func (d *Daemon) passMembers() {
	var peers []peer.Peer
	var others []gateway.Member
	for _, m := range d.members.Members() {
		others = append(others, gateway.Member{ID: m.ID, Place: m.Place})
		if m.ID != d.id {
			peers = append(peers, peer.Peer{ID: m.ID, Addr: m.PeerAddr, Place: m.Place})
		}
	}
	d.peers.SetPeers(peers)
	d.gateway.SetMembers(others)
	if d.settled() {
		d.loop.post(&rack.MembersChanged{Live: d.presumedLive()})
	}
	d.loop.post(&rack.StoreState{Up: d.store.up()})
}

// settled reports whether the member rows were read long enough ago for
// daemons that started at the same time to be known. A daemon that acts sooner
// counts as the only one and takes over every rack.
func (d *Daemon) settled() bool {
	if d.loadedAt.IsZero() && d.rollout.Status().Loaded {
		d.loadedAt = d.now()
	}
	return !d.loadedAt.IsZero() && d.now().Sub(d.loadedAt) >= newMemberGrace
}

// presumedLive returns this daemon, the members that are alive, and those that
// it has known for too short a time to have heard from them. Without the latter
// a daemon that joins takes over the racks of all others.
func (d *Daemon) presumedLive() []rack.Member {
	now := d.now()
	view := []rack.Member{{ID: d.id, Place: d.cfg.Place, LastSeen: now}}
	known := map[cluster.DaemonID]time.Time{}
	for _, m := range d.members.Members() {
		if m.ID == d.id {
			continue
		}
		first, ok := d.firstSeen[m.ID]
		if !ok {
			first = now
		}
		known[m.ID] = first
		heard := d.peers.LastHeard(m.ID)
		if d.members.Alive(m.ID) || (heard.IsZero() && now.Sub(first) < newMemberGrace) {
			view = append(view, rack.Member{ID: m.ID, Place: m.Place, LastSeen: heard})
		}
	}
	d.firstSeen = known
	return view
}

func (d *Daemon) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms, err := d.client.ListVMs(ctx)
	if err != nil {
		d.log.Warn().Err(err).Msg("daemon: the platform's list of VMs was not read; keeping the last one")
		return
	}
	d.vms.Store(&vms)
	d.passList()
}

func (d *Daemon) passList() {
	vms := *d.vms.Load()
	d.gateway.SetUpstreams(vms)
	d.loop.post(&rack.PlatformList{VMs: vms})
}

// handlePeer passes a message to the parts that it is for.
func (d *Daemon) handlePeer(from cluster.DaemonID, m peer.Message) {
	if !d.joined.Load() {
		return
	}
	switch v := m.(type) {
	case *peer.Hello, *peer.ConfigPush, *peer.ConfigPoll, *peer.ConfigAck:
		d.rollout.HandlePeer(from, m)
	case *peer.Ping:
		d.rollout.HandlePeer(from, m)
		d.loop.post(&rack.PeerDigest{From: from, Digest: v.Digest})
	case *peer.Leaving:
		d.rollout.HandlePeer(from, m)
		d.loop.post(&rack.PeerMessage{From: from, Message: m})
	case *peer.SlotRequest, *peer.SlotReply, *peer.UpstreamNotice:
		d.gateway.HandlePeer(from, m)
	default:
		d.loop.post(&rack.PeerMessage{From: from, Message: m})
	}
}

// pingDigest returns the state that goes out with the next ping.
func (d *Daemon) pingDigest() peer.Digest {
	if !d.joined.Load() {
		return peer.Digest{}
	}
	digest := peer.Digest{StoreVisible: d.store.visible(), Draining: d.draining.Load()}
	if racks := d.digest.Load(); racks != nil {
		digest.Racks = *racks
	}
	d.rollout.FillDigest(&digest)
	return digest
}

// names lists the keys of a map in order.
func names[K ~string, V any](m map[K]V) string {
	var all []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		all = append(all, string(k))
	}
	return strings.Join(all, ", ")
}
