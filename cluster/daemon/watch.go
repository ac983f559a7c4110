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
	// memberInterval is the interval at which the members are passed to the other
	// components. It adds to the 2 s without a message after which a member
	// counts as dead.
	memberInterval = 250 * time.Millisecond
	// newMemberGracePeriod is how long a new member counts as live although no
	// message from it has arrived; it covers a dial, a handshake and the first ping.
	newMemberGracePeriod = 3 * time.Second
	// vmListInterval is the interval at which the platform's list of VMs is read.
	vmListInterval = 2 * time.Second
)

// runWatch passes the members, the platform's list of VMs and the state of the
// store to the other components at regular intervals until ctx is done.
func (d *Daemon) runWatch(ctx context.Context) {
	memberTicker := time.NewTicker(memberInterval)
	defer memberTicker.Stop()
	vmListTicker := time.NewTicker(vmListInterval)
	defer vmListTicker.Stop()
	d.publishMembers()
	d.publishVMList()
	for {
		select {
		case <-ctx.Done():
			return
		case <-memberTicker.C:
			d.publishMembers()
		case <-vmListTicker.C:
			d.refreshVMList(ctx)
		}
	}
}

// publishMembers passes the members and the state of the store to the peers, the
// gateway and the control loop.
func (d *Daemon) publishMembers() {
	var peers []peer.Peer
	var gatewayMembers []gateway.Member
	for _, m := range d.members.Members() {
		gatewayMembers = append(gatewayMembers, gateway.Member{ID: m.ID, Place: m.Place})
		if m.ID != d.id {
			peers = append(peers, peer.Peer{ID: m.ID, Addr: m.PeerAddr, Place: m.Place})
		}
	}
	d.peers.SetPeers(peers)
	d.updateBodyMemory()
	d.clients.Report()
	d.gateway.SetMembers(gatewayMembers)
	if d.membersKnown() {
		d.loop.post(&rack.MembersChanged{Live: d.presumedLive()})
	}
	d.loop.post(&rack.StoreState{Up: d.store.up()})
}

// membersKnown reports whether the configuration and the member rows, which are
// read together, were first loaded at least newMemberGracePeriod ago. By then
// the daemons that started at the same time are known; a daemon that acted
// sooner would regard itself as the only one and take over every rack.
func (d *Daemon) membersKnown() bool {
	if d.configLoadedAt.IsZero() && d.rollout.Status().Loaded {
		d.configLoadedAt = d.now()
	}
	return !d.configLoadedAt.IsZero() && d.now().Sub(d.configLoadedAt) >= newMemberGracePeriod
}

// presumedLive returns this daemon, the members that are alive and the members
// that were first seen less than newMemberGracePeriod ago and have sent nothing
// yet. Without the last group a daemon that joins would take over the racks of
// all others.
func (d *Daemon) presumedLive() []rack.Member {
	now := d.now()
	live := []rack.Member{{ID: d.id, Place: d.cfg.Place, LastSeen: now}}
	firstSeen := map[cluster.DaemonID]time.Time{}
	for _, m := range d.members.Members() {
		if m.ID == d.id {
			continue
		}
		first, ok := d.memberFirstSeen[m.ID]
		if !ok {
			first = now
		}
		firstSeen[m.ID] = first
		lastSeen := d.peers.LastSeen(m.ID)
		if d.members.Alive(m.ID) || (lastSeen.IsZero() && now.Sub(first) < newMemberGracePeriod) {
			live = append(live, rack.Member{ID: m.ID, Place: m.Place, LastSeen: lastSeen})
		}
	}
	d.memberFirstSeen = firstSeen
	return live
}

// refreshVMList reads the platform's list of VMs and passes it on; if the read fails, the previous list stays.
func (d *Daemon) refreshVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms, err := d.client.ListVMs(ctx)
	if err != nil {
		d.log.Warn().Err(err).Msg("daemon: reading the platform's list of VMs failed; keeping the previous list")
		return
	}
	d.vms.Store(&vms)
	d.publishVMList()
}

// publishVMList passes the last list of VMs to the gateway and the control loop.
func (d *Daemon) publishVMList() {
	vms := *d.vms.Load()
	d.gateway.SetUpstreams(vms)
	d.loop.post(&rack.PlatformList{VMs: vms})
}

// handlePeer passes a message of another daemon to the components that handle
// its type; messages that arrive before the daemon has joined are dropped.
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

// pingDigest returns the state that is sent with the next ping; it is empty before the daemon has joined.
func (d *Daemon) pingDigest() peer.Digest {
	if !d.joined.Load() {
		return peer.Digest{}
	}
	digest := peer.Digest{StoreVisible: d.store.visible(), Draining: d.draining.Load()}
	if racks := d.rackDigests.Load(); racks != nil {
		digest.Racks = *racks
	}
	d.rollout.FillDigest(&digest)
	return digest
}

// sortedKeys returns the keys of a map, sorted and separated by commas.
func sortedKeys[K ~string, V any](m map[K]V) string {
	var keys []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		keys = append(keys, string(k))
	}
	return strings.Join(keys, ", ")
}
