package cell

import (
	"cmp"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// configReader is a daemon that may read the configuration from the store for its availability zone.
type configReader struct {
	vm    string
	cores float64
	// hub means that the daemons of a large cell are connected to this one.
	hub bool
}

// compareConfigReaders orders the daemons of a zone, the one that reads the configuration first: hubs come first, then
// those with the most cores, which have the fastest links.
func compareConfigReaders(a, b configReader) int {
	if a.hub != b.hub {
		if a.hub {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(vmHash(a.vm), vmHash(b.vm)))
}

// readsConfig reports whether this daemon reads the configuration from the store for its zone: it comes first among the
// daemons that can reach the store. It is safe to be wrong: then more than one daemon reads it.
func (d *Daemon) readsConfig() bool {
	return d.store.mayBeReachable() && d.comesFirst(func(id cluster.DaemonID) bool { return d.digests[id].StoreVisible })
}

// leadsZone reports whether this daemon comes first in its zone whether or not it can reach the store.
func (d *Daemon) leadsZone() bool {
	return d.comesFirst(func(cluster.DaemonID) bool { return true })
}

// comesFirst reports whether this daemon comes first among the responding daemons of its zone that are not leaving and
// that qualify; qualifies is called with d.mu held. In a large cell, daemons that are not hubs count the hubs of all
// zones of their region, as a zone may have no hub and they are not connected to one another.
func (d *Daemon) comesFirst(qualifies func(cluster.DaemonID) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	large := isLargeCell(d.members)
	wholeRegion := large && !isHub(d.members, d.cfg.VM)
	self := configReader{vm: d.cfg.VM, cores: d.cfg.Cores, hub: large && d.members[d.cfg.VM].candidate}
	leaving := d.leaving.Load()
	for vm, m := range d.members {
		isNear := d.inSameZone(m) || wholeRegion && cluster.Region(m.Region) == d.cfg.Place.Region
		if vm == d.cfg.VM || !isNear || !d.acceptsShards(m) || !qualifies(cluster.DaemonID(m.ID)) {
			continue
		}
		other := configReader{vm: vm, cores: m.Cores, hub: large && m.candidate}
		if leaving || compareConfigReaders(other, self) < 0 {
			return false
		}
	}
	return true
}

// inSameZone reports whether a member is in the availability zone of this daemon.
func (d *Daemon) inSameZone(m memberRow) bool {
	return cluster.Region(m.Region) == d.cfg.Place.Region && cluster.Zone(m.Zone) == d.cfg.Place.Zone
}

// followConfig reads the configuration from the store while this daemon does so for its zone. The other daemons of the zone
// get it from this one, so that a change crosses the links to the store once for each zone.
func (d *Daemon) followConfig() {
	d.awaitConfigOfPeers()
	for d.ctx.Err() == nil {
		if !d.readsConfig() {
			d.sleep(configCheckInterval)
			continue
		}
		d.readConfigChanges()
	}
}

// awaitConfigOfPeers waits until another daemon has sent the configuration, at most for configJoinDelay: a daemon that
// is restarted gets it without reading the whole row.
func (d *Daemon) awaitConfigOfPeers() {
	for deadline := time.Now().Add(configJoinDelay); d.Snapshot().Version == 0 && time.Now().Before(deadline); {
		if !d.sleep(configJoinDelay / 10) {
			return
		}
	}
}
