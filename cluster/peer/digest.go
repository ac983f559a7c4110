package peer

import (
	"fmt"
	"math"
	"slices"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// digestParts is the set of parts of a digest that a ping carries. Parts that have
// not changed since the last ping on the same connection are omitted: sent with
// every ping, the member list alone would take 125 KB/s at 40 members.
type digestParts uint8

const (
	// partConfig contains the configuration version and the flags.
	partConfig digestParts = 1 << iota
	// partMembers contains the member list.
	partMembers
	// partRacks contains the full list of racks.
	partRacks
	// partRackChanges contains only the changed racks, identified by their index in
	// the last full list. With 74 racks that change every second, sending their
	// names took 8.3 KB/s per daemon in a cell of 7 daemons.
	partRackChanges

	// allParts is a full digest.
	allParts = partConfig | partMembers | partRacks
)

// Flags of a digest, sent with partConfig.
const (
	flagUnconfirmedNote = 1 << iota
	flagStoreVisible
	flagDraining
)

// digestLayout describes which parts of a digest a frame carries.
type digestLayout struct {
	parts digestParts
	// rackIndexes holds, for partRackChanges, the index of each rack in the last
	// full list.
	rackIndexes []int
}

var fullDigest = digestLayout{parts: allParts}

// encodeDigest writes the parts of a digest that the layout names.
func encodeDigest(e *encoder, digest *Digest, layout digestLayout) {
	parts := layout.parts
	e.uint(uint64(parts))
	if parts&partConfig != 0 {
		e.uint(uint64(digest.ConfigVersion))
		e.uint(digestFlags(digest))
	}
	if parts&partMembers != 0 {
		e.arrayLength(len(digest.Members))
		for _, id := range digest.Members {
			e.string(string(id))
		}
	}
	if parts&(partRacks|partRackChanges) != 0 {
		e.arrayLength(len(digest.Racks))
		for i, r := range digest.Racks {
			if parts&partRacks != 0 {
				e.string(string(r.Rack))
			} else {
				e.int(int64(layout.rackIndexes[i]))
			}
			e.capacity(r.Free)
			e.capacity(r.LargestFree)
			e.int(int64(r.Pending))
		}
	}
}

// capacity writes resources with the memory rounded down to MiB, which takes
// fewer bytes and never reports more capacity than there is.
func (e *encoder) capacity(r cluster.Resources) {
	e.int(int64(r.CPU))
	e.int(int64(r.Memory / cluster.MiB))
	e.int(r.Accelerators)
}

// capacity reads resources with the memory in MiB.
func (d *decoder) capacity() cluster.Resources {
	r := cluster.Resources{CPU: cluster.CPU(d.int())}
	mib := d.int()
	if mib > math.MaxInt64/int64(cluster.MiB) || mib < math.MinInt64/int64(cluster.MiB) {
		d.fail(KindMalformed, fmt.Errorf("a memory size of %d MiB is out of range", mib))
		return r
	}
	r.Memory, r.Accelerators = cluster.Bytes(mib)*cluster.MiB, d.int()
	return r
}

// digestFlags returns the boolean fields of a digest as flags.
func digestFlags(digest *Digest) uint64 {
	flags := uint64(0)
	if digest.UnconfirmedNote {
		flags |= flagUnconfirmedNote
	}
	if digest.StoreVisible {
		flags |= flagStoreVisible
	}
	if digest.Draining {
		flags |= flagDraining
	}
	return flags
}

// decodeDigest reads a digest and its layout. Parts that the frame does not carry
// are zero.
func decodeDigest(d *decoder) (Digest, digestLayout) {
	var digest Digest
	raw := d.uint()
	parts := digestParts(raw)
	if raw > uint64(allParts|partRackChanges) || parts&partRacks != 0 && parts&partRackChanges != 0 {
		d.fail(KindMalformed, fmt.Errorf("digest parts %d are not valid", raw))
		return digest, digestLayout{}
	}
	layout := digestLayout{parts: parts}
	if parts&partConfig != 0 {
		digest.ConfigVersion = d.version()
		flags := d.uint()
		if flags > flagUnconfirmedNote|flagStoreVisible|flagDraining {
			d.fail(KindMalformed, fmt.Errorf("digest flags %d are not known", flags))
		}
		digest.UnconfirmedNote = flags&flagUnconfirmedNote != 0
		digest.StoreVisible = flags&flagStoreVisible != 0
		digest.Draining = flags&flagDraining != 0
	}
	if parts&partMembers != 0 {
		for range d.listLength(maxMembers) {
			digest.Members = append(digest.Members, d.daemon())
		}
	}
	if parts&(partRacks|partRackChanges) != 0 {
		for range d.listLength(maxRacks) {
			var r RackDigest
			if parts&partRacks != 0 {
				r.Rack = d.rack()
			} else {
				layout.rackIndexes = append(layout.rackIndexes, d.count())
			}
			r.Free, r.LargestFree, r.Pending = d.capacity(), d.capacity(), d.count()
			digest.Racks = append(digest.Racks, r)
		}
	}
	return digest, layout
}

// digestSender omits the parts of a digest that have not changed since the last
// one sent on the connection.
type digestSender struct {
	lastSent Digest
	// hasSent is false until the first digest, which is sent in full.
	hasSent bool
}

// next returns the digest to encode and its layout. Racks are omitted if
// withRacks is false, except from the first digest, which is full.
func (s *digestSender) next(digest Digest, withRacks bool) (Digest, digestLayout) {
	if !s.hasSent {
		s.lastSent, s.hasSent = digest, true
		return digest, fullDigest
	}
	var parts digestParts
	if digest.ConfigVersion != s.lastSent.ConfigVersion || digestFlags(&digest) != digestFlags(&s.lastSent) {
		parts |= partConfig
	}
	if !slices.Equal(digest.Members, s.lastSent.Members) {
		parts |= partMembers
	}
	lastRacks := s.lastSent.Racks
	s.lastSent = digest
	if !withRacks {
		s.lastSent.Racks = lastRacks
		return digest, digestLayout{parts: parts}
	}
	indexes, sameRacks := changedRacks(lastRacks, digest.Racks)
	if !sameRacks {
		return digest, digestLayout{parts: parts | partRacks}
	}
	if len(indexes) > 0 {
		parts |= partRackChanges
		allRacks := digest.Racks
		digest.Racks = nil
		for _, i := range indexes {
			digest.Racks = append(digest.Racks, allRacks[i])
		}
	}
	return digest, digestLayout{parts: parts, rackIndexes: indexes}
}

// changedRacks returns the indexes of the racks whose state differs; sameRacks is
// false if the two lists don't name the same racks in the same order.
func changedRacks(last, current []RackDigest) (indexes []int, sameRacks bool) {
	if len(last) != len(current) {
		return nil, false
	}
	for i, r := range current {
		if last[i].Rack != r.Rack {
			return nil, false
		}
		if last[i] != r {
			indexes = append(indexes, i)
		}
	}
	return indexes, true
}

// digestReceiver restores full digests from the parts received on a connection.
type digestReceiver struct {
	lastReceived Digest
	hasReceived  bool
}

// merge returns the full digest, with omitted parts taken from the last one. It
// fails if the first digest on a connection is not full.
func (r *digestReceiver) merge(digest Digest, layout digestLayout) (Digest, error) {
	parts := layout.parts
	if !r.hasReceived && parts != allParts {
		return digest, &Error{Op: "merge digest", Kind: KindMalformed, Err: fmt.Errorf("the first digest on the connection is incomplete")}
	}
	r.hasReceived = true
	if parts&partConfig == 0 {
		digest.ConfigVersion = r.lastReceived.ConfigVersion
		digest.UnconfirmedNote, digest.StoreVisible, digest.Draining = r.lastReceived.UnconfirmedNote, r.lastReceived.StoreVisible, r.lastReceived.Draining
	}
	if parts&partMembers == 0 {
		digest.Members = r.lastReceived.Members
	}
	switch {
	case parts&partRackChanges != 0:
		racks, err := mergeRacks(r.lastReceived.Racks, digest.Racks, layout.rackIndexes)
		if err != nil {
			return digest, err
		}
		digest.Racks = racks
	case parts&partRacks == 0:
		digest.Racks = r.lastReceived.Racks
	}
	r.lastReceived = digest
	return digest, nil
}

// mergeRacks returns last with the racks at the given indexes replaced.
func mergeRacks(last, changed []RackDigest, indexes []int) ([]RackDigest, error) {
	merged := slices.Clone(last)
	for i, r := range changed {
		if indexes[i] >= len(merged) {
			return nil, &Error{Op: "merge digest", Kind: KindMalformed, Err: fmt.Errorf("rack index %d in a list of %d racks", indexes[i], len(merged))}
		}
		r.Rack = merged[indexes[i]].Rack
		merged[indexes[i]] = r
	}
	return merged, nil
}
