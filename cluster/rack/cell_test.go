package rack

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cell runs daemons over a fake platform in virtual time.
type cell struct {
	t             testing.TB
	now           time.Time
	store         *fakeStore
	racks         *fakeRacks
	config        *cluster.Snapshot
	configVersion cluster.Version
	// retention is how long the rows of ended jobs are kept.
	retention time.Duration
	daemons   []*fakeDaemon
	random    *rand.Rand
	// scheduledCalls holds the calls to make later, lastSequence the sequence number of the last one.
	scheduledCalls callQueue
	lastSequence   int
	// lostExchange, lostCommit and lostSend are the probabilities that a reply or a message is lost.
	lostExchange, lostCommit, lostSend float64
	// delayExchange returns how late an exchange is carried out, which then gets no reply; nil or zero means in time.
	delayExchange func(*platform.ExchangeRequest) time.Duration
	// addedLatency is added to the latency of every call.
	addedLatency time.Duration
	// submitResults holds the result of each submission, submittedSpecs the specifications,
	// cancelled the jobs that were cancelled.
	submitResults  map[cluster.JobID]SubmitResult
	submittedSpecs map[cluster.JobID]*cluster.JobSpec
	cancelled      map[cluster.JobID]bool
	lastToken      Token
	// meter measures the cost of the controllers in benchmarks; nil otherwise.
	meter *costMeter
	log   zerolog.Logger
}

// fakeDaemon is a daemon that runs a controller.
type fakeDaemon struct {
	id         cluster.DaemonID
	place      cluster.Place
	controller *Controller
	// inbox holds the events for the next step.
	inbox        []Event
	dead, paused bool
	drained      bool
	// lastActiveAt is when the daemon was last neither dead nor paused.
	lastActiveAt time.Time
	// storeUnreachable makes the daemon's calls to the store fail; muted means that the others
	// receive no pings of it.
	storeUnreachable, muted bool
	// unreachableRack is a rack that the daemon can't reach; empty if it reaches all.
	unreachableRack cluster.RackID
	submitResults   []SubmitResult
	cancelResults   []CancelResult
}

// call is a scheduled call; calls at the same time are made in the order in which they were scheduled.
type call struct {
	dueAt    time.Time
	sequence int
	callback func()
}

// callQueue is a heap of calls by time.
type callQueue []call

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	if !q[i].dueAt.Equal(q[j].dueAt) {
		return q[i].dueAt.Before(q[j].dueAt)
	}
	return q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(call)) }
func (q *callQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// testConfig returns a configuration with queue q and the given teams.
func testConfig(teams ...*cluster.Team) *cluster.Snapshot {
	entities := []cluster.Entity{&cluster.Queue{Name: "q"}}
	for _, team := range teams {
		entities = append(entities, team)
	}
	return cluster.Assemble(1, entities)
}

// newCell returns a cell whose daemons and racks are spread over zones; racks is the number
// per zone, workers that per rack.
func newCell(t testing.TB, seed uint64, daemons, zones, racks, workers int) *cell {
	c := &cell{
		t: t, now: testStart, store: &fakeStore{rows: map[string]platform.Row{}},
		racks:  newFakeRacks(zones, racks, workers, cluster.Resources{CPU: 4 * cluster.Core, Memory: 16 * cluster.GiB}),
		random: rand.New(rand.NewPCG(seed, 1)), submitResults: map[cluster.JobID]SubmitResult{}, log: zerolog.Nop(), retention: 10 * time.Minute,
		submittedSpecs: map[cluster.JobID]*cluster.JobSpec{}, cancelled: map[cluster.JobID]bool{},
	}
	c.racks.reportFailure = func(m string) { t.Fatalf("at %s: %s", c.now.Sub(testStart), m) }
	c.setLimit(cluster.Resources{CPU: 1000 * cluster.Core, Memory: cluster.Bytes(1) << 50})
	c.addDaemons(daemons, zones)
	return c
}

// addDaemons adds n daemons, spread over zones.
func (c *cell) addDaemons(n, zones int) {
	for i := range n {
		c.addDaemon(cluster.DaemonID(fmt.Sprintf("d%d", i)), cluster.Place{Region: "north", Zone: cluster.Zone(fmt.Sprintf("z%d", i%zones))})
	}
}

// setLimit sets the limit of team a in a new version of the configuration.
func (c *cell) setLimit(limit cluster.Resources) {
	c.config = testConfig(&cluster.Team{Name: "a", Share: 1, Limit: limit})
	c.configVersion++
	c.config.Version = c.configVersion
}

func (c *cell) addDaemon(id cluster.DaemonID, place cluster.Place) *fakeDaemon {
	random := rand.New(rand.NewPCG(c.random.Uint64(), 2))
	d := &fakeDaemon{id: id, place: place}
	d.controller = New(Config{
		Self: id, Place: place, Retention: c.retention, Random: random.Float64, Log: c.log.With().Str("daemon", string(id)).Logger(),
		Invariants: invariant.New(invariant.Config{Log: zerolog.Nop(), OnViolation: func(m string) { c.racks.reportFailure(m) }}),
	})
	d.inbox = append(d.inbox, &ConfigChanged{c.config}, &PlatformList{c.racks.vmList()})
	c.daemons = append(c.daemons, d)
	return d
}

// startReplacement starts a daemon with a new identifier in the same place as another.
func (c *cell) startReplacement(d *fakeDaemon) {
	c.addDaemon(cluster.DaemonID(fmt.Sprintf("%s-%d", d.id, len(c.daemons))), d.place)
}

// schedule calls f after a delay.
func (c *cell) schedule(d time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.scheduledCalls, call{c.now.Add(d), c.lastSequence, f})
}

// run advances virtual time in steps of 100 ms.
func (c *cell) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(100 * time.Millisecond)
		for len(c.scheduledCalls) > 0 && !c.scheduledCalls[0].dueAt.After(c.now) {
			heap.Pop(&c.scheduledCalls).(call).callback()
		}
		c.racks.endDueAttempts(c.now)
		c.exchangePings()
		for _, d := range c.daemons {
			if !d.dead && !d.paused {
				c.step(d)
			}
		}
	}
}

// exchangePings gives each daemon the members that sent a ping in the last 2 s and their digests.
func (c *cell) exchangePings() {
	tick := c.now.Sub(testStart).Milliseconds() / 100
	for _, d := range c.daemons {
		if d.dead || d.paused {
			continue
		}
		var live []Member
		for _, other := range c.daemons {
			inactive := other.dead || other.paused
			if !inactive {
				other.lastActiveAt = c.now
			}
			if other == d || !other.drained && !other.muted && c.now.Sub(other.lastActiveAt) <= 2*time.Second {
				live = append(live, Member{ID: other.id, Place: other.place, LastSeen: other.lastActiveAt})
			}
			if !inactive && !other.muted && other != d && tick%5 == 0 {
				d.inbox = append(d.inbox, &PeerDigest{other.id, peer.Digest{
					Racks: other.controller.Digest(), Draining: other.controller.draining,
				}})
			}
		}
		d.inbox = append(d.inbox, &MembersChanged{Live: live})
		if tick%50 == 0 {
			d.inbox = append(d.inbox, &PlatformList{c.racks.vmList()}, &ConfigChanged{c.config})
		}
	}
}

// step runs one step of a daemon's controller and executes its effects.
func (c *cell) step(d *fakeDaemon) {
	events := d.inbox
	d.inbox = nil
	start := time.Now()
	effects := d.controller.Step(c.now, events)
	if c.meter != nil {
		c.meter.addStep(time.Since(start))
	}
	for _, e := range effects {
		c.execute(d, e)
	}
}

// deliver puts an event into a daemon's inbox and steps its controller at once, unless the daemon is dead or paused.
func (c *cell) deliver(d *fakeDaemon, e Event) {
	d.inbox = append(d.inbox, e)
	if !d.dead && !d.paused {
		c.step(d)
	}
}

// latency returns the random latency of one direction of a call.
func (c *cell) latency() time.Duration {
	return c.addedLatency + time.Duration(1+c.random.IntN(4))*time.Millisecond
}

// execute carries out an effect of a daemon's controller.
func (c *cell) execute(d *fakeDaemon, e Effect) {
	switch e := e.(type) {
	case *ReadRows:
		c.schedule(c.latency(), func() {
			reply, err := c.readFor(d, e.Request)
			for _, row := range reply.Rows {
				c.countRow(row.Key, row.Value)
			}
			c.schedule(c.latency(), func() { c.deliver(d, &RowsRead{e.Token, reply, err}) })
		})
	case *Commit:
		c.schedule(c.latency(), func() {
			version, err := c.commitFor(d, e.Change)
			for _, p := range e.Change.Puts {
				c.countRow(p.Key, p.Value)
			}
			c.schedule(c.latency(), func() { c.deliver(d, &CommitDone{e.Token, version, err}) })
		})
	case *Exchange:
		c.exchange(d, e)
	case *Send:
		if c.random.Float64() < c.lostSend {
			return
		}
		for _, to := range c.daemons {
			if to.id == e.To {
				c.schedule(time.Millisecond, func() { c.deliver(to, &PeerMessage{d.id, e.Message}) })
			}
		}
	case *SubmitResult:
		d.submitResults = append(d.submitResults, *e)
		if old, ok := c.submitResults[e.Job]; !ok || old.Outcome > Duplicate {
			c.submitResults[e.Job] = *e
		}
	case *CancelResult:
		d.cancelResults = append(d.cancelResults, *e)
	case *Drained:
		d.drained = true
	}
}

// countRow adds a row that was read or written to the measured cost.
func (c *cell) countRow(key string, value []byte) {
	if c.meter != nil {
		c.meter.storeBytes += len(key) + len(value)
	}
}

func (c *cell) readFor(d *fakeDaemon, req platform.ReadRequest) (platform.ReadReply, error) {
	if d.storeUnreachable {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindUnavailable}
	}
	return c.store.read(req)
}

// commitFor commits as the journal does: it returns a definite result unless the
// reply was lost and the journal failed to read the result back.
func (c *cell) commitFor(d *fakeDaemon, change journal.Change) (cluster.Version, error) {
	if d.storeUnreachable {
		return 0, &journal.Error{Op: "commit", Kind: journal.KindUnavailable}
	}
	lost := c.random.Float64() < c.lostCommit
	if lost && c.random.IntN(2) == 0 {
		return 0, &journal.Error{Op: "commit", Kind: journal.KindUnknown}
	}
	version, err := c.store.commit(change.Checks, change.Puts, change.Deletes)
	if lost {
		return 0, &journal.Error{Op: "commit", Kind: journal.KindUnknown}
	}
	var perr *platform.Error
	if errors.As(err, &perr) {
		kind := journal.KindUnavailable
		if perr.Kind == platform.KindConflict {
			kind = journal.KindConflict
		}
		return 0, &journal.Error{Op: "commit", Kind: kind, Key: perr.Key, Err: err}
	}
	return version, nil
}

// exchange calls the rack service. A lost call either never arrives or loses its reply.
func (c *cell) exchange(d *fakeDaemon, e *Exchange) {
	sentAt := c.now
	if d.unreachableRack == e.Request.Rack {
		c.schedule(c.latency(), func() {
			c.deliver(d, &ExchangeDone{e.Token, e.Request.Rack, e.Request.Epoch, sentAt, platform.ExchangeReply{}, &platform.Error{Op: "exchange", Kind: platform.KindUnavailable}})
		})
		return
	}
	lost := c.random.Float64() < c.lostExchange
	var delay time.Duration
	if c.delayExchange != nil {
		delay = c.delayExchange(&e.Request)
	}
	if delay > 0 {
		c.schedule(delay, func() { _, _ = c.racks.exchange(c.now, e.Request) })
	}
	if delay > 0 || lost && c.random.IntN(2) == 0 {
		c.schedule(time.Second, func() {
			c.deliver(d, &ExchangeDone{e.Token, e.Request.Rack, e.Request.Epoch, sentAt, platform.ExchangeReply{}, &platform.Error{Op: "exchange", Kind: platform.KindUnknown}})
		})
		return
	}
	c.schedule(c.latency(), func() {
		reply, err := c.racks.exchange(c.now, e.Request)
		if c.meter != nil {
			c.meter.addExchange(e.Request, reply)
		}
		if lost {
			reply, err = platform.ExchangeReply{}, &platform.Error{Op: "exchange", Kind: platform.KindUnknown}
		}
		c.schedule(c.latency(), func() {
			c.deliver(d, &ExchangeDone{e.Token, e.Request.Rack, e.Request.Epoch, sentAt, reply, err})
		})
	})
}

// submit submits a job to a daemon.
func (c *cell) submit(d *fakeDaemon, spec *cluster.JobSpec) {
	c.lastToken++
	d.inbox = append(d.inbox, &Submit{Token: c.lastToken, Spec: spec, SubmittedAt: c.now})
}

// batchJob returns the specification of a batch job of team a.
func batchJob(name string, tasks int, cpu cluster.CPU, idempotent bool) *cluster.JobSpec {
	return &cluster.JobSpec{
		ID: cluster.JobID{Team: "a", Name: cluster.JobName(name)}, Queue: "q", Priority: cluster.PriorityNormal, Idempotent: idempotent,
		Workload: &cluster.Batch{Tasks: tasks, Size: cluster.Resources{CPU: cpu, Memory: cluster.GiB}, RunTime: 5 * time.Second},
	}
}

// storedJob returns a job as stored, or nil if it has no row.
func (c *cell) storedJob(name string) *job {
	id := cluster.JobID{Team: "a", Name: cluster.JobName(name)}
	row := c.store.rows[jobKey(id)]
	if row.Deleted || row.Version == 0 {
		return nil
	}
	j, err := decodeJob(row.Key, row.Value)
	if err != nil {
		c.t.Fatal(err)
	}
	return j
}

// storedOwners returns the owner of each rack as stored.
func (c *cell) storedOwners() map[cluster.RackID]cluster.DaemonID {
	owners := map[cluster.RackID]cluster.DaemonID{}
	for key, row := range c.store.rows {
		var v rackRow
		if len(key) > len(prefixRack) && key[:len(prefixRack)] == prefixRack && decodeRow(key, row.Value, &v) == nil {
			owners[cluster.RackID(key[len(prefixRack):])] = cluster.DaemonID(v.Owner)
		}
	}
	return owners
}

func (c *cell) findDaemon(id cluster.DaemonID) *fakeDaemon {
	i := slices.IndexFunc(c.daemons, func(d *fakeDaemon) bool { return d.id == id })
	return c.daemons[i]
}
