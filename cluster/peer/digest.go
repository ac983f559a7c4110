package peer

import (
	"fmt"
	"math"
	"slices"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// digestParts says which parts of a digest a ping carries. Parts that have not
// changed since the last ping on the same connection are left out: sent in
// full, the member list alone would take 125 KB/s at 40 members.
type digestParts uint8

const (
	partConfig digestParts = 1 << iota
	partMembers
	// partRacks carries the whole list of racks.
	partRacks
	// partRackChanges carries only the racks that differ, by their place in the
	// last whole list. With 74 racks that change every second, names in full
	// took 8.3 KB/s of a daemon at 7 daemons.
	partRackChanges

	allParts = partConfig | partMembers | partRacks
)

const (
	flagDoubtful = 1 << iota
	flagStoreVisible
	flagDraining
)

// layout says which parts of a digest a frame carries.
type layout struct {
	parts digestParts
	// places holds the place of each rack in the last whole list, for partRackChanges.
	places []int
}

var wholeDigest = layout{parts: allParts}

func encodeDigest(e *encoder, g *Digest, l layout) {
	parts := l.parts
	e.uint(uint64(parts))
	if parts&partConfig != 0 {
		e.uint(uint64(g.ConfigVersion))
		e.uint(digestFlags(g))
	}
	if parts&partMembers != 0 {
		e.array(len(g.Members))
		for _, id := range g.Members {
			e.string(string(id))
		}
	}
	if parts&(partRacks|partRackChanges) != 0 {
		e.array(len(g.Racks))
		for i, r := range g.Racks {
			if parts&partRacks != 0 {
				e.string(string(r.Rack))
			} else {
				e.int(int64(l.places[i]))
			}
			e.capacity(r.Free)
			e.capacity(r.LargestFree)
			e.int(int64(r.Pending))
		}
	}
}

// capacity rounds free memory down to whole MiB, which takes fewer bytes and never promises too much.
func (e *encoder) capacity(r cluster.Resources) {
	e.int(int64(r.CPU))
	e.int(int64(r.Memory / cluster.MiB))
	e.int(r.Accelerators)
}

func (d *decoder) capacity() cluster.Resources {
	r := cluster.Resources{CPU: cluster.CPU(d.int())}
	mib := d.int()
	if mib > math.MaxInt64/int64(cluster.MiB) || mib < math.MinInt64/int64(cluster.MiB) {
		d.fail(KindMalformed, fmt.Errorf("memory of %d MiB", mib))
		return r
	}
	r.Memory, r.Accelerators = cluster.Bytes(mib)*cluster.MiB, d.int()
	return r
}

func digestFlags(g *Digest) uint64 {
	flags := uint64(0)
	if g.DoubtfulNote {
		flags |= flagDoubtful
	}
	if g.StoreVisible {
		flags |= flagStoreVisible
	}
	if g.Draining {
		flags |= flagDraining
	}
	return flags
}

func decodeDigest(d *decoder) (Digest, layout) {
	var g Digest
	raw := d.uint()
	parts := digestParts(raw)
	if raw > uint64(allParts|partRackChanges) || parts&partRacks != 0 && parts&partRackChanges != 0 {
		d.fail(KindMalformed, fmt.Errorf("digest parts %d", raw))
		return g, layout{}
	}
	l := layout{parts: parts}
	if parts&partConfig != 0 {
		g.ConfigVersion = d.version()
		flags := d.uint()
		if flags > flagDoubtful|flagStoreVisible|flagDraining {
			d.fail(KindMalformed, fmt.Errorf("digest flags %d", flags))
		}
		g.DoubtfulNote = flags&flagDoubtful != 0
		g.StoreVisible = flags&flagStoreVisible != 0
		g.Draining = flags&flagDraining != 0
	}
	if parts&partMembers != 0 {
		for range d.list(maxMembers) {
			g.Members = append(g.Members, d.daemon())
		}
	}
	if parts&(partRacks|partRackChanges) != 0 {
		for range d.list(maxRacks) {
			var r RackDigest
			if parts&partRacks != 0 {
				r.Rack = d.rack()
			} else {
				l.places = append(l.places, d.count())
			}
			r.Free, r.LargestFree, r.Pending = d.capacity(), d.capacity(), d.count()
			g.Racks = append(g.Racks, r)
		}
	}
	return g, l
}

// digestSender leaves out what the last digest on a connection already said.
type digestSender struct {
	last Digest
	sent bool
}

// next returns the digest to encode and its layout. Racks are left out if
// withRacks is false and they were sent before.
func (s *digestSender) next(g Digest, withRacks bool) (Digest, layout) {
	if !s.sent {
		s.last, s.sent = g, true
		return g, wholeDigest
	}
	var parts digestParts
	if g.ConfigVersion != s.last.ConfigVersion || digestFlags(&g) != digestFlags(&s.last) {
		parts |= partConfig
	}
	if !slices.Equal(g.Members, s.last.Members) {
		parts |= partMembers
	}
	last := s.last.Racks
	s.last = g
	if !withRacks {
		s.last.Racks = last
		return g, layout{parts: parts}
	}
	places, same := rackChanges(last, g.Racks)
	if !same {
		return g, layout{parts: parts | partRacks}
	}
	if len(places) > 0 {
		parts |= partRackChanges
		all := g.Racks
		g.Racks = nil
		for _, i := range places {
			g.Racks = append(g.Racks, all[i])
		}
	}
	return g, layout{parts: parts, places: places}
}

// rackChanges returns the places of the racks that differ; same is false if the list holds other racks.
func rackChanges(last, now []RackDigest) (places []int, same bool) {
	if len(last) != len(now) {
		return nil, false
	}
	for i, r := range now {
		if last[i].Rack != r.Rack {
			return nil, false
		}
		if last[i] != r {
			places = append(places, i)
		}
	}
	return places, true
}

// digestReceiver puts the whole digest together again.
type digestReceiver struct {
	last Digest
	seen bool
}

// merge returns the whole digest; it fails if the first digest on a connection is not whole.
func (r *digestReceiver) merge(g Digest, l layout) (Digest, error) {
	parts := l.parts
	if !r.seen && parts != allParts {
		return g, &Error{Op: "merge digest", Kind: KindMalformed, Err: fmt.Errorf("the first digest is incomplete")}
	}
	r.seen = true
	if parts&partConfig == 0 {
		g.ConfigVersion = r.last.ConfigVersion
		g.DoubtfulNote, g.StoreVisible, g.Draining = r.last.DoubtfulNote, r.last.StoreVisible, r.last.Draining
	}
	if parts&partMembers == 0 {
		g.Members = r.last.Members
	}
	switch {
	case parts&partRackChanges != 0:
		racks, err := mergeRacks(r.last.Racks, g.Racks, l.places)
		if err != nil {
			return g, err
		}
		g.Racks = racks
	case parts&partRacks == 0:
		g.Racks = r.last.Racks
	}
	r.last = g
	return g, nil
}

func mergeRacks(last, changed []RackDigest, places []int) ([]RackDigest, error) {
	merged := slices.Clone(last)
	for i, r := range changed {
		if places[i] >= len(merged) {
			return nil, &Error{Op: "merge digest", Kind: KindMalformed, Err: fmt.Errorf("rack %d of %d", places[i], len(merged))}
		}
		r.Rack = merged[places[i]].Rack
		merged[places[i]] = r
	}
	return merged, nil
}
