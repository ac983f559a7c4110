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

// leadsZone reports whether this daemon comes first among the responding daemons of its zone that are not leaving,
// with needsStore only among those that can reach the store. In a large cell, daemons that are not hubs count the hubs
// of all zones of their region, as a zone may have no hub and they are not connected to one another. It is safe to be
// wrong: then more than one daemon reads the configuration.
func (d *Daemon) leadsZone(needsStore bool) bool {
	if needsStore && !d.store.mayBeReachable() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	large := isLargeCell(d.members)
	wholeRegion := large && !isHub(d.members, d.cfg.VM)
	self := configReader{vm: d.cfg.VM, cores: d.cfg.Cores, hub: large && isCandidate(d.cfg.VM)}
	leaving := d.leaving.Load()
	for vm, m := range d.members {
		counts := d.inSameZone(m) || wholeRegion && cluster.Region(m.Region) == d.cfg.Place.Region
		if vm == d.cfg.VM || !counts || !d.acceptsShards(m) || needsStore && !d.digests[cluster.DaemonID(m.ID)].StoreVisible {
			continue
		}
		if leaving || compareConfigReaders(configReader{vm: vm, cores: m.Cores, hub: large && isCandidate(vm)}, self) < 0 {
			return false
		}
	}
	return true
}

// inSameZone reports whether a member is in the availability zone of this daemon.
func (d *Daemon) inSameZone(m memberRow) bool {
	return cluster.Region(m.Region) == d.cfg.Place.Region && cluster.Zone(m.Zone) == d.cfg.Place.Zone
}

// followConfig reads the configuration from the store while this daemon leads its zone. The other daemons of the zone
// get it from this one, so that a change crosses the links to the store once for each zone.
func (d *Daemon) followConfig() {
	d.awaitConfigOfPeers()
	for d.ctx.Err() == nil {
		if !d.leadsZone(true) {
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
