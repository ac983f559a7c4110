package cell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

const (
	// workerCallRate and workerCallCores are the bytes per second and the processor cores that the calls to one worker
	// take at full load.
	workerCallRate  = 2500
	workerCallCores = 0.0004
	// maxDirectShare is the share of its link or of its processor that an owner may use for direct calls to workers.
	maxDirectShare = 0.25
	// forwardersPerZone is the number of daemons of a zone that forward calls to its workers.
	forwardersPerZone = 2
	// maxStartsPerForwarder bounds the starts of one job that go to the same forwarder, so that the link of one
	// forwarder does not carry all copies of a job's specification.
	maxStartsPerForwarder = 8
)

// needsForwarders reports whether the calls to the workers of a shard would use too much of the owner's link or
// processor. A rate or a number of cores of zero is not known.
func needsForwarders(workers int, linkRate cluster.Bytes, cores float64) bool {
	return linkRate > 0 && float64(workers*workerCallRate) > maxDirectShare*float64(linkRate) ||
		cores > 0 && float64(workers)*workerCallCores > maxDirectShare*cores
}

// forwarder is a daemon that forwards calls to workers.
type forwarder struct {
	id       cluster.DaemonID
	zone     cluster.Zone
	cores    float64
	linkRate cluster.Bytes
}

// forwardRoutes holds the daemons that forward calls to the workers of each zone.
type forwardRoutes map[cluster.Zone][]cluster.DaemonID

// newForwardRoutes selects the forwarders of each zone: those with the most processor, then those with the fastest
// link.
func newForwardRoutes(available []forwarder) forwardRoutes {
	slices.SortFunc(available, func(a, b forwarder) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(b.linkRate, a.linkRate), cmp.Compare(vmHash(string(a.id)), vmHash(string(b.id))))
	})
	routes := forwardRoutes{}
	for _, f := range available {
		if len(routes[f.zone]) < forwardersPerZone {
			routes[f.zone] = append(routes[f.zone], f.id)
		}
	}
	return routes
}

// choose returns the forwarder of a zone for a key, and false if the zone has none. A key keeps its forwarder while that
// is available, so that the connections of the forwarders are used again.
func (r forwardRoutes) choose(zone cluster.Zone, key string) (cluster.DaemonID, bool) {
	var best cluster.DaemonID
	var bestScore uint64
	for _, id := range r[zone] {
		if score := xxhash.Sum64String(key + "/" + string(id)); best == "" || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best, best != ""
}

// forWorker returns the forwarder of the hold calls and stop requests to a worker.
func (r forwardRoutes) forWorker(w *platform.WorkerVM) (cluster.DaemonID, bool) {
	return r.choose(w.Zone, string(w.ID))
}

// routeStarts assigns the start requests of one scheduler step to forwarders; those without one are returned under the
// empty identifier. The starts of a job share few messages, because each message contains the job's specification.
func (r forwardRoutes) routeStarts(starts []*pool.SendStart) map[cluster.DaemonID][]*pool.SendStart {
	routed := map[cluster.DaemonID][]*pool.SendStart{}
	byJob := slices.Clone(starts)
	slices.SortStableFunc(byJob, func(a, b *pool.SendStart) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Worker.Zone, b.Worker.Zone))
	})
	for len(byJob) > 0 {
		job := byJob[0].Task.Job
		n := 1
		for n < len(byJob) && n < maxStartsPerForwarder && byJob[n].Task.Job == job {
			n++
		}
		group := byJob[:n]
		byJob = byJob[n:]
		// The workers of most starts are near the forwarder.
		id, _ := r.choose(mostFrequentZone(group), group[0].Request.Task)
		routed[id] = append(routed[id], group...)
	}
	return routed
}

// mostFrequentZone returns the zone of most workers of start requests, the first of them if there are several.
func mostFrequentZone(starts []*pool.SendStart) cluster.Zone {
	counts := map[cluster.Zone]int{}
	best := starts[0].Worker.Zone
	for _, s := range starts {
		counts[s.Worker.Zone]++
	}
	for _, s := range starts {
		if counts[s.Worker.Zone] > counts[best] {
			best = s.Worker.Zone
		}
	}
	return best
}
