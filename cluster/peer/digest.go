package peer

import (
	"fmt"
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
	// partRackChanges carries only the racks that differ.
	partRackChanges

	allParts = partConfig | partMembers | partRacks
)

const (
	flagDoubtful = 1 << iota
	flagStoreVisible
	flagDraining
)

func encodeDigest(e *encoder, g *Digest, parts digestParts) {
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
		for _, r := range g.Racks {
			e.string(string(r.Rack))
			e.resources(r.Free)
			e.resources(r.LargestFree)
			e.int(int64(r.Pending))
		}
	}
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

func decodeDigest(d *decoder) (Digest, digestParts) {
	var g Digest
	raw := d.uint()
	parts := digestParts(raw)
	if raw > uint64(allParts|partRackChanges) || parts&partRacks != 0 && parts&partRackChanges != 0 {
		d.fail(KindMalformed, fmt.Errorf("digest parts %d", raw))
		return g, 0
	}
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
			g.Racks = append(g.Racks, RackDigest{Rack: d.rack(), Free: d.resources(), LargestFree: d.resources(), Pending: d.count()})
		}
	}
	return g, parts
}

// digestSender leaves out what the last digest on a connection already said.
type digestSender struct {
	last Digest
	sent bool
}

// next returns the digest to encode and its parts. Racks are left out if
// withRacks is false and they were sent before.
func (s *digestSender) next(g Digest, withRacks bool) (Digest, digestParts) {
	if !s.sent {
		s.last, s.sent = g, true
		return g, allParts
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
		return g, parts
	}
	changed, whole := rackChanges(last, g.Racks)
	switch {
	case whole:
		parts |= partRacks
	case len(changed) > 0:
		parts |= partRackChanges
		g.Racks = changed
	}
	return g, parts
}

// rackChanges returns the racks that differ, or whole if the list holds other racks.
func rackChanges(last, now []RackDigest) (changed []RackDigest, whole bool) {
	if len(last) != len(now) {
		return nil, true
	}
	for i, r := range now {
		if last[i].Rack != r.Rack {
			return nil, true
		}
		if last[i] != r {
			changed = append(changed, r)
		}
	}
	return changed, false
}

// digestReceiver puts the whole digest together again.
type digestReceiver struct {
	last Digest
	seen bool
}

// merge returns the whole digest; it fails if the first digest on a connection is not whole.
func (r *digestReceiver) merge(g Digest, parts digestParts) (Digest, error) {
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
		g.Racks = mergeRacks(r.last.Racks, g.Racks)
	case parts&partRacks == 0:
		g.Racks = r.last.Racks
	}
	r.last = g
	return g, nil
}

func mergeRacks(last, changed []RackDigest) []RackDigest {
	merged := slices.Clone(last)
	at := map[cluster.RackID]int{}
	for i, r := range merged {
		at[r.Rack] = i
	}
	for _, r := range changed {
		if i, ok := at[r.Rack]; ok {
			merged[i] = r
		}
	}
	return merged
}
