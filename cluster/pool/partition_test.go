package pool

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// partitionSeeds is the number of random partitions; use -pool.partitions=10000 for a long run.
var partitionSeeds = flag.Uint64("pool.partitions", 200, "number of random partitions")

const (
	partitionNodes = 3
	// partitionStep is the time between two steps of a node, pingTime that between two pings.
	partitionStep = 4 * simTick
	pingTime      = 500 * time.Millisecond
	// pauseLimit is the pause after which a node reads the owner row before its next step.
	pauseLimit = 800 * time.Millisecond
)

// partitionSimulation simulates several daemons that may own the pool. Which of them reach each other, the store and each
// worker changes while it runs.
type partitionSimulation struct {
	*simulation
	nodes []*partitionNode
	// ownerNode and ownerEpoch are the owner row, fencedEpoch is the epoch in the sequence row of the records.
	ownerNode               int
	ownerEpoch, fencedEpoch cluster.Epoch
	// reachesNode, reachesStore and reachesWorker tell which paths there are; workerReachesStore those of heartbeats.
	reachesNode        [partitionNodes][partitionNodes]bool
	reachesStore       [partitionNodes]bool
	reachesWorker      [partitionNodes][]bool
	workerReachesStore []bool
	heartbeatAt        []time.Time
	// storeDelay is the longest time until the store executes a call.
	storeDelay time.Duration
	submitted  []cluster.JobName
}

// partitionNode is a daemon.
type partitionNode struct {
	index int
	// owned is the scheduler of the node with its events; nil if the node owns nothing.
	owned    *previousOwner
	epoch    cluster.Epoch
	mandate  *Mandate
	held     bool
	claiming bool
	// lastHeard is when a ping of each other node arrived, lastPing when that ping was sent.
	lastHeard, lastPing [partitionNodes]time.Time
	heard               [partitionNodes]HeardSpan
	// knownEpoch is the epoch of the owner row that the node has read last, seenAt when it first read that.
	knownEpoch  cluster.Epoch
	seenAt      time.Time
	delivered   int
	pausedUntil time.Time
	steppedAt   time.Time
}

func newPartitionSimulation(seed uint64) *partitionSimulation {
	sim := &partitionSimulation{simulation: newSimulation(seed, 6), ownerNode: -1}
	sim.simulation.owner, sim.simulation.previousOwners, sim.events = nil, nil, nil
	sim.failureRate, sim.epoch = 0, 0
	for i := range partitionNodes {
		sim.nodes = append(sim.nodes, &partitionNode{index: i})
		sim.reachesWorker[i] = make([]bool, len(sim.workers))
	}
	sim.workerReachesStore, sim.heartbeatAt = make([]bool, len(sim.workers)), make([]time.Time, len(sim.workers))
	sim.heal()
	sim.simulation.reaches = func(owner *Scheduler, f *fakeWorker) bool {
		node := sim.nodeOf(owner)
		return node != nil && sim.reachesWorker[node.index][slices.Index(sim.workers, f)]
	}
	return sim
}

func (sim *partitionSimulation) nodeOf(s *Scheduler) *partitionNode {
	for _, n := range sim.nodes {
		if n.owned != nil && n.owned.scheduler == s {
			return n
		}
	}
	return nil
}

func (sim *partitionSimulation) heal() {
	sim.storeDelay = 20 * time.Millisecond
	for i := range sim.nodes {
		sim.reachesStore[i] = true
		for j := range sim.nodes {
			sim.reachesNode[i][j] = true
		}
		for w := range sim.workers {
			sim.reachesWorker[i][w], sim.workerReachesStore[w] = true, true
		}
	}
}

// partition draws which paths there are: two sides, one of which has the store, then single paths that differ.
func (sim *partitionSimulation) partition() {
	sim.heal()
	if sim.rnd.IntN(4) == 0 {
		sim.storeDelay = time.Duration(sim.rnd.Int64N(int64(2 * time.Second)))
	}
	var nodeCut [partitionNodes]bool
	workerCut := make([]bool, len(sim.workers))
	for i := range nodeCut {
		nodeCut[i] = sim.rnd.IntN(3) == 0
	}
	if sim.rnd.IntN(2) == 0 && sim.ownerNode >= 0 {
		nodeCut = [partitionNodes]bool{}
		nodeCut[sim.ownerNode] = true
	}
	for w := range workerCut {
		workerCut[w] = sim.rnd.IntN(3) == 0
	}
	storeAway := sim.rnd.IntN(6) == 0
	flip := func() bool { return sim.rnd.IntN(16) == 0 }
	for i := range sim.nodes {
		sim.reachesStore[i] = !storeAway && (!nodeCut[i] != flip())
		for j := range sim.nodes {
			sim.reachesNode[i][j] = (nodeCut[i] == nodeCut[j]) != flip()
		}
		for w := range sim.workers {
			sim.reachesWorker[i][w] = (nodeCut[i] == workerCut[w]) != flip()
		}
	}
	for w := range sim.workers {
		sim.workerReachesStore[w] = !storeAway && !workerCut[w]
	}
	if sim.rnd.IntN(4) == 0 {
		sim.nodes[sim.rnd.IntN(partitionNodes)].pausedUntil = sim.now.Add(time.Duration(sim.rnd.Int64N(int64(5 * time.Second))))
	}
}

func (sim *partitionSimulation) runFor(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.tick()
	}
}

func (sim *partitionSimulation) every(interval time.Duration) bool {
	return sim.now.Sub(time.Unix(1_800_000_000, 0))%interval == 0
}

func (sim *partitionSimulation) tick() {
	sim.now = sim.now.Add(simTick)
	for _, f := range sim.workers {
		sim.runTasks(f)
	}
	sim.runScheduledCalls()
	if !sim.every(partitionStep) {
		return
	}
	if sim.every(pingTime) {
		sim.listWorkers()
	}
	for _, n := range sim.nodes {
		if sim.now.Before(n.pausedUntil) {
			continue
		}
		if sim.every(pingTime) {
			sim.ping(n)
			sim.readRows(n)
		}
		if sim.every(5 * partitionStep) {
			sim.confirm(n)
			sim.claim(n)
		}
		sim.step(n)
	}
}

func (sim *partitionSimulation) listWorkers() {
	list := &WorkersListed{Advisors: 1}
	for w, f := range sim.workers {
		if sim.workerReachesStore[w] {
			f.vm.EntryVersion++
			sim.heartbeatAt[w] = sim.now
		}
		if sim.now.Sub(sim.heartbeatAt[w]) < 4500*time.Millisecond {
			list.Workers = append(list.Workers, f.vm)
		}
	}
	for _, n := range sim.nodes {
		if n.owned != nil && sim.reachesStoreThrough(n) {
			n.owned.events = append(n.owned.events, list)
		}
	}
}

// reachesStoreThrough reports whether a node reaches the store, also through another one.
func (sim *partitionSimulation) reachesStoreThrough(n *partitionNode) bool {
	for i := range sim.nodes {
		if sim.reachesStore[i] && (i == n.index || sim.reachesNode[n.index][i] && sim.reachesNode[i][n.index]) {
			return true
		}
	}
	return false
}

func (sim *partitionSimulation) ping(n *partitionNode) {
	for _, to := range sim.nodes {
		if to == n || !sim.reachesNode[n.index][to.index] {
			continue
		}
		sentAt, echo := sim.now, n.lastPing[to.index]
		sim.scheduleAfter(simLatency, func() {
			if !sim.reachesNode[n.index][to.index] || sim.now.Before(to.pausedUntil) {
				return
			}
			to.lastHeard[n.index], to.lastPing[n.index] = sim.now, sentAt
			if !echo.IsZero() {
				to.heard[n.index] = to.heard[n.index].Extend(echo)
			}
		})
	}
}

// readRows applies what a node that reaches the store reads there: the owner row, new jobs.
func (sim *partitionSimulation) readRows(n *partitionNode) {
	if !sim.reachesStoreThrough(n) {
		return
	}
	if n.knownEpoch != sim.ownerEpoch {
		n.knownEpoch, n.seenAt = sim.ownerEpoch, sim.now
	}
	if n.owned != nil && n.epoch != sim.ownerEpoch {
		n.owned = nil
	}
	if n.owned != nil {
		for ; n.delivered < len(sim.submitted); n.delivered++ {
			n.owned.events = append(n.owned.events, &JobAccepted{Job: sim.jobs[sim.submitted[n.delivered]]})
		}
	}
}

// storeCall executes a call of a node at the store after a delay, if there is a path then.
func (sim *partitionSimulation) storeCall(n *partitionNode, do func(), failed func()) {
	sim.scheduleAfter(simTick+time.Duration(sim.rnd.Int64N(int64(sim.storeDelay))), func() {
		if sim.reachesStoreThrough(n) {
			do()
		} else {
			failed()
		}
	})
}

func (sim *partitionSimulation) claimants(n *partitionNode) []Claimant {
	var list []Claimant
	for i := range sim.nodes {
		if i != n.index {
			list = append(list, Claimant{VM: fmt.Sprint(i), Heard: n.heard[i]})
		}
	}
	return list
}

func (sim *partitionSimulation) confirm(n *partitionNode) {
	if n.owned == nil || !n.mandate.ShouldConfirm(sim.now, sim.claimants(n)) {
		return
	}
	sentAt, mandate := sim.now, n.mandate
	sim.storeCall(n, func() {
		named := sim.ownerEpoch == n.epoch
		sim.scheduleAfter(simLatency, func() {
			switch {
			case n.mandate != mandate:
			case named:
				mandate.Confirm(sentAt, sim.claimants(n))
			default:
				n.owned = nil
			}
		})
	}, func() {})
}

// claim has a node that reaches the store claim the pool if it has not heard the owner for ClaimAfter.
func (sim *partitionSimulation) claim(n *partitionNode) {
	owner := sim.ownerNode
	if n.owned != nil || n.claiming || !sim.reachesStore[n.index] || n.knownEpoch != sim.ownerEpoch {
		return
	}
	if owner >= 0 && owner != n.index && (sim.now.Sub(n.lastHeard[owner]) <= ClaimAfter || sim.now.Sub(n.seenAt) <= ClaimAfter) {
		return
	}
	n.claiming = true
	claimedAt, before := sim.now, sim.ownerEpoch
	sim.storeCall(n, func() {
		if sim.ownerEpoch != before {
			n.claiming = false
			return
		}
		sim.ownerNode, sim.ownerEpoch = n.index, before+1
		sim.scheduleAfter(time.Duration(sim.rnd.Int64N(int64(sim.storeDelay))), func() { sim.takeOver(n, owner, before+1, claimedAt) })
	}, func() { n.claiming = false })
}

// takeOver starts the scheduler of a node that has learned that its claim was written.
func (sim *partitionSimulation) takeOver(n *partitionNode, previous int, epoch cluster.Epoch, claimedAt time.Time) {
	n.claiming = false
	if !sim.reachesStore[n.index] || sim.ownerEpoch != epoch {
		return
	}
	activeUntil := claimedAt
	if previous >= 0 {
		grace := PreviousOwnerGrace
		if previous != n.index && n.lastHeard[previous].After(claimedAt.Add(-ClaimAfter)) {
			grace += ClaimAfter
		}
		activeUntil = sim.now.Add(grace)
		if sim.reachesNode[n.index][previous] {
			sim.scheduleAfter(simLatency, func() {
				if p := sim.nodes[previous]; p.owned != nil && p.epoch < epoch {
					p.owned = nil
				}
			})
		}
	}
	sim.fencedEpoch = epoch
	s := New(Config{
		Service: testService, Epoch: epoch, Now: claimedAt, InheritedWorkers: sim.recordedWorkers, PreviousOwnersActiveUntil: activeUntil, Log: sim.logger(),
	})
	n.owned, n.epoch, n.mandate, n.held, n.knownEpoch, n.steppedAt = &previousOwner{scheduler: s}, epoch, NewMandate(claimedAt), true, epoch, sim.now
	n.owned.events = []Event{&ConfigChanged{Snapshot: sim.snapshot}}
	n.delivered = len(sim.submitted)
	for _, id := range sim.submitted {
		var progress *workload.Progress
		if row := sim.progress[id]; row != nil {
			progress = copyProgress(row)
		}
		n.owned.events = append(n.owned.events, &JobAccepted{Job: sim.jobs[id], Progress: progress})
	}
}

func (sim *partitionSimulation) step(n *partitionNode) {
	if n.owned == nil {
		return
	}
	if paused := sim.now.Sub(n.steppedAt) > pauseLimit; paused && (!sim.reachesStoreThrough(n) || sim.ownerEpoch != n.epoch) {
		n.owned = nil
		return
	}
	n.steppedAt = sim.now
	events := n.owned.events
	n.owned.events = nil
	if holds := n.mandate.Holds(sim.now, sim.claimants(n)); holds != n.held {
		n.held = holds
		events = slices.Insert(events, 0, Event(&MandateChanged{Holds: holds}))
	}
	s := n.owned.scheduler
	sim.previousOwners = nil
	for _, other := range sim.nodes {
		if other.owned != nil {
			sim.previousOwners = append(sim.previousOwners, other.owned)
		}
	}
	for _, e := range s.Step(sim.now, events) {
		if record, ok := e.(*WriteRecord); ok {
			sim.writeRecord(n, s, record)
			continue
		}
		sim.execute(s, e)
	}
	if s.stopped {
		n.owned = nil
	}
}

// writeRecord writes a record unless a later owner has fenced the records, and repeats it while the store is away.
func (sim *partitionSimulation) writeRecord(n *partitionNode, s *Scheduler, record *WriteRecord) {
	retry := func() {
		sim.scheduleAfter(300*time.Millisecond, func() {
			if n.owned != nil && n.owned.scheduler == s {
				sim.writeRecord(n, s, record)
			}
		})
	}
	sim.storeCall(n, func() {
		if sim.fencedEpoch != s.cfg.Epoch {
			if n.owned != nil && n.owned.scheduler == s {
				n.owned = nil
			}
			return
		}
		for _, p := range record.Progress {
			row, err := workload.DecodeProgress(p.Data)
			if err != nil {
				panic(err)
			}
			sim.progress[p.ID] = row
		}
		if record.Workers != nil {
			sim.recordedWorkers = record.Workers
		}
		if sim.rnd.IntN(8) == 0 {
			retry() // the reply was lost
			return
		}
		sim.deliver(s, simLatency, &RecordWritten{Generation: record.Generation})
	}, retry)
}

func (sim *partitionSimulation) submit(id cluster.JobName, step workload.Step) {
	sim.jobs[id] = &workload.Job{ID: id, Queue: testBatchQueue, Team: testTeam, AcceptedAt: sim.now, Steps: []workload.Step{step}}
	sim.jobs[id].Terms = workload.TermsOf(sim.snapshot.Queues[testBatchQueue])
	sim.submitted = append(sim.submitted, id)
}

// Guards against two owners that run the same tasks, and against ends that are acknowledged before they are recorded, while
// daemons, workers and the store lose each other in any combination. After the paths are back all jobs are done.
func TestRandomPartitions(t *testing.T) {
	open := readPartitions(t, "testdata/partitions-open.json")
	for seed := range *partitionSeeds {
		if slices.Contains(open, seed) {
			continue // TestClaimantThatReturnsToStoreAlone
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testPartition(t, seed)
		})
	}
}

// Guards against a daemon that was cut off from all others, counts as gone, and claims the pool when it reaches the store
// again, while the owner goes on as all others hear it.
func TestClaimantThatReturnsToStoreAlone(t *testing.T) {
	for _, seed := range readPartitions(t, "testdata/partitions-open.json") {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testPartition(t, seed)
		})
	}
}

// testPartition runs jobs while the paths between all parts change, and then without a fault.
func testPartition(t *testing.T, seed uint64) {
	is := is.New(t)
	sim := newPartitionSimulation(seed)
	sim.runFor(3 * time.Second)
	for n := range 16 {
		step := workload.Step{
			Tasks: 1 + sim.rnd.IntN(6), Size: cluster.Resources{CPU: cluster.CPU(500 + sim.rnd.IntN(3000))},
			Estimate: time.Duration(200+sim.rnd.IntN(12000)) * time.Millisecond, Gang: sim.rnd.IntN(4) == 0,
		}
		sim.submit(cluster.JobName(fmt.Sprintf("%016x", n)), step)
		if sim.rnd.IntN(3) == 0 {
			sim.partition()
		} else if sim.rnd.IntN(6) == 0 {
			sim.heal()
		}
		sim.runFor(time.Duration(sim.rnd.Int64N(int64(4 * time.Second))))
	}
	sim.heal()
	sim.runFor(80 * time.Second)
	is.Equal(sim.violations, nil)
	for _, id := range sim.submitted {
		if row := sim.progress[id]; row == nil || row.State != workload.StateCompleted {
			t.Errorf("job %s is not done 80 s after all paths are back", id)
		}
	}
}

// readPartitions returns the seeds in a file of partitions that fail.
func readPartitions(t *testing.T, name string) []uint64 {
	t.Helper()
	data, err := os.ReadFile(name)
	is.New(t).NoErr(err)
	var partitions []struct {
		Seed  uint64
		Cause string
	}
	is.New(t).NoErr(json.Unmarshal(data, &partitions))
	seeds := make([]uint64, 0, len(partitions))
	for _, p := range partitions {
		seeds = append(seeds, p.Seed)
	}
	return seeds
}
